//! Targets of a simulation, and the runs on them.

use std::{collections::BTreeMap, time::Duration};

use base::Name;
use plan::RunEnd;
use work::TaskKey;

/// Time that a run spends on restoring a checkpoint before it continues.
const RESTORE_LATENCY: Duration = Duration::from_millis(100);

/// Target with its runs, and the ends that the placer has not recorded.
pub(super) struct Target {
    /// Time that the target takes for the work of a second, in seconds.
    pub(super) time_factor: f64,
    pub(super) runs: BTreeMap<TaskKey, Run>,
    pub(super) ends: Vec<RunEnd>,
    pub(super) last_end: u64,
}

/// Run of a task.
pub(super) struct Run {
    pub(super) number: u32,
    pub(super) started_at: Duration,
    /// Work that earlier runs had done, as saved in the checkpoint.
    pub(super) saved: Duration,
    pub(super) work: Duration,
    /// Time that the target takes for the work of a second, in seconds.
    pub(super) time_factor: f64,
}

impl Target {
    pub(super) fn new(time_factor: f64) -> Self {
        Self { time_factor, runs: BTreeMap::new(), ends: Vec::new(), last_end: 0 }
    }
}

impl Run {
    pub(super) fn new(
        number: u32,
        work: Duration,
        time_factor: f64,
        checkpoint: Option<&Name>,
        now: Duration,
    ) -> Self {
        let saved_ms = checkpoint
            .map_or(0, |saved| saved.parse().expect("checkpoints of the simulation are numbers"));
        let restore = if saved_ms > 0 { RESTORE_LATENCY } else { Duration::ZERO };
        let saved = Duration::from_millis(saved_ms);
        Self { number, started_at: now + restore, saved, work, time_factor }
    }

    /// Returns the work done by `now`, earlier runs included.
    pub(super) fn done(&self, now: Duration) -> Duration {
        let elapsed = now.saturating_sub(self.started_at);
        self.work.min(self.saved + elapsed.div_f64(self.time_factor))
    }

    pub(super) fn ends_at(&self) -> Duration {
        self.started_at + self.work.saturating_sub(self.saved).mul_f64(self.time_factor)
    }
}
