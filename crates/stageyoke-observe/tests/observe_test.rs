//! Rate limit, queue and format of the log, and the metrics page.

use std::io::Write;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use stageyoke_observe::logger::to_json;
use stageyoke_observe::rate_limit::{BURST_BYTES, BYTES_PER_SECOND, Importance, LogRateLimiter};
use stageyoke_observe::writer::{LineQueue, MAX_QUEUED_LINES};

const LINE_BYTES: u64 = 300;

#[test]
fn sustained_output_stays_within_the_rate_limit() {
    let mut rate_limiter = LogRateLimiter::default();
    let mut written_bytes = 0;
    const SECONDS: u64 = 20;
    for tick in 0..SECONDS * 1_000 {
        let now = Duration::from_millis(tick);
        for _ in 0..5 {
            if rate_limiter.allow(now, LINE_BYTES, Importance::Important) {
                written_bytes += LINE_BYTES;
            }
        }
    }
    assert!(written_bytes <= BURST_BYTES + SECONDS * BYTES_PER_SECOND);
    assert!(written_bytes >= SECONDS * BYTES_PER_SECOND * 9 / 10);
    assert!(rate_limiter.take_suppressed() > 0);
}

#[test]
fn ordinary_lines_are_suppressed_before_failures() {
    let mut rate_limiter = LogRateLimiter::default();
    let mut ordinary_lines = 0;
    while rate_limiter.allow(Duration::ZERO, LINE_BYTES, Importance::Ordinary) {
        ordinary_lines += 1;
    }
    let mut important_lines = 0;
    while rate_limiter.allow(Duration::ZERO, LINE_BYTES, Importance::Important) {
        important_lines += 1;
    }
    assert!(ordinary_lines > 0);
    assert!(important_lines >= BURST_BYTES / 2 / LINE_BYTES);
    assert_eq!(rate_limiter.take_suppressed(), 2);
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
fn a_stalled_reader_does_not_block_writers() {
    let (release, stalled) = channel();
    let queue = LineQueue::start(StalledReader(stalled)).expect("thread");
    for _ in 0..4 * MAX_QUEUED_LINES {
        queue.enqueue(b"line\n".to_vec());
    }
    // The loop has ended although the reader has accepted nothing.
    assert!(queue.dropped() >= 2 * MAX_QUEUED_LINES as u64);
    drop(release);
}

#[test]
fn a_record_becomes_one_json_object_with_its_fields() {
    let started = Instant::now();
    let mut json = None;
    let key_values: &[(&str, log::kv::Value)] = &[
        ("event", log::kv::Value::from(800_u16)),
        ("request", log::kv::Value::from("a \"b\"")),
    ];
    let record = log::Record::builder()
        .level(log::Level::Info)
        .args(format_args!("RequestEnded"))
        .key_values(&key_values)
        .build();
    json.replace(to_json(&record));
    let line = json.expect("line");
    assert_eq!(line["event"], 800);
    assert_eq!(line["request"], "a \"b\"");
    assert_eq!(line["name"], "RequestEnded");
    assert!(started.elapsed() < Duration::from_secs(60));
}

#[test]
fn the_metrics_page_shows_labels_buckets_and_help() {
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
fn routes_beyond_the_label_limit_share_a_label() {
    use stageyoke_observe::metrics::{MAX_LABELLED_ROUTES, route_label};
    let names: Vec<String> = (0..4 * MAX_LABELLED_ROUTES)
        .map(|number| format!("r-{number}"))
        .collect();
    let labels: std::collections::HashSet<&str> =
        names.iter().map(|name| route_label(name)).collect();
    assert!(labels.len() <= MAX_LABELLED_ROUTES + 1);
    assert_eq!(
        route_label(&names[0]),
        names[0],
        "the first names keep their own label"
    );
}

#[test]
fn tenants_beyond_the_label_limit_share_a_label() {
    use stageyoke_observe::metrics::{MAX_LABELLED_TENANTS, tenant_label};
    let names: Vec<String> = (0..4 * MAX_LABELLED_TENANTS)
        .map(|number| format!("t-{number}"))
        .collect();
    let labels: std::collections::HashSet<&str> =
        names.iter().map(|name| tenant_label(name)).collect();
    assert!(labels.len() <= MAX_LABELLED_TENANTS + 1);
    assert_eq!(
        tenant_label(&names[0]),
        names[0],
        "the first names keep their own label"
    );
}
