//! Admission control for new programs: rejects a program's first turn while the service's
//! engines are overloaded, judged by the requests that all fronts have in flight
//! (`stageyoke_policy::admission`).

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use stageyoke_directory::{Interpreter, KeyValueService, RouteKind};
use stageyoke_observe::{RequestSummary, metrics};
use stageyoke_policy::admission::{AdmissionDecision, EngineLoad};
use stageyoke_types::hash::{mix, to_unit_interval};
use stageyoke_types::{ErrorKind, Text};

use crate::failure::Failure;
use crate::front::Front;
use crate::handler::RequestContext;
use crate::placement::hash_text;

/// Timeout for asking the stores whether a program has started: a few round trips.
const STORE_QUERY_TIMEOUT: Duration = Duration::from_millis(60);
/// Programs retained in memory, at 40 bytes each. The stores know about evicted ones.
const MAX_STARTED_PROGRAMS: usize = 4096;

/// Bounded set of programs whose turns this front recently dispatched to an engine.
#[derive(Debug, Default)]
pub struct StartedPrograms {
    programs: RefCell<HashSet<u64>>,
    insertion_order: RefCell<VecDeque<u64>>,
}

impl StartedPrograms {
    /// Marks the program as started, evicting the oldest entry when the set is full.
    pub fn record(&self, program: &str) {
        let key = hash_text(program);
        if !self.programs.borrow_mut().insert(key) {
            return;
        }
        let mut order = self.insertion_order.borrow_mut();
        order.push_back(key);
        if order.len() > MAX_STARTED_PROGRAMS
            && let Some(oldest) = order.pop_front()
        {
            self.programs.borrow_mut().remove(&oldest);
        }
    }

    /// Returns whether the program is in the set; an evicted program is not.
    pub fn has_started(&self, program: &str) -> bool {
        self.programs.borrow().contains(&hash_text(program))
    }

    /// Returns the number of retained programs.
    pub fn len(&self) -> usize {
        self.programs.borrow().len()
    }

    /// Returns whether no program is retained.
    pub fn is_empty(&self) -> bool {
        self.programs.borrow().is_empty()
    }
}

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Rejects a program's first turn while engines have no free capacity for it. This runs
    /// before anything is reserved or counted, so a rejected turn has had no effect. The
    /// turn is admitted if load counts are missing or no store can tell whether the program
    /// has started.
    pub(crate) async fn admit_program(
        &self,
        context: &RequestContext,
        summary: &mut RequestSummary,
    ) -> Result<(), Failure> {
        let program = &context.identifiers.program;
        if !self.may_reject(context) || self.started_programs.has_started(program) {
            return Ok(());
        }
        let Some(load) = self.measure_engine_load(context) else {
            return Ok(());
        };
        let order = to_unit_interval(mix(hash_text(program)));
        let AdmissionDecision::Rejected(after) = load.decide(order) else {
            return Ok(());
        };
        let started = self
            .history
            .stores
            .has_started(program, STORE_QUERY_TIMEOUT)
            .await;
        summary.placement = describe_engine_load(&load, order, started);
        if started != Some(false) {
            return Ok(());
        }
        metrics().rejected_turns.inc();
        let cause = "no_room_to_begin";
        Err(Failure::retryable(ErrorKind::Overloaded, cause, after))
    }

    /// Returns whether admission control applies to this request: it is enabled, and the
    /// request is a streaming engine turn that could be its program's first.
    fn may_reject(&self, context: &RequestContext) -> bool {
        let parameters = &context.parameters;
        self.admission_control
            && context.service.engine.is_some()
            && context.route.kind == RouteKind::Stream
            && parameters.budget.is_some()
            && parameters.previous.is_none()
            && !parameters.program.is_empty()
    }

    fn measure_engine_load(&self, context: &RequestContext) -> Option<EngineLoad> {
        let ranked = context.outbound.ranked?;
        Some(EngineLoad {
            slots: self.registry.total_slots(&context.service.name),
            competing_turns: self.registry.load().ranks.in_flight_at_or_above(ranked)?,
        })
    }
}

fn describe_engine_load(load: &EngineLoad, order: f64, started: Option<bool>) -> String {
    let EngineLoad {
        slots,
        competing_turns,
    } = load;
    let share = load.admitted_share();
    let started = match started {
        Some(true) => "yes",
        Some(false) => "no",
        None => "unknown",
    };
    format!(
        "places={slots} as_urgent={competing_turns} share={share:.2} order={order:.2} begun={started}"
    )
}

/// Hashes a service name to the 32-bit identifier used in load reports between fronts and
/// stores.
pub fn service_hash(service: &Text) -> u32 {
    mix(hash_text(service)) as u32
}
