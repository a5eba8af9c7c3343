//! The instances that place tasks and route calls in each region.
//!
//! The division of a region is one value in the key-value service, changed by
//! compare-and-swap when an instance joins or leaves. The term rises with each
//! change. Targets refuse lower terms, so requests that an earlier owner sends
//! after a pause have no effect.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use base::{Name, emit};
use bytes::Bytes;
use platform::{Outcome, Revision};
use serde::{Deserialize, Serialize};

use crate::{
    process::{Context, Member},
    version::rendezvous::{select_owner, weight},
};

/// Prefix of the keys of divisions, followed by the region's name.
pub(crate) const DIVISION_PREFIX: &str = "s/division/";

/// Time between checks of the divisions against the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a proposed division must stay the same before it is written
/// while the region's placer is a member. Instances that start together then
/// join in one change.
const SETTLE_DELAY: Duration = Duration::from_millis(400);

/// Additional delay per member ranked before this instance, so that instances
/// don't write the same division at once.
const RANK_DELAY: Duration = Duration::from_millis(400);

/// Grace period after an outage of the key-value service, in multiples of the
/// membership TTL. Missing members are not acted upon during this time, since
/// they may be about to renew their leases.
const RECONNECT_GRACE_TTLS: u32 = 1;

/// Time after which a write with an unknown outcome is abandoned; the next
/// check decides again from what is stored.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The placer of a region and the owners of its runners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Division {
    /// Term of the division; rises with each change.
    pub term: u64,
    /// Instance that places the region's tasks.
    pub placer: Name,
    /// Term in which the placer took over the region.
    pub placer_term: u64,
    /// Instances among which the runners are divided.
    pub members: Vec<Name>,
}

impl Division {
    /// Returns the instance that owns a runner; `None` without members.
    pub fn owner(&self, runner: &str) -> Option<&Name> {
        select_owner(&self.members, runner)
    }

    /// Decodes a division; returns `None` if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    fn encode(&self) -> Bytes {
        serde_json::to_vec(self).expect("division fields are JSON-encodable").into()
    }
}

/// Divisions of all regions with their revisions.
#[derive(Clone, Debug, Default)]
pub struct Divisions {
    /// Divisions and their revisions in the key-value service, by region.
    pub by_region: BTreeMap<Name, (Division, Revision)>,
}

impl Divisions {
    /// Returns the division of a region.
    pub fn get(&self, region: &str) -> Option<&Division> {
        self.by_region.get(region).map(|(division, _)| division)
    }
}

/// Returns the division that a region should have, or `None` if no instance can
/// serve the region. The placer stays as long as it serves the region.
pub fn propose<'a>(
    region: &str,
    current: &Division,
    members: impl Iterator<Item = &'a Member> + Clone,
) -> Option<Division> {
    let available = members.filter(|member| !member.draining);
    let local: Vec<_> = available.clone().filter(|member| *member.region == *region).collect();
    // A region without an instance of its own is served by all others.
    let serving = if local.is_empty() { available.collect() } else { local };
    let names: Vec<Name> = serving.iter().map(|member| member.name.clone()).collect();
    let placer = match names.contains(&current.placer) {
        true => &current.placer,
        false => select_owner(&names, region)?,
    };
    if *placer == current.placer && names == current.members {
        return Some(current.clone());
    }
    let term = current.term + 1;
    let placer_term = if *placer == current.placer { current.placer_term } else { term };
    Some(Division { term, placer: placer.clone(), placer_term, members: names })
}

/// Brings the divisions of all regions in line with the membership until the
/// process stops.
pub(crate) async fn reconcile_divisions(ctx: Arc<Context>) {
    let ttl = Duration::from_millis(ctx.settings.membership.ttl_ms);
    let mut proposals: HashMap<Name, (Division, Duration)> = HashMap::new();
    let mut ticks = ctx.timer.every(CHECK_INTERVAL);
    let mut had_outage = false;
    while ticks.next().await.is_some() {
        let members = Arc::clone(&ctx.members.borrow());
        // While the store does not answer, the list of members is out of date.
        if ctx.store.age() > ttl {
            had_outage = true;
            continue;
        }
        let grace = if had_outage { ttl * RECONNECT_GRACE_TTLS } else { SETTLE_DELAY };
        if ctx.timer.now() < members.synced_at + grace || !members.by_name.contains_key(&ctx.name) {
            continue;
        }
        let divisions = Arc::clone(&ctx.divisions.borrow());
        for region in regions(&ctx) {
            let (current, revision) = divisions.by_region.get(&region).cloned().unwrap_or_default();
            let Some(proposal) = propose(&region, &current, members.by_name.values()) else {
                continue;
            };
            if proposal == current {
                proposals.remove(&region);
                continue;
            }
            let now = ctx.timer.now();
            let since = match proposals.get(&region) {
                Some((known, since)) if *known == proposal => *since,
                _ => {
                    proposals.insert(region.clone(), (proposal.clone(), now));
                    now
                }
            };
            let is_placer_present = members.by_name.contains_key(&current.placer);
            let delay = if is_placer_present { SETTLE_DELAY } else { Duration::ZERO };
            if now >= since + delay + RANK_DELAY * rank(&ctx, &region) {
                proposals.remove(&region);
                write(&ctx, &region, proposal, revision).await;
            }
        }
    }
}

/// Returns the regions of the platform's list and of the members.
fn regions(ctx: &Context) -> BTreeSet<Name> {
    let instances = Arc::clone(&ctx.instances.borrow());
    let members = Arc::clone(&ctx.members.borrow());
    let of_instances = instances.iter().map(|instance| instance.region.clone());
    of_instances.chain(members.by_name.values().map(|member| member.region.clone())).collect()
}

/// Returns the number of members that write a region's division before this
/// instance.
fn rank(ctx: &Context, region: &str) -> u32 {
    let members = Arc::clone(&ctx.members.borrow());
    let own_weight = weight(&ctx.name, region);
    let is_ranked_before =
        |member: &&Member| !member.draining && weight(&member.name, region) > own_weight;
    members.by_name.values().filter(is_ranked_before).count() as u32
}

async fn write(ctx: &Context, region: &Name, proposal: Division, expected: Revision) {
    let key = format!("{DIVISION_PREFIX}{region}");
    let value = proposal.encode();
    match platform::write(&ctx.store, &key, expected, value, None, WRITE_TIMEOUT).await {
        Ok(Outcome::Written(revision)) => {
            emit!(ctx.log, info, DivisionWritten; "region" => %region, "term" => proposal.term,
                "placer" => %proposal.placer);
            update_division(ctx, region.clone(), proposal, revision);
        }
        // Another instance was first; the watch delivers what that instance
        // wrote.
        Ok(Outcome::Conflict) => {}
        Err(error) => emit!(ctx.log, warn, StoreRequestFailed; "key" => key, "reason" => %error),
    }
}

/// Updates the known division of a region, unless one of the same or a later
/// term is known.
pub(crate) fn update_division(ctx: &Context, region: Name, division: Division, revision: Revision) {
    ctx.divisions.send_if_modified(|divisions| {
        let known = divisions.by_region.get(&region);
        if known.is_some_and(|(known, _)| known.term >= division.term) {
            return false;
        }
        emit!(ctx.log, info, DivisionChanged; "region" => %region, "term" => division.term,
            "placer" => %division.placer, "members" => division.members.len());
        let mut next = Divisions::clone(divisions);
        next.by_region.insert(region, (division, revision));
        *divisions = Arc::new(next);
        true
    });
}
