//! Requests to the placer of a region, wherever it runs.

use std::time::{Duration, Instant};

use base::{Failure, Name, Remedy, Result};
use wire::{PeerReply, PeerRequest};

use crate::{process::Context, request::answer::answer_here};

/// Time for a request, repeats included.
const PATIENCE: Duration = Duration::from_secs(5);

/// Time for which one attempt may wait.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);

/// Time between repeats while the region changes hands.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Sends a request to the placer of a region. It is repeated while the region
/// changes hands, so it must be idempotent.
///
/// # Errors
/// Fails with what the placer answers, or after a few seconds. If any attempt
/// may have run, the failure says so.
pub(crate) async fn ask_placer(
    ctx: &Context,
    region: &Name,
    ask: PeerRequest,
) -> Result<PeerReply> {
    let deadline = Instant::now() + PATIENCE;
    let mut doubt = None;
    loop {
        let failure = match ask_once(ctx, region, ask.clone()).await {
            Ok(tell) => return Ok(tell),
            Err(failure) => failure,
        };
        let repeats = match failure.remedy {
            Remedy::Retry(_) => true,
            Remedy::Reconcile => {
                doubt = Some(failure.clone());
                true
            }
            Remedy::Fix | Remedy::Authenticate | Remedy::Find | Remedy::Reread => false,
        };
        if !repeats || Instant::now() + REPEAT_PAUSE > deadline {
            return Err(doubt.unwrap_or(failure));
        }
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
}

/// Sends a request to the placer of a region once.
pub(crate) async fn ask_once(ctx: &Context, region: &Name, ask: PeerRequest) -> Result<PeerReply> {
    let placer = ctx.divisions.borrow().get(region).map(|division| division.placer.clone());
    match placer {
        None => Err(Failure::not_found(format!("no instance places in region `{region}`"))),
        Some(placer) if placer == ctx.name => {
            match tokio::time::timeout(ATTEMPT_TIMEOUT, answer_here(ctx, ask)).await {
                Ok(answer) => answer,
                Err(_) => Err(Failure::unknown("the placer did not answer in time")),
            }
        }
        Some(placer) => ctx.peers.request(&placer, ask, ATTEMPT_TIMEOUT).await,
    }
}

/// Gets the region that is part of a job's id.
///
/// # Errors
/// Fails if the text is no id of a job.
pub(crate) fn region_of(job: &str) -> Result<Name> {
    let (region, _) = job
        .split_once(':')
        .ok_or_else(|| Failure::invalid("job: must be an id as submit gave it"))?;
    Ok(region.into())
}
