//! A loopback proxy that misbehaves on demand: delay, reset, one-way cut and
//! silence.

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
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\
    connection: close\r\n\r\n";

/// What the proxy does to what passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// Passes all.
    Pass = 0,
    /// Passes nothing either way, and keeps connections open.
    Silence = 1,
    /// Passes requests, and no answers.
    OneWay = 2,
    /// Ends all connections, and new ones at once.
    Reset = 3,
    /// Ends all connections, and answers what comes on new ones that it is not
    /// available.
    Refuse = 4,
}

/// What a proxy does now; changed while it runs.
#[derive(Debug, Default)]
pub struct ProxyBehavior {
    mode: AtomicU8,
    delay_ms: AtomicU64,
    /// Processes whose connections are struck; all where there is none.
    only: Mutex<Vec<u32>>,
    /// Changes so far.
    changes: AtomicU64,
}

impl ProxyBehavior {
    /// Sets what happens to what passes.
    pub fn set(&self, mode: Mode, delay: Duration) {
        self.set_for_processes(mode, delay, Vec::new());
    }

    /// Sets what happens to what passes from and to these processes.
    pub fn set_for_processes(&self, mode: Mode, delay: Duration, processes: Vec<u32>) {
        *self.only.lock().unwrap_or_else(PoisonError::into_inner) = processes;
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
            _ => Mode::Pass,
        }
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.load(Ordering::Relaxed))
    }
}

/// A proxy before one address; ends when dropped.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    /// Before which address it stands.
    pub target: SocketAddr,
    /// What it does.
    pub behavior: Arc<ProxyBehavior>,
    task: AbortHandle,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy before `target`.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let behavior = Arc::new(ProxyBehavior::default());
        let passing = behavior.clone();
        let task = tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                match passing.mode() {
                    Mode::Reset => {}
                    Mode::Refuse => drop(tokio::spawn(refuse(caller))),
                    _ => drop(tokio::spawn(pass(caller, target, passing.clone()))),
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

/// One connection through a proxy, as the behavior sees it.
struct ProxiedConnection {
    behavior: Arc<ProxyBehavior>,
    caller: Option<SocketAddr>,
    proxy: Option<SocketAddr>,
    /// Whether it was struck, by the change of the behavior at which that was found.
    found: Mutex<Option<(u64, bool)>>,
}

impl ProxiedConnection {
    fn mode(&self) -> Mode {
        match self.struck() {
            true => self.behavior.mode(),
            false => Mode::Pass,
        }
    }

    fn struck(&self) -> bool {
        let changes = self.behavior.changes.load(Ordering::Relaxed);
        let mut found = self.found.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, struck)) = found.filter(|(change, _)| *change == changes) {
            return struck;
        }
        let only = &self.behavior.only;
        let only = only.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let ends = self.caller.zip(self.proxy);
        let struck =
            only.is_empty() || ends.is_some_and(|(caller, proxy)| is_held_by(&only, caller, proxy));
        *found = Some((changes, struck));
        struck
    }
}

async fn pass(caller: TcpStream, target: SocketAddr, behavior: Arc<ProxyBehavior>) {
    let connection = Arc::new(ProxiedConnection {
        behavior,
        caller: caller.peer_addr().ok(),
        proxy: caller.local_addr().ok(),
        found: Mutex::default(),
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
            let held = match connection.mode() {
                Mode::Silence => true,
                Mode::OneWay => answers,
                Mode::Pass | Mode::Reset | Mode::Refuse => false,
            };
            if !held {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
