//! Simulation of a cell whose tasks slow each other down.
//!
//! A [`Day`] drives a real [`Planner`] in virtual time, without a network.
//! Services with a latency goal and backfill run for the whole day, beside jobs
//! with an objective. Backfill stretches the response times of the services on
//! its target, by its image, its pace, and a factor that changes every few
//! seconds. Orders take time, and some pace orders are lost.

mod day;

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use base::{Name, Resources};
use plan::{
    Action, Interference, ListedRun, Listing, Pace, PaceAnswer, Planner, RunEnd, Settings, Start,
    StartAnswer, TargetInfo,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use work::{Config, End, JobState, Policy, Queue, Service, Spec, Step, TaskKey, Team};

pub use self::day::{Day, Outcome};

const TICK: Duration = Duration::from_millis(25);

/// Number of ticks that a listed figure covers: half a second.
const FIGURE_TICKS: usize = 20;

/// Time of an order to a target and back.
const LATENCY: Duration = Duration::from_millis(50);

/// Time until an order without an answer is given up.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

const STOP_TIME: Duration = Duration::from_millis(400);

const LISTING_INTERVAL: Duration = Duration::from_millis(1000);

/// Time from its start until a task of a service or of backfill is at work.
const START_UP: Duration = Duration::from_millis(800);

/// Time for which the disturbance on a target keeps its strength.
const SWING_TIME: Duration = Duration::from_secs(4);

const GOAL_MS: u32 = 200;

/// Response time of an undisturbed service.
const BASE_MS: f64 = 90.0;

/// Added response time by one task of backfill at full pace, relative to the
/// undisturbed one, by image.
const EFFECTS: [f64; 6] = [0.0, 0.05, 0.1, 0.4, 0.9, 2.0];

struct Run {
    number: u32,
    started_at: Duration,
    /// Time of the work; `None` for a task that runs for the whole day.
    work: Option<Duration>,
    pace: u8,
    /// Last response times.
    times_ms: VecDeque<f64>,
    harmed_since: Option<Duration>,
}

#[derive(Default)]
struct Target {
    runs: BTreeMap<TaskKey, Run>,
    ends: Vec<RunEnd>,
    last_end: u64,
    is_lost: bool,
    swing: f64,
}

enum Event {
    Started(Start),
    Paced(Pace),
    PaceAnswered(Pace, PaceAnswer),
    Ended(Name, TaskKey, u32, End),
    Listing(Name, bool),
    Swing,
    Lost(Name),
    Service(u32),
    Job,
}

/// Simulation of a day.
struct Simulation {
    day: Day,
    rng: StdRng,
    now: Duration,
    planner: Planner,
    targets: BTreeMap<Name, Target>,
    specs: HashMap<Name, Spec>,
    events: BTreeMap<(Duration, u64), Event>,
    last_event: u64,
    last_job: u32,
    deadlines: HashMap<Name, Duration>,
    in_time: u32,
    outcome: Outcome,
}

impl Day {
    /// Plays the day; equal seeds give equal days.
    pub fn play(&self, seed: u64) -> Outcome {
        Simulation::new(self.clone(), seed).run()
    }
}

fn size(cpu_milli: u32) -> Resources {
    Resources { cpu_milli, memory_mib: 1024, accelerators: 0 }
}

/// Returns a step that runs for the whole day.
fn steady(cpu_milli: u32, image: String) -> Step {
    let image = Some(Name::from(image));
    Step { size: size(cpu_milli), long_running: true, image, ..Step::default() }
}

fn effect(image: &str) -> f64 {
    image
        .strip_prefix("fold-")
        .and_then(|number| number.parse::<usize>().ok())
        .map_or(0.0, |number| EFFECTS[number])
}

impl Simulation {
    fn new(day: Day, seed: u64) -> Self {
        let now = Duration::from_secs(1);
        let interference =
            Interference { is_enabled: day.is_controlled, ..Interference::default() };
        let settings = Settings { interference, ..Settings::default() };
        let mut planner = Planner::new(settings, 1, HashSet::new(), now);
        let policy = Policy { service: Name::from("pool"), max_attempts: 3, ..Policy::default() };
        planner.configure(Arc::new(Config {
            version: 1,
            queues: vec![Queue { name: Name::from("queue"), policy, ..Queue::default() }],
            services: [(Name::from("pool"), Service::default())].into(),
            teams: [(Name::from("team"), Team { weight: 1000, limit: Resources::MAX })].into(),
            ..Config::default()
        }));
        let names = (0..day.targets).map(|number| Name::from(format!("target-{number:03}")));
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            planner,
            targets: names.map(|name| (name, Target::default())).collect(),
            specs: HashMap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            last_job: 0,
            deadlines: HashMap::new(),
            in_time: 0,
            outcome: Outcome::default(),
            day,
        };
        simulation.list_targets();
        let names: Vec<Name> = simulation.targets.keys().cloned().collect();
        for name in &names {
            simulation.schedule(Duration::ZERO, Event::Listing(name.clone(), true));
        }
        // Spread over the second half of the first two thirds of the day.
        for number in 0..simulation.day.losses {
            let at = simulation.day.duration * (number + 1) / (2 * simulation.day.losses);
            let lost = &names[(number as usize * 5) % names.len()];
            simulation.schedule(at, Event::Lost(lost.clone()));
        }
        simulation.schedule(Duration::ZERO, Event::Swing);
        simulation.schedule(Duration::from_secs(2), Event::Job);
        for number in 0..simulation.day.services {
            let at = simulation.day.duration * number / (2 * simulation.day.services);
            simulation.schedule(at, Event::Service(number));
        }
        simulation.add_backfill();
        simulation
    }

    /// Submits a service.
    fn add_service(&mut self, number: u32) {
        let step = Step {
            count: 6,
            latency_goal_ms: Some(GOAL_MS),
            max_per_target: Some(1),
            ..steady(2000, "web".to_owned())
        };
        self.accept(format!("web-{number}"), step);
    }

    /// Submits all backfill, some tasks of each image.
    fn add_backfill(&mut self) {
        let images = EFFECTS.len() as u32;
        for (number, image) in (0..self.day.backfill).flat_map(|n| (0..images).map(move |i| (n, i)))
        {
            let count = 20 / images + u32::from(image < 20 % images);
            let step = steady(1500, format!("fold-{image}"));
            let step = Step { count, is_backfill: true, max_per_target: Some(1), ..step };
            self.accept(format!("fold-{number}-{image}"), step);
        }
    }

    fn accept(&mut self, id: String, step: Step) {
        let policy = Policy {
            service: Name::from("pool"),
            max_attempts: 3,
            objective_factor_milli: 2000,
            objective_ms: 2000,
            ..Policy::default()
        };
        let spec = Spec {
            queue: Name::from("queue"),
            team: Name::from("team"),
            policy,
            accepted_unix_ms: self.now.as_millis() as u64,
            steps: vec![step],
            ..Spec::default()
        };
        let id = Name::from(id);
        self.specs.insert(id.clone(), spec.clone());
        self.planner.accept(&id, spec, self.now);
    }

    fn list_targets(&mut self) {
        let listed = self.targets.iter().filter(|(_, target)| !target.is_lost);
        let infos = listed.map(|(id, _)| TargetInfo {
            id: id.clone(),
            service: Name::from("pool"),
            capacity: Resources { cpu_milli: 16_000, memory_mib: 65_536, accelerators: 0 },
            ..TargetInfo::default()
        });
        self.planner.set_targets(infos.collect(), self.now);
    }

    fn run(mut self) -> Outcome {
        let end = self.now + self.day.duration;
        let (mut service_ticks, mut backfill_ticks) = (0.0, 0.0);
        while self.now < end {
            self.now += TICK;
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now
            {
                let event = entry.remove();
                self.handle(event);
            }
            let (services, backfill) = self.judged_tasks();
            service_ticks += services;
            backfill_ticks += backfill;
            self.work();
            self.planner.mark_changed();
            self.planner.decide(self.now, self.now.as_millis() as u64);
            for action in self.planner.take_actions() {
                self.execute(action);
            }
            while let Some(batch) = self.planner.take_batch(self.now) {
                self.planner.batch_recorded(batch);
            }
            for (id, state) in self.planner.take_state_changes(self.now) {
                let deadline = self.deadlines.get(&id).copied();
                let is_in_time = deadline.is_some_and(|at| self.now <= at && at <= end);
                self.in_time += u32::from(state == JobState::Complete && is_in_time);
            }
        }
        // Jobs with an objective after the end can't be judged.
        let judged = self.deadlines.values().filter(|deadline| **deadline <= end).count();
        self.outcome.at_work /= service_ticks;
        self.outcome.over_goal /= service_ticks;
        self.outcome.backfill_work /= backfill_ticks;
        self.outcome.in_time = f64::from(self.in_time) / judged.max(1) as f64;
        self.outcome
    }

    /// Returns whether the tasks of a job have had the time to start.
    fn is_judged(&self, job: &Name) -> bool {
        const GRACE_MS: u64 = 3000;
        self.specs[job].accepted_unix_ms + GRACE_MS <= self.now.as_millis() as u64
    }

    /// Returns the number of tasks of services and of backfill that should be at
    /// work.
    fn judged_tasks(&self) -> (f64, f64) {
        let tasks = |prefix: &str| {
            let jobs = self.specs.iter().filter(|(id, _)| id.starts_with(prefix));
            let judged = jobs.filter(|(id, _)| self.is_judged(id));
            f64::from(judged.map(|(_, spec)| spec.steps[0].count).sum::<u32>())
        };
        (tasks("web-"), tasks("fold-"))
    }

    /// Lets all runs work for a tick.
    fn work(&mut self) {
        let judged: HashSet<Name> =
            self.specs.keys().filter(|id| self.is_judged(id)).cloned().collect();
        let weight_of = |task: &TaskKey| f64::from(u8::from(judged.contains(&task.step.job)));
        for target in self.targets.values_mut().filter(|target| !target.is_lost) {
            let (specs, now, swing) = (&self.specs, self.now, target.swing);
            let step = |task: &TaskKey| &specs[&task.step.job].steps[0];
            let is_up = |run: &Run| now.saturating_sub(run.started_at) >= START_UP;
            let mut disturbance = 0.0;
            let mut is_beside = false;
            for (task, run) in
                target.runs.iter().filter(|(task, run)| step(task).is_backfill && is_up(run))
            {
                let pace = f64::from(run.pace) / 100.0;
                is_beside |= run.pace > 0;
                disturbance += effect(step(task).image.as_deref().unwrap_or_default()) * pace;
                self.outcome.backfill_work += pace * weight_of(task);
            }
            for (task, run) in &mut target.runs {
                if step(task).latency_goal_ms.is_none() || !is_up(run) {
                    continue;
                }
                let time_ms = BASE_MS * (1.0 + disturbance * swing);
                run.times_ms.push_back(time_ms);
                if run.times_ms.len() > FIGURE_TICKS {
                    run.times_ms.pop_front();
                }
                let weight = weight_of(task);
                self.outcome.at_work += weight;
                let is_over = time_ms > f64::from(GOAL_MS);
                self.outcome.over_goal += weight * f64::from(u8::from(is_over));
                run.harmed_since = (is_over && is_beside).then(|| run.harmed_since.unwrap_or(now));
                if let Some(since) = run.harmed_since {
                    self.outcome.longest_harm = self.outcome.longest_harm.max(now - since + TICK);
                }
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Start(start) => self.schedule(LATENCY / 2, Event::Started(start)),
            Action::Stop(stop) => {
                let is_backfill = self.specs[&stop.task.step.job].steps[0].is_backfill;
                self.outcome.stops += u32::from(is_backfill);
                let end = Event::Ended(stop.target, stop.task, stop.run, End::Stopped);
                self.schedule(LATENCY / 2 + STOP_TIME, end);
            }
            Action::Pace(pace) => {
                self.outcome.paces += 1;
                if self.rng.random_bool(self.day.lost_orders) {
                    let answer = Event::PaceAnswered(pace, PaceAnswer::Unknown);
                    return self.schedule(ORDER_TIMEOUT, answer);
                }
                self.schedule(LATENCY / 2 + Duration::from_millis(100), Event::Paced(pace.clone()));
                self.schedule(LATENCY, Event::PaceAnswered(pace, PaceAnswer::Taken));
            }
            Action::Poll(target) => self.schedule(LATENCY, Event::Listing(target, false)),
            Action::RequestAdvice(_) => {}
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Started(start) => self.start(start),
            Event::Paced(pace) => {
                let target = self.targets.get_mut(&pace.target);
                let run = target.and_then(|target| target.runs.get_mut(&pace.task));
                if let Some(run) = run.filter(|run| run.number == pace.run) {
                    run.pace = pace.percent;
                }
            }
            Event::PaceAnswered(Pace { target, task, run, percent, .. }, answer) => {
                self.planner.pace_answered(&target, &task, run, percent, answer, self.now);
            }
            Event::Ended(target, task, run, end) => self.end(&target, &task, run, end),
            Event::Listing(target, repeats) => {
                self.list(&target);
                if repeats {
                    self.schedule(LISTING_INTERVAL, Event::Listing(target, true));
                }
            }
            Event::Swing => {
                for target in self.targets.values_mut() {
                    target.swing = self.rng.random_range(0.5..1.5);
                }
                self.schedule(SWING_TIME, Event::Swing);
            }
            Event::Lost(target) => {
                if let Some(state) = self.targets.get_mut(&target) {
                    state.is_lost = true;
                    state.runs.clear();
                }
                self.planner.mark_unreachable(&target);
                self.list_targets();
            }
            Event::Service(number) => self.add_service(number),
            Event::Job => self.add_job(),
        }
    }

    /// Adds a job with an objective.
    fn add_job(&mut self) {
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.day.jobs_per_s;
        self.schedule(Duration::from_secs_f64(gap), Event::Job);
        self.last_job += 1;
        let id = format!("job-{}", self.last_job);
        let estimate_ms = self.rng.random_range(800..3000);
        let step = Step {
            count: self.rng.random_range(8..24),
            size: size(4000),
            estimate_ms,
            ..Step::default()
        };
        let objective = Duration::from_millis(u64::from(estimate_ms) * 2 + 2000);
        self.deadlines.insert(Name::from(id.as_str()), self.now + objective);
        self.accept(id, step);
    }

    fn start(&mut self, start: Start) {
        let Start { target, task, run, .. } = start;
        let Some(state) = self.targets.get_mut(&target).filter(|state| !state.is_lost) else {
            return self.planner.start_answered(
                &target,
                &task,
                run,
                &StartAnswer::Unknown,
                self.now,
            );
        };
        let step = &self.specs[&task.step.job].steps[0];
        let work = (!step.long_running).then(|| Duration::from_millis(step.estimate_ms.into()));
        let started = Run {
            number: run,
            started_at: self.now,
            work,
            pace: 100,
            times_ms: VecDeque::new(),
            harmed_since: None,
        };
        state.runs.insert(task.clone(), started);
        self.planner.start_answered(&target, &task, run, &StartAnswer::Started, self.now);
        if let Some(work) = work {
            self.schedule(work, Event::Ended(target, task, run, End::Done));
        }
    }

    fn end(&mut self, target: &Name, task: &TaskKey, run: u32, end: End) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if state.runs.get(task).is_none_or(|known| known.number != run) {
            return;
        }
        state.runs.remove(task);
        state.last_end += 1;
        let (number, task) = (state.last_end, task.clone());
        state.ends.push(RunEnd { number, task, run, end, checkpoint: None });
        self.list(target);
    }

    fn list(&mut self, target: &Name) {
        let recorded = self.planner.recorded_end(target);
        let Some(state) = self.targets.get_mut(target).filter(|state| !state.is_lost) else {
            return;
        };
        state.ends.retain(|end| end.number > recorded.number);
        let (specs, now) = (&self.specs, self.now);
        let seen = |(task, run): (&TaskKey, &Run)| {
            let step = &specs[&task.step.job].steps[0];
            let mean = run.times_ms.iter().sum::<f64>() / run.times_ms.len().max(1) as f64;
            let cpu = step.size.cpu_milli * u32::from(run.pace) / 100;
            let figure = if step.latency_goal_ms.is_some() { mean.round() as u32 } else { cpu };
            let percent = run.work.map_or(100, |work| {
                ((now - run.started_at).div_duration_f64(work) * 100.0).min(99.0) as u32
            });
            let (task, run) = (task.clone(), run.number);
            ListedRun { task, run, checkpoint: None, percent, figure: Some(figure) }
        };
        let running = state.runs.iter().map(seen).collect();
        let listing =
            Listing { born_unix_ms: 1, running, ended: state.ends.clone(), has_more_ends: false };
        self.planner.lease_granted(target, self.now);
        self.planner.apply_listing(target, self.now, &listing, self.now);
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.last_event += 1;
        self.events.insert((self.now + time, self.last_event), event);
    }
}
