//! Counts what is under way, so that a stop can wait for it.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Requests and streams under way.
#[derive(Clone, Debug, Default)]
pub struct Activity(Rc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    count: Cell<usize>,
    idle: Notify,
}

/// One request or stream; ends when dropped.
#[derive(Debug)]
pub struct Active(Rc<Inner>);

impl Activity {
    /// Counts one more until the guard is dropped.
    pub fn begin(&self) -> Active {
        self.0.count.set(self.0.count.get() + 1);
        stageyoke_observe::metrics().under_way.inc();
        Active(self.0.clone())
    }

    /// How many are under way.
    pub fn count(&self) -> usize {
        self.0.count.get()
    }

    /// Waits until nothing is under way.
    pub async fn idle(&self) {
        while self.count() > 0 {
            self.0.idle.notified().await;
        }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        let left = self.0.count.get() - 1;
        stageyoke_observe::metrics().under_way.dec();
        self.0.count.set(left);
        if left == 0 {
            self.0.idle.notify_one();
        }
    }
}

/// A one-way switch: once begun, all that wait for it go on.
#[derive(Debug, Default)]
pub struct Closing {
    begun: Cell<bool>,
    waiting: Notify,
}

impl Closing {
    /// Turns the switch.
    pub fn begin(&self) {
        self.begun.set(true);
        self.waiting.notify_waiters();
    }

    /// Waits until the switch is turned.
    pub async fn begun(&self) {
        let notified = self.waiting.notified();
        if !self.begun.get() {
            notified.await;
        }
    }
}
