//! Room for work that goes first.
//!
//! Urgent tasks take the place of less urgent ones, and teams below their
//! share that of teams above it. Only idempotent tasks are moved; they are
//! checkpointed and start again elsewhere.

use std::time::Duration;

use base::{Name, Resources, emit};
use place::{Id, State};
use quota::JobKind;
use schema::Urgency;
use target::ControlAction;

use crate::version::placer::{job::Phase, state::Placer};

/// Time for which room that was made for a job is left to take effect.
const COOLDOWN: Duration = Duration::from_secs(2);

/// Time that work which isn't urgent waits before others make room for it, in
/// milliseconds.
const SHARE_PATIENCE_MS: u64 = 5000;

/// Time between looks for teams far from their shares.
const SHARE_CHECK_PERIOD: Duration = Duration::from_secs(5);

/// Difference of weighted shares, in millionths of the cell, below which no
/// task is moved. It keeps two teams from moving each other in turn.
const SHARE_MARGIN_PPM: u64 = 50_000;

/// Tasks that are moved for one task at most.
const MOST_VICTIMS: usize = 16;

/// A `Victim` is a task that may be moved.
struct Victim {
    job: Name,
    index: u32,
    urgency: Urgency,
    size: Resources,
}

impl Placer {
    /// Makes room for the next tasks of a job that no worker takes; gets
    /// whether any task was moved.
    pub(crate) fn make_room(&mut self, id: &Name) -> bool {
        let now = self.ctx.timer.now();
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let waited_ms = self.ctx.unix_ms().saturating_sub(job.accepted_ms);
        let is_early = job.spec.urgency != Urgency::Urgent && waited_ms < SHARE_PATIENCE_MS;
        if is_early || self.preempted_at.get(id).is_some_and(|at| now < *at + COOLDOWN) {
            return false;
        }
        let rooms = self.cheapest_rooms(id);
        if rooms.is_empty() {
            return false;
        }
        self.preempted_at.retain(|_, at| now < *at + COOLDOWN);
        self.preempted_at.insert(id.clone(), now);
        self.reserve(id, rooms.iter().map(|(worker, _)| *worker));
        for (worker, victims) in rooms {
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

    /// Tells whether it is time to look for teams far from their shares.
    pub(crate) fn is_share_check_due(&mut self) -> bool {
        let now = self.ctx.timer.now();
        let due = now >= self.share_checked_at + SHARE_CHECK_PERIOD;
        if due {
            self.share_checked_at = now;
        }
        due
    }

    /// Gets the workers on which the fewest tasks have to be moved for the next
    /// tasks of a job; none if moving doesn't make enough room.
    fn cheapest_rooms(&self, id: &Name) -> Vec<(Id, Vec<Victim>)> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let request = &job.spec.request;
        let count = if job.spec.kind == JobKind::Gang { job.pending.len() } else { 1 };
        let ready = self.cell.ids().filter(|worker| self.cell.state(*worker) == State::Ready);
        let like: Vec<Id> =
            ready.filter(|worker| request.is_met_by(self.cell.worker(*worker))).collect();
        let free = |worker: &Id| {
            let room = self.cell.worker(*worker).capacity - self.cell.promised(*worker);
            room.times(&request.size) as usize
        };
        let missing = count.saturating_sub(like.iter().map(free).sum());
        let mut rooms: Vec<_> = like
            .into_iter()
            .filter_map(|worker| Some((worker, self.victims(id, worker)?)))
            .collect();
        rooms.sort_by_key(|(_, victims)| victims.len());
        rooms.truncate(missing);
        if rooms.len() < missing { Vec::new() } else { rooms }
    }

    /// Gets the tasks to move from a worker so that the next task of a job
    /// fits; `None` if that can't be done.
    fn victims(&self, id: &Name, worker: Id) -> Option<Vec<Victim>> {
        let job = self.jobs.get(id)?;
        let held = self.workers.get(&self.cell.worker(worker).name)?;
        let mut room = self.cell.worker(worker).capacity - self.cell.promised(worker);
        let mut movable: Vec<Victim> = held
            .tasks
            .iter()
            .filter_map(|(other, index)| self.movable(id, other, *index))
            .collect();
        // The least urgent and the largest go first.
        movable
            .sort_by_key(|v| (std::cmp::Reverse(v.urgency), std::cmp::Reverse(v.size.cpu_milli)));
        let mut victims = Vec::new();
        for victim in movable {
            if job.spec.request.size.fits(&room) || victims.len() == MOST_VICTIMS {
                break;
            }
            room += victim.size;
            victims.push(victim);
        }
        let enough = job.spec.request.size.fits(&room) && !victims.is_empty();
        enough.then_some(victims)
    }

    /// Gets a running task if it may be moved for a job.
    fn movable(&self, id: &Name, other: &Name, index: u32) -> Option<Victim> {
        let job = self.jobs.get(id)?;
        let theirs = self.jobs.get(other)?;
        let assigned = theirs.assigned(index)?;
        let is_running = assigned.phase == Phase::Running && !assigned.evicted;
        if !is_running || !theirs.spec.idempotent {
            return None;
        }
        let goes_first = job.spec.urgency == Urgency::Urgent
            && theirs.spec.urgency > job.spec.urgency
            || theirs.spec.urgency != Urgency::Urgent && self.is_fairer(id, other);
        goes_first.then(|| Victim {
            job: other.clone(),
            index,
            urgency: theirs.spec.urgency,
            size: theirs.spec.request.size,
        })
    }

    /// Tells whether moving a task of `other` for one of `id` brings both teams
    /// nearer to their shares, by more than the margin.
    fn is_fairer(&self, id: &Name, other: &Name) -> bool {
        let (Some(job), Some(theirs)) = (self.jobs.get(id), self.jobs.get(other)) else {
            return false;
        };
        if job.team == theirs.team {
            return false;
        }
        let active = self.ctx.configs.current();
        let share = |team: &Name| active.config.teams.get(team).map_or(1, |rights| rights.share);
        let whole = self.cell.totals().capacity;
        let rank = |team: &Name, used: Resources| {
            used.dominant_ppm(&whole) / u64::from(share(team).max(1))
        };
        let after = rank(&job.team, self.order.used(&job.team) + job.spec.request.size);
        let left = self.order.used(&theirs.team) - theirs.spec.request.size;
        after + SHARE_MARGIN_PPM < rank(&theirs.team, left)
    }
}
