//! Which team is served next.

use std::collections::HashMap;

use base::{Name, Resources};

/// An `Order` ranks teams by weighted dominant share: the team whose largest
/// fraction of the cell, divided by its weight, is smallest comes first.
#[derive(Clone, Debug, Default)]
pub struct Order {
    used: HashMap<Name, Resources>,
}

impl Order {
    /// Counts what a team started.
    pub fn add(&mut self, team: &Name, size: Resources) {
        *self.used.entry(team.clone()).or_default() += size;
    }

    /// Takes back what a team no longer runs.
    pub fn remove(&mut self, team: &Name, size: Resources) {
        if let Some(used) = self.used.get_mut(team) {
            *used -= size;
        }
    }

    /// Gets what a team runs.
    pub fn used(&self, team: &str) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Gets the dominant share of a team in millionths of the cell, divided by
    /// its weight.
    pub fn rank(&self, team: &str, weight: u32, whole: &Resources) -> u64 {
        self.used(team).dominant_share_ppm(whole) / u64::from(weight.max(1))
    }
}
