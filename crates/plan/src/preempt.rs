//! Making room for gangs by moving runs that lose nothing by it.
//!
//! It answers a full cell in which gangs wait for room on the targets that they
//! are allowed, beside tasks that save checkpoints and whose jobs have time left.
//! Waiting for such tasks to end has each gang keep part of the room that it
//! needs, unused, for seconds. A task that is stopped saves what it has done, and
//! goes on later or elsewhere: that costs the time to stop and to resume.
//!
//! A run is moved only for a gang that is owed and can still meet its objective,
//! if its own queue is less urgent and its job stays in time all the same, or if
//! its job can't be in time or isn't owed. Each task is moved a few times at
//! most, so that none goes back and forth for ever. The room that a gang needs is
//! made whole or not at all, where it takes the fewest cores to be moved, and is
//! kept for it until it starts or some seconds have passed.

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
    decide::{Round, Slot, sum_tasks, rack_with_most_room},
    permission::Permission,
    planner::Planner,
    step::TaskState,
    target::{Phase, Run, Sharing, TargetId},
};

/// A `Reservation` is room that is being made for a gang.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// How many members each target is to take.
    places: Vec<(TargetId, u32)>,
    /// When it is given up.
    expires_at: Duration,
}

/// A `Movable` is what may be moved, as it was found by one of the last rounds:
/// each run is looked at again before it is moved.
#[derive(Debug, Default)]
pub(crate) struct Preemptible {
    found_at: Duration,
    target_count: usize,
    /// For each step, the priority below which others may have its runs moved.
    yield_priorities: HashMap<StepKey, Option<u32>>,
    /// What the runs that may be moved take of each target, by the priority that
    /// they may be moved for.
    rooms_by_priority: HashMap<u32, Vec<Resources>>,
}

/// A `Victim` is a run that may be moved.
#[derive(Clone, Debug)]
struct Victim {
    task: TaskKey,
    run: u32,
    size: Resources,
}

/// An `Offer` is the room that a target has for a gang, and could have.
#[derive(Debug)]
struct Candidate {
    target: TargetId,
    /// Whether the step is slower there.
    is_far: bool,
    free: Resources,
    /// The smallest first.
    victims: Vec<Victim>,
    /// Members that it may take besides.
    max_more: u32,
    members: u32,
    moved: Vec<Victim>,
}

/// A `Cost` is what one more member costs on a target, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    is_far: bool,
    /// What is moved, in thousandths of a core.
    moved_milli: u64,
}

impl Candidate {
    /// Gets the runs to be moved for one more member, by position, with what that
    /// costs.
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
        let moved = chosen.iter().map(|index| u64::from(self.victims[*index].size.cpu_milli)).sum();
        Some((Cost { is_far: self.is_far, moved_milli: moved }, chosen))
    }

    /// Takes one more member.
    fn take_member(&mut self, size: Resources, mut chosen: Vec<usize>) {
        chosen.sort_unstable_by_key(|index| Reverse(*index));
        for index in chosen {
            let victim = self.victims.remove(index);
            self.free += victim.size;
            self.moved.push(victim);
        }
        self.free -= size;
        self.members += 1;
        self.max_more -= 1;
    }
}

/// A `Hold` is what is kept for a gang that lacks tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldMode {
    /// It has tickets for all that it needs.
    HasTickets,
    /// Its room is kept until they come.
    UntilTickets,
    /// Nothing is kept: its room can be made when they come.
    RequestOnly,
}

/// Room that can be made, against what a gang needs, from which on nothing is
/// kept while it asks for tickets.
const AMPLE_ROOM_RATIO: u32 = 2;

/// One of so many members more is asked for, in that case.
const EXTRA_MEMBERS_DIVISOR: u32 = 3;

impl Planner {
    /// Tells whether runs may be moved for a step.
    pub(crate) fn can_preempt_for(&self, key: &StepKey, step: &Step) -> bool {
        step.gang
            && self.settings.preemption.moves_per_task > 0
            && self.is_in_time_and_entitled(key, self.last_round_unix_ms)
    }

    /// Keeps the room that a gang needs until it has tickets for it, if its
    /// targets have that room or can be made to have it; tells whether it does.
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
        let usable_until = now + self.settings.ticket_margin;
        let has_ticket = |slot: &&Slot| advice.is_none() || slot.has_ticket(usable_until);
        let with_ticket: Vec<&Slot> = slots.iter().filter(has_ticket).collect();
        if sum_tasks(with_ticket.iter().copied(), |slot| slot.tasks) >= step.count {
            // It can start now.
            return false;
        }
        let allowed: Vec<&Slot> = slots.iter().filter(|slot| slot.is_allowed()).collect();
        let preempt_priority = self.can_preempt_for(key, step).then(|| self.priority(key));
        let with_preemption = |slots: &[&Slot]| sum_tasks(slots.iter().copied(), |slot| slot.tasks_with_preemption);
        let (usable, hold) = if with_preemption(&with_ticket) >= step.count {
            (with_ticket, HoldMode::HasTickets)
        } else if preempt_priority.is_some()
            && with_preemption(&allowed) >= step.count * AMPLE_ROOM_RATIO
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
            None if step.same_rack => rack_with_most_room(usable.iter().copied(), |slot| slot.tasks_with_preemption, self),
            None => None,
        };
        let candidates: Vec<Candidate> = usable
            .into_iter()
            .filter(|slot| slot.tasks_with_preemption > 0)
            .map(|slot| self.candidate(slot, near.as_ref(), preempt_priority, round))
            .collect();
        let members = match hold {
            // Some of it may be taken when the tickets come.
            HoldMode::RequestOnly => step.count + step.count.div_ceil(EXTRA_MEMBERS_DIVISOR),
            HoldMode::HasTickets | HoldMode::UntilTickets => step.count,
        };
        let Some(candidates) = choose_places(candidates, step.size, members) else {
            return false;
        };
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
            for victim in candidate.moved {
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

    /// Asks for tickets, unless the step is asking already; tells whether they
    /// may come.
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

    fn preempt_run(&mut self, target: TargetId, victim: &Victim, key: &StepKey, now: Duration) {
        if let Some(state) = self.step_state_mut(&victim.task.step) {
            state.tasks[victim.task.index as usize].moves += 1;
        }
        self.stop_run(target, &victim.task, victim.run, StopCause::Moved(key.job.clone()), now);
    }

    /// Starts a gang whose room has been made, or keeps the room for it.
    pub(crate) fn place_reserved(&mut self, key: &StepKey, round: &mut Round, now: Duration) {
        let Some(reservation) = self.reservations.get(key).cloned() else {
            return;
        };
        let spec = self.jobs.get(&key.job).map(|job| Arc::clone(&job.spec));
        let Some(spec) = spec.filter(|spec| self.is_reservation_valid(key, spec, &reservation, now)) else {
            self.reservations.remove(key);
            return;
        };
        let step = &spec.steps[usize::from(key.step)];
        let advice = self.config.policy(&spec.queue, &spec.policy).advice;
        let has_tickets = self.has_tickets(key, &reservation.places, advice, now);
        let has_room = reservation
            .places
            .iter()
            .all(|(id, members)| (step.size * *members).fits(&round.free(*id)));
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

    /// Tells whether the room that was made for a gang is still of use.
    fn is_reservation_valid(
        &self,
        key: &StepKey,
        spec: &Spec,
        reservation: &Reservation,
        now: Duration,
    ) -> bool {
        let is_waiting = self
            .step_state(key)
            .is_some_and(|state| state.waiting.len() == state.tasks.len() && !state.has_runs());
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

    fn has_ticket(&self, key: &StepKey, id: TargetId, now: Duration) -> bool {
        let usable_until = now + self.settings.ticket_margin;
        let permission = self.step_state(key).and_then(|state| state.permissions.get(id));
        permission.is_some_and(|permission| permission.has_ticket(usable_until))
    }

    pub(crate) fn priority(&self, key: &StepKey) -> u32 {
        let job = self.jobs.get(&key.job);
        job.map_or(u32::MAX, |job| self.config.policy(&job.spec.queue, &job.spec.policy).priority)
    }

    /// Gets the room of a target, with what may be moved for steps of a priority.
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
                preempt_priority
                    .is_some_and(|priority| self.can_preempt(task, run, priority, &mut round.preemptible))
            })
            .map(|(task, run)| Victim { task: task.clone(), run: run.number, size: run.size })
            .collect();
        victims.sort_by_key(|victim| victim.size.cpu_milli);
        let rack = &self.targets[slot.target.0 as usize].info.rack;
        Candidate {
            target: slot.target,
            is_far: near.is_some_and(|near| near != rack),
            free: round.free(slot.target),
            victims,
            max_more: slot.tasks_with_preemption,
            members: 0,
            moved: Vec::new(),
        }
    }

    /// Tells whether a run may be moved for steps of a priority.
    fn can_preempt(&self, task: &TaskKey, run: &Run, priority: u32, preemptible: &mut Preemptible) -> bool {
        if run.phase != Phase::Running || run.sharing != Sharing::Any {
            return false;
        }
        if run
            .progress
            .is_some_and(|(percent, _)| percent >= self.settings.preemption.max_done_percent)
        {
            return false;
        }
        let below =
            *preemptible.yield_priorities.entry(task.step.clone()).or_insert_with(|| self.preemptible_below(&task.step));
        below.is_some_and(|below| priority < below)
            && self.step_state(&task.step).is_some_and(|state| {
                let task = &state.tasks[task.index as usize];
                task.moves < self.settings.preemption.moves_per_task
                    && matches!(task.state, TaskState::Assigned { run: current, .. } if current == run.number)
            })
    }

    /// Gets the priority below which others may have a step's runs moved.
    fn preemptible_below(&self, key: &StepKey) -> Option<u32> {
        let job = self.jobs.get(&key.job).filter(|job| !job.state.is_final())?;
        let step = job.spec.steps.get(usize::from(key.step))?;
        if !step.checkpoints || step.gang || step.long_running || step.copies {
            return None;
        }
        self.yields_below(key, self.last_round_unix_ms)
    }

    /// Gets what the runs that may be moved for steps of a priority take of each
    /// target.
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
                preemptible_runs.fold(Resources::ZERO, |sum, (_, run)| sum + run.size)
            });
            let rooms = rooms.collect();
            preemptible.rooms_by_priority.insert(priority, rooms);
        }
        &preemptible.rooms_by_priority[&priority]
    }
}

impl Preemptible {
    /// Gets what was found, unless it is old.
    pub(crate) fn refreshed(self, target_count: usize, now: Duration) -> Self {
        /// Time in which runs make much progress.
        const MAX_AGE: Duration = Duration::from_millis(100);
        let is_old = now.saturating_sub(self.found_at) > MAX_AGE || self.target_count != target_count;
        if is_old { Self { found_at: now, target_count, ..Self::default() } } else { self }
    }

    /// Takes note that a run of a target is being moved.
    fn remove(&mut self, id: TargetId, size: Resources) {
        for rooms in self.rooms_by_priority.values_mut() {
            rooms[id.0 as usize] -= size;
        }
    }
}

/// Chooses where the members of a gang go: near their data and one another where
/// that matters, with the fewest cores moved; nothing if there isn't room for
/// all.
fn choose_places(mut candidates: Vec<Candidate>, size: Resources, members: u32) -> Option<Vec<Candidate>> {
    let mut next = BinaryHeap::new();
    for (index, candidate) in candidates.iter().enumerate() {
        if let Some((cost, chosen)) = candidate.next_member(size) {
            next.push(Reverse((cost, index, chosen)));
        }
    }
    for _ in 0..members {
        let Reverse((_, index, chosen)) = next.pop()?;
        let candidate = &mut candidates[index];
        candidate.take_member(size, chosen);
        if let Some((cost, chosen)) = candidate.next_member(size) {
            next.push(Reverse((cost, index, chosen)));
        }
    }
    candidates.retain(|candidate| candidate.members > 0);
    Some(candidates)
}
