//! Ordinary traffic: requests within the limits, each on a new connection and repeated as the
//! protocol allows, and readiness probes.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::body::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::connection::connect;
use super::kinds::READINESS_PATH;
use crate::soak::promises::{ExpectedRequest, Promises};
use crate::standins::platform::answers::tool_answer;
use crate::standins::platform::{
    HOST, IDEMPOTENT_TOOL_PATH, NON_IDEMPOTENT_TOOL_PATH, STORED_TURN_PATH, TOKENS_PER_EVENT, names,
};

const DEADLINE: Duration = Duration::from_millis(4000);
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Attempts of a client at one request.
const MAX_ATTEMPTS: u32 = 3;
/// Longest time for which a client waits before it repeats a request, as a part of what is left.
const MAX_RETRY_DELAY_FRACTION: f64 = 0.33;
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);
const SMALL_BODY_BYTES: usize = 600;
const MEDIUM_BODY_BYTES: usize = 26_000;
/// Source address of ordinary clients.
const SOURCE: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);

/// Kinds of ordinary requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    SafeRead,
    SmallWrite,
    MediumWrite,
    FirstTurn,
}

const REQUEST_KINDS: [RequestKind; 4] = [
    RequestKind::SafeRead,
    RequestKind::SmallWrite,
    RequestKind::MediumWrite,
    RequestKind::FirstTurn,
];

/// Counts of ordinary requests and probes.
#[derive(Debug, Default)]
pub struct OrdinaryCounts {
    sent: AtomicU64,
    served: AtomicU64,
    repeated: AtomicU64,
    probes: AtomicU64,
    failed_probes: AtomicU64,
    consecutive_failed_probes: AtomicU64,
    failures: Mutex<Vec<String>>,
}

impl OrdinaryCounts {
    /// Returns the number of requests that have ended, and how many of them were served.
    pub fn requests(&self) -> (u64, u64) {
        let sent = self.sent.load(Ordering::Relaxed);
        (sent, self.served.load(Ordering::Relaxed))
    }

    /// Returns the largest number of probes in a row that failed.
    pub fn consecutive_failed_probes(&self) -> u64 {
        self.consecutive_failed_probes.load(Ordering::Relaxed)
    }

    /// Describes the counts and the first failures.
    pub fn describe(&self) -> String {
        let (sent, served) = self.requests();
        let failures = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
        let shown = failures.iter().take(6).cloned().collect::<Vec<_>>();
        format!(
            "ordinary {served}/{sent} served, {} attempts repeated, {} of {} probes failed; {}",
            self.repeated.load(Ordering::Relaxed),
            self.failed_probes.load(Ordering::Relaxed),
            self.probes.load(Ordering::Relaxed),
            shown.join("; ")
        )
    }

    fn record_failure(&self, failure: String) {
        let mut failures = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
        failures.push(failure);
    }
}

/// Ordinary traffic at one front, until it is dropped.
pub struct OrdinaryTraffic {
    /// Its counts.
    pub counts: Arc<OrdinaryCounts>,
    _clients: JoinSet<()>,
}

impl OrdinaryTraffic {
    /// Starts the traffic.
    pub fn start(callers: SocketAddr, readiness: SocketAddr, promises: Arc<Promises>) -> Self {
        let counts: Arc<OrdinaryCounts> = Arc::default();
        let mut clients = JoinSet::new();
        for kind in REQUEST_KINDS {
            let (counts, promises) = (counts.clone(), promises.clone());
            clients.spawn(async move {
                loop {
                    serve_request(kind, callers, &promises, &counts).await;
                    tokio::time::sleep(REQUEST_INTERVAL).await;
                }
            });
        }
        clients.spawn(probe(readiness, counts.clone()));
        Self {
            counts,
            _clients: clients,
        }
    }
}

/// Waits until a front says that it is ready and serves a turn.
pub async fn wait_until_serving(
    callers: SocketAddr,
    readiness: SocketAddr,
    promises: &Promises,
) -> std::io::Result<()> {
    let until = Instant::now() + START_TIMEOUT;
    let request = probe_request();
    while Instant::now() < until {
        let probed = exchange(readiness, request.as_bytes(), has_head).await;
        if probed.is_ok_and(|received| is_ready_answer(&received))
            && let AttemptEnd::Served =
                attempt_request(RequestKind::FirstTurn, callers, promises).await
        {
            return Ok(());
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    Err(std::io::ErrorKind::TimedOut.into())
}

fn probe_request() -> String {
    format!("GET {READINESS_PATH} HTTP/1.1\r\nhost: {HOST}\r\n\r\n")
}

async fn probe(readiness: SocketAddr, counts: Arc<OrdinaryCounts>) {
    let request = probe_request();
    let mut consecutive = 0;
    loop {
        let started = Instant::now();
        let received = exchange(readiness, request.as_bytes(), has_head);
        let received = tokio::time::timeout(PROBE_TIMEOUT, received).await;
        counts.probes.fetch_add(1, Ordering::Relaxed);
        match received {
            Ok(Ok(received)) if is_ready_answer(&received) => consecutive = 0,
            _ => {
                consecutive += 1;
                counts.failed_probes.fetch_add(1, Ordering::Relaxed);
                let longest = &counts.consecutive_failed_probes;
                longest.fetch_max(consecutive, Ordering::Relaxed);
            }
        }
        tokio::time::sleep_until(started + PROBE_INTERVAL).await;
    }
}

/// Returns whether a response without a body is complete.
fn has_head(received: &[u8]) -> bool {
    received.ends_with(b"\r\n\r\n")
}

fn is_ready_answer(received: &[u8]) -> bool {
    received.starts_with(b"HTTP/1.1 200") && received.ends_with(b"\r\n\r\n")
}

/// Sends a request and reads until `is_complete` or the connection's end.
async fn exchange(
    address: SocketAddr,
    request: &[u8],
    is_complete: impl Fn(&[u8]) -> bool,
) -> std::io::Result<Vec<u8>> {
    let mut stream = connect(SOURCE, address).await?;
    stream.write_all(request).await?;
    let mut received = Vec::new();
    while !is_complete(&received) && stream.read_buf(&mut received).await? > 0 {}
    Ok(received)
}

/// What an attempt brought.
enum AttemptEnd {
    Served,
    Refused(u16, Duration),
    Failed(String),
}

/// Sends a request until it is served, may not be repeated, or its time is over.
async fn serve_request(
    kind: RequestKind,
    callers: SocketAddr,
    promises: &Promises,
    counts: &OrdinaryCounts,
) {
    let started = Instant::now();
    let deadline = started + DEADLINE;
    let mut failure = String::new();
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            counts.repeated.fetch_add(1, Ordering::Relaxed);
        }
        let end = tokio::time::timeout_at(deadline, attempt_request(kind, callers, promises));
        let retry_delay = match end.await {
            Ok(AttemptEnd::Served) => {
                counts.served.fetch_add(1, Ordering::Relaxed);
                counts.sent.fetch_add(1, Ordering::Relaxed);
                return;
            }
            Ok(AttemptEnd::Refused(status, delay)) => {
                failure = format!("{kind:?}: {status}");
                let left = deadline.saturating_duration_since(Instant::now());
                delay.min(left.mul_f64(MAX_RETRY_DELAY_FRACTION))
            }
            Ok(AttemptEnd::Failed(reason)) => {
                failure = format!("{kind:?}: {reason}");
                if kind != RequestKind::SafeRead {
                    break;
                }
                DEFAULT_RETRY_DELAY
            }
            Err(_) => {
                failure = format!("{kind:?}: deadline");
                break;
            }
        };
        tokio::time::sleep(retry_delay).await;
    }
    counts.sent.fetch_add(1, Ordering::Relaxed);
    counts.record_failure(format!(
        "{failure} after {} ms",
        started.elapsed().as_millis()
    ));
}

async fn attempt_request(
    kind: RequestKind,
    callers: SocketAddr,
    promises: &Promises,
) -> AttemptEnd {
    let identifier = format!("{:016x}", rand::random::<u64>());
    let (path, method, body_bytes) = match kind {
        RequestKind::SafeRead => (IDEMPOTENT_TOOL_PATH, "GET", 0),
        RequestKind::SmallWrite => (NON_IDEMPOTENT_TOOL_PATH, "POST", SMALL_BODY_BYTES),
        RequestKind::MediumWrite => (NON_IDEMPOTENT_TOOL_PATH, "POST", MEDIUM_BODY_BYTES),
        RequestKind::FirstTurn => (STORED_TURN_PATH, "POST", SMALL_BODY_BYTES),
    };
    let body = Bytes::from(vec![b'q'; body_bytes]);
    promises.record_request(
        &identifier,
        ExpectedRequest {
            body: body.clone(),
            repeatable: kind == RequestKind::SafeRead,
        },
    );
    let turn = match kind {
        RequestKind::FirstTurn => format!(
            "{}: p{identifier}\r\n{}: 1000\r\n{}: 10,{TOKENS_PER_EVENT}\r\n",
            names::PROGRAM_ID,
            names::TOKEN_BUDGET,
            names::TOKEN_COUNTS,
        ),
        _ => String::new(),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{}: {identifier}\r\n{}: {}\r\n{turn}\
         content-length: {body_bytes}\r\n\r\n",
        names::REQUEST_ID,
        names::DEADLINE_MS,
        DEADLINE.as_millis(),
    );
    let request = [head.as_bytes(), &body].concat();
    let expected = match kind {
        RequestKind::FirstTurn => "\r\n0\r\n\r\n".to_owned(),
        _ => tool_answer(&identifier),
    };
    let is_complete = |received: &[u8]| {
        received.ends_with(expected.as_bytes()) || error_response(received).is_some()
    };
    let received = match exchange(callers, &request, is_complete).await {
        Ok(received) => received,
        Err(error) => return AttemptEnd::Failed(error.to_string()),
    };
    if received.starts_with(b"HTTP/1.1 200") && received.ends_with(expected.as_bytes()) {
        return AttemptEnd::Served;
    }
    match error_response(&received) {
        Some((status @ (408 | 421 | 429 | 503), delay)) => {
            promises.record_refusal(&identifier, status);
            AttemptEnd::Refused(status, delay)
        }
        Some((status, _)) => AttemptEnd::Failed(format!("status {status}")),
        None => AttemptEnd::Failed("closed".to_owned()),
    }
}

/// Returns the status and the retry delay of a failure, once its head is complete.
fn error_response(received: &[u8]) -> Option<(u16, Duration)> {
    let text = String::from_utf8_lossy(received);
    let (head, _) = text.split_once("\r\n\r\n")?;
    let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
    let mut lines = head.lines();
    let delay = lines.find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_delay = name.eq_ignore_ascii_case(names::RETRY_AFTER);
        is_delay.then(|| value.trim().parse().ok()).flatten()
    });
    let delay = delay.map_or(DEFAULT_RETRY_DELAY, Duration::from_secs_f64);
    (status != 200).then_some((status, delay))
}
