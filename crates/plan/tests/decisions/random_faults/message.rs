//! Orders to the simulated targets, and their answers.

use std::time::Duration;

use plan::{Listing, Refusal, Start};
use work::TaskKey;

/// Order on its way to a target.
#[derive(Clone, Debug)]
pub struct Call {
    pub number: u64,
    pub term: u32,
    pub target: usize,
    pub fence: u64,
    /// Process that the leader takes the target for; 0 if unknown.
    pub born: u64,
    pub order: Order,
}

#[derive(Clone, Debug)]
pub enum Order {
    Start { start: Start, until_ms: u64 },
    Stop { task: TaskKey, run: u32 },
    Hold { until_ms: Option<u64>, last_seen: u64, wait: Duration },
}

/// Answer of a target, with the reading of its clock.
#[derive(Clone, Debug)]
pub enum Reply {
    Done {
        clock_ms: u64,
    },
    Listed {
        listing: Listing,
        clock_ms: u64,
    },
    Refused {
        refusal: Refusal,
        clock_ms: u64,
    },
    /// The target is unhealthy and has done nothing.
    Unavailable,
    /// No connection was made.
    NotSent,
}
