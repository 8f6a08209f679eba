//! Replicas send some answers without end, or one replica the heads of all its answers.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;
use super::proxy::Mode;
use crate::standins::platform::endless::{EndlessAnswer, EndlessHead};

/// Share of the draws in which heads have no end.
const HEAD_SHARE: f64 = 0.2;

impl Deployment {
    /// Draws what is sent without end and for which share of the answers; returns a description.
    pub(super) async fn send_without_end(
        &mut self,
        random: &mut ChaCha8Rng,
        duration: Duration,
    ) -> String {
        match random.random_bool(HEAD_SHARE) {
            true => self.send_heads_without_end(random, duration).await,
            false => self.send_bodies_without_end(random, duration).await,
        }
    }

    async fn send_bodies_without_end(
        &mut self,
        random: &mut ChaCha8Rng,
        duration: Duration,
    ) -> String {
        let kind = EndlessAnswer::draw(random);
        let percent = random.random_range(3..=15);
        self.trouble.set_endless(Some((kind, percent)));
        tokio::time::sleep(duration).await;
        self.trouble.set_endless(None);
        format!("{kind:?}, {percent} percent")
    }

    async fn send_heads_without_end(
        &mut self,
        random: &mut ChaCha8Rng,
        duration: Duration,
    ) -> String {
        let head = EndlessHead::draw(random);
        let number = random.random_range(0..self.replica_proxies.len());
        let behavior = self.replica_proxies[number].behavior.clone();
        behavior.set(Mode::Endless(head), Duration::ZERO);
        tokio::time::sleep(duration).await;
        behavior.set(Mode::Pass, Duration::ZERO);
        format!("{head:?}, replica {number}")
    }
}
