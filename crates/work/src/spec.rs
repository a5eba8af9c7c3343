//! Submitted jobs.

use base::{Name, Resources};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::Policy;

/// Upper limit on the tasks of one job, summed over all steps and occurrences.
/// Bounds the memory that one job can take in the placer; far above what the
/// users' workload sheets need.
pub const MAX_TASKS: u64 = 100_000;

/// Accepted job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Spec {
    /// Queue that the job was sent to.
    pub queue: Name,
    /// Policy of the queue when the job was accepted.
    pub policy: Policy,
    /// Team whose key came with the job; empty on a public queue.
    pub team: Name,
    /// Description of the work, passed on to the targets.
    pub payload: Name,
    /// Time of acceptance, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// Times at which the steps run; `None` to run them once, immediately.
    pub schedule: Option<Schedule>,
    /// Steps, each after the steps that it depends on.
    pub steps: Vec<Step>,
}

/// Repetition of a job's steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of the first occurrence, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

/// Group of identical tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub size: Resources,
    /// Rough estimate of a task's run time, in milliseconds.
    pub estimate_ms: u32,
    /// Numbers of the earlier steps that must be done before this step starts.
    pub after: SmallVec<[u16; 4]>,
    /// Whether all tasks start together and end together.
    pub gang: bool,
    /// Whether the tasks run slower when spread over more than one rack.
    pub same_rack: bool,
    /// Label that a target must have to run the tasks.
    pub label: Option<Name>,
    /// Rack close to the tasks' data.
    pub data_rack: Option<Name>,
    /// Maximum number of tasks of the step on one target.
    #[serde(rename = "most_per_target")]
    pub max_per_target: Option<u32>,
    /// Whether several copies of a task may run at the same time.
    pub copies: bool,
    /// Whether the tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Limit for the tail latency that the tasks' own users see, in
    /// milliseconds.
    #[serde(rename = "goal_ms")]
    pub latency_goal_ms: Option<u32>,
    /// Whether the tasks are backfill, which only uses capacity that others
    /// leave free.
    #[serde(rename = "fills")]
    pub is_backfill: bool,
    /// Program that the tasks run; tasks of one image behave alike. Absent from
    /// stored jobs that name none, so that their size doesn't change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<Name>,
    /// Number of tasks that may be away at the same time because the scheduler has
    /// stopped them; `None` if there is no limit. Absent from stored jobs without one,
    /// so that their size doesn't change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

impl Spec {
    /// Returns why the job is invalid, or `None` if it is valid.
    pub fn invalid_reason(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("a job needs a step");
        }
        if self.steps.len() > usize::from(u16::MAX) {
            return Some("the job has too many steps");
        }
        if self.steps.iter().any(|step| step.count == 0) {
            return Some("a step needs a task");
        }
        if self.task_count() > MAX_TASKS {
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

    /// Returns the number of tasks of all steps and occurrences, saturating.
    pub fn task_count(&self) -> u64 {
        let counts = self.steps.iter().map(|step| u64::from(step.count));
        let per_occurrence = counts.fold(0, u64::saturating_add);
        per_occurrence.saturating_mul(u64::from(self.occurrences()))
    }

    /// Returns the number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times.max(1))
    }

    /// Returns the due time of an occurrence, in milliseconds since 1970.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |schedule| {
            let later = schedule.interval_ms.saturating_mul(u64::from(occurrence));
            schedule.first_unix_ms.saturating_add(later)
        })
    }
}

/// Identifies a step within one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// Id of the job.
    pub job: Name,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step within the job, from 0.
    pub step: u16,
}

/// Identifies a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Step that the task belongs to.
    pub step: StepKey,
    /// Number of the task within the step, from 0.
    pub index: u32,
}
