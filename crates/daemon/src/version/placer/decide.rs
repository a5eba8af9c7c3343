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
    process::DecisionMode,
    version::placer::{
        job::{Assignment, Phase},
        page::FollowUp,
        state::Placer,
    },
};

/// Maximum number of placements in one round; commands are handled between
/// rounds.
const MAX_PLACEMENTS_PER_ROUND: u32 = 4096;

/// Urgencies that compete for workers by share, the groups in order of
/// priority.
const URGENCY_GROUPS: [&[Urgency]; 2] = [&[Urgency::Urgent], &[Urgency::Normal, Urgency::Batch]];

/// Maximum number of waiting jobs of one team and urgency that one round
/// considers.
const MAX_JOBS_PER_TEAM: usize = 256;

/// Maximum number of jobs for which tasks are preempted in one round.
const MAX_PREEMPTING_JOBS_PER_ROUND: u32 = 8;

/// Reason why a job's next tasks were not placed.
enum Blocked {
    /// No worker can take the tasks.
    NoWorker(Refusals),
    /// The team's upper limit is reached.
    Limit,
    /// The job is backing off, cancelled, without pending tasks, or a gang
    /// whose earlier attempts have not all ended.
    NotPlaceable,
}

/// State of one round of decisions.
#[derive(Default)]
struct Round {
    /// Requests that no worker takes; equal requests later in the round are
    /// refused without another search.
    refusals: HashMap<(Request, u32), Refusals>,
    caps: HashMap<Name, Resources>,
    placements: u32,
    /// Jobs for which preemption was tried.
    preempting_jobs: u32,
}

impl Placer {
    /// Places waiting tasks, if anything has changed since the last round.
    /// Urgent work goes first. All other work is ordered by the teams' shares,
    /// and by urgency only within a team: a team whose work can wait has the
    /// same right to its share.
    pub(crate) fn decide(&mut self) {
        if !std::mem::take(&mut self.needs_replan) {
            return;
        }
        self.shortfall.clear();
        let mut round = Round::default();
        if self.ctx.settings.decisions == DecisionMode::Baseline {
            self.place_in_order(&mut round);
            return;
        }
        for urgencies in URGENCY_GROUPS {
            self.place_by_share(urgencies, &mut round);
            if round.placements >= MAX_PLACEMENTS_PER_ROUND {
                self.needs_replan = true;
                return;
            }
        }
    }

    /// Places jobs in order of arrival, regardless of team: the baseline
    /// scheduler for measurements.
    fn place_in_order(&mut self, round: &mut Round) {
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

    /// Places jobs of these urgencies, always the next one of the team with the
    /// lowest use relative to its share.
    fn place_by_share(&mut self, urgencies: &[Urgency], round: &mut Round) {
        let total = self.cell.totals().capacity;
        let active = self.ctx.configs.current();
        let share = |team: &Name| active.config.teams.get(team).map_or(1, |entry| entry.share);
        let mut waiting: HashMap<Name, VecDeque<Name>> = HashMap::new();
        for teams in urgencies.iter().filter_map(|urgency| self.queue.get(urgency)) {
            for (team, jobs) in teams {
                let jobs = jobs.iter().take(MAX_JOBS_PER_TEAM).map(|(_, id)| id.clone());
                waiting.entry(team.clone()).or_default().extend(jobs);
            }
        }
        let weighted_share_ppm =
            |placer: &Self, team: &Name| placer.usage.weighted_share_ppm(team, share(team), &total);
        let mut team_heap: BinaryHeap<_> = waiting
            .keys()
            .map(|team| Reverse((weighted_share_ppm(self, team), team.clone())))
            .collect();
        while let Some(Reverse((_, team))) = team_heap.pop() {
            if round.placements >= MAX_PLACEMENTS_PER_ROUND {
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
                    self.record_waiting_reason(&job, &blocked);
                    if let Blocked::NoWorker(_) = blocked
                        && round.preempting_jobs < MAX_PREEMPTING_JOBS_PER_ROUND
                        && self.can_preempt(&job)
                    {
                        round.preempting_jobs += 1;
                        if !self.preempt(&job) {
                            self.reserve_for_gang(&job);
                        }
                    }
                }
            }
            team_heap.push(Reverse((weighted_share_ppm(self, &team), team)));
        }
    }

    /// Places the next task of a job, or all pending tasks of a gang.
    fn place_next(&mut self, id: &Name, round: &mut Round) -> Result<(), Blocked> {
        let now = self.ctx.timer.now();
        let Some(job) = self.jobs.get(id).filter(|job| job.is_placeable(now)) else {
            return Err(Blocked::NotPlaceable);
        };
        let count = if job.spec.kind == JobKind::Gang { job.pending.len() as u32 } else { 1 };
        let request = job.spec.request.clone();
        let team = job.team.clone();
        let policy = match self.ctx.settings.decisions {
            DecisionMode::Shares => self.ctx.configs.current().config.policy(job.spec.kind),
            DecisionMode::Baseline => Policy::FirstFit,
        };
        let mut constraints = self.placement_constraints(id);
        let waiting = request.size * job.pending.len() as u32;
        self.check_cap(&team, request.size * count, waiting, round)?;

        let key = (request, count);
        // A refusal that is due to a job's own constraints doesn't hold for other
        // jobs.
        let is_cacheable = constraints.max_per_rack.is_none()
            && constraints.avoid.is_empty()
            && !self.reservations.contains_key(id);
        if is_cacheable && let Some(refusals) = round.refusals.get(&key) {
            return Err(Blocked::NoWorker(*refusals));
        }
        let (request, _) = &key;
        // Reserved workers are open to their own job only.
        self.set_reserved_state(id, State::Ready);
        let chosen = self.choose(request, policy, &mut constraints, count);
        self.set_reserved_state(id, State::Reserved);
        match chosen {
            Ok(choices) => {
                for choice in &choices {
                    self.use_reserved_worker(id, choice.worker);
                }
                round.placements += choices.len() as u32;
                self.assign_choices(id, &choices);
                Ok(())
            }
            Err(refusals) => {
                if is_cacheable {
                    round.refusals.insert(key, refusals);
                }
                // If every worker has failed to start the job's tasks, the
                // fault lies in the job: no worker is excluded any longer.
                if let Some(job) = self.jobs.get_mut(id) {
                    job.avoided_workers.clear();
                }
                Err(Blocked::NoWorker(refusals))
            }
        }
    }

    fn choose(
        &mut self,
        request: &Request,
        policy: Policy,
        constraints: &mut Constraints,
        count: u32,
    ) -> Result<Vec<Choice>, Refusals> {
        if count == 1 {
            return self.cell.place(request, policy, constraints).map(|choice| vec![choice]);
        }
        self.cell.place_all(request, policy, constraints, count)
    }

    /// Assigns the job's next tasks to the chosen workers. The starts are sent
    /// once they are recorded.
    fn assign_choices(&mut self, id: &Name, choices: &[Choice]) {
        for choice in choices {
            let Some(job) = self.jobs.get(id) else {
                return;
            };
            let Some(&index) = job.pending.first() else {
                return;
            };
            let worker = self.cell.worker(choice.worker).name.clone();
            let boot = self.workers.get(&worker).map_or(0, |entry| entry.boot);
            emit!(self.ctx.log, info, TaskPlaced; "job" => %id, "task" => index,
                "attempt" => job.tasks[index as usize].attempt, "team" => %job.team,
                "worker" => %worker, "size" => %job.spec.request.size,
                "candidates" => choice.candidates, "free_ppm" => choice.free_ppm);
            let (start, page) = (job.start_request(index), job.page);
            let assignment = Assignment {
                worker: worker.clone(),
                boot,
                phase: Phase::Recording,
                is_evicted: false,
            };
            self.assign(id, index, assignment);
            // A suspected worker gets one task as a probe.
            if self.workers.get(&worker).is_some_and(|entry| entry.health.is_suspected()) {
                self.cell.set_state(choice.worker, State::Suspect);
            }
            self.pages[page].after_write(FollowUp::Start(worker, start));
            self.ctx.counters.placements.inc();
        }
    }

    /// Checks that the team stays within its upper limit in this region.
    ///
    /// # Errors
    /// Fails with [`Blocked::Limit`] if the team would exceed the limit, and
    /// adds `waiting` to the team's shortfall.
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
        if (self.usage.used(team) + size).fits(&cap) {
            return Ok(());
        }
        *self.shortfall.entry(team.clone()).or_default() += waiting;
        Err(Blocked::Limit)
    }

    /// Returns the constraints on a job's next tasks: the tasks in each rack, if
    /// they are limited, and the workers that failed to start tasks of the job.
    fn placement_constraints(&self, id: &Name) -> Constraints {
        let mut constraints = Constraints::default();
        let Some(job) = self.jobs.get(id) else {
            return constraints;
        };
        constraints.avoid =
            job.avoided_workers.iter().filter_map(|name| self.cell.find(name)).collect();
        constraints.max_per_rack = job.spec.max_per_rack;
        if constraints.max_per_rack.is_some() {
            for index in 0..job.spec.tasks {
                let worker = job.assignment(index).and_then(|a| self.cell.find(&a.worker));
                if let Some(worker) = worker {
                    constraints.add(&self.cell.worker(worker).rack.clone());
                }
            }
        }
        constraints
    }

    /// Records why a job waits and logs changes of the reason.
    fn record_waiting_reason(&mut self, id: &Name, blocked: &Blocked) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let why = match blocked {
            Blocked::NoWorker(refusals) => format!("no worker: {refusals}"),
            Blocked::Limit => "the team's upper limit is reached".to_owned(),
            Blocked::NotPlaceable => "held back after a failure".to_owned(),
        };
        if job.waiting_reason != why {
            emit!(self.ctx.log, info, TaskWaiting; "job" => %id, "team" => %job.team,
                "tasks" => job.pending.len(), "why" => &why);
            job.waiting_reason = why;
        }
    }
}
