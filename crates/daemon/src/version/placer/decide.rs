//! Rounds of placement decisions.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
};

use base::{Name, Resources, emit};
use place::{Choice, Constraints, Policy, Refusals, Request, State};
use quota::JobKind;
use schema::Urgency;

use crate::{
    process::Decisions,
    version::placer::{
        job::{Assigned, Phase},
        page::Then,
        state::Placer,
    },
};

/// Placements in one round; commands are handled between rounds.
const PLACEMENTS_PER_ROUND: u32 = 4096;

/// Urgencies that are decided together, the first ones first.
const PHASES: [&[Urgency]; 2] = [&[Urgency::Urgent], &[Urgency::Normal, Urgency::Batch]];

/// Waiting jobs of one team and urgency that are looked at in one round.
const JOBS_PER_TEAM: usize = 256;

/// Jobs for which room is made in one round.
const ROOMS_PER_ROUND: u32 = 8;

/// A `Blocked` is why a job's next tasks were not placed.
enum Blocked {
    /// No worker takes them.
    NoWorker(Refusals),
    /// The team's limit is reached.
    Limit,
    /// They are to wait.
    Held,
}

/// A `Round` is what is known within one round of decisions.
#[derive(Default)]
struct Round {
    /// Requests that no worker takes; equal tasks are refused together.
    refused: HashMap<(Request, u32), Refusals>,
    caps: HashMap<Name, Resources>,
    placements: u32,
    /// Jobs for which room was made.
    rooms: u32,
}

impl Placer {
    /// Places what can be placed, if anything has changed since the last
    /// round. Urgent work goes first. All other work is ordered by the teams'
    /// shares, and by urgency only within a team: a team whose work can wait
    /// has a right to its share all the same.
    pub(crate) fn decide(&mut self) {
        if !std::mem::take(&mut self.replan) {
            return;
        }
        self.short.clear();
        let mut round = Round::default();
        if self.ctx.settings.decisions == Decisions::Baseline {
            self.decide_in_order(&mut round);
            return;
        }
        for urgencies in PHASES {
            self.decide_phase(urgencies, &mut round);
            if round.placements >= PLACEMENTS_PER_ROUND {
                self.replan = true;
                return;
            }
        }
    }

    /// Places jobs in the order of their arrival, whoever sent them; the
    /// baseline of the measurements.
    fn decide_in_order(&mut self, round: &mut Round) {
        let mut jobs: Vec<(u64, Name)> =
            self.queue.values().flat_map(HashMap::values).flatten().cloned().collect();
        jobs.sort();
        for (_, job) in jobs {
            while self.place_next(&job, round).is_ok() {
                if self.jobs.get(&job).is_none_or(|job| job.pending.is_empty()) {
                    self.dequeue(&job);
                }
            }
        }
    }

    fn decide_phase(&mut self, urgencies: &[Urgency], round: &mut Round) {
        let whole = self.cell.totals().capacity;
        let active = self.ctx.configs.current();
        let share = |team: &Name| active.config.teams.get(team).map_or(1, |rights| rights.share);
        let mut waiting: HashMap<Name, VecDeque<Name>> = HashMap::new();
        for teams in urgencies.iter().filter_map(|urgency| self.queue.get(urgency)) {
            for (team, jobs) in teams {
                let jobs = jobs.iter().take(JOBS_PER_TEAM).map(|(_, id)| id.clone());
                waiting.entry(team.clone()).or_default().extend(jobs);
            }
        }
        let rank =
            |placer: &Self, team: &Name| placer.order.weighted_share_ppm(team, share(team), &whole);
        let mut turns: BinaryHeap<_> =
            waiting.keys().map(|team| Reverse((rank(self, team), team.clone()))).collect();
        while let Some(Reverse((_, team))) = turns.pop() {
            if round.placements >= PLACEMENTS_PER_ROUND {
                return;
            }
            let Some(jobs) = waiting.get_mut(&team) else {
                continue;
            };
            let Some(job) = jobs.front().cloned() else {
                continue;
            };
            match self.place_next(&job, round) {
                Ok(()) => {
                    if self.jobs.get(&job).is_none_or(|job| job.pending.is_empty()) {
                        jobs.pop_front();
                        self.dequeue(&job);
                    }
                }
                Err(blocked) => {
                    jobs.pop_front();
                    self.note_waiting(&job, &blocked);
                    if let Blocked::NoWorker(_) = blocked
                        && round.rooms < ROOMS_PER_ROUND
                        && self.may_make_room(&job)
                    {
                        round.rooms += 1;
                        if !self.make_room(&job) {
                            self.reserve_for_gang(&job);
                        }
                    }
                }
            }
            turns.push(Reverse((rank(self, &team), team)));
        }
    }

    /// Places the next task of a job, or all tasks of one whose tasks start
    /// together.
    fn place_next(&mut self, id: &Name, round: &mut Round) -> Result<(), Blocked> {
        let now = self.ctx.timer.now();
        let Some(job) = self.jobs.get(id).filter(|job| job.is_placeable(now)) else {
            return Err(Blocked::Held);
        };
        let count = if job.spec.kind == JobKind::Gang { job.pending.len() as u32 } else { 1 };
        let request = job.spec.request.clone();
        let team = job.team.clone();
        let policy = match self.ctx.settings.decisions {
            Decisions::Shares => self.ctx.configs.current().config.policy(job.spec.kind),
            Decisions::Baseline => Policy::FirstFit,
        };
        let mut bounds = self.bounds_of(id);
        let waiting = request.size * job.pending.len() as u32;
        self.check_cap(&team, request.size * count, waiting, round)?;

        let key = (request, count);
        // What a job's own bounds refuse says nothing about other jobs.
        let is_common = bounds.max_per_rack.is_none()
            && bounds.avoid.is_empty()
            && !self.reservations.contains_key(id);
        if is_common && let Some(refusals) = round.refused.get(&key) {
            return Err(Blocked::NoWorker(*refusals));
        }
        let (request, _) = &key;
        // The job's own reserved workers are open to it alone.
        self.set_reserved(id, State::Ready);
        let chosen = self.choose(request, policy, &mut bounds, count);
        self.set_reserved(id, State::Reserved);
        match chosen {
            Ok(choices) => {
                for choice in &choices {
                    self.use_room(id, choice.worker);
                }
                round.placements += choices.len() as u32;
                self.take_choices(id, &choices);
                Ok(())
            }
            Err(refusals) => {
                if is_common {
                    round.refused.insert(key, refusals);
                }
                // A job that every worker fails is the job's own fault: its
                // tasks may go anywhere again.
                if let Some(job) = self.jobs.get_mut(id) {
                    job.avoid.clear();
                }
                Err(Blocked::NoWorker(refusals))
            }
        }
    }

    fn choose(
        &mut self,
        request: &Request,
        policy: Policy,
        bounds: &mut Constraints,
        count: u32,
    ) -> Result<Vec<Choice>, Refusals> {
        if count == 1 {
            return self.cell.place(request, policy, bounds).map(|choice| vec![choice]);
        }
        self.cell.place_all(request, policy, bounds, count)
    }

    /// Gives the job's next tasks the chosen workers. The starts are sent once
    /// they are recorded.
    fn take_choices(&mut self, id: &Name, choices: &[Choice]) {
        for choice in choices {
            let Some(job) = self.jobs.get(id) else {
                return;
            };
            let Some(&index) = job.pending.first() else {
                return;
            };
            let worker = self.cell.worker(choice.worker).name.clone();
            let boot = self.workers.get(&worker).map_or(0, |held| held.boot);
            emit!(self.ctx.log, info, TaskPlaced; "job" => %id, "task" => index,
                "attempt" => job.tasks[index as usize].attempt, "team" => %job.team,
                "worker" => %worker, "size" => %job.spec.request.size,
                "candidates" => choice.candidates, "free_ppm" => choice.free_ppm);
            let (start, page) = (job.start(index), job.page);
            let assigned =
                Assigned { worker: worker.clone(), boot, phase: Phase::Recording, evicted: false };
            self.count(id, index, assigned);
            // A suspected worker gets one task as a probe.
            if self.workers.get(&worker).is_some_and(|held| held.health.is_suspected()) {
                self.cell.set_state(choice.worker, State::Suspect);
            }
            self.pages[page].after_write(Then::Start(worker, start));
            self.ctx.counters.placements.inc();
        }
    }

    /// Checks the team's part of its upper limit.
    fn check_cap(
        &mut self,
        team: &Name,
        size: Resources,
        waiting: Resources,
        round: &mut Round,
    ) -> Result<(), Blocked> {
        let cap = match round.caps.get(team) {
            Some(cap) => *cap,
            None => {
                let cap = self.cap(team);
                round.caps.insert(team.clone(), cap);
                cap
            }
        };
        if (self.order.used(team) + size).fits(&cap) {
            return Ok(());
        }
        *self.short.entry(team.clone()).or_default() += waiting;
        Err(Blocked::Limit)
    }

    /// Gets what bounds a job's next tasks: how many each rack holds, if that
    /// matters, and the workers that failed to start others.
    fn bounds_of(&self, id: &Name) -> Constraints {
        let mut bounds = Constraints::default();
        let Some(job) = self.jobs.get(id) else {
            return bounds;
        };
        bounds.avoid = job.avoid.iter().filter_map(|name| self.cell.find(name)).collect();
        bounds.max_per_rack = job.spec.most_per_rack;
        if bounds.max_per_rack.is_some() {
            for index in 0..job.spec.tasks {
                let worker = job.assigned(index).and_then(|a| self.cell.find(&a.worker));
                if let Some(worker) = worker {
                    bounds.add(&self.cell.worker(worker).rack.clone());
                }
            }
        }
        bounds
    }

    /// Keeps why a job waits and logs it when it changes.
    fn note_waiting(&mut self, id: &Name, blocked: &Blocked) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let why = match blocked {
            Blocked::NoWorker(refusals) => format!("no worker: {refusals}"),
            Blocked::Limit => "the team's upper limit is reached".to_owned(),
            Blocked::Held => "held back after a failure".to_owned(),
        };
        if job.waiting != why {
            emit!(self.ctx.log, info, TaskWaiting; "job" => %id, "team" => %job.team,
                "tasks" => job.pending.len(), "why" => &why);
            job.waiting = why;
        }
    }
}
