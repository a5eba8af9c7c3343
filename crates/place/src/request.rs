//! Inputs of a placement decision.

use std::collections::HashMap;

use base::{Name, Resources};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::cell::{Id, Worker};

/// Preference among the workers that fit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Policy {
    /// The fullest worker, which keeps large free capacities unfragmented.
    #[default]
    Pack,
    /// The emptiest worker, so that the failure of a worker affects few tasks.
    Spread,
    /// The fitting worker with the lowest id; the baseline in benchmarks.
    FirstFit,
}

/// Size and requirements of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Request {
    /// Resources that the task takes.
    pub size: Resources,
    /// Labels that the worker must have.
    pub labels: SmallVec<[Name; 4]>,
    /// Kind that the worker must have; `None` for any kind.
    pub kind: Option<Name>,
}

impl Request {
    /// Returns whether an empty worker could run the task.
    pub fn is_met_by(&self, worker: &Worker) -> bool {
        self.kind.as_ref().is_none_or(|kind| *kind == worker.kind)
            && self.labels.iter().all(|label| worker.labels.contains(label))
            && self.size.fits(&worker.capacity)
    }
}

/// Constraints on the next task of a job that result from its earlier tasks.
#[derive(Clone, Debug, Default)]
pub struct Constraints {
    /// Maximum number of tasks of the job in one rack; `None` for no limit.
    pub max_per_rack: Option<u32>,
    /// Number of tasks of the job in each rack; kept only with a limit.
    pub tasks_per_rack: HashMap<Name, u32>,
    /// Workers on which starts of the job have failed.
    pub avoid: SmallVec<[Id; 4]>,
}

impl Constraints {
    /// Returns whether `rack` may get one more task of the job.
    pub fn admits(&self, rack: &Name) -> bool {
        self.max_per_rack
            .is_none_or(|max| self.tasks_per_rack.get(rack).copied().unwrap_or(0) < max)
    }

    /// Counts one more task of the job in `rack`.
    pub fn add(&mut self, rack: &Name) {
        if self.max_per_rack.is_some() {
            *self.tasks_per_rack.entry(rack.clone()).or_default() += 1;
        }
    }
}
