//! Targets that have restarted.
//!
//! A process that has just started has seen no fencing token and carries out what
//! was meant for the earlier one, also seconds late. Such orders end a lease by
//! another clock, so that each prolongs it to the longest one that targets accept.
//! A sign of such a process may be an answer to an order, by its clock, or its entry
//! in the list of targets. From then on the process is unconfirmed, until it lists
//! its runs in answer to a token of its own: a run that is not known to be on the
//! earlier process counts for the longest delay of an order and the longest lease.
//!
//! The next placer has to know this, too: it must wait for the leases of targets
//! that do not answer, and it may be the first to see a new process. Therefore the
//! known process of each target is recorded, and a restarted target gets no work
//! until it is recorded as such.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use base::Name;

use crate::{
    action::Action,
    adopt::UNKNOWN_TARGETS,
    planner::Planner,
    target::{Suspicion, Target, TargetId},
};

/// Processes of the targets, as recorded for the next placer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProcessRecord {
    /// Start time of the process of each target in milliseconds since 1970, as far
    /// as known.
    pub born_unix_ms: HashMap<Name, u64>,
    /// Targets whose lease may be longer than was granted, because they have
    /// restarted.
    pub restarted: HashSet<Name>,
    /// Targets with an unconfirmed process, whose lease may be prolonged again.
    pub unconfirmed: HashSet<Name>,
    /// Closed targets whose known process has listed all runs that may be on them, so
    /// that no start of these is still to be carried out.
    pub listed: HashSet<Name>,
}

impl Planner {
    /// Takes over the record of an earlier placer. To be called before any target
    /// is taken over.
    pub fn inherit_processes(&mut self, record: ProcessRecord, now: Duration) {
        let expired_at = now + self.settings.max_lapse_timeout();
        let unconfirmed_until = now + self.settings.unconfirmed_lapse_timeout();
        for (name, at) in &mut self.unverified_targets {
            if record.unconfirmed.contains(name) {
                *at = unconfirmed_until;
            } else if record.restarted.contains(name) || &**name == UNKNOWN_TARGETS {
                *at = expired_at;
            }
        }
        self.inherited_processes = record;
        self.inherited_restarts_until = expired_at;
        self.refresh_unknown_runs();
    }

    /// Returns the record of the processes of these targets for the next placer.
    pub fn processes(&self, held: &HashSet<Name>, now: Duration) -> ProcessRecord {
        let born = |name: &Name| {
            let id = self.target_ids.get(name)?;
            let target = &self.targets[id.0 as usize];
            let inherited = self.inherited_processes.born_unix_ms.get(name).copied();
            let born = [target.born_unix_ms, inherited.unwrap_or(0), target.info.born_unix_ms];
            let known = born.into_iter().find(|born| *born != 0)?;
            Some((name.clone(), known))
        };
        let is_listed = |name: &&Name| {
            let target = self.target_ids.get(*name).map(|id| &self.targets[id.0 as usize]);
            target.is_some_and(|target| {
                target.is_closed && target.runs.values().all(|run| run.is_listed || run.was_listed)
            }) && !self.unverified_targets.contains_key(*name)
        };
        ProcessRecord {
            listed: held.iter().filter(is_listed).cloned().collect(),
            born_unix_ms: held.iter().filter_map(born).collect(),
            restarted: self.restarted_targets(now),
            unconfirmed: self.unconfirmed_targets(),
        }
    }

    /// Returns the targets with an unconfirmed process.
    fn unconfirmed_targets(&self) -> HashSet<Name> {
        let known = self.targets.iter().filter(|target| target.suspicion.is_some());
        let inherited = self.inherited_processes.unconfirmed.iter();
        let inherited = inherited.filter(|name| self.unverified_targets.contains_key(*name));
        known.map(|target| target.info.id.clone()).chain(inherited.cloned()).collect()
    }

    /// Returns the targets whose lease may be longer than was granted, because
    /// they have restarted.
    fn restarted_targets(&self, now: Duration) -> HashSet<Name> {
        let known = self.targets.iter().filter(|target| target.has_restarted(now));
        let inherited = self.inherited_processes.restarted.iter().filter(|name| {
            now <= self.inherited_restarts_until && self.unverified_targets.contains_key(*name)
        });
        known.map(|target| target.info.id.clone()).chain(inherited.cloned()).collect()
    }

    /// Returns whether the lease of any target may be longer than was granted.
    pub fn has_restarts(&self, now: Duration) -> bool {
        !self.restarted_targets(now).is_empty()
    }

    /// Returns whether a restarted target gets no work because it is not recorded
    /// as such.
    pub fn has_unrecorded_restarts(&self, now: Duration) -> bool {
        let mut unrecorded = self.unrecorded_restarts.iter();
        unrecorded.any(|id| self.targets[id.0 as usize].has_unrecorded_restart(now))
    }

    /// Removes and returns the targets that were found to have an unconfirmed
    /// process since the last call.
    pub fn take_suspected_restarts(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.suspected_restarts)
    }

    /// Records that a target has another process than the known one, which may have
    /// carried out orders for that one and has not seen a token of its own.
    pub fn restart_suspected(&mut self, target: &str, now: Duration) {
        if let Some(&id) = self.target_ids.get(target) {
            self.suspect_restart(id, now);
        }
    }

    pub(crate) fn suspect_restart(&mut self, id: TargetId, now: Duration) {
        let target = &self.targets[id.0 as usize];
        // A target that has listed nothing to this placer got no order that starts a
        // run or grants a lease.
        let has_orders = target.born_unix_ms != 0;
        let last_order_at =
            if has_orders { now } else { self.last_order_at(&target.info.id).min(now) };
        let until = last_order_at + self.settings.unconfirmed_lapse_timeout();
        let target = &mut self.targets[id.0 as usize];
        target.last_contact_at = None;
        if target.suspicion.is_some() {
            return;
        }
        let Target { restarted_until, is_restart_recorded, .. } = *target;
        let since = now;
        target.suspicion =
            Some(Suspicion { since, last_order_at, restarted_until, is_restart_recorded });
        target.restarted_until = restarted_until.max(Some(until));
        target.is_restart_recorded = false;
        let name = target.info.id.clone();
        if !self.unrecorded_restarts.contains(&id) {
            self.unrecorded_restarts.push(id);
        }
        self.actions.push(Action::Poll(name.clone()));
        self.suspected_restarts.push(name);
    }

    /// Ends a suspicion by a listing that was requested at `requested_at`. The
    /// process that lists its runs has seen its token, so that orders for an earlier
    /// one no longer take effect.
    pub(crate) fn settle_suspicion(&mut self, id: TargetId, requested_at: Duration) {
        let target = &mut self.targets[id.0 as usize];
        if let Some(suspicion) = target.suspicion.filter(|known| known.since <= requested_at) {
            target.suspicion = None;
            target.restarted_until = suspicion.restarted_until;
            target.is_restart_recorded = suspicion.is_restart_recorded;
        }
    }

    /// Returns the time at which a lease has expired that orders for an earlier
    /// process may have prolonged; `None` if the target has no unconfirmed process.
    pub(crate) fn unconfirmed_until(&self, target: &Target) -> Option<Duration> {
        let known = target.suspicion?.last_order_at;
        let last_order_at = target.lease_granted_at.map_or(known, |granted| granted.max(known));
        Some(last_order_at + self.settings.unconfirmed_lapse_timeout())
    }

    /// Returns the start time of the known process of a target, in milliseconds
    /// since 1970.
    fn known_process(&self, target: &Target) -> Option<u64> {
        let recorded = self.inherited_processes.born_unix_ms.get(&target.info.id).copied();
        Some(target.born_unix_ms).filter(|born| *born != 0).or(recorded)
    }

    /// Suspects a restart if the entry of a target in the list is by another
    /// process than the known one.
    pub(crate) fn check_listed_process(&mut self, id: TargetId, now: Duration) {
        let target = &self.targets[id.0 as usize];
        let listed = target.info.born_unix_ms;
        let Some(known) = self.known_process(target) else {
            return;
        };
        // The entry of an earlier process may be seen after a listing of a later one.
        let is_known = [0, known, target.earlier_born_unix_ms, target.suspected_born_unix_ms]
            .contains(&listed);
        if known == 0 || is_known {
            return;
        }
        self.targets[id.0 as usize].suspected_born_unix_ms = listed;
        let name = &self.targets[id.0 as usize].info.id;
        let unconfirmed_until =
            self.last_order_at(name) + self.settings.unconfirmed_lapse_timeout();
        if let Some(expired_at) = self.unverified_targets.get_mut(name) {
            *expired_at = unconfirmed_until.max(*expired_at);
            self.refresh_unknown_runs();
        }
        self.suspect_restart(id, now);
    }

    /// Sets which targets are recorded as restarted.
    pub fn set_recorded_restarts(&mut self, recorded: &HashSet<Name>) {
        self.is_changed |= !self.unrecorded_restarts.is_empty();
        let targets = &mut self.targets;
        self.unrecorded_restarts.retain(|id| {
            let target = &mut targets[id.0 as usize];
            target.is_restart_recorded = recorded.contains(&target.info.id);
            !target.is_restart_recorded
        });
    }

    /// Notes that another process of a target sends listings than before.
    pub(crate) fn process_changed(&mut self, id: TargetId, born_unix_ms: u64, now: Duration) {
        let until = now + self.settings.max_lapse_timeout();
        let known = self.known_process(&self.targets[id.0 as usize]);
        let is_restart = known.is_some_and(|known| known != born_unix_ms);
        let target = &mut self.targets[id.0 as usize];
        let name = &target.info.id;
        if is_restart || self.inherited_processes.restarted.contains(name) {
            target.extend_lease(until);
            target.restarted_until = Some(until);
            // A restart that is inherited is recorded already.
            target.is_restart_recorded = !is_restart;
            if is_restart && !self.unrecorded_restarts.contains(&id) {
                self.unrecorded_restarts.push(id);
            }
        }
    }
}
