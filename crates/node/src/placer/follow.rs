//! Following the key-value service for a placer.

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

/// How long one wait for changes takes.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2000);

/// Time between looks for jobs that fronts have recorded. They tell the leader
/// of them as well; this finds what that misses.
const JOBS_POLL_INTERVAL: Duration = Duration::from_millis(800);

/// Time between the first looks of a term.
const FAST_JOBS_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Number of those.
const FAST_POLL_COUNT: u32 = 10;

/// Least time between looks at the changes of the list of targets. Their
/// heartbeats change it all the time; that one of them leaves has to be known
/// within `drainMs`, 2.5 s at the least.
const MIN_TARGETS_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time between reads of the whole list of targets, in case that a watch
/// misses a change.
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
            match read_prefix(&*ctx.services.records, keys::JOBS).await {
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
    // The fronts have to find the leader before they can tell it.
    for poll in 0_u32.. {
        let pause =
            if poll < FAST_POLL_COUNT { FAST_JOBS_POLL_INTERVAL } else { JOBS_POLL_INTERVAL };
        match ctx.services.records.changes(keys::JOBS, *revision, Duration::ZERO).await {
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
    // The placer has ended if nobody receives.
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

/// Reads the list, then follows its changes for some time.
async fn follow_target_changes(
    ctx: &Context,
    events: &mpsc::UnboundedSender<Event>,
) -> Result<(), Error> {
    let prefix = ctx.services.catalog.target_prefix();
    let (entries, mut revision) = read_prefix(&*ctx.services.records, prefix).await?;
    let mut targets = TargetList::new();
    for entry in entries {
        apply_target_change(ctx, &mut targets, prefix, Change::Put(entry));
    }
    let _ = events.send(Event::TargetsChanged(targets.clone()));
    let read_at = clock::now();
    while clock::now().saturating_sub(read_at) < REREAD_INTERVAL {
        let changes = ctx.services.records.changes(prefix, revision, WATCH_TIMEOUT).await?;
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

/// Takes in what is listed of a target; gets whether that is new.
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
                    // It names no target to use; one that was known is gone.
                    emit!(ctx.log, debug, TargetLost; "target" => %id, "why" => reason);
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
