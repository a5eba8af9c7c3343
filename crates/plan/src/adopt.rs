//! Takeover of targets and runs from an earlier placer.

use std::{collections::HashSet, sync::Arc, time::Duration};

use base::Name;
use work::{StepKey, TaskKey};

use crate::{
    action::StopCause,
    listing::ListedRun,
    planner::Planner,
    step::TaskRun,
    target::{Availability, Phase, Run, Target, TargetId},
};

/// Number of consecutive checks that must find a target unreachable before it
/// is closed. Most unreachable targets are back sooner.
const MIN_UNREACHABLE_CHECKS: u32 = 2;

/// Placeholder among the held targets for targets with unknown names. The
/// placeholder never answers, so recovery takes until all leases have expired.
pub const UNKNOWN_TARGETS: &str = "?";

/// Target that gets no new work, with the tasks and numbers of all runs that
/// may exist on it.
pub type ClosedTarget = (Name, Vec<(TaskKey, u32)>);

impl Planner {
    /// Returns the unreachable targets whose runs are all known and whose ends
    /// are all recorded.
    pub fn unreachable_targets(&self, now: Duration) -> Vec<ClosedTarget> {
        let unreachable = self.targets.iter().filter(|target| target.last_contact_at.is_none());
        let known = unreachable.filter(|target| self.has_known_runs(target, now));
        known.map(|target| self.closed(target)).collect()
    }

    /// Updates the number of consecutive checks that found each target
    /// unreachable. To be called at regular intervals.
    pub fn count_unreachable(&mut self) {
        for target in &mut self.targets {
            target.unreachable_checks =
                if target.last_contact_at.is_some() { 0 } else { target.unreachable_checks + 1 };
        }
    }

    /// Returns whether the targets that can be closed, among `held`, differ
    /// from the `recorded` ones.
    pub fn is_closed_record_outdated(
        &self,
        held: &HashSet<Name>,
        recorded: &HashSet<Name>,
        now: Duration,
    ) -> bool {
        let can_close = |target: &Target| is_unavailable(target) || self.is_settled(target, now);
        let is_open_again =
            |target: &Target| recorded.contains(&target.info.id) && !can_close(target);
        let may_close = |target: &&Target| is_unavailable(target) || self.may_close_settled(now);
        let mut closable = self.closable_targets(held, now).filter(may_close);
        self.targets.iter().any(is_open_again)
            || closable.any(|target| !recorded.contains(&target.info.id))
    }

    /// Closes the targets among `held` that can be closed, and returns these
    /// targets. A closed target gets no work until it is recorded as open again,
    /// even if it answers, so that the record remains true.
    pub fn close_targets(&mut self, held: &HashSet<Name>, now: Duration) -> Vec<ClosedTarget> {
        let closable = self.closable_targets(held, now);
        let closing: Vec<ClosedTarget> = closable.map(|target| self.closed(target)).collect();
        for (name, _) in &closing {
            let id = self.target_id(name);
            let target = &mut self.targets[id.0 as usize];
            if !std::mem::replace(&mut target.is_closed, true) && !is_unavailable(target) {
                self.last_closing_at = now;
            }
        }
        closing
    }

    /// Returns the targets that can be closed, up to the limit for recorded
    /// runs.
    fn closable_targets(
        &self,
        held: &HashSet<Name>,
        now: Duration,
    ) -> impl Iterator<Item = &Target> {
        let is_known = move |target: &&Target| {
            held.contains(&target.info.id) && self.has_known_runs(target, now)
        };
        let mut left = self.settings.max_closed_runs;
        // Unavailable targets come first in the limit.
        let unavailable = self.targets.iter().filter(|target| is_unavailable(target));
        let others = self.targets.iter().filter(|target| !is_unavailable(target));
        let settled = others.filter(move |target| self.is_settled(target, now));
        unavailable.chain(settled).filter(is_known).take_while(move |target| {
            let runs = self.possible_runs(target).len();
            let fits = runs <= left;
            left = left.saturating_sub(runs);
            fits
        })
    }

    /// Sets which targets are recorded as closed; all others are open.
    pub fn set_closed_targets(&mut self, closed: &HashSet<Name>) {
        for target in &mut self.targets {
            let is_closed = closed.contains(&target.info.id);
            self.is_changed |= target.is_closed && !is_closed;
            target.is_closed = is_closed;
        }
    }

    /// Returns whether all runs that may exist on a target are known, and all
    /// ends listed by it are recorded.
    pub(crate) fn has_known_runs(&self, target: &Target, now: Duration) -> bool {
        let id = &target.info.id;
        let has_inherited_ends =
            self.unverified_targets.contains_key(id) && self.inherited_ends.contains_key(id);
        self.has_listed_runs(target, now) && !target.has_open_ends() && !has_inherited_ends
    }

    /// Returns whether all runs that may exist on a target are known, and all its
    /// ends, which may not be recorded.
    pub(crate) fn has_listed_runs(&self, target: &Target, now: Duration) -> bool {
        let is_unverified = |id: &str| {
            let expired_at = self.unverified_targets.get(id);
            expired_at.is_some_and(|expired_at| now < *expired_at)
                && !self.inherited_runs.contains_key(id)
        };
        !is_unverified(&target.info.id)
            && !is_unverified(UNKNOWN_TARGETS)
            && !target.has_unread_ends
            && !target.has_unknown_runs
    }

    /// Returns the runs that may exist on a target whose runs are all known.
    pub(crate) fn possible_runs(&self, target: &Target) -> Vec<(TaskKey, u32)> {
        let mut runs: Vec<(TaskKey, u32)> =
            target.runs.iter().map(|(task, run)| (task.clone(), run.number)).collect();
        if self.unverified_targets.contains_key(&target.info.id) {
            let inherited = self.inherited_runs.get(&target.info.id).into_iter().flatten();
            let inherited: Vec<_> =
                inherited.filter(|(task, _)| !target.runs.contains_key(task)).cloned().collect();
            runs.extend(inherited);
        }
        runs
    }

    /// Returns the runs of known jobs that may exist on a target.
    pub(crate) fn possible_known_runs(&self, target: &Target) -> Vec<(TaskKey, u32)> {
        let mut runs: Vec<(TaskKey, u32)> =
            target.runs.iter().map(|(task, run)| (task.clone(), run.number)).collect();
        if self.unverified_targets.contains_key(&target.info.id) {
            let inherited = [&self.inherited_runs, &self.inherited_known_runs];
            let inherited = inherited.iter().filter_map(|runs| runs.get(&target.info.id));
            let inherited = inherited.flatten();
            runs.extend(inherited.filter(|(task, _)| !target.runs.contains_key(task)).cloned());
        }
        runs.retain(|(task, _)| self.is_known_job(&task.step.job));
        runs
    }

    fn closed(&self, target: &Target) -> ClosedTarget {
        (target.info.id.clone(), self.possible_runs(target))
    }

    /// Returns whether all runs of earlier terms and their ends are known, or
    /// the leases of their targets had expired at the beginning of the round.
    pub(crate) fn is_recovered(&self) -> bool {
        self.unverified_targets.is_empty()
    }

    /// Drops the targets that the planner no longer waits for, since leases of
    /// earlier terms have expired.
    pub(crate) fn drop_expired_targets(&mut self, now: Duration) {
        if !self.unverified_targets.is_empty() {
            let mut unverified = std::mem::take(&mut self.unverified_targets);
            unverified.retain(|id, expired_at| now < *expired_at || self.is_reading_ends(id, now));
            self.unverified_targets = unverified;
            self.refresh_unknown_runs();
        }
    }

    /// Returns whether a target under a lease of this term has ends that it has
    /// not listed yet. An end before the expiry of a lease still counts.
    fn is_reading_ends(&self, id: &Name, now: Duration) -> bool {
        let target = self.target_ids.get(id).map(|id| &self.targets[id.0 as usize]);
        target.is_some_and(|target| target.has_unread_ends && target.may_hold_lease(now))
    }

    /// Returns the targets that may hold runs, or ends that are not recorded: listed
    /// ones, those with runs that may exist, and those with such ends until their
    /// lease has expired.
    pub fn held_targets(&self, now: Duration) -> HashSet<Name> {
        let may_run = |target: &&Target| {
            let until = self.unconfirmed_until(target);
            target.info.availability != Availability::Unlisted
                || target.may_hold_lease(now) && target.has_open_ends()
                || target.runs.values().any(|run| target.may_exist(run, now, until))
        };
        let unverified_targets = self.unverified_targets.iter();
        let unverified_targets = unverified_targets
            .filter(|(_, expired_at)| now < **expired_at)
            .map(|(name, _)| name.clone());
        let held = self.targets.iter().filter(may_run).map(|target| target.info.id.clone());
        held.chain(unverified_targets).collect()
    }

    /// Takes over a target that did not answer the previous placer, with the
    /// runs that may exist on it. The runs are charged until the target answers
    /// or its lease has expired.
    pub fn adopt_unreachable(&mut self, target: &Name, runs: &[(TaskKey, u32)], now: Duration) {
        self.unverified_targets.remove(target);
        self.refresh_unknown_runs();
        let id = self.target_id(target);
        // The leases may have expired sooner, as the previous placer has told.
        let handed_over = self.last_orders.get(target).copied();
        let granted_at = self.last_order_at(target).min(now);
        let lapsed_at = granted_at + self.settings.lapse_timeout();
        let lapsed_at = handed_over.map_or(lapsed_at, |order| order.lapsed_at);
        let restarted_until = handed_over.map_or(self.inherited_restarts_until, |_| lapsed_at);
        let is_restarted = self.inherited_processes.restarted.contains(target);
        let restarted_until = is_restarted.then_some(restarted_until);
        let target_state = &mut self.targets[id.0 as usize];
        target_state.info.id = target.clone();
        target_state.info.availability = Availability::Unlisted;
        target_state.lease_granted_at = target_state.lease_granted_at.max(Some(granted_at));
        target_state.extend_lease(lapsed_at);
        if let Some(until) = restarted_until {
            target_state.extend_lease(until);
            target_state.restarted_until = Some(until);
        }
        if self.inherited_processes.unconfirmed.contains(target) {
            self.suspect_restart(id, now);
        }
        for (task, run) in runs {
            let (task, run) = (task.clone(), *run);
            let listed = ListedRun { task, run, checkpoint: None, percent: 0, figure: None };
            self.adopt_run(id, &listed, granted_at, now);
        }
        if self.inherited_processes.listed.contains(target) {
            for run in self.targets[id.0 as usize].runs.values_mut() {
                run.was_listed = true;
            }
        }
    }

    /// Takes over a run of an earlier placer, whose target may have been granted a
    /// lease up to `granted_at`. The run is stopped if it is not needed, and so are
    /// earlier runs of its task.
    pub(crate) fn adopt_run(
        &mut self,
        id: TargetId,
        listed: &ListedRun,
        granted_at: Duration,
        now: Duration,
    ) {
        let ListedRun { task: key, run, .. } = listed;
        let Some(job) = self.jobs.get(&key.step.job) else {
            return self.stop_run(id, key, *run, StopCause::Needless, now);
        };
        let spec = Arc::clone(&job.spec);
        let Some(step) = spec.steps.get(usize::from(key.step.step)) else {
            return self.stop_run(id, key, *run, StopCause::Needless, now);
        };
        if let Some(known) = self.targets[id.0 as usize].runs.get(key) {
            if known.number == *run {
                return;
            }
            let cause = StopCause::Superseded(known.number);
            return self.stop_run(id, key, *run, cause, now);
        }
        // A run takes resources whether it is needed or not.
        let charged = Run { confirmed_at: Some(now), ..Run::new(*run, step, Phase::Running) };
        self.charge_run(id, key, &spec.team, charged, granted_at);
        if !self.step_state(&key.step).is_some_and(|state| state.is_open) {
            self.begin_adopted(&key.step, now);
        }
        let adopted = TaskRun { index: key.index, target: id, run: *run };
        let Some(state) = self.step_state_mut(&key.step) else {
            return self.stop_run(id, key, *run, StopCause::Needless, now);
        };
        let outdated = state.assign_latest(adopted, step);
        let latest = state.current_run(key.index);
        for TaskRun { index, target, run } in &outdated {
            let task = TaskKey { step: key.step.clone(), index: *index };
            let cause = match latest {
                Some(latest) => StopCause::Superseded(latest.run),
                None => StopCause::Needless,
            };
            self.stop_run(*target, &task, *run, cause, now);
        }
        if outdated.contains(&adopted) {
            return;
        }
        if let Some(checkpoint) = &listed.checkpoint {
            self.save_checkpoint(key, checkpoint);
        }
    }

    /// Begins occurrences of the job up to the one that an adopted run belongs
    /// to.
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

/// Returns whether a target is unlikely to get work for some time. A target that is
/// recorded as closed stays so until it answers, and one with an unconfirmed process
/// gets no work before it has listed its runs.
fn is_unavailable(target: &Target) -> bool {
    let is_unreachable = target.last_contact_at.is_none()
        && (target.is_closed || target.unreachable_checks >= MIN_UNREACHABLE_CHECKS);
    is_unreachable
        || target.suspicion.is_some()
        || target.info.availability == Availability::Draining
}
