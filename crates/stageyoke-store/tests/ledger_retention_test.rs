//! How long each holder of a program's ledger keeps it: a program that returns within its route's
//! retention must find what it has spent.

#[path = "support/running_store.rs"]
mod running_store;

use std::fs;
use std::io::Write;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use nanoserde::DeBin;
use proptest::prelude::*;
use rstest::rstest;
use stageyoke_directory::{GroupNumber, Tolerance};
use stageyoke_store::message::{Record, Reply, Request, TurnRecord};
use stageyoke_store::peer_sync::Peers;
use stageyoke_store::segment::{
    DataFolder, RecordLocation, SegmentUsage, encode_clock, encode_record, encode_stored_record,
};
use stageyoke_store::state::{RETENTION_MARGIN_SECONDS, StoreState};
use stageyoke_store::{GroupClients, StoredRecord};
use stageyoke_types::{Blob, Text};
use tokio::task::{JoinHandle, LocalSet};

use running_store::{Store, store_groups, with_later_version};

const TIMEOUT: Duration = Duration::from_secs(10);
const PROGRAM: &str = "stopped";
const HOUR_SECONDS: u32 = 3_600;
/// Bytes of a record's length and checksum on disk.
const HEADER_BYTES: usize = 8;

fn reserve(turn: &str) -> Record {
    Record::Reserve {
        program: Text::from(PROGRAM),
        turn: Text::from(turn),
        max_tokens: 45,
    }
}

fn settle(turn: &str) -> Record {
    Record::Settle {
        program: Text::from(PROGRAM),
        turn: Text::from(turn),
        used_tokens: 45,
    }
}

/// Returns a kept turn of another program.
fn kept_turn(name: &str, retention_seconds: u32) -> Record {
    Record::Turn(TurnRecord {
        turn: Text::from(name),
        program: Text::from("other"),
        previous: Text::default(),
        input: Blob::default(),
        output: Blob::default(),
        used_tokens: 10,
        retention_seconds,
    })
}

fn with_retention(record: Record, seconds: u32) -> StoredRecord {
    StoredRecord::new(record, Some(seconds))
}

fn add(state: &mut StoreState, record: impl Into<StoredRecord>, now: u64) {
    state.add(&record.into(), RecordLocation::default(), now);
}

fn spent_tokens(state: &StoreState) -> u32 {
    let entries = state.ledger_entries(PROGRAM);
    entries.iter().map(|entry| entry.amount).sum()
}

/// A setting of one route must not stand for that of another: kept turns of a shorter or longer
/// retention, none at all, and turns of the same program on another route.
#[rstest]
#[case::beside_turns_that_are_kept_for_less(Some(20), 60)]
#[case::beside_turns_that_are_kept_for_longer(Some(600), 60)]
#[case::without_kept_turns(None, HOUR_SECONDS)]
#[case::without_kept_turns_and_for_less_than_the_default(None, 60)]
fn a_ledger_is_kept_for_the_retention_of_its_own_route(
    #[case] kept_seconds: Option<u32>,
    #[case] own_seconds: u32,
) {
    let mut state = StoreState::new(1);
    if let Some(seconds) = kept_seconds {
        add(&mut state, kept_turn("kept", seconds), 100);
    }
    add(&mut state, with_retention(reserve("one"), own_seconds), 100);
    add(&mut state, with_retention(settle("one"), own_seconds), 104);
    let end = 104 + u64::from(own_seconds);
    state.expire(Vec::new(), end);
    assert_eq!(spent_tokens(&state), 45, "within its retention");
    state.expire(Vec::new(), end + RETENTION_MARGIN_SECONDS);
    assert_eq!(spent_tokens(&state), 0, "after it");
}

/// The configuration may change under a running program: what was promised when a turn ran holds.
#[rstest]
#[case::lengthened(20, 60)]
#[case::shortened(60, 20)]
fn a_changed_retention_never_shortens_that_of_earlier_turns(
    #[case] before: u32,
    #[case] after: u32,
) {
    let mut state = StoreState::new(1);
    add(&mut state, with_retention(reserve("one"), before), 100);
    add(&mut state, with_retention(settle("one"), before), 100);
    add(&mut state, with_retention(reserve("two"), after), 101);
    state.expire(Vec::new(), 101 + 59);
    assert_eq!(spent_tokens(&state), 90);
}

/// A turn that is kept for a shorter time than its program's ledger must not count at its most again
/// once its record has expired.
#[test]
fn an_expired_turn_stays_settled_in_a_ledger_that_is_kept_longer() {
    let Record::Turn(turn) = kept_turn("one", 20) else {
        unreachable!("a turn");
    };
    let kept = Record::Turn(TurnRecord {
        program: Text::from(PROGRAM),
        ..turn
    });
    let records = vec![
        with_retention(reserve("one"), 20),
        kept.into(),
        with_retention(reserve("two"), 600),
    ];
    let mut state = StoreState::new(1);
    for record in &records {
        add(&mut state, record.clone(), 0);
    }
    assert_eq!(spent_tokens(&state), 10 + 45);
    let copies = state.expire(records, 400);
    let mut restarted = StoreState::new(2);
    for copy in copies {
        add(&mut restarted, copy, 400);
    }
    assert_eq!(spent_tokens(&restarted), 10 + 45);
}

/// Records of the build before this one don't tell their route's retention.
#[rstest]
#[case::beside_turns_that_are_kept_for_less(Some(20), 300)]
#[case::beside_turns_that_are_kept_for_longer(Some(HOUR_SECONDS), u64::from(HOUR_SECONDS))]
#[case::without_kept_turns(None, 300)]
fn a_ledger_of_unknown_retention_is_kept_for_long(
    #[case] kept_seconds: Option<u32>,
    #[case] least_seconds: u64,
) {
    let mut state = StoreState::new(1);
    if let Some(seconds) = kept_seconds {
        add(&mut state, kept_turn("kept", seconds), 0);
    }
    add(&mut state, reserve("one"), 0);
    add(&mut state, settle("one"), 0);
    state.expire(Vec::new(), least_seconds);
    assert_eq!(spent_tokens(&state), 45);
}

fn write_segment(folder: &DataFolder, number: u64, clock: u64, records: &[StoredRecord]) {
    let mut bytes = Vec::new();
    encode_clock(clock, &mut bytes);
    for record in records {
        encode_stored_record(record, &mut bytes);
    }
    let mut file = folder.create_segment(number).expect("segment");
    file.write_all(&bytes).expect("records");
}

/// A store that starts when every old record is behind its disk's clock drops what has expired, and
/// keeps the ledgers whose own retention lasts, over further restarts too.
#[tokio::test]
async fn a_restart_neither_drops_a_ledger_early_nor_keeps_it_for_ever() {
    let local = LocalSet::new();
    let test = local.run_until(async {
        let path = tempfile::tempdir().expect("folder");
        let folder = DataFolder::open(path.path()).expect("open");
        folder.recover(1, true).expect("first start");
        let stopped = [
            kept_turn("kept", 20).into(),
            with_retention(reserve("one"), 600),
            with_retention(settle("one"), 600),
        ];
        write_segment(&folder, 0, 0, &stopped);
        // The clock is beyond the lifetime of the first segment, not beyond the ledger's.
        write_segment(&folder, 1, 10, &[]);
        write_segment(&folder, 2, 400, &[]);
        let mut store = Store::start_in(1, false, path).await;
        expire_segments(&store).await;
        let remaining = folder.segment_numbers().expect("numbers");
        assert!(!remaining.contains(&0), "{remaining:?}");
        for clock in [500, 600] {
            let next = folder.recover(3, false).expect("recover").next_segment();
            store.tasks.iter().for_each(JoinHandle::abort);
            write_segment(&folder, next, clock, &[]);
            store = Store::start_in(1, false, store.folder).await;
            expire_segments(&store).await;
            assert!(holds(&store, "one"), "at {clock} s");
        }
        let next = folder.recover(3, false).expect("recover").next_segment();
        store.tasks.iter().for_each(JoinHandle::abort);
        write_segment(&folder, next, 1_300, &[]);
        store = Store::start_in(1, false, store.folder).await;
        expire_segments(&store).await;
        assert!(!holds(&store, "one"), "long after its retention");
    });
    tokio::time::timeout(TIMEOUT, test).await.expect("in time");
}

async fn wait_for_writes(store: &Store) {
    while store.local_store.in_flight_records() > 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Expires segments and waits until their files are gone: the journal handles its commands in order,
/// so whatever is stored afterwards is stored after the removal.
async fn expire_segments(store: &Store) {
    static MARKERS: AtomicUsize = AtomicUsize::new(0);
    store.local_store.expire_segments().await;
    let number = MARKERS.fetch_add(1, Ordering::Relaxed);
    let marker = kept_turn(&format!("marker-{number}"), 1);
    assert!(store.local_store.store_record(marker).await);
    wait_for_writes(store).await;
}

fn holds(store: &Store, turn: &str) -> bool {
    let digests = [reserve(turn).digest(), settle(turn).digest()];
    digests
        .iter()
        .all(|digest| store.local_store.holds(*digest))
}

/// Returns the retentions of all reservations and settlements on a store's disk.
fn retentions_on_disk(store: &Store) -> Vec<Option<u32>> {
    let folder = DataFolder::open(store.folder.path()).expect("open");
    let numbers = folder.segment_numbers().expect("numbers");
    let records = numbers
        .into_iter()
        .flat_map(|number| folder.read_segment(number).expect("segment"));
    records
        .filter(|record| !matches!(record.record, Record::Turn(_)))
        .map(|record| record.ledger_retention_seconds())
        .collect()
}

async fn start_group(count: usize) -> (Vec<Store>, GroupClients) {
    let mut stores = Vec::new();
    for number in 0..count {
        stores.push(Store::start(number, true).await);
    }
    let groups = store_groups(&stores);
    for store in &stores {
        store.local_store.set_stores(groups.clone());
    }
    let clients = GroupClients::new(Text::from("zone"), Tolerance::of_machines(1));
    clients.update_stores(&groups);
    (stores, clients)
}

/// The first message of a connection is sent before the store's version is known; the retention
/// must not be lost with it.
#[tokio::test]
async fn the_retention_reaches_the_disk_with_the_first_message_of_a_connection() {
    let local = LocalSet::new();
    let test = local.run_until(async {
        let (stores, clients) = start_group(2).await;
        let record = with_retention(reserve("one"), HOUR_SECONDS);
        clients.append(record, TIMEOUT).await.expect("stored");
        for store in &stores {
            wait_for_writes(store).await;
            assert_eq!(retentions_on_disk(store), [Some(HOUR_SECONDS)]);
        }
    });
    tokio::time::timeout(TIMEOUT, test).await.expect("in time");
}

/// A store that is refilled learns the retentions from its peers.
#[tokio::test]
async fn a_refilled_store_keeps_the_retention_of_each_ledger() {
    let local = LocalSet::new();
    let test = local.run_until(async {
        let (mut stores, clients) = start_group(2).await;
        for record in [
            with_retention(reserve("one"), HOUR_SECONDS),
            with_retention(settle("one"), HOUR_SECONDS),
            reserve("of-the-build-before").into(),
        ] {
            clients.append(record, TIMEOUT).await.expect("stored");
        }
        stores.push(Store::start(2, false).await);
        let groups = with_later_version(&store_groups(&stores), 3);
        for store in &stores {
            store.local_store.set_stores(groups.clone());
        }
        let refilled = &stores[2];
        let peers = Rc::new(Peers::new(
            refilled.local_store.clone(),
            Tolerance::of_machines(1),
        ));
        peers.update_members(&refilled.local_store.members());
        while !refilled.local_store.is_complete() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let mut retentions = retentions_on_disk(refilled);
        retentions.sort_unstable();
        assert_eq!(retentions, [None, Some(HOUR_SECONDS), Some(HOUR_SECONDS)]);
    });
    tokio::time::timeout(TIMEOUT, test).await.expect("in time");
}

/// A build that doesn't know the field reads the record in front of it; a record without the field
/// has the bytes that the build before wrote.
#[test]
fn the_build_before_reads_records_with_a_retention() {
    let record = reserve("one");
    let mut with_field = Vec::new();
    encode_stored_record(&with_retention(record.clone(), 60), &mut with_field);
    let content = &with_field[HEADER_BYTES..];
    assert_eq!(Record::deserialize_bin(content).expect("record"), record);
    let (mut plain, mut without_field) = (Vec::new(), Vec::new());
    encode_record(&record, &mut plain);
    encode_stored_record(&record.into(), &mut without_field);
    assert_eq!(plain, without_field);
    assert!(with_field.len() > plain.len());
}

/// Many stopped programs use memory until their retention is over. At the limit new turns are
/// refused; no ledger is dropped to make room.
#[tokio::test]
async fn at_the_memory_limit_turns_are_refused_and_no_ledger_is_dropped() {
    let local = LocalSet::new();
    let test = local.run_until(async {
        let path = tempfile::tempdir().expect("folder");
        let folder = DataFolder::open(path.path()).expect("open");
        folder.recover(1, true).expect("first start");
        let programs = 200_000;
        let records: Vec<StoredRecord> = (0..programs)
            .map(|number| {
                let record = Record::Reserve {
                    program: Text::from(format!("program-{number}")),
                    turn: Text::from(format!("turn-{number}")),
                    max_tokens: 45,
                };
                with_retention(record, HOUR_SECONDS)
            })
            .collect();
        write_segment(&folder, 0, 0, &records);
        write_segment(&folder, 1, 1_000, &[]);
        let store = Store::start_in(1, false, path).await;
        let groups = store_groups(std::slice::from_ref(&store));
        store.local_store.set_stores(with_later_version(&groups, 1));
        let version = store.local_store.members().version;
        let request = Request::Append {
            group: GroupNumber(0),
            members_version: version,
            load: Default::default(),
            placement: None,
            record: reserve("one"),
        };
        let reply = store.local_store.handle_request(request).await;
        assert!(matches!(reply, Reply::Refused(_)), "{reply:?}");
        for record in [&records[0], &records[programs - 1]] {
            assert!(store.local_store.holds(record.digest()));
        }
    });
    tokio::time::timeout(TIMEOUT, test).await.expect("in time");
}

/// Returns whether a file is left in a folder.
fn has_segment(path: &Path, number: u64) -> bool {
    fs::exists(path.join(format!("segment-{number:010}"))).expect("folder")
}

/// One route's long retention must not keep the segments, and with them the index, of all others:
/// a segment is expired after a bounded time, and only what is needed is written again.
#[tokio::test]
async fn a_ledger_of_long_retention_does_not_keep_all_other_records() {
    let local = LocalSet::new();
    let test = local.run_until(async {
        let path = tempfile::tempdir().expect("folder");
        let folder = DataFolder::open(path.path()).expect("open");
        folder.recover(1, true).expect("first start");
        let mut records: Vec<StoredRecord> = (0..100)
            .map(|number| kept_turn(&format!("turn-{number}"), 60).into())
            .collect();
        records.push(with_retention(reserve("one"), HOUR_SECONDS));
        records.push(with_retention(settle("one"), HOUR_SECONDS));
        write_segment(&folder, 0, 0, &records);
        write_segment(&folder, 1, 10, &[]);
        write_segment(&folder, 2, 400, &[]);
        let store = Store::start_in(1, false, path).await;
        expire_segments(&store).await;
        assert!(!has_segment(store.folder.path(), 0));
        assert!(!store.local_store.holds(records[0].digest()));
        assert!(holds(&store, "one"));
        let remaining = retentions_on_disk(&store);
        let least = u64::from(HOUR_SECONDS) - 400;
        for seconds in remaining {
            let seconds = u64::from(seconds.expect("known"));
            assert!((least - 1..=least).contains(&seconds), "{seconds}");
        }
    });
    tokio::time::timeout(TIMEOUT, test).await.expect("in time");
}

proptest! {
    /// Whatever the retentions and the times at which segments are expired and their records written
    /// again: a ledger lasts for its retention after its last record, and not much longer.
    #[test]
    fn copies_of_records_neither_shorten_nor_extend_a_ledger(
        retention in 1_u32..2_000,
        turns in prop::collection::vec(0_u64..50, 1..6),
        steps in prop::collection::vec(1_u64..200, 1..60),
    ) {
        let mut state = StoreState::new(1);
        let mut now = 0;
        let mut records: Vec<StoredRecord> = Vec::new();
        for (number, pause) in turns.iter().enumerate() {
            now += pause;
            let turn = format!("turn-{number}");
            for record in [reserve(&turn), settle(&turn)] {
                let record = with_retention(record, retention);
                add(&mut state, record.clone(), now);
                records.push(record);
            }
        }
        let end = now + u64::from(retention);
        let spent = 45 * turns.len() as u32;
        for step in steps {
            now += step;
            records = state.expire(records, now);
            for record in &records {
                state.add(record, RecordLocation::default(), now);
            }
            if now <= end {
                prop_assert_eq!(spent_tokens(&state), spent, "at {} of {}", now, end);
            }
            if now > end + RETENTION_MARGIN_SECONDS {
                prop_assert_eq!(spent_tokens(&state), 0);
                prop_assert!(records.is_empty());
            }
        }
    }

    /// A segment is kept as long as its turns, and no longer than that for any ledger.
    #[test]
    fn a_segment_lives_as_long_as_its_turns_and_a_bounded_time_for_ledgers(
        turns in prop::collection::vec(1_u32..10_000, 0..5),
        ledgers in prop::collection::vec(1_u32..1_000_000, 0..5),
    ) {
        let mut usage = SegmentUsage::new(7);
        for (number, seconds) in turns.iter().enumerate() {
            usage.add(&kept_turn(&number.to_string(), *seconds).into(), 50);
        }
        for seconds in &ledgers {
            usage.add(&with_retention(reserve("one"), *seconds), 60);
        }
        prop_assert_eq!(usage.records, turns.len() + ledgers.len());
        let longest_turn = turns.iter().copied().max().map_or(0, u64::from);
        let lifetime = usage.lifetime_seconds;
        if !turns.is_empty() {
            prop_assert!(lifetime >= longest_turn + RETENTION_MARGIN_SECONDS);
        }
        prop_assert!(lifetime <= longest_turn.max(300) + RETENTION_MARGIN_SECONDS);
    }
}
