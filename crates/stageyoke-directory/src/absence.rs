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
pub const BACK_WITHIN: Duration = Duration::from_millis(2_700);

/// Heartbeats without which an entry runs out, less the one that may have come just
/// before the service went away: a shorter absence ends no entry.
const HEARTBEATS_TO_RUN_OUT: u32 = 2;

/// A time in which nobody is known to have had an answer of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    /// The last moment before it for which anybody had an answer.
    pub known_until: Instant,
    /// The first moment after it for which the service's state is known.
    pub ended_by: Instant,
    /// When the last exchange in it began that failed: the service returned after it.
    pub failed_at: Option<Instant>,
    /// Whether another process was heard meanwhile that had no answer either.
    pub witnessed: bool,
}

/// How an absence is told from the calm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbsenceLimits {
    /// Pause between two heartbeats of those who write entries.
    pub heartbeat: Duration,
    /// Longest time that passes in calm between two answers.
    pub usual: Duration,
    /// How long entries may be used, at any rate, after they were last known to hold.
    pub usable_for: Duration,
}

impl AbsenceLimits {
    fn shortest(&self) -> Duration {
        self.usual.max(self.heartbeat * HEARTBEATS_TO_RUN_OUT)
    }

    /// Until when entries that ran out in an absence may come back. Learning late
    /// shortens that: it lies within `BACK_WITHIN` of the service's return, or within
    /// the bound on changes of when they were last known to hold.
    pub fn entries_back_until(&self, absence: &Absence) -> Instant {
        let at_any_rate = absence.known_until + self.usable_for;
        let after_return = absence.failed_at.map(|failed| failed + BACK_WITHIN);
        after_return.map_or(at_any_rate, |until| until.max(at_any_rate))
    }
}

/// Finds absences in what a process sees and hears.
#[derive(Clone, Copy, Debug)]
pub struct AbsenceWatch {
    limits: AbsenceLimits,
    answered_at: Option<Instant>,
    witnessed_at: Option<Instant>,
    failed_at: Option<Instant>,
    absence: Option<Absence>,
}

impl AbsenceWatch {
    /// Nothing was seen yet.
    pub fn new(limits: AbsenceLimits) -> Self {
        Self {
            limits,
            answered_at: None,
            witnessed_at: None,
            failed_at: None,
            absence: None,
        }
    }

    /// How an absence is told from the calm.
    pub fn limits(&self) -> AbsenceLimits {
        self.limits
    }

    /// What this process asked the service at that moment failed.
    pub fn note_failed(&mut self, asked_at: Instant) {
        self.failed_at = self.failed_at.max(Some(asked_at));
        // What was asked before the end may fail after others had an answer.
        if let Some(absence) = &mut self.absence
            && (absence.known_until..absence.ended_by).contains(&asked_at)
        {
            absence.failed_at = absence.failed_at.max(Some(asked_at));
        }
    }

    /// The service's state at that moment is known, to this process or to another one.
    pub fn note_answered(&mut self, at: Instant) {
        let before = self.answered_at;
        if before >= Some(at) {
            return;
        }
        self.answered_at = Some(at);
        let Some(known_until) = before else {
            return;
        };
        if at.saturating_duration_since(known_until) >= self.limits.shortest() {
            let within = |failed: &Instant| (known_until..at).contains(failed);
            self.absence = Some(Absence {
                known_until,
                ended_by: at,
                failed_at: self.failed_at.filter(within),
                witnessed: self.witnessed_at.is_some_and(|heard| heard > known_until),
            });
        }
    }

    /// Another process was heard now, which last had an answer at that moment.
    pub fn note_peer(&mut self, answered_at: Instant, now: Instant) {
        self.note_answered(answered_at);
        let without = self
            .answered_at
            .map(|known| now.saturating_duration_since(known));
        if without >= Some(self.limits.shortest()) {
            self.witnessed_at = Some(now);
        }
    }

    /// The last absence that was found.
    pub fn last(&self) -> Option<Absence> {
        self.absence
    }
}
