//! Error kinds and the response for each of them.
//!
//! `docs/ERRORS.md` contains the same table; a test compares the two.

use std::fmt;

use nanoserde::{DeBin, SerBin};

/// Whether the work of a rejected or failed call was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub enum RunState {
    /// The work was not sent to a back end and will not be.
    NotRun,
    /// A back end ran the work.
    Ran,
    /// A back end may have run the work; it will not be run again.
    Unknown,
}

impl RunState {
    /// Returns the value of the `run_state` field in an error body.
    pub fn name(self) -> &'static str {
        match self {
            RunState::NotRun => "not_run",
            RunState::Ran => "ran",
            RunState::Unknown => "unknown",
        }
    }
}

/// Retry advice for the caller that receives an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAdvice {
    /// The same request would fail again.
    Never,
    /// A retry may succeed after this number of seconds.
    After(u32),
    /// A retry with the same `Idempotency-Key` after this number of seconds returns the
    /// outcome. A retry with another key could run the work twice.
    SameKey(u32),
}

impl RetryAdvice {
    /// Returns the value of the `Retry-After` header in seconds, or `None` if a retry can't
    /// succeed.
    pub fn retry_after_seconds(self) -> Option<u32> {
        match self {
            RetryAdvice::Never => None,
            RetryAdvice::After(seconds) | RetryAdvice::SameKey(seconds) => Some(seconds),
        }
    }
}

impl fmt::Display for RetryAdvice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RetryAdvice::Never => formatter.write_str("no"),
            RetryAdvice::After(seconds) => write!(formatter, "after {seconds} s"),
            RetryAdvice::SameKey(seconds) => write!(formatter, "same key after {seconds} s"),
        }
    }
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident, $name:literal, $status:literal, $exit:literal, $retry:expr, $meaning:literal;)*) => {
        /// Error kinds reported to callers and operators.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
        pub enum ErrorKind {
            $(#[doc = $meaning] $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in table order.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind),*];

            /// Returns the response for this kind.
            pub fn response(self) -> ErrorResponse {
                match self {
                    $(ErrorKind::$kind => ErrorResponse {
                        name: $name, http_status: $status, exit_code: $exit,
                        retry: $retry, meaning: $meaning,
                    },)*
                }
            }
        }
    };
}

/// Response to a caller or operator for one error kind.
#[derive(Clone, Copy, Debug)]
pub struct ErrorResponse {
    /// Value of the `kind` field in an error body.
    pub name: &'static str,
    /// HTTP status code.
    pub http_status: u16,
    /// Exit code of the command-line tool.
    pub exit_code: i32,
    /// Retry advice.
    pub retry: RetryAdvice,
    /// Human-readable description in one sentence.
    pub meaning: &'static str,
}

error_kinds! {
    BadRequest, "bad_request", 400, 2, RetryAdvice::Never, "The request is malformed.";
    Unauthorized, "unauthorized", 401, 3, RetryAdvice::Never, "No known tenant key was given.";
    NotFound, "not_found", 404, 4, RetryAdvice::Never, "There is no such program or route for this tenant.";
    UnknownModel, "unknown_model", 404, 5, RetryAdvice::Never, "The configuration declares no such model for this tenant.";
    TooLarge, "too_large", 413, 6, RetryAdvice::Never, "The header, body or message exceeds its limit.";
    TooSlow, "too_slow", 408, 7, RetryAdvice::After(1), "The request was not sent within its time limit.";
    KeyConflict, "key_conflict", 409, 8, RetryAdvice::Never, "The idempotency key was used for a different request.";
    ProgramEnded, "program_ended", 409, 9, RetryAdvice::Never, "The program has ended.";
    BudgetExceeded, "budget_exceeded", 429, 10, RetryAdvice::Never, "The program or an ancestor has no budget left for this call.";
    RateLimited, "rate_limited", 429, 11, RetryAdvice::After(1), "The tenant has reached its limit of concurrent work.";
    Overloaded, "overloaded", 503, 12, RetryAdvice::After(2), "The system has no room for this class of work now.";
    DeadlineExceeded, "deadline_exceeded", 504, 13, RetryAdvice::SameKey(1), "The call did not finish before its deadline.";
    Unavailable, "unavailable", 503, 14, RetryAdvice::After(1), "No quorum of the program's replicas answered in time.";
    BackEndFailed, "back_end_failed", 502, 15, RetryAdvice::After(1), "Every back end that was tried failed.";
    OutcomeUnknown, "outcome_unknown", 502, 16, RetryAdvice::SameKey(1), "The work may have run and will not be run again.";
    Cancelled, "cancelled", 499, 17, RetryAdvice::Never, "The caller or the program's end cancelled the call.";
    Draining, "draining", 503, 18, RetryAdvice::After(1), "This node is leaving; another will serve the request.";
    ConfigInvalid, "config_invalid", 422, 19, RetryAdvice::Never, "The configuration has errors.";
    ConfigConflict, "config_conflict", 409, 20, RetryAdvice::Never, "Another operator applied a configuration first.";
    StoreUnavailable, "store_unavailable", 503, 21, RetryAdvice::After(5), "The key-value service did not answer.";
    StorageFull, "storage_full", 507, 22, RetryAdvice::After(30), "The data folder has reached its size limit.";
    TokenBudgetSpent, "token_budget_spent", 402, 24, RetryAdvice::Never, "The program's turns have used or reserved all of its tokens; this one was not run.";
    QuotaSpent, "quota_spent", 429, 25, RetryAdvice::After(1), "The tenant has made all the requests that its limit allows for now; this one was not run.";
    Internal, "internal", 500, 23, RetryAdvice::After(1), "The node met a fault of its own.";
    RequestBlocked, "request_blocked", 400, 26, RetryAdvice::Never, "Replicas ended one after the other while they ran this request; it is sent to no further one.";
}

impl ErrorKind {
    /// Returns the name of the kind in error bodies and logs.
    pub fn name(self) -> &'static str {
        self.response().name
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
