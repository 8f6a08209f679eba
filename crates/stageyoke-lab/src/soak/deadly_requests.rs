//! Requests that end each replica which runs them, repeated by their caller.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Bytes;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::changes::send_request;
use super::deployment::Deployment;
use super::faults::random_milliseconds;
use super::promises::ExpectedRequest;
use super::proxy::Proxy;
use super::replicas::unix_milliseconds;
use crate::standins::platform::RESUMABLE_PATH;
use crate::standins::platform::replica::DEADLY_QUERY;
use crate::standins::platform::tenants::CALLERS_KEY;

/// Number of replicas that may end under one request.
const MAX_ENDS: usize = 3;
/// Attempts of the caller, each under an identifier of its own.
const ATTEMPTS: usize = 6;
/// Interval in which ended replicas are noticed.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

impl Deployment {
    /// Repeats a request that ends replicas at random fronts; reports a breach if it ends more
    /// than it may. Ended replicas are listed until they start again. Returns their number.
    pub(super) async fn end_replicas(&mut self, random: &mut ChaCha8Rng) -> usize {
        let request = format!("deadly-{:016x}", random.random::<u64>());
        let attempts = (0..ATTEMPTS).map(|attempt| Attempt {
            id: format!("{request}-{attempt}"),
            front: self.fronts[random.random_range(0..self.fronts.len())],
            pause: random_milliseconds(random, 0, 150),
        });
        let attempts: Vec<Attempt> = attempts.collect();
        for attempt in &attempts {
            let expected = ExpectedRequest {
                body: Bytes::new(),
                repeatable: true,
            };
            self.promises.record_request(&attempt.id, expected);
        }
        let path = format!("{RESUMABLE_PATH}?{DEADLY_QUERY}={request}");
        let repeating = tokio::spawn(repeat(attempts, path));
        let mut ended = Vec::new();
        while !repeating.is_finished() {
            for number in self.take_ended_replicas() {
                self.end_replica(number).await;
                ended.push(number);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        for number in &ended {
            self.restore_replica(*number);
        }
        if ended.len() > MAX_ENDS {
            let breach = format!("{request} ended {} replicas", ended.len());
            self.promises.report_breach(breach);
        }
        ended.len()
    }

    /// Returns the replicas whose processes are to end since the last call.
    fn take_ended_replicas(&self) -> Vec<usize> {
        let ids = self.trouble.take_ended();
        let numbers = ids.iter().filter_map(|id| {
            let mut replicas = self.replicas.iter();
            replicas.position(|replica| replica.id == *id)
        });
        numbers.collect()
    }

    /// Ends a replica's listener and connections; its successor has another address.
    async fn end_replica(&mut self, number: usize) {
        let target = self.replica_proxies[number].target;
        match Proxy::start(target).await {
            Ok(successor) => {
                let ended = std::mem::replace(&mut self.replica_proxies[number], successor);
                ended.end().await;
            }
            Err(error) => {
                let breach = format!("a replica could not start again: {error}");
                self.promises.report_breach(breach);
            }
        }
        let born = &self.replicas[number].started_at_ms;
        born.store(unix_milliseconds(), std::sync::atomic::Ordering::Relaxed);
    }
}

struct Attempt {
    id: String,
    front: SocketAddr,
    /// Time until the next attempt.
    pause: Duration,
}

async fn repeat(attempts: Vec<Attempt>, path: String) {
    for attempt in attempts {
        send_request(attempt.front, &attempt.id, &path, CALLERS_KEY).await;
        tokio::time::sleep(attempt.pause).await;
    }
}
