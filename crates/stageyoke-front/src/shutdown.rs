//! Counts what is under way, so that a stop can wait for it.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Requests and streams under way.
#[derive(Clone, Debug, Default)]
pub struct RequestTracker(Rc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    count: Cell<usize>,
    idle: Notify,
}

/// One request or stream; ends when dropped.
#[derive(Debug)]
pub struct RequestGuard(Rc<Inner>);

impl RequestTracker {
    /// Counts one more until the guard is dropped.
    pub fn track(&self) -> RequestGuard {
        self.0.count.set(self.0.count.get() + 1);
        stageyoke_observe::metrics().in_flight.inc();
        RequestGuard(self.0.clone())
    }

    /// How many are under way.
    pub fn count(&self) -> usize {
        self.0.count.get()
    }

    /// Waits until nothing is under way.
    pub async fn wait_until_idle(&self) {
        while self.count() > 0 {
            self.0.idle.notified().await;
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let left = self.0.count.get() - 1;
        stageyoke_observe::metrics().in_flight.dec();
        self.0.count.set(left);
        if left == 0 {
            self.0.idle.notify_one();
        }
    }
}

/// A one-way switch: once begun, all that wait for it go on.
#[derive(Debug, Default)]
pub struct ShutdownSignal {
    triggered: Cell<bool>,
    waiting: Notify,
}

impl ShutdownSignal {
    /// Turns the switch.
    pub fn trigger(&self) {
        self.triggered.set(true);
        self.waiting.notify_waiters();
    }

    /// Waits until the switch is turned.
    pub async fn triggered(&self) {
        let notified = self.waiting.notified();
        if !self.triggered.get() {
            notified.await;
        }
    }
}
