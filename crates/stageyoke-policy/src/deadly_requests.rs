//! Decides which requests may be sent on after replicas have ended under them.
//!
//! A request that ends each replica it runs on is blocked once `MAX_ENDS` replicas have ended
//! under it. All other requests that ran there lost the same replicas, so four rules protect
//! them:
//!
//! - A request that ran to its end is cleared.
//! - Replicas that end together, such as those of a rack, have a common cause. Their ends count
//!   against no request, unless it ran on all of them.
//! - An end that a blocked request explains does not count against those that ran beside it.
//! - A request that one more end would block needs a permit for its next run. At most one such
//!   request runs on a replica at a time, so that a further end points to a single one.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Number of counted ends from which a request is blocked.
pub const MAX_ENDS: usize = 3;
/// Time between ends of replicas that may have a common cause.
pub const JOINT_END_WINDOW: Duration = Duration::from_millis(150);
/// Number of other replicas that must end with one for a common cause. A single one may have
/// ended under a request of its own.
const MIN_JOINT_ENDS: usize = 2;
/// Maximum number of other requests that may explain ends at the same time.
const MAX_CONCURRENT_CAUSES: usize = 2;
/// Time for which a request is remembered after the last end under it.
pub const MAX_AGE: Duration = Duration::from_secs(600);
/// Maximum number of remembered requests, at up to some 600 bytes each.
pub const MAX_REQUESTS: usize = 4_096;
/// Maximum number of remembered ends of replicas, at 24 bytes each.
pub const MAX_REPLICA_ENDS: usize = 4_096;
/// Maximum number of ends and of permits remembered for one request.
const MAX_PER_REQUEST: usize = 8;

/// Whether a request may be sent to replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It may be sent without further knowledge.
    #[default]
    Free,
    /// It may be sent with a permit.
    PermitRequired,
    /// It must not be sent.
    Blocked,
}

impl Standing {
    /// Returns the standing of a request against which this number of ends counts.
    pub fn of(counted_ends: usize) -> Self {
        match counted_ends {
            0 | 1 => Self::Free,
            2 => Self::PermitRequired,
            MAX_ENDS.. => Self::Blocked,
        }
    }
}

/// Answer to the request for a permit to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPermit {
    /// The request may run on the replica.
    Granted,
    /// Another request that needs a permit runs on the replica.
    ReplicaBusy,
    /// As many runs of the request are under way as may end replicas.
    RequestBusy,
    /// The request is blocked.
    Blocked,
}

/// A run for which a permit is requested.
#[derive(Clone, Copy, Debug)]
pub struct PermittedRun {
    /// Identity of the request.
    pub request: u128,
    /// Replica that would get the request.
    pub replica: u64,
    /// Identifies this run among all runs.
    pub run: u64,
}

#[derive(Clone, Copy, Debug)]
struct ReplicaEnd {
    replica: u64,
    at: Duration,
}

impl ReplicaEnd {
    /// Returns whether both ends may have a common cause.
    fn is_near(&self, other: Self) -> bool {
        self.at.abs_diff(other.at) <= JOINT_END_WINDOW
    }
}

#[derive(Clone, Copy, Debug)]
struct Permit {
    run: u64,
    replica: u64,
    expires_at: Duration,
}

/// A request under which replicas have ended.
#[derive(Debug, Default)]
struct Suspect {
    ends: Vec<ReplicaEnd>,
    permits: Vec<Permit>,
}

impl Suspect {
    fn ended(&self, replica: u64) -> bool {
        self.ends.iter().any(|end| end.replica == replica)
    }

    fn last_end(&self) -> Duration {
        let ends = self.ends.iter().map(|end| end.at);
        ends.max().unwrap_or_default()
    }
}

/// Requests under which replicas have ended, by the requests' identities. `now` is the time since
/// the start of the process.
#[derive(Debug, Default)]
pub struct DeadlyRequests {
    suspects: HashMap<u128, Suspect>,
    replica_ends: VecDeque<ReplicaEnd>,
}

impl DeadlyRequests {
    /// Records that a replica ended while the request ran on it, and returns the request's
    /// standing.
    pub fn record_end(&mut self, request: u128, replica: u64, now: Duration) -> Standing {
        let end = ReplicaEnd { replica, at: now };
        self.record_replica_end(end);
        if !self.suspects.contains_key(&request) && self.suspects.len() >= MAX_REQUESTS {
            self.drop_oldest(now);
        }
        let suspect = self.suspects.entry(request).or_default();
        suspect.permits.retain(|permit| permit.replica != replica);
        if !suspect.ended(replica) && suspect.ends.len() < MAX_PER_REQUEST {
            suspect.ends.push(end);
        }
        self.standing(request, now)
    }

    /// Records that a replica ended without a request.
    pub fn record_idle_end(&mut self, replica: u64, now: Duration) {
        self.record_replica_end(ReplicaEnd { replica, at: now });
    }

    /// Forgets a request that ran to its end. Returns whether it was known.
    pub fn clear(&mut self, request: u128) -> bool {
        self.suspects.remove(&request).is_some()
    }

    /// Returns whether a request may be sent.
    pub fn standing(&self, request: u128, now: Duration) -> Standing {
        Standing::of(self.counted_ends(request, now))
    }

    /// Returns the number of ends that count against a request.
    pub fn counted_ends(&self, request: u128, now: Duration) -> usize {
        let separate = self.separate_ends(request, now);
        let counted = separate.iter().filter(|end| {
            let mut others = self.suspects.iter();
            !others.any(|(identity, other)| {
                *identity != request
                    && other.ends.len() >= MAX_ENDS
                    && other.ended(end.replica)
                    && self.separate_ends(*identity, now).len() > separate.len()
            })
        });
        counted.count()
    }

    /// Returns the recent ends under a request that have no common cause with others.
    fn separate_ends(&self, request: u128, now: Duration) -> Vec<ReplicaEnd> {
        let Some(suspect) = self.suspects.get(&request) else {
            return Vec::new();
        };
        let recent = suspect.ends.iter().filter(|end| end.at + MAX_AGE > now);
        let separate = recent.filter(|end| !self.is_joint_end(request, suspect, **end));
        separate.copied().collect()
    }

    /// Decides on a run of a request. A granted permit is held until the run's replica ends, the
    /// request is cleared, the run is released or `ttl` is over.
    pub fn acquire(&mut self, run: PermittedRun, ttl: Duration, now: Duration) -> RunPermit {
        let counted = self.counted_ends(run.request, now);
        if Standing::of(counted) == Standing::Blocked {
            return RunPermit::Blocked;
        }
        let is_other = |permit: &Permit| permit.run != run.run && permit.expires_at > now;
        let holds_replica = |permit: &Permit| is_other(permit) && permit.replica == run.replica;
        let mut permits = self.suspects.values().flat_map(|other| &other.permits);
        if permits.any(holds_replica) {
            return RunPermit::ReplicaBusy;
        }
        let suspect = self.suspects.entry(run.request).or_default();
        let under_way = suspect.permits.iter().filter(|permit| is_other(permit));
        if counted + under_way.count() >= MAX_ENDS {
            return RunPermit::RequestBusy;
        }
        let permits = &mut suspect.permits;
        permits.retain(|permit| permit.run != run.run && permit.expires_at > now);
        if permits.len() >= MAX_PER_REQUEST {
            return RunPermit::RequestBusy;
        }
        permits.push(Permit {
            run: run.run,
            replica: run.replica,
            expires_at: now + ttl,
        });
        RunPermit::Granted
    }

    /// Releases the permit of a run.
    pub fn release(&mut self, request: u128, run: u64) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.permits.retain(|permit| permit.run != run);
        }
    }

    /// Returns the requests that are blocked or need a permit, with their counted ends.
    pub fn restricted(&self, now: Duration) -> Vec<(u128, usize)> {
        let several_ends = |suspect: &Suspect| Standing::of(suspect.ends.len()) != Standing::Free;
        let suspects = self.suspects.iter();
        let suspects = suspects.filter(|(_, suspect)| several_ends(suspect));
        let counted = suspects.map(|(request, _)| (*request, self.counted_ends(*request, now)));
        let restricted = counted.filter(|(_, ends)| Standing::of(*ends) != Standing::Free);
        restricted.collect()
    }

    /// Drops what is too old to matter.
    pub fn expire(&mut self, now: Duration) {
        self.replica_ends.retain(|end| end.at + MAX_AGE > now);
        self.suspects.retain(|_, suspect| {
            let has_permit = suspect.permits.iter().any(|permit| permit.expires_at > now);
            has_permit || suspect.last_end() + MAX_AGE > now && !suspect.ends.is_empty()
        });
    }

    /// Returns the number of remembered requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn record_replica_end(&mut self, end: ReplicaEnd) {
        let mut known = self.replica_ends.iter();
        if known.any(|known| known.replica == end.replica) {
            return;
        }
        if self.replica_ends.len() >= MAX_REPLICA_ENDS {
            self.replica_ends.pop_front();
        }
        self.replica_ends.push_back(end);
    }

    /// Returns whether several replicas ended together with this one on which the request did
    /// not run, and which few other requests do not explain.
    fn is_joint_end(&self, request: u128, suspect: &Suspect, end: ReplicaEnd) -> bool {
        let near = self.replica_ends.iter().filter(|other| other.is_near(end));
        let unshared = near.filter(|other| !suspect.ended(other.replica));
        let mut unexplained: Vec<u64> = unshared.map(|other| other.replica).collect();
        for _ in 0..MAX_CONCURRENT_CAUSES {
            if unexplained.len() < MIN_JOINT_ENDS {
                return false;
            }
            let others = self.suspects.iter();
            let others =
                others.filter(|(identity, other)| **identity != request && other.ends.len() > 1);
            let explained_by = |other: &Suspect| {
                let explained = unexplained.iter().filter(|replica| other.ended(**replica));
                explained.count()
            };
            let Some((_, cause)) = others.max_by_key(|(_, other)| explained_by(other)) else {
                return true;
            };
            // A request that lost one of these replicas only lost it with all others there.
            if explained_by(cause) < 2 {
                return true;
            }
            unexplained.retain(|replica| !cause.ended(*replica));
        }
        unexplained.len() >= MIN_JOINT_ENDS
    }

    /// Drops the request whose last end is the oldest.
    fn drop_oldest(&mut self, now: Duration) {
        self.expire(now);
        if self.suspects.len() < MAX_REQUESTS {
            return;
        }
        let suspects = self.suspects.iter();
        let oldest = suspects.min_by_key(|(_, suspect)| (suspect.ends.len(), suspect.last_end()));
        if let Some(request) = oldest.map(|(request, _)| *request) {
            self.suspects.remove(&request);
        }
    }
}
