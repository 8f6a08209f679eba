//! Accepts callers' connections, HTTP/1.1 and HTTP/2, and sends each request
//! to its handler.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use stageyoke_framing::{CallerConnection, UnframedSignal};
use stageyoke_types::ErrorKind;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::answers::{failure, json, refusal};
use super::chat_format::ModelList;
use super::context::CallerContext;
use super::{chat, programs};
use crate::backends::Body;
use crate::backends::engine_protocol::COMPLETIONS_PATH;

const MODELS_PATH: &str = "/v1/models";
/// Longest time for a caller to send a request's header.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Header bytes accepted before a configuration says otherwise.
const DEFAULT_HEADER_BYTES: u64 = 65_536;
/// Requests under way on one HTTP/2 connection.
const STREAMS_PER_CONNECTION: u32 = 256;
/// Connections held at once.
const MAX_CONNECTIONS: usize = 20_000;

/// Serves callers until told to stop; then finishes what is under way.
pub async fn run(
    context: Arc<CallerContext>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    drain: Duration,
) {
    let graceful = GracefulShutdown::new();
    let connections = Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    // Dropping the set with this task closes every connection.
    let mut tasks = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.changed() => break,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        // Beyond the limit a connection is closed at once.
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = connection(&context, stream);
        let watched = graceful.watch(connection);
        tasks.spawn(async move {
            let _ = watched.await;
            drop(permit);
        });
        while tasks.try_join_next().is_some() {}
    }
    // The listener closes first, so that new connections go elsewhere.
    drop(listener);
    let _ = tokio::time::timeout(drain, graceful.shutdown()).await;
}

fn connection(
    context: &Arc<CallerContext>,
    stream: TcpStream,
) -> impl hyper_util::server::graceful::GracefulConnection + use<> {
    let active = context.config.get();
    let header_bytes = active.map_or(DEFAULT_HEADER_BYTES, |active| {
        active.config.limits.header_bytes
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size((header_bytes as usize).max(MIN_HTTP1_BUFFER));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(header_bytes as u32)
        .max_concurrent_streams(STREAMS_PER_CONNECTION);
    let context = context.clone();
    let unframed = UnframedSignal::default();
    let stream = CallerConnection::new(stream, unframed.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (context, unframed) = (context.clone(), unframed.clone());
        async move {
            let version = request.version();
            let response = handle(&context, request).await;
            unframed.announce(version, &response);
            Ok::<_, Infallible>(response)
        }
    });
    builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned()
}

/// Least buffer that the HTTP/1.1 library accepts, bytes.
const MIN_HTTP1_BUFFER: usize = 8_192;

async fn handle(context: &Arc<CallerContext>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::POST, COMPLETIONS_PATH) => chat::serve(context, request).await,
        (&Method::GET, MODELS_PATH) => models(context, &request),
        _ if path.starts_with(programs::PROGRAMS_PREFIX) => programs::serve(context, request).await,
        _ if path.starts_with("/v1/") => refusal(ErrorKind::NotFound, "path"),
        _ => route(context, request).await,
    }
}

fn models(context: &Arc<CallerContext>, request: &Request<Incoming>) -> Response<Body> {
    match context.admit(request) {
        Ok(admitted) => {
            let config = &admitted.config.config;
            let kinds = config.programs.iter().map(|kind| kind.name.clone());
            let allowed = kinds.filter(|name| config.program_for(&admitted.tenant, name).is_some());
            json(StatusCode::OK, &ModelList::of(allowed))
        }
        Err(reason) => failure(&reason),
    }
}

async fn route(context: &Arc<CallerContext>, request: Request<Incoming>) -> Response<Body> {
    let admitted = match context.admit(&request) {
        Ok(admitted) => admitted,
        Err(reason) => return failure(&reason),
    };
    let config = &admitted.config.config;
    let Some(route) = config.route_for_path(request.uri().path()) else {
        return refusal(ErrorKind::NotFound, "path");
    };
    let answered = context.applications.forward(config, route, request).await;
    answered.unwrap_or_else(|reason| failure(&reason))
}
