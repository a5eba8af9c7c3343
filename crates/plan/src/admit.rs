//! Which queues have more work than can be done while it is of use.
//!
//! It answers a cell that gets more than it can do for longer than jobs may
//! wait: too many jobs for its room, or too few instances for the advice that
//! the jobs need. If all were accepted, the number of jobs that wait would grow
//! without bound, and those accepted last would never be of use. So a queue
//! refuses new jobs, with the time after which it would take them, while what
//! waits of its priority and of more urgent ones takes longer than its jobs may.
//! What was accepted is carried through. The wait is the least that it can be:
//! what runs is taken to end at once, and what holds up no others (the work of
//! teams at their limit or beyond what they are owed, tasks that no target can
//! hold, and jobs that can only be late, up to a bound) doesn't count.

use std::{collections::HashMap, time::Duration};

use base::{Name, Resources};
use work::{Policy, Queue, Step};

use crate::{
    planner::Planner,
    advice::cost_us,
    rank::job_objective_ms,
    share::Entitlement,
    target::{Availability, Target},
};

/// Targets that a request for advice names, as a rule.
const DEFAULT_TARGETS: usize = 20;

/// Requests for advice that a gang takes, as a rule: one to learn which targets
/// it may have, and one for tickets once these have room.
const REQUESTS_PER_GANG: u32 = 2;

/// Weight of the newest job in a queue's usual objective, in thousandths.
const NEWEST_WEIGHT_MILLI: u64 = 50;

/// A job may wait for this many times its objective: after three times the
/// objective it is of no use, and the work itself takes the rest.
const MAX_WAIT_OBJECTIVES: u32 = 2;

/// Time in which what was asked fades to a third of its weight.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// Part of the advice that long requests get in any case: a job that was
/// accepted is carried through, however many short ones come.
const MIN_LONG_RATIO: f64 = 0.1;

/// An `Overload` is why a queue takes no new jobs for now.
#[derive(Clone, Debug)]
pub struct Overload {
    /// The queue.
    pub queue: Name,
    /// Time after which it would take them, more than zero.
    pub retry_after: Duration,
    /// Time that what goes before new jobs takes of the room.
    pub room_wait: Duration,
    /// Time that all that waits takes of the room.
    pub backlog: Duration,
    /// Time that what waits takes of the advice.
    pub advice_wait: Duration,
    /// Longest wait for which it takes jobs.
    pub max_wait: Duration,
}

/// A `Wait` is the work that waits, in time of the whole cell.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    room: Duration,
    /// What can only be late, which goes after what comes.
    late_room: Duration,
    short_advice: Duration,
    long_advice: Duration,
}

/// A `Room` is what the targets of a pool hold when they are empty.
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

    /// Gets the part of it that a task takes, by what is scarcer.
    fn fraction(&self, size: Resources) -> f64 {
        let fraction = |taken: u32, whole: u64| f64::from(taken) / whole.max(1) as f64;
        let cpu = fraction(size.cpu_milli, self.cpu_milli);
        cpu.max(fraction(size.memory_mib, self.memory_mib))
    }
}

/// An `RequestLoad` is how much of the time of the instances the requests for advice
/// of one length take.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestLoad {
    busy: Duration,
    updated_at: Duration,
}

impl RequestLoad {
    /// Takes note of a request that takes this time.
    pub(crate) fn record(&mut self, time: Duration, now: Duration) {
        self.busy = self.decayed(now) + time;
        self.updated_at = now;
    }

    /// Tells whether they take less than what long requests get in any case.
    pub(crate) fn is_below_minimum(&self, instances: u32, now: Duration) -> bool {
        self.ratio(instances, now) < MIN_LONG_RATIO
    }

    /// Gets the part of the time that they take of so many instances.
    pub(crate) fn ratio(&self, instances: u32, now: Duration) -> f64 {
        self.decayed(now).div_duration_f64(DECAY_TIME * instances.max(1))
    }

    fn decayed(&self, now: Duration) -> Duration {
        let age = now.saturating_sub(self.updated_at);
        self.busy.mul_f64((-age.div_duration_f64(DECAY_TIME)).exp())
    }
}

impl Planner {
    /// Gets the queues that take no new jobs for now.
    pub fn overloads(&self, now: Duration) -> Vec<Overload> {
        let instances = if self.has_all_instances(now) {
            self.instances
        } else if self.expected_instances > 0 {
            self.instances.max(self.expected_instances)
        } else {
            // Further instances are likely to follow.
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
            // Short requests don't wait for long ones.
            let advice_wait = if self.has_long_requests(&queue.policy) {
                (demand.short_advice + demand.long_advice).div_f64(long_ratio)
            } else {
                demand.short_advice
            };
            let objective_ms = *self.average_objective_ms.get(&queue.name)?;
            let max_wait = Duration::from_millis(objective_ms) * MAX_WAIT_OBJECTIVES;
            let max_wait = max_wait.min(self.settings.max_wait);
            let backlog = demand.room + demand.late_room;
            let retry_after = demand.room.max(advice_wait).saturating_sub(max_wait);
            let retry_after = retry_after.max(backlog.saturating_sub(self.settings.max_backlog));
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

    /// Learns the usual objective of a queue's jobs.
    pub(crate) fn update_average_objective(&mut self, queue: &Name, steps: &[Step], policy: &Policy) {
        let newest = job_objective_ms(steps, policy);
        let average = self.average_objective_ms.entry(queue.clone()).or_insert(newest);
        *average = (*average * (1000 - NEWEST_WEIGHT_MILLI) + newest * NEWEST_WEIGHT_MILLI) / 1000;
    }

    /// Gets what waits, by priority and pool, if so many instances ask for
    /// advice.
    fn demands(&self, instances: u32) -> HashMap<(u32, Name), Demand> {
        let mut demands: HashMap<(u32, Name), Demand> = HashMap::new();
        let capacities = self.capacities();
        for key in &self.waiting_steps {
            let Some((job, state)) = self.jobs.get(&key.job).zip(self.step_state(key)) else {
                continue;
            };
            let step = &job.spec.steps[usize::from(key.step)];
            let policy = self.config.policy(&job.spec.queue, &job.spec.policy);
            let capacity = capacities.get(&policy.service).filter(|capacity| step.size.fits(&capacity.largest));
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
            let advice = Duration::from_micros(typical_request_us(policy)) * requests / instances.max(1);
            if self.has_long_requests(policy) {
                demand.long_advice += advice;
            } else {
                demand.short_advice += advice;
            }
        }
        demands
    }

    /// Gets the room of each pool.
    fn capacities(&self) -> HashMap<Name, PoolCapacity> {
        let mut capacities: HashMap<Name, PoolCapacity> = HashMap::new();
        for Target { info, .. } in &self.targets {
            if info.availability != Availability::Unlisted {
                capacities.entry(info.service.clone()).or_default().add(info.capacity);
            }
        }
        capacities
    }

    fn has_long_requests(&self, policy: &Policy) -> bool {
        self.settings.is_long_request(typical_request_us(policy))
    }
}

/// Gets the time of a request for advice for a step, in microseconds.
fn typical_request_us(policy: &Policy) -> u64 {
    cost_us(policy.advice.unwrap_or_default(), DEFAULT_TARGETS)
}
