//! Connections to the runners that this instance owns.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Name, Remedy, emit};
use platform::{Instance, Kind};
use route::Runner;
use target::{Claim, Link, Report, Stamp};
use tokio::task::JoinHandle;

use crate::process::{Context, RunnerHandle};

/// Long-poll time: a runner answers a claim after this time if nothing changes.
const CLAIM_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the next connection to a runner that does not answer.
const RETRY_BACKOFF: Duration = Duration::from_millis(250);

/// Validity of a claim, on the runner's clock.
const STAMP_TIMEOUT: Duration = Duration::from_secs(4);

/// Runner owned by this instance, with the task that maintains the claim.
struct OwnedRunner {
    instance: Instance,
    term: u64,
    task: JoinHandle<()>,
}

impl Drop for OwnedRunner {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Maintains claims on the runners that the divisions assign to this instance.
pub(crate) async fn maintain_runners(ctx: Arc<Context>) {
    let mut divisions = ctx.divisions.subscribe();
    let mut instances = ctx.instances.subscribe();
    let mut sessions: HashMap<Name, OwnedRunner> = HashMap::new();
    loop {
        let owned = owned_runners(&ctx);
        divisions.borrow_and_update();
        instances.borrow_and_update();
        sessions.retain(|name, session| {
            let is_retained =
                owned.get(name).is_some_and(|(i, _)| i.address == session.instance.address);
            if !is_retained {
                ctx.router.remove(name);
            }
            is_retained
        });
        for (name, (instance, term)) in owned {
            let known = sessions.get(&name);
            if known.is_some_and(|session| session.term == term && session.instance == instance) {
                continue;
            }
            let task = tokio::spawn(maintain_claim(Arc::clone(&ctx), instance.clone(), term));
            sessions.insert(name, OwnedRunner { instance, term, task });
        }
        tokio::select! {
            changed = divisions.changed() => if changed.is_err() { return },
            changed = instances.changed() => if changed.is_err() { return },
            () = ctx.timer.stopped() => return,
        }
    }
}

/// Returns the runners that this instance owns, with their terms.
fn owned_runners(ctx: &Context) -> HashMap<Name, (Instance, u64)> {
    let divisions = Arc::clone(&ctx.divisions.borrow());
    let instances = Arc::clone(&ctx.instances.borrow());
    let runners = instances.iter().filter(|instance| instance.kind == Kind::Runner);
    runners
        .filter_map(|instance| {
            let division = divisions.get(&instance.region)?;
            let is_mine = division.owner(&instance.name) == Some(&ctx.name);
            is_mine.then(|| (instance.name.clone(), (instance.clone(), division.term)))
        })
        .collect()
}

/// Renews the claim on a runner and updates the runner in the router, until a
/// higher term fences this owner.
async fn maintain_claim(ctx: Arc<Context>, instance: Instance, term: u64) {
    let mut answered_at = Instant::now();
    let mut runner_clock = Duration::ZERO;
    let mut last_revision = 0;
    let mut is_silent = false;
    loop {
        let Ok(link) = ctx.connector.link(&instance.address) else {
            return;
        };
        // The first claim of a connection only reads: the runner's clock is not
        // known yet.
        let mut lease = Duration::ZERO;
        loop {
            let claim = claim(&ctx, term, runner_clock + STAMP_TIMEOUT, lease, last_revision);
            match link.claim(claim).await {
                Ok(report) => {
                    if is_silent || last_revision == 0 {
                        emit!(ctx.log, info, TargetClaimed; "runner" => %instance.name,
                            "term" => term, "slots" => report.slots);
                    }
                    answered_at = Instant::now();
                    is_silent = false;
                    runner_clock = report.now;
                    last_revision = report.revision.max(1);
                    lease = ctx.settings.lease();
                    update_router(&ctx, &instance, term, &link, &report);
                }
                Err(failure) if failure.remedy == Remedy::Reread => {
                    emit!(ctx.log, warn, TargetFenced; "runner" => %instance.name, "term" => term);
                    ctx.router.close(&instance.name);
                    return;
                }
                Err(_) => break,
            }
        }
        let silence_timeout = Duration::from_millis(ctx.settings.targets.silent_ms);
        if !is_silent && answered_at.elapsed() >= silence_timeout {
            is_silent = true;
            ctx.router.close(&instance.name);
            emit!(ctx.log, warn, TargetSilent; "runner" => %instance.name);
        }
        tokio::time::sleep(RETRY_BACKOFF).await;
    }
}

fn claim(
    ctx: &Context,
    term: u64,
    not_after: Duration,
    lease: Duration,
    seen_revision: u64,
) -> Claim {
    let is_read_only = lease.is_zero();
    let not_after = if is_read_only { Duration::ZERO } else { not_after };
    let wait = if is_read_only { Duration::ZERO } else { CLAIM_POLL_TIMEOUT };
    let stamp = Stamp { owner: ctx.name.clone(), term, not_after };
    Claim { stamp, lease, wait, seen_revision, forget: Vec::new() }
}

fn update_router(
    ctx: &Context,
    instance: &Instance,
    term: u64,
    link: &Arc<dyn Link>,
    report: &Report,
) {
    let prefix = ctx.attempt_id_prefix();
    let inherited = report.calls.iter().filter(|call| !call.starts_with(&prefix)).count();
    ctx.router.upsert(Runner {
        name: instance.name.clone(),
        data_centre: instance.data_centre.clone(),
        services: report.services.clone(),
        slots: report.slots,
        inherited: inherited as u32,
        is_open: !instance.is_leaving,
        handle: RunnerHandle { link: Arc::clone(link), term },
    });
}
