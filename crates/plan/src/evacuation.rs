//! Evacuation of data centres: nothing is started on their targets.
//!
//! Runs there go on as before, and their targets stay in the account. The set of
//! evacuated data centres comes with the time at which it was last confirmed. A
//! planner that must follow evacuations starts nothing anywhere until the set is
//! known, and while the last confirmation is too old to rule out a further one.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use base::Name;
use work::Evacuations;

use crate::{
    planner::Planner,
    target::{Availability, Target},
};

/// Evacuations in force.
#[derive(Debug, Default)]
pub(crate) struct Evacuation {
    set: Arc<Evacuations>,
    /// Time at which the set was last known to be complete; `None` before the
    /// first confirmation.
    confirmed_at: Option<Duration>,
}

impl Evacuation {
    /// Returns whether a data centre is evacuated.
    pub(crate) fn covers(&self, data_centre: &str) -> bool {
        self.set.contains(data_centre)
    }
}

/// Evacuation that has taken effect or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Name of the data centre.
    pub data_centre: Name,
    /// Whether the evacuation is in force now.
    pub is_in_force: bool,
    /// Revision of the set in the key-value service.
    pub revision: u64,
    /// Time since the last confirmation before the change; `None` if there was
    /// none.
    pub age: Option<Duration>,
    /// Number of listed targets in the data centre.
    pub targets: usize,
    /// Number of runs that may exist on its targets.
    pub runs: usize,
}

impl Planner {
    /// Replaces the evacuated data centres by a set that was complete at
    /// `confirmed_at`. Returns what has changed.
    pub fn evacuate(
        &mut self,
        set: Arc<Evacuations>,
        confirmed_at: Option<Duration>,
        now: Duration,
    ) -> Vec<EvacuationChange> {
        let age = self.evacuation.confirmed_at.map(|at| now.saturating_sub(at));
        self.evacuation.confirmed_at = self.evacuation.confirmed_at.max(confirmed_at);
        if Arc::ptr_eq(&set, &self.evacuation.set) {
            return Vec::new();
        }
        let before = std::mem::replace(&mut self.evacuation.set, Arc::clone(&set));
        for target in &mut self.targets {
            target.is_evacuated = set.contains(&target.info.data_centre);
        }
        self.is_changed = true;
        let changed = before.data_centres.symmetric_difference(&set.data_centres);
        let change = |data_centre: &Name| {
            let there = || self.targets.iter().filter(|t| t.info.data_centre == *data_centre);
            EvacuationChange {
                data_centre: data_centre.clone(),
                is_in_force: set.contains(data_centre),
                revision: set.revision,
                age,
                targets: there().filter(|target| target.is_listed()).count(),
                runs: there().map(|target| target.runs.len()).sum(),
            }
        };
        changed.map(change).collect()
    }

    /// Returns whether the evacuations were confirmed recently enough to start
    /// work.
    pub fn are_evacuations_current(&self, now: Duration) -> bool {
        let Some(max_age) = self.settings.max_evacuation_age else {
            return true;
        };
        self.evacuation.confirmed_at.is_some_and(|at| now.saturating_sub(at) < max_age)
    }

    /// Returns whether evacuations permit starts on a target.
    pub fn may_start_on(&self, target: &str) -> bool {
        let id = self.target_ids.get(target);
        id.is_none_or(|id| !self.targets[id.0 as usize].is_evacuated)
    }

    /// Returns the number of runs that may exist in evacuated data centres.
    pub fn evacuated_runs(&self) -> usize {
        if self.evacuation.set.data_centres.is_empty() {
            return 0;
        }
        let evacuated = self.targets.iter().filter(|target| target.is_evacuated);
        evacuated.map(|target| target.runs.len()).sum()
    }

    /// Returns the data centres of the listed targets of each pool.
    pub fn pool_data_centres(&self) -> Vec<(Name, Vec<Name>)> {
        let mut pools: BTreeMap<&Name, BTreeSet<&Name>> = BTreeMap::new();
        for target in self.targets.iter().filter(|target| target.is_listed()) {
            pools.entry(&target.info.service).or_default().insert(&target.info.data_centre);
        }
        let owned = |(pool, data_centres): (&Name, BTreeSet<&Name>)| {
            (pool.clone(), data_centres.into_iter().cloned().collect())
        };
        pools.into_iter().map(owned).collect()
    }
}

impl Target {
    fn is_listed(&self) -> bool {
        self.info.availability != Availability::Unlisted
    }
}
