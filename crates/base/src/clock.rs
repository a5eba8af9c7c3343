//! The clocks of a process.
//!
//! Leases are measured on a clock that also counts while the machine is
//! suspended, which the runtime's own clock does not.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Gets the time since the machine started, suspended time included.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Gets the time of day, in milliseconds since 1970. It may jump.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
