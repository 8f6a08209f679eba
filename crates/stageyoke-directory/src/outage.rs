//! Detects outages of the key-value service. During an outage writers cannot renew
//! their entries, so entries lapse although their writers are alive; entries that
//! disappear while the service answers have really ended.
//!
//! Failed requests of this process alone are no evidence: it may be partitioned or
//! rejected itself. An outage counts only if no answer is known for long enough and a
//! peer had none either. One that a peer relays counts only for the time in which this
//! process had no answer, since the peer may have been partitioned together with all
//! that it reached.

use std::time::Duration;

use tokio::time::Instant;

/// Time from the end of an outage until lapsed entries are back (about two seconds, by
/// the platform's page on service discovery) and followers have received them. An entry
/// that is missing longer has ended. Must be shorter than the time after which a
/// process acts on the list again following an outage: 3 s in the tightest deployment.
pub const LAPSED_ENTRY_GRACE: Duration = Duration::from_millis(2_700);

/// Missed heartbeats after which an entry lapses, minus one that may have arrived just
/// before the outage. A shorter outage ends no entry.
const MIN_MISSED_HEARTBEATS: u32 = 2;

/// A period in which no process is known to have had an answer from the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceOutage {
    /// Last moment before the outage for which an answer is known.
    pub last_confirmed_at: Instant,
    /// First moment after the outage for which the service's state is known.
    pub reconfirmed_at: Instant,
    /// Start of the last request that failed during the outage; the service returned
    /// after it.
    pub last_failed_at: Option<Instant>,
    /// Whether a peer that was contacted during the outage had no recent answer from the
    /// service either.
    pub corroborated: bool,
}

/// Thresholds that separate an outage from normal operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageThresholds {
    /// Interval between the heartbeats that renew entries.
    pub heartbeat_interval: Duration,
    /// Longest time between two answers in normal operation.
    pub max_answer_interval: Duration,
    /// Time for which entries may be used in any case after they were last confirmed.
    pub min_usable_time: Duration,
}

impl OutageThresholds {
    fn min_outage(&self) -> Duration {
        self.max_answer_interval
            .max(self.heartbeat_interval * MIN_MISSED_HEARTBEATS)
    }

    /// Returns the deadline by which entries that lapsed in the outage must be back. A
    /// process that learns late of the return must not extend it: the deadline is the
    /// later of `LAPSED_ENTRY_GRACE` after the last failed request and
    /// `min_usable_time` after the last confirmation.
    pub fn lapsed_entry_deadline(&self, outage: &ServiceOutage) -> Instant {
        let after_confirmation = outage.last_confirmed_at + self.min_usable_time;
        let after_failure = outage
            .last_failed_at
            .map(|failed_at| failed_at + LAPSED_ENTRY_GRACE);
        after_failure.map_or(after_confirmation, |deadline| {
            deadline.max(after_confirmation)
        })
    }
}

/// Detects outages from this process's own requests and the reports of its peers.
#[derive(Clone, Copy, Debug)]
pub struct OutageDetector {
    thresholds: OutageThresholds,
    last_answer_at: Option<Instant>,
    last_corroborated_at: Option<Instant>,
    last_failed_at: Option<Instant>,
    last_outage: Option<ServiceOutage>,
}

impl OutageDetector {
    /// Creates a detector that has seen no answer yet.
    pub fn new(thresholds: OutageThresholds) -> Self {
        Self {
            thresholds,
            last_answer_at: None,
            last_corroborated_at: None,
            last_failed_at: None,
            last_outage: None,
        }
    }

    /// Returns the thresholds in use.
    pub fn thresholds(&self) -> OutageThresholds {
        self.thresholds
    }

    /// Records that a request to the service, sent at `sent_at`, failed.
    pub fn record_failure(&mut self, sent_at: Instant) {
        self.last_failed_at = self.last_failed_at.max(Some(sent_at));
        // A request from before the end of the outage may fail after a peer had an
        // answer.
        if let Some(outage) = &mut self.last_outage
            && (outage.last_confirmed_at..outage.reconfirmed_at).contains(&sent_at)
        {
            outage.last_failed_at = outage.last_failed_at.max(Some(sent_at));
        }
    }

    /// Records that the service's state at the moment `answered_at` is known, to this process or
    /// a peer.
    pub fn record_answer(&mut self, answered_at: Instant) {
        let previous = self.last_answer_at;
        if previous >= Some(answered_at) {
            return;
        }
        self.last_answer_at = Some(answered_at);
        let Some(last_confirmed_at) = previous else {
            return;
        };
        if answered_at.saturating_duration_since(last_confirmed_at) >= self.thresholds.min_outage()
        {
            let in_outage =
                |failed_at: &Instant| (last_confirmed_at..answered_at).contains(failed_at);
            self.last_outage = Some(ServiceOutage {
                last_confirmed_at,
                reconfirmed_at: answered_at,
                last_failed_at: self.last_failed_at.filter(in_outage),
                corroborated: self
                    .last_corroborated_at
                    .is_some_and(|contact_at| contact_at > last_confirmed_at),
            });
        }
    }

    /// Records contact at `now` with a peer whose last answer from the service was at
    /// `answered_at`.
    pub fn record_peer_answer(&mut self, answered_at: Instant, now: Instant) {
        self.record_answer(answered_at);
        let time_without_answer = self
            .last_answer_at
            .map(|at| now.saturating_duration_since(at));
        if time_without_answer >= Some(self.thresholds.min_outage()) {
            self.last_corroborated_at = Some(now);
        }
    }

    /// Returns the most recent outage.
    pub fn last_outage(&self) -> Option<ServiceOutage> {
        self.last_outage
    }
}
