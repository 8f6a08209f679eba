//! Interleavings of membership changes, slow or lost disks and expiry that could make stores
//! and fronts lose a stored record or report it absent.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{GroupNumber, Member, MemberState, Members, StoreGroups, Tolerance};
use stageyoke_store::journal_sync::{DigestPage, JournalSync};
use stageyoke_store::local_store::LocalStore;
use stageyoke_store::membership::{
    LocalMember, MembershipStep, PeerHealth, decide, has_never_stored,
};
use stageyoke_store::membership_state::PeerStatus;
use stageyoke_store::message::{JournalPosition, Record, Reply, Request};
use stageyoke_store::segment::{DataFolder, RecordLocation};
use stageyoke_store::server;
use stageyoke_store::state::StoreState;
use stageyoke_store::{ChainOutcome, GroupClients, StoreLimits, StoredRecord};
use stageyoke_types::{List, Text};
use support::turn;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

fn member(number: usize, address: &str, zone: &str) -> Member {
    Member {
        node: Text::from(format!("store-{number}")),
        address: Text::from(address),
        zone: Text::from(zone),
        state: MemberState::Active,
        disk: 0,
    }
}

fn append(version: u64, record: Record) -> Request {
    Request::Append {
        group: GroupNumber(0),
        members_version: version,
        load: Default::default(),
        placement: None,
        record,
    }
}

fn digests(version: u64) -> Request {
    Request::Digests {
        group: GroupNumber(0),
        members_version: version,
        node: Text::from("store-9"),
        from: JournalPosition::default(),
        held: JournalPosition::default(),
    }
}

/// Guards against a record that is acknowledged under an old member list after the store
/// reported to a peer, without that record, that it uses a newer list.
#[tokio::test]
async fn no_append_under_an_old_list_is_acknowledged_after_a_peer_saw_the_newer_list() {
    LocalSet::new()
        .run_until(async {
            let folder = tempfile::tempdir().expect("folder");
            let data = DataFolder::open(folder.path()).expect("open");
            let recovered = data.recover(1, true).expect("recover");
            let limits = StoreLimits::default();
            let node = Text::from("store-0");
            let (local_store, results) =
                LocalStore::open(node, data, recovered, limits).expect("threads");
            let local_store = Rc::new(local_store);
            let members = (0..3).fold(Members::default(), |list, number| {
                list.with_member(member(number, &format!("10.0.0.{number}:7000"), "zone"))
            });
            let old = members.version;
            local_store.set_stores(Rc::new(StoreGroups::single(members.clone())));
            let appending_store = local_store.clone();
            let append_task = tokio::task::spawn_local(async move {
                appending_store
                    .handle_request(append(old, turn("one", "")))
                    .await
            });
            tokio::task::yield_now().await;
            assert_eq!(
                local_store.in_flight_records(),
                1,
                "the record is waiting for the disk"
            );
            let mut list = members.list.clone();
            list[2] = member(3, "10.0.0.3:7000", "zone");
            let newer = members.start_change(list);
            local_store.set_stores(Rc::new(StoreGroups::single(newer.clone())));
            while !local_store.has_saved_stores() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let reply = local_store.handle_request(digests(newer.version)).await;
            let Reply::Digests {
                complete,
                members_version,
                digests,
                ..
            } = reply
            else {
                panic!("the reply has no digests");
            };
            assert_eq!(
                (complete, members_version, digests.len()),
                (true, newer.version, 0),
                "a peer now counts as in sync without the record"
            );
            let collector = local_store.clone();
            tokio::task::spawn_local(
                async move { collector.process_journal_results(results).await },
            );
            let reply = append_task.await.expect("answered");
            assert!(
                !matches!(reply, Reply::Stored { .. }),
                "stored under version {old} after version {} was reported: {reply:?}",
                newer.version
            );
        })
        .await;
}

struct Store {
    local_store: Rc<LocalStore>,
    address: SocketAddr,
    _folder: tempfile::TempDir,
}

async fn start(number: usize) -> (Store, TcpListener) {
    let folder = tempfile::tempdir().expect("folder");
    let data = DataFolder::open(folder.path()).expect("open");
    let recovered = data.recover(number as u64 + 1, true).expect("recover");
    let node = Text::from(format!("store-{number}"));
    let limits = StoreLimits::default();
    let (local_store, results) = LocalStore::open(node, data, recovered, limits).expect("threads");
    let local_store = Rc::new(local_store);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let collector = local_store.clone();
    tokio::task::spawn_local(async move { collector.process_journal_results(results).await });
    let store = Store {
        local_store,
        address,
        _folder: folder,
    };
    (store, listener)
}

/// Guards against a lookup that combines replies under an old and a newer member list, which
/// the front receives between its requests to the members, into one quorum.
#[tokio::test]
async fn replies_under_two_member_lists_make_no_quorum() {
    LocalSet::new()
        .run_until(async {
            let mut stores = Vec::new();
            let mut listeners = Vec::new();
            for number in 0..4 {
                let (store, listener) = start(number).await;
                stores.push(store);
                listeners.push(listener);
            }
            let entry = |number: usize| {
                // The front queries the member in its own zone first.
                let zone = if number == 0 { "near" } else { "far" };
                member(number, &stores[number].address.to_string(), zone)
            };
            let before = Members {
                version: 1,
                list: List(vec![entry(0), entry(1), entry(2)]),
                before: List::default(),
            };
            // Store 3 has replaced store 0, which doesn't receive the new list.
            let change = before.start_change(List(vec![entry(3), entry(1), entry(2)]));
            let after = change.settle_change();
            let old = Rc::new(StoreGroups::single(before));
            let new = Rc::new(StoreGroups::single(after.clone()));
            stores[0].local_store.set_stores(old.clone());
            for store in &stores[1..] {
                store.local_store.set_stores(new.clone());
            }
            // A write quorum of the newest list stores the turn.
            for store in &stores[2..] {
                let reply = store
                    .local_store
                    .handle_request(append(after.version, turn("one", "")))
                    .await;
                assert!(matches!(reply, Reply::Stored { .. }), "{reply:?}");
            }
            let mut listeners = listeners.into_iter();
            let first = listeners.next().expect("first");
            let delayed = listeners.collect::<Vec<_>>();
            let front = Rc::new(GroupClients::new(
                Text::from("near"),
                Tolerance::of_machines(1),
            ));
            front.update_stores(&old);
            let asking_front = front.clone();
            let lookup = tokio::task::spawn_local(async move {
                let turn = Text::from("one");
                asking_front
                    .chain("program", &turn, Duration::from_secs(3), |_| true)
                    .await
            });
            // The request waits in the first member's accept queue.
            tokio::time::sleep(Duration::from_millis(10)).await;
            front.update_stores(&new);
            tokio::task::spawn_local(server::serve(stores[0].local_store.clone(), first));
            // Of the other members, the one without the turn answers first.
            for (store, listener) in stores[1..].iter().zip(delayed) {
                let local_store = store.local_store.clone();
                let delay = match local_store.holds(turn("one", "").digest()) {
                    true => Duration::from_millis(400),
                    false => Duration::ZERO,
                };
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(delay).await;
                    server::serve(local_store, listener).await
                });
            }
            let outcome = lookup.await.expect("answered");
            assert!(
                !matches!(outcome, ChainOutcome::Absent(_)),
                "a stored turn was reported absent"
            );
        })
        .await;
}

/// Guards against a successor in another zone that leaves a member list without a write
/// quorum.
#[test]
fn a_successor_never_creates_a_member_list_without_a_quorum() {
    let tolerance = Tolerance {
        machines: 1,
        zones: 1,
        regions: 0,
        region_by_zone: BTreeMap::new(),
    };
    let list = vec![
        member(0, "10.0.0.0:7000", "one"),
        member(1, "10.0.0.1:7000", "one"),
        member(2, "10.0.0.2:7000", "two"),
    ];
    let members = Members {
        version: 1,
        list: List(list),
        before: List::default(),
    };
    assert!(!has_never_stored(&members, &tolerance));
    let local_member = LocalMember {
        entry: member(3, "10.0.0.3:7000", "one"),
        complete: true,
        caught_up: true,
        retiring: false,
        surplus: false,
        has_room: true,
        successor_pending: false,
        fenced: true,
        member_list_age: Duration::from_secs(5),
        replacement_timeout: Duration::from_secs(2),
    };
    let peers: Vec<PeerHealth> = (0..3)
        .map(|number| PeerHealth {
            node: Text::from(format!("store-{number}")),
            silent_for: Duration::from_secs(if number == 2 { 5 } else { 0 }),
            caught_up: true,
        })
        .collect();
    if let MembershipStep::Change(changed) = decide(&members, &local_member, &peers, &tolerance) {
        assert!(
            !has_never_stored(&changed, &tolerance),
            "every disk counts as complete under {changed:?}, even a lost one"
        );
    }
}

async fn local_store(number: usize, first_start: bool) -> (Rc<LocalStore>, tempfile::TempDir) {
    let folder = tempfile::tempdir().expect("folder");
    let data = DataFolder::open(folder.path()).expect("open");
    let identity = number as u64 + if first_start { 1 } else { 100 };
    let recovered = data.recover(identity, first_start).expect("recover");
    let node = Text::from(format!("store-{number}"));
    let limits = StoreLimits::default();
    let (local_store, results) = LocalStore::open(node, data, recovered, limits).expect("threads");
    let local_store = Rc::new(local_store);
    let collector = local_store.clone();
    tokio::task::spawn_local(async move { collector.process_journal_results(results).await });
    (local_store, folder)
}

async fn caught_up(with: &LocalStore, holder: &LocalStore, version: u64) -> JournalSync {
    let mut sync = JournalSync::default();
    sync_page(with, &mut sync, holder, version).await;
    sync
}

/// Guards against counting an acknowledgement from a disk that was lost afterwards: the new
/// disk is declared complete without the record.
#[tokio::test]
async fn a_reply_from_a_lost_disk_does_not_count_for_a_quorum() {
    use stageyoke_store::membership::is_caught_up_with_group;
    use stageyoke_store::quorum::{AppendTally, ChainLookup, ChainTally};
    LocalSet::new()
        .run_until(async {
            let tolerance = Tolerance::of_machines(1);
            let members = (0..3).fold(Members::default(), |list, number| {
                list.with_member(member(number, &format!("10.0.0.{number}:7000"), "zone"))
            });
            let version = members.version;
            let stores = Rc::new(StoreGroups::single(members.clone()));
            let (first, _first_folder) = local_store(0, true).await;
            let (second, _second_folder) = local_store(1, true).await;
            let (third, _third_folder) = local_store(2, true).await;
            for local_store in [&first, &second, &third] {
                local_store.set_stores(stores.clone());
                while !local_store.has_saved_stores() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            let members = Rc::new(members);
            let mut tally = AppendTally::new(&members, &tolerance, false).expect("a quorum");
            let reply = first.handle_request(append(version, turn("one", ""))).await;
            tally.add_reply(&first.node, reply);
            assert!(!tally.is_stored());
            // The store restarts with an empty disk, which is registered and then filled.
            let (restarted, _restarted_folder) = local_store(0, false).await;
            restarted.set_stores(stores.clone());
            assert!(!restarted.is_complete() && !restarted.is_listed_with_current_disk());
            let relisted = members.with_member(Member {
                disk: restarted.disk(),
                ..member(0, "10.0.0.0:7000", "zone")
            });
            let relisted = Rc::new(StoreGroups::single(relisted));
            for local_store in [&restarted, &second, &third] {
                local_store.set_stores(relisted.clone());
                while !local_store.has_saved_stores() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            assert!(restarted.is_listed_with_current_disk());
            let front_version = version;
            let version = version + 1;
            let sync_with_second = caught_up(&second, &restarted, version).await;
            let sync_with_third = caught_up(&third, &restarted, version).await;
            assert!(is_caught_up_with_group(
                &members,
                &tolerance,
                |node| match node {
                    "store-1" => sync_with_second.is_caught_up_at(version),
                    "store-2" => sync_with_third.is_caught_up_at(version),
                    _ => false,
                }
            ));
            restarted.declare_complete();
            // The front's retransmission reaches the second member within the same attempt.
            let reply = second
                .handle_request(append(front_version, turn("one", "")))
                .await;
            tally.add_reply(&second.node, reply);
            let stored = tally.is_stored();
            // Another front looks up the turn.
            let mut lookup = ChainTally::new(&members, &tolerance).expect("a quorum");
            for local_store in [&restarted, &third] {
                let reply = local_store
                    .handle_request(Request::Chain {
                        group: GroupNumber(0),
                        members_version: version,
                        turn: Text::from("one"),
                    })
                    .await;
                lookup.add_reply(&local_store.node, reply);
            }
            let absent = lookup.step() == ChainLookup::Absent;
            assert!(!(stored && absent), "a stored turn is reported absent");
        })
        .await;
}

/// Guards against a sync that waits forever for records that a peer expired between its
/// digests page and the fetch.
#[test]
fn records_expired_between_page_and_fetch_are_not_awaited() {
    let location = RecordLocation::default();
    let mut peer = StoreState::new(7);
    for number in 0..6 {
        peer.add(&turn(&format!("turn-{number}"), "").into(), location, 0);
    }
    let status = PeerStatus {
        complete: true,
        members_version: 1,
    };
    let mut held: Vec<u64> = Vec::new();
    let mut sync = JournalSync::default();
    let mut expired: Vec<StoredRecord> = (0..3)
        .map(|number| turn(&format!("turn-{number}"), "").into())
        .collect();
    for _ in 0..20 {
        sync.mark_fetched();
        let reply = peer.digests_reply(sync.position(), status, Default::default());
        let Reply::Digests {
            digests,
            next,
            more,
            complete,
            members_version,
            ..
        } = reply
        else {
            panic!("the reply has no digests");
        };
        let page = DigestPage {
            digests: &digests,
            next,
            more,
            complete,
            members_version,
        };
        sync.apply_page(page, |digest| held.contains(&digest));
        peer.expire(std::mem::take(&mut expired), 1_000_000);
        let missing = sync.missing_digests(|digest| held.contains(&digest));
        let (delivered, forgotten): (Vec<u64>, Vec<u64>) =
            missing.into_iter().partition(|digest| peer.holds(*digest));
        held.extend(delivered);
        sync.forget_expired(peer.journal_end().journal, &forgotten);
        sync.missing_digests(|digest| held.contains(&digest));
        sync.mark_page_end();
    }
    assert!(
        sync.is_caught_up_at(1),
        "after 20 rounds the sync still waits for expired records"
    );
}

/// Recovery syncs what a killed process had written but not synced, so the next process may
/// acknowledge it. The sync itself isn't checked here; it shows only in a system call trace.
#[tokio::test]
async fn records_left_unsynced_by_a_killed_process_are_acknowledged() {
    use stageyoke_store::segment::encode_record;
    use std::io::Write;
    LocalSet::new()
        .run_until(async {
            let folder = tempfile::tempdir().expect("folder");
            let data = DataFolder::open(folder.path()).expect("open");
            data.recover(1, true).expect("recover");
            let mut segment = data.create_segment(0).expect("segment");
            let mut bytes = Vec::new();
            encode_record(&turn("one", ""), &mut bytes);
            segment.write_all(&bytes).expect("written, not synced");
            drop(segment);
            let recovered = data.recover(2, false).expect("recover");
            let node = Text::from("store-0");
            let limits = StoreLimits::default();
            let (local_store, results) =
                LocalStore::open(node, data, recovered, limits).expect("threads");
            let local_store = Rc::new(local_store);
            let collector = local_store.clone();
            tokio::task::spawn_local(
                async move { collector.process_journal_results(results).await },
            );
            let members = Members::default().with_member(member(0, "10.0.0.0:7000", "zone"));
            let version = members.version;
            local_store.set_stores(Rc::new(StoreGroups::single(members)));
            while !local_store.has_saved_stores() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let reply = local_store
                .handle_request(append(version, turn("one", "")))
                .await;
            assert!(matches!(reply, Reply::Stored { .. }), "{reply:?}");
        })
        .await;
}

async fn sync_page(peer: &LocalStore, sync: &mut JournalSync, holder: &LocalStore, version: u64) {
    sync.mark_fetched();
    let request = Request::Digests {
        group: GroupNumber(0),
        members_version: version,
        node: holder.node.clone(),
        from: sync.position(),
        held: sync.held_position(),
    };
    let Reply::Digests {
        digests,
        next,
        more,
        complete,
        members_version,
        ..
    } = peer.handle_request(request).await
    else {
        panic!("the reply has no digests");
    };
    let page = DigestPage {
        digests: &digests,
        next,
        more,
        complete,
        members_version,
    };
    sync.apply_page(page, |digest| holder.holds(digest));
    sync.mark_page_end();
}

/// Guards against a settled member list that misses a turn: store 3 replaces store 2 while a
/// front with the old list stores a turn on 1 and 2, and the disk of store 1 is slow.
#[tokio::test]
async fn a_settled_member_list_does_not_miss_a_turn_on_a_slow_disk() {
    use stageyoke_store::membership::{FencedJournalEnd, is_fenced};
    use stageyoke_store::quorum::{AppendTally, ChainLookup, ChainTally};
    LocalSet::new()
        .run_until(async {
            let tolerance = Tolerance::of_machines(1);
            let entry = |number: usize| member(number, &format!("10.0.0.{number}:7000"), "zone");
            let old = (0..3).fold(Members::default(), |list, number| {
                list.with_member(entry(number))
            });
            let change = old.start_change(List(vec![entry(0), entry(1), entry(3)]));
            let old_stores = Rc::new(StoreGroups::single(old.clone()));
            let new_stores = Rc::new(StoreGroups::single(change.clone()));
            let (first, _first) = local_store(0, true).await;
            let (third, _third) = local_store(2, true).await;
            let (joined, _joined) = local_store(3, false).await;
            // Store 1 processes its journal results only later, as if its disk were slow.
            let folder = tempfile::tempdir().expect("folder");
            let data = DataFolder::open(folder.path()).expect("open");
            let recovered = data.recover(2, true).expect("recover");
            let limits = StoreLimits::default();
            let node = Text::from("store-1");
            let (slow, results) = LocalStore::open(node, data, recovered, limits).expect("threads");
            let slow = Rc::new(slow);
            for local_store in [&first, &slow, &third] {
                local_store.set_stores(old_stores.clone());
            }
            let await_saved_stores = async |local_store: &LocalStore| {
                while !local_store.has_saved_stores() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            };
            let old_list = Rc::new(old.clone());
            let mut tally = AppendTally::new(&old_list, &tolerance, false).expect("a quorum");
            let reply = third
                .handle_request(append(old.version, turn("one", "")))
                .await;
            tally.add_reply(&third.node, reply);
            let slow_store = slow.clone();
            let version = old.version;
            let append_task = tokio::task::spawn_local(async move {
                slow_store
                    .handle_request(append(version, turn("one", "")))
                    .await
            });
            tokio::task::yield_now().await;
            // Store 3 has caught up; stores 0 and 1 receive the proposed change.
            joined.set_stores(new_stores.clone());
            joined.declare_complete();
            for local_store in [&first, &slow] {
                local_store.set_stores(new_stores.clone());
                await_saved_stores(local_store).await;
            }
            await_saved_stores(&joined).await;
            let mut sync_with_slow = JournalSync::default();
            let mut sync_with_first = JournalSync::default();
            for _ in 0..2 {
                sync_page(&slow, &mut sync_with_slow, &first, change.version).await;
                sync_page(&first, &mut sync_with_first, &joined, change.version).await;
            }
            let is_fenced = is_fenced(&change, &tolerance, |member| match member.node.as_str() {
                "store-0" => first.is_complete() && first.has_saved_stores(),
                "store-1" => sync_with_slow.is_in_sync(change.version),
                _ => false,
            });
            let fenced_end =
                FencedJournalEnd::for_members(&change, None, is_fenced, first.journal_end());
            let holds =
                |node: &str| fenced_end.is_some_and(|end| end.is_covered_by(first.held_by(node)));
            let peers: Vec<PeerHealth> = [1, 2, 3]
                .into_iter()
                .map(|number| format!("store-{number}"))
                .map(|node| PeerHealth {
                    silent_for: Duration::from_secs(if node == "store-2" { 5 } else { 0 }),
                    caught_up: holds(&node),
                    node: Text::from(node),
                })
                .collect();
            let local_member = LocalMember {
                entry: entry(0),
                complete: first.is_complete(),
                caught_up: true,
                retiring: false,
                surplus: false,
                has_room: false,
                successor_pending: false,
                fenced: is_fenced,
                member_list_age: Duration::ZERO,
                replacement_timeout: Duration::from_secs(2),
            };
            let settled = change.settle_change();
            let step = decide(&change, &local_member, &peers, &tolerance);
            assert_eq!(
                step,
                MembershipStep::Change(settled.clone()),
                "the change is settled"
            );
            let settled_stores = Rc::new(StoreGroups::single(settled.clone()));
            for local_store in [&first, &joined] {
                local_store.set_stores(settled_stores.clone());
            }
            // The disk of store 1 completes the write.
            let collector = slow.clone();
            tokio::task::spawn_local(
                async move { collector.process_journal_results(results).await },
            );
            tally.add_reply(&slow.node, append_task.await.expect("answered"));
            let stored = tally.is_stored();
            let settled_list = Rc::new(settled.clone());
            let mut lookup = ChainTally::new(&settled_list, &tolerance).expect("a quorum");
            for local_store in [&first, &joined] {
                let request = Request::Chain {
                    group: GroupNumber(0),
                    members_version: settled.version,
                    turn: Text::from("one"),
                };
                lookup.add_reply(&local_store.node, local_store.handle_request(request).await);
            }
            let absent = lookup.step() == ChainLookup::Absent;
            assert!(
                !(stored && absent),
                "a stored turn is reported absent although no disk was lost"
            );
        })
        .await;
}
