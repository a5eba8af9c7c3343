//! What is submitted.

use base::{Name, Resources};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::Policy;

/// Most steps, occurrences and tasks of a job, so that one job can't take the
/// memory of its placer; far above what the users' sheets ask for.
const MOST_TASKS: u64 = 100_000;

/// A `Spec` is an accepted job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Spec {
    /// The queue that it was sent to.
    pub queue: Name,
    /// What governed the queue when the job was accepted.
    pub policy: Policy,
    /// The team whose key came with it; empty on a public queue.
    pub team: Name,
    /// What the targets are told to run.
    pub payload: Name,
    /// When the job was accepted, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// When the steps run, if not at once.
    pub schedule: Option<Schedule>,
    /// The steps.
    pub steps: Vec<Step>,
}

/// A `Schedule` has the steps run several times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

/// A `Step` is equal tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes.
    pub size: Resources,
    /// A rough estimate of a task's run time, in milliseconds.
    pub estimate_ms: u32,
    /// Earlier steps whose tasks must all be done before.
    pub after: SmallVec<[u16; 4]>,
    /// Whether all tasks start together and end together.
    pub gang: bool,
    /// Whether tasks are slower when they run on more than one rack.
    pub same_rack: bool,
    /// Label that the target must have.
    pub label: Option<Name>,
    /// Rack near the data.
    pub data_rack: Option<Name>,
    /// Most tasks of the step on one target.
    #[serde(rename = "most_per_target")]
    pub max_per_target: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub copies: bool,
    /// Whether the tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// The time below which the tail of the response times of the tasks' own
    /// users must stay, in milliseconds.
    #[serde(rename = "goal_ms")]
    pub latency_goal_ms: Option<u32>,
    /// Whether the tasks only use what others leave.
    #[serde(rename = "fills")]
    pub is_backfill: bool,
}

impl Spec {
    /// Tells what is wrong with the job; `None` if nothing is.
    pub fn invalid_reason(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("a job needs a step");
        }
        let per_occurrence: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if self.steps.iter().any(|step| step.count == 0) {
            return Some("a step needs a task");
        }
        if per_occurrence * u64::from(self.occurrences()) > MOST_TASKS {
            return Some("the job has too many tasks");
        }
        let is_later = |(number, step): (usize, &Step)| {
            step.after.iter().any(|before| usize::from(*before) >= number)
        };
        if self.steps.iter().enumerate().any(is_later) {
            return Some("a step may only wait for earlier steps");
        }
        None
    }

    /// Gets how many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times.max(1))
    }

    /// Gets when an occurrence is due, in milliseconds since 1970.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |schedule| {
            let later = schedule.interval_ms.saturating_mul(u64::from(occurrence));
            schedule.first_unix_ms.saturating_add(later)
        })
    }
}

/// A `StepKey` names a step of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// Id of the job.
    pub job: Name,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u16,
}

/// A `TaskKey` names a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// Number of the task within the step, from 0.
    pub index: u32,
}
