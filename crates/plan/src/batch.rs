//! What has to be recorded, and what may follow once it is.
//!
//! Several batches may be under way. An end may be forgotten by its target when
//! all that was taken in before it is recorded, and a final state is told when it
//! is recorded itself.

use std::collections::BTreeSet;

use base::Name;
use work::Progress;

use crate::board::Board;

/// A `Batch` is what is recorded in one go.
#[derive(Debug)]
pub struct Batch {
    /// What is recorded of each job.
    pub records: Vec<Record>,
    number: u64,
}

/// A `Record` is what is recorded of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Id of the job.
    pub id: Name,
    /// Its progress.
    pub progress: Progress,
    /// Whether the job itself is still needed.
    pub need: Need,
}

/// A `Need` says whether a job is needed beside its progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// It isn't done, or runs of it still take room.
    Needed,
    /// It has ended, and so have all its runs.
    Needless,
}

/// A `Pending` is a batch under way.
#[derive(Debug)]
pub(crate) struct Pending {
    number: u64,
    /// The life of each target and its highest end that was taken in before.
    seen: Vec<(u64, u64)>,
    outcome: Option<Outcome>,
}

/// An `Outcome` is what became of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Recorded,
    Failed,
}

impl Board {
    /// Gets what has changed and has to be recorded; `None` if nothing has, or
    /// only what is of jobs that are being recorded. Several batches may be
    /// under way at a time, each job in one of them.
    pub fn take_batch(&mut self) -> Option<Batch> {
        let seen: Vec<(u64, u64)> =
            self.targets.iter().map(|target| (target.life, target.seen)).collect();
        let is_covered = self.batches.back().is_some_and(|batch| batch.seen == seen)
            || self.targets.iter().all(|target| target.seen <= target.recorded);
        let unrecorded = std::mem::take(&mut self.unrecorded);
        let (held, ids): (BTreeSet<Name>, BTreeSet<Name>) =
            unrecorded.into_iter().partition(|id| self.recording.contains(id));
        self.unrecorded = held;
        // An end may be forgotten only when all that it has changed is recorded.
        if ids.is_empty() && (is_covered || !self.unrecorded.is_empty()) {
            return None;
        }
        let records: Vec<Record> = ids
            .into_iter()
            .filter_map(|id| {
                let job = self.jobs.get(&id)?;
                let is_needless = job.state.is_final() && job.runs == 0;
                let need = if is_needless { Need::Needless } else { Need::Needed };
                Some(Record { id, progress: job.progress(), need })
            })
            .collect();
        self.last_batch += 1;
        let number = self.last_batch;
        self.recording.extend(records.iter().map(|record| record.id.clone()));
        let covered = if self.unrecorded.is_empty() { seen } else { Vec::new() };
        self.batches.push_back(Pending { number, seen: covered, outcome: None });
        Some(Batch { records, number })
    }

    /// Takes note that a batch is recorded: final states may be told, and once
    /// the batches before it are recorded too, targets may forget its ends.
    pub fn recorded(&mut self, batch: Batch) {
        for Record { id, progress, .. } in batch.records {
            self.recording.remove(&id);
            if progress.state.is_final() && self.unannounced.remove(&id) {
                self.changes.push((id, progress.state));
            }
        }
        self.settle_batch(batch.number, Outcome::Recorded);
    }

    /// Takes note that a batch could not be recorded.
    pub fn not_recorded(&mut self, batch: Batch) {
        for Record { id, .. } in batch.records {
            self.recording.remove(&id);
            self.unrecorded.insert(id);
        }
        self.settle_batch(batch.number, Outcome::Failed);
    }

    fn settle_batch(&mut self, number: u64, outcome: Outcome) {
        if let Some(batch) = self.batches.iter_mut().find(|batch| batch.number == number) {
            batch.outcome = Some(outcome);
        }
        if outcome == Outcome::Failed {
            // What it held goes into a later batch, which covers these ends.
            for batch in &mut self.batches {
                batch.seen.clear();
            }
        }
        while self.batches.front().is_some_and(|batch| batch.outcome.is_some()) {
            let Some(batch) = self.batches.pop_front() else {
                return;
            };
            for (target, (life, seen)) in self.targets.iter_mut().zip(batch.seen) {
                // The ends of a later life have numbers of their own.
                if target.life == life {
                    target.recorded = target.recorded.max(seen);
                }
            }
        }
    }
}
