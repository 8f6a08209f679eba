//! Recovery of the data folder after torn writes, lost files and damaged segments.

use std::fs::{self, OpenOptions};
use std::io::Write;

use proptest::prelude::*;
use stageyoke_directory::GroupNumber;
use stageyoke_store::completeness::Completeness;
use stageyoke_store::message::{Record, TurnRecord};
use stageyoke_store::segment::{DataFolder, decode_records, encode_record};
use stageyoke_types::{Blob, Text};

fn turn(number: u32) -> Record {
    Record::Turn(TurnRecord {
        turn: Text::from(format!("turn-{number}")),
        program: Text::from("program"),
        previous: Text::default(),
        input: Blob::from(vec![7; (number % 50) as usize]),
        output: Blob::from(b"said\n".to_vec()),
        used_tokens: number,
        retention_seconds: 60,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Every record in front of the torn write is read, and bytes behind it never decode to a
    /// new record.
    #[test]
    fn a_torn_write_loses_only_incomplete_records(
        count in 1_u32..12,
        cut in 0_usize..400,
        trailing_bytes in proptest::collection::vec(any::<u8>(), 0..40),
    ) {
        let records: Vec<Record> = (0..count).map(turn).collect();
        let mut bytes = Vec::new();
        let mut record_ends = vec![0];
        for record in &records {
            encode_record(record, &mut bytes);
            record_ends.push(bytes.len());
        }
        let cut = cut.min(bytes.len());
        bytes.truncate(cut);
        let complete_records = record_ends.iter().filter(|record_end| **record_end > 0 && **record_end <= cut).count();
        bytes.extend_from_slice(&trailing_bytes);
        let (read, _) = decode_records(&bytes);
        prop_assert!(read.len() >= complete_records);
        prop_assert_eq!(&read[..complete_records], &records[..complete_records]);
        prop_assert!(read[complete_records..].iter().all(|record| records.contains(record)));
    }
}

#[test]
fn zeroed_bytes_are_reported_as_damage() {
    let mut bytes = Vec::new();
    encode_record(&turn(1), &mut bytes);
    bytes.extend_from_slice(&[0; 64]);
    let (read, damaged) = decode_records(&bytes);
    assert_eq!((read.len(), damaged), (1, true));
}

#[test]
fn an_empty_disk_is_complete_only_at_the_first_start() {
    let first = tempfile::tempdir().expect("folder");
    let folder = DataFolder::open(first.path()).expect("open");
    assert_eq!(
        folder.recover(1, true).expect("recover").completeness,
        Completeness::SinceFormation
    );
    let restarted = folder.recover(2, false).expect("recover");
    assert_eq!(
        restarted.completeness,
        Completeness::SinceFormation,
        "a restart preserves completeness"
    );
    assert_eq!(
        restarted.state.journal_end().journal,
        2,
        "each start has its own journal"
    );
    let wiped = tempfile::tempdir().expect("folder");
    let folder = DataFolder::open(wiped.path()).expect("open");
    assert_eq!(
        folder.recover(3, false).expect("recover").completeness,
        Completeness::Incomplete
    );
    let group = Completeness::Of(GroupNumber(3));
    folder.mark_complete(group).expect("mark");
    assert_eq!(
        folder.recover(4, false).expect("recover").completeness,
        group
    );
}

/// Soak seed 3967300783: a kill between the writes of the first start's two files left a disk
/// that stayed incomplete.
#[test]
fn a_first_start_that_was_interrupted_leaves_a_complete_disk() {
    let path = tempfile::tempdir().expect("folder");
    let folder = DataFolder::open(path.path()).expect("open");
    folder.recover(1, true).expect("recover");
    fs::remove_file(path.path().join("identity")).expect("remove the identity file");
    assert_eq!(
        folder.recover(2, false).expect("recover").completeness,
        Completeness::SinceFormation
    );
    folder.create_segment(0).expect("create");
    fs::remove_file(path.path().join("identity")).expect("remove the identity file");
    let recovered = folder.recover(3, false).expect("recover");
    assert_eq!(
        recovered.completeness,
        Completeness::Incomplete,
        "segments without an identity file are damage"
    );
}

#[test]
fn segments_are_recovered_in_order_up_to_their_damage() {
    let path = tempfile::tempdir().expect("folder");
    let folder = DataFolder::open(path.path()).expect("open");
    folder.recover(1, true).expect("recover");
    for number in [0_u64, 1, 10, 2] {
        let mut bytes = Vec::new();
        encode_record(&turn(number as u32), &mut bytes);
        folder
            .create_segment(number)
            .expect("create")
            .write_all(&bytes)
            .expect("write");
    }
    let damaged = path.path().join("segment-0000000001");
    let mut file = OpenOptions::new().append(true).open(damaged).expect("open");
    file.write_all(&[9, 9, 9]).expect("write");
    let recovered = folder.recover(2, false).expect("recover");
    let numbers: Vec<u64> = recovered
        .segments
        .iter()
        .map(|segment| segment.number)
        .collect();
    assert_eq!(numbers, [0, 1, 2, 10]);
    assert!(
        recovered
            .segments
            .iter()
            .all(|segment| segment.records == 1)
    );
    assert_eq!(recovered.torn_segments, 1);
    fs::remove_dir_all(path.path()).expect("remove");
}

/// A symbolic link or folder with a segment's name was not written by a store. Reading a link
/// to an endless device would never finish.
#[test]
fn links_and_folders_are_not_read_as_segments() {
    let path = tempfile::tempdir().expect("folder");
    let folder = DataFolder::open(path.path()).expect("open");
    folder.create_segment(3).expect("segment");
    std::os::unix::fs::symlink("/dev/zero", path.path().join("segment-0000000004")).expect("link");
    fs::create_dir(path.path().join("segment-0000000005")).expect("folder");
    assert_eq!(folder.segment_numbers().expect("numbers"), [3]);
    assert!(folder.recover(1, false).is_ok());
}
