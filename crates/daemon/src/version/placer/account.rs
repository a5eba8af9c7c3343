//! The account of what runs: every change of a task goes through here.

use std::time::Duration;

use base::{Name, emit};
use target::{Control, ControlAction};

use crate::version::placer::{
    command::WorkerCommand,
    job::{Assigned, End, Job, Phase},
    page::Then,
    state::Placer,
};

/// Attempts after which a failing idempotent task is given up.
const MOST_FAILURES: u32 = 3;

/// Time before a failed task starts again; doubled with each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest time before a failed task starts again.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

/// A `Cause` is why an attempt is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// It ran to its end.
    Succeeded,
    /// It failed while it ran.
    Failed,
    /// It was stopped by its owner.
    Stopped,
    /// It surely never started.
    NotRun,
    /// Its worker lost it.
    Lost,
}

impl Placer {
    /// Counts a task as running on a worker, without a check for room.
    pub(crate) fn count(&mut self, job: &Name, index: u32, assigned: Assigned) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let worker = assigned.worker.clone();
        entry.assign(index, assigned);
        self.order.add(&entry.team, entry.spec.request.size);
        if let Some(held) = self.workers.get_mut(&worker) {
            held.tasks.insert((job.clone(), index));
        }
    }

    /// Settles what becomes of a task whose attempt is over. The end is
    /// recorded with the next write of the job's page.
    pub(crate) fn settle(&mut self, job: &Name, index: u32, cause: Cause) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(assigned) = entry.assigned(index).cloned() else {
            return;
        };
        let size = entry.spec.request.size;
        self.order.remove(&entry.team, size);
        if let Some(held) = self.workers.get_mut(&assigned.worker) {
            held.tasks.remove(&(job.clone(), index));
            if let Some(id) = held.id {
                self.cell.release(id, size);
            }
        }
        if cause == Cause::Failed {
            let failures = entry.tasks[index as usize].failures;
            entry.tasks[index as usize].failures = failures + 1;
            // A job that fails at once must not keep its workers busy.
            let pause = FIRST_PAUSE * 2u32.saturating_pow(failures);
            entry.hold_until = self.ctx.timer.now() + pause.min(LONGEST_PAUSE);
        }
        let id = entry.attempt_id(index);
        match final_end(entry, index, cause, assigned.evicted) {
            Some(end) => entry.end(index, end),
            None => entry.requeue(index),
        }
        emit!(self.ctx.log, info, TaskEnded; "job" => %job, "task" => index,
            "attempt" => id.attempt, "worker" => %assigned.worker, "cause" => ?cause);
        let is_gang_broken = entry.spec.kind == quota::JobKind::Gang
            && entry.pending.contains(&index)
            && entry.assigned > 0;
        let page = entry.page;
        self.pages[page].dirty = true;
        if assigned.phase != Phase::Recording {
            self.pages[page].after_write(Then::Forget(assigned.worker, id));
        }
        if is_gang_broken {
            self.evict_rest(job);
        }
        self.replan = true;
        self.enqueue(job);
        self.finish_if_over(job);
    }

    /// Stops an attempt so that its task starts elsewhere.
    pub(crate) fn evict(&mut self, job: &Name, index: u32, action: ControlAction) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let id = entry.attempt_id(index);
        let Some(assigned) = entry.assigned_mut(index) else {
            return;
        };
        assigned.evicted = true;
        let worker = assigned.worker.clone();
        let in_ledger_only = assigned.phase == Phase::Recording;
        if in_ledger_only {
            // The worker has not been told yet and won't be.
            self.settle(job, index, Cause::NotRun);
        } else if let Some(held) = self.workers.get(&worker) {
            held.send(WorkerCommand::Control(Control { ids: vec![id], action }));
        }
    }

    /// Ends every task of a cancelled job that is not on a worker, and stops
    /// the others.
    pub(crate) fn stop_all(&mut self, job: &Name) {
        self.dequeue(job);
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        for index in entry.pending.clone() {
            entry.end(index, End::Stopped);
        }
        let indices: Vec<u32> =
            (0..entry.spec.tasks).filter(|index| entry.assigned(*index).is_some()).collect();
        for index in indices {
            self.evict(job, index, ControlAction::Stop);
        }
        self.finish_if_over(job);
    }

    /// Stops what still runs of a job whose tasks start together, after one of
    /// them has to start again.
    fn evict_rest(&mut self, job: &Name) {
        let Some(entry) = self.jobs.get(job) else {
            return;
        };
        let indices: Vec<u32> = (0..entry.spec.tasks)
            .filter(|index| entry.assigned(*index).is_some_and(|a| !a.evicted))
            .collect();
        for index in indices {
            self.evict(job, index, ControlAction::Checkpoint);
        }
    }

    pub(crate) fn finish_if_over(&mut self, job: &Name) {
        let now = self.ctx.unix_ms();
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if !entry.is_over() || entry.ended_ms.is_some() {
            return;
        }
        entry.ended_ms = Some(now);
        let page = entry.page;
        emit!(self.ctx.log, info, JobEnded; "job" => %job, "team" => %entry.team);
        self.pages[page].dirty = true;
        self.dequeue(job);
    }
}

/// Gets how a task ends for good; `None` if it is to start again.
fn final_end(job: &Job, index: u32, cause: Cause, evicted: bool) -> Option<End> {
    let failures = job.tasks[index as usize].failures;
    let is_service = job.spec.kind == quota::JobKind::Service;
    match cause {
        Cause::Succeeded if is_service && job.spec.idempotent && !job.cancelled => None,
        Cause::Succeeded => Some(End::Succeeded),
        _ if job.cancelled => Some(End::Stopped),
        Cause::NotRun => None,
        Cause::Stopped if evicted && job.spec.idempotent => None,
        Cause::Stopped => Some(End::Stopped),
        // Starting it again could be a second run.
        Cause::Failed | Cause::Lost if !job.spec.idempotent => match cause {
            Cause::Failed => Some(End::Failed),
            _ => Some(End::MayHaveRun),
        },
        Cause::Failed if !is_service && failures >= MOST_FAILURES => Some(End::Failed),
        Cause::Failed | Cause::Lost => None,
    }
}
