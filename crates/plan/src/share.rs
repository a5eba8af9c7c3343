//! What teams are owed when the cell is full.
//!
//! It answers one team that sends many times its usual: a team's weight is the
//! jobs a second that it is owed; what it sends beyond is served after what the
//! others are owed, and before what can only be late.

use std::time::Duration;

/// Jobs that a team may send at once, in seconds of its rate.
const BURST_S: f64 = 2.0;

/// An `Entitlement` says whether a job is owed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Entitlement {
    /// It is within its team's weight.
    #[default]
    Within,
    /// Its team has sent more than that.
    Beyond,
}

/// A `Bucket` counts what a team is owed at the moment, in jobs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    updated_at: Duration,
}

impl Bucket {
    pub(crate) fn new(weight: u32, now: Duration) -> Self {
        Self { tokens: f64::from(weight) * BURST_S, updated_at: now }
    }

    /// Takes one job of a team's rate.
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
