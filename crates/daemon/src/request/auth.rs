//! Authentication of requests by API key.

use std::time::Duration;

use base::{Failure, Name, Result, emit};
use http::{HeaderMap, header};
use quota::Principal;

use crate::process::Context;

/// Time after which a caller may retry while keys cannot be checked.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_secs(1);

const AUTH_SCHEME: &str = "Bearer ";

/// Returns the principal whose key is in the header `authorization: Bearer`.
///
/// # Errors
/// Fails if the key is missing or not granted. Fails as busy while the
/// configuration in force may be out of date.
pub(crate) fn authenticate(ctx: &Context, headers: &HeaderMap) -> Result<Principal> {
    let value = headers.get(header::AUTHORIZATION);
    let key = value
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix(AUTH_SCHEME))
        .ok_or_else(|| Failure::denied("authorization: a key is needed"))?;
    if !ctx.is_config_confirmed() {
        emit!(ctx.log, warn, ConfigUnconfirmed; "store_age_ms" => ctx.store.age().as_millis() as u64);
        return Err(Failure::busy(
            UNCONFIRMED_RETRY_AFTER,
            "keys can't be checked at this instance",
        ));
    }
    let active = ctx.configs.current();
    active.keyring.principal(key).cloned().ok_or_else(|| {
        emit!(ctx.log, info, KeyRejected; "version" => active.config.version);
        Failure::denied("authorization: the key is not granted")
    })
}

/// Returns the team whose key is in the headers.
///
/// # Errors
/// Fails as [`authenticate`] does, and for an operator's key.
pub(crate) fn require_team(ctx: &Context, headers: &HeaderMap) -> Result<Name> {
    match authenticate(ctx, headers)? {
        Principal::Team(team) => Ok(team),
        Principal::Operator => Err(Failure::denied("authorization: a team's key is needed")),
    }
}

/// Checks that an operator's key is in the headers.
///
/// # Errors
/// Fails as [`authenticate`] does, and for a team's key.
pub(crate) fn require_operator(ctx: &Context, headers: &HeaderMap) -> Result<()> {
    match authenticate(ctx, headers)? {
        Principal::Operator => Ok(()),
        Principal::Team(_) => Err(Failure::denied("authorization: an operator's key is needed")),
    }
}
