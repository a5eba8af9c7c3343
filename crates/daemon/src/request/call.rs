//! Calls of the methods in operators' schemas.
//!
//! A call waits for a slot of a runner of this instance or of a peer, and is
//! sent there as an attempt. A failed attempt is retried elsewhere if the call
//! has not run or the method is idempotent.

use std::{sync::Arc, time::Duration};

use base::{Failure, Name, Result, emit};
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use route::SlotRequest;
use schema::Method;
use smallvec::SmallVec;
use tokio::time::{self, Instant};
use tonic::body::Body;
use wire::{CallReply, ForwardedCall, PeerReply, PeerRequest, status_of};

use crate::{
    process::{CallLabels, Context, Outcome, RunnerHandle},
    request::{
        admit::{admit, find_method},
        attempt::{Answer, Attempt, CallBody, run},
        placer::request_placer_once,
    },
    version::select_owner,
};

/// Limit on the wait for a slot of this instance, after which the peers are
/// checked again.
const LOCAL_WAIT_TIMEOUT: Duration = Duration::from_millis(50);

/// Limit on the wait of a forwarded call for a slot of the peer.
const PEER_WAIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum time left to start a call, as a multiple of the service's mean call
/// time. About half of the calls take longer than one mean.
const MIN_TIME_LEFT_RATIO: u32 = 2;

/// Divisor of a method's timeout that caps the minimum time left: a call with
/// at least this part left is always started.
const MIN_TIME_LEFT_DIVISOR: u32 = 4;

/// Time after the deadline within which a peer's answer may still arrive.
const FORWARD_GRACE: Duration = Duration::from_millis(50);

/// Minimum ratio of the queue per slot at this instance to that at a peer for a
/// call to move to the peer's queue.
const MIN_QUEUE_RATIO: u64 = 2;

/// Time after which a caller may retry under overload.
pub(crate) const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Limit on recording the id of a call that may run at most once.
const ADMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on the attempts of a call.
const MAX_ATTEMPTS: usize = 6;

/// Limit on the refusals by peers with full queues before a call is refused.
/// Each refusal costs a round trip, and under overload these take the processor
/// time that is needed for answers.
const MAX_PEER_REFUSALS: usize = 3;

/// Call from a caller.
pub(crate) struct Call {
    pub(crate) method: Arc<Method>,
    pub(crate) team: Option<Name>,
    /// Caller's id of a call that may run at most once.
    pub(crate) once_id: Option<Name>,
    pub(crate) body: Bytes,
    /// Time of arrival, on the clock of [`Context::timer`].
    pub(crate) arrived_at: Duration,
    pub(crate) deadline: Instant,
}

impl Call {
    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Place at which a call is attempted.
enum Place {
    /// Slot of a runner that this instance owns.
    Local(route::Permit<RunnerHandle>),
    /// Peer, which selects one of its own runners.
    Peer(Name),
}

/// Serves a call from a caller.
pub(crate) async fn serve(ctx: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
    let result = match admit(&ctx, request).await {
        Ok((call, guard)) => {
            // The call runs in a task of its own, because a call that a runner
            // has started takes a slot until the end, even if the caller
            // disconnects.
            let inner = Arc::clone(&ctx);
            let task = tokio::spawn(async move {
                let result = execute(&inner, &call).await;
                drop(guard);
                result
            });
            task.await.unwrap_or_else(|_| Err(Failure::unknown("the call broke off")))
        }
        Err(failure) => Err(failure),
    };
    let outcome = match &result {
        Ok(_) => Outcome::Answered,
        Err(failure) if failure.is_not_run() => Outcome::NotRun,
        Err(_) => Outcome::MayHaveRun,
    };
    ctx.counters.calls.get_or_create(&CallLabels { outcome }).inc();
    match result {
        Ok(answer) => {
            emit!(ctx.log, debug, CallEnded; "outcome" => ?outcome);
            answer.into_response()
        }
        Err(failure) => {
            emit!(ctx.log, info, CallRefused; "verdict" => %failure.verdict,
                "reason" => &failure.reason);
            status_of(&failure).into_http()
        }
    }
}

/// Serves a call forwarded by a peer, at a runner of this instance.
///
/// # Errors
/// Fails without effect if no slot becomes free in time or too little time is
/// left, or with the failure of the attempt.
pub(crate) async fn serve_forwarded(
    ctx: &Arc<Context>,
    request: ForwardedCall,
) -> Result<CallReply> {
    let method = find_method(ctx, &request.path)?;
    let call = Call {
        arrived_at: ctx.timer.now(),
        deadline: Instant::now() + Duration::from_millis(request.left_ms),
        team: None,
        once_id: request.once_id,
        body: request.body,
        method,
    };
    let max_wait = Duration::from_millis(request.max_wait_ms).min(call.time_left());
    let permit =
        ctx.router.acquire(&SlotRequest { max_wait, ..slot_request(ctx, &call, &[]) }).await?;
    check_time_left(ctx, &call)?;
    log_routed(ctx, &call, &request.attempt, &permit);
    let attempt = Attempt {
        permit,
        attempt: request.attempt,
        once_id: call.once_id.clone(),
        time_left: call.time_left(),
        max_answer_bytes: call.method.max_answer_bytes,
        path: request.path,
        body: call.body.clone(),
    };
    let answer = run(ctx, attempt).await?;
    answer.into_reply(ctx.router.load(&call.method.service)).await
}

/// Runs a call up to the final answer. A call with a caller's id is recorded
/// first, so that later calls with that id do not run.
async fn execute(ctx: &Arc<Context>, call: &Call) -> Result<Answer> {
    let Some(once_id) = &call.once_id else {
        return call_with_retries(ctx, call).await;
    };
    let team = call.team.clone().unwrap_or_default();
    let region = record_region(ctx, call, once_id)?;
    record_admission(ctx, &region, &team, once_id).await?;
    let result = call_with_retries(ctx, call).await;
    if result.as_ref().is_err_and(Failure::is_not_run) {
        // Without the record, the caller may retry with this id.
        let request =
            PeerRequest::Retract { region: region.clone(), team, request: once_id.clone() };
        let _ = request_placer_once(ctx, &region, request).await;
    }
    result
}

/// Records at the placer that the call with this id may run.
///
/// # Errors
/// Returns the placer's failure, among others if the id is already recorded. If
/// no reply arrives in time, the record may exist.
async fn record_admission(ctx: &Context, region: &Name, team: &Name, once_id: &Name) -> Result<()> {
    let request =
        PeerRequest::Admit { region: region.clone(), team: team.clone(), request: once_id.clone() };
    match time::timeout(ADMIT_TIMEOUT, request_placer_once(ctx, region, request)).await {
        Ok(Ok(_)) => Ok(()),
        // Unless a record was found, the failure says nothing about an earlier
        // attempt with this id.
        Ok(Err(failure)) => Err(failure),
        Err(_) => Err(Failure::unknown("the call could not be recorded in time")),
    }
}

/// Returns the region whose placer records a call. All instances select the
/// same region for a given call.
fn record_region(ctx: &Context, call: &Call, once_id: &Name) -> Result<Name> {
    let active = ctx.configs.current();
    let team = call.team.as_ref().and_then(|team| active.config.teams.get(team));
    if let Some(entry) = team {
        return Ok(entry.home_region.clone());
    }
    let divisions = Arc::clone(&ctx.divisions.borrow());
    let region = select_owner(divisions.by_region.keys(), once_id).cloned();
    region.ok_or_else(|| Failure::busy(OVERLOAD_RETRY_AFTER, "no region is served yet"))
}

async fn call_with_retries(ctx: &Arc<Context>, call: &Call) -> Result<Answer> {
    ctx.retry_budget.deposit();
    let mut avoid: SmallVec<[Name; 2]> = SmallVec::new();
    for _ in 1..MAX_ATTEMPTS {
        let (failure, runner) = match attempt_call(ctx, call, &avoid).await {
            Ok(answer) => return Ok(answer),
            Err(CallError::Final(failure)) => return Err(failure),
            Err(CallError::Attempt(failure, runner)) => (failure, runner),
        };
        // A retry is safe only if the call has not run or may run twice.
        let is_repeatable = failure.is_not_run() || call.method.is_idempotent;
        if !is_repeatable || call.time_left().is_zero() || !ctx.retry_budget.withdraw() {
            return Err(failure);
        }
        emit!(ctx.log, info, CallRetried; "path" => %call.method.path, "runner" => %runner,
            "reason" => %failure);
        ctx.counters.retries.inc();
        avoid.push(runner);
    }
    match attempt_call(ctx, call, &avoid).await {
        Ok(answer) => Ok(answer),
        Err(CallError::Final(failure) | CallError::Attempt(failure, _)) => Err(failure),
    }
}

/// Reason why an attempt gave no answer.
enum CallError {
    /// No place was found; the failure is final.
    Final(Failure),
    /// An attempt at a runner or a peer failed.
    Attempt(Failure, Name),
}

/// Outcome of trying one place.
enum PlaceResult {
    /// Answer to the call.
    Answered(Answer),
    /// The peer refused the call because its queue is full.
    QueueFull(Failure),
    /// No slot of the peer became free within the wait limit.
    WaitTimedOut,
}

async fn attempt_call(
    ctx: &Arc<Context>,
    call: &Call,
    avoid: &[Name],
) -> Result<Answer, CallError> {
    let mut refusals = 0;
    loop {
        // A peer without a free slot does not count as an attempt.
        match try_place(ctx, call, avoid).await? {
            PlaceResult::Answered(answer) => return Ok(answer),
            PlaceResult::QueueFull(failure) => {
                refusals += 1;
                if refusals == MAX_PEER_REFUSALS {
                    return Err(CallError::Final(failure));
                }
            }
            PlaceResult::WaitTimedOut => {}
        }
    }
}

async fn try_place(
    ctx: &Arc<Context>,
    call: &Call,
    avoid: &[Name],
) -> Result<PlaceResult, CallError> {
    let place = find_place(ctx, call, avoid).await.map_err(CallError::Final)?;
    let waited = ctx.timer.now().saturating_sub(call.arrived_at);
    ctx.counters.call_wait.observe(waited.as_secs_f64());
    let attempt = ctx.next_attempt_id();
    match place {
        Place::Local(permit) => {
            check_time_left(ctx, call).map_err(CallError::Final)?;
            log_routed(ctx, call, &attempt, &permit);
            let runner = permit.runner.clone();
            let attempt = Attempt {
                permit,
                attempt,
                once_id: call.once_id.clone(),
                time_left: call.time_left(),
                max_answer_bytes: call.method.max_answer_bytes,
                path: call.method.path.clone(),
                body: call.body.clone(),
            };
            let result = run(ctx, attempt).await;
            result.map(PlaceResult::Answered).map_err(|failure| CallError::Attempt(failure, runner))
        }
        Place::Peer(peer) => {
            let team = call.team.as_deref().unwrap_or("");
            emit!(ctx.log, info, CallForwarded; "path" => %call.method.path, "team" => team,
                "attempt" => %attempt, "peer" => %peer, "waited_us" => waited.as_micros() as u64);
            ctx.counters.forwards.inc();
            let started_at = Instant::now();
            match forward(ctx, call, attempt, &peer).await {
                Ok(answer) => Ok(PlaceResult::Answered(answer)),
                Err(failure) if failure.is_not_run() && !call.time_left().is_zero() => {
                    ctx.peers.mark_full(&peer, &call.method.service);
                    let is_timed_out = started_at.elapsed() >= PEER_WAIT_TIMEOUT;
                    Ok(if is_timed_out {
                        PlaceResult::WaitTimedOut
                    } else {
                        PlaceResult::QueueFull(failure)
                    })
                }
                Err(failure) => Err(CallError::Attempt(failure, peer)),
            }
        }
    }
}

/// Logs that an attempt goes to a runner of this instance.
fn log_routed(ctx: &Context, call: &Call, attempt: &Name, permit: &route::Permit<RunnerHandle>) {
    let waited = ctx.timer.now().saturating_sub(call.arrived_at);
    emit!(ctx.log, info, CallRouted; "path" => %call.method.path,
        "team" => call.team.as_deref().unwrap_or(""), "attempt" => %attempt,
        "runner" => %permit.runner, "candidates" => permit.candidates,
        "waited_us" => waited.as_micros() as u64, "left_ms" => call.time_left().as_millis() as u64);
}

/// Finds a place: a free slot of this instance, else one of a peer, else the
/// shortest queue.
async fn find_place(ctx: &Context, call: &Call, avoid: &[Name]) -> Result<Place> {
    let service = &call.method.service;
    loop {
        let slot_request = slot_request(ctx, call, avoid);
        if let Some(permit) = ctx.router.try_acquire(&slot_request) {
            return Ok(Place::Local(permit));
        }
        if let Some(peer) = ctx.peers.reserve_free_slot(service) {
            return Ok(Place::Peer(peer));
        }
        // A call moves only to a much shorter queue. Otherwise calls would move
        // back and forth, since heartbeats lag behind the queues.
        let local_queue_milli = ctx.router.load(service).waiting_per_slot_milli();
        if let Some(peer) =
            ctx.peers.reserve_queue_place(service, local_queue_milli / MIN_QUEUE_RATIO)
        {
            return Ok(Place::Peer(peer));
        }
        let started_at = Instant::now();
        match ctx.router.acquire(&slot_request).await {
            Ok(permit) => return Ok(Place::Local(permit)),
            Err(failure) => {
                // An immediate refusal means that the queue is full; otherwise
                // the wait timed out and the peers are checked again.
                let is_queue_full = started_at.elapsed() < slot_request.max_wait;
                if is_queue_full || call.time_left().is_zero() {
                    return Err(failure);
                }
            }
        }
    }
}

fn slot_request<'a>(ctx: &'a Context, call: &'a Call, avoid: &'a [Name]) -> SlotRequest<'a> {
    let time_left = call.time_left();
    SlotRequest {
        service: &call.method.service,
        data_centre: &ctx.settings.data_centre,
        urgency: call.method.urgency,
        arrived: call.arrived_at,
        time_left,
        max_wait: time_left.min(LOCAL_WAIT_TIMEOUT),
        avoid,
    }
}

/// Refuses a call that would probably end after the deadline: such a call would
/// take a slot from others, and the caller would not learn that it has run.
fn check_time_left(ctx: &Context, call: &Call) -> Result<()> {
    let mean = ctx.router.mean_call_time(&call.method.service);
    // A few calls that never end can raise the mean beyond any deadline; new
    // calls must still be able to start.
    let needed = (mean * MIN_TIME_LEFT_RATIO).min(call.method.timeout / MIN_TIME_LEFT_DIVISOR);
    if call.time_left() >= needed {
        return Ok(());
    }
    let reason = format!("too little time is left for {}", call.method.service);
    Err(Failure::busy(OVERLOAD_RETRY_AFTER.max(mean), reason))
}

async fn forward(ctx: &Context, call: &Call, attempt: Name, peer: &Name) -> Result<Answer> {
    let left = call.time_left();
    let request = ForwardedCall {
        path: call.method.path.clone(),
        attempt,
        once_id: call.once_id.clone(),
        left_ms: left.as_millis() as u64,
        max_wait_ms: PEER_WAIT_TIMEOUT.min(left).as_millis() as u64,
        body: call.body.clone(),
    };
    // The extra time lets the peer's own refusal at the deadline arrive, which
    // states whether the call has run; a local timeout does not.
    match ctx.peers.request(peer, PeerRequest::Call(request), left + FORWARD_GRACE).await {
        Ok(PeerReply::Call(reply)) => {
            ctx.peers.update_load(peer, &call.method.service, reply.load);
            Ok(Answer { headers: HeaderMap::new(), body: CallBody::Complete(reply.into()) })
        }
        Ok(_) => Err(Failure::unknown("an instance answered with something else")),
        Err(failure) => Err(failure),
    }
}
