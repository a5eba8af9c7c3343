//! Queue of calls waiting for a slot.

use std::{collections::BTreeMap, time::Duration};

use schema::Urgency;

/// Time by which a call of normal urgency ranks behind an urgent one.
const NORMAL_RANK_MARGIN: Duration = Duration::from_secs(2);

/// Time by which a batch call ranks behind an urgent one. This is also the
/// longest time for which later urgent calls can overtake a batch call, so that
/// batch calls do not starve.
const BATCH_RANK_MARGIN: Duration = Duration::from_secs(30);

/// Order in which waiting calls are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discipline {
    /// By urgency and age.
    #[default]
    Urgency,
    /// By age alone; the baseline in benchmarks.
    Fifo,
}

impl Discipline {
    /// Returns the time by which a call of `urgency` ranks behind an urgent one.
    fn rank_margin(self, urgency: Urgency) -> Duration {
        match (self, urgency) {
            (Self::Fifo, _) | (Self::Urgency, Urgency::Urgent) => Duration::ZERO,
            (Self::Urgency, Urgency::Normal) => NORMAL_RANK_MARGIN,
            (Self::Urgency, Urgency::Batch) => BATCH_RANK_MARGIN,
        }
    }
}

/// Position of a call in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    rank: Duration,
    number: u64,
}

/// Waiting items, ordered by urgency and age.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    waiting: BTreeMap<Position, T>,
    last_number: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), last_number: 0 }
    }
}

impl<T> Queue<T> {
    /// Adds an item that arrived at time `arrived`; returns its position.
    pub(crate) fn push(
        &mut self,
        discipline: Discipline,
        urgency: Urgency,
        arrived: Duration,
        item: T,
    ) -> Position {
        self.last_number += 1;
        let rank = arrived + discipline.rank_margin(urgency);
        let position = Position { rank, number: self.last_number };
        self.waiting.insert(position, item);
        position
    }

    pub(crate) fn pop(&mut self) -> Option<T> {
        self.waiting.pop_first().map(|(_, item)| item)
    }

    pub(crate) fn remove(&mut self, position: Position) -> Option<T> {
        self.waiting.remove(&position)
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}
