//! Connection to a worker.

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

/// Long-poll time: a worker answers a claim after this time if nothing changes.
const CLAIM_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Validity of a request, on the worker's clock.
const STAMP_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay before the next connection to a worker that does not answer.
const RETRY_BACKOFF: Duration = Duration::from_millis(250);

/// Reason why a session ended.
enum SessionEnd {
    /// The connection broke; a new one is opened.
    Broken,
    /// The worker has accepted a claim of a higher term.
    Fenced,
    /// The placer no longer needs the connection.
    Closed,
}

/// Renews the lease of a worker, passes the worker's reports to the placer and
/// the placer's commands to the worker, until the placer closes the command
/// channel or a higher term fences this owner.
pub(crate) async fn run_worker_session(
    ctx: Arc<Context>,
    instance: Instance,
    term: u64,
    placer: mpsc::Sender<Command>,
    mut commands: mpsc::Receiver<WorkerCommand>,
) {
    let Ok(link) = ctx.connector.link(&instance.address) else {
        return;
    };
    let mut session = Session::new(ctx, instance, term, placer, link);
    loop {
        match session.serve(&mut commands).await {
            SessionEnd::Closed => return,
            SessionEnd::Fenced => {
                let worker = session.name.clone();
                let _ = session.placer.send(Command::Fenced { worker }).await;
                return;
            }
            SessionEnd::Broken => {
                session.report_silence().await;
                session.reject_queued(&mut commands).await;
                tokio::time::sleep(RETRY_BACKOFF).await;
                // The old connection may be stuck while the worker is healthy,
                // so a new one is opened.
                if let Ok(link) = session.ctx.connector.link(&session.address) {
                    session.link = link;
                }
            }
        }
    }
}

struct Session {
    ctx: Arc<Context>,
    name: Name,
    address: Name,
    term: u64,
    placer: mpsc::Sender<Command>,
    link: Arc<dyn Link>,
    /// Reading of the worker's clock, with the local time of that reading.
    clock: Option<(Duration, Instant)>,
    answered_at: Instant,
    /// Time until which the worker may hold a lease or accept a start.
    lease_end: Instant,
    is_silence_reported: bool,
    is_lapse_reported: bool,
    last_revision: u64,
    forget: Vec<AttemptId>,
}

impl Session {
    fn new(
        ctx: Arc<Context>,
        instance: Instance,
        term: u64,
        placer: mpsc::Sender<Command>,
        link: Arc<dyn Link>,
    ) -> Self {
        let targets = &ctx.settings.targets;
        // A previous owner without the key-value service may have renewed the
        // lease for `isolated_ms`, and the last renewal runs for `lease_ms`.
        let earlier_lease = Duration::from_millis(targets.isolated_ms + targets.lease_ms);
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
            lease_end: now + earlier_lease + margin,
            is_silence_reported: false,
            is_lapse_reported: false,
            last_revision: 0,
            forget: Vec::new(),
            ctx,
        }
    }

    async fn serve(&mut self, commands: &mut mpsc::Receiver<WorkerCommand>) -> SessionEnd {
        // The first claim only reads: it returns the worker's clock and the
        // attempts that run, which must be known before anything is placed.
        let first = self.claim(Duration::ZERO, Duration::ZERO).await;
        if let Err(end) = self.handle(first).await {
            return end;
        }
        loop {
            let lease = self.next_lease();
            let link = Arc::clone(&self.link);
            let claim = link.claim(self.next_claim(lease, CLAIM_POLL_TIMEOUT));
            tokio::pin!(claim);
            loop {
                tokio::select! {
                    answer = &mut claim => {
                        if let Err(end) = self.handle(answer).await {
                            return end;
                        }
                        break;
                    }
                    command = commands.recv() => {
                        let Some(command) = command else {
                            return SessionEnd::Closed;
                        };
                        self.execute(command).await;
                    }
                }
            }
        }
    }

    /// Returns the lease to request: zero once the key-value service has been
    /// silent for `isolated_ms`, since a new owner relies on renewals having
    /// stopped by then.
    fn next_lease(&self) -> Duration {
        let isolated = Duration::from_millis(self.ctx.settings.targets.isolated_ms);
        if self.ctx.store.age() < isolated { self.ctx.settings.lease() } else { Duration::ZERO }
    }

    async fn claim(&mut self, lease: Duration, wait: Duration) -> Result<Report> {
        let claim = self.next_claim(lease, wait);
        self.link.claim(claim).await
    }

    fn next_claim(&mut self, lease: Duration, wait: Duration) -> Claim {
        let stamp = if lease.is_zero() { self.read_only_stamp() } else { self.stamp() };
        if !lease.is_zero() {
            // The worker may accept the claim up to the end of its validity.
            let margin = Duration::from_millis(self.ctx.settings.targets.margin_ms);
            self.lease_end = Instant::now() + STAMP_TIMEOUT + lease + margin;
        }
        let forget = std::mem::take(&mut self.forget);
        Claim { stamp, lease, wait, seen_revision: self.last_revision, forget }
    }

    fn stamp(&self) -> Stamp {
        let now = self.clock.map_or(Duration::ZERO, |(clock, at)| clock + at.elapsed());
        Stamp { owner: self.ctx.name.clone(), term: self.term, not_after: now + STAMP_TIMEOUT }
    }

    fn read_only_stamp(&self) -> Stamp {
        Stamp { owner: self.ctx.name.clone(), term: self.term, not_after: Duration::ZERO }
    }

    async fn handle(&mut self, answer: Result<Report>) -> Result<(), SessionEnd> {
        let report = match answer {
            Ok(report) => report,
            Err(failure) => return Err(session_end(&failure)),
        };
        let now = Instant::now();
        self.clock = Some((report.now, now));
        self.answered_at = now;
        self.last_revision = report.revision;
        self.is_silence_reported = false;
        self.is_lapse_reported = false;
        let worker = self.name.clone();
        let command = Command::Report { worker, report: Box::new(report) };
        self.placer.send(command).await.map_err(|_| SessionEnd::Closed)
    }

    async fn execute(&mut self, command: WorkerCommand) {
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
        // A start may still arrive after the lease has lapsed, up to the end of
        // its validity.
        let margin = Duration::from_millis(self.ctx.settings.targets.margin_ms);
        self.lease_end = self.lease_end.max(Instant::now() + STAMP_TIMEOUT + margin);
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
        // A lost command is repeated when a report still shows the attempt.
        let _ = self.link.control(self.stamp(), control).await;
    }

    /// Reports to the placer, once each, that the worker has been silent for
    /// `silent_ms` and that the worker's lease has certainly lapsed.
    async fn report_silence(&mut self) {
        let silence_timeout = Duration::from_millis(self.ctx.settings.targets.silent_ms);
        if !self.is_silence_reported && self.answered_at.elapsed() >= silence_timeout {
            self.is_silence_reported = true;
            let _ = self.placer.send(Command::Silent { worker: self.name.clone() }).await;
        }
        if !self.is_lapse_reported && Instant::now() >= self.lease_end {
            self.is_lapse_reported = true;
            let _ = self.placer.send(Command::Lapsed { worker: self.name.clone() }).await;
        }
    }

    /// Reports queued starts as not run: the connection broke before they were
    /// sent.
    async fn reject_queued(&mut self, commands: &mut mpsc::Receiver<WorkerCommand>) {
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

fn session_end(failure: &Failure) -> SessionEnd {
    match failure.remedy {
        Remedy::Reread => SessionEnd::Fenced,
        _ => SessionEnd::Broken,
    }
}
