//! In-memory key-value service with transactions over several keys.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use platform::{
    Changes, Commit, CommitOutcome, Entry, Error, Event, Lease, Page, Result, Revision,
    TransactionalStore,
};
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

/// Latency of a request.
const LATENCY: Duration = Duration::from_millis(2);

/// Time after which an instance gives up waiting for an answer that is lost.
const LOST_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which an instance gives up waiting for a page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(4000);

/// Time for which an instance waits for changes beyond the time that the service
/// may wait.
const CHANGES_MARGIN: Duration = Duration::from_millis(800);

/// Fault of the service towards one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Requests are neither executed nor answered.
    Silent,
    /// All requests are refused.
    Refusing,
    /// Commits are refused; other requests succeed.
    RefusingWrites,
    /// Commits are executed, but the answer to every n-th one is lost.
    LosingAnswers(u32),
    /// Requests are delayed by this time before they are executed.
    Slow(Duration),
    /// Reads of pages are not answered; other requests succeed.
    SilentPages,
    /// Reads of pages and of changes are not answered; other requests succeed.
    SilentLists,
    /// Reads of pages and of changes of keys with this prefix are not answered; other
    /// requests succeed.
    SilentPrefix(&'static str),
    /// The next commit is not answered and is executed after this time, if the
    /// expected revisions still match.
    LateCommit(Duration),
}

impl Fault {
    /// Returns whether reads of keys with `prefix` are not answered.
    fn silences(self, prefix: &str) -> bool {
        matches!(self, Self::SilentPrefix(silent) if prefix.starts_with(silent))
    }
}

/// Key-value service, shared by all instances.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    /// Last revision whose events have been dropped from `history`.
    compacted: u64,
    /// End and time to live of each lease.
    leases: HashMap<u64, (Instant, Duration)>,
    faults: HashMap<String, Fault>,
    /// Commits under [`Fault::LosingAnswers`].
    commits: u32,
    /// Number of requests for changes, by prefix.
    change_requests: HashMap<String, u32>,
    /// Number of requests for pages, by prefix.
    page_requests: HashMap<String, u32>,
}

struct Item {
    value: Bytes,
    revision: u64,
    lease: Option<Lease>,
}

/// Client of the service for one instance, subject to its [`Fault`].
pub struct Client {
    store: Arc<Store>,
    instance: String,
}

impl Store {
    /// Returns a client for an instance.
    pub fn client(self: &Arc<Self>, instance: &str) -> Client {
        Client { store: Arc::clone(self), instance: instance.to_owned() }
    }

    /// Sets the fault of the service towards an instance.
    pub fn set_fault(&self, instance: &str, fault: Fault) {
        self.lock().faults.insert(instance.to_owned(), fault);
        self.changed.notify_waiters();
    }

    /// Writes a key without a client: no latency, fault or condition applies.
    pub fn put(&self, key: &str, value: Bytes) {
        {
            let mut state = self.lock();
            state.revision += 1;
            state.put(key, value, None);
        }
        self.changed.notify_waiters();
    }

    /// Removes a key without a client: no latency, fault or condition applies.
    pub fn remove(&self, key: &str) {
        {
            let mut state = self.lock();
            state.revision += 1;
            state.delete(key);
        }
        self.changed.notify_waiters();
    }

    /// Returns the value of a key without a client: no latency or fault applies.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.lock().items.get(key).map(|item| item.value.clone())
    }

    /// Returns the number of requests for changes of the keys with a prefix.
    pub fn change_requests(&self, prefix: &str) -> u32 {
        self.lock().change_requests.get(prefix).copied().unwrap_or_default()
    }

    /// Returns the number of requests for pages of the keys with a prefix.
    pub fn page_requests(&self, prefix: &str) -> u32 {
        self.lock().page_requests.get(prefix).copied().unwrap_or_default()
    }

    /// Drops the history, so that clients can't continue from an older revision.
    pub fn compact_history(&self) {
        let mut state = self.lock();
        state.compacted = state.revision;
        state.history.clear();
        self.changed.notify_waiters();
    }

    /// Executes a commit after a delay, even if the instance has ended meanwhile.
    fn commit_late(self: &Arc<Self>, commit: Commit, time: Duration) {
        let store = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(time);
            // The client no longer waits for the answer.
            let _ = store.lock().commit(commit);
            store.changed.notify_waiters();
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.expire_leases();
        state
    }
}

impl State {
    /// Writes a key at the current revision, with an event.
    fn put(&mut self, key: &str, value: Bytes, lease: Option<Lease>) {
        let revision = self.revision;
        let entry =
            Entry { key: key.to_owned(), value: value.clone(), revision: Revision(revision) };
        self.items.insert(key.to_owned(), Item { value, revision, lease });
        self.history.push(Event::Put(entry));
    }

    /// Removes a key at the current revision, with an event.
    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = Revision(self.revision);
            self.history.push(Event::Deleted { key: key.to_owned(), revision });
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let lapsed: HashSet<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in lapsed {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.revision += 1;
        let is_attached = |item: &Item| item.lease == Some(Lease(lease));
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| is_attached(i)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        self.items.get(key).map(|item| Entry {
            key: key.to_owned(),
            value: item.value.clone(),
            revision: Revision(item.revision),
        })
    }

    fn commit(&mut self, commit: Commit) -> Result<CommitOutcome> {
        let is_unchanged = |(key, revision): &(String, Revision)| {
            self.items.get(key).map_or(0, |item| item.revision) == revision.0
        };
        if !commit.expected.iter().all(is_unchanged) {
            let existing = commit.expected.iter().filter_map(|(key, _)| self.entry(key));
            return Ok(CommitOutcome::Conflict(existing.collect()));
        }
        let is_known = |lease: Lease| self.leases.contains_key(&lease.0);
        if !commit.writes.iter().filter_map(|write| write.lease).all(is_known) {
            return Err(Error::Lapsed);
        }
        self.revision += 1;
        for write in commit.writes {
            self.put(&write.key, write.value, write.lease);
        }
        for key in commit.removals {
            self.delete(&key);
        }
        Ok(CommitOutcome::Done(Revision(self.revision)))
    }

    fn changes(&self, prefix: &str, after: u64) -> Result<Vec<Event>> {
        if after < self.compacted {
            return Err(Error::Forgotten);
        }
        let is_included = |event: &&Event| match event {
            Event::Put(entry) => entry.revision.0 > after && entry.key.starts_with(prefix),
            Event::Deleted { key, revision } => revision.0 > after && key.starts_with(prefix),
            Event::Heartbeat => false,
        };
        Ok(self.history.iter().filter(is_included).cloned().collect())
    }
}

impl Client {
    /// Waits for the latency of a request, then applies the faults that take
    /// effect before execution.
    async fn receive(&self) -> Result<()> {
        time::sleep(LATENCY).await;
        match self.fault() {
            Fault::None
            | Fault::LosingAnswers(_)
            | Fault::RefusingWrites
            | Fault::SilentPages
            | Fault::SilentLists
            | Fault::SilentPrefix(_)
            | Fault::LateCommit(_) => Ok(()),
            Fault::Refusing => Err(Error::NotRun { reason: "refused".to_owned() }),
            Fault::Silent => {
                time::sleep(Duration::from_millis(800)).await;
                Err(Error::Unknown { reason: "no answer".to_owned() })
            }
            Fault::Slow(time) => {
                time::sleep(time).await;
                Ok(())
            }
        }
    }

    fn fault(&self) -> Fault {
        self.store.lock().faults.get(&self.instance).copied().unwrap_or_default()
    }

    /// Returns the answer to a commit, or an unknown outcome if
    /// [`Fault::LosingAnswers`] drops this one.
    async fn deliver<T>(&self, answer: Result<T>) -> Result<T> {
        let Fault::LosingAnswers(every) = self.fault() else {
            return answer;
        };
        let is_lost = {
            let mut state = self.store.lock();
            state.commits += 1;
            state.commits.is_multiple_of(every)
        };
        if is_lost {
            time::sleep(LOST_ANSWER_TIMEOUT).await;
            return Err(Error::Unknown { reason: "the answer is lost".to_owned() });
        }
        answer
    }
}

impl TransactionalStore for Client {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>> {
        async move {
            self.receive().await?;
            Ok(self.store.lock().entry(key))
        }
        .boxed()
    }

    fn page<'a>(&'a self, prefix: &'a str, after: &'a str) -> BoxFuture<'a, Result<Page>> {
        /// Entries of a page; few, so that tests read several pages.
        const MAX_PAGE_ENTRIES: usize = 5;
        async move {
            *self.store.lock().page_requests.entry(prefix.to_owned()).or_default() += 1;
            self.receive().await?;
            if matches!(self.fault(), Fault::SilentPages | Fault::SilentLists)
                || self.fault().silences(prefix)
            {
                time::sleep(PAGE_TIMEOUT).await;
                return Err(Error::Unknown { reason: "no answer".to_owned() });
            }
            let state = self.store.lock();
            let keys = state.items.keys().filter(|key| key.starts_with(prefix));
            let mut keys: Vec<&String> = keys.filter(|key| key.as_str() > after).collect();
            let has_more = keys.len() > MAX_PAGE_ENTRIES;
            keys.truncate(MAX_PAGE_ENTRIES);
            let entries = keys.into_iter().filter_map(|key| state.entry(key)).collect();
            Ok(Page { entries, has_more, revision: Revision(state.revision) })
        }
        .boxed()
    }

    fn commit(&self, commit: Commit) -> BoxFuture<'_, Result<CommitOutcome>> {
        async move {
            self.receive().await?;
            if self.fault() == Fault::RefusingWrites {
                return Err(Error::NotRun { reason: "refused".to_owned() });
            }
            if let Fault::LateCommit(time) = self.fault() {
                self.store.set_fault(&self.instance, Fault::None);
                self.store.commit_late(commit, time);
                time::sleep(LOST_ANSWER_TIMEOUT).await;
                return Err(Error::Unknown { reason: "no answer".to_owned() });
            }
            let answer = self.store.lock().commit(commit);
            self.store.changed.notify_waiters();
            self.deliver(answer).await
        }
        .boxed()
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes>> {
        async move {
            *self.store.lock().change_requests.entry(prefix.to_owned()).or_default() += 1;
            self.receive().await?;
            let end = Instant::now() + wait;
            loop {
                if self.fault() == Fault::SilentLists || self.fault().silences(prefix) {
                    time::sleep(wait + CHANGES_MARGIN).await;
                    return Err(Error::Unknown { reason: "no answer".to_owned() });
                }
                let changed = self.store.changed.notified();
                {
                    let state = self.store.lock();
                    let events = state.changes(prefix, after.0)?;
                    if !events.is_empty() || Instant::now() >= end {
                        return Ok(Changes { events, revision: Revision(state.revision) });
                    }
                }
                // Lapsing leases send no notification, so poll for them.
                let poll = time::sleep(Duration::from_millis(20));
                tokio::select! {
                    () = changed => self.receive().await?,
                    () = poll => {}
                }
            }
        }
        .boxed()
    }

    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<(Lease, Duration)>> {
        async move {
            self.receive().await?;
            let mut state = self.store.lock();
            state.revision += 1;
            let lease = state.revision;
            state.leases.insert(lease, (Instant::now() + ttl, ttl));
            Ok((Lease(lease), ttl))
        }
        .boxed()
    }

    fn renew(&self, lease: Lease) -> BoxFuture<'_, Result<()>> {
        async move {
            self.receive().await?;
            let mut state = self.store.lock();
            let (end, ttl) = state.leases.get_mut(&lease.0).ok_or(Error::Lapsed)?;
            *end = Instant::now() + *ttl;
            Ok(())
        }
        .boxed()
    }

    fn revoke(&self, lease: Lease) -> BoxFuture<'_, Result<()>> {
        async move {
            self.receive().await?;
            self.store.lock().end_lease(lease.0);
            self.store.changed.notify_waiters();
            Ok(())
        }
        .boxed()
    }
}
