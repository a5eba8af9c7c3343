//! What a target reports of itself.

use std::time::Duration;

use base::{Name, Resources};
use smallvec::SmallVec;

/// An `AttemptId` names one attempt at one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Id of the job.
    pub job: Name,
    /// Index of the task in its job.
    pub index: u32,
    /// Rises with each attempt at the task.
    pub attempt: u32,
}

/// An `AttemptState` is what became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It runs.
    Running,
    /// It ended well.
    Succeeded,
    /// It ended badly.
    Failed,
    /// It was stopped by its owner.
    Stopped,
    /// It was stopped because the target's lease lapsed.
    Lapsed,
}

/// An `Attempt` is the target's report of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Which attempt.
    pub id: AttemptId,
    /// What became of it.
    pub state: AttemptState,
    /// What was promised to it.
    pub size: Resources,
}

/// A `Report` is the whole state of a target at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The target's clock.
    pub now: Duration,
    /// Changes whenever the target restarts and forgets its attempts.
    pub boot: u64,
    /// Rises with each change of the state.
    pub revision: u64,
    /// What the target can hold.
    pub capacity: Resources,
    /// Kind of machine.
    pub kind: Name,
    /// Labels that tasks can ask for.
    pub labels: SmallVec<[Name; 4]>,
    /// Attempts that run, and ended ones until they may be forgotten.
    pub attempts: Vec<Attempt>,
    /// Calls that a runner serves at once.
    pub slots: u32,
    /// Services that a runner serves.
    pub services: SmallVec<[Name; 4]>,
    /// Ids of the calls that a runner is serving.
    pub calls: Vec<Name>,
}
