//! The network between nodes: latency, loss, doubling and partitions.

use std::collections::BTreeSet;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use stageyoke_types::Time;

/// How the network treats messages, between nodes given by their index.
#[derive(Clone, Debug)]
pub struct Network {
    /// Least latency, ms.
    pub min_delay: Time,
    /// Most latency, ms.
    pub max_delay: Time,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message arrives twice.
    pub duplicate: f64,
    /// Nodes on one side of a partition; empty if there is none.
    pub cut_off: BTreeSet<usize>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            min_delay: 1,
            max_delay: 3,
            loss: 0.0,
            duplicate: 0.0,
            cut_off: BTreeSet::new(),
        }
    }
}

impl Network {
    /// Delays after which copies of a message arrive; none if it is lost.
    pub fn deliveries(&self, from: usize, to: usize, random: &mut ChaCha8Rng) -> Vec<Time> {
        if self.is_cut(from, to) || random.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(random.random_bool(self.duplicate));
        (0..copies)
            .map(|_| random.random_range(self.min_delay..=self.max_delay))
            .collect()
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut_off.contains(&from) != self.cut_off.contains(&to)
    }
}
