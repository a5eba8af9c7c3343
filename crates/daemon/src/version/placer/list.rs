//! The workers of the region, as the platform lists them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use base::{Name, Resources, emit};
use place::State;
use platform::{Instance, Kind};
use target::ControlAction;
use tokio::sync::mpsc;
use wire::pb;

use crate::{
    connection::hold_worker,
    version::placer::{
        job::Phase,
        state::Placer,
        worker::{Held, WORKER_QUEUE},
    },
};

/// Time after which a start that was being sent has surely no effect any more.
const SENDING_LIMIT: Duration = Duration::from_secs(10);

impl Placer {
    /// Takes in the platform's list: new workers are connected to, leaving
    /// ones get nothing new.
    pub(crate) fn update_list(&mut self, instances: &[Instance]) {
        let is_ours = |i: &&Instance| i.kind == Kind::Worker && i.region == self.region;
        let listed: HashMap<Name, Instance> =
            instances.iter().filter(is_ours).map(|i| (i.name.clone(), i.clone())).collect();
        let now = self.ctx.timer.now();
        for (name, held) in &mut self.workers {
            held.listed = listed.contains_key(name);
            held.unlisted_at = match held.listed {
                true => None,
                false => held.unlisted_at.or(Some(now)),
            };
        }
        for (name, instance) in listed {
            let held = self
                .workers
                .entry(name.clone())
                .or_insert_with(|| Held::new(instance.clone(), None));
            held.listed = true;
            let is_moved = held.instance.address != instance.address;
            let is_leaving = instance.is_leaving && !held.instance.is_leaving;
            held.instance = instance;
            if held.sender.is_none() || is_moved {
                self.connect(&name);
            }
            if is_leaving {
                emit!(self.ctx.log, info, TargetLeaving; "worker" => %name);
            }
        }
        for name in self.workers.keys().cloned().collect::<Vec<_>>() {
            self.update_state(&name);
        }
        self.empty_leaving();
        self.drop_gone();
    }

    /// Opens the connection of a worker; an earlier one ends.
    fn connect(&mut self, name: &Name) {
        let (sender, receiver) = mpsc::channel(WORKER_QUEUE);
        if let Some(held) = self.workers.get_mut(name) {
            held.sender = Some(sender);
            // What the earlier connection was sending may have arrived.
            let not_after = held.clock + SENDING_LIMIT;
            for (job, index) in &held.tasks {
                let assigned = self.jobs.get_mut(job).and_then(|job| job.assigned_mut(*index));
                if let Some(assigned) = assigned
                    && assigned.phase == Phase::Sending
                {
                    assigned.phase = Phase::Sent { not_after, confirmed: false };
                }
            }
            self.connections.spawn(hold_worker(
                Arc::clone(&self.ctx),
                held.instance.clone(),
                self.term,
                self.sender.clone(),
                receiver,
            ));
        }
    }

    /// Moves idempotent tasks away from workers that are leaving.
    fn empty_leaving(&mut self) {
        let mut tasks = Vec::new();
        for held in self.workers.values_mut() {
            if held.instance.is_leaving && !held.emptied {
                held.emptied = true;
                tasks.extend(held.tasks.iter().cloned());
            }
            held.emptied &= held.instance.is_leaving;
        }
        for (job, index) in tasks {
            if self.jobs.get(&job).is_some_and(|job| job.spec.idempotent) {
                self.evict(&job, index, ControlAction::Checkpoint);
            }
        }
    }

    /// Forgets workers that the platform has taken away, once nothing that may
    /// run there is left.
    pub(crate) fn drop_gone(&mut self) {
        let gone: Vec<Name> = self
            .workers
            .iter()
            .filter(|(_, held)| !held.listed && held.tasks.is_empty() && held.silent)
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            emit!(self.ctx.log, info, TargetUnlisted; "worker" => %name);
            let foreign = self.workers.remove(&name).map_or(Resources::ZERO, |held| held.foreign);
            if let Some(id) = self.cell.find(&name) {
                self.cell.set_state(id, State::Silent);
                self.cell.release(id, foreign);
            }
        }
    }

    /// Settles what a worker had that the platform took away long enough ago
    /// for its lease to have lapsed.
    pub(crate) fn settle_gone(&mut self) {
        let targets = &self.ctx.settings.targets;
        let limit = Duration::from_millis(targets.lease_ms + targets.margin_ms);
        let now = self.ctx.timer.now();
        let is_gone = |held: &Held| {
            let since = held.unlisted_at.unwrap_or(self.started_at);
            !held.listed
                && !held.tasks.is_empty()
                && (held.silent || held.id.is_none())
                && now > since + limit
        };
        let gone = self.workers.iter().filter(|(_, held)| is_gone(held));
        for name in gone.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.mark_lapsed(&name);
        }
    }

    /// Sets whether a worker may get new tasks.
    pub(crate) fn update_state(&mut self, name: &Name) {
        let Some(held) = self.workers.get(name) else {
            return;
        };
        let Some(id) = held.id else {
            return;
        };
        let state = if held.silent {
            State::Silent
        } else if held.instance.is_leaving || !held.listed {
            State::Leaving
        } else if held.health.is_suspected() {
            State::Suspect
        } else if self.is_reserved(id) {
            State::Reserved
        } else {
            State::Ready
        };
        if self.cell.state(id) != state {
            self.cell.set_state(id, state);
            self.replan = true;
        }
    }

    /// Gets the state of the region's workers for operators.
    pub(crate) fn worker_statuses(&self) -> Vec<pb::TargetStatus> {
        let status = |(name, held): (&Name, &Held)| pb::TargetStatus {
            name: name.to_string(),
            region: self.region.to_string(),
            data_centre: held.instance.data_centre.to_string(),
            rack: held.instance.rack.to_string(),
            owner: self.ctx.name.to_string(),
            term: self.term,
            health: held.id.map_or("unread".to_owned(), |id| {
                format!("{:?}", self.cell.state(id)).to_lowercase()
            }),
            capacity: held.id.map(|id| self.cell.worker(id).capacity.into()),
            promised: held.id.map(|id| self.cell.allocated(id).into()),
            slots: 0,
            busy: 0,
        };
        let mut statuses: Vec<_> = self.workers.iter().map(status).collect();
        statuses.sort_by(|a, b| a.name.cmp(&b.name));
        statuses
    }
}
