//! Runs the real programs as separate processes. Signals are sent only to processes that
//! were started here, by process ID.

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

use super::disturbances::MAX_PROPAGATION_DELAY;
use super::keys::QUOTA_WINDOW;
use super::shape::DeploymentShape;
use super::slopes::ProcessMonitor;
use crate::standins::platform::{COLD_FACTOR, COLD_SLACK, names};

/// Number of future segments whose writes fail while a disk is full.
const REFUSED_SEGMENTS: u64 = 500;
/// Memory limit of a process in megabytes; that of the smallest store machines in use.
pub const MEMORY_MB: u64 = 58;
/// Limit of a process's descriptors; that of the smallest front machines in use.
pub const MAX_DESCRIPTORS: usize = 4100;
/// Device that fails every write with `ENOSPC`.
const FULL_DEVICE: &str = "/dev/full";

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// Accepts requests of callers.
    Front,
    /// Stores turns and budgets.
    Store,
}

/// Returns whether a build of the program can delay its syncs; older ones can't.
pub fn can_delay_syncs(program: &Path) -> bool {
    let mut command = std::process::Command::new(program);
    let help = command.args(["store", "--help"]).env_clear().output();
    help.is_ok_and(|help| String::from_utf8_lossy(&help.stdout).contains("sync-delay-file"))
}

/// The process of one machine, with its settings, data and log.
pub struct Process {
    /// Name of the machine.
    pub node: String,
    /// Role of the process.
    pub role: ProcessRole,
    /// Address for callers, used by fronts.
    pub front: SocketAddr,
    /// Time of the last start.
    pub started_at: Option<Instant>,
    peer_address: SocketAddr,
    ready: SocketAddr,
    program: PathBuf,
    folder: PathBuf,
    parameters: ProcessParameters,
    zone: String,
    advertised: Option<SocketAddr>,
    child: Option<Child>,
}

/// Parameters that all processes of a run share.
#[derive(Clone, Debug)]
pub struct ProcessParameters {
    /// Path of the program.
    pub program: PathBuf,
    /// Directory for settings, data and logs.
    pub folder: PathBuf,
    /// Address of the key-value service, or of the proxy in front of it.
    pub platform: SocketAddr,
    /// Addresses on which stores accept peers.
    pub seeds: Vec<SocketAddr>,
    /// Shape of the deployment.
    pub shape: DeploymentShape,
    /// Optional contracts of the deployment.
    pub contracts: Vec<String>,
    /// Whether the program can delay its syncs.
    pub can_delay_syncs: bool,
    /// Samples the resources of the processes.
    pub monitor: ProcessMonitor,
}

impl Process {
    /// Creates a process without starting it.
    pub fn new(
        parameters: &ProcessParameters,
        node: String,
        role: ProcessRole,
        addresses: [SocketAddr; 3],
    ) -> Self {
        let [front, ready, peer_address] = addresses;
        Self {
            folder: parameters.folder.join(&node),
            node,
            role,
            front,
            started_at: None,
            ready,
            peer_address,
            program: parameters.program.clone(),
            zone: parameters.shape.zone(0),
            parameters: parameters.clone(),
            advertised: None,
            child: None,
        }
    }

    /// Puts the machine into a zone.
    pub fn in_zone(self, zone: String) -> Self {
        Self { zone, ..self }
    }

    /// Makes a store advertise the address of the proxy in front of it.
    pub fn with_proxy(self, proxy: SocketAddr) -> Self {
        Self {
            advertised: Some(proxy),
            ..self
        }
    }

    /// Sets the program for the next start.
    pub fn set_program(&mut self, program: PathBuf) {
        self.program = program;
    }

    /// Starts the process. `first_start` is true only when the whole deployment starts for
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
            command.args(["--advertise", &proxy.to_string()]);
            if self.parameters.can_delay_syncs {
                command.arg("--sync-delay-file").arg(self.sync_delay_file());
            }
            if let Some(segment_bytes) = self.parameters.shape.segment_bytes {
                command.args(["--segment-bytes", &segment_bytes.to_string()]);
            }
        }
        let child = command
            .env_clear()
            .env(names::SETTINGS_VARIABLE, &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()?;
        if let Some(process_id) = child.id() {
            self.parameters.monitor.add_process(&self.node, process_id);
        }
        self.child = Some(child);
        self.started_at = Some(Instant::now());
        Ok(())
    }

    /// Returns the address for fronts and stores, without a proxy.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address for readiness checks.
    pub fn readiness_address(&self) -> SocketAddr {
        self.ready
    }

    /// Returns whether the process has been started and not waited for since.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    fn sync_delay_file(&self) -> PathBuf {
        self.folder.join("sync-delay")
    }

    /// Adds `delay` to each sync of a store from now on.
    pub fn delay_syncs(&self, delay: Duration) -> io::Result<()> {
        std::fs::write(self.sync_delay_file(), delay.as_millis().to_string())
    }

    /// Returns the path of the log.
    pub fn log_file(&self) -> PathBuf {
        self.folder.join("log.jsonl")
    }

    fn settings(&self, first_start: bool) -> serde_json::Value {
        let port = self.peer_address.port();
        let shape = &self.parameters.shape;
        let data = match self.role {
            ProcessRole::Front => None,
            ProcessRole::Store => Some(self.data_folder()),
        };
        json!({
            "Node": self.node, "Ip": self.peer_address.ip(), "Zone": self.zone, "Region": "lab",
            "Listen": {"Front": self.front, "Ready": self.ready},
            "InnerPortRange": [port, port],
            "Seeds": self.parameters.seeds,
            "Bootstrap": first_start,
            "DataDir": data,
            "FaultTolerance": {"Machines": shape.tolerated_stores},
            "Contracts": self.parameters.contracts,
            "Limits": {"MemoryMb": self.memory_limit_mb(), "MaxFds": MAX_DESCRIPTORS},
            "Bounds": {"GraceS": 8, "CatchUpS": shape.catch_up.as_secs_f64(),
                "EvacuationMs": MAX_PROPAGATION_DELAY.as_millis() as u64,
                "ColdExcess": COLD_FACTOR, "ColdSlack": COLD_SLACK,
                "QuotaWindowS": QUOTA_WINDOW.as_secs_f64()},
            "Platform": {"Addr": self.parameters.platform},
        })
    }

    /// Returns the memory limit in megabytes.
    pub fn memory_limit_mb(&self) -> u64 {
        self.parameters.shape.memory.of(self.role)
    }

    /// Returns the directory of a store's data.
    pub fn data_folder(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// Returns the process ID while the process runs.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(process_id) = self.process_id() {
            let _ = kill(Pid::from_raw(process_id as i32), signal);
        }
    }

    /// Returns the peak resident memory of the running process in bytes.
    pub fn peak_memory(&self) -> io::Result<u64> {
        let process_id = self.process_id();
        let process_id = process_id.ok_or(io::ErrorKind::NotFound)?;
        let status = std::fs::read_to_string(format!("/proc/{process_id}/status"))?;
        let kilobytes = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .and_then(|rest| rest.trim().strip_suffix(" kB"))
            .and_then(|number| number.parse::<u64>().ok())
            .ok_or(io::ErrorKind::InvalidData)?;
        Ok(kilobytes * 1024)
    }

    /// Waits until the process exits; it must have been signalled before.
    pub async fn wait_for_exit(&mut self) {
        if let Some(mut child) = self.child.take() {
            let process_id = child.id();
            let _ = child.wait().await;
            if let Some(process_id) = process_id {
                self.parameters.monitor.mark_ended(process_id);
            }
        }
    }

    /// Deletes the data of a process that has exited.
    pub fn wipe_data(&self) -> io::Result<()> {
        match std::fs::remove_dir_all(self.data_folder()) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Simulates a full disk: writes to new segments fail. Does nothing if the store has no
    /// data yet.
    pub fn fill_disk(&self) -> io::Result<()> {
        if !self.data_folder().exists() {
            return Ok(());
        }
        let newest = newest_segment(&self.data_folder())?;
        let number = newest.as_deref().and_then(segment_number).unwrap_or(0);
        for number in number + 1..=number + REFUSED_SEGMENTS {
            std::os::unix::fs::symlink(FULL_DEVICE, self.segment_path(number))?;
        }
        Ok(())
    }

    /// Makes writes to new segments succeed again.
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

    fn segment_path(&self, number: u64) -> PathBuf {
        let name = format!("{SEGMENT_PREFIX}{number:010}");
        self.data_folder().join(name)
    }

    /// Appends the bytes of a torn write to the newest segment of a process that has
    /// exited.
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
