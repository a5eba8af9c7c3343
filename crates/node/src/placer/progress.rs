//! Recording of job progress.

use std::sync::Arc;

use base::{Name, clock, emit};
use bytes::Bytes;
use plan::{Batch, Record, Retention};
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

/// Maximum number of entries of one write. The key-value service accepts 32;
/// the conditions on the leader key and the guard, and the guard itself, take
/// three.
pub(crate) const MAX_BATCH_ENTRIES: usize = 29;

/// Records a batch of progress in one write.
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
    // A send error means that the placer has ended.
    let _ = events.send(event);
}

/// Builds the write that records progress. Of a finished job only the progress
/// is kept, so that a takeover has little to read.
fn progress_commit(records: &[Record]) -> Commit {
    let mut commit = Commit::default();
    for Record { id, progress, retention } in records {
        let value = Bytes::from(work::encode(progress));
        commit.writes.push(Write { key: keys::progress(id), value, lease: None });
        match retention {
            Retention::Remove => commit.removals.extend([keys::job(id), keys::cancellation(id)]),
            Retention::Keep => {}
        }
    }
    commit
}

/// Deletes the records of jobs whose retention period has passed.
pub(crate) async fn remove_expired(
    ctx: Arc<Context>,
    leadership: Arc<Leadership>,
    jobs: Vec<Name>,
) {
    /// Number of keys of a job; most expired jobs have only the progress key
    /// left.
    const KEYS_PER_JOB: usize = 3;
    for chunk in jobs.chunks(MAX_BATCH_ENTRIES / KEYS_PER_JOB) {
        // All keys of a job are removed in one write, because without its progress
        // the job would start again.
        let keys = |id: &Name| [keys::job(id), keys::cancellation(id), keys::progress(id)];
        let removals = chunk.iter().flat_map(keys).collect();
        // Records that cannot be removed now are removed in the next term.
        let _ = write(&ctx, &leadership, Commit { removals, ..Commit::default() }).await;
    }
}
