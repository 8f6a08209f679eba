//! Checks that shares of served requests below their minimum are reported.

use std::time::Duration;

use rstest::rstest;
use stageyoke_lab::soak::shares::{
    RequestLabels, RequestOutcome, ServedShares, Window, windows_between,
};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn window(from: u32, until: u32) -> Window {
    Window {
        name: "window".to_owned(),
        from: SECOND * from,
        until: SECOND * until,
    }
}

/// Records ten requests in each second, of which `served` were served.
fn record(
    shares: &ServedShares,
    started_at: Instant,
    second: u32,
    served: u32,
    labels: RequestLabels,
) {
    for number in 0..10 {
        let outcome = match number < served {
            true => RequestOutcome::Served,
            false => RequestOutcome::Refused,
        };
        shares.record(labels, started_at + SECOND * second, outcome);
    }
}

const LABELS: RequestLabels = RequestLabels {
    kind: "turn",
    zone: 0,
    tenant: 0,
};

#[rstest]
#[case::enough_is_served(4, 0)]
#[case::too_little_is_served(3, 3)]
#[tokio::test(start_paused = true)]
async fn a_window_with_too_little_served_is_reported(#[case] served: u32, #[case] expected: usize) {
    let shares = ServedShares::default();
    let started_at = Instant::now();
    shares.start(started_at);
    for second in 0..3 {
        record(&shares, started_at, second, 10, LABELS);
    }
    for second in 3..6 {
        record(&shares, started_at, second, served, LABELS);
    }
    assert!(shares.shortfalls(&window(0, 3)).is_empty());
    // Of all requests, of their kind and of their zone.
    assert_eq!(shares.shortfalls(&window(3, 6)).len(), expected);
    assert!(shares.shortfalls(&window(0, 6)).is_empty(), "the whole run");
}

#[tokio::test(start_paused = true)]
async fn a_kind_zone_or_tenant_that_is_served_less_than_others_is_reported() {
    let shares = ServedShares::default();
    let started_at = Instant::now();
    shares.start(started_at);
    for second in 0..90 {
        record(&shares, started_at, second, 10, LABELS);
    }
    let neglected = [
        RequestLabels {
            kind: "read",
            ..LABELS
        },
        RequestLabels { zone: 1, ..LABELS },
        RequestLabels {
            tenant: 1,
            ..LABELS
        },
    ];
    for labels in neglected {
        for second in 0..2 {
            record(&shares, started_at, second, 2, labels);
        }
    }
    let shortfalls = shares.shortfalls(&window(0, 90));
    assert_eq!(shortfalls.len(), 3, "{shortfalls:?}");
    for what in ["kind read", "zone 1", "tenant 1"] {
        assert!(shortfalls.iter().any(|line| line.contains(what)), "{what}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_late_success_counts_in_part() {
    let shares = ServedShares::default();
    let started_at = Instant::now();
    shares.start(started_at);
    for _ in 0..20 {
        shares.record(LABELS, started_at, RequestOutcome::Late);
    }
    let counts = shares.in_window(&window(0, 1));
    assert!((counts.share() - 0.3).abs() < 1e-9, "{counts}");
    assert!(!shares.shortfalls(&window(0, 1)).is_empty());
}

/// Sends 30 requests 2.5 s after the start, which end 3 s later, and lets ten others end in
/// each second.
async fn run_with_hanging_requests(hang: impl Fn(&ServedShares, Instant)) -> ServedShares {
    let shares = ServedShares::default();
    let started_at = Instant::now();
    shares.start(started_at);
    tokio::time::sleep(SECOND * 5 / 2).await;
    let sent_at = Instant::now();
    for _ in 0..3 {
        tokio::time::sleep(SECOND).await;
        record(&shares, Instant::now(), 0, 10, LABELS);
    }
    for _ in 0..30 {
        hang(&shares, sent_at);
    }
    shares
}

#[tokio::test(start_paused = true)]
async fn seconds_in_which_requests_hang_are_reported_although_few_are_sent() {
    let shares = run_with_hanging_requests(|shares, sent_at| {
        shares.record(LABELS, sent_at, RequestOutcome::Failed);
    })
    .await;
    let stalled = shares.stalled_seconds(&window(0, 6));
    assert_eq!(stalled.len(), 2, "{stalled:?}");
    assert!(stalled[0].contains("second 3: 30"), "{stalled:?}");
    assert!(shares.stalled_seconds(&window(0, 3)).is_empty());
}

#[tokio::test(start_paused = true)]
async fn requests_whose_responses_replicas_withhold_are_no_stall() {
    let shares = run_with_hanging_requests(|shares, sent_at| {
        shares.record_withheld(LABELS, sent_at);
    })
    .await;
    assert_eq!(shares.stalled_seconds(&window(0, 6)), Vec::<String>::new());
}

#[test]
fn excluded_windows_split_the_judged_time() {
    let judged = windows_between(&[window(0, 2), window(4, 5)], SECOND, SECOND * 9);
    let bounds: Vec<_> = judged.iter().map(|part| (part.from, part.until)).collect();
    assert_eq!(bounds, [(SECOND * 2, SECOND * 4), (SECOND * 5, SECOND * 9)]);
}
