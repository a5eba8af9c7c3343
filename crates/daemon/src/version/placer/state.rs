//! State of a placer.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use base::{Name, Resources};
use place::Cell;
use quota::{Allowances, Usage};
use schema::Urgency;
use tokio::{sync::mpsc, task::JoinSet};

use crate::{
    process::Context,
    version::placer::{
        admissions::Admissions, command::Command, job::Job, limits::Refresh, page::Page,
        reserve::Reservation, worker::WorkerEntry,
    },
};

/// Waiting jobs of one team by time of acceptance and id, the earliest first.
pub(crate) type TeamQueue = BTreeSet<(u64, Name)>;

/// State of a region's placer.
pub(crate) struct Placer {
    pub(crate) ctx: Arc<Context>,
    pub(crate) region: Name,
    pub(crate) term: u64,
    /// Sender of commands to this placer, for the connections of the workers.
    pub(crate) sender: mpsc::Sender<Command>,
    /// Tasks that hold the workers' connections; they are aborted with the
    /// placer.
    pub(crate) connections: JoinSet<()>,
    pub(crate) cell: Cell,
    pub(crate) workers: HashMap<Name, WorkerEntry>,
    pub(crate) jobs: HashMap<Name, Job>,
    pub(crate) pages: Vec<Page>,
    pub(crate) admissions: Admissions,
    /// Jobs with pending tasks, by urgency and team.
    pub(crate) queue: BTreeMap<Urgency, HashMap<Name, TeamQueue>>,
    /// Resources in use by each team in this region.
    pub(crate) usage: Usage,
    /// Grants of all teams and regions, as last read or written.
    pub(crate) allowances: Allowances,
    /// Last refresh of the allowances.
    pub(crate) allowance_refresh: Refresh,
    /// Resources that each team could not use in this round for lack of an
    /// allowance.
    pub(crate) shortfall: HashMap<Name, Resources>,
    /// Whether anything that placement depends on has changed since the last
    /// round.
    pub(crate) needs_replan: bool,
    /// Time of the last attempt at preemption for each job, for the cooldown.
    pub(crate) preempted_at: HashMap<Name, Duration>,
    /// Offset of the first worker that the next preemption considers.
    pub(crate) scan_offset: usize,
    /// Reserved workers by the job that they are reserved for.
    pub(crate) reservations: HashMap<Name, Reservation>,
    /// Time until which workers are reserved for a gang.
    pub(crate) gang_reservation_until: Duration,
    /// Time of the last check for teams far from their shares.
    pub(crate) share_checked_at: Duration,
    /// Time at which the placer started.
    pub(crate) started_at: Duration,
}

impl Placer {
    /// Queues a job that has pending tasks.
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

    /// Removes a job from the queue.
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

    /// Returns the resources that a team may use in this region.
    pub(crate) fn cap(&self, team: &Name) -> Resources {
        let active = self.ctx.configs.current();
        // A team that was removed from the configuration may run nothing.
        let Some(entry) = active.config.teams.get(team) else {
            return Resources::ZERO;
        };
        self.allowances.cap(team, &self.region, &entry.limit)
    }
}
