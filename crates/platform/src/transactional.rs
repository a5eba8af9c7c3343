//! A key-value service with transactions over several keys.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::{
    error::Result,
    store::{Entry, Event, Lease, Revision},
};

/// Part of the entries whose keys start with a prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Entries, in the order of their keys.
    pub entries: Vec<Entry>,
    /// Whether more entries follow.
    pub has_more: bool,
    /// Revision of the service when the page was read.
    pub revision: Revision,
}

/// Changes of the keys that start with a prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Changes, in the order in which they happened.
    pub events: Vec<Event>,
    /// Revision to pass as `after` in the next request for changes.
    pub revision: Revision,
}

/// New value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Lease that the key is attached to.
    pub lease: Option<Lease>,
}

/// Conditional transaction. Either all its writes and removals take effect or
/// none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Commit {
    /// Conditions: keys with their required revisions.
    pub expected: Vec<(String, Revision)>,
    /// New values.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

/// Outcome of a [`Commit`] that the service has answered.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// The transaction took effect at this revision.
    Done(Revision),
    /// A key didn't have its expected revision. Contains the current entries of
    /// those keys in [`Commit::expected`] that exist.
    Conflict(Vec<Entry>),
}

/// Key-value service with conditional transactions over several keys, leases and a
/// change history.
pub trait TransactionalStore: Send + Sync {
    /// Returns the entry of a key; `None` if the key doesn't exist.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>>;

    /// Returns the first page of the entries whose keys start with `prefix` and
    /// come after the key `after`.
    fn page<'a>(&'a self, prefix: &'a str, after: &'a str) -> BoxFuture<'a, Result<Page>>;

    /// Executes a transaction.
    ///
    /// # Errors
    /// Fails with [`Error::Lapsed`](crate::Error::Lapsed) if a lease of its writes
    /// has expired, and with [`Error::Unknown`](crate::Error::Unknown) if the
    /// transaction may have taken effect.
    fn commit(&self, commit: Commit) -> BoxFuture<'_, Result<CommitOutcome>>;

    /// Returns the changes after the revision `after` of the keys that start with
    /// `prefix`. If there are none, the service waits for changes for up to `wait`.
    ///
    /// # Errors
    /// Fails with [`Error::Forgotten`](crate::Error::Forgotten) if the service no
    /// longer keeps the changes after that revision.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes>>;

    /// Grants a lease for about `ttl`. Returns the lease and its actual time to
    /// live.
    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<(Lease, Duration)>>;

    /// Renews a lease for its time to live.
    ///
    /// # Errors
    /// Fails with [`Error::Lapsed`](crate::Error::Lapsed) if the lease has expired.
    fn renew(&self, lease: Lease) -> BoxFuture<'_, Result<()>>;

    /// Ends a lease and deletes the keys that are attached to the lease.
    fn revoke(&self, lease: Lease) -> BoxFuture<'_, Result<()>>;
}
