//! Simulated targets, as described on the users' page of the protocol.

use std::{collections::BTreeMap, time::Duration};

use base::Name;
use plan::{Availability, ListedRun, Listing, Refusal, RunEnd, Start};
use work::{End, TaskKey};

/// Longest lease that a target accepts, on its own clock.
const MAX_LEASE_MS: u64 = 10_000;

/// Directions in which a cut link loses messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    Both,
    Orders,
    Answers,
}

/// How an unhealthy target treats part of its orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Impairment {
    /// Answered without effect.
    Errors,
    /// Neither carried out nor answered.
    Hangs,
    /// Carried out at once and not answered.
    LostAnswers,
    /// Carried out seconds later and not answered.
    Late,
    /// Carried out and answered slowly.
    Slow,
}

/// Target, with the process that runs on it at present.
pub struct Target {
    pub name: Name,
    pub process: Option<Process>,
    /// Cut of its links, until a time, for one term or all.
    pub cut: Option<(Cut, Duration, Option<u32>)>,
    pub impairment: Option<(Impairment, Duration)>,
    /// Its entry in the list of targets: availability, and start time of the
    /// process that wrote it.
    pub entry: Option<(Availability, u64)>,
}

/// Process of a target.
pub struct Process {
    pub born: u64,
    started_at: Duration,
    /// Reading of the clock at the start, in milliseconds.
    first_clock_ms: u64,
    /// Speed of the clock, in thousandths.
    clock_rate_milli: u64,
    fence: u64,
    /// End of the lease, in milliseconds on the own clock.
    lease_end_ms: Option<u64>,
    pub runs: BTreeMap<(TaskKey, u32), Run>,
    /// Lowest run number that is still accepted for a task.
    min_runs: BTreeMap<TaskKey, u32>,
    ended: Vec<RunEnd>,
    last_end: u64,
    /// Requests that wait for an end.
    pub parked: Vec<u64>,
}

/// Run on a target.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub started_at: Duration,
    work: Duration,
    pub is_stopping: bool,
}

impl Run {
    pub fn new(started_at: Duration, work: Duration) -> Self {
        Self { started_at, work, is_stopping: false }
    }
}

impl Process {
    pub fn new(born: u64, now: Duration, first_clock_ms: u64, clock_rate_milli: u64) -> Self {
        Self {
            born,
            started_at: now,
            first_clock_ms,
            clock_rate_milli,
            fence: 0,
            lease_end_ms: None,
            runs: BTreeMap::new(),
            min_runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            parked: Vec::new(),
        }
    }

    pub fn clock_ms(&self, now: Duration) -> u64 {
        let elapsed = (now - self.started_at).as_micros() as u64;
        self.first_clock_ms + elapsed * self.clock_rate_milli / 1_000_000
    }

    /// Returns the time at which the lease ends, if there is one.
    pub fn lease_end(&self) -> Option<Duration> {
        let left_ms = self.lease_end_ms?.saturating_sub(self.first_clock_ms);
        let elapsed = (left_ms * 1_000_000).div_ceil(self.clock_rate_milli);
        Some(self.started_at + Duration::from_micros(elapsed))
    }

    /// Returns whether the order is not fenced off.
    pub fn claim(&mut self, fence: u64) -> bool {
        let is_valid = fence >= self.fence;
        self.fence = self.fence.max(fence);
        is_valid
    }

    fn extend_lease(&mut self, until_ms: u64, now: Duration) {
        let clock_ms = self.clock_ms(now);
        if until_ms > clock_ms {
            let until_ms = until_ms.min(clock_ms + MAX_LEASE_MS);
            self.lease_end_ms = self.lease_end_ms.max(Some(until_ms));
        }
    }

    /// Carries out a start. Returns whether the run is new.
    pub fn start(
        &mut self,
        start: &Start,
        until_ms: u64,
        has_room: bool,
        now: Duration,
    ) -> Result<bool, Refusal> {
        if self.clock_ms(now) >= until_ms {
            return Err(Refusal::Late);
        }
        if start.ticket.as_ref().is_some_and(|ticket| !self.accepts(ticket, now)) {
            return Err(Refusal::Ticket);
        }
        self.extend_lease(until_ms, now);
        if self.runs.contains_key(&(start.task.clone(), start.run)) {
            return Ok(false);
        }
        if self.min_runs.get(&start.task).is_some_and(|min_run| start.run < *min_run) {
            return Err(Refusal::Outdated);
        }
        if has_room { Ok(true) } else { Err(Refusal::NoRoom) }
    }

    /// Returns a ticket for the present life of the target.
    pub fn ticket(&self, expires_at: Duration) -> Name {
        Name::from(format!("{} {}", self.born, expires_at.as_micros()))
    }

    fn accepts(&self, ticket: &str, now: Duration) -> bool {
        let born = ticket.split(' ').next().and_then(|born| born.parse().ok());
        let expires_at = ticket.split(' ').nth(1).and_then(|micros| micros.parse().ok());
        born == Some(self.born) && expires_at.is_some_and(|at| now < Duration::from_micros(at))
    }

    /// Carries out a stop. Returns whether the run has to end.
    pub fn stop(&mut self, task: &TaskKey, run: u32) -> bool {
        self.refuse_up_to(task, run);
        let known = self.runs.get_mut(&(task.clone(), run));
        known.is_some_and(|known| !std::mem::replace(&mut known.is_stopping, true))
    }

    fn refuse_up_to(&mut self, task: &TaskKey, run: u32) {
        let min_run = self.min_runs.entry(task.clone()).or_default();
        *min_run = (*min_run).max(run + 1);
    }

    /// Renews the lease and forgets ends.
    pub fn hold(&mut self, until_ms: Option<u64>, last_seen: u64, now: Duration) {
        if let Some(until_ms) = until_ms {
            self.extend_lease(until_ms, now);
        }
        self.ended.retain(|end| end.number > last_seen);
    }

    /// Ends a run. Returns the number of the end, if there was such a run.
    pub fn end(&mut self, task: &TaskKey, run: u32, end: End) -> Option<u64> {
        self.runs.remove(&(task.clone(), run))?;
        self.refuse_up_to(task, run);
        self.last_end += 1;
        let number = self.last_end;
        self.ended.push(RunEnd { number, task: task.clone(), run, end, checkpoint: None });
        Some(number)
    }

    /// Returns whether there are ends to list.
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns a listing with up to `max_ends` ends.
    pub fn listing(&self, max_ends: usize, now: Duration) -> Listing {
        let running = self.runs.iter().map(|((task, run), known)| {
            let part = (now - known.started_at).div_duration_f64(known.work);
            let percent = (part * 100.0).min(99.0) as u32;
            ListedRun { task: task.clone(), run: *run, checkpoint: None, percent, figure: None }
        });
        let ended: Vec<RunEnd> = self.ended.iter().take(max_ends).cloned().collect();
        Listing {
            born_unix_ms: self.born,
            running: running.collect(),
            has_more_ends: ended.len() >= max_ends,
            ended,
        }
    }
}
