//! Recording progress.

use std::sync::Arc;

use base::{Name, emit};
use bytes::Bytes;
use plan::Batch;
use platform::{Commit, Committed, Error, Write};
use tokio::sync::mpsc;

use crate::{context::Context, keys, lead::Lead, placer::event::Event};

/// Entries of one change beside the condition on the lead; the key-value
/// service takes 32.
const ENTRIES: usize = 31;

/// An `Unwritten` is why a change was not made for certain.
enum Unwritten {
    /// Another instance leads.
    Lost,
    /// The key-value service did not answer as it should.
    Failed(Error),
}

/// Records a batch.
pub(crate) async fn record(
    ctx: Arc<Context>,
    lead: Arc<Lead>,
    batch: Batch,
    events: mpsc::UnboundedSender<Event>,
) {
    for chunk in batch.records.chunks(ENTRIES) {
        let writes = chunk.iter().map(|(id, progress)| Write {
            key: keys::progress(id),
            value: Bytes::from(work::encode(progress)),
            lease: None,
        });
        let commit = Commit { writes: writes.collect(), ..Commit::default() };
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
    let _ = events.send(Event::Recorded(batch));
}

/// Records the targets that runs may be on.
pub(crate) async fn record_held(
    ctx: Arc<Context>,
    lead: Arc<Lead>,
    held: Vec<Name>,
    events: mpsc::UnboundedSender<Event>,
) {
    let write =
        Write { key: keys::HELD.to_owned(), value: Bytes::from(work::encode(&held)), lease: None };
    let commit = Commit { writes: vec![write], ..Commit::default() };
    let event = match self::write(&ctx, &lead, commit).await {
        Ok(()) => Event::Held(Some(held)),
        Err(Unwritten::Lost) => Event::Fenced("the lead has changed hands"),
        Err(Unwritten::Failed(error)) => {
            emit!(ctx.log, warn, RecordFailed; "targets" => held.len(), "error" => %error);
            Event::Held(None)
        }
    };
    let _ = events.send(event);
}

/// Removes what is recorded of jobs that ended long ago.
pub(crate) async fn forget(ctx: Arc<Context>, lead: Arc<Lead>, jobs: Vec<Name>) {
    /// Keys of each job.
    const KEYS: usize = 3;
    for chunk in jobs.chunks(ENTRIES / KEYS) {
        let keys = |id: &Name| [keys::job(id), keys::cancellation(id), keys::progress(id)];
        let removals = chunk.iter().flat_map(keys).collect();
        // What is left is removed in the next term.
        let _ = write(&ctx, &lead, Commit { removals, ..Commit::default() }).await;
    }
}

/// Makes a change under the condition that the lead is still held.
async fn write(ctx: &Context, lead: &Lead, mut commit: Commit) -> Result<(), Unwritten> {
    commit.expected.push((keys::LEAD.to_owned(), lead.revision));
    match ctx.edges.records.commit(commit).await {
        Ok(Committed::Done(_)) => Ok(()),
        Ok(Committed::Conflict(_)) => Err(Unwritten::Lost),
        Err(error) => Err(Unwritten::Failed(error)),
    }
}
