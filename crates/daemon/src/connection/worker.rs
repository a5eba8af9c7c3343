//! The connection to one worker.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Failure, Name, Remedy, Result};
use platform::Instance;
use target::{AttemptId, Claim, Control, Link, Report, Stamp, Start};
use tokio::sync::mpsc;

use crate::{
    process::Context,
    version::{Command, StartResult, WorkerCommand},
};

/// Time that a worker holds a claim back when nothing changes.
const CLAIM_WAIT: Duration = Duration::from_secs(1);

/// Time for which a request is valid, on the worker's clock.
const VALIDITY: Duration = Duration::from_secs(4);

/// Time between attempts at a worker that doesn't answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Why serving a connection came to an end.
enum Stop {
    /// The connection broke; a new one is tried.
    Broken,
    /// The worker has seen a higher term.
    Fenced,
    /// The placer no longer needs the connection.
    Closed,
}

/// Holds the lease of a worker and passes on what it reports and what its
/// placer wants, until the placer drops the other end.
pub(crate) async fn hold_worker(
    ctx: Arc<Context>,
    instance: Instance,
    term: u64,
    placer: mpsc::Sender<Command>,
    mut commands: mpsc::Receiver<WorkerCommand>,
) {
    let Ok(link) = ctx.connector.link(&instance.address) else {
        return;
    };
    let mut holder = Holder::new(ctx, instance, term, placer, link);
    loop {
        match holder.serve(&mut commands).await {
            Stop::Closed => return,
            Stop::Fenced => {
                let worker = holder.name.clone();
                let _ = holder.placer.send(Command::Fenced { worker }).await;
                return;
            }
            Stop::Broken => {
                holder.note_silence().await;
                holder.refuse_waiting(&mut commands).await;
                tokio::time::sleep(RETRY_PAUSE).await;
                // A new connection is tried: the old one may have gone silent
                // while the worker is well.
                if let Ok(link) = holder.ctx.connector.link(&holder.address) {
                    holder.link = link;
                }
            }
        }
    }
}

struct Holder {
    ctx: Arc<Context>,
    name: Name,
    address: Name,
    term: u64,
    placer: mpsc::Sender<Command>,
    link: Arc<dyn Link>,
    /// The worker's clock at a moment of ours.
    clock: Option<(Duration, Instant)>,
    answered_at: Instant,
    /// Until when the worker's lease may run.
    lease_end: Instant,
    silent: bool,
    lapsed: bool,
    seen: u64,
    forget: Vec<AttemptId>,
}

impl Holder {
    fn new(
        ctx: Arc<Context>,
        instance: Instance,
        term: u64,
        placer: mpsc::Sender<Command>,
        link: Arc<dyn Link>,
    ) -> Self {
        let targets = &ctx.settings.targets;
        // An earlier owner that lost the key-value service may have gone on
        // renewing the lease for that long.
        let earlier = Duration::from_millis(targets.isolated_ms + targets.lease_ms);
        let margin = Duration::from_millis(targets.margin_ms);
        let now = Instant::now();
        Self {
            name: instance.name,
            address: instance.address,
            term,
            placer,
            link,
            clock: None,
            answered_at: now,
            lease_end: now + earlier + margin,
            silent: false,
            lapsed: false,
            seen: 0,
            forget: Vec::new(),
            ctx,
        }
    }

    async fn serve(&mut self, commands: &mut mpsc::Receiver<WorkerCommand>) -> Stop {
        // The first claim only reads: it brings the worker's clock and settles
        // what runs before anything is placed there.
        let first = self.claim(Duration::ZERO, Duration::ZERO).await;
        if let Err(stop) = self.take(first).await {
            return stop;
        }
        loop {
            let lease = self.lease();
            let link = Arc::clone(&self.link);
            let claim = link.claim(self.next_claim(lease, CLAIM_WAIT));
            tokio::pin!(claim);
            loop {
                tokio::select! {
                    answer = &mut claim => {
                        if let Err(stop) = self.take(answer).await {
                            return stop;
                        }
                        break;
                    }
                    command = commands.recv() => {
                        let Some(command) = command else {
                            return Stop::Closed;
                        };
                        self.obey(command).await;
                    }
                }
            }
        }
    }

    /// Gets the lease to ask for: none once this owner may have been replaced
    /// for so long that the next one no longer waits.
    fn lease(&self) -> Duration {
        let isolated = Duration::from_millis(self.ctx.settings.targets.isolated_ms);
        if self.ctx.store.age() < isolated { self.ctx.settings.lease() } else { Duration::ZERO }
    }

    async fn claim(&mut self, lease: Duration, wait: Duration) -> Result<Report> {
        let claim = self.next_claim(lease, wait);
        self.link.claim(claim).await
    }

    fn next_claim(&mut self, lease: Duration, wait: Duration) -> Claim {
        let stamp = if lease.is_zero() { self.reading_stamp() } else { self.stamp() };
        if !lease.is_zero() {
            // The worker may take the claim as late as it is valid.
            let margin = Duration::from_millis(self.ctx.settings.targets.margin_ms);
            self.lease_end = Instant::now() + VALIDITY + lease + margin;
        }
        let forget = std::mem::take(&mut self.forget);
        Claim { stamp, lease, wait, seen_revision: self.seen, forget }
    }

    fn stamp(&self) -> Stamp {
        let now = self.clock.map_or(Duration::ZERO, |(clock, at)| clock + at.elapsed());
        Stamp { owner: self.ctx.name.clone(), term: self.term, not_after: now + VALIDITY }
    }

    fn reading_stamp(&self) -> Stamp {
        Stamp { owner: self.ctx.name.clone(), term: self.term, not_after: Duration::ZERO }
    }

    async fn take(&mut self, answer: Result<Report>) -> Result<(), Stop> {
        let report = match answer {
            Ok(report) => report,
            Err(failure) => return Err(stop_of(&failure)),
        };
        let now = Instant::now();
        self.clock = Some((report.now, now));
        self.answered_at = now;
        self.seen = report.revision;
        self.silent = false;
        self.lapsed = false;
        let worker = self.name.clone();
        let command = Command::Report { worker, report: Box::new(report) };
        self.placer.send(command).await.map_err(|_| Stop::Closed)
    }

    async fn obey(&mut self, command: WorkerCommand) {
        match command {
            WorkerCommand::Start(starts) => self.start(starts).await,
            WorkerCommand::Control(control) => self.control(control).await,
            WorkerCommand::Forget(ids) => self.forget.extend(ids),
        }
    }

    async fn start(&mut self, starts: Vec<Start>) {
        let ids: Vec<_> = starts.iter().map(|start| start.id.clone()).collect();
        let stamp = self.stamp();
        let not_after = stamp.not_after;
        // The lapse of the lease says nothing of a start that may still arrive.
        let margin = Duration::from_millis(self.ctx.settings.targets.margin_ms);
        self.lease_end = self.lease_end.max(Instant::now() + VALIDITY + margin);
        let results = match self.link.start(stamp, starts).await {
            Ok(outcomes) => outcomes.into_iter().map(StartResult::Answered).collect(),
            Err(failure) if failure.is_not_run() => vec![StartResult::NotRun; ids.len()],
            Err(_) => vec![StartResult::Unknown; ids.len()],
        };
        let results = ids.into_iter().zip(results).collect();
        let worker = self.name.clone();
        let _ = self.placer.send(Command::StartResults { worker, not_after, results }).await;
    }

    async fn control(&mut self, control: Control) {
        // A lost order is repeated when a report still shows the attempt.
        let _ = self.link.control(self.stamp(), control).await;
    }

    /// Tells the placer when the worker has been silent for long, and when its
    /// lease has surely lapsed.
    async fn note_silence(&mut self) {
        let silent_after = Duration::from_millis(self.ctx.settings.targets.silent_ms);
        if !self.silent && self.answered_at.elapsed() >= silent_after {
            self.silent = true;
            let _ = self.placer.send(Command::Silent { worker: self.name.clone() }).await;
        }
        if !self.lapsed && Instant::now() >= self.lease_end {
            self.lapsed = true;
            let _ = self.placer.send(Command::Lapsed { worker: self.name.clone() }).await;
        }
    }

    /// Answers starts that wait for a broken connection: they were not sent.
    async fn refuse_waiting(&mut self, commands: &mut mpsc::Receiver<WorkerCommand>) {
        while let Ok(command) = commands.try_recv() {
            match command {
                WorkerCommand::Start(starts) => {
                    let results =
                        starts.into_iter().map(|start| (start.id, StartResult::NotRun)).collect();
                    let command = Command::StartResults {
                        worker: self.name.clone(),
                        not_after: Duration::ZERO,
                        results,
                    };
                    let _ = self.placer.send(command).await;
                }
                WorkerCommand::Forget(ids) => self.forget.extend(ids),
                // Repeated when a report still shows the attempt.
                WorkerCommand::Control(_) => {}
            }
        }
    }
}

fn stop_of(failure: &Failure) -> Stop {
    match failure.remedy {
        Remedy::Reread => Stop::Fenced,
        _ => Stop::Broken,
    }
}
