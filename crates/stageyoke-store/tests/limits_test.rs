//! Limits on the memory and disk that a store uses, and the expiry of its records.

mod support;

use std::io::Write;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use stageyoke_directory::{GroupNumber, Member, MemberState, Members, StoreGroups};
use stageyoke_store::keys::TurnKey;
use stageyoke_store::local_store::LocalStore;
use stageyoke_store::message::{ChainPart, JournalPosition, Record, Refusal, Reply, Request};
use stageyoke_store::segment::{DataFolder, encode_clock, encode_record};
use stageyoke_store::{RecentTurns, StoreLimits};
use stageyoke_types::{Blob, Text};
use support::turn;
use tokio::task::LocalSet;

const NODE: &str = "store";

fn reserve(number: usize) -> Record {
    Record::Reserve {
        program: Text::from(format!("program-{number}")),
        turn: Text::from(format!("turn-{number}")),
        max_tokens: 100,
    }
}

/// Writes segments that started at the given seconds of the disk clock.
fn write_segments(path: &Path, segments: &[(u64, &[Record])]) {
    let folder = DataFolder::open(path).expect("folder");
    folder.recover(1, true).expect("first start");
    for (number, (seconds, records)) in (0..).zip(segments) {
        let mut bytes = Vec::new();
        encode_clock(*seconds, &mut bytes);
        for record in *records {
            encode_record(record, &mut bytes);
        }
        let mut file = folder.create_segment(number).expect("segment");
        file.write_all(&bytes).expect("records");
    }
}

fn open(path: &Path, limits: StoreLimits) -> Rc<LocalStore> {
    open_with_journal_identifier(path, limits, 2)
}

/// Opens the store with `journal_identifier` for its new journal.
fn open_with_journal_identifier(
    path: &Path,
    limits: StoreLimits,
    journal_identifier: u64,
) -> Rc<LocalStore> {
    let folder = DataFolder::open(path).expect("folder");
    let recovered = folder.recover(journal_identifier, false).expect("recover");
    let node = Text::from(NODE);
    let (local_store, results) =
        LocalStore::open(node, folder, recovered, limits).expect("threads");
    let local_store = Rc::new(local_store);
    let members = Members::default().with_member(Member {
        node: Text::from(NODE),
        address: Text::from("127.0.0.1:1"),
        zone: Text::from("zone"),
        state: MemberState::Active,
        disk: 0,
    });
    local_store.set_stores(Rc::new(StoreGroups::single(members)));
    let collector = local_store.clone();
    tokio::task::spawn_local(async move { collector.process_journal_results(results).await });
    local_store
}

async fn append(local_store: &LocalStore, record: Record) -> Reply {
    let request = Request::Append {
        group: GroupNumber(0),
        members_version: 1,
        load: Default::default(),
        placement: None,
        record,
    };
    local_store.handle_request(request).await
}

fn chain_request(turn: Text) -> Request {
    let group = GroupNumber(0);
    Request::Chain {
        group,
        members_version: 1,
        turn,
    }
}

async fn chain(local_store: &LocalStore, turn: &str) -> (usize, String) {
    let turn = Text::from(turn);
    match local_store.handle_request(chain_request(turn)).await {
        Reply::Chain { parts, missing, .. } => (parts.len(), missing.to_string()),
        other => panic!("expected a chain: {other:?}"),
    }
}

async fn run_local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// A restart must not reset the age of records: expired ones are dropped even when nothing is
/// written, and a turn that a younger one continues is written again.
#[tokio::test]
async fn record_ages_survive_a_restart_and_an_idle_store_expires_records() {
    run_local(async {
        let path = tempfile::tempdir().expect("folder");
        let expired = [turn("old", ""), turn("first", "")];
        let recent_records = [turn("second", "first")];
        write_segments(
            path.path(),
            &[(0, &expired), (10, &[]), (490, &recent_records)],
        );
        let local_store = open(path.path(), StoreLimits::default());
        assert_eq!(chain(&local_store, "old").await, (1, String::new()));
        local_store.expire_segments().await;
        while local_store.in_flight_records() > 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(chain(&local_store, "old").await, (0, "old".to_owned()));
        assert_eq!(chain(&local_store, "second").await, (2, String::new()));
        let folder = DataFolder::open(path.path()).expect("folder");
        let remaining = folder.segment_numbers().expect("numbers");
        assert!(!remaining.contains(&0), "{remaining:?}");
        let restarted = folder.recover(3, false).expect("recover");
        assert!(
            restarted.clock_seconds >= 490,
            "the clock does not go back: {}",
            restarted.clock_seconds
        );
    })
    .await;
}

async fn digests_from(
    local_store: &LocalStore,
    from: JournalPosition,
) -> (Vec<u64>, JournalPosition) {
    let request = Request::Digests {
        group: GroupNumber(0),
        members_version: 1,
        node: Text::from("peer"),
        from,
        held: JournalPosition::default(),
    };
    match local_store.handle_request(request).await {
        Reply::Digests { digests, next, .. } => (digests.0, next),
        other => panic!("expected digests: {other:?}"),
    }
}

/// Guards against a restarted store that reuses its journal identifier and counts from zero: a peer
/// then asked from a position past the new end and missed records.
#[tokio::test]
async fn a_peer_receives_digests_of_records_written_after_a_restart() {
    run_local(async {
        let path = tempfile::tempdir().expect("folder");
        let expired = [turn("old", ""), turn("older", ""), turn("oldest", "")];
        write_segments(
            path.path(),
            &[(0, &expired), (10, &[]), (490, &[turn("young", "")])],
        );
        let local_store = open(path.path(), StoreLimits::default());
        let (_, compared_position) = digests_from(&local_store, JournalPosition::default()).await;
        local_store.expire_segments().await;
        let folder = DataFolder::open(path.path()).expect("folder");
        while folder.segment_numbers().expect("numbers").contains(&0) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let restarted = open_with_journal_identifier(path.path(), StoreLimits::default(), 3);
        append(&restarted, turn("written", "")).await;
        let (digests, _) = digests_from(&restarted, compared_position).await;
        assert!(digests.contains(&turn("written", "").digest()));
    })
    .await;
}

/// A store that counts by a member list before the list is on disk falls back to the older list
/// after a power loss, although a membership change relied on it.
#[tokio::test]
async fn a_member_list_counts_only_once_it_is_on_disk() {
    run_local(async {
        let path = tempfile::tempdir().expect("folder");
        write_segments(path.path(), &[]);
        let blocking_folder = path.path().join("stores");
        std::fs::create_dir(&blocking_folder).expect("folder in place of the file");
        let local_store = open(path.path(), StoreLimits::default());
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(local_store.is_complete() && !local_store.has_saved_stores());
        assert!(!reports_complete(&local_store).await);
        std::fs::remove_dir(&blocking_folder).expect("remove the blocking folder");
        local_store.retry_saving_stores();
        while !local_store.has_saved_stores() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(reports_complete(&local_store).await);
    })
    .await;
}

async fn reports_complete(local_store: &LocalStore) -> bool {
    let request = Request::Digests {
        group: GroupNumber(0),
        members_version: 1,
        node: Text::from("peer"),
        from: JournalPosition::default(),
        held: JournalPosition::default(),
    };
    let reply = local_store.handle_request(request).await;
    matches!(reply, Reply::Digests { complete: true, .. })
}

/// A clock set back by a lost tail must not expire records early.
#[rstest]
#[case(&[0, 10, 20], 20)]
#[case(&[0, 500, 20], 500)]
fn recovery_takes_the_latest_clock_of_any_segment(
    #[case] segment_seconds: &[u64],
    #[case] expected_seconds: u64,
) {
    let path = tempfile::tempdir().expect("folder");
    let segments: Vec<(u64, &[Record])> = segment_seconds
        .iter()
        .map(|seconds| (*seconds, &[][..]))
        .collect();
    write_segments(path.path(), &segments);
    let folder = DataFolder::open(path.path()).expect("folder");
    assert_eq!(
        folder.recover(2, false).expect("recover").clock_seconds,
        expected_seconds
    );
}

/// At the memory limit the store rejects new turns first. It still stores the ends of started
/// turns, up to the full limit, and serves reads.
#[tokio::test]
async fn full_memory_refuses_new_turns_before_the_ends_of_started_ones() {
    run_local(async {
        let path = tempfile::tempdir().expect("folder");
        write_segments(path.path(), &[]);
        let limits = StoreLimits {
            state_bytes: 64 * 1024,
            ..StoreLimits::default()
        };
        let local_store = open(path.path(), limits);
        assert!(matches!(
            append(&local_store, turn("one", "")).await,
            Reply::Stored { .. }
        ));
        let mut reservations = 0;
        while matches!(
            append(&local_store, reserve(reservations)).await,
            Reply::Stored { .. }
        ) {
            reservations += 1;
        }
        assert!(local_store.memory_bytes() < limits.state_bytes);
        let rejected = append(&local_store, reserve(reservations)).await;
        assert_eq!(rejected, Reply::Refused(Refusal::MemoryFull));
        let end = append(&local_store, turn("two", "one")).await;
        assert!(matches!(end, Reply::Stored { .. }), "{end:?}");
        assert_eq!(chain(&local_store, "two").await, (2, String::new()));
        let mut turn_ends = 0;
        while matches!(
            append(&local_store, turn(&format!("end-{turn_ends}"), "")).await,
            Reply::Stored { .. }
        ) {
            turn_ends += 1;
        }
        let max_bytes = limits.state_bytes + 1024;
        assert!(
            local_store.memory_bytes() <= max_bytes,
            "{}",
            local_store.memory_bytes()
        );
        assert!(turn_ends > 0);
    })
    .await;
}

/// A turn whose record cannot be read is reported as a disk error, not as missing.
#[tokio::test]
async fn an_unreadable_turn_is_not_reported_as_missing() {
    run_local(async {
        let path = tempfile::tempdir().expect("folder");
        write_segments(path.path(), &[(0, &[turn("one", "")]), (1, &[])]);
        let local_store = open(path.path(), StoreLimits::default());
        std::fs::remove_file(path.path().join("segment-0000000000")).expect("remove");
        let turn = Text::from("one");
        let reply = local_store.handle_request(chain_request(turn)).await;
        assert_eq!(reply, Reply::Refused(Refusal::DiskRefused));
    })
    .await;
}

/// Clients must not be able to set the store's clock.
#[tokio::test]
async fn a_clock_record_from_a_client_is_refused() {
    run_local(async {
        let path = tempfile::tempdir().expect("folder");
        write_segments(path.path(), &[]);
        let local_store = open(path.path(), StoreLimits::default());
        let reply = append(&local_store, Record::Clock { seconds: 9 }).await;
        assert!(matches!(reply, Reply::Refused(_)), "{reply:?}");
    })
    .await;
}

/// Records beyond the backlog limit are refused with the same error as a failing disk.
#[tokio::test]
async fn the_disk_write_backlog_is_bounded() {
    run_local(async {
        let path = tempfile::tempdir().expect("folder");
        write_segments(path.path(), &[]);
        let limits = StoreLimits {
            backlog_bytes: 1,
            ..StoreLimits::default()
        };
        let local_store = open(path.path(), limits);
        let (first, second) = tokio::join!(
            append(&local_store, reserve(1)),
            append(&local_store, reserve(2)),
        );
        assert!(matches!(first, Reply::Stored { .. }), "{first:?}");
        assert_eq!(second, Reply::Refused(Refusal::DiskRefused));
        let later = append(&local_store, reserve(2)).await;
        assert!(matches!(later, Reply::Stored { .. }), "{later:?}");
    })
    .await;
}

#[tokio::test]
async fn journal_positions_of_former_members_are_dropped() {
    run_local(async {
        let path = tempfile::tempdir().expect("folder");
        write_segments(path.path(), &[]);
        let local_store = open(path.path(), StoreLimits::default());
        let held = JournalPosition {
            journal: 5,
            next: 7,
        };
        let request = Request::Digests {
            group: GroupNumber(0),
            members_version: 1,
            node: Text::from("gone"),
            from: JournalPosition::default(),
            held,
        };
        local_store.handle_request(request).await;
        assert_eq!(local_store.held_by("gone"), held);
        let members = local_store.members();
        let changed = members
            .start_change(members.list_without("another"))
            .settle_change();
        local_store.set_stores(Rc::new(StoreGroups::single(changed)));
        assert_eq!(local_store.held_by("gone"), JournalPosition::default());
    })
    .await;
}

/// The cache evicts the oldest turns first.
#[test]
fn recent_turns_stay_within_their_byte_limit() {
    let part = |number: u32| ChainPart {
        turn: Text::from(format!("turn-{number}")),
        previous: Text::default(),
        input: Blob::from(vec![0; 500]),
        output: Blob::from(vec![0; 300]),
    };
    let mut recent = RecentTurns::new(10_000);
    for number in 0..100 {
        recent.insert(part(number));
        recent.insert(part(number));
        assert!(recent.bytes() <= 10_000, "{}", recent.bytes());
    }
    let held = |number: u32| recent.get(TurnKey::of(&format!("turn-{number}"))).is_some();
    assert!(held(99) && held(92) && !held(89) && !held(0));
}

/// One large turn must not drop all others, nor be copied for nothing.
#[test]
fn a_turn_larger_than_the_cache_evicts_nothing() {
    let part = |turn: &str, bytes: usize| ChainPart {
        turn: Text::from(turn),
        previous: Text::default(),
        input: Blob::from(vec![0; bytes]),
        output: Blob::default(),
    };
    let mut recent = RecentTurns::new(10_000);
    recent.insert(part("small", 500));
    recent.insert(part("large", 11_000));
    assert!(recent.get(TurnKey::of("small")).is_some());
    assert!(recent.get(TurnKey::of("large")).is_none());
    assert!(recent.bytes() <= 10_000);
}

/// Cached contents that are slices of a connection's read buffer would keep the whole buffer in
/// memory.
#[test]
fn recent_turns_do_not_retain_read_buffers() {
    let buffer = Blob::from(vec![7; 8192]);
    let slice = Blob::from(buffer.0.slice(100..400));
    let part = ChainPart {
        turn: Text::from("turn"),
        previous: Text::default(),
        input: slice.clone(),
        output: slice,
    };
    let mut recent = RecentTurns::new(10_000);
    recent.insert(part);
    let cached = recent.get(TurnKey::of("turn")).expect("cached turn");
    let buffer_range = buffer.as_ptr_range();
    for contents in [&cached.input, &cached.output] {
        assert_eq!(contents.len(), 300);
        assert!(!buffer_range.contains(&contents.as_ptr()));
    }
}
