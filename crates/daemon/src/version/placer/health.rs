//! Workers that fail what they start.

use std::time::Duration;

use base::{Name, emit};
use place::{Outcome, Shift, State};
use target::AttemptId;

use crate::version::placer::state::Placer;

/// Time before a job whose starts fail everywhere is tried again.
const FAILED_START_BACKOFF: Duration = Duration::from_secs(1);

impl Placer {
    /// Records what became of an attempt on a worker.
    pub(crate) fn record_health(&mut self, worker: &Name, id: &AttemptId, outcome: Outcome) {
        let now = self.ctx.timer.now();
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        match entry.health.record(outcome, &id.job, now) {
            Some(Shift::Suspected) => {
                emit!(self.ctx.log, warn, TargetSuspect; "worker" => %worker);
            }
            Some(Shift::Cleared) => {
                emit!(self.ctx.log, info, TargetCleared; "worker" => %worker);
            }
            None => {}
        }
        self.update_worker_state(worker);
    }

    /// Lets suspected workers take one task each when their probe is due. When
    /// every worker is suspected, all of them are probed at once: the fault is
    /// then more likely in the tasks.
    pub(crate) fn probe_suspects(&mut self) {
        let now = self.ctx.timer.now();
        let is_any_ready = self.cell.ids().any(|worker| self.cell.state(worker) == State::Ready);
        let mut due = Vec::new();
        for (name, entry) in &mut self.workers {
            let is_probeable =
                entry.health.is_suspected() && entry.cell_id.is_some() && !entry.is_silent;
            if is_probeable && (entry.health.is_probe_due(now) || !is_any_ready) {
                entry.health.start_probe(now);
                due.push(name.clone());
            }
        }
        for name in due {
            if let Some(id) = self.cell.find(&name) {
                self.cell.set_state(id, State::Ready);
                self.needs_replan = true;
            }
        }
    }

    /// Keeps a job's next tasks from a worker that failed to start one.
    pub(crate) fn avoid_worker(&mut self, worker: &Name, job: &Name) {
        let now = self.ctx.timer.now();
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        if !job.avoided_workers.contains(worker) {
            job.avoided_workers.push(worker.clone());
            return;
        }
        // Every worker has failed it by now, so it isn't sent at once.
        job.backoff_until = now + FAILED_START_BACKOFF;
    }
}
