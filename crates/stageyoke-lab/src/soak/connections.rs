//! Finds the process that holds a loopback connection, from the kernel's tables, among the
//! processes started by a run.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;

/// The kernel's table of TCP connections.
const TCP_TABLE: &str = "/proc/net/tcp";
/// Columns of the table: both addresses and the socket's inode.
const LOCAL_ADDRESS_COLUMN: usize = 1;
const REMOTE_ADDRESS_COLUMN: usize = 2;
const INODE_COLUMN: usize = 9;

/// Returns whether one of the processes holds the local end `own` of a connection to `remote`.
pub fn is_held_by(processes: &[u32], own: SocketAddr, remote: SocketAddr) -> bool {
    let Some(inode) = find_inode(own, remote) else {
        return false;
    };
    let socket = format!("socket:[{inode}]");
    processes
        .iter()
        .any(|process| open_files(*process).any(|target| target == socket))
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

fn find_inode(own: SocketAddr, remote: SocketAddr) -> Option<String> {
    let table = std::fs::read_to_string(TCP_TABLE).ok()?;
    let (own, remote) = (table_format(own)?, table_format(remote)?);
    let mut rows = table.lines().skip(1).map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        columns
    });
    let row = rows.find(|columns| {
        columns.get(LOCAL_ADDRESS_COLUMN) == Some(&own.as_str())
            && columns.get(REMOTE_ADDRESS_COLUMN) == Some(&remote.as_str())
    })?;
    row.get(INODE_COLUMN).map(|inode| (*inode).to_owned())
}

/// Formats an address as the table does; only IPv4 is supported.
fn table_format(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let ip = u32::from_ne_bytes(ip.octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
