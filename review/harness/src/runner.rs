//! Runners, as PROTOCOL.md describes them. They are sound: what happens to them is
//! told by the case.

use std::{
    collections::HashMap,
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::{Answer, Request, Server, spawn},
    note,
    store::Store,
};

/// `holdMaxMs` of the deployment.
const HOLD_MAX_MS: u64 = 10_000;

/// Interval of heartbeats, `heartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Time that a stop takes; at most `stopMs`, which is 900.
const STOP_TIME: Duration = Duration::from_millis(500);

/// Connections that a runner takes, as the sheet of the site has it.
const MAX_CONNECTIONS: usize = 64;

/// `drainMs` of the deployment.
const DRAIN_MS: u64 = 2500;

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// A start, from beginning to end, for the judgement.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub runner: String,
    pub spec: String,
    pub from: f64,
    pub to: Option<f64>,
    pub how: String,
    /// Time at which `lastSeen` reached the end.
    pub noted: Option<f64>,
    /// Whether the runner's lease lapsed between the end and that time.
    pub has_lapsed: bool,
}

/// All runs of all runners.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }

    fn begin(&self, run: Run) -> usize {
        if !run.spec.ends_with("quiet") {
            note!("runner {}: run {} of {} begins", run.runner, run.run, run.task);
        }
        let mut all = self.0.lock().unwrap();
        all.push(run);
        all.len() - 1
    }

    fn end(&self, number: usize, how: &str) {
        let mut all = self.0.lock().unwrap();
        let run = &mut all[number];
        run.to = Some(crate::log::seconds());
        how.clone_into(&mut run.how);
        if !run.spec.ends_with("quiet") {
            note!("runner {}: run {} of {} ends: {how}", run.runner, run.run, run.task);
        }
    }

    /// Records a lapse of the runner's lease for ends that are not taken note of.
    fn lapse(&self, numbers: impl Iterator<Item = usize>) {
        let mut all = self.0.lock().unwrap();
        for number in numbers {
            all[number].has_lapsed = true;
        }
    }

    fn take_note(&self, numbers: impl Iterator<Item = usize>) {
        let mut all = self.0.lock().unwrap();
        for number in numbers {
            all[number].noted = Some(crate::log::seconds());
        }
    }
}

struct Running {
    task: String,
    run: u64,
    began: Instant,
    /// `None` for a task that lasts.
    work: Option<Duration>,
    /// Whether the run ends `failed` when its work is over.
    fails: bool,
    stops_at: Option<Instant>,
    number: usize,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    /// Number among all runs.
    index: usize,
}

struct State {
    id: String,
    born: u64,
    started: Instant,
    is_up: bool,
    drains_since: Option<Instant>,
    /// Whether starts are refused with 503.
    is_unhealthy: bool,
    fence: u64,
    lease_ms: u64,
    running: Vec<Running>,
    finished: Vec<End>,
    was_lapsed: bool,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    over: HashMap<String, u64>,
    seq: u64,
}

impl State {
    fn new() -> Self {
        Self {
            id: format!("i-{:04}", LAST_ID.fetch_add(1, Ordering::SeqCst) + 1),
            born: unix_ms(),
            started: Instant::now(),
            is_up: true,
            drains_since: None,
            is_unhealthy: false,
            fence: 0,
            lease_ms: 0,
            running: Vec::new(),
            finished: Vec::new(),
            was_lapsed: true,
            last_end: 0,
            over: HashMap::new(),
            seq: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        1000 + self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: u64) {
        let most = self.clock_ms() + HOLD_MAX_MS;
        self.lease_ms = self.lease_ms.max(deadline_ms.min(most));
    }

    fn finish(&mut self, index: usize, how: &'static str, runs: &Runs) {
        let run = self.running.remove(index);
        self.last_end += 1;
        let over = self.over.entry(run.task.clone()).or_default();
        *over = (*over).max(run.run);
        runs.end(run.number, how);
        self.finished.push(End {
            number: self.last_end,
            task: run.task,
            run: run.run,
            how,
            index: run.number,
        });
    }
}

/// Description of a runner.
#[derive(Clone)]
pub struct Place {
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    /// Time to the runner and back.
    pub round_trip: Duration,
}

/// Handle of a runner. It outlives the runner's incarnations.
#[derive(Clone)]
pub struct Runner {
    state: Arc<(Mutex<State>, Condvar)>,
    place: Place,
    runs: Runs,
    store: Store,
    server: Arc<Mutex<Option<Server>>>,
    address: Arc<Mutex<String>>,
}

impl Runner {
    pub fn start(place: Place, store: &Store, runs: &Runs) -> Self {
        let runner = Self {
            state: Arc::new((Mutex::new(State::new()), Condvar::new())),
            place,
            runs: runs.clone(),
            store: store.clone(),
            server: Arc::default(),
            address: Arc::new(Mutex::new("127.0.0.1:0".to_owned())),
        };
        runner.listen();
        let copy = runner.clone();
        spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                copy.advance();
            }
        });
        let copy = runner.clone();
        spawn(move || {
            loop {
                copy.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        runner
    }

    fn listen(&self) {
        let copy = self.clone();
        let address = self.address.lock().unwrap().clone();
        let server =
            Server::start_at(&address, MAX_CONNECTIONS, move |request| copy.answer(&request));
        *self.address.lock().unwrap() = server.address.to_string();
        *self.server.lock().unwrap() = Some(server);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    /// Names and numbers of the runs that are there.
    pub fn running(&self) -> Vec<(String, u64)> {
        self.lock().running.iter().map(|run| (run.task.clone(), run.run)).collect()
    }

    /// Number of ends that are not taken note of.
    pub fn unseen(&self) -> usize {
        self.lock().finished.len()
    }

    /// Writes the runner's entry in the store.
    pub fn beat(&self) {
        let mut state = self.lock();
        if !state.is_up {
            return;
        }
        state.seq += 1;
        let mut entry = json!({
            "service": self.place.service, "addr": *self.address.lock().unwrap(),
            "zone": self.place.zone, "version": "v1", "slots": 8,
            "state": if state.drains_since.is_some() { "draining" } else { "ready" }, "coldLeftMs": 0,
            "capacity": {"cpu": self.place.cpu, "memMb": 65_536, "gpu": 0},
            "labels": ["a", self.place.rack], "clockMs": state.clock_ms(), "seq": state.seq,
            "born": state.born,
        });
        if let Some(since) = state.drains_since {
            // The least time that is left.
            let passed = since.elapsed().as_millis() as u64;
            entry["remainingMs"] = json!(DRAIN_MS.saturating_sub(passed));
        }
        let key = format!("servers/{}", state.id);
        drop(state);
        self.store.write(&key, &entry);
    }

    /// Reports that the runner drains.
    pub fn drain(&self) {
        self.lock().drains_since = Some(Instant::now());
        note!("runner {} reports that it drains", self.id());
        self.beat();
    }

    /// Sets whether the runner is unhealthy, so that it refuses starts.
    pub fn set_unhealthy(&self, is_unhealthy: bool) {
        self.lock().is_unhealthy = is_unhealthy;
        note!("runner {} is unhealthy: {is_unhealthy}", self.id());
    }

    /// Ends a run as failed, through its own fault.
    pub fn fail(&self, task: &str) {
        let mut state = self.lock();
        if let Some(index) = state.running.iter().position(|run| run.task == task) {
            state.finish(index, "failed", &self.runs);
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// The runner's process ends without notice.
    pub fn crash(&self) {
        let mut state = self.lock();
        note!("runner {} crashes", state.id);
        state.is_up = false;
        for run in state.running.drain(..) {
            self.runs.end(run.number, "lost with its runner");
        }
        let id = state.id.clone();
        drop(state);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.end();
        }
        self.state.1.notify_all();
        let store = self.store.clone();
        spawn(move || {
            thread::sleep(3 * HEARTBEAT);
            store.remove(&format!("servers/{id}"));
        });
    }

    /// A new incarnation starts at the address, under an id of its own.
    pub fn restart(&self) {
        *self.lock() = State::new();
        self.listen();
        note!("runner {} starts", self.id());
        self.beat();
    }

    /// The runner leaves for good.
    pub fn leave(&self) {
        let mut state = self.lock();
        note!("runner {} leaves", state.id);
        state.is_up = false;
        for run in state.running.drain(..) {
            self.runs.end(run.number, "left with its runner");
        }
        let id = state.id.clone();
        drop(state);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.end();
        }
        self.state.1.notify_all();
        self.store.remove(&format!("servers/{id}"));
    }

    /// Lets time pass on the runner.
    fn advance(&self) {
        let mut state = self.lock();
        if !state.is_up {
            return;
        }
        let now = Instant::now();
        let has_lapsed = state.clock_ms() >= state.lease_ms;
        let before = state.last_end;
        if has_lapsed && !std::mem::replace(&mut state.was_lapsed, has_lapsed) {
            self.runs.lapse(state.finished.iter().map(|end| end.index));
        }
        state.was_lapsed = has_lapsed;
        let mut index = 0;
        while index < state.running.len() {
            let run = &state.running[index];
            let how = if has_lapsed {
                Some("lapsed")
            } else if run.work.is_some_and(|work| now >= run.began + work) {
                Some(if run.fails { "failed" } else { "done" })
            } else if run.stops_at.is_some_and(|at| now >= at) {
                Some("stopped")
            } else {
                None
            };
            match how {
                Some(how) => state.finish(index, how, &self.runs),
                None => index += 1,
            }
        }
        let has_ended = state.last_end > before;
        drop(state);
        if has_ended {
            self.state.1.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        let half = self.place.round_trip / 2;
        thread::sleep(half);
        if !self.lock().is_up {
            return Answer::Drop;
        }
        let (status, body) = self.handle(request);
        if !self.lock().is_up {
            return Answer::Drop;
        }
        thread::sleep(half);
        Answer::Reply(status, body)
    }

    fn handle(&self, request: &Request) -> (u16, Value) {
        let body = request.json();
        let mut state = self.lock();
        if request.method == "GET" {
            return (200, json!({}));
        }
        let expected = request.header("x-expected-instance");
        if !expected.is_empty() && expected != state.id {
            return (421, json!({}));
        }
        let refused = |state: &State, reason: &str| {
            (409, json!({"clockMs": state.clock_ms(), "reason": reason}))
        };
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < state.fence {
            return refused(&state, "fence");
        }
        state.fence = token;
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["runId"].as_u64().unwrap_or(0);
        let deadline = body["deadlineMs"].as_u64();
        match request.path.as_str() {
            "/api/run-start" if state.is_unhealthy => (503, json!({})),
            "/api/run-start" => {
                let deadline = deadline.unwrap_or(0);
                if deadline <= state.clock_ms() {
                    return refused(&state, "late");
                }
                state.extend(deadline);
                if state.running.iter().any(|known| known.task == task && known.run == run) {
                    return (200, json!({"clockMs": state.clock_ms()}));
                }
                if state.over.get(&task).is_some_and(|over| run <= *over) {
                    return refused(&state, "old");
                }
                let spec = body["spec"].as_str().unwrap_or_default().to_owned();
                let fails = spec.starts_with("fails=");
                let work =
                    spec.split_once('=').and_then(|(_, text)| text.split(' ').next()?.parse().ok());
                let number = self.runs.begin(Run {
                    task: task.clone(),
                    run,
                    runner: state.id.clone(),
                    spec,
                    from: crate::log::seconds(),
                    to: None,
                    how: String::new(),
                    noted: None,
                    has_lapsed: false,
                });
                let work = work.map(Duration::from_millis);
                state.running.push(Running {
                    task,
                    run,
                    began: Instant::now(),
                    work,
                    fails,
                    stops_at: None,
                    number,
                });
                (200, json!({"clockMs": state.clock_ms()}))
            }
            "/api/run-stop" => {
                let over = state.over.entry(task.clone()).or_default();
                *over = (*over).max(run);
                let mut running = state.running.iter_mut();
                if let Some(known) = running.find(|known| known.task == task && known.run == run)
                    && known.stops_at.is_none()
                {
                    known.stops_at = Some(Instant::now() + STOP_TIME);
                    note!("runner {}: run {run} of {task} is told to stop", state.id);
                }
                (200, json!({"clockMs": state.clock_ms()}))
            }
            "/api/hold" => {
                let seen = body["lastSeen"].as_u64().unwrap_or(0);
                let is_seen = |end: &&End| end.number <= seen;
                self.runs.take_note(state.finished.iter().filter(is_seen).map(|end| end.index));
                state.finished.retain(|end| end.number > seen);
                if let Some(deadline) = deadline {
                    state.extend(deadline);
                }
                let wait = body["waitMs"].as_u64().unwrap_or(0).min(2000);
                let end = Instant::now() + Duration::from_millis(wait);
                let born = state.born;
                while state.finished.is_empty() && state.is_up && state.born == born {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
                let running: Vec<Value> = state
                    .running
                    .iter()
                    .map(|run| {
                        let percent = run.work.map_or(100, |work| {
                            (run.began.elapsed().as_millis() * 100 / work.as_millis().max(1))
                                .min(100)
                        });
                        json!([run.task, run.run, "", percent as u64, 0])
                    })
                    .collect();
                let finished: Vec<Value> = state
                    .finished
                    .iter()
                    .take(500)
                    .map(|end| json!([end.number, end.task, end.run, end.how, ""]))
                    .collect();
                let clock = state.clock_ms();
                (
                    200,
                    json!({"clockMs": clock, "born": state.born, "running": running, "finished": finished}),
                )
            }
            _ => (404, json!({})),
        }
    }
}
