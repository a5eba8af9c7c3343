//! State reports of a target.

use std::time::Duration;

use base::{Name, Resources};
use smallvec::SmallVec;

/// Id of one attempt at one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Id of the job.
    pub job: Name,
    /// Index of the task in its job.
    pub index: u32,
    /// Number of the attempt; rises with each attempt at the task.
    pub attempt: u32,
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt is running.
    Running,
    /// The attempt ended successfully.
    Succeeded,
    /// The attempt ended with a failure.
    Failed,
    /// The owner of the target stopped the attempt.
    Stopped,
    /// The target stopped the attempt because its lease lapsed.
    Lapsed,
}

/// Report on one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Id of the attempt.
    pub id: AttemptId,
    /// State of the attempt.
    pub state: AttemptState,
    /// Resources allocated to the attempt.
    pub size: Resources,
}

/// Complete state of a target at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Time on the target's clock.
    pub now: Duration,
    /// Id of the boot of the target; changes when the target restarts and loses
    /// its attempts.
    pub boot: u64,
    /// Revision of the state; rises with each change.
    pub revision: u64,
    /// Resources that the target offers to tasks.
    pub capacity: Resources,
    /// Kind of machine.
    pub kind: Name,
    /// Labels that tasks can require.
    pub labels: SmallVec<[Name; 4]>,
    /// Running attempts, and ended ones that the owner has not yet allowed the
    /// target to forget.
    pub attempts: Vec<Attempt>,
    /// Calls that a runner serves concurrently; zero for a worker.
    pub slots: u32,
    /// Services that a runner serves; empty for a worker.
    pub services: SmallVec<[Name; 4]>,
    /// Attempt ids of the calls that a runner is serving.
    pub calls: Vec<Name>,
}
