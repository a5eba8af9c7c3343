//! Targets that are slow for a time after their start.
//!
//! While a cold target has room, it goes to tasks with slack first. Other tasks
//! avoid it until all steps have had their turn in a round, and then take what
//! is left, so that no task waits while there is room for it.

use std::time::Duration;

use work::StepKey;

use crate::{
    planner::Planner,
    rank::SpeedPreference,
    round::Round,
    slot::Slot,
    target::{Target, TargetInfo},
};

/// Class of speed of a cold target, slower than any that is learnt from runs.
pub(crate) const COLD_CLASS: i8 = 100;

/// Steps that have left room on cold targets to tasks with slack.
#[derive(Debug, Default)]
pub(crate) struct Spared {
    /// Whether tasks without slack avoid cold targets at present.
    pub(crate) is_active: bool,
    pub(crate) steps: Vec<StepKey>,
}

impl Target {
    /// Applies the remaining time of slowness in a new description. A longer one
    /// than before means that the target has become cold again; any other is a
    /// repetition, which may be out of date.
    pub(crate) fn update_cold(&mut self, info: &TargetInfo, now: Duration) {
        let until = now + info.cold_left;
        let is_longer = info.cold_left > self.info.cold_left;
        self.cold_until = if is_longer { until } else { self.cold_until.min(until) };
    }

    /// Returns whether the target is slow since it has started recently.
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }
}

impl Planner {
    /// Removes the cold targets from the slots of a step without slack, as long as
    /// steps with slack have not had their turn.
    pub(crate) fn spare_cold(&self, key: &StepKey, slots: &mut Vec<Slot>, round: &mut Round) {
        let is_gang = || {
            self.jobs.get(&key.job).is_some_and(|job| job.spec.steps[usize::from(key.step)].gang)
        };
        if !round.spared.is_active
            || is_gang()
            || self.speed_preference(key, self.last_round_unix_ms) == SpeedPreference::Slow
        {
            return;
        }
        let before = slots.len();
        slots.retain(|slot| slot.speed_class != COLD_CLASS);
        if slots.len() < before {
            round.spared.steps.push(key.clone());
        }
    }
}
