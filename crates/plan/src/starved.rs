//! Steps that find no room on any target.
//!
//! Backfill needs no processor time of its own: it gets what other tasks leave unused.
//! It goes to targets with unallocated processor time first, and to others once it has
//! found none for some time. All other steps evict backfill by then.

use std::{sync::Arc, time::Duration};

use base::{Name, Resources};
use work::{Advice, Spec, Step, StepKey};

use crate::{planner::Planner, round::Round, target::TargetId};

impl Planner {
    /// Returns whether the cell has backfill that yields to other tasks.
    pub(crate) fn evicts_backfill(&self) -> bool {
        self.control.has_backfill && self.settings.interference.is_enabled
    }

    /// Notes whether a step has found room. Without backfill that yields, nothing is done
    /// for steps that have found none.
    pub(crate) fn note_room(&mut self, key: &StepKey, has_room: bool, now: Duration) {
        if self.evicts_backfill()
            && let Some(state) = self.step_state_mut(key)
        {
            let since = state.no_room_since.unwrap_or(now);
            state.no_room_since = (!has_room).then_some(since);
        }
    }

    /// Returns whether a step has found no room for long enough that something has to be
    /// done about it.
    pub(crate) fn is_starved(&self, key: &StepKey, now: Duration) -> bool {
        let since = self.step_state(key).and_then(|state| state.no_room_since);
        since.is_some_and(|since| now.saturating_sub(since) >= self.settings.eviction_delay)
    }

    /// Makes room for up to `wanted` tasks of a step that has found none for some time,
    /// or does without. Not for gangs.
    pub(crate) fn relieve(
        &mut self,
        key: &StepKey,
        spec: &Arc<Spec>,
        wanted: u32,
        round: &mut Round,
        now: Duration,
    ) {
        let step = &spec.steps[usize::from(key.step)];
        let policy = self.config.policy(&spec.queue, &spec.policy);
        let (service, advice) = (policy.service.clone(), policy.advice);
        // A task that may crash its target gets one without other runs.
        if self.step_state(key).is_none_or(|state| state.has_waiting_suspects()) {
            return;
        }
        let open = round.open_targets.get(&service).map_or(&[][..], Vec::as_slice);
        let is_usable = |id: &TargetId| self.is_usable(key, step, advice, *id, round, now);
        let usable: Vec<TargetId> = open.iter().copied().filter(is_usable).collect();
        if !step.is_backfill {
            return self.evict_backfill(key, step, &usable, wanted, round, now);
        }
        for target in self.targets_with_memory(key, step, usable, wanted, round) {
            round.allocate_task(target, step, true);
            self.start_next_task(key, spec, target, now);
        }
    }

    /// Returns whether a target suits a step, with or without room.
    fn is_usable(
        &self,
        key: &StepKey,
        step: &Step,
        advice: Option<Advice>,
        id: TargetId,
        round: &Round,
        now: Duration,
    ) -> bool {
        let (room, target) = (&round.headrooms[id.0 as usize], &self.targets[id.0 as usize]);
        let has_label = |label: &Name| target.info.labels.contains(label);
        let runs_there = || self.step_state(key).map_or(0, |state| state.count_on(id));
        room.probe.is_none()
            && step.size.fits(&room.capacity)
            && step.label.as_ref().is_none_or(has_label)
            && step.max_per_target.is_none_or(|max| runs_there() < max)
            && (advice.is_none() || self.has_ticket(key, id, now))
    }

    /// Chooses targets with room for a task of backfill but for its processor time: one
    /// task on each, where it harms least, and where the least processor time is taken.
    fn targets_with_memory(
        &self,
        key: &StepKey,
        step: &Step,
        mut usable: Vec<TargetId>,
        wanted: u32,
        round: &Round,
    ) -> Vec<TargetId> {
        let needed = Resources { cpu_milli: 0, ..step.size };
        usable.retain(|id| self.has_room(*id, needed, round));
        let exposure = self.exposure(key, step);
        usable.sort_by_cached_key(|id| {
            let target = &self.targets[id.0 as usize];
            let taken = u64::from(target.allocated.cpu_milli) * 1000;
            let share = taken / u64::from(target.info.capacity.cpu_milli.max(1));
            (exposure.map(|exposure| self.harm(*id, exposure)), share)
        });
        usable.truncate(wanted as usize);
        usable
    }
}
