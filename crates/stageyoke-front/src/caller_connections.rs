//! Limits of callers' connections, by number and by memory. At a limit a new connection takes
//! the place of the one that has waited the longest for its caller to send something, so that a
//! crowd of slow or idle callers keeps nobody out. Connections whose requests run are not closed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_observe as observe;
use stageyoke_types::Event;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::log_limiter::LogRateLimiter;

/// Fraction of the machine's memory for connections and the heads that they receive.
const CONNECTION_MEMORY_FRACTION: f64 = 0.15;
/// Memory of a connection on which nothing has arrived.
const UNUSED_CONNECTION_BYTES: usize = 3 * 1024;
/// Memory of a connection with a read buffer of the first size.
const CONNECTION_BYTES: usize = 14 * 1024;
/// Size of a read buffer before it grows for a larger head.
const FIRST_READ_BUFFER_BYTES: usize = 8 * 1024;
/// Memory by which the read buffer of a large head is larger.
const LARGE_HEAD_BYTES: usize = 24 * 1024;
/// Descriptors that the machine reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// Descriptors for connections to stores and to the key-value service, for readiness probes and
/// for metrics.
const OTHER_DESCRIPTORS: usize = 400;
/// Descriptors of a request: those of its caller's connection and of the replica's.
const DESCRIPTORS_PER_REQUEST: usize = 2;
/// Smallest number of connections of a front, whatever its settings.
const MIN_CONNECTIONS: usize = 64;
/// Time for which a caller may leave its response unread before its connection can be closed for
/// another one, if no other connection waits for its caller.
const MIN_UNREAD_TIME: Duration = Duration::from_secs(1);
/// Interval between checks for heads that take too long.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Limits of callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum memory of all connections, without the requests that run.
    pub memory_bytes: usize,
}

impl ConnectionLimits {
    /// Returns the limits of a machine.
    pub fn for_machine(memory_bytes: u64, max_descriptors: usize) -> Self {
        let available = max_descriptors.saturating_sub(FILE_DESCRIPTORS + OTHER_DESCRIPTORS);
        Self {
            connections: (available / DESCRIPTORS_PER_REQUEST).max(MIN_CONNECTIONS),
            memory_bytes: (memory_bytes as f64 * CONNECTION_MEMORY_FRACTION) as usize,
        }
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a request.
    Idle,
    /// Receives a request's head.
    Head,
    /// Receives a request's body.
    Body,
    /// Runs a request, or writes its response.
    Busy,
    /// Can't write a response, since the caller does not read.
    Unread,
    /// Discards what the caller still sends after the last response.
    Closing,
}

impl Phase {
    /// Returns the phase's label in metrics and lines.
    fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::Busy => "busy",
            Self::Unread => "unread",
            Self::Closing => "closing",
        }
    }
}

/// Start of a phase and number of the connection: the order in which connections are closed.
type WaitingKey = (Instant, u64);

/// Connections of callers.
pub struct CallerConnections {
    limits: ConnectionLimits,
    open: Cell<usize>,
    bytes: Cell<usize>,
    next_number: Cell<u64>,
    /// Connections that wait for their callers to send something, the longest first.
    waiting: RefCell<BTreeMap<WaitingKey, Rc<ConnectionState>>>,
    /// Connections whose callers don't read, the longest first.
    unread: RefCell<BTreeMap<WaitingKey, Rc<ConnectionState>>>,
    log_limiter: LogRateLimiter,
    closed_since_line: Cell<u64>,
}

#[derive(Debug)]
struct ConnectionState {
    number: u64,
    phase: Cell<Phase>,
    since: Cell<Instant>,
    bytes: Cell<usize>,
    head_bytes: Cell<usize>,
    /// Whether the caller may still send a part of a request that is not read.
    sends_unread: Cell<bool>,
    is_evicted: Cell<bool>,
    eviction: Notify,
}

/// An open connection; dropping the last handle of a connection releases its place.
#[derive(Clone)]
pub struct ConnectionHandle(Rc<OpenConnection>);

struct OpenConnection {
    connections: Rc<CallerConnections>,
    state: Rc<ConnectionState>,
}

impl CallerConnections {
    /// Creates the limits without connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            open: Cell::new(0),
            bytes: Cell::new(0),
            next_number: Cell::new(0),
            waiting: RefCell::default(),
            unread: RefCell::default(),
            log_limiter: LogRateLimiter::default(),
            closed_since_line: Cell::new(0),
        }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns the memory that open connections are counted with.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Admits a new connection, if necessary in the place of another one. `None` if all others
    /// have requests that run.
    pub fn admit(self: &Rc<Self>) -> Option<ConnectionHandle> {
        if self.open.get() >= self.limits.connections && !self.evict_one() {
            self.record_closed("refused");
            return None;
        }
        if !self.make_room(UNUSED_CONNECTION_BYTES) {
            self.record_closed("refused");
            return None;
        }
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let state = Rc::new(ConnectionState {
            number,
            phase: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
            bytes: Cell::new(UNUSED_CONNECTION_BYTES),
            head_bytes: Cell::new(0),
            sends_unread: Cell::new(false),
            is_evicted: Cell::new(false),
            eviction: Notify::new(),
        });
        self.open.set(self.open.get() + 1);
        self.bytes.set(self.bytes.get() + UNUSED_CONNECTION_BYTES);
        self.list(&state);
        observe::metrics().caller_connections.inc();
        Some(ConnectionHandle(Rc::new(OpenConnection {
            connections: self.clone(),
            state,
        })))
    }

    fn make_room(&self, bytes: usize) -> bool {
        while self.bytes.get() + bytes > self.limits.memory_bytes {
            if !self.evict_one() {
                return false;
            }
        }
        true
    }

    /// Closes the connection that has waited the longest. Its place is free at once.
    fn evict_one(&self) -> bool {
        let waiting = self.waiting.borrow().values().next().cloned();
        let unread = || {
            let unread = self.unread.borrow();
            let longest = unread.values().next()?;
            (longest.since.get().elapsed() >= MIN_UNREAD_TIME).then(|| longest.clone())
        };
        let Some(state) = waiting.or_else(unread) else {
            return false;
        };
        self.evict(&state, state.phase.get().name());
        true
    }

    fn evict(&self, state: &ConnectionState, cause: &str) {
        self.unlist(state);
        self.release(state);
        state.is_evicted.set(true);
        state.eviction.notify_waiters();
        self.record_closed(cause);
    }

    fn release(&self, state: &ConnectionState) {
        self.open.set(self.open.get() - 1);
        self.bytes.set(self.bytes.get() - state.bytes.take());
    }

    fn list(&self, state: &Rc<ConnectionState>) {
        let key = (state.since.get(), state.number);
        match state.phase.get() {
            Phase::Busy => {}
            Phase::Unread => drop(self.unread.borrow_mut().insert(key, state.clone())),
            _ => drop(self.waiting.borrow_mut().insert(key, state.clone())),
        }
    }

    fn unlist(&self, state: &ConnectionState) {
        let key = (state.since.get(), state.number);
        match state.phase.get() {
            Phase::Busy => {}
            Phase::Unread => drop(self.unread.borrow_mut().remove(&key)),
            _ => drop(self.waiting.borrow_mut().remove(&key)),
        }
    }

    fn record_closed(&self, cause: &str) {
        let closed = &observe::metrics().closed_connections;
        closed.with_label_values(&[cause]).inc();
        self.closed_since_line.set(self.closed_since_line.get() + 1);
        if self.log_limiter.try_acquire() {
            let (open, closed) = (self.open.get(), self.closed_since_line.take());
            let bytes = self.bytes.get();
            let detail = format!("closed={closed} last={cause} open={open} bytes={bytes}");
            observe::record_event(Event::CallerConnectionsClosed, &detail);
        }
    }

    /// Closes connections whose heads take longer than the timeout. Never returns.
    pub async fn watch_heads(&self, timeout: impl Fn() -> Duration) {
        let mut delayed_until = Instant::now();
        loop {
            let started = Instant::now();
            tokio::time::sleep(CHECK_INTERVAL).await;
            let timeout = timeout();
            if started.elapsed() > CHECK_INTERVAL * 2 {
                // This process was suspended, and what callers sent meanwhile is not read yet.
                delayed_until = Instant::now() + timeout;
            }
            if Instant::now() >= delayed_until {
                self.evict_late_heads(timeout);
            }
        }
    }

    fn evict_late_heads(&self, timeout: Duration) {
        let Some(latest) = Instant::now().checked_sub(timeout) else {
            return;
        };
        let late: Vec<_> = {
            let waiting = self.waiting.borrow();
            let older = waiting.range(..(latest, 0)).map(|(_, state)| state);
            let heads = older.filter(|state| state.phase.get() == Phase::Head);
            heads.cloned().collect()
        };
        for state in late {
            self.evict(&state, "head_timeout");
        }
    }
}

impl ConnectionHandle {
    fn state(&self) -> &Rc<ConnectionState> {
        &self.0.state
    }

    fn enter(&self, phase: Phase) {
        let state = self.state();
        if state.is_evicted.get() || state.phase.get() == phase {
            return;
        }
        self.0.connections.unlist(state);
        state.phase.set(phase);
        state.since.set(Instant::now());
        self.0.connections.list(state);
        // Running requests may have taken the connections over their memory, which ends here.
        self.0.connections.make_room(0);
    }

    fn set_bytes(&self, bytes: usize) {
        let state = self.state();
        let connections = &self.0.connections;
        if state.is_evicted.get() {
            return;
        }
        let added = bytes.saturating_sub(state.bytes.get());
        // Without room this connection may be the one that is closed.
        connections.make_room(added);
        if state.is_evicted.get() {
            return;
        }
        let total = connections.bytes.get() + bytes - state.bytes.get();
        connections.bytes.set(total);
        state.bytes.set(bytes);
    }

    /// Returns what the connection does.
    pub fn phase(&self) -> Phase {
        self.state().phase.get()
    }

    /// Records that the caller may send something, so that a read buffer is allocated.
    pub fn start_reading(&self) {
        self.set_bytes(CONNECTION_BYTES);
    }

    /// Records bytes that have been read.
    pub fn record_read(&self, bytes: usize) {
        let state = self.state();
        if state.phase.get() == Phase::Idle {
            self.enter(Phase::Head);
        }
        if state.phase.get() != Phase::Head {
            return;
        }
        state.head_bytes.set(state.head_bytes.get() + bytes);
        if state.head_bytes.get() > FIRST_READ_BUFFER_BYTES {
            self.set_bytes(CONNECTION_BYTES + LARGE_HEAD_BYTES);
        }
    }

    /// Records that a request's head is complete. Its memory is the request's from now on.
    pub fn start_request(&self, has_body: bool) {
        self.state().head_bytes.set(0);
        self.set_bytes(CONNECTION_BYTES);
        self.state().sends_unread.set(has_body);
        self.enter(if has_body { Phase::Body } else { Phase::Busy });
    }

    /// Records that a request's body is complete.
    pub fn finish_body(&self) {
        self.state().sends_unread.set(false);
        self.enter(Phase::Busy);
    }

    /// Records that a response is ready to be written.
    pub fn start_response(&self) {
        self.enter(Phase::Busy);
    }

    /// Records whether the response can't be written, since the caller does not read.
    pub fn record_write(&self, is_blocked: bool) {
        match (is_blocked, self.phase()) {
            (true, Phase::Busy) => self.enter(Phase::Unread),
            (false, Phase::Unread) => self.enter(Phase::Busy),
            _ => {}
        }
    }

    /// Records that a response is written. A connection whose request was not read whole is closed
    /// next.
    pub fn finish_response(&self) {
        if self.phase() == Phase::Busy {
            self.enter(match self.sends_unread() {
                true => Phase::Closing,
                false => Phase::Idle,
            });
        }
    }

    /// Records that the connection is closed once the caller has stopped sending.
    pub fn start_closing(&self) {
        self.enter(Phase::Closing);
    }

    /// Returns whether the caller may still send a part of a request that is not read.
    pub fn sends_unread(&self) -> bool {
        self.state().sends_unread.get()
    }

    /// Returns whether the connection must be closed in favour of others.
    pub fn is_evicted(&self) -> bool {
        self.state().is_evicted.get()
    }

    /// Waits until the connection must be closed in favour of others.
    pub async fn evicted(&self) {
        let state = self.state();
        let notified = state.eviction.notified();
        if !state.is_evicted.get() {
            notified.await;
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        if !self.state.is_evicted.get() {
            self.connections.unlist(&self.state);
            self.connections.release(&self.state);
        }
        observe::metrics().caller_connections.dec();
    }
}
