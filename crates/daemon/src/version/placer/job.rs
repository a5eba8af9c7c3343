//! Jobs and their tasks.

use std::{collections::BTreeSet, time::Duration};

use base::Name;
use quota::JobKind;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use target::{AttemptId, Start};
use wire::pb;

use crate::version::placer::spec::Spec;

/// Maximum number of workers that a job's status names.
const MAX_STATUS_WORKERS: usize = 64;

/// Final state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum End {
    /// The task ran to its end.
    #[serde(rename = "s")]
    Succeeded,
    /// The task failed.
    #[serde(rename = "f")]
    Failed,
    /// The task was stopped, or cancelled before it ran.
    #[serde(rename = "c")]
    Stopped,
    /// The worker was lost, and the task may not run twice.
    #[serde(rename = "m")]
    MayHaveRun,
}

/// State of an attempt, as far as the placer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start is not yet recorded in the ledger, and not sent.
    Recording,
    /// The start was sent. A report of the worker after `not_after` shows
    /// whether the attempt runs.
    Sent {
        /// Time on the worker's clock after which the start has no effect.
        not_after: Duration,
        /// Whether the worker confirmed the start.
        is_confirmed: bool,
    },
    /// The start is being sent.
    Sending,
    /// A report of the worker shows the running attempt.
    Running,
}

/// Attempt that is assigned to a worker.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub(crate) worker: Name,
    /// Boot number of the worker; 0 if unknown.
    pub(crate) boot: u64,
    pub(crate) phase: Phase,
    /// Whether the attempt is being stopped so that the task starts elsewhere.
    pub(crate) is_evicted: bool,
}

/// State of a task.
#[derive(Clone, Debug)]
pub(crate) enum TaskState {
    /// The task waits for a worker.
    Pending,
    /// The task has a worker.
    Assigned(Assignment),
    /// The task ended for good.
    Ended(End),
}

/// Task of a job.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    /// Number of the current attempt, or of the next one while the task is
    /// pending.
    pub(crate) attempt: u32,
    /// Failed attempts.
    pub(crate) failures: u32,
    pub(crate) state: TaskState,
}

/// Accepted job with the state of its tasks.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: Name,
    pub(crate) team: Name,
    pub(crate) spec: Spec,
    pub(crate) page: usize,
    /// Time of acceptance, in milliseconds since 1970.
    pub(crate) accepted_ms: u64,
    pub(crate) is_cancelled: bool,
    /// End of the last task, in milliseconds since 1970.
    pub(crate) ended_ms: Option<u64>,
    /// Time from acceptance to the first start of a task, in milliseconds.
    pub(crate) first_start_ms: Option<u64>,
    pub(crate) tasks: Vec<Task>,
    pub(crate) pending: BTreeSet<u32>,
    pub(crate) assigned: u32,
    /// Workers that failed to start a task of the job and get none of its next
    /// tasks.
    pub(crate) avoided_workers: SmallVec<[Name; 4]>,
    /// Time before which no pending task starts.
    pub(crate) backoff_until: Duration,
    /// Reason why pending tasks wait.
    pub(crate) waiting_reason: String,
}

impl Job {
    pub(crate) fn new(id: Name, team: Name, spec: Spec, page: usize, accepted_ms: u64) -> Self {
        let task = Task { attempt: 1, failures: 0, state: TaskState::Pending };
        Self {
            tasks: vec![task; spec.tasks as usize],
            pending: (0..spec.tasks).collect(),
            assigned: 0,
            id,
            team,
            spec,
            page,
            accepted_ms,
            is_cancelled: false,
            ended_ms: None,
            first_start_ms: None,
            avoided_workers: SmallVec::new(),
            backoff_until: Duration::ZERO,
            waiting_reason: String::new(),
        }
    }

    /// Returns the assignment of a task; `None` if the task has no worker.
    pub(crate) fn assignment(&self, index: u32) -> Option<&Assignment> {
        match &self.tasks.get(index as usize)?.state {
            TaskState::Assigned(assignment) => Some(assignment),
            TaskState::Pending | TaskState::Ended(_) => None,
        }
    }

    /// Returns the assignment of a task for changes; `None` if the task has no
    /// worker.
    pub(crate) fn assignment_mut(&mut self, index: u32) -> Option<&mut Assignment> {
        match &mut self.tasks.get_mut(index as usize)?.state {
            TaskState::Assigned(assignment) => Some(assignment),
            TaskState::Pending | TaskState::Ended(_) => None,
        }
    }

    /// Assigns a pending task to a worker.
    pub(crate) fn assign(&mut self, index: u32, assignment: Assignment) {
        self.pending.remove(&index);
        self.assigned += 1;
        self.tasks[index as usize].state = TaskState::Assigned(assignment);
    }

    /// Puts a task back into the pending ones, with the next attempt number.
    pub(crate) fn requeue(&mut self, index: u32) {
        let task = &mut self.tasks[index as usize];
        if matches!(task.state, TaskState::Assigned(_)) {
            self.assigned -= 1;
        }
        task.attempt += 1;
        task.state = TaskState::Pending;
        self.pending.insert(index);
    }

    /// Ends a task for good.
    pub(crate) fn end(&mut self, index: u32, end: End) {
        let task = &mut self.tasks[index as usize];
        if matches!(task.state, TaskState::Assigned(_)) {
            self.assigned -= 1;
        }
        task.state = TaskState::Ended(end);
        self.pending.remove(&index);
    }

    /// Returns whether no task waits or runs.
    pub(crate) fn is_complete(&self) -> bool {
        self.pending.is_empty() && self.assigned == 0
    }

    /// Returns whether the next tasks may be placed. A gang is placed only as a
    /// whole, so none of its tasks may still be on a worker.
    pub(crate) fn is_placeable(&self, now: Duration) -> bool {
        !self.is_cancelled
            && now >= self.backoff_until
            && !self.pending.is_empty()
            && (self.spec.kind != JobKind::Gang || self.assigned == 0)
    }

    /// Returns the id of the task's current attempt.
    pub(crate) fn attempt_id(&self, index: u32) -> AttemptId {
        let attempt = self.tasks[index as usize].attempt;
        AttemptId { job: self.id.clone(), index, attempt }
    }

    /// Returns the request that starts the task's current attempt.
    pub(crate) fn start_request(&self, index: u32) -> Start {
        Start {
            id: self.attempt_id(index),
            size: self.spec.request.size,
            declared_run: self.spec.declared_run,
            payload: self.spec.payload.clone(),
        }
    }

    /// Returns the status that submitters see.
    pub(crate) fn status(&self, region: &str) -> pb::JobStatus {
        let mut status = pb::JobStatus {
            job: self.id.to_string(),
            name: self.spec.name.to_string(),
            team: self.team.to_string(),
            region: region.to_owned(),
            waiting: if self.pending.is_empty() {
                String::new()
            } else {
                self.waiting_reason.clone()
            },
            ended: self.ended_ms.is_some(),
            first_start_ms: self.first_start_ms.unwrap_or(0) as u32,
            ..Default::default()
        };
        for task in &self.tasks {
            match &task.state {
                TaskState::Pending => status.pending += 1,
                TaskState::Assigned(assignment) => {
                    match assignment.phase {
                        Phase::Running | Phase::Sent { is_confirmed: true, .. } => {
                            status.running += 1
                        }
                        Phase::Recording | Phase::Sending | Phase::Sent { .. } => {
                            status.starting += 1;
                        }
                    }
                    if assignment.is_evicted {
                        status.stopping += 1;
                    }
                    if status.workers.len() < MAX_STATUS_WORKERS {
                        status.workers.push(assignment.worker.to_string());
                    }
                }
                TaskState::Ended(End::Succeeded) => status.succeeded += 1,
                TaskState::Ended(End::Failed) => status.failed += 1,
                TaskState::Ended(End::Stopped) => status.stopped += 1,
                TaskState::Ended(End::MayHaveRun) => status.may_have_run += 1,
            }
        }
        status
    }
}
