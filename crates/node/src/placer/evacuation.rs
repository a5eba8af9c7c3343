//! Evacuations in the account of a placer.

use std::time::Duration;

use base::emit;
use plan::EvacuationChange;

use crate::placer::run::Placer;

impl Placer {
    /// Passes the evacuations in force to the planner, and logs changes.
    pub(super) fn update_evacuations(&mut self, now: Duration) {
        if !self.ctx.follows_evacuations() {
            return;
        }
        let confirmed_at = self.ctx.evacuations.confirmed_at();
        let changes = self.planner.evacuate(self.ctx.evacuations.current(), confirmed_at, now);
        for change in &changes {
            self.log_evacuation(change);
        }
        let is_current = self.planner.are_evacuations_current(now);
        if std::mem::replace(&mut self.are_evacuations_current, is_current) != is_current {
            let age = confirmed_at.map(|at| now.saturating_sub(at).as_millis() as u64);
            if is_current {
                emit!(self.ctx.log, info, EvacuationsUnconfirmed; "current" => true,
                    "age_ms" => age, "term" => self.leadership.term);
            } else {
                emit!(self.ctx.log, warn, EvacuationsUnconfirmed; "current" => false,
                    "age_ms" => age, "term" => self.leadership.term);
            }
        }
        self.ctx.metrics.evacuated_runs.set(self.planner.evacuated_runs() as i64);
        if !changes.is_empty() {
            self.drop_evacuated_advice(now);
            self.publish_queues();
        }
    }

    /// Drops the advice requests that name targets in evacuated data centres and
    /// were not sent yet.
    fn drop_evacuated_advice(&mut self, now: Duration) {
        for request in std::mem::take(&mut self.unsent_advice) {
            if request.targets.iter().all(|target| self.planner.may_start_on(target)) {
                self.unsent_advice.push(request);
            } else {
                self.planner.advice_answered(&request.step, &request.targets, None, now);
            }
        }
    }

    /// Sends the data centres of the pools to all frontends if they have changed.
    pub(super) fn update_pools(&mut self) {
        if !self.ctx.follows_evacuations() {
            return;
        }
        let pools = self.planner.pool_data_centres();
        if pools != self.pools {
            self.pools = pools;
            self.publish_queues();
        }
    }

    fn log_evacuation(&self, change: &EvacuationChange) {
        let EvacuationChange { data_centre, is_in_force, revision, age, targets, runs } = change;
        let age_ms = age.map(|age| age.as_millis() as u64);
        if *is_in_force {
            emit!(self.ctx.log, warn, EvacuationStarted; "data_centre" => %data_centre,
                "revision" => revision, "age_ms" => age_ms, "targets" => targets, "runs" => runs,
                "term" => self.leadership.term);
        } else {
            emit!(self.ctx.log, info, EvacuationEnded; "data_centre" => %data_centre,
                "revision" => revision, "age_ms" => age_ms, "targets" => targets, "runs" => runs,
                "term" => self.leadership.term);
        }
    }
}
