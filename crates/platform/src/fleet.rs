//! The platform's list of instances.

use base::Name;
use futures::future::BoxFuture;

use crate::error::Result;

/// A `Kind` is what a target is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Runs tasks.
    Worker,
    /// Serves calls.
    Runner,
}

/// An `Instance` is a target in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Unique name.
    pub name: Name,
    /// Address, `host:port`.
    pub address: Name,
    /// What the target is for.
    pub kind: Kind,
    /// Whether the platform is about to take it away.
    pub is_leaving: bool,
    /// Region.
    pub region: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Rack.
    pub rack: Name,
}

/// A `Fleet` is the platform's list of instances, which lags behind.
pub trait Fleet: Send + Sync {
    /// Gets the list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Instance>>>;
}
