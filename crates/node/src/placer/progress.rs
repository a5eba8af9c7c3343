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
    leadership::Leadership,
    metrics::Metrics,
    placer::{
        event::Event,
        guard::{WriteError, write},
    },
};

/// Entries of one change beside the conditions on the lead and the guard, and
/// the guard itself; the key-value service takes 32.
pub(crate) const MAX_BATCH_ENTRIES: usize = 29;

/// Records a batch in one change.
pub(crate) async fn record(
    ctx: Arc<Context>,
    leadership: Arc<Leadership>,
    batch: Batch,
    events: mpsc::UnboundedSender<Event>,
) {
    let started_at = clock::now();
    let event = match write(&ctx, &leadership, progress_commit(&batch.records)).await {
        Ok(()) => {
            let duration = clock::now().saturating_sub(started_at);
            Metrics::observe(&ctx.metrics.record_time, duration);
            Event::ProgressRecorded { batch, duration }
        }
        Err(WriteError::Lost) => Event::Fenced("the lead has changed hands"),
        Err(WriteError::Failed(error)) => {
            emit!(ctx.log, warn, RecordFailed; "jobs" => batch.records.len(), "error" => %error);
            Event::ProgressNotRecorded(batch)
        }
    };
    // The placer has ended if nobody receives.
    let _ = events.send(event);
}

/// Gets the change that records progress. Of a job that has ended only that is
/// kept, so that a takeover reads little.
fn progress_commit(records: &[Record]) -> Commit {
    let mut commit = Commit::default();
    for Record { id, progress, need } in records {
        let value = Bytes::from(work::encode(progress));
        commit.writes.push(Write { key: keys::progress(id), value, lease: None });
        match need {
            Need::Needless => commit.removals.extend([keys::job(id), keys::cancellation(id)]),
            Need::Needed => {}
        }
    }
    commit
}

/// Removes what is recorded of jobs that ended long ago.
pub(crate) async fn remove_expired(
    ctx: Arc<Context>,
    leadership: Arc<Leadership>,
    jobs: Vec<Name>,
) {
    /// Keys of each job; most have only the last one left.
    const KEYS_PER_JOB: usize = 3;
    for chunk in jobs.chunks(MAX_BATCH_ENTRIES / KEYS_PER_JOB) {
        // The job goes with its progress, without which it would begin anew.
        let keys = |id: &Name| [keys::job(id), keys::cancellation(id), keys::progress(id)];
        let removals = chunk.iter().flat_map(keys).collect();
        // What is left is removed in the next term.
        let _ = write(&ctx, &leadership, Commit { removals, ..Commit::default() }).await;
    }
}
