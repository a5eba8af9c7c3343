//! Workers that fail what they start.

use std::time::Duration;

use base::{Name, emit};
use place::{Outcome, State, Transition};
use target::AttemptId;

use crate::version::placer::state::Placer;

/// Time before a job whose starts fail everywhere is tried again.
const FAILED_START_PAUSE: Duration = Duration::from_secs(1);

impl Placer {
    /// Records what became of an attempt on a worker.
    pub(crate) fn record_health(&mut self, worker: &Name, id: &AttemptId, outcome: Outcome) {
        let now = self.ctx.timer.now();
        let Some(held) = self.workers.get_mut(worker) else {
            return;
        };
        match held.health.record(outcome, &id.job, now) {
            Some(Transition::Suspected) => {
                emit!(self.ctx.log, warn, TargetSuspected; "worker" => %worker);
            }
            Some(Transition::Cleared) => {
                emit!(self.ctx.log, info, TargetCleared; "worker" => %worker);
            }
            None => {}
        }
        self.update_state(worker);
    }

    /// Lets suspected workers take one task each when their probe is due. When
    /// every worker is suspected, all of them are probed at once: the fault is
    /// then more likely in the tasks.
    pub(crate) fn probe_suspects(&mut self) {
        let now = self.ctx.timer.now();
        let is_any_ready = self.cell.ids().any(|worker| self.cell.state(worker) == State::Ready);
        let mut due = Vec::new();
        for (name, held) in &mut self.workers {
            let waits = held.health.is_suspected() && held.id.is_some() && !held.silent;
            if waits && (held.health.is_probe_due(now) || !is_any_ready) {
                held.health.start_probe(now);
                due.push(name.clone());
            }
        }
        for name in due {
            if let Some(id) = self.cell.find(&name) {
                self.cell.set_state(id, State::Ready);
                self.replan = true;
            }
        }
    }

    /// Keeps a job's next tasks from a worker that failed to start one.
    pub(crate) fn avoid(&mut self, worker: &Name, job: &Name) {
        let now = self.ctx.timer.now();
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        if !job.avoid.contains(worker) {
            job.avoid.push(worker.clone());
            return;
        }
        // Every worker has failed it by now, so it isn't sent at once.
        job.hold_until = now + FAILED_START_PAUSE;
    }
}
