//! Crashes of targets, and the tasks that ran there.
//!
//! A task may crash each target that starts it. A target that comes back as
//! another process has crashed, unless it had been drained; this counts against
//! all tasks that had runs there, since it is unknown which one was the cause.
//! A task under which several targets have crashed is given up. A run that lasts
//! clears its task: a long-running task outlives many targets.

use std::time::Duration;

use base::Name;
use work::{JobState, TaskKey};

use crate::{
    listing::Listing,
    planner::Planner,
    step::TaskState,
    target::{Phase, Run, TargetId},
};

/// Number of targets that crash under a task before the task is given up.
const MAX_CRASHES: u32 = 3;

/// Time for which a run has to last to clear its task.
const CLEARING_TIME: Duration = Duration::from_secs(60);

/// Crash of a target under a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Target that crashed.
    pub target: Name,
    /// Task that had a run on the target.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Number of targets that have crashed under the task so far.
    pub crashes: u32,
    /// Whether the task is given up, and its job fails.
    pub is_given_up: bool,
}

impl Planner {
    /// Removes and returns the crashes that were counted since the last call.
    pub fn take_crashes(&mut self) -> Vec<Crash> {
        std::mem::take(&mut self.crashes)
    }

    /// Forgets the crashes under a task, and its failures, if its run, confirmed
    /// at `confirmed_at`, has lasted.
    pub(crate) fn clear_lasting(
        &mut self,
        id: TargetId,
        key: &TaskKey,
        confirmed_at: Option<Duration>,
        now: Duration,
    ) {
        if let Some(confirmed_at) = confirmed_at {
            self.clear_target(id, key, confirmed_at, now);
        }
        if confirmed_at.is_none_or(|at| now.saturating_sub(at) < CLEARING_TIME) {
            return;
        }
        let state = self.step_state_mut(&key.step);
        let Some(task) = state.and_then(|state| state.tasks.get_mut(key.index as usize)) else {
            return;
        };
        task.failed_targets.clear();
        if !std::mem::take(&mut task.crashed_runs).is_empty() {
            self.mark_unrecorded(&key.step.job, now);
        }
    }

    /// Records that another process is at the address of a target.
    pub fn target_replaced(&mut self, target: &str, now: Duration) {
        if let Some(&id) = self.target_ids.get(target) {
            self.count_crash(id, |_, run| run.phase != Phase::Starting, now);
        }
    }

    /// Records that a target has started again since its last listing, as the
    /// listing that was requested at `requested_at` shows.
    pub(crate) fn target_restarted(
        &mut self,
        id: TargetId,
        requested_at: Duration,
        listing: &Listing,
        now: Duration,
    ) {
        let is_listed = |task: &TaskKey, number: u32| {
            let mut running = listing.running.iter().map(|listed| (&listed.task, listed.run));
            let mut ended = listing.ended.iter().map(|end| (&end.task, end.run));
            running.any(|run| run == (task, number)) || ended.any(|run| run == (task, number))
        };
        // Later orders may have reached the new process.
        let was_sent_before = |run: &Run| match run.phase {
            Phase::Starting => false,
            Phase::Unanswered(since) => since <= requested_at,
            Phase::Running | Phase::Stopping(_) => {
                run.confirmed_at.is_none_or(|confirmed| confirmed < requested_at)
            }
        };
        let is_lost =
            |task: &TaskKey, run: &Run| was_sent_before(run) && !is_listed(task, run.number);
        self.count_crash(id, is_lost, now);
    }

    /// Counts the crash of a target under the tasks of the runs that were lost
    /// with it.
    fn count_crash(
        &mut self,
        id: TargetId,
        is_lost: impl Fn(&TaskKey, &Run) -> bool,
        now: Duration,
    ) {
        let target = &mut self.targets[id.0 as usize];
        let mut lost = std::mem::take(&mut target.lapsed_runs);
        if std::mem::take(&mut target.has_drained) {
            return;
        }
        let runs = target.runs.iter().filter(|(task, run)| is_lost(task, run));
        lost.extend(runs.map(|(task, run)| (task.clone(), run.number)));
        let target = target.info.id.clone();
        for (task, run) in lost {
            self.count_crash_under(&target, task, run, now);
        }
    }

    fn count_crash_under(&mut self, target: &Name, task: TaskKey, run: u32, now: Duration) {
        let state = self.step_state_mut(&task.step);
        let Some(task_state) = state.and_then(|state| state.tasks.get_mut(task.index as usize))
        else {
            return;
        };
        if task_state.state == TaskState::Done || task_state.crashed_runs.contains(&run) {
            return;
        }
        task_state.crashed_runs.push(run);
        let crashes = task_state.crashed_runs.len() as u32;
        let is_given_up = crashes >= MAX_CRASHES;
        let job = task.step.job.clone();
        self.mark_unrecorded(&job, now);
        let target = target.clone();
        self.crashes.push(Crash { target, task, run, crashes, is_given_up });
        if is_given_up {
            self.end_job(&job, JobState::Failed, now);
        }
    }
}
