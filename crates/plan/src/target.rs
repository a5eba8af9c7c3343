//! State of one target and its runs.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Name, Resources};
use place::Health;
use smallvec::SmallVec;
use work::{Step, TaskKey};

use crate::{
    crash::LostRun,
    interference::Kind,
    pace::{Pace, Throttle},
    sharing::Latency,
    speed::Speed,
};

/// Position of a target in its planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetId(pub(crate) u32);

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// Takes new work.
    #[default]
    Ready,
    /// About to leave; takes no new work.
    Draining,
    /// Missing from the list of targets.
    Unlisted,
}

/// Description of a target, as listed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetInfo {
    /// Id of the target.
    pub id: Name,
    /// Pool that the target belongs to.
    pub service: Name,
    /// Data centre of the target.
    pub data_centre: Name,
    /// Rack of the target.
    pub rack: Name,
    /// Labels of the target, including its rack.
    pub labels: SmallVec<[Name; 4]>,
    /// Total resources of the target.
    pub capacity: Resources,
    /// Whether the target takes new work.
    pub availability: Availability,
    /// Start time of the target's process, in milliseconds since 1970; 0 if
    /// unknown.
    pub born_unix_ms: u64,
    /// Time for which the target stays slow after its start; zero if it has its
    /// usual speed.
    pub cold_left: Duration,
}

/// Highest number up to which all ends of a target process are recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordedEnd {
    /// Start time of the process that the number belongs to, in milliseconds
    /// since 1970; each process numbers its ends from 1.
    pub born_unix_ms: u64,
    /// Number of the end; 0 if there is none.
    pub number: u64,
}

/// Phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start order has not been answered yet.
    Starting,
    /// The start order timed out at this time, so the run may or may not exist.
    Unanswered(Duration),
    /// The target has confirmed the run.
    Running,
    /// A stop order was last sent at this time.
    Stopping(Duration),
}

/// Which runs may share a target with a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sharing {
    /// May share with any run.
    Any,
    /// Has a latency goal; must not share with backfill.
    NoBackfill,
    /// Is backfill; must not share with runs that have a latency goal.
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

    /// Returns whether runs of both kinds may share a target.
    pub(crate) fn is_compatible(self, other: Self) -> bool {
        !matches!(
            (self, other),
            (Self::NoBackfill, Self::Backfill) | (Self::Backfill, Self::NoBackfill)
        )
    }
}

/// Run that may exist on a target.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) number: u32,
    pub(crate) size: Resources,
    pub(crate) sharing: Sharing,
    pub(crate) phase: Phase,
    /// Time at which the target confirmed the run or acknowledged a stop of it.
    /// If a listing requested later lacks the run, the run does not exist.
    pub(crate) confirmed_at: Option<Duration>,
    /// Last listed progress in percent, and the time since which it has not
    /// changed.
    pub(crate) progress: Option<(u32, Duration)>,
    /// Progress in percent and time of the last speed sample.
    pub(crate) last_sample: Option<(u32, Duration)>,
    /// Whether the target has listed the run.
    pub(crate) is_listed: bool,
    /// Whether the target had listed the run to an earlier placer.
    pub(crate) was_listed: bool,
    /// Whether the target is known to have begun the run.
    pub(crate) has_begun: bool,
    /// Whether the task may have crashed a target.
    pub(crate) is_suspect: bool,
    /// Time of the start order; `None` if the time of the whole run would say
    /// nothing about the speed of the target.
    pub(crate) started_at: Option<Duration>,
    /// Kind of the task, once the run was seen beside a task with a goal.
    pub(crate) kind: Option<Kind>,
    /// Share at which the run works.
    pub(crate) pace: Pace,
    /// Response times; `None` for a run without a latency goal.
    pub(crate) latency: Option<Latency>,
}

impl Run {
    pub(crate) fn new(number: u32, step: &Step, phase: Phase) -> Self {
        let (size, sharing) = (step.size, Sharing::of(step));
        let goal_ms = step.latency_goal_ms.filter(|_| sharing == Sharing::NoBackfill);
        Self {
            kind: None,
            // Runs of earlier placers are taken over as running.
            pace: if phase == Phase::Running { Pace::UNKNOWN } else { Pace::FULL },
            latency: goal_ms.map(Latency::new),
            number,
            size,
            sharing,
            phase,
            confirmed_at: None,
            progress: None,
            last_sample: None,
            is_listed: false,
            was_listed: false,
            has_begun: false,
            is_suspect: false,
            started_at: None,
        }
    }
}

/// Sign that another process of a target may carry out orders for the known one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspicion {
    pub(crate) since: Duration,
    /// Time of the last order for an earlier process that was known then.
    pub(crate) last_order_at: Duration,
    /// Restart that was known before.
    pub(crate) restarted_until: Option<Duration>,
    /// Whether that restart is recorded.
    pub(crate) is_restart_recorded: bool,
}

/// Target with the runs that may exist on it.
#[derive(Debug, Default)]
pub(crate) struct Target {
    pub(crate) info: TargetInfo,
    pub(crate) allocated: Resources,
    /// Part of the allocated processor time that backfill takes, in thousandths
    /// of a core. It is free for other tasks.
    pub(crate) backfill_cpu_milli: u32,
    /// Share at which backfill works here.
    pub(crate) throttle: Throttle,
    /// Time at which backfill was last stopped here for a task over its goal.
    pub(crate) harmed_at: Option<Duration>,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    /// Request time of the last listing; `None` while the target is
    /// unreachable.
    pub(crate) last_contact_at: Option<Duration>,
    /// Time of the last lease grant.
    pub(crate) lease_granted_at: Option<Duration>,
    /// Time at which the target's lease has expired by any clock; `None` if it
    /// has none.
    pub(crate) lease_expires_at: Option<Duration>,
    /// Sign of another process that has not seen a token of its own.
    pub(crate) suspicion: Option<Suspicion>,
    /// Start time of the process of the last suspected entry in the list of
    /// targets, in milliseconds since 1970.
    pub(crate) suspected_born_unix_ms: u64,
    /// Time until which the lease may be longer than was granted, because the
    /// target has restarted; `None` if it has not.
    pub(crate) restarted_until: Option<Duration>,
    /// Whether the last restart is recorded for the next placer.
    pub(crate) is_restart_recorded: bool,
    /// Start time of the target process that sent the last listing, in
    /// milliseconds since 1970.
    pub(crate) born_unix_ms: u64,
    /// Start time of the process before that one.
    pub(crate) earlier_born_unix_ms: u64,
    /// Whether the target's data centre is evacuated; nothing may be started.
    pub(crate) is_evacuated: bool,
    /// Time until which the target is slow because it has started recently.
    pub(crate) cold_until: Duration,
    /// Whether the target was last listed as about to leave.
    pub(crate) has_drained: bool,
    /// Runs that were given up since the last listing because the lease had
    /// expired.
    pub(crate) lapsed_runs: Vec<LostRun>,
    /// Highest number of an end that was applied.
    pub(crate) last_end: u64,
    /// Ends that were applied but are not recorded yet: their numbers and jobs.
    pub(crate) unrecorded_ends: VecDeque<(u64, Name)>,
    /// Whether the last listing lacked some of the target's ends.
    pub(crate) has_unread_ends: bool,
    pub(crate) health: Health,
    /// Team whose task was the last probe of the target, unless the task was known
    /// to be sound.
    pub(crate) probed_by: Option<Name>,
    pub(crate) speed: Speed,
    /// Whether the target gets no work since it is slower than others of its pool.
    pub(crate) is_slow: bool,
    /// Whether the target lists runs that the planner does not know.
    pub(crate) has_unknown_runs: bool,
    /// Number of consecutive checks that found the target unreachable.
    pub(crate) unreachable_checks: u32,
    /// Whether the target may be recorded as closed; no work may be placed on
    /// it.
    pub(crate) is_closed: bool,
    /// Number of consecutive starts that were not answered.
    pub(crate) unanswered_starts: u32,
    /// Time at which a start was last found to be unanswered.
    pub(crate) unanswered_at: Option<Duration>,
    /// End of the back-off after unanswered starts.
    pub(crate) backoff_until: Duration,
}

impl Target {
    /// Returns the highest number up to which all ends are recorded.
    pub(crate) fn recorded_end(&self) -> RecordedEnd {
        let number = self.unrecorded_ends.front().map_or(self.last_end, |(number, _)| number - 1);
        RecordedEnd { born_unix_ms: self.born_unix_ms, number }
    }

    /// Records that the target may hold a lease until `expires_at`.
    pub(crate) fn extend_lease(&mut self, expires_at: Duration) {
        self.lease_expires_at = self.lease_expires_at.max(Some(expires_at));
    }

    /// Returns whether the target may hold a lease at `now`.
    pub(crate) fn may_hold_lease(&self, now: Duration) -> bool {
        self.lease_expires_at.is_some_and(|expires_at| now <= expires_at)
    }

    /// Returns whether a run may exist at `now`. A run that the known process has
    /// not listed may be on an unconfirmed one, whose lease holds until
    /// `unconfirmed_until`.
    pub(crate) fn may_exist(
        &self,
        run: &Run,
        now: Duration,
        unconfirmed_until: Option<Duration>,
    ) -> bool {
        let is_unconfirmed = || unconfirmed_until.is_some_and(|until| now <= until);
        let is_known = run.is_listed || run.was_listed;
        self.may_hold_lease(now) || !is_known && is_unconfirmed()
    }

    /// Returns whether the target has ends that are not recorded or not listed yet.
    pub(crate) fn has_open_ends(&self) -> bool {
        !self.unrecorded_ends.is_empty() || self.has_unread_ends
    }

    /// Returns whether the lease may be longer than was granted.
    pub(crate) fn has_restarted(&self, now: Duration) -> bool {
        self.restarted_until.is_some_and(|until| now <= until)
    }

    /// Returns whether the target gets no work since its restart is not recorded
    /// for the next placer.
    pub(crate) fn has_unrecorded_restart(&self, now: Duration) -> bool {
        self.has_restarted(now) && !self.is_restart_recorded
    }

    /// Returns the unallocated resources.
    pub(crate) fn free(&self) -> Resources {
        self.info.capacity - self.allocated
    }

    /// Returns the resources that are free for tasks other than backfill.
    pub(crate) fn free_beside_backfill(&self) -> Resources {
        let cpu_milli = self.allocated.cpu_milli.saturating_sub(self.backfill_cpu_milli);
        self.info.capacity - Resources { cpu_milli, ..self.allocated }
    }

    /// Adds the resources of a run.
    pub(crate) fn allocate(&mut self, run: &Run) {
        self.allocated += run.size;
        if run.sharing == Sharing::Backfill {
            self.backfill_cpu_milli = self.backfill_cpu_milli.saturating_add(run.size.cpu_milli);
        }
    }

    /// Removes the resources of a run that has ended.
    pub(crate) fn release(&mut self, run: &Run) {
        self.allocated -= run.size;
        if run.sharing == Sharing::Backfill {
            self.backfill_cpu_milli = self.backfill_cpu_milli.saturating_sub(run.size.cpu_milli);
        }
    }

    /// Returns whether tasks of a step may run beside the runs on the target.
    pub(crate) fn can_share_with(&self, step: &Step) -> bool {
        let sharing = Sharing::of(step);
        sharing == Sharing::Any || self.runs.values().all(|run| run.sharing.is_compatible(sharing))
    }

    /// Returns whether the target may get new work, regardless of its health, once it
    /// is not recorded as closed.
    pub(crate) fn is_open(
        &self,
        now: Duration,
        contact_timeout: Duration,
        idle_timeout: Duration,
    ) -> bool {
        let contact_timeout = if self.runs.is_empty() { idle_timeout } else { contact_timeout };
        self.info.availability == Availability::Ready
            && !self.is_evacuated
            && self
                .last_contact_at
                .is_some_and(|contact| now.saturating_sub(contact) < contact_timeout)
            && self.suspicion.is_none()
            && self.is_same_process()
            && !self.has_unknown_runs
            && !self.has_unrecorded_restart(now)
            && now >= self.backoff_until
            && !self.is_slow
    }

    /// Returns whether the description is by the process that sent the last
    /// listing. A target that has started again may have another capacity.
    fn is_same_process(&self) -> bool {
        let (described, listed) = (self.info.born_unix_ms, self.born_unix_ms);
        described == listed || described == 0 || listed == 0
    }

    /// Backs off after an unanswered start, exponentially from `initial`.
    pub(crate) fn back_off(&mut self, initial: Duration, now: Duration) {
        /// Limit for the doublings of the back-off.
        const MAX_DOUBLINGS: u32 = 5;
        self.backoff_until = now + initial * (1 << self.unanswered_starts.min(MAX_DOUBLINGS));
        self.unanswered_starts += 1;
        self.unanswered_at = Some(now);
    }
}
