//! Configuration and evacuations in force.
//!
//! One watch and one read at regular intervals follow both, so that evacuations
//! cost no further requests unless their keys fill more than a page.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::{clock, emit};
use futures::FutureExt;
use platform::{Changes, Entry, Error, Event, Page, Revision};
use tokio::sync::watch::{Receiver, Sender};
use work::Config;

use crate::{context::Context, watch};

/// Timeout of one long poll for changes; bounds the time until a dead
/// connection is noticed.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1000);

/// Interval between reads of the whole configuration, in case a watch misses a
/// change.
const REREAD_INTERVAL: Duration = Duration::from_millis(2000);

/// Holder of the configuration in force.
#[derive(Debug)]
pub(crate) struct Configs {
    current: Sender<Arc<Config>>,
    /// Time of the last confirmation, in milliseconds since the machine
    /// started.
    confirmed_ms: AtomicU64,
}

impl Default for Configs {
    fn default() -> Self {
        Self { current: Sender::new(Arc::new(Config::default())), confirmed_ms: AtomicU64::new(0) }
    }
}

impl Configs {
    /// Returns the configuration in force; its version is 0 until one has been
    /// read.
    pub(crate) fn current(&self) -> Arc<Config> {
        Arc::clone(&self.current.borrow())
    }

    /// Subscribes to new configurations.
    pub(crate) fn subscribe(&self) -> Receiver<Arc<Config>> {
        self.current.subscribe()
    }

    /// Returns the time since the configuration was last confirmed.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.confirmed_ms.load(Ordering::Relaxed)))
    }

    fn confirm(&self, at: Duration) {
        self.confirmed_ms.fetch_max(at.as_millis() as u64, Ordering::Relaxed);
    }
}

/// How a node has learnt of a configuration.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// A change in a watch.
    Watch,
    /// A read of the whole configuration.
    Read,
}

/// Keeps the configuration in force up to date until the process ends.
pub(crate) async fn watch_configs(ctx: Arc<Context>) {
    let read = || reread(&ctx).boxed();
    let poll = |after| apply_changes(&ctx, after).boxed();
    let fail = |error: &Error| log_failure(&ctx, error);
    futures::join!(watch::follow(read, poll, fail), watch::reread(REREAD_INTERVAL, read, fail));
}

fn log_failure(ctx: &Context, error: &Error) {
    emit!(ctx.log, warn, WatchFailed; "of" => "configuration", "error" => %error,
        "age_ms" => ctx.configs.age(clock::now()).as_millis() as u64);
}

/// Applies the next changes after a revision. Returns the revision from which to
/// follow further changes.
async fn apply_changes(ctx: &Context, after: Revision) -> Result<Revision, Error> {
    let (key, prefix) = ctx.services.catalog.config_key();
    let sent = clock::now();
    let Changes { events, revision } =
        ctx.services.store.changes(prefix, after, WATCH_TIMEOUT).await?;
    if ctx.follows_evacuations() {
        // A watch follows a full read, so the set is complete.
        ctx.apply_evacuations(&events);
        ctx.evacuations.confirm(sent);
    }
    for event in events {
        if let Event::Put(entry) = event
            && entry.key == key
        {
            apply(ctx, &entry, Source::Watch);
        }
    }
    ctx.configs.confirm(sent);
    ctx.is_store_failing.store(false, Ordering::Relaxed);
    Ok(revision)
}

/// Reads the whole configuration and all evacuations, and returns the revision
/// from which to follow changes.
async fn reread(ctx: &Context) -> Result<Revision, Error> {
    let (key, prefix) = ctx.services.catalog.config_key();
    let prefix = if ctx.follows_evacuations() { prefix } else { key };
    let sent = clock::now();
    // The revision of the key itself may already be compacted from the history,
    // so the revision of the page is used.
    let page = ctx.services.store.page(prefix, "").await?;
    // The evacuations come first, so that an instance that knows a configuration
    // knows them as well. If only they can't be read in full, the configuration
    // still takes effect.
    let evacuations =
        if ctx.follows_evacuations() { read_evacuations(ctx, &page, sent).await } else { Ok(()) };
    let is_in_page = page.entries.iter().any(|entry| entry.key == key);
    let config = if is_in_page || !page.has_more || prefix == key {
        None
    } else {
        Some(ctx.services.store.page(key, "").await?)
    };
    let mut entries = config.as_ref().unwrap_or(&page).entries.iter();
    if let Some(entry) = entries.find(|entry| entry.key == key) {
        apply(ctx, entry, Source::Read);
        ctx.configs.confirm(sent);
        ctx.is_store_failing.store(false, Ordering::Relaxed);
    }
    evacuations.map(|()| page.revision)
}

/// Replaces the evacuations by those of the first page of the watched prefix, and
/// of further pages if there are any. Other keys under the watched prefix are
/// passed over.
async fn read_evacuations(ctx: &Context, first: &Page, sent: Duration) -> Result<(), Error> {
    let prefix = ctx.services.catalog.evacuation_prefix();
    let is_evacuation = |entry: &&Entry| entry.key.starts_with(prefix);
    let mut entries: Vec<Entry> = first.entries.iter().filter(is_evacuation).cloned().collect();
    let is_past = |entry: &Entry| entry.key.as_str() > prefix && !entry.key.starts_with(prefix);
    let mut has_more = first.has_more && !first.entries.last().is_some_and(is_past);
    while has_more {
        let after = entries.last().map(|entry| entry.key.clone()).unwrap_or_default();
        let page = ctx.services.store.page(prefix, &after).await?;
        has_more = page.has_more && !page.entries.is_empty();
        entries.extend(page.entries);
    }
    ctx.replace_evacuations(&entries, first.revision, sent);
    ctx.evacuations.confirm(sent);
    Ok(())
}

fn apply(ctx: &Context, entry: &Entry, source: Source) {
    let config = match ctx.services.catalog.config(&entry.value) {
        Ok(config) => config,
        Err(reason) => {
            emit!(ctx.log, error, ConfigRejected; "revision" => entry.revision.0, "why" => reason);
            return;
        }
    };
    let before = ctx.configs.current().version;
    if config.version > before {
        emit!(ctx.log, info, ConfigApplied; "version" => config.version, "before" => before,
            "queues" => config.queues.len(), "teams" => config.teams.len(), "by" => ?source,
            "age_ms" => ctx.configs.age(clock::now()).as_millis() as u64);
        ctx.configs.current.send_replace(Arc::new(config));
    }
}
