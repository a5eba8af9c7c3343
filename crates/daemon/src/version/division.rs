//! Who places tasks and who routes calls in each region.
//!
//! A region's division is one value in the key-value service, changed by
//! compare-and-swap when an instance joins or leaves. Its term rises with each
//! change. Targets refuse lower terms, so what an earlier owner still does
//! after a pause has no effect.

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

/// Time between checks of the divisions.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a wish must stand before it is written while the placer of
/// the region lives. It lets instances that start together join at once.
const SETTLE_DELAY: Duration = Duration::from_millis(400);

/// Further time that each instance waits for the one ranked before it.
const RANK_DELAY: Duration = Duration::from_millis(400);

/// Time after a reconnection for which missing members are not acted upon,
/// since they may be about to renew their leases.
const RECONNECT_GRACE_TTLS: u32 = 1;

/// Time after which an uncertain write of a division is given up; the next
/// check decides anew.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// A `Division` says who places tasks and who routes calls in a region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Division {
    /// Rises with each change.
    pub term: u64,
    /// The instance that places tasks.
    pub placer: Name,
    /// The term in which the placer began.
    pub placer_term: u64,
    /// The instances among which the runners are divided.
    pub members: Vec<Name>,
}

impl Division {
    /// Gets the owner of a runner.
    pub fn owner(&self, runner: &str) -> Option<&Name> {
        select_owner(&self.members, runner)
    }

    /// Decodes a division; `None` if the bytes are none.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    fn encode(&self) -> Bytes {
        serde_json::to_vec(self).expect("division fields are JSON-encodable").into()
    }
}

/// A `Divisions` is the divisions of all regions with their revisions.
#[derive(Clone, Debug, Default)]
pub struct Divisions {
    /// Divisions by region.
    pub by_region: BTreeMap<Name, (Division, Revision)>,
}

impl Divisions {
    /// Gets the division of a region.
    pub fn get(&self, region: &str) -> Option<&Division> {
        self.by_region.get(region).map(|(division, _)| division)
    }
}

/// Gets the division that a region should have; `None` if no instance is there
/// to serve it. The placer stays while it is a member.
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

/// Keeps the divisions of all regions as they should be.
pub(crate) async fn reconcile_divisions(ctx: Arc<Context>) {
    let ttl = Duration::from_millis(ctx.settings.membership.ttl_ms);
    let mut proposals: HashMap<Name, (Division, Duration)> = HashMap::new();
    let mut ticks = ctx.timer.every(CHECK_INTERVAL);
    let mut had_outage = false;
    while ticks.next().await.is_some() {
        let members = Arc::clone(&ctx.members.borrow());
        // While the store is silent the view of the members is old.
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

/// Gets the regions of the platform's list and of the instances.
fn regions(ctx: &Context) -> BTreeSet<Name> {
    let instances = Arc::clone(&ctx.instances.borrow());
    let members = Arc::clone(&ctx.members.borrow());
    let of_instances = instances.iter().map(|instance| instance.region.clone());
    of_instances.chain(members.by_name.values().map(|member| member.region.clone())).collect()
}

/// Gets how many members come before this instance in writing a division.
fn rank(ctx: &Context, region: &str) -> u32 {
    let members = Arc::clone(&ctx.members.borrow());
    let own = weight(&ctx.name, region);
    let is_ranked_before =
        |member: &&Member| !member.draining && weight(&member.name, region) > own;
    members.by_name.values().filter(is_ranked_before).count() as u32
}

async fn write(ctx: &Context, region: &Name, proposal: Division, expected: Revision) {
    let key = format!("{DIVISION_PREFIX}{region}");
    let value = proposal.encode();
    match platform::write(&ctx.store, &key, expected, value, None, WRITE_TIMEOUT).await {
        Ok(Outcome::Written(revision)) => {
            emit!(ctx.log, info, DivisionTaken; "region" => %region, "term" => proposal.term,
                "placer" => %proposal.placer);
            update_division(ctx, region.clone(), proposal, revision);
        }
        // The watch brings what another instance wrote.
        Ok(Outcome::Conflict) => {}
        Err(error) => emit!(ctx.log, warn, StoreFailed; "key" => key, "reason" => %error),
    }
}

/// Takes note of a division unless a later one is known.
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
