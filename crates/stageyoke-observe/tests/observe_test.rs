//! Bounds of the log, and the metrics page.

use std::io::Write;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use stageyoke_observe::logger::to_json;
use stageyoke_observe::rate_limit::{BURST_BYTES, BYTES_PER_SECOND, Importance, LogRateLimiter};
use stageyoke_observe::writer::{LineQueue, MAX_QUEUED_LINES};

const LINE: u64 = 300;

#[test]
fn the_long_run_stays_within_the_bytes_a_second() {
    let mut budget = LogRateLimiter::default();
    let mut written = 0;
    const SECONDS: u64 = 20;
    for tick in 0..SECONDS * 1_000 {
        let now = Duration::from_millis(tick);
        for _ in 0..5 {
            if budget.allow(now, LINE, Importance::Important) {
                written += LINE;
            }
        }
    }
    assert!(written <= BURST_BYTES + SECONDS * BYTES_PER_SECOND);
    assert!(written >= SECONDS * BYTES_PER_SECOND * 9 / 10);
    assert!(budget.take_suppressed() > 0);
}

#[test]
fn ordinary_lines_give_way_before_any_failure_does() {
    let mut budget = LogRateLimiter::default();
    let mut ordinary = 0;
    while budget.allow(Duration::ZERO, LINE, Importance::Ordinary) {
        ordinary += 1;
    }
    let mut failures = 0;
    while budget.allow(Duration::ZERO, LINE, Importance::Important) {
        failures += 1;
    }
    assert!(ordinary > 0);
    assert!(failures >= BURST_BYTES / 2 / LINE);
    assert_eq!(budget.take_suppressed(), 2);
}

struct StalledReader(Receiver<()>);

impl Write for StalledReader {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(line.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_delays_nobody() {
    let (release, stalled) = channel();
    let queue = LineQueue::start(StalledReader(stalled)).expect("thread");
    for _ in 0..4 * MAX_QUEUED_LINES {
        queue.enqueue(b"line\n".to_vec());
    }
    // Reaching this point is the proof: nothing waits for the reader.
    assert!(queue.dropped() >= 2 * MAX_QUEUED_LINES as u64);
    drop(release);
}

#[test]
fn a_line_is_one_object_with_its_fields() {
    let started = Instant::now();
    let mut seen = None;
    let key_values: &[(&str, log::kv::Value)] = &[
        ("event", log::kv::Value::from(800_u16)),
        ("request", log::kv::Value::from("a \"b\"")),
    ];
    let record = log::Record::builder()
        .level(log::Level::Info)
        .args(format_args!("RequestEnded"))
        .key_values(&key_values)
        .build();
    seen.replace(to_json(&record));
    let line = seen.expect("line");
    assert_eq!(line["event"], 800);
    assert_eq!(line["request"], "a \"b\"");
    assert_eq!(line["name"], "RequestEnded");
    assert!(started.elapsed() < Duration::from_secs(60));
}

#[test]
fn the_page_names_every_metric_with_its_help() {
    let metrics = stageyoke_observe::metrics();
    metrics
        .requests
        .with_label_values(&["route", "answered"])
        .inc();
    metrics.commit_seconds.observe(0.002);
    let page = String::from_utf8(metrics.render()).expect("text");
    assert!(page.contains("stageyoke_requests_total{outcome=\"answered\",route=\"route\"} 1"));
    assert!(page.contains("stageyoke_commit_seconds_bucket{le=\"0.0025\"} 1"));
    assert!(page.contains("# HELP stageyoke_store_complete"));
}

#[test]
fn routes_beyond_the_labelled_ones_share_a_label() {
    use stageyoke_observe::metrics::{MAX_LABELLED_ROUTES, route_label};
    let names: Vec<String> = (0..4 * MAX_LABELLED_ROUTES)
        .map(|number| format!("r-{number}"))
        .collect();
    let labels: std::collections::HashSet<&str> =
        names.iter().map(|name| route_label(name)).collect();
    assert!(labels.len() <= MAX_LABELLED_ROUTES + 1);
    assert_eq!(route_label(&names[0]), names[0], "the first keep theirs");
}

#[test]
fn tenants_beyond_the_labelled_ones_share_a_label() {
    use stageyoke_observe::metrics::{MAX_LABELLED_TENANTS, tenant_label};
    let names: Vec<String> = (0..4 * MAX_LABELLED_TENANTS)
        .map(|number| format!("t-{number}"))
        .collect();
    let labels: std::collections::HashSet<&str> =
        names.iter().map(|name| tenant_label(name)).collect();
    assert!(labels.len() <= MAX_LABELLED_TENANTS + 1);
    assert_eq!(tenant_label(&names[0]), names[0], "the first keep theirs");
}
