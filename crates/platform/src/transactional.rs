//! A key-value service whose changes may span several keys.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::{
    error::Result,
    store::{Entry, Event, Lease, Revision},
};

/// A `Page` is a part of the entries with a prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// The entries, in the order of their keys.
    pub entries: Vec<Entry>,
    /// Whether more entries follow.
    pub has_more: bool,
    /// The service's revision when the page was read.
    pub revision: Revision,
}

/// A `Changes` is what has happened to the keys with a prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The changes, in their order.
    pub events: Vec<Event>,
    /// The revision to go on from.
    pub revision: Revision,
}

/// A `Write` is the new value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The lease that the key is tied to.
    pub lease: Option<Lease>,
}

/// A `Commit` is a change that takes effect as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Commit {
    /// Keys with the revisions that they must have.
    pub expected: Vec<(String, Revision)>,
    /// New values.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

/// A `CommitOutcome` is the outcome of a [`Commit`] that was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// It took effect at this revision.
    Done(Revision),
    /// A key had another revision. These are the expected keys that exist.
    Conflict(Vec<Entry>),
}

/// A `TransactionalStore` is a key-value service with conditional changes of several
/// keys, leases, and changes by revision.
pub trait TransactionalStore: Send + Sync {
    /// Gets an entry; `None` if the key is absent.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>>;

    /// Gets the entries whose keys have a prefix and come after a key.
    fn page<'a>(&'a self, prefix: &'a str, after: &'a str) -> BoxFuture<'a, Result<Page>>;

    /// Makes a change under its conditions.
    fn commit(&self, commit: Commit) -> BoxFuture<'_, Result<CommitOutcome>>;

    /// Waits for changes of the keys with a prefix after a revision.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes>>;

    /// Grants a lease; gets it with the time for which it holds.
    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<(Lease, Duration)>>;

    /// Renews a lease.
    fn renew(&self, lease: Lease) -> BoxFuture<'_, Result<()>>;

    /// Ends a lease and deletes its keys.
    fn revoke(&self, lease: Lease) -> BoxFuture<'_, Result<()>>;
}
