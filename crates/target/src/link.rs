//! Connection to one target.

use std::{sync::Arc, time::Duration};

use base::{Name, Resources, Result};
use bytes::Bytes;
use futures::future::BoxFuture;

use crate::{
    call::{Call, Reply},
    report::{AttemptId, Report},
};

/// Sender, fencing token and expiry of a request.
///
/// A target refuses a request whose term is lower than the highest term seen so
/// far, and a request that has expired. An owner that resumes after a pause can
/// therefore not change the target any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// Instance that owns the target.
    pub owner: Name,
    /// Term of the owner, as fencing token.
    pub term: u64,
    /// Expiry of the request on the target's clock; zero for a request that only
    /// reads.
    pub not_after: Duration,
}

/// Request that acquires, renews or reads the lease of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Sender, fencing token and expiry of the claim.
    pub stamp: Stamp,
    /// Duration of the lease from now on; zero to read the state without
    /// renewing the lease.
    pub lease: Duration,
    /// Longest time for which the target delays its answer until its state
    /// changes (long polling).
    pub wait: Duration,
    /// Revision of the target's state that the owner has seen last.
    pub seen_revision: u64,
    /// Ended attempts that the target may forget.
    pub forget: Vec<AttemptId>,
}

/// Attempt that a target is to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Resources that the attempt takes.
    pub size: Resources,
    /// Run time that the submitter of the job declared.
    pub declared_run: Duration,
    /// Instructions for the worker, opaque to the scheduler.
    pub payload: Bytes,
}

/// Answer of a target to a [`Start`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The attempt runs now, or was started by an earlier request.
    Started,
    /// The target lacks free capacity.
    NoRoom,
    /// The target could not start the attempt.
    Failed,
}

/// Action on running attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlAction {
    /// Stop the attempts.
    Stop,
    /// Save the state of the attempts, then stop them.
    Checkpoint,
    /// Slow the attempts down.
    Throttle,
}

/// Request for an action on running attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// Ids of the attempts.
    pub ids: Vec<AttemptId>,
    /// Action to take.
    pub action: ControlAction,
}

/// Connection to one target.
///
/// The verdict of a failure states whether the request may have taken effect.
pub trait Link: Send + Sync {
    /// Acquires, renews or reads the lease; returns the state of the target.
    fn claim(&self, claim: Claim) -> BoxFuture<'_, Result<Report>>;

    /// Starts attempts; returns one outcome for each, in the order of `starts`.
    fn start(&self, stamp: Stamp, starts: Vec<Start>) -> BoxFuture<'_, Result<Vec<StartOutcome>>>;

    /// Takes an action on running attempts.
    fn control(&self, stamp: Stamp, control: Control) -> BoxFuture<'_, Result<()>>;

    /// Sends a call to a runner; returns once the response headers have arrived.
    fn call(&self, call: Call) -> BoxFuture<'_, Result<Reply>>;
}

/// Factory of links.
pub trait Connector: Send + Sync {
    /// Returns a link to the target at `address`. The connection is opened on
    /// first use.
    ///
    /// # Errors
    /// Fails if the address is malformed.
    fn link(&self, address: &str) -> Result<Arc<dyn Link>>;
}
