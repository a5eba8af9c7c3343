//! The platform's key-value service.

use std::time::Duration;

use bytes::Bytes;
use futures::{future::BoxFuture, stream::BoxStream};

use crate::error::Result;

/// A `Revision` orders the changes of a key; it is never used again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision of a key that doesn't exist.
    pub const ABSENT: Self = Self(0);
}

/// A `Lease` is the number of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease(pub u64);

/// An `Entry` is a key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The revision of the key.
    pub revision: Revision,
}

/// An `Event` is what a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The service is there.
    Heartbeat,
    /// A key has a new value.
    Put(Entry),
    /// A key was deleted.
    Deleted {
        /// The key.
        key: String,
        /// The revision of the deletion.
        revision: Revision,
    },
}

/// A `Swap` is a compare-and-swap of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// The key.
    pub key: String,
    /// The revision that the key must have.
    pub expected: Revision,
    /// The new value; `None` to delete the key.
    pub value: Option<Bytes>,
    /// The lease that the key is tied to.
    pub lease: Option<Lease>,
}

/// A `Store` is a key-value service with compare-and-swap, leases and watches.
pub trait Store: Send + Sync {
    /// Gets an entry; `None` if the key is absent.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>>;

    /// Gets all entries whose keys have a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Entry>>>;

    /// Swaps a key; gets the new revision, or `None` if the key had another
    /// revision than the expected one.
    fn swap(&self, swap: Swap) -> BoxFuture<'_, Result<Option<Revision>>>;

    /// Grants a lease.
    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<Lease>>;

    /// Renews a lease.
    fn renew(&self, lease: Lease) -> BoxFuture<'_, Result<()>>;

    /// Ends a lease and deletes its keys.
    fn revoke(&self, lease: Lease) -> BoxFuture<'_, Result<()>>;

    /// Watches the keys with a prefix. The stream starts with all of them and
    /// ends when the service falls silent.
    fn watch<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<BoxStream<'static, Event>>>;
}
