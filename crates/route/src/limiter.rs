//! Limit on the concurrent calls of each team.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use base::Name;

/// Counter of the calls in flight, by team.
#[derive(Clone, Debug, Default)]
pub struct Limiter(Arc<Mutex<HashMap<Name, u32>>>);

impl Limiter {
    /// Admits a call of `team`; returns `None` if `max_in_flight` calls of the
    /// team are in flight already.
    pub fn try_acquire(&self, team: &Name, max_in_flight: u32) -> Option<Admission> {
        let mut counts = self.0.lock().expect("no lock holder panics");
        let count = counts.entry(team.clone()).or_default();
        if *count >= max_in_flight {
            return None;
        }
        *count += 1;
        Some(Admission { limiter: self.clone(), team: team.clone() })
    }

    /// Returns the number of calls of `team` in flight.
    pub fn in_flight(&self, team: &str) -> u32 {
        self.0.lock().expect("no lock holder panics").get(team).copied().unwrap_or(0)
    }
}

/// Admission of one call; the call counts as in flight until this is dropped.
#[derive(Debug)]
pub struct Admission {
    limiter: Limiter,
    team: Name,
}

impl Drop for Admission {
    fn drop(&mut self) {
        let mut counts = self.limiter.0.lock().expect("no lock holder panics");
        if let Some(count) = counts.get_mut(&self.team) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.team);
            }
        }
    }
}
