//! The main loop of a placer.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use base::{Failure, Name, emit};
use place::Cell;
use platform::{Instance, Kind, Store};
use quota::{Allowances, Order};
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
};

use crate::{
    process::Context,
    version::{
        ledger::{Superseded, Writer, acquire},
        placer::{
            admissions::{Admissions, SLOTS},
            command::{Command, WorkerCommand},
            job::{Job, Phase, TaskState},
            limits::{ALLOWANCE_KEY, Adjusted, Limits},
            page::{Page, PageRecord, Then},
            state::Placer,
            worker::Held,
        },
    },
};

/// Time between rounds of upkeep.
const UPKEEP_PERIOD: Duration = Duration::from_millis(100);

/// Commands that are handled before decisions are made.
const COMMANDS_PER_ROUND: usize = 4096;

/// Time after which a request that lost its placer may be sent again.
const LOST_RETRY: Duration = Duration::from_millis(500);

/// A `Done` is a piece of work that runs beside the main loop.
pub(crate) enum Done {
    /// A page of jobs was written.
    Page(usize, Result<Writer, Superseded>),
    /// A page of admissions was written.
    Admissions(usize, Result<Writer, Superseded>),
    /// The allowances were read or written.
    Allowances(Adjusted),
}

/// Runs the placer of a region until it is stopped or another one has taken
/// the region.
pub(crate) async fn run_placer(
    ctx: Arc<Context>,
    region: Name,
    term: u64,
    sender: mpsc::Sender<Command>,
    mut commands: mpsc::Receiver<Command>,
    mut stop: watch::Receiver<bool>,
) {
    let taken = tokio::select! {
        taken = Placer::take_over(Arc::clone(&ctx), region.clone(), term, sender) => taken,
        _ = stop.wait_for(|stopped| *stopped) => return,
    };
    let Ok(mut placer) = taken else {
        emit!(ctx.log, warn, LedgerLost; "region" => %region, "term" => term);
        return;
    };
    emit!(ctx.log, info, PlacerStarted; "region" => %region, "term" => term,
        "jobs" => placer.jobs.len());

    let mut work: JoinSet<Done> = JoinSet::new();
    let mut ticks = ctx.timer.every(UPKEEP_PERIOD);
    let mut instances = ctx.instances.subscribe();
    let mut configs = ctx.configs.subscribe();
    placer.update_list(&instances.borrow_and_update().clone());
    loop {
        let lost = tokio::select! {
            biased;
            _ = stop.wait_for(|stopped| *stopped) => break,
            Some(Ok(done)) = work.join_next() => placer.finish(done).is_err(),
            Ok(()) = instances.changed() => {
                placer.update_list(&instances.borrow_and_update().clone());
                false
            }
            Ok(()) = configs.changed() => {
                configs.borrow_and_update();
                placer.replan = true;
                false
            }
            Some(command) = commands.recv() => {
                let mut fenced = placer.handle(command);
                for _ in 0..COMMANDS_PER_ROUND {
                    let Ok(command) = commands.try_recv() else { break };
                    fenced |= placer.handle(command);
                }
                fenced
            }
            tick = ticks.next() => {
                if tick.is_none() {
                    break;
                }
                placer.keep_up(&mut work);
                false
            }
        };
        if lost {
            emit!(ctx.log, warn, LedgerLost; "region" => %region, "term" => term);
            break;
        }
        placer.decide();
        placer.write_pages(&mut work);
    }
    placer.wind_down(work).await;
}

impl Placer {
    /// Takes the region's ledger and reads what an earlier placer left there.
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
            let taken = acquire(&ctx.store, key, term, ctx.name.clone()).await?;
            pages.push(Page::new(taken.sheet));
            // A page that can't be read is never overwritten.
            let read = PageRecord::decode(&taken.body).and_then(|r| r.into_jobs(number));
            match read {
                Ok(read) => jobs.extend(read),
                Err(fault) => {
                    emit!(ctx.log, error, StoreFailed; "region" => %region, "page" => number,
                        "reason" => %fault);
                    return Err(Superseded);
                }
            }
        }
        let mut admissions = Admissions::default();
        for number in 0..SLOTS {
            let key = format!("calls/{region}/{number}");
            let taken = acquire(&ctx.store, key, term, ctx.name.clone()).await?;
            admissions.load(taken.sheet, &taken.body);
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
            order: Order::default(),
            allowances,
            limits: Limits::default(),
            short: HashMap::new(),
            replan: true,
            preempted_at: HashMap::new(),
            look_from: 0,
            reservations: HashMap::new(),
            gang_room_until: Duration::ZERO,
            share_checked_at: Duration::ZERO,
            started_at: ctx.timer.now(),
            ctx,
        };
        for job in jobs {
            placer.adopt(job);
        }
        Ok(placer)
    }

    /// Takes in a job that an earlier placer recorded. What it has on workers
    /// counts as running until a report settles it.
    fn adopt(&mut self, job: Job) {
        let id = job.id.clone();
        for (index, task) in (0..).zip(&job.tasks) {
            if let TaskState::Assigned(assigned) = &task.state {
                self.order.add(&job.team, job.spec.request.size);
                let held = self
                    .workers
                    .entry(assigned.worker.clone())
                    .or_insert_with(|| Held::new(unlisted(&assigned.worker, &self.region), None));
                held.boot = assigned.boot;
                held.tasks.insert((id.clone(), index));
            }
        }
        let cancelled = job.cancelled;
        self.jobs.insert(id.clone(), job);
        if cancelled {
            self.stop_all(&id);
        } else {
            self.enqueue(&id);
        }
    }

    /// Takes in a piece of work that ran beside the main loop.
    fn finish(&mut self, done: Done) -> Result<(), Superseded> {
        match done {
            Done::Page(number, sheet) => {
                let page = &mut self.pages[number];
                page.sheet = Some(sheet?);
                let thens = std::mem::take(&mut page.under_way);
                self.follow(thens);
            }
            Done::Admissions(number, sheet) => self.admissions.written(number, sheet?),
            Done::Allowances(adjusted) => self.take_allowances(adjusted),
        }
        Ok(())
    }

    /// Does what was to follow a write.
    fn follow(&mut self, thens: Vec<Then>) {
        let mut starts: HashMap<Name, Vec<_>> = HashMap::new();
        let mut forgets: HashMap<Name, Vec<_>> = HashMap::new();
        for then in thens {
            match then {
                Then::Reply(reply, tell) => {
                    let _ = reply.send(Ok(tell));
                }
                Then::Start(worker, start) => {
                    if self.begin_sending(&start.id) {
                        starts.entry(worker).or_default().push(start);
                    }
                }
                Then::Forget(worker, id) => forgets.entry(worker).or_default().push(id),
            }
        }
        for (worker, starts) in starts {
            let ids: Vec<_> = starts.iter().map(|start| start.id.clone()).collect();
            let sent =
                self.workers.get(&worker).is_some_and(|h| h.send(WorkerCommand::Start(starts)));
            if !sent {
                for id in ids {
                    self.settle_not_run(&id);
                }
            }
        }
        for (worker, ids) in forgets {
            if let Some(held) = self.workers.get(&worker) {
                held.send(WorkerCommand::Forget(ids));
            }
        }
    }

    /// Marks a recorded attempt as being sent; `false` if it is no longer
    /// wanted.
    fn begin_sending(&mut self, id: &target::AttemptId) -> bool {
        let now_ms = self.ctx.unix_ms();
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return false;
        };
        if job.tasks.get(id.index as usize).is_none_or(|task| task.attempt != id.attempt) {
            return false;
        }
        let accepted_ms = job.accepted_ms;
        let Some(assigned) = job.assigned_mut(id.index) else {
            return false;
        };
        if assigned.phase != Phase::Recording {
            return false;
        }
        assigned.phase = Phase::Sending;
        let waited_ms = now_ms.saturating_sub(accepted_ms);
        if job.first_start_ms.is_none() {
            job.first_start_ms = Some(waited_ms);
            // A later placer is to know the wait too.
            let page = job.page;
            self.pages[page].dirty = true;
        }
        self.ctx.counters.task_wait.observe(waited_ms as f64 / 1000.0);
        true
    }

    /// Handles a command; gets whether the placer is over.
    fn handle(&mut self, command: Command) -> bool {
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
            Command::Report { worker, report } => self.take_report(&worker, *report),
            Command::StartResults { worker, not_after, results } => {
                self.take_results(&worker, not_after, results);
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

    /// Starts writes of the pages that have changed.
    fn write_pages(&mut self, work: &mut JoinSet<Done>) {
        let now = self.ctx.timer.now();
        let least = Duration::from_millis(self.ctx.settings.ledger.flush_ms);
        for number in 0..self.pages.len() {
            let page = &self.pages[number];
            let is_due = page.written_at.is_none_or(|at| now >= at + least);
            if !page.dirty || !is_due || page.sheet.is_none() {
                continue;
            }
            let jobs = self.jobs.values().filter(|job| job.page == number);
            let body = PageRecord::new(jobs).encode();
            let page = &mut self.pages[number];
            let Some(sheet) = page.sheet.take() else {
                continue;
            };
            page.dirty = false;
            page.bytes = body.len();
            page.written_at = Some(now);
            page.under_way = std::mem::take(&mut page.next);
            let store = self.ctx.store.clone();
            work.spawn(async move { Done::Page(number, sheet.write(&store, body).await) });
        }
        for (number, sheet, body) in self.admissions.next_writes(now, least) {
            let store = self.ctx.store.clone();
            work.spawn(async move { Done::Admissions(number, sheet.write(&store, body).await) });
        }
    }

    /// Does what is due from time to time.
    fn keep_up(&mut self, work: &mut JoinSet<Done>) {
        self.forget_ended_jobs();
        self.probe_suspects();
        self.settle_gone();
        self.expire_reservations();
        self.admissions.expire(self.ctx.unix_ms());
        self.keep_limits(work);
        let now = self.ctx.timer.now();
        let last = now.saturating_sub(UPKEEP_PERIOD * 2);
        // Jobs that were held back after a failure come due.
        self.replan |= self.jobs.values().any(|job| job.hold_until > last && job.hold_until <= now);
        self.replan |= !self.queue.is_empty() && self.is_share_check_due();
    }

    /// Finishes the writes under way, so that who waits for them is answered,
    /// and refuses the rest.
    async fn wind_down(mut self, mut work: JoinSet<Done>) {
        const PATIENCE: Duration = Duration::from_secs(2);
        let writes = async {
            while let Some(done) = work.join_next().await {
                if let Ok(Done::Page(number, Ok(_))) = done {
                    for then in std::mem::take(&mut self.pages[number].under_way) {
                        if let Then::Reply(reply, tell) = then {
                            let _ = reply.send(Ok(tell));
                        }
                    }
                }
            }
        };
        let finished = tokio::time::timeout(PATIENCE, writes).await.is_ok();
        let failure = Failure::busy(LOST_RETRY, "the region has changed hands");
        for page in &mut self.pages {
            if !finished {
                // What is still being written may take effect: those who wait
                // for it learn that when their answers are dropped.
                page.under_way.clear();
            }
            page.refuse_all(&failure);
        }
    }
}

/// Gets a placeholder for a worker that only the ledger names.
fn unlisted(name: &Name, region: &Name) -> Instance {
    Instance {
        name: name.clone(),
        address: Name::default(),
        kind: Kind::Worker,
        leaving: false,
        region: region.clone(),
        data_centre: Name::default(),
        rack: Name::default(),
    }
}
