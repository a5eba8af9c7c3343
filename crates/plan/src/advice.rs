//! Which targets to ask the advice for.
//!
//! An answer takes long, holds for good, and its tickets only for a short time.
//! So a step asks for the targets that have room for it now: those that are
//! allowed already, then those that it knows nothing of, as many as are likely
//! to give it what it wants. In a full cell it also asks for some that have none:
//! room that comes free is then taken at once by whoever has a ticket for it,
//! and none is kept unused for those who ask.

use std::{cmp::Reverse, time::Duration};

use base::Name;
use work::{Advice, Spec, StepKey};

use crate::{
    action::{Action, AdviceRequest, RequestLength},
    admit::RequestLoad,
    decide::{Round, Slot, sum_tasks},
    permission::Permission,
    planner::Planner,
    target::TargetId,
};

/// Share of targets that are allowed as long as nothing is known, in
/// thousandths.
const DEFAULT_ALLOWED_RATIO_MILLI: u32 = 500;

/// Weight of the newest answer in the learned share, in thousandths.
const NEWEST_WEIGHT_MILLI: u32 = 100;

/// Room to ask for beyond what is wanted, in thousandths of it.
const SURPLUS_RATIO_MILLI: u32 = 1300;

/// The room of the allowed targets when they are empty, against what a gang
/// wants: enough for it to find room beside others.
const EMPTY_CAPACITY_RATIO: u32 = 3;

/// Further targets are named as long as they make the answer later by at most
/// this part of its fixed time, if the instances have time to spare.
const CHEAP_TIME_DIVISOR: u32 = 1;

/// The same if they don't.
const SCARCE_CHEAP_TIME_DIVISOR: u32 = 4;

/// Part of the instances' time that all requests may take until advice is scarce
/// for long ones.
const SCARCE_LOAD_RATIO: f64 = 0.85;

/// The same for short ones, which wait for no long ones.
const SHORT_SCARCE_LOAD_RATIO: f64 = 0.5;

impl Planner {
    /// Takes in how many instances can ask at the same time.
    pub fn set_instances(&mut self, count: usize, now: Duration) {
        let count = count as u32;
        if count > self.instances {
            self.last_join_at = now;
        }
        self.instances = count;
    }

    /// Takes in how many instances there were before the term began; 0 if that
    /// isn't known.
    pub fn expect_instances(&mut self, count: u32) {
        self.expected_instances = count;
    }

    /// Tells whether no further instances are likely to join.
    pub fn has_all_instances(&self, now: Duration) -> bool {
        now >= self.last_join_at + self.settings.admission_grace
    }

    /// Takes in which of the targets asked about may run a step; `None` if
    /// there was no answer.
    pub fn advice_answered(
        &mut self,
        step: &StepKey,
        asked: &[Name],
        allowed: Option<Vec<(Name, Name)>>,
        expires_at: Duration,
    ) {
        self.is_changed = true;
        self.finish_request(step, asked.len());
        let ids = |names: &mut dyn Iterator<Item = &Name>| -> Vec<TargetId> {
            names.filter_map(|name| self.target_ids.get(name).copied()).collect()
        };
        let asked = ids(&mut asked.iter());
        if let Some(state) = self.step_state_mut(step) {
            state.finish_request(&asked);
        }
        let Some(allowed) = allowed else {
            return;
        };
        let tickets: Vec<(TargetId, Name)> = allowed
            .into_iter()
            .filter_map(|(name, ticket)| Some((*self.target_ids.get(&name)?, ticket)))
            .collect();
        self.update_allowed_ratio(step, &asked, tickets.len());
        let Some(state) = self.step_state_mut(step) else {
            return;
        };
        for id in asked {
            state.permissions.insert(id, Permission::Refused);
        }
        for (id, ticket) in tickets {
            state.permissions.insert(id, Permission::Allowed { ticket, expires_at });
        }
    }

    /// Learns the share of targets that a queue's steps are allowed.
    fn update_allowed_ratio(&mut self, step: &StepKey, asked: &[TargetId], allowed: usize) {
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let state = self.step_state(step);
        let is_new =
            |id: &&TargetId| state.is_some_and(|state| state.permissions.get(**id).is_none());
        // Targets that were known to be allowed say nothing about the others.
        let new_count = asked.iter().filter(is_new).count();
        if new_count == 0 || new_count < asked.len() {
            return;
        }
        let newest = (allowed * 1000 / new_count) as u32;
        let allowed_ratio_milli = self.allowed_ratio_milli.entry(job.spec.queue.clone()).or_insert(DEFAULT_ALLOWED_RATIO_MILLI);
        *ratio = (*ratio * (1000 - NEWEST_WEIGHT_MILLI) + newest * NEWEST_WEIGHT_MILLI) / 1000;
    }

    /// Asks for a step, if it lacks tickets and there is room to use them, and
    /// keeps the room that it waits for.
    pub(crate) fn request_step_advice(
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
        let usable_until = now + self.settings.ticket_margin;
        let with_ticket = slots.iter().filter(|slot| slot.has_ticket(usable_until));
        let usable = sum_tasks(with_ticket, |slot| slot.tasks);
        if usable >= wanted {
            return;
        }
        if step.gang {
            // It is kept until it is enough; what isn't known to be allowed
            // would keep too much from the others. What can't hold the gang even
            // when it is empty is kept only as long as further targets may help.
            let allowed = || slots.iter().filter(|slot| slot.is_allowed());
            let has_further = slots.iter().any(|slot| !slot.is_allowed());
            if has_further || sum_tasks(allowed(), |slot| slot.tasks_when_empty) >= wanted {
                round.hold_room(allowed(), step, wanted);
            }
        }
        if state.requested.is_some() {
            return;
        }
        let allowed_ratio_milli = self.allowed_ratio_milli.get(&spec.queue).copied().unwrap_or(DEFAULT_ALLOWED_RATIO_MILLI);
        let advice = self.config.policy(&spec.queue, &spec.policy).advice.unwrap_or_default();
        let min_cost_us = cost_us(advice, 1);
        if !self.can_request_advice(min_cost_us, round, now) {
            // Which targets it would ask about need not be found out.
            round.deferred_short_requests += u32::from(!self.settings.is_long_request(min_cost_us));
            return;
        }
        let targets = if step.gang {
            gang_targets(slots, wanted, allowed_ratio_milli.max(1))
        } else {
            let cheap_time_divisor =
                if self.is_advice_scarce(advice, now) { SCARCE_CHEAP_TIME_DIVISOR } else { CHEAP_TIME_DIVISOR };
            let mut targets = task_targets(slots, wanted - usable, allowed_ratio_milli.max(1), advice, cheap_time_divisor);
            targets.truncate(self.settings.max_targets_per_request);
            targets
        };
        self.request_advice(key, &targets, advice, round, now);
    }

    /// Requests advice on targets for a step, in as many requests side by side as
    /// may be made; tells whether there is any.
    pub(crate) fn request_advice(
        &mut self,
        key: &StepKey,
        targets: &[TargetId],
        advice: Advice,
        round: &mut Round,
        now: Duration,
    ) -> bool {
        let mut requested = Vec::new();
        let targets_per_request = if self.is_advice_scarce(advice, now) {
            self.settings.max_targets_per_request
        } else {
            self.settings.balanced_targets_per_request(advice, targets.len())
        };
        for chunk in targets.chunks(targets_per_request) {
            let cost_us = cost_us(advice, chunk.len());
            if !self.can_request_advice(cost_us, round, now) {
                round.deferred_short_requests += u32::from(!self.settings.is_long_request(cost_us));
                break;
            }
            let names = chunk.iter().map(|id| self.targets[id.0 as usize].info.id.clone());
            let (length, load) = match self.settings.is_long_request(cost_us) {
                true => (RequestLength::Long, &mut self.long_request_load),
                false => (RequestLength::Short, &mut self.short_request_load),
            };
            load.record(Duration::from_micros(cost_us), now);
            let request = AdviceRequest { step: key.clone(), targets: names.collect(), cost_us, length };
            self.actions.push(Action::RequestAdvice(request));
            self.advice_requests.entry(key.clone()).or_default().push((chunk.len(), cost_us));
            requested.extend_from_slice(chunk);
        }
        let has_requested = !requested.is_empty();
        if let Some(state) = self.step_state_mut(key).filter(|_| has_requested) {
            state.requested = Some(requested);
        }
        has_requested
    }

    /// Tells whether the requests for advice that those of a step wait for take
    /// much of the instances' time.
    pub(crate) fn is_advice_scarce(&self, advice: Advice, now: Duration) -> bool {
        let ratio = |load: RequestLoad| load.ratio(self.instances, now);
        let short = ratio(self.short_request_load);
        if self.settings.is_long_request(u64::from(advice.request_us)) {
            short + ratio(self.long_request_load) > SCARCE_LOAD_RATIO
        } else {
            short > SHORT_SCARCE_LOAD_RATIO
        }
    }

    /// Takes note that a request about so many targets is no longer under way.
    fn finish_request(&mut self, step: &StepKey, targets: usize) {
        let Some(requests) = self.advice_requests.get_mut(step) else {
            return;
        };
        if let Some(position) = requests.iter().position(|(asked, _)| *asked == targets) {
            requests.swap_remove(position);
        }
        if requests.is_empty() {
            self.advice_requests.remove(step);
        }
    }

    /// Tells whether one more request for advice may be made. Too many would
    /// only wait for one another, while the room that they are for goes unused.
    fn can_request_advice(&self, cost_us: u64, round: &Round, now: Duration) -> bool {
        let (mut long, mut short, mut short_us) = (0, 0, 0);
        for (_, under_way_us) in self.advice_requests.values().flatten() {
            if self.settings.is_long_request(*under_way_us) {
                long += 1;
            } else {
                short += 1;
                short_us += under_way_us;
            }
        }
        if self.settings.is_long_request(cost_us) {
            let max_long = self.settings.max_long_requests(self.instances);
            // Without an instance that makes short requests only, a long one
            // holds up the short ones, so it goes out when there are none, or
            // when long ones have not had the least that is kept for them.
            let has_short = short > 0 || round.deferred_short_requests > 0;
            let delays_short = has_short && max_long >= self.instances as usize;
            let is_due = self.long_request_load.is_below_minimum(self.instances, now);
            return long < max_long && (!delays_short || is_due);
        }
        let max_us =
            self.settings.max_advice_backlog.as_micros() as u64 * u64::from(self.instances);
        short == 0 || short_us + cost_us <= max_us
    }
}

/// Gets the targets that a step whose tasks start one by one asks about: those
/// that are allowed first, and with room first, as many as are likely to give it
/// what it wants, and further ones that hardly make the answer later.
fn task_targets(
    slots: &[Slot],
    wanted: u32,
    allowed_ratio_milli: u32,
    advice: Advice,
    cheap_time_divisor: u32,
) -> Vec<TargetId> {
    let (mut known, mut unknown): (Vec<&Slot>, Vec<&Slot>) =
        slots.iter().partition(|slot| slot.is_allowed());
    known.sort_by_cached_key(|slot| Reverse((slot.tasks, slot.remaining_ppm())));
    unknown.sort_by_cached_key(|slot| Reverse((slot.tasks, slot.remaining_ppm())));
    let cheap = advice.request_us / cheap_time_divisor / advice.target_us.max(1);
    let mut expected_milli = 0;
    let mut chosen = Vec::new();
    let numbered =
        (0..).zip(known.iter().map(|s| (s, 1000)).chain(unknown.iter().map(|s| (s, allowed_ratio_milli))));
    for (number, (slot, share_milli)) in numbered {
        if expected_milli >= wanted * SURPLUS_RATIO_MILLI && number >= cheap {
            break;
        }
        chosen.push(slot.target);
        expected_milli += slot.tasks.min(wanted) * allowed_ratio_milli;
    }
    chosen
}

/// Gets the targets that a gang asks about: those that are allowed if their
/// room is enough now; else, unless they would be enough when empty, further
/// ones with or without room, as what is allowed doesn't change. Room that can be
/// made counts.
fn gang_targets(slots: &[Slot], wanted: u32, allowed_ratio_milli: u32) -> Vec<TargetId> {
    let (mut known, mut unknown): (Vec<&Slot>, Vec<&Slot>) =
        slots.iter().partition(|slot| slot.is_allowed());
    let known_free = sum_tasks(known.iter().copied(), |slot| slot.tasks);
    if known_free >= wanted {
        known.sort_by_cached_key(|slot| Reverse((slot.tasks, slot.remaining_ppm())));
        let mut left = wanted;
        let enough = known.iter().take_while(|slot| {
            let is_needed = left > 0;
            left = left.saturating_sub(slot.tasks);
            is_needed
        });
        return enough.map(|slot| slot.target).collect();
    }
    let known_when_empty = sum_tasks(known.iter().copied(), |slot| slot.tasks_when_empty);
    let known_with_preemption = sum_tasks(known.iter().copied(), |slot| slot.tasks_with_preemption);
    if known_when_empty >= wanted * EMPTY_CAPACITY_RATIO {
        // The room that they need will be there some time; further targets only
        // help if they have it now.
        let likely = sum_tasks(unknown.iter().copied(), |slot| slot.tasks_with_preemption)
            .saturating_mul(allowed_ratio_milli)
            / 1000;
        if known_with_preemption.saturating_add(likely) < wanted * SURPLUS_RATIO_MILLI / 1000 {
            return Vec::new();
        }
    }
    unknown.sort_by_cached_key(|slot| Reverse((slot.tasks_with_preemption, slot.tasks, slot.remaining_ppm())));
    let mut free_milli = known_with_preemption.saturating_mul(1000);
    let mut when_empty_milli = known_when_empty * 1000;
    let mut chosen: Vec<TargetId> =
        known.iter().filter(|slot| slot.tasks_with_preemption > 0).map(|slot| slot.target).collect();
    let mut has_new = false;
    for slot in unknown {
        if free_milli >= wanted * SURPLUS_RATIO_MILLI && when_empty_milli >= wanted * EMPTY_CAPACITY_RATIO * 1000 {
            break;
        }
        chosen.push(slot.target);
        free_milli += slot.tasks_with_preemption.min(wanted) * allowed_ratio_milli;
        when_empty_milli += slot.tasks_when_empty.min(wanted) * allowed_ratio_milli;
        has_new = true;
    }
    if has_new { chosen } else { Vec::new() }
}

/// Gets the time of a request about so many targets, in microseconds.
pub(crate) fn cost_us(advice: Advice, targets: usize) -> u64 {
    u64::from(advice.request_us) + u64::from(advice.target_us) * targets as u64
}
