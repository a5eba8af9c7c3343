//! Calls that wait for a slot.

use std::{collections::BTreeMap, time::Duration};

use schema::Urgency;

/// Time by which a call of normal urgency ranks behind an urgent one.
const NORMAL_HANDICAP: Duration = Duration::from_secs(2);

/// Time by which a batch call ranks behind an urgent one. It also bounds how
/// long urgent calls can hold a batch call back.
const BATCH_HANDICAP: Duration = Duration::from_secs(30);

/// A `Ticket` is the place of a call in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    rank: Duration,
    number: u64,
}

/// A `Queue` holds what waits in the order of urgency and age.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    waiting: BTreeMap<Ticket, T>,
    numbers: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), numbers: 0 }
    }
}

impl<T> Queue<T> {
    pub(crate) fn push(&mut self, urgency: Urgency, now: Duration, item: T) -> Ticket {
        self.numbers += 1;
        let handicap = match urgency {
            Urgency::Urgent => Duration::ZERO,
            Urgency::Normal => NORMAL_HANDICAP,
            Urgency::Batch => BATCH_HANDICAP,
        };
        let ticket = Ticket { rank: now + handicap, number: self.numbers };
        self.waiting.insert(ticket, item);
        ticket
    }

    pub(crate) fn pop(&mut self) -> Option<T> {
        self.waiting.pop_first().map(|(_, item)| item)
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.waiting.remove(&ticket)
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}
