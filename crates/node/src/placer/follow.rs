//! Tasks that follow the key-value service for a placer.

use std::{sync::Arc, time::Duration};

use base::{Name, clock, emit};
use platform::{Error, Event as Change, Revision};
use tokio::{sync::mpsc, time};
use work::Spec;

use crate::{
    context::{Context, RETRY_BACKOFF},
    decode::decode,
    external::TargetList,
    keys::{self, JobKey},
    placer::{event::Event, state::read_prefix},
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

/// Follows the list of targets.
pub(crate) async fn follow_targets(ctx: Arc<Context>, events: mpsc::UnboundedSender<Event>) {
    loop {
        if let Err(error) = follow_target_changes(&ctx, &events).await {
            emit!(ctx.log, warn, WatchFailed; "of" => "targets", "error" => %error);
            time::sleep(RETRY_BACKOFF).await;
        }
    }
}

/// Reads the target list, then follows its changes for [`REREAD_INTERVAL`].
async fn follow_target_changes(
    ctx: &Context,
    events: &mpsc::UnboundedSender<Event>,
) -> Result<(), Error> {
    let prefix = ctx.services.catalog.target_prefix();
    let (entries, mut revision) = read_prefix(&*ctx.services.store, prefix).await?;
    let mut targets = TargetList::new();
    for entry in entries {
        apply_target_change(ctx, &mut targets, prefix, Change::Put(entry));
    }
    let _ = events.send(Event::TargetsChanged(targets.clone()));
    let read_at = clock::now();
    while clock::now().saturating_sub(read_at) < REREAD_INTERVAL {
        let changes = ctx.services.store.changes(prefix, revision, WATCH_TIMEOUT).await?;
        revision = changes.revision;
        if changes.events.is_empty() {
            continue;
        }
        let mut has_changed = false;
        for change in changes.events {
            has_changed |= apply_target_change(ctx, &mut targets, prefix, change);
        }
        if has_changed {
            let _ = events.send(Event::TargetsChanged(targets.clone()));
        }
        time::sleep(MIN_TARGETS_POLL_INTERVAL).await;
    }
    Ok(())
}

/// Applies a change to the target list. Returns whether the list has changed.
fn apply_target_change(
    ctx: &Context,
    targets: &mut TargetList,
    prefix: &str,
    change: Change,
) -> bool {
    match change {
        Change::Put(entry) => {
            let id = Name::from(entry.key.strip_prefix(prefix).unwrap_or_default());
            match ctx.services.catalog.target(&id, &entry.value) {
                Ok(target) => {
                    let is_new = targets.get(&id) != Some(&target);
                    targets.insert(id, target);
                    is_new
                }
                Err(reason) => {
                    // A target with an invalid entry cannot be used, so an earlier
                    // valid entry is removed.
                    emit!(ctx.log, debug, TargetUnreachable; "target" => %id, "why" => reason);
                    targets.remove(&id).is_some()
                }
            }
        }
        Change::Deleted { key, .. } => {
            targets.remove(key.strip_prefix(prefix).unwrap_or_default()).is_some()
        }
        Change::Heartbeat => false,
    }
}
