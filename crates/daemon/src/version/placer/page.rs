//! Pages of the ledger that hold jobs.

use std::{collections::HashMap, time::Duration};

use base::{Failure, Name, Result};
use bytes::Bytes;
use prost::Message;
use serde::{Deserialize, Serialize};
use target::{AttemptId, Start};
use wire::{Tell, pb};

use crate::version::{
    ledger::Writer,
    placer::{
        command::Reply,
        job::{Assigned, End, Job, Phase, TaskState},
        spec::Spec,
    },
};

/// Largest page, in bytes; the platform's values hold a megabyte.
pub(crate) const LARGEST_PAGE_BYTES: usize = 900 << 10;

/// A `Then` is what follows once a page is written.
#[derive(Debug)]
pub(crate) enum Then {
    /// Answer a request.
    Reply(Reply, Tell),
    /// Tell a worker to start an attempt.
    Start(Name, Start),
    /// Tell a worker to forget an attempt.
    Forget(Name, AttemptId),
}

/// A `Page` is the part of a region's ledger that one key holds.
#[derive(Debug)]
pub(crate) struct Page {
    /// Absent while a write is under way.
    pub(crate) sheet: Option<Writer>,
    pub(crate) dirty: bool,
    /// Size of the last write, in bytes.
    pub(crate) bytes: usize,
    pub(crate) written_at: Option<Duration>,
    /// What follows the next write.
    pub(crate) next: Vec<Then>,
    /// What follows the write under way.
    pub(crate) under_way: Vec<Then>,
}

impl Page {
    pub(crate) fn new(sheet: Writer) -> Self {
        Self {
            sheet: Some(sheet),
            dirty: false,
            bytes: 0,
            written_at: None,
            next: Vec::new(),
            under_way: Vec::new(),
        }
    }

    /// Has `then` follow the next write.
    pub(crate) fn after_write(&mut self, then: Then) {
        self.dirty = true;
        self.next.push(then);
    }

    /// Answers all who wait that their requests have not run.
    pub(crate) fn refuse_all(&mut self, failure: &Failure) {
        for then in self.under_way.drain(..).chain(self.next.drain(..)) {
            if let Then::Reply(reply, _) = then {
                let _ = reply.send(Err(failure.clone()));
            }
        }
    }
}

/// A page as it is stored. Workers are named once and then by position.
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
    /// Ended tasks as runs of equal ends: the end, the first, the last.
    ended: Vec<(End, u32, u32)>,
    /// Tasks with a worker: index, attempt, position of the worker.
    assigned: Vec<(u32, u32, u32)>,
    /// Pending tasks that were tried before: index, next attempt, failures.
    again: Vec<(u32, u32, u32)>,
}

impl PageRecord {
    /// Makes the record of the jobs of a page.
    pub(crate) fn new<'a>(jobs: impl Iterator<Item = &'a Job>) -> Self {
        let mut workers = Workers::default();
        let jobs = jobs.map(|job| JobRecord::new(job, &mut workers)).collect();
        Self { workers: workers.list, jobs }
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).expect("a page has only encodable parts");
        out
    }

    /// Decodes what an earlier owner wrote; an empty body is an empty page.
    pub(crate) fn decode(body: &[u8]) -> Result<Self> {
        if body.is_empty() {
            return Ok(Self::default());
        }
        ciborium::from_reader(body).map_err(|error| Failure::fix(format!("ledger page: {error}")))
    }

    /// Gets the jobs of the page with that number.
    pub(crate) fn into_jobs(self, page: usize) -> Result<Vec<Job>> {
        let Self { workers, jobs } = self;
        jobs.into_iter().map(|record| record.into_job(&workers, page)).collect()
    }
}

#[derive(Default)]
struct Workers {
    list: Vec<(Name, u64)>,
    positions: HashMap<(Name, u64), u32>,
}

impl Workers {
    fn position(&mut self, worker: &Name, boot: u64) -> u32 {
        let key = (worker.clone(), boot);
        *self.positions.entry(key.clone()).or_insert_with(|| {
            self.list.push(key);
            self.list.len() as u32 - 1
        })
    }
}

impl JobRecord {
    fn new(job: &Job, workers: &mut Workers) -> Self {
        let mut record = Self {
            id: job.id.clone(),
            team: job.team.clone(),
            spec: job.spec.body.clone(),
            accepted_ms: job.accepted_ms,
            cancelled: job.cancelled,
            ended_ms: job.ended_ms,
            first_start_ms: job.first_start_ms,
            ended: Vec::new(),
            assigned: Vec::new(),
            again: Vec::new(),
        };
        for (index, task) in (0..).zip(&job.tasks) {
            match &task.state {
                TaskState::Pending if task.attempt == 1 => {}
                TaskState::Pending => record.again.push((index, task.attempt, task.failures)),
                TaskState::Assigned(assigned) => {
                    let worker = workers.position(&assigned.worker, assigned.boot);
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
            .map_err(|error| Failure::fix(format!("ledger: job {}: {error}", self.id)))?;
        let spec = Spec::try_from(&message)?;
        let fault = || Failure::fix(format!("ledger: job {}: a task is out of range", self.id));
        let mut job = Job::new(self.id.clone(), self.team, spec, page, self.accepted_ms);
        job.cancelled = self.cancelled;
        job.ended_ms = self.ended_ms;
        job.first_start_ms = self.first_start_ms;
        for (end, first, last) in self.ended {
            for index in first..=last.min(job.spec.tasks - 1) {
                job.end(index, end);
            }
        }
        for (index, attempt, failures) in self.again {
            let task = job.tasks.get_mut(index as usize).ok_or_else(fault)?;
            task.attempt = attempt;
            task.failures = failures;
        }
        for (index, attempt, worker) in self.assigned {
            let (worker, boot) = workers.get(worker as usize).cloned().ok_or_else(fault)?;
            job.tasks.get_mut(index as usize).ok_or_else(fault)?.attempt = attempt;
            // Workers refuse what an earlier owner still sends once they have
            // been claimed, so the first report settles what runs.
            let phase = Phase::Sent { not_after: Duration::ZERO, confirmed: false };
            job.assign(index, Assigned { worker, boot, phase, evicted: false });
        }
        Ok(job)
    }
}
