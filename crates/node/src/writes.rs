//! Recording of client requests.
//!
//! A frontend writes to the key-value service itself. If the write fails, the
//! frontend asks the leader to make the same write, which also settles whether
//! an unanswered write was made, because repeating it has no further effect.
//! After a failure, requests go to the leader first until a request of this
//! node succeeds again.

use std::{sync::atomic::Ordering, time::Duration};

use base::{Failure, Name, Result, clock};
use bytes::Bytes;
use platform::{Commit, CommitOutcome, Error, Revision, Write};
use tokio::time;
use work::Spec;

use crate::{
    context::{Context, RESEND_BACKOFF, RETRY_AFTER},
    keys,
    link::PeerFrame,
};

/// Timeout of one write. The key-value service normally answers in a few
/// milliseconds, and in about 300 ms when it is slow.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Records an accepted job. Has no effect if the job is already recorded,
/// because a job with the same id is a repeated request.
///
/// # Errors
/// A job that is too large for one value is refused without a write, because a
/// write that fails counts as a failure of the key-value service.
pub(crate) async fn submit(
    ctx: &Context,
    id: &Name,
    spec: &Spec,
    time_left: Duration,
) -> Result<()> {
    let boxed = || Box::new(spec.clone());
    let request = |number| PeerFrame::Submit { number, id: id.clone(), spec: boxed() };
    let commit = job_commit(id, spec);
    let size: usize = commit.writes.iter().map(|write| write.value.len()).sum();
    let max_size = ctx.settings.limits.job_bytes;
    if size > max_size {
        let reason = format!("the job takes {size} bytes to store, and may take {max_size}");
        return Err(Failure::invalid(reason));
    }
    let outcome = commit_or_forward(ctx, commit, request, time_left).await;
    if outcome.is_ok() {
        ctx.uplink.send(PeerFrame::Accepted(id.clone(), boxed()));
    }
    outcome
}

/// Records a cancellation.
pub(crate) async fn cancel(ctx: &Context, id: &Name, time_left: Duration) -> Result<()> {
    let request = |number| PeerFrame::Cancel { number, id: id.clone() };
    let outcome = commit_or_forward(ctx, cancellation_commit(id), request, time_left).await;
    if outcome.is_ok() {
        ctx.uplink.send(PeerFrame::Cancelled(id.clone()));
    }
    outcome
}

/// Records a job on behalf of another instance.
pub(crate) async fn submit_for_peer(ctx: &Context, id: &Name, spec: &Spec) -> Result<()> {
    commit_for_peer(ctx, job_commit(id, spec)).await
}

/// Records a cancellation on behalf of another instance.
pub(crate) async fn cancel_for_peer(ctx: &Context, id: &Name) -> Result<()> {
    commit_for_peer(ctx, cancellation_commit(id)).await
}

/// Makes a write on behalf of another instance. Fails at once without effect if
/// the last write of this node failed, so that the other instance need not
/// wait.
async fn commit_for_peer(ctx: &Context, commit: Commit) -> Result<()> {
    if ctx.is_store_failing.load(Ordering::Relaxed) {
        return Err(Failure::busy(RETRY_AFTER, "the key-value service fails the leader too"));
    }
    let outcome = try_commit(ctx, commit, WRITE_TIMEOUT).await;
    if outcome.is_err() {
        ctx.is_store_failing.store(true, Ordering::Relaxed);
    }
    outcome
}

fn job_commit(id: &str, spec: &Spec) -> Commit {
    let key = keys::job(id);
    let value = Bytes::from(work::encode(spec));
    Commit {
        // Of a finished job only the progress key is left.
        expected: vec![(key.clone(), Revision::ABSENT), (keys::progress(id), Revision::ABSENT)],
        writes: vec![Write { key, value, lease: None }],
        removals: Vec::new(),
    }
}

fn cancellation_commit(id: &str) -> Commit {
    let value = Bytes::from_static(b"1");
    let write = Write { key: keys::cancellation(id), value, lease: None };
    Commit { writes: vec![write], ..Commit::default() }
}

/// Makes a write directly or through the leader, or through both in turn.
async fn commit_or_forward(
    ctx: &Context,
    commit: Commit,
    request: impl FnOnce(u64) -> PeerFrame,
    time_left: Duration,
) -> Result<()> {
    let end = clock::now() + time_left;
    let left = || end.saturating_sub(clock::now());
    let mut may_have_run = false;
    if !ctx.is_store_failing.load(Ordering::Relaxed) {
        match try_commit(ctx, commit.clone(), WRITE_TIMEOUT.min(left())).await {
            Ok(()) => return Ok(()),
            Err(failure) => may_have_run = !failure.is_not_run(),
        }
        ctx.is_store_failing.store(true, Ordering::Relaxed);
    }
    if !ctx.is_leader() {
        match ctx.uplink.request(request, (WRITE_TIMEOUT * 2).min(left())).await {
            Ok(()) => return Ok(()),
            Err(failure) => may_have_run |= !failure.is_not_run(),
        }
    }
    // A write that was certainly not made is better repeated by the client at
    // another instance.
    while may_have_run && !left().is_zero() {
        if try_commit(ctx, commit.clone(), WRITE_TIMEOUT.min(left())).await.is_ok() {
            return Ok(());
        }
        time::sleep(RESEND_BACKOFF).await;
    }
    if may_have_run {
        return Err(Failure::unknown("the key-value service did not answer"));
    }
    Err(Failure::busy(RETRY_AFTER, "the key-value service takes no changes"))
}

/// Makes one attempt at a write.
async fn try_commit(ctx: &Context, commit: Commit, timeout: Duration) -> Result<()> {
    match time::timeout(timeout, ctx.services.store.commit(commit)).await {
        // The only possible conflict is a job that is already recorded.
        Ok(Ok(CommitOutcome::Done(_) | CommitOutcome::Conflict(_))) => {
            ctx.is_store_failing.store(false, Ordering::Relaxed);
            Ok(())
        }
        Ok(Err(Error::NotRun { reason })) => Err(Failure::busy(RETRY_AFTER, reason)),
        Ok(Err(error @ (Error::Unknown { .. } | Error::Lapsed | Error::Forgotten))) => {
            Err(Failure::unknown(error.to_string()))
        }
        Err(_) => Err(Failure::unknown("no answer in time")),
    }
}
