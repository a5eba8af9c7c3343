//! Membership of this instance.
//!
//! A member is a key under a lease of the key-value service; other instances
//! watch the keys and remove the member when the lease lapses.

use std::{sync::Arc, time::Duration};

use base::{Name, emit};
use bytes::Bytes;
use platform::{Error, Lease, Outcome, Revision, Store};
use serde::{Deserialize, Serialize};

use crate::process::Context;

/// Prefix of the member keys; the name of the instance follows.
pub(crate) const MEMBER_PREFIX: &str = "s/member/";

/// Number of renewals within the lifetime of a lease.
const RENEWAL_DIVISOR: u32 = 4;

/// Delay before an attempt to regain a lost membership.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Limit on reading back the member key after a write without an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Description of an instance that the other instances read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Unique name of the instance.
    pub name: Name,
    /// Address that other instances dial.
    pub address: Name,
    /// Region.
    pub region: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Random number drawn at each start of the process.
    pub incarnation: u64,
    /// Whether the instance is draining before it stops.
    pub draining: bool,
}

impl Member {
    /// Returns the stored encoding.
    pub(crate) fn encode(&self) -> Bytes {
        serde_json::to_vec(self).expect("a member has only serialisable values").into()
    }

    /// Decodes a member; `None` if the bytes are malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

/// Keeps this instance a member until the process stops. A lapsed lease is
/// replaced by a new one.
pub(crate) async fn maintain_membership(ctx: Arc<Context>) {
    let ttl = Duration::from_millis(ctx.settings.membership.ttl_ms);
    loop {
        let end = match join(&ctx, ttl).await {
            Ok(lease) => {
                emit!(ctx.log, info, MembershipGranted; "lease" => lease.0);
                renew_until_lost(&ctx, lease, ttl).await
            }
            Err(error) => Some(error),
        };
        let Some(error) = end else {
            return;
        };
        emit!(ctx.log, warn, MembershipLost; "reason" => %error);
        if !ctx.timer.sleep(RETRY_BACKOFF).await {
            return;
        }
    }
}

async fn join(ctx: &Context, ttl: Duration) -> Result<Lease, Error> {
    let lease = ctx.store.grant(ttl).await?;
    publish_member(ctx, lease).await?;
    Ok(lease)
}

/// Writes the member key under `lease`, over any earlier value.
async fn publish_member(ctx: &Context, lease: Lease) -> Result<(), Error> {
    let key = format!("{MEMBER_PREFIX}{}", ctx.settings.name);
    let revision = ctx.store.get(&key).await?.map_or(Revision::ABSENT, |entry| entry.revision);
    let value = ctx.member().encode();
    match platform::write(&ctx.store, &key, revision, value, Some(lease), WRITE_TIMEOUT).await? {
        Outcome::Written(_) => Ok(()),
        Outcome::Conflict => Err(Error::NotRun { reason: "the member key changed".to_owned() }),
    }
}

/// Renews the lease; returns the error that ended the membership, or `None`
/// when the process stops.
async fn renew_until_lost(ctx: &Context, lease: Lease, ttl: Duration) -> Option<Error> {
    let mut ticks = ctx.timer.every(ttl / RENEWAL_DIVISOR);
    let mut draining = ctx.draining.subscribe();
    loop {
        tokio::select! {
            tick = ticks.next() => {
                if tick.is_none() {
                    // Other instances then do not have to wait for the lease to
                    // lapse.
                    let _ = ctx.store.revoke(lease).await;
                    return None;
                }
                // After any other failure, a later renewal may still succeed before
                // the lease lapses.
                if let Err(Error::Lapsed) = ctx.store.renew(lease).await {
                    return Some(Error::Lapsed);
                }
            }
            Ok(()) = draining.changed() => {
                if let Err(error) = publish_member(ctx, lease).await {
                    return Some(error);
                }
            }
        }
    }
}
