//! What the next placer has to know of the targets.
//!
//! It waits for those that runs may be on until they answer or their leases have
//! surely lapsed, unless they are closed: those get no work until it is recorded
//! that they are open again, so that just the recorded runs may be on them. The
//! closed ones hold for the next term only; others may have opened them since.

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
    lead::Lead,
    placer::{
        change::{self, Unwritten},
        event::Event,
    },
};

/// A `Holding` is what the next placer has to know of the targets.
#[derive(Debug)]
pub(crate) struct Holding {
    /// The targets that runs may be on.
    pub(crate) held: HashSet<Name>,
    /// Those of them that get no work.
    pub(crate) closed: Vec<ClosedTarget>,
    /// Instances that have joined the placer.
    pub(crate) instances: u32,
}

/// A `Record` is the closed targets as they are recorded.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(crate) struct Record {
    /// Number of the term that recorded them.
    pub(crate) term: u64,
    /// The targets.
    pub(crate) closed: Vec<ClosedTarget>,
    /// Instances that had joined the placer.
    #[serde(default)]
    pub(crate) instances: u32,
}

/// A `Names` is the names of targets that were recorded.
#[derive(Debug)]
pub(crate) struct Names {
    /// The targets that runs may be on.
    pub(crate) held: HashSet<Name>,
    /// Those of them that get no work.
    pub(crate) closed: HashSet<Name>,
    /// Instances that had joined the placer.
    pub(crate) instances: u32,
}

/// Records what the next placer has to know of the targets.
pub(crate) async fn record(
    ctx: Arc<Context>,
    lead: Arc<Lead>,
    holding: Holding,
    events: mpsc::UnboundedSender<Event>,
) {
    let Holding { held, closed, instances } = holding;
    let closed_names = closed.iter().map(|(name, _)| name.clone()).collect();
    let record = Record { term: lead.term, closed, instances };
    let write = |key: &str, value: Vec<u8>| Write {
        key: key.to_owned(),
        value: Bytes::from(value),
        lease: None,
    };
    let writes =
        vec![write(keys::HELD, work::encode(&held)), write(keys::CLOSED, work::encode(&record))];
    let commit = Commit { writes, ..Commit::default() };
    let event = match change::write(&ctx, &lead, commit).await {
        Ok(()) => Event::Held(Some(Names { held, closed: closed_names, instances })),
        Err(Unwritten::Lost) => Event::Fenced("the lead has changed hands"),
        Err(Unwritten::Failed(error)) => {
            emit!(ctx.log, warn, RecordFailed; "targets" => held.len(), "error" => %error);
            Event::Held(None)
        }
    };
    let _ = events.send(event);
}
