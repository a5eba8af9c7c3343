//! Resource usage of a process, read from `/proc`.

use std::fs;

/// Clock ticks per second of the times in `/proc/PID/stat` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the user and system CPU time of a process in seconds, or 0 if the
/// process is gone.
pub(crate) fn cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name of the program, in parentheses, can contain spaces.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = |at: usize| -> f64 {
        fields.split_whitespace().nth(at).and_then(|n| n.parse().ok()).unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Returns the resident memory of a process in MiB, or 0 if the process is gone.
pub(crate) fn rss_mb(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kib: f64 = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0.0);
    kib / 1024.0
}
