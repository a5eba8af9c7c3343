//! Runners of an instance, indexed by service and free slots.

use std::collections::{BTreeSet, HashMap};

use base::Name;
use smallvec::SmallVec;

/// Description of a runner, without the calls that this instance sent to it.
#[derive(Clone, Debug)]
pub struct Runner<H> {
    /// Name of the runner in the platform's list.
    pub name: Name,
    /// Data centre in which the runner stands.
    pub data_centre: Name,
    /// Services that the runner serves.
    pub services: SmallVec<[Name; 4]>,
    /// Calls that the runner serves concurrently.
    pub slots: u32,
    /// Slots in use by calls that an earlier owner of the runner sent.
    pub inherited: u32,
    /// Whether the runner accepts new calls.
    pub is_open: bool,
    /// Handle for sending calls to the runner.
    pub handle: H,
}

#[derive(Debug)]
struct Entry<H> {
    runner: Runner<H>,
    busy: u32,
}

impl<H> Entry<H> {
    /// Returns the usable slots: all of an open runner, none of a closed one.
    fn slots(&self) -> u32 {
        if self.runner.is_open { self.runner.slots } else { 0 }
    }

    fn free(&self) -> u32 {
        self.slots().saturating_sub(self.busy + self.runner.inherited)
    }
}

/// Totals of the runners of a service, and those of them with free slots.
#[derive(Debug, Default)]
struct Service {
    runners: u32,
    slots: u32,
    free: u32,
    /// Number of free slots and name of each runner with free slots, by data
    /// centre.
    available: HashMap<Name, BTreeSet<(u32, Name)>>,
}

impl Service {
    /// Returns the runner with the most free slots, preferably in
    /// `data_centre`.
    fn best_runner(&self, data_centre: &str, avoid: &[Name]) -> Option<&Name> {
        let nearby =
            self.available.get(data_centre).and_then(|available| most_free(available, avoid));
        let anywhere =
            || self.available.values().filter_map(|available| most_free(available, avoid)).max();
        nearby.or_else(anywhere).map(|(_, name)| name)
    }
}

/// Returns the entry with the most free slots whose runner is not in `avoid`.
fn most_free<'a>(available: &'a BTreeSet<(u32, Name)>, avoid: &[Name]) -> Option<&'a (u32, Name)> {
    available.iter().rev().find(|(_, name)| !avoid.contains(name))
}

/// Runners that an instance owns, with the number of calls sent to each.
#[derive(Debug)]
pub(crate) struct Table<H> {
    entries: HashMap<Name, Entry<H>>,
    services: HashMap<Name, Service>,
}

impl<H> Default for Table<H> {
    fn default() -> Self {
        Self { entries: HashMap::new(), services: HashMap::new() }
    }
}

impl<H: Clone> Table<H> {
    /// Adds a runner, or replaces the description of a known one. Calls that this
    /// instance sent to the runner keep their slots.
    pub(crate) fn upsert(&mut self, runner: Runner<H>) {
        let name = runner.name.clone();
        self.unindex(&name);
        let busy = self.entries.get(&name).map_or(0, |entry| entry.busy);
        self.entries.insert(name.clone(), Entry { runner, busy });
        self.index(&name);
    }

    pub(crate) fn close(&mut self, name: &str) {
        self.update(name, |entry| entry.runner.is_open = false);
    }

    /// Closes a runner, and removes it once no call of this instance is left at
    /// the runner.
    pub(crate) fn remove(&mut self, name: &str) {
        self.unindex(name);
        if let Some(entry) = self.entries.get_mut(name) {
            entry.runner.is_open = false;
            entry.runner.services.clear();
        }
        self.entries.retain(|known, entry| **known != *name || entry.busy > 0);
    }

    /// Takes a slot of the runner with the most free slots, preferably in
    /// `data_centre`. Returns the name and handle of the runner and the number
    /// of runners that had a free slot.
    pub(crate) fn take(
        &mut self,
        service: &str,
        data_centre: &str,
        avoid: &[Name],
    ) -> Option<(Name, H, u32)> {
        let service = self.services.get(service)?;
        let name = service.best_runner(data_centre, avoid)?.clone();
        let candidates = service.available.values().map(BTreeSet::len).sum::<usize>() as u32;
        self.update(&name, |entry| entry.busy += 1);
        let handle = self.entries.get(&name)?.runner.handle.clone();
        Some((name, handle, candidates))
    }

    /// Frees a slot of a runner; returns the services that the runner serves.
    pub(crate) fn release(&mut self, name: &str) -> SmallVec<[Name; 4]> {
        self.update(name, |entry| entry.busy = entry.busy.saturating_sub(1));
        let Some(entry) = self.entries.get(name) else {
            return SmallVec::new();
        };
        let services = entry.runner.services.clone();
        if services.is_empty() && entry.busy == 0 {
            self.entries.remove(name);
        }
        services
    }

    /// Returns the number of slots of `service` and how many of them are free.
    pub(crate) fn capacity(&self, service: &str) -> (u32, u32) {
        self.services.get(service).map_or((0, 0), |service| (service.slots, service.free))
    }

    pub(crate) fn services(&self) -> impl Iterator<Item = &Name> {
        self.services.iter().filter(|(_, service)| service.runners > 0).map(|(name, _)| name)
    }

    /// Returns each runner with the number of its slots in use.
    pub(crate) fn runners(&self) -> impl Iterator<Item = (&Runner<H>, u32)> {
        self.entries.values().map(|entry| (&entry.runner, entry.busy + entry.runner.inherited))
    }

    /// Applies `update` to a runner and updates the index.
    fn update(&mut self, name: &str, update: impl FnOnce(&mut Entry<H>)) {
        self.unindex(name);
        if let Some(entry) = self.entries.get_mut(name) {
            update(entry);
        }
        self.index(name);
    }

    fn index(&mut self, name: &str) {
        let Some(entry) = self.entries.get(name) else {
            return;
        };
        let runner = &entry.runner;
        for service in &runner.services {
            let service = self.services.entry(service.clone()).or_default();
            service.runners += 1;
            service.slots += entry.slots();
            service.free += entry.free();
            if entry.free() > 0 {
                let available = service.available.entry(runner.data_centre.clone()).or_default();
                available.insert((entry.free(), runner.name.clone()));
            }
        }
    }

    fn unindex(&mut self, name: &str) {
        let Some(entry) = self.entries.get(name) else {
            return;
        };
        let runner = &entry.runner;
        for service in &runner.services {
            let Some(service) = self.services.get_mut(service) else {
                continue;
            };
            service.runners -= 1;
            service.slots -= entry.slots();
            service.free -= entry.free();
            if let Some(available) = service.available.get_mut(&runner.data_centre) {
                available.remove(&(entry.free(), runner.name.clone()));
            }
        }
    }
}
