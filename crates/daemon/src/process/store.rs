//! Store that counts requests and records the time of the last answer.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::Timer;
use futures::{
    FutureExt, StreamExt,
    future::BoxFuture,
    stream::{self, BoxStream},
};
use platform::{Entry, Event, Lease, Result, Revision, Store, Swap};
use prometheus_client::metrics::counter::Counter;

use crate::process::Counters;

/// Wrapper of a store that counts requests and records the time of the last
/// answer.
#[derive(Clone)]
pub struct MeteredStore {
    store: Arc<dyn Store>,
    timer: Timer,
    counters: Counters,
    last_answer_ms: Arc<AtomicU64>,
}

impl MeteredStore {
    /// Wraps a store.
    pub fn new(store: Arc<dyn Store>, timer: Timer, counters: Counters) -> Self {
        Self { store, timer, counters, last_answer_ms: Arc::default() }
    }

    /// Returns the time since the last answer of the store, or since the start
    /// of the timer if there was none.
    pub fn age(&self) -> Duration {
        let last_answer = Duration::from_millis(self.last_answer_ms.load(Ordering::Relaxed));
        self.timer.now().saturating_sub(last_answer)
    }

    async fn count<T>(
        &self,
        counter: &Counter,
        request: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        counter.inc();
        let result = request.await;
        match &result {
            Ok(_) | Err(platform::Error::Lapsed) => self.record_answer(),
            Err(_) => {
                self.counters.store_failures.inc();
            }
        }
        result
    }

    fn record_answer(&self) {
        self.last_answer_ms.store(self.timer.now().as_millis() as u64, Ordering::Relaxed);
    }
}

impl Store for MeteredStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>> {
        self.count(&self.counters.store_reads, self.store.get(key)).boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Entry>>> {
        self.count(&self.counters.store_reads, self.store.list(prefix)).boxed()
    }

    fn swap(&self, swap: Swap) -> BoxFuture<'_, Result<Option<Revision>>> {
        self.count(&self.counters.store_writes, self.store.swap(swap)).boxed()
    }

    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<Lease>> {
        self.count(&self.counters.store_writes, self.store.grant(ttl)).boxed()
    }

    fn renew(&self, lease: Lease) -> BoxFuture<'_, Result<()>> {
        self.count(&self.counters.store_writes, self.store.renew(lease)).boxed()
    }

    fn revoke(&self, lease: Lease) -> BoxFuture<'_, Result<()>> {
        self.count(&self.counters.store_writes, self.store.revoke(lease)).boxed()
    }

    fn watch<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<BoxStream<'static, Event>>> {
        async move {
            let events = self.count(&self.counters.store_reads, self.store.watch(prefix)).await?;
            let monitor = self.clone();
            let monitored = stream::unfold((events, monitor), |(mut events, monitor)| async {
                let event = events.next().await?;
                monitor.record_answer();
                Some((event, (events, monitor)))
            });
            Ok(monitored.boxed())
        }
        .boxed()
    }
}
