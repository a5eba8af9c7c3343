//! Reports of workers and results of starts.

use std::{collections::HashMap, time::Duration};

use base::{Name, Resources, emit};
use place::{Outcome, State, Worker};
use target::{Attempt, AttemptId, AttemptState, Control, ControlAction, Report, StartOutcome};

use crate::version::placer::{
    account::Cause,
    command::{StartResult, WorkerCommand},
    job::Phase,
    state::Placer,
};

impl Placer {
    /// Applies a report, which holds the complete state of a worker.
    pub(crate) fn apply_report(&mut self, name: &Name, report: Report) {
        self.register_worker(name, &report);
        let mut reported: HashMap<AttemptId, &Attempt> =
            report.attempts.iter().map(|attempt| (attempt.id.clone(), attempt)).collect();
        let tasks: Vec<(Name, u32)> = match self.workers.get(name) {
            Some(entry) => entry.tasks.iter().cloned().collect(),
            None => return,
        };
        for (job, index) in tasks {
            let Some(id) = self.jobs.get(&job).map(|job| job.attempt_id(index)) else {
                continue;
            };
            match reported.remove(&id) {
                Some(attempt) => self.apply_attempt(name, &id, attempt.state),
                None => self.handle_missing_attempt(name, &id, &report),
            }
        }
        self.apply_untracked_attempts(name, reported.into_values());
        self.update_worker_state(name);
    }

    /// Adds a worker to the cell, together with the tasks that the ledger names
    /// on it, or updates the worker.
    fn register_worker(&mut self, name: &Name, report: &Report) {
        let Some(entry) = self.workers.get_mut(name) else {
            return;
        };
        let worker = Worker {
            name: name.clone(),
            kind: report.kind.clone(),
            labels: report.labels.clone(),
            rack: entry.instance.rack.clone(),
            capacity: report.capacity,
        };
        entry.boot = report.boot;
        entry.clock = report.now;
        let is_known = entry.cell_id.is_some_and(|id| *self.cell.worker(id) == worker);
        if is_known && !entry.is_silent {
            return;
        }
        entry.is_silent = false;
        let is_first = entry.cell_id.is_none();
        let id = self.cell.upsert(worker, State::Silent);
        entry.cell_id = Some(id);
        if is_first {
            emit!(self.ctx.log, info, TargetClaimed; "worker" => %name, "term" => self.term,
                "capacity" => %report.capacity, "attempts" => report.attempts.len());
            for (job, _) in &entry.tasks {
                if let Some(job) = self.jobs.get(job) {
                    self.cell.allocate(id, job.spec.request.size);
                }
            }
        }
        self.needs_replan = true;
    }

    /// Applies the reported state of an attempt.
    fn apply_attempt(&mut self, worker: &Name, id: &AttemptId, state: AttemptState) {
        let cause = match state {
            AttemptState::Running => {
                self.mark_running(worker, id);
                return;
            }
            AttemptState::Succeeded => Cause::Succeeded,
            AttemptState::Failed => Cause::Failed,
            AttemptState::Stopped => Cause::Stopped,
            AttemptState::Lapsed => Cause::Lost,
        };
        match cause {
            Cause::Succeeded => self.record_health(worker, id, Outcome::Succeeded),
            Cause::Failed => self.record_health(worker, id, Outcome::Failed),
            Cause::Stopped | Cause::NotRun | Cause::Lost => {}
        }
        self.end_attempt(&id.job, id.index, cause);
    }

    fn mark_running(&mut self, worker: &Name, id: &AttemptId) {
        let Some(assignment) = self.jobs.get_mut(&id.job).and_then(|j| j.assignment_mut(id.index))
        else {
            return;
        };
        assignment.phase = Phase::Running;
        // The request to stop may have been lost.
        let is_evicted = assignment.is_evicted;
        if is_evicted && let Some(entry) = self.workers.get(worker) {
            let ids = vec![id.clone()];
            entry.send(WorkerCommand::Control(Control { ids, action: ControlAction::Checkpoint }));
        }
    }

    /// Handles an attempt that is missing from a report.
    fn handle_missing_attempt(&mut self, worker: &Name, id: &AttemptId, report: &Report) {
        let Some(assignment) = self.jobs.get(&id.job).and_then(|job| job.assignment(id.index))
        else {
            return;
        };
        let has_restarted = assignment.boot != report.boot;
        let cause = match assignment.phase {
            Phase::Recording | Phase::Sending => return,
            Phase::Sent { .. } | Phase::Running if has_restarted => Cause::Lost,
            // The attempt may still start, or the report is older than the
            // start.
            Phase::Sent { not_after, .. } if report.now <= not_after => return,
            Phase::Sent { is_confirmed: false, .. } => Cause::NotRun,
            Phase::Sent { is_confirmed: true, .. } | Phase::Running => Cause::Lost,
        };
        if cause == Cause::Lost {
            emit!(self.ctx.log, warn, TaskLost; "job" => %id.job, "task" => id.index,
                "attempt" => id.attempt, "worker" => %worker);
            self.ctx.counters.lost_attempts.inc();
        }
        self.end_attempt(&id.job, id.index, cause);
    }

    /// Handles attempts that are not the current ones of any task. Running ones
    /// are stopped and take up capacity until they end; ended ones are
    /// forgotten.
    fn apply_untracked_attempts<'a>(
        &mut self,
        worker: &Name,
        attempts: impl Iterator<Item = &'a Attempt>,
    ) {
        let mut untracked = Resources::ZERO;
        let mut stop = Vec::new();
        let mut forget = Vec::new();
        for attempt in attempts {
            match attempt.state {
                AttemptState::Running => {
                    untracked += attempt.size;
                    stop.push(attempt.id.clone());
                }
                _ if self.has_unrecorded_end(&attempt.id) => {}
                _ => forget.push(attempt.id.clone()),
            }
        }
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(id) = entry.cell_id {
            self.cell.release(id, entry.untracked);
            self.cell.allocate(id, untracked);
            self.needs_replan |= entry.untracked != untracked;
            entry.untracked = untracked;
        }
        if !stop.is_empty() {
            let control = Control { ids: stop, action: ControlAction::Stop };
            entry.send(WorkerCommand::Control(control));
        }
        if !forget.is_empty() {
            entry.send(WorkerCommand::Forget(forget));
        }
    }

    /// Returns whether the end of an attempt may be missing from the ledger. The
    /// worker must not forget such an attempt: after a change of placers, only
    /// the worker's report shows the end.
    fn has_unrecorded_end(&self, id: &AttemptId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let page = &self.pages[job.page];
        page.is_dirty || page.writer.is_none()
    }

    /// Applies the results of starts that were sent to a worker.
    pub(crate) fn apply_start_results(
        &mut self,
        worker: &Name,
        not_after: Duration,
        results: Vec<(AttemptId, StartResult)>,
    ) {
        for (id, result) in results {
            let current = self.jobs.get(&id.job).map(|job| job.attempt_id(id.index));
            if current.as_ref() != Some(&id) {
                continue;
            }
            match result {
                StartResult::Answered(StartOutcome::Started) => {
                    self.mark_sent(&id, not_after, true);
                }
                StartResult::Unknown => self.mark_sent(&id, not_after, false),
                StartResult::NotRun => self.end_not_run(&id),
                StartResult::Answered(StartOutcome::NoRoom) => {
                    self.record_health(worker, &id, Outcome::NoRoom);
                    self.end_not_run(&id);
                }
                StartResult::Answered(StartOutcome::Failed) => {
                    self.record_health(worker, &id, Outcome::Failed);
                    self.avoid_worker(worker, &id.job);
                    self.end_not_run(&id);
                }
            }
        }
    }

    fn mark_sent(&mut self, id: &AttemptId, not_after: Duration, is_confirmed: bool) {
        let assignment = self.jobs.get_mut(&id.job).and_then(|job| job.assignment_mut(id.index));
        if let Some(assignment) = assignment
            && assignment.phase == Phase::Sending
        {
            assignment.phase = Phase::Sent { not_after, is_confirmed };
        }
    }

    /// Queues the task of an attempt that certainly never started again.
    pub(crate) fn end_not_run(&mut self, id: &AttemptId) {
        let current = self.jobs.get(&id.job).map(|job| job.attempt_id(id.index));
        if current.as_ref() == Some(id) {
            self.end_attempt(&id.job, id.index, Cause::NotRun);
        }
    }

    /// Marks a worker as silent. Silent workers get no new tasks; the tasks
    /// that they have still count as running.
    pub(crate) fn mark_silent(&mut self, name: &Name) {
        if let Some(entry) = self.workers.get_mut(name) {
            entry.is_silent = true;
        }
        emit!(self.ctx.log, warn, TargetSilent; "worker" => %name);
        self.update_worker_state(name);
    }

    /// Ends all attempts on a worker whose lease has certainly lapsed.
    pub(crate) fn mark_lapsed(&mut self, name: &Name) {
        let Some(entry) = self.workers.get_mut(name) else {
            return;
        };
        entry.is_silent = true;
        let tasks: Vec<_> = entry.tasks.iter().cloned().collect();
        if !tasks.is_empty() {
            emit!(self.ctx.log, warn, TargetLapsed; "worker" => %name, "tasks" => tasks.len());
        }
        for (job, index) in tasks {
            self.ctx.counters.lost_attempts.inc();
            self.end_attempt(&job, index, Cause::Lost);
        }
        self.update_worker_state(name);
        self.remove_gone_workers();
    }
}
