//! Lives of machines: start, settings, going on after a pause.

use super::*;

impl Cluster {
    /// Starts a machine: with its old identifier if its disk kept it.
    pub fn start(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.life += 1;
        machine.started_at = self.now;
        let stored = machine.disk.clone().unwrap_or_default();
        let keeps_identity = machine.life > 1 && !stored.is_empty();
        machine.member_life += 1;
        if !keeps_identity {
            machine.member_life = 1;
            machine.id = NodeId(hash::mix(index as u64 * 1_000_003 + machine.life) >> 1);
        }
        let (id, life) = (machine.id, machine.life);
        let settings = self.node_settings(index);
        self.index_of.insert(id, index);
        self.machines[index].node = Some(Node::new(settings, self.now));
        self.configure_engines(index);
        for (shard, stored) in stored {
            self.input(index, Input::Recover { shard, stored });
        }
        let machine = index;
        let phase = self.random.random_range(0..TICK_MS);
        self.schedule
            .add(self.now + phase, Happening::Tick { machine, life });
    }

    pub(super) fn node_settings(&mut self, index: usize) -> NodeSettings {
        let machine = &self.machines[index];
        let seeds = (0..self.settings.zones.len()).filter(|other| *other != index);
        NodeSettings {
            id: machine.id,
            life: machine.member_life,
            info: self.member_info(index),
            seeds: seeds
                .take(SEEDS)
                .map(|other| Text::from(address_of(other)))
                .collect(),
            shard_count: self.settings.shard_count,
            random_seed: self.random.random(),
            membership: MembershipSettings::default(),
            config: machine.config.clone(),
            faults: self.settings.faults,
        }
    }

    pub(super) fn configure_engines(&mut self, index: usize) {
        let engines = (0..self.settings.engines).map(|number| EngineRecord {
            id: engine_id(number),
            model: Text::from(MODEL),
            zone: Text::from(zone_name(number)),
            leaving: false,
            slots: QueueSettings::default().slots,
        });
        let input = Input::Configure {
            engines: engines.collect(),
            policy: EnginePolicy::default(),
            queue: QueueSettings::default(),
        };
        self.input(index, input);
    }

    pub(super) fn resume(&mut self, index: usize) {
        if self.now < self.machines[index].paused_until {
            return;
        }
        for input in std::mem::take(&mut self.machines[index].held) {
            self.input(index, input);
        }
    }
}
