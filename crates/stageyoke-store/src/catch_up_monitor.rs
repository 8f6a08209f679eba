//! Tells operators how far a store is from holding every record of its group, before the next
//! loss depends on it.

use std::cell::Cell;
use std::time::Duration;

use stageyoke_observe as observe;
use stageyoke_types::Event;
use tokio::time::Instant;

/// Interval between two reports of a store that does not catch up.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// How far a store is from holding every record of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CatchUpProgress {
    /// Whether the store holds every record that it ever acknowledged, or belongs to no group.
    pub complete: bool,
    /// Largest number of records of any one peer that are known to be missing.
    pub missing_records: usize,
    /// Requests for records that got no reply, since the start of the process.
    pub failed_fetches: u64,
}

/// Time for which a store has been incomplete, and when that was last reported.
#[derive(Debug)]
pub struct CatchUpMonitor {
    /// Time within which a store should catch up.
    catch_up_time: Duration,
    incomplete_since: Cell<Option<Instant>>,
    reported_at: Cell<Option<Instant>>,
}

impl CatchUpMonitor {
    /// Creates the monitor of a store that should catch up within this time.
    pub fn new(catch_up_time: Duration) -> Self {
        Self {
            catch_up_time,
            incomplete_since: Cell::new(None),
            reported_at: Cell::new(None),
        }
    }

    /// Updates the metrics; returns for how long the store has been incomplete. Logs an event if
    /// it should have caught up by now.
    pub fn observe(&self, progress: CatchUpProgress) -> Duration {
        if progress.complete {
            self.incomplete_since.set(None);
            self.reported_at.set(None);
        } else if self.incomplete_since.get().is_none() {
            self.incomplete_since.set(Some(Instant::now()));
        }
        let since = self.incomplete_since.get();
        let incomplete_for = since.map_or(Duration::ZERO, |since| since.elapsed());
        let metrics = observe::metrics();
        metrics.store_complete.set(i64::from(progress.complete));
        let seconds = incomplete_for.as_secs();
        metrics.incomplete_seconds.set(seconds as i64);
        metrics.missing_records.set(progress.missing_records as i64);
        if incomplete_for > self.catch_up_time && self.is_report_due() {
            self.reported_at.set(Some(Instant::now()));
            let detail = format!(
                "seconds={seconds} missing={} failed_fetches={}",
                progress.missing_records, progress.failed_fetches
            );
            observe::record_event(Event::StoreIncomplete, &detail);
        }
        incomplete_for
    }

    fn is_report_due(&self) -> bool {
        let reported_at = self.reported_at.get();
        reported_at.is_none_or(|at| at.elapsed() >= REPORT_INTERVAL)
    }
}
