//! The state of a placer.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use base::{Name, Resources};
use place::Cell;
use quota::{Allowances, Order};
use schema::Urgency;
use tokio::{sync::mpsc, task::JoinSet};

use crate::{
    process::Context,
    version::placer::{
        admissions::Admissions, command::Command, job::Job, limits::Refresh, page::Page,
        reserve::Reservation, worker::WorkerEntry,
    },
};

/// Jobs of one team that wait, the earliest first.
pub(crate) type TeamQueue = BTreeSet<(u64, Name)>;

/// A `Placer` is the state of a region's placer.
pub(crate) struct Placer {
    pub(crate) ctx: Arc<Context>,
    pub(crate) region: Name,
    pub(crate) term: u64,
    /// Handed to the tasks of the workers' connections.
    pub(crate) sender: mpsc::Sender<Command>,
    /// The tasks of the workers' connections; they end with the placer.
    pub(crate) connections: JoinSet<()>,
    pub(crate) cell: Cell,
    pub(crate) workers: HashMap<Name, WorkerEntry>,
    pub(crate) jobs: HashMap<Name, Job>,
    pub(crate) pages: Vec<Page>,
    pub(crate) admissions: Admissions,
    /// Jobs with pending tasks, by urgency and team.
    pub(crate) queue: BTreeMap<Urgency, HashMap<Name, TeamQueue>>,
    /// What each team runs in this region.
    pub(crate) order: Order,
    /// Parts of the teams' limits, as last read or written.
    pub(crate) allowances: Allowances,
    /// When the parts of the limits were last looked at.
    pub(crate) allowance_refresh: Refresh,
    /// What each team could not start for want of allowance, in this round.
    pub(crate) shortfall: HashMap<Name, Resources>,
    /// Whether anything has changed that a decision may depend on.
    pub(crate) needs_replan: bool,
    /// When room was last made for each job, so that it isn't made twice.
    pub(crate) preempted_at: HashMap<Name, Duration>,
    /// Where the next look for room starts.
    pub(crate) scan_offset: usize,
    /// Workers whose room is kept, by the job it is kept for.
    pub(crate) reservations: HashMap<Name, Reservation>,
    /// Until when workers are emptied for tasks that start together.
    pub(crate) gang_reservation_until: Duration,
    /// When teams far from their shares were last looked for.
    pub(crate) share_checked_at: Duration,
    /// When the placer began.
    pub(crate) started_at: Duration,
}

impl Placer {
    /// Enters a job in the queue if any of its tasks can be placed.
    pub(crate) fn enqueue(&mut self, id: &Name) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.pending.is_empty() || job.is_cancelled {
            return;
        }
        let teams = self.queue.entry(job.spec.urgency).or_default();
        let key = (job.accepted_ms, job.id.clone());
        teams.entry(job.team.clone()).or_default().insert(key);
        self.needs_replan = true;
    }

    /// Takes a job out of the queue.
    pub(crate) fn dequeue(&mut self, id: &Name) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(teams) = self.queue.get_mut(&job.spec.urgency) else {
            return;
        };
        if let Some(jobs) = teams.get_mut(&job.team) {
            jobs.remove(&(job.accepted_ms, job.id.clone()));
            if jobs.is_empty() {
                teams.remove(&job.team);
            }
        }
    }

    /// Gets the most that a team may run in this region.
    pub(crate) fn cap(&self, team: &Name) -> Resources {
        let active = self.ctx.configs.current();
        // A team that was removed may run nothing.
        let Some(rights) = active.config.teams.get(team) else {
            return Resources::ZERO;
        };
        self.allowances.cap(team, &self.region, &rights.limit)
    }
}
