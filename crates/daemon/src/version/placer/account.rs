//! Changes of a task's state: every assignment and every end of an attempt goes
//! through this module.

use std::time::Duration;

use base::{Name, emit};
use target::{Control, ControlAction};

use crate::version::placer::{
    command::WorkerCommand,
    job::{Assignment, End, Job, Phase},
    page::FollowUp,
    state::Placer,
};

/// Failed attempts after which an idempotent task fails for good.
const MAX_FAILURES: u32 = 3;

/// Back-off before a job with a failed task starts tasks again; doubled with
/// each failure of the task.
const MIN_RESTART_BACKOFF: Duration = Duration::from_millis(500);

/// Upper bound of the back-off after a failed task.
const MAX_RESTART_BACKOFF: Duration = Duration::from_secs(60);

/// Reason for the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The attempt ran to its end.
    Succeeded,
    /// The attempt failed while running.
    Failed,
    /// The attempt was stopped by its owner.
    Stopped,
    /// The attempt certainly never started.
    NotRun,
    /// The attempt was lost: the worker restarted or no longer reports the
    /// attempt, or the worker's lease lapsed.
    Lost,
}

impl Placer {
    /// Assigns a task to a worker, without a check for free capacity.
    pub(crate) fn assign(&mut self, job_id: &Name, index: u32, assignment: Assignment) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        let worker = assignment.worker.clone();
        job.assign(index, assignment);
        self.usage.add(&job.team, job.spec.request.size);
        if let Some(entry) = self.workers.get_mut(&worker) {
            entry.tasks.insert((job_id.clone(), index));
        }
    }

    /// Ends the current attempt of a task: the task ends for good or is queued
    /// again. The end is recorded with the next write of the job's page.
    pub(crate) fn end_attempt(&mut self, job_id: &Name, index: u32, cause: Cause) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        let Some(assignment) = job.assignment(index).cloned() else {
            return;
        };
        let size = job.spec.request.size;
        self.usage.remove(&job.team, size);
        if let Some(entry) = self.workers.get_mut(&assignment.worker) {
            entry.tasks.remove(&(job_id.clone(), index));
            if let Some(id) = entry.cell_id {
                self.cell.release(id, size);
            }
        }
        if cause == Cause::Failed {
            let failures = job.tasks[index as usize].failures;
            job.tasks[index as usize].failures = failures + 1;
            // Without a back-off, a job whose tasks fail at once would keep its
            // workers busy.
            let backoff = MIN_RESTART_BACKOFF * 2u32.saturating_pow(failures);
            job.backoff_until = self.ctx.timer.now() + backoff.min(MAX_RESTART_BACKOFF);
        }
        let id = job.attempt_id(index);
        match final_end(job, index, cause, assignment.is_evicted) {
            Some(end) => job.end(index, end),
            None => job.requeue(index),
        }
        emit!(self.ctx.log, info, TaskEnded; "job" => %job_id, "task" => index,
            "attempt" => id.attempt, "worker" => %assignment.worker, "cause" => ?cause);
        let is_gang_incomplete = job.spec.kind == quota::JobKind::Gang
            && job.pending.contains(&index)
            && job.assigned > 0;
        let page = job.page;
        self.pages[page].is_dirty = true;
        if assignment.phase != Phase::Recording {
            self.pages[page].after_write(FollowUp::Forget(assignment.worker, id));
        }
        if is_gang_incomplete {
            self.evict_gang(job_id);
        }
        self.needs_replan = true;
        self.enqueue(job_id);
        self.finish_if_complete(job_id);
    }

    /// Stops an attempt so that the task starts on another worker.
    pub(crate) fn evict(&mut self, job_id: &Name, index: u32, action: ControlAction) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        let id = job.attempt_id(index);
        let Some(assignment) = job.assignment_mut(index) else {
            return;
        };
        assignment.is_evicted = true;
        let worker = assignment.worker.clone();
        let is_unsent = assignment.phase == Phase::Recording;
        if is_unsent {
            // The start has not been sent, and follow-ups skip attempts that
            // have ended.
            self.end_attempt(job_id, index, Cause::NotRun);
        } else if let Some(entry) = self.workers.get(&worker) {
            entry.send(WorkerCommand::Control(Control { ids: vec![id], action }));
        }
    }

    /// Ends every task of a cancelled job that is not on a worker, and stops
    /// the others.
    pub(crate) fn stop_job(&mut self, job_id: &Name) {
        self.dequeue(job_id);
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        for index in job.pending.clone() {
            job.end(index, End::Stopped);
        }
        let indices: Vec<u32> =
            (0..job.spec.tasks).filter(|index| job.assignment(*index).is_some()).collect();
        for index in indices {
            self.evict(job_id, index, ControlAction::Stop);
        }
        self.finish_if_complete(job_id);
    }

    /// Stops the other tasks of a gang after one of them has to start again.
    fn evict_gang(&mut self, job_id: &Name) {
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        let indices: Vec<u32> = (0..job.spec.tasks)
            .filter(|index| job.assignment(*index).is_some_and(|a| !a.is_evicted))
            .collect();
        for index in indices {
            self.evict(job_id, index, ControlAction::Checkpoint);
        }
    }

    pub(crate) fn finish_if_complete(&mut self, job_id: &Name) {
        let now = self.ctx.unix_ms();
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        if !job.is_complete() || job.ended_ms.is_some() {
            return;
        }
        job.ended_ms = Some(now);
        let page = job.page;
        emit!(self.ctx.log, info, JobEnded; "job" => %job_id, "team" => %job.team);
        self.pages[page].is_dirty = true;
        self.dequeue(job_id);
    }
}

/// Returns how a task ends for good, or `None` if the task starts again.
fn final_end(job: &Job, index: u32, cause: Cause, is_evicted: bool) -> Option<End> {
    let failures = job.tasks[index as usize].failures;
    let is_service = job.spec.kind == quota::JobKind::Service;
    match cause {
        Cause::Succeeded if is_service && job.spec.idempotent && !job.is_cancelled => None,
        Cause::Succeeded => Some(End::Succeeded),
        _ if job.is_cancelled => Some(End::Stopped),
        Cause::NotRun => None,
        Cause::Stopped if is_evicted && job.spec.idempotent => None,
        Cause::Stopped => Some(End::Stopped),
        // Another attempt could be a second run of a task that may run only
        // once.
        Cause::Failed | Cause::Lost if !job.spec.idempotent => match cause {
            Cause::Failed => Some(End::Failed),
            _ => Some(End::MayHaveRun),
        },
        Cause::Failed if !is_service && failures >= MAX_FAILURES => Some(End::Failed),
        Cause::Failed | Cause::Lost => None,
    }
}
