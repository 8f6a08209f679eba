//! The frozen formats: what one build writes, others read. Machines are replaced one
//! after the other, so that builds run side by side, and disks outlive them.

#[path = "version_one/samples.rs"]
mod samples;

use std::collections::BTreeSet;

use samples::Sample;

/// Written by the build that version 1 was frozen from.
const VERSION_ONE: &str = include_str!("version_one/golden.txt");

const HOW_TO_GO_ON: &str = "a frozen format changed: builds that run beside this one, or \
    started on its disks, could not read it. Take the change back, and send what is new in a \
    field behind the message (crates/stageyoke-store/src/extension.rs, \
    docs/design/versions.md)";

fn line(sample: &Sample) -> String {
    let bytes: String = sample
        .bytes
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    format!("{}: {bytes}", sample.name)
}

#[test]
fn what_is_written_is_version_one_to_the_byte() {
    let written: Vec<String> = samples::all().iter().map(line).collect();
    let golden: Vec<&str> = VERSION_ONE.lines().collect();
    for (written, golden) in written.iter().zip(&golden) {
        assert_eq!(written, golden, "{HOW_TO_GO_ON}");
    }
    assert_eq!(written.len(), golden.len(), "{HOW_TO_GO_ON}");
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

/// Prints the golden lines; only to be run on the build that a version is frozen from.
#[test]
#[ignore = "writes the golden lines of a new version"]
fn print_golden_lines() {
    for sample in samples::all() {
        println!("golden {}", line(&sample));
    }
}
