//! Whose key came with a request.

use std::time::Duration;

use base::{Failure, Name, Result, emit};
use http::{HeaderMap, header};
use quota::Principal;

use crate::process::Context;

/// Time after which a caller may come back while keys can't be checked.
const UNCONFIRMED_RETRY: Duration = Duration::from_secs(1);

const SCHEME: &str = "Bearer ";

/// Gets whose key came with a request, in the header `authorization: Bearer`.
///
/// # Errors
/// Fails if there is no key or it isn't granted, and, for now, if the
/// configuration in force may be out of date.
pub(crate) fn rights(ctx: &Context, headers: &HeaderMap) -> Result<Principal> {
    let value = headers.get(header::AUTHORIZATION);
    let key = value
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix(SCHEME))
        .ok_or_else(|| Failure::denied("authorization: a key is needed"))?;
    if !ctx.is_config_confirmed() {
        emit!(ctx.log, warn, ConfigUnconfirmed; "store_age_ms" => ctx.store.age().as_millis() as u64);
        return Err(Failure::busy(UNCONFIRMED_RETRY, "keys can't be checked at this instance"));
    }
    let active = ctx.configs.current();
    active.keyring.principal(key).cloned().ok_or_else(|| {
        emit!(ctx.log, info, KeyRejected; "version" => active.config.version);
        Failure::denied("authorization: the key is not granted")
    })
}

/// Gets the team whose key came with a request.
///
/// # Errors
/// Fails as [`rights`] does, and for an operator's key.
pub(crate) fn team(ctx: &Context, headers: &HeaderMap) -> Result<Name> {
    match rights(ctx, headers)? {
        Principal::Team(team) => Ok(team),
        Principal::Operator => Err(Failure::denied("authorization: a team's key is needed")),
    }
}

/// Checks that an operator's key came with a request.
///
/// # Errors
/// Fails as [`rights`] does, and for a team's key.
pub(crate) fn operator(ctx: &Context, headers: &HeaderMap) -> Result<()> {
    match rights(ctx, headers)? {
        Principal::Operator => Ok(()),
        Principal::Team(_) => Err(Failure::denied("authorization: an operator's key is needed")),
    }
}
