//! A bound on the calls of each team.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use base::Name;

/// A `Limiter` counts the calls of each team that are in flight.
#[derive(Clone, Debug, Default)]
pub struct Limiter(Arc<Mutex<HashMap<Name, u32>>>);

impl Limiter {
    /// Lets one call of `team` in unless `most` are in flight already.
    pub fn try_acquire(&self, team: &Name, most: u32) -> Option<Admission> {
        let mut counts = self.0.lock().expect("no holder panics");
        let count = counts.entry(team.clone()).or_default();
        if *count >= most {
            return None;
        }
        *count += 1;
        Some(Admission { gate: self.clone(), team: team.clone() })
    }

    /// Gets the calls of `team` in flight.
    pub fn in_flight(&self, team: &str) -> u32 {
        self.0.lock().expect("no holder panics").get(team).copied().unwrap_or(0)
    }
}

/// A `Admission` is one call in flight; dropping it lets another one in.
#[derive(Debug)]
pub struct Admission {
    gate: Limiter,
    team: Name,
}

impl Drop for Admission {
    fn drop(&mut self) {
        let mut counts = self.gate.0.lock().expect("no holder panics");
        if let Some(count) = counts.get_mut(&self.team) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.team);
            }
        }
    }
}
