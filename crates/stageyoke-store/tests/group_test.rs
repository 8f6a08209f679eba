//! Tests a front's requests to a group of real stores, with loopback sockets and disks.

#[path = "support/running_store.rs"]
mod running_store;
mod support;

use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use running_store::{Store, store_groups, with_later_version};
use stageyoke_directory::{GroupNumber, Member, MemberState, Members, StoreGroups, Tolerance};
use stageyoke_store::frame;
use stageyoke_store::local_store::{LocalStore, SilentSince};
use stageyoke_store::message::{JournalPosition, Numbered, Record, Reply, Request};
use stageyoke_store::peer_sync::Peers;
use stageyoke_store::quorum::AppendTally;
use stageyoke_store::rank_load::ServiceRank;
use stageyoke_store::{
    ChainOutcome, GroupClients, GroupError, LedgerRoom, LedgerView, ReservationOptions,
};
use stageyoke_types::{List, Text};
use support::turn;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::Instant;

const PROGRAM: &str = "program";
const TIMEOUT: Duration = Duration::from_secs(5);
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

fn tolerance() -> Tolerance {
    Tolerance::of_machines(1)
}

/// Stops a store's listener and the writer of its results.
fn stop(store: &Store) {
    store.tasks.iter().for_each(JoinHandle::abort);
}

/// Stalls a store's disk: no write completes from now on.
fn stall_disk(store: &Store) {
    store.tasks[1].abort();
}

async fn start_group(count: usize) -> (Vec<Store>, Rc<GroupClients>) {
    let mut stores = Vec::new();
    for number in 0..count {
        stores.push(Store::start(number, true).await);
    }
    let members = store_groups(&stores);
    for store in &stores {
        store.local_store.set_stores(members.clone());
    }
    let group = Rc::new(GroupClients::new(Text::from("zone"), tolerance()));
    group.update_stores(&members);
    (stores, group)
}

fn reserve_record(turn: &str) -> Record {
    Record::Reserve {
        program: Text::from("program"),
        turn: Text::from(turn),
        max_tokens: 100,
    }
}

async fn run_local<T>(work: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(work).await
}

/// Groups of each size still serve after as many losses as they tolerate.
#[rstest]
#[case(1, 0)]
#[case(2, 0)]
#[case(3, 1)]
#[case(5, 1)]
#[case(5, 2)]
#[tokio::test]
async fn groups_of_any_size_survive_the_tolerated_losses(
    #[case] count: usize,
    #[case] losses: usize,
) {
    run_local(async {
        let (stores, _) = start_group(count).await;
        for store in &stores[..losses] {
            stop(store);
        }
        let group = GroupClients::new(Text::from("zone"), Tolerance::of_machines(losses));
        group.update_stores(&store_groups(&stores));
        group
            .append(turn("one", ""), TIMEOUT)
            .await
            .expect("stored");
        let next = group.append(turn("two", "one"), TIMEOUT).await;
        assert!(next.is_ok());
        let ChainOutcome::Complete(parts) = group
            .chain(PROGRAM, &Text::from("two"), TIMEOUT, |_| true)
            .await
        else {
            panic!("the chain is incomplete");
        };
        assert_eq!(parts.len(), 2);
        let unknown = group
            .chain(PROGRAM, &Text::from("unknown"), TIMEOUT, |_| true)
            .await;
        assert!(matches!(unknown, ChainOutcome::Absent(_)), "{unknown:?}");
    })
    .await;
}

#[tokio::test]
async fn a_group_of_three_survives_one_lost_store_but_not_two() {
    run_local(async {
        let (stores, group) = start_group(3).await;
        stop(&stores[0]);
        group
            .append(turn("one", ""), TIMEOUT)
            .await
            .expect("two of three store it");
        stop(&stores[1]);
        let group = GroupClients::new(Text::from("zone"), tolerance());
        group.update_stores(&store_groups(&stores));
        let record = turn("two", "one");
        let error = group
            .append(record, SHORT_TIMEOUT)
            .await
            .expect_err("one store is too few");
        assert_eq!(error, GroupError::NoQuorum);
    })
    .await;
}

#[tokio::test]
async fn a_turn_is_reported_absent_only_if_a_quorum_lacks_it() {
    run_local(async {
        let (stores, group) = start_group(3).await;
        let unknown = Text::from("unknown");
        let outcome = group.chain(PROGRAM, &unknown, TIMEOUT, |_| true).await;
        assert!(matches!(outcome, ChainOutcome::Absent(turn) if turn == unknown));
        stop(&stores[0]);
        stop(&stores[1]);
        // Only the listeners have stopped; new clients have no open connections.
        let group = GroupClients::new(Text::from("zone"), tolerance());
        group.update_stores(&store_groups(&stores));
        let outcome = group
            .chain(PROGRAM, &unknown, SHORT_TIMEOUT, |_| true)
            .await;
        assert!(matches!(outcome, ChainOutcome::Unknown), "{outcome:?}");
    })
    .await;
}

#[tokio::test]
async fn a_store_with_a_lost_disk_never_reports_a_turn_absent() {
    run_local(async {
        let (mut stores, _) = start_group(2).await;
        stores.push(Store::start(2, false).await);
        let members = store_groups(&stores);
        for store in &stores {
            store.local_store.set_stores(members.clone());
        }
        let group = GroupClients::new(Text::from("zone"), tolerance());
        group.update_stores(&members);
        stop(&stores[0]);
        let outcome = group
            .chain(PROGRAM, &Text::from("unknown"), SHORT_TIMEOUT, |_| true)
            .await;
        assert!(matches!(outcome, ChainOutcome::Unknown), "{outcome:?}");
    })
    .await;
}

#[tokio::test]
async fn of_concurrent_reservations_at_least_one_sees_the_other() {
    run_local(async {
        let (_stores, group) = start_group(4).await;
        for round in 0..30 {
            let one = format!("one-{round}");
            let other = format!("other-{round}");
            let (first, second) = tokio::join!(
                group.append(reserve_record(&one), TIMEOUT),
                group.append(reserve_record(&other), TIMEOUT)
            );
            let first = first.expect("stored").total_excluding(&one);
            let second = second.expect("stored").total_excluding(&other);
            let expected = 200 * round;
            assert!(
                first.max(second) >= expected + 100,
                "{first} {second} {expected}"
            );
            assert!(first.min(second) >= expected);
        }
    })
    .await;
}

/// Guards against a lost disk in a group of two that is never filled, after which the group
/// refuses every turn: the other member holds everything.
#[rstest]
#[case(3)]
#[case(2)]
#[tokio::test]
async fn a_lost_disk_is_filled_and_then_complete(#[case] count: usize) {
    run_local(async {
        let (mut stores, group) = start_group(count).await;
        let last = count - 1;
        for number in 0..40 {
            let previous = match number {
                0 => String::new(),
                number => format!("turn-{}", number - 1),
            };
            let record = turn(&format!("turn-{number}"), &previous);
            group.append(record, TIMEOUT).await.expect("stored");
        }
        stop(&stores[last]);
        stores[last] = Store::start(last, false).await;
        let members = store_groups(&stores);
        for store in &stores {
            store
                .local_store
                .set_stores(with_later_version(&members, 3));
        }
        assert!(!stores[last].local_store.is_complete());
        let peers = Rc::new(Peers::new(stores[last].local_store.clone(), tolerance()));
        peers.update_members(&stores[last].local_store.members());
        // Limits the filling alone: the records before it are synced one by one.
        let filled = tokio::time::timeout(TIMEOUT, async {
            while !stores[last].local_store.is_complete() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
        filled.await.expect("the disk is filled in time");
        for number in 0..40 {
            let digest = turn(&format!("turn-{number}"), "").digest();
            assert!(stores[last].local_store.holds(digest));
        }
    })
    .await;
}

#[tokio::test]
async fn acknowledged_records_survive_a_restart() {
    run_local(async {
        let (mut stores, group) = start_group(2).await;
        group
            .append(turn("one", ""), TIMEOUT)
            .await
            .expect("stored");
        group
            .append(reserve_record("two"), TIMEOUT)
            .await
            .expect("stored");
        for number in 0..2 {
            let store = stores.remove(0);
            stop(&store);
            let restarted = Store::start_in(number, false, store.folder).await;
            assert!(restarted.local_store.is_complete());
            assert!(restarted.local_store.holds(turn("one", "").digest()));
            assert!(restarted.local_store.holds(reserve_record("two").digest()));
            stores.push(restarted);
        }
    })
    .await;
}

#[tokio::test]
async fn a_front_with_an_old_member_list_is_refused() {
    run_local(async {
        let (stores, group) = start_group(3).await;
        let newer = with_later_version(&group.stores(), 2);
        for store in &stores {
            store.local_store.set_stores(newer.clone());
        }
        let error = group
            .append(turn("one", ""), SHORT_TIMEOUT)
            .await
            .expect_err("stale members");
        assert_eq!(error, GroupError::StaleMembers);
        group.update_stores(&newer);
        group
            .append(turn("one", ""), TIMEOUT)
            .await
            .expect("stored");
    })
    .await;
}

/// Guards against a front that stays on an old member list while the key-value service
/// rejects it: stores that refuse its requests return the newer list.
#[tokio::test]
async fn a_front_cut_off_from_the_service_gets_member_lists_from_stores() {
    run_local(async {
        let (mut stores, group) = start_group(3).await;
        stores.push(Store::start(3, true).await);
        let four_stores = store_groups(&stores);
        let departed = stores.remove(0);
        let members = four_stores.group(GroupNumber(0)).expect("group");
        let remaining = members.list_without(&departed.local_store.node);
        let newest = members.start_change(remaining).settle_change();
        let newest = Rc::new(StoreGroups::single(newest));
        assert!(newest.version > group.stores().version + 1);
        for store in &stores {
            store.local_store.set_stores(newest.clone());
        }
        stop(&departed);
        let refused = group
            .append(reserve_record("one"), SHORT_TIMEOUT)
            .await
            .map(drop);
        assert_eq!(refused, Err(GroupError::StaleMembers));
        assert_eq!(group.stores().version, newest.version);
        group
            .append(reserve_record("one"), TIMEOUT)
            .await
            .expect("stored");
        group.append_in_background(turn("two", ""), TIMEOUT);
        // A later update from the service may be older.
        group.update_stores(&four_stores);
        assert_eq!(group.stores().version, newest.version);
    })
    .await;
}

/// Guards against duplicate writes when a front retries while the disk is slow.
#[tokio::test]
async fn a_record_in_flight_to_the_disk_is_not_written_twice() {
    run_local(async {
        let store = Store::start(0, true).await;
        let before = store.local_store.journal_end().next;
        let store_turn = || store.local_store.store_record(turn("one", ""));
        let results = tokio::join!(store_turn(), store_turn(), store_turn(), store_turn());
        assert_eq!(results, (true, true, true, true));
        assert_eq!(store.local_store.journal_end().next, before + 1);
        assert_eq!(store.local_store.in_flight_records(), 0);
    })
    .await;
}

/// A peer that reports a record's digest but never delivers the record.
async fn withholding_peer(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(async move {
            let (mut reader, mut writer) = stream.into_split();
            while let Ok(request) = frame::read::<Numbered<Request>>(&mut reader).await {
                let content = match request.content {
                    Request::Digests { .. } => Reply::Digests {
                        next: JournalPosition {
                            journal: 9,
                            next: 1,
                        },
                        more: false,
                        complete: true,
                        members_version: 3,
                        directory: Default::default(),
                        silent: List::default(),
                        digests: List(vec![turn("withheld", "").digest()]),
                    },
                    _ => Reply::Fetched {
                        journal: 9,
                        records: List::default(),
                        expired: List::default(),
                    },
                };
                let number = request.number;
                let bytes = frame::encode(&Numbered { number, content });
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Guards against a store that counts records as held after only their digests arrived; a
/// peer with a failing disk leaves records out of its replies.
#[tokio::test]
async fn undelivered_records_keep_a_store_incomplete() {
    run_local(async {
        let wiped = Store::start(0, false).await;
        let mut members = Members::default();
        for number in 0..3 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            let address = listener.local_addr().expect("address");
            members = members.with_member(Member {
                node: Text::from(format!("store-{number}")),
                address: Text::from(address.to_string()),
                zone: Text::from("zone"),
                state: MemberState::Active,
                disk: 0,
            });
            tokio::task::spawn_local(withholding_peer(listener));
        }
        let stores = Rc::new(StoreGroups::single(members.clone()));
        wiped.local_store.set_stores(stores);
        let peers = Rc::new(Peers::new(wiped.local_store.clone(), tolerance()));
        peers.update_members(&members);
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert!(!wiped.local_store.is_complete());
        assert!(!peers.is_caught_up_with("store-1", 0));
        assert!(!peers.is_in_sync_with("store-1", 1));
    })
    .await;
}

/// A spare learns from responsive members how long another member has been silent, and takes
/// the shortest time reported.
#[tokio::test]
async fn members_report_silent_members_to_a_spare() {
    run_local(async {
        let (stores, _) = start_group(3).await;
        let spare = Store::start(3, false).await;
        let report_silence = |local_store: &LocalStore, milliseconds: u64| {
            let since = Instant::now() - Duration::from_millis(milliseconds);
            let node = stores[2].local_store.node.clone();
            local_store.set_silent_peers(vec![SilentSince { node, since }]);
        };
        report_silence(&stores[0].local_store, 9_000);
        report_silence(&stores[1].local_store, 4_000);
        stop(&stores[2]);
        spare.local_store.set_stores(store_groups(&stores));
        spare.local_store.backfill_for(Some(GroupNumber(0)));
        let peers = Rc::new(Peers::new(spare.local_store.clone(), tolerance()));
        assert_eq!(peers.reported_silent_for("store-2"), None);
        peers.update_members(&spare.local_store.members());
        let is_silent_for = |least: u64| {
            let reported = peers.reported_silent_for("store-2");
            reported.is_some_and(|reported| reported >= Duration::from_millis(least))
        };
        while !(peers.is_caught_up_with("store-0", 0) && peers.is_caught_up_with("store-1", 0)) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(is_silent_for(4_000) && !is_silent_for(9_000));
        stores[1].local_store.set_silent_peers(Vec::new());
        while peers.reported_silent_for("store-2") != Some(Duration::ZERO) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .await;
}

/// A front can query whether a program has started without storing a record; the reply also
/// carries the requests in flight at other fronts.
#[tokio::test]
async fn a_front_can_query_whether_a_program_has_started() {
    run_local(async {
        let (stores, group) = start_group(3).await;
        let other = GroupClients::new(Text::from("zone"), tolerance());
        other.update_stores(&store_groups(&stores));
        let ranked = ServiceRank {
            service: 5,
            rank: 2,
        };
        other.load().ranks.enable_reports();
        other.load().ranks.start_turn(ranked);
        other
            .append(reserve_record("one"), TIMEOUT)
            .await
            .expect("stored");
        let program = Text::from(PROGRAM);
        let unknown = Text::from("unknown");
        // Load reports follow the first reply and later requests. They expire after half a
        // second, which a busy machine may exceed, so the loop retries.
        group
            .append(turn("of-another", ""), TIMEOUT)
            .await
            .expect("stored");
        let deadline = Instant::now() + TIMEOUT;
        while group.load().ranks.in_flight_at_or_above(ranked) != Some(1)
            && Instant::now() < deadline
        {
            other
                .append(reserve_record("two"), TIMEOUT)
                .await
                .expect("stored");
            assert_eq!(group.has_started(&program, TIMEOUT).await, Some(true));
            assert_eq!(group.has_started(&unknown, TIMEOUT).await, Some(false));
        }
        assert_eq!(group.load().ranks.in_flight_at_or_above(ranked), Some(1));
        let more_urgent = ServiceRank { rank: 1, ..ranked };
        assert_ne!(
            group.load().ranks.in_flight_at_or_above(more_urgent),
            Some(1)
        );
    })
    .await;
}

#[tokio::test]
async fn without_stores_it_is_unknown_whether_a_program_has_started() {
    run_local(async {
        let group = GroupClients::new(Text::from("zone"), tolerance());
        let program = Text::from(PROGRAM);
        assert_eq!(group.has_started(&program, SHORT_TIMEOUT).await, None);
    })
    .await;
}

const MAX_UNSTORED: Duration = Duration::from_secs(5);

/// Sends a reservation whose write does not complete, and waits until stores have it.
async fn reserve_in_background(group: &Rc<GroupClients>, turn: &str) {
    group.append_in_background(reserve_record(turn), TIMEOUT);
    tokio::time::sleep(Duration::from_millis(50)).await;
}

async fn unsynced_ledger(
    group: &GroupClients,
    turn: &str,
    max_unstored: Duration,
) -> Option<LedgerView> {
    let (program, turn) = (Text::from(PROGRAM), Text::from(turn));
    group
        .unsynced_ledger(&program, &turn, max_unstored, SHORT_TIMEOUT)
        .await
}

/// While disks are slow, a reservation must be seen by every later one before it is synced.
#[tokio::test]
async fn a_reservation_is_visible_to_later_ones_before_it_is_synced() {
    run_local(async {
        let (stores, group) = start_group(3).await;
        stop(&stores[0]);
        // Stores announce their version with the first reply.
        group
            .append(turn("before", ""), TIMEOUT)
            .await
            .expect("stored");
        stores.iter().for_each(stall_disk);
        reserve_in_background(&group, "one").await;
        let ledger = unsynced_ledger(&group, "one", MAX_UNSTORED).await;
        let ledger = ledger.expect("two of three received it");
        assert_eq!(ledger.total_excluding("one"), 10);
        reserve_in_background(&group, "two").await;
        let ledger = unsynced_ledger(&group, "two", MAX_UNSTORED).await;
        let ledger = ledger.expect("two of three received it");
        assert_eq!(ledger.total_excluding("two"), 110, "the first one too");
        let unknown = unsynced_ledger(&group, "unknown", MAX_UNSTORED).await;
        assert!(unknown.is_none(), "never reserved");
    })
    .await;
}

/// Returns how many reservations a store tells to have come after this one.
async fn later_entries(store: &Store, members_version: u64, turn: &str) -> Option<u32> {
    let request = Request::Append {
        group: GroupNumber(0),
        members_version,
        load: Default::default(),
        placement: None,
        record: reserve_record(turn),
    };
    let handled = store.local_store.handle_extended_request(request, None);
    handled.await.later_ledger_entries
}

/// Guards against two turns of which none counts the other: a store tells an order only of
/// reservations that it has received since its start and the newest member list.
#[tokio::test]
async fn a_store_tells_the_order_of_reservations_only_while_nothing_may_have_changed_it() {
    run_local(async {
        let (mut stores, _group) = start_group(3).await;
        let members = store_groups(&stores);
        let version = members.group(GroupNumber(0)).expect("group").version;
        for turn in ["one", "two"] {
            assert_eq!(later_entries(&stores[0], version, turn).await, Some(0));
        }
        assert_eq!(later_entries(&stores[0], version, "one").await, Some(1));
        let changed = with_later_version(&members, 1);
        stores[0].local_store.set_stores(changed);
        let version = version + 1;
        assert_eq!(later_entries(&stores[0], version, "one").await, Some(0));
        assert_eq!(later_entries(&stores[0], version, "three").await, Some(0));
        assert_eq!(later_entries(&stores[0], version, "one").await, Some(1));
        let newer_list = later_entries(&stores[0], version + 1, "one").await;
        assert_eq!(newer_list, Some(0), "the store does not know that list");
        let store = stores.remove(0);
        stop(&store);
        let restarted = Store::start_in(0, false, store.folder).await;
        assert_eq!(later_entries(&restarted, version, "one").await, Some(0));
    })
    .await;
}

fn settle_record(turn: &str, used_tokens: u32) -> Record {
    Record::Settle {
        program: Text::from(PROGRAM),
        turn: Text::from(turn),
        used_tokens,
    }
}

fn with_room(max_others: u64) -> ReservationOptions {
    let rejection_delay = Duration::from_millis(100);
    ReservationOptions {
        placement: None,
        room: Some(LedgerRoom {
            max_others,
            rejection_delay,
        }),
    }
}

/// Guards against a caller that repeats a refunded turn under its identifier and is granted it
/// beside the turns that got its tokens.
#[tokio::test]
async fn a_turn_that_is_reserved_again_counts_those_that_came_meanwhile() {
    run_local(async {
        let (_stores, group) = start_group(3).await;
        let reserve = async |turn: &str| {
            let options = with_room(0);
            let record = reserve_record(turn);
            let ledger = group.append_with_options(record, options, TIMEOUT).await;
            ledger.expect("stored").total_excluding(turn)
        };
        // Stores announce their version with the first reply.
        group
            .append(turn("greeting", ""), TIMEOUT)
            .await
            .expect("stored");
        group
            .append(settle_record("greeting", 0), TIMEOUT)
            .await
            .expect("stored");
        assert_eq!(reserve("one").await, 0);
        group
            .append(settle_record("one", 0), TIMEOUT)
            .await
            .expect("stored");
        assert_eq!(reserve("two").await, 0);
        assert_eq!(reserve("one").await, 100);
    })
    .await;
}

/// Guards against two turns of which none counts the other, because a store that has not heard
/// of a settled change of members tells an order in which others have not received them.
#[tokio::test]
async fn turns_before_and_after_a_change_of_members_count_each_other() {
    run_local(async {
        let mut stores = Vec::new();
        for number in 0..4 {
            stores.push(Store::start(number, true).await);
        }
        let zero = GroupNumber(0);
        let spare = stores.pop().expect("spare");
        let first = store_groups(&stores);
        for store in stores.iter().chain([&spare]) {
            store.local_store.set_stores(first.clone());
        }
        let spare_entry = Member {
            node: spare.local_store.node.clone(),
            address: Text::from(spare.address.to_string()),
            zone: Text::from("zone"),
            state: MemberState::Active,
            disk: spare.local_store.disk(),
        };
        spare.local_store.backfill_for(Some(zero));
        spare.local_store.declare_complete();
        let append = async |store: &Store, version: u64, turn: &str| {
            let request = Request::Append {
                group: zero,
                members_version: version,
                load: Default::default(),
                placement: None,
                record: reserve_record(turn),
            };
            let handling = store.local_store.handle_extended_request(request, None);
            let handled = handling.await;
            let later = handled.later_ledger_entries.unwrap_or(0) as usize;
            (store.local_store.node.clone(), handled.reply, later)
        };
        let old = first.group(zero).expect("group").clone();
        append(&stores[2], old.version, "other").await;
        let mut tally = AppendTally::new(&Rc::new(old.clone()), &tolerance(), true).expect("tally");
        for store in &stores[..2] {
            let (node, reply, later) = append(store, old.version, "one").await;
            tally.add_ordered_reply(&node, reply, later);
        }
        let one = tally.outcome_for("one").expect("stored");
        let changing = old.start_change(old.list_replacing("store-0", spare_entry));
        let changed = changing.settle_change();
        let groups = |members: &Members| Rc::new(StoreGroups::single(members.clone()));
        for store in [&stores[1], &stores[2], &spare] {
            store.local_store.set_stores(groups(&changing));
        }
        // The lagging member gets the record from its peer.
        append(&stores[2], changing.version, "one").await;
        spare.local_store.set_stores(groups(&changed));
        let mut tally =
            AppendTally::new(&Rc::new(changed.clone()), &tolerance(), true).expect("tally");
        for store in [&spare, &stores[2]] {
            let (node, reply, later) = append(store, changed.version, "other").await;
            tally.add_ordered_reply(&node, reply, later);
        }
        let other = tally.outcome_for("other").expect("stored");
        assert!(one.contains("other") || other.contains("one"));
    })
    .await;
}

/// A reservation that too few stores have accepted, or that may never be stored, must not
/// count.
#[rstest]
#[case::accepted_by_one_of_three(2, true, MAX_UNSTORED)]
#[case::incomplete_stores(0, false, MAX_UNSTORED)]
#[case::nothing_is_stored_any_more(0, true, Duration::from_millis(1))]
#[tokio::test]
async fn a_reservation_does_not_count_early_without_a_healthy_quorum(
    #[case] with_newer_list: usize,
    #[case] complete: bool,
    #[case] max_unstored: Duration,
) {
    run_local(async {
        let mut stores = Vec::new();
        for number in 0..3 {
            stores.push(Store::start(number, complete).await);
        }
        let members = store_groups(&stores);
        let group = Rc::new(GroupClients::new(Text::from("zone"), tolerance()));
        group.update_stores(&members);
        for store in &stores {
            store.local_store.set_stores(members.clone());
        }
        group
            .append(turn("before", ""), TIMEOUT)
            .await
            .expect("stored");
        stores.iter().for_each(stall_disk);
        for store in &stores[..with_newer_list] {
            store
                .local_store
                .set_stores(with_later_version(&members, 1));
        }
        let reserving = group.append(reserve_record("one"), SHORT_TIMEOUT);
        let querying = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            unsynced_ledger(&group, "one", max_unstored).await
        };
        let (_, ledger) = tokio::join!(reserving, querying);
        assert!(ledger.is_none(), "{ledger:?}");
    })
    .await;
}

/// Pings are answered while disks are stalled, so they alone must not make a failing group
/// available again.
#[tokio::test]
async fn a_group_with_stalled_disks_stays_failing() {
    run_local(async {
        let (stores, group) = start_group(3).await;
        group
            .append(turn("before", ""), TIMEOUT)
            .await
            .expect("stored");
        stores.iter().for_each(stall_disk);
        let outcome = group
            .append(turn("one", ""), Duration::from_millis(1500))
            .await;
        assert_eq!(outcome.expect_err("stalled"), GroupError::NoQuorum);
        let failing = group.failing_groups();
        assert_eq!(failing.len(), 1);
        failing[0].probe(SHORT_TIMEOUT).await;
        assert_eq!(group.failing_groups().len(), 1, "disks are still stalled");
    })
    .await;
}
