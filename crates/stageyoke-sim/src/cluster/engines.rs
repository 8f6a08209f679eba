//! Engines of the cluster: attempts, their answers, crashes and reports.

use super::*;

impl Cluster {
    pub(super) fn start_attempt(&mut self, machine: usize, order: AttemptOrder) {
        let engine = order.engine.clone();
        let order = Box::new(order);
        let arrive = Happening::EngineArrive {
            engine,
            machine,
            order,
        };
        self.schedule.add(self.now + 1, arrive);
    }

    pub(super) fn engine_arrive(
        &mut self,
        engine_id: EngineId,
        machine: usize,
        order: AttemptOrder,
    ) {
        let id = AttemptId {
            gateway: self.machines[machine].id,
            request: order.request,
            attempt: order.attempt,
        };
        let Some(engine) = self.engines.get_mut(&engine_id) else {
            return;
        };
        if engine.down {
            self.attempt_ended(machine, id, AttemptResult::NotSent);
            return;
        }
        engine.held.insert(order.program.clone());
        engine.running.insert(id, order.clone());
        self.observe(Observation::EngineRan {
            engine: engine_id.clone(),
            attempt: id,
            program: order.program.clone(),
            call: order.call,
            prompt: order.messages.0,
        });
        let (least, most) = self.settings.service_ms;
        let service = self.random.random_range(least..=most);
        let done = Happening::EngineDone {
            engine: engine_id,
            id,
            machine,
        };
        self.schedule.add(self.now + service, done);
    }

    pub(super) fn engine_done(&mut self, engine: &EngineId, id: AttemptId, machine: usize) {
        let order = self
            .engines
            .get_mut(engine)
            .and_then(|engine| engine.running.remove(&id));
        let Some(order) = order else {
            return;
        };
        let result = AttemptResult::Finished {
            answer: Text::from(answer_to(&order.messages)),
            truncated: false,
            usage: usage_of(&order.messages),
        };
        let doubled = self.random.random_bool(self.network.duplicate);
        if doubled {
            self.attempt_ended(machine, id, result.clone());
        }
        self.attempt_ended(machine, id, result);
    }

    pub(super) fn cancel_attempt(&mut self, machine: usize, id: AttemptId) {
        let order = self
            .engines
            .values_mut()
            .find_map(|engine| engine.running.remove(&id));
        if order.is_some() {
            let usage = Usage::default();
            self.attempt_ended(machine, id, AttemptResult::Cancelled { usage });
        }
    }

    pub(super) fn attempt_ended(&mut self, machine: usize, id: AttemptId, result: AttemptResult) {
        if self.machines[machine].id != id.gateway {
            return;
        }
        let input = Box::new(Input::AttemptEnded {
            request: id.request,
            attempt: id.attempt,
            result,
        });
        let arrive = Happening::Arrive { machine, input };
        self.schedule.add(self.now + 1, arrive);
    }

    pub(super) fn crash_engine(&mut self, number: usize) {
        let id = engine_id(number);
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        let running = engine.running.clone();
        for attempt in engine.crash() {
            let Some(machine) = self.index_of.get(&attempt.gateway).copied() else {
                continue;
            };
            let usage = Usage::default();
            self.attempt_ended(machine, attempt, AttemptResult::Broken { usage });
            self.send_crossed_answer(machine, attempt, running.get(&attempt));
        }
    }

    /// A broken attempt's answer may still come, cut short and late.
    pub(super) fn send_crossed_answer(
        &mut self,
        machine: usize,
        id: AttemptId,
        order: Option<&AttemptOrder>,
    ) {
        let Some(order) = order else {
            return;
        };
        let whole = answer_to(&order.messages);
        let result = AttemptResult::Finished {
            answer: Text::from(&whole[..whole.len() / 2]),
            truncated: false,
            usage: usage_of(&order.messages),
        };
        let input = Box::new(Input::AttemptEnded {
            request: id.request,
            attempt: id.attempt,
            result,
        });
        let arrive = Happening::Arrive { machine, input };
        self.schedule.add(self.now + CROSSED_ANSWER_MS, arrive);
    }

    pub(super) fn announce_leaving(&mut self, id: EngineId) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        if engine.leaving_since.replace(now).is_some() {
            return;
        }
        self.observe(Observation::EngineLeaving { engine: id.clone() });
    }

    /// A coordinator asks its engines for their state.
    pub(super) fn poll_engines(&mut self, index: usize) {
        let Some(node) = &self.machines[index].node else {
            return;
        };
        for engine in node.coordinated_engines().to_vec() {
            self.report_engine(index, engine);
        }
    }

    /// An engine that runs reports on itself.
    pub(super) fn report_engine(&mut self, index: usize, engine: EngineId) {
        let Some(state) = self.engines.get(&engine) else {
            return;
        };
        if state.down {
            return;
        }
        let leaving = state.leaving_since.is_some();
        let input = Box::new(Input::EngineReport { engine, leaving });
        let arrive = Happening::Arrive {
            machine: index,
            input,
        };
        self.schedule.add(self.now + 1, arrive);
    }
}
