//! Test cell with simulated targets.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use base::{Name, Resources};
use plan::{
    Action, AdviceRequest, ClosedTarget, Holding, ListedRun, Listing, Pace, Planner, ProcessRecord,
    Retention, RunEnd, Settings, Start, StartAnswer, Stop, TargetInfo,
};
use work::{
    Advice, Config, End, JobState, Policy, Progress, Queue, Schedule, Service, Spec, Step, Team,
};

/// Number of failed runs of a task after which its job fails.
pub const ATTEMPTS: u32 = 3;

/// Longest lease of a target, on a clock that runs as slowly as allowed for.
pub const MAX_LEASE: Duration = Duration::from_millis(10_200);

const SERVICE: &str = "pool";
const TEAM: &str = "team";
pub const QUEUE: &str = "queue";

/// Queue of the other pool, which has the last target once the pools are split.
pub const OTHER_QUEUE: &str = "other queue";
const OTHER_SERVICE: &str = "other pool";

/// Returns a step with one task; eight such tasks fit on a target.
pub fn small_step() -> Step {
    Step {
        count: 1,
        size: Resources { cpu_milli: 1000, memory_mib: 1024, accelerators: 0 },
        estimate_ms: 1000,
        ..Step::default()
    }
}

/// Returns a step with `count` such tasks.
pub fn step(count: u32) -> Step {
    Step { count, ..small_step() }
}

/// Planner with simulated targets.
pub struct Cell {
    pub planner: Planner,
    pub now: Duration,
    pub unix_ms: u64,
    targets: Vec<Name>,
    ends: HashMap<Name, u64>,
    born_unix_ms: HashMap<Name, u64>,
    specs: Vec<(Name, Spec)>,
    progress: HashMap<Name, Progress>,
    config: Config,
    stops: Vec<Stop>,
    paces: Vec<Pace>,
    advice_requests: Vec<AdviceRequest>,
}

impl Cell {
    pub fn new(targets: u32) -> Self {
        Self::with_settings(targets, Settings::default())
    }

    pub fn with_settings(targets: u32, settings: Settings) -> Self {
        let names = (0..targets).map(|number| Name::from(format!("target-{number}")));
        let planner = Planner::new(settings, 1, HashSet::new(), Duration::from_secs(1));
        let mut cell = Self {
            planner,
            now: Duration::from_secs(1),
            unix_ms: 1_000_000,
            targets: names.collect(),
            ends: HashMap::new(),
            born_unix_ms: HashMap::new(),
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
            paces: Vec::new(),
            advice_requests: Vec::new(),
        };
        cell.planner.configure(Arc::new(cell.config.clone()));
        cell.list_targets();
        cell.list_nothing_on_others("");
        cell
    }

    /// Limits the team to the resources of a number of small tasks.
    pub fn limit_team(&mut self, tasks: u32) {
        let team = Team { weight: 100, limit: small_step().size * tasks };
        self.config.teams.insert(Name::from(TEAM), team);
        self.planner.configure(Arc::new(self.config.clone()));
    }

    /// Sets the weight of the team, in jobs per second.
    pub fn set_team_weight(&mut self, weight: u32) {
        self.config.teams.insert(Name::from(TEAM), Team { weight, limit: Resources::MAX });
        self.planner.configure(Arc::new(self.config.clone()));
    }

    /// Runs a round and returns the names of the queues that refuse jobs.
    pub fn refusing_queues(&mut self) -> Vec<String> {
        self.decide_starts();
        let overloads = self.planner.overloads(self.now).into_iter();
        overloads.map(|overload| overload.queue.to_string()).collect()
    }

    /// Moves the last target to the pool of the other queue.
    pub fn split_pools(&mut self) {
        let other = Policy { service: Name::from(OTHER_SERVICE), ..policy() };
        let queue = Queue { name: Name::from(OTHER_QUEUE), policy: other, ..Queue::default() };
        self.config.queues.push(queue);
        self.planner.configure(Arc::new(self.config.clone()));
        let last = self.targets.last().cloned().unwrap_or_default();
        self.update_targets(|info| {
            if info.id == last {
                info.service = Name::from(OTHER_SERVICE);
            }
        });
    }

    /// Adds a queue with advice that uses the same pool.
    pub fn add_queue(&mut self, queue: &str, advice: Advice) {
        let queue = Queue { name: Name::from(queue), policy: policy(), ..Queue::default() };
        let name = queue.name.clone();
        self.config.queues.push(queue);
        self.set_advice(&name, advice);
    }

    /// Adds a less urgent queue that uses the same pool. The objective of its
    /// jobs is `objective` plus twice their estimate.
    pub fn add_low_priority_queue(&mut self, queue: &str, objective: Duration) {
        let policy = Policy { priority: 1, objective_ms: objective.as_millis() as u32, ..policy() };
        self.config.queues.push(Queue { name: Name::from(queue), policy, ..Queue::default() });
        self.planner.configure(Arc::new(self.config.clone()));
    }

    /// Makes the steps of a queue require advice.
    pub fn set_advice(&mut self, queue: &str, advice: Advice) {
        for known in self.config.queues.iter_mut().filter(|known| *known.name == *queue) {
            known.policy.advice = Some(advice);
        }
        self.planner.configure(Arc::new(self.config.clone()));
    }

    /// Returns the advice requests since the last call.
    pub fn take_advice_requests(&mut self) -> Vec<AdviceRequest> {
        std::mem::take(&mut self.advice_requests)
    }

    /// Accepts a job in another queue.
    pub fn accept_in(&mut self, queue: &str, id: &str, steps: Vec<Step>) {
        let policy = self.config.policy(queue, &policy()).clone();
        self.accept_spec(id, Spec { queue: Name::from(queue), policy, ..self.spec(TEAM, steps) });
    }

    pub fn accept(&mut self, id: &str, steps: Vec<Step>) {
        self.accept_from_team(TEAM, id, steps);
    }

    /// Accepts a job of another team.
    pub fn accept_from_other_team(&mut self, id: &str, steps: Vec<Step>) {
        self.accept_from_team("other", id, steps);
    }

    /// Accepts a job with several occurrences, the first of which is due after
    /// one interval.
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

    fn accept_from_team(&mut self, team: &str, id: &str, steps: Vec<Step>) {
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
        self.planner.accept(&Name::from(id), spec, self.now);
    }

    pub fn cancel(&mut self, id: &str) {
        self.planner.cancel(&Name::from(id), self.now);
    }

    /// Runs a round and returns the start orders.
    pub fn decide_starts(&mut self) -> Vec<Start> {
        self.planner.mark_changed();
        self.planner.decide(self.now, self.unix_ms);
        let mut starts = Vec::new();
        for action in self.planner.take_actions() {
            match action {
                Action::Start(start) => starts.push(start),
                Action::Stop(stop) => self.stops.push(stop),
                Action::Pace(pace) => self.paces.push(pace),
                Action::RequestAdvice(request) => self.advice_requests.push(request),
                Action::Poll(_) => {}
            }
        }
        starts
    }

    /// Returns the pace orders since the last call.
    pub fn take_paces(&mut self) -> Vec<Pace> {
        std::mem::take(&mut self.paces)
    }

    /// Returns the stop orders since the last call.
    pub fn take_stops(&mut self) -> Vec<Stop> {
        for action in self.planner.take_actions() {
            if let Action::Stop(stop) = action {
                self.stops.push(stop);
            }
        }
        std::mem::take(&mut self.stops)
    }

    pub fn answer_starts(&mut self, starts: &[Start], answer: &StartAnswer) {
        for start in starts {
            let Start { target, task, run, .. } = start;
            self.planner.start_answered(target, task, *run, answer, self.now);
        }
    }

    pub fn answer_stop(&mut self, start: &Start) {
        self.planner.stop_answered(&start.target, &start.task, start.run, self.now);
    }

    /// Makes the target of a run list its end.
    pub fn end_run(&mut self, start: &Start, end: End) {
        let number = self.ends.entry(start.target.clone()).or_default();
        *number += 1;
        let number = *number;
        self.list_end(start, end, number, None);
    }

    /// Makes the target of a run list that the run was stopped and has saved a
    /// checkpoint.
    pub fn stop_with_checkpoint(&mut self, start: &Start, checkpoint: &str) {
        let number = self.ends.entry(start.target.clone()).or_default();
        *number += 1;
        let (number, checkpoint) = (*number, Some(Name::from(checkpoint)));
        self.list_end(start, End::Stopped, number, checkpoint);
    }

    /// Makes a target list its last end again.
    pub fn list_end_again(&mut self, start: &Start, end: End) {
        let number = self.ends[&start.target];
        self.list_end(start, end, number, None);
    }

    fn list_end(&mut self, start: &Start, end: End, number: u64, checkpoint: Option<Name>) {
        let ended = RunEnd { number, task: start.task.clone(), run: start.run, end, checkpoint };
        let born_unix_ms = self.born_unix_ms(&start.target);
        let listing = Listing { born_unix_ms, ended: vec![ended], ..Listing::default() };
        // Requested before the starts were confirmed, so the listing says
        // nothing about other runs.
        self.planner.apply_listing(&start.target, Duration::ZERO, &listing, self.now);
    }

    /// Makes the target of these runs list them as done, and say that further
    /// ends may follow.
    pub fn end_runs_of_many(&mut self, starts: &[Start]) {
        let target = starts[0].target.clone();
        let mut ended = Vec::new();
        for start in starts {
            let number = self.ends.entry(target.clone()).or_default();
            *number += 1;
            let (number, task) = (*number, start.task.clone());
            ended.push(RunEnd { number, task, run: start.run, end: End::Done, checkpoint: None });
        }
        let born_unix_ms = self.born_unix_ms(&target);
        let listing = Listing { born_unix_ms, ended, has_more_ends: true, ..Listing::default() };
        self.planner.apply_listing(&target, self.now, &listing, self.now);
    }

    /// Makes a target list no runs.
    pub fn list_nothing(&mut self, target: &str) {
        self.list_nothing_as_of(target, self.now);
    }

    /// Makes a target list no runs, in answer to a request at `requested_at`.
    pub fn list_nothing_as_of(&mut self, target: &str, requested_at: Duration) {
        let listing = Listing { born_unix_ms: self.born_unix_ms(target), ..Listing::default() };
        self.planner.apply_listing(target, requested_at, &listing, self.now);
    }

    /// Makes the targets of these runs list them.
    pub fn list_running(&mut self, starts: &[Start]) {
        self.list_figures(starts, |_| None);
    }

    /// Makes the targets of these runs list them with a figure for each.
    pub fn list_figures(&mut self, starts: &[Start], figure: impl Fn(&Start) -> Option<u32>) {
        for target in self.targets.clone() {
            let on_target: Vec<&Start> = starts.iter().filter(|s| s.target == target).collect();
            if on_target.is_empty() {
                continue;
            }
            let listed = |start: &&Start| ListedRun {
                task: start.task.clone(),
                run: start.run,
                checkpoint: None,
                percent: 0,
                figure: figure(start),
            };
            let running = on_target.iter().map(listed).collect();
            let born_unix_ms = self.born_unix_ms(&target);
            let listing = Listing { born_unix_ms, running, ..Listing::default() };
            self.planner.apply_listing(&target, self.now, &listing, self.now);
        }
    }

    /// Makes all targets list their runs as complete.
    pub fn list_as_complete(&mut self, starts: &[Start]) {
        self.list_progress(starts, |_| 99);
    }

    /// Makes all targets list their runs with this progress in percent.
    pub fn list_progress(&mut self, starts: &[Start], percent: impl Fn(&Name) -> u32) {
        for target in self.targets.clone() {
            let on_target = starts.iter().filter(|start| start.target == target);
            let running = on_target.map(|start| ListedRun {
                task: start.task.clone(),
                run: start.run,
                checkpoint: None,
                percent: percent(&target),
                figure: None,
            });
            let born_unix_ms = self.born_unix_ms(&target);
            let listing =
                Listing { born_unix_ms, running: running.collect(), ..Listing::default() };
            self.planner.apply_listing(&target, self.now, &listing, self.now);
        }
    }

    /// Restarts a target under the same id.
    pub fn restart_target(&mut self, target: &str) {
        let born_unix_ms = self.born_unix_ms(target) + 1;
        self.born_unix_ms.insert(Name::from(target), born_unix_ms);
        self.ends.remove(target);
    }

    /// Lists all targets with the start times of their processes.
    pub fn list_processes(&mut self) {
        let born_unix_ms = self.born_unix_ms.clone();
        self.update_targets(|info| {
            info.born_unix_ms = born_unix_ms.get(&info.id).copied().unwrap_or(1);
        });
    }

    /// Lists all targets with the start times of their first processes.
    pub fn list_earlier_processes(&mut self) {
        self.update_targets(|info| info.born_unix_ms = 1);
    }

    /// Records which targets have restarted.
    pub fn record_restarts(&mut self) {
        let record = self.planner.processes(&HashSet::new(), self.now);
        self.planner.set_recorded_restarts(&record.restarted);
    }

    fn born_unix_ms(&self, target: &str) -> u64 {
        self.born_unix_ms.get(target).copied().unwrap_or(1)
    }

    /// Makes a target unreachable until it is closed, and returns all closed
    /// targets.
    pub fn make_unreachable_and_close(&mut self, target: &str) -> Vec<String> {
        self.make_unreachable(target);
        self.planner.count_unreachable();
        self.planner.count_unreachable();
        self.close_targets().into_iter().map(|(name, _)| name.to_string()).collect()
    }

    /// Closes the targets that can be closed, and returns them.
    pub fn close_targets(&mut self) -> Vec<ClosedTarget> {
        self.planner.close_targets(&self.planner.held_targets(self.now), self.now)
    }

    /// Returns whether the record of closed targets is outdated.
    pub fn is_closed_record_outdated(&self, recorded: &[String]) -> bool {
        let recorded = recorded.iter().map(|name| Name::from(name.as_str())).collect();
        let held = self.planner.held_targets(self.now);
        self.planner.is_closed_record_outdated(&held, &recorded, self.now)
    }

    pub fn make_unreachable(&mut self, target: &str) {
        self.planner.mark_unreachable(target);
    }

    /// Makes all targets but one list no runs.
    pub fn list_nothing_on_others(&mut self, unreachable: &str) {
        for target in self.targets.clone() {
            if &*target != unreachable {
                self.list_nothing(&target);
            }
        }
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        self.unix_ms += time.as_millis() as u64;
    }

    pub fn record(&mut self) {
        while let Some(batch) = self.planner.take_batch(self.now) {
            for record in &batch.records {
                self.progress.insert(record.id.clone(), record.progress.clone());
                if record.retention == Retention::Remove {
                    self.specs.retain(|(id, _)| *id != record.id);
                }
            }
            self.planner.batch_recorded(batch);
        }
    }

    pub fn state(&self, id: &str) -> JobState {
        let states = self.planner.states();
        states.into_iter().find(|(known, _)| &**known == id).expect("the job is known").1
    }

    /// Records all progress, then lets a new placer take over and receive
    /// listings of all targets, without runs.
    pub fn take_over(mut self) -> Self {
        self.record();
        let mut next = self.take_over_without_listings();
        next.list_nothing_on_others("");
        next
    }

    /// Lets a new placer take over. Only the first target has sent a listing to
    /// it.
    pub fn take_over_without_listings(self) -> Self {
        let held = self.planner.held_targets(self.now);
        let processes = self.planner.processes(&held, self.now);
        let mut planner = Planner::new(Settings::default(), 2, held, self.now);
        planner.inherit_processes(processes, self.now);
        planner.inherit_speeds(&self.planner.speeds(self.now), self.now);
        planner.configure(Arc::new(self.config.clone()));
        for (id, spec) in &self.specs {
            planner.inherit(id, spec.clone(), self.progress.get(id), self.now);
        }
        for (id, progress) in &self.progress {
            if !self.specs.iter().any(|(known, _)| known == id) {
                planner.inherit_ended(id, progress.state, self.now);
            }
        }
        let mut next = Self { planner, ..self };
        next.list_targets();
        // A listing without runs makes room on the first target.
        let first = next.targets[0].clone();
        next.list_nothing(&first);
        next
    }

    /// Lets a new placer take over by this record of closed targets. No target
    /// has sent a listing to it.
    pub fn take_over_with_closed(self, closed: &[ClosedTarget]) -> Self {
        let mut next = self.take_over_without_listings();
        for (target, runs) in closed {
            next.planner.adopt_unreachable(target, runs, next.now);
        }
        next
    }

    /// Lets a new placer take over by a handover. No target has sent a listing to it.
    pub fn take_over_with_holdings(
        self,
        unreachable: &[ClosedTarget],
        holdings: Vec<Holding>,
    ) -> Self {
        let restarts = self.planner.processes(&HashSet::new(), self.now);
        let processes = self.planner.processes(&self.planner.held_targets(self.now), self.now);
        let processes = ProcessRecord { born_unix_ms: processes.born_unix_ms, ..restarts };
        let held = self.planner.held_targets(self.now);
        let mut planner = Planner::new(Settings::default(), 2, held, self.now);
        planner.inherit_processes(processes, self.now);
        planner.inherit_known_jobs(self.planner.known_jobs(&holdings));
        planner.inherit_holdings(holdings, self.now);
        planner.configure(Arc::new(self.config.clone()));
        for (id, spec) in &self.specs {
            planner.inherit(id, spec.clone(), self.progress.get(id), self.now);
        }
        for (target, runs) in unreachable {
            planner.adopt_unreachable(target, runs, self.now);
        }
        let mut next = Self { planner, ..self };
        next.list_targets();
        next
    }

    pub fn list_targets(&mut self) {
        self.update_targets(|_| {});
    }

    /// Changes the descriptions of the targets.
    pub fn update_targets(&mut self, change: impl Fn(&mut TargetInfo)) {
        let info = |name: &Name| {
            let mut info = TargetInfo {
                id: name.clone(),
                service: Name::from(SERVICE),
                capacity: small_step().size * 8,
                ..TargetInfo::default()
            };
            change(&mut info);
            info
        };
        self.planner.set_targets(self.targets.iter().map(info).collect(), self.now);
    }

    /// Removes a target from the list of targets.
    pub fn unlist_target(&mut self, target: &str) {
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
