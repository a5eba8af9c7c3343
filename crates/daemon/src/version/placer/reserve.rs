//! Reservations of workers for one job.
//!
//! Without reservations, capacity freed by preemption would go to whichever task
//! comes next, and gangs would never find enough workers in a cell that is busy
//! with small tasks. Reserved workers take tasks of their job only, for a
//! bounded time. At most one gang at a time waits for workers to become free
//! without preemption, so that two gangs can't each hold workers that the other
//! one needs.

use std::time::Duration;

use base::Name;
use place::{Id, State};
use quota::JobKind;
use smallvec::SmallVec;

use crate::version::placer::state::Placer;

/// Time for which workers are reserved after a preemption.
const PREEMPTION_RESERVATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a gang waits before a reservation, in milliseconds.
const MIN_GANG_WAIT_MS: u64 = 5000;

/// Time for which workers are reserved for a gang.
const GANG_RESERVATION_TIMEOUT: Duration = Duration::from_secs(120);

/// Time from the end of a gang's reservation to the next one.
const GANG_RESERVATION_COOLDOWN: Duration = Duration::from_secs(10);

/// Workers that are reserved for one job.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) workers: SmallVec<[Id; 4]>,
    expires_at: Duration,
}

impl Placer {
    /// Reserves workers from which tasks were evicted for a job.
    pub(crate) fn reserve_preempted(&mut self, job: &Name, workers: impl Iterator<Item = Id>) {
        self.reserve_workers(job, workers.collect(), PREEMPTION_RESERVATION_TIMEOUT);
    }

    /// Reserves the workers that are likely to have room for a whole gang
    /// first, if the gang has waited for [`MIN_GANG_WAIT_MS`].
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
        // The emptiest workers are likely to be free first.
        eligible.sort_by_key(|worker| {
            self.cell.allocated(*worker).dominant_share_ppm(&self.cell.worker(*worker).capacity)
        });
        let mut workers = SmallVec::new();
        for worker in eligible {
            if missing == 0 {
                break;
            }
            missing =
                missing.saturating_sub(self.cell.worker(worker).capacity.max_count(&request.size));
            workers.push(worker);
        }
        if missing == 0 {
            self.gang_reservation_until = now + GANG_RESERVATION_TIMEOUT;
            self.reserve_workers(id, workers, GANG_RESERVATION_TIMEOUT);
        }
    }

    /// Sets the state of a job's reserved workers: `Ready` while the job itself
    /// is being placed, `Reserved` otherwise.
    pub(crate) fn set_reserved_state(&mut self, job: &Name, state: State) {
        let workers = self.reservations.get(job).map(|r| r.workers.clone()).unwrap_or_default();
        for worker in workers {
            if matches!(self.cell.state(worker), State::Ready | State::Reserved) {
                self.cell.set_state(worker, state);
            }
        }
    }

    /// Ends the reservation of one worker after the job has used it.
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

    /// Ends reservations that have expired and those of jobs without pending
    /// tasks.
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

    /// Returns whether a worker is reserved for any job.
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
