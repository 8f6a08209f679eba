//! Whose a loopback connection is: looked up in the kernel's tables, among the
//! processes that a run has started itself.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;

/// The kernel's table of this machine's connections.
const TABLE: &str = "/proc/net/tcp";
/// Columns of the table: both ends, and the socket's number.
const LOCAL: usize = 1;
const REMOTE: usize = 2;
const INODE: usize = 9;

/// Whether one of these processes holds the end `own` of a connection to `remote`.
pub fn is_held_by(processes: &[u32], own: SocketAddr, remote: SocketAddr) -> bool {
    let Some(inode) = inode(own, remote) else {
        return false;
    };
    let socket = format!("socket:[{inode}]");
    processes
        .iter()
        .any(|process| open_files(*process).any(|target| target == socket))
}

/// What a process's descriptors stand for; nothing for one that has ended.
pub fn open_files(process: u32) -> impl Iterator<Item = String> {
    let folder = format!("/proc/{process}/fd");
    let entries = std::fs::read_dir(Path::new(&folder)).into_iter().flatten();
    entries
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .map(|target| target.to_string_lossy().into_owned())
}

fn inode(own: SocketAddr, remote: SocketAddr) -> Option<String> {
    let table = std::fs::read_to_string(TABLE).ok()?;
    let (own, remote) = (in_table(own)?, in_table(remote)?);
    let mut rows = table.lines().skip(1).map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        columns
    });
    let row = rows.find(|columns| {
        columns.get(LOCAL) == Some(&own.as_str()) && columns.get(REMOTE) == Some(&remote.as_str())
    })?;
    row.get(INODE).map(|inode| (*inode).to_owned())
}

/// An address as the table spells it.
fn in_table(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let ip = u32::from_ne_bytes(ip.octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
