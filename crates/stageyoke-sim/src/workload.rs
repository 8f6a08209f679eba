//! Runs a plan: callers that behave as real ones would, then a quiet time, and
//! a last look at every program.

use std::collections::{BTreeMap, BTreeSet};

use stageyoke_core::fault::{FaultPoint, Faults};
use stageyoke_core::gateway::CallSubmission;
use stageyoke_core::program::{Limits, Message, MessageRole};
use stageyoke_types::{IdempotencyKey, ProgramId, ProgramKey, RequestId, TenantId, Text, Time};

use crate::cluster::{Action, Cluster, ClusterSettings, MODEL};
use crate::plan::{PLAN_MS, Plan, PlannedCall, SETTLE_MS};
use crate::record::{OperationId, Recorded};

/// Machines in a plan's cluster.
pub const MACHINES: usize = 5;
/// Engines in a plan's cluster.
pub const ENGINES: usize = 3;
/// Shards in a plan's cluster.
pub const SHARDS: u32 = 3;
/// How long a caller waits for an answer, ms.
pub const CALLER_PATIENCE_MS: Time = 12_000;
/// Action numbers above this are planned calls; below are answers.
const CALL_ACTIONS: u64 = 1 << 32;
/// Action numbers above this are planned program ends.
const END_ACTIONS: u64 = 1 << 33;
/// How often engines are swept, ms.
const SWEEP_MS: Time = 5_000;

/// What a run leaves for the checkers.
pub struct Outcome {
    /// Everything seen.
    pub record: Vec<Recorded>,
    /// The cluster at the end.
    pub cluster: Cluster,
    /// Programs of the plan.
    pub programs: Vec<ProgramKey>,
    /// Limits of each.
    pub limits: BTreeMap<ProgramKey, Limits>,
    /// Plan that was run.
    pub plan: Plan,
    /// Operations sent after every fault had healed.
    pub final_operations: BTreeSet<OperationId>,
}

/// Runs a plan with some safeguards switched off (none, usually).
pub fn run(plan: &Plan, faults: Faults) -> Outcome {
    let mut run = Run::new(plan, faults);
    run.play();
    run.settle();
    run.finish()
}

struct Run {
    plan: Plan,
    cluster: Cluster,
    programs: Vec<ProgramKey>,
    limits: BTreeMap<ProgramKey, Limits>,
    final_operations: BTreeSet<OperationId>,
    call_of: BTreeMap<OperationId, usize>,
    faults: Faults,
}

impl Run {
    fn new(plan: &Plan, faults: Faults) -> Self {
        let mut cluster = Cluster::new(ClusterSettings {
            seed: plan.seed,
            zones: vec![0, 1, 2, 0, 1],
            disks: plan.disks.clone(),
            shard_count: SHARDS,
            engines: ENGINES,
            faults,
            service_ms: (20, 400),
            event_limit: EVENT_LIMIT,
            count_bytes: false,
        });
        cluster.network.loss = plan.loss;
        cluster.network.duplicate = plan.duplicate;
        cluster.network.max_delay = plan.max_delay.max(1);
        let programs = program_keys(plan);
        let limits = programs
            .iter()
            .zip(&plan.programs)
            .map(|(key, program)| (key.clone(), limits_of(program.call_limit)))
            .collect();
        Self {
            plan: plan.clone(),
            cluster,
            programs,
            limits,
            final_operations: BTreeSet::new(),
            call_of: BTreeMap::new(),
            faults,
        }
    }

    fn play(&mut self) {
        for fault in &self.plan.faults {
            self.cluster.plan(fault.at, fault.action.clone());
        }
        for (index, call) in self.plan.calls.iter().enumerate() {
            let action = Action::Caller(CALL_ACTIONS + index as u64);
            self.cluster.plan(WARM_UP_MS + call.at, action);
        }
        for (index, program) in self.plan.programs.iter().enumerate() {
            if let Some(at) = program.end_at {
                let action = Action::Caller(END_ACTIONS + index as u64);
                self.cluster.plan(WARM_UP_MS + at, action);
            }
        }
        self.run_until(WARM_UP_MS + PLAN_MS);
    }

    fn run_until(&mut self, until: Time) {
        let mut next_sweep = self.cluster.now + SWEEP_MS;
        while self.cluster.now < until {
            while self.cluster.step(next_sweep.min(until)) {
                for action in std::mem::take(&mut self.cluster.caller_actions) {
                    self.act(action);
                }
            }
            if self.cluster.now >= next_sweep {
                next_sweep += SWEEP_MS;
                self.sweep();
            }
        }
    }

    /// The engines' sweep, with knowledge that is a committed read in the
    /// daemon: a program lives if a ready leader says so, or if none answers.
    fn sweep(&mut self) {
        if self.faults.is_set(FaultPoint::KeepEngineMemory) {
            return;
        }
        let dead: BTreeSet<ProgramKey> = self
            .programs
            .iter()
            .filter(|key| self.is_ended(key))
            .cloned()
            .collect();
        self.cluster
            .sweep_engines(&|program| !dead.contains(program));
    }

    fn is_ended(&self, key: &ProgramKey) -> bool {
        let shard = key.shard(SHARDS);
        self.cluster.machines.iter().any(|machine| {
            machine.node.as_ref().is_some_and(|node| {
                node.shards().any(|replica| {
                    let ended = replica.table().get(key).is_some_and(|program| {
                        program.ended.is_some() && program.open_calls().next().is_none()
                    });
                    replica.shard() == shard && replica.is_ready_leader() && ended
                })
            })
        })
    }

    fn act(&mut self, action: u64) {
        if action >= END_ACTIONS {
            let program = self.programs[(action - END_ACTIONS) as usize].clone();
            if let Some(machine) = self.cluster.running().first().copied() {
                self.cluster.query(machine, program, true);
            }
        } else if action >= CALL_ACTIONS {
            self.send_call((action - CALL_ACTIONS) as usize);
        } else {
            self.on_answer(OperationId(action));
        }
    }

    fn send_call(&mut self, index: usize) {
        let call = self.plan.calls[index].clone();
        self.send(index, &call, call.machine);
        if call.keyed && call.doubled {
            self.send(index, &call, call.machine + 1);
        }
    }

    fn send(&mut self, index: usize, call: &PlannedCall, machine: usize) {
        let running = self.cluster.running();
        if running.is_empty() {
            return;
        }
        let machine = running[machine % running.len()];
        let submission = self.submission(index, call);
        if let Some(operation) = self.cluster.submit(machine, submission) {
            self.call_of.insert(operation, index);
        }
    }

    /// A caller whose gateway died asks again with its key, if it has one.
    fn on_answer(&mut self, operation: OperationId) {
        let Some(index) = self.call_of.remove(&operation) else {
            return;
        };
        let disconnected = self.cluster.record.iter().rev().take(RECENT).any(|recorded| {
            matches!(recorded.what, crate::record::Observation::Disconnected { operation: other } if other == operation)
        });
        let call = self.plan.calls.get(index).cloned();
        if let Some(call) = call.filter(|call| disconnected && call.keyed) {
            self.send(index, &call, call.machine + 2);
        }
    }

    fn submission(&self, index: usize, call: &PlannedCall) -> CallSubmission {
        let program = self.programs[call.program % self.programs.len()].clone();
        let text = format!("{} call{index}", program.program);
        CallSubmission {
            request: RequestId(0),
            limits: self.limits.get(&program).copied().unwrap_or_default(),
            program,
            model: Text::from(MODEL),
            idempotency_key: call
                .keyed
                .then(|| IdempotencyKey::from(format!("key{index}").as_str())),
            fingerprint: index as u64,
            repeatable: !call.keyed,
            one_shot: false,
            class: (index % 3) as u8,
            messages: vec![Message {
                role: MessageRole::User,
                content: Text::from(text),
            }]
            .into(),
            max_tokens_out: crate::engine::TOKENS_OUT as u32,
            deadline: self.cluster.now + CALLER_PATIENCE_MS,
        }
    }

    /// Heals everything, waits, then makes one more call of each program and
    /// looks at it.
    fn settle(&mut self) {
        self.cluster.network.cut_off.clear();
        self.cluster.network.loss = 0.0;
        self.run_until(WARM_UP_MS + PLAN_MS + SETTLE_MS);
        for number in 0..self.programs.len() {
            let index = self.plan.calls.len() + number;
            let call = PlannedCall {
                program: number,
                at: 0,
                machine: number,
                keyed: false,
                doubled: false,
            };
            let machine = self.cluster.running()[0];
            let submission = self.submission(index, &call);
            if let Some(operation) = self.cluster.submit(machine, submission) {
                self.final_operations.insert(operation);
            }
        }
        self.run_until(self.cluster.now + CALLER_PATIENCE_MS + SWEEP_MS);
        for program in self.programs.clone() {
            let machine = self.cluster.running()[0];
            self.cluster.query(machine, program, false);
        }
        self.run_until(self.cluster.now + SWEEP_MS);
    }

    fn finish(mut self) -> Outcome {
        Outcome {
            record: std::mem::take(&mut self.cluster.record),
            cluster: self.cluster,
            programs: self.programs,
            limits: self.limits,
            plan: self.plan,
            final_operations: self.final_operations,
        }
    }
}

/// Time for the first elections, ms.
const WARM_UP_MS: Time = 2_000;
/// Events of one run; a quiet one has a tenth of that.
const EVENT_LIMIT: u64 = 1_000_000;
/// Observations among which an answer's is looked for.
const RECENT: usize = 64;

fn program_keys(plan: &Plan) -> Vec<ProgramKey> {
    let mut keys: Vec<ProgramKey> = Vec::new();
    for (index, program) in plan.programs.iter().enumerate() {
        let parent = program.parent.filter(|parent| *parent < index);
        let name = match parent {
            Some(parent) => format!("{}/p{index}", keys[parent].program),
            None => format!("p{index}"),
        };
        keys.push(ProgramKey {
            tenant: TenantId::from("tenant"),
            program: ProgramId::from(name.as_str()),
        });
    }
    keys
}

fn limits_of(calls: u32) -> Limits {
    Limits {
        calls,
        tokens_in: 0,
        tokens_out: 0,
        wall_ms: 0,
        depth: 4,
        fan_out: 8,
        idle_ms: 0,
        key_retention_ms: 600_000,
    }
}
