//! A runner, as PROTOCOL.md describes it, that can crash and start again under its id.

use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::{Request, Server},
    record::Record,
    store::Store,
};

/// Longest lease, `holdMaxMs`.
pub const HOLD_MAX_MS: u64 = 6000;
/// Interval between entries in the store, `heartbeatMs`.
const BEAT: Duration = Duration::from_millis(1500);
/// Ends that one answer holds.
const MAX_ENDS: usize = 500;

/// Time that a lasting task takes to be at work.
pub const STARTUP: Duration = Duration::from_millis(300);
/// Time until a pace takes effect, `paceMs`.
const PACE: Duration = Duration::from_millis(100);
/// Processor time of a task that fills, in thousandths of a core.
const FILL_CPU: f64 = 2000.0;

/// Tail of the response times of a task that serves its usual users, in milliseconds: alone,
/// and what `FULL_FILLS` tasks that fill add to it.
const ALONE_MS: f64 = 30.0;
const DISTURBED_MS: f64 = 60.0;
const FULL_FILLS: f64 = 16.0;

/// What a task does, by the `spec` of its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Works for a time.
    Timed(Duration),
    /// Lasts and serves its own users.
    Serves,
    /// Lasts and fills.
    Fills,
    /// Lasts, and fails after a time.
    Fails(Duration),
}

#[derive(Clone)]
struct Run {
    number: u64,
    began: Instant,
    kind: Kind,
    /// Share in percent, and the one before, which holds until `paced_at` and `PACE`.
    pace: (u64, u64),
    paced_at: Instant,
}

impl Run {
    fn is_over(&self) -> bool {
        matches!(self.kind, Kind::Timed(length) | Kind::Fails(length)
            if self.began.elapsed() >= length)
    }

    fn percent(&self) -> u64 {
        match self.kind {
            Kind::Timed(length) => {
                (self.began.elapsed().as_millis() * 100 / length.as_millis().max(1)).min(100) as u64
            }
            Kind::Serves | Kind::Fills | Kind::Fails(_) => {
                if self.began.elapsed() >= STARTUP {
                    100
                } else {
                    0
                }
            }
        }
    }

    fn share(&self) -> f64 {
        let (now, before) = self.pace;
        (if self.paced_at.elapsed() >= PACE { now } else { before }) as f64 / 100.0
    }
}

struct State {
    born: u64,
    began: Instant,
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<String, Run>,
    /// Number, task, run, how.
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run that was stopped or has ended, by task.
    highest: BTreeMap<String, u64>,
    is_up: bool,
    /// Whether the runner is partitioned from all nodes.
    is_cut: bool,
}

pub struct Runner {
    pub id: String,
    state: Mutex<State>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    record: Arc<Record>,
    /// Processor time in thousandths of a core, and memory in MB.
    pub capacity: (u32, u32),
    /// Users of the tasks that serve, in thousandths of the usual.
    pub load: AtomicU64,
}

/// Returns a number that is the same in each play of a case.
fn mixed(task: &str, run: u64) -> u64 {
    let text = format!("{task} {run}");
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    }) >> 16
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl State {
    fn new() -> Self {
        Self {
            born: unix_ms(),
            began: Instant::now(),
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            highest: BTreeMap::new(),
            is_up: true,
            is_cut: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str, record: &Record, id: &str) {
        if let Some(run) = self.running.remove(task) {
            self.last_end += 1;
            self.ends.push((self.last_end, task.to_owned(), run.number, how));
            let highest = self.highest.entry(task.to_owned()).or_default();
            *highest = (*highest).max(run.number);
            record.end(id, task, run.number, how);
        }
    }
}

impl Runner {
    pub fn start(
        number: usize,
        listener: TcpListener,
        capacity: (u32, u32),
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let runner = Arc::new(Self {
            id: format!("runner-{number:02}"),
            state: Mutex::new(State::new()),
            changed: Condvar::new(),
            server: Mutex::new(None),
            record: Arc::clone(record),
            capacity,
            load: AtomicU64::new(1000),
        });
        let served = Arc::clone(&runner);
        let server = Server::start(listener, Arc::new(move |request| served.answer(&request)));
        let address = server.address.clone();
        *runner.server.lock().unwrap() = Some(server);
        let ticking = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                ticking.tick();
            }
        });
        let (listed, store) = (Arc::clone(&runner), Arc::clone(store));
        thread::spawn(move || {
            let mut seq = 0;
            let mut missed = 0;
            loop {
                let (is_up, born) = {
                    let state = listed.state.lock().unwrap();
                    (state.is_up, state.born)
                };
                if is_up {
                    missed = 0;
                    seq += 1;
                    let (cpu, memory) = listed.capacity;
                    let rack = format!("r1-{}", number / 8);
                    store.put(
                        &format!("servers/{}", listed.id),
                        &json!({
                            "service": "pool", "addr": address, "zone": "zone-a", "version": "1",
                            "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": seq,
                            "born": born, "labels": ["a", rack],
                            "capacity": {"cpu": cpu, "memMb": memory, "gpu": 0},
                        }),
                    );
                } else {
                    missed += 1;
                    if missed == 3 {
                        store.delete(&format!("servers/{}", listed.id));
                    }
                }
                // A runner that has started again writes its entry at once.
                let end = Instant::now() + BEAT;
                while Instant::now() < end {
                    thread::sleep(Duration::from_millis(20));
                    let state = listed.state.lock().unwrap();
                    if state.is_up && state.born != born {
                        break;
                    }
                }
            }
        });
        runner
    }

    /// Kills the process: what runs here is gone, and calls get no answer.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        let lost: Vec<String> = state.running.keys().cloned().collect();
        self.record.note(&format!(
            "{} crashes with {} tasks: {}",
            self.id,
            lost.len(),
            lost.join(" ")
        ));
        for (task, run) in std::mem::take(&mut state.running) {
            self.record.lost(&self.id, &task, run.number);
        }
        state.is_up = false;
        drop(state);
        self.server.lock().unwrap().as_ref().expect("the runner serves").down();
    }

    /// Starts the process again, which knows nothing of before.
    pub fn restart(&self) {
        *self.state.lock().unwrap() = State::new();
        self.server.lock().unwrap().as_ref().expect("the runner serves").up();
        self.record.note(&format!("{} has started again", self.id));
    }

    /// Returns the names of the tasks that run here.
    pub fn running(&self) -> Vec<String> {
        self.state.lock().unwrap().running.keys().cloned().collect()
    }

    /// Returns the number of tasks of a job that are at work here.
    pub fn at_work(&self, job: &str) -> usize {
        let state = self.state.lock().unwrap();
        let of_job = state.running.iter().filter(|(task, _)| task.starts_with(job));
        of_job.filter(|(_, run)| run.percent() == 100).count()
    }

    /// Partitions the runner from all nodes, silently, or heals that.
    pub fn set_cut(&self, is_cut: bool) {
        self.state.lock().unwrap().is_cut = is_cut;
        self.changed.notify_all();
        self.record.note(&format!("{} is cut off: {is_cut}", self.id));
    }

    /// Returns `None` if the process is down, or the request came during a cut, which it
    /// does not outlast.
    fn wait_while_cut(&self) -> Option<MutexGuard<'_, State>> {
        let mut state = self.state.lock().unwrap();
        let was_cut = state.is_cut;
        while state.is_cut {
            state = self.changed.wait(state).unwrap();
        }
        (state.is_up && !was_cut).then_some(state)
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        let is_over = state.clock_ms() >= state.deadline_ms;
        let ended = state.running.iter().filter(|(_, run)| is_over || run.is_over());
        let ended: Vec<String> = ended.map(|(task, _)| task.clone()).collect();
        for task in &ended {
            let fails = matches!(state.running[task].kind, Kind::Fails(_));
            let how = if fails { "failed" } else { "done" };
            state.end(task, if is_over { "lapsed" } else { how }, &self.record, &self.id);
        }
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn grant(state: &mut State, body: &Value) {
        if let Some(until) = body["deadlineMs"].as_u64() {
            let longest = state.clock_ms() + HOLD_MAX_MS;
            state.deadline_ms = state.deadline_ms.max(until.min(longest));
        }
    }

    fn answer(&self, request: &Request) -> Option<(u16, Value)> {
        let body = &request.body;
        let mut state = self.wait_while_cut()?;
        let clock = state.clock_ms();
        if !request.instance.is_empty() && request.instance != self.id {
            return Some((421, json!({"clockMs": clock})));
        }
        let fence = body["fencingToken"].as_u64().unwrap_or(0);
        let refused = |reason: &str| Some((409, json!({"clockMs": clock, "reason": reason})));
        if fence < state.fence {
            return refused("fence");
        }
        state.fence = fence;
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["runId"].as_u64().unwrap_or(0);
        match request.path.as_str() {
            "/api/run-start" => {
                if state.running.get(&task).is_some_and(|run| run.number == number) {
                    return Some((200, json!({"clockMs": clock})));
                }
                let highest = state.highest.get(&task).copied().unwrap_or(0);
                let known = state.running.get(&task).map_or(0, |run| run.number);
                if body["deadlineMs"].as_u64().unwrap_or(0) <= clock {
                    return refused("late");
                }
                Self::grant(&mut state, body);
                if number <= highest.max(known) {
                    return refused("old");
                }
                let spec = body["spec"].as_str().unwrap_or_default();
                // The spec of a job says what its tasks do, or how many milliseconds they work.
                let kind = match spec {
                    "serves" => Kind::Serves,
                    "fills" => Kind::Fills,
                    spec if spec.starts_with("fails ") => {
                        let mut bounds =
                            spec.split(' ').skip(1).map(|ms| ms.parse().unwrap_or(1000));
                        let (least, most): (u64, u64) =
                            (bounds.next().unwrap_or(1000), bounds.next().unwrap_or(1000));
                        Kind::Fails(Duration::from_millis(
                            least + mixed(&task, number) % (most - least + 1),
                        ))
                    }
                    work_ms => Kind::Timed(Duration::from_millis(work_ms.parse().unwrap_or(1000))),
                };
                let now = Instant::now();
                let run = Run { number, began: now, kind, pace: (100, 100), paced_at: now };
                state.running.insert(task.clone(), run);
                self.record.begin(&self.id, &task, number);
                Some((200, json!({"clockMs": clock})))
            }
            "/api/run-stop" => {
                let highest = state.highest.entry(task.clone()).or_default();
                *highest = (*highest).max(number);
                if state.running.get(&task).is_some_and(|run| run.number <= number) {
                    state.end(&task, "stopped", &self.record, &self.id);
                    self.changed.notify_all();
                }
                Some((200, json!({"clockMs": clock})))
            }
            "/api/pace" => {
                if let Some(run) = state.running.get_mut(&task).filter(|run| run.number == number) {
                    run.pace = (body["percent"].as_u64().unwrap_or(100).min(100), run.pace.0);
                    run.paced_at = Instant::now();
                    self.record.paced(&self.id, &task, run.pace.0);
                }
                Some((200, json!({"clockMs": clock})))
            }
            "/api/hold" => {
                Self::grant(&mut state, body);
                let seen = body["lastSeen"].as_u64().unwrap_or(0);
                state.ends.retain(|(end, ..)| *end > seen);
                let born = state.born;
                let end = Instant::now()
                    + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2000));
                while state.ends.is_empty() && state.is_up && state.born == born && !state.is_cut {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self
                        .changed
                        .wait_timeout(state, left.min(Duration::from_millis(50)))
                        .unwrap()
                        .0;
                }
                while state.is_cut {
                    // The answer is lost.
                    state = self.changed.wait(state).unwrap();
                    if !state.is_cut {
                        return None;
                    }
                }
                (state.is_up && state.born == born).then(|| (200, self.lists(&state)))
            }
            _ => Some((404, json!({}))),
        }
    }

    /// Returns the tail of the response times of a task that serves, in milliseconds. The tasks
    /// that fill disturb it, and so does its own load.
    fn tail_ms(&self, state: &State) -> u64 {
        let fills = state.running.values().filter(|run| run.kind == Kind::Fills);
        let disturbance = (fills.map(Run::share).sum::<f64>() / FULL_FILLS).min(1.0);
        let load = self.load.load(Ordering::SeqCst) as f64 / 1000.0;
        (load * (ALONE_MS + disturbance * DISTURBED_MS)) as u64
    }

    fn lists(&self, state: &MutexGuard<'_, State>) -> Value {
        let figure = |run: &Run| match run.kind {
            Kind::Timed(_) | Kind::Fails(_) => 0,
            Kind::Serves => self.tail_ms(state),
            Kind::Fills => (run.share() * FILL_CPU) as u64,
        };
        let running = state.running.iter();
        let running: Vec<Value> = running
            .map(|(task, run)| json!([task, run.number, "", run.percent(), figure(run)]))
            .collect();
        let ends = state.ends.iter().take(MAX_ENDS);
        let ends: Vec<Value> =
            ends.map(|(end, task, run, how)| json!([end, task, run, how, ""])).collect();
        json!({"clockMs": state.clock_ms(), "born": state.born, "running": running, "finished": ends})
    }
}
