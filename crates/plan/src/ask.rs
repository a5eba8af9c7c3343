//! Which targets to ask the advice for.
//!
//! An answer takes long, holds for good, and its tickets only for a short time.
//! So a step asks for the targets that have room for it now: those that are
//! allowed already, then those that it knows nothing of, as many as are likely
//! to give it what it wants.

use std::time::Duration;

use base::Name;
use work::{Advice, Spec, StepKey};

use crate::{
    action::{Action, Ask, AskLength},
    board::Board,
    decide::{Round, Slot},
    step::Permission,
    target::TargetId,
};

/// Share of targets that are allowed as long as nothing is known, in
/// thousandths.
const FIRST_ALLOWED_MILLI: u32 = 500;

/// Weight of the newest answer in the learned share, in thousandths.
const NEWEST_MILLI: u32 = 100;

/// Room to ask for beyond what is wanted, in thousandths of it.
const SURPLUS_MILLI: u32 = 1300;

impl Board {
    /// Takes in how many instances can ask at the same time.
    pub fn set_advisors(&mut self, count: usize) {
        self.advisors = count as u32;
    }

    /// Takes in which of the targets asked about may run a step; `None` if
    /// there was no answer.
    pub fn advised(
        &mut self,
        step: &StepKey,
        asked: &[Name],
        allowed: Option<Vec<(Name, Name)>>,
        until: Duration,
    ) {
        self.is_changed = true;
        self.asking.remove(step);
        let ids = |names: &mut dyn Iterator<Item = &Name>| -> Vec<TargetId> {
            names.filter_map(|name| self.ids.get(name).copied()).collect()
        };
        let asked = ids(&mut asked.iter());
        let Some(allowed) = allowed else {
            if let Some(state) = self.step_state_mut(step) {
                state.asked = None;
            }
            return;
        };
        let tickets: Vec<(TargetId, Name)> = allowed
            .into_iter()
            .filter_map(|(name, ticket)| Some((*self.ids.get(&name)?, ticket)))
            .collect();
        self.learn_share(step, &asked, tickets.len());
        let Some(state) = self.step_state_mut(step) else {
            return;
        };
        state.asked = None;
        for id in asked {
            state.permissions.insert(id, Permission::Refused);
        }
        for (id, ticket) in tickets {
            state.permissions.insert(id, Permission::Allowed { ticket, until });
        }
    }

    /// Learns the share of targets that a queue's steps are allowed.
    fn learn_share(&mut self, step: &StepKey, asked: &[TargetId], allowed: usize) {
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let state = self.step_state(step);
        let is_new =
            |id: &&TargetId| state.is_some_and(|state| !state.permissions.contains_key(id));
        // Targets that were known to be allowed say nothing about the others.
        let new = asked.iter().filter(is_new).count();
        if new == 0 || new < asked.len() {
            return;
        }
        let seen = (allowed * 1000 / new) as u32;
        let share = self.allowed_milli.entry(job.spec.queue.clone()).or_insert(FIRST_ALLOWED_MILLI);
        *share = (*share * (1000 - NEWEST_MILLI) + seen * NEWEST_MILLI) / 1000;
    }

    /// Asks for a step, if it lacks tickets and there is room to use them, and
    /// keeps the room that it waits for.
    pub(crate) fn ask_for_step(
        &mut self,
        key: &StepKey,
        spec: &Spec,
        slots: &[Slot],
        wanted: u32,
        round: &mut Round,
        now: Duration,
    ) {
        let step = &spec.steps[usize::from(key.step)];
        let Some(state) = self.step_state(key) else {
            return;
        };
        let is_allowed = |slot: &&Slot| {
            matches!(state.permissions.get(&slot.target), Some(Permission::Allowed { .. }))
        };
        let count = |slots: &mut dyn Iterator<Item = &Slot>| -> u32 {
            slots.map(|slot| slot.tasks).fold(0, u32::saturating_add)
        };
        let usable = count(&mut slots.iter().filter(|slot| self.has_ticket(key, slot.target, now)));
        if usable >= wanted {
            return;
        }
        // The room of allowed targets is kept for a gang until it is enough,
        // and for other steps while their tickets are on the way.
        let mut left = wanted;
        for slot in slots.iter().filter(is_allowed) {
            let tasks = slot.tasks.min(left);
            if step.gang {
                round.keep(slot.target, step.size * tasks);
            }
            left -= tasks;
        }
        if let Some(asked) = &state.asked {
            for slot in slots.iter().filter(|slot| asked.contains(&slot.target)) {
                let tasks = slot.tasks.min(left);
                round.keep(slot.target, step.size * tasks);
                left -= tasks;
            }
            return;
        }
        let targets = self.targets_to_ask(key, spec, slots, wanted);
        if targets.is_empty() {
            return;
        }
        let advice = self.config.policy(&spec.queue, &spec.policy).advice.unwrap_or_default();
        let names: Vec<Name> =
            targets.iter().map(|id| self.targets[id.0 as usize].facts.id.clone()).collect();
        let cost_us = cost_us(advice, names.len());
        if !self.may_ask(cost_us) {
            return;
        }
        self.asking.insert(key.clone(), cost_us);
        if let Some(state) = self.step_state_mut(key) {
            state.asked = Some(targets);
        }
        let length =
            if self.settings.is_long_ask(cost_us) { AskLength::Long } else { AskLength::Short };
        let ask = Ask { step: key.clone(), targets: names, cost_us, length };
        self.actions.push(Action::Ask(ask));
    }

    /// Tells whether one more request for advice may be made. Too many would
    /// only wait for one another, while the room that they are for goes unused.
    fn may_ask(&self, cost_us: u64) -> bool {
        let (long, short): (Vec<u64>, Vec<u64>) =
            self.asking.values().partition(|cost_us| self.settings.is_long_ask(**cost_us));
        if self.settings.is_long_ask(cost_us) {
            return long.len() < self.settings.long_asks(self.advisors);
        }
        let most_us = self.settings.advice_backlog.as_micros() as u64 * u64::from(self.advisors);
        short.is_empty() || short.iter().sum::<u64>() + cost_us <= most_us
    }

    fn targets_to_ask(
        &self,
        key: &StepKey,
        spec: &Spec,
        slots: &[Slot],
        wanted: u32,
    ) -> Vec<TargetId> {
        let step = &spec.steps[usize::from(key.step)];
        let Some(state) = self.step_state(key) else {
            return Vec::new();
        };
        let (known, unknown): (Vec<&Slot>, Vec<&Slot>) =
            slots.iter().partition(|slot| state.permissions.contains_key(&slot.target));
        let mut chosen = Vec::new();
        let mut tasks = 0;
        for slot in known {
            if tasks < wanted * SURPLUS_MILLI / 1000 {
                chosen.push(slot.target);
                tasks += slot.tasks;
            }
        }
        if tasks >= wanted || (tasks > 0 && !step.gang) {
            return chosen;
        }
        let share = self.allowed_milli.get(&spec.queue).copied().unwrap_or(FIRST_ALLOWED_MILLI);
        let mut expected_milli = tasks * 1000;
        let mut unknown = unknown;
        unknown.sort_by_key(|slot| std::cmp::Reverse((slot.tasks, slot.free_ppm)));
        for slot in unknown {
            if expected_milli >= wanted * SURPLUS_MILLI
                || chosen.len() >= self.settings.targets_per_ask
            {
                break;
            }
            chosen.push(slot.target);
            // The first answers are unsure: one target's room is counted at
            // most up to what is wanted.
            expected_milli += slot.tasks.min(wanted) * share.max(1);
        }
        let has_new = chosen.iter().any(|id| !state.permissions.contains_key(id));
        // A gang that knows all targets waits until their room is enough.
        if step.gang && !has_new { Vec::new() } else { chosen }
    }
}

fn cost_us(advice: Advice, targets: usize) -> u64 {
    u64::from(advice.request_us) + u64::from(advice.target_us) * targets as u64
}
