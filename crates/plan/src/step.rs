//! State of one step and its tasks.

use std::{
    collections::{BTreeSet, HashSet},
    time::Duration,
};

use base::Name;
use smallvec::{SmallVec, smallvec};
use work::{Step, StepProgress};

use crate::{
    blame::MIN_FAULTY_TARGETS, permission::Permissions, speed::StepSpeeds, target::TargetId,
};

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// No run exists; the task may be started.
    Waiting,
    /// A run of the task may exist on a target.
    Assigned {
        /// Target of the run.
        target: TargetId,
        /// Number of the run.
        run: u32,
    },
    /// The task is done.
    Done,
}

/// Run of a task of the step that may exist on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskRun {
    /// Number of the task.
    pub(crate) index: u32,
    /// Target of the run.
    pub(crate) target: TargetId,
    /// Number of the run.
    pub(crate) run: u32,
}

/// Task of a step.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    /// Runs beside the current one that may still exist. The task is not started
    /// until all of them have ended.
    pub(crate) other_runs: SmallVec<[TaskRun; 1]>,
    /// Number of the last run.
    pub(crate) last_run: u32,
    /// Numbers of the failed runs.
    pub(crate) failed_runs: SmallVec<[u32; 4]>,
    /// Whether the task may have crashed a target.
    pub(crate) is_suspect: bool,
    /// Number of crashes of this term in which the task was alone, and that proved
    /// nothing since many targets crashed.
    pub(crate) unproven_crashes: u32,
    /// Numbers of the runs that are proven to have crashed a target.
    pub(crate) crashed_runs: SmallVec<[u32; 4]>,
    /// Numbers of runs during which a target has crashed, up to those that matter.
    pub(crate) lost_runs: SmallVec<[u32; 2]>,
    /// Targets on which runs failed in this term, up to those that show that the
    /// task is faulty.
    pub(crate) failed_targets: SmallVec<[TargetId; 3]>,
    pub(crate) checkpoint: Option<Name>,
    /// Number of times that the task was preempted in this term.
    pub(crate) preemptions: u32,
}

impl Task {
    /// Returns whether the task fails wherever it runs.
    pub(crate) fn is_faulty(&self) -> bool {
        self.failed_targets.len() >= MIN_FAULTY_TARGETS
    }

    /// Returns the current run, where `index` is the number of the task.
    fn current_run(&self, index: u32) -> Option<TaskRun> {
        match self.state {
            TaskState::Assigned { target, run } => Some(TaskRun { index, target, run }),
            TaskState::Waiting | TaskState::Done => None,
        }
    }
}

/// State of a step.
#[derive(Debug)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<Task>,
    /// Numbers of the waiting tasks that may be started.
    pub(crate) waiting: BTreeSet<u32>,
    /// Number of tasks that are done.
    pub(crate) done_count: u32,
    pub(crate) permissions: Permissions,
    pub(crate) speeds: StepSpeeds,
    /// Targets named by advice requests in flight; `None` if there are none.
    pub(crate) requested: Option<Vec<TargetId>>,
    /// Whether all steps that this one depends on are done.
    pub(crate) is_open: bool,
    /// Whether no task of the step can have been started in an earlier term.
    pub(crate) is_unbegun: bool,
    /// Time since when no target has had room for the waiting tasks.
    pub(crate) no_room_since: Option<Duration>,
}

impl StepState {
    pub(crate) fn new(step: &Step, progress: Option<&StepProgress>) -> Self {
        let task = Task {
            state: TaskState::Waiting,
            other_runs: SmallVec::new(),
            last_run: 0,
            failed_runs: SmallVec::new(),
            is_suspect: false,
            unproven_crashes: 0,
            crashed_runs: SmallVec::new(),
            lost_runs: SmallVec::new(),
            failed_targets: SmallVec::new(),
            checkpoint: None,
            preemptions: 0,
        };
        let mut state = Self {
            tasks: vec![task; step.count as usize],
            waiting: (0..step.count).collect(),
            done_count: 0,
            permissions: Permissions::default(),
            speeds: StepSpeeds::default(),
            requested: None,
            is_open: false,
            is_unbegun: false,
            no_room_since: None,
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
        for index in &progress.suspect_tasks {
            if let Some(task) = state.tasks.get_mut(*index as usize) {
                task.is_suspect = true;
            }
        }
        for (index, runs) in &progress.crashed_runs {
            if let Some(task) = state.tasks.get_mut(*index as usize) {
                task.is_suspect = true;
                task.crashed_runs.clone_from(runs);
                task.lost_runs = runs.iter().copied().collect();
            }
        }
        for (index, checkpoint) in &progress.checkpoints {
            if let Some(task) = state.tasks.get_mut(*index as usize) {
                task.checkpoint = Some(checkpoint.clone());
            }
        }
        state
    }

    /// Returns whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.done_count as usize == self.tasks.len()
    }

    /// Marks a task as done and drops its checkpoint.
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

    /// Marks a task as waiting, unless it is done.
    pub(crate) fn mark_waiting(&mut self, index: u32) {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return;
        };
        if task.state != TaskState::Done {
            task.state = TaskState::Waiting;
            if task.other_runs.is_empty() {
                self.waiting.insert(index);
            }
        }
    }

    /// Makes a run the current one of its task, unless the task is done or a
    /// later run is known. All members of a gang have the same run number, so a
    /// later run of any member counts.
    ///
    /// Returns the runs to stop: earlier ones, or the run itself if it was not
    /// taken. The placer that started the latest run had ruled out the earlier
    /// ones, but they are tracked until their targets have confirmed that.
    pub(crate) fn assign_latest(&mut self, latest: TaskRun, step: &Step) -> SmallVec<[TaskRun; 2]> {
        let Some(task) = self.tasks.get(latest.index as usize) else {
            return smallvec![latest];
        };
        if task.state == TaskState::Done {
            self.tasks[latest.index as usize].other_runs.push(latest);
            return smallvec![latest];
        }
        let current = if step.gang {
            self.current_runs().collect()
        } else {
            SmallVec::<[TaskRun; 2]>::from_iter(task.current_run(latest.index))
        };
        let is_outdated = |known: &TaskRun| {
            known.run > latest.run || known.run == latest.run && known.index == latest.index
        };
        if current.iter().any(is_outdated) {
            self.tasks[latest.index as usize].other_runs.push(latest);
            return smallvec![latest];
        }
        let mut earlier = current;
        earlier.retain(|known| known.run < latest.run);
        for known in &earlier {
            let task = &mut self.tasks[known.index as usize];
            task.other_runs.push(*known);
            task.state = TaskState::Waiting;
        }
        let task = &mut self.tasks[latest.index as usize];
        task.state = TaskState::Assigned { target: latest.target, run: latest.run };
        task.last_run = task.last_run.max(latest.run);
        self.waiting.remove(&latest.index);
        earlier
    }

    /// Returns the current run of a task.
    pub(crate) fn current_run(&self, index: u32) -> Option<TaskRun> {
        self.tasks.get(index as usize)?.current_run(index)
    }

    /// Returns the current runs of all tasks.
    pub(crate) fn current_runs(&self) -> impl Iterator<Item = TaskRun> {
        (0..).zip(&self.tasks).filter_map(|(index, task)| task.current_run(index))
    }

    /// Removes a run that has ended from the runs beside the current one.
    /// Returns whether it was among them.
    pub(crate) fn remove_other_run(&mut self, ended: TaskRun) -> bool {
        let Some(task) = self.tasks.get_mut(ended.index as usize) else {
            return false;
        };
        let is_known = task.other_runs.contains(&ended);
        task.other_runs.retain(|other| *other != ended);
        if is_known && task.state == TaskState::Waiting {
            self.mark_waiting(ended.index);
        }
        is_known
    }

    /// Records a failed run. Returns the number of failed runs of the task, or
    /// of the whole step if it is a gang.
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

    /// Removes targets whose advice request is no longer in flight.
    pub(crate) fn finish_request(&mut self, targets: &[TargetId]) {
        if let Some(requested) = &mut self.requested {
            requested.retain(|target| !targets.contains(target));
        }
        self.requested = self.requested.take().filter(|requested| !requested.is_empty());
    }

    /// Returns whether a run of any task may exist.
    pub(crate) fn has_runs(&self) -> bool {
        self.tasks.iter().any(|task| matches!(task.state, TaskState::Assigned { .. }))
    }

    /// Returns whether targets have crashed under a task that waits.
    pub(crate) fn has_waiting_suspects(&self) -> bool {
        let mut waiting = self.waiting.iter().filter_map(|index| self.tasks.get(*index as usize));
        waiting.any(|task| task.is_suspect)
    }

    /// Returns whether a task may crash its targets: none of its runs has ended well.
    /// Other tasks of the step show nothing, as one task alone may be the faulty one.
    pub(crate) fn may_crash(&self, index: u32) -> bool {
        self.tasks.get(index as usize).is_some_and(|task| task.state != TaskState::Done)
    }

    /// Returns whether only one target at a time may run tasks of the step, since it
    /// is not known whether the tasks crash their targets.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.done_count == 0 && self.tasks.iter().any(|task| task.is_suspect)
    }

    /// Returns the number of crashes that count against a task, the proven ones and
    /// the others: those of all tasks of the step until one of them is done.
    pub(crate) fn crash_counts(&self, index: u32) -> (u32, u32) {
        let proven = |task: &Task| task.crashed_runs.len() as u32;
        let unproven = |task: &Task| task.unproven_crashes;
        (self.count_against(index, proven), self.count_against(index, unproven))
    }

    fn count_against(&self, index: u32, of: impl Fn(&Task) -> u32) -> u32 {
        if self.done_count > 0 {
            self.tasks.get(index as usize).map_or(0, of)
        } else {
            self.tasks.iter().map(of).sum()
        }
    }

    /// Returns the number of tasks that may have a run on `target`.
    pub(crate) fn count_on(&self, target: TargetId) -> u32 {
        let is_there = |task: &&Task| {
            matches!(task.state, TaskState::Assigned { target: on, .. } if on == target)
                || task.other_runs.iter().any(|run| run.target == target)
        };
        self.tasks.iter().filter(is_there).count() as u32
    }

    /// Returns the progress to record.
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
            suspect_tasks: numbered()
                .filter(|(_, task)| task.is_suspect && task.state != TaskState::Done)
                .map(|(index, _)| index)
                .collect(),
            crashed_runs: numbered()
                .filter(|(_, task)| !task.crashed_runs.is_empty())
                .map(|(index, task)| (index, task.crashed_runs.clone()))
                .collect(),
            checkpoints: numbered()
                .filter_map(|(index, task)| Some((index, task.checkpoint.clone()?)))
                .collect(),
        }
    }
}
