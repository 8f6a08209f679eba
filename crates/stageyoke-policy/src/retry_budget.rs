//! How many requests may be tried again because their answer has not come: a part
//! of all requests, so that tries can't multiply the load of replicas that are all
//! slow for want of room.

/// Retries that each request allows: one in ten requests may be tried again.
const PER_REQUEST: f64 = 0.1;
/// Retries that may come at once after a quiet time.
const MOST: f64 = 20.0;

/// What is left to spend on retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    left: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { left: MOST }
    }
}

impl RetryBudget {
    /// One more request is made.
    pub fn deposit(&mut self) {
        self.left = (self.left + PER_REQUEST).min(MOST);
    }

    /// Takes one retry, if there is one.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.left >= 1.0;
        if allowed {
            self.left -= 1.0;
        }
        allowed
    }
}
