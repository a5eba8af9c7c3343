//! The tasks of one step.

use std::collections::{BTreeSet, HashSet};

use base::Name;
use smallvec::SmallVec;
use work::{Step, StepProgress};

use crate::{permission::Permissions, target::TargetId};

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
    pub(crate) last_run: u32,
    /// The runs that failed.
    pub(crate) failed_runs: SmallVec<[u32; 4]>,
    pub(crate) checkpoint: Option<Name>,
    /// Times that it was moved for others in this term.
    pub(crate) moves: u32,
}

/// A `StepState` is how far a step is.
#[derive(Debug)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<Task>,
    /// Numbers of the tasks that wait.
    pub(crate) waiting: BTreeSet<u32>,
    /// Tasks that are done.
    pub(crate) done_count: u32,
    pub(crate) permissions: Permissions,
    /// The targets that are being asked about.
    pub(crate) requested: Option<Vec<TargetId>>,
    /// Whether all earlier steps are done.
    pub(crate) is_open: bool,
}

impl StepState {
    pub(crate) fn new(step: &Step, progress: Option<&StepProgress>) -> Self {
        let task = Task {
            state: TaskState::Waiting,
            last_run: 0,
            failed_runs: SmallVec::new(),
            checkpoint: None,
            moves: 0,
        };
        let mut state = Self {
            tasks: vec![task; step.count as usize],
            waiting: (0..step.count).collect(),
            done_count: 0,
            permissions: Permissions::default(),
            requested: None,
            is_open: false,
        };
        let Some(progress) = progress else {
            return state;
        };
        let done: Vec<u32> =
            if progress.done { (0..step.count).collect() } else { progress.tasks_done.clone() };
        for index in done {
            state.mark_done(index);
        }
        for (index, runs) in &progress.failed_runs {
            if let Some(task) = state.tasks.get_mut(*index as usize) {
                task.failed_runs.clone_from(runs);
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
        self.done_count as usize == self.tasks.len()
    }

    /// Marks a task as done.
    pub(crate) fn mark_done(&mut self, index: u32) {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return;
        };
        if task.state != TaskState::Done {
            task.state = TaskState::Done;
            task.checkpoint = None;
            self.done_count += 1;
            self.waiting.remove(&index);
        }
    }

    /// Marks a task as waiting.
    pub(crate) fn mark_waiting(&mut self, index: u32) {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return;
        };
        if task.state != TaskState::Done {
            task.state = TaskState::Waiting;
            self.waiting.insert(index);
        }
    }

    /// Notes that a run failed; gets how often the task has, or the whole step
    /// if it is a gang.
    pub(crate) fn record_failure(&mut self, index: u32, run: u32, step: &Step) -> u32 {
        let task = &mut self.tasks[index as usize];
        if !task.failed_runs.contains(&run) {
            task.failed_runs.push(run);
        }
        if !step.gang {
            return task.failed_runs.len() as u32;
        }
        let runs = self.tasks.iter().flat_map(|task| &task.failed_runs);
        runs.collect::<HashSet<_>>().len() as u32
    }

    /// Takes note that a request about these targets is no longer under way.
    pub(crate) fn finish_request(&mut self, targets: &[TargetId]) {
        if let Some(requested) = &mut self.requested {
            requested.retain(|target| !targets.contains(target));
        }
        self.requested = self.requested.take().filter(|requested| !requested.is_empty());
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
            failed_runs: numbered()
                .filter(|(_, task)| !task.failed_runs.is_empty())
                .map(|(index, task)| (index, task.failed_runs.clone()))
                .collect(),
            checkpoints: numbered()
                .filter_map(|(index, task)| Some((index, task.checkpoint.clone()?)))
                .collect(),
        }
    }
}
