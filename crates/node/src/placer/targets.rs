//! Which targets are held.

use std::sync::Arc;

use base::{Name, clock, emit};

use crate::{
    edge::Target,
    placer::{
        hold,
        hold::Holder,
        holding::{self, Holding},
        run::Placer,
    },
};

impl Placer {
    /// Begins to hold the targets that are listed, once it is recorded that
    /// runs may be on them.
    pub(super) fn hold_targets(&mut self) {
        let is_new = |name: &&Name| !self.held.contains(*name);
        if self.listed.keys().any(|name| is_new(&name)) {
            self.record_held();
        }
        self.board.set_idle_poll_interval(self.pace.set_targets(self.listed.len()));
        for (name, (_, address)) in &self.listed {
            let is_known = self.holders.get(name).is_some_and(|h| h.target.address == *address);
            if is_known || !self.held.contains(name) {
                continue;
            }
            emit!(self.ctx.log, info, TargetListed; "target" => %name, "address" => %address);
            let target = Target { id: name.clone(), address: address.clone() };
            let holder = Arc::new(Holder::new(target, Arc::clone(&self.pace)));
            if let Some(earlier) = self.holders.insert(name.clone(), Arc::clone(&holder)) {
                earlier.end();
            }
            let (ctx, lead) = (Arc::clone(&self.ctx), Arc::clone(&self.lead));
            let events = self.events.clone();
            self.tasks.spawn(hold::hold(ctx, lead, holder, self.lease, events));
        }
    }

    /// Records anew which targets runs may be on, if that has changed: the next
    /// placer is not to wait for targets that are gone for certain.
    pub(super) fn update_held(&mut self) {
        let now = clock::now();
        self.board.count_unreachable();
        let held = self.board.held_targets(now);
        let is_missing = self.listed.keys().any(|name| !self.held.contains(name));
        if is_missing
            || self.is_held_unrecorded
            || self.held.iter().any(|name| !held.contains(name))
            || self.board.is_closed_record_outdated(&held, &self.closed, now)
            || self.board.has_all_instances(now) && self.instances() != self.recorded_instances
        {
            self.record_held();
        }
    }

    /// Counts the instances that have joined.
    fn instances(&self) -> u32 {
        self.helpers.len() as u32
    }

    pub(super) fn record_held(&mut self) {
        if self.is_recording_held {
            return;
        }
        self.is_recording_held = true;
        self.is_held_unrecorded = true;
        let held = self.board.held_targets(clock::now());
        // From here on those that are left out get no work, also if they are
        // listed again, until they are recorded again.
        self.held.retain(|name| held.contains(name));
        let board = &mut self.board;
        self.holders.retain(|name, holder| {
            let is_kept = held.contains(name);
            if !is_kept {
                holder.end();
                board.mark_unreachable(name);
            }
            is_kept
        });
        let closed = self.board.close_targets(&held, clock::now());
        let holding = Holding { held, closed, instances: self.instances() };
        let (ctx, lead) = (Arc::clone(&self.ctx), Arc::clone(&self.lead));
        self.tasks.spawn(holding::record(ctx, lead, holding, self.events.clone()));
    }
}
