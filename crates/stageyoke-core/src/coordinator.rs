//! The queue in front of each engine. One node per engine hands out its slots;
//! gateways ask before they send. Its knowledge is rebuilt from requests after
//! it dies, and wrong knowledge only costs time: the engine batches whatever
//! it is sent, and no promise rests on a slot.

use std::collections::BTreeMap;

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{Attempt, EngineId, NodeId, ProgramKey, RequestId, Time};

/// Priority classes, 0 the most urgent.
pub const CLASSES: usize = 4;
/// A waiting request that is not renewed for this long is dropped, in milliseconds.
const REQUEST_EXPIRY_MS: Time = 3_000;
/// A grant that is not renewed or released for this long is dropped, in milliseconds.
const GRANT_EXPIRY_MS: Time = 600_000;
/// How long calls wait for a report of an engine that has given none lately,
/// in milliseconds.
const REPORT_PATIENCE_MS: Time = 1_500;
/// How long a report is relied on, in milliseconds.
const REPORT_LIFETIME_MS: Time = 2_500;
/// Weight of the latest sample in the mean service time, as a fraction.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Mean service time before any sample, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 500.0;

/// Order in which waiting calls get slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Order of arrival, whatever the class.
    FirstCome,
    /// Most urgent class first, order of arrival within it.
    ClassPriority,
    /// Most urgent class first, then the program that was served least; a call
    /// that has waited long moves up a class.
    #[default]
    LeastAttained,
}

/// Settings of one engine's queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueSettings {
    /// Calls sent to the engine at once.
    pub slots: usize,
    /// Calls that may wait, all classes together.
    pub queue_limit: usize,
    /// Order of service.
    pub order: QueueOrder,
    /// Waiting time after which a call counts as one class more urgent, ms.
    pub ageing_ms: Time,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            queue_limit: 512,
            order: QueueOrder::default(),
            ageing_ms: 20_000,
        }
    }
}

/// Names one wish for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub struct Ticket {
    /// Gateway.
    pub gateway: NodeId,
    /// Its request.
    pub request: RequestId,
    /// Its try.
    pub attempt: Attempt,
}

/// Messages between gateways and coordinators.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum SlotMessage {
    /// Asks for a slot; repeated until answered.
    Request {
        /// Engine.
        engine: EngineId,
        /// Wish.
        ticket: Ticket,
        /// Program.
        program: ProgramKey,
        /// Priority class.
        class: u8,
        /// Tokens that the program's calls have used so far.
        attained: u64,
    },
    /// The gateway may send the call.
    Granted {
        /// Wish.
        ticket: Ticket,
        /// Expected wait of a further call of the same class, ms.
        expected_wait_ms: u32,
    },
    /// The call waits.
    Waiting {
        /// Wish.
        ticket: Ticket,
        /// Expected wait, ms.
        expected_wait_ms: u32,
    },
    /// There is no room; the call was not and will not be granted.
    Refused {
        /// Wish.
        ticket: Ticket,
        /// When to come back, ms.
        expected_wait_ms: u32,
        /// The engine is leaving and takes nothing new from anyone.
        leaving: bool,
    },
    /// Returns a slot, or withdraws a wish.
    Release {
        /// Engine.
        engine: EngineId,
        /// Wish.
        ticket: Ticket,
    },
}

impl SlotMessage {
    /// The wish that the message is about.
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::Request { ticket, .. }
            | Self::Granted { ticket, .. }
            | Self::Waiting { ticket, .. }
            | Self::Refused { ticket, .. }
            | Self::Release { ticket, .. } => *ticket,
        }
    }
}

#[derive(Clone, Debug)]
struct Waiting {
    class: u8,
    attained: u64,
    arrival: u64,
    since: Time,
    renewed_at: Time,
}

#[derive(Clone, Debug)]
struct Granted {
    at: Time,
    class: u8,
}

/// The queue of one engine.
#[derive(Clone, Debug)]
pub struct EngineQueue {
    settings: QueueSettings,
    waiting: BTreeMap<Ticket, Waiting>,
    granted: BTreeMap<Ticket, Granted>,
    arrivals: u64,
    service_ms: f64,
    leaving: bool,
    reported_at: Option<Time>,
}

impl EngineQueue {
    /// An empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            waiting: BTreeMap::new(),
            granted: BTreeMap::new(),
            arrivals: 0,
            service_ms: INITIAL_SERVICE_MS,
            leaving: false,
            reported_at: None,
        }
    }

    /// Changes the settings; calls that wait or run are not affected.
    pub fn configure(&mut self, settings: QueueSettings) {
        self.settings = settings;
    }

    /// Calls that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// True while there is something to remember.
    pub fn is_needed(&self, now: Time) -> bool {
        let reports = self
            .reported_at
            .is_some_and(|at| now < at + REPORT_LIFETIME_MS);
        reports || !self.waiting.is_empty() || !self.granted.is_empty()
    }

    /// Calls that hold a slot.
    pub fn granted_count(&self) -> usize {
        self.granted.len()
    }

    /// Handles a wish, which may be a repeat. Output goes to the gateways.
    pub fn request(
        &mut self,
        ticket: Ticket,
        class: u8,
        attained: u64,
        now: Time,
        output: &mut Vec<SlotMessage>,
    ) {
        if self.granted.contains_key(&ticket) {
            output.push(self.granted_message(ticket, class));
            return;
        }
        if let Some(waiting) = self.waiting.get_mut(&ticket) {
            waiting.renewed_at = now;
            output.push(self.waiting_message(ticket, class));
            return;
        }
        self.arrivals += 1;
        let waiting = Waiting {
            class,
            attained,
            arrival: self.arrivals,
            since: now,
            renewed_at: now,
        };
        self.waiting.insert(ticket, waiting);
        self.grant(now, output);
        self.refuse_overflow(now, output);
        if self.waiting.contains_key(&ticket) {
            output.push(self.waiting_message(ticket, class));
        }
    }

    /// Takes a slot back, or a wish.
    pub fn release(&mut self, ticket: Ticket, now: Time, output: &mut Vec<SlotMessage>) {
        if let Some(granted) = self.granted.remove(&ticket) {
            let sample = now.saturating_sub(granted.at) as f64;
            self.service_ms += (sample - self.service_ms) * SERVICE_TIME_WEIGHT;
        }
        self.waiting.remove(&ticket);
        self.grant(now, output);
    }

    /// Lets time pass: drops what is no longer asked for, and what belongs to
    /// gateways that stopped.
    pub fn tick(
        &mut self,
        now: Time,
        gateway_runs: &dyn Fn(NodeId, RequestId) -> bool,
        output: &mut Vec<SlotMessage>,
    ) {
        self.waiting.retain(|ticket, waiting| {
            now < waiting.renewed_at + REQUEST_EXPIRY_MS
                && gateway_runs(ticket.gateway, ticket.request)
        });
        self.granted.retain(|ticket, granted| {
            now < granted.at + GRANT_EXPIRY_MS && gateway_runs(ticket.gateway, ticket.request)
        });
        self.refuse_unreported(now, output);
        self.grant(now, output);
    }

    /// Expected wait of a new call of a class, in milliseconds.
    pub fn expected_wait_ms(&self, class: u8) -> u32 {
        let slots = self.settings.slots.max(1) as f64;
        let ahead = self
            .waiting
            .values()
            .filter(|waiting| {
                self.settings.order == QueueOrder::FirstCome || waiting.class <= class
            })
            .count() as f64;
        let free = self.settings.slots.saturating_sub(self.granted.len());
        if free > 0 && ahead < free as f64 {
            return 0;
        }
        ((ahead + 1.0) * self.service_ms / slots) as u32
    }

    fn grant(&mut self, now: Time, output: &mut Vec<SlotMessage>) {
        if !self.may_grant(now) {
            return;
        }
        while self.granted.len() < self.settings.slots {
            let Some(ticket) = self.next(now) else {
                return;
            };
            let Some(waiting) = self.waiting.remove(&ticket) else {
                return;
            };
            let granted = Granted {
                at: now,
                class: waiting.class,
            };
            self.granted.insert(ticket, granted);
            output.push(self.granted_message(ticket, waiting.class));
        }
    }

    /// The waiting call to serve next.
    fn next(&self, now: Time) -> Option<Ticket> {
        let best = self
            .waiting
            .iter()
            .min_by_key(|(_, waiting)| self.rank(waiting, now));
        best.map(|(ticket, _)| *ticket)
    }

    /// The call to refuse first when too many wait: the least urgent.
    fn last(&self, now: Time) -> Option<Ticket> {
        let worst = self
            .waiting
            .iter()
            .max_by_key(|(_, waiting)| self.rank(waiting, now));
        worst.map(|(ticket, _)| *ticket)
    }

    fn rank(&self, waiting: &Waiting, now: Time) -> (u8, u64, u64) {
        match self.settings.order {
            QueueOrder::FirstCome => (0, 0, waiting.arrival),
            QueueOrder::ClassPriority => (waiting.class, 0, waiting.arrival),
            QueueOrder::LeastAttained => {
                let waited = now.saturating_sub(waiting.since);
                let promotions = waited / self.settings.ageing_ms.max(1);
                let class = u64::from(waiting.class).saturating_sub(promotions);
                (class as u8, waiting.attained, waiting.arrival)
            }
        }
    }

    fn refuse_overflow(&mut self, now: Time, output: &mut Vec<SlotMessage>) {
        let limit = if self.leaving {
            0
        } else {
            self.settings.queue_limit
        };
        while self.waiting.len() > limit {
            let Some(ticket) = self.last(now) else {
                return;
            };
            let class = self
                .waiting
                .remove(&ticket)
                .map_or(0, |waiting| waiting.class);
            output.push(SlotMessage::Refused {
                ticket,
                expected_wait_ms: self.expected_wait_ms(class),
                leaving: self.leaving,
            });
        }
    }

    /// The engine reported on itself. While it leaves, whatever waits is
    /// refused, and so is whatever comes.
    pub fn note_report(&mut self, leaving: bool, now: Time, output: &mut Vec<SlotMessage>) {
        self.leaving = leaving;
        self.reported_at = Some(now);
        self.refuse_overflow(now, output);
        self.grant(now, output);
    }

    /// Slots are only handed out while the engine's last report is recent: one
    /// that cannot be asked may be leaving, or be gone.
    fn may_grant(&self, now: Time) -> bool {
        let is_recent = self
            .reported_at
            .is_some_and(|at| now < at + REPORT_LIFETIME_MS);
        is_recent && !self.leaving
    }

    /// Refuses whatever has waited too long for an engine that does not report.
    fn refuse_unreported(&mut self, now: Time, output: &mut Vec<SlotMessage>) {
        if self.may_grant(now) {
            return;
        }
        let leaving = self.leaving;
        self.waiting.retain(|ticket, waiting| {
            let patient = now < waiting.since + REPORT_PATIENCE_MS;
            if !patient {
                output.push(SlotMessage::Refused {
                    ticket: *ticket,
                    expected_wait_ms: REPORT_LIFETIME_MS as u32,
                    leaving,
                });
            }
            patient
        });
    }

    fn granted_message(&self, ticket: Ticket, class: u8) -> SlotMessage {
        SlotMessage::Granted {
            ticket,
            expected_wait_ms: self.expected_wait_ms(class),
        }
    }

    fn waiting_message(&self, ticket: Ticket, class: u8) -> SlotMessage {
        SlotMessage::Waiting {
            ticket,
            expected_wait_ms: self.expected_wait_ms(class),
        }
    }

    /// Slots held by each class.
    pub fn granted_by_class(&self) -> [usize; CLASSES] {
        let mut counts = [0; CLASSES];
        for granted in self.granted.values() {
            let class = usize::from(granted.class).min(CLASSES - 1);
            counts[class] += 1;
        }
        counts
    }
}
