//! Quota account of one tenant: its rate limits and its programs.

use std::collections::HashMap;
use std::time::Duration;

use super::QuotaTolerance;
use super::demand::{Demand, DemandEstimator};
use crate::sliding_window::SlidingWindow;
use crate::token_bucket::RateLimit;

/// A program without a granted request for this long counts as finished. Few turns and pauses
/// take longer. A longer timeout would reserve quota for programs that have finished: with 1.2 s
/// a tenth of a limit stayed unused at three times its load (`program_quota_test`).
const PROGRAM_IDLE_TIMEOUT: Duration = Duration::from_millis(600);
/// A program that resumes within this time is not treated as a new one.
const PROGRAM_RETENTION: Duration = Duration::from_secs(8);
/// Limits of a tenant that are enforced at the same time: the current one and the higher
/// ones that it replaced. Beyond this number the highest ones are dropped; the lower ones
/// are stricter.
const MAX_ENFORCED_LIMITS: usize = 4;
/// Points in a program's expected lifetime at which its demand must fit the limit.
const DEMAND_CHECKPOINTS: u32 = 4;

/// Request history of one program.
#[derive(Clone, Copy, Debug)]
struct Program {
    last_request_at: Duration,
    granted_requests: u32,
    /// Whether the last request was rejected.
    rejected: bool,
    /// Whether a request was granted within the idle timeout, as of the last grant or sweep.
    active: bool,
}

/// Limit in force, with the requests that count against it.
#[derive(Clone, Debug)]
struct EnforcedLimit {
    limit: RateLimit,
    requests: SlidingWindow,
    /// Time at which a replaced limit is no longer enforced; `None` for the current one.
    expires_at: Option<Duration>,
}

/// Rate limits, requests and programs of one tenant.
#[derive(Debug)]
pub(super) struct Account {
    /// The current limit, then higher ones that were replaced less than a window ago.
    limits: Vec<EnforcedLimit>,
    version: u64,
    /// Time since which all of the tenant's requests are counted here.
    complete_since: Duration,
    programs: HashMap<u64, Program>,
    active_programs: usize,
}

impl Account {
    /// Creates an account whose `requests` include all requests since `complete_since`.
    pub(super) fn new(
        limit: RateLimit,
        requests: SlidingWindow,
        version: u64,
        complete_since: Duration,
    ) -> Self {
        let current = EnforcedLimit {
            limit,
            requests,
            expires_at: None,
        };
        Self {
            limits: vec![current],
            version,
            complete_since,
            programs: HashMap::new(),
            active_programs: 0,
        }
    }

    /// Applies the limit of a configuration if it is newer than the current one.
    pub(super) fn update_limit(&mut self, limit: RateLimit, version: u64, now: Duration) {
        if version > self.version {
            self.version = version;
            self.set_limit(limit, now);
        }
    }

    /// Time since which all of the tenant's requests are counted here.
    pub(super) fn complete_since(&self) -> Duration {
        self.complete_since
    }

    /// Returns whether the program was granted a request within the retention time.
    pub(super) fn has_program(&self, program: u64) -> bool {
        self.programs.contains_key(&program)
    }

    /// Number of programs in memory.
    pub(super) fn program_count(&self) -> usize {
        self.programs.len()
    }

    /// Returns whether the account holds no requests and no programs, so that dropping it
    /// loses nothing.
    pub(super) fn is_idle(&mut self, now: Duration) -> bool {
        let counts = self
            .limits
            .iter_mut()
            .map(|limit| limit.requests.count(now));
        self.programs.is_empty() && counts.max().unwrap_or_default() == 0
    }

    /// Time until a request fits all enforced limits; `None` if it fits now. A request that
    /// starts a program must leave room for the program's expected demand.
    pub(super) fn time_until_granted(
        &mut self,
        starts_program: bool,
        demand: &DemandEstimator,
        tolerance: QuotaTolerance,
        now: Duration,
    ) -> Option<Duration> {
        self.limits
            .retain(|limit| limit.expires_at.is_none_or(|expiry| expiry > now));
        let programs = self.active_programs + 1;
        let demand = demand.estimate().filter(|_| programs > 1);
        let waits = self.limits.iter_mut().filter_map(|limit| {
            let overdraft = tolerance.overdraft(limit.capacity());
            match starts_program {
                true => limit.time_until_program_fits(programs, demand, overdraft, now),
                false => limit.time_until_request_fits(overdraft, now),
            }
        });
        waits.max()
    }

    /// Marks a program's last request as rejected.
    pub(super) fn record_rejection(&mut self, program: u64) {
        if let Some(program) = self.programs.get_mut(&program) {
            program.rejected = true;
        }
    }

    /// Counts a granted request against all enforced limits and adds it to its program.
    pub(super) fn record_grant(
        &mut self,
        program: u64,
        starts_program: bool,
        demand: &mut DemandEstimator,
        now: Duration,
    ) {
        for limit in &mut self.limits {
            limit.requests.record(now);
        }
        if starts_program {
            let started = Program {
                last_request_at: now,
                granted_requests: 0,
                rejected: false,
                active: false,
            };
            self.programs.insert(program, started);
        }
        let Some(program) = self.programs.get_mut(&program) else {
            return;
        };
        match program.active {
            true => demand.record_gap(now.saturating_sub(program.last_request_at)),
            false => self.active_programs += 1,
        }
        *program = Program {
            last_request_at: now,
            granted_requests: program.granted_requests + 1,
            rejected: false,
            active: true,
        };
    }

    /// Window slot in which a request granted at `now` is counted, and the version of the
    /// limit that it counts against.
    pub(super) fn current_slot(&mut self, now: Duration) -> Option<(u64, u64)> {
        let current = self.limits.first_mut()?;
        Some((current.requests.current_slot(now), self.version))
    }

    /// Refunds a request that was granted in this slot but not run. A request that was
    /// granted under another version of the limit is not refunded, since windows created
    /// after it don't contain it.
    pub(super) fn refund(&mut self, slot: u64, version: u64, now: Duration) {
        if version != self.version {
            return;
        }
        for limit in &mut self.limits {
            limit.requests.refund(slot, now);
        }
    }

    /// Replaces the current limit. A lower limit starts with an empty window, so that earlier
    /// requests don't block the tenant; for one window length, all requests must also fit
    /// the limit that it replaces. A higher limit takes over the longest history, and no
    /// earlier limit applies any more.
    fn set_limit(&mut self, limit: RateLimit, now: Duration) {
        let Some(current) = self.limits.first_mut() else {
            return;
        };
        let window_length = current.requests.length();
        if current.requests.capacity(limit) < current.capacity() {
            current.expires_at = Some(now + window_length);
            let lowered = EnforcedLimit {
                limit,
                requests: SlidingWindow::new(window_length, now),
                expires_at: None,
            };
            self.limits.insert(0, lowered);
            self.limits.truncate(MAX_ENFORCED_LIMITS);
            return;
        }
        let oldest = self.limits.pop();
        let raised = oldest.map(|oldest| EnforcedLimit {
            limit,
            requests: oldest.requests,
            expires_at: None,
        });
        self.limits = raised.into_iter().collect();
    }

    /// Marks programs as finished after the idle timeout, and removes them after the
    /// retention time.
    pub(super) fn sweep(&mut self, demand: &mut DemandEstimator, now: Duration) {
        self.programs
            .retain(|_, program| program.last_request_at + PROGRAM_RETENTION > now);
        self.active_programs = 0;
        for program in self.programs.values_mut() {
            let active = program.last_request_at + PROGRAM_IDLE_TIMEOUT > now;
            if program.active && !active && !program.rejected {
                demand.record_finished_program(program.granted_requests);
            }
            program.active = active;
            self.active_programs += usize::from(active);
        }
    }
}

impl EnforcedLimit {
    /// Number of requests that the limit allows within one window.
    fn capacity(&self) -> f64 {
        self.requests.capacity(self.limit)
    }

    /// Time until one more request fits the limit; `None` if it fits now.
    fn time_until_request_fits(&mut self, overdraft: f64, now: Duration) -> Option<Duration> {
        let capacity = self.capacity() + overdraft;
        let fits = f64::from(self.requests.count(now)) + 1.0 <= capacity;
        (!fits).then(|| {
            self.requests
                .time_until_at_most((capacity - 1.0) as u32, now)
        })
    }

    /// Time until the limit covers the expected demand of this number of programs; `None`
    /// if it does now. Without a demand only one request must fit, so that a tenant can run
    /// one program at a time however low its limit.
    fn time_until_program_fits(
        &mut self,
        programs: usize,
        demand: Option<Demand>,
        overdraft: f64,
        now: Duration,
    ) -> Option<Duration> {
        let request_wait = self.time_until_request_fits(0.0, now);
        let Some(demand) = demand else {
            return request_wait;
        };
        let capacity = self.capacity() + overdraft;
        let horizon = demand
            .lifetime_seconds
            .min(self.requests.length().as_secs_f64());
        let per_second = programs as f64 * demand.per_second;
        let waits = (1..=DEMAND_CHECKPOINTS).filter_map(|checkpoint| {
            let offset = horizon * f64::from(checkpoint) / f64::from(DEMAND_CHECKPOINTS);
            let available = capacity - per_second * offset;
            let offset = Duration::from_secs_f64(offset);
            let remaining = f64::from(self.requests.count_after(offset, now));
            (remaining > available).then(|| {
                let wait = self
                    .requests
                    .time_until_at_most(available.max(0.0) as u32, now);
                wait.saturating_sub(offset)
            })
        });
        waits.max().or(request_wait)
    }
}
