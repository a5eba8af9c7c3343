//! Preemption of runs to make room for gangs.
//!
//! In a full cell, gangs wait for room on the targets that they are allowed,
//! beside tasks that save checkpoints and whose jobs have time left. If a gang
//! waited for such tasks to end, it would hold part of its room unused for
//! seconds. A task that is stopped instead saves its progress and resumes later
//! or elsewhere, which costs only the time to stop and to resume.
//!
//! A run is preempted only for a gang that is within its team's share and can
//! still meet its objective. In addition, either the run's queue must be less
//! urgent and its job stay in time after the preemption, or the job must be
//! late already or beyond its team's share. The number of preemptions per task
//! is limited, so that no task is moved back and forth without end. Room for a
//! gang is made for all its members or not at all, where the fewest cores have
//! to be preempted. It is reserved until the gang starts or the reservation
//! expires.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use base::{Name, Resources};
use work::{Advice, Spec, Step, StepKey, TaskKey};

use crate::{
    action::StopCause,
    permission::Permission,
    planner::Planner,
    round::Round,
    slot::{Slot, rack_with_most_room, sum_tasks},
    step::TaskState,
    target::{Phase, Run, Sharing, TargetId},
};

/// Room that is reserved for a step.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// Number of tasks that each target takes.
    pub(crate) places: Vec<(TargetId, u32)>,
    /// Time at which the reservation ends.
    pub(crate) expires_at: Duration,
}

/// Cache of preemptible runs, shared by rounds within a short time. Each run is
/// checked again before it is preempted.
#[derive(Debug, Default)]
pub(crate) struct Preemptible {
    found_at: Duration,
    target_count: usize,
    /// Priority below which other steps may preempt the runs of each step;
    /// `None` if no step may.
    yield_priorities: HashMap<StepKey, Option<u32>>,
    /// Resources of the preemptible runs on each target, by the priority of the
    /// step that preempts.
    rooms_by_priority: HashMap<u32, Vec<Resources>>,
}

/// Run that may be preempted.
#[derive(Clone, Debug)]
pub(crate) struct Victim {
    pub(crate) task: TaskKey,
    pub(crate) run: u32,
    /// Resources that the preemption frees.
    pub(crate) size: Resources,
}

/// Target that may take members of a gang, or other tasks of a step.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) target: TargetId,
    /// Whether the step runs slower on this target.
    is_far: bool,
    free: Resources,
    /// Preemptible runs, smallest first.
    victims: Vec<Victim>,
    /// Number of further members that the target can take.
    max_more: u32,
    pub(crate) members: u32,
    pub(crate) preempted: Vec<Victim>,
}

/// Cost of placing one more member on a target; the lowest is chosen first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    is_far: bool,
    /// CPU of the runs to preempt, in thousandths of a core.
    preempted_milli: u64,
    /// Number of runs of backfill to evict, whose CPU is free for others anyway.
    evicted: usize,
}

impl Candidate {
    pub(crate) fn new(
        target: TargetId,
        is_far: bool,
        free: Resources,
        victims: Vec<Victim>,
        max_more: u32,
    ) -> Self {
        Self { target, is_far, free, victims, max_more, members: 0, preempted: Vec::new() }
    }

    /// Returns the cost of placing one more member, and the positions of the
    /// victims to preempt; `None` if there is no room to make.
    fn next_member(&self, size: Resources) -> Option<(Cost, Vec<usize>)> {
        if self.max_more == 0 {
            return None;
        }
        let mut room = self.free;
        let mut left: Vec<usize> = (0..self.victims.len()).collect();
        let mut chosen = Vec::new();
        while !size.fits(&room) {
            let suffices = |index: &usize| size.fits(&(room + self.victims[*index].size));
            let position = left.iter().position(suffices).or(left.len().checked_sub(1))?;
            let index = left.remove(position);
            room += self.victims[index].size;
            chosen.push(index);
        }
        let preempted =
            chosen.iter().map(|index| u64::from(self.victims[*index].size.cpu_milli)).sum();
        let is_backfill = |index: &&usize| self.victims[**index].size.cpu_milli == 0;
        let evicted = chosen.iter().filter(is_backfill).count();
        let cost = Cost { is_far: self.is_far, preempted_milli: preempted, evicted };
        Some((cost, chosen))
    }

    /// Places one more member, at the expense of the chosen victims.
    fn take_member(&mut self, size: Resources, mut chosen: Vec<usize>) {
        chosen.sort_unstable_by_key(|index| Reverse(*index));
        for index in chosen {
            let victim = self.victims.remove(index);
            self.free += victim.size;
            self.preempted.push(victim);
        }
        self.free -= size;
        self.members += 1;
        self.max_more -= 1;
    }
}

/// How room is held for a gang that cannot start yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldMode {
    /// The gang has the tickets that it needs; its room is reserved.
    HasTickets,
    /// The gang lacks tickets; its room is reserved until they arrive.
    UntilTickets,
    /// The gang lacks tickets, but enough room can be made once they arrive;
    /// only the tickets are requested.
    RequestOnly,
}

/// Multiple of the gang's size in members that could be placed with preemption,
/// from which on no room is reserved while tickets are requested.
const AMPLE_ROOM_RATIO: u32 = 2;

/// One extra member per this many is requested when no room is reserved.
const EXTRA_MEMBERS_DIVISOR: u32 = 3;

impl Planner {
    /// Returns the priority with which a step preempts runs; `None` if it preempts
    /// none. Gangs that are late or beyond their team's share only evict backfill.
    pub(crate) fn preemption_priority(&self, key: &StepKey, step: &Step) -> Option<u32> {
        if !step.gang || step.is_backfill {
            return None;
        }
        let can_preempt = self.settings.preemption.max_per_task > 0
            && self.is_in_time_and_entitled(key, self.last_round_unix_ms);
        if can_preempt {
            return Some(self.priority(key));
        }
        self.evicts_backfill().then_some(u32::MAX)
    }

    /// Reserves room for a gang that cannot start yet, if its targets have
    /// enough room or enough can be made by preemption. Returns whether the gang
    /// has to wait, either for the reserved room or for tickets.
    pub(crate) fn reserve_room(
        &mut self,
        key: &StepKey,
        step: &Step,
        slots: &[Slot],
        advice: Option<Advice>,
        round: &mut Round,
        now: Duration,
    ) -> bool {
        if !step.gang {
            return false;
        }
        let valid_at = now + self.settings.ticket_margin;
        let has_ticket = |slot: &&Slot| advice.is_none() || slot.has_ticket(valid_at);
        let with_ticket: Vec<&Slot> = slots.iter().filter(has_ticket).collect();
        if sum_tasks(with_ticket.iter().copied(), |slot| slot.tasks) >= step.count {
            // The gang can start now.
            return false;
        }
        let allowed: Vec<&Slot> = slots.iter().filter(|slot| slot.is_allowed()).collect();
        let preempt_priority = self.preemption_priority(key, step);
        let with_preemption =
            |slots: &[&Slot]| sum_tasks(slots.iter().copied(), |slot| slot.tasks_with_preemption);
        let (usable, hold) = if with_preemption(&with_ticket) >= step.count {
            (with_ticket, HoldMode::HasTickets)
        } else if preempt_priority.is_some()
            && with_preemption(&allowed) >= step.count.saturating_mul(AMPLE_ROOM_RATIO)
            && advice.is_some_and(|advice| !self.is_advice_scarce(advice, now))
        {
            (allowed, HoldMode::RequestOnly)
        } else if with_preemption(&allowed) >= step.count {
            (allowed, HoldMode::UntilTickets)
        } else {
            return false;
        };
        let near = match &step.data_rack {
            Some(rack) => Some(rack.clone()),
            None if step.same_rack => {
                rack_with_most_room(usable.iter().copied(), |slot| slot.tasks_with_preemption, self)
            }
            None => None,
        };
        let candidates: Vec<Candidate> = usable
            .into_iter()
            .filter(|slot| slot.tasks_with_preemption > 0)
            .map(|slot| self.candidate(slot, near.as_ref(), preempt_priority, round))
            .collect();
        let members = match hold {
            // Some of the room may be taken by the time the tickets arrive.
            HoldMode::RequestOnly => {
                step.count.saturating_add(step.count.div_ceil(EXTRA_MEMBERS_DIVISOR))
            }
            HoldMode::HasTickets | HoldMode::UntilTickets => step.count,
        };
        let candidates = choose_places(candidates, step.size, members);
        if candidates.iter().map(|candidate| candidate.members).sum::<u32>() < members {
            return false;
        }
        let places: Vec<(TargetId, u32)> =
            candidates.iter().map(|candidate| (candidate.target, candidate.members)).collect();
        match hold {
            HoldMode::HasTickets => {}
            HoldMode::RequestOnly => return self.request_tickets(key, &places, advice, round, now),
            HoldMode::UntilTickets => {
                if !self.request_tickets(key, &places, advice, round, now) {
                    return false;
                }
            }
        }
        for candidate in candidates {
            round.allocate(candidate.target, step.size * candidate.members);
            for victim in candidate.preempted {
                round.preemptible.remove(candidate.target, victim.size);
                self.preempt_run(candidate.target, &victim, key, now);
            }
        }
        let expires_at = now + self.settings.preemption.reservation_timeout;
        self.reservations.insert(key.clone(), Reservation { places, expires_at });
        true
    }

    fn has_tickets(
        &self,
        key: &StepKey,
        places: &[(TargetId, u32)],
        advice: Option<Advice>,
        now: Duration,
    ) -> bool {
        advice.is_none() || places.iter().all(|(id, _)| self.has_ticket(key, *id, now))
    }

    /// Requests tickets, unless a request of the step is in flight. Returns
    /// whether a request is in flight now.
    fn request_tickets(
        &mut self,
        key: &StepKey,
        places: &[(TargetId, u32)],
        advice: Option<Advice>,
        round: &mut Round,
        now: Duration,
    ) -> bool {
        if self.is_requesting(key) {
            return true;
        }
        let targets: Vec<TargetId> = places.iter().map(|(id, _)| *id).collect();
        advice.is_some_and(|advice| self.request_advice(key, &targets, advice, round, now))
    }

    pub(crate) fn preempt_run(
        &mut self,
        target: TargetId,
        victim: &Victim,
        key: &StepKey,
        now: Duration,
    ) {
        if let Some(state) = self.step_state_mut(&victim.task.step) {
            state.tasks[victim.task.index as usize].preemptions += 1;
        }
        self.stop_run(target, &victim.task, victim.run, StopCause::Moved(key.job.clone()), now);
    }

    /// Starts tasks whose reserved room is free, or keeps holding the room.
    pub(crate) fn place_reserved(&mut self, key: &StepKey, round: &mut Round, now: Duration) {
        let Some(reservation) = self.reservations.get(key).cloned() else {
            return;
        };
        let spec = self.jobs.get(&key.job).map(|job| Arc::clone(&job.spec));
        let Some(spec) =
            spec.filter(|spec| self.is_reservation_valid(key, spec, &reservation, now))
        else {
            self.reservations.remove(key);
            return;
        };
        let step = &spec.steps[usize::from(key.step)];
        let advice = self.config.policy(&spec.queue, &spec.policy).advice;
        if !step.gang {
            return self.place_singly(key, &spec, reservation, round, now);
        }
        let has_tickets = self.has_tickets(key, &reservation.places, advice, now);
        let has_room = reservation
            .places
            .iter()
            .all(|(id, members)| self.has_room(*id, step.size * *members, round));
        let is_within_limit = self.allowed_tasks(&spec.team, step.size, round) >= step.count;
        if has_tickets && has_room && is_within_limit {
            self.reservations.remove(key);
            for (id, members) in reservation.places {
                round.allocate(id, step.size * members);
                for _ in 0..members {
                    self.start_next_task(key, &spec, id, now);
                }
            }
            return self.unqueue_step(key);
        }
        if !has_tickets {
            self.request_tickets(key, &reservation.places, advice, round, now);
        }
        for (id, members) in reservation.places {
            round.allocate(id, step.size * members);
        }
    }

    /// Starts the tasks of a step that is no gang on the targets whose reserved room is
    /// free, and keeps holding the room on the others.
    fn place_singly(
        &mut self,
        key: &StepKey,
        spec: &Arc<Spec>,
        reservation: Reservation,
        round: &mut Round,
        now: Duration,
    ) {
        let step = &spec.steps[usize::from(key.step)];
        let advice = self.config.policy(&spec.queue, &spec.policy).advice;
        let mut held = Vec::new();
        for (id, tasks) in reservation.places {
            let allowed = self.allowed_tasks(&spec.team, step.size, round);
            let there = self.step_state(key).map_or(0, |state| state.count_on(id));
            let can_start = self.has_room(id, step.size * tasks, round)
                && step.max_per_target.is_none_or(|max| there + tasks <= max)
                && tasks <= allowed.min(self.startable_count(key))
                && self.has_tickets(key, &[(id, tasks)], advice, now);
            round.allocate(id, step.size * tasks);
            if !can_start {
                held.push((id, tasks));
                continue;
            }
            for _ in 0..tasks {
                self.start_next_task(key, spec, id, now);
            }
        }
        if held.is_empty() {
            self.reservations.remove(key);
        } else if let Some(reservation) = self.reservations.get_mut(key) {
            reservation.places = held;
        }
        if self.step_state(key).is_some_and(|state| state.waiting.is_empty()) {
            self.unqueue_step(key);
        }
    }

    /// Returns whether a target may be used and has this room.
    pub(crate) fn has_room(&self, id: TargetId, size: Resources, round: &Round) -> bool {
        !self.targets[id.0 as usize].is_closed && size.fits(&round.free(id))
    }

    /// Returns whether the reserved room is still of use.
    fn is_reservation_valid(
        &self,
        key: &StepKey,
        spec: &Spec,
        reservation: &Reservation,
        now: Duration,
    ) -> bool {
        let is_gang = spec.steps[usize::from(key.step)].gang;
        let tasks = reservation.places.iter().map(|(_, tasks)| *tasks as usize).sum::<usize>();
        let is_waiting = self.step_state(key).is_some_and(|state| {
            let is_whole = state.waiting.len() == state.tasks.len() && !state.has_runs();
            if is_gang { is_whole } else { state.waiting.len() >= tasks }
        });
        let service = &self.config.policy(&spec.queue, &spec.policy).service;
        let is_open = |id: TargetId| {
            let target = &self.targets[id.0 as usize];
            target.info.service == *service
                && target.is_open(now, self.settings.contact_timeout, self.idle_contact_timeout)
        };
        is_waiting
            && (now < reservation.expires_at || self.is_requesting(key))
            && reservation.places.iter().all(|(id, _)| is_open(*id) && !self.is_refused(key, *id))
    }

    fn is_requesting(&self, key: &StepKey) -> bool {
        self.step_state(key).is_some_and(|state| state.requested.is_some())
    }

    fn is_refused(&self, key: &StepKey, id: TargetId) -> bool {
        let permission = self.step_state(key).and_then(|state| state.permissions.get(id));
        permission == Some(&Permission::Refused)
    }

    pub(crate) fn has_ticket(&self, key: &StepKey, id: TargetId, now: Duration) -> bool {
        let valid_at = now + self.settings.ticket_margin;
        let permission = self.step_state(key).and_then(|state| state.permissions.get(id));
        permission.is_some_and(|permission| permission.has_ticket(valid_at))
    }

    pub(crate) fn priority(&self, key: &StepKey) -> u32 {
        let job = self.jobs.get(&key.job);
        job.map_or(u32::MAX, |job| self.config.policy(&job.spec.queue, &job.spec.policy).priority)
    }

    /// Returns a target with the runs that may be preempted for steps of a
    /// priority.
    fn candidate(
        &self,
        slot: &Slot,
        near: Option<&Name>,
        preempt_priority: Option<u32>,
        round: &mut Round,
    ) -> Candidate {
        let mut victims: Vec<Victim> = self.targets[slot.target.0 as usize]
            .runs
            .iter()
            .filter(|(task, run)| {
                preempt_priority.is_some_and(|priority| {
                    self.can_preempt(task, run, priority, &mut round.preemptible)
                })
            })
            .map(|(task, run)| self.victim(task, run))
            .collect();
        victims.sort_by_key(|victim| victim.size.cpu_milli);
        let rack = &self.targets[slot.target.0 as usize].info.rack;
        let is_far = near.is_some_and(|near| near != rack);
        let free = round.free(slot.target);
        Candidate::new(slot.target, is_far, free, victims, slot.tasks_with_preemption)
    }

    /// Returns whether a run may be preempted for steps of a priority.
    fn can_preempt(
        &self,
        task: &TaskKey,
        run: &Run,
        priority: u32,
        preemptible: &mut Preemptible,
    ) -> bool {
        if run.sharing == Sharing::Backfill {
            // The members of a gang are placed at once, so that runs of steps with a
            // limit can't be counted one by one.
            return self.evicts_backfill()
                && self.can_evict(task, run)
                && self.max_unavailable(&task.step).is_none();
        }
        if run.phase != Phase::Running || run.sharing != Sharing::Any {
            return false;
        }
        if run
            .progress
            .is_some_and(|(percent, _)| percent >= self.settings.preemption.max_done_percent)
        {
            return false;
        }
        let below = *preemptible
            .yield_priorities
            .entry(task.step.clone())
            .or_insert_with(|| self.preemptible_below(&task.step));
        below.is_some_and(|below| priority < below)
            && self.step_state(&task.step).is_some_and(|state| {
                let task = &state.tasks[task.index as usize];
                task.preemptions < self.settings.preemption.max_per_task
                    && matches!(task.state, TaskState::Assigned { run: current, .. } if current == run.number)
            })
    }

    /// Returns the priority below which other steps may preempt the runs of a
    /// step; `None` if no step may.
    fn preemptible_below(&self, key: &StepKey) -> Option<u32> {
        let job = self.jobs.get(&key.job).filter(|job| !job.state.is_final())?;
        let step = job.spec.steps.get(usize::from(key.step))?;
        if !step.checkpoints || step.gang || step.long_running || step.copies {
            return None;
        }
        self.yields_below(key, self.last_round_unix_ms)
    }

    /// Returns the resources of the preemptible runs on each target, for steps
    /// of a priority.
    pub(crate) fn preemptible_room<'a>(
        &self,
        priority: u32,
        preemptible: &'a mut Preemptible,
    ) -> &'a [Resources] {
        if !preemptible.rooms_by_priority.contains_key(&priority) {
            let rooms = self.targets.iter().map(|target| {
                let preemptible_runs = target
                    .runs
                    .iter()
                    .filter(|(task, run)| self.can_preempt(task, run, priority, preemptible));
                preemptible_runs
                    .fold(Resources::ZERO, |sum, (_, run)| sum + self.preempted_size(run))
            });
            let rooms = rooms.collect();
            preemptible.rooms_by_priority.insert(priority, rooms);
        }
        &preemptible.rooms_by_priority[&priority]
    }
}

impl Preemptible {
    /// Returns the cache, emptied if it is outdated.
    pub(crate) fn refreshed(self, target_count: usize, now: Duration) -> Self {
        /// Runs can make much progress in more time than this.
        const MAX_AGE: Duration = Duration::from_millis(100);
        let is_old =
            now.saturating_sub(self.found_at) > MAX_AGE || self.target_count != target_count;
        if is_old { Self { found_at: now, target_count, ..Self::default() } } else { self }
    }

    /// Subtracts a run that is being preempted.
    fn remove(&mut self, id: TargetId, size: Resources) {
        for rooms in self.rooms_by_priority.values_mut() {
            rooms[id.0 as usize] -= size;
        }
    }
}

/// Chooses targets for the members of a gang, or other tasks: near their data and one
/// another where that matters, with the fewest cores and runs preempted. Returns the
/// chosen targets, which have room for fewer members if there is no more.
pub(crate) fn choose_places(
    mut candidates: Vec<Candidate>,
    size: Resources,
    members: u32,
) -> Vec<Candidate> {
    let mut next = BinaryHeap::new();
    for (index, candidate) in candidates.iter().enumerate() {
        if let Some((cost, chosen)) = candidate.next_member(size) {
            next.push(Reverse((cost, index, chosen)));
        }
    }
    for _ in 0..members {
        let Some(Reverse((_, index, chosen))) = next.pop() else {
            break;
        };
        let candidate = &mut candidates[index];
        candidate.take_member(size, chosen);
        if let Some((cost, chosen)) = candidate.next_member(size) {
            next.push(Reverse((cost, index, chosen)));
        }
    }
    candidates.retain(|candidate| candidate.members > 0);
    candidates
}
