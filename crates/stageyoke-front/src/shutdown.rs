//! Graceful shutdown: tracks requests in flight and signals listeners and connections to
//! close.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Counter of requests and streams in flight.
#[derive(Clone, Debug, Default)]
pub struct RequestTracker(Rc<TrackerState>);

#[derive(Debug, Default)]
struct TrackerState {
    count: Cell<usize>,
    idle: Notify,
}

/// Counts one request or stream as in flight until dropped.
#[derive(Debug)]
pub struct RequestGuard(Rc<TrackerState>);

impl RequestTracker {
    /// Counts one more request until the guard is dropped.
    pub fn track(&self) -> RequestGuard {
        self.0.count.set(self.0.count.get() + 1);
        stageyoke_observe::metrics().in_flight.inc();
        RequestGuard(self.0.clone())
    }

    /// Returns the number of requests in flight.
    pub fn count(&self) -> usize {
        self.0.count.get()
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        while self.count() > 0 {
            self.0.idle.notified().await;
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let remaining = self.0.count.get() - 1;
        stageyoke_observe::metrics().in_flight.dec();
        self.0.count.set(remaining);
        if remaining == 0 {
            self.0.idle.notify_one();
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
