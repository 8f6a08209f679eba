//! `GET` and `DELETE /v1/programs/ID`, and the names of programs.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use stageyoke_core::gateway::{Failure, QueryAnswer};
use stageyoke_core::program::ProgramView;
use stageyoke_types::{ErrorKind, ProgramId, ProgramKey, TenantId};

use super::answers::{failure, json, refusal};
use super::context::CallerContext;
use crate::backends::Body;
use crate::driver::QueryKind;

/// Path prefix of programs.
pub const PROGRAMS_PREFIX: &str = "/v1/programs/";
const MAX_SEGMENT_LENGTH: usize = 128;
const MAX_PATH_LENGTH: usize = 512;

/// True for one name within a program's path.
pub fn valid_segment(segment: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=MAX_SEGMENT_LENGTH).contains(&segment.len()) && segment.bytes().all(allowed)
}

/// The program of a name and its parent's. The name may be given in full or
/// without the parent's path.
pub fn program_from(name: &str, parent: Option<&str>) -> Result<ProgramId, Failure> {
    let path = match parent {
        Some(parent) if !name.starts_with(&format!("{parent}/")) => format!("{parent}/{name}"),
        _ => name.to_owned(),
    };
    if path.len() > MAX_PATH_LENGTH || !path.split('/').all(valid_segment) {
        return Err(Failure::not_run(
            ErrorKind::BadRequest,
            "program identifier",
        ));
    }
    Ok(ProgramId::from(path.as_str()))
}

/// A program as shown to its tenant.
#[derive(Debug, Serialize)]
struct ProgramBody<'a> {
    id: &'a str,
    object: &'static str,
    state: &'static str,
    end_reason: Option<&'static str>,
    open_calls: u32,
    ledger: LedgerBody,
    history: Vec<HistoryEntry<'a>>,
}

#[derive(Debug, Serialize)]
struct LedgerBody {
    calls: Account,
    tokens_in: Account,
    tokens_out: Account,
    sub_agents: Account,
}

#[derive(Debug, Serialize)]
struct Account {
    used: u64,
    reserved: u64,
    /// 0 stands for no limit.
    limit: u64,
}

#[derive(Debug, Serialize)]
struct HistoryEntry<'a> {
    role: &'static str,
    content: &'a str,
}

/// Serves a request about one program.
pub async fn serve(context: &Arc<CallerContext>, request: Request<Incoming>) -> Response<Body> {
    let admitted = match context.admit(&request) {
        Ok(admitted) => admitted,
        Err(reason) => return failure(&reason),
    };
    let path = request.uri().path();
    let name = path.strip_prefix(PROGRAMS_PREFIX).unwrap_or_default();
    let program = match program_from(name, None) {
        Ok(program) => program,
        Err(reason) => return failure(&reason),
    };
    let key = ProgramKey {
        tenant: TenantId::from(admitted.tenant.name.as_str()),
        program,
    };
    match *request.method() {
        Method::GET => show(context, key).await,
        Method::DELETE => end(context, key).await,
        _ => refusal(ErrorKind::BadRequest, "method"),
    }
}

async fn show(context: &Arc<CallerContext>, key: ProgramKey) -> Response<Body> {
    let answer = context.driver.query(QueryKind::View, key.clone()).await;
    match answer {
        QueryAnswer::View(Some(view)) => json(StatusCode::OK, &body_of(&key, &view)),
        // A foreign program looks just like one that is not there: the tenant
        // is part of the key that is looked up.
        QueryAnswer::View(None) => refusal(ErrorKind::NotFound, "program"),
        _ => refusal(ErrorKind::Unavailable, ""),
    }
}

async fn end(context: &Arc<CallerContext>, key: ProgramKey) -> Response<Body> {
    let answer = context.driver.query(QueryKind::End, key.clone()).await;
    match answer {
        QueryAnswer::Ended(true) => show(context, key).await,
        QueryAnswer::Ended(false) => refusal(ErrorKind::NotFound, "program"),
        _ => refusal(ErrorKind::Unavailable, ""),
    }
}

fn body_of<'a>(key: &'a ProgramKey, view: &'a ProgramView) -> ProgramBody<'a> {
    let (ledger, limits) = (&view.ledger, &view.limits);
    let account = |used, reserved, limit| Account {
        used,
        reserved,
        limit,
    };
    let history = view.history.iter().map(|message| HistoryEntry {
        role: message.role.name(),
        content: &message.content,
    });
    ProgramBody {
        id: &key.program.0,
        object: "program",
        state: if view.ended.is_some() {
            "ended"
        } else {
            "open"
        },
        end_reason: view.ended.map(|reason| reason.name()),
        open_calls: view.open_calls,
        ledger: LedgerBody {
            calls: account(u64::from(ledger.calls), 0, u64::from(limits.calls)),
            tokens_in: account(
                ledger.used.tokens_in,
                ledger.reserved.tokens_in,
                limits.tokens_in,
            ),
            tokens_out: account(
                ledger.used.tokens_out,
                ledger.reserved.tokens_out,
                limits.tokens_out,
            ),
            sub_agents: account(u64::from(ledger.children), 0, u64::from(limits.fan_out)),
        },
        history: history.collect(),
    }
}
