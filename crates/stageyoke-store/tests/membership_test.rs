//! The next step in the member list, case by case.

use std::time::Duration;

use rstest::rstest;
use stageyoke_directory::{Member, MemberState, Members, Tolerance};
use stageyoke_store::membership::{
    LocalMember, MembershipStep, PeerHealth, SILENT_REMOVAL_TIMEOUT, STEP_TAKEOVER_DELAY,
    SURPLUS_LEAVE_DELAY, decide, is_fenced,
};
use stageyoke_store::wait_reason::WaitReason;
use stageyoke_types::Text;

const REPLACE_AFTER: Duration = Duration::from_secs(2);

fn tolerance() -> Tolerance {
    Tolerance::of_machines(1)
}

fn member(number: usize) -> Member {
    Member {
        node: Text::from(format!("store-{number}")),
        address: Text::from(format!("10.0.0.{number}:7000")),
        zone: Text::from("zone"),
        state: MemberState::Active,
        disk: 0,
    }
}

fn members(count: usize) -> Members {
    (0..count).fold(Members::default(), |list, number| {
        list.with_member(member(number))
    })
}

fn oneself(number: usize) -> LocalMember {
    LocalMember {
        entry: member(number),
        complete: true,
        caught_up: true,
        retiring: false,
        surplus: false,
        has_room: true,
        successor_pending: false,
        fenced: true,
        member_list_age: Duration::ZERO,
        replacement_timeout: REPLACE_AFTER,
    }
}

/// What a store knows of the others: who is silent for how long, who is behind.
fn peers(
    list: &Members,
    own: usize,
    silent: &[(usize, Duration)],
    behind: &[usize],
) -> Vec<PeerHealth> {
    let is = |member: &Member, number: usize| member.node == format!("store-{number}").into();
    let others = list.all().filter(|member| !is(member, own));
    others
        .map(|member| {
            let mut silent = silent.iter();
            let silence = silent.find(|(number, _)| is(member, *number));
            PeerHealth {
                node: member.node.clone(),
                silent_for: silence.map_or(Duration::from_millis(900), |(_, silence)| *silence),
                caught_up: !behind.iter().any(|number| is(member, *number)),
            }
        })
        .collect()
}

fn dead(number: usize) -> (usize, Duration) {
    (number, SILENT_REMOVAL_TIMEOUT + Duration::from_millis(1))
}

fn gone(number: usize) -> (usize, Duration) {
    (number, REPLACE_AFTER + Duration::from_millis(1))
}

#[test]
fn the_first_complete_store_founds_the_group() {
    let founded = decide(&Members::default(), &oneself(0), &[], &tolerance());
    assert_eq!(founded, MembershipStep::Change(members(1)));
    let wiped = LocalMember {
        complete: false,
        ..oneself(0)
    };
    let later = decide(&Members::default(), &wiped, &[], &tolerance());
    assert_eq!(
        later,
        MembershipStep::Wait(WaitReason::Completeness),
        "a store that may lack something never does"
    );
}

/// Soak seed 3967300783: all processes were killed 0.4 s after the first start,
/// before any store had founded the group; nobody ever did.
#[test]
fn a_store_killed_before_the_group_was_founded_founds_it_later() {
    let again = LocalMember {
        complete: true,
        caught_up: false,
        ..oneself(0)
    };
    let founded = decide(&Members::default(), &again, &[], &tolerance());
    assert_eq!(founded, MembershipStep::Change(members(1)));
}

/// A list too small for a write quorum never let anything be kept: whoever
/// comes then is complete, and need not catch up.
#[test]
fn before_a_quorum_exists_nothing_is_missed() {
    use stageyoke_store::membership::has_never_stored;
    assert!(has_never_stored(&Members::default(), &tolerance()));
    assert!(has_never_stored(&members(1), &tolerance()));
    assert!(!has_never_stored(&members(2), &tolerance()));
    let second = LocalMember {
        caught_up: false,
        ..oneself(1)
    };
    let step = decide(&members(1), &second, &[], &tolerance());
    assert_eq!(step, MembershipStep::Change(members(2)));
}

#[rstest]
#[case(true, true, true, None)]
#[case::its_disk_may_lack_something(false, true, true, Some(WaitReason::Completeness))]
#[case::it_has_not_caught_up(true, false, true, Some(WaitReason::CatchUp))]
#[case::the_group_is_whole(true, true, false, Some(WaitReason::Room))]
fn a_new_store_joins_once_it_has_caught_up(
    #[case] complete: bool,
    #[case] caught_up: bool,
    #[case] room: bool,
    #[case] waits_for: Option<WaitReason>,
) {
    let list = members(3);
    let newcomer = LocalMember {
        complete,
        caught_up,
        has_room: room,
        ..oneself(3)
    };
    let step = decide(&list, &newcomer, &peers(&list, 3, &[], &[]), &tolerance());
    let expected = match waits_for {
        None => MembershipStep::Change(list.start_change(members(4).list)),
        Some(waiting) => MembershipStep::Wait(waiting),
    };
    assert_eq!(step, expected);
}

/// A spare joined beside a lost member at the very moment at which it would have replaced
/// it: two of three were left, and the next loss stopped the group for good.
#[test]
fn a_new_store_waits_while_a_member_may_be_lost() {
    let list = members(3);
    let newcomer = oneself(3);
    let quiet = (1, REPLACE_AFTER / 2 + Duration::from_millis(1));
    let step = decide(
        &list,
        &newcomer,
        &peers(&list, 3, &[quiet], &[]),
        &tolerance(),
    );
    assert_eq!(step, MembershipStep::Wait(WaitReason::Successor));
}

/// While a change is under way a new store waits: the list changes one time after the
/// other.
#[test]
fn a_new_store_waits_for_the_change_under_way() {
    let list = members(3);
    let during = list.start_change(members(4).list);
    let health = peers(&during, 4, &[], &[]);
    let step = decide(&during, &oneself(4), &health, &tolerance());
    assert_eq!(step, MembershipStep::Wait(WaitReason::Settling));
}

/// A lost member counted for the quorums until it was removed, some 10 s after its loss;
/// the next loss found two of four members alive where three were needed, and nobody
/// ever served again. Its successor takes its place in one step.
#[rstest]
#[case::of_three(3)]
#[case::of_two_one_may_be_lost(2)]
fn a_successor_takes_the_place_of_a_silent_member(#[case] count: usize) {
    let list = members(count);
    let successor = oneself(count);
    let health = peers(&list, count, &[gone(1)], &[]);
    let step = decide(&list, &successor, &health, &tolerance());
    let replaced = list.list_replacing("store-1", member(count));
    assert_eq!(step, MembershipStep::Change(list.start_change(replaced)));
    let short = peers(&list, count, &[(1, REPLACE_AFTER)], &[]);
    let whole = LocalMember {
        has_room: false,
        ..successor
    };
    let step = decide(&list, &whole, &short, &tolerance());
    let waits = MembershipStep::Wait(WaitReason::Room);
    assert_eq!(step, waits, "not silent for long enough");
}

/// Also while a change is under way: whoever was to become a member may be lost.
#[test]
fn a_successor_takes_the_place_of_a_new_member_that_is_silent() {
    let list = members(3);
    let during = list.start_change(list.list_replacing("store-1", member(3)));
    let health = peers(&during, 4, &[gone(3), gone(1)], &[]);
    let step = decide(&during, &oneself(4), &health, &tolerance());
    let replaced = during.list_replacing("store-3", member(4));
    assert_eq!(
        step,
        MembershipStep::Change(during.start_change(replaced.clone()))
    );
    assert_eq!(during.start_change(replaced).before, list.list);
}

#[test]
fn a_new_address_is_told() {
    let moved = LocalMember {
        entry: Member {
            address: Text::from("10.0.9.9:7000"),
            ..member(1)
        },
        ..oneself(1)
    };
    let MembershipStep::Change(next) = decide(&members(3), &moved, &[], &tolerance()) else {
        panic!("the list changes");
    };
    assert_eq!(next.list[1].address.as_str(), "10.0.9.9:7000");
    assert_eq!(next.list.len(), 3);
}

/// A change is settled once it is fenced and a write quorum of the new members holds
/// what the fence held; else the next list's quorums could miss a kept record.
#[rstest]
#[case::all_hold_it(true, true, &[], None)]
#[case::a_quorum_holds_it(true, true, &[2], None)]
#[case::too_few_hold_it(true, true, &[2, 3], Some(WaitReason::Holders))]
#[case::an_older_list_may_be_in_use(true, false, &[], Some(WaitReason::Fence))]
#[case::its_disk_may_lack_something(false, true, &[], Some(WaitReason::Completeness))]
fn a_change_is_settled_once_the_new_members_hold_everything(
    #[case] complete: bool,
    #[case] fenced: bool,
    #[case] behind: &[usize],
    #[case] waits_for: Option<WaitReason>,
) {
    let list = members(3);
    let during = list.start_change(list.list_replacing("store-1", member(3)));
    let proposer = LocalMember {
        complete,
        fenced,
        ..oneself(0)
    };
    let health = peers(&during, 0, &[dead(1)], behind);
    let step = decide(&during, &proposer, &health, &tolerance());
    let expected = match waits_for {
        None => MembershipStep::Change(during.settle_change()),
        Some(waiting) => MembershipStep::Wait(waiting),
    };
    assert_eq!(step, expected);
}

/// A store that is to leave, or that has been replaced, is no holder for the list that
/// goes on without it.
#[test]
fn holders_are_members_of_the_new_list() {
    let list = members(3);
    let during = list.start_change(list.list_without("store-2"));
    let leaver = LocalMember {
        retiring: true,
        member_list_age: STEP_TAKEOVER_DELAY,
        ..oneself(2)
    };
    let step = decide(
        &during,
        &leaver,
        &peers(&during, 2, &[], &[1]),
        &tolerance(),
    );
    let waits = MembershipStep::Wait(WaitReason::Holders);
    assert_eq!(step, waits, "store-0 alone holds it");
    let step = decide(&during, &leaver, &peers(&during, 2, &[], &[]), &tolerance());
    assert_eq!(step, MembershipStep::Change(during.settle_change()));
}

/// The fence of a change is as many of the members before as every write quorum meets.
#[rstest]
#[case::two_of_three(3, &[0, 1], true)]
#[case::one_of_three(3, &[0], false)]
#[case::one_of_two(2, &[0], true)]
#[case::only_the_new_one(3, &[3], false)]
fn a_fence_consists_of_members_before(
    #[case] count: usize,
    #[case] in_step: &[usize],
    #[case] expected: bool,
) {
    let list = members(count);
    let during = list.start_change(list.list_replacing("store-1", member(count)));
    let known = |member: &Member| {
        let mut numbers = in_step.iter();
        numbers.any(|number| member.node == format!("store-{number}").into())
    };
    assert_eq!(is_fenced(&during, &tolerance(), known), expected);
}

/// The first of the list that lives makes the step, the others once it has not.
#[test]
fn one_store_makes_the_step_and_the_others_after_a_while() {
    let list = members(3);
    let during = list.start_change(members(4).list);
    let health = peers(&during, 1, &[], &[]);
    let second = oneself(1);
    let step = decide(&during, &second, &health, &tolerance());
    assert_eq!(step, MembershipStep::Wait(WaitReason::FirstMember));
    let first_is_silent = peers(&during, 1, &[gone(0)], &[]);
    let settled = MembershipStep::Change(during.settle_change());
    let step = decide(&during, &second, &first_is_silent, &tolerance());
    assert_eq!(step, settled);
    let later = LocalMember {
        member_list_age: STEP_TAKEOVER_DELAY,
        ..second
    };
    assert_eq!(decide(&during, &later, &health, &tolerance()), settled);
}

/// Where the new members can't serve and those before can, the change is given up.
#[rstest]
#[case::the_new_one_is_lost(3, 2, &[3], true)]
#[case::one_that_stays_is_lost(3, 2, &[1], true)]
#[case::too_many_are_lost(3, 2, &[0, 1], false)]
fn a_change_that_can_not_serve_is_given_up(
    #[case] count: usize,
    #[case] removed: usize,
    #[case] silent: &[usize],
    #[case] given_up: bool,
) {
    let list = members(count);
    let mut next = list.list_without(&format!("store-{removed}"));
    if silent.contains(&3) {
        next.retain(|member| member.node == "store-0".into());
        next.push(member(3));
    }
    let during = list.start_change(next);
    let silent: Vec<(usize, Duration)> = silent.iter().map(|number| gone(*number)).collect();
    let proposer = LocalMember {
        fenced: false,
        member_list_age: STEP_TAKEOVER_DELAY,
        ..oneself(2)
    };
    let health = peers(&during, 2, &silent, &[]);
    let expected = match given_up {
        true => MembershipStep::Change(during.abandon_change()),
        false => MembershipStep::Wait(WaitReason::Fence),
    };
    assert_eq!(decide(&during, &proposer, &health, &tolerance()), expected);
}

#[rstest]
#[case::one_dead(4, &[2], Some(2))]
#[case::two_dead_and_the_rest_would_serve_again(4, &[2, 3], Some(3))]
#[case::three_dead(4, &[1, 2, 3], None)]
#[case::two_are_left(3, &[2], Some(2))]
#[case::too_few_would_be_left(2, &[1], None)]
#[case::nobody_dead(4, &[], None)]
fn a_dead_member_goes_where_the_rest_can_serve(
    #[case] count: usize,
    #[case] silent: &[usize],
    #[case] removed: Option<usize>,
) {
    let list = members(count);
    let silent: Vec<(usize, Duration)> = silent.iter().map(|number| dead(*number)).collect();
    let health = peers(&list, 0, &silent, &[]);
    let step = decide(&list, &oneself(0), &health, &tolerance());
    let expected = match removed {
        Some(number) => {
            let rest = list.list_without(&format!("store-{number}"));
            MembershipStep::Change(list.start_change(rest))
        }
        None if silent.is_empty() => MembershipStep::Wait(WaitReason::Nothing),
        None => MembershipStep::Wait(WaitReason::Successor),
    };
    assert_eq!(step, expected);
    let wiped = LocalMember {
        complete: false,
        ..oneself(0)
    };
    let step = decide(&list, &wiped, &health, &tolerance());
    let waits = MembershipStep::Wait(WaitReason::Completeness);
    assert_eq!(step, waits, "a store that may lack something");
}

/// A dead member was removed a second before its successor would have taken its place: the
/// successor had to begin anew, and the next loss found a group of two.
#[test]
fn a_dead_member_stays_listed_for_a_successor_that_is_near() {
    let list = members(3);
    let health = peers(&list, 0, &[dead(2)], &[]);
    let waits = LocalMember {
        successor_pending: true,
        ..oneself(0)
    };
    let step = decide(&list, &waits, &health, &tolerance());
    assert_eq!(step, MembershipStep::Wait(WaitReason::Successor));
}

/// Two disks may be lost: of two dead members the longer silent goes first, the other
/// once the change is settled; a second death does not stop the removal of the first.
/// On a day of a deployment with six members it did: neither was ever removed, and after
/// a lost disk too few were left.
#[test]
fn two_dead_members_go_one_after_the_other() {
    let tolerance = Tolerance::of_machines(2);
    let list = members(5);
    let longer = (3, SILENT_REMOVAL_TIMEOUT + Duration::from_secs(1));
    let health = peers(&list, 0, &[dead(2), longer], &[]);
    let MembershipStep::Change(during) = decide(&list, &oneself(0), &health, &tolerance) else {
        panic!("it is removed");
    };
    assert_eq!(during, list.start_change(list.list_without("store-3")));
    let health = peers(&during, 0, &[dead(2), longer], &[2, 3]);
    let step = decide(&during, &oneself(0), &health, &tolerance);
    let rest = during.settle_change();
    assert_eq!(step, MembershipStep::Change(rest.clone()));
    let health = peers(&rest, 0, &[dead(2)], &[]);
    let step = decide(&rest, &oneself(0), &health, &tolerance);
    let without = rest.start_change(rest.list_without("store-2"));
    assert_eq!(step, MembershipStep::Change(without));
    let three = peers(&list, 0, &[dead(1), dead(2), dead(3)], &[]);
    let step = decide(&list, &oneself(0), &three, &tolerance);
    let waits = MembershipStep::Wait(WaitReason::Successor);
    assert_eq!(step, waits, "more than may be lost");
}

/// A hunted day: a store was lost and another had taken its place; while the lost one
/// was still in the list, the new one was told to leave. The two that were left were no
/// quorum: every turn was refused. A store leaves only where the others serve, and takes
/// records until they do.
#[rstest]
#[case::one_of_three_is_dead(3, &[1], false)]
#[case::all_of_three_alive(3, &[], true)]
#[case::one_of_four_is_dead(4, &[1], true)]
#[case::two_of_four_are_dead(4, &[0, 1], false)]
#[case::all_of_four_alive(4, &[], true)]
#[case::two_would_be_too_few(2, &[], false)]
fn a_store_begins_to_leave_only_where_the_others_serve(
    #[case] count: usize,
    #[case] silent: &[usize],
    #[case] begins: bool,
) {
    let list = members(count);
    let leaver = LocalMember {
        retiring: true,
        ..oneself(count - 1)
    };
    let silent: Vec<(usize, Duration)> = silent.iter().map(|number| gone(*number)).collect();
    let health = peers(&list, count - 1, &silent, &[]);
    let rest = list.list_without(&format!("store-{}", count - 1));
    let expected = match begins {
        true => MembershipStep::StartLeaving(list.start_change(rest)),
        false => MembershipStep::Wait(WaitReason::OthersToServe),
    };
    assert_eq!(decide(&list, &leaver, &health, &tolerance()), expected);
}

/// One that was removed while nobody heard it becomes a spare, and a member again
/// where there is room.
#[test]
fn a_removed_store_that_comes_back_joins_again() {
    let list = members(3);
    let rest = list
        .start_change(list.list_without("store-1"))
        .settle_change();
    let health = peers(&rest, 1, &[], &[]);
    let back = LocalMember {
        caught_up: false,
        ..oneself(1)
    };
    let step = decide(&rest, &back, &health, &tolerance());
    assert_eq!(step, MembershipStep::Wait(WaitReason::CatchUp));
    let step = decide(&rest, &oneself(1), &health, &tolerance());
    let mut whole = rest.list.clone();
    whole.push(member(1));
    assert_eq!(step, MembershipStep::Change(rest.start_change(whole)));
}

/// A member too many leaves as one that retires.
#[test]
fn a_member_too_many_becomes_a_spare() {
    let list = members(4);
    let mut extra = LocalMember {
        surplus: true,
        ..oneself(3)
    };
    let health = peers(&list, 3, &[], &[]);
    let step = decide(&list, &extra, &health, &tolerance());
    assert_eq!(step, MembershipStep::Wait(WaitReason::Nothing));
    extra.member_list_age = SURPLUS_LEAVE_DELAY;
    let step = decide(&list, &extra, &health, &tolerance());
    let rest = list.start_change(members(3).list);
    assert_eq!(step, MembershipStep::StartLeaving(rest));
}
