//! Causes for which a replica's response is given up because of its size.

use stageyoke_observe as observe;

/// Cause for which the connection of a rejected request is closed.
pub const OVERSIZED_REJECTION: &str = "oversized_rejection";

/// Counts a response that was given up.
pub fn count(cause: &'static str) {
    let given_up = &observe::metrics().oversized_responses;
    given_up.with_label_values(&[cause]).inc();
}
