//! What is asked of a placement.

use std::collections::HashMap;

use base::{Name, Resources};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::cell::{Id, Worker};

/// A `Policy` says which of the fitting workers is preferred.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Policy {
    /// The fullest worker, so that large gaps stay whole.
    #[default]
    Pack,
    /// The emptiest worker, so that a failure takes few tasks along.
    Spread,
    /// The first worker by id; the baseline of the measurements.
    FirstFit,
}

/// A `Request` is the size and the constraints of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Request {
    /// What the task takes.
    pub size: Resources,
    /// Labels that the worker must have.
    pub labels: SmallVec<[Name; 4]>,
    /// Kind that the worker must have; any if `None`.
    pub kind: Option<Name>,
}

impl Request {
    /// Tells whether a worker could ever run the task.
    pub fn is_met_by(&self, worker: &Worker) -> bool {
        self.kind.as_ref().is_none_or(|kind| *kind == worker.kind)
            && self.labels.iter().all(|label| worker.labels.contains(label))
            && self.size.fits(&worker.capacity)
    }
}

/// A `Constraints` is what a job's tasks on other workers mean for its next ones.
#[derive(Clone, Debug, Default)]
pub struct Constraints {
    /// Most tasks in a rack; `None` for any number.
    pub max_per_rack: Option<u32>,
    /// Tasks in each rack.
    pub tasks_per_rack: HashMap<Name, u32>,
    /// Workers that have failed to start tasks of the job.
    pub avoid: SmallVec<[Id; 4]>,
}

impl Constraints {
    /// Tells whether `rack` takes one more task.
    pub fn admits(&self, rack: &Name) -> bool {
        self.max_per_rack
            .is_none_or(|most| self.tasks_per_rack.get(rack).copied().unwrap_or(0) < most)
    }

    /// Counts a task in `rack`.
    pub fn add(&mut self, rack: &Name) {
        if self.max_per_rack.is_some() {
            *self.tasks_per_rack.entry(rack.clone()).or_default() += 1;
        }
    }
}
