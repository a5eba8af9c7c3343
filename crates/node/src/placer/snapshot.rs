//! Snapshot of the targets for the next placer.
//!
//! At the beginning of a term, the placer waits for each target that runs may
//! be on until the target answers or its lease has certainly expired. Closed
//! targets are the exception: a closed target gets no new work until it is
//! recorded as open again, so that no runs other than the recorded ones can be
//! on it. Each placer keeps to this also for the targets that it finds recorded as
//! closed, so that the record stays true in all later terms.
//!
//! Recorded with them is which process of each held target is known. A target
//! that has restarted may hold a longer lease than any that was granted, and the
//! next placer waits accordingly.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use base::{Name, emit};
use bytes::Bytes;
use plan::{ClosedTarget, ProcessRecord};
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
    /// Processes of the held targets.
    pub(crate) processes: ProcessRecord,
    /// Number of instances that have joined the placer.
    pub(crate) instances: u32,
}

/// Stored form of the closed targets.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(crate) struct ClosedRecord {
    /// Number of the term in which the record was written.
    pub(crate) term: u64,
    /// Whether the closed targets are valid for all later terms. In records of
    /// earlier releases, they are valid for the next term only.
    #[serde(default)]
    pub(crate) is_lasting: bool,
    /// Closed targets, each with all runs that may be on it.
    pub(crate) closed: Vec<ClosedTarget>,
    /// Number of instances that had joined the placer.
    #[serde(default)]
    pub(crate) instances: u32,
    /// Start times of the processes of the held targets, in milliseconds since
    /// 1970.
    #[serde(default)]
    born_unix_ms: HashMap<Name, u64>,
    /// Targets whose lease may be longer than was granted, because they have
    /// restarted.
    #[serde(default)]
    restarted: HashSet<Name>,
    /// Targets with an unconfirmed process, whose lease may be prolonged again.
    #[serde(default)]
    unconfirmed: HashSet<Name>,
    /// Closed targets whose runs have all been listed by their known process.
    #[serde(default)]
    listed: HashSet<Name>,
}

impl ClosedRecord {
    /// Returns the record to use if the stored one is unreadable: closed targets
    /// count as held, so that the placer waits for them, and all as restarted.
    pub(crate) fn unreadable(held: &HashSet<Name>) -> Self {
        Self { restarted: held.clone(), ..Self::default() }
    }

    /// Returns the processes of the held targets.
    pub(crate) fn processes(&self) -> ProcessRecord {
        ProcessRecord {
            born_unix_ms: self.born_unix_ms.clone(),
            restarted: self.restarted.clone(),
            unconfirmed: self.unconfirmed.clone(),
            listed: self.listed.clone(),
        }
    }
}

/// Names of the targets in a recorded snapshot.
#[derive(Debug)]
pub(crate) struct RecordedNames {
    /// Targets that runs may be on.
    pub(crate) held: HashSet<Name>,
    /// Held targets that get no new work.
    pub(crate) closed: HashSet<Name>,
    /// Targets whose lease may be longer than was granted.
    pub(crate) restarted: HashSet<Name>,
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
    let Snapshot { held, closed, processes, instances } = snapshot;
    let closed_names = closed.iter().map(|(name, _)| name.clone()).collect();
    let ProcessRecord { born_unix_ms, restarted, unconfirmed, listed } = processes;
    let record = ClosedRecord {
        term: leadership.term,
        is_lasting: true,
        closed,
        instances,
        born_unix_ms,
        restarted: restarted.clone(),
        unconfirmed,
        listed,
    };
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
            let closed = closed_names;
            Event::SnapshotRecorded(Some(RecordedNames { held, closed, restarted, instances }))
        }
        Err(WriteError::Lost) => Event::Fenced("the lead has changed hands"),
        Err(WriteError::Failed(error)) => {
            emit!(ctx.log, warn, RecordFailed; "targets" => held.len(), "error" => %error);
            Event::SnapshotRecorded(None)
        }
    };
    let _ = events.send(event);
}
