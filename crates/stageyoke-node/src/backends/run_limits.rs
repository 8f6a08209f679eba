//! Limits how many replicas or engines may end under one request at this node. Nodes do not share
//! what they know, so each of them may lose that many.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use stageyoke_policy::deadly_requests::{DeadlyRequests, Standing};
use stageyoke_types::Event;
use tokio::net::TcpStream;

use crate::events;

/// Time limit for finding out whether a back end has ended.
const END_PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of addresses of ended processes that are remembered.
const MAX_ADDRESSES: usize = 4_096;
/// Number of bits by which the port is moved to make room for the number of a process.
const PROCESS_BITS: u32 = 32;

/// Identity of a request over all attempts of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestIdentity(u128);

impl RequestIdentity {
    /// Returns the identity of a request with these parts.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // With the lengths, no two lists of parts are the same sequence of bytes.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(u128::from_le_bytes(bytes))
    }
}

/// Back ends that ended, and the requests that they ran.
pub struct RunLimits {
    state: Mutex<State>,
    started_at: Instant,
}

#[derive(Default)]
struct State {
    requests: DeadlyRequests,
    processes: HashMap<SocketAddr, Process>,
}

/// The process at an address, of which only the address is known.
#[derive(Clone, Copy, Default)]
struct Process {
    number: u32,
    ended: bool,
}

impl Default for RunLimits {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            started_at: Instant::now(),
        }
    }
}

impl RunLimits {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a request must not be sent to any back end.
    pub fn is_blocked(&self, request: RequestIdentity) -> bool {
        let now = self.started_at.elapsed();
        self.state().requests.standing(request.0, now) == Standing::Blocked
    }

    /// Records that the connection to a back end was lost under a request. It counts against the
    /// request if nothing listens at the address any more.
    pub async fn record_lost(&self, request: RequestIdentity, address: SocketAddr) {
        if !has_ended(address).await {
            return;
        }
        let now = self.started_at.elapsed();
        let mut state = self.state();
        if state.processes.len() >= MAX_ADDRESSES {
            state.processes.clear();
        }
        let process = state.processes.entry(address).or_default();
        process.ended = true;
        let process = process_hash(address, *process);
        let before = state.requests.standing(request.0, now);
        let standing = state.requests.record_end(request.0, process, now);
        drop(state);
        if standing == Standing::Blocked && before != standing {
            let detail = format!("identity={:032x} back_end={address}", request.0);
            events::emit(Event::RequestBlocked, "", &detail);
        }
    }

    /// Records that a back end ran a request to its end.
    pub fn record_completed(&self, request: RequestIdentity, address: SocketAddr) {
        let mut state = self.state();
        state.requests.clear(request.0);
        if let Some(process) = state
            .processes
            .get_mut(&address)
            .filter(|known| known.ended)
        {
            process.number = process.number.wrapping_add(1);
            process.ended = false;
        }
    }
}

/// One run of a request on a back end, whose response is being relayed.
#[derive(Clone)]
pub struct Run {
    /// Limits to which the end of the run is reported.
    pub limits: Arc<RunLimits>,
    /// Identity of the request.
    pub request: RequestIdentity,
    /// Address of the back end.
    pub address: SocketAddr,
}

impl Run {
    /// Records that the back end's connection was lost.
    pub fn record_lost(self) {
        tokio::spawn(async move {
            let Self {
                limits,
                request,
                address,
            } = self;
            limits.record_lost(request, address).await;
        });
    }

    /// Records that the request ran to its end.
    pub fn record_completed(self) {
        self.limits.record_completed(self.request, self.address);
    }
}

fn process_hash(address: SocketAddr, process: Process) -> u64 {
    let digest = blake3::hash(address.to_string().as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(bytes) ^ (u64::from(process.number) << PROCESS_BITS)
}

async fn has_ended(address: SocketAddr) -> bool {
    let connecting = tokio::time::timeout(END_PROBE_TIMEOUT, TcpStream::connect(address));
    match connecting.await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
