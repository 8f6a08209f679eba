//! Tests the choice of the next membership step.

use std::time::Duration;

use rstest::rstest;
use stageyoke_directory::{Member, MemberState, Members, Tolerance};
use stageyoke_store::membership::{
    LocalMember, MembershipStep, PeerHealth, SILENT_REMOVAL_TIMEOUT, STEP_TAKEOVER_DELAY,
    SURPLUS_LEAVE_DELAY, decide, is_fenced,
};
use stageyoke_store::wait_reason::WaitReason;
use stageyoke_types::Text;

const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(2);

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

fn local_member(number: usize) -> LocalMember {
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
        replacement_timeout: REPLACEMENT_TIMEOUT,
    }
}

/// The health of the local store's peers, of which some are silent or lagging.
fn peers(
    list: &Members,
    local: usize,
    silent: &[(usize, Duration)],
    lagging: &[usize],
) -> Vec<PeerHealth> {
    let has_number =
        |member: &Member, number: usize| member.node == format!("store-{number}").into();
    let other_members = list.all().filter(|member| !has_number(member, local));
    other_members
        .map(|member| {
            let mut silent = silent.iter();
            let silence = silent.find(|(number, _)| has_number(member, *number));
            PeerHealth {
                node: member.node.clone(),
                silent_for: silence.map_or(Duration::from_millis(900), |(_, silence)| *silence),
                caught_up: !lagging.iter().any(|number| has_number(member, *number)),
            }
        })
        .collect()
}

fn silent_past_removal_timeout(number: usize) -> (usize, Duration) {
    (number, SILENT_REMOVAL_TIMEOUT + Duration::from_millis(1))
}

fn silent_past_replacement_timeout(number: usize) -> (usize, Duration) {
    (number, REPLACEMENT_TIMEOUT + Duration::from_millis(1))
}

#[test]
fn the_first_complete_store_creates_the_group() {
    let step = decide(&Members::default(), &local_member(0), &[], &tolerance());
    assert_eq!(step, MembershipStep::Change(members(1)));
    let wiped = LocalMember {
        complete: false,
        ..local_member(0)
    };
    let step = decide(&Members::default(), &wiped, &[], &tolerance());
    assert_eq!(
        step,
        MembershipStep::Wait(WaitReason::Completeness),
        "an incomplete store doesn't create the group"
    );
}

/// Guards against a group that is never created because all stores were killed before any
/// had created it.
#[test]
fn a_store_killed_before_the_group_exists_creates_it_later() {
    let restarted = LocalMember {
        complete: true,
        caught_up: false,
        ..local_member(0)
    };
    let step = decide(&Members::default(), &restarted, &[], &tolerance());
    assert_eq!(step, MembershipStep::Change(members(1)));
}

/// A member list without a write quorum has never stored anything, so a store that joins
/// has nothing to catch up with.
#[test]
fn a_store_joins_without_catching_up_before_a_quorum_exists() {
    use stageyoke_store::membership::has_never_stored;
    assert!(has_never_stored(&Members::default(), &tolerance()));
    assert!(has_never_stored(&members(1), &tolerance()));
    assert!(!has_never_stored(&members(2), &tolerance()));
    let second = LocalMember {
        caught_up: false,
        ..local_member(1)
    };
    let step = decide(&members(1), &second, &[], &tolerance());
    assert_eq!(step, MembershipStep::Change(members(2)));
}

#[rstest]
#[case(true, true, true, None)]
#[case::incomplete_disk(false, true, true, Some(WaitReason::Completeness))]
#[case::not_caught_up(true, false, true, Some(WaitReason::CatchUp))]
#[case::group_is_full(true, true, false, Some(WaitReason::Room))]
fn a_new_store_joins_once_it_has_caught_up(
    #[case] complete: bool,
    #[case] caught_up: bool,
    #[case] room: bool,
    #[case] wait_reason: Option<WaitReason>,
) {
    let list = members(3);
    let new_store = LocalMember {
        complete,
        caught_up,
        has_room: room,
        ..local_member(3)
    };
    let step = decide(&list, &new_store, &peers(&list, 3, &[], &[]), &tolerance());
    let expected = match wait_reason {
        None => MembershipStep::Change(list.start_change(members(4).list)),
        Some(waiting) => MembershipStep::Wait(waiting),
    };
    assert_eq!(step, expected);
}

/// Guards against a spare that joins beside a lost member instead of replacing it, after
/// which the next loss stops the group for good.
#[test]
fn a_new_store_waits_while_a_member_may_be_lost() {
    let list = members(3);
    let new_store = local_member(3);
    let silent = (1, REPLACEMENT_TIMEOUT / 2 + Duration::from_millis(1));
    let step = decide(
        &list,
        &new_store,
        &peers(&list, 3, &[silent], &[]),
        &tolerance(),
    );
    assert_eq!(step, MembershipStep::Wait(WaitReason::Successor));
}

/// Guards against overlapping membership changes.
#[test]
fn a_new_store_waits_for_a_change_in_progress() {
    let list = members(3);
    let during = list.start_change(members(4).list);
    let health = peers(&during, 4, &[], &[]);
    let step = decide(&during, &local_member(4), &health, &tolerance());
    assert_eq!(step, MembershipStep::Wait(WaitReason::Settling));
}

/// Guards against a lost member that counts for quorums until it is removed, so that the
/// next loss stops the group: a successor replaces it in one step.
#[rstest]
#[case::three_members(3)]
#[case::two_members(2)]
fn a_successor_replaces_a_silent_member(#[case] count: usize) {
    let list = members(count);
    let successor = local_member(count);
    let health = peers(&list, count, &[silent_past_replacement_timeout(1)], &[]);
    let step = decide(&list, &successor, &health, &tolerance());
    let replaced = list.list_replacing("store-1", member(count));
    assert_eq!(step, MembershipStep::Change(list.start_change(replaced)));
    let barely_silent = peers(&list, count, &[(1, REPLACEMENT_TIMEOUT)], &[]);
    let without_room = LocalMember {
        has_room: false,
        ..successor
    };
    let step = decide(&list, &without_room, &barely_silent, &tolerance());
    let expected = MembershipStep::Wait(WaitReason::Room);
    assert_eq!(step, expected, "the member is not silent for long enough");
}

/// A store that is about to become a member may be lost during the change.
#[test]
fn a_successor_replaces_a_silent_joining_member() {
    let list = members(3);
    let during = list.start_change(list.list_replacing("store-1", member(3)));
    let health = peers(
        &during,
        4,
        &[
            silent_past_replacement_timeout(3),
            silent_past_replacement_timeout(1),
        ],
        &[],
    );
    let step = decide(&during, &local_member(4), &health, &tolerance());
    let replaced = during.list_replacing("store-3", member(4));
    assert_eq!(
        step,
        MembershipStep::Change(during.start_change(replaced.clone()))
    );
    assert_eq!(during.start_change(replaced).before, list.list);
}

#[test]
fn a_changed_address_is_proposed() {
    let moved = LocalMember {
        entry: Member {
            address: Text::from("10.0.9.9:7000"),
            ..member(1)
        },
        ..local_member(1)
    };
    let MembershipStep::Change(next) = decide(&members(3), &moved, &[], &tolerance()) else {
        panic!("no change is proposed");
    };
    assert_eq!(next.list[1].address.as_str(), "10.0.9.9:7000");
    assert_eq!(next.list.len(), 3);
}

/// Guards against quorums of the new member list that miss a stored record.
#[rstest]
#[case::all_hold_everything(true, true, &[], None)]
#[case::a_quorum_holds_everything(true, true, &[2], None)]
#[case::too_few_hold_everything(true, true, &[2, 3], Some(WaitReason::Holders))]
#[case::unfenced(true, false, &[], Some(WaitReason::Fence))]
#[case::incomplete_disk(false, true, &[], Some(WaitReason::Completeness))]
fn a_change_is_settled_once_a_quorum_of_new_members_holds_everything(
    #[case] complete: bool,
    #[case] fenced: bool,
    #[case] lagging: &[usize],
    #[case] wait_reason: Option<WaitReason>,
) {
    let list = members(3);
    let during = list.start_change(list.list_replacing("store-1", member(3)));
    let proposer = LocalMember {
        complete,
        fenced,
        ..local_member(0)
    };
    let health = peers(&during, 0, &[silent_past_removal_timeout(1)], lagging);
    let step = decide(&during, &proposer, &health, &tolerance());
    let expected = match wait_reason {
        None => MembershipStep::Change(during.settle_change()),
        Some(waiting) => MembershipStep::Wait(waiting),
    };
    assert_eq!(step, expected);
}

/// Guards against counting a leaving member as a holder for the list without it.
#[test]
fn only_members_of_the_new_list_count_as_holders() {
    let list = members(3);
    let during = list.start_change(list.list_without("store-2"));
    let leaving_member = LocalMember {
        retiring: true,
        member_list_age: STEP_TAKEOVER_DELAY,
        ..local_member(2)
    };
    let step = decide(
        &during,
        &leaving_member,
        &peers(&during, 2, &[], &[1]),
        &tolerance(),
    );
    let expected = MembershipStep::Wait(WaitReason::Holders);
    assert_eq!(step, expected, "store-0 alone holds everything");
    let step = decide(
        &during,
        &leaving_member,
        &peers(&during, 2, &[], &[]),
        &tolerance(),
    );
    assert_eq!(step, MembershipStep::Change(during.settle_change()));
}

/// A fence needs enough old members to intersect every write quorum of theirs.
#[rstest]
#[case::two_of_three(3, &[0, 1], true)]
#[case::one_of_three(3, &[0], false)]
#[case::one_of_two(2, &[0], true)]
#[case::only_the_new_member(3, &[3], false)]
fn a_fence_consists_of_old_members(
    #[case] count: usize,
    #[case] in_sync: &[usize],
    #[case] expected: bool,
) {
    let list = members(count);
    let during = list.start_change(list.list_replacing("store-1", member(count)));
    let is_in_sync = |member: &Member| {
        let mut numbers = in_sync.iter();
        numbers.any(|number| member.node == format!("store-{number}").into())
    };
    assert_eq!(is_fenced(&during, &tolerance(), is_in_sync), expected);
}

/// The first responsive member of the list makes the step, others only after a delay.
#[test]
fn other_members_take_over_a_step_after_a_delay() {
    let list = members(3);
    let during = list.start_change(members(4).list);
    let health = peers(&during, 1, &[], &[]);
    let second = local_member(1);
    let step = decide(&during, &second, &health, &tolerance());
    assert_eq!(step, MembershipStep::Wait(WaitReason::FirstMember));
    let first_is_silent = peers(&during, 1, &[silent_past_replacement_timeout(0)], &[]);
    let settled = MembershipStep::Change(during.settle_change());
    let step = decide(&during, &second, &first_is_silent, &tolerance());
    assert_eq!(step, settled);
    let after_delay = LocalMember {
        member_list_age: STEP_TAKEOVER_DELAY,
        ..second
    };
    assert_eq!(
        decide(&during, &after_delay, &health, &tolerance()),
        settled
    );
}

/// Guards against a group that stays unavailable because its new members are lost although
/// the old ones could serve.
#[rstest]
#[case::the_new_member_is_lost(3, 2, &[3], true)]
#[case::a_remaining_member_is_lost(3, 2, &[1], true)]
#[case::too_many_members_are_lost(3, 2, &[0, 1], false)]
fn a_change_whose_new_members_can_not_serve_is_abandoned(
    #[case] count: usize,
    #[case] removed: usize,
    #[case] silent: &[usize],
    #[case] is_abandoned: bool,
) {
    let list = members(count);
    let mut next = list.list_without(&format!("store-{removed}"));
    if silent.contains(&3) {
        next.retain(|member| member.node == "store-0".into());
        next.push(member(3));
    }
    let during = list.start_change(next);
    let silent: Vec<(usize, Duration)> = silent
        .iter()
        .map(|number| silent_past_replacement_timeout(*number))
        .collect();
    let proposer = LocalMember {
        fenced: false,
        member_list_age: STEP_TAKEOVER_DELAY,
        ..local_member(2)
    };
    let health = peers(&during, 2, &silent, &[]);
    let expected = match is_abandoned {
        true => MembershipStep::Change(during.abandon_change()),
        false => MembershipStep::Wait(WaitReason::Fence),
    };
    assert_eq!(decide(&during, &proposer, &health, &tolerance()), expected);
}

#[rstest]
#[case::one_dead(4, &[2], Some(2))]
#[case::two_dead_and_the_rest_can_serve(4, &[2, 3], Some(3))]
#[case::three_dead(4, &[1, 2, 3], None)]
#[case::two_remaining(3, &[2], Some(2))]
#[case::too_few_remaining(2, &[1], None)]
#[case::none_dead(4, &[], None)]
fn a_dead_member_is_removed_if_the_rest_can_serve(
    #[case] count: usize,
    #[case] silent: &[usize],
    #[case] removed: Option<usize>,
) {
    let list = members(count);
    let silent: Vec<(usize, Duration)> = silent
        .iter()
        .map(|number| silent_past_removal_timeout(*number))
        .collect();
    let health = peers(&list, 0, &silent, &[]);
    let step = decide(&list, &local_member(0), &health, &tolerance());
    let expected = match removed {
        Some(number) => {
            let remaining = list.list_without(&format!("store-{number}"));
            MembershipStep::Change(list.start_change(remaining))
        }
        None if silent.is_empty() => MembershipStep::Wait(WaitReason::Nothing),
        None => MembershipStep::Wait(WaitReason::Successor),
    };
    assert_eq!(step, expected);
    let wiped = LocalMember {
        complete: false,
        ..local_member(0)
    };
    let step = decide(&list, &wiped, &health, &tolerance());
    let expected = MembershipStep::Wait(WaitReason::Completeness);
    assert_eq!(step, expected, "an incomplete store doesn't remove members");
}

/// Guards against removing a dead member just before its successor replaces it, which
/// leaves the group a member short for longer.
#[test]
fn a_dead_member_is_not_removed_while_a_successor_is_pending() {
    let list = members(3);
    let health = peers(&list, 0, &[silent_past_removal_timeout(2)], &[]);
    let local = LocalMember {
        successor_pending: true,
        ..local_member(0)
    };
    let step = decide(&list, &local, &health, &tolerance());
    assert_eq!(step, MembershipStep::Wait(WaitReason::Successor));
}

/// Guards against two dead members that block each other's removal: the one silent for
/// longer is removed first, the other once that change is settled.
#[test]
fn two_dead_members_are_removed_one_after_the_other() {
    let tolerance = Tolerance::of_machines(2);
    let list = members(5);
    let longer = (3, SILENT_REMOVAL_TIMEOUT + Duration::from_secs(1));
    let health = peers(&list, 0, &[silent_past_removal_timeout(2), longer], &[]);
    let MembershipStep::Change(during) = decide(&list, &local_member(0), &health, &tolerance)
    else {
        panic!("no dead member is removed");
    };
    assert_eq!(during, list.start_change(list.list_without("store-3")));
    let health = peers(
        &during,
        0,
        &[silent_past_removal_timeout(2), longer],
        &[2, 3],
    );
    let step = decide(&during, &local_member(0), &health, &tolerance);
    let remaining = during.settle_change();
    assert_eq!(step, MembershipStep::Change(remaining.clone()));
    let health = peers(&remaining, 0, &[silent_past_removal_timeout(2)], &[]);
    let step = decide(&remaining, &local_member(0), &health, &tolerance);
    let next_change = remaining.start_change(remaining.list_without("store-2"));
    assert_eq!(step, MembershipStep::Change(next_change));
    let three = peers(
        &list,
        0,
        &[
            silent_past_removal_timeout(1),
            silent_past_removal_timeout(2),
            silent_past_removal_timeout(3),
        ],
        &[],
    );
    let step = decide(&list, &local_member(0), &three, &tolerance);
    let expected = MembershipStep::Wait(WaitReason::Successor);
    assert_eq!(step, expected, "more dead members than tolerated");
}

/// Guards against a retiring store that leaves too few responsive members for a quorum, so
/// that every turn is refused.
#[rstest]
#[case::one_of_three_is_dead(3, &[1], false)]
#[case::all_of_three_alive(3, &[], true)]
#[case::one_of_four_is_dead(4, &[1], true)]
#[case::two_of_four_are_dead(4, &[0, 1], false)]
#[case::all_of_four_alive(4, &[], true)]
#[case::one_would_remain(2, &[], false)]
fn a_store_starts_to_leave_only_if_the_others_can_serve(
    #[case] count: usize,
    #[case] silent: &[usize],
    #[case] starts: bool,
) {
    let list = members(count);
    let leaving_member = LocalMember {
        retiring: true,
        ..local_member(count - 1)
    };
    let silent: Vec<(usize, Duration)> = silent
        .iter()
        .map(|number| silent_past_replacement_timeout(*number))
        .collect();
    let health = peers(&list, count - 1, &silent, &[]);
    let remaining = list.list_without(&format!("store-{}", count - 1));
    let expected = match starts {
        true => MembershipStep::StartLeaving(list.start_change(remaining)),
        false => MembershipStep::Wait(WaitReason::OthersToServe),
    };
    assert_eq!(
        decide(&list, &leaving_member, &health, &tolerance()),
        expected
    );
}

/// A store that was removed while unreachable returns as a spare and joins if there is
/// room.
#[test]
fn a_removed_store_rejoins_after_its_return() {
    let list = members(3);
    let remaining = list
        .start_change(list.list_without("store-1"))
        .settle_change();
    let health = peers(&remaining, 1, &[], &[]);
    let returned = LocalMember {
        caught_up: false,
        ..local_member(1)
    };
    let step = decide(&remaining, &returned, &health, &tolerance());
    assert_eq!(step, MembershipStep::Wait(WaitReason::CatchUp));
    let step = decide(&remaining, &local_member(1), &health, &tolerance());
    let mut rejoined = remaining.list.clone();
    rejoined.push(member(1));
    assert_eq!(
        step,
        MembershipStep::Change(remaining.start_change(rejoined))
    );
}

/// A surplus member leaves as a retiring one does, after a delay.
#[test]
fn a_surplus_member_leaves() {
    let list = members(4);
    let mut extra = LocalMember {
        surplus: true,
        ..local_member(3)
    };
    let health = peers(&list, 3, &[], &[]);
    let step = decide(&list, &extra, &health, &tolerance());
    assert_eq!(step, MembershipStep::Wait(WaitReason::Nothing));
    extra.member_list_age = SURPLUS_LEAVE_DELAY;
    let step = decide(&list, &extra, &health, &tolerance());
    let remaining = list.start_change(members(3).list);
    assert_eq!(step, MembershipStep::StartLeaving(remaining));
}
