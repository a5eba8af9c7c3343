//! Division of a team's upper limit between two regions, which share one stored
//! value while tasks start and end.
//!
//! The model runs [`quota::Allowances`], the code that regions use. The usage of
//! both regions together must never exceed the limit.

use base::{Name, Resources};
use quota::{Allowances, Demand};

use crate::Model;

/// Highest demand of a region, running and waiting.
const MAX_DEMAND: u32 = 3;

/// Guards of the protocol that are enabled.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// The stored value is written by compare-and-swap.
    pub uses_cas: bool,
    /// A region starts tasks only within its written grant.
    pub starts_within_grant: bool,
}

/// Model of the division of a team's limit.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Guards that are enabled.
    pub guards: Guards,
    /// Upper limit of the team, on the usage of both regions.
    pub limit: u32,
}

/// Demand and view of one region.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Region {
    used: u32,
    waiting: u32,
    /// Grant as last read or written, or the lower one of a pending write.
    grant: u32,
    /// Revision that was read and value to write, between read and write.
    pending_write: Option<(u32, [(u32, u32); 2])>,
}

/// Stored value with its revision, and both regions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    revision: u32,
    /// Granted and wanted amount of each region.
    stored: [(u32, u32); 2],
    regions: [Region; 2],
}

/// Stored revisions to search; bounds the state space.
const MAX_REVISION: u32 = 4;

impl Model for Allowance {
    type State = State;

    fn initial_state(&self) -> State {
        let region = Region { used: 0, waiting: 0, grant: 0, pending_write: None };
        State { revision: 0, stored: [(0, 0); 2], regions: [region.clone(), region] }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for number in 0..2 {
            let region = &state.regions[number];
            if region.used + region.waiting < MAX_DEMAND {
                let mut submitted = state.clone();
                submitted.regions[number].waiting += 1;
                next.push(submitted);
            }
            let start_limit =
                if self.guards.starts_within_grant { region.grant } else { self.limit };
            if region.waiting > 0 && region.used < start_limit {
                let mut started = state.clone();
                started.regions[number].waiting -= 1;
                started.regions[number].used += 1;
                next.push(started);
            }
            if region.used > 0 {
                let mut ended = state.clone();
                ended.regions[number].used -= 1;
                next.push(ended);
            }
            match region.pending_write {
                None if state.revision < MAX_REVISION => {
                    let value = adjust_grant(state.stored, number, self.limit, region);
                    let mut decided = state.clone();
                    // A lowered grant applies from the decision on, before its
                    // write.
                    let (amount, _) = value[number];
                    decided.regions[number].grant = region.grant.min(amount);
                    decided.regions[number].pending_write = Some((state.revision, value));
                    next.push(decided);
                }
                None => {}
                Some((revision, value)) => {
                    let mut written = state.clone();
                    written.regions[number].pending_write = None;
                    if revision == state.revision || !self.guards.uses_cas {
                        written.revision += 1;
                        written.stored = value;
                        written.regions[number].grant = value[number].0;
                    } else {
                        // The region that loses the swap rereads the stored
                        // value.
                        written.regions[number].grant = state.stored[number].0;
                    }
                    next.push(written);
                }
            }
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let used: u32 = state.regions.iter().map(|region| region.used).sum();
        (used > self.limit).then_some("the regions run more than the limit")
    }
}

/// Returns the stored value with the grant of one region adjusted by
/// [`Allowances::adjust`].
fn adjust_grant(
    stored: [(u32, u32); 2],
    number: usize,
    limit: u32,
    region: &Region,
) -> [(u32, u32); 2] {
    let size = |amount| Resources { cpu_milli: amount, memory_mib: 0, accelerators: 0 };
    let (team, names) = (Name::from("team"), [Name::from("a"), Name::from("b")]);
    let mut allowances = Allowances::default();
    for (name, (amount, wanted)) in names.iter().zip(stored) {
        allowances.restore(&team, name, size(amount), size(wanted));
    }
    let demand = Demand { used: size(region.used), waiting: size(region.waiting) };
    allowances.adjust(&team, &names[number], &size(limit), demand);
    names.map(|name| {
        let grant = allowances.grant(&team, &name);
        (grant.amount.cpu_milli, grant.wanted.cpu_milli)
    })
}
