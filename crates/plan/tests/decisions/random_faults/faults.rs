//! Which faults a day has, and how often.

use rand::{Rng, rngs::StdRng};

/// Fault that strikes at random times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A target crashes and starts again under its id.
    Crash,
    /// Links of a target are cut.
    Cut,
    /// A target treats part of its orders badly.
    Impairment,
    /// The entry of a target vanishes from the list for a while.
    Unlisting,
    /// A target drains, leaves, and may come back under its id.
    Drain,
    /// The leader dies, hands over, or stands still.
    Leader,
    /// The store is slow, down, or loses answers.
    Store,
}

const KINDS: [(Kind, f64); 7] = [
    (Kind::Crash, 0.15),
    (Kind::Cut, 0.25),
    (Kind::Impairment, 0.25),
    (Kind::Unlisting, 0.15),
    (Kind::Drain, 0.08),
    (Kind::Leader, 0.15),
    (Kind::Store, 0.15),
];

/// Which processes of a target carry out an order, unless they have seen a
/// higher token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Orders {
    /// Starts and leases have no effect on a process other than the one that the
    /// leader takes the target for.
    Bound,
    /// Orders reach the process to which a connection is made.
    Connected,
    /// Late orders may outlive the process to which they were sent, and reach a
    /// later one.
    Outliving,
}

/// Faults of one day. Each day has some kinds only, so that faults which mask
/// one another also strike alone.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Mean number of faults of each kind per second.
    pub rates: Vec<(Kind, f64)>,
    /// Share of orders that are carried out seconds later, without an answer.
    pub late_ratio: f64,
    pub orders: Orders,
    /// Maximum number of ends in a listing; small to have backlogs of ends with
    /// few runs.
    pub max_ends: usize,
    /// Whether the targets refuse runs beyond their capacity.
    pub enforces_capacity: bool,
}

impl Faults {
    pub fn draw(orders: Orders, rng: &mut StdRng) -> Self {
        let mut rates = Vec::new();
        for (kind, rate) in KINDS {
            if rng.random_bool(0.6) {
                rates.push((kind, rate * rng.random_range(0.3..3.0)));
            }
        }
        Self {
            rates,
            late_ratio: [0.0, 0.005, 0.05][rng.random_range(0..3)],
            orders,
            max_ends: [500, 500, 3][rng.random_range(0..3)],
            enforces_capacity: rng.random_bool(0.3),
        }
    }
}
