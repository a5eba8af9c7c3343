//! What workers report.

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
    /// Takes in the whole state of a worker.
    pub(crate) fn take_report(&mut self, name: &Name, report: Report) {
        self.admit_worker(name, &report);
        let mut reported: HashMap<AttemptId, &Attempt> =
            report.attempts.iter().map(|attempt| (attempt.id.clone(), attempt)).collect();
        let tasks: Vec<(Name, u32)> = match self.workers.get(name) {
            Some(held) => held.tasks.iter().cloned().collect(),
            None => return,
        };
        for (job, index) in tasks {
            let Some(id) = self.jobs.get(&job).map(|job| job.attempt_id(index)) else {
                continue;
            };
            match reported.remove(&id) {
                Some(attempt) => self.take_attempt(name, &id, attempt.state),
                None => self.take_absence(name, &id, &report),
            }
        }
        self.take_strangers(name, reported.into_values());
        self.update_state(name);
    }

    /// Enters a worker in the account with what counts as running on it.
    fn admit_worker(&mut self, name: &Name, report: &Report) {
        let Some(held) = self.workers.get_mut(name) else {
            return;
        };
        let worker = Worker {
            name: name.clone(),
            kind: report.kind.clone(),
            labels: report.labels.clone(),
            rack: held.instance.rack.clone(),
            capacity: report.capacity,
        };
        held.boot = report.boot;
        held.clock = report.now;
        let is_known = held.id.is_some_and(|id| *self.cell.worker(id) == worker);
        if is_known && !held.silent {
            return;
        }
        held.silent = false;
        let is_first = held.id.is_none();
        let id = self.cell.upsert(worker, State::Silent);
        held.id = Some(id);
        if is_first {
            emit!(self.ctx.log, info, TargetClaimed; "worker" => %name, "term" => self.term,
                "capacity" => %report.capacity, "attempts" => report.attempts.len());
            for (job, _) in &held.tasks {
                if let Some(job) = self.jobs.get(job) {
                    self.cell.promise(id, job.spec.request.size);
                }
            }
        }
        self.replan = true;
    }

    /// Takes in what a worker says of an attempt.
    fn take_attempt(&mut self, worker: &Name, id: &AttemptId, state: AttemptState) {
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
        self.settle(&id.job, id.index, cause);
    }

    fn mark_running(&mut self, worker: &Name, id: &AttemptId) {
        let Some(assigned) = self.jobs.get_mut(&id.job).and_then(|j| j.assigned_mut(id.index))
        else {
            return;
        };
        assigned.phase = Phase::Running;
        // The order to stop may have been lost.
        let stops = assigned.evicted;
        if stops && let Some(held) = self.workers.get(worker) {
            let ids = vec![id.clone()];
            held.send(WorkerCommand::Control(Control { ids, action: ControlAction::Checkpoint }));
        }
    }

    /// Settles an attempt that a report doesn't show.
    fn take_absence(&mut self, worker: &Name, id: &AttemptId, report: &Report) {
        let Some(assigned) = self.jobs.get(&id.job).and_then(|job| job.assigned(id.index)) else {
            return;
        };
        let restarted = assigned.boot != report.boot;
        let cause = match assigned.phase {
            Phase::Recording | Phase::Sending => return,
            Phase::Sent { .. } | Phase::Running if restarted => Cause::Lost,
            // It may still start, or the report is older than the start.
            Phase::Sent { not_after, .. } if report.now <= not_after => return,
            Phase::Sent { confirmed: false, .. } => Cause::NotRun,
            Phase::Sent { confirmed: true, .. } | Phase::Running => Cause::Lost,
        };
        if cause == Cause::Lost {
            emit!(self.ctx.log, warn, TaskLost; "job" => %id.job, "task" => id.index,
                "attempt" => id.attempt, "worker" => %worker);
            self.ctx.counters.lost.inc();
        }
        self.settle(&id.job, id.index, cause);
    }

    /// Takes in attempts that are not the current ones of any task: those that
    /// run are stopped and take room until they end; ended ones are forgotten.
    fn take_strangers<'a>(&mut self, worker: &Name, attempts: impl Iterator<Item = &'a Attempt>) {
        let mut foreign = Resources::ZERO;
        let mut stop = Vec::new();
        let mut forget = Vec::new();
        for attempt in attempts {
            match attempt.state {
                AttemptState::Running => {
                    foreign += attempt.size;
                    stop.push(attempt.id.clone());
                }
                _ if self.is_being_recorded(&attempt.id) => {}
                _ => forget.push(attempt.id.clone()),
            }
        }
        let Some(held) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(id) = held.id {
            self.cell.release(id, held.foreign);
            self.cell.promise(id, foreign);
            self.replan |= held.foreign != foreign;
            held.foreign = foreign;
        }
        if !stop.is_empty() {
            let control = Control { ids: stop, action: ControlAction::Stop };
            held.send(WorkerCommand::Control(control));
        }
        if !forget.is_empty() {
            held.send(WorkerCommand::Forget(forget));
        }
    }

    /// Tells whether the end of an attempt may not have reached the ledger. A
    /// worker that forgot it now would leave the next placer in the dark.
    fn is_being_recorded(&self, id: &AttemptId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let page = &self.pages[job.page];
        page.dirty || page.sheet.is_none()
    }

    /// Takes in what a worker said to starts.
    pub(crate) fn take_results(
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
                StartResult::NotRun => self.settle_not_run(&id),
                StartResult::Answered(StartOutcome::NoRoom) => {
                    self.record_health(worker, &id, Outcome::NoRoom);
                    self.settle_not_run(&id);
                }
                StartResult::Answered(StartOutcome::Failed) => {
                    self.record_health(worker, &id, Outcome::Failed);
                    self.avoid(worker, &id.job);
                    self.settle_not_run(&id);
                }
            }
        }
    }

    fn mark_sent(&mut self, id: &AttemptId, not_after: Duration, confirmed: bool) {
        let assigned = self.jobs.get_mut(&id.job).and_then(|job| job.assigned_mut(id.index));
        if let Some(assigned) = assigned
            && assigned.phase == Phase::Sending
        {
            assigned.phase = Phase::Sent { not_after, confirmed };
        }
    }

    /// Puts a task back whose attempt surely never started.
    pub(crate) fn settle_not_run(&mut self, id: &AttemptId) {
        let current = self.jobs.get(&id.job).map(|job| job.attempt_id(id.index));
        if current.as_ref() == Some(id) {
            self.settle(&id.job, id.index, Cause::NotRun);
        }
    }

    /// Gives a silent worker nothing new. What it has counts as running.
    pub(crate) fn mark_silent(&mut self, name: &Name) {
        if let Some(held) = self.workers.get_mut(name) {
            held.silent = true;
        }
        emit!(self.ctx.log, warn, TargetSilent; "worker" => %name);
        self.update_state(name);
    }

    /// Settles everything on a worker whose lease has surely lapsed.
    pub(crate) fn mark_lapsed(&mut self, name: &Name) {
        let Some(held) = self.workers.get_mut(name) else {
            return;
        };
        held.silent = true;
        let tasks: Vec<_> = held.tasks.iter().cloned().collect();
        if !tasks.is_empty() {
            emit!(self.ctx.log, warn, TargetLapsed; "worker" => %name, "tasks" => tasks.len());
        }
        for (job, index) in tasks {
            self.ctx.counters.lost.inc();
            self.settle(&job, index, Cause::Lost);
        }
        self.update_state(name);
        self.drop_gone();
    }
}
