//! Limits how many replicas may end under one request, over all its attempts and all fronts.
//!
//! A front that sees a replica end tells the stores before it answers the caller, and the stores
//! tell all fronts which requests are restricted. So other requests are sent without asking, and
//! only a request that one more end would block waits for a permit.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use stageyoke_observe as observe;
use stageyoke_policy::deadly_requests::{DeadlyRequests, PermittedRun, RunPermit, Standing};
use stageyoke_store::GroupClients;
use stageyoke_store::extension::{NO_REQUEST, PermitQuery, Restriction, RunReport};
use stageyoke_store::restricted_requests::{REFRESH_INTERVAL, RestrictedRequests};
use stageyoke_types::{ErrorKind, Event};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::failure::Failure;
use crate::handler::SHORT_RETRY_DELAY;
use crate::replica::Replica;
use crate::replica_registry::ReplicaRegistry;
use crate::request_identity::RequestIdentity;

/// Time limit for a quorum of stores to record an end or to decide on a permit.
const STORES_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a block is confirmed before it is reported to a caller: reports of other
/// replicas that ended at the same moment may still be on their way.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(50);
/// Time for which a request that ran to its end does not count as a cause of ends.
const COMPLETED_AGE: Duration = Duration::from_secs(10);
/// Number of requests that are remembered as completed, at some 48 bytes each.
const MAX_COMPLETED: usize = 2_048;
/// Time between the first queries of a front that has just started.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(10);
/// Number of neighbours of a replica that has ended that are probed.
const MAX_PROBED_NEIGHBOURS: usize = 16;
/// Margin by which a permit outlasts the deadline of its run.
const PERMIT_MARGIN: Duration = Duration::from_secs(1);

/// The front's part in the limit.
pub struct RequestGuard {
    stores: Rc<GroupClients>,
    registry: Rc<ReplicaRegistry>,
    /// Ends that this front saw, which decide where no store does.
    own: RefCell<DeadlyRequests>,
    completed: RefCell<CompletedRequests>,
    started_at: Instant,
}

/// Reason why a request may not be sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Another request that needs a permit runs there.
    ReplicaBusy,
    /// As many runs of the request are under way as may end replicas.
    RequestBusy,
    /// Too few stores answered.
    Unknown,
    /// The request is blocked.
    Blocked,
}

/// Permit of one run, released when dropped.
pub struct HeldPermit {
    guard: Rc<RequestGuard>,
    query: PermitQuery,
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        self.guard.release(self.query);
    }
}

/// Report of a replica's end, on its way to the stores.
pub struct EndReport {
    task: Option<JoinHandle<()>>,
}

impl EndReport {
    /// Waits until a quorum of stores knows the end, or none says so in time.
    pub async fn wait(self) {
        if let Some(task) = self.task {
            let _ = task.await;
        }
    }
}

/// Reports of the ends under one attempt. The next replica may get the request before they have
/// arrived; the caller may not get its failure.
#[derive(Default)]
pub struct EndReports {
    reports: Vec<EndReport>,
}

impl EndReports {
    /// Adds a report.
    pub fn add(&mut self, report: EndReport) {
        self.reports.push(report);
    }

    /// Returns whether a further end may be one too many.
    pub fn are_several(&self) -> bool {
        self.reports.len() > 1
    }

    /// Waits for all reports.
    pub async fn wait(&mut self) {
        for report in self.reports.drain(..) {
            report.wait().await;
        }
    }
}

/// Returns the failure of a blocked request.
pub fn blocked() -> Failure {
    Failure::permanent(ErrorKind::RequestBlocked, "request_blocked")
}

impl Denial {
    /// Returns the failure of a request that was denied at all replicas and has not run.
    pub fn failure(self) -> Failure {
        let cause = match self {
            Self::Blocked => return blocked(),
            Self::ReplicaBusy | Self::RequestBusy => "run_not_permitted",
            Self::Unknown => "run_permit_unknown",
        };
        Failure::retryable(ErrorKind::Unavailable, cause, SHORT_RETRY_DELAY)
    }
}

impl RequestGuard {
    /// Creates the guard of a front that reports to these stores.
    pub fn new(stores: Rc<GroupClients>, registry: Rc<ReplicaRegistry>) -> Self {
        Self {
            stores,
            registry,
            own: RefCell::default(),
            completed: RefCell::default(),
            started_at: Instant::now(),
        }
    }

    /// Keeps the restricted requests up to date until the task is dropped.
    pub async fn watch(&self) {
        let mut interval = MIN_WATCH_INTERVAL;
        loop {
            let group = self.stores.run_group();
            let all_known = group.is_some_and(|group| group.watch_restrictions(REFRESH_INTERVAL));
            let blocked = self.restricted().blocked_count();
            observe::metrics().blocked_requests.set(blocked as i64);
            tokio::time::sleep(interval).await;
            interval = match all_known {
                true => REFRESH_INTERVAL,
                false => REFRESH_INTERVAL.min(interval * 2),
            };
        }
    }

    fn restricted(&self) -> &RestrictedRequests {
        self.stores.restricted_requests()
    }

    /// Returns whether a request may be sent.
    pub fn standing(&self, request: RequestIdentity) -> Standing {
        self.restricted().standing(request.0)
    }

    /// Acquires a permit to run a request on a replica until its deadline; `None` if it needs
    /// none.
    pub async fn acquire(
        self: &Rc<Self>,
        request: RequestIdentity,
        replica: &Replica,
        deadline: Instant,
    ) -> Result<Option<HeldPermit>, Denial> {
        match self.standing(request) {
            Standing::Free => return Ok(None),
            Standing::Blocked => return Err(Denial::Blocked),
            Standing::PermitRequired => {}
        }
        let time_left = deadline.saturating_duration_since(Instant::now());
        let ttl = (time_left + PERMIT_MARGIN).as_millis();
        let query = PermitQuery {
            request: request.0,
            replica: replica.incarnation_hash(),
            run: rand::random(),
            ttl_milliseconds: u32::try_from(ttl).unwrap_or(u32::MAX),
        };
        // Dropped on a denial, which withdraws the query from the stores that granted it.
        let held = HeldPermit {
            guard: self.clone(),
            query,
        };
        match self.decide(query).await.ok_or(Denial::Unknown)? {
            RunPermit::Granted => Ok(Some(held)),
            RunPermit::ReplicaBusy => Err(Denial::ReplicaBusy),
            RunPermit::RequestBusy => Err(Denial::RequestBusy),
            RunPermit::Blocked => Err(Denial::Blocked),
        }
    }

    /// Lets the stores decide, or this front alone if they are of an earlier build.
    async fn decide(&self, query: PermitQuery) -> Option<RunPermit> {
        let group = self.stores.run_group()?;
        let decision = group.request_run(query, STORES_TIMEOUT).await;
        if decision.is_some() || group.failing_for().is_some() {
            return decision;
        }
        let run = PermittedRun {
            request: query.request,
            replica: query.replica,
            run: query.run,
        };
        let ttl = Duration::from_millis(query.ttl_milliseconds.into());
        let mut own = self.own.borrow_mut();
        Some(own.acquire(run, ttl, self.started_at.elapsed()))
    }

    fn release(&self, query: PermitQuery) {
        self.own.borrow_mut().release(query.request, query.run);
        let Some(group) = self.stores.run_group() else {
            return;
        };
        let released = PermitQuery {
            ttl_milliseconds: 0,
            ..query
        };
        tokio::task::spawn_local(async move {
            group.request_run(released, STORES_TIMEOUT).await;
        });
    }

    /// Starts to report that a replica's process ended while it ran the request.
    pub fn report_end(self: &Rc<Self>, request: RequestIdentity, replica: &Replica) -> EndReport {
        observe::metrics().replicas_ended.inc();
        let detail = format!("replica={} identity={request}", replica.id);
        observe::record_event(Event::ReplicaEnded, &detail);
        if replica.notice_end() {
            self.probe_neighbours(replica);
        }
        if self.completed.borrow().contains(request, Instant::now()) {
            return EndReport { task: None };
        }
        let report = RunReport {
            request: request.0,
            replica: replica.incarnation_hash(),
            completed: false,
        };
        let guard = self.clone();
        let reporting = async move {
            guard.apply_end(report).await;
            if guard.standing(request) == Standing::Blocked {
                tokio::time::sleep(CONFIRMATION_DELAY).await;
                guard.apply_end(report).await;
            }
        };
        EndReport {
            task: Some(tokio::task::spawn_local(reporting)),
        }
    }

    /// Reports neighbours that ended at the same moment, on which no request ran that would show
    /// it: their end has a cause other than a request.
    fn probe_neighbours(self: &Rc<Self>, replica: &Replica) {
        for neighbour in self.registry.neighbours(replica, MAX_PROBED_NEIGHBOURS) {
            let guard = self.clone();
            tokio::task::spawn_local(async move {
                if neighbour.has_ended(Instant::now()).await && neighbour.notice_end() {
                    guard.report_idle_end(&neighbour).await;
                }
            });
        }
    }

    async fn report_idle_end(&self, replica: &Replica) {
        let replica = replica.incarnation_hash();
        let now = self.started_at.elapsed();
        self.own.borrow_mut().record_idle_end(replica, now);
        if let Some(group) = self.stores.run_group() {
            let report = RunReport {
                request: NO_REQUEST,
                replica,
                completed: false,
            };
            group.report_run(report, STORES_TIMEOUT).await;
        }
    }

    async fn apply_end(&self, report: RunReport) {
        let own_ends = {
            let now = self.started_at.elapsed();
            let mut own = self.own.borrow_mut();
            own.record_end(report.request, report.replica, now);
            own.counted_ends(report.request, now)
        };
        let reported = match self.stores.run_group() {
            Some(group) => group.report_run(report, STORES_TIMEOUT).await,
            None => None,
        };
        let restriction = reported.unwrap_or(Restriction {
            request: report.request,
            ends: u8::try_from(own_ends).unwrap_or(u8::MAX),
        });
        self.restricted().apply(restriction);
    }

    /// Records that a request ran to its end, and lifts its restriction.
    pub fn record_completed(&self, request: RequestIdentity, replica: &Replica) {
        let mut completed = self.completed.borrow_mut();
        completed.insert(request, Instant::now());
        let was_restricted = self.standing(request) != Standing::Free;
        let was_suspected = self.own.borrow_mut().clear(request.0);
        if !was_restricted && !was_suspected {
            return;
        }
        if was_restricted {
            let detail = format!("identity={request} replica={}", replica.id);
            observe::record_event(Event::RequestCleared, &detail);
        }
        let report = RunReport {
            request: request.0,
            replica: replica.incarnation_hash(),
            completed: true,
        };
        self.restricted().apply(Restriction {
            request: request.0,
            ends: 0,
        });
        if let Some(group) = self.stores.run_group() {
            tokio::task::spawn_local(async move { group.report_run(report, STORES_TIMEOUT).await });
        }
    }
}

/// Requests that ran to their end a short time ago.
#[derive(Default)]
struct CompletedRequests {
    completed_at: HashMap<RequestIdentity, Instant>,
    order: VecDeque<(RequestIdentity, Instant)>,
}

impl CompletedRequests {
    fn insert(&mut self, request: RequestIdentity, now: Instant) {
        self.completed_at.insert(request, now);
        self.order.push_back((request, now));
        while self.order.len() > MAX_COMPLETED {
            let Some((oldest, at)) = self.order.pop_front() else {
                return;
            };
            // It may have completed again since.
            if self.completed_at.get(&oldest) == Some(&at) {
                self.completed_at.remove(&oldest);
            }
        }
    }

    fn contains(&self, request: RequestIdentity, now: Instant) -> bool {
        let completed_at = self.completed_at.get(&request);
        completed_at.is_some_and(|at| now.duration_since(*at) < COMPLETED_AGE)
    }
}
