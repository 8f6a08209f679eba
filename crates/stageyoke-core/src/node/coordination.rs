//! The node's duty as coordinator of some engines' queues.

use stageyoke_types::{EngineId, NodeId, RequestId, Time};

use super::{Node, Output};
use crate::coordinator::{EngineQueue, QueueSettings, SlotMessage};
use crate::fault::FaultPoint;
use crate::message::PeerMessage;

impl Node {
    /// Sends a gateway's wish to whoever looks after the engine now.
    pub(super) fn send_slot(
        &mut self,
        engine: &EngineId,
        message: SlotMessage,
        now: Time,
        output: &mut Vec<Output>,
    ) {
        let zone = self
            .gateway
            .engines
            .records()
            .find(|record| record.id == *engine)
            .map(|record| record.zone.clone())
            .unwrap_or_default();
        let coordinator = self.placement.coordinator(&engine.0, &zone);
        if let Some(coordinator) = coordinator {
            self.send(coordinator, PeerMessage::Slot(message), now, output);
        }
    }

    pub(super) fn receive_slot(
        &mut self,
        message: SlotMessage,
        now: Time,
        output: &mut Vec<Output>,
    ) {
        let mut answers = Vec::new();
        match message {
            SlotMessage::Request {
                engine,
                ticket,
                class,
                attained,
                ..
            } => {
                if !self.queues.contains_key(&engine) {
                    output.push(Output::ProbeEngine(engine.clone()));
                }
                let queue = self.queue_of(engine);
                queue.request(ticket, class, attained, now, &mut answers);
            }
            SlotMessage::Release { engine, ticket } => {
                self.queue_of(engine).release(ticket, now, &mut answers);
            }
            answer => {
                let mut news = Vec::new();
                self.gateway.slot(answer, &self.placement, now, &mut news);
                self.carry_out_gateway(news, now, output);
            }
        }
        self.send_answers(answers, now, output);
    }

    pub(super) fn tick_queues(&mut self, now: Time, output: &mut Vec<Output>) {
        let table = self.membership.table();
        let runs =
            |node: NodeId, request: RequestId| table.life_may_run(node, request.incarnation());
        let mut answers = Vec::new();
        for queue in self.queues.values_mut() {
            queue.tick(now, &runs, &mut answers);
        }
        self.queues.retain(|_, queue| queue.is_needed(now));
        self.send_answers(answers, now, output);
    }

    pub(super) fn configure_queues(&mut self) {
        let engines: Vec<EngineId> = self.queues.keys().cloned().collect();
        for engine in engines {
            let settings = self.settings_of(&engine);
            if let Some(queue) = self.queues.get_mut(&engine) {
                queue.configure(settings);
            }
        }
    }

    fn settings_of(&self, engine: &EngineId) -> QueueSettings {
        let mut records = self.gateway.engines.records();
        let record = records.find(|record| record.id == *engine);
        QueueSettings {
            slots: record.map_or(self.queue_settings.slots, |record| record.slots),
            ..self.queue_settings
        }
    }

    /// An engine told its coordinator that it leaves, or that it stays.
    pub(super) fn engine_report(
        &mut self,
        engine: &EngineId,
        leaving: bool,
        now: Time,
        output: &mut Vec<Output>,
    ) {
        self.gateway.engines.set_leaving(engine, leaving);
        let ignore = self.settings.faults.is_set(FaultPoint::IgnoreLeaving);
        let mut answers = Vec::new();
        self.queue_of(engine.clone())
            .note_report(leaving && !ignore, now, &mut answers);
        self.send_answers(answers, now, output);
    }

    fn queue_of(&mut self, engine: EngineId) -> &mut EngineQueue {
        let settings = self.settings_of(&engine);
        let queue = self.queues.entry(engine);
        queue.or_insert_with(|| EngineQueue::new(settings))
    }

    fn send_answers(&mut self, answers: Vec<SlotMessage>, now: Time, output: &mut Vec<Output>) {
        for answer in answers {
            let gateway = answer.ticket().gateway;
            self.send(gateway, PeerMessage::Slot(answer), now, output);
        }
    }
}
