//! Decisions on reservations by the replies of a group's members.

use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use stageyoke_directory::{Member, MemberState, Members, Tolerance};
use stageyoke_store::keys::TurnKey;
use stageyoke_store::message::{LedgerEntry, Reply};
use stageyoke_store::quorum::{AppendTally, LedgerRoom, LedgerView};
use stageyoke_types::{List, Text};

/// Tokens of each turn.
const TURN_TOKENS: u32 = 10;

fn node(number: usize) -> Text {
    Text::from(format!("store-{number}"))
}

fn group(count: usize) -> Rc<Members> {
    let members = (0..count).fold(Members::default(), |members, number| {
        members.with_member(Member {
            node: node(number),
            address: Text::from(format!("10.0.0.{number}:1")),
            zone: Text::from("zone"),
            state: MemberState::Active,
            disk: number as u64,
        })
    });
    Rc::new(members)
}

fn entry(turn: &str) -> LedgerEntry {
    LedgerEntry {
        turn: TurnKey::of(turn).0,
        amount: TURN_TOKENS,
        settled: false,
    }
}

/// Reply of a complete member that has received the turns in this order.
fn reply(order: &[&str]) -> Reply {
    Reply::Stored {
        complete: true,
        ledger: List(order.iter().map(|turn| entry(turn)).collect()),
        other_fronts: Default::default(),
        directory: Default::default(),
    }
}

/// Returns how many turns of a member's order came after `turn`.
fn later(order: &[&str], turn: &str) -> usize {
    let position = order.iter().position(|other| *other == turn);
    position.map_or(0, |position| order.len() - position - 1)
}

fn room(turns: u32) -> LedgerRoom {
    LedgerRoom {
        max_others: u64::from(turns * TURN_TOKENS),
        rejection_delay: Duration::ZERO,
    }
}

/// Tally of a reservation after the replies of members that have received turns in these orders.
fn tally(count: usize, lost: usize, turn: &str, orders: &[(usize, Vec<&str>)]) -> AppendTally {
    let tolerance = Tolerance::of_machines(lost);
    let mut tally = AppendTally::new(&group(count), &tolerance, true).expect("a quorum");
    for (member, order) in orders {
        tally.add_ordered_reply(&node(*member), reply(order), later(order, turn));
    }
    tally
}

/// Guards against a turn that is rejected for siblings that came after it.
#[test]
fn entries_that_came_later_do_not_count() {
    let order = vec!["earlier", "own", "later"];
    let tally = tally(3, 1, "own", &[(0, order.clone()), (1, order)]);
    let ledger = tally.fitting_ledger("own", room(1)).expect("one fits");
    assert_eq!(ledger.total_excluding("own"), u64::from(TURN_TOKENS));
    assert!(tally.fitting_ledger("own", room(0)).is_none());
}

/// Guards against a budget that is exceeded beside a member that does not tell the order.
#[test]
fn all_entries_of_a_member_that_tells_no_order_count() {
    let tolerance = Tolerance::of_machines(1);
    let mut tally = AppendTally::new(&group(3), &tolerance, true).expect("a quorum");
    tally.add_reply(&node(0), reply(&["own", "other"]));
    tally.add_reply(&node(1), reply(&["own"]));
    assert!(tally.fitting_ledger("own", room(0)).is_none());
}

/// Guards against two turns that arrive in different orders and reject each other.
#[test]
fn of_two_racing_turns_exactly_one_is_granted() {
    let orders = vec![
        (0, vec!["one", "two"]),
        (1, vec!["two", "one"]),
        (2, vec!["two", "one"]),
    ];
    let one = tally(3, 1, "one", &orders);
    let two = tally(3, 1, "two", &orders);
    assert!(one.fitting_ledger("one", room(0)).is_none());
    assert!(two.fitting_ledger("two", room(0)).is_some());
    let first_two = tally(3, 1, "two", &orders[..2]);
    assert!(first_two.fitting_ledger("two", room(0)).is_none());
    assert!(first_two.may_still_fit("two", room(0)), "the third decides");
}

/// Guards against a rejection that waits for members whose answers can't change it.
#[rstest]
#[case::spent_at_both(vec![(0, vec!["other", "own"]), (1, vec!["other", "own"])], false)]
#[case::spent_at_one(vec![(0, vec!["other", "own"]), (1, vec!["own"])], true)]
fn a_spent_budget_is_known_by_a_quorum(
    #[case] orders: Vec<(usize, Vec<&str>)>,
    #[case] may_still_fit: bool,
) {
    let tally = tally(3, 1, "own", &orders);
    assert!(tally.fitting_ledger("own", room(0)).is_none());
    assert_eq!(tally.may_still_fit("own", room(0)), may_still_fit);
}

/// Guards against refunds that are not counted because only one member has them yet.
#[test]
fn a_settlement_known_to_any_member_counts() {
    let mut tally = tally(3, 1, "own", &[(0, vec!["other", "own"])]);
    let settled = LedgerEntry {
        amount: 0,
        settled: true,
        ..entry("other")
    };
    let stored = Reply::Stored {
        complete: true,
        ledger: List(vec![settled, entry("own")]),
        other_fronts: Default::default(),
        directory: Default::default(),
    };
    tally.add_ordered_reply(&node(1), stored, 0);
    assert!(tally.fitting_ledger("own", room(0)).is_some());
}

/// Guards against a repeated turn that ignores those that came after its first reservation.
#[test]
fn a_turn_that_was_settled_before_counts_all_entries() {
    let settled = LedgerEntry {
        amount: 0,
        settled: true,
        ..entry("own")
    };
    let stored = Reply::Stored {
        complete: true,
        ledger: List(vec![settled, entry("other")]),
        other_fronts: Default::default(),
        directory: Default::default(),
    };
    let mut tally = tally(3, 1, "own", &[(0, vec!["own", "other"])]);
    assert!(tally.may_still_fit("own", room(0)));
    tally.add_ordered_reply(&node(1), stored, 1);
    assert!(tally.fitting_ledger("own", room(0)).is_none());
    let ledger = tally.outcome_for("own").expect("stored");
    assert!(ledger.contains("other"));
}

const TURNS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// An order in which each of the members has received all turns, and in which members answer.
fn arrivals(members: usize) -> impl Strategy<Value = (Vec<Vec<&'static str>>, Vec<usize>)> {
    let order = Just(TURNS.to_vec()).prop_shuffle();
    let answers = Just((0..members).collect::<Vec<_>>()).prop_shuffle();
    (proptest::collection::vec(order, members), answers)
}

/// Returns the ledger by which a turn is granted, if it is.
fn decide(
    turn: &str,
    lost: usize,
    orders: &[Vec<&'static str>],
    answers: &[usize],
    turns_of_room: u32,
) -> Option<LedgerView> {
    let answers = answers
        .iter()
        .map(|member| (*member, orders[*member].clone()));
    let answers: Vec<_> = answers.collect();
    let quorum = orders.len() - lost;
    (quorum..=answers.len()).find_map(|count| {
        let tally = tally(orders.len(), lost, turn, &answers[..count]);
        tally.fitting_ledger(turn, room(turns_of_room))
    })
}

proptest! {
    /// Guards against two granted turns of which none has counted the other.
    #[test]
    fn of_two_granted_turns_at_least_one_counts_the_other(
        (orders, answers) in arrivals(5),
        room in 0_u32..5,
    ) {
        let granted: Vec<_> = TURNS
            .iter()
            .filter_map(|turn| Some((turn, decide(turn, 2, &orders, &answers, room)?)))
            .collect();
        for (one, ledger) in &granted {
            for (other, other_ledger) in &granted {
                let counted = ledger.contains(other) || other_ledger.contains(one);
                prop_assert!(one == other || counted, "{one} and {other}: {orders:?}");
            }
        }
    }

    /// Guards against a larger excess than that of quorums which share only one member: of the
    /// members, each decides on at most as many turns as fit, and each turn is decided by a quorum.
    #[test]
    fn granted_turns_exceed_the_budget_by_no_more_than_members_exceed_a_quorum(
        (orders, answers) in arrivals(3),
        room in 0_u32..5,
    ) {
        let granted = TURNS.iter().filter(|turn| decide(turn, 1, &orders, &answers, room).is_some());
        let (members, quorum) = (3, 2);
        let most = members * (room as usize + 1) / quorum;
        prop_assert!(granted.count() <= most, "{orders:?}");
    }

    /// Guards against turns that are rejected although they fit beside those before them.
    #[test]
    fn turns_in_one_order_are_granted_while_they_fit(
        order in Just(TURNS.to_vec()).prop_shuffle(),
        answers in Just(vec![0, 1, 2]).prop_shuffle(),
        room in 0_u32..5,
    ) {
        let orders = vec![order.clone(); 3];
        for (position, turn) in (0_u32..).zip(&order) {
            let granted = decide(turn, 1, &orders, &answers, room).is_some();
            prop_assert_eq!(granted, position <= room);
        }
    }
}
