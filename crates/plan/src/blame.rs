//! Failed runs: whether the target or the task is to blame.
//!
//! A failure counts against its target, and a target on which runs of several
//! jobs fail in succession is suspected: it gets only probes. But a task may
//! also fail wherever it runs. A task that has failed on several targets without
//! a run that lasted is faulty: its failures no longer count, and those of its
//! job are taken back from the targets. Otherwise a few faulty jobs would have
//! all targets suspected, one after the other.

use std::time::Duration;

use base::Name;
use place::{Outcome, Transition};
use work::TaskKey;

use crate::{planner::Planner, target::TargetId};

/// Number of targets on which a task fails before it is taken for faulty. Fewer
/// would acquit failing targets, of which a sound task may meet two.
pub(crate) const MIN_FAULTY_TARGETS: usize = 3;

/// Conclusion from failed runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Blame {
    /// A target is suspected from now on, or no longer.
    Target {
        /// Target that the runs were on.
        target: Name,
        /// Job whose run changed that.
        job: Name,
        /// Change of the target's health.
        transition: Transition,
    },
    /// A task is faulty.
    Task {
        /// Task that fails wherever it runs.
        task: TaskKey,
        /// Targets that it has failed on.
        targets: Vec<Name>,
    },
}

impl Planner {
    /// Removes and returns the conclusions from failed runs since the last call.
    pub fn take_blames(&mut self) -> Vec<Blame> {
        std::mem::take(&mut self.blames)
    }

    /// Counts a failed run against its target, unless its task is faulty.
    pub(crate) fn record_failed_run(&mut self, id: TargetId, key: &TaskKey, now: Duration) {
        let state = self.step_state_mut(&key.step);
        let task = state.and_then(|state| state.tasks.get_mut(key.index as usize));
        let Some(task) = task else {
            return self.record_outcome(id, Outcome::Failed, &key.step.job, now);
        };
        if task.is_faulty() {
            return;
        }
        if !task.failed_targets.contains(&id) {
            task.failed_targets.push(id);
        }
        if !task.is_faulty() {
            return self.record_outcome(id, Outcome::Failed, &key.step.job, now);
        }
        let failed_targets = task.failed_targets.clone();
        let targets = failed_targets.iter().map(|id| self.targets[id.0 as usize].info.id.clone());
        self.blames.push(Blame::Task { task: key.clone(), targets: targets.collect() });
        for id in failed_targets {
            let transition = self.targets[id.0 as usize].health.forgive(&key.step.job);
            self.report_transition(id, transition, &key.step.job);
        }
    }

    /// Updates the health of a target with the outcome of a run.
    pub(crate) fn record_outcome(
        &mut self,
        id: TargetId,
        outcome: Outcome,
        job: &Name,
        now: Duration,
    ) {
        let transition = self.targets[id.0 as usize].health.record(outcome, job, now);
        self.report_transition(id, transition, job);
    }

    /// Updates the health of a target on which a long-running task works, which
    /// has no end that would clear the target.
    pub(crate) fn clear_target(
        &mut self,
        id: TargetId,
        key: &TaskKey,
        confirmed_at: Duration,
        now: Duration,
    ) {
        let step = self.jobs.get(&key.step.job);
        let step = step.and_then(|job| job.spec.steps.get(usize::from(key.step.step)));
        if step.is_some_and(|step| step.long_running) {
            let transition = self.targets[id.0 as usize].health.record_lasting(confirmed_at, now);
            self.report_transition(id, transition, &key.step.job);
        }
    }

    fn report_transition(&mut self, id: TargetId, transition: Option<Transition>, job: &Name) {
        if let Some(transition) = transition {
            let target = self.targets[id.0 as usize].info.id.clone();
            self.is_changed = true;
            self.blames.push(Blame::Target { target, job: job.clone(), transition });
        }
    }
}
