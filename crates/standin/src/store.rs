//! State of the key-value service.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::broadcast;
use wire::pb;

/// Number of events by which a watch may lag before the service ends the watch.
const MAX_WATCH_BACKLOG: usize = 4096;

/// Keys and leases of the key-value service.
#[derive(Debug)]
pub(crate) struct State {
    entries: BTreeMap<String, pb::Entry>,
    /// Last assigned revision.
    revision: u64,
    leases: HashMap<u64, Lease>,
    events: broadcast::Sender<pb::WatchEvent>,
    pub(crate) reads: u64,
    pub(crate) writes: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    end: Instant,
    keys: HashSet<String>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            revision: 0,
            leases: HashMap::new(),
            events: broadcast::Sender::new(MAX_WATCH_BACKLOG),
            reads: 0,
            writes: 0,
        }
    }
}

impl State {
    pub(crate) fn get(&mut self, key: &str) -> Option<pb::Entry> {
        self.reads += 1;
        self.entries.get(key).cloned()
    }

    pub(crate) fn list(&mut self, prefix: &str) -> Vec<pb::Entry> {
        self.reads += 1;
        self.with_prefix(prefix)
    }

    /// Returns the entries with a prefix and a receiver of all later events, which
    /// aren't filtered by the prefix.
    pub(crate) fn watch(
        &mut self,
        prefix: &str,
    ) -> (Vec<pb::Entry>, broadcast::Receiver<pb::WatchEvent>) {
        self.reads += 1;
        (self.with_prefix(prefix), self.events.subscribe())
    }

    /// Writes or removes a key if the key has the expected revision.
    ///
    /// # Errors
    /// Returns an error if the request's lease doesn't exist.
    pub(crate) fn swap(&mut self, request: pb::SwapRequest) -> Result<pb::SwapReply, &'static str> {
        self.writes += 1;
        let known = self.entries.get(&request.key).map_or(0, |entry| entry.revision);
        if known != request.expected {
            return Ok(pb::SwapReply { swapped: false, revision: known });
        }
        if request.lease != 0 && !self.leases.contains_key(&request.lease) {
            return Err("no such lease");
        }
        for lease in self.leases.values_mut() {
            lease.keys.remove(&request.key);
        }
        if let Some(lease) = self.leases.get_mut(&request.lease) {
            lease.keys.insert(request.key.clone());
        }
        let revision = self.set(request.key, request.value);
        Ok(pb::SwapReply { swapped: true, revision })
    }

    /// Creates a lease and returns the lease's id.
    pub(crate) fn grant(&mut self, ttl: Duration) -> u64 {
        self.writes += 1;
        self.revision += 1;
        let lease = Lease { ttl, end: Instant::now() + ttl, keys: HashSet::new() };
        self.leases.insert(self.revision, lease);
        self.revision
    }

    /// Renews a lease; returns whether the lease still exists.
    pub(crate) fn renew(&mut self, lease: u64) -> bool {
        self.writes += 1;
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.end = Instant::now() + lease.ttl;
        true
    }

    pub(crate) fn revoke(&mut self, lease: u64) {
        self.writes += 1;
        self.end_lease(lease);
    }

    /// Ends lapsed leases and removes the keys attached to them.
    pub(crate) fn expire_leases(&mut self) {
        let now = Instant::now();
        let lapsed: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.end < now).map(|(id, _)| *id).collect();
        for lease in lapsed {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        for key in self.leases.remove(&lease).map(|lease| lease.keys).unwrap_or_default() {
            self.set(key, None);
        }
    }

    fn set(&mut self, key: String, value: Option<Bytes>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        match &value {
            Some(value) => {
                let entry = pb::Entry { key: key.clone(), value: value.clone(), revision };
                self.entries.insert(key.clone(), entry);
            }
            None => {
                self.entries.remove(&key);
            }
        }
        // Sending fails if there are no watches, which is no error.
        let _ = self.events.send(pb::WatchEvent { key, value, revision });
        revision
    }

    fn with_prefix(&self, prefix: &str) -> Vec<pb::Entry> {
        let from = self.entries.range(prefix.to_owned()..);
        from.take_while(|(key, _)| key.starts_with(prefix)).map(|(_, e)| e.clone()).collect()
    }
}
