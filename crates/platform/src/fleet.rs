//! The platform's list of targets.

use base::Name;
use futures::future::BoxFuture;

use crate::error::Result;

/// Purpose of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Runs tasks.
    Worker,
    /// Serves calls.
    Runner,
}

/// Target in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Unique name.
    pub name: Name,
    /// Address (`host:port`).
    pub address: Name,
    /// Purpose of the target.
    pub kind: Kind,
    /// Whether the platform is about to remove the target.
    pub is_leaving: bool,
    /// Region.
    pub region: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Rack.
    pub rack: Name,
}

/// The platform's list of targets, which may be out of date.
pub trait Fleet: Send + Sync {
    /// Returns all targets in the list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Instance>>>;
}
