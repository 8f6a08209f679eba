//! Finds the connections that processes hold, from the kernel's tables, among the
//! processes started by a run.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

use tokio::sync::Mutex;
use tokio::time::Instant;

/// The kernel's table of TCP connections.
const TCP_TABLE: &str = "/proc/net/tcp";
/// Columns of the table: both addresses, the state and the socket's inode.
const LOCAL_ADDRESS_COLUMN: usize = 1;
const REMOTE_ADDRESS_COLUMN: usize = 2;
const STATE_COLUMN: usize = 3;
const INODE_COLUMN: usize = 9;

/// State of established connections.
const ESTABLISHED: &str = "01";

/// Local and remote address of a connection.
type Endpoints = (SocketAddr, SocketAddr);

/// The connections held by some processes. The kernel's table is read off the runtime's
/// threads, and once for all lookups that wait at the same time: reading it takes
/// milliseconds.
#[derive(Debug)]
pub struct HeldConnections {
    processes: Vec<u32>,
    held: Mutex<Option<(Instant, HashSet<Endpoints>)>>,
}

/// Established connections by the inode of the socket, as of one reading of the table.
#[derive(Debug)]
struct Table {
    read_at: Instant,
    by_inode: HashMap<u64, Endpoints>,
}

/// The latest reading, shared by all lookups.
static LATEST_TABLE: Mutex<Option<Arc<Table>>> = Mutex::const_new(None);

impl HeldConnections {
    /// Creates the set of the connections of these processes.
    pub fn of(processes: Vec<u32>) -> Self {
        Self {
            processes,
            held: Mutex::new(None),
        }
    }

    /// Returns whether one of the processes holds the end `own` of a connection to `remote`
    /// that was opened at `opened_at`.
    pub async fn contains(&self, own: SocketAddr, remote: SocketAddr, opened_at: Instant) -> bool {
        let mut held = self.held.lock().await;
        if let Some((_, held)) = held.as_ref().filter(|(read_at, _)| *read_at >= opened_at) {
            return held.contains(&(own, remote));
        }
        let table = table_after(opened_at).await;
        let processes = self.processes.clone();
        let read_at = table.read_at;
        let found = tokio::task::spawn_blocking(move || held_by(&processes, &table));
        let found = found.await.unwrap_or_default();
        let is_held = found.contains(&(own, remote));
        *held = Some((read_at, found));
        is_held
    }
}

/// Returns a reading of the table that started at or after `earliest`.
async fn table_after(earliest: Instant) -> Arc<Table> {
    let mut latest = LATEST_TABLE.lock().await;
    if let Some(table) = latest.as_ref().filter(|table| table.read_at >= earliest) {
        return table.clone();
    }
    let read_at = Instant::now();
    let by_inode = tokio::task::spawn_blocking(read_table).await;
    let table = Arc::new(Table {
        read_at,
        by_inode: by_inode.unwrap_or_default(),
    });
    *latest = Some(table.clone());
    table
}

/// Returns the targets of the open descriptors of a process; empty once it has ended.
pub fn open_files(process: u32) -> impl Iterator<Item = String> {
    let directory = format!("/proc/{process}/fd");
    let entries = std::fs::read_dir(Path::new(&directory))
        .into_iter()
        .flatten();
    entries
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .map(|target| target.to_string_lossy().into_owned())
}

fn held_by(processes: &[u32], table: &Table) -> HashSet<Endpoints> {
    let files = processes.iter().flat_map(|process| open_files(*process));
    files
        .filter_map(|file| {
            let inode = file.strip_prefix("socket:[")?.strip_suffix(']')?;
            table.by_inode.get(&inode.parse().ok()?).copied()
        })
        .collect()
}

fn read_table() -> HashMap<u64, Endpoints> {
    let table = std::fs::read_to_string(TCP_TABLE).unwrap_or_default();
    table.lines().skip(1).filter_map(parse_row).collect()
}

/// Parses the row of an established connection.
fn parse_row(row: &str) -> Option<(u64, Endpoints)> {
    let columns: Vec<&str> = row.split_whitespace().collect();
    if *columns.get(STATE_COLUMN)? != ESTABLISHED {
        return None;
    }
    let own = parse_address(columns.get(LOCAL_ADDRESS_COLUMN)?)?;
    let remote = parse_address(columns.get(REMOTE_ADDRESS_COLUMN)?)?;
    Some((columns.get(INODE_COLUMN)?.parse().ok()?, (own, remote)))
}

/// Parses an IPv4 address in the table's format.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let ip = Ipv4Addr::from(ip.to_ne_bytes());
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddr::new(IpAddr::V4(ip), port))
}
