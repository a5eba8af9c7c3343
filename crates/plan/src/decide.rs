//! Rounds of decisions.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    ops::Range,
    sync::Arc,
    time::Duration,
};

use base::{Name, Resources};
use work::{Advice, JobState, Spec, Step, StepKey, TaskKey};

use crate::{
    action::{Action, Start, Stop, StopCause},
    job::Origin,
    permission::Permission,
    planner::Planner,
    preempt::Movable,
    step::{StepState, TaskState},
    target::{Phase, Run, Sharing, Target, TargetId},
};

/// A `Round` is what one round of decisions keeps for steps that come first in
/// its order.
#[derive(Debug)]
pub(crate) struct Round {
    /// The targets that get work, by pool, in their order.
    open: HashMap<Name, Vec<TargetId>>,
    /// What of each target counts for most steps, by target.
    rooms: Vec<Room>,
    /// What may run of each team though it isn't known where.
    unknown: HashMap<Name, Resources>,
    /// Short requests for advice that have to wait.
    pub(crate) short_asks_waiting: u32,
    pub(crate) movable: Movable,
}

/// A `Room` is what of a target counts for most steps; small, as each round
/// looks at it for each step and target.
#[derive(Clone, Copy, Debug)]
struct Room {
    /// What is neither promised nor kept.
    free: Resources,
    capacity: Resources,
    /// Whether the target gets one task at most, as a probe.
    is_probed: bool,
}

impl Room {
    fn of(target: &Target) -> Self {
        Self {
            free: target.free(),
            capacity: target.facts.capacity,
            is_probed: target.health.is_suspected(),
        }
    }
}

impl Round {
    /// Gets what of a target is neither promised nor kept.
    pub(crate) fn free(&self, id: TargetId) -> Resources {
        self.rooms[id.0 as usize].free
    }

    /// Takes room of a target.
    pub(crate) fn take_room(&mut self, id: TargetId, size: Resources) {
        self.rooms[id.0 as usize].free -= size;
    }

    /// Keeps room for as many tasks of a step that can't start yet.
    pub(crate) fn keep_tasks<'a>(
        &mut self,
        slots: impl Iterator<Item = &'a Slot>,
        step: &Step,
        wanted: u32,
    ) {
        let mut left = wanted;
        for slot in slots {
            let tasks = slot.tasks.min(left);
            if tasks > 0 {
                self.take_room(slot.target, step.size * tasks);
                left -= tasks;
            }
        }
    }
}

/// A `Slot` is a target with the number of tasks of a step that it takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slot {
    pub(crate) target: TargetId,
    pub(crate) tasks: u32,
    /// How many it takes when it is empty; only gangs count them.
    pub(crate) whole: u32,
    /// How many it would take if all runs were moved that may be; only gangs
    /// count them.
    pub(crate) reach: u32,
    /// What is free beside one of them.
    left: Resources,
    capacity: Resources,
    /// When its ticket for the step ends, if it is known to be allowed.
    ticket_until: Option<Duration>,
}

impl Slot {
    /// Tells whether the target is known to be allowed.
    pub(crate) fn is_allowed(&self) -> bool {
        self.ticket_until.is_some()
    }

    /// Tells whether there is a ticket that lasts longer than up to a time.
    pub(crate) fn has_ticket(&self, up_to: Duration) -> bool {
        self.ticket_until.is_some_and(|until| up_to < until)
    }

    /// Gets what is free beside one task, as the smallest fraction, in
    /// millionths.
    pub(crate) fn free_ppm(&self) -> u64 {
        self.left.least_ppm(&self.capacity)
    }
}

impl Planner {
    /// Places what can be placed. `unix_ms` is the time of day.
    pub fn decide(&mut self, now: Duration, unix_ms: u64) {
        self.decided_unix_ms = unix_ms;
        self.decided_at = now;
        self.end_lapsed_runs(now);
        self.clear_ended_jobs(now);
        self.repeat_stops(now);
        self.begin_due(unix_ms, now);
        if !std::mem::take(&mut self.is_changed) {
            return;
        }
        let (contact_timeout, idle) = (self.settings.contact_timeout, self.idle_contact_timeout);
        let mut open: HashMap<Name, Vec<TargetId>> = HashMap::new();
        for (id, target) in (0..).map(TargetId).zip(&self.targets) {
            if target.is_open(now, contact_timeout, idle) {
                open.entry(target.facts.service.clone()).or_default().push(id);
            }
        }
        let mut round = Round {
            open,
            rooms: self.targets.iter().map(Room::of).collect(),
            unknown: HashMap::new(),
            short_asks_waiting: 0,
            movable: std::mem::take(&mut self.movable).renewed(self.targets.len(), now),
        };
        if !self.is_recovered(now) {
            round.unknown = self.unknown_runs();
        }
        let reserved: Vec<StepKey> = self.reservations.keys().cloned().collect();
        for key in reserved {
            self.place_reserved(&key, &mut round, now);
        }
        for key in self.ordered_steps(unix_ms) {
            self.place_step(&key, &mut round, now);
        }
        self.movable = round.movable;
    }

    /// Has inherited jobs that had ended be kept no longer, once it is known that
    /// nothing runs of them.
    fn clear_ended_jobs(&mut self, now: Duration) {
        if self.is_cleared || !self.is_recovered(now) {
            return;
        }
        self.is_cleared = true;
        let ended = self.jobs.iter().filter(|(_, job)| job.state.is_final() && job.runs == 0);
        let kept = ended.filter(|(_, job)| !job.spec.steps.is_empty());
        let kept: Vec<Name> = kept.map(|(id, _)| id.clone()).collect();
        for id in kept {
            self.note_unrecorded(&id, now);
        }
    }

    /// Has the next round look at all steps again, for what changes with time
    /// alone.
    pub fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    fn begin_due(&mut self, unix_ms: u64, now: Duration) {
        while let Some((at, id)) = self.due.first().cloned() {
            if at > unix_ms {
                return;
            }
            self.due.pop_first();
            self.begin_next(&id, now);
        }
    }

    /// Begins the next occurrence of a job.
    pub(crate) fn begin_next(&mut self, id: &Name, now: Duration) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let occurrence = job.next;
        self.due.remove(&(job.spec.due_unix_ms(occurrence), id.clone()));
        job.begin(occurrence, &[]);
        job.next += 1;
        if job.next < job.spec.occurrences() {
            self.due.insert((job.spec.due_unix_ms(job.next), id.clone()));
        }
        self.open_steps(id, occurrence, now);
    }

    /// Opens the steps of an occurrence whose earlier steps are done. An
    /// occurrence of which all is done is forgotten.
    pub(crate) fn open_steps(&mut self, id: &Name, occurrence: u32, now: Duration) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = Arc::clone(&job.spec);
        let Some(states) = job.occurrences.get_mut(&occurrence) else {
            return;
        };
        let done: Vec<bool> = states.iter().map(|state| state.is_done()).collect();
        let mut opened = Vec::new();
        for (number, (state, step)) in (0..).zip(states.iter_mut().zip(&spec.steps)) {
            let may_open = step.after.iter().all(|before| done[usize::from(*before)]);
            if may_open && !state.is_open {
                state.is_open = true;
                opened.push(StepKey { job: id.clone(), occurrence, step: number });
            }
        }
        if done.iter().all(|done| *done) {
            job.occurrences.remove(&occurrence);
        }
        for key in opened {
            self.queue_step(&key);
        }
        if self.jobs.get(id).is_some_and(|job| !job.state.is_final() && job.is_done()) {
            self.end_job(id, JobState::Complete, now);
        }
    }

    /// Notes that something of a job has started.
    pub(crate) fn note_started(&mut self, id: &Name) {
        if self.jobs.get(id).is_some_and(|job| job.state == JobState::Queued) {
            self.set_state(id, JobState::Active);
        }
    }

    /// Sends stops again that have had no effect.
    fn repeat_stops(&mut self, now: Duration) {
        let again = self.settings.stop_retry_interval;
        for target in &mut self.targets {
            for (task, run) in &mut target.runs {
                if let Phase::Stopping(at) = run.phase
                    && now.saturating_sub(at) >= again
                {
                    run.phase = Phase::Stopping(now);
                    self.actions.push(Action::Stop(Stop {
                        target: target.facts.id.clone(),
                        task: task.clone(),
                        run: run.number,
                        cause: StopCause::Repeated,
                    }));
                }
            }
        }
    }

    fn place_step(&mut self, key: &StepKey, round: &mut Round, now: Duration) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        if job.origin == Origin::Inherited && !self.is_recovered(now) {
            return;
        }
        if self.reservations.contains_key(key) {
            return;
        }
        let spec = Arc::clone(&job.spec);
        let step = &spec.steps[usize::from(key.step)];
        let Some(state) = self.step_state(key) else {
            return;
        };
        let waiting = state.waiting.len() as u32;
        if waiting == 0 {
            // Its tasks were adopted.
            return self.unqueue_step(key);
        }
        if step.gang && state.has_runs() {
            // What is left of an earlier gang has to end first.
            return self.stop_members(key, now);
        }
        let usable_until = now + self.settings.ticket_margin;
        if step.gang && state.asked.is_some() && !state.permissions.has_ticket(usable_until) {
            // It can only wait for its tickets.
            return;
        }
        let allowed = self.team_allows(&spec.team, step.size, round).min(waiting);
        let wanted = if step.gang { step.count } else { allowed };
        if wanted == 0 || allowed < wanted {
            return;
        }
        let policy = self.config.policy(&spec.queue, &spec.policy);
        let (service, advice) = (policy.service.clone(), policy.advice);
        let mut slots = self.slots(key, step, &service, advice, round);
        if self.reserve_room(key, step, &slots, advice, round, now) {
            return;
        }
        if advice.is_some() {
            self.ask_for_step(key, &spec, &slots, wanted, round, now);
            slots.retain(|slot| slot.has_ticket(usable_until));
        }
        let chosen = choose(step, slots, wanted, self);
        if step.gang && (chosen.len() as u32) < wanted {
            return;
        }
        for target in chosen {
            round.take_room(target, step.size);
            self.start_next(key, &spec, target, now);
        }
        if self.step_state(key).is_some_and(|state| state.waiting.is_empty()) {
            self.unqueue_step(key);
        }
    }

    /// Gets how many tasks of a size a team may start.
    pub(crate) fn team_allows(&self, team: &Name, size: Resources, round: &Round) -> u32 {
        let Some(left) = self.team_left(team) else {
            return u32::MAX;
        };
        let unknown = round.unknown.get(team).copied().unwrap_or_default();
        (left - unknown).times(&size)
    }

    /// Gets what a team may start beside what it has running; `None` without a
    /// limit.
    pub(crate) fn team_left(&self, team: &Name) -> Option<Resources> {
        let most = self.config.teams.get(team)?.limit;
        (most != Resources::MAX).then(|| most - self.used.used(team))
    }

    /// Gets what may run of each team on targets that haven't answered yet: at
    /// most all tasks of inherited jobs that wait.
    fn unknown_runs(&self) -> HashMap<Name, Resources> {
        let mut unknown: HashMap<Name, Resources> = HashMap::new();
        for key in &self.ready {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            if job.origin == Origin::Inherited
                && let Some(state) = self.step_state(key)
            {
                let size = job.spec.steps[usize::from(key.step)].size;
                *unknown.entry(job.spec.team.clone()).or_default() +=
                    size * state.waiting.len() as u32;
            }
        }
        unknown
    }

    /// Gets the targets that suit a step, with or without room, if it isn't
    /// known that they are not allowed to run it. In a large cell the first
    /// ones with room are enough, so that a decision costs the same however many
    /// targets there are; what runs then keeps to the same targets.
    fn slots(
        &self,
        key: &StepKey,
        step: &Step,
        service: &Name,
        advice: Option<Advice>,
        round: &mut Round,
    ) -> Vec<Slot> {
        let has_place = step.label.is_some() || step.data_rack.is_some() || step.same_rack;
        let most = if has_place { usize::MAX } else { self.settings.max_slots_per_step };
        let Some(state) = self.step_state(key) else {
            return Vec::new();
        };
        let movable = if self.may_make_room(key, step) {
            self.movable_rooms(self.priority(key), &mut round.movable)
        } else {
            &[]
        };
        let mut permissions = state.permissions.walk();
        let open = round.open.get(service).map_or(&[][..], Vec::as_slice);
        let mut slots = Vec::with_capacity(open.len());
        let mut with_room = 0;
        let full = self.full_targets(key, step, state, advice, open.len());
        for (position, &id) in open.iter().enumerate() {
            let room = &round.rooms[id.0 as usize];
            // Gangs also ask about targets without room.
            let is_passed_over = !step.gang && !step.size.fits(&room.free);
            if is_passed_over && !full.contains(&position) {
                continue;
            }
            let ticket_until = match permissions.next(id) {
                Some(Permission::Refused) => continue,
                Some(Permission::Allowed { until, .. }) => Some(*until),
                None if with_room >= most => continue,
                None => None,
            };
            let movable = movable.get(id.0 as usize).copied().unwrap_or_default();
            if let Some(slot) = self.slot(id, step, state, room, movable) {
                let slot = Slot { ticket_until, ..slot };
                with_room += usize::from(slot.tasks > 0);
                slots.push(slot);
            }
        }
        slots
    }

    /// Gets which of the open targets a step asks about without room, by
    /// position: each step others, so that all have somebody who waits for them.
    fn full_targets(
        &self,
        key: &StepKey,
        step: &Step,
        state: &StepState,
        advice: Option<Advice>,
        open: usize,
    ) -> Range<usize> {
        let usable_until = self.decided_at + self.settings.ticket_margin;
        let has_tickets = state.asked.is_some() || state.permissions.has_ticket(usable_until);
        let is_scarce = advice.is_none_or(|advice| self.is_advice_scarce(advice, self.decided_at));
        if step.gang || has_tickets || is_scarce {
            return 0..0;
        }
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        let first = hasher.finish() as usize
            % open.saturating_sub(self.settings.max_full_targets_per_step).max(1);
        first..first + self.settings.max_full_targets_per_step
    }

    /// Gets how many tasks of a step a target of its pool takes, if it suits the
    /// step.
    fn slot(
        &self,
        id: TargetId,
        step: &Step,
        state: &StepState,
        room: &Room,
        movable: Resources,
    ) -> Option<Slot> {
        let Room { free, capacity, is_probed } = *room;
        let target = || &self.targets[id.0 as usize];
        let suits = step.size.fits(&capacity)
            && step.label.as_ref().is_none_or(|label| target().facts.labels.contains(label));
        if !suits {
            return None;
        }
        let shares = Sharing::of(step) == Sharing::Any || target().may_share_with(step);
        let has_room = step.size.fits(&free) && shares;
        let mut tasks = if has_room { free.times(&step.size) } else { 0 };
        let mut whole = if step.gang { capacity.times(&step.size) } else { 0 };
        let with_moves = free + movable;
        let may_reach = step.gang && shares && step.size.fits(&with_moves);
        let mut reach = if may_reach { with_moves.times(&step.size) } else { 0 };
        if let Some(most) = step.max_per_target {
            tasks = tasks.min(most.saturating_sub(state.count_on(id)));
            whole = whole.min(most);
            reach = reach.min(most);
        }
        if is_probed {
            tasks = tasks.min(1);
            reach = reach.min(1);
        }
        let left = free - step.size;
        Some(Slot { target: id, tasks, whole, reach, left, capacity, ticket_until: None })
    }

    /// Starts the next waiting task of a step on a target.
    pub(crate) fn start_next(
        &mut self,
        key: &StepKey,
        spec: &Arc<Spec>,
        target: TargetId,
        now: Duration,
    ) {
        let step = &spec.steps[usize::from(key.step)];
        let first_run = match self.jobs.get(&key.job).map(|job| job.origin) {
            Some(Origin::Inherited) => self.first_run,
            Some(Origin::Own) | None => 0,
        };
        let Some(state) = self.step_state_mut(key) else {
            return;
        };
        let Some(index) = state.waiting.pop_first() else {
            return;
        };
        // The members of a gang have the same number. Those that start later in
        // the round find the number that the first one has taken.
        let last = if step.gang {
            let taken = state.tasks.iter().filter_map(|task| match task.state {
                TaskState::Assigned { run, .. } => Some(run - 1),
                TaskState::Waiting | TaskState::Done => None,
            });
            let highest = state.tasks.iter().map(|task| task.run).max().unwrap_or(0);
            taken.min().unwrap_or(highest)
        } else {
            state.tasks[index as usize].run
        };
        let run = last.max(first_run) + 1;
        let ticket = match state.permissions.get(target) {
            Some(Permission::Allowed { ticket, .. }) => Some(ticket.clone()),
            Some(Permission::Refused) | None => None,
        };
        let task = &mut state.tasks[index as usize];
        task.run = run;
        task.state = TaskState::Assigned { target, run };
        let checkpoint = task.checkpoint.clone();
        let task = TaskKey { step: key.clone(), index };
        let account = &mut self.targets[target.0 as usize];
        if account.health.is_suspected() {
            account.health.start_probe(now);
        }
        let entry = Run::new(run, step, Phase::Starting);
        self.count_run(target, &task, &spec.team, entry, now);
        let target = self.targets[target.0 as usize].facts.id.clone();
        self.note_started(&key.job);
        let payload = spec.payload.clone();
        self.actions.push(Action::Start(Start { target, task, run, payload, checkpoint, ticket }));
    }
}

/// Chooses a target for each of `wanted` tasks, as far as there is room: near
/// the data, few racks where that matters, and the fullest targets first, so
/// that large gaps stay whole.
fn choose(step: &Step, mut slots: Vec<Slot>, wanted: u32, board: &Planner) -> Vec<TargetId> {
    let rack_of = |slot: &Slot| &board.targets[slot.target.0 as usize].facts.rack;
    if step.same_rack
        && let Some(rack) = widest_rack(&slots, |slot| slot.tasks, board)
    {
        slots.sort_by_cached_key(|slot| (*rack_of(slot) != rack, slot.free_ppm()));
    } else {
        let is_far =
            |slot: &Slot| step.data_rack.as_ref().is_some_and(|rack| rack_of(slot) != rack);
        slots.sort_by_cached_key(|slot| (is_far(slot), slot.free_ppm()));
    }
    let each = slots.iter().flat_map(|slot| (0..slot.tasks).map(|_| slot.target));
    each.take(wanted as usize).collect()
}

/// Counts the tasks that targets take, by one of their counts.
pub(crate) fn sum_tasks<'a>(
    slots: impl IntoIterator<Item = &'a Slot>,
    count: impl Fn(&Slot) -> u32,
) -> u32 {
    slots.into_iter().map(count).fold(0, u32::saturating_add)
}

/// Gets the rack whose targets take the most tasks.
pub(crate) fn widest_rack<'a>(
    slots: impl IntoIterator<Item = &'a Slot>,
    count: impl Fn(&Slot) -> u32,
    board: &Planner,
) -> Option<Name> {
    let mut tasks: HashMap<&Name, u32> = HashMap::new();
    for slot in slots {
        let rack = &board.targets[slot.target.0 as usize].facts.rack;
        *tasks.entry(rack).or_default() += count(slot);
    }
    tasks.into_iter().max_by_key(|(rack, tasks)| (*tasks, *rack)).map(|(rack, _)| rack.clone())
}
