//! Memory of this process.

/// Returns the peak memory of this process.
pub fn peak_memory_kilobytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("status");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).expect("a size")
}
