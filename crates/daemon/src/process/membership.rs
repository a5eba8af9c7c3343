//! Membership of the instance among the others.

use std::{sync::Arc, time::Duration};

use base::{Name, emit};
use bytes::Bytes;
use platform::{Error, Lease, Outcome, Revision, Store};
use serde::{Deserialize, Serialize};

use crate::process::Context;

/// Prefix of the keys of members, followed by the instance's name.
pub(crate) const MEMBER_PREFIX: &str = "s/member/";

/// Renewals in the lifetime of a lease.
const RENEWALS_PER_TTL: u32 = 4;

/// Time between attempts while the store fails.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time after which an uncertain write of the member key is given up.
const WRITE_PATIENCE: Duration = Duration::from_secs(2);

/// A `Member` is what an instance tells the others of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Unique name.
    pub name: Name,
    /// Address that other instances dial.
    pub address: Name,
    /// Region.
    pub region: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Random number of this run of the process.
    pub incarnation: u64,
    /// Whether the instance is about to leave.
    pub draining: bool,
}

impl Member {
    /// Encodes the member.
    pub(crate) fn encode(&self) -> Bytes {
        serde_json::to_vec(self).expect("a member is plain values").into()
    }

    /// Decodes a member; `None` if the bytes are none.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

/// Keeps the instance a member until the process stops. A lapsed lease is
/// taken anew.
pub(crate) async fn maintain_membership(ctx: Arc<Context>) {
    let ttl = Duration::from_millis(ctx.settings.membership.ttl_ms);
    loop {
        let lost = match join(&ctx, ttl).await {
            Ok(lease) => {
                emit!(ctx.log, info, MembershipGranted; "lease" => lease.0);
                stay(&ctx, lease, ttl).await
            }
            Err(error) => Some(error),
        };
        let Some(error) = lost else {
            return;
        };
        emit!(ctx.log, warn, MembershipLost; "reason" => %error);
        if !ctx.timer.sleep(RETRY_PAUSE).await {
            return;
        }
    }
}

async fn join(ctx: &Context, ttl: Duration) -> Result<Lease, Error> {
    let lease = ctx.store.grant(ttl).await?;
    announce(ctx, lease).await?;
    Ok(lease)
}

/// Writes the member key under `lease`, whoever wrote it before.
async fn announce(ctx: &Context, lease: Lease) -> Result<(), Error> {
    let key = format!("{MEMBER_PREFIX}{}", ctx.settings.name);
    let known = ctx.store.get(&key).await?.map_or(Revision::ABSENT, |entry| entry.revision);
    let value = ctx.member().encode();
    match platform::write(&ctx.store, &key, known, value, Some(lease), WRITE_PATIENCE).await? {
        Outcome::Written(_) => Ok(()),
        Outcome::Conflict => Err(Error::NotRun { reason: "the member key changed".to_owned() }),
    }
}

/// Renews the lease; gets the error that ended it, or `None` when the process
/// stops.
async fn stay(ctx: &Context, lease: Lease, ttl: Duration) -> Option<Error> {
    let mut ticks = ctx.timer.every(ttl / RENEWALS_PER_TTL);
    let mut draining = ctx.draining.subscribe();
    loop {
        tokio::select! {
            tick = ticks.next() => {
                if tick.is_none() {
                    // The others needn't wait for the lease to lapse.
                    let _ = ctx.store.revoke(lease).await;
                    return None;
                }
                // Other failures may pass before the lease lapses.
                if let Err(Error::Lapsed) = ctx.store.renew(lease).await {
                    return Some(Error::Lapsed);
                }
            }
            Ok(()) = draining.changed() => {
                if let Err(error) = announce(ctx, lease).await {
                    return Some(error);
                }
            }
        }
    }
}
