//! The account of one target.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Name, Resources};
use place::Health;
use smallvec::SmallVec;
use work::{Step, TaskKey};

use crate::speed::Speed;

/// A `TargetId` is the position of a target on its board.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetId(pub(crate) u32);

/// An `Availability` says whether a target takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// It does.
    #[default]
    Ready,
    /// It is about to leave.
    Draining,
    /// It is no longer listed.
    Unlisted,
}

/// A `TargetInfo` is what a target says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetInfo {
    /// Its id.
    pub id: Name,
    /// The pool that it belongs to.
    pub service: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// The rack that it stands in.
    pub rack: Name,
    /// Its labels, the rack among them.
    pub labels: SmallVec<[Name; 4]>,
    /// What it can hold.
    pub capacity: Resources,
    /// Whether it takes new work.
    pub availability: Availability,
    /// Start of its life, in milliseconds since 1970.
    pub born_unix_ms: u64,
}

/// A `Phase` is how far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its start has not been answered.
    Starting,
    /// Its start wasn't answered in time, as was noted at this time.
    Unanswered(Duration),
    /// It runs.
    Running,
    /// It has been told to stop, at this time for the last time.
    Stopping(Duration),
}

/// A `Sharing` says with which runs a run may share a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sharing {
    /// Anything.
    Any,
    /// It has users whose response times fills would harm.
    NoBackfill,
    /// It fills, and would harm those.
    Backfill,
}

impl Sharing {
    pub(crate) fn of(step: &Step) -> Self {
        match (step.is_backfill, step.latency_goal_ms) {
            (true, _) => Self::Backfill,
            (false, Some(_)) => Self::NoBackfill,
            (false, None) => Self::Any,
        }
    }

    /// Tells whether runs of both may be on one target.
    pub(crate) fn is_compatible(self, other: Self) -> bool {
        !matches!((self, other), (Self::NoBackfill, Self::Backfill) | (Self::Backfill, Self::NoBackfill))
    }
}

/// A `Run` is what may be running on a target.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) number: u32,
    pub(crate) size: Resources,
    pub(crate) sharing: Sharing,
    pub(crate) phase: Phase,
    /// When it was settled whether the run is there: a listing that was asked
    /// for later and lacks it means that it isn't.
    pub(crate) confirmed_at: Option<Duration>,
    /// How much of the work was done when it was listed last, in hundredths,
    /// and since when it has been that much.
    pub(crate) progress: Option<(u32, Duration)>,
    /// When its advance was looked at last.
    pub(crate) last_sample: Option<(u32, Duration)>,
}

impl Run {
    pub(crate) fn new(number: u32, step: &Step, phase: Phase) -> Self {
        let (size, sharing) = (step.size, Sharing::of(step));
        Self { number, size, sharing, phase, confirmed_at: None, progress: None, last_sample: None }
    }
}

/// A `Target` is one target with what may be running on it.
#[derive(Debug, Default)]
pub(crate) struct Target {
    pub(crate) info: TargetInfo,
    pub(crate) allocated: Resources,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    /// When its last listing was asked for.
    pub(crate) last_contact_at: Option<Duration>,
    /// When the last lease was granted.
    pub(crate) lease_granted_at: Option<Duration>,
    /// Life that its listings are of.
    pub(crate) born_unix_ms: u64,
    /// Highest end that was taken in.
    pub(crate) last_end: u64,
    /// The ends that were taken in, of jobs that aren't recorded since, with
    /// their numbers.
    pub(crate) unrecorded_ends: VecDeque<(u64, Name)>,
    pub(crate) health: Health,
    pub(crate) speed: Speed,
    /// Whether it lists runs that aren't in its account.
    pub(crate) has_unknown_runs: bool,
    /// Times in a row that it was noted as silent.
    pub(crate) unreachable_checks: u32,
    /// Whether it may be recorded as closed.
    pub(crate) is_closed: bool,
    /// Starts in a row that weren't answered.
    pub(crate) unanswered_starts: u32,
    /// Until when it gets no work after those.
    pub(crate) backoff_until: Duration,
}

impl Target {
    /// Gets the highest end up to which all are recorded.
    pub(crate) fn recorded_end(&self) -> u64 {
        self.unrecorded_ends.front().map_or(self.last_end, |(number, _)| number - 1)
    }

    /// Gets the room that isn't promised.
    pub(crate) fn free(&self) -> Resources {
        self.info.capacity - self.allocated
    }

    /// Tells whether a step's tasks may run beside what is on the target.
    pub(crate) fn can_share_with(&self, step: &Step) -> bool {
        let sharing = Sharing::of(step);
        sharing == Sharing::Any || self.runs.values().all(|run| run.sharing.is_compatible(sharing))
    }

    /// Tells whether the target may get new work.
    pub(crate) fn is_open(&self, now: Duration, contact_timeout: Duration, idle_timeout: Duration) -> bool {
        let contact_timeout = if self.runs.is_empty() { idle_timeout } else { contact_timeout };
        self.info.availability == Availability::Ready
            && self.last_contact_at.is_some_and(|contact| now.saturating_sub(contact) < contact_timeout)
            && !self.has_unknown_runs
            && !self.is_closed
            && now >= self.backoff_until
            && (!self.health.is_suspected() || self.health.is_probe_due(now))
            && !self.speed.is_slow(now)
    }

    /// Notes that a start wasn't answered.
    pub(crate) fn back_off(&mut self, initial: Duration, now: Duration) {
        /// Doublings of the pause.
        const MAX_DOUBLINGS: u32 = 5;
        self.backoff_until = now + initial * (1 << self.unanswered_starts.min(MAX_DOUBLINGS));
        self.unanswered_starts += 1;
    }
}
