//! Full targets whose runs will last for a while.
//!
//! Such a target gets no work anyway, so that it can be recorded as closed with its
//! runs. If the leader is lost and the target doesn't answer the next one, all runs
//! on it are known, and no other task waits for it. That includes late orders: a
//! target with a recent start that was not answered is not closed. The target is
//! recorded as open again before its first run is expected to end. A run that ends
//! sooner leaves room that can be used only once the target is recorded as open.

use std::time::Duration;

use base::Resources;
use work::{Step, TaskKey};

use crate::{
    planner::Planner,
    target::{Availability, Phase, Run, Target},
};

/// Time that all runs of a target must have left for it to be closed. Shorter ones
/// are not worth the record.
const MIN_TIME_LEFT: Duration = Duration::from_secs(4);

/// Time that a run of a closed target has left when the target is recorded as open
/// again. Covers the interval between checks and an answer of a slow store.
const OPENING_TIME: Duration = Duration::from_millis(1500);

/// Minimum interval between records that are made only to close full targets.
const MIN_CLOSING_INTERVAL: Duration = Duration::from_secs(2);

/// Progress in percent from which the time of a run so far tells how long it takes.
const MIN_RATED_PERCENT: u32 = 5;

impl Planner {
    /// Takes the tasks of a step into account for which targets count as full.
    pub(crate) fn note_task_size(&mut self, step: &Step) {
        // Backfill may start without processor time of its own.
        let cpu_milli = if step.is_backfill { 0 } else { step.size.cpu_milli };
        let size = Resources { cpu_milli, ..step.size };
        let smallest = self.smallest_task.get_or_insert(size);
        *smallest = smallest.min(&size);
    }

    /// Returns whether a target has no room for any task, and will have none for a
    /// while.
    pub(crate) fn is_settled(&self, target: &Target, now: Duration) -> bool {
        let min_left = if target.is_closed { OPENING_TIME } else { MIN_TIME_LEFT };
        target.last_contact_at.is_some()
            && target.info.availability == Availability::Ready
            && target.suspicion.is_none()
            && self.is_full(target)
            && target.unanswered_at.is_none_or(|at| now >= at + self.settings.max_order_delay)
            && target.runs.iter().all(|(task, run)| {
                run.phase == Phase::Running
                    && run.is_listed
                    && self.time_left(task, run, now) >= min_left
            })
    }

    /// Returns whether full targets may be closed now, for which alone a record is
    /// made.
    pub(crate) fn may_close_settled(&self, now: Duration) -> bool {
        now >= self.last_closing_at + MIN_CLOSING_INTERVAL
    }

    /// Returns whether a target that is recorded as closed has room that work waits
    /// for, so that it should be recorded as open at once.
    pub fn awaits_opening(&self, now: Duration) -> bool {
        let (contact_timeout, idle_timeout) =
            (self.settings.contact_timeout, self.idle_contact_timeout);
        let has_work = !self.waiting_steps.is_empty() || !self.reservations.is_empty();
        has_work
            && self.targets.iter().any(|target| {
                target.is_closed
                    && target.is_open(now, contact_timeout, idle_timeout)
                    && !self.is_full(target)
            })
    }

    fn is_full(&self, target: &Target) -> bool {
        let free = if self.settings.interference.is_enabled {
            target.free_beside_backfill()
        } else {
            target.free()
        };
        let smallest: Option<Resources> = self.smallest_task;
        !target.runs.is_empty() && smallest.is_some_and(|size| !size.fits(&free))
    }

    /// Returns the time that a run is expected to take, at least.
    fn time_left(&self, task: &TaskKey, run: &Run, now: Duration) -> Duration {
        let job = self.jobs.get(&task.step.job).filter(|job| !job.state.is_final());
        let step = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
        let Some(step) = step else {
            return Duration::ZERO;
        };
        if step.long_running {
            return Duration::MAX;
        }
        let estimate = Duration::from_millis(step.estimate_ms.into());
        let began_at = run.started_at.or(run.confirmed_at).unwrap_or(now);
        let (percent, since) = run.progress.unwrap_or((0, began_at));
        let percent = percent.min(100);
        let by_estimate = estimate * (100 - percent) / 100;
        let at_sample = if percent >= MIN_RATED_PERCENT {
            let elapsed = since.saturating_sub(began_at);
            by_estimate.min(elapsed * (100 - percent) / percent)
        } else {
            by_estimate
        };
        at_sample.saturating_sub(now.saturating_sub(since))
    }
}
