//! What is recorded of a job's progress.

use base::Name;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::state::JobState;

/// A `Progress` is what has to outlive the placer of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Progress {
    /// The last state that was recorded.
    pub state: JobState,
    /// Number of occurrences that have begun.
    pub begun: u32,
    /// The steps of each occurrence that has begun and isn't done, by number.
    pub occurrences: Vec<(u32, Vec<StepProgress>)>,
}

/// A `StepProgress` is what ends have changed in a step.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepProgress {
    /// Whether all tasks are done.
    pub done: bool,
    /// Tasks that are done, in a step that isn't.
    pub tasks_done: Vec<u32>,
    /// Runs of tasks that failed, by number. Targets may list an end again, so
    /// a count would not do.
    pub failed_runs: Vec<(u32, SmallVec<[u32; 4]>)>,
    /// Last checkpoints of tasks, by number.
    pub checkpoints: Vec<(u32, Name)>,
}
