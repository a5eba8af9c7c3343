//! Calls that operators have described in a schema.

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
        attempt::{Answered, Attempt, CallBody, run},
        placer::ask_once,
    },
    version::select_owner,
};

/// Time for which a call waits for a slot here before the peers are looked at
/// again.
const LOCAL_PATIENCE: Duration = Duration::from_millis(50);

/// Time for which a call that was sent on may wait at the peer.
const PEER_PATIENCE: Duration = Duration::from_millis(500);

/// Mean times that a call must have left to be started: about half of the calls
/// take longer than one.
const MEANS_NEEDED: u32 = 2;

/// Part of its time that a call must have left to be started in any case.
const LATE_DIVISOR: u32 = 4;

/// Time after the deadline for the answer of a peer to arrive.
const FORWARD_GRACE: Duration = Duration::from_millis(50);

/// How many times longer the wait has to be here than at a peer before a call
/// is sent there to wait.
const MOVE_RATIO: u64 = 2;

/// Time after which a caller may come back when too much is in flight.
pub(crate) const CROWDED_RETRY: Duration = Duration::from_millis(500);

/// Time for the record of a call that may run at most once.
const ADMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Attempts at one call at most.
const MOST_ATTEMPTS: usize = 6;

/// Refusals by peers with full queues after which a call is refused. Each costs
/// a round trip, and a crowd that goes on asking takes the processor time that
/// answers need.
const MOST_PEER_REFUSALS: usize = 3;

/// A `Call` is one call of a caller.
pub(crate) struct Call {
    pub(crate) method: Arc<Method>,
    pub(crate) team: Option<Name>,
    /// The caller's id, if the call may run at most once.
    pub(crate) once: Option<Name>,
    pub(crate) body: Bytes,
    /// When the call arrived, on the timer's clock.
    pub(crate) arrived: Duration,
    pub(crate) deadline: Instant,
}

impl Call {
    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// A `Place` is where an attempt is made.
enum Place {
    /// At a runner of this instance.
    Here(route::Permit<RunnerHandle>),
    /// At a runner of a peer.
    There(Name),
}

/// Serves a call.
pub(crate) async fn serve(ctx: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
    let answered = match admit(&ctx, request).await {
        Ok((call, pass)) => {
            // The call goes on when its caller leaves: what a runner has begun
            // takes its slot until it ends.
            let inner = Arc::clone(&ctx);
            let task = tokio::spawn(async move {
                let answered = execute(&inner, &call).await;
                drop(pass);
                answered
            });
            task.await.unwrap_or_else(|_| Err(Failure::unknown("the call broke off")))
        }
        Err(failure) => Err(failure),
    };
    let outcome = match &answered {
        Ok(_) => Outcome::Answered,
        Err(failure) if failure.is_not_run() => Outcome::NotRun,
        Err(_) => Outcome::MayHaveRun,
    };
    ctx.counters.calls.get_or_create(&CallLabels { outcome }).inc();
    match answered {
        Ok(answered) => {
            emit!(ctx.log, debug, CallEnded; "outcome" => ?outcome);
            answered.into_response()
        }
        Err(failure) => {
            emit!(ctx.log, info, CallRefused; "verdict" => %failure.verdict,
                "reason" => &failure.reason);
            status_of(&failure).into_http()
        }
    }
}

/// Serves a call that a peer received, at a runner of this instance.
///
/// # Errors
/// Fails without effect if no runner has a free slot.
pub(crate) async fn serve_forwarded(ctx: &Arc<Context>, ask: ForwardedCall) -> Result<CallReply> {
    let method = find_method(ctx, &ask.path)?;
    let call = Call {
        arrived: ctx.timer.now(),
        deadline: Instant::now() + Duration::from_millis(ask.left_ms),
        team: None,
        once: ask.once,
        body: ask.body,
        method,
    };
    let max_wait = Duration::from_millis(ask.max_wait_ms).min(call.left());
    let permit = ctx.router.acquire(&SlotRequest { max_wait, ..wish(ctx, &call, &[]) }).await?;
    check_time(ctx, &call)?;
    note_routed(ctx, &call, &ask.attempt, &permit);
    let attempt = Attempt {
        permit,
        attempt: ask.attempt,
        once: call.once.clone(),
        left: call.left(),
        largest: call.method.max_answer_bytes,
        path: ask.path,
        body: call.body.clone(),
    };
    let answered = run(ctx, attempt).await?;
    answered.into_whole(ctx.router.load(&call.method.service)).await
}

/// Runs a call to its final answer.
async fn execute(ctx: &Arc<Context>, call: &Call) -> Result<Answered> {
    let Some(once) = &call.once else {
        return try_attempts(ctx, call).await;
    };
    let team = call.team.clone().unwrap_or_default();
    let region = record_region(ctx, call, once)?;
    record(ctx, &region, &team, once).await?;
    let answered = try_attempts(ctx, call).await;
    if answered.as_ref().is_err_and(Failure::is_not_run) {
        // The caller may repeat the call with the same id.
        let ask = PeerRequest::Retract { region: region.clone(), team, request: once.clone() };
        let _ = ask_once(ctx, &region, ask).await;
    }
    answered
}

/// Records that a call may run, once and for all.
async fn record(ctx: &Context, region: &Name, team: &Name, once: &Name) -> Result<()> {
    let ask =
        PeerRequest::Admit { region: region.clone(), team: team.clone(), request: once.clone() };
    match time::timeout(ADMIT_TIMEOUT, ask_once(ctx, region, ask)).await {
        Ok(Ok(_)) => Ok(()),
        // Only a record that was found says anything about an earlier attempt.
        Ok(Err(failure)) => Err(failure),
        Err(_) => Err(Failure::unknown("the call could not be recorded in time")),
    }
}

/// Gets the region whose placer keeps the record of a call: the same one
/// whichever instance the call comes to.
fn record_region(ctx: &Context, call: &Call, once: &Name) -> Result<Name> {
    let active = ctx.configs.current();
    let home = call.team.as_ref().and_then(|team| active.config.teams.get(team));
    if let Some(rights) = home {
        return Ok(rights.home_region.clone());
    }
    let divisions = Arc::clone(&ctx.divisions.borrow());
    let region = select_owner(divisions.by_region.keys(), once).cloned();
    region.ok_or_else(|| Failure::busy(CROWDED_RETRY, "no region is served yet"))
}

async fn try_attempts(ctx: &Arc<Context>, call: &Call) -> Result<Answered> {
    ctx.budget.deposit();
    let mut avoid: SmallVec<[Name; 2]> = SmallVec::new();
    for _ in 1..MOST_ATTEMPTS {
        let (failure, runner) = match try_once(ctx, call, &avoid).await {
            Ok(answered) => return Ok(answered),
            Err(Stop::Final(failure)) => return Err(failure),
            Err(Stop::Attempt(failure, runner)) => (failure, runner),
        };
        // Only what surely has not run, or may run twice, is sent again.
        let may_repeat = failure.is_not_run() || call.method.is_idempotent;
        if !may_repeat || call.left().is_zero() || !ctx.budget.withdraw() {
            return Err(failure);
        }
        emit!(ctx.log, info, CallRetried; "path" => %call.method.path, "runner" => %runner,
            "reason" => %failure);
        ctx.counters.retries.inc();
        avoid.push(runner);
    }
    match try_once(ctx, call, &avoid).await {
        Ok(answered) => Ok(answered),
        Err(Stop::Final(failure) | Stop::Attempt(failure, _)) => Err(failure),
    }
}

/// A `Stop` is why there is no answer yet.
enum Stop {
    /// No place was found; this is the final answer.
    Final(Failure),
    /// An attempt at a runner or a peer failed.
    Attempt(Failure, Name),
}

/// A `Tried` is what came of one place.
enum Tried {
    /// An answer.
    Answered(Answered),
    /// The peer's queue is full, as its refusal says.
    Full(Failure),
    /// No slot of the peer became free while the call waited there.
    Waited,
}

async fn try_once(ctx: &Arc<Context>, call: &Call, avoid: &[Name]) -> Result<Answered, Stop> {
    let mut refusals = 0;
    loop {
        // A peer without a slot is no attempt.
        match try_place(ctx, call, avoid).await? {
            Tried::Answered(answered) => return Ok(answered),
            Tried::Full(failure) => {
                refusals += 1;
                if refusals == MOST_PEER_REFUSALS {
                    return Err(Stop::Final(failure));
                }
            }
            Tried::Waited => {}
        }
    }
}

async fn try_place(ctx: &Arc<Context>, call: &Call, avoid: &[Name]) -> Result<Tried, Stop> {
    let place = find_place(ctx, call, avoid).await.map_err(Stop::Final)?;
    let waited = ctx.timer.now().saturating_sub(call.arrived);
    ctx.counters.call_wait.observe(waited.as_secs_f64());
    let attempt = ctx.next_attempt();
    match place {
        Place::Here(permit) => {
            check_time(ctx, call).map_err(Stop::Final)?;
            note_routed(ctx, call, &attempt, &permit);
            let runner = permit.runner.clone();
            let attempt = Attempt {
                permit,
                attempt,
                once: call.once.clone(),
                left: call.left(),
                largest: call.method.max_answer_bytes,
                path: call.method.path.clone(),
                body: call.body.clone(),
            };
            let answered = run(ctx, attempt).await;
            answered.map(Tried::Answered).map_err(|failure| Stop::Attempt(failure, runner))
        }
        Place::There(peer) => {
            let team = call.team.as_deref().unwrap_or("");
            emit!(ctx.log, info, CallForwarded; "path" => %call.method.path, "team" => team,
                "attempt" => %attempt, "peer" => %peer, "waited_us" => waited.as_micros() as u64);
            ctx.counters.forwards.inc();
            let asked = Instant::now();
            match forward(ctx, call, attempt, &peer).await {
                Ok(answered) => Ok(Tried::Answered(answered)),
                Err(failure) if failure.is_not_run() && !call.left().is_zero() => {
                    ctx.peers.mark_full(&peer, &call.method.service);
                    let waited = asked.elapsed() >= PEER_PATIENCE;
                    Ok(if waited { Tried::Waited } else { Tried::Full(failure) })
                }
                Err(failure) => Err(Stop::Attempt(failure, peer)),
            }
        }
    }
}

/// Logs that an attempt goes to a runner of this instance.
fn note_routed(ctx: &Context, call: &Call, attempt: &Name, permit: &route::Permit<RunnerHandle>) {
    let waited = ctx.timer.now().saturating_sub(call.arrived);
    emit!(ctx.log, info, CallRouted; "path" => %call.method.path,
        "team" => call.team.as_deref().unwrap_or(""), "attempt" => %attempt,
        "runner" => %permit.runner, "candidates" => permit.candidates,
        "waited_us" => waited.as_micros() as u64, "left_ms" => call.left().as_millis() as u64);
}

/// Finds a place: a free slot here, else one at a peer, else the shortest
/// queue.
async fn find_place(ctx: &Context, call: &Call, avoid: &[Name]) -> Result<Place> {
    let service = &call.method.service;
    loop {
        let wish = wish(ctx, call, avoid);
        if let Some(permit) = ctx.router.try_acquire(&wish) {
            return Ok(Place::Here(permit));
        }
        if let Some(peer) = ctx.peers.take_free(service) {
            return Ok(Place::There(peer));
        }
        // A call moves only where it waits much less, or calls would go to and
        // fro on old summaries.
        let here = ctx.router.load(service).waiting_per_slot_milli();
        if let Some(peer) = ctx.peers.take_turn(service, here / MOVE_RATIO) {
            return Ok(Place::There(peer));
        }
        let asked = Instant::now();
        match ctx.router.acquire(&wish).await {
            Ok(permit) => return Ok(Place::Here(permit)),
            Err(failure) => {
                // A refusal at once means that the queue is full; otherwise the
                // wait here is over and the peers are looked at again.
                let refused = asked.elapsed() < wish.max_wait;
                if refused || call.left().is_zero() {
                    return Err(failure);
                }
            }
        }
    }
}

fn wish<'a>(ctx: &'a Context, call: &'a Call, avoid: &'a [Name]) -> SlotRequest<'a> {
    let time_left = call.left();
    SlotRequest {
        service: &call.method.service,
        data_centre: &ctx.settings.data_centre,
        urgency: call.method.urgency,
        arrived: call.arrived,
        time_left,
        max_wait: time_left.min(LOCAL_PATIENCE),
        avoid,
    }
}

/// Refuses a call that would most likely end after its deadline: it would take
/// a slot from others, and its caller would not learn that it ran.
fn check_time(ctx: &Context, call: &Call) -> Result<()> {
    let mean = ctx.router.mean_call_time(&call.method.service);
    // A few endless calls raise the mean beyond any deadline; calls that come
    // fresh must run all the same.
    let needed = (mean * MEANS_NEEDED).min(call.method.timeout / LATE_DIVISOR);
    if call.left() >= needed {
        return Ok(());
    }
    let reason = format!("too little time is left for {}", call.method.service);
    Err(Failure::busy(CROWDED_RETRY.max(mean), reason))
}

async fn forward(ctx: &Context, call: &Call, attempt: Name, peer: &Name) -> Result<Answered> {
    let left = call.left();
    let ask = ForwardedCall {
        path: call.method.path.clone(),
        attempt,
        once: call.once.clone(),
        left_ms: left.as_millis() as u64,
        max_wait_ms: PEER_PATIENCE.min(left).as_millis() as u64,
        body: call.body.clone(),
    };
    // The peer's own refusal at the deadline says more than silence does.
    match ctx.peers.ask(peer, PeerRequest::Call(ask), left + FORWARD_GRACE).await {
        Ok(PeerReply::Call(answer)) => {
            ctx.peers.note_load(peer, &call.method.service, answer.load);
            Ok(Answered { headers: HeaderMap::new(), body: CallBody::Whole(answer.into()) })
        }
        Ok(_) => Err(Failure::unknown("an instance answered with something else")),
        Err(failure) => Err(failure),
    }
}
