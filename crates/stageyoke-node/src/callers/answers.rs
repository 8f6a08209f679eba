//! Responses: JSON bodies, and the error body that every failure gets.

use hyper::{Response, StatusCode, header};
use serde::Serialize;
use stageyoke_core::gateway::Failure;
use stageyoke_types::{ErrorKind, RunState};

use crate::backends::{Body, full_body};

/// Body of a failure: OpenAI's error object with two more fields.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    error: ErrorObject,
}

#[derive(Debug, Serialize)]
struct ErrorObject {
    message: String,
    #[serde(rename = "type")]
    type_name: &'static str,
    code: &'static str,
    kind: &'static str,
    run_state: &'static str,
}

impl ErrorBody {
    /// The body of a failure.
    pub fn of(failure: &Failure) -> Self {
        let answer = failure.kind.response();
        let message = match failure.detail.as_str() {
            "" => answer.meaning.to_owned(),
            detail => format!("{} ({detail})", answer.meaning),
        };
        Self {
            error: ErrorObject {
                message,
                type_name: answer.name,
                code: answer.name,
                kind: answer.name,
                run_state: failure.run_state.name(),
            },
        }
    }
}

/// A JSON response.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    // Types of this crate always encode.
    let content = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(full_body(content));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// The response to a failure, with advice on retrying. A retry is not advised
/// where the outcome is unknown, unless the same key makes it harmless.
pub fn failure(failure: &Failure) -> Response<Body> {
    let answer = failure.kind.response();
    let status = StatusCode::from_u16(answer.http_status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, &ErrorBody::of(failure));
    if let Some(seconds) = answer.retry.retry_after_seconds() {
        let value = header::HeaderValue::from(seconds);
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// The response to a refusal of work that was not run.
pub fn refusal(kind: ErrorKind, detail: &str) -> Response<Body> {
    failure(&Failure {
        kind,
        run_state: RunState::NotRun,
        detail: detail.into(),
    })
}
