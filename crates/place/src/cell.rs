//! Capacity and allocations of the workers of a region.

use std::collections::HashMap;

use base::{Name, Resources};
use smallvec::SmallVec;

use crate::{
    choice::{Choice, Refusals},
    group::Group,
    request::{Constraints, Policy, Request},
};

/// Workers of a group that are examined before the search moves on to the next
/// group.
const MAX_CANDIDATES: u32 = 64;

/// Index of a worker in its [`Cell`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u32);

/// Description of a worker, without its allocations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Worker {
    /// Name of the worker in the platform's list.
    pub name: Name,
    /// Kind of machine.
    pub kind: Name,
    /// Labels that tasks can require.
    pub labels: SmallVec<[Name; 4]>,
    /// Rack in which the worker is mounted.
    pub rack: Name,
    /// Resources that the worker offers to tasks.
    pub capacity: Resources,
}

/// Availability of a worker for new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The worker accepts new tasks.
    Ready,
    /// Attempts on the worker failed repeatedly; see [`Health`](crate::Health).
    Suspect,
    /// The worker does not answer.
    Silent,
    /// The free capacity of the worker is reserved for one job.
    Reserved,
    /// The platform is about to remove the worker.
    Leaving,
}

/// Sums over the workers of a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Capacity of the workers in [`State::Ready`].
    pub capacity: Resources,
    /// Resources allocated on all workers, whatever their state.
    pub allocated: Resources,
}

/// Workers of a region with the resources allocated on each.
#[derive(Debug, Default)]
pub struct Cell {
    entries: Vec<Entry>,
    ids: HashMap<Name, Id>,
    groups: Vec<Group>,
    totals: Totals,
}

#[derive(Debug)]
struct Entry {
    worker: Worker,
    state: State,
    allocated: Resources,
    group: usize,
}

impl Entry {
    fn free(&self) -> Resources {
        self.worker.capacity - self.allocated
    }

    fn min_free_ppm(&self) -> u64 {
        self.free().min_fraction_ppm(&self.worker.capacity)
    }
}

impl Cell {
    /// Adds a worker, or replaces the description and state of a known one. Its
    /// allocations are kept. Returns the id of the worker.
    pub fn upsert(&mut self, worker: Worker, state: State) -> Id {
        let Some(&id) = self.ids.get(&worker.name) else {
            let id = Id(self.entries.len() as u32);
            let group = self.group_index(&worker);
            self.ids.insert(worker.name.clone(), id);
            self.entries.push(Entry { worker, state, allocated: Resources::ZERO, group });
            self.groups[group].count += 1;
            self.index(id);
            return id;
        };
        self.unindex(id);
        if self.entry(id).worker != worker {
            let group = self.group_index(&worker);
            let entry = &mut self.entries[id.0 as usize];
            self.groups[entry.group].count -= 1;
            self.groups[group].count += 1;
            entry.worker = worker;
            entry.group = group;
        }
        self.entries[id.0 as usize].state = state;
        self.index(id);
        id
    }

    /// Sets the state of a worker.
    pub fn set_state(&mut self, id: Id, state: State) {
        if self.entry(id).state == state {
            return;
        }
        self.unindex(id);
        self.entries[id.0 as usize].state = state;
        self.index(id);
    }

    /// Returns the id of the worker with a name.
    pub fn find(&self, name: &str) -> Option<Id> {
        self.ids.get(name).copied()
    }

    /// Returns the description of a worker.
    pub fn worker(&self, id: Id) -> &Worker {
        &self.entry(id).worker
    }

    /// Returns the state of a worker.
    pub fn state(&self, id: Id) -> State {
        self.entry(id).state
    }

    /// Returns the resources allocated on a worker.
    pub fn allocated(&self, id: Id) -> Resources {
        self.entry(id).allocated
    }

    /// Returns the sums over all workers.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns the ids of all workers.
    pub fn ids(&self) -> impl Iterator<Item = Id> + use<> {
        (0..self.entries.len() as u32).map(Id)
    }

    /// Allocates `size` on a worker, even beyond its free capacity: tasks that a
    /// target already runs have to be counted in any case.
    pub fn allocate(&mut self, id: Id, size: Resources) {
        self.unindex(id);
        self.entries[id.0 as usize].allocated += size;
        self.totals.allocated += size;
        self.index(id);
    }

    /// Releases an allocation of `size` on a worker.
    pub fn release(&mut self, id: Id, size: Resources) {
        self.unindex(id);
        self.entries[id.0 as usize].allocated -= size;
        self.totals.allocated -= size;
        self.index(id);
    }

    /// Chooses a worker for one task and allocates the task's size on it.
    ///
    /// # Errors
    /// Returns the number of refusing workers by reason if none can take the
    /// task.
    pub fn place(
        &mut self,
        request: &Request,
        policy: Policy,
        constraints: &mut Constraints,
    ) -> Result<Choice, Refusals> {
        let choice = self.choose(request, policy, constraints)?;
        self.allocate(choice.worker, request.size);
        constraints.add(&self.entries[choice.worker.0 as usize].worker.rack);
        Ok(choice)
    }

    /// Chooses workers for `count` equal tasks that start together.
    ///
    /// # Errors
    /// Returns the number of refusing workers by reason if any of the tasks
    /// finds no worker. Nothing is allocated then.
    pub fn place_all(
        &mut self,
        request: &Request,
        policy: Policy,
        constraints: &mut Constraints,
        count: u32,
    ) -> Result<Vec<Choice>, Refusals> {
        let before = constraints.clone();
        let mut choices = Vec::with_capacity(count as usize);
        for _ in 0..count {
            match self.place(request, policy, constraints) {
                Ok(choice) => choices.push(choice),
                Err(refusals) => {
                    for choice in choices {
                        self.release(choice.worker, request.size);
                    }
                    *constraints = before;
                    return Err(refusals);
                }
            }
        }
        Ok(choices)
    }

    /// Returns how many workers refuse the task, by reason.
    pub fn refusals(&self, request: &Request, constraints: &Constraints) -> Refusals {
        let mut refusals = Refusals::default();
        for group in &self.groups {
            if !group.is_match(request) {
                refusals.mismatched += group.count;
            } else if !request.size.fits(&group.capacity) {
                refusals.too_small += group.count;
            } else {
                let ready = group.ready.len() as u32;
                let is_rack_full =
                    |(_, id): &&(u64, Id)| !constraints.admits(&self.entry(*id).worker.rack);
                let rack_full = match constraints.max_per_rack {
                    Some(_) => group.ready.iter().filter(is_rack_full).count() as u32,
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
        constraints: &Constraints,
    ) -> Result<Choice, Refusals> {
        let mut order: SmallVec<[&Group; 16]> = self
            .groups
            .iter()
            .filter(|group| group.is_match(request) && request.size.fits(&group.capacity))
            .collect();
        order.sort_by_key(|group| group.surplus(request));
        let mut candidates = 0;
        for group in order {
            let found = match policy {
                Policy::Pack => self.fullest_fit(group, request, constraints, &mut candidates),
                Policy::Spread => {
                    let ids = group.ready.iter().rev();
                    self.first_fit(ids, request, constraints, &mut candidates)
                }
                Policy::FirstFit => self.first_by_id(group, request, constraints, &mut candidates),
            };
            if let Some(worker) = found {
                let free_ppm = self.entry(worker).min_free_ppm();
                return Ok(Choice { worker, free_ppm, candidates });
            }
        }
        Err(self.refusals(request, constraints))
    }

    /// Returns the fullest worker of a group that can take the task.
    fn fullest_fit(
        &self,
        group: &Group,
        request: &Request,
        constraints: &Constraints,
        candidates: &mut u32,
    ) -> Option<Id> {
        // A worker whose smallest free fraction is at least the task's dominant
        // share has enough free capacity in every dimension.
        let dominant_share_ppm = request.size.dominant_share_ppm(&group.capacity);
        let sufficient = group.ready.range((dominant_share_ppm, Id(0))..);
        // A worker below that bound can still fit if the task needs little of
        // the dimension that is scarce on this worker.
        let possible = group.ready.range(..(dominant_share_ppm, Id(0))).rev();
        self.first_fit(sufficient, request, constraints, candidates)
            .or_else(|| self.first_fit(possible, request, constraints, candidates))
    }

    fn first_fit<'a>(
        &self,
        ids: impl Iterator<Item = &'a (u64, Id)>,
        request: &Request,
        constraints: &Constraints,
        candidates: &mut u32,
    ) -> Option<Id> {
        // Workers in full racks and avoided workers could use up the limit and
        // hide those that fit, so the limit applies only without constraints.
        let limit = if constraints.max_per_rack.is_some() || !constraints.avoid.is_empty() {
            usize::MAX
        } else {
            MAX_CANDIDATES as usize
        };
        ids.take(limit).map(|(_, id)| *id).find(|id| {
            *candidates += 1;
            self.can_take(*id, request, constraints)
        })
    }

    fn first_by_id(
        &self,
        group: &Group,
        request: &Request,
        constraints: &Constraints,
        candidates: &mut u32,
    ) -> Option<Id> {
        let fits = |id: &Id| self.can_take(*id, request, constraints);
        *candidates += group.ready.len() as u32;
        group.ready.iter().map(|(_, id)| *id).filter(fits).min()
    }

    fn can_take(&self, id: Id, request: &Request, constraints: &Constraints) -> bool {
        let entry = self.entry(id);
        request.size.fits(&entry.free())
            && constraints.admits(&entry.worker.rack)
            && !constraints.avoid.contains(&id)
    }

    fn entry(&self, id: Id) -> &Entry {
        &self.entries[id.0 as usize]
    }

    fn group_index(&mut self, worker: &Worker) -> usize {
        let mut labels = worker.labels.clone();
        labels.sort();
        let is_same_group = |group: &Group| {
            group.kind == worker.kind && group.labels == labels && group.capacity == worker.capacity
        };
        self.groups.iter().position(is_same_group).unwrap_or_else(|| {
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

    /// Adds a ready worker to the index of its group.
    fn index(&mut self, id: Id) {
        let entry = &self.entries[id.0 as usize];
        if entry.state == State::Ready {
            self.groups[entry.group].ready.insert((entry.min_free_ppm(), id));
            self.totals.capacity += entry.worker.capacity;
        }
    }

    /// Removes a ready worker from the index of its group. Must be called before
    /// the allocation, state or group of the worker changes.
    fn unindex(&mut self, id: Id) {
        let entry = &self.entries[id.0 as usize];
        if entry.state == State::Ready {
            self.groups[entry.group].ready.remove(&(entry.min_free_ppm(), id));
            self.totals.capacity -= entry.worker.capacity;
        }
    }
}
