//! Clocks of a process.
//!
//! Leases are measured on the boot-time clock, which also counts while the
//! machine is suspended. The monotonic clock of the async runtime stops during
//! a suspension, so a lease measured on it would outlive its real end.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted, including suspended time.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. Clock
/// adjustments can move it forwards or backwards.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
