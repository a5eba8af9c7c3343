//! A key-value service with compare-and-swap of single keys.

use std::time::Duration;

use bytes::Bytes;
use futures::{future::BoxFuture, stream::BoxStream};

use crate::error::Result;

/// Revision of a key. Later changes have higher revisions, and no revision is ever
/// reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision of a key that doesn't exist.
    pub const ABSENT: Self = Self(0);
}

/// Id of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease(pub u64);

/// Key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision of the last change of the key.
    pub revision: Revision,
}

/// Event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The service is reachable.
    Heartbeat,
    /// A key has a new value.
    Put(Entry),
    /// A key was deleted.
    Deleted {
        /// Key.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}

/// Compare-and-swap of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// Key.
    pub key: String,
    /// Revision that the key must have.
    pub expected: Revision,
    /// New value; `None` to delete the key.
    pub value: Option<Bytes>,
    /// Lease that the key is attached to.
    pub lease: Option<Lease>,
}

/// Key-value service with compare-and-swap, leases and watches.
pub trait Store: Send + Sync {
    /// Returns the entry of a key; `None` if the key doesn't exist.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>>;

    /// Returns all entries whose keys start with `prefix`.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Entry>>>;

    /// Executes a compare-and-swap. Returns the new revision, or `None` if the
    /// revision of the key was not the expected one.
    fn swap(&self, swap: Swap) -> BoxFuture<'_, Result<Option<Revision>>>;

    /// Grants a lease for `ttl`.
    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<Lease>>;

    /// Renews a lease for its time to live.
    ///
    /// # Errors
    /// Fails with [`Error::Lapsed`](crate::Error::Lapsed) if the lease has expired.
    fn renew(&self, lease: Lease) -> BoxFuture<'_, Result<()>>;

    /// Ends a lease and deletes the keys that are attached to the lease.
    fn revoke(&self, lease: Lease) -> BoxFuture<'_, Result<()>>;

    /// Watches the keys that start with `prefix`. The stream first gives all their
    /// current entries, then the changes. The stream ends on an error or if the
    /// service sends neither events nor heartbeats for some time.
    fn watch<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<BoxStream<'static, Event>>>;
}
