//! Record of the targets' usual speeds for the next placer.
//!
//! The record only exists while the targets differ in speed, and is written when
//! the class of a target has changed, but not more often than
//! [`MIN_RECORD_INTERVAL`]. It improves the choice of targets and nothing else: if it
//! is missing, late or unreadable, the next placer learns the speeds itself.

use std::{sync::Arc, time::Duration};

use base::emit;
use bytes::Bytes;
use plan::SpeedRecord;
use platform::{Commit, TransactionalStore, Write};
use tokio::{sync::mpsc, time};

use crate::{
    context::Context,
    decode::decode,
    keys,
    leadership::Leadership,
    placer::{
        event::Event,
        guard::{self, WriteError},
        run::Placer,
    },
};

/// Minimum interval between writes of the record. Terms on days with trouble last
/// about 7 s, and a new class is worth at most a few jobs.
const MIN_RECORD_INTERVAL: Duration = Duration::from_secs(3);

/// Time limit for reading the record. The store answers in about 400 ms when it is
/// slow, and a takeover isn't to wait any longer for this record.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Record of the speeds in the account of a placer.
#[derive(Debug, Default)]
pub(super) struct Recording {
    /// Speeds in the store, as far as known.
    stored: SpeedRecord,
    /// Whether a write is in flight.
    is_writing: bool,
    /// Time of the last write; `None` before the first one of the term.
    written_at: Option<Duration>,
}

/// Reads the record of the previous placer; `None` if there is no readable one.
pub(super) async fn read(ctx: &Context, store: &dyn TransactionalStore) -> Option<SpeedRecord> {
    match time::timeout(READ_TIMEOUT, store.get(keys::SPEEDS)).await {
        Ok(Ok(entry)) => entry.and_then(|entry| decode(ctx, &entry)),
        Ok(Err(error)) => {
            emit!(ctx.log, warn, SpeedsUnread; "error" => %error);
            None
        }
        Err(_) => {
            emit!(ctx.log, warn, SpeedsUnread; "error" => "no answer in time");
            None
        }
    }
}

impl Placer {
    /// Passes the speeds of earlier terms to the planner: those in the handover,
    /// which are newer, or else those in the store.
    pub(super) fn inherit_speeds(&mut self, stored: Option<SpeedRecord>, now: Duration) {
        self.speeds.stored = stored.unwrap_or_default();
        let handed_over = self.leadership.succession.speeds.as_ref();
        let record = handed_over.unwrap_or(&self.speeds.stored);
        if !record.targets.is_empty() || !record.queues.is_empty() {
            emit!(self.ctx.log, info, SpeedsInherited; "targets" => record.targets.len(),
                "queues" => record.queues.len(), "handed_over" => handed_over.is_some(),
                "term" => self.leadership.term);
        }
        self.planner.inherit_speeds(record, now);
    }

    /// Starts a write of the speeds if the recorded classes are outdated.
    pub(super) fn update_speeds(&mut self, now: Duration) {
        self.ctx.metrics.uneven_targets.set(self.planner.uneven_targets(now) as i64);
        let is_too_soon =
            self.speeds.written_at.is_some_and(|at| now.saturating_sub(at) < MIN_RECORD_INTERVAL);
        if self.speeds.is_writing || is_too_soon || !self.leadership.is_valid(now) {
            return;
        }
        let was_uneven = !self.speeds.stored.targets.is_empty();
        let is_uneven = self.planner.has_uneven_targets(was_uneven, now);
        let record = if is_uneven { self.planner.speeds(now) } else { SpeedRecord::default() };
        if record.has_classes_of(&self.speeds.stored) {
            return;
        }
        self.speeds.is_writing = true;
        self.speeds.written_at = Some(now);
        let (ctx, leadership) = (Arc::clone(&self.ctx), Arc::clone(&self.leadership));
        self.tasks.spawn(write(ctx, leadership, record, self.events.clone()));
    }

    /// Processes the outcome of a write; `None` if it failed. The next check writes
    /// the record again, as it still differs from the stored one.
    pub(super) fn speeds_recorded(&mut self, record: Option<SpeedRecord>) {
        self.speeds.is_writing = false;
        if let Some(record) = record {
            self.speeds.stored = record;
        }
    }
}

async fn write(
    ctx: Arc<Context>,
    leadership: Arc<Leadership>,
    record: SpeedRecord,
    events: mpsc::UnboundedSender<Event>,
) {
    let value = Bytes::from(work::encode(&record));
    let bytes = value.len();
    let write = Write { key: keys::SPEEDS.to_owned(), value, lease: None };
    let commit = Commit { writes: vec![write], ..Commit::default() };
    let event = match guard::write(&ctx, &leadership, commit).await {
        Ok(()) => {
            emit!(ctx.log, info, SpeedsRecorded; "targets" => record.targets.len(),
                "bytes" => bytes, "term" => leadership.term);
            Event::SpeedsRecorded(Some(record))
        }
        Err(WriteError::Lost) => Event::Fenced("the lead has changed hands"),
        Err(WriteError::Failed(error)) => {
            emit!(ctx.log, warn, SpeedsNotRecorded; "targets" => record.targets.len(),
                "error" => %error, "term" => leadership.term);
            Event::SpeedsRecorded(None)
        }
    };
    let _ = events.send(event);
}
