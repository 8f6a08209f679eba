//! The real programs as separate processes. Only what was started here is ever
//! signalled, by its own process identifier.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use tokio::process::{Child, Command};
use tokio::time::Instant;

use super::keys::QUOTA_WINDOW;
use super::slopes::ProcessMonitor;
use crate::standins::platform::names;

/// Small segments, so that a disk which takes no new file is noticed at once.
const SEGMENT_BYTES: u64 = 8 * 1024;
/// Segments that a full disk refuses.
const REFUSED_SEGMENTS: u64 = 500;
/// Memory of a process's machine, in megabytes: that of the smallest store
/// machine among the deployments.
pub const MEMORY_MB: u64 = 58;
/// Parts of the rules that switch parts of the product on; all of them run.
const PARTS: [&str; 2] = ["pressure", "pool"];
/// A file that refuses every write.
const FULL_DEVICE: &str = "/dev/full";

/// What a process serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// Callers' requests.
    Front,
    /// History and ledgers.
    Store,
}

/// One machine's process, with its files.
pub struct Process {
    /// Machine name.
    pub node: String,
    /// Role.
    pub role: ProcessRole,
    /// Where callers connect, for fronts.
    pub front: SocketAddr,
    /// When it was started last.
    pub started_at: Option<Instant>,
    inner: SocketAddr,
    ready: SocketAddr,
    program: PathBuf,
    folder: PathBuf,
    platform: SocketAddr,
    seeds: Vec<SocketAddr>,
    catch_up: Duration,
    monitor: ProcessMonitor,
    advertised: Option<SocketAddr>,
    child: Option<Child>,
}

/// What all processes of a run share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// The program.
    pub program: PathBuf,
    /// Folder for settings, data and logs.
    pub folder: PathBuf,
    /// The platform's key-value service, or the proxy before it.
    pub platform: SocketAddr,
    /// Inner addresses of the stores.
    pub seeds: Vec<SocketAddr>,
    /// Time in which a store's successor catches up.
    pub catch_up: Duration,
    /// Where its life is watched.
    pub monitor: ProcessMonitor,
}

impl Process {
    /// A process that is not started yet.
    pub fn new(
        shared: &Shared,
        node: String,
        role: ProcessRole,
        addresses: [SocketAddr; 3],
    ) -> Self {
        let [front, ready, inner] = addresses;
        Self {
            folder: shared.folder.join(&node),
            node,
            role,
            front,
            started_at: None,
            ready,
            inner,
            program: shared.program.clone(),
            platform: shared.platform,
            seeds: shared.seeds.clone(),
            catch_up: shared.catch_up,
            monitor: shared.monitor.clone(),
            advertised: None,
            child: None,
        }
    }

    /// A store that tells others this address, of a proxy before it.
    pub fn with_proxy(self, proxy: SocketAddr) -> Self {
        Self {
            advertised: Some(proxy),
            ..self
        }
    }

    /// It runs this program from its next start on.
    pub fn set_program(&mut self, program: PathBuf) {
        self.program = program;
    }

    /// Starts it; `first_start` is true only when the whole system starts for
    /// the first time.
    pub fn start(&mut self, first_start: bool) -> io::Result<()> {
        std::fs::create_dir_all(&self.folder)?;
        let settings = self.folder.join("settings.json");
        std::fs::write(&settings, self.settings(first_start).to_string())?;
        let log = self.log_file();
        let log: File = OpenOptions::new().create(true).append(true).open(log)?;
        let errors = log.try_clone()?;
        let role = match self.role {
            ProcessRole::Front => "front",
            ProcessRole::Store => "store",
        };
        let mut command = Command::new(&self.program);
        command.arg(role);
        if let Some(proxy) = self.advertised {
            let small = SEGMENT_BYTES.to_string();
            command.args(["--advertise", &proxy.to_string()]);
            command.args(["--segment-bytes", &small]);
        }
        let child = command
            .env_clear()
            .env(names::SETTINGS_VARIABLE, &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()?;
        if let Some(identifier) = child.id() {
            self.monitor.add_process(&self.node, identifier);
        }
        self.child = Some(child);
        self.started_at = Some(Instant::now());
        Ok(())
    }

    /// Where fronts and stores reach it, without a proxy.
    pub fn peer_address(&self) -> SocketAddr {
        self.inner
    }

    /// Whether it was started and not ended since.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Where its lines go.
    pub fn log_file(&self) -> PathBuf {
        self.folder.join("log.jsonl")
    }

    fn settings(&self, first_start: bool) -> serde_json::Value {
        let port = self.inner.port();
        let data = match self.role {
            ProcessRole::Front => None,
            ProcessRole::Store => Some(self.data_folder()),
        };
        json!({
            "Node": self.node, "Ip": self.inner.ip(), "Zone": "lab", "Region": "lab",
            "Listen": {"Front": self.front, "Ready": self.ready},
            "InnerPortRange": [port, port],
            "Seeds": self.seeds,
            "Bootstrap": first_start,
            "DataDir": data,
            "FaultTolerance": {"Machines": 1},
            "Contracts": PARTS,
            "Limits": {"MemoryMb": MEMORY_MB},
            "Bounds": {"GraceS": 8, "CatchUpS": self.catch_up.as_secs_f64(),
                "QuotaWindowS": QUOTA_WINDOW.as_secs_f64()},
            "Platform": {"Addr": self.platform},
        })
    }

    /// Folder of a store's data.
    pub fn data_folder(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// Its process identifier while it runs.
    pub fn identifier(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(identifier) = self.identifier() {
            let _ = kill(Pid::from_raw(identifier as i32), signal);
        }
    }

    /// Bytes of memory that the running process has had at most, as the kernel
    /// tells them.
    pub fn peak_memory(&self) -> io::Result<u64> {
        let identifier = self.identifier();
        let identifier = identifier.ok_or(io::ErrorKind::NotFound)?;
        let status = std::fs::read_to_string(format!("/proc/{identifier}/status"))?;
        let kilobytes = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .and_then(|rest| rest.trim().strip_suffix(" kB"))
            .and_then(|number| number.parse::<u64>().ok())
            .ok_or(io::ErrorKind::InvalidData)?;
        Ok(kilobytes * 1024)
    }

    /// Waits for the process's end; it must have been told to end.
    pub async fn wait_for_exit(&mut self) {
        if let Some(mut child) = self.child.take() {
            let identifier = child.id();
            let _ = child.wait().await;
            if let Some(identifier) = identifier {
                self.monitor.mark_ended(identifier);
            }
        }
    }

    /// Loses the disk, of a process that has ended.
    pub fn wipe_data(&self) -> io::Result<()> {
        match std::fs::remove_dir_all(self.data_folder()) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Makes the disk full: no new segment can be written. A store that has
    /// written none yet is left alone.
    pub fn fill_disk(&self) -> io::Result<()> {
        if !self.data_folder().exists() {
            return Ok(());
        }
        let newest = newest_segment(&self.data_folder())?;
        let number = newest.as_deref().and_then(segment_number).unwrap_or(0);
        for number in number + 1..=number + REFUSED_SEGMENTS {
            std::os::unix::fs::symlink(FULL_DEVICE, self.segment(number))?;
        }
        Ok(())
    }

    /// Makes the disk take writes again.
    pub fn free_disk(&self) -> io::Result<()> {
        if !self.data_folder().exists() {
            return Ok(());
        }
        for entry in std::fs::read_dir(self.data_folder())? {
            let entry = entry?;
            if entry.file_type()?.is_symlink() {
                std::fs::remove_file(entry.path())?;
            }
        }
        Ok(())
    }

    fn segment(&self, number: u64) -> PathBuf {
        let name = format!("{SEGMENT_PREFIX}{number:010}");
        self.data_folder().join(name)
    }

    /// Leaves bytes of a torn write at the end of the newest segment, of a
    /// process that has ended.
    pub fn append_torn_write(&self, bytes: &[u8]) -> io::Result<()> {
        let newest = newest_segment(&self.data_folder())?;
        match newest {
            Some(path) => OpenOptions::new().append(true).open(path)?.write_all(bytes),
            None => Ok(()),
        }
    }
}

const SEGMENT_PREFIX: &str = "segment-";

fn segment_number(path: &Path) -> Option<u64> {
    let name = path.file_name()?.to_str()?;
    name.strip_prefix(SEGMENT_PREFIX)?.parse().ok()
}

fn newest_segment(folder: &Path) -> io::Result<Option<PathBuf>> {
    let mut segments = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        if name.is_some_and(|name| name.starts_with(SEGMENT_PREFIX)) {
            segments.push(path);
        }
    }
    Ok(segments.into_iter().max())
}
