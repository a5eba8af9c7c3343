//! What has to be recorded, and what may follow once it is.
//!
//! A batch is one change of the key-value service, and several may be under way,
//! each job in one of them. The ends of jobs go first: callers wait for them. It
//! answers a slow service, whose answers take some 250 ms: an end is told after
//! one answer, however much else has to be recorded. Progress that ends no job
//! waits as long as a record takes, so that an end that follows soon finds no
//! earlier record of its job under way.
//!
//! A target may forget an end when all that the end has changed is recorded, and
//! so are the ends before it.

use std::{cmp::Reverse, time::Duration};

use base::Name;
use work::Progress;

use crate::{planner::Planner, target::TargetId};

/// A `Batch` is what is recorded in one go.
#[derive(Debug)]
pub struct Batch {
    /// What is recorded of each job.
    pub records: Vec<Record>,
}

/// A `Record` is what is recorded of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Id of the job.
    pub id: Name,
    /// Its progress.
    pub progress: Progress,
    /// Whether the job itself is still needed.
    pub retention: Retention,
}

impl Record {
    /// Gets how many keys the record writes or removes.
    pub fn key_count(&self) -> usize {
        match self.retention {
            Retention::Keep => 1,
            // The progress, the job and its cancellation.
            Retention::Remove => 3,
        }
    }
}

/// A `Retention` says whether a job is needed beside its progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retention {
    /// It isn't done, or runs of it still take room.
    Keep,
    /// It has ended, and so have all its runs.
    Remove,
}

impl Planner {
    /// Takes in how long a record takes at the moment.
    pub fn set_record_latency(&mut self, time: Duration) {
        self.record_latency = time.min(self.settings.max_progress_delay);
    }

    /// Gets what has changed and has to be recorded now; `None` if nothing has,
    /// or only what is of jobs that are being recorded.
    pub fn take_batch(&mut self, now: Duration) -> Option<Batch> {
        let is_due = |id: &Name, since: Duration| {
            self.unpublished_ends.contains(id) || now.saturating_sub(since) >= self.record_latency
        };
        let mut due: Vec<(bool, Duration, Name)> = self
            .unrecorded
            .iter()
            .filter(|(id, since)| !self.recording_jobs.contains(*id) && is_due(id, **since))
            .map(|(id, since)| (self.unpublished_ends.contains(id), *since, id.clone()))
            .collect();
        due.sort_by_key(|(is_end, since, _)| (Reverse(*is_end), *since));
        let mut records = Vec::new();
        let mut key_count = 0;
        for (_, _, id) in due {
            let Some(job) = self.jobs.get(&id) else {
                self.unrecorded_jobs.remove(&id);
                continue;
            };
            let is_removable = job.state.is_final() && job.run_count == 0;
            let retention = if is_removable { Retention::Remove } else { Retention::Keep };
            let record = Record { id, progress: job.progress(), retention };
            key_count += record.key_count();
            if key_count > self.settings.max_keys_per_batch && !records.is_empty() {
                break;
            }
            self.unrecorded_jobs.remove(&record.id);
            self.recording_jobs.insert(record.id.clone());
            records.push(record);
        }
        (!records.is_empty()).then_some(Batch { records })
    }

    /// Takes note that a batch is recorded: final states may be told, and targets
    /// may forget the ends that it holds.
    pub fn batch_recorded(&mut self, batch: Batch) {
        for Record { id, progress, .. } in batch.records {
            self.recording_jobs.remove(&id);
            if progress.state.is_final() && self.unpublished_ends.remove(&id) {
                self.state_changes.push((id, progress.state));
            }
        }
        for index in 0..self.targets.len() {
            self.drop_recorded_ends(TargetId(index as u32));
        }
    }

    /// Takes note that a batch could not be recorded.
    pub fn batch_failed(&mut self, batch: Batch, now: Duration) {
        for Record { id, .. } in batch.records {
            self.recording_jobs.remove(&id);
            self.mark_unrecorded(&id, now);
        }
    }

    /// Notes that the progress of a job has to be recorded.
    pub(crate) fn mark_unrecorded(&mut self, id: &Name, now: Duration) {
        self.unrecorded_jobs.entry(id.clone()).or_insert(now);
    }

    /// Has a target forget the ends of which all is recorded.
    pub(crate) fn drop_recorded_ends(&mut self, id: TargetId) {
        let ends = &mut self.targets[id.0 as usize].unrecorded_ends;
        while let Some((_, job)) = ends.front()
            && !self.unrecorded_jobs.contains_key(job)
            && !self.recording_jobs.contains(job)
        {
            ends.pop_front();
        }
    }
}
