//! Circuit breaker for workers on which tasks fail.
//!
//! A refusal for lack of capacity does not count as a failure of the worker,
//! and a worker is suspected only after failures of more than one job, because
//! a faulty job fails on every worker. Both rules follow the circuit breaker of
//! the related paper (PAPER-fix-fleet-per-provider-3d16).

use std::time::Duration;

use base::Name;
use smallvec::SmallVec;

/// Conditions under which a worker is suspected, and delays of its probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Thresholds {
    /// Consecutive failures after which a worker is suspected.
    pub min_failures: u32,
    /// Number of different jobs that must be among those failures.
    pub min_jobs: usize,
    /// Delay of the first probe of a suspected worker; doubled with each further
    /// failure.
    pub min_backoff: Duration,
    /// Upper limit of the delay between probes.
    pub max_backoff: Duration,
}

/// Values for batch tasks that run for minutes.
impl Default for Thresholds {
    fn default() -> Self {
        Self {
            min_failures: 5,
            min_jobs: 2,
            min_backoff: Duration::from_secs(10),
            max_backoff: Duration::from_secs(300),
        }
    }
}

/// Outcome of an attempt, as far as it concerns the worker's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt succeeded.
    Succeeded,
    /// The attempt failed.
    Failed,
    /// The worker lacked free capacity for the attempt.
    NoRoom,
}

/// Change of the health of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The worker is suspected until a probe succeeds.
    Suspected,
    /// The worker is no longer suspected.
    Cleared,
}

/// Maximum number of jobs whose failures are counted for a worker. Failures of
/// further jobs add nothing to the evidence.
const MAX_JOBS: usize = 8;

/// Recent failures of a worker and its circuit breaker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    thresholds: Thresholds,
    failures: SmallVec<[JobFailures; 2]>,
    backoff: Option<Backoff>,
    last_failure: Duration,
    /// Number of times that a run that lasted has ended a suspicion since the last
    /// success.
    lasting_clears: u32,
}

/// Failures of one job on a worker since the last success there.
#[derive(Clone, Debug)]
struct JobFailures {
    job: Name,
    count: u32,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    delay: Duration,
    next_probe: Duration,
    /// Time of the last probe, or of the suspicion.
    last_probe: Duration,
    /// Whether a probe was sent since the last failure.
    is_probed: bool,
}

/// The delay of probes by work that has no other room is the regular one over
/// this divisor.
const EARLY_DIVISOR: u32 = 6;

/// Upper limit of the delay of probes by work that has no other room.
const MAX_EARLY_DELAY: Duration = Duration::from_secs(3);

/// Time for which a run has to last to clear a suspected worker; doubled each time
/// that a worker is suspected again afterwards.
const MIN_LASTING_TIME: Duration = Duration::from_secs(1);

/// Time for which a run has to last to clear the failures of a worker that is not
/// suspected, and upper limit for suspected ones.
const MAX_LASTING_TIME: Duration = Duration::from_secs(60);

impl Health {
    /// Creates the record of a worker without failures.
    pub fn new(thresholds: Thresholds) -> Self {
        Self { thresholds, ..Self::default() }
    }

    /// Records an outcome at time `now`; returns the change of health, if any.
    pub fn record(&mut self, outcome: Outcome, job: &Name, now: Duration) -> Option<Transition> {
        match outcome {
            Outcome::NoRoom => None,
            Outcome::Succeeded => {
                let suspected = self.is_suspected();
                *self = Self::new(self.thresholds);
                suspected.then_some(Transition::Cleared)
            }
            Outcome::Failed => self.record_failure(job, now),
        }
    }

    /// Returns whether the worker is suspected.
    pub fn is_suspected(&self) -> bool {
        self.backoff.is_some()
    }

    /// Returns whether the worker is suspected and may get one task as a probe
    /// at `now`.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        self.backoff.is_some_and(|backoff| now >= backoff.next_probe)
    }

    /// Returns whether a probe has been due for as long as the first probe is
    /// delayed.
    pub fn is_probe_overdue(&self, now: Duration) -> bool {
        let delay = self.thresholds.min_backoff;
        self.backoff.is_some_and(|backoff| now >= backoff.next_probe + delay)
    }

    /// Returns whether the worker is suspected and may get a task as a probe that
    /// would otherwise have no room.
    pub fn is_early_probe_due(&self, now: Duration) -> bool {
        self.has_waited(1, now)
    }

    /// Returns whether nothing has used such a probe for as long again.
    pub fn is_early_probe_overdue(&self, now: Duration) -> bool {
        self.has_waited(2, now)
    }

    fn has_waited(&self, delays: u32, now: Duration) -> bool {
        self.backoff.is_some_and(|backoff| {
            let delay = (backoff.delay / EARLY_DIVISOR).min(MAX_EARLY_DELAY);
            now >= backoff.last_probe + delay * delays
        })
    }

    /// Notes that a probe was sent at `now`, which delays the next one by the
    /// current backoff.
    pub fn start_probe(&mut self, now: Duration) {
        if let Some(backoff) = &mut self.backoff {
            backoff.next_probe = now + backoff.delay;
            backoff.last_probe = now;
            backoff.is_probed = true;
        }
    }

    /// Records that a run without an end of its own still works at `now`; it was
    /// confirmed at `confirmed`. If it has lasted since the last failure, the
    /// failures are forgotten; returns the change of health, if any.
    pub fn record_lasting(&mut self, confirmed: Duration, now: Duration) -> Option<Transition> {
        if self.failures.is_empty() || confirmed < self.last_failure {
            return None;
        }
        let suspected = self.is_suspected();
        let needed = if suspected {
            MIN_LASTING_TIME.saturating_mul(1 << self.lasting_clears.min(6)).min(MAX_LASTING_TIME)
        } else {
            MAX_LASTING_TIME
        };
        if now.saturating_sub(confirmed) < needed {
            return None;
        }
        let lasting_clears = if suspected { self.lasting_clears + 1 } else { 0 };
        *self = Self { lasting_clears, ..Self::new(self.thresholds) };
        suspected.then_some(Transition::Cleared)
    }

    /// Takes back the failures of a job that was found to be at fault; returns
    /// the change of health, if any.
    pub fn forgive(&mut self, job: &Name) -> Option<Transition> {
        self.failures.retain(|failures| failures.job != *job);
        if self.has_evidence() {
            return None;
        }
        self.backoff.take().map(|_| Transition::Cleared)
    }

    fn record_failure(&mut self, job: &Name, now: Duration) -> Option<Transition> {
        if let Some(known) = self.failures.iter_mut().find(|failures| failures.job == *job) {
            known.count = known.count.saturating_add(1);
        } else if self.failures.len() < MAX_JOBS {
            self.failures.push(JobFailures { job: job.clone(), count: 1 });
        }
        self.last_failure = now;
        if !self.has_evidence() {
            return None;
        }
        let Thresholds { min_backoff, max_backoff, .. } = self.thresholds;
        let Some(backoff) = &mut self.backoff else {
            let (delay, next_probe) = (min_backoff, now + min_backoff);
            self.backoff = Some(Backoff { delay, next_probe, last_probe: now, is_probed: false });
            return Some(Transition::Suspected);
        };
        // Failures of runs from before the suspicion are no failed probes.
        if backoff.is_probed || now >= backoff.next_probe {
            backoff.delay = (backoff.delay * 2).min(max_backoff);
            backoff.next_probe = now + backoff.delay;
            backoff.is_probed = false;
        }
        None
    }

    /// Returns whether the failures suffice to suspect the worker.
    fn has_evidence(&self) -> bool {
        let count =
            self.failures.iter().map(|failures| failures.count).fold(0, u32::saturating_add);
        count >= self.thresholds.min_failures && self.failures.len() >= self.thresholds.min_jobs
    }
}
