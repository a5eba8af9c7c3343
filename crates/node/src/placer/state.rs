//! Reading of the stored state at the beginning of a term.

use std::collections::{HashMap, HashSet};

use base::Name;
use plan::{SpeedRecord, UNKNOWN_TARGETS};
use platform::{Entry, Error, Revision, TransactionalStore};
use work::{JobState, Progress, Spec};

use crate::{
    context::Context,
    decode::decode,
    keys::{self, JobKey},
    placer::{snapshot, speeds},
};

/// Stored state of a cell.
#[derive(Debug, Default)]
pub(crate) struct StoredState {
    pub(crate) jobs: Vec<(Name, Spec, Option<Progress>)>,
    pub(crate) cancelled: Vec<Name>,
    /// Finished jobs, of which only the final states are kept.
    pub(crate) ended: Vec<(Name, JobState)>,
    /// Targets that runs may be on.
    pub(crate) held: HashSet<Name>,
    /// Targets that the previous placer had closed to new work.
    pub(crate) closed: snapshot::ClosedRecord,
    /// Usual speeds of the targets, as known to the previous placer.
    pub(crate) speeds: Option<SpeedRecord>,
    /// Revision of the guard key.
    pub(crate) guard: Revision,
    /// Revision after which changes of jobs must be followed.
    pub(crate) revision: Revision,
}

/// Reads the stored state of a cell.
pub(crate) async fn read(ctx: &Context) -> Result<StoredState, Error> {
    let store = &*ctx.services.store;
    // The reads may run concurrently, because any progress written meanwhile
    // belongs to this term.
    let (jobs, outcomes, held, closed, guard, speeds) = futures::join!(
        read_prefix(store, keys::JOBS),
        read_prefix(store, keys::PROGRESS),
        store.get(keys::HELD),
        store.get(keys::CLOSED),
        store.get(keys::GUARD),
        speeds::read(ctx, store),
    );
    let ((entries, revision), (outcomes, _)) = (jobs?, outcomes?);
    let mut progress: HashMap<Name, Progress> = HashMap::new();
    // Jobs whose progress is unreadable. Nothing of such a job may start,
    // because it is unknown which tasks have ended.
    let mut unreadable: HashSet<Name> = HashSet::new();
    for entry in outcomes {
        let id = Name::from(entry.key.strip_prefix(keys::PROGRESS).unwrap_or_default());
        match decode::<Progress>(ctx, &entry) {
            Some(read) => drop(progress.insert(id, read)),
            None => drop(unreadable.insert(id)),
        }
    }
    let guard = guard?.map_or(Revision::ABSENT, |entry| entry.revision);
    let mut recorded = StoredState { revision, guard, speeds, ..StoredState::default() };
    for entry in entries {
        match JobKey::parse(&entry.key) {
            Some(JobKey::Accepted(id)) if unreadable.contains(&id) => {}
            Some(JobKey::Accepted(id)) => {
                if let Some(spec) = decode::<Spec>(ctx, &entry) {
                    let progress = progress.remove(&id);
                    recorded.jobs.push((id, spec, progress));
                }
            }
            Some(JobKey::Cancelled(id)) => recorded.cancelled.push(id),
            None => {}
        }
    }
    // The remaining progress belongs to finished jobs, whose job keys were
    // removed.
    recorded.ended = progress.into_iter().map(|(id, progress)| (id, progress.state)).collect();
    if let Some(entry) = held? {
        let held = decode::<Vec<Name>>(ctx, &entry);
        recorded.held =
            held.unwrap_or_else(|| vec![Name::from(UNKNOWN_TARGETS)]).into_iter().collect();
    }
    if let Some(entry) = closed? {
        recorded.closed = decode::<snapshot::ClosedRecord>(ctx, &entry)
            .unwrap_or_else(|| snapshot::ClosedRecord::unreadable(&recorded.held));
    }
    Ok(recorded)
}

/// Reads all entries with a prefix, page by page. Returns the revision of the
/// first page; later changes may be missing from the entries.
pub(crate) async fn read_prefix(
    store: &dyn TransactionalStore,
    prefix: &str,
) -> Result<(Vec<Entry>, Revision), Error> {
    let mut entries: Vec<Entry> = Vec::new();
    let mut first = None;
    loop {
        let after = entries.last().map(|entry| entry.key.clone()).unwrap_or_default();
        let page = store.page(prefix, &after).await?;
        let revision = *first.get_or_insert(page.revision);
        let is_empty = page.entries.is_empty();
        entries.extend(page.entries);
        if !page.has_more || is_empty {
            return Ok((entries, revision));
        }
    }
}
