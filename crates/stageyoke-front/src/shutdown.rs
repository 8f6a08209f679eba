//! Graceful shutdown: tracks requests in flight and signals listeners and connections to
//! close.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Counter of requests and streams in flight, and of responses that are being written.
#[derive(Clone, Debug, Default)]
pub struct RequestTracker(Rc<TrackerState>);

#[derive(Debug, Default)]
struct TrackerState {
    count: Cell<usize>,
    idle: Notify,
}

/// Counts one request, stream or response as in flight until dropped.
#[derive(Debug)]
pub struct RequestGuard {
    state: Rc<TrackerState>,
    is_metered: bool,
}

impl RequestTracker {
    /// Counts one more request until the guard is dropped.
    pub fn track(&self) -> RequestGuard {
        stageyoke_observe::metrics().in_flight.inc();
        self.guard(true)
    }

    /// Counts a response that is being written until the guard is dropped. It is no request any
    /// more, so the metric of requests in flight leaves it out.
    pub fn track_response(&self) -> RequestGuard {
        self.guard(false)
    }

    fn guard(&self, is_metered: bool) -> RequestGuard {
        self.0.count.set(self.0.count.get() + 1);
        RequestGuard {
            state: self.0.clone(),
            is_metered,
        }
    }

    /// Returns the number of requests in flight, and of responses that are being written.
    pub fn count(&self) -> usize {
        self.0.count.get()
    }

    /// Waits until no request is in flight and all responses are written.
    pub async fn wait_until_idle(&self) {
        while self.count() > 0 {
            self.0.idle.notified().await;
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let remaining = self.state.count.get() - 1;
        if self.is_metered {
            stageyoke_observe::metrics().in_flight.dec();
        }
        self.state.count.set(remaining);
        if remaining == 0 {
            self.state.idle.notify_one();
        }
    }
}

/// One-shot signal that wakes all waiting tasks.
#[derive(Debug, Default)]
pub struct ShutdownSignal {
    triggered: Cell<bool>,
    waiters: Notify,
}

impl ShutdownSignal {
    /// Triggers the signal.
    pub fn trigger(&self) {
        self.triggered.set(true);
        self.waiters.notify_waiters();
    }

    /// Waits until the signal is triggered.
    pub async fn triggered(&self) {
        let notified = self.waiters.notified();
        if !self.triggered.get() {
            notified.await;
        }
    }
}
