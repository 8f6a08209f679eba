//! Listeners for callers' connections and readiness probes.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use stageyoke_directory::{HttpLimits, Interpreter, KeyValueService};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::caller_connections::{ConnectionHandle, Phase};
use crate::caller_stream::CallerStream;
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
/// More than hyper allocates for the fields of a head.
const KEPT_BLOCK_BYTES: usize = 1024 * 1024;
/// Connections that are accepted before open ones have their turn.
const ACCEPTED_PER_TURN: usize = 32;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Added to the idle timeout, so that a connection is not closed while the caller may still
/// reuse it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Time for the refusal of a request whose connection is closed in favour of others: for looking up
/// its route, and for writing.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Response to a caller whose request's head is not complete in time.
const HEAD_TIMEOUT_RESPONSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\
    connection: close\r\n\r\n";
/// Maximum number of connections for readiness probes.
const MAX_READINESS_CONNECTIONS: usize = 256;
/// Time for which a connection for readiness probes may be idle, or receive a head.
const READINESS_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits before the first configuration.
const INITIAL_LIMITS: HttpLimits = HttpLimits {
    header_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Returns the limits on callers' requests.
pub(crate) fn http_limits<S: KeyValueService, I: Interpreter>(front: &Front<S, I>) -> HttpLimits {
    let view = front.mirror.view();
    let limits = view.routes.as_ref().map(|routes| routes.limits.clone());
    limits.unwrap_or(INITIAL_LIMITS)
}

/// Makes the allocator keep freed blocks of less than [`KEPT_BLOCK_BYTES`]. hyper allocates two large
/// blocks for the fields of each head, and glibc returns such blocks to the system each time until
/// it has freed a larger one.
pub(crate) fn keep_freed_blocks() {
    let block: Vec<u8> = Vec::with_capacity(KEPT_BLOCK_BYTES);
    drop(std::hint::black_box(block));
}

/// Lets open connections have their turn while a crowd of new ones is accepted.
#[derive(Default)]
struct AcceptTurns {
    accepted: usize,
}

impl AcceptTurns {
    /// Counts an accepted connection.
    async fn count(&mut self) {
        self.accepted += 1;
        if self.accepted.is_multiple_of(ACCEPTED_PER_TURN) {
            tokio::task::yield_now().await;
        }
    }
}

/// Accepts callers' connections until shutdown.
pub async fn serve_callers<S: KeyValueService + 'static, I: Interpreter + 'static>(
    front: Rc<Front<S, I>>,
    listener: TcpListener,
) {
    let mut turns = AcceptTurns::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = front.shutdown.triggered() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(connection) = front.caller_connections.admit() {
                    tokio::task::spawn_local(serve_caller(front.clone(), stream, connection));
                }
                turns.count().await;
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves a connection. Buffers are allocated only once its caller has sent something.
async fn serve_caller<S: KeyValueService + 'static, I: Interpreter + 'static>(
    front: Rc<Front<S, I>>,
    stream: TcpStream,
    connection: ConnectionHandle,
) {
    let idle_timeout = http_limits(&front).idle_timeout + IDLE_TIMEOUT_MARGIN;
    tokio::select! {
        readable = stream.readable() => if readable.is_err() {
            return;
        },
        () = connection.evicted() => return,
        () = front.shutdown.triggered() => return,
        () = tokio::time::sleep(idle_timeout) => return,
    }
    connection.start_reading();
    Box::pin(serve_requests(front, stream, connection)).await;
}

async fn serve_requests<S: KeyValueService + 'static, I: Interpreter + 'static>(
    front: Rc<Front<S, I>>,
    stream: TcpStream,
    connection: ConnectionHandle,
) {
    stageyoke_store::socket::configure(&stream);
    let limits = http_limits(&front);
    let serving = front.clone();
    let unframed = UnframedSignal::default();
    let unwritten = UnwrittenResponses::new(connection.clone());
    let stream = CallerConnection::new(stream, unframed.clone());
    let stream = WritingConnection::new(stream, unwritten.clone());
    let stream = CallerStream::new(stream, connection.clone(), &limits);
    let handle = connection.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (front, unframed) = (serving.clone(), unframed.clone());
        let (unwritten, connection) = (unwritten.clone(), handle.clone());
        connection.start_request(!request.body().is_end_stream());
        async move {
            let version = request.version();
            let response = front.clone().handle(request, &connection).await;
            unframed.announce(version, &response);
            connection.start_response();
            Ok::<_, Infallible>(unwritten.track(response, front.requests.track_response()))
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new());
    apply_limits(&mut builder, &limits);
    let mut serving = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        outcome = &mut serving => return record_end(outcome),
        () = front.shutdown.triggered() => Pin::new(&mut serving).graceful_shutdown(),
        () = connection.evicted() => {
            match connection.phase() {
                // The request is refused.
                Phase::Body | Phase::Busy => {
                    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, serving).await;
                }
                Phase::Head => {
                    let mut stream = serving.into_parts().io.into_inner();
                    let response = stream.write_all(HEAD_TIMEOUT_RESPONSE);
                    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, response).await;
                }
                Phase::Idle | Phase::Unread | Phase::Closing => {}
            }
            return;
        }
    }
    // An idle connection closes now, a busy one after its response.
    record_end(serving.await);
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
    let max_head_bytes = limits.header_bytes.max(MIN_BUFFER_BYTES);
    builder.max_buf_size(max_head_bytes);
    builder.max_headers(max_head_bytes / MIN_FIELD_BYTES);
}

/// Answers readiness probes for the lifetime of the process. Beyond the maximum number of
/// connections the oldest one is closed.
pub async fn serve_readiness<S: KeyValueService + 'static, I: Interpreter + 'static>(
    front: Rc<Front<S, I>>,
    listener: TcpListener,
) {
    let mut connections = NewestTasks::new(MAX_READINESS_CONNECTIONS);
    let mut turns = AcceptTurns::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let task = tokio::task::spawn_local(answer_readiness(front.clone(), stream));
                connections.add(task.abort_handle());
                turns.count().await;
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
