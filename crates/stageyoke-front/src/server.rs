//! Listeners for callers' connections and readiness probes.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use stageyoke_directory::{HttpLimits, Interpreter, KeyValueService};
use tokio::net::{TcpListener, TcpStream};

use crate::front::Front;
use crate::response_body::{ResponseBody, TruncatedResponse};
use crate::response_writing::{UnwrittenResponses, WritingConnection};
use stageyoke_framing::{CallerConnection, UnframedSignal};
use stageyoke_observe::{self as observe, NewestTasks};
use stageyoke_types::Event;

/// Minimum read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;
/// Size of the smallest field of a head: a name, a colon and the end of its line.
const MIN_FIELD_BYTES: usize = 4;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Added to the idle timeout, so that a connection is not closed while the caller may still
/// reuse it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Maximum number of connections for readiness probes.
const MAX_READINESS_CONNECTIONS: usize = 256;
/// Time for which a connection for readiness probes may be idle, or receive a head.
const READINESS_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts callers' connections until shutdown.
pub async fn serve_callers<S: KeyValueService + 'static, I: Interpreter + 'static>(
    front: Rc<Front<S, I>>,
    listener: TcpListener,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = front.shutdown.triggered() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_caller(front.clone(), stream));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_caller<S: KeyValueService + 'static, I: Interpreter + 'static>(
    front: Rc<Front<S, I>>,
    stream: TcpStream,
) {
    stageyoke_store::socket::configure(&stream);
    let limits = front
        .mirror
        .view()
        .routes
        .as_ref()
        .map(|routes| routes.limits.clone());
    let serving = front.clone();
    let unframed = UnframedSignal::default();
    let unwritten = UnwrittenResponses::default();
    let stream = CallerConnection::new(stream, unframed.clone());
    let stream = WritingConnection::new(stream, unwritten.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (front, unframed) = (serving.clone(), unframed.clone());
        let unwritten = unwritten.clone();
        async move {
            let version = request.version();
            let response = front.clone().handle(request).await;
            unframed.announce(version, &response);
            Ok::<_, Infallible>(unwritten.track(response, front.requests.track_response()))
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new());
    if let Some(limits) = limits {
        apply_limits(&mut builder, &limits);
    }
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        outcome = connection.as_mut() => return record_end(outcome),
        () = front.shutdown.triggered() => connection.as_mut().graceful_shutdown(),
    }
    // An idle connection closes now, a busy one after its response.
    record_end(connection.await);
}

/// Logs why this side ended a caller's connection. A stream that is cut has its own line, and
/// idle connections end by their timeout.
fn record_end(outcome: hyper::Result<()>) {
    let Err(error) = outcome else {
        return;
    };
    let source = std::error::Error::source(&error);
    let is_cut_stream = source.is_some_and(|source| source.is::<TruncatedResponse>());
    if (error.is_user() && !is_cut_stream) || error.is_parse() {
        observe::record_event(Event::CallerConnectionEnded, &format!("reason={error}"));
    }
}

fn apply_limits(builder: &mut hyper::server::conn::http1::Builder, limits: &HttpLimits) {
    // hyper's header read timeout also applies while a connection is idle.
    builder.header_read_timeout(limits.idle_timeout + IDLE_TIMEOUT_MARGIN);
    builder.max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES));
    builder.max_headers(limits.header_bytes / MIN_FIELD_BYTES);
}

/// Answers readiness probes for the lifetime of the process. Beyond the maximum number of
/// connections the oldest one is closed.
pub async fn serve_readiness<S: KeyValueService + 'static, I: Interpreter + 'static>(
    front: Rc<Front<S, I>>,
    listener: TcpListener,
) {
    let mut connections = NewestTasks::new(MAX_READINESS_CONNECTIONS);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let task = tokio::task::spawn_local(answer_readiness(front.clone(), stream));
                connections.add(task.abort_handle());
                tokio::task::yield_now().await;
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn answer_readiness<S: KeyValueService + 'static, I: Interpreter + 'static>(
    front: Rc<Front<S, I>>,
    stream: TcpStream,
) {
    stageyoke_store::socket::configure(&stream);
    let service = service_fn(move |request: Request<Incoming>| {
        let is_readiness_probe = request.uri().path() == front.names.readiness_path;
        let status = match (is_readiness_probe, front.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(ResponseBody::full(""));
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(READINESS_TIMEOUT)
        .max_buf_size(MIN_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
