//! Room for work that goes first.
//!
//! Urgent tasks take the place of less urgent ones, and teams below their
//! share that of teams above it. Only idempotent tasks are moved; they are
//! checkpointed and start again elsewhere.

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

/// Workers on which room is made for one job in one step.
const MOST_ROOMS: usize = 8;

/// Workers that are looked at in one step, unless the work is urgent.
const WORKERS_PER_LOOK: usize = 64;

/// A `Moved` is what the choices of this step change in the teams' use.
#[derive(Debug, Default)]
struct Moved {
    gained: Resources,
    lost: HashMap<Name, Resources>,
}

/// A `Victim` is a task that may be moved.
#[derive(Debug)]
struct Victim {
    job: Name,
    team: Name,
    index: u32,
    urgency: Urgency,
    size: Resources,
}

impl Placer {
    /// Tells whether it is time to make room for a job.
    pub(crate) fn may_make_room(&self, id: &Name) -> bool {
        let Some(job) = self.jobs.get(id).filter(|_| !self.reservations.contains_key(id)) else {
            return false;
        };
        let waited_ms = self.ctx.unix_ms().saturating_sub(job.accepted_ms);
        let is_early = job.spec.urgency != Urgency::Urgent && waited_ms < SHARE_PATIENCE_MS;
        let is_recent =
            self.preempted_at.get(id).is_some_and(|at| self.ctx.timer.now() < *at + COOLDOWN);
        !is_early && !is_recent
    }

    /// Makes room for the next tasks of a job that no worker takes; gets
    /// whether any task was moved.
    pub(crate) fn make_room(&mut self, id: &Name) -> bool {
        let now = self.ctx.timer.now();
        let rooms = self.cheapest_rooms(id);
        self.look_from = self.look_from.wrapping_add(WORKERS_PER_LOOK);
        self.preempted_at.retain(|_, at| now < *at + COOLDOWN);
        self.preempted_at.insert(id.clone(), now);
        if rooms.is_empty() {
            return false;
        }
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
        let is_gang = job.spec.kind == JobKind::Gang;
        let wanted = if is_gang { job.pending.len() } else { job.pending.len().min(MOST_ROOMS) };
        let ready = self.cell.ids().filter(|worker| self.cell.state(*worker) == State::Ready);
        let mut like: Vec<Id> =
            ready.filter(|worker| request.is_met_by(self.cell.worker(*worker))).collect();
        if job.spec.urgency != Urgency::Urgent {
            // Each step looks at some workers only, the next step at others, so
            // that its cost doesn't grow with the cell.
            let count = like.len().max(1);
            like.rotate_left(self.look_from % count);
            like.truncate(WORKERS_PER_LOOK.max(wanted * 2));
        }
        let free = |worker: &Id| {
            let room = self.cell.worker(*worker).capacity - self.cell.allocated(*worker);
            room.max_count(&request.size) as usize
        };
        let missing = wanted.saturating_sub(like.iter().map(free).sum());
        let mut moved = Moved::default();
        let mut rooms = Vec::new();
        while rooms.len() < missing {
            // Each choice counts for the fairness of the next one.
            let options = like.iter().filter_map(|worker| {
                let victims = self.victims(id, *worker, &moved)?;
                Some((*worker, victims))
            });
            let Some((worker, victims)) = options.min_by_key(|(_, victims)| victims.len()) else {
                break;
            };
            like.retain(|other| *other != worker);
            moved.gained += request.size;
            for victim in &victims {
                *moved.lost.entry(victim.team.clone()).or_default() += victim.size;
            }
            rooms.push((worker, victims));
        }
        let is_enough = !is_gang || rooms.len() == missing;
        if is_enough { rooms } else { Vec::new() }
    }

    /// Gets the tasks to move from a worker so that the next task of a job
    /// fits; `None` if that can't be done.
    fn victims(&self, id: &Name, worker: Id, moved: &Moved) -> Option<Vec<Victim>> {
        let job = self.jobs.get(id)?;
        let held = self.workers.get(&self.cell.worker(worker).name)?;
        let mut room = self.cell.worker(worker).capacity - self.cell.allocated(worker);
        let mut movable: Vec<Victim> = held
            .tasks
            .iter()
            .filter_map(|(other, index)| self.movable(id, other, *index, moved))
            .collect();
        // The least urgent and the largest go first.
        movable.sort_by_key(|v| (Reverse(v.urgency), Reverse(v.size.cpu_milli)));
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
    fn movable(&self, id: &Name, other: &Name, index: u32, moved: &Moved) -> Option<Victim> {
        let job = self.jobs.get(id)?;
        let theirs = self.jobs.get(other)?;
        let assigned = theirs.assigned(index)?;
        let is_running = assigned.phase == Phase::Running && !assigned.evicted;
        if !is_running || !theirs.spec.idempotent {
            return None;
        }
        let goes_first = job.spec.urgency == Urgency::Urgent
            && theirs.spec.urgency > job.spec.urgency
            || theirs.spec.urgency != Urgency::Urgent && self.is_fairer(job, theirs, moved);
        goes_first.then(|| Victim {
            job: other.clone(),
            team: theirs.team.clone(),
            index,
            urgency: theirs.spec.urgency,
            size: theirs.spec.request.size,
        })
    }

    /// Tells whether moving a task of `theirs` for one of `job` brings both
    /// teams nearer to their shares, by more than the margin.
    fn is_fairer(&self, job: &Job, theirs: &Job, moved: &Moved) -> bool {
        if job.team == theirs.team {
            return false;
        }
        let active = self.ctx.configs.current();
        let share = |team: &Name| active.config.teams.get(team).map_or(1, |rights| rights.share);
        let whole = self.cell.totals().capacity;
        let rank = |team: &Name, used: Resources| {
            used.dominant_share_ppm(&whole) / u64::from(share(team).max(1))
        };
        let gained = self.order.used(&job.team) + moved.gained + job.spec.request.size;
        let lost = moved.lost.get(&theirs.team).copied().unwrap_or_default();
        let left = self.order.used(&theirs.team) - lost - theirs.spec.request.size;
        rank(&job.team, gained) + SHARE_MARGIN_PPM < rank(&theirs.team, left)
    }
}
