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
const USUAL_TARGETS: usize = 20;

/// Requests for advice that a gang takes, as a rule: one to learn which targets
/// it may have, and one for tickets once these have room.
const ASKS_OF_GANG: u32 = 2;

/// Weight of the newest job in a queue's usual objective, in thousandths.
const NEWEST_MILLI: u64 = 50;

/// A job may wait for this many times its objective: after three times the
/// objective it is of no use, and the work itself takes the rest.
const MOST_OBJECTIVES: u32 = 2;

/// Time in which what was asked fades to a third of its weight.
const FADE: Duration = Duration::from_secs(4);

/// Part of the advice that long requests get in any case: a job that was
/// accepted is carried through, however many short ones come.
const LEAST_LONG_PART: f64 = 0.1;

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
struct Wait {
    room: Duration,
    /// What can only be late, which goes after what comes.
    late_room: Duration,
    short_advice: Duration,
    long_advice: Duration,
}

/// A `Room` is what the targets of a pool hold when they are empty.
#[derive(Clone, Copy, Debug, Default)]
struct Room {
    cpu_milli: u64,
    memory_mib: u64,
    largest: Resources,
}

impl Room {
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
    fn part(&self, size: Resources) -> f64 {
        let part = |taken: u32, whole: u64| f64::from(taken) / whole.max(1) as f64;
        let cpu = part(size.cpu_milli, self.cpu_milli);
        cpu.max(part(size.memory_mib, self.memory_mib))
    }
}

/// An `AskRate` is how much of the time of the instances the requests for advice
/// of one length take.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AskRate {
    taken: Duration,
    at: Duration,
}

impl AskRate {
    /// Takes note of a request that takes this time.
    pub(crate) fn add(&mut self, time: Duration, now: Duration) {
        self.taken = self.faded(now) + time;
        self.at = now;
    }

    /// Tells whether they take less than what long requests get in any case.
    pub(crate) fn is_below_least(&self, advisors: u32, now: Duration) -> bool {
        self.part(advisors, now) < LEAST_LONG_PART
    }

    /// Gets the part of the time that they take of so many instances.
    pub(crate) fn part(&self, advisors: u32, now: Duration) -> f64 {
        self.faded(now).div_duration_f64(FADE * advisors.max(1))
    }

    fn faded(&self, now: Duration) -> Duration {
        let age = now.saturating_sub(self.at);
        self.taken.mul_f64((-age.div_duration_f64(FADE)).exp())
    }
}

impl Planner {
    /// Gets the queues that take no new jobs for now.
    pub fn overloads(&self, now: Duration) -> Vec<Overload> {
        let advisors = if self.has_all_instances(now) {
            self.advisors
        } else if self.expected_advisors > 0 {
            self.advisors.max(self.expected_advisors)
        } else {
            // Further instances are likely to follow.
            return Vec::new();
        };
        let waits = self.waits(advisors);
        let long_part = (1.0 - self.short_asks.part(advisors, now)).max(LEAST_LONG_PART);
        let overload = |queue: &Queue| {
            let before =
                waits.iter().filter(|((priority, _), _)| *priority <= queue.policy.priority);
            let mut wait = Wait::default();
            for ((_, service), earlier) in before {
                if *service == queue.policy.service {
                    wait.room += earlier.room;
                    wait.late_room += earlier.late_room;
                }
                wait.short_advice += earlier.short_advice;
                wait.long_advice += earlier.long_advice;
            }
            // Short requests don't wait for long ones.
            let advice_wait = if self.is_long_request(&queue.policy) {
                (wait.short_advice + wait.long_advice).div_f64(long_part)
            } else {
                wait.short_advice
            };
            let objective_ms = *self.usual_objective_ms.get(&queue.name)?;
            let max_wait = Duration::from_millis(objective_ms) * MOST_OBJECTIVES;
            let max_wait = max_wait.min(self.settings.max_wait);
            let backlog = wait.room + wait.late_room;
            let retry_after = wait.room.max(advice_wait).saturating_sub(max_wait);
            let retry_after = retry_after.max(backlog.saturating_sub(self.settings.max_backlog));
            let queue = queue.name.clone();
            let overload = Overload {
                queue,
                retry_after,
                room_wait: wait.room,
                backlog,
                advice_wait,
                max_wait,
            };
            (!retry_after.is_zero()).then_some(overload)
        };
        self.config.queues.iter().filter_map(overload).collect()
    }

    /// Learns the usual objective of a queue's jobs.
    pub(crate) fn learn_objective(&mut self, queue: &Name, steps: &[Step], policy: &Policy) {
        let newest = job_objective_ms(steps, policy);
        let usual = self.usual_objective_ms.entry(queue.clone()).or_insert(newest);
        *usual = (*usual * (1000 - NEWEST_MILLI) + newest * NEWEST_MILLI) / 1000;
    }

    /// Gets what waits, by priority and pool, if so many instances ask for
    /// advice.
    fn waits(&self, advisors: u32) -> HashMap<(u32, Name), Wait> {
        let mut waits: HashMap<(u32, Name), Wait> = HashMap::new();
        let rooms = self.rooms();
        for key in &self.ready {
            let Some((job, state)) = self.jobs.get(&key.job).zip(self.step_state(key)) else {
                continue;
            };
            let step = &job.spec.steps[usize::from(key.step)];
            let policy = self.config.policy(&job.spec.queue, &job.spec.policy);
            let room = rooms.get(&policy.service).filter(|room| step.size.fits(&room.largest));
            let is_beyond = job.entitlement == Entitlement::Beyond;
            let left = self.team_left(&job.spec.team);
            let may_start = left.is_none_or(|left| step.size.fits(&left));
            let Some(room) = room.filter(|_| !is_beyond && may_start) else {
                continue;
            };
            let wait = waits.entry((policy.priority, policy.service.clone())).or_default();
            let time = Duration::from_millis(u64::from(step.estimate_ms));
            let room = time.mul_f64(room.part(step.size) * state.waiting.len() as f64);
            if self.is_late(key, self.decided_unix_ms) {
                wait.late_room += room;
            } else {
                wait.room += room;
            }
            let asks = if step.gang { ASKS_OF_GANG } else { 1 };
            let advice = Duration::from_micros(usual_ask_us(policy)) * asks / advisors.max(1);
            if self.is_long_request(policy) {
                wait.long_advice += advice;
            } else {
                wait.short_advice += advice;
            }
        }
        waits
    }

    /// Gets the room of each pool.
    fn rooms(&self) -> HashMap<Name, Room> {
        let mut rooms: HashMap<Name, Room> = HashMap::new();
        for Target { facts, .. } in &self.targets {
            if facts.availability != Availability::Unlisted {
                rooms.entry(facts.service.clone()).or_default().add(facts.capacity);
            }
        }
        rooms
    }

    fn is_long_request(&self, policy: &Policy) -> bool {
        self.settings.is_long_request(usual_ask_us(policy))
    }
}

/// Gets the time of a request for advice for a step, in microseconds.
fn usual_ask_us(policy: &Policy) -> u64 {
    cost_us(policy.advice.unwrap_or_default(), USUAL_TARGETS)
}
