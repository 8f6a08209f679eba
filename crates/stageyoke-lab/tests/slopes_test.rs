//! Checks that unbounded growth of memory, descriptors and connections is reported, and
//! bounded growth is not.

use std::time::Duration;

use rstest::rstest;
use stageyoke_lab::soak::slopes::{MIN_SLOPE_DURATION, ProcessMonitor, Quantity, Sample, slopes};

const RETENTION: Duration = Duration::from_secs(60);
const BASE: u64 = 20 * 1024 * 1024;

/// Returns samples over two and a half minutes, with `memory` giving the bytes at each second.
fn samples_with(memory: impl Fn(u64) -> u64) -> Vec<Sample> {
    let sample = |second| Sample {
        at: Duration::from_secs(second),
        memory: memory(second),
        descriptors: 40 + second % 7,
        connections: 20 + second % 5,
    };
    (0..150).map(sample).collect()
}

#[rstest]
#[case::level(|_| BASE, 0)]
#[case::noisy(|second: u64| BASE + second % 3 * 1024 * 1024, 0)]
#[case::rises_until_the_retention(|second: u64| BASE + second.min(60) * 1024 * 1024, 0)]
#[case::levels_off_soon_after(|second: u64| BASE + second.min(80) * 1024 * 1024, 0)]
#[case::falls(|second: u64| BASE * 10 - second * 1024 * 1024, 0)]
#[case::rises_without_end(|second: u64| BASE + second * 256 * 1024, 1)]
#[case::rises_ever_faster(|second: u64| BASE + second * second * 4096, 1)]
fn only_unbounded_growth_is_reported(
    #[case] memory: fn(u64) -> u64,
    #[case] slopes_expected: usize,
) {
    let found = slopes(&samples_with(memory), RETENTION);
    assert_eq!(found.len(), slopes_expected, "{found:?}");
    assert!(found.iter().all(|slope| slope.quantity == Quantity::Memory));
}

#[test]
fn a_slope_is_given_as_growth_per_second() {
    let found = slopes(&samples_with(|second| BASE + second * 1_000_000), RETENTION);
    let per_second = found[0].per_second;
    assert!(
        (950_000.0..1_050_000.0).contains(&per_second),
        "{per_second}"
    );
}

#[test]
fn a_process_that_ran_too_briefly_is_not_checked() {
    let samples = samples_with(|second| BASE + second * 1024 * 1024);
    let short = RETENTION.as_secs() + MIN_SLOPE_DURATION.as_secs() - 1;
    assert!(slopes(&samples[..short as usize], RETENTION).is_empty());
}

/// Samples the process of this test.
#[test]
fn a_sample_counts_open_files_and_sockets() {
    let process = std::process::id();
    let before = Sample::read(process, Duration::ZERO).expect("this process");
    let files: Vec<_> = (0..50)
        .map(|_| std::fs::File::open("/dev/null").expect("file"))
        .collect();
    let listeners: Vec<_> = (0..50)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("listener"))
        .collect();
    let after = Sample::read(process, Duration::ZERO).expect("this process");
    assert!(after.memory > 0);
    // Other tests in this process open and close files concurrently.
    assert!(
        after.descriptors >= before.descriptors + 90,
        "{before:?} {after:?}"
    );
    assert!(
        after.connections >= before.connections + 45,
        "{before:?} {after:?}"
    );
    drop((files, listeners));
}

#[test]
fn ended_processes_are_not_sampled() {
    let monitor = ProcessMonitor::default();
    monitor.add_process("this", std::process::id());
    monitor.take_samples();
    monitor.mark_ended(std::process::id());
    monitor.take_samples();
    assert_eq!(monitor.count_judged(Duration::ZERO), 0, "too short");
    assert!(monitor.breaches(Duration::ZERO).is_empty());
}
