//! Snapshot of the targets for the next placer.
//!
//! At the beginning of a term, the placer waits for each target that runs may
//! be on until the target answers or its lease has certainly expired. Closed
//! targets are the exception: a closed target gets no new work until it is
//! recorded as open again, so that no runs other than the recorded ones can be
//! on it. The record of closed targets is valid for the next term only, because
//! later placers may have opened the targets since.

use std::{collections::HashSet, sync::Arc};

use base::{Name, emit};
use bytes::Bytes;
use plan::ClosedTarget;
use platform::{Commit, Write};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::{
    context::Context,
    keys,
    leadership::Leadership,
    placer::{
        event::Event,
        guard::{self, WriteError},
    },
};

/// Information about the targets that is recorded for the next placer.
#[derive(Debug)]
pub(crate) struct Snapshot {
    /// Targets that runs may be on.
    pub(crate) held: HashSet<Name>,
    /// Held targets that get no new work, each with all runs that may be on it.
    pub(crate) closed: Vec<ClosedTarget>,
    /// Number of instances that have joined the placer.
    pub(crate) instances: u32,
}

/// Stored form of the closed targets.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(crate) struct ClosedRecord {
    /// Number of the term in which the record was written.
    pub(crate) term: u64,
    /// Closed targets, each with all runs that may be on it.
    pub(crate) closed: Vec<ClosedTarget>,
    /// Number of instances that had joined the placer.
    #[serde(default)]
    pub(crate) instances: u32,
}

/// Names of the targets in a recorded snapshot.
#[derive(Debug)]
pub(crate) struct RecordedNames {
    /// Targets that runs may be on.
    pub(crate) held: HashSet<Name>,
    /// Held targets that get no new work.
    pub(crate) closed: HashSet<Name>,
    /// Number of instances that had joined the placer.
    pub(crate) instances: u32,
}

/// Records a snapshot, and reports the outcome as an event.
pub(crate) async fn record(
    ctx: Arc<Context>,
    leadership: Arc<Leadership>,
    snapshot: Snapshot,
    events: mpsc::UnboundedSender<Event>,
) {
    let Snapshot { held, closed, instances } = snapshot;
    let closed_names = closed.iter().map(|(name, _)| name.clone()).collect();
    let record = ClosedRecord { term: leadership.term, closed, instances };
    let write = |key: &str, value: Vec<u8>| Write {
        key: key.to_owned(),
        value: Bytes::from(value),
        lease: None,
    };
    let writes =
        vec![write(keys::HELD, work::encode(&held)), write(keys::CLOSED, work::encode(&record))];
    let commit = Commit { writes, ..Commit::default() };
    let event = match guard::write(&ctx, &leadership, commit).await {
        Ok(()) => {
            Event::SnapshotRecorded(Some(RecordedNames { held, closed: closed_names, instances }))
        }
        Err(WriteError::Lost) => Event::Fenced("the lead has changed hands"),
        Err(WriteError::Failed(error)) => {
            emit!(ctx.log, warn, RecordFailed; "targets" => held.len(), "error" => %error);
            Event::SnapshotRecorded(None)
        }
    };
    let _ = events.send(event);
}
