//! A loopback proxy that misbehaves on demand: delay, reset, one-way cut and
//! silence.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

const BUFFER_BYTES: usize = 16 * 1024;
const LOOK_AGAIN: Duration = Duration::from_millis(20);

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
}

/// What a proxy does now; changed while it runs.
#[derive(Debug, Default)]
pub struct Weather {
    mode: AtomicU8,
    delay_ms: AtomicU64,
}

impl Weather {
    /// Sets what happens to what passes.
    pub fn set(&self, mode: Mode, delay: Duration) {
        self.mode.store(mode as u8, Ordering::Relaxed);
        let delay = delay.as_millis() as u64;
        self.delay_ms.store(delay, Ordering::Relaxed);
    }

    fn mode(&self) -> Mode {
        match self.mode.load(Ordering::Relaxed) {
            1 => Mode::Silence,
            2 => Mode::OneWay,
            3 => Mode::Reset,
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
    /// What it does.
    pub weather: Arc<Weather>,
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
        let weather = Arc::new(Weather::default());
        let passing = weather.clone();
        let task = tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                if passing.mode() == Mode::Reset {
                    continue;
                }
                tokio::spawn(pass(caller, target, passing.clone()));
            }
        })
        .abort_handle();
        Ok(Self {
            address,
            weather,
            task,
        })
    }
}

async fn pass(caller: TcpStream, target: SocketAddr, weather: Arc<Weather>) {
    let Ok(back_end) = TcpStream::connect(target).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_back_end, to_back_end) = back_end.into_split();
    let requests = copy(from_caller, to_back_end, weather.clone(), false);
    let answers = copy(from_back_end, to_caller, weather.clone(), true);
    let reset = async {
        while weather.mode() != Mode::Reset {
            tokio::time::sleep(LOOK_AGAIN).await;
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
    weather: Arc<Weather>,
    answers: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        tokio::time::sleep(weather.delay()).await;
        loop {
            let held = match weather.mode() {
                Mode::Silence => true,
                Mode::OneWay => answers,
                Mode::Pass | Mode::Reset => false,
            };
            if !held {
                break;
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
