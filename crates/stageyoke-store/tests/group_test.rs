//! A front's view of a group of real stores on loopback sockets and disks.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use stageyoke_directory::{GroupNumber, Member, MemberState, Members, StoreGroups, Tolerance};
use stageyoke_store::frame;
use stageyoke_store::local_store::{LocalStore, SilentSince};
use stageyoke_store::message::{JournalPosition, Numbered, Record, Reply, Request};
use stageyoke_store::peer_sync::Peers;
use stageyoke_store::rank_load::ServiceRank;
use stageyoke_store::segment::DataFolder;
use stageyoke_store::server;
use stageyoke_store::{ChainOutcome, GroupClients, GroupError, StoreLimits};
use stageyoke_types::{List, Text};
use support::turn;
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::Instant;

const PROGRAM: &str = "program";
const WITHIN: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(300);

fn tolerance() -> Tolerance {
    Tolerance::of_machines(1)
}

struct Store {
    local_store: Rc<LocalStore>,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    folder: TempDir,
}

impl Store {
    async fn start(number: usize, first_start: bool) -> Self {
        let folder = tempfile::tempdir().expect("folder");
        Self::start_in(number, first_start, folder).await
    }

    async fn start_in(number: usize, first_start: bool, folder: TempDir) -> Self {
        let data = DataFolder::open(folder.path()).expect("open");
        let recovered = data
            .recover(number as u64 + 1, first_start)
            .expect("recover");
        let node = Text::from(format!("store-{number}"));
        let limits = StoreLimits::default();
        let (local_store, results) =
            LocalStore::open(node, data, recovered, limits).expect("threads");
        let local_store = Rc::new(local_store);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let collector = local_store.clone();
        let tasks = vec![
            tokio::task::spawn_local(server::serve(local_store.clone(), listener)),
            tokio::task::spawn_local(
                async move { collector.process_journal_results(results).await },
            ),
        ];
        Self {
            local_store,
            address,
            tasks,
            folder,
        }
    }

    fn stop(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn list(stores: &[Store]) -> Rc<StoreGroups> {
    let members = stores.iter().fold(Members::default(), |list, store| {
        list.with_member(Member {
            node: store.local_store.node.clone(),
            address: Text::from(store.address.to_string()),
            zone: Text::from("zone"),
            state: MemberState::Active,
            disk: store.local_store.disk(),
        })
    });
    Rc::new(StoreGroups::single(members))
}

/// The same group so many versions later.
fn later(stores: &StoreGroups, versions: u64) -> Rc<StoreGroups> {
    let members = stores.group(GroupNumber(0)).expect("group");
    Rc::new(StoreGroups::single(Members {
        version: members.version + versions,
        ..members.clone()
    }))
}

async fn group_of(count: usize) -> (Vec<Store>, Rc<GroupClients>) {
    let mut stores = Vec::new();
    for number in 0..count {
        stores.push(Store::start(number, true).await);
    }
    let members = list(&stores);
    for store in &stores {
        store.local_store.set_stores(members.clone());
    }
    let group = Rc::new(GroupClients::new(Text::from("zone"), tolerance()));
    group.update_stores(&members);
    (stores, group)
}

fn reserve(turn: &str) -> Record {
    Record::Reserve {
        program: Text::from("program"),
        turn: Text::from(turn),
        max_tokens: 100,
    }
}

async fn local<T>(work: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(work).await
}

/// Groups of other sizes and tolerances: as many as may be lost, are.
#[rstest]
#[case(1, 0)]
#[case(2, 0)]
#[case(3, 1)]
#[case(5, 1)]
#[case(5, 2)]
#[tokio::test]
async fn groups_of_any_size_outlive_what_they_tolerate(
    #[case] count: usize,
    #[case] losses: usize,
) {
    local(async {
        let (stores, _) = group_of(count).await;
        for store in &stores[..losses] {
            store.stop();
        }
        let group = GroupClients::new(Text::from("zone"), Tolerance::of_machines(losses));
        group.update_stores(&list(&stores));
        group.append(turn("one", ""), WITHIN).await.expect("kept");
        let next = group.append(turn("two", "one"), WITHIN).await;
        assert!(next.is_ok());
        let ChainOutcome::Complete(parts) = group.chain(PROGRAM, &Text::from("two"), WITHIN).await
        else {
            panic!("the chain is whole");
        };
        assert_eq!(parts.len(), 2);
        let unknown = group.chain(PROGRAM, &Text::from("unknown"), WITHIN).await;
        assert!(matches!(unknown, ChainOutcome::Absent(_)), "{unknown:?}");
    })
    .await;
}

#[tokio::test]
async fn one_store_may_be_lost_but_not_two() {
    local(async {
        let (stores, group) = group_of(3).await;
        stores[0].stop();
        group
            .append(turn("one", ""), WITHIN)
            .await
            .expect("two of three keep it");
        stores[1].stop();
        let group = GroupClients::new(Text::from("zone"), tolerance());
        group.update_stores(&list(&stores));
        let record = turn("two", "one");
        let error = group
            .append(record, SHORT)
            .await
            .expect_err("one is too few");
        assert_eq!(error, GroupError::NoQuorum);
    })
    .await;
}

#[tokio::test]
async fn absence_is_told_only_when_no_kept_copy_can_hide() {
    local(async {
        let (stores, group) = group_of(3).await;
        let unknown = Text::from("unknown");
        let outcome = group.chain(PROGRAM, &unknown, WITHIN).await;
        assert!(matches!(outcome, ChainOutcome::Absent(turn) if turn == unknown));
        stores[0].stop();
        stores[1].stop();
        // Only the listeners end here: a new group has no open connections.
        let group = GroupClients::new(Text::from("zone"), tolerance());
        group.update_stores(&list(&stores));
        let outcome = group.chain(PROGRAM, &unknown, SHORT).await;
        assert!(matches!(outcome, ChainOutcome::Unknown), "{outcome:?}");
    })
    .await;
}

#[tokio::test]
async fn a_store_with_a_lost_disk_never_vouches_for_absence() {
    local(async {
        let (mut stores, _) = group_of(2).await;
        stores.push(Store::start(2, false).await);
        let members = list(&stores);
        for store in &stores {
            store.local_store.set_stores(members.clone());
        }
        let group = GroupClients::new(Text::from("zone"), tolerance());
        group.update_stores(&members);
        stores[0].stop();
        let outcome = group.chain(PROGRAM, &Text::from("unknown"), SHORT).await;
        assert!(matches!(outcome, ChainOutcome::Unknown), "{outcome:?}");
    })
    .await;
}

#[tokio::test]
async fn of_racing_reservations_at_least_one_sees_the_other() {
    local(async {
        let (_stores, group) = group_of(4).await;
        for round in 0..30 {
            let one = format!("one-{round}");
            let other = format!("other-{round}");
            let (first, second) = tokio::join!(
                group.append(reserve(&one), WITHIN),
                group.append(reserve(&other), WITHIN)
            );
            let first = first.expect("kept").total_excluding(&one);
            let second = second.expect("kept").total_excluding(&other);
            let before = 200 * round;
            assert!(
                first.max(second) >= before + 100,
                "{first} {second} {before}"
            );
            assert!(first.min(second) >= before);
        }
    })
    .await;
}

/// Also in a group of two, where a write quorum is both: the one that is left holds
/// everything. After a retirement left two of three, a day's second lost disk made the
/// group refuse every turn for the rest of it.
#[rstest]
#[case(3)]
#[case(2)]
#[tokio::test]
async fn a_lost_disk_is_filled_again_and_then_vouches(#[case] count: usize) {
    let test = local(async {
        let (mut stores, group) = group_of(count).await;
        let last = count - 1;
        for number in 0..40 {
            let previous = match number {
                0 => String::new(),
                number => format!("turn-{}", number - 1),
            };
            let record = turn(&format!("turn-{number}"), &previous);
            group.append(record, WITHIN).await.expect("kept");
        }
        stores[last].stop();
        stores[last] = Store::start(last, false).await;
        let members = list(&stores);
        for store in &stores {
            store.local_store.set_stores(later(&members, 3));
        }
        assert!(!stores[last].local_store.is_complete());
        let peers = Rc::new(Peers::new(stores[last].local_store.clone(), tolerance()));
        peers.update_members(&stores[last].local_store.members());
        while !stores[last].local_store.is_complete() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        for number in 0..40 {
            let digest = turn(&format!("turn-{number}"), "").digest();
            assert!(stores[last].local_store.holds(digest));
        }
    });
    let in_time = tokio::time::timeout(WITHIN, test).await;
    in_time.expect("it is filled again");
}

#[tokio::test]
async fn what_was_acknowledged_is_there_after_a_restart() {
    local(async {
        let (mut stores, group) = group_of(2).await;
        group.append(turn("one", ""), WITHIN).await.expect("kept");
        group.append(reserve("two"), WITHIN).await.expect("kept");
        for number in 0..2 {
            let store = stores.remove(0);
            store.stop();
            let again = Store::start_in(number, false, store.folder).await;
            assert!(again.local_store.is_complete());
            assert!(again.local_store.holds(turn("one", "").digest()));
            assert!(again.local_store.holds(reserve("two").digest()));
            stores.push(again);
        }
    })
    .await;
}

#[tokio::test]
async fn a_front_with_an_old_list_is_refused() {
    local(async {
        let (stores, group) = group_of(3).await;
        let newer = later(&group.stores(), 2);
        for store in &stores {
            store.local_store.set_stores(newer.clone());
        }
        let error = group
            .append(turn("one", ""), SHORT)
            .await
            .expect_err("stale");
        assert_eq!(error, GroupError::StaleMembers);
        group.update_stores(&newer);
        group.append(turn("one", ""), WITHIN).await.expect("kept");
    })
    .await;
}

/// A front that the key-value service turns away learns of newer lists from the
/// stores that refuse it: here two changes came while it heard nothing, and one
/// of the three stores that it knows has left.
#[tokio::test]
async fn a_front_cut_off_from_the_service_learns_the_list_from_stores() {
    local(async {
        let (mut stores, group) = group_of(3).await;
        stores.push(Store::start(3, true).await);
        let grown = list(&stores);
        let left = stores.remove(0);
        let members = grown.group(GroupNumber(0)).expect("group");
        let rest = members.list_without(&left.local_store.node);
        let newest = members.start_change(rest).settle_change();
        let newest = Rc::new(StoreGroups::single(newest));
        assert!(newest.version > group.stores().version + 1);
        for store in &stores {
            store.local_store.set_stores(newest.clone());
        }
        left.stop();
        let refused = group.append(reserve("one"), SHORT).await.map(drop);
        assert_eq!(refused, Err(GroupError::StaleMembers));
        assert_eq!(group.stores().version, newest.version);
        group.append(reserve("one"), WITHIN).await.expect("kept");
        group.append_in_background(turn("two", ""), WITHIN);
        // What the service hands on later may be older than that.
        group.update_stores(&grown);
        assert_eq!(group.stores().version, newest.version);
    })
    .await;
}

/// A front repeats what a slow disk has not answered: one copy is written.
#[tokio::test]
async fn what_is_on_its_way_to_the_disk_is_not_written_twice() {
    local(async {
        let store = Store::start(0, true).await;
        let before = store.local_store.journal_end().next;
        let keep = || store.local_store.store_record(turn("one", ""));
        let kept = tokio::join!(keep(), keep(), keep(), keep());
        assert_eq!(kept, (true, true, true, true));
        assert_eq!(store.local_store.journal_end().next, before + 1);
        assert_eq!(store.local_store.in_flight_records(), 0);
    })
    .await;
}

/// A peer that tells of a record and delivers nothing.
async fn withholding_peer(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(async move {
            let (mut reader, mut writer) = stream.into_split();
            while let Ok(asked) = frame::read::<Numbered<Request>>(&mut reader).await {
                let content = match asked.content {
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
                let number = asked.number;
                let bytes = frame::encode(&Numbered { number, content });
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// A store vouches for what it has been given, not for what it has been told of:
/// a peer whose disk fails a read leaves records out of its answers.
#[tokio::test]
async fn a_store_does_not_vouch_for_records_that_were_not_delivered() {
    local(async {
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

/// A spare takes the place of a silent member sooner if the members that answer have
/// missed it: it believes the one that has missed it for the shortest time.
#[tokio::test]
async fn members_tell_who_does_not_answer_them() {
    local(async {
        let (stores, _) = group_of(3).await;
        let spare = Store::start(3, false).await;
        let silent_for = |local_store: &LocalStore, milliseconds: u64| {
            let since = Instant::now() - Duration::from_millis(milliseconds);
            let node = stores[2].local_store.node.clone();
            local_store.set_silent_peers(vec![SilentSince { node, since }]);
        };
        silent_for(&stores[0].local_store, 9_000);
        silent_for(&stores[1].local_store, 4_000);
        stores[2].stop();
        spare.local_store.set_stores(list(&stores));
        spare.local_store.backfill_for(Some(GroupNumber(0)));
        let peers = Rc::new(Peers::new(spare.local_store.clone(), tolerance()));
        assert_eq!(peers.reported_silent_for("store-2"), None);
        peers.update_members(&spare.local_store.members());
        let told = |least: u64| {
            let told = peers.reported_silent_for("store-2");
            told.is_some_and(|told| told >= Duration::from_millis(least))
        };
        while !(peers.is_caught_up_with("store-0", 0) && peers.is_caught_up_with("store-1", 0)) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(told(4_000) && !told(9_000));
        stores[1].local_store.set_silent_peers(Vec::new());
        while peers.reported_silent_for("store-2") != Some(Duration::ZERO) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .await;
}

/// Whether a program has begun is told without a record, and with it what other fronts
/// have under way.
#[tokio::test]
async fn a_front_hears_whether_a_program_has_begun() {
    local(async {
        let (stores, group) = group_of(3).await;
        let other = GroupClients::new(Text::from("zone"), tolerance());
        other.update_stores(&list(&stores));
        let ranked = ServiceRank {
            service: 5,
            rank: 2,
        };
        other.load().ranks.enable_reports();
        other.load().ranks.start_turn(ranked);
        other.append(reserve("one"), WITHIN).await.expect("kept");
        let asked = Text::from(PROGRAM);
        let unknown = Text::from("unknown");
        // The greeting is heard with the first answer, and reports go behind later
        // requests; what was told counts for half a second, which a busy machine may take.
        group
            .append(turn("of-another", ""), WITHIN)
            .await
            .expect("kept");
        let until = Instant::now() + WITHIN;
        while group.load().ranks.in_flight_at_or_above(ranked) != Some(1) && Instant::now() < until
        {
            other.append(reserve("two"), WITHIN).await.expect("kept");
            assert_eq!(group.has_started(&asked, WITHIN).await, Some(true));
            assert_eq!(group.has_started(&unknown, WITHIN).await, Some(false));
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

/// Nothing is known where no store answers.
#[tokio::test]
async fn without_stores_nothing_is_known_of_a_program() {
    local(async {
        let group = GroupClients::new(Text::from("zone"), tolerance());
        let asked = Text::from(PROGRAM);
        assert_eq!(group.has_started(&asked, SHORT).await, None);
    })
    .await;
}
