//! Replicas send second answers to earlier requests, which arrive in the place of the next ones due.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;
use super::proxy::Mode;
use crate::standins::platform::names;

/// Share of the replicas that send such answers.
const AFFECTED_SHARE: f64 = 0.6;

/// A second answer to the request before on the same connection, which it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SurplusAnswer {
    status: u16,
    says_not_executed: bool,
    percent: u32,
}

impl SurplusAnswer {
    /// Statuses of surplus answers, and whether they say that the request was not executed.
    const KINDS: [(u16, bool); 6] = [
        (200, false),
        (421, false),
        (503, true),
        (429, true),
        (400, true),
        (500, false),
    ];

    fn draw(random: &mut ChaCha8Rng) -> Self {
        let (status, says_not_executed) = Self::KINDS[random.random_range(0..Self::KINDS.len())];
        Self {
            status,
            says_not_executed,
            percent: random.random_range(3..=20),
        }
    }

    /// Returns the bytes of a surplus answer to a request, for some requests.
    pub fn answer_to(self, request: &str) -> Option<Vec<u8>> {
        if rand::random_range(0..100) >= self.percent {
            return None;
        }
        let promise = match self.says_not_executed {
            true => format!("{}: 1\r\n", names::NOT_EXECUTED),
            false => String::new(),
        };
        let answer = format!(
            "HTTP/1.1 {} Surplus\r\n{}: {request}\r\n{promise}content-length: 0\r\n\r\n",
            self.status,
            names::REQUEST_ID,
        );
        Some(answer.into_bytes())
    }
}

impl Deployment {
    /// Makes replicas send surplus answers of one kind; returns a description.
    pub(super) async fn send_surplus_answers(
        &mut self,
        random: &mut ChaCha8Rng,
        duration: Duration,
    ) -> String {
        let surplus = SurplusAnswer::draw(random);
        let proxies = self.replica_proxies.iter();
        let affected: Vec<_> = proxies
            .filter(|_| random.random_bool(AFFECTED_SHARE))
            .map(|proxy| proxy.behavior.clone())
            .collect();
        for behavior in &affected {
            behavior.set(Mode::Surplus(surplus), Duration::ZERO);
        }
        tokio::time::sleep(duration).await;
        for behavior in &affected {
            behavior.set(Mode::Pass, Duration::ZERO);
        }
        format!("{surplus:?}, {} replicas", affected.len())
    }
}
