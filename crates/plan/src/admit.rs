//! Admission control: which queues refuse new jobs.
//!
//! A cell can receive more work than it can do in time, either because the jobs
//! exceed its capacity or because too few instances request the advice that the
//! jobs need. If all jobs were accepted, the number of waiting jobs would grow
//! without bound, and the last ones would always be too late to be of use. A
//! queue therefore refuses new jobs while the work that waits with its own or a
//! more urgent priority takes longer than its jobs may wait. The refusal states
//! when to retry. Accepted jobs are always carried through.
//!
//! The wait is estimated from below: running tasks are assumed to end at once.
//! Work that delays no other work does not count: work of teams at their limit
//! or beyond their share, tasks that no target can hold, and jobs that can only
//! be late, the last up to a bound.

use std::{collections::HashMap, time::Duration};

use base::{Name, Resources};
use work::{Policy, Queue};

use crate::{
    advice::cost_us,
    planner::Planner,
    share::Entitlement,
    target::{Availability, Target},
};

/// Assumed number of targets in an advice request.
const DEFAULT_TARGETS: usize = 20;

/// Assumed number of advice requests of a gang: one to learn which targets are
/// allowed, and one for tickets once these targets have room.
const REQUESTS_PER_GANG: u32 = 2;

/// Weight of the newest job in the average objective of a queue, in
/// thousandths.
const NEWEST_WEIGHT_MILLI: u64 = 50;

/// Maximum wait of a job, in multiples of its objective. A job is of no use
/// after three times its objective, and the work itself takes the rest.
const MAX_WAIT_OBJECTIVES: u32 = 2;

/// Time in which the weight of an advice request falls to 1/e.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// Minimum share of the instances' time that is kept for long advice requests,
/// so that accepted jobs that need them are carried through however many short
/// requests there are.
const MIN_LONG_RATIO: f64 = 0.1;

/// Reason why a queue refuses new jobs for now.
#[derive(Clone, Debug)]
pub struct Overload {
    /// Name of the queue.
    pub queue: Name,
    /// Time after which to retry, more than zero.
    pub retry_after: Duration,
    /// Time in which the pool can do the work that goes before new jobs.
    pub room_wait: Duration,
    /// Time in which the pool can do all waiting work, including late jobs.
    pub backlog: Duration,
    /// Time in which the instances can get the advice that waiting work needs.
    pub advice_wait: Duration,
    /// Maximum wait for room for which the queue accepts jobs.
    pub max_wait: Duration,
}

/// Waiting work, as the time that a whole pool or all instances need for it.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    room: Duration,
    /// Work that can only be late, which goes after new jobs.
    late_room: Duration,
    short_advice: Duration,
    long_advice: Duration,
}

/// Total capacity of the targets of a pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolCapacity {
    cpu_milli: u64,
    memory_mib: u64,
    largest: Resources,
}

impl PoolCapacity {
    fn add(&mut self, capacity: Resources) {
        self.cpu_milli += u64::from(capacity.cpu_milli);
        self.memory_mib += u64::from(capacity.memory_mib);
        self.largest = Resources {
            cpu_milli: self.largest.cpu_milli.max(capacity.cpu_milli),
            memory_mib: self.largest.memory_mib.max(capacity.memory_mib),
            accelerators: self.largest.accelerators.max(capacity.accelerators),
        };
    }

    /// Returns the fraction of the pool that a task takes, by the scarcer
    /// resource.
    fn fraction(&self, size: Resources) -> f64 {
        let fraction = |taken: u32, whole: u64| f64::from(taken) / whole.max(1) as f64;
        let cpu = fraction(size.cpu_milli, self.cpu_milli);
        cpu.max(fraction(size.memory_mib, self.memory_mib))
    }
}

/// Share of the instances' time that the advice requests of one class take,
/// with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestLoad {
    busy: Duration,
    updated_at: Duration,
}

impl RequestLoad {
    /// Adds a request with this expected time.
    pub(crate) fn record(&mut self, time: Duration, now: Duration) {
        self.busy = self.decayed(now) + time;
        self.updated_at = now;
    }

    /// Returns whether the requests take less than the minimum share of long
    /// requests.
    pub(crate) fn is_below_minimum(&self, instances: u32, now: Duration) -> bool {
        self.ratio(instances, now) < MIN_LONG_RATIO
    }

    /// Returns the share of the time of `instances` instances that the requests
    /// take.
    pub(crate) fn ratio(&self, instances: u32, now: Duration) -> f64 {
        self.decayed(now).div_duration_f64(DECAY_TIME * instances.max(1))
    }

    fn decayed(&self, now: Duration) -> Duration {
        let age = now.saturating_sub(self.updated_at);
        self.busy.mul_f64((-age.div_duration_f64(DECAY_TIME)).exp())
    }
}

impl Planner {
    /// Returns the queues that refuse new jobs for now.
    pub fn overloads(&self, now: Duration) -> Vec<Overload> {
        let instances = if self.has_all_instances(now) {
            self.instances
        } else if self.expected_instances > 0 {
            self.instances.max(self.expected_instances)
        } else {
            // More instances are likely to join.
            return Vec::new();
        };
        let demands = self.demands(instances);
        let long_ratio = (1.0 - self.short_request_load.ratio(instances, now)).max(MIN_LONG_RATIO);
        let overload = |queue: &Queue| {
            let before =
                demands.iter().filter(|((priority, _), _)| *priority <= queue.policy.priority);
            let mut demand = Demand::default();
            for ((_, service), more_urgent) in before {
                if *service == queue.policy.service {
                    demand.room += more_urgent.room;
                    demand.late_room += more_urgent.late_room;
                }
                demand.short_advice += more_urgent.short_advice;
                demand.long_advice += more_urgent.long_advice;
            }
            // Short requests do not wait for long ones.
            let advice_wait = if self.has_long_requests(&queue.policy) {
                (demand.short_advice + demand.long_advice).div_f64(long_ratio)
            } else {
                demand.short_advice
            };
            let objective_ms = *self.average_objective_ms.get(&queue.name)?;
            let max_wait = Duration::from_millis(objective_ms) * MAX_WAIT_OBJECTIVES;
            let max_advice_wait = max_wait.min(self.settings.max_advice_wait);
            let backlog = demand.room + demand.late_room;
            let retry_after = demand
                .room
                .saturating_sub(max_wait)
                .max(advice_wait.saturating_sub(max_advice_wait))
                .max(backlog.saturating_sub(self.settings.max_backlog));
            let queue = queue.name.clone();
            let overload = Overload {
                queue,
                retry_after,
                room_wait: demand.room,
                backlog,
                advice_wait,
                max_wait,
            };
            (!retry_after.is_zero()).then_some(overload)
        };
        self.config.queues.iter().filter_map(overload).collect()
    }

    /// Updates the average objective of a queue's jobs with that of a new job.
    pub(crate) fn update_average_objective(&mut self, queue: &Name, newest_ms: u64) {
        let average = self.average_objective_ms.entry(queue.clone()).or_insert(newest_ms);
        let weighted = average.saturating_mul(1000 - NEWEST_WEIGHT_MILLI);
        *average = weighted.saturating_add(newest_ms.saturating_mul(NEWEST_WEIGHT_MILLI)) / 1000;
    }

    /// Returns the waiting work by priority and pool, for advice from
    /// `instances` instances.
    fn demands(&self, instances: u32) -> HashMap<(u32, Name), Demand> {
        let mut demands: HashMap<(u32, Name), Demand> = HashMap::new();
        let capacities = self.capacities();
        for key in &self.waiting_steps {
            let Some((job, state)) = self.jobs.get(&key.job).zip(self.step_state(key)) else {
                continue;
            };
            let step = &job.spec.steps[usize::from(key.step)];
            let policy = self.config.policy(&job.spec.queue, &job.spec.policy);
            let capacity = capacities
                .get(&policy.service)
                .filter(|capacity| step.size.fits(&capacity.largest));
            let is_beyond_share = job.entitlement == Entitlement::Beyond;
            let headroom = self.team_headroom(&job.spec.team);
            let may_start = headroom.is_none_or(|headroom| step.size.fits(&headroom));
            let Some(capacity) = capacity.filter(|_| !is_beyond_share && may_start) else {
                continue;
            };
            let demand = demands.entry((policy.priority, policy.service.clone())).or_default();
            let time = Duration::from_millis(u64::from(step.estimate_ms));
            let room = time.mul_f64(capacity.fraction(step.size) * state.waiting.len() as f64);
            if self.is_late(key, self.last_round_unix_ms) {
                demand.late_room += room;
            } else {
                demand.room += room;
            }
            let requests = if step.gang { REQUESTS_PER_GANG } else { 1 };
            let advice =
                Duration::from_micros(typical_request_us(policy)) * requests / instances.max(1);
            if self.has_long_requests(policy) {
                demand.long_advice += advice;
            } else {
                demand.short_advice += advice;
            }
        }
        demands
    }

    /// Returns the total capacity of each pool, without evacuated targets.
    fn capacities(&self) -> HashMap<Name, PoolCapacity> {
        let mut capacities: HashMap<Name, PoolCapacity> = HashMap::new();
        for Target { info, is_evacuated, .. } in &self.targets {
            if info.availability != Availability::Unlisted && !is_evacuated {
                capacities.entry(info.service.clone()).or_default().add(info.capacity);
            }
        }
        capacities
    }

    fn has_long_requests(&self, policy: &Policy) -> bool {
        self.settings.is_long_request(typical_request_us(policy))
    }
}

/// Returns the expected time of an advice request for a step, in microseconds.
fn typical_request_us(policy: &Policy) -> u64 {
    cost_us(policy.advice.unwrap_or_default(), DEFAULT_TARGETS)
}
