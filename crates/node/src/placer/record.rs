//! Recording progress.

use std::sync::Arc;

use base::{Name, clock, emit};
use bytes::Bytes;
use plan::{Batch, Record, Retention};
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
pub(crate) const ENTRIES: usize = 29;

/// Records a batch in one change.
pub(crate) async fn record(
    ctx: Arc<Context>,
    lead: Arc<Lead>,
    batch: Batch,
    events: mpsc::UnboundedSender<Event>,
) {
    let began = clock::now();
    let event = match write(&ctx, &lead, commit(&batch.records)).await {
        Ok(()) => {
            let took = clock::now().saturating_sub(began);
            Metrics::observe(&ctx.metrics.record_time, took);
            Event::Recorded { batch, took }
        }
        Err(Unwritten::Lost) => Event::Fenced("the lead has changed hands"),
        Err(Unwritten::Failed(error)) => {
            emit!(ctx.log, warn, RecordFailed; "jobs" => batch.records.len(), "error" => %error);
            Event::NotRecorded(batch)
        }
    };
    // The placer has ended if nobody receives.
    let _ = events.send(event);
}

/// Gets the change that records progress. Of a job that has ended only that is
/// kept, so that a takeover reads little.
fn commit(records: &[Record]) -> Commit {
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
