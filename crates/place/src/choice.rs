//! Outcome of a placement decision.

use std::fmt;

use crate::cell::Id;

/// Worker chosen for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Chosen worker.
    pub worker: Id,
    /// Smallest free fraction of the worker over all dimensions before the
    /// placement, in millionths.
    pub free_ppm: u64,
    /// Number of workers examined.
    pub candidates: u32,
}

/// Number of workers that could not take a task, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    /// Workers of another kind or without a required label.
    pub mismatched: u32,
    /// Workers whose whole capacity is smaller than the task.
    pub too_small: u32,
    /// Workers without enough free capacity.
    pub no_room: u32,
    /// Workers in racks that already hold the job's maximum of tasks.
    pub rack_full: u32,
    /// Workers in another state than ready.
    pub not_ready: u32,
}

impl Refusals {
    /// Returns whether all workers are unsuitable by kind, labels or capacity, so
    /// that waiting does not help.
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
