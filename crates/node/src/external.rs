//! Interfaces to external services other than the key-value service.

use std::{collections::HashMap, sync::Arc, time::Duration};

use base::Name;
use futures::future::BoxFuture;
use plan::{Listing, Pace, StartAnswer, TargetInfo};
use work::{Config, StepKey, TaskKey};

/// Address and identity of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id that the target must have for an order to be valid.
    pub id: Name,
    /// Address of the target, `host:port`.
    pub address: Name,
}

/// Fencing token of an order. A target process refuses orders with a lower one
/// than the highest that it has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fence(pub u64);

/// Order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Task to run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Payload of the task.
    pub payload: Name,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// Ticket that permits the step on the target.
    pub ticket: Option<Name>,
    /// End of the target's lease on the target's clock, in milliseconds; all
    /// runs on the target must stop then.
    pub lease_until_ms: u64,
    /// Fencing token of the order.
    pub fence: Fence,
}

/// Renewal of a target's lease, combined with a request for the target's runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Renewal {
    /// New end of the lease on the target's clock, in milliseconds; `None`
    /// leaves the lease unchanged.
    pub lease_until_ms: Option<u64>,
    /// Highest number of a recorded run end; the target may forget ends up to
    /// this number.
    pub recorded_end: u64,
    /// Maximum time that the target may wait for a run to end before answering.
    pub wait: Duration,
    /// Fencing token of the order.
    pub fence: Fence,
}

/// Reason why an order has no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The target process has seen a higher fencing token.
    Fenced,
    /// A different target, or a restarted instance of the target, is at the
    /// address.
    Replaced,
    /// The answer did not arrive in time or could not be decoded.
    NoAnswer(String),
}

/// Answer of a target, together with the target's clock in milliseconds.
pub type OrderResult<T> = Result<(T, u64), OrderError>;

/// Client of the targets.
pub trait Orders: Send + Sync {
    /// Starts a run. Also returns the target's clock in milliseconds if the
    /// answer contained it.
    fn start<'a>(
        &'a self,
        target: &'a Target,
        start: &'a Start,
        timeout: Duration,
    ) -> BoxFuture<'a, (StartAnswer, Option<u64>)>;

    /// Stops a run.
    fn stop<'a>(
        &'a self,
        target: &'a Target,
        task: &'a TaskKey,
        run: u32,
        fence: Fence,
        timeout: Duration,
    ) -> BoxFuture<'a, OrderResult<()>>;

    /// Changes the share at which a run works.
    fn pace<'a>(
        &'a self,
        target: &'a Target,
        pace: &'a Pace,
        fence: Fence,
        timeout: Duration,
    ) -> BoxFuture<'a, OrderResult<()>>;

    /// Renews the lease of a target and lists the target's runs.
    fn renew<'a>(
        &'a self,
        target: &'a Target,
        renewal: Renewal,
        timeout: Duration,
    ) -> BoxFuture<'a, OrderResult<Listing>>;
}

/// Targets that may run a step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AllowedTargets {
    /// Permitted targets, each with its ticket.
    pub allowed: Vec<(Name, Name)>,
    /// Time for which the tickets are valid; `None` if unknown.
    pub valid: Option<Duration>,
}

/// Client of the service that decides which targets may run a step.
pub trait Advisor: Send + Sync {
    /// Returns which of `targets` may run a step.
    ///
    /// # Errors
    /// Returns the reason if there is no answer.
    fn advise<'a>(
        &'a self,
        step: &'a StepKey,
        targets: &'a [Name],
        timeout: Duration,
    ) -> BoxFuture<'a, Result<AllowedTargets, String>>;
}

/// Keys and formats of the data that other programs keep in the key-value
/// service.
pub trait Catalog: Send + Sync {
    /// Returns the key of the configuration, and the prefix to watch for
    /// changes of the key.
    fn config_key(&self) -> (&'static str, &'static str);

    /// Decodes a configuration.
    ///
    /// # Errors
    /// Returns the reason if the value is invalid.
    fn config(&self, value: &[u8]) -> Result<Config, String>;

    /// Returns the key prefix of evacuations, which is within the prefix to watch
    /// for changes of the configuration.
    fn evacuation_prefix(&self) -> &'static str;

    /// Returns the data centre that a key evacuates, whatever its value; `None` for
    /// other keys.
    fn evacuated_data_centre(&self, key: &str) -> Option<Name>;

    /// Returns the key prefix of the targets.
    fn target_prefix(&self) -> &'static str;

    /// Decodes the description of a target and its address, `host:port`.
    ///
    /// # Errors
    /// Returns the reason if the value is invalid.
    fn target(&self, id: &str, value: &[u8]) -> Result<(TargetInfo, Name), String>;
}

/// External services of a node.
#[derive(Clone)]
pub struct Services {
    /// Key-value service.
    pub store: Arc<dyn platform::TransactionalStore>,
    /// Client of the targets.
    pub orders: Arc<dyn Orders>,
    /// Client of the advice service.
    pub advisor: Arc<dyn Advisor>,
    /// Formats of the data that other programs keep in the key-value service.
    pub catalog: Arc<dyn Catalog>,
}

/// Known targets with their addresses, by id.
pub(crate) type TargetList = HashMap<Name, (TargetInfo, Name)>;
