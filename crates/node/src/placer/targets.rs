//! Held targets and their sessions.

use std::{sync::Arc, time::Duration};

use base::{Name, clock, emit};

use crate::{
    external::{Target, TargetList},
    placer::{
        run::Placer,
        session::{self, Session},
        snapshot::{self, Snapshot},
    },
};

/// Addresses that are remembered for each target of the list.
const MAX_ADDRESSES_PER_TARGET: usize = 4;

impl Placer {
    /// Applies a change of the list of targets.
    pub(super) fn apply_list(&mut self, listed: TargetList, now: Duration) {
        let targets = listed.values().map(|(info, _)| info.clone()).collect();
        self.planner.set_targets(targets, now);
        self.update_pools();
        for target in self.note_suspected_restarts() {
            if let Some(session) = self.sessions.get(&target) {
                session.forget_process(session.process().fence);
            }
        }
        self.listed = listed;
        self.start_sessions();
        self.record_restarts();
    }

    /// Starts sessions for the listed targets. A target is first recorded as
    /// held, because runs may be on the target from then on.
    pub(super) fn start_sessions(&mut self) {
        let is_new = |name: &&Name| !self.held.contains(*name);
        if self.listed.keys().any(|name| is_new(&name)) {
            self.record_held();
        }
        // Addresses of targets that left are kept for a while, as a target may come
        // back there.
        if self.addresses.len() > MAX_ADDRESSES_PER_TARGET * self.listed.len().max(1) {
            self.addresses.retain(|_, name| self.listed.contains_key(name));
        }
        self.planner.set_idle_poll_interval(self.poll_schedule.set_targets(self.listed.len()));
        for (name, (_, address)) in &self.listed {
            let is_known =
                self.sessions.get(name).is_some_and(|session| session.target.address == *address);
            if is_known || !self.held.contains(name) {
                continue;
            }
            emit!(self.ctx.log, info, TargetListed; "target" => %name, "address" => %address);
            if let Some(earlier) = self.addresses.insert(address.clone(), name.clone())
                && earlier != *name
            {
                self.planner.target_replaced(&earlier, clock::now());
            }
            let target = Target { id: name.clone(), address: address.clone() };
            let session = Arc::new(Session::new(
                target,
                Arc::clone(&self.poll_schedule),
                Arc::clone(&self.fences),
            ));
            if let Some(previous) = self.sessions.insert(name.clone(), Arc::clone(&session)) {
                previous.end();
            }
            let (ctx, leadership) = (Arc::clone(&self.ctx), Arc::clone(&self.leadership));
            let events = self.events.clone();
            self.tasks.spawn(session::maintain(ctx, leadership, session, self.lease, events));
        }
    }

    /// Records the held targets again if they have changed. The next placer
    /// must not wait for targets that certainly have no runs.
    pub(super) fn update_held(&mut self) {
        let now = clock::now();
        self.planner.count_unreachable();
        let held = self.planner.held_targets(now);
        let is_missing = self.listed.keys().any(|name| !self.held.contains(name));
        if is_missing
            || self.is_held_unrecorded
            || self.held.iter().any(|name| !held.contains(name))
            || self.planner.is_closed_record_outdated(&held, &self.closed, now)
            || self.is_restart_record_outdated(now)
            || self.planner.has_all_instances(now) && self.instances() != self.recorded_instances
        {
            self.record_held();
        }
    }

    /// Returns whether a restart is not recorded, or all recorded ones are over.
    fn is_restart_record_outdated(&self, now: Duration) -> bool {
        self.planner.has_unrecorded_restarts(now)
            || !self.restarted.is_empty() && !self.planner.has_restarts(now)
    }

    /// Records restarted targets, which get no work before.
    pub(super) fn record_restarts(&mut self) {
        if self.planner.has_unrecorded_restarts(clock::now()) {
            self.record_held();
        }
    }

    /// Returns the number of instances that have joined.
    fn instances(&self) -> u32 {
        self.peers.len() as u32
    }

    /// Records a snapshot of the held targets, unless a record is in flight.
    pub(super) fn record_held(&mut self) {
        if self.is_recording_held {
            return;
        }
        self.is_recording_held = true;
        self.is_held_unrecorded = true;
        let held = self.planner.held_targets(clock::now());
        // From here on, targets that are left out get no work, even if they are
        // listed again, until they are recorded again.
        self.held.retain(|name| held.contains(name));
        let planner = &mut self.planner;
        self.sessions.retain(|name, session| {
            let is_kept = held.contains(name);
            if !is_kept {
                session.end();
                planner.mark_unreachable(name);
            }
            is_kept
        });
        let closed = self.planner.close_targets(&held, clock::now());
        let processes = self.planner.processes(&held, clock::now());
        let snapshot = Snapshot { held, closed, processes, instances: self.instances() };
        let (ctx, leadership) = (Arc::clone(&self.ctx), Arc::clone(&self.leadership));
        self.tasks.spawn(snapshot::record(ctx, leadership, snapshot, self.events.clone()));
    }
}
