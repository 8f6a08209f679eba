//! What operators see of a store that does not catch up.

use std::time::Duration;

use stageyoke_observe::metrics;
use stageyoke_store::catch_up_monitor::{CatchUpMonitor, CatchUpProgress};
use stageyoke_store::store_status::StoreStatus;

const CATCH_UP_TIME: Duration = Duration::from_secs(4);

fn reports() -> u64 {
    let events = &metrics().events;
    events.with_label_values(&["StoreIncomplete"]).get()
}

/// Guards against a store that never becomes complete and that nobody hears of before the next
/// loss: it is reported once its time is over, and again until it is complete.
#[tokio::test(start_paused = true)]
async fn a_store_that_does_not_catch_up_is_reported_until_it_is_complete() {
    let monitor = CatchUpMonitor::new(CATCH_UP_TIME);
    let progress = |missing_records| CatchUpProgress {
        complete: missing_records == 0,
        missing_records,
        failed_fetches: 7,
    };
    monitor.observe(progress(150));
    tokio::time::advance(CATCH_UP_TIME).await;
    monitor.observe(progress(150));
    assert_eq!(reports(), 0, "its time is not over");
    for _ in 0..21 {
        tokio::time::advance(Duration::from_secs(1)).await;
        monitor.observe(progress(150));
    }
    assert_eq!(reports(), 3);
    assert_eq!(metrics().incomplete_seconds.get(), 25);
    assert_eq!(metrics().missing_records.get(), 150);
    assert_eq!(metrics().store_complete.get(), 0);
    assert_eq!(monitor.observe(progress(0)), Duration::ZERO);
    tokio::time::advance(Duration::from_secs(60)).await;
    monitor.observe(progress(0));
    assert_eq!(reports(), 3);
    assert_eq!(metrics().incomplete_seconds.get(), 0);
    assert_eq!(metrics().store_complete.get(), 1);
}

#[test]
fn the_status_page_is_a_json_object_with_the_progress() {
    let status = StoreStatus {
        node: "store-1",
        progress: CatchUpProgress {
            complete: false,
            missing_records: 150,
            failed_fetches: 7,
        },
        incomplete_for: Duration::from_millis(12_700),
        records: 3,
        members_version: 9,
    };
    let expected = concat!(
        r#"{"role":"store","name":"store-1","complete":false,"incomplete_seconds":12,"#,
        r#""missing_records":150,"failed_fetches":7,"records":3,"members_version":9}"#
    );
    assert_eq!(status.to_json(), expected);
}
