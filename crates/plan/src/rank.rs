//! The order of decisions.
//!
//! It answers a cell that is full, as after an outage or in a burst: then not
//! all jobs can meet their objective, and serving them in the order of their
//! arrival makes all of them late. So what can still meet its objective goes
//! first, of that what its team is owed, the most urgent queue before the others
//! and the job whose latest start is nearest before others of its queue. What
//! can only be late comes after that, and at the end what is later than counts.
//! But while much of the cell is free, what has waited too long goes first, so
//! that it isn't starved: large gangs would never find their room beside a
//! stream of small tasks.

use base::Resources;
use work::{Policy, Step, StepKey};

use crate::{planner::Planner, share::Entitlement};

/// A job that takes more than this many times its objective is too late to be
/// of use.
const USELESS_OBJECTIVE_RATIO: u64 = 3;

/// A `Timeliness` is what a step that starts now makes of its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timeliness {
    /// It is late, and there is room for all.
    Starved,
    /// The job can meet its objective.
    InTime,
    /// It can only be late.
    Late,
    /// It is later than counts.
    Useless,
}

/// A `Rank` is the place of a step in the order of decisions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    timeliness: Timeliness,
    entitlement: Entitlement,
    priority: u32,
    latest_start_ms: u64,
    key: StepKey,
}

impl Planner {
    /// Gets the steps with tasks that wait, in the order of decisions, as many
    /// as one round looks at.
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
        ranks.truncate(self.settings.max_steps_per_round);
        ranks.into_iter().map(|rank| rank.key).collect()
    }

    /// Tells whether much of the cell is free.
    fn has_spare_capacity(&self) -> bool {
        /// Part of the capacity that is in use at most, in thousandths.
        const SPARE_UTILISATION_LIMIT_MILLI: u64 = 600;
        let ready = self.targets.iter().filter(|target| target.last_contact_at.is_some());
        let (used, whole) = ready.fold((0, 0), |(used, whole), target| {
            let cpu = |size: Resources| u64::from(size.cpu_milli);
            (used + cpu(target.allocated), whole + cpu(target.info.capacity))
        });
        used * 1000 < whole * SPARE_UTILISATION_LIMIT_MILLI
    }

    /// Tells whether a step can only be late, so that what can be in time goes
    /// before it.
    pub(crate) fn is_late(&self, key: &StepKey, unix_ms: u64) -> bool {
        self.rank(key, unix_ms).is_some_and(|rank| rank.timeliness > Timeliness::InTime)
    }

    /// Tells whether a step is owed and can still meet its objective.
    pub(crate) fn is_in_time_and_entitled(&self, key: &StepKey, unix_ms: u64) -> bool {
        self.rank(key, unix_ms).is_some_and(|rank| {
            rank.timeliness == Timeliness::InTime && rank.entitlement == Entitlement::Within
        })
    }

    /// Gets the priority below which other steps may take the room of a step's
    /// runs: that of the step if its job is in time all the same, any if it can't
    /// be or isn't owed.
    pub(crate) fn yields_below(&self, key: &StepKey, unix_ms: u64) -> Option<u32> {
        let rank = self.rank(key, unix_ms)?;
        if rank.timeliness != Timeliness::InTime || rank.entitlement == Entitlement::Beyond {
            return Some(u32::MAX);
        }
        let slack_ms = self.settings.preemption.slack.as_millis() as u64;
        (unix_ms + slack_ms <= rank.latest_start_ms).then_some(rank.priority)
    }

    fn rank(&self, key: &StepKey, unix_ms: u64) -> Option<Rank> {
        let job = self.jobs.get(&key.job)?;
        let spec = &job.spec;
        let policy = self.config.policy(&spec.queue, &spec.policy);
        let since_ms = spec.accepted_unix_ms.max(spec.due_unix_ms(key.occurrence));
        let chain_estimates_ms = chain_estimates_ms(&spec.steps);
        let objective_ms = objective_ms(&chain_estimates_ms, policy);
        let remaining_ms = chain_estimates_ms[usize::from(key.step)];
        let latest_start_ms = (since_ms + objective_ms).saturating_sub(remaining_ms);
        let useless_ms = (since_ms + objective_ms * USELESS_OBJECTIVE_RATIO).saturating_sub(remaining_ms);
        let timeliness = if unix_ms <= latest_start_ms {
            Timeliness::InTime
        } else if unix_ms <= useless_ms {
            Timeliness::Late
        } else {
            Timeliness::Useless
        };
        Some(Rank {
            timeliness,
            entitlement: job.entitlement,
            priority: policy.priority,
            latest_start_ms,
            key: key.clone(),
        })
    }
}

/// Gets the time within which a job of these steps is to be done, in
/// milliseconds.
pub fn job_objective_ms(steps: &[Step], policy: &Policy) -> u64 {
    objective_ms(&chain_estimates_ms(steps), policy)
}

/// Gets the time within which a job with these chains of work is to be done.
pub(crate) fn objective_ms(chain_estimates_ms: &[u64], policy: &Policy) -> u64 {
    let longest = chain_estimates_ms.iter().max().copied().unwrap_or(0);
    longest * u64::from(policy.objective_factor_milli) / 1000 + u64::from(policy.objective_ms)
}

/// Gets the estimate of the longest chain of work that begins with each step.
pub(crate) fn chain_estimates_ms(steps: &[Step]) -> Vec<u64> {
    // Steps only wait for earlier ones, so one pass from the end is enough.
    let mut chains = vec![0; steps.len()];
    for number in (0..steps.len()).rev() {
        let later = (number + 1..steps.len())
            .filter(|later| steps[*later].after.iter().any(|b| usize::from(*b) == number))
            .map(|later| chains[later])
            .max();
        chains[number] = u64::from(steps[number].estimate_ms) + later.unwrap_or(0);
    }
    chains
}
