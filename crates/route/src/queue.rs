//! Calls that wait for a slot.

use std::{collections::BTreeMap, time::Duration};

use schema::Urgency;

/// Time by which a call of normal urgency ranks behind an urgent one.
const NORMAL_HANDICAP: Duration = Duration::from_secs(2);

/// Time by which a batch call ranks behind an urgent one. It also bounds how
/// long urgent calls can hold a batch call back.
const BATCH_HANDICAP: Duration = Duration::from_secs(30);

/// A `Discipline` is the order in which waiting calls are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discipline {
    /// By urgency and age.
    #[default]
    Urgency,
    /// By age alone; the baseline of the measurements.
    Fifo,
}

impl Discipline {
    /// Gets by how much a call of an urgency ranks behind an urgent one.
    fn handicap(self, urgency: Urgency) -> Duration {
        match (self, urgency) {
            (Self::Fifo, _) | (Self::Urgency, Urgency::Urgent) => Duration::ZERO,
            (Self::Urgency, Urgency::Normal) => NORMAL_HANDICAP,
            (Self::Urgency, Urgency::Batch) => BATCH_HANDICAP,
        }
    }
}

/// A `Ticket` is the place of a call in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Ticket {
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
    /// Enters an item that arrived at `arrived`, with a handicap.
    pub(crate) fn push(
        &mut self,
        discipline: Discipline,
        urgency: Urgency,
        arrived: Duration,
        item: T,
    ) -> Ticket {
        self.numbers += 1;
        let rank = arrived + discipline.handicap(urgency);
        let ticket = Ticket { rank, number: self.numbers };
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
