//! Taking over what an earlier placer left.

use std::{collections::HashSet, sync::Arc, time::Duration};

use base::Name;
use work::{StepKey, TaskKey};

use crate::{
    listing::ListedRun,
    planner::Planner,
    step::TaskState,
    target::{Availability, Phase, Run, Target, TargetId},
};

/// Times in a row that a target has to be noted as silent before it is closed:
/// most are back sooner.
const MIN_UNREACHABLE_CHECKS: u32 = 2;

/// Stands among the held targets for those whose names are not known. It never
/// answers, so that all leases have to lapse before it is settled.
pub const UNKNOWN_TARGETS: &str = "?";

/// A `ClosedTarget` is a target that gets no new work, with the numbers of all runs
/// that may be on it.
pub type ClosedTarget = (Name, Vec<(TaskKey, u32)>);

impl Planner {
    /// Gets the targets that don't answer, with all that may run on them, as far
    /// as all their ends are recorded.
    pub fn unreachable_targets(&self, now: Duration) -> Vec<ClosedTarget> {
        let unreachable = self.targets.iter().filter(|target| target.last_contact_at.is_none());
        unreachable.filter(|target| self.has_known_runs(target, now)).map(closed).collect()
    }

    /// Notes which targets are silent, from time to time.
    pub fn count_unreachable(&mut self) {
        for target in &mut self.targets {
            target.unreachable_checks = if target.last_contact_at.is_some() { 0 } else { target.unreachable_checks + 1 };
        }
    }

    /// Tells whether others of the held targets are to be recorded as closed
    /// than these.
    pub fn is_closed_record_outdated(
        &self,
        held: &HashSet<Name>,
        recorded: &HashSet<Name>,
        now: Duration,
    ) -> bool {
        let is_open_again =
            |target: &Target| recorded.contains(&target.info.id) && !is_unavailable(target);
        self.targets.iter().any(is_open_again)
            || self.closable_targets(held, now).any(|target| !recorded.contains(&target.info.id))
    }

    /// Closes those of the held targets that can be, and gets them. They get no
    /// work until it is recorded that they are open again, also if they answer,
    /// so that what is recorded of them stays true.
    pub fn close_targets(&mut self, held: &HashSet<Name>, now: Duration) -> Vec<ClosedTarget> {
        let closing: Vec<ClosedTarget> = self.closable_targets(held, now).map(closed).collect();
        for (name, _) in &closing {
            let id = self.target_id(name);
            self.targets[id.0 as usize].is_closed = true;
        }
        closing
    }

    /// Gets the targets that can be closed, as many as may be recorded.
    fn closable_targets(&self, held: &HashSet<Name>, now: Duration) -> impl Iterator<Item = &Target> {
        let can_close = move |target: &&Target| {
            is_unavailable(target)
                && held.contains(&target.info.id)
                && self.has_known_runs(target, now)
        };
        let mut left = self.settings.max_closed_runs;
        self.targets.iter().filter(can_close).take_while(move |target| {
            let fits = target.runs.len() <= left;
            left = left.saturating_sub(target.runs.len());
            fits
        })
    }

    /// Takes in that just these targets are recorded as closed.
    pub fn set_closed_targets(&mut self, closed: &HashSet<Name>) {
        for target in &mut self.targets {
            let is_closed = closed.contains(&target.info.id);
            self.is_changed |= target.is_closed && !is_closed;
            target.is_closed = is_closed;
        }
    }

    /// Tells whether all that may run on a target is known, and all that ended
    /// there is recorded.
    fn has_known_runs(&self, target: &Target, now: Duration) -> bool {
        let is_unverified = |id: &str| self.unverified_targets.contains(id);
        let is_verified = now >= self.recovered_at
            || !is_unverified(&target.info.id) && !is_unverified(UNKNOWN_TARGETS);
        is_verified && target.unrecorded_ends.is_empty() && !target.has_unknown_runs
    }

    /// Takes over what the placer before knew of a target that didn't answer it.
    /// Runs of it count until the target answers or its lease has surely lapsed.
    pub fn adopt_unreachable(&mut self, target: &Name, runs: &[(TaskKey, u32)], now: Duration) {
        self.unverified_targets.remove(target);
        let id = self.target_id(target);
        let account = &mut self.targets[id.0 as usize];
        account.info.id = target.clone();
        account.info.availability = Availability::Unlisted;
        account.lease_granted_at = Some(now);
        for (task, run) in runs {
            let seen = ListedRun { task: task.clone(), run: *run, checkpoint: None, percent: 0 };
            // A run that isn't wanted is stopped once the target answers.
            let _ = self.adopt_run(id, &seen, now);
        }
    }

    /// Takes over a run of an earlier placer; `false` if it is not wanted.
    pub(crate) fn adopt_run(&mut self, id: TargetId, seen: &ListedRun, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&seen.task.step.job) else {
            return false;
        };
        let spec = Arc::clone(&job.spec);
        let Some(step) = spec.steps.get(usize::from(seen.task.step.step)) else {
            return false;
        };
        if self.targets[id.0 as usize].runs.contains_key(&seen.task) {
            return false;
        }
        // What runs takes room, wanted or not. An earlier placer may have granted
        // a lease up to now.
        let run = Run { confirmed_at: Some(now), ..Run::new(seen.run, step, Phase::Running) };
        self.count_run(id, &seen.task, &spec.team, run, now);
        if !self.step_state(&seen.task.step).is_some_and(|state| state.is_open) {
            self.begin_adopted(&seen.task.step, now);
        }
        let Some(state) = self.step_state_mut(&seen.task.step) else {
            return false;
        };
        let Some(task) = state.tasks.get_mut(seen.task.index as usize) else {
            return false;
        };
        if task.state != TaskState::Waiting {
            return false;
        }
        task.state = TaskState::Assigned { target: id, run: seen.run };
        task.last_run = task.last_run.max(seen.run);
        state.waiting.remove(&seen.task.index);
        if let Some(checkpoint) = &seen.checkpoint {
            self.save_checkpoint(&seen.task, checkpoint);
        }
        self.mark_started(&seen.task.step.job);
        true
    }

    /// Begins the occurrence that an adopted run is of.
    pub(crate) fn begin_adopted(&mut self, key: &StepKey, now: Duration) {
        while self.jobs.get(&key.job).is_some_and(|job| {
            !job.state.is_final()
                && job.next_occurrence <= key.occurrence
                && key.occurrence < job.spec.occurrences()
        }) {
            self.begin_next_occurrence(&key.job, now);
        }
    }
}

/// Tells whether a target gets no work for some time to come.
fn is_unavailable(target: &Target) -> bool {
    let is_unreachable = target.last_contact_at.is_none() && target.unreachable_checks >= MIN_UNREACHABLE_CHECKS;
    is_unreachable || target.info.availability == Availability::Draining
}

fn closed(target: &Target) -> ClosedTarget {
    let runs = target.runs.iter().map(|(task, run)| (task.clone(), run.number));
    (target.info.id.clone(), runs.collect())
}
