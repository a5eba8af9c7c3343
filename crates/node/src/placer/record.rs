//! Recording progress.

use std::sync::Arc;

use base::{Name, clock, emit};
use bytes::Bytes;
use plan::{Batch, Need, Record};
use platform::{Commit, Write};
use tokio::sync::mpsc;

use crate::{
    context::Context,
    keys,
    lead::Lead,
    metrics::Metrics,
    placer::{
        change::{Unwritten, write},
        event::Event,
    },
};

/// Entries of one change beside the conditions on the lead and the guard, and
/// the guard itself; the key-value service takes 32.
const ENTRIES: usize = 29;

/// Records a batch.
pub(crate) async fn record(
    ctx: Arc<Context>,
    lead: Arc<Lead>,
    batch: Batch,
    events: mpsc::UnboundedSender<Event>,
) {
    let began = clock::now();
    for commit in commits(&batch.records) {
        match write(&ctx, &lead, commit).await {
            Ok(()) => {}
            Err(Unwritten::Lost) => {
                let _ = events.send(Event::Fenced("the lead has changed hands"));
                return;
            }
            Err(Unwritten::Failed(error)) => {
                emit!(ctx.log, warn, RecordFailed; "jobs" => batch.records.len(),
                    "error" => %error);
                let _ = events.send(Event::NotRecorded(batch));
                return;
            }
        }
    }
    Metrics::observe(&ctx.metrics.record_time, clock::now().saturating_sub(began));
    let _ = events.send(Event::Recorded(batch));
}

/// Gets the changes that record progress. Of a job that has ended only that is
/// kept, so that a takeover reads little.
fn commits(records: &[Record]) -> Vec<Commit> {
    let mut commits = vec![Commit::default()];
    for Record { id, progress, need } in records {
        let removals = match need {
            Need::Needless => vec![keys::job(id), keys::cancellation(id)],
            Need::Needed => Vec::new(),
        };
        let last = commits.last().map_or(0, |last| last.writes.len() + last.removals.len());
        if last + removals.len() + 1 > ENTRIES {
            commits.push(Commit::default());
        }
        if let Some(commit) = commits.last_mut() {
            let value = Bytes::from(work::encode(progress));
            commit.writes.push(Write { key: keys::progress(id), value, lease: None });
            commit.removals.extend(removals);
        }
    }
    commits.retain(|commit| !commit.writes.is_empty());
    commits
}

/// Removes what is recorded of jobs that ended long ago.
pub(crate) async fn forget(ctx: Arc<Context>, lead: Arc<Lead>, jobs: Vec<Name>) {
    /// Keys of each job; most have only the last one left.
    const KEYS: usize = 3;
    for chunk in jobs.chunks(ENTRIES / KEYS) {
        // The job goes with its progress, without which it would begin anew.
        let keys = |id: &Name| [keys::job(id), keys::cancellation(id), keys::progress(id)];
        let removals = chunk.iter().flat_map(keys).collect();
        // What is left is removed in the next term.
        let _ = write(&ctx, &lead, Commit { removals, ..Commit::default() }).await;
    }
}
