//! Tasks that follow the key-value service for a placer.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{Name, clock, emit};
use futures::FutureExt;
use plan::TargetInfo;
use platform::{Entry, Error, Event as Change, Revision};
use tokio::{sync::mpsc, time};
use work::Spec;

use crate::{
    context::{Context, RETRY_BACKOFF},
    decode::decode,
    external::TargetList,
    keys::{self, JobKey},
    placer::{event::Event, state::read_prefix},
    watch,
};

/// Timeout of one long poll for changes.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2000);

/// Interval between polls for jobs that frontends have recorded. Frontends also
/// notify the leader of their jobs; polling finds jobs whose notice was lost.
const JOBS_POLL_INTERVAL: Duration = Duration::from_millis(800);

/// Interval between the first polls of a term.
const FAST_JOBS_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Number of polls at the short interval at the beginning of a term.
const FAST_POLL_COUNT: u32 = 10;

/// Minimum interval between reads of the changes of the target list. The
/// targets' heartbeats change the list continuously. A departing target must be
/// noticed within its `drainMs`, which is at least 2.5 s.
const MIN_TARGETS_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between reads of the whole target list, in case a watch misses a
/// change.
const REREAD_INTERVAL: Duration = Duration::from_secs(6);

/// Follows accepted and cancelled jobs.
pub(crate) async fn follow_jobs(
    ctx: Arc<Context>,
    mut revision: Revision,
    events: mpsc::UnboundedSender<Event>,
) {
    loop {
        let error = follow_job_changes(&ctx, &mut revision, &events).await;
        emit!(ctx.log, warn, WatchFailed; "of" => "jobs", "error" => %error);
        time::sleep(RETRY_BACKOFF).await;
        if error == Error::Forgotten {
            match read_prefix(&*ctx.services.store, keys::JOBS).await {
                Ok((entries, read_at)) => {
                    for entry in entries {
                        forward_job(&ctx, Change::Put(entry), &events);
                    }
                    revision = read_at;
                }
                Err(error) => {
                    emit!(ctx.log, warn, WatchFailed; "of" => "jobs", "error" => %error);
                }
            }
        }
    }
}

async fn follow_job_changes(
    ctx: &Context,
    revision: &mut Revision,
    events: &mpsc::UnboundedSender<Event>,
) -> Error {
    // The first polls are frequent because frontends cannot notify the leader
    // before they have found it.
    for poll in 0_u32.. {
        let pause =
            if poll < FAST_POLL_COUNT { FAST_JOBS_POLL_INTERVAL } else { JOBS_POLL_INTERVAL };
        match ctx.services.store.changes(keys::JOBS, *revision, Duration::ZERO).await {
            Ok(changes) => {
                let is_empty = changes.events.is_empty();
                for change in changes.events {
                    forward_job(ctx, change, events);
                }
                let should_pause = is_empty || changes.revision > *revision;
                *revision = changes.revision;
                if should_pause {
                    time::sleep(pause).await;
                }
            }
            Err(error) => return error,
        }
    }
    Error::Forgotten
}

fn forward_job(ctx: &Context, change: Change, events: &mpsc::UnboundedSender<Event>) {
    let Change::Put(entry) = change else {
        return;
    };
    let event = match JobKey::parse(&entry.key) {
        Some(JobKey::Accepted(id)) => match decode::<Spec>(ctx, &entry) {
            Some(spec) => Event::Accepted(id, Box::new(spec)),
            None => return,
        },
        Some(JobKey::Cancelled(id)) => Event::Cancelled(id),
        None => return,
    };
    // A send error means that the placer has ended.
    let _ = events.send(event);
}

/// List of targets, as far as it has been read.
#[derive(Debug, Default)]
struct List {
    targets: TargetList,
    /// Revision of the last known change of each target, also of deletions.
    revisions: HashMap<Name, Revision>,
}

/// Follows the list of targets.
pub(crate) async fn follow_targets(ctx: Arc<Context>, events: mpsc::UnboundedSender<Event>) {
    let list = Mutex::default();
    let read = || read_targets(&ctx, &list, &events).boxed();
    let poll = |after| apply_target_changes(&ctx, &list, after, &events).boxed();
    let fail = |error: &Error| {
        emit!(ctx.log, warn, WatchFailed; "of" => "targets", "error" => %error);
    };
    futures::join!(watch::follow(read, poll, fail), watch::reread(REREAD_INTERVAL, read, fail));
}

/// Reads the whole target list. Returns the revision of the list.
async fn read_targets(
    ctx: &Context,
    list: &Mutex<List>,
    events: &mpsc::UnboundedSender<Event>,
) -> Result<Revision, Error> {
    let prefix = ctx.services.catalog.target_prefix();
    let sent = clock::now();
    let (entries, revision) = read_prefix(&*ctx.services.store, prefix).await?;
    let mut list = list.lock().expect("no thread panics while holding the lock");
    list.replace(ctx, prefix, entries, revision);
    let _ = events.send(Event::TargetsChanged(list.targets.clone()));
    let _ = events.send(Event::TargetsConfirmed(sent));
    Ok(revision)
}

/// Applies the next changes after a revision. Returns the revision that was
/// reached.
async fn apply_target_changes(
    ctx: &Context,
    list: &Mutex<List>,
    after: Revision,
    events: &mpsc::UnboundedSender<Event>,
) -> Result<Revision, Error> {
    let prefix = ctx.services.catalog.target_prefix();
    let sent = clock::now();
    let changes = ctx.services.store.changes(prefix, after, WATCH_TIMEOUT).await?;
    let is_empty = changes.events.is_empty();
    {
        let mut list = list.lock().expect("no thread panics while holding the lock");
        let mut has_changed = false;
        for change in changes.events {
            has_changed |= list.apply(ctx, prefix, change);
        }
        if has_changed {
            let _ = events.send(Event::TargetsChanged(list.targets.clone()));
        }
    }
    let _ = events.send(Event::TargetsConfirmed(sent));
    if !is_empty {
        time::sleep(MIN_TARGETS_POLL_INTERVAL).await;
    }
    Ok(changes.revision)
}

impl List {
    /// Replaces the list by the entries that were read at `revision`, except for
    /// later changes.
    fn replace(&mut self, ctx: &Context, prefix: &str, entries: Vec<Entry>, revision: Revision) {
        let mut missing: HashSet<Name> = self.revisions.keys().cloned().collect();
        for entry in entries {
            missing.remove(target_name(&entry.key, prefix));
            self.apply(ctx, prefix, Change::Put(entry));
        }
        for id in missing {
            if self.revisions.get(&id).is_some_and(|changed| *changed <= revision) {
                self.targets.remove(&id);
                self.revisions.remove(&id);
            }
        }
    }

    /// Applies a change unless a later one is known. Returns whether the list has
    /// changed.
    fn apply(&mut self, ctx: &Context, prefix: &str, change: Change) -> bool {
        let (id, revision) = match &change {
            Change::Put(entry) => (target_name(&entry.key, prefix), entry.revision),
            Change::Deleted { key, revision } => (target_name(key, prefix), *revision),
            Change::Heartbeat => return false,
        };
        let id = Name::from(id);
        if self.revisions.get(&id).is_some_and(|known| *known >= revision) {
            return false;
        }
        self.revisions.insert(id.clone(), revision);
        let Change::Put(entry) = change else {
            return self.targets.remove(&id).is_some();
        };
        match ctx.services.catalog.target(&id, &entry.value) {
            Ok(target) => {
                let known = self.targets.get(&id);
                let is_new = !known.is_some_and(|known| is_repeated(known, &target));
                self.targets.insert(id, target);
                is_new
            }
            Err(reason) => {
                // A target with an invalid entry cannot be used, so an earlier
                // valid entry is removed.
                emit!(ctx.log, warn, TargetEntryInvalid; "target" => %id, "why" => reason,
                    "revision" => revision.0);
                self.targets.remove(&id).is_some()
            }
        }
    }
}

/// Returns whether an entry says no more than the known one of its target. Each
/// heartbeat of a cold target counts down the time for which it stays slow.
fn is_repeated(known: &(TargetInfo, Name), entry: &(TargetInfo, Name)) -> bool {
    let (was, left) = (known.0.cold_left, entry.0.cold_left);
    let counts_down = left < was && !left.is_zero();
    let mut entry = entry.clone();
    if counts_down {
        entry.0.cold_left = was;
    }
    *known == entry
}

/// Returns the id of the target with this key.
fn target_name<'a>(key: &'a str, prefix: &str) -> &'a str {
    key.strip_prefix(prefix).unwrap_or_default()
}
