//! The front's own answers: one error kind each, from the closed list.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use stageyoke_types::ErrorKind;

use crate::response_body::ResponseBody;

/// Why a request ends here, and when it may come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Failure {
    /// Kind of the failure.
    pub kind: ErrorKind,
    /// When to come back, where that may help.
    pub retry_after: Option<Duration>,
    /// What led to it, for the log.
    pub cause: &'static str,
}

impl Failure {
    /// A failure that is final.
    pub fn permanent(kind: ErrorKind, cause: &'static str) -> Self {
        Self {
            kind,
            retry_after: None,
            cause,
        }
    }

    /// A refusal of a request that has not run.
    pub fn retryable(kind: ErrorKind, cause: &'static str, after: Duration) -> Self {
        Self {
            kind,
            retry_after: Some(after),
            cause,
        }
    }
}

impl Failure {
    /// Whether the request has not run at any replica, and will not.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self.kind,
            ErrorKind::Overloaded
                | ErrorKind::Unavailable
                | ErrorKind::NotFound
                | ErrorKind::TokenBudgetSpent
        )
    }
}

/// The answer that belongs to a failure.
pub fn build_response(failure: &Failure) -> Response<ResponseBody> {
    let answer = failure.kind.response();
    let content = format!(
        "{{\"error\":{{\"kind\":\"{}\",\"message\":\"{}\"}}}}",
        answer.name, answer.meaning
    );
    let mut response = Response::new(ResponseBody::full(content));
    *response.status_mut() =
        StatusCode::from_u16(answer.http_status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
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
