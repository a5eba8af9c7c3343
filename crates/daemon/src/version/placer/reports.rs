//! What workers report.

use std::{collections::HashMap, time::Duration};

use base::{Name, Resources, emit};
use place::{Shift, State, Worker};
use platform::{Instance, Kind};
use target::{Attempt, AttemptId, AttemptState, Control, ControlAction, Report, StartOutcome};
use tokio::sync::mpsc;
use wire::pb;

use crate::{
    connection::hold_worker,
    version::placer::{
        account::Cause,
        command::{StartResult, ToWorker},
        job::Phase,
        state::Placer,
        worker::{Held, WORKER_QUEUE},
    },
};

/// Time before a job whose starts fail everywhere is tried again.
const FAILED_START_PAUSE: Duration = Duration::from_secs(1);

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
            let is_leaving = instance.leaving && !held.instance.leaving;
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
                std::sync::Arc::clone(&self.ctx),
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
            if held.instance.leaving && !held.emptied {
                held.emptied = true;
                tasks.extend(held.tasks.iter().cloned());
            }
            held.emptied &= held.instance.leaving;
        }
        for (job, index) in tasks {
            if self.jobs.get(&job).is_some_and(|job| job.spec.idempotent) {
                self.evict(&job, index, ControlAction::Checkpoint);
            }
        }
    }

    /// Forgets workers that the platform has taken away, once nothing that may
    /// run there is left.
    fn drop_gone(&mut self) {
        let gone: Vec<Name> = self
            .workers
            .iter()
            .filter(|(_, held)| !held.listed && held.tasks.is_empty() && held.silent)
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            emit!(self.ctx.log, info, TargetGone; "worker" => %name);
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
            Cause::Succeeded => self.record_health(worker, id, place::Outcome::Succeeded),
            Cause::Failed => self.record_health(worker, id, place::Outcome::Failed),
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
            held.send(ToWorker::Control(Control { ids, action: ControlAction::Checkpoint }));
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
            held.send(ToWorker::Control(control));
        }
        if !forget.is_empty() {
            held.send(ToWorker::Forget(forget));
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
                    self.record_health(worker, &id, place::Outcome::NoRoom);
                    self.settle_not_run(&id);
                }
                StartResult::Answered(StartOutcome::Failed) => {
                    self.record_health(worker, &id, place::Outcome::Failed);
                    self.avoid(worker, &id.job);
                    self.settle_not_run(&id);
                }
            }
        }
    }

    /// Keeps a job's next tasks from a worker that failed to start one.
    fn avoid(&mut self, worker: &Name, job: &Name) {
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

    fn record_health(&mut self, worker: &Name, id: &AttemptId, outcome: place::Outcome) {
        let now = self.ctx.timer.now();
        let Some(held) = self.workers.get_mut(worker) else {
            return;
        };
        match held.health.record(outcome, &id.job, now) {
            Some(Shift::Suspected) => {
                emit!(self.ctx.log, warn, TargetSuspect; "worker" => %worker);
            }
            Some(Shift::Cleared) => {
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

    /// Sets whether a worker may get new tasks.
    fn update_state(&mut self, name: &Name) {
        let Some(held) = self.workers.get(name) else {
            return;
        };
        let Some(id) = held.id else {
            return;
        };
        let state = if held.silent {
            State::Silent
        } else if held.instance.leaving || !held.listed {
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
            promised: held.id.map(|id| self.cell.promised(id).into()),
            slots: 0,
            busy: 0,
        };
        let mut statuses: Vec<_> = self.workers.iter().map(status).collect();
        statuses.sort_by(|a, b| a.name.cmp(&b.name));
        statuses
    }
}
