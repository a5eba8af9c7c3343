//! Discrete-event simulation of a day on the placer's decisions.
//!
//! A [`Simulation`] drives a real [`Planner`] through a day in virtual time. Jobs
//! arrive as described by a [`Workload`], targets carry out the placer's
//! actions, and each instance answers requests for advice one at a time. No
//! network or real clock is involved, so that a day takes seconds and a seed
//! always reproduces the same day. The results for callers are in the
//! [`Report`]s.

mod report;
mod target;
mod workload;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use base::{Name, Resources};
use plan::{
    Action, AdviceRequest, Batch, ListedRun, Listing, Planner, RunEnd, Settings, Start,
    StartAnswer, Stop, TargetInfo,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use work::{Config, End, JobState, Queue, Service, Spec, StepKey, TaskKey, Team};

use self::target::{Run, Target};
pub use self::{
    report::{Outcome, Report},
    workload::{Burst, RequestKind, TeamBurst, TeamLoad, Workload},
};

/// Round-trip time of a request to a target, across regions.
const TARGET_LATENCY: Duration = Duration::from_millis(45);

/// Round-trip time of a request for advice to an instance, without the
/// instance's processing time.
const ADVICE_LATENCY: Duration = Duration::from_millis(45);

/// Time from the arrival of a stop request at a target until the run has saved
/// its checkpoint and ended.
const STOP_LATENCY: Duration = Duration::from_millis(400);

/// Time until a batch of progress records has been written.
const RECORD_LATENCY: Duration = Duration::from_millis(60);

/// Interval between rounds of decisions.
const ROUND_INTERVAL: Duration = Duration::from_millis(25);

/// Interval between listings of a target on which no run ends.
const LISTING_INTERVAL: Duration = Duration::from_millis(1000);

/// Interval at which clients learn which queues refuse jobs.
const REFUSAL_INTERVAL: Duration = Duration::from_millis(700);

/// Time from the last arrival to the end of the day, for jobs to finish; the
/// `finish_s` of the users' sheets.
const FINISH_GRACE: Duration = Duration::from_secs(14);

/// Time without a run for which an unfinished job still counts as running at
/// the end of the day, from the users' rule on lost jobs. A job has no run
/// between two steps, while advice for the next step is requested.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after the first submission within which a client retries a refused
/// job, from the users' sheets.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Submissions of a job, the first included, from the users' sheets.
const MAX_TRIES: u32 = 5;

/// Wall-clock time at virtual time zero, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_000_000_000;

/// Handling of jobs that are submitted to a queue that refuses them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The jobs are accepted nevertheless.
    AcceptAll,
    /// The jobs are refused.
    EnforceRefusals,
}

/// Simulation of one day.
pub struct Simulation {
    workload: Workload,
    admission: Admission,
    planner: Planner,
    /// Draws arrivals and shapes of jobs; separate from the other generators, so
    /// that arrivals don't depend on decisions.
    arrivals: StdRng,
    /// Draws the team of a job and whether its tasks save checkpoints.
    traits: StdRng,
    /// Draws which runs fail, and when.
    failures: StdRng,
    now: Duration,
    targets: BTreeMap<Name, Target>,
    /// Time at which each instance has answered all its requests for advice.
    advice_free_at: Vec<Duration>,
    /// Future events by time; the sequence number orders events at one time.
    events: BTreeMap<(Duration, u64), Event>,
    last_event: u64,
    jobs: Vec<Job>,
    /// Retry delay of each queue that refuses jobs, as clients know it.
    refusals: HashMap<Name, Duration>,
    /// Hash of all actions of the planner with their times.
    trace: DefaultHasher,
}

struct Job {
    kind: usize,
    team: usize,
    shape: workload::Shape,
    first_sent_at: Duration,
    tries: u32,
    /// Time at which the job's latest run ended.
    ended_at: Option<Duration>,
    outcome: Outcome,
}

enum Event {
    Arrival(usize),
    Submission(usize),
    Advised { step: StepKey, targets: Vec<Name>, allowed: Vec<(Name, Name)> },
    Started(Start),
    Ended { target: Name, task: TaskKey, run: u32, end: End },
    Listing(Name),
    Recorded(Batch),
    RefusalUpdate,
}

impl Simulation {
    /// Creates a simulation with default settings; equal seeds give equal days.
    pub fn new(workload: Workload, admission: Admission, seed: u64) -> Self {
        Self::with_settings(workload, admission, Settings::default(), seed)
    }

    /// Creates a simulation of a placer with the given settings.
    pub fn with_settings(
        workload: Workload,
        admission: Admission,
        settings: Settings,
        seed: u64,
    ) -> Self {
        let now = Duration::from_secs(1);
        let names = (0..workload.targets).map(|number| Name::from(format!("target-{number}")));
        let names: Vec<Name> = names.collect();
        let mut planner = Planner::new(settings, 1, HashSet::new(), now);
        let queue = |kind: &RequestKind| Queue {
            name: Name::from(kind.name),
            policy: kind.policy.clone(),
            ..Queue::default()
        };
        let team = |team: &TeamLoad| {
            let rights = Team { weight: team.weight, limit: Resources::MAX };
            (Name::from(team.name), rights)
        };
        planner.configure(Arc::new(Config {
            version: 1,
            queues: workload.kinds.iter().map(queue).collect(),
            services: [(Name::from("pool"), Service::default())].into(),
            teams: workload.teams.iter().map(team).collect(),
            ..Config::default()
        }));
        let info = |id: &Name| TargetInfo {
            id: id.clone(),
            service: Name::from("pool"),
            capacity: workload.capacity,
            ..TargetInfo::default()
        };
        planner.set_targets(names.iter().map(info).collect(), Duration::ZERO);
        planner.set_instances(workload.instances, now);
        let factors = workload.time_factors.iter().copied().cycle();
        let targets = factors.map(Target::new);
        let mut simulation = Self {
            advice_free_at: vec![now; workload.instances],
            targets: names.iter().cloned().zip(targets).collect(),
            workload,
            admission,
            planner,
            arrivals: StdRng::seed_from_u64(seed),
            traits: StdRng::seed_from_u64(seed),
            failures: StdRng::seed_from_u64(seed),
            now,
            events: BTreeMap::new(),
            last_event: 0,
            jobs: Vec::new(),
            refusals: HashMap::new(),
            trace: DefaultHasher::new(),
        };
        for name in names {
            simulation.schedule(Duration::ZERO, Event::Listing(name));
        }
        for kind in 0..simulation.workload.kinds.len() {
            simulation.schedule(Duration::ZERO, Event::Arrival(kind));
        }
        simulation.schedule(REFUSAL_INTERVAL, Event::RefusalUpdate);
        simulation
    }

    /// Runs the whole day. Returns a report for each kind of request, in the
    /// order of the workload's kinds.
    pub fn run(self) -> Vec<Report> {
        self.run_traced().0
    }

    /// Runs the whole day. Also returns a hash of all actions of the planner, by
    /// which decisions can be compared.
    pub fn run_traced(mut self) -> (Vec<Report>, u64) {
        let end = self.now + self.workload.duration + FINISH_GRACE;
        while self.now < end {
            let round = self.now + ROUND_INTERVAL;
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= round
            {
                self.now = self.now.max(entry.key().0);
                let event = entry.remove();
                self.handle(event);
            }
            self.now = round;
            self.planner.mark_changed();
            self.planner.decide(self.now, self.unix_ms());
            for action in self.planner.take_actions() {
                (self.now, format!("{action:?}")).hash(&mut self.trace);
                self.execute(action);
            }
            while let Some(batch) = self.planner.take_batch(self.now) {
                self.schedule(RECORD_LATENCY, Event::Recorded(batch));
            }
            self.apply_state_changes();
        }
        self.flush_records();
        let trace = self.trace.finish();
        (self.reports(), trace)
    }

    /// Completes all pending records without delay, so that jobs whose runs
    /// ended before the end of the day count as ended.
    fn flush_records(&mut self) {
        for event in std::mem::take(&mut self.events).into_values() {
            if let Event::Recorded(batch) = event {
                self.planner.batch_recorded(batch);
            }
        }
        while let Some(batch) = self.planner.take_batch(self.now) {
            self.planner.batch_recorded(batch);
        }
        self.apply_state_changes();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(kind) => self.add_arrival(kind),
            Event::Submission(job) => self.submit(job),
            Event::Advised { step, targets, allowed } => {
                let advice =
                    self.workload.kinds[self.jobs[job_number(&step.job)].kind].policy.advice;
                let valid_ms = advice.map_or(0, |advice| advice.valid_ms);
                let until = self.now + Duration::from_millis(u64::from(valid_ms));
                self.planner.advice_answered(&step, &targets, Some(allowed), until);
            }
            Event::Started(start) => self.start(start),
            Event::Ended { target, task, run, end } => self.end(&target, &task, run, end),
            Event::Listing(target) => {
                self.list(&target);
                self.schedule(LISTING_INTERVAL, Event::Listing(target));
            }
            Event::Recorded(batch) => self.planner.batch_recorded(batch),
            Event::RefusalUpdate => {
                let refusals = self.planner.overloads(self.now).into_iter();
                self.refusals =
                    refusals.map(|refusal| (refusal.queue, refusal.retry_after)).collect();
                self.schedule(REFUSAL_INTERVAL, Event::RefusalUpdate);
            }
        }
    }

    fn add_arrival(&mut self, kind: usize) {
        let elapsed = self.now.saturating_sub(Duration::from_secs(1));
        if elapsed >= self.workload.duration {
            return;
        }
        let is_on = |burst: &&Burst| {
            burst.kind == kind && (burst.start..burst.start + burst.duration).contains(&elapsed)
        };
        let factor: f64 =
            self.workload.bursts.iter().filter(is_on).map(|burst| burst.factor).product();
        let shares = self.workload.team_shares(elapsed);
        let factor = factor * shares.iter().sum::<f64>();
        let rate = self.workload.kinds[kind].jobs_per_s * factor;
        let gap = -self.arrivals.random_range(f64::EPSILON..1.0).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival(kind));
        let Workload { targets, capacity, .. } = self.workload;
        let saves = self.traits.random_bool(self.workload.kinds[kind].checkpoint_ratio);
        let shape = self.workload.kinds[kind].shape(targets, capacity, saves, &mut self.arrivals);
        let team = pick(&shares, &mut self.traits);
        let outcome = Outcome::Refused;
        self.jobs.push(Job {
            kind,
            team,
            shape,
            first_sent_at: self.now,
            tries: 0,
            ended_at: None,
            outcome,
        });
        self.submit(self.jobs.len() - 1);
    }

    /// Submits a job as a client does. A refused job is submitted again after the
    /// queue's retry delay, within [`CLIENT_TIMEOUT`] and [`MAX_TRIES`].
    fn submit(&mut self, number: usize) {
        let unix_ms = self.unix_ms();
        let job = &mut self.jobs[number];
        let kind = &self.workload.kinds[job.kind];
        job.tries += 1;
        let refusal =
            self.refusals.get(kind.name).filter(|_| self.admission == Admission::EnforceRefusals);
        if let Some(&after) = refusal {
            let is_retried =
                self.now + after < job.first_sent_at + CLIENT_TIMEOUT && job.tries < MAX_TRIES;
            if is_retried {
                self.schedule(after, Event::Submission(number));
            }
            return;
        }
        job.outcome = Outcome::Waiting;
        let spec = Spec {
            queue: Name::from(kind.name),
            policy: kind.policy.clone(),
            team: Name::from(self.workload.teams[job.team].name),
            accepted_unix_ms: unix_ms,
            steps: job.shape.steps.clone(),
            ..Spec::default()
        };
        self.planner.accept(&job_id(number), spec, self.now);
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Start(start) => self.schedule(TARGET_LATENCY / 2, Event::Started(start)),
            Action::Stop(Stop { target, task, run, .. }) => {
                let end = End::Stopped;
                self.schedule(
                    TARGET_LATENCY / 2 + STOP_LATENCY,
                    Event::Ended { target, task, run, end },
                );
            }
            // The workloads have no backfill.
            Action::Pace(_) => {}
            Action::RequestAdvice(request) => self.advise(request),
            Action::Poll(target) => self.schedule(TARGET_LATENCY, Event::Listing(target)),
        }
    }

    fn advise(&mut self, request: AdviceRequest) {
        let kind = &self.workload.kinds[self.jobs[job_number(&request.step.job)].kind];
        let milli = (kind.allowed_ratio * 1000.0) as u64;
        let is_allowed = |target: &&Name| {
            let mut hasher = DefaultHasher::new();
            (&request.step, target).hash(&mut hasher);
            hasher.finish() % 1000 < milli
        };
        let allowed = request.targets.iter().filter(is_allowed);
        let allowed = allowed.map(|target| (target.clone(), Name::from("ticket"))).collect();
        let free_at =
            self.advice_free_at.iter_mut().min().expect("a cell has at least one instance");
        *free_at = (*free_at).max(self.now) + Duration::from_micros(request.cost_us);
        let after = *free_at - self.now + ADVICE_LATENCY;
        self.schedule(
            after,
            Event::Advised { step: request.step, targets: request.targets, allowed },
        );
    }

    fn start(&mut self, start: Start) {
        let Start { target, task, run, checkpoint, .. } = start;
        let job = &self.jobs[job_number(&task.step.job)];
        let work = job.shape.work[usize::from(task.step.step)];
        let is_failing = self.failures.random_bool(self.workload.kinds[job.kind].failure_ratio);
        let time_factor = self.targets.get(&target).map_or(1.0, |target| target.time_factor);
        let started = Run::new(run, work, time_factor, checkpoint.as_ref(), self.now);
        let time = started.ends_at() - self.now;
        let (time, end) = if is_failing {
            (time.mul_f64(self.failures.random()), End::Failed)
        } else {
            (time, End::Done)
        };
        if let Some(target) = self.targets.get_mut(&target) {
            target.runs.insert(task.clone(), started);
        }
        self.planner.start_answered(&target, &task, run, &StartAnswer::Started, self.now);
        self.schedule(time, Event::Ended { target, task, run, end });
    }

    fn end(&mut self, target: &Name, task: &TaskKey, run: u32, end: End) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if state.runs.get(task).is_none_or(|known| known.number != run) {
            return;
        }
        let Some(ended) = state.runs.remove(task) else {
            return;
        };
        let job = &mut self.jobs[job_number(&task.step.job)];
        job.ended_at = Some(self.now);
        let step = &job.shape.steps[usize::from(task.step.step)];
        let done_ms = ended.done(self.now).as_millis();
        let checkpoint = (step.checkpoints && end == End::Stopped && done_ms > 0)
            .then(|| Name::from(done_ms.to_string()));
        state.last_end += 1;
        let number = state.last_end;
        state.ends.push(RunEnd { number, task: task.clone(), run, end, checkpoint });
        self.list(target);
    }

    /// Passes a listing of a target's runs and unrecorded ends to the planner.
    fn list(&mut self, target: &Name) {
        let recorded = self.planner.recorded_end(target);
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.ends.retain(|end| end.number > recorded.number);
        let percent = |run: &Run| {
            let part = run.done(self.now).div_duration_f64(run.work);
            (part * 100.0).min(99.0) as u32
        };
        let seen = |(task, run): (&TaskKey, &Run)| ListedRun {
            task: task.clone(),
            run: run.number,
            checkpoint: None,
            percent: percent(run),
            figure: None,
        };
        let running = state.runs.iter().map(seen).collect();
        let listing =
            Listing { born_unix_ms: 1, running, ended: state.ends.clone(), has_more_ends: false };
        self.planner.lease_granted(target, self.now);
        self.planner.apply_listing(target, self.now, &listing, self.now);
    }

    fn apply_state_changes(&mut self) {
        for (id, state) in self.planner.take_state_changes(self.now) {
            let job = &mut self.jobs[job_number(&id)];
            let kind = &self.workload.kinds[job.kind];
            let work: Duration = job.shape.work.iter().sum();
            let factor = f64::from(kind.policy.objective_factor_milli) / 1000.0;
            let margin = Duration::from_millis(u64::from(kind.policy.objective_ms));
            match state {
                JobState::Complete => {
                    let time = self.now - job.first_sent_at;
                    job.outcome = Outcome::Done { time, objective: work.mul_f64(factor) + margin };
                }
                JobState::Failed => job.outcome = Outcome::Failed,
                JobState::Queued | JobState::Active | JobState::Cancelled => {}
            }
        }
    }

    fn reports(mut self) -> Vec<Report> {
        for task in self.targets.values().flat_map(|target| target.runs.keys()) {
            self.jobs[job_number(&task.step.job)].ended_at = Some(self.now);
        }
        for job in self.jobs.iter_mut().filter(|job| job.outcome == Outcome::Waiting) {
            if job.ended_at.is_some_and(|ended| self.now.saturating_sub(ended) < IDLE_TIMEOUT) {
                job.outcome = Outcome::Running;
            }
        }
        let mut reports: Vec<Report> = self
            .workload
            .kinds
            .iter()
            .map(|kind| Report { kind: kind.name.to_owned(), ..Report::default() })
            .collect();
        for job in self.jobs {
            reports[job.kind].outcomes.push(job.outcome);
            reports[job.kind].teams.push(self.workload.teams[job.team].name);
        }
        reports
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.last_event += 1;
        self.events.insert((self.now + time, self.last_event), event);
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now.as_millis() as u64
    }
}

/// Draws a position, each with a probability proportional to its share.
fn pick(shares: &[f64], rng: &mut StdRng) -> usize {
    let mut left = rng.random::<f64>() * shares.iter().sum::<f64>();
    let is_picked = |share: &f64| {
        left -= share;
        left < 0.0
    };
    shares.iter().position(is_picked).unwrap_or(shares.len() - 1)
}

fn job_id(number: usize) -> Name {
    Name::from(number.to_string())
}

fn job_number(id: &str) -> usize {
    id.parse().expect("ids of simulated jobs are numbers")
}
