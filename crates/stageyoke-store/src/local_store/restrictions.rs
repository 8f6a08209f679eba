//! Requests under which replicas have ended, as this store knows them.

use std::time::Duration;

use stageyoke_observe as observe;
use stageyoke_policy::deadly_requests::{PermittedRun, RunPermit};
use stageyoke_types::Event;

use super::LocalStore;
use crate::extension::{NO_REQUEST, PermitQuery, Restriction, Restrictions, RunReport};

impl LocalStore {
    /// Records how a run ended, tells all watchers if that changes the restriction of the
    /// request, and returns it.
    pub(super) fn record_run(&self, report: RunReport) -> Restrictions {
        let now = self.started_at.elapsed();
        let RunReport { request, .. } = report;
        let before = self.restriction(request);
        let mut requests = self.deadly_requests.borrow_mut();
        match (request, report.completed) {
            (NO_REQUEST, _) => requests.record_idle_end(report.replica, now),
            (_, true) => _ = requests.clear(request),
            (_, false) => _ = requests.record_end(request, report.replica, now),
        }
        drop(requests);
        let restriction = self.restriction(request);
        if restriction.is_restricted() && restriction != before
            || before.is_restricted() && !restriction.is_restricted()
        {
            self.restriction_watchers.send(restriction);
        }
        if restriction.is_blocked() && !before.is_blocked() {
            let detail = format!("identity={request:032x} ended={}", restriction.ends);
            observe::record_event(Event::RequestBlocked, &detail);
        }
        Restrictions {
            version: self.restriction_watchers.version(),
            complete: false,
            requests: vec![restriction].into(),
        }
    }

    /// Decides on a permit to run a request, or releases it.
    pub(super) fn decide_run(&self, query: PermitQuery) -> RunPermit {
        let now = self.started_at.elapsed();
        let mut requests = self.deadly_requests.borrow_mut();
        let run = PermittedRun {
            request: query.request,
            replica: query.replica,
            run: query.run,
        };
        match query.ttl_milliseconds {
            0 => {
                requests.release(run.request, run.run);
                RunPermit::Granted
            }
            ttl => requests.acquire(run, Duration::from_millis(ttl.into()), now),
        }
    }

    /// Returns all restricted requests, or none if the requester has this version of them.
    pub(super) fn restrictions_since(&self, known_version: u64) -> Restrictions {
        let version = self.restriction_watchers.version();
        if known_version == version {
            return Restrictions {
                version,
                complete: false,
                requests: Default::default(),
            };
        }
        let now = self.started_at.elapsed();
        let mut requests = self.deadly_requests.borrow_mut();
        requests.expire(now);
        let restricted = requests.restricted(now).into_iter();
        let restricted = restricted.map(|(request, ends)| Restriction {
            request,
            ends: u8::try_from(ends).unwrap_or(u8::MAX),
        });
        Restrictions {
            version,
            complete: true,
            requests: restricted.collect(),
        }
    }

    fn restriction(&self, request: u128) -> Restriction {
        let now = self.started_at.elapsed();
        let ends = self.deadly_requests.borrow().counted_ends(request, now);
        Restriction {
            request,
            ends: u8::try_from(ends).unwrap_or(u8::MAX),
        }
    }
}
