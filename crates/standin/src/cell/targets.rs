//! Targets that run tasks under leases, and watch the promises.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use base::{Name, Resources};
use futures::{FutureExt, future::BoxFuture};
use node::external::{OrderError, OrderResult, Orders, Renewal, Start, Target};
use plan::{ListedRun, Listing, Refusal, RunEnd, StartAnswer};
use tokio::time::{self, Instant};
use work::{End, TaskKey};

/// Time for an answer.
const LATENCY: Duration = Duration::from_millis(2);

/// A payload that begins so fails at once.
pub const FAILING: &str = "fail";

/// A `Fault` is how a target fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It doesn't.
    #[default]
    None,
    /// Nothing reaches it.
    Silent,
    /// It does what it is told and doesn't answer starts.
    Mute,
    /// It doesn't answer starts and does them after this time.
    Late(Duration),
}

/// A `Targets` is all targets.
#[derive(Default)]
pub struct Targets {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    targets: HashMap<Name, Runner>,
    done: HashSet<TaskKey>,
    starts: HashMap<TaskKey, u32>,
    /// Requests for listings.
    looks: u32,
    broken: Vec<String>,
}

struct Runner {
    capacity: Resources,
    size: Resources,
    fault: Fault,
    born: u64,
    clock: Instant,
    lease_end: Option<Instant>,
    term: u64,
    runs: HashMap<TaskKey, Run>,
    /// Lowest number that a further run of a task may have.
    lowest: HashMap<TaskKey, u32>,
    ended: Vec<RunEnd>,
    last_end: u64,
}

struct Run {
    number: u32,
    end: Instant,
    how: End,
}

impl Targets {
    /// Adds a target that holds `slots` tasks of a size.
    pub fn add(&self, id: &Name, size: Resources, slots: u32) {
        let runner = Runner {
            capacity: size * slots,
            size,
            fault: Fault::None,
            born: 1,
            clock: Instant::now(),
            lease_end: None,
            term: 0,
            runs: HashMap::new(),
            lowest: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
        };
        self.lock().targets.insert(id.clone(), runner);
    }

    /// Has a target fail.
    pub fn fail(&self, id: &Name, fault: Fault) {
        if let Some(runner) = self.lock().targets.get_mut(id) {
            runner.fault = fault;
        }
    }

    /// Has a target crash and start again under its id.
    pub fn be_born_again(&self, id: &Name) {
        if let Some(runner) = self.lock().targets.get_mut(id) {
            runner.born += 1;
            runner.clock = Instant::now();
            runner.lease_end = None;
            runner.term = 0;
            runner.runs.clear();
            runner.lowest.clear();
            runner.ended.clear();
            runner.last_end = 0;
        }
    }

    /// Gets the promises that were seen broken.
    pub fn broken(&self) -> Vec<String> {
        self.lock().broken.clone()
    }

    /// Gets how often runs of a job were started.
    pub fn starts(&self, job: &str) -> u32 {
        let state = self.lock();
        let of_job = state.starts.iter().filter(|(task, _)| &*task.step.job == job);
        of_job.map(|(_, starts)| *starts).sum()
    }

    /// Counts the requests for listings.
    pub fn looks(&self) -> u32 {
        self.lock().looks
    }

    /// Gets the number of runs of a job that are there now.
    pub fn running(&self, job: &str) -> usize {
        let state = self.lock();
        let runs = state.targets.values().flat_map(|runner| runner.runs.keys());
        runs.filter(|task| &*task.step.job == job).count()
    }

    /// Counts the runs on a target.
    pub fn runs_on(&self, id: &str) -> usize {
        self.lock().targets.get(id).map_or(0, |runner| runner.runs.len())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.settle(Instant::now());
        state
    }
}

impl State {
    /// Ends what has ended by now.
    fn settle(&mut self, now: Instant) {
        let mut done = Vec::new();
        for runner in self.targets.values_mut() {
            let lapse = runner.lease_end.filter(|end| *end <= now);
            let ended: Vec<(TaskKey, End)> = runner
                .runs
                .iter()
                .filter_map(|(task, run)| match lapse {
                    Some(lapse) if lapse < run.end => Some((task.clone(), End::Lapsed)),
                    _ => (run.end <= now).then(|| (task.clone(), run.how)),
                })
                .collect();
            for (task, how) in ended {
                if how == End::Done {
                    done.push(task.clone());
                }
                runner.end(&task, how);
            }
        }
        self.done.extend(done);
    }

    fn start(&mut self, id: &Name, start: &Start) -> StartAnswer {
        let now = Instant::now();
        let others = self.targets.iter().filter(|(other, _)| *other != id);
        let runs_elsewhere =
            others.into_iter().any(|(_, runner)| runner.runs.contains_key(&start.task));
        let is_done = self.done.contains(&start.task);
        let Some(runner) = self.targets.get_mut(id) else {
            return StartAnswer::Refused(Refusal::Unable);
        };
        if start.term < runner.term {
            return StartAnswer::Refused(Refusal::Fenced);
        }
        runner.term = start.term;
        if runner.clock_ms(now) > start.lease_until_ms {
            return StartAnswer::Refused(Refusal::Late);
        }
        runner.extend(start.lease_until_ms);
        if runner.runs.get(&start.task).is_some_and(|run| run.number == start.run) {
            return StartAnswer::Started;
        }
        if runner.lowest.get(&start.task).is_some_and(|lowest| start.run < *lowest) {
            return StartAnswer::Refused(Refusal::Outdated);
        }
        let work = start.payload.strip_prefix("work:").and_then(|ms| ms.parse().ok());
        let how = if start.payload.starts_with(FAILING) { End::Failed } else { End::Done };
        let end = now + Duration::from_millis(work.unwrap_or(0));
        runner.runs.insert(start.task.clone(), Run { number: start.run, end, how });
        let used = runner.size * runner.runs.len() as u32;
        let is_over = !used.fits(&runner.capacity);
        *self.starts.entry(start.task.clone()).or_default() += 1;
        if is_over {
            self.broken.push(format!("{id} is overcommitted by {:?}", start.task));
        }
        if runs_elsewhere {
            self.broken.push(format!("{:?} runs twice, now on {id}", start.task));
        }
        if is_done {
            self.broken.push(format!("{:?} starts on {id} though it is done", start.task));
        }
        StartAnswer::Started
    }
}

impl Runner {
    fn clock_ms(&self, now: Instant) -> u64 {
        (now - self.clock).as_millis() as u64
    }

    fn extend(&mut self, until_ms: u64) {
        let end = self.clock + Duration::from_millis(until_ms);
        self.lease_end = self.lease_end.max(Some(end));
    }

    fn end(&mut self, task: &TaskKey, how: End) {
        if let Some(run) = self.runs.remove(task) {
            self.last_end += 1;
            self.lowest.insert(task.clone(), run.number + 1);
            let (number, task) = (self.last_end, task.clone());
            let end = RunEnd { number, task, run: run.number, end: how, checkpoint: None };
            self.ended.push(end);
        }
    }

    fn listing(&self) -> Listing {
        let running = self.runs.iter().map(|(task, run)| ListedRun {
            task: task.clone(),
            run: run.number,
            checkpoint: None,
            percent: 50,
        });
        Listing { born_unix_ms: self.born, running: running.collect(), ended: self.ended.clone() }
    }
}

/// A `Client` carries orders to the targets.
pub struct Client(pub Arc<Targets>);

impl Client {
    fn fault(&self, target: &Target) -> Fault {
        self.0.lock().targets.get(&target.id).map_or(Fault::Silent, |runner| runner.fault)
    }
}

impl Orders for Client {
    fn start<'a>(
        &'a self,
        target: &'a Target,
        start: &'a Start,
        timeout: Duration,
    ) -> BoxFuture<'a, (StartAnswer, Option<u64>)> {
        async move {
            time::sleep(LATENCY).await;
            match self.fault(target) {
                Fault::None => (self.0.lock().start(&target.id, start), None),
                Fault::Silent => {
                    time::sleep(timeout).await;
                    (StartAnswer::Unknown, None)
                }
                Fault::Mute => {
                    self.0.lock().start(&target.id, start);
                    time::sleep(timeout).await;
                    (StartAnswer::Unknown, None)
                }
                Fault::Late(delay) => {
                    let (targets, id, start) =
                        (Arc::clone(&self.0), target.id.clone(), start.clone());
                    tokio::spawn(async move {
                        time::sleep(delay).await;
                        targets.lock().start(&id, &start);
                    });
                    time::sleep(timeout).await;
                    (StartAnswer::Unknown, None)
                }
            }
        }
        .boxed()
    }

    fn stop<'a>(
        &'a self,
        target: &'a Target,
        task: &'a TaskKey,
        run: u32,
        term: u64,
        timeout: Duration,
    ) -> BoxFuture<'a, OrderResult<()>> {
        async move {
            time::sleep(LATENCY).await;
            if self.fault(target) == Fault::Silent {
                time::sleep(timeout).await;
                return Err(OrderError::NoAnswer("no answer".to_owned()));
            }
            let mut state = self.0.lock();
            let runner = state.targets.get_mut(&target.id).ok_or(OrderError::Replaced)?;
            if term < runner.term {
                return Err(OrderError::Fenced);
            }
            if runner.runs.get(task).is_some_and(|known| known.number == run) {
                runner.end(task, End::Stopped);
            }
            let lowest = runner.lowest.entry(task.clone()).or_default();
            *lowest = (*lowest).max(run + 1);
            Ok(((), runner.clock_ms(Instant::now())))
        }
        .boxed()
    }

    fn renew<'a>(
        &'a self,
        target: &'a Target,
        hold: Renewal,
        timeout: Duration,
    ) -> BoxFuture<'a, OrderResult<Listing>> {
        async move {
            time::sleep(LATENCY).await;
            self.0.lock().looks += 1;
            let end = Instant::now() + hold.wait;
            loop {
                if self.fault(target) == Fault::Silent {
                    time::sleep(timeout).await;
                    return Err(OrderError::NoAnswer("no answer".to_owned()));
                }
                {
                    let now = Instant::now();
                    let mut state = self.0.lock();
                    let runner = state.targets.get_mut(&target.id).ok_or(OrderError::Replaced)?;
                    if hold.term < runner.term {
                        return Err(OrderError::Fenced);
                    }
                    runner.term = hold.term;
                    if let Some(until_ms) = hold.lease_until_ms {
                        runner.extend(until_ms);
                    }
                    runner.ended.retain(|ended| ended.number > hold.recorded_end);
                    if !runner.ended.is_empty() || now >= end {
                        return Ok((runner.listing(), runner.clock_ms(now)));
                    }
                }
                time::sleep(Duration::from_millis(5)).await;
            }
        }
        .boxed()
    }
}
