//! The connection to one target.

use std::{sync::Arc, time::Duration};

use base::{Name, Resources, Result};
use bytes::Bytes;
use futures::future::BoxFuture;

use crate::{
    call::{Call, Reply},
    report::{AttemptId, Report},
};

/// A `Stamp` says who sends a request, in which term, and until when it holds.
/// A target refuses a term lower than the highest it has seen and a request
/// whose time is over, so a paused owner that wakes can do nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// The owner.
    pub owner: Name,
    /// The owner's term.
    pub term: u64,
    /// On the target's clock; zero for a request that only reads.
    pub not_after: Duration,
}

/// A `Claim` takes, renews or reads the lease of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Who sends it.
    pub stamp: Stamp,
    /// Time that the lease runs from now; zero to read without renewing.
    pub lease: Duration,
    /// Longest time that the target waits for a change of its state.
    pub wait: Duration,
    /// Revision of the state that the owner knows.
    pub seen_revision: u64,
    /// Ended attempts that the target may forget.
    pub forget: Vec<AttemptId>,
}

/// A `Start` is one attempt to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Which attempt.
    pub id: AttemptId,
    /// What it takes.
    pub size: Resources,
    /// How long its submitter says that it runs.
    pub declared_run: Duration,
    /// What it is to do.
    pub payload: Bytes,
}

/// A `StartOutcome` is what a target says to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs or ran already.
    Started,
    /// The target has no room.
    NoRoom,
    /// The target could not start it.
    Failed,
}

/// A `ControlAction` is what is done to attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlAction {
    /// End them.
    Stop,
    /// Save their state, then end them.
    Checkpoint,
    /// Slow them down.
    Throttle,
}

/// A `Control` acts on attempts that run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// Which attempts.
    pub ids: Vec<AttemptId>,
    /// What is done to them.
    pub action: ControlAction,
}

/// A `Link` is the connection to one target. Its failures carry a verdict.
pub trait Link: Send + Sync {
    /// Takes, renews or reads the lease; gets the target's state.
    fn claim(&self, claim: Claim) -> BoxFuture<'_, Result<Report>>;

    /// Starts attempts; gets one outcome for each.
    fn start(&self, stamp: Stamp, starts: Vec<Start>) -> BoxFuture<'_, Result<Vec<StartOutcome>>>;

    /// Acts on attempts.
    fn control(&self, stamp: Stamp, control: Control) -> BoxFuture<'_, Result<()>>;

    /// Makes a call at a runner.
    fn call(&self, call: Call) -> BoxFuture<'_, Result<Reply>>;
}

/// A `Connector` opens links.
pub trait Connector: Send + Sync {
    /// Opens a link to a target. It connects when it is first used.
    fn link(&self, address: &str) -> Result<Arc<dyn Link>>;
}
