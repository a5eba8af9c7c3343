//! Bounds on the searches for targets in one round.
//!
//! A search looks at the targets of a pool, so the number of searches in a round
//! is limited. Steps that cannot start for a reason that is known without a
//! search, as a limit of their team, do not count. Part of the searches rotates
//! among the steps that rank too low for the others, so that each waiting step
//! is considered within a few rounds, whatever ranks before it.

use std::{collections::HashSet, time::Duration};

use base::{Name, Resources};
use work::{Policy, Step, StepKey};

use crate::{planner::Planner, round::Round, target::Sharing};

/// One in this many searches rotates among lower-ranked steps.
const ROTATION_DIVISOR: usize = 4;

/// Maximum number of shapes to remember, which bounds the cost of a look-up.
const MAX_FULL_SHAPES: usize = 32;

/// What a task of a step needs of a target, apart from the step's own history.
#[derive(Clone, Debug, PartialEq)]
struct Shape {
    service: Name,
    label: Option<Name>,
    sharing: Sharing,
    size: Resources,
}

/// Shapes of tasks that no target has room for in this round. Room only shrinks
/// during a round, so larger tasks of the same kind need no search.
#[derive(Debug, Default)]
pub(crate) struct FullShapes(Vec<Shape>);

impl FullShapes {
    /// Records that no target of a pool has room for a task of the step.
    pub(crate) fn insert(&mut self, service: &Name, step: &Step) {
        if self.0.len() < MAX_FULL_SHAPES {
            self.0.push(Shape {
                service: service.clone(),
                label: step.label.clone(),
                sharing: Sharing::of(step),
                size: step.size,
            });
        }
    }

    /// Returns whether it is known that no target of a pool has room for a task
    /// of the step.
    pub(crate) fn covers(&self, service: &Name, step: &Step) -> bool {
        self.0.iter().any(|full| {
            full.size.fits(&step.size)
                && full.service == *service
                && full.label == step.label
                && full.sharing == Sharing::of(step)
        })
    }
}

/// Returns whether a search for the step is of no use if no target has room.
/// For gangs, runs are preempted; advice is requested on full targets as well.
pub(crate) fn needs_only_room(step: &Step, policy: &Policy) -> bool {
    !step.gang && policy.advice.is_none()
}

/// Allotment of the searches of one round to steps in order of rank.
#[derive(Debug)]
pub(crate) struct SearchBudget {
    /// Searches left for the steps that rank first.
    first: usize,
    /// Searches left for the rotation.
    rotating: usize,
}

impl SearchBudget {
    pub(crate) fn new(searches: usize) -> Self {
        let rotating = (searches / ROTATION_DIVISOR).max(1);
        Self { first: searches.saturating_sub(rotating), rotating }
    }

    /// Returns whether the next step may be searched for, where `searched` are
    /// the lower-ranked steps that have had their turn.
    pub(crate) fn allows(&self, key: &StepKey, searched: &HashSet<StepKey>) -> bool {
        self.first > 0 || self.rotating > 0 && !searched.contains(key)
    }

    /// Counts a search for a step.
    pub(crate) fn count(&mut self, key: &StepKey, searched: &mut HashSet<StepKey>) {
        if self.first > 0 {
            self.first -= 1;
        } else {
            self.rotating = self.rotating.saturating_sub(1);
            searched.insert(key.clone());
        }
    }

    /// Returns whether no further step may be searched for.
    pub(crate) fn is_spent(&self) -> bool {
        self.first == 0 && self.rotating == 0
    }
}

impl Planner {
    /// Places the waiting steps in order of rank, as far as the searches for
    /// targets suffice.
    pub(crate) fn place_waiting(&mut self, unix_ms: u64, round: &mut Round, now: Duration) {
        round.spared.is_active = self.targets.iter().any(|target| target.is_cold(now));
        let steps = self.ordered_steps(unix_ms);
        let is_limited = self.place_in_order(&steps, round, now);
        if std::mem::take(&mut round.spared.is_active) {
            let spared = std::mem::take(&mut round.spared.steps);
            self.place_in_order(&spared, round, now);
        }
        self.place_probes(&steps, round, now);
        if is_limited {
            self.limited_rounds += 1;
        } else {
            self.searched_steps.clear();
        }
    }

    /// Places steps in this order. Returns whether the searches did not suffice.
    fn place_in_order(&mut self, steps: &[StepKey], round: &mut Round, now: Duration) -> bool {
        let mut budget = SearchBudget::new(self.settings.max_searches_per_round);
        for key in steps {
            if budget.is_spent() {
                break;
            }
            if !budget.allows(key, &self.searched_steps) {
                continue;
            }
            if let Some(wanted) = self.startable_tasks(key, round, now) {
                budget.count(key, &mut self.searched_steps);
                self.place_step(key, wanted, round, now);
            }
        }
        budget.is_spent()
    }

    /// Returns the number of tasks of a step to start, or `None` if no search
    /// for targets is needed to know that none can start.
    pub(crate) fn startable_tasks(
        &mut self,
        key: &StepKey,
        round: &Round,
        now: Duration,
    ) -> Option<u32> {
        let job = self.jobs.get(&key.job)?;
        if self.reservations.contains_key(key) {
            return None;
        }
        let spec = &job.spec;
        let step = &spec.steps[usize::from(key.step)];
        let state = self.step_state(key)?;
        if state.waiting.is_empty() {
            // All tasks have been adopted since.
            self.unqueue_step(key);
            return None;
        }
        let held_back = self.held_back_tasks(key);
        let waiting = (state.waiting.len() as u32).saturating_sub(held_back);
        // A gang starts as a whole.
        let is_held_back = waiting == 0 || step.gang && held_back > 0;
        if is_held_back || job.awaits_record(step) {
            return None;
        }
        if step.gang && state.has_runs() {
            // The rest of an earlier start of the gang has to end first.
            self.stop_members(key, now);
            return None;
        }
        let valid_at = now + self.settings.ticket_margin;
        if step.gang && state.requested.is_some() && !state.permissions.has_ticket(valid_at) {
            // The gang cannot start before its tickets arrive.
            return None;
        }
        let allowed = self.allowed_tasks(&spec.team, step.size, round).min(waiting);
        let wanted = if step.gang { step.count } else { allowed };
        if wanted == 0 || allowed < wanted {
            return None;
        }
        let policy = self.config.policy(&spec.queue, &spec.policy);
        if !round.open_targets.contains_key(&policy.service) {
            return None;
        }
        let is_full =
            needs_only_room(step, policy) && round.full_shapes.covers(&policy.service, step);
        if is_full {
            self.note_room(key, false, now);
            return None;
        }
        Some(wanted)
    }

    /// Returns the number of waiting tasks of a step that can't have a run that is not
    /// known, and whose predecessors are recorded as far as needed.
    pub(crate) fn startable_count(&self, key: &StepKey) -> u32 {
        let Some(state) = self.step_state(key) else {
            return 0;
        };
        let is_awaited = self.jobs.get(&key.job).is_none_or(|job| {
            let step = &job.spec.steps[usize::from(key.step)];
            job.awaits_record(step)
        });
        if is_awaited {
            return 0;
        }
        (state.waiting.len() as u32).saturating_sub(self.held_back_tasks(key))
    }
}
