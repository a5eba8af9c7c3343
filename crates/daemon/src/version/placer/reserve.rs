//! Room that is kept for a certain job.
//!
//! Room that others made for a job would be taken by whatever comes next, and
//! tasks that start together would never find theirs in a cell that is busy
//! with small ones. Reserved workers take tasks of their job only, for a
//! bounded time. At most one job at a time waits for room that nobody is moved
//! for, so two such jobs can't hold parts of each other's room.

use std::time::Duration;

use base::Name;
use place::{Id, State};
use quota::JobKind;
use smallvec::SmallVec;

use crate::version::placer::state::Placer;

/// Time for which room that others made is kept.
const PREEMPTION_RESERVATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that tasks which start together wait before workers are emptied for
/// them, in milliseconds.
const MIN_GANG_WAIT_MS: u64 = 5000;

/// Time for which workers are emptied for one job.
const GANG_RESERVATION_TIMEOUT: Duration = Duration::from_secs(120);

/// Time after which another job may have workers emptied for it.
const GANG_RESERVATION_COOLDOWN: Duration = Duration::from_secs(10);

/// A `Reservation` is workers whose room is kept for one job.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) workers: SmallVec<[Id; 4]>,
    expires_at: Duration,
}

impl Placer {
    /// Keeps the room of workers that others are moved from.
    pub(crate) fn reserve_preempted(&mut self, job: &Name, workers: impl Iterator<Item = Id>) {
        self.reserve_workers(job, workers.collect(), PREEMPTION_RESERVATION_TIMEOUT);
    }

    /// Keeps the workers that would soonest have room for all tasks of a job
    /// that start together, if it has waited for long.
    pub(crate) fn reserve_for_gang(&mut self, id: &Name) {
        let now = self.ctx.timer.now();
        let Some(job) = self.jobs.get(id).filter(|job| job.spec.kind == JobKind::Gang) else {
            return;
        };
        let waited_ms = self.ctx.unix_ms().saturating_sub(job.accepted_ms);
        if waited_ms < MIN_GANG_WAIT_MS
            || now < self.gang_reservation_until + GANG_RESERVATION_COOLDOWN
        {
            return;
        }
        let request = job.spec.request.clone();
        let mut missing = job.pending.len() as u32;
        let ready = self.cell.ids().filter(|worker| self.cell.state(*worker) == State::Ready);
        let mut eligible: Vec<Id> =
            ready.filter(|worker| request.is_met_by(self.cell.worker(*worker))).collect();
        // The emptiest are free the soonest.
        eligible.sort_by_key(|worker| {
            self.cell.promised(*worker).dominant_ppm(&self.cell.worker(*worker).capacity)
        });
        let mut workers = SmallVec::new();
        for worker in eligible {
            if missing == 0 {
                break;
            }
            missing =
                missing.saturating_sub(self.cell.worker(worker).capacity.times(&request.size));
            workers.push(worker);
        }
        if missing == 0 {
            self.gang_reservation_until = now + GANG_RESERVATION_TIMEOUT;
            self.reserve_workers(id, workers, GANG_RESERVATION_TIMEOUT);
        }
    }

    /// Opens or closes a job's reserved workers, so that it can use them.
    pub(crate) fn set_reserved_state(&mut self, job: &Name, state: State) {
        let workers = self.reservations.get(job).map(|r| r.workers.clone()).unwrap_or_default();
        for worker in workers {
            if matches!(self.cell.state(worker), State::Ready | State::Reserved) {
                self.cell.set_state(worker, state);
            }
        }
    }

    /// Opens a reserved worker to all once the job has used it.
    pub(crate) fn use_reserved_worker(&mut self, job: &Name, worker: Id) {
        let Some(reservation) = self.reservations.get_mut(job) else {
            return;
        };
        reservation.workers.retain(|reserved| *reserved != worker);
        if self.cell.state(worker) == State::Reserved {
            self.cell.set_state(worker, State::Ready);
        }
        if self.reservations.get(job).is_some_and(|r| r.workers.is_empty()) {
            self.release_reservation(job);
        }
    }

    /// Ends a job's reservation.
    pub(crate) fn release_reservation(&mut self, job: &Name) {
        self.set_reserved_state(job, State::Ready);
        if self.reservations.remove(job).is_some() {
            self.needs_replan = true;
            if self.jobs.get(job).is_some_and(|job| job.spec.kind == JobKind::Gang) {
                self.gang_reservation_until = Duration::ZERO;
            }
        }
    }

    /// Ends reservations after their time, and those of jobs that don't wait.
    pub(crate) fn expire_reservations(&mut self) {
        let now = self.ctx.timer.now();
        let expired: Vec<Name> = self
            .reservations
            .iter()
            .filter(|(job, reservation)| {
                let is_waiting = self.jobs.get(*job).is_some_and(|job| !job.pending.is_empty());
                now >= reservation.expires_at || !is_waiting
            })
            .map(|(job, _)| job.clone())
            .collect();
        for job in expired {
            self.release_reservation(&job);
        }
    }

    /// Tells whether a worker's room is kept for some job.
    pub(crate) fn is_reserved(&self, worker: Id) -> bool {
        self.reservations.values().any(|reservation| reservation.workers.contains(&worker))
    }

    fn reserve_workers(&mut self, job: &Name, workers: SmallVec<[Id; 4]>, timeout: Duration) {
        self.release_reservation(job);
        let expires_at = self.ctx.timer.now() + timeout;
        self.reservations.insert(job.clone(), Reservation { workers, expires_at });
        self.set_reserved_state(job, State::Reserved);
    }
}
