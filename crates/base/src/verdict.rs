//! Failures and what they say about the request.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A `Result` whose error is a [`Failure`].
pub type Result<T, E = Failure> = std::result::Result<T, E>;

/// A `Verdict` says whether a failed request may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request had no effect and never will.
    NotRun,
    /// The request may have had an effect.
    MayHaveRun,
    /// The request took effect; only its answer is missing.
    Ran,
}

impl Verdict {
    /// Gets the verdict by the text that [`Verdict::as_str`] gives.
    pub fn from_text(text: &str) -> Option<Self> {
        [Self::NotRun, Self::MayHaveRun, Self::Ran].into_iter().find(|v| v.as_str() == text)
    }

    /// Gets the text of the verdict as callers see it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A `Remedy` is what the caller can do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Remedy {
    /// Correct the request.
    Fix,
    /// Present a key that has the right.
    Authenticate,
    /// Name something that exists.
    Find,
    /// Read the current state, then decide anew.
    Reread,
    /// Send the same request again after the given time.
    Retry(Duration),
    /// Find out what happened before sending the request again.
    Reconcile,
}

/// A `Failure` is the final answer to a request that did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(display("{reason} ({verdict})"))]
pub struct Failure {
    /// Whether the request may have had an effect.
    pub verdict: Verdict,
    /// What the caller can do next.
    pub remedy: Remedy,
    /// The cause, in words for the caller.
    pub reason: String,
}

impl Failure {
    /// Makes the failure of a request that is wrong in itself.
    pub fn invalid(reason: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, Remedy::Fix, reason)
    }

    /// Makes the failure of a request without the right to it.
    pub fn denied(reason: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, Remedy::Authenticate, reason)
    }

    /// Makes the failure of a request for something that doesn't exist.
    pub fn not_found(reason: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, Remedy::Find, reason)
    }

    /// Makes the failure of a request that lost a race.
    pub fn conflict(reason: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, Remedy::Reread, reason)
    }

    /// Makes the failure of a request that was refused for now.
    pub fn busy(after: Duration, reason: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, Remedy::Retry(after), reason)
    }

    /// Makes the failure of a request whose effect is unknown.
    pub fn unknown(reason: impl Into<String>) -> Self {
        Self::new(Verdict::MayHaveRun, Remedy::Reconcile, reason)
    }

    /// Makes the failure of a request that took effect but whose answer is
    /// missing.
    pub fn ran(reason: impl Into<String>) -> Self {
        Self::new(Verdict::Ran, Remedy::Reconcile, reason)
    }

    /// Tells whether the request is known to have had no effect.
    pub fn is_not_run(&self) -> bool {
        self.verdict == Verdict::NotRun
    }

    fn new(verdict: Verdict, remedy: Remedy, reason: impl Into<String>) -> Self {
        Self { verdict, remedy, reason: reason.into() }
    }
}
