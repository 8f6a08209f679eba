//! Programs' first turns: whether one begins now, by what all fronts have under way at
//! its service's engines (`stageyoke_policy::contention`).

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use stageyoke_directory::{Interpreter, KeyValueService, RouteKind};
use stageyoke_observe::{RequestSummary as Summary, metrics};
use stageyoke_policy::admission::{AdmissionDecision, EngineLoad};
use stageyoke_types::hash::{mix, to_unit_interval};
use stageyoke_types::{ErrorKind, Text};

use crate::failure::Failure;
use crate::front::Front;
use crate::handler::RequestContext;
use crate::placement::hash_text;

/// How long stores are asked whether a program has begun: a few ways to a store and back.
const ASK_WITHIN: Duration = Duration::from_millis(60);
/// Programs that a front remembers as begun, 40 bytes each; stores know the others.
const MAX_STARTED_PROGRAMS: usize = 4096;

/// Programs of which this front has lately offered a turn to an engine.
#[derive(Debug, Default)]
pub struct StartedPrograms {
    known: RefCell<HashSet<u64>>,
    order: RefCell<VecDeque<u64>>,
}

impl StartedPrograms {
    /// A turn of the program is offered to an engine.
    pub fn record(&self, program: &str) {
        let key = hash_text(program);
        if !self.known.borrow_mut().insert(key) {
            return;
        }
        let mut order = self.order.borrow_mut();
        order.push_back(key);
        if order.len() > MAX_STARTED_PROGRAMS
            && let Some(oldest) = order.pop_front()
        {
            self.known.borrow_mut().remove(&oldest);
        }
    }

    /// Whether a turn of it was offered.
    pub fn has_started(&self, program: &str) -> bool {
        self.known.borrow().contains(&hash_text(program))
    }

    /// Programs that are remembered.
    pub fn len(&self) -> usize {
        self.known.borrow().len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.known.borrow().is_empty()
    }
}

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Turns away a program's first turn while engines have no room for it: before
    /// anything is reserved or counted for it, so that it has not run. Where the counts
    /// are not known, or no store can tell whether the program has begun, it goes on.
    pub(crate) async fn admit_program(
        &self,
        context: &RequestContext,
        summary: &mut Summary,
    ) -> Result<(), Failure> {
        let program = &context.identifiers.program;
        if !self.may_reject(context) || self.started_programs.has_started(program) {
            return Ok(());
        }
        let Some(contention) = self.contention(context) else {
            return Ok(());
        };
        let order = to_unit_interval(mix(hash_text(program)));
        let AdmissionDecision::Rejected(after) = contention.decide(order) else {
            return Ok(());
        };
        let started = self.history.stores.has_started(program, ASK_WITHIN).await;
        summary.placement = describe(&contention, order, started);
        if started != Some(false) {
            return Ok(());
        }
        metrics().rejected_turns.inc();
        let cause = "no_room_to_begin";
        Err(Failure::retryable(ErrorKind::Overloaded, cause, after))
    }

    /// Whether the operator has first turns limited, and this may be one whose program
    /// the stores know.
    fn may_reject(&self, context: &RequestContext) -> bool {
        let parameters = &context.parameters;
        self.admission_control
            && context.service.engine.is_some()
            && context.route.kind == RouteKind::Stream
            && parameters.budget.is_some()
            && parameters.previous.is_none()
            && !parameters.program.is_empty()
    }

    fn contention(&self, context: &RequestContext) -> Option<EngineLoad> {
        let ranked = context.outbound.ranked?;
        Some(EngineLoad {
            slots: self.registry.total_slots(&context.service.name),
            competing_turns: self.registry.load().ranks.in_flight_at_or_above(ranked)?,
        })
    }
}

fn describe(contention: &EngineLoad, order: f64, started: Option<bool>) -> String {
    let EngineLoad {
        slots: places,
        competing_turns: as_urgent,
    } = contention;
    let share = contention.admitted_share();
    let started = match started {
        Some(true) => "yes",
        Some(false) => "no",
        None => "unknown",
    };
    format!(
        "places={places} as_urgent={as_urgent} share={share:.2} order={order:.2} begun={started}"
    )
}

/// The short number of a service, as fronts and stores tell it.
pub fn service_hash(service: &Text) -> u32 {
    mix(hash_text(service)) as u32
}
