//! Targets that suit a step, and the choice among them.

use std::{collections::HashMap, time::Duration};

use base::{Name, Resources};
use work::Step;

use crate::{
    planner::Planner, rank::SpeedPreference, round::ProbeTime, sharing::Harm, target::TargetId,
};

/// Target that suits a step, with the number of tasks of the step that it can
/// take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slot {
    pub(crate) target: TargetId,
    pub(crate) tasks: u32,
    /// Number of tasks that the empty target could take; 0 for steps that are
    /// not gangs.
    pub(crate) tasks_when_empty: u32,
    /// Number of tasks that the target could take if all preemptible runs were
    /// stopped; 0 for steps that are not gangs.
    pub(crate) tasks_with_preemption: u32,
    /// Free resources beside one task of the step.
    pub(crate) remaining: Resources,
    pub(crate) capacity: Resources,
    /// Class of the target's usual speed; the lowest is the fastest.
    pub(crate) speed_class: i8,
    /// How much a task of the step and the runs on the target slow each other
    /// down.
    pub(crate) harm: Harm,
    /// When the target gets a probe; `None` if it is not suspected.
    pub(crate) probe: Option<ProbeTime>,
    /// Whether a task of the step has failed there that waits again, if the target is
    /// to be probed by it.
    pub(crate) has_failed: bool,
    /// Whether a suspect of another job has the target to itself while there is
    /// other room.
    pub(crate) is_reserved: bool,
    /// Expiry of the ticket of the step, if the target is known to be allowed.
    pub(crate) ticket_expires_at: Option<Duration>,
}

impl Slot {
    /// Returns whether the target is known to be allowed.
    pub(crate) fn is_allowed(&self) -> bool {
        self.ticket_expires_at.is_some()
    }

    /// Returns whether there is a ticket that is valid beyond `valid_at`.
    pub(crate) fn has_ticket(&self, valid_at: Duration) -> bool {
        self.ticket_expires_at.is_some_and(|expires_at| valid_at < expires_at)
    }

    /// Returns the free resources beside one task as a fraction of the
    /// capacity, by the scarcest resource, in millionths.
    pub(crate) fn remaining_ppm(&self) -> u64 {
        self.remaining.min_fraction_ppm(&self.capacity)
    }
}

/// Chooses a target for each of up to `wanted` tasks: near the data, on one
/// rack if that matters, where it neither slows nor is slowed down, by the
/// preferred speed, and on the fullest targets first, so that large gaps remain.
/// Gangs use suspected targets last, since all members fail with one. Tasks that may have crashed targets are kept apart and get empty targets, so
/// that the innocent ones are not lost with the cause again.
pub(crate) fn choose_targets(
    step: &Step,
    mut slots: Vec<Slot>,
    preference: SpeedPreference,
    is_suspect: bool,
    wanted: u32,
    planner: &Planner,
) -> Vec<TargetId> {
    let has_suspects = |slot: &Slot| {
        is_suspect
            && planner.targets[slot.target.0 as usize].runs.values().any(|run| run.is_suspect)
    };
    let is_shared =
        |slot: &Slot| is_suspect && !planner.targets[slot.target.0 as usize].runs.is_empty();
    let is_doubtful = |slot: &Slot| slot.has_failed || step.gang && slot.probe.is_some();
    let rack_of = |slot: &Slot| &planner.targets[slot.target.0 as usize].info.rack;
    if step.same_rack
        && let Some(rack) = rack_with_most_room(&slots, |slot| slot.tasks, planner)
    {
        slots.sort_by_cached_key(|slot| {
            let is_elsewhere = *rack_of(slot) != rack;
            let class = preference.order(slot.speed_class);
            (
                is_doubtful(slot),
                is_elsewhere,
                has_suspects(slot),
                is_shared(slot),
                slot.harm,
                class,
                slot.remaining_ppm(),
            )
        });
    } else {
        let is_far =
            |slot: &Slot| step.data_rack.as_ref().is_some_and(|rack| rack_of(slot) != rack);
        slots.sort_by_cached_key(|slot| {
            let class = preference.order(slot.speed_class);
            (
                is_doubtful(slot),
                has_suspects(slot),
                is_shared(slot),
                slot.harm,
                is_far(slot),
                class,
                slot.remaining_ppm(),
            )
        });
    }
    let each = slots.iter().flat_map(|slot| (0..slot.tasks).map(|_| slot.target));
    each.take(wanted as usize).collect()
}

/// Limits the suspected targets that a gang uses. Its members fail together, so that
/// several on one target are a single probe, but only a gang that sound targets could
/// not hold even if they were empty uses more of a suspected one than a place.
pub(crate) fn limit_probes(step: &Step, slots: &mut Vec<Slot>) {
    let is_sound = |slot: &&Slot| slot.probe.is_none();
    let sound_places = sum_tasks(slots.iter().filter(is_sound), |slot| slot.tasks_when_empty);
    if sound_places < step.count {
        return;
    }
    slots.retain(|slot| slot.probe != Some(ProbeTime::Early));
    for slot in slots.iter_mut().filter(|slot| slot.probe.is_some()) {
        slot.tasks = slot.tasks.min(1);
    }
}

/// Returns the sum of one of the task counts of the slots, saturating.
pub(crate) fn sum_tasks<'a>(
    slots: impl IntoIterator<Item = &'a Slot>,
    count: impl Fn(&Slot) -> u32,
) -> u32 {
    slots.into_iter().map(count).fold(0, u32::saturating_add)
}

/// Returns the rack whose targets can take the most tasks.
pub(crate) fn rack_with_most_room<'a>(
    slots: impl IntoIterator<Item = &'a Slot>,
    count: impl Fn(&Slot) -> u32,
    planner: &Planner,
) -> Option<Name> {
    let mut tasks: HashMap<&Name, u32> = HashMap::new();
    for slot in slots {
        let rack = &planner.targets[slot.target.0 as usize].info.rack;
        let sum = tasks.entry(rack).or_default();
        *sum = sum.saturating_add(count(slot));
    }
    tasks.into_iter().max_by_key(|(rack, tasks)| (*tasks, *rack)).map(|(rack, _)| rack.clone())
}
