//! Rounds of decisions, which place waiting tasks on targets.

use std::{
    collections::{HashMap, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
    ops::Range,
    sync::Arc,
    time::Duration,
};

use base::{Name, Resources};
use work::{Advice, Spec, Step, StepKey, TaskKey};

use crate::{
    action::{Action, Start, Stop, StopCause},
    cold::Spared,
    job::Origin,
    permission::Permission,
    planner::Planner,
    probe::{Probe, Soundness},
    round::{Headroom, ProbeTime, Round},
    search::{self, FullShapes},
    sharing::{Exposure, Harm},
    slot::{Slot, choose_targets, limit_probes},
    step::{StepState, TaskState},
    target::{Availability, Phase, Run, Sharing, Target, TargetId},
};

impl Planner {
    /// Runs one round of decisions. `unix_ms` is the wall clock time in
    /// milliseconds since 1970.
    pub fn decide(&mut self, now: Duration, unix_ms: u64) {
        self.last_round_unix_ms = unix_ms;
        self.last_round_at = now;
        self.end_lapsed_runs(now);
        self.drop_expired_targets(now);
        self.clear_ended_jobs(now);
        self.resend_stops(now);
        self.protect_goals(now);
        self.begin_due_occurrences(unix_ms, now);
        if !self.is_list_current(now)
            || !self.are_evacuations_current(now)
            || !std::mem::take(&mut self.is_changed)
        {
            return;
        }
        self.mark_slow_targets(now);
        let yields = self.settings.interference.is_enabled;
        let headroom = |target| Headroom::of(target, yields, now);
        let mut headrooms: Vec<Headroom> = self.targets.iter().map(headroom).collect();
        let open_targets = self.open_targets(&mut headrooms, now);
        let mut round = Round {
            open_targets,
            headrooms,
            is_probing: false,
            unverified_usage: HashMap::new(),
            full_shapes: FullShapes::default(),
            deferred_short_requests: 0,
            preemptible: std::mem::take(&mut self.preemptible).refreshed(self.targets.len(), now),
            spared: Spared::default(),
        };
        if !self.is_recovered() {
            round.unverified_usage = self.unverified_usage();
        }
        let reserved: Vec<StepKey> = self.reservations.keys().cloned().collect();
        for key in reserved {
            self.place_reserved(&key, &mut round, now);
        }
        self.place_waiting(unix_ms, &mut round, now);
        self.preemptible = round.preemptible;
    }

    /// Marks the targets that are slower than others of their pool. If half of a
    /// pool seems slow, the tasks are, and none of it is marked.
    fn mark_slow_targets(&mut self, now: Duration) {
        let mut pools: HashMap<Name, (usize, usize)> = HashMap::new();
        for target in &mut self.targets {
            target.is_slow = target.speed.is_slow(now);
            if target.info.availability == Availability::Ready {
                let (slow, all) = pools.entry(target.info.service.clone()).or_default();
                *slow += usize::from(target.is_slow);
                *all += 1;
            }
        }
        for target in &mut self.targets {
            let pool = pools.get(&target.info.service);
            target.is_slow &= pool.is_some_and(|(slow, all)| slow * 2 < *all);
        }
    }

    /// Returns the targets that may get work, by pool. A suspected target gets a
    /// probe when its back-off ends, or at once if all targets of its pool are
    /// suspected and it is idle: work that waits then has no other chance. Early
    /// probes are marked in `headrooms`.
    fn open_targets(
        &self,
        headrooms: &mut [Headroom],
        now: Duration,
    ) -> HashMap<Name, Vec<TargetId>> {
        let (contact_timeout, idle_timeout) =
            (self.settings.contact_timeout, self.idle_contact_timeout);
        let open: Vec<(TargetId, &Target)> = (0..)
            .map(TargetId)
            .zip(&self.targets)
            .filter(|(_, target)| target.is_open(now, contact_timeout, idle_timeout))
            // Runs may be preempted on a full target.
            .filter(|(_, target)| !target.is_closed || self.is_settled(target, now))
            .collect();
        let sound_pools: HashSet<&Name> = open
            .iter()
            .filter(|(_, target)| !target.health.is_suspected())
            .map(|(_, target)| &target.info.service)
            .collect();
        let mut open_targets: HashMap<Name, Vec<TargetId>> = HashMap::new();
        for (id, target) in open {
            let service = &target.info.service;
            let gets_work = !target.health.is_suspected()
                || target.health.is_probe_due(now)
                || !sound_pools.contains(service) && target.runs.is_empty();
            let probe = match target.health.is_suspected() {
                true if target.health.is_probe_due(now) => Some(ProbeTime::Due),
                true if gets_work => Some(ProbeTime::LastResort),
                true if target.health.is_early_probe_due(now) => Some(ProbeTime::Early),
                true | false => None,
            };
            headrooms[id.0 as usize].probe = probe;
            if gets_work || probe.is_some() {
                open_targets.entry(service.clone()).or_default().push(id);
            }
        }
        open_targets
    }

    /// Makes the next call of `decide` run a round, for changes that come with
    /// time alone.
    pub fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    /// Sends stop orders again that have had no effect in time.
    fn resend_stops(&mut self, now: Duration) {
        let retry_interval = self.settings.stop_retry_interval;
        for target in &mut self.targets {
            for (task, run) in &mut target.runs {
                if let Phase::Stopping(at) = run.phase
                    && now.saturating_sub(at) >= retry_interval
                {
                    run.phase = Phase::Stopping(now);
                    self.actions.push(Action::Stop(Stop {
                        target: target.info.id.clone(),
                        task: task.clone(),
                        run: run.number,
                        cause: StopCause::Repeated,
                    }));
                }
            }
        }
    }

    /// Places up to `wanted` tasks of a step on targets that suit it.
    pub(crate) fn place_step(
        &mut self,
        key: &StepKey,
        wanted: u32,
        round: &mut Round,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let spec = Arc::clone(&job.spec);
        let step = &spec.steps[usize::from(key.step)];
        let valid_at = now + self.settings.ticket_margin;
        let policy = self.config.policy(&spec.queue, &spec.policy);
        let (service, advice) = (policy.service.clone(), policy.advice);
        let mut slots = self.slots(key, step, &service, advice, round);
        if step.gang {
            limit_probes(step, &mut slots);
        }
        if slots.iter().any(|slot| !slot.is_reserved && slot.tasks > 0) {
            slots.retain(|slot| !slot.is_reserved);
        }
        // Steps with a limit per target and tasks that have failed leave out targets with
        // room.
        let sees_all_room = search::needs_only_room(step, policy)
            && step.max_per_target.is_none()
            && !round.is_probing
            && !self.step_state(key).is_some_and(|state| Soundness::of(state).has_failed());
        if slots.is_empty() && sees_all_room {
            round.full_shapes.insert(&service, step);
        }
        if self.reserve_room(key, step, &slots, advice, round, now) {
            return;
        }
        let has_room = slots.iter().any(|slot| slot.tasks > 0);
        if advice.is_some() {
            self.request_step_advice(key, &spec, &slots, wanted, round, now);
            slots.retain(|slot| slot.has_ticket(valid_at));
        }
        if !step.gang && !round.is_probing {
            self.note_room(key, has_room, now);
            if self.is_starved(key, now) {
                self.relieve(key, &spec, wanted, round, now);
            }
        }
        self.spare_cold(key, &mut slots, round);
        let preference = self.speed_preference(key, self.last_round_unix_ms);
        let is_suspect = self.step_state(key).is_some_and(StepState::has_waiting_suspects);
        let mut chosen = choose_targets(step, slots, preference, is_suspect, wanted, self);
        self.retain_tried_target(key, step, &mut chosen);
        if step.gang && (chosen.len() as u32) < wanted {
            return;
        }
        for &target in &chosen {
            round.allocate_task(target, step, self.settings.interference.is_enabled);
            self.start_next_task(key, &spec, target, now);
        }
        for target in chosen {
            if round.headrooms[target.0 as usize].probe.is_some() {
                // One probe in a round is enough.
                round.allocate(target, Resources::MAX);
            }
        }
        if self.step_state(key).is_some_and(|state| state.waiting.is_empty()) {
            self.unqueue_step(key);
        }
    }

    /// Returns the number of tasks of this size that a team may start.
    pub(crate) fn allowed_tasks(&self, team: &Name, size: Resources, round: &Round) -> u32 {
        let Some(left) = self.team_headroom(team) else {
            return u32::MAX;
        };
        let unknown = round.unverified_usage.get(team).copied().unwrap_or_default();
        (left - unknown).max_count(&size)
    }

    /// Returns the resources that a team may take in addition to its runs, or
    /// `None` if the team has no limit.
    pub(crate) fn team_headroom(&self, team: &Name) -> Option<Resources> {
        let limit = self.config.teams.get(team)?.limit;
        (limit != Resources::MAX).then(|| limit - self.team_usage.used(team))
    }

    /// Returns the targets that suit a step and are not known to be refused,
    /// with or without room. Unless the step depends on racks or labels, only
    /// the first targets with room are examined in a large cell, so that the
    /// cost of a decision does not depend on the number of targets. Work then
    /// concentrates on these targets.
    fn slots(
        &self,
        key: &StepKey,
        step: &Step,
        service: &Name,
        advice: Option<Advice>,
        round: &mut Round,
    ) -> Vec<Slot> {
        let has_place = step.label.is_some() || step.data_rack.is_some() || step.same_rack;
        let max_with_room = if has_place { usize::MAX } else { self.settings.max_slots_per_step };
        let Some(state) = self.step_state(key) else {
            return Vec::new();
        };
        let preemptible = match self.preemption_priority(key, step) {
            Some(priority) => self.preemptible_room(priority, &mut round.preemptible),
            None => &[],
        };
        let mut permissions = state.permissions.cursor();
        let open = round.open_targets.get(service).map_or(&[][..], Vec::as_slice);
        let mut slots = Vec::with_capacity(open.len());
        let mut with_room = 0;
        let full = self.full_targets(key, step, state, advice, open.len());
        let exposure = self.exposure(key, step);
        let (soundness, is_plain) = (Soundness::of(state), !step.gang && advice.is_none());
        let headrooms = &round.headrooms;
        let mut early = round.is_probing.then(|| self.probe_filter(key, open, headrooms)).flatten();
        for (position, &id) in open.iter().enumerate() {
            let room = &round.headrooms[id.0 as usize];
            let target = &self.targets[id.0 as usize];
            let is_taken = match (room.probe, &mut early) {
                (None, _) => true,
                (Some(ProbeTime::Due), None) if is_plain => !soundness.has_failed(),
                (Some(_), None) if is_plain => false,
                (Some(ProbeTime::Early), None) if !step.gang => false,
                (Some(ProbeTime::Due), Some(early)) if !early.is_last_attempt() => {
                    room.takes_faulty || soundness != Soundness::Faulty
                }
                (Some(_), None) => room.takes_faulty || soundness != Soundness::Faulty,
                (Some(_), Some(early)) => early.takes(target, self.last_round_at),
            };
            if !is_taken {
                continue;
            }
            // Gangs also request advice on targets without room.
            let is_skipped = !step.gang && !step.size.fits(&room.free_for(step));
            if is_skipped && !full.contains(&position) {
                continue;
            }
            let ticket_expires_at = match permissions.next(id) {
                Some(Permission::Refused) => continue,
                Some(Permission::Allowed { expires_at, .. }) => Some(*expires_at),
                None if with_room >= max_with_room => continue,
                None => None,
            };
            let preemptible = preemptible.get(id.0 as usize).copied().unwrap_or_default();
            if let Some(slot) = self.slot(id, step, state, room, preemptible, exposure) {
                let is_reserved = !step.gang && self.has_lone_suspect(id, &key.job);
                let has_failed = early.as_ref().is_some_and(|early| early.has_failed_on(id));
                let slot = Slot { ticket_expires_at, is_reserved, has_failed, ..slot };
                with_room += usize::from(slot.tasks > 0);
                slots.push(slot);
            }
        }
        slots
    }

    /// Returns the range of open targets, by position, that a step requests
    /// advice on although they have no room. The range differs between steps,
    /// so that some step has a ticket for each target.
    fn full_targets(
        &self,
        key: &StepKey,
        step: &Step,
        state: &StepState,
        advice: Option<Advice>,
        open: usize,
    ) -> Range<usize> {
        let valid_at = self.last_round_at + self.settings.ticket_margin;
        let has_tickets = state.requested.is_some() || state.permissions.has_ticket(valid_at);
        let is_scarce =
            advice.is_none_or(|advice| self.is_advice_scarce(advice, self.last_round_at));
        if step.gang || has_tickets || is_scarce {
            return 0..0;
        }
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        let first = hasher.finish() as usize
            % open.saturating_sub(self.settings.max_full_targets_per_step).max(1);
        first..first + self.settings.max_full_targets_per_step
    }

    /// Returns how many tasks of a step a target of its pool can take, or
    /// `None` if the target does not suit the step.
    fn slot(
        &self,
        id: TargetId,
        step: &Step,
        state: &StepState,
        room: &Headroom,
        preemptible: Resources,
        exposure: Option<Exposure>,
    ) -> Option<Slot> {
        let Headroom { capacity, is_probed, probe, speed_class, .. } = *room;
        let free = room.free_for(step);
        let target = || &self.targets[id.0 as usize];
        let suits = step.size.fits(&capacity)
            && step.label.as_ref().is_none_or(|label| target().info.labels.contains(label));
        if !suits {
            return None;
        }
        let is_mixed = Sharing::of(step) != Sharing::Any && !target().can_share_with(step);
        let shares = !is_mixed || self.settings.interference.is_enabled;
        let has_room = step.size.fits(&free) && shares && !target().is_closed;
        let mut tasks = if has_room { free.max_count(&step.size) } else { 0 };
        let mut tasks_when_empty = if step.gang { capacity.max_count(&step.size) } else { 0 };
        let with_preemption = free + preemptible;
        let may_preempt = step.gang && shares && step.size.fits(&with_preemption);
        let mut tasks_with_preemption =
            if may_preempt { with_preemption.max_count(&step.size) } else { 0 };
        if let Some(max) = step.max_per_target {
            tasks = tasks.min(max.saturating_sub(state.count_on(id)));
            tasks_when_empty = tasks_when_empty.min(max);
            tasks_with_preemption = tasks_with_preemption.min(max);
        }
        if is_probed {
            if !step.gang {
                tasks = tasks.min(1);
            }
            tasks_with_preemption = tasks_with_preemption.min(1);
        }
        let remaining = free - step.size;
        Some(Slot {
            target: id,
            tasks,
            tasks_when_empty,
            tasks_with_preemption,
            remaining,
            capacity,
            speed_class,
            harm: exposure.map_or(Harm::default(), |exposure| self.harm(id, exposure)),
            probe,
            has_failed: false,
            is_reserved: false,
            ticket_expires_at: None,
        })
    }

    /// Starts the next waiting task of a step on a target.
    pub(crate) fn start_next_task(
        &mut self,
        key: &StepKey,
        spec: &Arc<Spec>,
        target: TargetId,
        now: Duration,
    ) {
        let step = &spec.steps[usize::from(key.step)];
        let run_number_base = match self.jobs.get(&key.job).map(|job| job.origin) {
            Some(Origin::Inherited) => self.run_number_base,
            Some(Origin::Own) | None => 0,
        };
        let Some(index) = self.first_startable(key) else {
            return;
        };
        let Some(state) = self.step_state_mut(key) else {
            return;
        };
        state.waiting.remove(&index);
        if state.waiting.is_empty() {
            state.no_room_since = None;
        }
        // All members of a gang have the same run number. Members that start
        // later in the round use the number of the first one.
        let last = if step.gang {
            let taken = state.tasks.iter().filter_map(|task| match task.state {
                TaskState::Assigned { run, .. } => Some(run - 1),
                TaskState::Waiting | TaskState::Done => None,
            });
            let highest = state.tasks.iter().map(|task| task.last_run).max().unwrap_or(0);
            taken.min().unwrap_or(highest)
        } else {
            state.tasks[index as usize].last_run
        };
        let run = last.max(run_number_base) + 1;
        let ticket = match state.permissions.get(target) {
            Some(Permission::Allowed { ticket, .. }) => Some(ticket.clone()),
            Some(Permission::Refused) | None => None,
        };
        let soundness = Soundness::of_task(&state.tasks[index as usize], state.done_count);
        let task = &mut state.tasks[index as usize];
        task.last_run = run;
        task.state = TaskState::Assigned { target, run };
        let checkpoint = task.checkpoint.clone();
        let is_suspect = task.is_suspect;
        let task = TaskKey { step: key.clone(), index };
        let target_state = &mut self.targets[target.0 as usize];
        if target_state.health.is_suspected() {
            target_state.health.start_probe(now);
            target_state.probed_by = (soundness != Soundness::Sound).then(|| spec.team.clone());
            let probe = target_state.info.id.clone();
            self.probes.push(Probe { target: probe, job: key.job.clone(), soundness });
        }
        let target_state = &mut self.targets[target.0 as usize];
        let is_far = step.data_rack.as_ref().is_some_and(|rack| *rack != target_state.info.rack);
        // Other runs take longer or shorter for reasons beside the target.
        let is_comparable = !step.gang
            && !step.same_rack
            && !is_far
            && checkpoint.is_none()
            && !target_state.is_cold(now)
            && step.estimate_ms > 0;
        let entry = Run {
            started_at: is_comparable.then_some(now),
            is_suspect,
            ..Run::new(run, step, Phase::Starting)
        };
        self.charge_run(target, &task, &spec.team, entry, now);
        let target = self.targets[target.0 as usize].info.id.clone();
        let payload = spec.payload.clone();
        self.actions.push(Action::Start(Start { target, task, run, payload, checkpoint, ticket }));
    }
}
