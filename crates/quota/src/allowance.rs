//! Parts of a team's upper limit that regions may spend.
//!
//! Each region writes only its own grant. It lowers the grant after its use
//! has come down, and raises it only by what no region holds, so the sum of
//! the grants of a team never rises above the limit. All grants are one value
//! in the key-value service, changed by compare-and-swap.

use std::collections::BTreeMap;

use base::{Failure, Name, Resources, Result};
use serde::{Deserialize, Serialize};

/// Part of a region's unused grant that it gives up in one step when another
/// region is short.
const GIVE_UP_DIVISOR: u32 = 2;

/// A `Grant` is what one region may run for one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// What the region may run.
    pub amount: Resources,
    /// What the region would run if it could.
    pub wanted: Resources,
}

/// A `Demand` is what a region runs and waits to run for one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// What counts as running, silent workers included.
    pub used: Resources,
    /// What waits for room within the limit.
    pub waiting: Resources,
}

/// An `Allowances` is the grants of all teams in all regions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowances {
    teams: BTreeMap<Name, BTreeMap<Name, Grant>>,
    /// Who wrote the value, and a number that rises with each write: no two
    /// writes are the same.
    writer: Name,
    serial: u64,
}

impl Allowances {
    /// Gets the grant of a region for a team.
    pub fn grant(&self, team: &str, region: &str) -> Grant {
        self.teams.get(team).and_then(|grants| grants.get(region)).copied().unwrap_or_default()
    }

    /// Gets the sum of a team's grants.
    pub fn sum(&self, team: &str) -> Resources {
        let grants = self.teams.get(team).into_iter().flat_map(BTreeMap::values);
        grants.fold(Resources::ZERO, |sum, grant| sum + grant.amount)
    }

    /// Gets the most that `region` may run for `team` under `limit`, which may
    /// be less than its grant once the limit was lowered.
    pub fn cap(&self, team: &str, region: &str, limit: &Resources) -> Resources {
        let own = self.grant(team, region).amount;
        let sum = self.sum(team);
        let part = |own: u32, limit: u32, sum: u32| {
            if sum <= limit {
                return own;
            }
            // Every region cuts back in proportion; rounding goes down.
            (u64::from(own) * u64::from(limit) / u64::from(sum)) as u32
        };
        Resources {
            cpu_milli: part(own.cpu_milli, limit.cpu_milli, sum.cpu_milli),
            memory_mib: part(own.memory_mib, limit.memory_mib, sum.memory_mib),
            accelerators: part(own.accelerators, limit.accelerators, sum.accelerators),
        }
    }

    /// Sets the grant of `region` for `team` from its demand. Gets whether
    /// anything changed.
    pub fn adjust(
        &mut self,
        team: &Name,
        region: &Name,
        limit: &Resources,
        demand: Demand,
    ) -> bool {
        let old = self.grant(team, region);
        let wanted = demand.used + demand.waiting;
        let others = self.sum(team) - old.amount;
        let left = *limit - others;
        let short = self.others_are_short(team, region);
        // What is in use can't be given up, whatever the limit says now.
        let raised = wanted.min(&left);
        let cap = self.cap(team, region, limit);
        let kept = if short { give_up(old.amount, demand.used) } else { old.amount };
        let lowered = kept.min(&cap);
        let amount = max(max(lowered, raised.min(limit)), demand.used.min(&old.amount));
        let grant = Grant { amount, wanted };
        if grant == old {
            return false;
        }
        self.teams.entry(team.clone()).or_default().insert(region.clone(), grant);
        true
    }

    /// Sets a region's grant to what it is known to be.
    pub fn restore(&mut self, team: &Name, region: &Name, amount: Resources, wanted: Resources) {
        let grant = Grant { amount, wanted };
        self.teams.entry(team.clone()).or_default().insert(region.clone(), grant);
    }

    /// Marks the value as written by `region`.
    pub fn stamp(&mut self, region: &Name) {
        self.writer = region.clone();
        self.serial += 1;
    }

    /// Encodes the grants.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).expect("grants have only encodable parts");
        out
    }

    /// Decodes grants.
    ///
    /// # Errors
    /// Fails if the bytes are no grants.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        ciborium::from_reader(bytes)
            .map_err(|error| Failure::invalid(format!("allowances: {error}")))
    }

    fn others_are_short(&self, team: &str, region: &Name) -> bool {
        let grants = self.teams.get(team).into_iter().flatten();
        grants.filter(|(name, _)| *name != region).any(|(_, g)| !g.wanted.fits(&g.amount))
    }
}

fn give_up(amount: Resources, used: Resources) -> Resources {
    let slack = amount - used;
    let part = |n: u32| n.div_ceil(GIVE_UP_DIVISOR);
    amount
        - Resources {
            cpu_milli: part(slack.cpu_milli),
            memory_mib: part(slack.memory_mib),
            accelerators: part(slack.accelerators),
        }
}

fn max(a: Resources, b: Resources) -> Resources {
    Resources {
        cpu_milli: a.cpu_milli.max(b.cpu_milli),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
