//! What is to be done after a decision.

use base::Name;
use work::{StepKey, TaskKey};

/// An `Action` is an order or a request that follows from a decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Ask which targets may run a step.
    RequestAdvice(AdviceRequest),
    /// Hear at once what a target runs.
    Poll(Name),
}

/// A `Start` is the order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The target.
    pub target: Name,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// What is to run.
    pub payload: Name,
    /// Where the work resumes.
    pub checkpoint: Option<Name>,
    /// The permission to run the step on the target.
    pub ticket: Option<Name>,
}

/// A `Stop` is the order to stop a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    /// The target.
    pub target: Name,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Why.
    pub cause: StopCause,
}

/// A `StopCause` is why a run is told to stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// Its job has ended.
    JobEnded,
    /// Its task is done, or another run of it is wanted.
    Needless,
    /// Another member of its gang has ended.
    GangBroken,
    /// It makes no progress.
    Stuck,
    /// Its start wasn't answered, and it isn't listed.
    Unsure,
    /// It makes room for a gang of this job.
    Moved(Name),
    /// An earlier order had no effect.
    Repeated,
}

/// An `AdviceRequest` is the request for the targets that may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// The targets in question.
    pub targets: Vec<Name>,
    /// How long the answer takes, in microseconds.
    pub cost_us: u64,
    /// Whether others should not wait for it.
    pub length: RequestLength,
}

/// A `RequestLength` says whether others should wait for a request for advice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestLength {
    /// They may.
    Short,
    /// They should not.
    Long,
}
