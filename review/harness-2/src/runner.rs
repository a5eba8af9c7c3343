//! Stand-in for a runner, after PROTOCOL.md.
//!
//! The payload of a task says how it behaves: `run MS` works for that time and
//! ends `done`; `serve` works until it is stopped or told to fail.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Condvar, Mutex, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Request, Server},
    json::{Json, quote},
    record::Record,
    store::Store,
};

const HOLD_MAX_MS: u64 = 10_000;
const STOP_MS: u64 = 200;
/// Time after which a task that serves is at work.
const STARTUP_MS: u64 = 400;
const BEAT_MS: u64 = 1500;

struct Run {
    number: u64,
    started: Instant,
    /// Time of the work; `None` for a task that serves.
    work: Option<Duration>,
    stopping: Option<Instant>,
}

struct Life {
    born_ms: u64,
    booted: Instant,
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<String, Run>,
    /// Number, task, run and how of the ends that are not forgotten.
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    past: HashMap<String, u64>,
    seq: u64,
}

impl Life {
    fn new() -> Life {
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        Life {
            born_ms,
            booted: Instant::now(),
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            last_end: 0,
            past: HashMap::new(),
            seq: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        1000 + self.booted.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: Option<u64>) {
        let longest = self.clock_ms() + HOLD_MAX_MS;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.unwrap_or(0).min(longest));
    }

    fn lists(&self) -> String {
        let running = self.running.iter().map(|(task, run)| {
            let elapsed = run.started.elapsed().as_millis() as u64;
            let percent = match run.work {
                Some(work) => (elapsed * 100 / work.as_millis().max(1) as u64).min(99),
                None => if elapsed >= STARTUP_MS { 100 } else { 0 },
            };
            format!(r#"[{},{},"",{percent},0]"#, quote(task), run.number)
        });
        let running: Vec<String> = running.collect();
        let finished = self.finished.iter().take(500);
        let finished: Vec<String> =
            finished.map(|(n, task, run, how)| format!(r#"[{n},{},{run},"{how}",""]"#, quote(task))).collect();
        format!(
            r#"{{"clockMs":{},"born":{},"running":[{}],"finished":[{}]}}"#,
            self.clock_ms(), self.born_ms, running.join(","), finished.join(",")
        )
    }
}

/// What a runner has begun or ended, for the judges.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub runner: usize,
    pub task: String,
    /// `None` for a start.
    pub end: Option<&'static str>,
}

pub struct Runner {
    pub index: usize,
    pub id: String,
    service: String,
    life: Mutex<Option<Life>>,
    ended: Condvar,
    server: Mutex<Option<Server>>,
    store: Arc<Store>,
    record: Arc<Record>,
    seen: Arc<Mutex<Vec<Seen>>>,
    /// Starts that are still on their way when the runner's process has ended.
    delayed: Mutex<Vec<Request>>,
    delays_next_start: AtomicBool,
}

impl Runner {
    pub fn start(index: usize, service: &str, store: &Arc<Store>, record: &Arc<Record>, seen: &Arc<Mutex<Vec<Seen>>>) -> Arc<Runner> {
        let runner = Arc::new(Runner {
            index,
            id: format!("i-{index:04}"),
            service: service.to_owned(),
            life: Mutex::new(Some(Life::new())),
            ended: Condvar::new(),
            server: Mutex::new(None),
            store: Arc::clone(store),
            record: Arc::clone(record),
            seen: Arc::clone(seen),
            delayed: Mutex::default(),
            delays_next_start: AtomicBool::new(false),
        });
        let serving: Weak<Runner> = Arc::downgrade(&runner);
        let server = Server::start(Arc::new(move |request: &Request| {
            serving.upgrade().map_or((503, "{}".to_owned()), |runner| runner.receive(request))
        }));
        *runner.server.lock().unwrap() = Some(server);
        let ticking = Arc::clone(&runner);
        thread::spawn(move || {
            let mut beaten: Option<Instant> = None;
            loop {
                thread::sleep(Duration::from_millis(10));
                ticking.tick();
                let is_due = beaten.is_none_or(|at| at.elapsed() >= Duration::from_millis(BEAT_MS));
                if ticking.is_up() && is_due {
                    ticking.beat();
                    beaten = Some(Instant::now());
                } else if beaten.is_some_and(|at| at.elapsed() >= Duration::from_millis(3 * BEAT_MS)) {
                    ticking.store.delete(&format!("servers/{}", ticking.id));
                    beaten = None;
                }
            }
        });
        runner
    }

    pub fn is_up(&self) -> bool {
        self.life.lock().unwrap().is_some()
    }

    fn beat(&self) {
        let address = self.server.lock().unwrap().as_ref().map(|server| server.address.to_string());
        let mut life = self.life.lock().unwrap();
        let (Some(address), Some(life)) = (address, life.as_mut()) else {
            return;
        };
        life.seq += 1;
        let value = format!(
            r#"{{"service":"{}","addr":"{address}","zone":"z1","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"capacity":{{"cpu":16000,"memMb":32768,"gpu":0}},"labels":["a","r1-{}"],"clockMs":{},"born":{},"seq":{}}}"#,
            self.service, self.index / 8, life.clock_ms(), life.born_ms, life.seq
        );
        self.store.write(&format!("servers/{}", self.id), &value);
    }

    fn note(&self, task: &str, run: u64, end: Option<&'static str>) {
        self.record.line(&format!("runner {} {} {task} run {run}", self.id, end.map_or("begins".to_owned(), |how| format!("ends ({how})"))));
        self.seen.lock().unwrap().push(Seen { at: Instant::now(), runner: self.index, task: task.to_owned(), end });
    }

    fn end_run(&self, life: &mut Life, task: &str, how: &'static str) {
        if let Some(run) = life.running.remove(task) {
            life.last_end += 1;
            life.finished.push((life.last_end, task.to_owned(), run.number, how));
            let past = life.past.entry(task.to_owned()).or_default();
            *past = run.number.max(*past);
            self.note(task, run.number, Some(how));
            self.ended.notify_all();
        }
    }

    fn tick(&self) {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return;
        };
        let has_lapsed = life.clock_ms() > life.deadline_ms;
        let ends: Vec<(String, &'static str)> = life
            .running
            .iter()
            .filter_map(|(task, run)| {
                let is_stopped = run.stopping.is_some_and(|at| at.elapsed().as_millis() as u64 >= STOP_MS);
                let is_done = run.work.is_some_and(|work| run.started.elapsed() >= work);
                let how = match (has_lapsed, is_stopped, is_done) {
                    (true, _, _) => "lapsed",
                    (_, true, _) => "stopped",
                    (_, _, true) => "done",
                    _ => return None,
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in ends {
            self.end_run(life, &task, how);
        }
    }

    /// Ends a run as failed through its own fault.
    pub fn fail_task(&self, task: &str) {
        if let Some(life) = self.life.lock().unwrap().as_mut() {
            self.end_run(life, task, "failed");
        }
    }

    /// Kills the runner's process.
    pub fn crash(&self) {
        let lost: Vec<(String, u64)> = match self.life.lock().unwrap().take() {
            Some(life) => life.running.iter().map(|(task, run)| (task.clone(), run.number)).collect(),
            None => return,
        };
        if let Some(server) = &*self.server.lock().unwrap() {
            server.down();
        }
        self.record.line(&format!("runner {} crashes", self.id));
        for (task, run) in lost {
            self.note(&task, run, Some("lost with its runner"));
        }
        self.ended.notify_all();
    }

    /// Starts the runner's process again, under the same id and address.
    pub fn restart(&self) {
        *self.life.lock().unwrap() = Some(Life::new());
        for request in self.delayed.lock().unwrap().drain(..) {
            let (status, body) = self.handle(&request);
            self.record.line(&format!("runner {} carries out a late order {}: {status} {body}", self.id, request.body));
        }
        if let Some(server) = &*self.server.lock().unwrap() {
            server.up_again();
        }
        self.record.line(&format!("runner {} has started again", self.id));
        self.beat();
    }

    /// Lets the next start get no answer and arrive late.
    pub fn delay_next_start(&self, delays: bool) {
        self.delays_next_start.store(delays, Ordering::SeqCst);
    }

    /// Returns whether a start is on its way.
    pub fn has_delayed(&self) -> bool {
        !self.delayed.lock().unwrap().is_empty()
    }

    fn receive(&self, request: &Request) -> (u16, String) {
        if request.path == "/api/run-start" && self.delays_next_start.swap(false, Ordering::SeqCst) {
            self.record.line(&format!("runner {}: a start is late and unanswered: {}", self.id, request.body));
            self.delayed.lock().unwrap().push(request.clone());
            // The caller gives up before.
            thread::sleep(Duration::from_secs(5));
            return (503, "{}".to_owned());
        }
        self.handle(request)
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return (503, "{}".to_owned());
        };
        let clock = |life: &Life, reason: &str| match reason {
            "" => format!(r#"{{"clockMs":{}}}"#, life.clock_ms()),
            reason => format!(r#"{{"clockMs":{},"reason":"{reason}"}}"#, life.clock_ms()),
        };
        let expected = request.header("x-expected-instance");
        if !expected.is_empty() && expected != self.id {
            return (421, clock(life, ""));
        }
        let fence = body.get("fencingToken").number().unwrap_or(0);
        if fence < life.fence {
            return (409, clock(life, "fence"));
        }
        life.fence = fence;
        let task = body.get("task").text().to_owned();
        let number = body.get("runId").number().unwrap_or(0);
        match request.path.as_str() {
            "/api/run-start" => {
                let deadline = body.get("deadlineMs").number();
                if deadline.unwrap_or(0) <= life.clock_ms() {
                    return (409, clock(life, "late"));
                }
                life.extend(deadline);
                if life.running.get(&task).is_some_and(|run| run.number == number) {
                    return (200, clock(life, ""));
                }
                let past = life.past.get(&task).copied().unwrap_or(0);
                if number <= past || life.running.contains_key(&task) {
                    return (409, clock(life, "old"));
                }
                let work = body.get("spec").text().strip_prefix("run ").and_then(|ms| ms.parse().ok());
                let run = Run { number, started: Instant::now(), work: work.map(Duration::from_millis), stopping: None };
                life.running.insert(task.clone(), run);
                self.note(&task, number, None);
                (200, clock(life, ""))
            }
            "/api/run-stop" => {
                let past = life.past.entry(task.clone()).or_default();
                *past = number.max(*past);
                if let Some(run) = life.running.get_mut(&task).filter(|run| run.number == number) {
                    run.stopping.get_or_insert_with(Instant::now);
                    self.record.line(&format!("runner {} is told to stop {task} run {number}", self.id));
                }
                (200, clock(life, ""))
            }
            "/api/hold" => {
                let seen = body.get("lastSeen").number().unwrap_or(0);
                life.finished.retain(|(number, ..)| *number > seen);
                life.extend(body.get("deadlineMs").number());
                let wait = Duration::from_millis(body.get("waitMs").number().unwrap_or(0).min(2000));
                let (born, until) = (life.born_ms, Instant::now() + wait);
                loop {
                    let Some(life) = guard.as_mut().filter(|life| life.born_ms == born) else {
                        return (503, "{}".to_owned());
                    };
                    let left = until.saturating_duration_since(Instant::now());
                    if !life.finished.is_empty() || left.is_zero() {
                        return (200, life.lists());
                    }
                    guard = self.ended.wait_timeout(guard, left).unwrap().0;
                }
            }
            _ => (400, clock(life, "")),
        }
    }
}
