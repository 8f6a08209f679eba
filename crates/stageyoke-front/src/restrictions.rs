//! Reasons why a replica that is listed and alive gets no requests: its zone is evacuated, it is
//! cold, or it is outside the home regions of the request. Pure: callers pass the current time.

use std::time::Duration;

use tokio::time::Instant;

/// Why no replica of a service may get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// No replica that accepts requests is listed.
    NoReplica,
    /// All replicas are of another software version than the one that began the stream.
    OtherVersion,
    /// All replicas are outside the home regions of the request.
    OutsideHomes,
    /// All zones with replicas that the request may use are evacuated.
    Evacuated,
    /// The remaining replicas are cold and may get no more requests for this long.
    Cold(Duration),
}

impl Shortage {
    /// Returns the cause as logged.
    pub fn cause(self) -> &'static str {
        match self {
            Self::NoReplica => "no_replica",
            Self::OtherVersion => "no_replica_of_version",
            Self::OutsideHomes => "no_home_replica",
            Self::Evacuated => "zones_evacuated",
            Self::Cold(_) => "replicas_cold",
        }
    }

    /// Returns the cause that says most about the service as a whole, if both apply to some of
    /// its replicas.
    pub fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::Cold(one), Self::Cold(two)) => Self::Cold(one.min(two)),
            (Self::Cold(_), _) => self,
            (_, Self::Cold(_)) => other,
            (Self::Evacuated, _) | (_, Self::Evacuated) => Self::Evacuated,
            (Self::OtherVersion, _) | (_, Self::OtherVersion) => Self::OtherVersion,
            (Self::NoReplica, _) | (_, Self::NoReplica) => Self::NoReplica,
            (Self::OutsideHomes, Self::OutsideHomes) => Self::OutsideHomes,
        }
    }
}

/// Cold phase of a replica, as far as this front knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdPhase {
    /// End of the phase; `None` if the replica is warm.
    ends_at: Option<Instant>,
    /// Remaining time that the last entry stated.
    stated: Duration,
    /// Time until which no permit is available.
    deferred_until: Option<Instant>,
}

impl ColdPhase {
    /// Applies the remaining time that an entry states. The same entry is applied many times,
    /// so only a change starts or ends a phase.
    pub fn apply_entry(&mut self, cold_left: Duration, now: Instant) {
        if cold_left == self.stated {
            return;
        }
        self.stated = cold_left;
        self.ends_at = (!cold_left.is_zero()).then(|| now + cold_left);
    }

    /// Extends the phase to at least this time from now.
    pub fn extend(&mut self, duration: Duration, now: Instant) {
        self.ends_at = self.ends_at.max(Some(now + duration));
    }

    /// Returns whether the replica is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.ends_at.is_some_and(|ends_at| now < ends_at)
    }

    /// Asks for no further permit for this long.
    pub fn defer(&mut self, wait: Duration, now: Instant) {
        self.deferred_until = Some(now + wait);
    }

    /// Returns for how long no permit is available for the cold replica; zero if one may be.
    pub fn deferred_for(&self, now: Instant) -> Duration {
        let until = self.deferred_until.filter(|_| self.is_cold(now));
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}
