//! The connections to runners.

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

/// Time that a runner holds a claim back when nothing changes.
const CLAIM_WAIT: Duration = Duration::from_secs(1);

/// Time between attempts at a runner that doesn't answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time for which a claim is valid, on the runner's clock.
const VALIDITY: Duration = Duration::from_secs(4);

/// A `Holding` is one runner that this instance owns.
struct Holding {
    instance: Instance,
    term: u64,
    task: JoinHandle<()>,
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Holds the runners that the divisions give to this instance.
pub(crate) async fn maintain_runners(ctx: Arc<Context>) {
    let mut divisions = ctx.divisions.subscribe();
    let mut instances = ctx.instances.subscribe();
    let mut holdings: HashMap<Name, Holding> = HashMap::new();
    loop {
        let mine = owned(&ctx);
        divisions.borrow_and_update();
        instances.borrow_and_update();
        holdings.retain(|name, holding| {
            let keeps = mine.get(name).is_some_and(|(i, _)| i.address == holding.instance.address);
            if !keeps {
                ctx.router.remove(name);
            }
            keeps
        });
        for (name, (instance, term)) in mine {
            let known = holdings.get(&name);
            if known.is_some_and(|h| h.term == term && h.instance == instance) {
                continue;
            }
            let task = tokio::spawn(hold_runner(Arc::clone(&ctx), instance.clone(), term));
            holdings.insert(name, Holding { instance, term, task });
        }
        tokio::select! {
            changed = divisions.changed() => if changed.is_err() { return },
            changed = instances.changed() => if changed.is_err() { return },
            () = ctx.timer.stopped() => return,
        }
    }
}

/// Gets the runners that this instance owns with their terms.
fn owned(ctx: &Context) -> HashMap<Name, (Instance, u64)> {
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

/// Claims a runner over and over and keeps its place in the router.
async fn hold_runner(ctx: Arc<Context>, instance: Instance, term: u64) {
    let mut answered_at = Instant::now();
    let mut clock = Duration::ZERO;
    let mut seen = 0;
    let mut is_silent = false;
    loop {
        let Ok(link) = ctx.connector.link(&instance.address) else {
            return;
        };
        // Without its clock the first claim of a connection only reads.
        let mut lease = Duration::ZERO;
        loop {
            let claim = claim(&ctx, term, clock + VALIDITY, lease, seen);
            match link.claim(claim).await {
                Ok(report) => {
                    if is_silent || seen == 0 {
                        emit!(ctx.log, info, TargetClaimed; "runner" => %instance.name,
                            "term" => term, "slots" => report.slots);
                    }
                    answered_at = Instant::now();
                    is_silent = false;
                    clock = report.now;
                    seen = report.revision.max(1);
                    lease = ctx.settings.lease();
                    enter(&ctx, &instance, term, &link, &report);
                }
                Err(failure) if failure.remedy == Remedy::Reread => {
                    emit!(ctx.log, warn, TargetFenced; "runner" => %instance.name, "term" => term);
                    ctx.router.close(&instance.name);
                    return;
                }
                Err(_) => break,
            }
        }
        let silent_after = Duration::from_millis(ctx.settings.targets.silent_ms);
        if !is_silent && answered_at.elapsed() >= silent_after {
            is_silent = true;
            ctx.router.close(&instance.name);
            emit!(ctx.log, warn, TargetSilent; "runner" => %instance.name);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn claim(
    ctx: &Context,
    term: u64,
    not_after: Duration,
    lease: Duration,
    seen_revision: u64,
) -> Claim {
    let is_reading = lease.is_zero();
    let not_after = if is_reading { Duration::ZERO } else { not_after };
    let wait = if is_reading { Duration::ZERO } else { CLAIM_WAIT };
    let stamp = Stamp { owner: ctx.name.clone(), term, not_after };
    Claim { stamp, lease, wait, seen_revision, forget: Vec::new() }
}

fn enter(ctx: &Context, instance: &Instance, term: u64, link: &Arc<dyn Link>, report: &Report) {
    let prefix = ctx.attempt_id_prefix();
    let foreign = report.calls.iter().filter(|call| !call.starts_with(&prefix)).count();
    ctx.router.upsert(Runner {
        name: instance.name.clone(),
        data_centre: instance.data_centre.clone(),
        services: report.services.clone(),
        slots: report.slots,
        inherited: foreign as u32,
        is_open: !instance.is_leaving,
        handle: RunnerHandle { link: Arc::clone(link), term },
    });
}
