//! Main loop of a placer.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use base::{Failure, Name, emit};
use place::Cell;
use platform::{Instance, Kind, Store};
use quota::{Allowances, Usage};
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
};

use crate::{
    process::Context,
    version::{
        ledger::{Superseded, Writer, acquire},
        placer::{
            admissions::{Admissions, SLOT_COUNT},
            command::{Command, WorkerCommand},
            job::{Job, Phase, TaskState},
            limits::{ALLOWANCE_KEY, Refresh, RefreshResult},
            page::{FollowUp, Page, PageRecord},
            state::Placer,
            worker::WorkerEntry,
        },
    },
};

/// Time between rounds of maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of commands handled between two rounds of decisions.
const MAX_COMMANDS_PER_ROUND: usize = 4096;

/// Time after which a request that was refused in a handover may be repeated.
const HANDOVER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Result of work in the background of the main loop.
pub(crate) enum Completion {
    /// Write of the page of jobs with this index.
    Page(usize, Result<Writer, Superseded>),
    /// Write of the slot of admissions with this index.
    Admissions(usize, Result<Writer, Superseded>),
    /// Refresh of the allowances.
    Allowances(RefreshResult),
}

/// Runs the placer of a region until it is stopped or superseded by another
/// placer.
pub(crate) async fn run_placer(
    ctx: Arc<Context>,
    region: Name,
    term: u64,
    sender: mpsc::Sender<Command>,
    mut commands: mpsc::Receiver<Command>,
    mut stop: watch::Receiver<bool>,
) {
    let result = tokio::select! {
        result = Placer::take_over(Arc::clone(&ctx), region.clone(), term, sender) => result,
        _ = stop.wait_for(|stopped| *stopped) => return,
    };
    let Ok(mut placer) = result else {
        emit!(ctx.log, warn, LedgerLost; "region" => %region, "term" => term);
        return;
    };
    emit!(ctx.log, info, PlacerStarted; "region" => %region, "term" => term,
        "jobs" => placer.jobs.len());

    let mut background: JoinSet<Completion> = JoinSet::new();
    let mut ticks = ctx.timer.every(MAINTENANCE_INTERVAL);
    let mut instances = ctx.instances.subscribe();
    let mut configs = ctx.configs.subscribe();
    placer.apply_instance_list(&instances.borrow_and_update().clone());
    loop {
        let is_superseded = tokio::select! {
            biased;
            _ = stop.wait_for(|stopped| *stopped) => break,
            Some(Ok(completion)) = background.join_next() => placer.complete(completion).is_err(),
            Ok(()) = instances.changed() => {
                placer.apply_instance_list(&instances.borrow_and_update().clone());
                false
            }
            Ok(()) = configs.changed() => {
                configs.borrow_and_update();
                placer.needs_replan = true;
                false
            }
            Some(command) = commands.recv() => {
                let mut is_fenced = placer.handle_command(command);
                for _ in 0..MAX_COMMANDS_PER_ROUND {
                    let Ok(command) = commands.try_recv() else { break };
                    is_fenced |= placer.handle_command(command);
                }
                is_fenced
            }
            tick = ticks.next() => {
                if tick.is_none() {
                    break;
                }
                placer.run_maintenance(&mut background);
                false
            }
        };
        if is_superseded {
            emit!(ctx.log, warn, LedgerLost; "region" => %region, "term" => term);
            break;
        }
        placer.decide();
        placer.write_pages(&mut background);
    }
    placer.shut_down(background).await;
}

impl Placer {
    /// Acquires the region's ledger and restores the state that an earlier
    /// placer recorded there.
    ///
    /// # Errors
    /// Fails if a later owner holds the ledger or a page can't be decoded.
    async fn take_over(
        ctx: Arc<Context>,
        region: Name,
        term: u64,
        sender: mpsc::Sender<Command>,
    ) -> Result<Self, Superseded> {
        let mut pages = Vec::new();
        let mut jobs = Vec::new();
        for number in 0..ctx.settings.ledger.pages as usize {
            let key = format!("ledger/{region}/{number}");
            let acquired = acquire(&ctx.store, key, term, ctx.name.clone()).await?;
            pages.push(Page::new(acquired.writer));
            // The page stays as it is: overwriting it would lose its jobs.
            let restored = PageRecord::decode(&acquired.body).and_then(|r| r.into_jobs(number));
            match restored {
                Ok(restored) => jobs.extend(restored),
                Err(error) => {
                    emit!(ctx.log, error, StoreRequestFailed; "region" => %region, "page" => number,
                        "reason" => %error);
                    return Err(Superseded);
                }
            }
        }
        let mut admissions = Admissions::default();
        for number in 0..SLOT_COUNT {
            let key = format!("calls/{region}/{number}");
            let acquired = acquire(&ctx.store, key, term, ctx.name.clone()).await?;
            admissions.load(acquired.writer, &acquired.body);
        }
        let allowances = match ctx.store.get(ALLOWANCE_KEY).await {
            Ok(Some(entry)) => Allowances::decode(&entry.value).unwrap_or_default(),
            Ok(None) | Err(_) => Allowances::default(),
        };
        let mut placer = Self {
            region,
            term,
            sender,
            connections: JoinSet::new(),
            cell: Cell::default(),
            workers: HashMap::new(),
            jobs: HashMap::new(),
            pages,
            admissions,
            queue: BTreeMap::new(),
            usage: Usage::default(),
            allowances,
            allowance_refresh: Refresh::default(),
            shortfall: HashMap::new(),
            needs_replan: true,
            preempted_at: HashMap::new(),
            scan_offset: 0,
            reservations: HashMap::new(),
            gang_reservation_until: Duration::ZERO,
            share_checked_at: Duration::ZERO,
            started_at: ctx.timer.now(),
            ctx,
        };
        for job in jobs {
            placer.restore_job(job);
        }
        Ok(placer)
    }

    /// Restores a job that an earlier placer recorded. The assigned attempts
    /// count as running until a report shows otherwise.
    fn restore_job(&mut self, job: Job) {
        let id = job.id.clone();
        for (index, task) in (0..).zip(&job.tasks) {
            if let TaskState::Assigned(assignment) = &task.state {
                self.usage.add(&job.team, job.spec.request.size);
                let entry = self.workers.entry(assignment.worker.clone()).or_insert_with(|| {
                    WorkerEntry::new(placeholder_instance(&assignment.worker, &self.region), None)
                });
                entry.boot = assignment.boot;
                entry.tasks.insert((id.clone(), index));
            }
        }
        let is_cancelled = job.is_cancelled;
        self.jobs.insert(id.clone(), job);
        if is_cancelled {
            self.stop_job(&id);
        } else {
            self.enqueue(&id);
        }
    }

    /// Applies the result of work in the background.
    ///
    /// # Errors
    /// Fails if a later owner holds the ledger.
    fn complete(&mut self, completion: Completion) -> Result<(), Superseded> {
        match completion {
            Completion::Page(index, writer) => {
                let page = &mut self.pages[index];
                page.writer = Some(writer?);
                let follow_ups = std::mem::take(&mut page.in_flight);
                self.run_follow_ups(follow_ups);
            }
            Completion::Admissions(index, writer) => self.admissions.finish_write(index, writer?),
            Completion::Allowances(refreshed) => self.apply_allowances(refreshed),
        }
        Ok(())
    }

    /// Runs the actions that follow a write.
    fn run_follow_ups(&mut self, follow_ups: Vec<FollowUp>) {
        let mut starts: HashMap<Name, Vec<_>> = HashMap::new();
        let mut forgets: HashMap<Name, Vec<_>> = HashMap::new();
        for follow_up in follow_ups {
            match follow_up {
                FollowUp::Reply(reply, answer) => {
                    let _ = reply.send(Ok(answer));
                }
                FollowUp::Start(worker, start) => {
                    if self.mark_sending(&start.id) {
                        starts.entry(worker).or_default().push(start);
                    }
                }
                FollowUp::Forget(worker, id) => forgets.entry(worker).or_default().push(id),
            }
        }
        for (worker, starts) in starts {
            let ids: Vec<_> = starts.iter().map(|start| start.id.clone()).collect();
            let is_sent = self
                .workers
                .get(&worker)
                .is_some_and(|entry| entry.send(WorkerCommand::Start(starts)));
            if !is_sent {
                for id in ids {
                    self.end_not_run(&id);
                }
            }
        }
        for (worker, ids) in forgets {
            if let Some(entry) = self.workers.get(&worker) {
                entry.send(WorkerCommand::Forget(ids));
            }
        }
    }

    /// Marks a recorded attempt as being sent. Returns `false` if the attempt
    /// has ended in the meantime.
    fn mark_sending(&mut self, id: &target::AttemptId) -> bool {
        let now_ms = self.ctx.unix_ms();
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return false;
        };
        if job.tasks.get(id.index as usize).is_none_or(|task| task.attempt != id.attempt) {
            return false;
        }
        let accepted_ms = job.accepted_ms;
        let Some(assignment) = job.assignment_mut(id.index) else {
            return false;
        };
        if assignment.phase != Phase::Recording {
            return false;
        }
        assignment.phase = Phase::Sending;
        let waited_ms = now_ms.saturating_sub(accepted_ms);
        if job.first_start_ms.is_none() {
            job.first_start_ms = Some(waited_ms);
            // The wait is recorded, so that a later placer reports the same
            // one.
            let page = job.page;
            self.pages[page].is_dirty = true;
        }
        self.ctx.counters.task_wait.observe(waited_ms as f64 / 1000.0);
        true
    }

    /// Handles a command. Returns whether a worker has refused this placer's
    /// term.
    fn handle_command(&mut self, command: Command) -> bool {
        match command {
            Command::Submit { team, request, reply } => self.submit(team, &request, reply),
            Command::Job { team, job, reply } => {
                let _ = reply.send(self.job_status(&team, &job));
            }
            Command::Jobs { team, reply } => {
                let _ = reply.send(Ok(self.job_list(&team)));
            }
            Command::Cancel { team, job, reply } => self.cancel(&team, &job, reply),
            Command::Admit { team, request, reply } => {
                let age = self.ctx.store.age();
                self.admissions.admit(&team, &request, self.ctx.unix_ms(), age, reply);
            }
            Command::Retract { team, request } => self.admissions.retract(&team, &request),
            Command::Status { reply } => {
                let _ = reply.send(self.worker_statuses());
            }
            Command::Report { worker, report } => self.apply_report(&worker, *report),
            Command::StartResults { worker, not_after, results } => {
                self.apply_start_results(&worker, not_after, results);
            }
            Command::Silent { worker } => self.mark_silent(&worker),
            Command::Lapsed { worker } => self.mark_lapsed(&worker),
            Command::Fenced { worker } => {
                emit!(self.ctx.log, warn, TargetFenced; "worker" => %worker, "term" => self.term);
                return true;
            }
        }
        false
    }

    /// Starts writes of changed pages and slots that were last written at least
    /// `ledger.flush_ms` ago.
    fn write_pages(&mut self, background: &mut JoinSet<Completion>) {
        let now = self.ctx.timer.now();
        let min_interval = Duration::from_millis(self.ctx.settings.ledger.flush_ms);
        for index in 0..self.pages.len() {
            let page = &self.pages[index];
            let is_due = page.written_at.is_none_or(|at| now >= at + min_interval);
            if !page.is_dirty || !is_due || page.writer.is_none() {
                continue;
            }
            let jobs = self.jobs.values().filter(|job| job.page == index);
            let body = PageRecord::new(jobs).encode();
            let page = &mut self.pages[index];
            let Some(writer) = page.writer.take() else {
                continue;
            };
            page.is_dirty = false;
            page.size_bytes = body.len();
            page.written_at = Some(now);
            page.in_flight = std::mem::take(&mut page.queued);
            let store = self.ctx.store.clone();
            background
                .spawn(async move { Completion::Page(index, writer.write(&store, body).await) });
        }
        for (index, writer, body) in self.admissions.take_due_writes(now, min_interval) {
            let store = self.ctx.store.clone();
            background.spawn(async move {
                Completion::Admissions(index, writer.write(&store, body).await)
            });
        }
    }

    /// Runs periodic maintenance: removes what has expired, probes suspected
    /// workers, refreshes the allowances and requests rounds of decisions.
    fn run_maintenance(&mut self, background: &mut JoinSet<Completion>) {
        self.forget_ended_jobs();
        self.probe_suspects();
        self.expire_unlisted_workers();
        self.expire_reservations();
        self.admissions.expire(self.ctx.unix_ms());
        self.refresh_allowances(background);
        let now = self.ctx.timer.now();
        let last = now.saturating_sub(MAINTENANCE_INTERVAL * 2);
        // Looks for jobs whose back-off has ended since the last round; two
        // intervals allow for a late tick.
        self.needs_replan |=
            self.jobs.values().any(|job| job.backoff_until > last && job.backoff_until <= now);
        self.needs_replan |= !self.queue.is_empty() && self.is_share_check_due();
    }

    /// Waits for writes in flight, answers the requests that they record, and
    /// refuses the rest.
    async fn shut_down(mut self, mut background: JoinSet<Completion>) {
        const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
        let writes = async {
            while let Some(completion) = background.join_next().await {
                if let Ok(Completion::Page(index, Ok(_))) = completion {
                    for follow_up in std::mem::take(&mut self.pages[index].in_flight) {
                        if let FollowUp::Reply(reply, answer) = follow_up {
                            let _ = reply.send(Ok(answer));
                        }
                    }
                }
            }
        };
        let is_finished = tokio::time::timeout(SHUTDOWN_TIMEOUT, writes).await.is_ok();
        let failure = Failure::busy(HANDOVER_RETRY_AFTER, "the region has changed hands");
        for page in &mut self.pages {
            if !is_finished {
                // Writes that have not finished may still take effect. Dropping
                // the reply channels reports an unknown outcome to the callers.
                page.in_flight.clear();
            }
            page.refuse_all(&failure);
        }
    }
}

/// Returns a placeholder for a worker that only the ledger names.
fn placeholder_instance(name: &Name, region: &Name) -> Instance {
    Instance {
        name: name.clone(),
        address: Name::default(),
        kind: Kind::Worker,
        is_leaving: false,
        region: region.clone(),
        data_centre: Name::default(),
        rack: Name::default(),
    }
}
