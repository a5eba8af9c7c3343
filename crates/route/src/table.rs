//! Runners and their slots.

use std::collections::{BTreeSet, HashMap};

use base::Name;
use smallvec::SmallVec;

/// A `Runner` is what is known of a runner apart from our calls at it.
#[derive(Clone, Debug)]
pub struct Runner<H> {
    /// Name in the platform's list.
    pub name: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Services that it serves.
    pub services: SmallVec<[Name; 4]>,
    /// Calls that it serves at once.
    pub slots: u32,
    /// Slots taken by calls that an earlier owner sent.
    pub inherited: u32,
    /// Whether it may get new calls.
    pub is_open: bool,
    /// The way to send it a call.
    pub handle: H,
}

#[derive(Debug)]
struct Slot<H> {
    runner: Runner<H>,
    busy: u32,
}

impl<H> Slot<H> {
    /// Gets the slots that count: none of a runner that is closed.
    fn slots(&self) -> u32 {
        if self.runner.is_open { self.runner.slots } else { 0 }
    }

    fn free(&self) -> u32 {
        self.slots().saturating_sub(self.busy + self.runner.inherited)
    }
}

/// A `Service` is the runners that serve a service, by their free slots.
#[derive(Debug, Default)]
struct Service {
    runners: u32,
    slots: u32,
    free: u32,
    /// Runners with free slots, by data centre.
    able: HashMap<Name, BTreeSet<(u32, Name)>>,
}

impl Service {
    /// Gets the runner with the most free slots, in `data_centre` if there is
    /// one.
    fn best(&self, data_centre: &str, avoid: &[Name]) -> Option<&Name> {
        let near = self.able.get(data_centre).and_then(|able| most_free(able, avoid));
        let any = || self.able.values().filter_map(|able| most_free(able, avoid)).max();
        near.or_else(any).map(|(_, name)| name)
    }
}

/// Gets the runner with the most free slots that isn't to be avoided.
fn most_free<'a>(able: &'a BTreeSet<(u32, Name)>, avoid: &[Name]) -> Option<&'a (u32, Name)> {
    able.iter().rev().find(|(_, name)| !avoid.contains(name))
}

/// A `Table` is the account of the runners that an instance owns.
#[derive(Debug)]
pub(crate) struct Table<H> {
    slots: HashMap<Name, Slot<H>>,
    services: HashMap<Name, Service>,
}

impl<H> Default for Table<H> {
    fn default() -> Self {
        Self { slots: HashMap::new(), services: HashMap::new() }
    }
}

impl<H: Clone> Table<H> {
    /// Adds a runner or replaces what is known of it. Our calls at it keep
    /// their slots.
    pub(crate) fn upsert(&mut self, runner: Runner<H>) {
        let name = runner.name.clone();
        self.unindex(&name);
        let busy = self.slots.get(&name).map_or(0, |slot| slot.busy);
        self.slots.insert(name.clone(), Slot { runner, busy });
        self.index(&name);
    }

    pub(crate) fn close(&mut self, name: &str) {
        self.change(name, |slot| slot.runner.is_open = false);
    }

    /// Forgets a runner once none of our calls is left at it.
    pub(crate) fn remove(&mut self, name: &str) {
        self.unindex(name);
        if let Some(slot) = self.slots.get_mut(name) {
            slot.runner.is_open = false;
            slot.runner.services.clear();
        }
        self.slots.retain(|known, slot| **known != *name || slot.busy > 0);
    }

    /// Takes a slot of the runner with the most free slots, in `data_centre`
    /// if there is one. Gets the runner and the number of candidates.
    pub(crate) fn take(
        &mut self,
        service: &str,
        data_centre: &str,
        avoid: &[Name],
    ) -> Option<(Name, H, u32)> {
        let service = self.services.get(service)?;
        let name = service.best(data_centre, avoid)?.clone();
        let candidates = service.able.values().map(BTreeSet::len).sum::<usize>() as u32;
        self.change(&name, |slot| slot.busy += 1);
        let handle = self.slots.get(&name)?.runner.handle.clone();
        Some((name, handle, candidates))
    }

    /// Frees a slot; gets the services that can use it now.
    pub(crate) fn give_back(&mut self, name: &str) -> SmallVec<[Name; 4]> {
        self.change(name, |slot| slot.busy = slot.busy.saturating_sub(1));
        let Some(slot) = self.slots.get(name) else {
            return SmallVec::new();
        };
        let services = slot.runner.services.clone();
        if services.is_empty() && slot.busy == 0 {
            self.slots.remove(name);
        }
        services
    }

    /// Gets the slots of `service` and how many of them are free.
    pub(crate) fn capacity(&self, service: &str) -> (u32, u32) {
        self.services.get(service).map_or((0, 0), |service| (service.slots, service.free))
    }

    pub(crate) fn services(&self) -> impl Iterator<Item = &Name> {
        self.services.iter().filter(|(_, service)| service.runners > 0).map(|(name, _)| name)
    }

    /// Gets each runner with the calls that take its slots.
    pub(crate) fn runners(&self) -> impl Iterator<Item = (&Runner<H>, u32)> {
        self.slots.values().map(|slot| (&slot.runner, slot.busy + slot.runner.inherited))
    }

    /// Changes a runner and its place among the others.
    fn change(&mut self, name: &str, change: impl FnOnce(&mut Slot<H>)) {
        self.unindex(name);
        if let Some(slot) = self.slots.get_mut(name) {
            change(slot);
        }
        self.index(name);
    }

    fn index(&mut self, name: &str) {
        let Some(slot) = self.slots.get(name) else {
            return;
        };
        let runner = &slot.runner;
        for service in &runner.services {
            let service = self.services.entry(service.clone()).or_default();
            service.runners += 1;
            service.slots += slot.slots();
            service.free += slot.free();
            if slot.free() > 0 {
                let able = service.able.entry(runner.data_centre.clone()).or_default();
                able.insert((slot.free(), runner.name.clone()));
            }
        }
    }

    fn unindex(&mut self, name: &str) {
        let Some(slot) = self.slots.get(name) else {
            return;
        };
        let runner = &slot.runner;
        for service in &runner.services {
            let Some(service) = self.services.get_mut(service) else {
                continue;
            };
            service.runners -= 1;
            service.slots -= slot.slots();
            service.free -= slot.free();
            if let Some(able) = service.able.get_mut(&runner.data_centre) {
                able.remove(&(slot.free(), runner.name.clone()));
            }
        }
    }
}
