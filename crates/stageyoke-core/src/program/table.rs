//! All programs of one shard, and how each command changes them.

use std::collections::BTreeMap;

use nanoserde::{DeBin, DeBinErr, SerBin};
use stageyoke_types::{CallNumber, EngineId, ErrorKind, List, NodeId, ProgramKey, RequestId, Time};

use super::command::{
    AbandonCall, AbandonCause, CallOutcome, Command, EndReason, FinishCall, Message, MessageRole,
    Usage,
};
use super::state::{Call, CallState, CallStatus, KeyedOutcome, Program};
use crate::fault::{FaultPoint, Faults};

/// How long an ended program can still be looked at, in milliseconds.
const ENDED_RETENTION_MS: Time = 60_000;

/// What applying one command brought about.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// Tell a gateway about its request.
    Tell {
        /// Gateway.
        gateway: NodeId,
        /// Its request.
        request: RequestId,
        /// News.
        status: CallStatus,
    },
    /// Tell a gateway to cancel a call whose program ended.
    Cancel {
        /// Gateway.
        gateway: NodeId,
        /// Its request.
        request: RequestId,
    },
    /// A call was closed with an unknown outcome.
    ClosedUnknown {
        /// Program.
        program: ProgramKey,
        /// Call.
        call: CallNumber,
    },
    /// Tell an engine to drop what it holds for a program.
    Release {
        /// Engine.
        engine: EngineId,
        /// Program.
        program: ProgramKey,
    },
}

/// The replicated state of one shard.
#[derive(Clone, Debug, Default)]
pub struct ProgramTable {
    pub(super) programs: BTreeMap<ProgramKey, Program>,
    pub(super) faults: Faults,
}

#[derive(SerBin, DeBin)]
struct TableEntry {
    key: ProgramKey,
    program: Program,
}

impl ProgramTable {
    /// An empty table.
    pub fn new(faults: Faults) -> Self {
        Self {
            programs: BTreeMap::new(),
            faults,
        }
    }

    /// Encodes the whole table.
    pub fn encode(&self) -> Vec<u8> {
        let entries: List<TableEntry> = self
            .programs
            .iter()
            .map(|(key, program)| TableEntry {
                key: key.clone(),
                program: program.clone(),
            })
            .collect();
        entries.serialize_bin()
    }

    /// Decodes a table; nothing at all is an empty one.
    pub fn decode(bytes: &[u8], faults: Faults) -> Result<Self, DeBinErr> {
        if bytes.is_empty() {
            return Ok(Self::new(faults));
        }
        let entries = List::<TableEntry>::deserialize_bin(bytes)?;
        let programs = entries.into_iter().map(|entry| (entry.key, entry.program));
        Ok(Self {
            programs: programs.collect(),
            faults,
        })
    }

    /// All programs, ended ones included.
    pub fn programs(&self) -> impl Iterator<Item = (&ProgramKey, &Program)> {
        self.programs.iter()
    }

    /// One program.
    pub fn get(&self, key: &ProgramKey) -> Option<&Program> {
        self.programs.get(key)
    }

    /// True if the program exists and has not ended.
    pub fn is_alive(&self, key: &ProgramKey) -> bool {
        self.programs
            .get(key)
            .is_some_and(|program| program.ended.is_none())
    }

    /// Applies one committed command.
    pub fn apply(&mut self, command: Command) -> Vec<Applied> {
        match command {
            Command::Begin(begin) => {
                let (gateway, request) = (begin.gateway, begin.request);
                let status = self.begin(begin);
                vec![Applied::Tell {
                    gateway,
                    request,
                    status,
                }]
            }
            Command::Finish(finish) => self.finish(finish),
            Command::Abandon(abandon) => self.abandon(abandon),
            Command::End {
                program,
                reason,
                now,
            } => self.end(&program, reason, now),
            Command::Expire { now } => {
                self.expire(now);
                Vec::new()
            }
        }
    }

    /// Calls `change` for a program and each of its ancestors that exists.
    pub(super) fn for_each_in_path(&mut self, key: &ProgramKey, change: impl Fn(&mut Program)) {
        let mut current = Some(key.clone());
        while let Some(key) = current {
            if let Some(program) = self.programs.get_mut(&key) {
                change(program);
            }
            current = key.parent();
        }
    }

    fn finish(&mut self, finish: FinishCall) -> Vec<Applied> {
        let (gateway, request) = (finish.gateway, finish.request);
        let tell = |status| Applied::Tell {
            gateway,
            request,
            status,
        };
        let Some(program) = self.programs.get(&finish.program) else {
            return vec![tell(CallStatus::Superseded)];
        };
        let is_open = program
            .open
            .get(&finish.call)
            .is_some_and(|call| call.state == CallState::Running && call.gateway == gateway);
        if !is_open {
            let closed = program.find_closed(gateway, request);
            let recorded = closed.is_some_and(|closed| closed.accepted);
            return vec![tell(if recorded {
                CallStatus::Recorded
            } else {
                CallStatus::Superseded
            })];
        }
        let mut news = vec![tell(CallStatus::Recorded)];
        self.close_call(
            &finish.program,
            finish.call,
            finish.outcome,
            true,
            finish.now,
            &mut news,
        );
        news
    }

    fn abandon(&mut self, abandon: AbandonCall) -> Vec<Applied> {
        let withdrawn = Applied::Tell {
            gateway: abandon.gateway,
            request: abandon.request,
            status: CallStatus::Withdrawn,
        };
        let mut news = vec![withdrawn];
        let found = self
            .programs
            .get(&abandon.program)
            .and_then(|program| program.find_request(abandon.gateway, abandon.request))
            .map(|call| (call.number, call.state, call.repeatable));
        let Some((number, state, repeatable)) = found else {
            return news;
        };
        let was_running = state == CallState::Running;
        let may_have_run = was_running && abandon.cause == AbandonCause::GatewayLost;
        let forget = repeatable || self.faults.is_set(FaultPoint::RepeatUnknown);
        let outcome = match (may_have_run, forget) {
            (false, _) => CallOutcome::NotRun {
                kind: ErrorKind::Cancelled,
            },
            (true, true) => CallOutcome::Failed {
                kind: ErrorKind::Cancelled,
                usage: Usage::default(),
            },
            (true, false) => CallOutcome::Unknown,
        };
        self.close_call(
            &abandon.program,
            number,
            outcome,
            false,
            abandon.now,
            &mut news,
        );
        news
    }

    /// Closes an open call: settles the ledgers, extends the history, keeps
    /// the outcome for its key, and starts the next call in order.
    fn close_call(
        &mut self,
        key: &ProgramKey,
        number: CallNumber,
        outcome: CallOutcome,
        accepted: bool,
        now: Time,
        news: &mut Vec<Applied>,
    ) {
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        let Some(call) = program.open.remove(&number) else {
            return;
        };
        program.touched_at = now;
        program.remember_closed(&call, accepted);
        keep_outcome(program, &call, &outcome, now);
        if outcome == CallOutcome::Unknown {
            news.push(Applied::ClosedUnknown {
                program: key.clone(),
                call: number,
            });
        }
        self.settle(key, &call, &outcome);
        self.extend_history(key, &call, &outcome);
        let ended = self.programs.get(key).and_then(|program| program.ended);
        if ended.is_some() {
            self.release_engines(key, news);
        } else if call.one_shot {
            news.extend(self.end(key, EndReason::Finished, now));
        } else {
            self.start_next(key, news);
        }
    }

    fn extend_history(&mut self, key: &ProgramKey, call: &Call, outcome: &CallOutcome) {
        let CallOutcome::Finished {
            answer,
            usage,
            engine,
            ..
        } = outcome
        else {
            return;
        };
        let mixed = self.faults.is_set(FaultPoint::MixHistory);
        let first = self.programs.keys().next().filter(|_| mixed).cloned();
        let target = first.unwrap_or_else(|| key.clone());
        let Some(program) = self.programs.get_mut(&target) else {
            return;
        };
        program.history.extend(call.messages.iter().cloned());
        program.history.push(Message {
            role: MessageRole::Assistant,
            content: answer.clone(),
        });
        program.history_tokens = usage.tokens_in + usage.tokens_out;
        program.remember_engine(engine);
    }

    fn settle(&mut self, key: &ProgramKey, call: &Call, outcome: &CallOutcome) {
        let reserved = call.reserved;
        match outcome {
            CallOutcome::NotRun { .. } => {
                self.for_each_in_path(key, |program| program.ledger.release(&reserved));
            }
            CallOutcome::Finished { usage, .. } | CallOutcome::Failed { usage, .. } => {
                let usage = *usage;
                self.for_each_in_path(key, |program| program.ledger.settle(&reserved, &usage));
            }
            // Nobody knows what was used, so the whole reservation counts.
            CallOutcome::Unknown => {
                let usage = Usage {
                    tokens_in: reserved.tokens_in,
                    tokens_out: reserved.tokens_out,
                };
                self.for_each_in_path(key, |program| program.ledger.settle(&reserved, &usage));
            }
        }
    }

    /// Starts the first waiting call once nothing runs.
    fn start_next(&mut self, key: &ProgramKey, news: &mut Vec<Applied>) {
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        if program.running().is_some() {
            return;
        }
        let Some(call) = program.open.values_mut().next() else {
            return;
        };
        call.state = CallState::Running;
        let call = call.clone();
        news.push(Applied::Tell {
            gateway: call.gateway,
            request: call.request,
            status: program.status_of(key, &call),
        });
    }

    /// Ends a program and everything below it. Waiting calls never run; the
    /// running one is cancelled and closes when its gateway reports.
    fn end(&mut self, key: &ProgramKey, reason: EndReason, now: Time) -> Vec<Applied> {
        let mut news = Vec::new();
        for child in self.tree_below(key) {
            let reason = if child == *key {
                reason
            } else {
                EndReason::Parent
            };
            self.end_one(&child, reason, now, &mut news);
        }
        news
    }

    fn tree_below(&self, key: &ProgramKey) -> Vec<ProgramKey> {
        let prefix = format!(
            "{}{}",
            key.program,
            stageyoke_types::identifiers::PROGRAM_PATH_SEPARATOR
        );
        let members = self.programs.range(key.clone()..);
        members
            .map(|(member, _)| member)
            .take_while(|member| {
                member.tenant == key.tenant && member.program.0.starts_with(key.program.0.as_str())
            })
            .filter(|member| *member == key || member.program.0.starts_with(&prefix))
            .cloned()
            .collect()
    }

    fn end_one(&mut self, key: &ProgramKey, reason: EndReason, now: Time, news: &mut Vec<Applied>) {
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        if program.ended.is_some() {
            return;
        }
        program.ended = Some(reason);
        program.touched_at = now;
        let calls: Vec<Call> = program.open.values().cloned().collect();
        for call in calls {
            match call.state {
                CallState::Waiting => self.refuse_waiting(key, &call, now, news),
                CallState::Running => news.push(Applied::Cancel {
                    gateway: call.gateway,
                    request: call.request,
                }),
            }
        }
        self.release_engines(key, news);
    }

    fn refuse_waiting(
        &mut self,
        key: &ProgramKey,
        call: &Call,
        now: Time,
        news: &mut Vec<Applied>,
    ) {
        let outcome = CallOutcome::NotRun {
            kind: ErrorKind::ProgramEnded,
        };
        news.push(Applied::Tell {
            gateway: call.gateway,
            request: call.request,
            status: CallStatus::Closed {
                call: call.number,
                outcome: outcome.clone(),
            },
        });
        self.close_call(key, call.number, outcome, false, now, news);
    }

    fn release_engines(&self, key: &ProgramKey, news: &mut Vec<Applied>) {
        if self.faults.is_set(FaultPoint::KeepEngineMemory) {
            return;
        }
        let Some(program) = self.programs.get(key) else {
            return;
        };
        for engine in program.engines.iter() {
            news.push(Applied::Release {
                engine: engine.clone(),
                program: key.clone(),
            });
        }
    }

    fn expire(&mut self, now: Time) {
        for program in self.programs.values_mut() {
            let retention = program.limits.key_retention_ms;
            program
                .keyed
                .retain(|_, kept| now < kept.closed_at.saturating_add(retention));
        }
        self.programs.retain(|_, program| {
            let retention = ENDED_RETENTION_MS.max(program.limits.key_retention_ms);
            program.ended.is_none()
                || !program.open.is_empty()
                || now < program.touched_at.saturating_add(retention)
        });
    }
}

/// Keeps the outcome of a keyed call, unless the call may be asked for again
/// under the same key because it certainly did not run.
fn keep_outcome(program: &mut Program, call: &Call, outcome: &CallOutcome, now: Time) {
    let Some(key) = &call.idempotency_key else {
        return;
    };
    if matches!(outcome, CallOutcome::NotRun { .. }) {
        return;
    }
    program.keyed.insert(
        key.clone(),
        KeyedOutcome {
            fingerprint: call.fingerprint,
            call: call.number,
            outcome: outcome.clone(),
            closed_at: now,
        },
    );
}
