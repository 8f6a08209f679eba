//! Resource usage of this process, as reported by the kernel.

use std::time::Duration;

const PAGE_BYTES: u64 = 4_096;
const TICKS_PER_SECOND: u64 = 100;
/// Index of the user time among the fields of `/proc/self/stat` after the command's name.
const USER_TIME_FIELD: usize = 11;
const MS_PER_SECOND: u64 = 1_000;

/// Returns the resident memory in bytes; 0 if the kernel does not report it.
pub fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Returns the CPU time used so far, from clock ticks.
pub fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The command's name, which ends at the last parenthesis, may contain spaces.
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: u64 = rest
        .split_whitespace()
        .skip(USER_TIME_FIELD)
        .take(2)
        .filter_map(|ticks| ticks.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * MS_PER_SECOND / TICKS_PER_SECOND)
}
