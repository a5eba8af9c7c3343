//! Division of each team's upper limit among the regions.
//!
//! Each region holds a grant, a part of the team's limit up to which it may run
//! the team's tasks. A region writes only its own grant. It lowers the grant only
//! after its usage has dropped, and raises it only by the part of the limit that
//! no region holds, so the sum of a team's grants never rises above the limit.
//! All grants are one value in the key-value service, changed by
//! compare-and-swap.

use std::collections::BTreeMap;

use base::{Failure, Name, Resources, Result};
use serde::{Deserialize, Serialize};

/// Divisor of a region's unused grant. The quotient is the part that the region
/// releases in one step while another region's grant is too small.
const RELEASE_DIVISOR: u32 = 2;

/// Part of a team's limit that one region may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Resources that the region may use.
    pub amount: Resources,
    /// Resources that the region needs, whether they are granted or not.
    pub wanted: Resources,
}

/// Resources that one region needs for one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Resources in use, including those on workers that don't respond.
    pub used: Resources,
    /// Resources of tasks that wait because of the limit.
    pub waiting: Resources,
}

/// Grants of all teams in all regions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowances {
    teams: BTreeMap<Name, BTreeMap<Name, Grant>>,
    /// Region that wrote the value. Together with `serial`, which rises with each
    /// write, it makes every written value unique.
    writer: Name,
    serial: u64,
}

impl Allowances {
    /// Returns the grant of a region for a team; a zero grant if there is none.
    pub fn grant(&self, team: &str, region: &str) -> Grant {
        self.teams.get(team).and_then(|grants| grants.get(region)).copied().unwrap_or_default()
    }

    /// Returns the sum of a team's grants.
    pub fn sum(&self, team: &str) -> Resources {
        let grants = self.teams.get(team).into_iter().flat_map(BTreeMap::values);
        grants.fold(Resources::ZERO, |sum, grant| sum + grant.amount)
    }

    /// Returns the resources that `region` may use for `team` under `limit`. They
    /// are less than the grant if the limit has been lowered below the sum of the
    /// grants.
    pub fn cap(&self, team: &str, region: &str, limit: &Resources) -> Resources {
        let own = self.grant(team, region).amount;
        let sum = self.sum(team);
        let scale = |own: u32, limit: u32, sum: u32| {
            if sum <= limit {
                return own;
            }
            // All regions are cut in proportion to their grants. Rounding down
            // keeps the sum within the limit.
            (u64::from(own) * u64::from(limit) / u64::from(sum)) as u32
        };
        Resources {
            cpu_milli: scale(own.cpu_milli, limit.cpu_milli, sum.cpu_milli),
            memory_mib: scale(own.memory_mib, limit.memory_mib, sum.memory_mib),
            accelerators: scale(own.accelerators, limit.accelerators, sum.accelerators),
        }
    }

    /// Sets the grant of `region` for `team` according to `demand`. Returns whether
    /// the grant changed.
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
        let unassigned = *limit - others;
        let must_release = self.others_need_more(team, region);
        let raised = wanted.min(&unassigned);
        let cap = self.cap(team, region, limit);
        let kept = if must_release { release_part(old.amount, demand.used) } else { old.amount };
        let lowered = kept.min(&cap);
        // Resources in use can't be released, even if the limit has been lowered.
        let amount =
            component_max(component_max(lowered, raised.min(limit)), demand.used.min(&old.amount));
        let grant = Grant { amount, wanted };
        if grant == old {
            return false;
        }
        self.teams.entry(team.clone()).or_default().insert(region.clone(), grant);
        true
    }

    /// Overwrites a region's grant with a known one.
    pub fn restore(&mut self, team: &Name, region: &Name, amount: Resources, wanted: Resources) {
        let grant = Grant { amount, wanted };
        self.teams.entry(team.clone()).or_default().insert(region.clone(), grant);
    }

    /// Marks the value as written by `region`, so that it differs from every other
    /// written value.
    pub fn stamp(&mut self, region: &Name) {
        self.writer = region.clone();
        self.serial += 1;
    }

    /// Encodes the grants as CBOR.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).expect("grants can be encoded");
        out
    }

    /// Decodes grants from CBOR.
    ///
    /// # Errors
    /// Fails if `bytes` are not encoded grants.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        ciborium::from_reader(bytes)
            .map_err(|error| Failure::invalid(format!("allowances: {error}")))
    }

    fn others_need_more(&self, team: &str, region: &Name) -> bool {
        let grants = self.teams.get(team).into_iter().flatten();
        grants.filter(|(name, _)| *name != region).any(|(_, g)| !g.wanted.fits(&g.amount))
    }
}

fn release_part(amount: Resources, used: Resources) -> Resources {
    let unused = amount - used;
    let released = |n: u32| n.div_ceil(RELEASE_DIVISOR);
    amount
        - Resources {
            cpu_milli: released(unused.cpu_milli),
            memory_mib: released(unused.memory_mib),
            accelerators: released(unused.accelerators),
        }
}

fn component_max(a: Resources, b: Resources) -> Resources {
    Resources {
        cpu_milli: a.cpu_milli.max(b.cpu_milli),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
