//! Health of workers: suspects workers on which attempts fail, probes suspected
//! workers, and keeps jobs away from workers that failed to start their tasks.

use std::time::Duration;

use base::{Name, emit};
use place::{Outcome, State, Transition};
use target::AttemptId;

use crate::version::placer::state::Placer;

/// Back-off of a job whose tasks fail to start on every worker.
const FAILED_START_BACKOFF: Duration = Duration::from_secs(1);

impl Placer {
    /// Records the outcome of an attempt in the worker's health.
    pub(crate) fn record_health(&mut self, worker: &Name, id: &AttemptId, outcome: Outcome) {
        let now = self.ctx.timer.now();
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        match entry.health.record(outcome, &id.job, now) {
            Some(Transition::Suspected) => {
                emit!(self.ctx.log, warn, TargetSuspected; "worker" => %worker);
            }
            Some(Transition::Cleared) => {
                emit!(self.ctx.log, info, TargetCleared; "worker" => %worker);
            }
            None => {}
        }
        self.update_worker_state(worker);
    }

    /// Opens suspected workers whose probe is due to one task each. If no
    /// worker is ready, all suspected workers are probed at once: the fault is
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

    /// Excludes a worker that failed to start a task of a job from the job's
    /// next placements.
    pub(crate) fn avoid_worker(&mut self, worker: &Name, job: &Name) {
        let now = self.ctx.timer.now();
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        if !job.avoided_workers.contains(worker) {
            job.avoided_workers.push(worker.clone());
            return;
        }
        // By now every worker has failed to start the job's tasks, so the job
        // backs off.
        job.backoff_until = now + FAILED_START_BACKOFF;
    }
}
