//! Ends of runs and their consequences.

use std::{sync::Arc, time::Duration};

use base::Name;
use place::Outcome;
use work::{End, JobState, Spec, Step, StepKey, TaskKey};

use crate::{
    action::StopCause,
    crash::LostRun,
    job::{AwaitedRecord, Origin},
    planner::Planner,
    step::{TaskRun, TaskState},
    target::{Phase, TargetId},
};

/// Evidence that a run does not exist, other than an end listed by its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The target's lease has expired by any clock.
    LeaseExpired,
    /// A listing requested after the run was confirmed lacks the run.
    Unlisted,
    /// The start order was refused, or was not sent.
    Refused,
}

/// Run that was given up without an end listed by its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedRun {
    /// Target of the run.
    pub target: Name,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Evidence that the run does not exist.
    pub evidence: Evidence,
    /// Time since the last known lease grant to the target.
    pub lease_age: Duration,
}

impl Planner {
    /// Removes and returns the runs that were given up without a listed end.
    pub fn take_released_runs(&mut self) -> Vec<ReleasedRun> {
        std::mem::take(&mut self.released_runs)
    }

    /// Ends and reports a run that its target has not listed as ended.
    pub(crate) fn release_run(
        &mut self,
        id: TargetId,
        task: &TaskKey,
        run: u32,
        evidence: Evidence,
        now: Duration,
    ) {
        let target = &self.targets[id.0 as usize];
        let granted_at = target.lease_granted_at.unwrap_or_default();
        self.released_runs.push(ReleasedRun {
            target: target.info.id.clone(),
            task: task.clone(),
            run,
            evidence,
            lease_age: now.saturating_sub(granted_at),
        });
        self.give_up_run(id, task, run, evidence, now);
    }

    /// Ends a run that its target has not listed as ended, without a report.
    pub(crate) fn give_up_run(
        &mut self,
        id: TargetId,
        task: &TaskKey,
        run: u32,
        evidence: Evidence,
        now: Duration,
    ) {
        self.given_up_runs.insert((id, task.clone(), run), evidence, now);
        self.end_run(id, task, run, End::Lapsed, None, now);
    }

    /// Ends all runs on targets whose lease has expired.
    pub(crate) fn end_lapsed_runs(&mut self, now: Duration) {
        for index in 0..self.targets.len() {
            let target = &self.targets[index];
            if target.may_hold_lease(now) || target.runs.is_empty() {
                continue;
            }
            let until = self.unconfirmed_until(target);
            let gone = target.runs.iter().filter(|(_, run)| !target.may_exist(run, now, until));
            let gone: Vec<LostRun> = gone.map(|(task, run)| LostRun::new(task, run, now)).collect();
            for lost in gone {
                let id = TargetId(index as u32);
                self.targets[index].lapsed_runs.push(lost.clone());
                self.release_run(id, &lost.task, lost.run, Evidence::LeaseExpired, now);
            }
        }
    }

    /// Applies the end of a run.
    pub(crate) fn end_run(
        &mut self,
        id: TargetId,
        key: &TaskKey,
        run: u32,
        end: End,
        checkpoint: Option<Name>,
        now: Duration,
    ) {
        self.is_changed = true;
        let job = self.jobs.get(&key.step.job);
        let team = job.map(|job| job.spec.team.clone());
        let is_own = job.is_some_and(|job| job.origin == Origin::Own);
        let mut started_at = None;
        let mut is_known_to_exist = false;
        let target_state = &mut self.targets[id.0 as usize];
        if target_state.runs.get(key).is_some_and(|known| known.number == run)
            && let Some(known) = target_state.runs.remove(key)
        {
            started_at = known.started_at;
            is_known_to_exist = known.is_listed || is_own || run > self.run_number_base;
            target_state.release(&known);
            if let Some(team) = &team {
                self.team_usage.remove(team, known.size);
            }
            if let Some(job) = self.jobs.get_mut(&key.step.job) {
                job.run_count -= 1;
            }
            if self.jobs.get(&key.step.job).is_some_and(|job| self.has_ended_for_good(job)) {
                // The stored job can be removed now.
                self.mark_unrecorded(&key.step.job, now);
            }
        }
        if let Some(checkpoint) = &checkpoint {
            self.save_checkpoint(key, checkpoint);
        }
        let Some(job) = self.jobs.get(&key.step.job) else {
            return;
        };
        let spec = Arc::clone(&job.spec);
        let Some(step) = spec.steps.get(usize::from(key.step.step)) else {
            return;
        };
        match end {
            End::Done => self.record_outcome(id, Outcome::Succeeded, &key.step.job, now),
            End::Failed => self.record_failed_run(id, key, now),
            End::Stopped | End::Lapsed | End::Broken | End::Alone => {}
        }
        if let Some(started_at) = started_at.filter(|_| end == End::Done) {
            self.record_speed(id, &spec, step, now.saturating_sub(started_at), now);
        }
        if end == End::Done && self.step_state(&key.step).is_none() {
            self.begin_adopted(&key.step, now);
        }
        let max_attempts = self.config.policy(&spec.queue, &spec.policy).max_attempts;
        let Some(state) = self.step_state_mut(&key.step) else {
            return;
        };
        let Some(task) = state.tasks.get(key.index as usize) else {
            return;
        };
        let was_done = task.state == TaskState::Done;
        let task_has_no_other_run = task.other_runs.is_empty();
        let is_current = task.state == TaskState::Assigned { target: id, run };
        let is_other = state.remove_other_run(TaskRun { index: key.index, target: id, run });
        if end == End::Done && !step.long_running {
            // The task may have another run, unless this one was known before.
            let is_only_run = is_current && is_known_to_exist && task_has_no_other_run;
            if !is_only_run && !step.gang && !was_done {
                self.await_record(&key.step.job);
            }
            return self.finish_task(key, step, now);
        }
        let is_counted = end == End::Failed && !step.long_running;
        if is_counted && !was_done {
            let has_failed = state.record_failure(key.index, run, step) >= max_attempts;
            self.mark_unrecorded(&key.step.job, now);
            if has_failed {
                return self.end_job(&key.step.job, JobState::Failed, now);
            }
        }
        if is_other {
            self.queue_step(&key.step);
        }
        if !is_current {
            return;
        }
        if checkpoint.is_some() {
            // The target drops the checkpoint when it forgets the end.
            self.mark_unrecorded(&key.step.job, now);
        }
        if step.gang { self.leave_gang(&key.step, key.index, now) } else { self.release(key) }
    }

    /// Updates the speed of a target with the run time of a whole run.
    fn record_speed(
        &mut self,
        id: TargetId,
        spec: &Spec,
        step: &Step,
        run_time: Duration,
        now: Duration,
    ) {
        let baseline = self.run_baselines.entry(spec.queue.clone()).or_default();
        let ratio = run_time.div_duration_f64(Duration::from_millis(step.estimate_ms.into()));
        self.targets[id.0 as usize].speed.record_run(ratio, baseline, now);
    }

    fn release(&mut self, key: &TaskKey) {
        if let Some(state) = self.step_state_mut(&key.step) {
            state.mark_waiting(key.index);
        }
        self.queue_step(&key.step);
    }

    /// Takes a member out of a gang. The gang starts again as a whole once none
    /// of its members runs.
    fn leave_gang(&mut self, key: &StepKey, index: u32, now: Duration) {
        let Some(state) = self.step_state_mut(key) else {
            return;
        };
        state.mark_waiting(index);
        // All members resume from a single checkpoint.
        let checkpoint = state.tasks[index as usize].checkpoint.clone();
        if checkpoint.is_some() {
            for task in &mut state.tasks {
                task.checkpoint.clone_from(&checkpoint);
            }
        }
        self.stop_members(key, now);
        if self.step_state(key).is_some_and(|state| !state.has_runs()) {
            self.queue_step(key);
        }
    }

    /// Stops all members of a gang that may be running.
    pub(crate) fn stop_members(&mut self, key: &StepKey, now: Duration) {
        let Some(state) = self.step_state(key) else {
            return;
        };
        let members: Vec<_> = state.current_runs().collect();
        for TaskRun { index, target, run } in members {
            let task = TaskKey { step: key.clone(), index };
            let is_stopping = self.targets[target.0 as usize]
                .runs
                .get(&task)
                .is_some_and(|run| matches!(run.phase, Phase::Stopping(_)));
            if !is_stopping {
                self.stop_run(target, &task, run, StopCause::GangBroken, now);
            }
        }
    }

    /// Lets the following steps of a job begin only after its progress is recorded.
    fn await_record(&mut self, id: &Name) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.awaited_record = Some(AwaitedRecord::Due);
        }
    }

    /// Stops the current run of a task that is done. The run counts on its target
    /// until its end is certain.
    fn stop_needless(&mut self, key: &TaskKey, current: TaskRun, now: Duration) {
        let TaskRun { target, run, .. } = current;
        let Some(known) = self.targets[target.0 as usize].runs.get(key) else {
            return;
        };
        if known.number == run
            && let Some(state) = self.step_state_mut(&key.step)
        {
            state.tasks[key.index as usize].other_runs.push(current);
        }
        self.stop_run(target, key, run, StopCause::Needless, now);
    }

    /// Marks a task as done, or all tasks of the step if it is a gang.
    fn finish_task(&mut self, key: &TaskKey, step: &Step, now: Duration) {
        let Some(state) = self.step_state_mut(&key.step) else {
            return;
        };
        if step.gang {
            for index in 0..state.tasks.len() as u32 {
                state.mark_done(index);
            }
        } else {
            let current = state.current_run(key.index);
            state.mark_done(key.index);
            if let Some(current) = current {
                self.stop_needless(key, current, now);
            }
        }
        self.mark_unrecorded(&key.step.job, now);
        let Some(state) = self.step_state(&key.step) else {
            return;
        };
        let (is_done, is_waiting) = (state.is_done(), !state.waiting.is_empty());
        if !is_waiting {
            self.unqueue_step(&key.step);
        }
        if is_done {
            self.open_steps(&key.step.job, key.step.occurrence, now);
        }
        if self.jobs.get(&key.step.job).is_some_and(|job| job.is_done()) {
            self.end_job(&key.step.job, JobState::Complete, now);
        }
    }
}
