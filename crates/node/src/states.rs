//! The states of jobs as this node may tell them.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use base::Name;
use work::JobState;

use crate::link::QueueStatus;

/// Time after which a finished job is no longer kept; longer than the leader
/// keeps it, so that a request finds it at the same time everywhere.
const ENDED_RETENTION: Duration = Duration::from_secs(200);

/// Number of entries after which old ones are looked for.
const MIN_SWEEP_SIZE: usize = 1024;

/// A `States` is the states of jobs as this node may tell them. A state never
/// goes back, whoever tells it.
#[derive(Debug, Default)]
pub(crate) struct States {
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    jobs: HashMap<Name, (JobState, Duration)>,
    pending: HashMap<Name, u32>,
    refusing: HashMap<Name, Duration>,
    queues_received_at: Option<Duration>,
    next_sweep_size: usize,
}

impl States {
    /// Gets the state of a job.
    pub(crate) fn get(&self, id: &str) -> Option<JobState> {
        self.lock().jobs.get(id).map(|(state, _)| *state)
    }

    /// Takes in states.
    pub(crate) fn merge(&self, states: impl IntoIterator<Item = (Name, JobState)>, now: Duration) {
        let mut table = self.lock();
        for (id, state) in states {
            let entry = table.jobs.entry(id).or_insert((state, now));
            if rank(state) > rank(entry.0) {
                *entry = (state, now);
            }
        }
        if table.jobs.len() >= table.next_sweep_size.max(MIN_SWEEP_SIZE) {
            table.jobs.retain(|_, (state, at)| {
                !state.is_final() || now.saturating_sub(*at) < ENDED_RETENTION
            });
            table.next_sweep_size = table.jobs.len() * 2;
        }
    }

    /// Takes in how the queues are.
    pub(crate) fn set_queues(&self, queues: QueueStatus, now: Duration) {
        let mut table = self.lock();
        let after = |(queue, after_ms)| (queue, Duration::from_millis(after_ms));
        table.pending = queues.pending.into_iter().collect();
        table.refusing = queues.refusing.into_iter().map(after).collect();
        table.queues_received_at = Some(now);
    }

    /// Gets the number of jobs of a queue that nothing has started of, with the
    /// time at which it was told.
    pub(crate) fn pending(&self, queue: &str) -> Option<(u32, Duration)> {
        let table = self.lock();
        let at = table.queues_received_at?;
        Some((table.pending.get(queue).copied().unwrap_or(0), at))
    }

    /// Gets the time after which a queue takes new jobs again, with the time at
    /// which that was told; `None` if it takes them.
    pub(crate) fn refusal(&self, queue: &str) -> Option<(Duration, Duration)> {
        let table = self.lock();
        Some((*table.refusing.get(queue)?, table.queues_received_at?))
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no holder of the lock panics")
    }
}

fn rank(state: JobState) -> u8 {
    match state {
        JobState::Queued => 0,
        JobState::Active => 1,
        JobState::Complete | JobState::Failed | JobState::Cancelled => 2,
    }
}
