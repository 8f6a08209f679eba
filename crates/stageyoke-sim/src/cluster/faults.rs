//! What befalls machines: planned actions, crashes, what they destroy.

use super::*;

impl Cluster {
    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Crash {
                machine,
                keep_disk,
                down_ms,
            } => {
                self.crash(machine, keep_disk);
                self.plan(self.now + down_ms, Action::Start { machine });
            }
            Action::Start { machine } => {
                if self.machines[machine].node.is_none() {
                    self.start(machine);
                }
            }
            Action::Pause { machine, for_ms } => {
                let until = self.now + for_ms;
                self.machines[machine].paused_until = until;
                self.plan(until, Action::Resume { machine });
            }
            Action::Resume { machine } => self.resume(machine),
            Action::Partition { side } => self.network.cut_off = side,
            Action::EngineCrash { engine, down_ms } => {
                self.crash_engine(engine);
                self.plan(self.now + down_ms, Action::EngineStart { engine });
            }
            Action::EngineStart { engine } => {
                if let Some(engine) = self.engines.get_mut(&engine_id(engine)) {
                    engine.down = false;
                }
            }
            Action::EngineLeave { engine } => self.announce_leaving(engine_id(engine)),
            Action::Configure { machine, version } => self.accept_config(machine, version),
            Action::Drain { machine, down_ms } => {
                let since = self.now;
                self.input(machine, Input::Drain);
                self.act(Action::DrainCheck {
                    machine,
                    since,
                    down_ms,
                });
            }
            Action::DrainCheck {
                machine,
                since,
                down_ms,
            } => self.check_drain(machine, since, down_ms),
            Action::Caller(action) => self.caller_actions.push(action),
        }
    }

    /// Stops a draining machine once it has finished, as the daemon does.
    pub(super) fn check_drain(&mut self, machine: usize, since: Time, down_ms: Time) {
        let Some(node) = &self.machines[machine].node else {
            return;
        };
        let status = node.status();
        let elapsed = self.now - since;
        let handed_over =
            status.leading.is_empty() && (status.replicas == 0 || elapsed > DRAIN_HAND_OVER_MS);
        let at_once = self.settings.faults.is_set(FaultPoint::StopAtOnce);
        if (status.held == 0 && handed_over) || elapsed > DRAIN_LIMIT_MS || at_once {
            self.input(machine, Input::Leave);
            self.crash(machine, true);
            self.plan(self.now + down_ms, Action::Start { machine });
            return;
        }
        let check = Action::DrainCheck {
            machine,
            since,
            down_ms,
        };
        self.plan(self.now + TICK_MS, check);
    }

    /// Stops a machine at once.
    pub fn crash(&mut self, index: usize, keep_disk: bool) {
        for machine in 0..self.machines.len() {
            self.note_commits(machine);
        }
        let machine = &mut self.machines[index];
        if machine.node.take().is_none() {
            return;
        }
        let id = machine.id;
        machine.held.clear();
        machine.paused_until = 0;
        if !keep_disk {
            if let Some(disk) = &mut machine.disk {
                disk.clear();
            }
            machine.config = ConfigBundle::default();
        }
        self.note_destroyed();
        let lost: Vec<(NodeId, RequestId)> = self
            .operations
            .keys()
            .copied()
            .filter(|(gateway, _)| *gateway == id)
            .collect();
        for key in lost {
            if let Some(operation) = self.operations.remove(&key) {
                self.observe(Observation::Disconnected { operation });
                self.caller_actions.push(operation.0);
            }
        }
        self.queries.retain(|(gateway, _), _| *gateway != id);
        // What the dead gateway had at engines stops when its connections do.
        for engine in self.engines.values_mut() {
            engine.running.retain(|attempt, _| attempt.gateway != id);
        }
    }

    /// Whether every replica that holds all that shard ever committed is gone.
    /// No system can answer for such a shard's history.
    pub fn is_destroyed(&self, shard: ShardId) -> bool {
        self.destroyed.contains(&shard)
    }

    /// Notes the furthest commit of each shard seen on a machine.
    pub(super) fn note_commits(&mut self, index: usize) {
        let Some(node) = &self.machines[index].node else {
            return;
        };
        for replica in node.shards() {
            let commit = replica.replica().commit();
            let term = replica.replica().term_at(commit).unwrap_or_default();
            let furthest = self.committed.entry(replica.shard()).or_default();
            *furthest = (*furthest).max((commit, term));
        }
    }

    /// Notes the shards of which no replica with everything committed is left.
    pub(super) fn note_destroyed(&mut self) {
        for (shard, (committed, term)) in &self.committed {
            let survives = self.machines.iter().any(|machine| {
                let in_memory = machine.node.iter().flat_map(Node::shards);
                let mut in_memory = in_memory.filter(|replica| replica.shard() == *shard);
                let on_disk = machine.disk.as_ref().and_then(|disk| disk.get(shard));
                // Entries that were never committed may reach further, but are
                // no copy.
                in_memory.any(|replica| replica.replica().holds(*committed, *term))
                    || on_disk.is_some_and(|stored| stored.holds(*committed, *term))
            });
            if !survives {
                self.destroyed.insert(*shard);
            }
        }
    }
}
