//! A loopback proxy that injects faults: delays, resets, one-way drops and silence.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::connections::HeldConnections;
use super::surplus_answers::SurplusAnswer;
use crate::standins::ACCEPT_RETRY_DELAY;
use crate::standins::platform::endless::EndlessHead;
use crate::standins::platform::names;

const BUFFER_BYTES: usize = 16 * 1024;
/// Response rate of each connection in [`Mode::Slow`].
pub const SLOW_BYTES_PER_SECOND: u32 = 300_000;
/// Time until the listener of an aborted task is closed.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(2);
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\
    connection: close\r\n\r\n";

/// What a proxy does with connections and data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards everything.
    Pass,
    /// Forwards nothing in either direction, and keeps connections open.
    Silence,
    /// Forwards requests, but no responses.
    OneWay,
    /// Closes all connections, including new ones.
    Reset,
    /// Closes all connections, and answers requests on new ones with status 503.
    Refuse,
    /// Sends bytes without end in place of the rest of a response.
    Endless(EndlessHead),
    /// Limits responses to [`SLOW_BYTES_PER_SECOND`] on each connection.
    Slow,
    /// Sends second responses to the requests before, in the place of the next ones due.
    Surplus(SurplusAnswer),
}

/// A proxy's mode and delay, and the connections that they apply to.
#[derive(Clone, Debug)]
struct Setting {
    mode: Mode,
    delay: Duration,
    /// Connections that are affected; all if absent.
    affected: Option<Arc<HeldConnections>>,
}

/// Mode and delay of a proxy; can be changed while the proxy runs.
#[derive(Debug)]
pub struct ProxyBehavior {
    setting: watch::Sender<Setting>,
}

impl Default for ProxyBehavior {
    fn default() -> Self {
        let (setting, _) = watch::channel(Setting {
            mode: Mode::Pass,
            delay: Duration::ZERO,
            affected: None,
        });
        Self { setting }
    }
}

impl ProxyBehavior {
    /// Sets the mode and delay for all connections.
    pub fn set(&self, mode: Mode, delay: Duration) {
        self.setting.send_replace(Setting {
            mode,
            delay,
            affected: None,
        });
    }

    /// Sets the mode and delay for connections of these processes; others are forwarded.
    pub fn set_for_processes(&self, mode: Mode, delay: Duration, processes: Vec<u32>) {
        if processes.is_empty() {
            return self.set(mode, delay);
        }
        self.setting.send_replace(Setting {
            mode,
            delay,
            affected: Some(Arc::new(HeldConnections::of(processes))),
        });
    }

    /// Returns the mode of new connections, which no process is known to hold yet.
    fn mode_of_new_connections(&self) -> Mode {
        let setting = self.setting.borrow();
        match setting.affected {
            None => setting.mode,
            Some(_) => Mode::Pass,
        }
    }
}

/// A proxy in front of one address; it stops when dropped.
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    /// Address to which the proxy connects.
    pub target: SocketAddr,
    /// Current behavior.
    pub behavior: Arc<ProxyBehavior>,
    task: AbortHandle,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        Self::start_with_rate(target, None).await
    }

    /// Ends the proxy like a process: nothing listens any more, then all connections are closed.
    pub async fn end(self) {
        self.task.abort();
        tokio::time::sleep(LISTENER_CLOSE_DELAY).await;
        self.behavior.set(Mode::Reset, Duration::ZERO);
        tokio::time::sleep(LISTENER_CLOSE_DELAY).await;
    }

    /// Starts a proxy that limits each connection to a rate in each direction, if there is one.
    pub async fn start_with_rate(
        target: SocketAddr,
        bytes_per_second: Option<u32>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let behavior = Arc::new(ProxyBehavior::default());
        let shared_behavior = behavior.clone();
        let task = tokio::spawn(async move {
            loop {
                let Ok((caller, _)) = listener.accept().await else {
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                };
                match shared_behavior.mode_of_new_connections() {
                    Mode::Reset => {}
                    Mode::Refuse => drop(tokio::spawn(refuse(caller))),
                    _ => {
                        let setting = shared_behavior.setting.subscribe();
                        drop(tokio::spawn(forward(
                            caller,
                            target,
                            setting,
                            bytes_per_second,
                        )));
                    }
                }
            }
        })
        .abort_handle();
        Ok(Self {
            address,
            target,
            behavior,
            task,
        })
    }
}

async fn refuse(mut caller: TcpStream) {
    let mut buffer = vec![0; BUFFER_BYTES];
    if caller.read(&mut buffer).await.is_ok() {
        let _ = caller.write_all(REFUSAL).await;
    }
}

/// One direction of a connection through a proxy.
#[derive(Clone)]
struct ProxiedConnection {
    setting: watch::Receiver<Setting>,
    caller: Option<SocketAddr>,
    proxy: Option<SocketAddr>,
    opened_at: Instant,
    bytes_per_second: Option<u32>,
    /// The setting's effect on this connection, until the setting changes.
    cached: Option<(Mode, Duration)>,
}

impl ProxiedConnection {
    /// Returns the mode and delay that apply to this connection.
    async fn current(&mut self) -> (Mode, Duration) {
        let has_changed = self.setting.has_changed().unwrap_or(false);
        if let Some(cached) = self.cached.filter(|_| !has_changed) {
            return cached;
        }
        let setting = self.setting.borrow_and_update().clone();
        let is_affected = match (&setting.affected, self.caller.zip(self.proxy)) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(held), Some((caller, proxy))) => {
                held.contains(caller, proxy, self.opened_at).await
            }
        };
        let current = match is_affected {
            true => (setting.mode, setting.delay),
            false => (Mode::Pass, Duration::ZERO),
        };
        self.cached = Some(current);
        current
    }

    /// Waits until the setting changes; forever once the proxy has been dropped.
    async fn changed(&mut self) {
        if self.setting.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        self.cached = None;
    }

    /// Waits until data may be forwarded, and for the time that its transfer takes.
    async fn wait_to_forward(&mut self, bytes: usize, is_response: bool) {
        let (_, delay) = self.current().await;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        loop {
            let (mode, _) = self.current().await;
            let is_blocked = match mode {
                Mode::Silence => true,
                Mode::OneWay => is_response,
                Mode::Pass
                | Mode::Reset
                | Mode::Refuse
                | Mode::Endless(_)
                | Mode::Slow
                | Mode::Surplus(_) => false,
            };
            if !is_blocked {
                break;
            }
            self.changed().await;
        }
        let (mode, _) = self.current().await;
        let rate = match mode {
            Mode::Slow if is_response => Some(SLOW_BYTES_PER_SECOND),
            _ => self.bytes_per_second,
        };
        if let Some(rate) = rate {
            let transfer = Duration::from_secs_f64(bytes as f64 / f64::from(rate));
            if transfer >= MIN_TRANSFER_WAIT {
                tokio::time::sleep(transfer).await;
            }
        }
    }

    /// Waits until the connection is to be closed.
    async fn wait_for_reset(&mut self) {
        while !matches!(self.current().await.0, Mode::Reset | Mode::Refuse) {
            self.changed().await;
        }
    }
}

/// Transfer time below which data is forwarded at once: timers have a resolution of a
/// millisecond.
const MIN_TRANSFER_WAIT: Duration = Duration::from_millis(1);

async fn forward(
    caller: TcpStream,
    target: SocketAddr,
    setting: watch::Receiver<Setting>,
    bytes_per_second: Option<u32>,
) {
    let mut connection = ProxiedConnection {
        setting,
        caller: caller.peer_addr().ok(),
        proxy: caller.local_addr().ok(),
        opened_at: Instant::now(),
        bytes_per_second,
        cached: None,
    };
    let Ok(back_end) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = back_end.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_back_end, to_back_end) = back_end.into_split();
    let surplus = SurplusQueue::default();
    let requests = Direction {
        from: from_caller,
        to: to_back_end,
        surplus: surplus.clone(),
        is_response: false,
    };
    let responses = Direction {
        from: from_back_end,
        to: to_caller,
        surplus,
        is_response: true,
    };
    let requests = requests.copy(connection.clone());
    let responses = responses.copy(connection.clone());
    tokio::select! {
        ((), ()) = async { tokio::join!(requests, responses) } => {}
        () = connection.wait_for_reset() => {}
    }
}

/// Surplus response that precedes the next bytes of a response.
#[derive(Clone, Default)]
struct SurplusQueue(Arc<Mutex<Option<Vec<u8>>>>);

impl SurplusQueue {
    fn set(&self, response: Option<Vec<u8>>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = response;
    }

    fn take(&self) -> Option<Vec<u8>> {
        let mut response = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        response.take()
    }
}

/// Bytes of one direction.
struct Direction {
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    surplus: SurplusQueue,
    is_response: bool,
}

impl Direction {
    async fn copy(mut self, mut connection: ProxiedConnection) {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut last_request = None;
        while let Ok(count) = self.from.read(&mut buffer).await {
            if count == 0 {
                break;
            }
            let bytes = &buffer[..count];
            connection.wait_to_forward(count, self.is_response).await;
            let (mode, _) = connection.current().await;
            if let (Mode::Endless(head), true) = (mode, self.is_response) {
                let _ = head.send(&mut self.to).await;
                return;
            }
            if self.is_response {
                let surplus = self.surplus.take();
                let surplus = surplus.filter(|_| matches!(mode, Mode::Surplus(_)));
                if let Some(surplus) = surplus
                    && self.to.write_all(&surplus).await.is_err()
                {
                    return;
                }
            } else if let Some(request) = request_identifier(bytes) {
                let earlier = last_request.replace(request);
                if let (Mode::Surplus(surplus), Some(earlier)) = (mode, earlier) {
                    self.surplus.set(surplus.answer_to(&earlier));
                }
            }
            if self.to.write_all(bytes).await.is_err() {
                return;
            }
        }
        let _ = self.to.shutdown().await;
    }
}

/// Returns the identifier of the request whose head begins these bytes.
fn request_identifier(bytes: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(bytes);
    let (head, _) = text.split_once("\r\n\r\n")?;
    let field = format!("{}: ", names::REQUEST_ID);
    let mut lines = head.lines();
    lines.find_map(|line| line.strip_prefix(&field).map(str::to_owned))
}
