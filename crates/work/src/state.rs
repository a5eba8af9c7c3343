//! What becomes of jobs and runs.

use serde::{Deserialize, Serialize};

/// A `JobState` is how far a job is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; nothing has started.
    #[default]
    Queued,
    /// Something has started.
    Active,
    /// All tasks are done.
    Complete,
    /// A task has failed too often.
    Failed,
    /// Cancelled by its client.
    Cancelled,
}

impl JobState {
    /// Tells whether nothing of the job is to start any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Cancelled)
    }
}

/// An `End` is how a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// The work is done.
    Done,
    /// It failed, by its own fault or its target's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease lapsed, or its target was lost.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}
