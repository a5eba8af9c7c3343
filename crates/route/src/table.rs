//! Runners and their slots.

use std::collections::HashMap;

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
    pub foreign: u32,
    /// Whether it may get new calls.
    pub open: bool,
    /// The way to send it a call.
    pub handle: H,
}

#[derive(Debug)]
struct Slot<H> {
    runner: Runner<H>,
    busy: u32,
}

impl<H> Slot<H> {
    fn free(&self) -> u32 {
        self.runner.slots.saturating_sub(self.busy + self.runner.foreign)
    }
}

/// A `Table` is the account of the runners that an instance owns.
#[derive(Debug)]
pub(crate) struct Table<H> {
    slots: HashMap<Name, Slot<H>>,
    services: HashMap<Name, Vec<Name>>,
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
        self.unlist(&runner.name);
        for service in &runner.services {
            self.services.entry(service.clone()).or_default().push(runner.name.clone());
        }
        let busy = self.slots.get(&runner.name).map_or(0, |slot| slot.busy);
        self.slots.insert(runner.name.clone(), Slot { runner, busy });
    }

    pub(crate) fn close(&mut self, name: &str) {
        if let Some(slot) = self.slots.get_mut(name) {
            slot.runner.open = false;
        }
    }

    /// Forgets a runner once none of our calls is left at it.
    pub(crate) fn remove(&mut self, name: &str) {
        self.unlist(name);
        if let Some(slot) = self.slots.get_mut(name) {
            slot.runner.open = false;
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
        let names = self.services.get(service)?;
        let open = names.iter().filter_map(|name| self.slots.get(name)).filter(|slot| {
            slot.runner.open && slot.free() > 0 && !avoid.contains(&slot.runner.name)
        });
        let mut candidates = 0;
        let best = open
            .inspect(|_| candidates += 1)
            .max_by_key(|slot| (*slot.runner.data_centre == *data_centre, slot.free()))?;
        let name = best.runner.name.clone();
        let slot = self.slots.get_mut(&name)?;
        slot.busy += 1;
        Some((name, slot.runner.handle.clone(), candidates))
    }

    /// Frees a slot; gets the services that can use it now.
    pub(crate) fn give_back(&mut self, name: &str) -> SmallVec<[Name; 4]> {
        let Some(slot) = self.slots.get_mut(name) else {
            return SmallVec::new();
        };
        slot.busy = slot.busy.saturating_sub(1);
        let services = slot.runner.services.clone();
        if services.is_empty() && slot.busy == 0 {
            self.slots.remove(name);
        }
        services
    }

    /// Gets the slots of `service` and how many of them are free.
    pub(crate) fn capacity(&self, service: &str) -> (u32, u32) {
        let names = self.services.get(service).into_iter().flatten();
        let open = names.filter_map(|name| self.slots.get(name)).filter(|s| s.runner.open);
        open.fold((0, 0), |(all, free), slot| (all + slot.runner.slots, free + slot.free()))
    }

    pub(crate) fn services(&self) -> impl Iterator<Item = &Name> {
        self.services.iter().filter(|(_, names)| !names.is_empty()).map(|(service, _)| service)
    }

    /// Gets each runner with the calls that take its slots.
    pub(crate) fn runners(&self) -> impl Iterator<Item = (&Runner<H>, u32)> {
        self.slots.values().map(|slot| (&slot.runner, slot.busy + slot.runner.foreign))
    }

    fn unlist(&mut self, name: &str) {
        if let Some(slot) = self.slots.get(name) {
            for service in &slot.runner.services {
                if let Some(names) = self.services.get_mut(service) {
                    names.retain(|known| **known != *name);
                }
            }
        }
    }
}
