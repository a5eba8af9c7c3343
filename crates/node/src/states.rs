//! Cache of the job states that this node reports to clients.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use base::Name;
use work::{Evacuations, JobState};

use crate::link::QueueStatus;

/// Time for which the state of a finished job is cached. Must exceed the
/// leader's retention, so that all nodes report a finished job for the same
/// time.
const ENDED_RETENTION: Duration = Duration::from_secs(200);

/// Number of cached jobs above which expired entries are removed.
const MIN_SWEEP_SIZE: usize = 1024;

/// Job states and queue status known to this node. The state of a job only
/// advances, whatever the order in which updates arrive.
#[derive(Debug, Default)]
pub(crate) struct States {
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    jobs: HashMap<Name, (JobState, Duration)>,
    pending: HashMap<Name, u32>,
    refusing: HashMap<Name, Duration>,
    /// Data centres of the targets of each pool.
    pools: HashMap<Name, Vec<Name>>,
    queues_received_at: Option<Duration>,
    next_sweep_size: usize,
}

impl States {
    /// Returns the state of a job.
    pub(crate) fn get(&self, id: &str) -> Option<JobState> {
        self.lock().jobs.get(id).map(|(state, _)| *state)
    }

    /// Merges job states; a state that is behind the cached one is ignored.
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

    /// Replaces the status of the queues.
    pub(crate) fn set_queues(&self, queues: QueueStatus, now: Duration) {
        let mut table = self.lock();
        let after = |(queue, after_ms)| (queue, Duration::from_millis(after_ms));
        table.pending = queues.pending.into_iter().collect();
        table.refusing = queues.refusing.into_iter().map(after).collect();
        table.pools = queues.pools.into_iter().collect();
        table.queues_received_at = Some(now);
    }

    /// Returns the number of jobs of a queue of which no task has started, and
    /// the time at which the number was received.
    pub(crate) fn pending(&self, queue: &str) -> Option<(u32, Duration)> {
        let table = self.lock();
        let at = table.queues_received_at?;
        Some((table.pending.get(queue).copied().unwrap_or(0), at))
    }

    /// Returns the delay after which a queue accepts new jobs again, and the
    /// time at which the delay was received; `None` if the queue accepts jobs.
    pub(crate) fn refusal(&self, queue: &str) -> Option<(Duration, Duration)> {
        let table = self.lock();
        Some((*table.refusing.get(queue)?, table.queues_received_at?))
    }

    /// Returns whether all data centres of a pool are in `evacuations`, by the last
    /// queue status. A pool without known targets counts as not evacuated.
    pub(crate) fn is_evacuated(&self, pool: &str, evacuations: &Evacuations) -> bool {
        let table = self.lock();
        table.pools.get(pool).is_some_and(|data_centres| {
            !data_centres.is_empty()
                && data_centres.iter().all(|data_centre| evacuations.contains(data_centre))
        })
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no thread panics while holding the lock")
    }
}

fn rank(state: JobState) -> u8 {
    match state {
        JobState::Queued => 0,
        JobState::Active => 1,
        JobState::Complete | JobState::Failed | JobState::Cancelled => 2,
    }
}
