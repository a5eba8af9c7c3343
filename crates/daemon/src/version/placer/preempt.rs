//! Preemption: evicts running tasks for tasks with priority.
//!
//! Urgent tasks displace less urgent ones, and teams below their share displace
//! teams above theirs. Only idempotent tasks are evicted; they are checkpointed
//! and start again on other workers.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use base::{Name, Resources, emit};
use place::{Id, State};
use quota::JobKind;
use schema::Urgency;
use target::ControlAction;

use crate::version::placer::{
    job::{Job, Phase},
    state::Placer,
};

/// Time between two preemptions for one job, in which the first one takes
/// effect.
const PREEMPTION_COOLDOWN: Duration = Duration::from_secs(2);

/// Time that non-urgent work waits before other tasks are evicted for that work,
/// in milliseconds.
const MIN_SHARE_WAIT_MS: u64 = 5000;

/// Time between checks for teams far from their shares.
const SHARE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Difference of weighted shares, in millionths of the cell, below which no
/// task is evicted. Without a margin, two teams could evict each other in turn.
const SHARE_MARGIN_PPM: u64 = 50_000;

/// Maximum number of tasks evicted from one worker for one task.
const MAX_VICTIMS_PER_WORKER: usize = 16;

/// Maximum number of workers from which tasks are evicted for one job at a
/// time; gangs need all their workers at once and are not limited.
const MAX_PREEMPTED_WORKERS: usize = 8;

/// Maximum number of workers considered for one job at a time, unless the work
/// is urgent.
const MAX_SCANNED_WORKERS: usize = 64;

/// Changes of the teams' use by the victims chosen so far.
#[derive(Debug, Default)]
struct Delta {
    gained: Resources,
    lost: HashMap<Name, Resources>,
}

/// Task that may be evicted.
#[derive(Debug)]
struct Victim {
    job: Name,
    team: Name,
    index: u32,
    urgency: Urgency,
    size: Resources,
}

impl Placer {
    /// Returns whether tasks may be evicted for a job now: the job has waited
    /// long enough, has no reservation and is past its cooldown.
    pub(crate) fn can_preempt(&self, id: &Name) -> bool {
        let Some(job) = self.jobs.get(id).filter(|_| !self.reservations.contains_key(id)) else {
            return false;
        };
        let waited_ms = self.ctx.unix_ms().saturating_sub(job.accepted_ms);
        let is_early = job.spec.urgency != Urgency::Urgent && waited_ms < MIN_SHARE_WAIT_MS;
        let is_recent = self
            .preempted_at
            .get(id)
            .is_some_and(|at| self.ctx.timer.now() < *at + PREEMPTION_COOLDOWN);
        !is_early && !is_recent
    }

    /// Evicts tasks for the next tasks of a job that no worker takes. Returns
    /// whether any task was evicted.
    pub(crate) fn preempt(&mut self, id: &Name) -> bool {
        let now = self.ctx.timer.now();
        let preemptions = self.cheapest_preemptions(id);
        self.scan_offset = self.scan_offset.wrapping_add(MAX_SCANNED_WORKERS);
        self.preempted_at.retain(|_, at| now < *at + PREEMPTION_COOLDOWN);
        self.preempted_at.insert(id.clone(), now);
        if preemptions.is_empty() {
            return false;
        }
        self.reserve_preempted(id, preemptions.iter().map(|(worker, _)| *worker));
        for (worker, victims) in preemptions {
            let name = self.cell.worker(worker).name.clone();
            for victim in victims {
                emit!(self.ctx.log, info, TaskPreempted; "job" => %victim.job,
                    "task" => victim.index, "worker" => %name, "for" => %id);
                self.ctx.counters.preemptions.inc();
                self.evict(&victim.job, victim.index, ControlAction::Checkpoint);
            }
        }
        true
    }

    /// Returns whether a check for teams far from their shares is due, and if
    /// so starts the next interval.
    pub(crate) fn is_share_check_due(&mut self) -> bool {
        let now = self.ctx.timer.now();
        let is_due = now >= self.share_checked_at + SHARE_CHECK_INTERVAL;
        if is_due {
            self.share_checked_at = now;
        }
        is_due
    }

    /// Returns the workers from which the fewest tasks have to be evicted for
    /// the next tasks of a job, with their victims; none for a gang that would
    /// still not fit.
    fn cheapest_preemptions(&self, id: &Name) -> Vec<(Id, Vec<Victim>)> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let request = &job.spec.request;
        let is_gang = job.spec.kind == JobKind::Gang;
        let wanted =
            if is_gang { job.pending.len() } else { job.pending.len().min(MAX_PREEMPTED_WORKERS) };
        let ready = self.cell.ids().filter(|worker| self.cell.state(*worker) == State::Ready);
        let mut eligible: Vec<Id> =
            ready.filter(|worker| request.is_met_by(self.cell.worker(*worker))).collect();
        if job.spec.urgency != Urgency::Urgent {
            // Successive calls consider successive parts of the workers, so
            // that the cost of one call doesn't grow with the cell.
            let count = eligible.len().max(1);
            eligible.rotate_left(self.scan_offset % count);
            eligible.truncate(MAX_SCANNED_WORKERS.max(wanted * 2));
        }
        let free_slots = |worker: &Id| {
            let free = self.cell.worker(*worker).capacity - self.cell.allocated(*worker);
            free.max_count(&request.size) as usize
        };
        let missing = wanted.saturating_sub(eligible.iter().map(free_slots).sum());
        let mut delta = Delta::default();
        let mut preemptions = Vec::new();
        while preemptions.len() < missing {
            // Victims chosen earlier change the teams' use and so the next
            // choice.
            let choices = eligible.iter().filter_map(|worker| {
                let victims = self.victims_on(id, *worker, &delta)?;
                Some((*worker, victims))
            });
            let Some((worker, victims)) = choices.min_by_key(|(_, victims)| victims.len()) else {
                break;
            };
            eligible.retain(|other| *other != worker);
            delta.gained += request.size;
            for victim in &victims {
                *delta.lost.entry(victim.team.clone()).or_default() += victim.size;
            }
            preemptions.push((worker, victims));
        }
        let is_enough = !is_gang || preemptions.len() == missing;
        if is_enough { preemptions } else { Vec::new() }
    }

    /// Returns the tasks to evict from a worker so that the next task of a job
    /// fits; `None` if eviction doesn't free enough capacity.
    fn victims_on(&self, id: &Name, worker: Id, delta: &Delta) -> Option<Vec<Victim>> {
        let job = self.jobs.get(id)?;
        let entry = self.workers.get(&self.cell.worker(worker).name)?;
        let mut free = self.cell.worker(worker).capacity - self.cell.allocated(worker);
        let mut candidates: Vec<Victim> = entry
            .tasks
            .iter()
            .filter_map(|(other, index)| self.victim(id, other, *index, delta))
            .collect();
        // The least urgent tasks go first, and among those the largest.
        candidates.sort_by_key(|v| (Reverse(v.urgency), Reverse(v.size.cpu_milli)));
        let mut victims = Vec::new();
        for victim in candidates {
            if job.spec.request.size.fits(&free) || victims.len() == MAX_VICTIMS_PER_WORKER {
                break;
            }
            free += victim.size;
            victims.push(victim);
        }
        let is_enough = job.spec.request.size.fits(&free) && !victims.is_empty();
        is_enough.then_some(victims)
    }

    /// Returns a running task as a victim, if it may be evicted for a job.
    fn victim(&self, id: &Name, other: &Name, index: u32, delta: &Delta) -> Option<Victim> {
        let job = self.jobs.get(id)?;
        let victim_job = self.jobs.get(other)?;
        let assignment = victim_job.assignment(index)?;
        let is_running = assignment.phase == Phase::Running && !assignment.is_evicted;
        if !is_running || !victim_job.spec.idempotent {
            return None;
        }
        let is_allowed = job.spec.urgency == Urgency::Urgent
            && victim_job.spec.urgency > job.spec.urgency
            || victim_job.spec.urgency != Urgency::Urgent
                && self.improves_shares(job, victim_job, delta);
        is_allowed.then(|| Victim {
            job: other.clone(),
            team: victim_job.team.clone(),
            index,
            urgency: victim_job.spec.urgency,
            size: victim_job.spec.request.size,
        })
    }

    /// Returns whether evicting a task of `victim_job` for a task of `job`
    /// brings both teams nearer to their shares, by more than
    /// [`SHARE_MARGIN_PPM`].
    fn improves_shares(&self, job: &Job, victim_job: &Job, delta: &Delta) -> bool {
        if job.team == victim_job.team {
            return false;
        }
        let active = self.ctx.configs.current();
        let share = |team: &Name| active.config.teams.get(team).map_or(1, |entry| entry.share);
        let total = self.cell.totals().capacity;
        let weighted_share_ppm = |team: &Name, used: Resources| {
            used.dominant_share_ppm(&total) / u64::from(share(team).max(1))
        };
        let gained = self.usage.used(&job.team) + delta.gained + job.spec.request.size;
        let lost = delta.lost.get(&victim_job.team).copied().unwrap_or_default();
        let left = self.usage.used(&victim_job.team) - lost - victim_job.spec.request.size;
        weighted_share_ppm(&job.team, gained) + SHARE_MARGIN_PPM
            < weighted_share_ppm(&victim_job.team, left)
    }
}
