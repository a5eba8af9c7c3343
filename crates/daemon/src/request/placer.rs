//! Requests to the placer of a region, at this instance or a peer.

use std::time::{Duration, Instant};

use base::{Failure, Name, Remedy, Result};
use wire::{PeerReply, PeerRequest};

use crate::{process::Context, request::answer::handle_locally};

/// Limit on a request, retries included.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Limit on one attempt at a request, without retries.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);

/// Time between retries while the region is handed over to another placer.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Sends a request to the placer of a region, with retries while the region is
/// handed over. The request must be idempotent.
///
/// # Errors
/// Returns the placer's failure, or the last one after [`REQUEST_TIMEOUT`]. If
/// any attempt may have run, the returned failure says so.
pub(crate) async fn request_placer(
    ctx: &Context,
    region: &Name,
    request: PeerRequest,
) -> Result<PeerReply> {
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let mut unknown_outcome = None;
    loop {
        let failure = match request_placer_once(ctx, region, request.clone()).await {
            Ok(reply) => return Ok(reply),
            Err(failure) => failure,
        };
        let is_retryable = match failure.remedy {
            Remedy::Retry(_) => true,
            Remedy::Reconcile => {
                unknown_outcome = Some(failure.clone());
                true
            }
            Remedy::Fix | Remedy::Authenticate | Remedy::Find | Remedy::Reread => false,
        };
        if !is_retryable || Instant::now() + RETRY_INTERVAL > deadline {
            return Err(unknown_outcome.unwrap_or(failure));
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Sends a request to the placer of a region, without retries.
///
/// # Errors
/// Fails if the region has no placer or the placer cannot be reached. If no
/// reply arrives in time, the request may have run.
pub(crate) async fn request_placer_once(
    ctx: &Context,
    region: &Name,
    request: PeerRequest,
) -> Result<PeerReply> {
    let placer = ctx.divisions.borrow().get(region).map(|division| division.placer.clone());
    match placer {
        None => Err(Failure::not_found(format!("no instance places in region `{region}`"))),
        Some(placer) if placer == ctx.name => {
            match tokio::time::timeout(ATTEMPT_TIMEOUT, handle_locally(ctx, request)).await {
                Ok(result) => result,
                Err(_) => Err(Failure::unknown("the placer did not answer in time")),
            }
        }
        Some(placer) => ctx.peers.request(&placer, request, ATTEMPT_TIMEOUT).await,
    }
}

/// Returns the region in a job id.
///
/// # Errors
/// Fails if the text is not a job id.
pub(crate) fn parse_region(job: &str) -> Result<Name> {
    let (region, _) = job
        .split_once(':')
        .ok_or_else(|| Failure::invalid("job: must be an id as submit gave it"))?;
    Ok(region.into())
}
