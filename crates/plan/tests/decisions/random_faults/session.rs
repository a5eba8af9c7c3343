//! What a leader knows of the process of a target, as `node::placer::session`.

use std::time::Duration;

use base::Name;
use plan::{Listing, RecordedEnd};

/// Process of a target, as far as its answers have shown.
#[derive(Clone, Copy, Debug)]
pub struct Process {
    pub fence: u64,
    pub born_unix_ms: u64,
    /// Reading of the clock in milliseconds, and its time.
    pub clock: Option<(u64, Duration)>,
    recorded_end: u64,
    forgotten_end: u64,
    listed_end: u64,
}

impl Process {
    fn new(fence: u64, born_unix_ms: u64) -> Self {
        Self { fence, born_unix_ms, clock: None, recorded_end: 0, forgotten_end: 0, listed_end: 0 }
    }

    pub fn end_to_forget(&self) -> u64 {
        if self.recorded_end > self.forgotten_end { self.recorded_end } else { 0 }
    }

    pub fn has_unrecorded_ends(&self) -> bool {
        self.listed_end > self.recorded_end
    }

    pub fn lease_until_ms(&self, lease: Duration, now: Duration) -> Option<u64> {
        let (clock_ms, read_at) = self.clock?;
        Some(clock_ms + (now.saturating_sub(read_at) + lease).as_millis() as u64)
    }
}

/// Process that a listing comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    Expected,
    Unknown,
    Outdated,
}

/// Session with a target.
#[derive(Debug)]
pub struct Session {
    pub target: Name,
    pub process: Process,
    pub has_ended: bool,
    pub was_unreachable: bool,
}

impl Session {
    pub fn new(target: Name, fence: u64) -> Self {
        let process = Process::new(fence, 0);
        Self { target, process, has_ended: false, was_unreachable: false }
    }

    pub fn is_current(&self, fence: u64) -> bool {
        self.process.fence == fence
    }

    /// Applies a reading of the start time and the clock of the process that has
    /// answered a request with the token `fence`. `next_fence` is the token of a
    /// process that was not known before.
    pub fn identify(
        &mut self,
        fence: u64,
        born_unix_ms: u64,
        clock_ms: u64,
        now: Duration,
        next_fence: &mut u64,
    ) -> Origin {
        if self.process.fence != fence {
            return Origin::Outdated;
        }
        if self.process.born_unix_ms == 0 || self.process.born_unix_ms == born_unix_ms {
            self.process.born_unix_ms = born_unix_ms;
            self.process.clock = Some((clock_ms, now));
            return Origin::Expected;
        }
        self.process = Process::new(*next_fence, born_unix_ms);
        *next_fence += 1;
        Origin::Unknown
    }

    /// Gives the target another token, as another process has answered.
    pub fn forget_process(&mut self, next_fence: u64) {
        self.process = Process::new(next_fence, 0);
    }

    pub fn set_recorded_end(&mut self, end: RecordedEnd) {
        if self.process.born_unix_ms == end.born_unix_ms {
            self.process.recorded_end = end.number;
        }
    }

    pub fn note_ends(&mut self, fence: u64, listing: &Listing, forgotten_end: u64) {
        let process = &mut self.process;
        if process.fence == fence {
            let listed = listing.ended.iter().map(|end| end.number).max().unwrap_or(0);
            process.listed_end = listed.max(process.recorded_end);
            process.forgotten_end = process.forgotten_end.max(forgotten_end);
        }
    }
}
