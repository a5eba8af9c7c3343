//! Choice of the targets to request advice on.
//!
//! An answer takes long. Whether a target is allowed never changes, but tickets
//! expire soon. A step therefore requests advice on targets that have room now:
//! first those known to be allowed, then unknown ones, as many as are likely to
//! yield enough room. In a full cell a step also names some targets without
//! room. When room comes free there, a step that holds a ticket can take it at
//! once, and no room has to be held unused for steps whose requests are in
//! flight.

use std::{cmp::Reverse, time::Duration};

use base::Name;
use work::{Advice, Spec, StepKey};

use crate::{
    action::{Action, AdviceRequest, RequestLength},
    admit::RequestLoad,
    permission::Permission,
    planner::Planner,
    rank::SpeedPreference,
    round::Round,
    slot::{Slot, sum_tasks},
    target::TargetId,
};

/// Assumed fraction of targets that are allowed while nothing is known about a
/// queue, in thousandths.
const DEFAULT_ALLOWED_RATIO_MILLI: u32 = 500;

/// Weight of the newest answer in the average fraction of allowed targets, in
/// thousandths.
const NEWEST_WEIGHT_MILLI: u32 = 100;

/// Room to cover with requests, relative to the room needed, in thousandths.
const SURPLUS_RATIO_MILLI: u32 = 1300;

/// Capacity of the allowed targets when empty, relative to the size of the
/// gang, that suffices for the gang to find room beside other work.
const EMPTY_CAPACITY_RATIO: u32 = 3;

/// Further targets are named while they lengthen the answer by at most the
/// fixed time of the request over this divisor, if the instances have spare
/// time.
const CHEAP_TIME_DIVISOR: u32 = 1;

/// Replaces `CHEAP_TIME_DIVISOR` when the instances have no spare time.
const SCARCE_CHEAP_TIME_DIVISOR: u32 = 4;

/// Share of the instances' time taken by all requests above which advice is
/// scarce for long requests.
const SCARCE_LOAD_RATIO: f64 = 0.85;

/// Share of the instances' time taken by short requests above which advice is
/// scarce for short requests, which do not wait for long ones.
const SHORT_SCARCE_LOAD_RATIO: f64 = 0.5;

impl Planner {
    /// Sets the number of instances that can request advice at the same time.
    pub fn set_instances(&mut self, count: usize, now: Duration) {
        let count = count as u32;
        if count > self.instances {
            self.last_join_at = now;
        }
        self.instances = count;
    }

    /// Sets the number of instances at the end of the previous term; 0 if
    /// unknown.
    pub fn expect_instances(&mut self, count: u32) {
        self.expected_instances = count;
    }

    /// Returns whether no more instances are likely to join.
    pub fn has_all_instances(&self, now: Duration) -> bool {
        now >= self.last_join_at + self.settings.admission_grace
    }

    /// Applies the answer to an advice request. `allowed` names the targets
    /// among `requested` that may run the step, with their tickets valid until
    /// `expires_at`; `None` if there was no answer.
    pub fn advice_answered(
        &mut self,
        step: &StepKey,
        requested: &[Name],
        allowed: Option<Vec<(Name, Name)>>,
        expires_at: Duration,
    ) {
        self.is_changed = true;
        self.finish_request(step, requested.len());
        let ids = |names: &mut dyn Iterator<Item = &Name>| -> Vec<TargetId> {
            names.filter_map(|name| self.target_ids.get(name).copied()).collect()
        };
        let requested = ids(&mut requested.iter());
        if let Some(state) = self.step_state_mut(step) {
            state.finish_request(&requested);
        }
        let Some(allowed) = allowed else {
            return;
        };
        let tickets: Vec<(TargetId, Name)> = allowed
            .into_iter()
            .filter_map(|(name, ticket)| Some((*self.target_ids.get(&name)?, ticket)))
            .collect();
        self.update_allowed_ratio(step, &requested, tickets.len());
        let Some(state) = self.step_state_mut(step) else {
            return;
        };
        for id in requested {
            state.permissions.insert(id, Permission::Refused);
        }
        for (id, ticket) in tickets {
            state.permissions.insert(id, Permission::Allowed { ticket, expires_at });
        }
    }

    /// Updates the average fraction of targets that the steps of a queue are
    /// allowed.
    fn update_allowed_ratio(&mut self, step: &StepKey, requested: &[TargetId], allowed: usize) {
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let state = self.step_state(step);
        let is_new =
            |id: &&TargetId| state.is_some_and(|state| state.permissions.get(**id).is_none());
        // Targets already known to be allowed say nothing about unknown ones.
        let new_count = requested.iter().filter(is_new).count();
        if new_count == 0 || new_count < requested.len() {
            return;
        }
        let newest = (allowed * 1000 / new_count) as u32;
        let ratio = self
            .allowed_ratio_milli
            .entry(job.spec.queue.clone())
            .or_insert(DEFAULT_ALLOWED_RATIO_MILLI);
        *ratio = (*ratio * (1000 - NEWEST_WEIGHT_MILLI) + newest * NEWEST_WEIGHT_MILLI) / 1000;
    }

    /// Requests advice for a step that lacks tickets, and holds the room that a
    /// gang waits for.
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
        let valid_at = now + self.settings.ticket_margin;
        let with_ticket = slots.iter().filter(|slot| slot.has_ticket(valid_at));
        let usable = sum_tasks(with_ticket, |slot| slot.tasks);
        if usable >= wanted {
            return;
        }
        if step.gang {
            // Only room on allowed targets is held, since holding it on unknown
            // ones would take too much from other steps. If the allowed targets
            // cannot hold the gang even when empty, their room is held only as
            // long as further targets may help.
            let allowed = || slots.iter().filter(|slot| slot.is_allowed());
            let has_further = slots.iter().any(|slot| !slot.is_allowed());
            if has_further || sum_tasks(allowed(), |slot| slot.tasks_when_empty) >= wanted {
                round.hold_room(allowed(), step, wanted);
            }
        }
        if state.requested.is_some() {
            return;
        }
        let allowed_ratio_milli = self
            .allowed_ratio_milli
            .get(&spec.queue)
            .copied()
            .unwrap_or(DEFAULT_ALLOWED_RATIO_MILLI);
        let advice = self.config.policy(&spec.queue, &spec.policy).advice.unwrap_or_default();
        let min_cost_us = cost_us(advice, 1);
        if !self.can_request_advice(min_cost_us, round, now) {
            // Skips the choice of targets, since no request can be sent.
            round.deferred_short_requests += u32::from(!self.settings.is_long_request(min_cost_us));
            return;
        }
        let targets = if step.gang {
            gang_targets(slots, wanted, allowed_ratio_milli.max(1))
        } else {
            let cheap_time_divisor = if self.is_advice_scarce(advice, now) {
                SCARCE_CHEAP_TIME_DIVISOR
            } else {
                CHEAP_TIME_DIVISOR
            };
            let mut targets = task_targets(
                slots,
                self.speed_preference(key, self.last_round_unix_ms),
                wanted - usable,
                allowed_ratio_milli.max(1),
                advice,
                cheap_time_divisor,
            );
            targets.truncate(self.settings.max_targets_per_request);
            targets
        };
        self.request_advice(key, &targets, advice, round, now);
    }

    /// Requests advice on targets for a step, in as many parallel requests as
    /// the limits allow. Returns whether any request was sent.
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
            let request =
                AdviceRequest { step: key.clone(), targets: names.collect(), cost_us, length };
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

    /// Returns whether the requests that a request with this cost may wait for
    /// take much of the instances' time.
    pub(crate) fn is_advice_scarce(&self, advice: Advice, now: Duration) -> bool {
        let ratio = |load: RequestLoad| load.ratio(self.instances, now);
        let short = ratio(self.short_request_load);
        if self.settings.is_long_request(u64::from(advice.request_us)) {
            short + ratio(self.long_request_load) > SCARCE_LOAD_RATIO
        } else {
            short > SHORT_SCARCE_LOAD_RATIO
        }
    }

    /// Removes one request that named this number of targets.
    fn finish_request(&mut self, step: &StepKey, targets: usize) {
        let Some(requests) = self.advice_requests.get_mut(step) else {
            return;
        };
        if let Some(position) = requests.iter().position(|(count, _)| *count == targets) {
            requests.swap_remove(position);
        }
        if requests.is_empty() {
            self.advice_requests.remove(step);
        }
    }

    /// Returns whether one more advice request may be sent. Too many requests
    /// would only wait for one another, while the room that they are for stays
    /// unused.
    fn can_request_advice(&self, cost_us: u64, round: &Round, now: Duration) -> bool {
        let (mut long, mut short, mut short_us) = (0, 0, 0);
        for (_, in_flight_us) in self.advice_requests.values().flatten() {
            if self.settings.is_long_request(*in_flight_us) {
                long += 1;
            } else {
                short += 1;
                short_us += in_flight_us;
            }
        }
        if self.settings.is_long_request(cost_us) {
            let max_long = self.settings.max_long_requests(self.instances);
            // If every instance makes long requests, a long request delays
            // short ones. It is then sent only if there are no short ones, or
            // if long requests have had less than their minimum share.
            let has_short = short > 0 || round.deferred_short_requests > 0;
            let delays_short = has_short && max_long >= self.instances as usize;
            let is_due = self.long_request_load.is_below_minimum(self.instances, now);
            return long < max_long && (!delays_short || is_due);
        }
        // An instance with a long request answers no short one meanwhile.
        let free_instances = u64::from(self.instances).saturating_sub(long as u64).max(1);
        let max_us = self.settings.max_advice_backlog.as_micros() as u64 * free_instances;
        short == 0 || short_us + cost_us <= max_us
    }
}

/// Returns the targets that a step other than a gang requests advice on:
/// allowed ones first, then by the preferred speed, then those with most room
/// first, as many as are likely to yield the wanted room, and further ones that
/// hardly lengthen the answer.
fn task_targets(
    slots: &[Slot],
    preference: SpeedPreference,
    wanted: u32,
    allowed_ratio_milli: u32,
    advice: Advice,
    cheap_time_divisor: u32,
) -> Vec<TargetId> {
    let (mut known, mut unknown): (Vec<&Slot>, Vec<&Slot>) =
        slots.iter().partition(|slot| slot.is_allowed());
    let order = |slot: &&Slot| {
        // Targets without room come last, whatever their speed.
        let class = if slot.tasks > 0 { preference.order(slot.speed_class) } else { i8::MAX };
        (class, Reverse((slot.tasks, slot.remaining_ppm())))
    };
    known.sort_by_cached_key(order);
    unknown.sort_by_cached_key(order);
    let cheap = advice.request_us / cheap_time_divisor / advice.target_us.max(1);
    let mut expected_milli: u32 = 0;
    let mut chosen = Vec::new();
    let numbered = (0..).zip(
        known.iter().map(|s| (s, 1000)).chain(unknown.iter().map(|s| (s, allowed_ratio_milli))),
    );
    for (number, (slot, ratio_milli)) in numbered {
        if expected_milli >= wanted.saturating_mul(SURPLUS_RATIO_MILLI) && number >= cheap {
            break;
        }
        chosen.push(slot.target);
        let expected = slot.tasks.min(wanted).saturating_mul(ratio_milli);
        expected_milli = expected_milli.saturating_add(expected);
    }
    chosen
}

/// Returns the targets that a gang requests advice on: the allowed ones if they
/// have enough room now. Otherwise, unless the allowed ones would suffice when
/// empty, unknown ones with or without room, since permissions never change.
/// Room that can be made by preemption counts.
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
    let surplus_milli = wanted.saturating_mul(SURPLUS_RATIO_MILLI);
    let wanted_when_empty_milli = wanted.saturating_mul(EMPTY_CAPACITY_RATIO * 1000);
    let known_when_empty = sum_tasks(known.iter().copied(), |slot| slot.tasks_when_empty);
    let known_with_preemption = sum_tasks(known.iter().copied(), |slot| slot.tasks_with_preemption);
    if known_when_empty >= wanted.saturating_mul(EMPTY_CAPACITY_RATIO) {
        // The allowed targets will have enough room at some time, so further
        // targets only help if they have room now.
        let likely = sum_tasks(unknown.iter().copied(), |slot| slot.tasks_with_preemption)
            .saturating_mul(allowed_ratio_milli)
            / 1000;
        if known_with_preemption.saturating_add(likely) < surplus_milli / 1000 {
            return Vec::new();
        }
    }
    unknown.sort_by_cached_key(|slot| {
        Reverse((slot.tasks_with_preemption, slot.tasks, slot.remaining_ppm()))
    });
    let mut free_milli = known_with_preemption.saturating_mul(1000);
    let mut when_empty_milli = known_when_empty.saturating_mul(1000);
    let mut chosen: Vec<TargetId> = known
        .iter()
        .filter(|slot| slot.tasks_with_preemption > 0)
        .map(|slot| slot.target)
        .collect();
    let mut has_new = false;
    for slot in unknown {
        if free_milli >= surplus_milli && when_empty_milli >= wanted_when_empty_milli {
            break;
        }
        chosen.push(slot.target);
        let expected_milli = |tasks: u32| tasks.min(wanted).saturating_mul(allowed_ratio_milli);
        free_milli = free_milli.saturating_add(expected_milli(slot.tasks_with_preemption));
        when_empty_milli = when_empty_milli.saturating_add(expected_milli(slot.tasks_when_empty));
        has_new = true;
    }
    if has_new { chosen } else { Vec::new() }
}

/// Returns the expected time of a request that names this number of targets, in
/// microseconds.
pub(crate) fn cost_us(advice: Advice, targets: usize) -> u64 {
    u64::from(advice.request_us) + u64::from(advice.target_us) * targets as u64
}
