//! Limits the number of tasks of a listener.

use std::collections::VecDeque;

use tokio::task::AbortHandle;

/// Tasks of a listener's connections. Beyond the maximum the oldest one is ended, so that idle
/// connections keep nobody out.
#[derive(Debug)]
pub struct NewestTasks {
    maximum: usize,
    tasks: VecDeque<AbortHandle>,
}

impl NewestTasks {
    /// Creates an empty list.
    pub fn new(maximum: usize) -> Self {
        Self {
            maximum,
            tasks: VecDeque::new(),
        }
    }

    /// Adds a task, and ends the oldest ones beyond the maximum.
    pub fn add(&mut self, task: AbortHandle) {
        self.tasks.push_back(task);
        if self.tasks.len() > self.maximum {
            self.tasks.retain(|task| !task.is_finished());
        }
        while self.tasks.len() > self.maximum
            && let Some(oldest) = self.tasks.pop_front()
        {
            oldest.abort();
        }
    }
}
