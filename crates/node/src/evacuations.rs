//! Evacuated data centres, as read from the key-value service.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::{Name, clock, emit};
use platform::{Entry, Event, Revision};
use work::Evacuations;

use crate::context::Context;

/// Value of [`EvacuationState::confirmed_ms`] before the first confirmation.
const NEVER: u64 = 0;

/// Last known change of a key.
#[derive(Clone, Copy, Debug)]
struct Change {
    revision: Revision,
    /// Whether the key exists.
    exists: bool,
}

/// Keys as far as they have been read.
#[derive(Debug, Default)]
struct Keys {
    changes: HashMap<Name, Change>,
    /// Request time of the last read that was applied.
    read_at: Duration,
}

/// Holder of the evacuations in force.
///
/// Changes of a key are applied in the order of their revisions, whether a watch
/// or a read has found them.
#[derive(Debug, Default)]
pub(crate) struct EvacuationState {
    keys: Mutex<Keys>,
    current: Mutex<Arc<Evacuations>>,
    /// Time of the last confirmation, in milliseconds since the machine started.
    confirmed_ms: AtomicU64,
}

impl EvacuationState {
    /// Returns the evacuations in force.
    pub(crate) fn current(&self) -> Arc<Evacuations> {
        Arc::clone(&self.lock_current())
    }

    /// Returns the time at which the set was last known to be complete; `None`
    /// before the first full read. To be called before [`Self::current`], so that
    /// the set is at least as new as the confirmation.
    pub(crate) fn confirmed_at(&self) -> Option<Duration> {
        let confirmed_ms = self.confirmed_ms.load(Ordering::SeqCst);
        (confirmed_ms != NEVER).then(|| Duration::from_millis(confirmed_ms))
    }

    /// Records that the set was complete at `at`. To be called after changes were
    /// applied.
    pub(crate) fn confirm(&self, at: Duration) {
        self.confirmed_ms.fetch_max((at.as_millis() as u64).max(NEVER + 1), Ordering::SeqCst);
    }

    fn lock_current(&self) -> MutexGuard<'_, Arc<Evacuations>> {
        self.current.lock().expect("no thread panics while holding the lock")
    }
}

impl Context {
    /// Returns whether operators may evacuate data centres.
    pub(crate) fn follows_evacuations(&self) -> bool {
        self.settings.bounds.evacuate_ms.is_some()
    }

    /// Returns whether the evacuations are known, or there can be none.
    pub(crate) fn knows_evacuations(&self) -> bool {
        !self.follows_evacuations() || self.evacuations.confirmed_at().is_some()
    }

    /// Returns whether evacuations permit a start in a data centre.
    pub(crate) fn may_start_in(&self, data_centre: &str, now: Duration) -> bool {
        let Some(max_age) = self.settings.max_evacuation_age() else {
            return true;
        };
        let confirmed_at = self.evacuations.confirmed_at();
        confirmed_at.is_some_and(|at| now.saturating_sub(at) < max_age)
            && !self.evacuations.current().contains(data_centre)
    }

    /// Applies changes that a watch has returned.
    pub(crate) fn apply_evacuations(&self, changes: &[Event]) {
        let mut keys = self.lock_keys();
        for change in changes {
            match change {
                Event::Put(entry) => self.note(&mut keys, &entry.key, entry.revision, true),
                Event::Deleted { key, revision } => self.note(&mut keys, key, *revision, false),
                Event::Heartbeat => {}
            }
        }
        self.publish_evacuations(&keys, "watch");
    }

    /// Replaces the set by all entries that were read at `revision`, in answer to a
    /// request at `sent`, except for later changes.
    pub(crate) fn replace_evacuations(
        &self,
        entries: &[Entry],
        revision: Revision,
        sent: Duration,
    ) {
        let mut keys = self.lock_keys();
        // A late answer may contain keys whose removal was already read.
        if sent < keys.read_at {
            return;
        }
        keys.read_at = sent;
        let prefix = self.services.catalog.evacuation_prefix();
        let read: BTreeSet<&str> =
            entries.iter().filter_map(|entry| entry.key.strip_prefix(prefix)).collect();
        keys.changes.retain(|name, change| read.contains(&**name) || change.revision > revision);
        for entry in entries {
            self.note(&mut keys, &entry.key, entry.revision, true);
        }
        self.publish_evacuations(&keys, "read");
    }

    fn lock_keys(&self) -> MutexGuard<'_, Keys> {
        self.evacuations.keys.lock().expect("no thread panics while holding the lock")
    }

    fn note(&self, keys: &mut Keys, key: &str, revision: Revision, exists: bool) {
        // The value is for the operator's own use and may be anything.
        let Some(data_centre) = self.services.catalog.evacuated_data_centre(key) else {
            return;
        };
        let known = keys.changes.get(&data_centre);
        if known.is_none_or(|known| known.revision < revision) {
            keys.changes.insert(data_centre, Change { revision, exists });
        }
    }

    /// Publishes the set if it has changed.
    fn publish_evacuations(&self, keys: &Keys, source: &str) {
        let existing = keys.changes.iter().filter(|(_, change)| change.exists);
        let data_centres: BTreeSet<Name> = existing.map(|(name, _)| name.clone()).collect();
        let before = self.evacuations.current();
        if data_centres == before.data_centres {
            return;
        }
        let revision = keys.changes.values().map(|change| change.revision.0).max().unwrap_or(0);
        let age = self.evacuations.confirmed_at().map(|at| clock::now().saturating_sub(at));
        for data_centre in before.data_centres.symmetric_difference(&data_centres) {
            emit!(self.log, info, EvacuationRead; "data_centre" => %data_centre,
                "in_force" => data_centres.contains(data_centre), "revision" => revision,
                "by" => source, "age_ms" => age.map(|age| age.as_millis() as u64));
        }
        self.metrics.evacuations.set(data_centres.len() as i64);
        let revision = revision.max(before.revision);
        *self.evacuations.lock_current() = Arc::new(Evacuations { revision, data_centres });
    }
}
