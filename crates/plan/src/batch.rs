//! Recording of progress in the key-value service.
//!
//! A batch is one change in the store. Several batches may be in flight, but
//! each job is in at most one of them. Ends of jobs are recorded first because
//! callers wait for them. The order matters when the store is slow, with
//! answers after about 250 ms: the end of a job is then published after one
//! answer, however much else has to be recorded. Progress that ends no job is
//! delayed by the current record latency, so that an end that follows shortly
//! does not have to wait for an earlier record of its job.
//!
//! A target may forget an end once everything that the end changed is recorded,
//! and all earlier ends of the target are recorded as well.

use std::{cmp::Reverse, time::Duration};

use base::Name;
use work::Progress;

use crate::{
    job::{AwaitedRecord, Job, Origin},
    planner::Planner,
    target::TargetId,
};

/// Records that are written in one change.
#[derive(Debug)]
pub struct Batch {
    /// Records of the batch, one per job.
    pub records: Vec<Record>,
}

/// Recorded state of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Id of the job.
    pub id: Name,
    /// Progress of the job.
    pub progress: Progress,
    /// Whether the stored job is kept beside its progress.
    pub retention: Retention,
}

impl Record {
    /// Returns the number of keys that the record writes or removes.
    pub fn key_count(&self) -> usize {
        match self.retention {
            Retention::Keep => 1,
            // Progress, job and cancellation.
            Retention::Remove => 3,
        }
    }
}

/// What happens to the stored job when its progress is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retention {
    /// Kept: the job has not ended, or runs of it may still exist.
    Keep,
    /// Removed: the job and all its runs have ended.
    Remove,
}

impl Planner {
    /// Returns whether a job and all its runs have ended, those included that the
    /// planner may not know.
    pub(crate) fn has_ended_for_good(&self, job: &Job) -> bool {
        let are_runs_known = job.origin == Origin::Own || self.is_recovered();
        job.state.is_final() && job.run_count == 0 && are_runs_known
    }

    /// Sets the time that recording takes at present.
    pub fn set_record_latency(&mut self, time: Duration) {
        self.record_latency = time.min(self.settings.max_progress_delay);
    }

    /// Returns the progress that is due to be recorded, or `None` if there is
    /// none. Jobs with a record in flight wait for the next batch.
    pub fn take_batch(&mut self, now: Duration) -> Option<Batch> {
        let is_due = |id: &Name, since: Duration| {
            self.unpublished_ends.contains(id) || now.saturating_sub(since) >= self.record_latency
        };
        let mut due: Vec<(bool, Duration, Name)> = self
            .unrecorded_jobs
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
            let is_removable = self.has_ended_for_good(job);
            let retention = if is_removable { Retention::Remove } else { Retention::Keep };
            let record = Record { id, progress: job.progress(), retention };
            key_count += record.key_count();
            if key_count > self.settings.max_keys_per_batch && !records.is_empty() {
                break;
            }
            self.unrecorded_jobs.remove(&record.id);
            self.recording_jobs.insert(record.id.clone());
            self.set_awaited_record(&record.id, AwaitedRecord::InFlight);
            records.push(record);
        }
        (!records.is_empty()).then_some(Batch { records })
    }

    /// Applies a successful record: publishes the final states in the batch and
    /// lets targets forget the recorded ends.
    pub fn batch_recorded(&mut self, batch: Batch) {
        for Record { id, progress, .. } in batch.records {
            self.recording_jobs.remove(&id);
            if let Some(job) = self.jobs.get_mut(&id)
                && job.awaited_record == Some(AwaitedRecord::InFlight)
            {
                job.awaited_record = None;
                self.is_changed = true;
            }
            if progress.state.is_final() && self.unpublished_ends.remove(&id) {
                self.state_changes.push((id, progress.state));
            }
        }
        for index in 0..self.targets.len() {
            self.drop_recorded_ends(TargetId(index as u32));
        }
    }

    /// Marks the jobs of a batch that could not be recorded as unrecorded again.
    pub fn batch_failed(&mut self, batch: Batch, now: Duration) {
        for Record { id, .. } in batch.records {
            self.recording_jobs.remove(&id);
            self.set_awaited_record(&id, AwaitedRecord::Due);
            self.mark_unrecorded(&id, now);
        }
    }

    /// Updates the state of a record that further steps of a job wait for, if any.
    fn set_awaited_record(&mut self, id: &Name, state: AwaitedRecord) {
        if let Some(awaited) = self.jobs.get_mut(id).and_then(|job| job.awaited_record.as_mut()) {
            *awaited = state;
        }
    }

    /// Marks the progress of a job as changed since its last record.
    pub(crate) fn mark_unrecorded(&mut self, id: &Name, now: Duration) {
        self.unrecorded_jobs.entry(id.clone()).or_insert(now);
    }

    /// Drops the leading ends of a target whose jobs have nothing left to
    /// record.
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
