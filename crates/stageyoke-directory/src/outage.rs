//! Whether the key-value service was away. Who writes an entry renews it; while the
//! service is away nobody can, and entries run out though their writers live. Entries
//! that go while the service answers have really ended.
//!
//! One process's own silence shows nothing: it may itself be cut off, or turned away.
//! The service was away where nobody got an answer for long, as far as is known, and
//! another process that was heard meanwhile had none either. Who tells of an absence
//! may have been turned away together with those it hears: it counts for others only as
//! far as they had no answer themselves.

use std::time::Duration;

use tokio::time::Instant;

/// Time from the service's return until entries that ran out meanwhile are back (about
/// two seconds, by the platform's page on service discovery) and followers have heard of
/// it; one that is missing longer has ended. Shorter than the time from which a process
/// is bound by the list again after such a return, 3 s in the tightest deployment.
pub const LAPSED_ENTRY_GRACE: Duration = Duration::from_millis(2_700);

/// Heartbeats without which an entry runs out, less the one that may have come just
/// before the service went away: a shorter absence ends no entry.
const MIN_MISSED_HEARTBEATS: u32 = 2;

/// A time in which nobody is known to have had an answer of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceOutage {
    /// The last moment before it for which anybody had an answer.
    pub last_confirmed_at: Instant,
    /// The first moment after it for which the service's state is known.
    pub reconfirmed_at: Instant,
    /// When the last exchange in it began that failed: the service returned after it.
    pub last_failed_at: Option<Instant>,
    /// Whether another process was heard meanwhile that had no answer either.
    pub corroborated: bool,
}

/// How an absence is told from the calm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageThresholds {
    /// Pause between two heartbeats of those who write entries.
    pub heartbeat_interval: Duration,
    /// Longest time that passes in calm between two answers.
    pub max_answer_interval: Duration,
    /// How long entries may be used, at any rate, after they were last known to hold.
    pub min_usable_time: Duration,
}

impl OutageThresholds {
    fn min_outage(&self) -> Duration {
        self.max_answer_interval
            .max(self.heartbeat_interval * MIN_MISSED_HEARTBEATS)
    }

    /// Until when entries that ran out in an absence may come back. Learning late
    /// shortens that: it lies within `LAPSED_ENTRY_GRACE` of the service's return, or within
    /// the bound on changes of when they were last known to hold.
    pub fn lapsed_entry_deadline(&self, absence: &ServiceOutage) -> Instant {
        let at_any_rate = absence.last_confirmed_at + self.min_usable_time;
        let after_return = absence
            .last_failed_at
            .map(|failed| failed + LAPSED_ENTRY_GRACE);
        after_return.map_or(at_any_rate, |until| until.max(at_any_rate))
    }
}

/// Finds absences in what a process sees and hears.
#[derive(Clone, Copy, Debug)]
pub struct OutageDetector {
    thresholds: OutageThresholds,
    last_answer_at: Option<Instant>,
    last_corroborated_at: Option<Instant>,
    last_failed_at: Option<Instant>,
    last_outage: Option<ServiceOutage>,
}

impl OutageDetector {
    /// Nothing was seen yet.
    pub fn new(limits: OutageThresholds) -> Self {
        Self {
            thresholds: limits,
            last_answer_at: None,
            last_corroborated_at: None,
            last_failed_at: None,
            last_outage: None,
        }
    }

    /// How an absence is told from the calm.
    pub fn thresholds(&self) -> OutageThresholds {
        self.thresholds
    }

    /// What this process asked the service at that moment failed.
    pub fn record_failure(&mut self, asked_at: Instant) {
        self.last_failed_at = self.last_failed_at.max(Some(asked_at));
        // What was asked before the end may fail after others had an answer.
        if let Some(absence) = &mut self.last_outage
            && (absence.last_confirmed_at..absence.reconfirmed_at).contains(&asked_at)
        {
            absence.last_failed_at = absence.last_failed_at.max(Some(asked_at));
        }
    }

    /// The service's state at that moment is known, to this process or to another one.
    pub fn record_answer(&mut self, at: Instant) {
        let before = self.last_answer_at;
        if before >= Some(at) {
            return;
        }
        self.last_answer_at = Some(at);
        let Some(known_until) = before else {
            return;
        };
        if at.saturating_duration_since(known_until) >= self.thresholds.min_outage() {
            let within = |failed: &Instant| (known_until..at).contains(failed);
            self.last_outage = Some(ServiceOutage {
                last_confirmed_at: known_until,
                reconfirmed_at: at,
                last_failed_at: self.last_failed_at.filter(within),
                corroborated: self
                    .last_corroborated_at
                    .is_some_and(|heard| heard > known_until),
            });
        }
    }

    /// Another process was heard now, which last had an answer at that moment.
    pub fn record_peer_answer(&mut self, answered_at: Instant, now: Instant) {
        self.record_answer(answered_at);
        let without = self
            .last_answer_at
            .map(|known| now.saturating_duration_since(known));
        if without >= Some(self.thresholds.min_outage()) {
            self.last_corroborated_at = Some(now);
        }
    }

    /// The last absence that was found.
    pub fn last_outage(&self) -> Option<ServiceOutage> {
        self.last_outage
    }
}
