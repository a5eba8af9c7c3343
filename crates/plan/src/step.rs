//! The tasks of one step.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use base::Name;
use work::{Step, StepProgress};

use crate::target::TargetId;

/// A `TaskState` is where a task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// It may be started.
    Waiting,
    /// A run of it may be on a target.
    Assigned {
        /// The target.
        target: TargetId,
        /// Number of the run.
        run: u32,
    },
    /// It is done.
    Done,
}

/// A `Task` is one task of a step.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    /// Number of the last run.
    pub(crate) run: u32,
    pub(crate) failures: u32,
    pub(crate) checkpoint: Option<Name>,
}

/// A `Permission` is what is known of a target's right to run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// It may not, which doesn't change.
    Refused,
    /// It may, with this ticket until then.
    Allowed {
        /// The ticket.
        ticket: Name,
        /// When the ticket ends.
        until: Duration,
    },
}

/// A `StepState` is how far a step is.
#[derive(Debug)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<Task>,
    /// Numbers of the tasks that wait.
    pub(crate) waiting: BTreeSet<u32>,
    /// Tasks that are done.
    pub(crate) done: u32,
    pub(crate) permissions: HashMap<TargetId, Permission>,
    /// The targets that are being asked about.
    pub(crate) asked: Option<Vec<TargetId>>,
    /// Whether all earlier steps are done.
    pub(crate) is_open: bool,
}

impl StepState {
    pub(crate) fn new(step: &Step, progress: Option<&StepProgress>) -> Self {
        let task = Task { state: TaskState::Waiting, run: 0, failures: 0, checkpoint: None };
        let mut state = Self {
            tasks: vec![task; step.count as usize],
            waiting: (0..step.count).collect(),
            done: 0,
            permissions: HashMap::new(),
            asked: None,
            is_open: false,
        };
        let Some(progress) = progress else {
            return state;
        };
        let done: Vec<u32> =
            if progress.done { (0..step.count).collect() } else { progress.tasks_done.clone() };
        for index in done {
            state.finish(index);
        }
        for (index, failures) in &progress.failures {
            if let Some(task) = state.tasks.get_mut(*index as usize) {
                task.failures = *failures;
            }
        }
        for (index, checkpoint) in &progress.checkpoints {
            if let Some(task) = state.tasks.get_mut(*index as usize) {
                task.checkpoint = Some(checkpoint.clone());
            }
        }
        state
    }

    /// Tells whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Marks a task as done.
    pub(crate) fn finish(&mut self, index: u32) {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return;
        };
        if task.state != TaskState::Done {
            task.state = TaskState::Done;
            task.checkpoint = None;
            self.done += 1;
            self.waiting.remove(&index);
        }
    }

    /// Marks a task as waiting.
    pub(crate) fn release(&mut self, index: u32) {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return;
        };
        if task.state != TaskState::Done {
            task.state = TaskState::Waiting;
            self.waiting.insert(index);
        }
    }

    /// Tells whether any task may have a run.
    pub(crate) fn has_runs(&self) -> bool {
        self.tasks.iter().any(|task| matches!(task.state, TaskState::Assigned { .. }))
    }

    /// Counts the tasks that may have a run on a target.
    pub(crate) fn count_on(&self, target: TargetId) -> u32 {
        let is_there = |task: &&Task| matches!(task.state, TaskState::Assigned { target: on, .. } if on == target);
        self.tasks.iter().filter(is_there).count() as u32
    }

    /// Gets what has to be recorded of the step.
    pub(crate) fn progress(&self) -> StepProgress {
        if self.is_done() {
            return StepProgress { done: true, ..StepProgress::default() };
        }
        let numbered = || (0..).zip(&self.tasks);
        StepProgress {
            done: false,
            tasks_done: numbered()
                .filter(|(_, task)| task.state == TaskState::Done)
                .map(|(index, _)| index)
                .collect(),
            failures: numbered()
                .filter(|(_, task)| task.failures > 0)
                .map(|(index, task)| (index, task.failures))
                .collect(),
            checkpoints: numbered()
                .filter_map(|(index, task)| Some((index, task.checkpoint.clone()?)))
                .collect(),
        }
    }
}
