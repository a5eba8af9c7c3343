//! Admission control of calls.

use std::{sync::Arc, time::Duration};

use base::{Failure, Name, Result};
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use quota::Principal;
use route::Admission;
use schema::{Access, Method};
use tokio::time::{self, Instant};
use wire::REQUEST_ID_HEADER;

use crate::{
    process::Context,
    request::{
        auth,
        call::{Call, OVERLOAD_RETRY_AFTER},
    },
};

/// Limit on the length of a caller's request id.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Authenticates and admits a call, and reads its request.
///
/// # Errors
/// Fails without effect if the call is unknown, not permitted, above a limit or
/// malformed.
pub(crate) async fn admit(
    ctx: &Arc<Context>,
    request: Request<Incoming>,
) -> Result<(Call, InFlightGuard)> {
    let arrived_at = ctx.timer.now();
    let method = find_method(ctx, request.uri().path())?;
    let team = match method.access {
        Access::Keyed => Some(auth::require_team(ctx, request.headers())?),
        // An open method needs no key; a team's key still assigns the call
        // to the team.
        Access::Open => match auth::authenticate(ctx, request.headers()) {
            Ok(Principal::Team(team)) => Some(team),
            Ok(Principal::Operator) | Err(_) => None,
        },
    };
    let guard = acquire_guard(ctx, team.as_ref())?;
    let timeout =
        parse_timeout(request.headers()).map_or(method.timeout, |t| t.min(method.timeout));
    let deadline = Instant::now() + timeout;
    let request_id = parse_request_id(request.headers())?;
    let max_bytes = ctx.settings.limits.request_bytes as usize;
    let read = Limited::new(request.into_body(), max_bytes).collect();
    let body = time::timeout_at(deadline, read)
        .await
        .map_err(|_| Failure::busy(OVERLOAD_RETRY_AFTER, "the request did not arrive in time"))?
        .map_err(|error| Failure::invalid(format!("the request can't be read: {error}")))?
        .to_bytes();
    let once_id = if method.is_idempotent { None } else { request_id };
    Ok((Call { method, team, once_id, body, arrived_at, deadline }, guard))
}

pub(crate) fn find_method(ctx: &Context, path: &str) -> Result<Arc<Method>> {
    let active = ctx.configs.current();
    let method = active.methods.get(path).cloned();
    method.ok_or_else(|| Failure::not_found(format!("no schema has the method {path}")))
}

/// Guard that counts a call as in flight until dropped.
pub(crate) struct InFlightGuard {
    ctx: Arc<Context>,
    _admission: Option<Admission>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.ctx.counters.calls_in_flight.dec();
    }
}

fn acquire_guard(ctx: &Arc<Context>, team: Option<&Name>) -> Result<InFlightGuard> {
    if ctx.counters.calls_in_flight.get() >= i64::from(ctx.settings.limits.calls) {
        return Err(Failure::busy(OVERLOAD_RETRY_AFTER, "too many calls are in flight"));
    }
    let admission = match team {
        Some(team) => {
            Some(ctx.limiter.try_acquire(team, team_limit(ctx, team)).ok_or_else(|| {
                Failure::busy(OVERLOAD_RETRY_AFTER, "the team's upper limit on calls is reached")
            })?)
        }
        None => None,
    };
    ctx.counters.calls_in_flight.inc();
    Ok(InFlightGuard { ctx: Arc::clone(ctx), _admission: admission })
}

/// Returns this instance's part of a team's upper limit on calls. The parts of
/// all instances add up to the limit.
fn team_limit(ctx: &Context, team: &Name) -> u32 {
    let limit = ctx.configs.current().config.teams.get(team).map_or(0, |entry| entry.calls);
    let members = Arc::clone(&ctx.members.borrow());
    let count = members.by_name.len().max(1) as u32;
    let rank = members.by_name.keys().position(|name| *name == ctx.name).unwrap_or(0) as u32;
    limit / count + u32::from(rank < limit % count)
}

/// Returns the timeout in the standard header `grpc-timeout`; `None` if missing
/// or malformed.
fn parse_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("grpc-timeout")?.to_str().ok()?;
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: u64 = number.parse().ok()?;
    match unit {
        "H" => Some(Duration::from_secs(number.checked_mul(3600)?)),
        "M" => Some(Duration::from_secs(number.checked_mul(60)?)),
        "S" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_millis(number)),
        "u" => Some(Duration::from_micros(number)),
        "n" => Some(Duration::from_nanos(number)),
        _ => None,
    }
}

fn parse_request_id(headers: &HeaderMap) -> Result<Option<Name>> {
    let Some(value) = headers.get(REQUEST_ID_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > MAX_REQUEST_ID_BYTES {
        return Err(Failure::invalid(format!(
            "{REQUEST_ID_HEADER}: must be 1 to {MAX_REQUEST_ID_BYTES} visible characters"
        )));
    }
    Ok(Some(text.into()))
}
