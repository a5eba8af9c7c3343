//! States of jobs and outcomes of runs.

use serde::{Deserialize, Serialize};

/// State of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; no run has started.
    #[default]
    Queued,
    /// At least one run has started.
    Active,
    /// All tasks are done.
    Complete,
    /// A task has failed as often as the queue's policy allows.
    Failed,
    /// Cancelled by its client.
    Cancelled,
}

impl JobState {
    /// Returns whether no further run of the job may start.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Cancelled)
    }
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// The task is done.
    Done,
    /// The run failed, through a fault of its own or of its target.
    Failed,
    /// The run was stopped by order of the placer.
    Stopped,
    /// The lease of the run expired, or its target was lost.
    Lapsed,
    /// Another member of the gang ended first.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}
