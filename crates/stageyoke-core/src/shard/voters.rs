//! Moves a shard's group of voters towards the one that placement asks for.

use stageyoke_types::{Event, NodeId, Time};

use super::{ShardOutput, ShardReplica, Standing};
use crate::placement::REPLICAS;
use crate::replication::Liveness;

impl ShardReplica {
    /// Moves the group one step towards `target`: replaces a member that has
    /// stopped, or adds a better placed one and then drops the extra.
    pub fn reconcile_voters(
        &mut self,
        target: &[NodeId],
        standing: &dyn Fn(NodeId) -> Standing,
        now: Time,
        liveness: &dyn Liveness,
        output: &mut Vec<ShardOutput>,
    ) -> bool {
        let current = self.replica.voters().to_vec();
        let Some(proposal) = next_voters(&current, target, self.replica.status().leader, standing)
        else {
            return self.hand_over_if_misplaced(target, liveness, output);
        };
        let mut effects = Vec::new();
        let changed = self.replica.propose_voters(proposal, now, &mut effects);
        self.carry_out(effects, output);
        self.apply_committed(output);
        if changed {
            output.push(ShardOutput::Event(
                Event::VotersChanged,
                self.replica.term(),
            ));
        }
        changed
    }

    /// A leader outside the target cannot remove itself; it hands over first.
    fn hand_over_if_misplaced(
        &mut self,
        target: &[NodeId],
        liveness: &dyn Liveness,
        output: &mut Vec<ShardOutput>,
    ) -> bool {
        let status = self.replica.status();
        let misplaced = status.voters.len() > target.len()
            && status
                .leader
                .is_some_and(|leader| !target.contains(&leader));
        misplaced && self.transfer_leadership(liveness, output)
    }

    /// Hands leadership to a caught-up follower, if there is one.
    pub fn transfer_leadership(
        &mut self,
        liveness: &dyn Liveness,
        output: &mut Vec<ShardOutput>,
    ) -> bool {
        let mut effects = Vec::new();
        let found = self.replica.transfer_leadership(liveness, &mut effects);
        self.carry_out(effects, output);
        found
    }
}

/// The next group on the way from `current` to `target`, one node different.
///
/// A stopped member is only dropped for a replacement: it may come back with
/// its disk, and a smaller group would tolerate no more than the larger one.
fn next_voters(
    current: &[NodeId],
    target: &[NodeId],
    leader: Option<NodeId>,
    standing: &dyn Fn(NodeId) -> Standing,
) -> Option<Vec<NodeId>> {
    let without = |node: NodeId| {
        current
            .iter()
            .copied()
            .filter(|other| *other != node)
            .collect()
    };
    let missing = target.iter().find(|node| !current.contains(node)).copied();
    let stopped = current
        .iter()
        .copied()
        .find(|node| standing(*node) == Standing::Stopped);
    let extra = current
        .iter()
        .copied()
        .find(|node| !target.contains(node) && Some(*node) != leader);
    if let (Some(_), Some(stopped)) = (missing, stopped) {
        // It leaves first: the majority then needs one node fewer.
        return Some(without(stopped));
    }
    if let Some(missing) = missing.filter(|_| current.len() <= target.len()) {
        return Some(current.iter().copied().chain([missing]).collect());
    }
    let extra = extra.filter(|_| current.len() > target.len())?;
    let may_shrink = current.len() > REPLICAS || standing(extra) == Standing::Leaving;
    may_shrink.then(|| without(extra))
}
