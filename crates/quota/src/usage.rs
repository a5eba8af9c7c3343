//! Resource usage of teams, which determines the order in which they are served.
//!
//! The order is weighted dominant resource fairness: the dominant share of a team
//! is the largest fraction that it uses of any resource of the cell. The team
//! with the smallest dominant share, divided by its weight, comes first.

use std::collections::HashMap;

use base::{Name, Resources};

/// Resources in use by each team.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    used: HashMap<Name, Resources>,
}

impl Usage {
    /// Adds resources that a team has started to use.
    pub fn add(&mut self, team: &Name, size: Resources) {
        *self.used.entry(team.clone()).or_default() += size;
    }

    /// Subtracts resources that a team no longer uses.
    pub fn remove(&mut self, team: &Name, size: Resources) {
        if let Some(used) = self.used.get_mut(team) {
            *used -= size;
        }
    }

    /// Returns the resources that a team uses.
    pub fn used(&self, team: &str) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Returns the dominant share of a team, in millionths of the cell's capacity,
    /// divided by its weight. A weight of 0 counts as 1.
    pub fn weighted_share_ppm(&self, team: &str, weight: u32, capacity: &Resources) -> u64 {
        self.used(team).dominant_share_ppm(capacity) / u64::from(weight.max(1))
    }
}
