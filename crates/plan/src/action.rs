//! Orders and requests that follow from decisions.

use base::Name;
use work::{StepKey, TaskKey};

/// Order or request that follows from a decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Change the share at which a run works.
    Pace(Pace),
    /// Request advice: which targets may run a step.
    RequestAdvice(AdviceRequest),
    /// Request a listing from this target at once.
    Poll(Name),
}

/// Order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Target that the order goes to.
    pub target: Name,
    /// Task to run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Description of the work.
    pub payload: Name,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// Proof that the target may run the step, if the queue requires advice.
    pub ticket: Option<Name>,
}

/// Order to stop a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    /// Target that the order goes to.
    pub target: Name,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Reason for the order.
    pub cause: StopCause,
}

/// Order to change the share at which a run works.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    /// Target that the order goes to.
    pub target: Name,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Share in percent.
    pub percent: u8,
    /// Task beside the run that is closest to its latency goal, or farthest over
    /// it; `None` if no task beside it has one.
    pub beside: Option<TaskKey>,
}

/// Reason for stopping a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// The job of the run has ended.
    JobEnded,
    /// The task is done, or its job is not known.
    Needless,
    /// A run of the task with this number is known, and is the later one.
    Superseded(u32),
    /// Another member of the gang has ended.
    GangBroken,
    /// The run makes no progress.
    Stuck,
    /// The start was not answered, and the target does not list the run.
    Unsure,
    /// The run is backfill beside this task, which is over its latency goal.
    Harmful(TaskKey),
    /// The run is backfill beside a task that was over its latency goal, and there
    /// is room on a target without such tasks.
    Paced,
    /// The run is preempted to make room for this job.
    Moved(Name),
    /// An earlier stop order had no effect.
    Repeated,
}

/// Request for advice: which of the named targets may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// Step that needs targets.
    pub step: StepKey,
    /// Targets that the request names.
    pub targets: Vec<Name>,
    /// Expected time to answer, in microseconds.
    pub cost_us: u64,
    /// Class of the request by expected time.
    pub length: RequestLength,
}

/// Class of an advice request by expected time. An instance answers its
/// requests one after another, so a long request delays the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestLength {
    /// Other requests may wait behind this one.
    Short,
    /// Other requests should not wait behind this one.
    Long,
}
