//! Causes for which a replica's response is given up because of its size.

use stageyoke_observe as observe;

/// Outcome of an attempt whose response exceeds the size limit.
pub const OVERSIZED_RESPONSE: &str = "oversized_response";
/// Outcome of an attempt whose replica sent too many bytes before its response began.
pub const OVERSIZED_HEAD: &str = "oversized_head";
/// Outcome of an attempt whose response exceeds the memory budget.
pub const NO_MEMORY_FOR_RESPONSE: &str = "no_memory_for_response";
/// Cause for which the connection of a rejected request is closed.
pub const OVERSIZED_REJECTION: &str = "oversized_rejection";

/// Counts a response that was given up.
pub fn count(cause: &'static str) {
    let given_up = &observe::metrics().oversized_responses;
    given_up.with_label_values(&[cause]).inc();
}

/// Returns the cause of a request's failure if its last attempt ended with this one.
pub fn failure_cause(attempt: &'static str) -> Option<&'static str> {
    matches!(
        attempt,
        OVERSIZED_RESPONSE | OVERSIZED_HEAD | NO_MEMORY_FOR_RESPONSE
    )
    .then_some(attempt)
}
