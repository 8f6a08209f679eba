//! Retry budget: limits retries to a fraction of all requests, so that retries don't
//! multiply the load on replicas that are already overloaded.

/// Retries earned per request: at most one retry for every ten requests.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Upper bound of the balance: retries that may be sent in a burst.
const MAX_RETRIES: f64 = 20.0;

/// Balance of retries that may still be sent.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Credits the budget for one first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Spends one retry; returns false if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
