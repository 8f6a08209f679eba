//! Golden test of the frozen formats. Machines are upgraded one by one, so builds must read
//! each other's messages and disks.

#[path = "version_one/samples.rs"]
mod samples;

use std::collections::BTreeSet;

use samples::Sample;

/// Encoded by the build that version 1 was frozen from.
const GOLDEN_LINES: &str = include_str!("version_one/golden.txt");

const FORMAT_CHANGE_HELP: &str = "a frozen format changed: other builds that run beside this one, \
    or start on its disks, could not read it. Revert the change and send new data in a \
    field behind the message (crates/stageyoke-store/src/extension.rs, \
    docs/design/versions.md)";

fn golden_line(sample: &Sample) -> String {
    let bytes: String = sample
        .bytes
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    format!("{}: {bytes}", sample.name)
}

#[test]
fn encoded_bytes_match_version_one() {
    let encoded: Vec<String> = samples::all().iter().map(golden_line).collect();
    let golden: Vec<&str> = GOLDEN_LINES.lines().collect();
    for (encoded, golden) in encoded.iter().zip(&golden) {
        assert_eq!(encoded, golden, "{FORMAT_CHANGE_HELP}");
    }
    assert_eq!(encoded.len(), golden.len(), "{FORMAT_CHANGE_HELP}");
}

#[test]
fn every_variant_has_a_sample() {
    let requests = samples::requests();
    let names: BTreeSet<_> = requests.iter().map(samples::request_name).collect();
    assert_eq!(names.len(), requests.len());
    let replies = samples::replies();
    let names: BTreeSet<_> = replies.iter().map(samples::reply_name).collect();
    assert_eq!(names.len(), replies.len());
    let records = samples::records();
    let names: BTreeSet<_> = records.iter().map(samples::record_name).collect();
    assert_eq!(names.len(), records.len());
}

/// Prints the golden lines. Run it only on the build that a version is frozen from.
#[test]
#[ignore = "prints the golden lines of a new version"]
fn print_golden_lines() {
    for sample in samples::all() {
        println!("golden {}", golden_line(&sample));
    }
}
