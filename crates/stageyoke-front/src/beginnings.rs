//! Programs' first turns: whether one is begun now, and what its program shows of
//! what programs bear.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use stageyoke_directory::{Interpreter, KeyValueService, RouteKind, RouteTable};
use stageyoke_observe::RequestStory as Story;
use stageyoke_policy::bearable::{Bearable, BearablePaces, Turn};
use stageyoke_policy::turning_away::{Beginning, Load, turned_away};
use stageyoke_types::ErrorKind;
use stageyoke_types::hash::mix;
use tokio::time::Instant;

use crate::answer::Failure;
use crate::front::Front;
use crate::handler::Call;
use crate::history::Reservation;
use crate::placement::hash_text;

/// Programs that began at this front.
#[derive(Debug)]
pub struct Beginnings {
    started: Instant,
    bearable: RefCell<BearablePaces>,
}

impl Default for Beginnings {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            bearable: RefCell::default(),
        }
    }
}

impl Beginnings {
    fn begin(&self, program: &str, route: &str, allotted: Duration) {
        let mut bearable = self.bearable.borrow_mut();
        let now = self.started.elapsed();
        bearable.begin(hash_text(program), hash_text(route), allotted, now);
    }

    /// A turn ended whole at a service.
    pub fn turn_ended(&self, program: &str, service: &str, turn: &Turn) {
        let now = self.started.elapsed();
        let (program, service) = (hash_text(program), hash_text(service));
        let mut bearable = self.bearable.borrow_mut();
        bearable.turn_ended(program, service, turn, now);
    }

    fn pace(&self, service: &str) -> Option<f64> {
        let now = self.started.elapsed();
        self.bearable.borrow().pace(hash_text(service), now)
    }

    /// A request of this program failed or was refused.
    pub fn forget(&self, program: &str) {
        self.bearable.borrow_mut().forget(hash_text(program));
    }

    fn of_route(&self, route: &str) -> Option<Bearable> {
        self.bearable.borrow().of_kind(hash_text(route))
    }
}

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Refuses a program's first turn, which has not run, while engines have more to
    /// do than its kind of programs bears; otherwise the program begins.
    pub(crate) fn let_begin(
        &self,
        call: &Call,
        story: &mut Story,
        reservation: Option<&Reservation>,
    ) -> Result<(), Failure> {
        if !reservation.is_some_and(Reservation::begins_program) {
            return Ok(());
        }
        if let Some(after) = self.turned_away(call, story) {
            let cause = "turned_away";
            return Err(Failure::come_back(ErrorKind::Overloaded, cause, after));
        }
        let allotted = call.figures.finish.map(|finish| finish.left());
        let allotted = allotted.unwrap_or_default();
        let program = &call.kept.program;
        self.beginnings.begin(program, &call.route.name, allotted);
        Ok(())
    }

    fn turned_away(&self, call: &Call, story: &mut Story) -> Option<Duration> {
        let bearable = self.beginnings.of_route(&call.route.name)?;
        let load = Load {
            pace: self.beginnings.pace(&call.service.name)?,
            taken: self.fleet.taken_part(&call.service.name)?,
        };
        let priority = call.access.priority(&call.route);
        let view = self.mirror.view();
        let routes = view.routes.as_deref();
        let beginning = Beginning {
            program: mix(hash_text(&call.kept.program)),
            bears: bearable.pace,
            length: bearable.length,
            less_urgent: routes.map_or(0, |routes| {
                less_urgent(routes, &call.service.name, priority)
            }),
        };
        let after = turned_away(&beginning, &load);
        if after.is_some() {
            story.placement = format!(
                "pace={:.2} bears={:.2} taken={:.2} length={:?} less_urgent={}",
                load.pace, beginning.bears, load.taken, beginning.length, beginning.less_urgent
            );
        }
        after
    }
}

/// Kinds of turns on the same service that are less urgent.
fn less_urgent(routes: &RouteTable, service: &str, priority: u8) -> usize {
    let to_service = routes.routes.iter().filter(|route| {
        let mut targets = route.targets.iter();
        route.kind == RouteKind::Stream && targets.any(|target| target.service.as_str() == service)
    });
    let priorities: BTreeSet<u8> = to_service.map(|route| route.priority).collect();
    priorities.range(priority.saturating_add(1)..).count()
}
