//! Order in which steps are placed.
//!
//! In a full cell, as after an outage or in a burst, not all jobs can meet
//! their objectives, and first-come-first-served order would make all of them
//! late. Steps are therefore ordered as follows:
//!
//! - steps whose job can still meet its objective, those within the team's
//!   share first, then by priority of the queue, then by latest start time;
//! - steps that can only be late;
//! - steps so late that the result is of no use.
//!
//! Remaining work is corrected by the usual run times of the queue, except for
//! what makes a step late.
//!
//! While much of the cell is free, steps that have waited too long go first.
//! Otherwise large gangs would starve, since they find no room beside a stream
//! of small tasks.

use base::Resources;
use work::{Policy, Step, StepKey};

use crate::{cold::COLD_CLASS, planner::Planner, share::Entitlement};

/// Multiple of its objective after which the result of a job is of no use.
const USELESS_OBJECTIVE_RATIO: u64 = 3;

/// Whether a job meets its objective if a step starts now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timeliness {
    /// The job is late although the cell has spare capacity.
    Starved,
    /// The job can meet its objective.
    InTime,
    /// The job can only be late.
    Late,
    /// The job is so late that its result is of no use.
    Useless,
}

/// Slack of a job, in percent of its remaining work, below which it goes to fast
/// targets first.
const TIGHT_SLACK_PERCENT: u64 = 120;

/// Slack of a job, in percent of its remaining work, above which it leaves fast
/// targets to other jobs.
const AMPLE_SLACK_PERCENT: u64 = 200;

/// Targets that a step goes to first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SpeedPreference {
    /// Fast ones, since the job has little time left.
    Fast,
    /// Those that leave the least room.
    Any,
    /// Slow ones, since the job has much time left.
    Slow,
}

impl SpeedPreference {
    /// Returns the sort key of a target with this class of speed; the lowest
    /// comes first.
    pub(crate) fn order(self, class: i8) -> i8 {
        match self {
            Self::Fast => class,
            // A cold target suits only tasks with slack.
            Self::Any => i8::from(class == COLD_CLASS),
            Self::Slow => class.saturating_neg(),
        }
    }
}

/// Times of a step, from the estimates and the objective of its job; points in
/// time are in milliseconds since 1970.
#[derive(Clone, Copy, Debug)]
struct Times {
    /// Last start with which the job meets its objective.
    latest_start_ms: u64,
    /// Estimated time of the longest chain that begins with the step, corrected by
    /// the usual run times of the queue, in milliseconds.
    corrected_remaining_ms: u64,
    /// Start as in `latest_start_ms`, by the corrected time.
    corrected_latest_start_ms: u64,
    /// Last start with which the result of the job is of use.
    last_useful_start_ms: u64,
}

/// Sort key of a step; the smallest is placed first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    timeliness: Timeliness,
    entitlement: Entitlement,
    priority: u32,
    /// Last start in time, by the corrected estimates.
    latest_start_ms: u64,
    key: StepKey,
}

impl Planner {
    /// Returns the waiting steps in order of rank.
    pub(crate) fn ordered_steps(&self, unix_ms: u64) -> Vec<StepKey> {
        let has_spare_capacity = self.has_spare_capacity();
        let mut ranks: Vec<Rank> =
            self.waiting_steps.iter().filter_map(|key| self.rank(key, unix_ms)).collect();
        if has_spare_capacity {
            for rank in ranks.iter_mut().filter(|rank| rank.timeliness != Timeliness::InTime) {
                *rank = Rank {
                    timeliness: Timeliness::Starved,
                    entitlement: Entitlement::Within,
                    priority: 0,
                    ..rank.clone()
                };
            }
        }
        ranks.sort_unstable();
        ranks.into_iter().map(|rank| rank.key).collect()
    }

    /// Returns whether much of the cell is free.
    fn has_spare_capacity(&self) -> bool {
        /// Utilisation of the cell below which the cell has spare capacity, in
        /// thousandths.
        const SPARE_UTILISATION_LIMIT_MILLI: u64 = 600;
        let ready = self
            .targets
            .iter()
            .filter(|target| target.last_contact_at.is_some() && !target.is_evacuated);
        let (used, whole) = ready.fold((0, 0), |(used, whole), target| {
            let cpu = |size: Resources| u64::from(size.cpu_milli);
            (used + cpu(target.allocated), whole + cpu(target.info.capacity))
        });
        used * 1000 < whole * SPARE_UTILISATION_LIMIT_MILLI
    }

    /// Returns whether a step can only be late, so that steps in time go first.
    pub(crate) fn is_late(&self, key: &StepKey, unix_ms: u64) -> bool {
        self.rank(key, unix_ms).is_some_and(|rank| rank.timeliness > Timeliness::InTime)
    }

    /// Returns whether the job of a step is within its team's share and can
    /// still meet its objective.
    pub(crate) fn is_in_time_and_entitled(&self, key: &StepKey, unix_ms: u64) -> bool {
        self.rank(key, unix_ms).is_some_and(|rank| {
            rank.timeliness == Timeliness::InTime && rank.entitlement == Entitlement::Within
        })
    }

    /// Returns the priority below which other steps may preempt the runs of a
    /// step; `None` if no step may. The limit is the step's own priority if its
    /// job stays in time after a preemption, and `u32::MAX` if the job is late
    /// or beyond its team's share.
    pub(crate) fn yields_below(&self, key: &StepKey, unix_ms: u64) -> Option<u32> {
        let rank = self.rank(key, unix_ms)?;
        if rank.timeliness != Timeliness::InTime || rank.entitlement == Entitlement::Beyond {
            return Some(u32::MAX);
        }
        let slack_ms = self.settings.preemption.slack.as_millis() as u64;
        let latest_start_ms = self.times(key)?.latest_start_ms;
        (unix_ms.saturating_add(slack_ms) <= latest_start_ms).then_some(rank.priority)
    }

    /// Returns which targets a step goes to first, by the time that its job has
    /// left beyond its remaining work.
    pub(crate) fn speed_preference(&self, key: &StepKey, unix_ms: u64) -> SpeedPreference {
        let Some(Times { corrected_remaining_ms, corrected_latest_start_ms, .. }) = self.times(key)
        else {
            return SpeedPreference::Any;
        };
        let remaining_ms = corrected_remaining_ms;
        let slack_ms = corrected_latest_start_ms.saturating_sub(unix_ms);
        if slack_ms < remaining_ms.saturating_mul(TIGHT_SLACK_PERCENT) / 100 {
            SpeedPreference::Fast
        } else if slack_ms > remaining_ms.saturating_mul(AMPLE_SLACK_PERCENT) / 100 {
            SpeedPreference::Slow
        } else {
            SpeedPreference::Any
        }
    }

    fn rank(&self, key: &StepKey, unix_ms: u64) -> Option<Rank> {
        let job = self.jobs.get(&key.job)?;
        let Times { latest_start_ms, corrected_latest_start_ms, last_useful_start_ms, .. } =
            self.times(key)?;
        // A step that is late only by the correction may still be in time on a fast
        // target, and a whole queue must not fall behind by it.
        let timeliness = if unix_ms <= latest_start_ms.max(corrected_latest_start_ms) {
            Timeliness::InTime
        } else if unix_ms <= last_useful_start_ms {
            Timeliness::Late
        } else {
            Timeliness::Useless
        };
        Some(Rank {
            timeliness,
            entitlement: job.entitlement,
            priority: self.priority(key),
            latest_start_ms: corrected_latest_start_ms,
            key: key.clone(),
        })
    }

    fn times(&self, key: &StepKey) -> Option<Times> {
        let job = self.jobs.get(&key.job)?;
        let spec = &job.spec;
        let policy = self.config.policy(&spec.queue, &spec.policy);
        let since_ms = spec.accepted_unix_ms.max(spec.due_unix_ms(key.occurrence));
        let objective_ms = job.chains.objective_ms(policy);
        let remaining_ms = job.chains.chain_ms(usize::from(key.step))?;
        let start_within_ms =
            |limit_ms| since_ms.saturating_add(limit_ms).saturating_sub(remaining_ms);
        let latest_start_ms = start_within_ms(objective_ms);
        let last_useful_start_ms =
            start_within_ms(objective_ms.saturating_mul(USELESS_OBJECTIVE_RATIO));
        let corrected_remaining_ms = self.corrected_ms(&spec.queue, remaining_ms);
        let corrected_latest_start_ms =
            since_ms.saturating_add(objective_ms).saturating_sub(corrected_remaining_ms);
        Some(Times {
            latest_start_ms,
            corrected_remaining_ms,
            corrected_latest_start_ms,
            last_useful_start_ms,
        })
    }
}

/// Estimated times of the longest chains of a job's steps. They depend only on
/// the job, so they are computed once rather than in each round.
#[derive(Clone, Debug, Default)]
pub(crate) struct Chains {
    /// Time of the longest chain that begins with each step, in milliseconds.
    from_step_ms: Vec<u64>,
    /// Time of the longest chain, in milliseconds.
    longest_ms: u64,
}

impl Chains {
    pub(crate) fn of(steps: &[Step]) -> Self {
        // Steps only depend on earlier ones, so one pass from the end suffices:
        // each step extends the chains of those that it waits for.
        let mut from_step_ms = vec![0; steps.len()];
        for (number, step) in steps.iter().enumerate().rev() {
            from_step_ms[number] += u64::from(step.estimate_ms);
            let chain_ms = from_step_ms[number];
            for before in step.after.iter().map(|before| usize::from(*before)) {
                if let Some(later_ms) = from_step_ms.get_mut(before).filter(|_| before < number) {
                    *later_ms = chain_ms.max(*later_ms);
                }
            }
        }
        let longest_ms = from_step_ms.iter().max().copied().unwrap_or(0);
        Self { from_step_ms, longest_ms }
    }

    /// Returns the time of the longest chain that begins with a step, in
    /// milliseconds.
    pub(crate) fn chain_ms(&self, step: usize) -> Option<u64> {
        self.from_step_ms.get(step).copied()
    }

    /// Returns the time within which the job has to be done, in milliseconds.
    pub(crate) fn objective_ms(&self, policy: &Policy) -> u64 {
        let by_chain_ms =
            self.longest_ms.saturating_mul(u64::from(policy.objective_factor_milli)) / 1000;
        by_chain_ms.saturating_add(u64::from(policy.objective_ms))
    }
}

/// Returns the time within which a job with these steps has to be done, in
/// milliseconds.
pub fn job_objective_ms(steps: &[Step], policy: &Policy) -> u64 {
    Chains::of(steps).objective_ms(policy)
}
