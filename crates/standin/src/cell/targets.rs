//! In-memory targets that run tasks under leases and check the scheduler's
//! guarantees: no overcommitment, no two runs of a task at once, and no start of
//! a task that is already done.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use base::{Name, Resources};
use futures::{FutureExt, future::BoxFuture};
use node::external::{Fence, OrderError, OrderResult, Orders, Renewal, Start, Target};
use plan::{ListedRun, Listing, Pace, Refusal, RunEnd, StartAnswer};
use tokio::time::{self, Instant};
use work::{End, TaskKey};

/// Latency of an order.
const LATENCY: Duration = Duration::from_millis(2);

/// Prefix of payloads whose runs fail immediately.
pub const FAILING_PAYLOAD: &str = "fail";

/// Payload of runs that crash their target at once. The target is back
/// [`RESTART_TIME`] later.
pub const CRASHING_PAYLOAD: &str = "crash";

/// Maximum number of ends in one listing; further ones follow in later listings.
const MAX_ENDS_PER_LISTING: usize = 500;

/// Longest lease that a target accepts; it shortens longer ones to this.
const MAX_LEASE: Duration = Duration::from_secs(10);

/// Reading of the clock of a target's first process at its start, in
/// milliseconds. The clocks of later processes start at lower readings, so that
/// what the earlier clock calls soon is far ahead on the later one.
const FIRST_CLOCK_MS: u64 = 1_000_000_000;

/// Time for which a target is down after a crash.
pub const RESTART_TIME: Duration = Duration::from_millis(500);

/// Fault of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// No order reaches the target.
    Silent,
    /// The target answers one renewal, and is silent from then on.
    LastListing,
    /// Orders are executed, but starts are not answered.
    LosingStartAnswers,
    /// The target is down and answers again as another process at this time.
    Down(Instant),
    /// Starts are not answered and are executed after this time, even if the sender
    /// has ended.
    LateStarts(Duration),
    /// No order is answered, and all are executed after this time, even if the
    /// sender has ended.
    LateOrders(Duration),
    /// Renewals are not answered and are executed after this time, even if the
    /// sender has ended.
    LateRenewals(Duration),
}

/// All targets of a cell.
#[derive(Default)]
pub struct Targets {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    targets: HashMap<Name, TargetState>,
    done: HashSet<TaskKey>,
    starts: HashMap<TaskKey, u32>,
    listing_requests: u32,
    /// Figures with which the runs of jobs are listed.
    figures: HashMap<Name, u32>,
    /// Last pace of the runs of each job, in percent.
    paces: HashMap<Name, u8>,
    /// Whether pace orders get no answer.
    loses_paces: bool,
    /// Descriptions of violated guarantees.
    violations: Vec<String>,
}

struct TargetState {
    capacity: Resources,
    size: Resources,
    fault: Fault,
    /// Number of the target's incarnation, from 1.
    born: u64,
    /// Start of the target's process, and of its clock.
    clock: Instant,
    lease_end: Option<Instant>,
    /// Highest fencing token that the process has seen.
    fence: Fence,
    runs: HashMap<TaskKey, Run>,
    /// Lowest run number that the target still accepts for a task.
    min_run: HashMap<TaskKey, u32>,
    ended: Vec<RunEnd>,
    last_end: u64,
    /// Number of listings that were sent.
    listings: u32,
    /// Time of a run in percent of the time that its payload states.
    run_time_percent: u32,
}

struct Run {
    number: u32,
    start: Instant,
    end: Instant,
    /// How the run ends if neither stopped nor lapsed.
    outcome: End,
}

impl Targets {
    /// Adds a target with room for `slots` tasks of a size.
    pub fn add(&self, id: &Name, size: Resources, slots: u32) {
        let target_state = TargetState {
            capacity: size * slots,
            size,
            fault: Fault::None,
            born: 1,
            clock: Instant::now(),
            lease_end: None,
            fence: Fence::default(),
            runs: HashMap::new(),
            min_run: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
            listings: 0,
            run_time_percent: 100,
        };
        self.lock().targets.insert(id.clone(), target_state);
    }

    /// Sets the fault of a target.
    pub fn set_fault(&self, id: &Name, fault: Fault) {
        if let Some(target_state) = self.lock().targets.get_mut(id) {
            target_state.fault = fault;
        }
    }

    /// Sets the time of later runs on a target in percent of the time that their
    /// payloads state.
    pub fn set_run_time(&self, id: &str, percent: u32) {
        if let Some(target_state) = self.lock().targets.get_mut(id) {
            target_state.run_time_percent = percent;
        }
    }

    /// Simulates a crash and restart of a target under its id: runs, leases and
    /// unrecorded ends are lost.
    pub fn restart(&self, id: &Name) {
        if let Some(target_state) = self.lock().targets.get_mut(id) {
            target_state.restart();
        }
    }

    /// Sets the figure with which the runs of a job are listed.
    pub fn set_figure(&self, job: &str, figure: u32) {
        self.lock().figures.insert(Name::from(job), figure);
    }

    /// Returns the last pace of the runs of a job, in percent.
    pub fn pace(&self, job: &str) -> Option<u8> {
        self.lock().paces.get(job).copied()
    }

    /// Sets whether pace orders have no effect and get no answer.
    pub fn lose_paces(&self, loses_paces: bool) {
        self.lock().loses_paces = loses_paces;
    }

    /// Returns descriptions of the guarantees that were violated.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Returns the number of runs of a job that were started.
    pub fn starts(&self, job: &str) -> u32 {
        let state = self.lock();
        let of_job = state.starts.iter().filter(|(task, _)| &*task.step.job == job);
        of_job.map(|(_, starts)| *starts).sum()
    }

    /// Returns the number of renewals sent to targets, each of which requests a
    /// listing.
    pub fn listing_requests(&self) -> u32 {
        self.lock().listing_requests
    }

    /// Returns the number of listings that a target has sent.
    pub fn listings(&self, id: &str) -> u32 {
        self.lock().targets.get(id).map_or(0, |target_state| target_state.listings)
    }

    /// Returns the number of current runs of a job.
    pub fn running(&self, job: &str) -> usize {
        let state = self.lock();
        let runs = state.targets.values().flat_map(|target_state| target_state.runs.keys());
        runs.filter(|task| &*task.step.job == job).count()
    }

    /// Returns the number of current runs on a target.
    pub fn runs_on(&self, id: &str) -> usize {
        self.lock().targets.get(id).map_or(0, |target_state| target_state.runs.len())
    }

    /// Returns the number of the target's current process.
    fn process(&self, id: &str) -> Option<u64> {
        self.lock().targets.get(id).map(|target_state| target_state.born)
    }

    fn clock_ms(&self, id: &str) -> Option<u64> {
        let state = self.lock();
        state.targets.get(id).map(|target_state| target_state.clock_ms(Instant::now()))
    }

    fn stop(&self, id: &str, task: &TaskKey, run: u32, fence: Fence) -> OrderResult<()> {
        let mut state = self.lock();
        let target_state = state.targets.get_mut(id).ok_or(OrderError::Replaced)?;
        target_state.claim(fence)?;
        if target_state.runs.get(task).is_some_and(|known| known.number == run) {
            target_state.end(task, End::Stopped);
        }
        let min_run = target_state.min_run.entry(task.clone()).or_default();
        *min_run = (*min_run).max(run + 1);
        Ok(((), target_state.clock_ms(Instant::now())))
    }

    fn set_pace(&self, id: &str, pace: &Pace, fence: Fence) -> OrderResult<()> {
        let mut state = self.lock();
        let State { targets, paces, .. } = &mut *state;
        let target_state = targets.get_mut(id).ok_or(OrderError::Replaced)?;
        target_state.claim(fence)?;
        if target_state.runs.get(&pace.task).is_some_and(|run| run.number == pace.run) {
            paces.insert(pace.task.step.job.clone(), pace.percent);
        }
        Ok(((), target_state.clock_ms(Instant::now())))
    }

    fn renew(&self, id: &str, renewal: Renewal) -> OrderResult<Listing> {
        let now = Instant::now();
        let mut state = self.lock();
        let State { targets, figures, .. } = &mut *state;
        let target_state = targets.get_mut(id).ok_or(OrderError::Replaced)?;
        target_state.claim(renewal.fence)?;
        if let Some(until_ms) = renewal.lease_until_ms {
            target_state.extend_lease(until_ms, now);
        }
        target_state.ended.retain(|ended| ended.number > renewal.recorded_end);
        Ok((target_state.listing(figures, now), target_state.clock_ms(now)))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.settle(Instant::now());
        state
    }
}

impl State {
    /// Ends the runs that are complete or whose lease has lapsed by `now`.
    fn settle(&mut self, now: Instant) {
        let mut done = Vec::new();
        for target_state in self.targets.values_mut() {
            if matches!(target_state.fault, Fault::Down(until) if until <= now) {
                target_state.fault = Fault::None;
            }
            let lapse = target_state.lease_end.filter(|end| *end <= now);
            let ended: Vec<(TaskKey, End)> = target_state
                .runs
                .iter()
                .filter_map(|(task, run)| match lapse {
                    Some(lapse) if lapse < run.end => Some((task.clone(), End::Lapsed)),
                    _ => (run.end <= now).then(|| (task.clone(), run.outcome)),
                })
                .collect();
            for (task, outcome) in ended {
                if outcome == End::Done {
                    done.push(task.clone());
                }
                target_state.end(&task, outcome);
            }
        }
        self.done.extend(done);
    }

    fn start(&mut self, id: &Name, start: &Start) -> StartAnswer {
        let now = Instant::now();
        let others = self.targets.iter().filter(|(other, _)| *other != id);
        let runs_elsewhere =
            others.into_iter().any(|(_, target_state)| target_state.runs.contains_key(&start.task));
        let is_done = self.done.contains(&start.task);
        let Some(target_state) = self.targets.get_mut(id) else {
            return StartAnswer::Refused(Refusal::Unable);
        };
        if target_state.claim(start.fence).is_err() {
            return StartAnswer::Refused(Refusal::Fenced);
        }
        if target_state.clock_ms(now) > start.lease_until_ms {
            return StartAnswer::Refused(Refusal::Late);
        }
        target_state.extend_lease(start.lease_until_ms, now);
        if target_state.runs.get(&start.task).is_some_and(|run| run.number == start.run) {
            return StartAnswer::Started;
        }
        if target_state.min_run.get(&start.task).is_some_and(|min_run| start.run < *min_run) {
            return StartAnswer::Refused(Refusal::Outdated);
        }
        let work = start.payload.strip_prefix("work:").and_then(|ms| ms.parse().ok());
        let outcome =
            if start.payload.starts_with(FAILING_PAYLOAD) { End::Failed } else { End::Done };
        let work = Duration::from_millis(work.unwrap_or(0));
        let end = now + work * target_state.run_time_percent / 100;
        target_state
            .runs
            .insert(start.task.clone(), Run { number: start.run, start: now, end, outcome });
        let used = target_state.size * target_state.runs.len() as u32;
        let is_overcommitted = !used.fits(&target_state.capacity);
        *self.starts.entry(start.task.clone()).or_default() += 1;
        if &*start.payload == CRASHING_PAYLOAD {
            target_state.restart();
            target_state.fault = Fault::Down(now + RESTART_TIME);
        }
        if is_overcommitted {
            self.violations.push(format!("{id} is overcommitted by {:?}", start.task));
        }
        if runs_elsewhere {
            self.violations.push(format!("{:?} runs twice, now on {id}", start.task));
        }
        if is_done {
            self.violations
                .push(format!("{:?} starts on {id} although the task is done", start.task));
        }
        StartAnswer::Started
    }
}

impl Run {
    fn percent(&self, now: Instant) -> u32 {
        let (done, whole) = (now - self.start, self.end - self.start);
        (done.as_millis() * 100 / whole.as_millis().max(1)) as u32
    }
}

impl TargetState {
    fn restart(&mut self) {
        self.born += 1;
        self.clock = Instant::now();
        self.lease_end = None;
        self.fence = Fence::default();
        self.runs.clear();
        self.min_run.clear();
        self.ended.clear();
        self.last_end = 0;
    }

    /// Refuses orders with a lower token than the highest that was seen.
    fn claim(&mut self, fence: Fence) -> Result<(), OrderError> {
        if fence < self.fence {
            return Err(OrderError::Fenced);
        }
        self.fence = fence;
        Ok(())
    }

    fn clock_ms(&self, now: Instant) -> u64 {
        FIRST_CLOCK_MS / self.born + (now - self.clock).as_millis() as u64
    }

    fn extend_lease(&mut self, until_ms: u64, now: Instant) {
        let lease = Duration::from_millis(until_ms.saturating_sub(self.clock_ms(now)));
        self.lease_end = self.lease_end.max(Some(now + lease.min(MAX_LEASE)));
    }

    fn end(&mut self, task: &TaskKey, outcome: End) {
        if let Some(run) = self.runs.remove(task) {
            self.last_end += 1;
            self.min_run.insert(task.clone(), run.number + 1);
            let (number, task) = (self.last_end, task.clone());
            let end = RunEnd { number, task, run: run.number, end: outcome, checkpoint: None };
            self.ended.push(end);
        }
    }

    fn listing(&self, figures: &HashMap<Name, u32>, now: Instant) -> Listing {
        let running = self.runs.iter().map(|(task, run)| ListedRun {
            task: task.clone(),
            run: run.number,
            checkpoint: None,
            percent: run.percent(now),
            figure: figures.get(&task.step.job).copied(),
        });
        Listing {
            born_unix_ms: self.born,
            running: running.collect(),
            ended: self.ended.iter().take(MAX_ENDS_PER_LISTING).cloned().collect(),
            has_more_ends: self.ended.len() > MAX_ENDS_PER_LISTING,
        }
    }
}

/// Transport of orders to the targets, subject to their [`Fault`]s.
pub struct Client(pub Arc<Targets>);

impl Client {
    fn fault(&self, target: &Target) -> Fault {
        self.0
            .lock()
            .targets
            .get(&target.id)
            .map_or(Fault::Silent, |target_state| target_state.fault)
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
                Fault::None | Fault::LateRenewals(_) => {
                    let answer = self.0.lock().start(&target.id, start);
                    if matches!(self.fault(target), Fault::Down(_)) {
                        return (StartAnswer::Unknown, None);
                    }
                    (answer, self.0.clock_ms(&target.id))
                }
                Fault::Silent | Fault::LastListing | Fault::Down(_) => {
                    time::sleep(timeout).await;
                    (StartAnswer::Unknown, None)
                }
                Fault::LosingStartAnswers => {
                    self.0.lock().start(&target.id, start);
                    time::sleep(timeout).await;
                    (StartAnswer::Unknown, None)
                }
                Fault::LateStarts(delay) | Fault::LateOrders(delay) => {
                    let (targets, id, start) =
                        (Arc::clone(&self.0), target.id.clone(), start.clone());
                    std::thread::spawn(move || {
                        std::thread::sleep(delay);
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
        fence: Fence,
        timeout: Duration,
    ) -> BoxFuture<'a, OrderResult<()>> {
        async move {
            time::sleep(LATENCY).await;
            match self.fault(target) {
                Fault::Silent | Fault::LastListing | Fault::Down(_) => {
                    time::sleep(timeout).await;
                    return Err(OrderError::NoAnswer("no answer".to_owned()));
                }
                Fault::LateOrders(delay) => {
                    let (targets, id, task) =
                        (Arc::clone(&self.0), target.id.clone(), task.clone());
                    std::thread::spawn(move || {
                        std::thread::sleep(delay);
                        let _ = targets.stop(&id, &task, run, fence);
                    });
                    time::sleep(timeout).await;
                    return Err(OrderError::NoAnswer("no answer".to_owned()));
                }
                Fault::None
                | Fault::LosingStartAnswers
                | Fault::LateStarts(_)
                | Fault::LateRenewals(_) => {}
            }
            self.0.stop(&target.id, task, run, fence)
        }
        .boxed()
    }

    fn pace<'a>(
        &'a self,
        target: &'a Target,
        pace: &'a Pace,
        fence: Fence,
        timeout: Duration,
    ) -> BoxFuture<'a, OrderResult<()>> {
        async move {
            time::sleep(LATENCY).await;
            if self.0.lock().loses_paces {
                time::sleep(timeout).await;
                return Err(OrderError::NoAnswer("no answer".to_owned()));
            }
            self.0.set_pace(&target.id, pace, fence)
        }
        .boxed()
    }

    fn renew<'a>(
        &'a self,
        target: &'a Target,
        renewal: Renewal,
        timeout: Duration,
    ) -> BoxFuture<'a, OrderResult<Listing>> {
        async move {
            time::sleep(LATENCY).await;
            self.0.lock().listing_requests += 1;
            let end = Instant::now() + renewal.wait;
            let process = self.0.process(&target.id);
            loop {
                // The connection to an earlier process stays silent.
                if self.0.process(&target.id) != process {
                    time::sleep(timeout).await;
                    return Err(OrderError::NoAnswer("no answer".to_owned()));
                }
                match self.fault(target) {
                    Fault::Silent | Fault::Down(_) => {
                        time::sleep(timeout).await;
                        return Err(OrderError::NoAnswer("no answer".to_owned()));
                    }
                    Fault::LateOrders(delay) | Fault::LateRenewals(delay) => {
                        let (targets, id) = (Arc::clone(&self.0), target.id.clone());
                        std::thread::spawn(move || {
                            std::thread::sleep(delay);
                            let _ = targets.renew(&id, renewal);
                        });
                        time::sleep(timeout).await;
                        return Err(OrderError::NoAnswer("no answer".to_owned()));
                    }
                    Fault::None
                    | Fault::LastListing
                    | Fault::LosingStartAnswers
                    | Fault::LateStarts(_) => {}
                }
                let (listing, clock_ms) = self.0.renew(&target.id, renewal)?;
                if !listing.ended.is_empty() || Instant::now() >= end {
                    if let Some(target_state) = self.0.lock().targets.get_mut(&target.id) {
                        target_state.listings += 1;
                        if target_state.fault == Fault::LastListing {
                            target_state.fault = Fault::Silent;
                        }
                    }
                    return Ok((listing, clock_ms));
                }
                time::sleep(Duration::from_millis(5)).await;
            }
        }
        .boxed()
    }
}
