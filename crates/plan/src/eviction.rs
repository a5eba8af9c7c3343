//! Eviction of backfill for tasks that find no room.
//!
//! Backfill takes what other tasks leave. Its processor time is free for them at
//! any time, but its memory and accelerators are taken until it ends, and backfill
//! that runs until its job is cancelled never ends. A step that has found no room
//! for some time therefore evicts backfill where that frees room for its tasks with
//! the fewest runs lost. The room is reserved for the step, so that the evicted
//! tasks don't take it back. Gangs do the same as part of preemption. If backfill and
//! tasks with a latency goal may not share targets, backfill counts like other work
//! and is not evicted.

use std::time::Duration;

use base::Resources;
use work::{Step, StepKey, TaskKey};

use crate::{
    planner::Planner,
    preempt::{Candidate, Reservation, Victim, choose_places},
    round::Round,
    target::{Phase, Run, Sharing, TargetId},
};

/// Maximum number of tasks for which a step evicts backfill in one round. The cost of
/// a round is bounded by it; further tasks follow in the next rounds.
const MAX_TASKS_PER_ROUND: u32 = 32;

/// Listed progress of a lasting task that is at work, in percent.
const AT_WORK_PERCENT: u32 = 100;

impl Planner {
    /// Evicts backfill on any of these targets to make room for up to `wanted` tasks of
    /// a step, and reserves the room. Not for gangs.
    pub(crate) fn evict_backfill(
        &mut self,
        key: &StepKey,
        step: &Step,
        usable: &[TargetId],
        wanted: u32,
        round: &mut Round,
        now: Duration,
    ) {
        let eviction = |id: &TargetId| self.eviction(key, step, *id, round.free(*id));
        let candidates: Vec<Candidate> = usable.iter().filter_map(eviction).collect();
        let candidates = choose_places(candidates, step.size, wanted.min(MAX_TASKS_PER_ROUND));
        let mut places = Vec::new();
        for candidate in candidates {
            // Runs that were evicted from other targets count against the limit of their
            // step.
            if !candidate.preempted.iter().all(|victim| self.may_interrupt(&victim.task)) {
                continue;
            }
            round.allocate(candidate.target, step.size * candidate.members);
            for victim in candidate.preempted {
                self.preempt_run(candidate.target, &victim, key, now);
            }
            places.push((candidate.target, candidate.members));
        }
        if !places.is_empty() {
            let expires_at = now + self.settings.preemption.reservation_timeout;
            self.reservations.insert(key.clone(), Reservation { places, expires_at });
        }
    }

    /// Returns a target with the runs that may be evicted for a step; `None` if there
    /// are none, or if that would be of no use.
    fn eviction(
        &self,
        key: &StepKey,
        step: &Step,
        id: TargetId,
        free: Resources,
    ) -> Option<Candidate> {
        let target = &self.targets[id.0 as usize];
        let state = self.step_state(key)?;
        let max_more =
            step.max_per_target.map_or(u32::MAX, |max| max.saturating_sub(state.count_on(id)));
        let mut victims: Vec<Victim> = target
            .runs
            .iter()
            .filter(|(task, run)| self.can_evict(task, run))
            .map(|(task, run)| self.victim(task, run))
            .collect();
        // Runs of a step with a limit are counted one by one.
        let mut limited: Vec<StepKey> = Vec::new();
        victims.retain(|Victim { task, .. }| {
            let is_first = !limited.contains(&task.step);
            if self.max_unavailable(&task.step).is_some() {
                limited.push(task.step.clone());
                return is_first;
            }
            true
        });
        if victims.is_empty() {
            return None;
        }
        victims.sort_by_key(|victim| victim.size.memory_mib);
        let is_far = step.data_rack.as_ref().is_some_and(|rack| *rack != target.info.rack);
        Some(Candidate::new(id, is_far, free, victims, max_more))
    }

    /// Returns whether a run is backfill that may be evicted.
    pub(crate) fn can_evict(&self, task: &TaskKey, run: &Run) -> bool {
        let state = self.step_state(&task.step);
        let current = state.and_then(|state| state.current_run(task.index));
        run.sharing == Sharing::Backfill
            && run.phase == Phase::Running
            && current.is_some_and(|current| current.run == run.number)
            && self.may_interrupt(task)
    }

    /// Returns a run to preempt, with the resources that this frees.
    pub(crate) fn victim(&self, task: &TaskKey, run: &Run) -> Victim {
        Victim { task: task.clone(), run: run.number, size: self.preempted_size(run) }
    }

    /// Returns the resources that other tasks gain by the end of a run.
    pub(crate) fn preempted_size(&self, run: &Run) -> Resources {
        if run.sharing == Sharing::Backfill {
            // Its processor time is free for them already.
            return Resources { cpu_milli: 0, ..run.size };
        }
        run.size
    }

    /// Returns whether a run of a task may be stopped although the task is needed: its
    /// step has no limit for such tasks, or fewer of the others are away.
    pub(crate) fn may_interrupt(&self, task: &TaskKey) -> bool {
        let Some(max) = self.max_unavailable(&task.step) else {
            return true;
        };
        let Some(state) = self.step_state(&task.step) else {
            return false;
        };
        let at_work = state.current_runs().filter(|current| {
            let key = TaskKey { step: task.step.clone(), index: current.index };
            let run = self.targets[current.target.0 as usize].runs.get(&key);
            current.index != task.index
                && run.is_some_and(|run| {
                    run.phase == Phase::Running
                        && run.progress.is_some_and(|(percent, _)| percent >= AT_WORK_PERCENT)
                })
        });
        let others = state.tasks.len().saturating_sub(1);
        others.saturating_sub(at_work.count()) < max as usize
    }

    /// Returns the number of tasks of a step that may be away because they were
    /// stopped; `None` if there is no limit.
    pub(crate) fn max_unavailable(&self, key: &StepKey) -> Option<u32> {
        let job = self.jobs.get(&key.job)?;
        job.spec.steps.get(usize::from(key.step))?.max_unavailable
    }
}
