//! Clients that exceed the limits of a front, or that use them to the full: bodies over the limit, many at a time or in tiny pieces, heads of very many fields, requests whose
//! responses are not read, and connections that send slowly or nothing. Ordinary traffic runs
//! beside them, and the front's process is watched.

mod connection;
mod kinds;
mod ordinary;
mod process_watch;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

pub use kinds::{ClientKind, Target};
pub use ordinary::{OrdinaryCounts, OrdinaryTraffic, wait_until_serving};
pub use process_watch::{ProcessWatch, WatchedPeaks};

use crate::soak::promises::Promises;
use connection::ConnectionEnd;

/// Pause of a client between two connections.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);
/// Clients connect within this time, so that the front's queue of new connections is not the
/// first limit that they meet.
const RAMP_UP: Duration = Duration::from_millis(700);
/// Loopback addresses that clients connect from, since each has a limited number of ports.
const SOURCE_ADDRESSES: usize = 32;

/// A crowd of clients of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// What its clients do.
    pub kind: ClientKind,
    /// Where they send it.
    pub target: Target,
    /// Number of clients, each with one connection at a time.
    pub clients: usize,
    /// Time for which they go on.
    pub duration: Duration,
}

/// How the connections of a crowd ended.
#[derive(Debug, Default)]
pub struct CrowdCounts {
    answered: [AtomicU64; 6],
    other_statuses: AtomicU64,
    resets: AtomicU64,
    closed: AtomicU64,
    unconnected: AtomicU64,
    open: AtomicU64,
    /// Refusals that allow a repetition but do not tell when.
    untimed_refusals: AtomicU64,
}

/// Statuses that promise that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 5] = [402, 408, 421, 429, 503];
/// Statuses that are counted by themselves.
const COUNTED_STATUSES: [u16; 6] = [200, 404, 408, 413, 431, 503];

impl CrowdCounts {
    fn record(&self, end: &ConnectionEnd) {
        let counter = match end {
            ConnectionEnd::Answered(response) => {
                if response.status == 503 && !response.has_retry_delay {
                    self.untimed_refusals.fetch_add(1, Ordering::Relaxed);
                }
                let position = COUNTED_STATUSES
                    .iter()
                    .position(|status| *status == response.status);
                position.map_or(&self.other_statuses, |position| &self.answered[position])
            }
            ConnectionEnd::Reset => &self.resets,
            ConnectionEnd::Closed => &self.closed,
            ConnectionEnd::Unconnected => &self.unconnected,
            ConnectionEnd::Open => &self.open,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of responses with this status, which must be a counted one.
    pub fn answered(&self, status: u16) -> u64 {
        let position = COUNTED_STATUSES
            .iter()
            .position(|counted| *counted == status);
        position.map_or(0, |position| {
            self.answered[position].load(Ordering::Relaxed)
        })
    }

    /// Returns the number of connections that were reset before a response.
    pub fn resets(&self) -> u64 {
        self.resets.load(Ordering::Relaxed)
    }

    /// Returns the number of 503 without a retry delay.
    pub fn untimed_refusals(&self) -> u64 {
        self.untimed_refusals.load(Ordering::Relaxed)
    }

    /// Describes the counts that are not zero.
    pub fn describe(&self) -> String {
        let statuses = COUNTED_STATUSES.iter().zip(&self.answered);
        let statuses = statuses.map(|(status, count)| (status.to_string(), count));
        let ends = [
            ("other".to_owned(), &self.other_statuses),
            ("resets".to_owned(), &self.resets),
            ("closed".to_owned(), &self.closed),
            ("unconnected".to_owned(), &self.unconnected),
            ("open".to_owned(), &self.open),
        ];
        let counts = statuses.chain(ends).filter_map(|(name, count)| {
            let count = count.load(Ordering::Relaxed);
            (count > 0).then(|| format!("{name}={count}"))
        });
        counts.collect::<Vec<_>>().join(" ")
    }
}

/// Runs a crowd to its end against the front with these addresses.
pub async fn run_crowd(
    crowd: Crowd,
    callers: SocketAddr,
    readiness: SocketAddr,
    promises: Arc<Promises>,
) -> Arc<CrowdCounts> {
    let counts = Arc::new(CrowdCounts::default());
    let until = Instant::now() + crowd.duration;
    let address = match crowd.target {
        Target::Readiness => readiness,
        Target::Route | Target::StoredTurns | Target::NoRoute => callers,
    };
    let mut clients = JoinSet::new();
    for number in 0..crowd.clients {
        let (counts, promises) = (counts.clone(), promises.clone());
        let source = Ipv4Addr::new(127, 0, 0, (number % SOURCE_ADDRESSES) as u8 + 2);
        let delay = RAMP_UP.mul_f64(number as f64 / crowd.clients as f64);
        clients.spawn(async move {
            tokio::time::sleep(delay).await;
            while Instant::now() < until {
                let sent = crowd.kind.next_request(crowd.target, &promises);
                let end = connection::run(source, address, &sent, until).await;
                if let ConnectionEnd::Answered(response) = &end
                    && let Some(request) = &sent.request_id
                    && NOT_RUN_STATUSES.contains(&response.status)
                {
                    promises.record_refusal(request, response.status);
                }
                counts.record(&end);
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        });
    }
    while clients.join_next().await.is_some() {}
    counts
}
