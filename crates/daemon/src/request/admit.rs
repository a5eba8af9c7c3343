//! Checks of a call before it is let in.

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
        call::{CROWDED_RETRY, Call},
    },
};

/// Longest id that a caller gives to a call, in bytes.
const LONGEST_REQUEST_ID: usize = 128;

/// Checks a call and lets it in.
pub(crate) async fn admit(
    ctx: &Arc<Context>,
    request: Request<Incoming>,
) -> Result<(Call, CallPass)> {
    let arrived = ctx.timer.now();
    let method = find_method(ctx, request.uri().path())?;
    let team = match method.access {
        Access::Keyed => Some(auth::team(ctx, request.headers())?),
        // A queue open to all takes a key, but doesn't need one.
        Access::Open => match auth::rights(ctx, request.headers()) {
            Ok(Principal::Team(team)) => Some(team),
            Ok(Principal::Operator) | Err(_) => None,
        },
    };
    let pass = enter(ctx, team.as_ref())?;
    let timeout = read_timeout(request.headers()).map_or(method.timeout, |t| t.min(method.timeout));
    let deadline = Instant::now() + timeout;
    let request_id = read_request_id(request.headers())?;
    let most = ctx.settings.limits.request_bytes as usize;
    let read = Limited::new(request.into_body(), most).collect();
    let body = time::timeout_at(deadline, read)
        .await
        .map_err(|_| Failure::busy(CROWDED_RETRY, "the request did not arrive in time"))?
        .map_err(|error| Failure::invalid(format!("the request can't be read: {error}")))?
        .to_bytes();
    let once = if method.is_idempotent { None } else { request_id };
    Ok((Call { method, team, once, body, arrived, deadline }, pass))
}

pub(crate) fn find_method(ctx: &Context, path: &str) -> Result<Arc<Method>> {
    let active = ctx.configs.current();
    let method = active.methods.get(path).cloned();
    method.ok_or_else(|| Failure::not_found(format!("no schema has the method {path}")))
}

/// A `CallPass` counts a call as in flight.
pub(crate) struct CallPass {
    ctx: Arc<Context>,
    _pass: Option<Admission>,
}

impl Drop for CallPass {
    fn drop(&mut self) {
        self.ctx.counters.calls_in_flight.dec();
    }
}

fn enter(ctx: &Arc<Context>, team: Option<&Name>) -> Result<CallPass> {
    if ctx.counters.calls_in_flight.get() >= i64::from(ctx.settings.limits.calls) {
        return Err(Failure::busy(CROWDED_RETRY, "too many calls are in flight"));
    }
    let pass = match team {
        Some(team) => {
            Some(ctx.limiter.try_acquire(team, team_limit(ctx, team)).ok_or_else(|| {
                Failure::busy(CROWDED_RETRY, "the team's upper limit on calls is reached")
            })?)
        }
        None => None,
    };
    ctx.counters.calls_in_flight.inc();
    Ok(CallPass { ctx: Arc::clone(ctx), _pass: pass })
}

/// Gets this instance's part of a team's upper limit on calls. The parts of
/// all instances add up to the limit.
fn team_limit(ctx: &Context, team: &Name) -> u32 {
    let limit = ctx.configs.current().config.teams.get(team).map_or(0, |rights| rights.calls);
    let members = Arc::clone(&ctx.members.borrow());
    let count = members.by_name.len().max(1) as u32;
    let position = members.by_name.keys().position(|name| *name == ctx.name).unwrap_or(0) as u32;
    limit / count + u32::from(position < limit % count)
}

/// Gets the time that the caller gives, from the standard `grpc-timeout`.
fn read_timeout(headers: &HeaderMap) -> Option<Duration> {
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

fn read_request_id(headers: &HeaderMap) -> Result<Option<Name>> {
    let Some(value) = headers.get(REQUEST_ID_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > LONGEST_REQUEST_ID {
        return Err(Failure::invalid(format!(
            "{REQUEST_ID_HEADER}: must be 1 to {LONGEST_REQUEST_ID} visible characters"
        )));
    }
    Ok(Some(text.into()))
}
