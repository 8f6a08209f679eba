//! Liveness of the nodes that share shards with this one: one heartbeat per
//! node pair, whatever the number of shards, and none while other traffic
//! flows. Readings are of this node's clock alone.

use std::collections::{BTreeMap, BTreeSet};

use stageyoke_types::{NodeId, Time};

use crate::replication::Liveness;

/// Longest silence towards a peer, in milliseconds.
pub const HEARTBEAT_PERIOD_MS: Time = 500;
/// Silence after which a peer counts as not live, in milliseconds.
pub const LIVENESS_TIMEOUT_MS: Time = 1_500;

#[derive(Clone, Copy, Debug)]
struct Peer {
    heard_at: Time,
    sent_at: Time,
    was_live: bool,
}

/// When each peer was last heard from.
#[derive(Clone, Debug, Default)]
pub struct PeerLiveness {
    peers: BTreeMap<NodeId, Peer>,
}

/// The table seen at one moment.
pub struct LivenessAt<'a> {
    table: &'a PeerLiveness,
    now: Time,
}

impl Liveness for LivenessAt<'_> {
    fn is_live(&self, node: NodeId) -> bool {
        self.table.is_live(node, self.now)
    }
}

impl PeerLiveness {
    /// The table at a moment, for the replicas to ask.
    pub fn at(&self, now: Time) -> LivenessAt<'_> {
        LivenessAt { table: self, now }
    }

    /// Replaces the set of peers. A new peer is given the benefit of the doubt
    /// for one timeout.
    pub fn watch(&mut self, peers: &BTreeSet<NodeId>, now: Time) {
        self.peers.retain(|node, _| peers.contains(node));
        for node in peers {
            self.peers.entry(*node).or_insert(Peer {
                heard_at: now,
                sent_at: 0,
                was_live: true,
            });
        }
    }

    /// The peers.
    pub fn peers(&self) -> impl Iterator<Item = NodeId> {
        self.peers.keys().copied()
    }

    /// Records that a peer sent something.
    pub fn heard(&mut self, node: NodeId, now: Time) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.heard_at = now;
        }
    }

    /// Records that something was sent to a peer.
    pub fn sent(&mut self, node: NodeId, now: Time) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.sent_at = now;
        }
    }

    /// After this node itself was paused, its silence says nothing of others.
    pub fn forgive(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            peer.heard_at = now;
        }
    }

    /// Records direct evidence that a peer stopped.
    pub fn stopped(&mut self, node: NodeId) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.heard_at = 0;
        }
    }

    /// Peers that are due a heartbeat.
    pub fn due(&self, now: Time) -> Vec<NodeId> {
        self.peers
            .iter()
            .filter(|(_, peer)| now >= peer.sent_at + HEARTBEAT_PERIOD_MS)
            .map(|(node, _)| *node)
            .collect()
    }

    /// Peers that ceased to be live since the last call.
    pub fn newly_silent(&mut self, now: Time) -> Vec<NodeId> {
        let mut silent = Vec::new();
        for (node, peer) in &mut self.peers {
            let live = is_recent(peer.heard_at, now);
            if peer.was_live && !live {
                silent.push(*node);
            }
            peer.was_live = live;
        }
        silent
    }

    fn is_live(&self, node: NodeId, now: Time) -> bool {
        self.peers
            .get(&node)
            .is_some_and(|peer| is_recent(peer.heard_at, now))
    }
}

fn is_recent(heard_at: Time, now: Time) -> bool {
    now < heard_at + LIVENESS_TIMEOUT_MS
}
