//! Programs' first turns: whether one begins now, by what all fronts have under way at
//! its service's engines (`stageyoke_policy::contention`).

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use stageyoke_directory::{Interpreter, KeyValueService, RouteKind};
use stageyoke_observe::{RequestStory as Story, metrics};
use stageyoke_policy::admission::{AdmissionDecision, EngineLoad};
use stageyoke_types::hash::{mix, unit};
use stageyoke_types::{ErrorKind, Text};

use crate::answer::Failure;
use crate::front::Front;
use crate::handler::Call;
use crate::placement::hash_text;

/// How long stores are asked whether a program has begun: a few ways to a store and back.
const ASK_WITHIN: Duration = Duration::from_millis(60);
/// Programs that a front remembers as begun, 40 bytes each; stores know the others.
const MOST_REMEMBERED: usize = 4096;

/// Programs of which this front has lately offered a turn to an engine.
#[derive(Debug, Default)]
pub struct BegunPrograms {
    known: RefCell<HashSet<u64>>,
    order: RefCell<VecDeque<u64>>,
}

impl BegunPrograms {
    /// A turn of the program is offered to an engine.
    pub fn note(&self, program: &str) {
        let key = hash_text(program);
        if !self.known.borrow_mut().insert(key) {
            return;
        }
        let mut order = self.order.borrow_mut();
        order.push_back(key);
        if order.len() > MOST_REMEMBERED
            && let Some(oldest) = order.pop_front()
        {
            self.known.borrow_mut().remove(&oldest);
        }
    }

    /// Whether a turn of it was offered.
    pub fn knows(&self, program: &str) -> bool {
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
    pub(crate) async fn let_begin(&self, call: &Call, story: &mut Story) -> Result<(), Failure> {
        let program = &call.kept.program;
        if !self.may_turn_away(call) || self.begun.knows(program) {
            return Ok(());
        }
        let Some(contention) = self.contention(call) else {
            return Ok(());
        };
        let order = unit(mix(hash_text(program)));
        let AdmissionDecision::Rejected(after) = contention.decide(order) else {
            return Ok(());
        };
        let begun = self.history.stores.has_started(program, ASK_WITHIN).await;
        story.placement = describe(&contention, order, begun);
        if begun != Some(false) {
            return Ok(());
        }
        metrics().turned_away.inc();
        let cause = "no_room_to_begin";
        Err(Failure::come_back(ErrorKind::Overloaded, cause, after))
    }

    /// Whether the operator has first turns limited, and this may be one whose program
    /// the stores know.
    fn may_turn_away(&self, call: &Call) -> bool {
        let figures = &call.figures;
        self.admission_control
            && call.service.engine.is_some()
            && call.route.kind == RouteKind::Stream
            && figures.budget.is_some()
            && figures.previous.is_none()
            && !figures.program.is_empty()
    }

    fn contention(&self, call: &Call) -> Option<EngineLoad> {
        let ranked = call.outbound.ranked?;
        Some(EngineLoad {
            slots: self.fleet.places(&call.service.name),
            competing_turns: self.fleet.load().ranks.in_flight_at_or_above(ranked)?,
        })
    }
}

fn describe(contention: &EngineLoad, order: f64, begun: Option<bool>) -> String {
    let EngineLoad {
        slots: places,
        competing_turns: as_urgent,
    } = contention;
    let share = contention.admitted_share();
    let begun = match begun {
        Some(true) => "yes",
        Some(false) => "no",
        None => "unknown",
    };
    format!("places={places} as_urgent={as_urgent} share={share:.2} order={order:.2} begun={begun}")
}

/// The short number of a service, as fronts and stores tell it.
pub fn service_number(service: &Text) -> u32 {
    mix(hash_text(service)) as u32
}
