//! Error responses of the front, each with one kind from a closed list.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use stageyoke_types::ErrorKind;

use crate::response_body::ResponseBody;

/// Reason why the front ends a request with an error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Failure {
    /// Error kind sent to the caller.
    pub kind: ErrorKind,
    /// Delay after which the caller may retry, if that can help.
    pub retry_after: Option<Duration>,
    /// Cause as logged.
    pub cause: &'static str,
}

impl Failure {
    /// Creates a failure without a retry delay.
    pub fn permanent(kind: ErrorKind, cause: &'static str) -> Self {
        Self {
            kind,
            retry_after: None,
            cause,
        }
    }

    /// Creates a rejection of a request that has not run and may be retried after the
    /// delay.
    pub fn retryable(kind: ErrorKind, cause: &'static str, after: Duration) -> Self {
        Self {
            kind,
            retry_after: Some(after),
            cause,
        }
    }
}

impl Failure {
    /// Returns whether the request has certainly not run at any replica.
    pub fn has_not_run(&self) -> bool {
        matches!(
            self.kind,
            ErrorKind::Overloaded
                | ErrorKind::Unavailable
                | ErrorKind::NotFound
                | ErrorKind::TokenBudgetSpent
        )
    }
}

/// Builds the error response for a failure.
pub fn build_response(failure: &Failure) -> Response<ResponseBody> {
    let description = failure.kind.response();
    let content = format!(
        "{{\"error\":{{\"kind\":\"{}\",\"message\":\"{}\"}}}}",
        description.name, description.meaning
    );
    let mut response = Response::new(ResponseBody::full(content));
    *response.status_mut() =
        StatusCode::from_u16(description.http_status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = failure.retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
