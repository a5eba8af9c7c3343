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

/// A `Caution` says when a worker is suspected, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caution {
    /// Failures in a row after which a worker is suspected.
    pub failures: u32,
    /// Jobs that must be among those failures.
    pub jobs: usize,
    /// Time to the first probe of a suspected worker; doubled with each
    /// failure.
    pub first_pause: Duration,
    /// Longest time between probes.
    pub longest_pause: Duration,
}

/// The default fits batch work of minutes.
impl Default for Caution {
    fn default() -> Self {
        Self {
            failures: 5,
            jobs: 2,
            first_pause: Duration::from_secs(10),
            longest_pause: Duration::from_secs(300),
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

/// A `Shift` is a change of a worker's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shift {
    /// The worker is suspected until it is probed.
    Suspected,
    /// The worker is trusted again.
    Cleared,
}

/// A `Health` is the record of a worker's recent failures.
#[derive(Clone, Debug, Default)]
pub struct Health {
    caution: Caution,
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
    pub fn new(caution: Caution) -> Self {
        Self { caution, ..Self::default() }
    }

    /// Records an outcome at time `now`; gets the change of standing, if any.
    pub fn record(&mut self, outcome: Outcome, job: &Name, now: Duration) -> Option<Shift> {
        match outcome {
            Outcome::NoRoom => None,
            Outcome::Succeeded => {
                let suspected = self.is_suspected();
                *self = Self::new(self.caution);
                suspected.then_some(Shift::Cleared)
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

    fn record_failure(&mut self, job: &Name, now: Duration) -> Option<Shift> {
        self.failures = self.failures.saturating_add(1);
        if self.jobs.len() < self.caution.jobs && !self.jobs.contains(job) {
            self.jobs.push(job.clone());
        }
        if self.failures < self.caution.failures || self.jobs.len() < self.caution.jobs {
            return None;
        }
        let shift = self.pause.is_none().then_some(Shift::Suspected);
        let Caution { first_pause, longest_pause, .. } = self.caution;
        let length = self.pause.map_or(first_pause, |p| (p.length * 2).min(longest_pause));
        self.pause = Some(Pause { length, until: now + length });
        shift
    }
}
