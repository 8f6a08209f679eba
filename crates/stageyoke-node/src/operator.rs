//! The operators' port: health, readiness, metrics, and the node's state.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde::Serialize;
use stageyoke_core::node::Input;
use stageyoke_types::ErrorKind;
use tokio::net::TcpListener;

use crate::backends::{Body, full_body};
use crate::callers::answers::{json, refusal};
use crate::callers::context::CallerContext;
use crate::driver::{Command, StatusReport};
use crate::platform::config_source::ConfigRecord;

/// A node's state as JSON.
#[derive(Debug, Serialize)]
struct StatusBody {
    node: String,
    name: String,
    config_version: u64,
    config_apply_id: Option<String>,
    draining: bool,
    ready: bool,
    calls_waiting: usize,
    shards_led: usize,
    replicas: usize,
    members: Vec<MemberBody>,
    shards: Vec<ShardBody>,
    engines: Vec<String>,
}

#[derive(Debug, Serialize)]
struct MemberBody {
    node: String,
    name: String,
    zone: String,
    region: String,
    address: String,
    status: String,
}

#[derive(Debug, Serialize)]
struct ShardBody {
    shard: u32,
    term: u64,
    leader: Option<String>,
    voters: Vec<String>,
    programs: usize,
}

/// Serves operators until the node stops.
pub async fn run(context: Arc<CallerContext>, listener: TcpListener, name: String) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let (context, name) = (context.clone(), name.clone());
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let (context, name) = (context.clone(), name.clone());
                async move { Ok::<_, Infallible>(handle(&context, &name, request).await) }
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn handle(
    context: &Arc<CallerContext>,
    name: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    match request.uri().path() {
        "/config" if request.method() == Method::POST => accepted_config(context, request).await,
        "/healthz" => text(StatusCode::OK, "ok\n".to_owned()),
        "/readyz" => ready(context).await,
        "/metrics" => text(StatusCode::OK, context.metrics.render()),
        "/config" => match context.config.get() {
            Some(active) => text(StatusCode::OK, active.text.clone()),
            None => refusal(ErrorKind::NotFound, "no configuration yet"),
        },
        "/status" => match context.driver.status().await {
            Some(status) => json(StatusCode::OK, &body_of(context, name, &status)),
            None => refusal(ErrorKind::Draining, ""),
        },
        _ => refusal(ErrorKind::NotFound, "path"),
    }
}

/// An operator's tool passes on what the key-value service has accepted, so
/// that an outage right after the acceptance delays nothing.
async fn accepted_config(
    context: &Arc<CallerContext>,
    request: Request<Incoming>,
) -> Response<Body> {
    let Ok(body) = request.into_body().collect().await else {
        return refusal(ErrorKind::BadRequest, "body cut short");
    };
    let record: ConfigRecord = match serde_json::from_slice(&body.to_bytes()) {
        Ok(record) => record,
        Err(error) => return refusal(ErrorKind::BadRequest, &error.to_string()),
    };
    if let Err(problems) = stageyoke_config::check("configuration", &record.text) {
        return refusal(ErrorKind::ConfigInvalid, &problems.to_string());
    }
    let offer = Input::OfferConfig(record.bundle());
    context.driver.send(Command::Input(offer));
    text(StatusCode::OK, "ok\n".to_owned())
}

async fn ready(context: &Arc<CallerContext>) -> Response<Body> {
    match context.driver.status().await {
        Some(status) if is_ready(context, &status) => text(StatusCode::OK, "ready\n".to_owned()),
        _ => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
    }
}

/// A node is ready with a configuration, a place in a formed cluster, and no
/// order to stop.
fn is_ready(context: &Arc<CallerContext>, status: &StatusReport) -> bool {
    let formed = status.shards.iter().any(|shard| shard.leader.is_some());
    let alone = status.shards.is_empty() && status.node.members > 1;
    let staying = !context.draining.load(Ordering::Relaxed);
    context.config.get().is_some() && (formed || alone) && staying
}

fn body_of(context: &Arc<CallerContext>, name: &str, status: &StatusReport) -> StatusBody {
    let members = status.members.iter().map(|member| MemberBody {
        node: member.node.to_string(),
        name: member.info.name.to_string(),
        zone: member.info.zone.to_string(),
        region: member.info.region.to_string(),
        address: member.info.address.to_string(),
        status: member.status.clone(),
    });
    let shards = status.shards.iter().map(|shard| ShardBody {
        shard: shard.shard.0,
        term: shard.term,
        leader: shard.leader.map(|leader| leader.to_string()),
        voters: shard.voters.iter().map(ToString::to_string).collect(),
        programs: shard.programs,
    });
    StatusBody {
        node: status.node.node.to_string(),
        name: name.to_owned(),
        config_version: status.node.config.0,
        config_apply_id: context.config.get().map(|active| active.apply_id.clone()),
        draining: status.node.draining,
        ready: is_ready(context, status),
        calls_waiting: status.node.unanswered,
        shards_led: status.node.leading.len(),
        replicas: status.node.replicas,
        members: members.collect(),
        shards: shards.collect(),
        engines: status.engines.iter().map(ToString::to_string).collect(),
    }
}

fn text(status: StatusCode, content: String) -> Response<Body> {
    let mut response = Response::new(full_body(content));
    *response.status_mut() = status;
    response
}
