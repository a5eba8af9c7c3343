//! The edges of a node, apart from the key-value service.

use std::{collections::HashMap, sync::Arc, time::Duration};

use base::Name;
use futures::future::BoxFuture;
use plan::{Listing, StartAnswer, TargetInfo};
use work::{Config, StepKey, TaskKey};

/// A `Target` is where the orders for a target go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its id, which it must still have.
    pub id: Name,
    /// Its address, `host:port`.
    pub address: Name,
}

/// A `Start` is the order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// What is to run.
    pub payload: Name,
    /// Where the work resumes.
    pub checkpoint: Option<Name>,
    /// The permission to run the step.
    pub ticket: Option<Name>,
    /// Until when everything on the target may run, on its clock.
    pub lease_until_ms: u64,
    /// Term of the placer.
    pub term: u64,
}

/// A `Hold` renews the lease of a target and asks what it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hold {
    /// Until when everything on the target may run, on its clock; `None`
    /// leaves that as it is.
    pub lease_until_ms: Option<u64>,
    /// The highest end that it may forget.
    pub recorded_end: u64,
    /// How long it may wait for an end.
    pub wait: Duration,
    /// Term of the placer.
    pub term: u64,
}

/// An `Unanswered` is why there is no usable answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// A later placer has claimed the target.
    Fenced,
    /// The target is another one, or a later life of it.
    Replaced,
    /// There was none in time, or it could not be read.
    Silent(String),
}

/// An answer of a target with its clock, in milliseconds.
pub type Answered<T> = Result<(T, u64), Unanswered>;

/// An `Orders` carries orders to targets.
pub trait Orders: Send + Sync {
    /// Starts a run; gets the target's clock if it told it.
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
        term: u64,
        timeout: Duration,
    ) -> BoxFuture<'a, Answered<()>>;

    /// Renews a lease and lists what runs.
    fn hold<'a>(
        &'a self,
        target: &'a Target,
        hold: Hold,
        timeout: Duration,
    ) -> BoxFuture<'a, Answered<Listing>>;
}

/// An `Advised` is the targets that may run a step, with their tickets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advised {
    /// Targets and tickets.
    pub allowed: Vec<(Name, Name)>,
    /// For how long the tickets are valid.
    pub valid: Option<Duration>,
}

/// An `Advisor` knows which targets may run a step.
pub trait Advisor: Send + Sync {
    /// Gets which of the targets may run a step; `Err` is why there is no
    /// answer.
    fn advise<'a>(
        &'a self,
        step: &'a StepKey,
        targets: &'a [Name],
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Advised, String>>;
}

/// A `Catalog` reads what others than the nodes keep in the key-value service.
pub trait Catalog: Send + Sync {
    /// Gets the key of the configuration, and the prefix to watch for it.
    fn config_key(&self) -> (&'static str, &'static str);

    /// Reads a configuration; `Err` is what is wrong with it.
    fn config(&self, value: &[u8]) -> Result<Config, String>;

    /// Gets the prefix of the targets' keys.
    fn target_prefix(&self) -> &'static str;

    /// Reads what a target says of itself, with its address.
    fn target(&self, id: &str, value: &[u8]) -> Result<(TargetInfo, Name), String>;
}

/// An `Edges` is all that a node meets outside.
#[derive(Clone)]
pub struct Edges {
    /// The key-value service.
    pub records: Arc<dyn platform::Records>,
    /// The targets.
    pub orders: Arc<dyn Orders>,
    /// Who knows which targets may run a step.
    pub advisor: Arc<dyn Advisor>,
    /// What others keep in the key-value service.
    pub catalog: Arc<dyn Catalog>,
}

/// Targets with their addresses, by id.
pub(crate) type Listed = HashMap<Name, (TargetInfo, Name)>;
