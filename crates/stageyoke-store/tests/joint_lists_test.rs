//! Schedules in which a list that changes, a slow disk, a lost disk or what is past its
//! time made stores and fronts believe what was not so. Each was played against the code
//! before its guard stood, and broke what it asks for.

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
use stageyoke_store::{ChainOutcome, GroupClients, StoreLimits};
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

/// A record that waits for the disk while the store takes a newer list: a peer was told
/// that the store goes by the newer list and what it holds, which is without the record;
/// after that no front with the older list may count it as kept there.
#[tokio::test]
async fn nothing_is_kept_by_an_older_list_after_a_peer_was_told_of_the_newer() {
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
            let appending = local_store.clone();
            let appended = tokio::task::spawn_local(async move {
                appending.handle_request(append(old, turn("one", ""))).await
            });
            tokio::task::yield_now().await;
            assert_eq!(local_store.in_flight_records(), 1, "it waits for the disk");
            let mut list = members.list.clone();
            list[2] = member(3, "10.0.0.3:7000", "zone");
            let newer = members.start_change(list);
            local_store.set_stores(Rc::new(StoreGroups::single(newer.clone())));
            while !local_store.has_saved_stores() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let told = local_store.handle_request(digests(newer.version)).await;
            let Reply::Digests {
                complete,
                members_version,
                digests,
                ..
            } = told
            else {
                panic!("digests");
            };
            assert_eq!(
                (complete, members_version, digests.len()),
                (true, newer.version, 0),
                "a peer is in step with it now, without the record"
            );
            let collector = local_store.clone();
            tokio::task::spawn_local(
                async move { collector.process_journal_results(results).await },
            );
            let reply = appended.await.expect("answered");
            assert!(
                !matches!(reply, Reply::Stored { .. }),
                "kept by version {old} after version {} was told of: {reply:?}",
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

/// A front asks the first member by its old list, learns a newer one (by its watch, or by
/// another request's refusal) while it waits, and asks the others by that. Their answers
/// don't make a quorum of the old list.
#[tokio::test]
async fn answers_by_two_lists_make_no_quorum() {
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
                // The first is in the front's zone, and is asked first.
                let zone = if number == 0 { "near" } else { "far" };
                member(number, &stores[number].address.to_string(), zone)
            };
            let before = Members {
                version: 1,
                list: List(vec![entry(0), entry(1), entry(2)]),
                before: List::default(),
            };
            // Store 3 has taken the place of store 0, which hears of nothing.
            let change = before.start_change(List(vec![entry(3), entry(1), entry(2)]));
            let after = change.settle_change();
            let old = Rc::new(StoreGroups::single(before));
            let new = Rc::new(StoreGroups::single(after.clone()));
            stores[0].local_store.set_stores(old.clone());
            for store in &stores[1..] {
                store.local_store.set_stores(new.clone());
            }
            // Kept by the newest list: a quorum is two of three.
            for store in &stores[2..] {
                let reply = store
                    .local_store
                    .handle_request(append(after.version, turn("one", "")))
                    .await;
                assert!(matches!(reply, Reply::Stored { .. }), "{reply:?}");
            }
            let mut listeners = listeners.into_iter();
            let first = listeners.next().expect("first");
            let held_up = listeners.collect::<Vec<_>>();
            let front = Rc::new(GroupClients::new(
                Text::from("near"),
                Tolerance::of_machines(1),
            ));
            front.update_stores(&old);
            let asking = front.clone();
            let asked = tokio::task::spawn_local(async move {
                let turn = Text::from("one");
                asking.chain("program", &turn, Duration::from_secs(3)).await
            });
            // The question waits in the first member's queue of connections.
            tokio::time::sleep(Duration::from_millis(10)).await;
            front.update_stores(&new);
            tokio::task::spawn_local(server::serve(stores[0].local_store.clone(), first));
            // Of the others that which misses the turn answers first.
            for (store, listener) in stores[1..].iter().zip(held_up) {
                let local_store = store.local_store.clone();
                let later = match local_store.holds(turn("one", "").digest()) {
                    true => Duration::from_millis(400),
                    false => Duration::ZERO,
                };
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(later).await;
                    server::serve(local_store, listener).await
                });
            }
            let outcome = asked.await.expect("answered");
            assert!(
                !matches!(outcome, ChainOutcome::Absent(_)),
                "a kept turn was told as absent"
            );
        })
        .await;
}

/// A successor in another zone must leave a list that can keep something.
#[test]
fn a_successor_never_makes_a_list_without_a_quorum() {
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
    let oneself = LocalMember {
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
    if let MembershipStep::Change(changed) = decide(&members, &oneself, &peers, &tolerance) {
        assert!(
            !has_never_stored(&changed, &tolerance),
            "every disk counts as complete by {changed:?}, also a lost one"
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
    let mut exchange = JournalSync::default();
    page_of(with, &mut exchange, holder, version).await;
    exchange
}

/// A front has the answer of a member; the member loses its disk, comes back and fills up
/// from both others; then the record reaches a second member. The answer of the disk that
/// is gone still counts for the front, and the new disk vouches for what it never had.
#[tokio::test]
async fn an_answer_of_a_disk_that_is_gone_makes_no_quorum() {
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
            let (before, _before_folder) = local_store(0, true).await;
            let (second, _second_folder) = local_store(1, true).await;
            let (third, _third_folder) = local_store(2, true).await;
            for local_store in [&before, &second, &third] {
                local_store.set_stores(stores.clone());
                while !local_store.has_saved_stores() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            let members = Rc::new(members);
            let mut tally = AppendTally::new(&members, &tolerance, false).expect("a quorum");
            let reply = before
                .handle_request(append(version, turn("one", "")))
                .await;
            tally.add_reply(&before.node, reply);
            assert!(!tally.is_stored());
            // The disk is lost; the store comes back, tells its new disk, and fills up.
            let (again, _again_folder) = local_store(0, false).await;
            again.set_stores(stores.clone());
            assert!(!again.is_complete() && !again.is_listed_with_current_disk());
            let told = members.with_member(Member {
                disk: again.disk(),
                ..member(0, "10.0.0.0:7000", "zone")
            });
            let told = Rc::new(StoreGroups::single(told));
            for local_store in [&again, &second, &third] {
                local_store.set_stores(told.clone());
                while !local_store.has_saved_stores() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            assert!(again.is_listed_with_current_disk());
            let front_version = version;
            let version = version + 1;
            let of_second = caught_up(&second, &again, version).await;
            let of_third = caught_up(&third, &again, version).await;
            assert!(is_caught_up_with_group(
                &members,
                &tolerance,
                |node| match node {
                    "store-1" => of_second.is_caught_up_at(version),
                    "store-2" => of_third.is_caught_up_at(version),
                    _ => false,
                }
            ));
            again.declare_complete();
            // The front's repeat reaches the second member, within the same try.
            let reply = second
                .handle_request(append(front_version, turn("one", "")))
                .await;
            tally.add_reply(&second.node, reply);
            let kept = tally.is_stored();
            // Another front asks.
            let mut asked = ChainTally::new(&members, &tolerance).expect("a quorum");
            for local_store in [&again, &third] {
                let reply = local_store
                    .handle_request(Request::Chain {
                        group: GroupNumber(0),
                        members_version: version,
                        turn: Text::from("one"),
                    })
                    .await;
                asked.add_reply(&local_store.node, reply);
            }
            let absent = asked.step() == ChainLookup::Absent;
            assert!(!(kept && absent), "a kept turn is told as absent");
        })
        .await;
}

/// A store fills up from a peer. Between the page of digests and the fetch a segment of
/// the peer passes its time: what was in it is delivered by nobody, ever.
#[test]
fn what_expired_between_page_and_fetch_is_not_waited_for() {
    let place = RecordLocation::default();
    let mut peer = StoreState::new(7);
    for number in 0..6 {
        peer.add(&turn(&format!("turn-{number}"), ""), place, 0);
    }
    let standing = PeerStatus {
        complete: true,
        members_version: 1,
    };
    let mut held: Vec<u64> = Vec::new();
    let mut exchange = JournalSync::default();
    let mut expired: Vec<Record> = (0..3)
        .map(|number| turn(&format!("turn-{number}"), ""))
        .collect();
    for _ in 0..20 {
        exchange.mark_fetched();
        let reply = peer.digests_reply(exchange.position(), standing, Default::default());
        let Reply::Digests {
            digests,
            next,
            more,
            complete,
            members_version,
            ..
        } = reply
        else {
            panic!("digests");
        };
        let page = DigestPage {
            digests: &digests,
            next,
            more,
            complete,
            members_version,
        };
        exchange.apply_page(page, |digest| held.contains(&digest));
        peer.expire(std::mem::take(&mut expired), 1_000_000);
        let missing = exchange.missing_digests(|digest| held.contains(&digest));
        let (delivered, forgotten): (Vec<u64>, Vec<u64>) =
            missing.into_iter().partition(|digest| peer.holds(*digest));
        held.extend(delivered);
        exchange.forget_expired(peer.journal_end().journal, &forgotten);
        exchange.missing_digests(|digest| held.contains(&digest));
        exchange.mark_page_end();
    }
    assert!(
        exchange.is_caught_up_at(1),
        "after 20 rounds it still waits for what nobody keeps any more"
    );
}

/// A process was killed between the write of a batch and its sync. What the next process
/// finds is counted as held and acknowledged at once: so the start syncs it. (That it does
/// is seen from outside only, with the process's calls traced.)
#[tokio::test]
async fn what_a_killed_process_left_unsynced_is_acknowledged() {
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

async fn page_of(peer: &LocalStore, exchange: &mut JournalSync, holder: &LocalStore, version: u64) {
    exchange.mark_fetched();
    let question = Request::Digests {
        group: GroupNumber(0),
        members_version: version,
        node: holder.node.clone(),
        from: exchange.position(),
        held: exchange.held_position(),
    };
    let Reply::Digests {
        digests,
        next,
        more,
        complete,
        members_version,
        ..
    } = peer.handle_request(question).await
    else {
        panic!("digests");
    };
    let page = DigestPage {
        digests: &digests,
        next,
        more,
        complete,
        members_version,
    };
    exchange.apply_page(page, |digest| holder.holds(digest));
    exchange.mark_page_end();
}

/// The whole schedule: of {0 1 2} store 2 is cut off from the stores, store 3 takes its
/// place, and a front with the old list keeps a turn on 1 and 2. The disk of 1 is not done
/// with it when 1 is compared with; the change is settled without it.
#[tokio::test]
async fn a_turn_kept_while_a_disk_is_slow_is_met_by_the_settled_list() {
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
            // Store 1 by hand: its results are taken when its disk is done.
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
            let saved = async |local_store: &LocalStore| {
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
            let appending = slow.clone();
            let version = old.version;
            let appended = tokio::task::spawn_local(async move {
                appending
                    .handle_request(append(version, turn("one", "")))
                    .await
            });
            tokio::task::yield_now().await;
            // Store 3 has caught up; the change is proposed, 0 and 1 hear of it.
            joined.set_stores(new_stores.clone());
            joined.declare_complete();
            for local_store in [&first, &slow] {
                local_store.set_stores(new_stores.clone());
                saved(local_store).await;
            }
            saved(&joined).await;
            let mut of_slow = JournalSync::default();
            let mut of_first = JournalSync::default();
            for _ in 0..2 {
                page_of(&slow, &mut of_slow, &first, change.version).await;
                page_of(&first, &mut of_first, &joined, change.version).await;
            }
            let is_fenced = is_fenced(&change, &tolerance, |member| match member.node.as_str() {
                "store-0" => first.is_complete() && first.has_saved_stores(),
                "store-1" => of_slow.is_in_sync(change.version),
                _ => false,
            });
            let shared =
                FencedJournalEnd::for_members(&change, None, is_fenced, first.journal_end());
            let holds =
                |node: &str| shared.is_some_and(|end| end.is_covered_by(first.held_by(node)));
            let peers: Vec<PeerHealth> = [1, 2, 3]
                .into_iter()
                .map(|number| format!("store-{number}"))
                .map(|node| PeerHealth {
                    silent_for: Duration::from_secs(if node == "store-2" { 5 } else { 0 }),
                    caught_up: holds(&node),
                    node: Text::from(node),
                })
                .collect();
            let oneself = LocalMember {
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
            let step = decide(&change, &oneself, &peers, &tolerance);
            assert_eq!(
                step,
                MembershipStep::Change(settled.clone()),
                "it is settled"
            );
            let settled_stores = Rc::new(StoreGroups::single(settled.clone()));
            for local_store in [&first, &joined] {
                local_store.set_stores(settled_stores.clone());
            }
            // The disk of 1 is done.
            let collector = slow.clone();
            tokio::task::spawn_local(
                async move { collector.process_journal_results(results).await },
            );
            tally.add_reply(&slow.node, appended.await.expect("answered"));
            let kept = tally.is_stored();
            let settled_list = Rc::new(settled.clone());
            let mut asked = ChainTally::new(&settled_list, &tolerance).expect("a quorum");
            for local_store in [&first, &joined] {
                let question = Request::Chain {
                    group: GroupNumber(0),
                    members_version: settled.version,
                    turn: Text::from("one"),
                };
                asked.add_reply(
                    &local_store.node,
                    local_store.handle_request(question).await,
                );
            }
            let absent = asked.step() == ChainLookup::Absent;
            assert!(
                !(kept && absent),
                "a kept turn is told as absent; no disk was lost"
            );
        })
        .await;
}
