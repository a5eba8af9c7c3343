//! Working state of one round of decisions.

use std::{collections::HashMap, time::Duration};

use base::{Name, Resources};
use work::Step;

use crate::{
    cold::{COLD_CLASS, Spared},
    preempt::Preemptible,
    search::FullShapes,
    slot::Slot,
    target::{Target, TargetId},
};

/// Working state of one round of decisions, updated as steps are placed in
/// order of rank.
#[derive(Debug)]
pub(crate) struct Round {
    /// Targets that may get work, by pool, in ascending order.
    pub(crate) open_targets: HashMap<Name, Vec<TargetId>>,
    /// Headroom of each target, indexed by target.
    pub(crate) headrooms: Vec<Headroom>,
    /// Upper bound of the resources that each team's unknown runs may take.
    pub(crate) unverified_usage: HashMap<Name, Resources>,
    /// Shapes of tasks that no target has room for.
    pub(crate) full_shapes: FullShapes,
    /// Number of short advice requests that were deferred in this round.
    pub(crate) deferred_short_requests: u32,
    pub(crate) preemptible: Preemptible,
    pub(crate) spared: Spared,
    /// Whether suspected targets get early probes in this part of the round.
    pub(crate) is_probing: bool,
}

/// Data of a target that most steps need. Kept small, because each round reads
/// it for each pair of step and target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Headroom {
    /// Resources that are neither allocated nor held for a step. Backfill counts
    /// with its memory only.
    pub(crate) free: Resources,
    /// Processor time that backfill takes of `free`, in thousandths of a core.
    pub(crate) backfill_cpu_milli: u32,
    pub(crate) capacity: Resources,
    /// Whether the target may get at most one task, as a probe.
    pub(crate) is_probed: bool,
    /// When a suspected target gets a probe; `None` if it gets none.
    pub(crate) probe: Option<ProbeTime>,
    /// Whether a task that fails wherever it runs may be the probe.
    pub(crate) takes_faulty: bool,
    /// Class of the target's usual speed.
    pub(crate) speed_class: i8,
}

/// When a suspected target gets a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeTime {
    /// Now, by any work, since its back-off has ended.
    Due,
    /// Now, since its pool has no sound target.
    LastResort,
    /// Now, by work that has no other room.
    Early,
}

impl Headroom {
    /// Returns the headroom of a target at `now`, where `yields` tells whether
    /// backfill gives way to other tasks.
    pub(crate) fn of(target: &Target, yields: bool, now: Duration) -> Self {
        Self {
            free: if yields { target.free_beside_backfill() } else { target.free() },
            backfill_cpu_milli: if yields { target.backfill_cpu_milli } else { 0 },
            capacity: target.info.capacity,
            is_probed: target.health.is_suspected(),
            probe: None,
            takes_faulty: !target.health.is_suspected() || target.health.is_probe_overdue(now),
            speed_class: if target.is_cold(now) {
                COLD_CLASS
            } else {
                target.speed.class(now).min(COLD_CLASS - 1)
            },
        }
    }

    /// Returns the resources that are free for tasks of a step. Backfill only
    /// takes processor time that no other task has.
    pub(crate) fn free_for(&self, step: &Step) -> Resources {
        let Self { free, backfill_cpu_milli, .. } = *self;
        if !step.is_backfill {
            return free;
        }
        Resources { cpu_milli: free.cpu_milli.saturating_sub(backfill_cpu_milli), ..free }
    }
}

impl Round {
    /// Returns the resources of a target that are neither allocated nor held
    /// for a step.
    pub(crate) fn free(&self, id: TargetId) -> Resources {
        self.headrooms[id.0 as usize].free
    }

    /// Returns whether a suspected target may get a probe.
    pub(crate) fn has_probes(&self) -> bool {
        self.headrooms.iter().any(|room| room.probe.is_some())
    }

    /// Takes resources of a target for the rest of the round.
    pub(crate) fn allocate(&mut self, id: TargetId, size: Resources) {
        self.headrooms[id.0 as usize].free -= size;
    }

    /// Takes the resources of one task of a step for the rest of the round.
    pub(crate) fn allocate_task(&mut self, id: TargetId, step: &Step, yields: bool) {
        if step.is_backfill && yields {
            let room = &mut self.headrooms[id.0 as usize];
            room.backfill_cpu_milli = room.backfill_cpu_milli.saturating_add(step.size.cpu_milli);
            return self.allocate(id, Resources { cpu_milli: 0, ..step.size });
        }
        self.allocate(id, step.size);
    }

    /// Holds room for up to `wanted` tasks of a step that cannot start yet.
    pub(crate) fn hold_room<'a>(
        &mut self,
        slots: impl Iterator<Item = &'a Slot>,
        step: &Step,
        wanted: u32,
    ) {
        let mut left = wanted;
        for slot in slots {
            let tasks = slot.tasks.min(left);
            if tasks > 0 {
                self.allocate(slot.target, step.size * tasks);
                left -= tasks;
            }
        }
    }
}
