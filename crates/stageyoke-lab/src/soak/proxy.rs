//! A loopback proxy that injects faults: delays, resets, one-way drops and silence.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use super::connections::is_held_by;

const BUFFER_BYTES: usize = 16 * 1024;
/// Response rate of each connection in [`Mode::Slow`].
pub const SLOW_BYTES_PER_SECOND: u32 = 300_000;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\
    connection: close\r\n\r\n";

/// What a proxy does with connections and data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// Forwards everything.
    Pass = 0,
    /// Forwards nothing in either direction, and keeps connections open.
    Silence = 1,
    /// Forwards requests, but no responses.
    OneWay = 2,
    /// Closes all connections, including new ones.
    Reset = 3,
    /// Closes all connections, and answers requests on new ones with status 503.
    Refuse = 4,
    /// Limits responses to [`SLOW_BYTES_PER_SECOND`] on each connection.
    Slow = 5,
}

/// Mode and delay of a proxy; can be changed while the proxy runs.
#[derive(Debug, Default)]
pub struct ProxyBehavior {
    mode: AtomicU8,
    delay_ms: AtomicU64,
    /// Process IDs whose connections are affected; if empty, all connections are.
    processes: Mutex<Vec<u32>>,
    /// Number of changes so far.
    changes: AtomicU64,
}

impl ProxyBehavior {
    /// Sets the mode and delay for all connections.
    pub fn set(&self, mode: Mode, delay: Duration) {
        self.set_for_processes(mode, delay, Vec::new());
    }

    /// Sets the mode and delay for connections of these processes; others are forwarded.
    pub fn set_for_processes(&self, mode: Mode, delay: Duration, processes: Vec<u32>) {
        *self
            .processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = processes;
        self.changes.fetch_add(1, Ordering::Relaxed);
        self.mode.store(mode as u8, Ordering::Relaxed);
        let delay = delay.as_millis() as u64;
        self.delay_ms.store(delay, Ordering::Relaxed);
    }

    fn mode(&self) -> Mode {
        match self.mode.load(Ordering::Relaxed) {
            1 => Mode::Silence,
            2 => Mode::OneWay,
            3 => Mode::Reset,
            4 => Mode::Refuse,
            5 => Mode::Slow,
            _ => Mode::Pass,
        }
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.load(Ordering::Relaxed))
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
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let behavior = Arc::new(ProxyBehavior::default());
        let shared_behavior = behavior.clone();
        let task = tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                match shared_behavior.mode() {
                    Mode::Reset => {}
                    Mode::Refuse => drop(tokio::spawn(refuse(caller))),
                    _ => drop(tokio::spawn(forward(
                        caller,
                        target,
                        shared_behavior.clone(),
                    ))),
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

/// A connection from a caller, with the behavior that applies to it.
struct ProxiedConnection {
    behavior: Arc<ProxyBehavior>,
    caller: Option<SocketAddr>,
    proxy: Option<SocketAddr>,
    /// Whether the connection is affected, and the change of the behavior for which that
    /// was determined.
    cached: Mutex<Option<(u64, bool)>>,
}

impl ProxiedConnection {
    fn mode(&self) -> Mode {
        match self.is_affected() {
            true => self.behavior.mode(),
            false => Mode::Pass,
        }
    }

    fn is_affected(&self) -> bool {
        let changes = self.behavior.changes.load(Ordering::Relaxed);
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, affected)) = cached.filter(|(change, _)| *change == changes) {
            return affected;
        }
        let processes = &self.behavior.processes;
        let processes = processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let ends = self.caller.zip(self.proxy);
        let affected = processes.is_empty()
            || ends.is_some_and(|(caller, proxy)| is_held_by(&processes, caller, proxy));
        *cached = Some((changes, affected));
        affected
    }
}

async fn forward(caller: TcpStream, target: SocketAddr, behavior: Arc<ProxyBehavior>) {
    let connection = Arc::new(ProxiedConnection {
        behavior,
        caller: caller.peer_addr().ok(),
        proxy: caller.local_addr().ok(),
        cached: Mutex::default(),
    });
    let Ok(back_end) = TcpStream::connect(target).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_back_end, to_back_end) = back_end.into_split();
    let requests = copy(from_caller, to_back_end, connection.clone(), false);
    let answers = copy(from_back_end, to_caller, connection.clone(), true);
    let reset = async {
        while !matches!(connection.mode(), Mode::Reset | Mode::Refuse) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        ((), ()) = async { tokio::join!(requests, answers) } => {}
        () = reset => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    connection: Arc<ProxiedConnection>,
    answers: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        tokio::time::sleep(connection.behavior.delay()).await;
        loop {
            let blocked = match connection.mode() {
                Mode::Silence => true,
                Mode::OneWay => answers,
                Mode::Pass | Mode::Reset | Mode::Refuse | Mode::Slow => false,
            };
            if !blocked {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if answers && connection.mode() == Mode::Slow {
            let seconds = count as f64 / f64::from(SLOW_BYTES_PER_SECOND);
            tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
