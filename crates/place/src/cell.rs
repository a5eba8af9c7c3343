//! The account of a region's workers.

use std::collections::HashMap;

use base::{Name, Resources};
use smallvec::SmallVec;

use crate::{
    choice::{Choice, Refusals},
    group::Group,
    request::{Constraints, Policy, Request},
};

/// Workers of a group that are looked at before the group is passed over.
const MOST_LOOKS: u32 = 64;

/// An `Id` is the position of a worker in its [`Cell`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u32);

/// A `Worker` is what is known of a worker apart from its load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Worker {
    /// Name in the platform's list.
    pub name: Name,
    /// Kind of machine.
    pub kind: Name,
    /// Labels that tasks can ask for.
    pub labels: SmallVec<[Name; 4]>,
    /// Rack that the worker stands in.
    pub rack: Name,
    /// What the worker can hold.
    pub capacity: Resources,
}

/// A `State` says whether a worker may get new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It may.
    Ready,
    /// It failed what it started.
    Suspect,
    /// It doesn't answer.
    Silent,
    /// Its room is kept for a certain job.
    Reserved,
    /// The platform is about to take it away.
    Leaving,
}

/// A `Totals` sums up a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Capacity of the workers that are ready.
    pub capacity: Resources,
    /// What is allocated on all workers.
    pub allocated: Resources,
}

/// A `Cell` is the exact account of a region's workers.
#[derive(Debug, Default)]
pub struct Cell {
    slots: Vec<Slot>,
    ids: HashMap<Name, Id>,
    groups: Vec<Group>,
    totals: Totals,
}

#[derive(Debug)]
struct Slot {
    worker: Worker,
    state: State,
    allocated: Resources,
    group: usize,
}

impl Slot {
    fn free(&self) -> Resources {
        self.worker.capacity - self.allocated
    }

    fn key(&self) -> u64 {
        self.free().min_fraction_ppm(&self.worker.capacity)
    }
}

impl Cell {
    /// Adds a worker or replaces what is known of it. What is allocated on it
    /// stays allocated.
    pub fn upsert(&mut self, worker: Worker, state: State) -> Id {
        let Some(&id) = self.ids.get(&worker.name) else {
            let id = Id(self.slots.len() as u32);
            let group = self.group_of(&worker);
            self.ids.insert(worker.name.clone(), id);
            self.slots.push(Slot { worker, state, allocated: Resources::ZERO, group });
            self.groups[group].count += 1;
            self.index(id);
            return id;
        };
        self.unindex(id);
        if self.slot(id).worker != worker {
            let group = self.group_of(&worker);
            let slot = &mut self.slots[id.0 as usize];
            self.groups[slot.group].count -= 1;
            self.groups[group].count += 1;
            slot.worker = worker;
            slot.group = group;
        }
        self.slots[id.0 as usize].state = state;
        self.index(id);
        id
    }

    /// Changes whether a worker may get new tasks.
    pub fn set_state(&mut self, id: Id, state: State) {
        if self.slot(id).state == state {
            return;
        }
        self.unindex(id);
        self.slots[id.0 as usize].state = state;
        self.index(id);
    }

    /// Gets the id of a worker by its name.
    pub fn find(&self, name: &str) -> Option<Id> {
        self.ids.get(name).copied()
    }

    /// Gets what is known of a worker.
    pub fn worker(&self, id: Id) -> &Worker {
        &self.slot(id).worker
    }

    /// Gets whether a worker may get new tasks.
    pub fn state(&self, id: Id) -> State {
        self.slot(id).state
    }

    /// Gets what is allocated on a worker.
    pub fn allocated(&self, id: Id) -> Resources {
        self.slot(id).allocated
    }

    /// Gets the sums over all workers.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Gets all workers.
    pub fn ids(&self) -> impl Iterator<Item = Id> + use<> {
        (0..self.slots.len() as u32).map(Id)
    }

    /// Counts `size` as allocated on a worker, whether or not there is room:
    /// what a target already runs is a fact.
    pub fn allocate(&mut self, id: Id, size: Resources) {
        self.unindex(id);
        self.slots[id.0 as usize].allocated += size;
        self.totals.allocated += size;
        self.index(id);
    }

    /// Gives back what was allocated.
    pub fn release(&mut self, id: Id, size: Resources) {
        self.unindex(id);
        self.slots[id.0 as usize].allocated -= size;
        self.totals.allocated -= size;
        self.index(id);
    }

    /// Chooses a worker for one task and promises the task's size on it.
    pub fn place(
        &mut self,
        request: &Request,
        policy: Policy,
        bounds: &mut Constraints,
    ) -> Result<Choice, Refusals> {
        let choice = self.choose(request, policy, bounds)?;
        self.allocate(choice.worker, request.size);
        bounds.add(&self.slots[choice.worker.0 as usize].worker.rack);
        Ok(choice)
    }

    /// Chooses workers for `count` equal tasks that start together. On failure
    /// nothing is allocated.
    pub fn place_all(
        &mut self,
        request: &Request,
        policy: Policy,
        bounds: &mut Constraints,
        count: u32,
    ) -> Result<Vec<Choice>, Refusals> {
        let before = bounds.clone();
        let mut choices = Vec::with_capacity(count as usize);
        for _ in 0..count {
            match self.place(request, policy, bounds) {
                Ok(choice) => choices.push(choice),
                Err(refusals) => {
                    for choice in choices {
                        self.release(choice.worker, request.size);
                    }
                    *bounds = before;
                    return Err(refusals);
                }
            }
        }
        Ok(choices)
    }

    /// Counts why no worker takes the task, now or ever.
    pub fn refusals(&self, request: &Request, bounds: &Constraints) -> Refusals {
        let mut refusals = Refusals::default();
        for group in &self.groups {
            if !group.is_like(request) {
                refusals.mismatched += group.count;
            } else if !request.size.fits(&group.capacity) {
                refusals.too_small += group.count;
            } else {
                let ready = group.ready.len() as u32;
                let full = |(_, id): &&(u64, Id)| !bounds.admits(&self.slot(*id).worker.rack);
                let rack_full = match bounds.max_per_rack {
                    Some(_) => group.ready.iter().filter(full).count() as u32,
                    None => 0,
                };
                refusals.rack_full += rack_full;
                refusals.no_room += ready - rack_full;
                refusals.not_ready += group.count - ready;
            }
        }
        refusals
    }

    fn choose(
        &self,
        request: &Request,
        policy: Policy,
        bounds: &Constraints,
    ) -> Result<Choice, Refusals> {
        let mut order: SmallVec<[&Group; 16]> = self
            .groups
            .iter()
            .filter(|group| group.is_like(request) && request.size.fits(&group.capacity))
            .collect();
        order.sort_by_key(|group| group.surplus(request));
        let mut candidates = 0;
        for group in order {
            let found = match policy {
                Policy::Pack => self.tightest(group, request, bounds, &mut candidates),
                Policy::Spread => {
                    let ids = group.ready.iter().rev();
                    self.first_fit(ids, request, bounds, &mut candidates)
                }
                Policy::FirstFit => self.first_by_id(group, request, bounds, &mut candidates),
            };
            if let Some(worker) = found {
                let free_ppm = self.slot(worker).key();
                return Ok(Choice { worker, free_ppm, candidates });
            }
        }
        Err(self.refusals(request, bounds))
    }

    /// Gets the fullest worker of a group that takes the task.
    fn tightest(
        &self,
        group: &Group,
        request: &Request,
        bounds: &Constraints,
        candidates: &mut u32,
    ) -> Option<Id> {
        // Every worker whose least free fraction covers the task's dominant
        // fraction has room in all dimensions.
        let need = request.size.dominant_share_ppm(&group.capacity);
        let sure = group.ready.range((need, Id(0))..);
        // Below that, a worker may still fit where the task asks for little of
        // what is scarce there.
        let maybe = group.ready.range(..(need, Id(0))).rev();
        self.first_fit(sure, request, bounds, candidates)
            .or_else(|| self.first_fit(maybe, request, bounds, candidates))
    }

    fn first_fit<'a>(
        &self,
        ids: impl Iterator<Item = &'a (u64, Id)>,
        request: &Request,
        bounds: &Constraints,
        candidates: &mut u32,
    ) -> Option<Id> {
        // Full racks would hide the others, so the bound holds without them.
        let looks = if bounds.max_per_rack.is_some() || !bounds.avoid.is_empty() {
            usize::MAX
        } else {
            MOST_LOOKS as usize
        };
        ids.take(looks).map(|(_, id)| *id).find(|id| {
            *candidates += 1;
            self.takes(*id, request, bounds)
        })
    }

    fn first_by_id(
        &self,
        group: &Group,
        request: &Request,
        bounds: &Constraints,
        candidates: &mut u32,
    ) -> Option<Id> {
        let fits = |id: &Id| self.takes(*id, request, bounds);
        *candidates += group.ready.len() as u32;
        group.ready.iter().map(|(_, id)| *id).filter(fits).min()
    }

    fn takes(&self, id: Id, request: &Request, bounds: &Constraints) -> bool {
        let slot = self.slot(id);
        request.size.fits(&slot.free())
            && bounds.admits(&slot.worker.rack)
            && !bounds.avoid.contains(&id)
    }

    fn slot(&self, id: Id) -> &Slot {
        &self.slots[id.0 as usize]
    }

    fn group_of(&mut self, worker: &Worker) -> usize {
        let mut labels = worker.labels.clone();
        labels.sort();
        let alike = |group: &Group| {
            group.kind == worker.kind && group.labels == labels && group.capacity == worker.capacity
        };
        self.groups.iter().position(alike).unwrap_or_else(|| {
            self.groups.push(Group {
                kind: worker.kind.clone(),
                labels,
                capacity: worker.capacity,
                count: 0,
                ready: Default::default(),
            });
            self.groups.len() - 1
        })
    }

    /// Enters a worker in its group's order if it may get new tasks.
    fn index(&mut self, id: Id) {
        let slot = &self.slots[id.0 as usize];
        if slot.state == State::Ready {
            self.groups[slot.group].ready.insert((slot.key(), id));
            self.totals.capacity += slot.worker.capacity;
        }
    }

    /// Takes a worker out of its group's order before its key changes.
    fn unindex(&mut self, id: Id) {
        let slot = &self.slots[id.0 as usize];
        if slot.state == State::Ready {
            self.groups[slot.group].ready.remove(&(slot.key(), id));
            self.totals.capacity -= slot.worker.capacity;
        }
    }
}
