//! The region's workers on the platform's list, their connections and states.

use std::{collections::HashMap, sync::Arc, time::Duration};

use base::{Name, Resources, emit};
use place::State;
use platform::{Instance, Kind};
use target::ControlAction;
use tokio::sync::mpsc;
use wire::pb;

use crate::{
    connection::run_worker_session,
    version::placer::{
        job::Phase,
        state::Placer,
        worker::{MAX_QUEUED_WORKER_COMMANDS, WorkerEntry},
    },
};

/// Time after which a start that was being sent when its connection was
/// replaced certainly has no effect any more.
const SENDING_TIMEOUT: Duration = Duration::from_secs(10);

impl Placer {
    /// Applies the platform's list: connects to new workers and drains leaving
    /// ones.
    pub(crate) fn apply_instance_list(&mut self, instances: &[Instance]) {
        let is_ours = |i: &&Instance| i.kind == Kind::Worker && i.region == self.region;
        let listed: HashMap<Name, Instance> =
            instances.iter().filter(is_ours).map(|i| (i.name.clone(), i.clone())).collect();
        let now = self.ctx.timer.now();
        for (name, entry) in &mut self.workers {
            entry.is_listed = listed.contains_key(name);
            entry.unlisted_at = match entry.is_listed {
                true => None,
                false => entry.unlisted_at.or(Some(now)),
            };
        }
        for (name, instance) in listed {
            let entry = self
                .workers
                .entry(name.clone())
                .or_insert_with(|| WorkerEntry::new(instance.clone(), None));
            entry.is_listed = true;
            let is_moved = entry.instance.address != instance.address;
            let is_leaving = instance.is_leaving && !entry.instance.is_leaving;
            entry.instance = instance;
            if entry.sender.is_none() || is_moved {
                self.connect(&name);
            }
            if is_leaving {
                emit!(self.ctx.log, info, TargetLeaving; "worker" => %name);
            }
        }
        for name in self.workers.keys().cloned().collect::<Vec<_>>() {
            self.update_worker_state(&name);
        }
        self.drain_leaving_workers();
        self.remove_gone_workers();
    }

    /// Opens the connection to a worker; an earlier connection ends.
    fn connect(&mut self, name: &Name) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_WORKER_COMMANDS);
        if let Some(entry) = self.workers.get_mut(name) {
            entry.sender = Some(sender);
            // Starts that the earlier connection was sending may have arrived.
            let not_after = entry.clock + SENDING_TIMEOUT;
            for (job, index) in &entry.tasks {
                let assignment = self.jobs.get_mut(job).and_then(|job| job.assignment_mut(*index));
                if let Some(assignment) = assignment
                    && assignment.phase == Phase::Sending
                {
                    assignment.phase = Phase::Sent { not_after, is_confirmed: false };
                }
            }
            self.connections.spawn(run_worker_session(
                Arc::clone(&self.ctx),
                entry.instance.clone(),
                self.term,
                self.sender.clone(),
                receiver,
            ));
        }
    }

    /// Evicts idempotent tasks from workers that the platform is about to
    /// remove.
    fn drain_leaving_workers(&mut self) {
        let mut tasks = Vec::new();
        for entry in self.workers.values_mut() {
            if entry.instance.is_leaving && !entry.is_draining {
                entry.is_draining = true;
                tasks.extend(entry.tasks.iter().cloned());
            }
            entry.is_draining &= entry.instance.is_leaving;
        }
        for (job, index) in tasks {
            if self.jobs.get(&job).is_some_and(|job| job.spec.idempotent) {
                self.evict(&job, index, ControlAction::Checkpoint);
            }
        }
    }

    /// Removes workers that are no longer listed, once nothing that may run
    /// there is left.
    pub(crate) fn remove_gone_workers(&mut self) {
        let gone: Vec<Name> = self
            .workers
            .iter()
            .filter(|(_, entry)| !entry.is_listed && entry.tasks.is_empty() && entry.is_silent)
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            emit!(self.ctx.log, info, TargetUnlisted; "worker" => %name);
            let untracked =
                self.workers.remove(&name).map_or(Resources::ZERO, |entry| entry.untracked);
            if let Some(id) = self.cell.find(&name) {
                self.cell.set_state(id, State::Silent);
                self.cell.release(id, untracked);
            }
        }
    }

    /// Ends the attempts on workers that have been off the platform's list for
    /// longer than the lease and the margin, so that the lease has lapsed.
    pub(crate) fn expire_unlisted_workers(&mut self) {
        let targets = &self.ctx.settings.targets;
        let limit = Duration::from_millis(targets.lease_ms + targets.margin_ms);
        let now = self.ctx.timer.now();
        let is_gone = |entry: &WorkerEntry| {
            let since = entry.unlisted_at.unwrap_or(self.started_at);
            !entry.is_listed
                && !entry.tasks.is_empty()
                && (entry.is_silent || entry.cell_id.is_none())
                && now > since + limit
        };
        let gone = self.workers.iter().filter(|(_, entry)| is_gone(entry));
        for name in gone.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.mark_lapsed(&name);
        }
    }

    /// Updates whether a worker may get new tasks.
    pub(crate) fn update_worker_state(&mut self, name: &Name) {
        let Some(entry) = self.workers.get(name) else {
            return;
        };
        let Some(id) = entry.cell_id else {
            return;
        };
        let state = if entry.is_silent {
            State::Silent
        } else if entry.instance.is_leaving || !entry.is_listed {
            State::Leaving
        } else if entry.health.is_suspected() {
            State::Suspect
        } else if self.is_reserved(id) {
            State::Reserved
        } else {
            State::Ready
        };
        if self.cell.state(id) != state {
            self.cell.set_state(id, state);
            self.needs_replan = true;
        }
    }

    /// Returns the states of the region's workers for operators.
    pub(crate) fn worker_statuses(&self) -> Vec<pb::TargetStatus> {
        let status = |(name, entry): (&Name, &WorkerEntry)| pb::TargetStatus {
            name: name.to_string(),
            region: self.region.to_string(),
            data_centre: entry.instance.data_centre.to_string(),
            rack: entry.instance.rack.to_string(),
            owner: self.ctx.name.to_string(),
            term: self.term,
            health: entry.cell_id.map_or("unread".to_owned(), |id| {
                format!("{:?}", self.cell.state(id)).to_lowercase()
            }),
            capacity: entry.cell_id.map(|id| self.cell.worker(id).capacity.into()),
            promised: entry.cell_id.map(|id| self.cell.allocated(id).into()),
            slots: 0,
            busy: 0,
        };
        let mut statuses: Vec<_> = self.workers.iter().map(status).collect();
        statuses.sort_by(|a, b| a.name.cmp(&b.name));
        statuses
    }
}
