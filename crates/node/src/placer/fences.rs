//! Fencing tokens of orders to targets.
//!
//! A target process refuses orders with a lower token than the highest that it
//! has seen. Tokens of a later term are higher, so the orders of earlier
//! placers are refused. A process that has just started has seen none, though,
//! and it has the id of its predecessor: it carries out what was meant for that
//! one. Each process of a target is therefore given a token of its own, and its
//! listings count only once it has seen that token. From then on, no order for an
//! earlier process can take effect.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::external::Fence;

/// Number of bits of a token below those of the term.
const SEQUENCE_BITS: u32 = 24;

/// Highest sequence number of a term. Further tokens are equal.
const MAX_SEQUENCE: u64 = (1 << SEQUENCE_BITS) - 1;

/// Source of the fencing tokens of one term.
#[derive(Debug)]
pub(crate) struct Fences {
    term: u64,
    sequence: AtomicU64,
}

impl Fences {
    pub(crate) fn new(term: u64) -> Self {
        Self { term, sequence: AtomicU64::new(0) }
    }

    /// Returns a token that is higher than all earlier ones.
    pub(crate) fn next(&self) -> Fence {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed).min(MAX_SEQUENCE);
        Fence(self.term << SEQUENCE_BITS | sequence)
    }
}
