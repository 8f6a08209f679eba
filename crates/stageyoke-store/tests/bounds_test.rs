//! What a store's memory and disk grow by, and what bounds them: ages go on over
//! restarts, a full memory refuses new turns first, and a store that takes
//! nothing forgets all the same.

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

/// Writes segments that began at these seconds of the disk's clock.
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
    open_disk(path, limits, 2)
}

/// The same for a start that draws this number.
fn open_disk(path: &Path, limits: StoreLimits, drawn: u64) -> Rc<LocalStore> {
    let folder = DataFolder::open(path).expect("folder");
    let recovered = folder.recover(drawn, false).expect("recover");
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
        other => panic!("a chain: {other:?}"),
    }
}

async fn local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// The time that a record is kept does not begin anew at a restart: what the
/// disk's clock says is past its time goes, also from a store that takes
/// nothing, and what a younger turn goes on from is written again.
#[tokio::test]
async fn ages_go_on_over_restarts_and_an_idle_store_forgets() {
    local(async {
        let path = tempfile::tempdir().expect("folder");
        let old = [turn("old", ""), turn("first", "")];
        let young = [turn("second", "first")];
        write_segments(path.path(), &[(0, &old), (10, &[]), (490, &young)]);
        let local_store = open(path.path(), StoreLimits::default());
        assert_eq!(chain(&local_store, "old").await, (1, String::new()));
        local_store.expire_segments().await;
        while local_store.in_flight_records() > 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(chain(&local_store, "old").await, (0, "old".to_owned()));
        assert_eq!(chain(&local_store, "second").await, (2, String::new()));
        let folder = DataFolder::open(path.path()).expect("folder");
        let left = folder.segment_numbers().expect("numbers");
        assert!(!left.contains(&0), "{left:?}");
        let again = folder.recover(3, false).expect("recover");
        assert!(
            again.clock_seconds >= 490,
            "and the clock goes on: {}",
            again.clock_seconds
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
        other => panic!("digests: {other:?}"),
    }
}

/// A store that had forgotten old records and started again counted its journal from
/// nought, under the same name as before. A peer went on from a place beyond the new end,
/// was told that there was nothing more, and never saw what was written in between: it
/// took itself as in step, and a list could be settled on it.
#[tokio::test]
async fn a_peer_sees_what_was_written_after_a_restart() {
    local(async {
        let path = tempfile::tempdir().expect("folder");
        let old = [turn("old", ""), turn("older", ""), turn("oldest", "")];
        write_segments(
            path.path(),
            &[(0, &old), (10, &[]), (490, &[turn("young", "")])],
        );
        let local_store = open(path.path(), StoreLimits::default());
        let (_, compared_up_to) = digests_from(&local_store, JournalPosition::default()).await;
        local_store.expire_segments().await;
        let folder = DataFolder::open(path.path()).expect("folder");
        while folder.segment_numbers().expect("numbers").contains(&0) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let again = open_disk(path.path(), StoreLimits::default(), 3);
        append(&again, turn("written", "")).await;
        let (seen, _) = digests_from(&again, compared_up_to).await;
        assert!(seen.contains(&turn("written", "").digest()));
    })
    .await;
}

/// A store told its peers that it went by a list before that list was on its disk. After
/// a loss of power it would have gone by the older one again, while a change had been
/// settled on its word. It counts for nothing until the list is kept.
#[tokio::test]
async fn a_list_counts_once_it_is_on_the_disk() {
    local(async {
        let path = tempfile::tempdir().expect("folder");
        write_segments(path.path(), &[]);
        let in_the_way = path.path().join("stores");
        std::fs::create_dir(&in_the_way).expect("a folder in the file's place");
        let local_store = open(path.path(), StoreLimits::default());
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(local_store.is_complete() && !local_store.has_saved_stores());
        assert!(!vouches_to_peer(&local_store).await);
        std::fs::remove_dir(&in_the_way).expect("out of the way");
        local_store.retry_saving_stores();
        while !local_store.has_saved_stores() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(vouches_to_peer(&local_store).await);
    })
    .await;
}

async fn vouches_to_peer(local_store: &LocalStore) -> bool {
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

/// A clock that was set back by a lost tail never lets a record go too early.
#[rstest]
#[case(&[0, 10, 20], 20)]
#[case(&[0, 500, 20], 500)]
fn the_clock_is_the_latest_that_any_segment_tells(#[case] starts: &[u64], #[case] clock: u64) {
    let path = tempfile::tempdir().expect("folder");
    let segments: Vec<(u64, &[Record])> = starts.iter().map(|start| (*start, &[][..])).collect();
    write_segments(path.path(), &segments);
    let folder = DataFolder::open(path.path()).expect("folder");
    assert_eq!(
        folder.recover(2, false).expect("recover").clock_seconds,
        clock
    );
}

/// At the bound new turns are refused first; the ends of those that have begun
/// are still kept, up to the whole of it; reads go on.
#[tokio::test]
async fn a_full_memory_refuses_new_turns_before_the_ends_of_others() {
    local(async {
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
        let mut taken = 0;
        while matches!(
            append(&local_store, reserve(taken)).await,
            Reply::Stored { .. }
        ) {
            taken += 1;
        }
        assert!(local_store.memory_bytes() < limits.state_bytes);
        let refused = append(&local_store, reserve(taken)).await;
        assert_eq!(refused, Reply::Refused(Refusal::MemoryFull));
        let end = append(&local_store, turn("two", "one")).await;
        assert!(matches!(end, Reply::Stored { .. }), "{end:?}");
        assert_eq!(chain(&local_store, "two").await, (2, String::new()));
        let mut ends = 0;
        while matches!(
            append(&local_store, turn(&format!("end-{ends}"), "")).await,
            Reply::Stored { .. }
        ) {
            ends += 1;
        }
        let most = limits.state_bytes + 1024;
        assert!(
            local_store.memory_bytes() <= most,
            "{}",
            local_store.memory_bytes()
        );
        assert!(ends > 0);
    })
    .await;
}

/// A turn whose record can't be read back is told as a disk's refusal, never as
/// missing.
#[tokio::test]
async fn what_is_held_and_unreadable_is_not_told_as_missing() {
    local(async {
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

/// No caller may set a store's clock.
#[tokio::test]
async fn a_clock_from_outside_is_refused() {
    local(async {
        let path = tempfile::tempdir().expect("folder");
        write_segments(path.path(), &[]);
        let local_store = open(path.path(), StoreLimits::default());
        let reply = append(&local_store, Record::Clock { seconds: 9 }).await;
        assert!(matches!(reply, Reply::Refused(_)), "{reply:?}");
    })
    .await;
}

/// What waits for a disk is bounded: more is refused as by the disk itself.
#[tokio::test]
async fn what_waits_for_the_disk_is_bounded() {
    local(async {
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

/// Positions of stores that are no members any more are forgotten.
#[tokio::test]
async fn positions_go_with_the_members() {
    local(async {
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

/// The newest turns stay within their bytes; the oldest go first.
#[test]
fn recent_turns_stay_within_their_bytes() {
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

/// Contents of turns were slices of the connections' read buffers, which they kept alive:
/// a calm soak of 130 s told of fronts whose memory rose by 212 KB a second, to 35 MB,
/// though their recent turns counted 6 MB.
#[test]
fn recent_turns_keep_nothing_but_their_contents() {
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
    let kept = recent.get(TurnKey::of("turn")).expect("kept");
    let within = buffer.as_ptr_range();
    for contents in [&kept.input, &kept.output] {
        assert_eq!(contents.len(), 300);
        assert!(!within.contains(&contents.as_ptr()));
    }
}
