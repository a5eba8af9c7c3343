//! Failures of requests: whether a request took effect, and what its caller
//! can do next.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Result whose error is a [`Failure`] by default.
pub type Result<T, E = Failure> = std::result::Result<T, E>;

/// Whether a failed request took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request had no effect and will have none.
    NotRun,
    /// The request may have had an effect.
    MayHaveRun,
    /// The request took effect, but its answer could not be delivered.
    Ran,
}

impl Verdict {
    /// Returns the verdict whose [`Verdict::as_str`] is `text`.
    pub fn from_text(text: &str) -> Option<Self> {
        [Self::NotRun, Self::MayHaveRun, Self::Ran].into_iter().find(|v| v.as_str() == text)
    }

    /// Returns the verdict as callers see it.
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

/// What the caller of a failed request can do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Remedy {
    /// Correct the request.
    Fix,
    /// Present a key that grants the necessary rights.
    Authenticate,
    /// Name an entity that exists.
    Find,
    /// Read the current state and decide again.
    Reread,
    /// Send the same request again after the given delay.
    Retry(Duration),
    /// Find out whether the request took effect before sending it again.
    Reconcile,
}

/// Final answer to a request that did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(display("{reason} ({verdict})"))]
pub struct Failure {
    /// Whether the request took effect.
    pub verdict: Verdict,
    /// Recommended reaction of the caller.
    pub remedy: Remedy,
    /// Cause of the failure, as text for the caller.
    pub reason: String,
}

impl Failure {
    /// Creates the failure of an invalid request.
    pub fn invalid(reason: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, Remedy::Fix, reason)
    }

    /// Creates the failure of a request whose caller lacks the rights for it.
    pub fn denied(reason: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, Remedy::Authenticate, reason)
    }

    /// Creates the failure of a request for an entity that does not exist.
    pub fn not_found(reason: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, Remedy::Find, reason)
    }

    /// Creates the failure of a request that conflicts with a concurrent change.
    pub fn conflict(reason: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, Remedy::Reread, reason)
    }

    /// Creates the failure of a request that is refused for now and may be
    /// retried after `after`.
    pub fn busy(after: Duration, reason: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, Remedy::Retry(after), reason)
    }

    /// Creates the failure of a request that may have taken effect.
    pub fn unknown(reason: impl Into<String>) -> Self {
        Self::new(Verdict::MayHaveRun, Remedy::Reconcile, reason)
    }

    /// Creates the failure of a request that took effect but whose answer could
    /// not be delivered.
    pub fn ran(reason: impl Into<String>) -> Self {
        Self::new(Verdict::Ran, Remedy::Reconcile, reason)
    }

    /// Returns whether the request is known to have had no effect.
    pub fn is_not_run(&self) -> bool {
        self.verdict == Verdict::NotRun
    }

    fn new(verdict: Verdict, remedy: Remedy, reason: impl Into<String>) -> Self {
        Self { verdict, remedy, reason: reason.into() }
    }
}
