//! Workers that fail what they start.
//!
//! A refusal for lack of room says nothing against a worker, and a job that
//! fails everywhere says nothing against any one worker. Both are as in the
//! circuit breaker of the related paper
//! (PAPER-fix-fleet-per-provider-3d16): capacity refusals are no faults, and
//! a worker is suspected only after failures of more than one job.

use std::time::Duration;

use base::Name;
use smallvec::SmallVec;

/// A `Thresholds` says when a worker is suspected, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Thresholds {
    /// Failures in a row after which a worker is suspected.
    pub min_failures: u32,
    /// Jobs that must be among those failures.
    pub min_jobs: usize,
    /// Time to the first probe of a suspected worker; doubled with each
    /// failure.
    pub min_backoff: Duration,
    /// Longest time between probes.
    pub max_backoff: Duration,
}

/// The default fits batch work of minutes.
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

/// An `Outcome` is what became of an attempt, as far as the worker's health is
/// concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran.
    Succeeded,
    /// It failed.
    Failed,
    /// The worker had no room.
    NoRoom,
}

/// A `Transition` is a change of a worker's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The worker is suspected until it is probed.
    Suspected,
    /// The worker is trusted again.
    Cleared,
}

/// A `Health` is the record of a worker's recent failures.
#[derive(Clone, Debug, Default)]
pub struct Health {
    caution: Thresholds,
    failures: u32,
    jobs: SmallVec<[Name; 2]>,
    pause: Option<Pause>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    length: Duration,
    until: Duration,
}

impl Health {
    /// Makes the record of a worker without failures.
    pub fn new(caution: Thresholds) -> Self {
        Self { caution, ..Self::default() }
    }

    /// Records an outcome at time `now`; gets the change of standing, if any.
    pub fn record(&mut self, outcome: Outcome, job: &Name, now: Duration) -> Option<Transition> {
        match outcome {
            Outcome::NoRoom => None,
            Outcome::Succeeded => {
                let suspected = self.is_suspected();
                *self = Self::new(self.caution);
                suspected.then_some(Transition::Cleared)
            }
            Outcome::Failed => self.record_failure(job, now),
        }
    }

    /// Tells whether the worker is suspected.
    pub fn is_suspected(&self) -> bool {
        self.pause.is_some()
    }

    /// Tells whether a suspected worker may get one task as a probe at `now`.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        self.pause.is_some_and(|pause| now >= pause.until)
    }

    /// Puts off the next probe, since one is under way.
    pub fn start_probe(&mut self, now: Duration) {
        if let Some(pause) = &mut self.pause {
            pause.until = now + pause.length;
        }
    }

    fn record_failure(&mut self, job: &Name, now: Duration) -> Option<Transition> {
        self.failures = self.failures.saturating_add(1);
        if self.jobs.len() < self.caution.min_jobs && !self.jobs.contains(job) {
            self.jobs.push(job.clone());
        }
        if self.failures < self.caution.min_failures || self.jobs.len() < self.caution.min_jobs {
            return None;
        }
        let shift = self.pause.is_none().then_some(Transition::Suspected);
        let Thresholds { min_backoff, max_backoff, .. } = self.caution;
        let length = self.pause.map_or(min_backoff, |p| (p.length * 2).min(max_backoff));
        self.pause = Some(Pause { length, until: now + length });
        shift
    }
}
