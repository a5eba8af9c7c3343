//! Fair shares of teams in a full cell.
//!
//! A team's weight is the number of jobs per second to which the team is
//! entitled. When a team sends many times its usual load, the jobs beyond that
//! rate are served after the jobs that other teams are entitled to, but before
//! jobs that can only be late.

use std::time::Duration;

/// Capacity of a team's bucket, in seconds of its rate.
const BURST_S: f64 = 2.0;

/// Whether a job is within the share of its team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Entitlement {
    /// Within the rate that the team's weight allows.
    #[default]
    Within,
    /// Beyond the rate that the team's weight allows.
    Beyond,
}

/// Token bucket of a team; one token is one job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    updated_at: Duration,
}

impl Bucket {
    pub(crate) fn new(weight: u32, now: Duration) -> Self {
        Self { tokens: f64::from(weight) * BURST_S, updated_at: now }
    }

    /// Takes one token, if there is one, and returns the entitlement of the
    /// job.
    pub(crate) fn take(&mut self, weight: u32, now: Duration) -> Entitlement {
        let rate = f64::from(weight);
        let earned = now.saturating_sub(self.updated_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(rate * BURST_S);
        self.updated_at = now;
        if self.tokens < 1.0 {
            return Entitlement::Beyond;
        }
        self.tokens -= 1.0;
        Entitlement::Within
    }
}
