//! Stored progress of a job.

use base::Name;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::state::JobState;

/// State of a job that has to survive a change of placer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Progress {
    /// Last recorded state.
    pub state: JobState,
    /// Number of occurrences that have begun.
    pub begun: u32,
    /// Steps of the occurrences that have begun and are not done, by occurrence
    /// number.
    pub occurrences: Vec<(u32, Vec<StepProgress>)>,
}

/// State of a step that has to survive a change of placer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepProgress {
    /// Whether all tasks are done.
    pub done: bool,
    /// Numbers of the tasks that are done; empty once the whole step is done.
    pub tasks_done: Vec<u32>,
    /// Numbers of the failed runs, by task number. A target may list the same
    /// end more than once, so a mere count could count a failure twice.
    pub failed_runs: Vec<(u32, SmallVec<[u32; 4]>)>,
    /// Numbers of the tasks that may have crashed a target.
    pub suspect_tasks: Vec<u32>,
    /// Numbers of the runs that are proven to have crashed a target, by task number.
    pub crashed_runs: Vec<(u32, SmallVec<[u32; 4]>)>,
    /// Last checkpoint of each task that has one, by task number.
    pub checkpoints: Vec<(u32, Name)>,
}
