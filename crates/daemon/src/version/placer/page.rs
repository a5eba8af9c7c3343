//! Pages of the ledger that hold jobs.

use std::{collections::HashMap, time::Duration};

use base::{Failure, Name, Result};
use bytes::Bytes;
use prost::Message;
use serde::{Deserialize, Serialize};
use target::{AttemptId, Start};
use wire::{PeerReply, pb};

use crate::version::{
    ledger::Writer,
    placer::{
        command::Reply,
        job::{Assignment, End, Job, Phase, TaskState},
        spec::Spec,
    },
};

/// Maximum size of a page, in bytes; a value of the key-value service holds up
/// to one megabyte.
pub(crate) const MAX_PAGE_BYTES: usize = 900 << 10;

/// Action that follows once a page is written.
#[derive(Debug)]
pub(crate) enum FollowUp {
    /// Answer a request.
    Reply(Reply, PeerReply),
    /// Send the start of an attempt to a worker.
    Start(Name, Start),
    /// Let a worker forget an attempt.
    Forget(Name, AttemptId),
}

/// Part of a region's ledger that one key holds.
#[derive(Debug)]
pub(crate) struct Page {
    /// Absent while a write is in flight.
    pub(crate) writer: Option<Writer>,
    pub(crate) is_dirty: bool,
    /// Size of the last write, in bytes.
    pub(crate) size_bytes: usize,
    pub(crate) written_at: Option<Duration>,
    /// Actions that follow the next write.
    pub(crate) queued: Vec<FollowUp>,
    /// Actions that follow the write in flight.
    pub(crate) in_flight: Vec<FollowUp>,
}

impl Page {
    pub(crate) fn new(writer: Writer) -> Self {
        Self {
            writer: Some(writer),
            is_dirty: false,
            size_bytes: 0,
            written_at: None,
            queued: Vec::new(),
            in_flight: Vec::new(),
        }
    }

    /// Schedules a write of the page with an action that follows it.
    pub(crate) fn after_write(&mut self, follow_up: FollowUp) {
        self.is_dirty = true;
        self.queued.push(follow_up);
    }

    /// Fails all requests that wait for a write with `failure`.
    pub(crate) fn refuse_all(&mut self, failure: &Failure) {
        for follow_up in self.in_flight.drain(..).chain(self.queued.drain(..)) {
            if let FollowUp::Reply(reply, _) = follow_up {
                let _ = reply.send(Err(failure.clone()));
            }
        }
    }
}

/// Stored form of a page. Workers are listed once and referred to by position.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct PageRecord {
    workers: Vec<(Name, u64)>,
    jobs: Vec<JobRecord>,
}

#[derive(Serialize, Deserialize)]
struct JobRecord {
    id: Name,
    team: Name,
    spec: Bytes,
    accepted_ms: u64,
    cancelled: bool,
    ended_ms: Option<u64>,
    #[serde(default)]
    first_start_ms: Option<u64>,
    /// Runs of tasks with equal ends: the end, the first index, the last index.
    ended: Vec<(End, u32, u32)>,
    /// Tasks with a worker: index, attempt, position of the worker.
    assigned: Vec<(u32, u32, u32)>,
    /// Pending tasks that were tried before: index, next attempt, failures.
    #[serde(rename = "again")]
    retried: Vec<(u32, u32, u32)>,
}

impl PageRecord {
    /// Returns the stored form of a page with these jobs.
    pub(crate) fn new<'a>(jobs: impl Iterator<Item = &'a Job>) -> Self {
        let mut workers = WorkerTable::default();
        let jobs = jobs.map(|job| JobRecord::new(job, &mut workers)).collect();
        Self { workers: workers.entries, jobs }
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).expect("page fields are CBOR-encodable");
        out
    }

    /// Decodes a page that an earlier owner wrote; an empty body is an empty
    /// page.
    pub(crate) fn decode(body: &[u8]) -> Result<Self> {
        if body.is_empty() {
            return Ok(Self::default());
        }
        ciborium::from_reader(body)
            .map_err(|error| Failure::invalid(format!("ledger page: {error}")))
    }

    /// Returns the jobs of the page with index `page`.
    ///
    /// # Errors
    /// Fails if a job can't be decoded or refers to a task or worker that
    /// doesn't exist.
    pub(crate) fn into_jobs(self, page: usize) -> Result<Vec<Job>> {
        let Self { workers, jobs } = self;
        jobs.into_iter().map(|record| record.into_job(&workers, page)).collect()
    }
}

#[derive(Default)]
struct WorkerTable {
    entries: Vec<(Name, u64)>,
    positions: HashMap<(Name, u64), u32>,
}

impl WorkerTable {
    fn position_of(&mut self, worker: &Name, boot: u64) -> u32 {
        let key = (worker.clone(), boot);
        *self.positions.entry(key.clone()).or_insert_with(|| {
            self.entries.push(key);
            self.entries.len() as u32 - 1
        })
    }
}

impl JobRecord {
    fn new(job: &Job, workers: &mut WorkerTable) -> Self {
        let mut record = Self {
            id: job.id.clone(),
            team: job.team.clone(),
            spec: job.spec.body.clone(),
            accepted_ms: job.accepted_ms,
            cancelled: job.is_cancelled,
            ended_ms: job.ended_ms,
            first_start_ms: job.first_start_ms,
            ended: Vec::new(),
            assigned: Vec::new(),
            retried: Vec::new(),
        };
        for (index, task) in (0..).zip(&job.tasks) {
            match &task.state {
                TaskState::Pending if task.attempt == 1 => {}
                TaskState::Pending => record.retried.push((index, task.attempt, task.failures)),
                TaskState::Assigned(assignment) => {
                    let worker = workers.position_of(&assignment.worker, assignment.boot);
                    record.assigned.push((index, task.attempt, worker));
                }
                TaskState::Ended(end) => match record.ended.last_mut() {
                    Some((last, _, to)) if last == end && *to + 1 == index => *to = index,
                    _ => record.ended.push((*end, index, index)),
                },
            }
        }
        record
    }

    fn into_job(self, workers: &[(Name, u64)], page: usize) -> Result<Job> {
        let message = pb::Job::decode(self.spec)
            .map_err(|error| Failure::invalid(format!("ledger: job {}: {error}", self.id)))?;
        let spec = Spec::try_from(&message)?;
        let out_of_range =
            || Failure::invalid(format!("ledger: job {}: a task is out of range", self.id));
        let mut job = Job::new(self.id.clone(), self.team, spec, page, self.accepted_ms);
        job.is_cancelled = self.cancelled;
        job.ended_ms = self.ended_ms;
        job.first_start_ms = self.first_start_ms;
        for (end, first, last) in self.ended {
            for index in first..=last.min(job.spec.tasks - 1) {
                job.end(index, end);
            }
        }
        for (index, attempt, failures) in self.retried {
            let task = job.tasks.get_mut(index as usize).ok_or_else(out_of_range)?;
            task.attempt = attempt;
            task.failures = failures;
        }
        for (index, attempt, worker) in self.assigned {
            let (worker, boot) = workers.get(worker as usize).cloned().ok_or_else(out_of_range)?;
            job.tasks.get_mut(index as usize).ok_or_else(out_of_range)?.attempt = attempt;
            // After the first claim in this term, a worker refuses requests of
            // the earlier owner. The first report therefore shows whether the
            // attempt runs.
            let phase = Phase::Sent { not_after: Duration::ZERO, is_confirmed: false };
            job.assign(index, Assignment { worker, boot, phase, is_evicted: false });
        }
        Ok(job)
    }
}
