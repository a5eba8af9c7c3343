//! A cell whose targets do as they are told.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use base::{Name, Resources};
use plan::{
    Action, ClosedTarget, ListedRun, Listing, Planner, AdviceRequest, Retention, RunEnd, Settings, Start,
    StartAnswer, Stop, TargetInfo,
};
use work::{
    Advice, Config, End, JobState, Policy, Progress, Queue, Schedule, Service, Spec, Step, Team,
};

/// Failures of a task after which its job has failed.
pub const ATTEMPTS: u32 = 3;

const SERVICE: &str = "pool";
const TEAM: &str = "team";
pub const QUEUE: &str = "queue";

/// A queue whose pool has the last target, once the pools are split.
pub const OTHER_QUEUE: &str = "other queue";
const OTHER_SERVICE: &str = "other pool";

/// A step of one task, of which eight fit on a target.
pub fn small_step() -> Step {
    Step {
        count: 1,
        size: Resources { cpu_milli: 1000, memory_mib: 1024, accelerators: 0 },
        estimate_ms: 1000,
        ..Step::default()
    }
}

/// A step of so many of these tasks.
pub fn step(count: u32) -> Step {
    Step { count, ..small_step() }
}

/// A `Cell` is a board with targets.
pub struct Cell {
    pub board: Planner,
    pub now: Duration,
    pub unix_ms: u64,
    targets: Vec<Name>,
    ends: HashMap<Name, u64>,
    lives: HashMap<Name, u64>,
    specs: Vec<(Name, Spec)>,
    progress: HashMap<Name, Progress>,
    config: Config,
    stops: Vec<Stop>,
    asks: Vec<AdviceRequest>,
}

impl Cell {
    pub fn new(targets: u32) -> Self {
        let names = (0..targets).map(|number| Name::from(format!("target-{number}")));
        let board = Planner::new(Settings::default(), 1, HashSet::new(), Duration::from_secs(1));
        let mut cell = Self {
            board,
            now: Duration::from_secs(1),
            unix_ms: 1_000_000,
            targets: names.collect(),
            ends: HashMap::new(),
            lives: HashMap::new(),
            specs: Vec::new(),
            progress: HashMap::new(),
            config: Config {
                version: 1,
                queues: vec![Queue {
                    name: Name::from(QUEUE),
                    policy: policy(),
                    ..Queue::default()
                }],
                services: [(Name::from(SERVICE), Service::default())].into(),
                teams: [(Name::from(TEAM), Team { weight: 100, limit: Resources::MAX })].into(),
                ..Config::default()
            },
            stops: Vec::new(),
            asks: Vec::new(),
        };
        cell.board.configure(Arc::new(cell.config.clone()));
        cell.list_targets();
        cell.hear_others("");
        cell
    }

    /// Limits the team to a number of small tasks.
    pub fn limit_team(&mut self, tasks: u32) {
        let team = Team { weight: 100, limit: small_step().size * tasks };
        self.config.teams.insert(Name::from(TEAM), team);
        self.board.configure(Arc::new(self.config.clone()));
    }

    /// Sets the jobs a second that the team is owed.
    pub fn weigh_team(&mut self, weight: u32) {
        self.config.teams.insert(Name::from(TEAM), Team { weight, limit: Resources::MAX });
        self.board.configure(Arc::new(self.config.clone()));
    }

    /// Decides; gets the names of the queues that refuse.
    pub fn refusals(&mut self) -> Vec<String> {
        self.decide_starts();
        let refusals = self.board.overloads(self.now).into_iter();
        refusals.map(|overload| overload.queue.to_string()).collect()
    }

    /// Has the last target be in the pool of the other queue.
    pub fn split_pools(&mut self) {
        let other = Policy { service: Name::from(OTHER_SERVICE), ..policy() };
        let queue = Queue { name: Name::from(OTHER_QUEUE), policy: other, ..Queue::default() };
        self.config.queues.push(queue);
        self.board.configure(Arc::new(self.config.clone()));
        let last = self.targets.last().cloned().unwrap_or_default();
        self.list_targets_with(|facts| {
            if facts.id == last {
                facts.service = Name::from(OTHER_SERVICE);
            }
        });
    }

    /// Adds a queue in the same pool whose steps need advice.
    pub fn add_queue(&mut self, queue: &str, advice: Advice) {
        let queue = Queue { name: Name::from(queue), policy: policy(), ..Queue::default() };
        let name = queue.name.clone();
        self.config.queues.push(queue);
        self.set_advice(&name, advice);
    }

    /// Adds a queue in the same pool that is less urgent, and whose jobs have this
    /// long beyond twice their work.
    pub fn add_patient_queue(&mut self, queue: &str, objective: Duration) {
        let policy = Policy { priority: 1, objective_ms: objective.as_millis() as u32, ..policy() };
        self.config.queues.push(Queue { name: Name::from(queue), policy, ..Queue::default() });
        self.board.configure(Arc::new(self.config.clone()));
    }

    /// Has the steps of a queue need advice.
    pub fn set_advice(&mut self, queue: &str, advice: Advice) {
        for known in self.config.queues.iter_mut().filter(|known| *known.name == *queue) {
            known.policy.advice = Some(advice);
        }
        self.board.configure(Arc::new(self.config.clone()));
    }

    /// Gets the requests for advice since the last call.
    pub fn take_asks(&mut self) -> Vec<AdviceRequest> {
        std::mem::take(&mut self.asks)
    }

    /// Accepts a job in another queue.
    pub fn accept_in(&mut self, queue: &str, id: &str, steps: Vec<Step>) {
        let policy = self.config.policy(queue, &policy()).clone();
        self.accept_spec(id, Spec { queue: Name::from(queue), policy, ..self.spec(TEAM, steps) });
    }

    pub fn accept(&mut self, id: &str, steps: Vec<Step>) {
        self.accept_of(TEAM, id, steps);
    }

    /// Accepts a job of another team.
    pub fn accept_of_other(&mut self, id: &str, steps: Vec<Step>) {
        self.accept_of("other", id, steps);
    }

    /// Accepts a job that runs several times, from one interval on.
    pub fn accept_scheduled(&mut self, id: &str, steps: Vec<Step>, interval: Duration, times: u32) {
        let interval_ms = interval.as_millis() as u64;
        let first_unix_ms = self.unix_ms + interval_ms;
        self.accept_spec(
            id,
            Spec {
                schedule: Some(Schedule { first_unix_ms, interval_ms, times }),
                ..self.spec(TEAM, steps)
            },
        );
    }

    fn accept_of(&mut self, team: &str, id: &str, steps: Vec<Step>) {
        self.accept_spec(id, self.spec(team, steps));
    }

    fn spec(&self, team: &str, steps: Vec<Step>) -> Spec {
        Spec {
            queue: Name::from(QUEUE),
            policy: policy(),
            team: Name::from(team),
            accepted_unix_ms: self.unix_ms,
            steps,
            ..Spec::default()
        }
    }

    fn accept_spec(&mut self, id: &str, spec: Spec) {
        self.specs.push((Name::from(id), spec.clone()));
        self.board.accept(&Name::from(id), spec, self.now);
    }

    pub fn cancel(&mut self, id: &str) {
        self.board.cancel(&Name::from(id), self.now);
    }

    /// Decides; gets the starts that follow.
    pub fn decide_starts(&mut self) -> Vec<Start> {
        self.board.mark_changed();
        self.board.decide(self.now, self.unix_ms);
        let mut starts = Vec::new();
        for action in self.board.take_actions() {
            match action {
                Action::Start(start) => starts.push(start),
                Action::Stop(stop) => self.stops.push(stop),
                Action::RequestAdvice(ask) => self.asks.push(ask),
                Action::Poll(_) => {}
            }
        }
        starts
    }

    /// Gets the stops since the last call.
    pub fn stops(&mut self) -> Vec<Stop> {
        for action in self.board.take_actions() {
            if let Action::Stop(stop) = action {
                self.stops.push(stop);
            }
        }
        std::mem::take(&mut self.stops)
    }

    pub fn answer_all(&mut self, starts: &[Start], answer: &StartAnswer) {
        for start in starts {
            let Start { target, task, run, .. } = start;
            self.board.start_answered(target, task, *run, answer, self.now);
        }
    }

    pub fn stop_answered(&mut self, start: &Start) {
        self.board.stop_answered(&start.target, &start.task, start.run, self.now);
    }

    /// Has a target list the end of a run.
    pub fn end(&mut self, start: &Start, end: End) {
        let number = self.ends.entry(start.target.clone()).or_default();
        *number += 1;
        let number = *number;
        self.list_end(start, end, number, None);
    }

    /// Has a target list that a run was stopped and has saved what it had done.
    pub fn save(&mut self, start: &Start, checkpoint: &str) {
        let number = self.ends.entry(start.target.clone()).or_default();
        *number += 1;
        let (number, checkpoint) = (*number, Some(Name::from(checkpoint)));
        self.list_end(start, End::Stopped, number, checkpoint);
    }

    /// Has a target list an end that it wasn't told to forget.
    pub fn list_end_again(&mut self, start: &Start, end: End) {
        let number = self.ends[&start.target];
        self.list_end(start, end, number, None);
    }

    fn list_end(&mut self, start: &Start, end: End, number: u64, checkpoint: Option<Name>) {
        let ended = RunEnd { number, task: start.task.clone(), run: start.run, end, checkpoint };
        let born_unix_ms = self.life(&start.target);
        let listing = Listing { born_unix_ms, running: Vec::new(), ended: vec![ended] };
        // Asked for before the starts were settled, so that it says nothing of
        // the other runs.
        self.board.apply_listing(&start.target, Duration::ZERO, &listing, self.now);
    }

    /// Has a target list that it runs nothing.
    pub fn list_nothing(&mut self, target: &str) {
        self.list_nothing_as_of(target, self.now);
    }

    /// Has a target list that it ran nothing when it was asked.
    pub fn list_nothing_as_of(&mut self, target: &str, asked: Duration) {
        let listing = Listing { born_unix_ms: self.life(target), ..Listing::default() };
        self.board.apply_listing(target, asked, &listing, self.now);
    }

    /// Has the targets list that they run this.
    pub fn list_running(&mut self, starts: &[Start]) {
        for target in self.targets.clone() {
            let on_target: Vec<&Start> = starts.iter().filter(|s| s.target == target).collect();
            if on_target.is_empty() {
                continue;
            }
            let seen = |start: &&Start| ListedRun {
                task: start.task.clone(),
                run: start.run,
                checkpoint: None,
                percent: 0,
            };
            let running = on_target.iter().map(seen).collect();
            let born_unix_ms = self.life(&target);
            let listing = Listing { born_unix_ms, running, ended: Vec::new() };
            self.board.apply_listing(&target, self.now, &listing, self.now);
        }
    }

    /// Has all targets answer, with what they run.
    pub fn hear_running(&mut self, starts: &[Start]) {
        self.list_progress(starts, |_| 99);
    }

    /// Has the targets list how far their runs are, in hundredths.
    pub fn list_progress(&mut self, starts: &[Start], percent: impl Fn(&Name) -> u32) {
        for target in self.targets.clone() {
            let on_target = starts.iter().filter(|start| start.target == target);
            let running = on_target.map(|start| ListedRun {
                task: start.task.clone(),
                run: start.run,
                checkpoint: None,
                percent: percent(&target),
            });
            let born_unix_ms = self.life(&target);
            let listing = Listing { born_unix_ms, running: running.collect(), ended: Vec::new() };
            self.board.apply_listing(&target, self.now, &listing, self.now);
        }
    }

    /// Has a target crash and start again under its id.
    pub fn be_born_again(&mut self, target: &str) {
        let life = self.life(target) + 1;
        self.lives.insert(Name::from(target), life);
        self.ends.remove(target);
    }

    fn life(&self, target: &str) -> u64 {
        self.lives.get(target).copied().unwrap_or(1)
    }

    /// Has a target be silent for so long that it is closed; gets all that are.
    pub fn fall_silent_and_close(&mut self, target: &str) -> Vec<String> {
        self.fall_silent(target);
        self.board.count_unreachable();
        self.board.count_unreachable();
        self.close_targets().into_iter().map(|(name, _)| name.to_string()).collect()
    }

    /// Closes the targets that can be, and gets them.
    pub fn close_targets(&mut self) -> Vec<ClosedTarget> {
        self.board.close_targets(&self.board.held_targets(self.now), self.now)
    }

    /// Tells whether others are to be recorded as closed.
    pub fn is_closed_record_outdated(&self, recorded: &[String]) -> bool {
        let recorded = recorded.iter().map(|name| Name::from(name.as_str())).collect();
        let held = self.board.held_targets(self.now);
        self.board.is_closed_record_outdated(&held, &recorded, self.now)
    }

    pub fn fall_silent(&mut self, target: &str) {
        self.board.mark_unreachable(target);
    }

    /// Has all targets but one answer.
    pub fn hear_others(&mut self, silent: &str) {
        for target in self.targets.clone() {
            if &*target != silent {
                self.list_nothing(&target);
            }
        }
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        self.unix_ms += time.as_millis() as u64;
    }

    pub fn record(&mut self) {
        while let Some(batch) = self.board.take_batch(self.now) {
            for record in &batch.records {
                self.progress.insert(record.id.clone(), record.progress.clone());
                if record.retention == Retention::Remove {
                    self.specs.retain(|(id, _)| *id != record.id);
                }
            }
            self.board.batch_recorded(batch);
        }
    }

    pub fn state(&self, id: &str) -> JobState {
        let states = self.board.states();
        states.into_iter().find(|(known, _)| &**known == id).expect("the job is known").1
    }

    /// Records what there is, and has another placer take over, which hears all
    /// targets.
    pub fn take_over(mut self) -> Self {
        self.record();
        let mut next = self.take_over_unheard();
        next.hear_others("");
        next
    }

    /// Has another placer take over, which hears no target yet.
    pub fn take_over_unheard(self) -> Self {
        let held = self.board.held_targets(self.now);
        let mut board = Planner::new(Settings::default(), 2, held, self.now);
        board.configure(Arc::new(self.config.clone()));
        for (id, spec) in &self.specs {
            board.inherit(id, spec.clone(), self.progress.get(id), self.now);
        }
        for (id, progress) in &self.progress {
            if !self.specs.iter().any(|(known, _)| known == id) {
                board.inherit_ended(id, progress.state, self.now);
            }
        }
        let mut next = Self { board, ..self };
        next.list_targets();
        // One target answers, so that there is room.
        let first = next.targets[0].clone();
        next.list_nothing(&first);
        next
    }

    pub fn list_targets(&mut self) {
        self.list_targets_with(|_| {});
    }

    /// Has the targets say something else of themselves.
    pub fn list_targets_with(&mut self, change: impl Fn(&mut TargetInfo)) {
        let facts = |name: &Name| {
            let mut facts = TargetInfo {
                id: name.clone(),
                service: Name::from(SERVICE),
                capacity: small_step().size * 8,
                ..TargetInfo::default()
            };
            change(&mut facts);
            facts
        };
        self.board.set_targets(self.targets.iter().map(facts).collect());
    }

    /// Has one target no longer be listed.
    pub fn list_targets_without(&mut self, target: &str) {
        let all = self.targets.clone();
        self.targets.retain(|name| &**name != target);
        self.list_targets();
        self.targets = all;
    }
}

fn policy() -> Policy {
    Policy {
        service: Name::from(SERVICE),
        max_attempts: ATTEMPTS,
        objective_factor_milli: 2000,
        objective_ms: 1000,
        ..Policy::default()
    }
}
