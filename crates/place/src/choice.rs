//! The outcome of a placement decision.

use std::fmt;

use crate::cell::Id;

/// A `Choice` is a worker with what spoke for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The worker.
    pub worker: Id,
    /// Free capacity before the placement, in millionths of the worker.
    pub free_ppm: u64,
    /// Workers that were looked at.
    pub candidates: u32,
}

/// A `Refusals` counts, by reason, the workers that could not take a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    /// Workers of another kind or without a label.
    pub mismatched: u32,
    /// Workers that are smaller than the task.
    pub too_small: u32,
    /// Workers without enough free capacity.
    pub no_room: u32,
    /// Workers in racks that are full for the job.
    pub rack_full: u32,
    /// Workers that are not ready.
    pub not_ready: u32,
}

impl Refusals {
    /// Tells whether no worker could ever take the task.
    pub fn is_permanent(&self) -> bool {
        self.no_room == 0 && self.rack_full == 0 && self.not_ready == 0
    }
}

impl fmt::Display for Refusals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "unlike={} too_small={} no_room={} rack_full={} not_ready={}",
            self.mismatched, self.too_small, self.no_room, self.rack_full, self.not_ready
        )
    }
}
