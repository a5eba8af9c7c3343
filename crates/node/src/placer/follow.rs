//! Following the key-value service for a placer.

use std::{sync::Arc, time::Duration};

use base::{Name, clock, emit};
use platform::{Error, Event as Change, Revision};
use tokio::{sync::mpsc, time};
use work::Spec;

use crate::{
    context::{Context, RETRY_PAUSE},
    decode::decode,
    edge::Listed,
    keys::{self, JobKey},
    placer::{event::Event, read::read_all},
};

/// How long one wait for changes takes.
const WATCH_WAIT: Duration = Duration::from_millis(2000);

/// Time between looks for jobs that fronts have recorded. They tell the leader
/// of them as well; this finds what that misses.
const JOBS_PERIOD: Duration = Duration::from_millis(800);

/// Time between the first looks of a term.
const FIRST_JOBS_PERIOD: Duration = Duration::from_millis(150);

/// Number of those.
const FIRST_LOOKS: u32 = 10;

/// Least time between looks at the changes of the list of targets. Their
/// heartbeats change it all the time; that one of them leaves has to be known
/// within `drainMs`, 2.5 s at the least.
const TARGETS_PAUSE: Duration = Duration::from_millis(250);

/// Time between reads of the whole list of targets, in case that a watch
/// misses a change.
const REREAD_PERIOD: Duration = Duration::from_secs(6);

/// Follows accepted and cancelled jobs.
pub(crate) async fn follow_jobs(
    ctx: Arc<Context>,
    mut revision: Revision,
    events: mpsc::UnboundedSender<Event>,
) {
    loop {
        let error = follow_job_changes(&ctx, &mut revision, &events).await;
        emit!(ctx.log, warn, WatchFailed; "of" => "jobs", "error" => %error);
        time::sleep(RETRY_PAUSE).await;
        if error == Error::Forgotten {
            match read_all(&*ctx.edges.records, keys::JOBS).await {
                Ok((entries, read_at)) => {
                    for entry in entries {
                        tell_job(&ctx, Change::Put(entry), &events);
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
    for look in 0_u32.. {
        let pause = if look < FIRST_LOOKS { FIRST_JOBS_PERIOD } else { JOBS_PERIOD };
        match ctx.edges.records.changes(keys::JOBS, *revision, Duration::ZERO).await {
            Ok(changes) => {
                let is_empty = changes.events.is_empty();
                for change in changes.events {
                    tell_job(ctx, change, events);
                }
                let has_gap = is_empty || changes.revision > *revision;
                *revision = changes.revision;
                if has_gap {
                    time::sleep(pause).await;
                }
            }
            Err(error) => return error,
        }
    }
    Error::Forgotten
}

fn tell_job(ctx: &Context, change: Change, events: &mpsc::UnboundedSender<Event>) {
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
            time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Reads the list, then follows its changes for some time.
async fn follow_target_changes(
    ctx: &Context,
    events: &mpsc::UnboundedSender<Event>,
) -> Result<(), Error> {
    let prefix = ctx.edges.catalog.target_prefix();
    let (entries, mut revision) = read_all(&*ctx.edges.records, prefix).await?;
    let mut targets = Listed::new();
    for entry in entries {
        note_target(ctx, &mut targets, prefix, Change::Put(entry));
    }
    let _ = events.send(Event::Targets(targets.clone()));
    let read_at = clock::now();
    while clock::now().saturating_sub(read_at) < REREAD_PERIOD {
        let changes = ctx.edges.records.changes(prefix, revision, WATCH_WAIT).await?;
        revision = changes.revision;
        if changes.events.is_empty() {
            continue;
        }
        let mut has_changed = false;
        for change in changes.events {
            has_changed |= note_target(ctx, &mut targets, prefix, change);
        }
        if has_changed {
            let _ = events.send(Event::Targets(targets.clone()));
        }
        time::sleep(TARGETS_PAUSE).await;
    }
    Ok(())
}

/// Takes in what is listed of a target; gets whether that is new.
fn note_target(ctx: &Context, targets: &mut Listed, prefix: &str, change: Change) -> bool {
    match change {
        Change::Put(entry) => {
            let id = Name::from(entry.key.strip_prefix(prefix).unwrap_or_default());
            match ctx.edges.catalog.target(&id, &entry.value) {
                Ok(target) => {
                    let is_new = targets.get(&id) != Some(&target);
                    targets.insert(id, target);
                    is_new
                }
                Err(why) => {
                    // It names no target to use; one that was known is gone.
                    emit!(ctx.log, debug, TargetUnreachable; "target" => %id, "why" => why);
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
