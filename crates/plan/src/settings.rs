//! Tuning parameters of the planner.

use std::time::Duration;

use place::Thresholds;
use work::Advice;

/// Tuning parameters of the planner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time for which a target continues its runs without contact to the
    /// placer.
    pub target_lease: Duration,
    /// Longest lease that a target accepts. It shortens longer ones to this.
    pub max_target_lease: Duration,
    /// Longest time after which a target carries out an order that it has not
    /// answered. The users' page says "seconds later".
    pub max_order_delay: Duration,
    /// Maximum amount by which the clock of a target runs slow, in thousandths.
    pub max_clock_drift_milli: u32,
    /// Time since the last contact after which a target gets no new work.
    pub contact_timeout: Duration,
    /// Margin beyond the poll interval after which a target without runs gets
    /// no new work.
    pub idle_contact_margin: Duration,
    /// Time since the list of targets was last confirmed after which nothing is
    /// started. A target may have shrunk or given notice meanwhile.
    pub max_list_age: Duration,
    /// Time since the evacuations were last confirmed after which nothing is
    /// started; `None` if there are no evacuations.
    pub max_evacuation_age: Option<Duration>,
    /// Time before its expiry from which a ticket is no longer used. Covers the
    /// time to send a start to the farthest target.
    pub ticket_margin: Duration,
    /// Limits after which a target is suspected because its runs fail.
    pub health_thresholds: Thresholds,
    /// Back-off after an unanswered start; doubles with each further one.
    pub unanswered_start_backoff: Duration,
    /// Time without progress after which a run is stopped to start elsewhere.
    pub stall_timeout: Duration,
    /// Time after which an unacknowledged stop is sent again.
    pub stop_retry_interval: Duration,
    /// Time for which an ended job is kept.
    pub ended_job_retention: Duration,
    /// Minimum time between publications of state changes. Each publication
    /// goes to all instances, so more frequent ones cost the placer more than
    /// the jobs themselves.
    pub state_publish_interval: Duration,
    /// Size of the range of run numbers of each term. Run numbers that were
    /// lost with the placer of an earlier term are thus never reused.
    pub run_numbers_per_term: u32,
    /// Maximum number of targets with room to examine for a step. An advice
    /// request names at most 100 of them.
    pub max_slots_per_step: usize,
    /// Number of targets without room on which a step requests advice, in
    /// addition to those with room.
    pub max_full_targets_per_step: usize,
    /// Maximum number of steps for which targets are searched in one round.
    pub max_searches_per_round: usize,
    /// Maximum total expected time of the short advice requests in flight, per
    /// instance without a long one. Requests beyond that wait in the planner,
    /// where more urgent ones overtake them.
    pub max_advice_backlog: Duration,
    /// Expected time above which an advice request is long. Each instance has
    /// at most one long request in flight, and some instances have none, so
    /// that short requests never have to wait for long ones.
    pub long_request_threshold: Duration,
    /// Maximum number of targets that one advice request names.
    pub max_targets_per_request: usize,
    /// Limits for preempting runs to make room for gangs.
    pub preemption: Preemption,
    /// Handling of tasks that slow each other down.
    pub interference: Interference,
    /// Time for which a task finds no room before backfill is evicted for it. Most
    /// full targets have room again sooner, and evicted work is lost.
    pub eviction_delay: Duration,
    /// Maximum number of keys that a batch writes or removes.
    pub max_keys_per_batch: usize,
    /// Maximum time for which progress that ends no job is delayed before it is
    /// recorded.
    pub max_progress_delay: Duration,
    /// Maximum number of runs to record for closed targets. Each takes about 80
    /// bytes of a value, which is limited to 1 MiB.
    pub max_closed_runs: usize,
    /// Time without a new instance after which jobs may be refused. Refusing
    /// needs the number of instances. After a change of leader all instances
    /// connect at about the same time, within a fraction of this time.
    pub admission_grace: Duration,
    /// Maximum wait for advice for which jobs are accepted. Jobs that wait for
    /// advice leave the targets idle, so they must be done within the users'
    /// `finishS`, 14 s, when the last client has left; the work itself takes a
    /// part of that.
    pub max_advice_wait: Duration,
    /// Maximum time of all waiting work, including work that can only be late,
    /// for which jobs are accepted. Late work goes after new work and delays
    /// nothing, but it must still be done within the users' `finishS`, 14 s,
    /// once no more jobs arrive.
    pub max_backlog: Duration,
}

/// Limits for preempting runs to make room for gangs.
#[derive(Clone, Debug)]
pub struct Preemption {
    /// Maximum number of preemptions of a task in one term; 0 disables
    /// preemption.
    pub max_per_task: u32,
    /// Minimum time that a job must have left, beyond its remaining work, for
    /// its runs to be preempted.
    pub slack: Duration,
    /// Progress in percent from which a run is no longer preempted.
    pub max_done_percent: u32,
    /// Time for which room is reserved for a step. A stop takes up to 1 s, and
    /// tickets may have to be requested again meanwhile.
    pub reservation_timeout: Duration,
}

impl Default for Preemption {
    fn default() -> Self {
        Self {
            max_per_task: 2,
            slack: Duration::from_secs(4),
            max_done_percent: 80,
            reservation_timeout: Duration::from_secs(4),
        }
    }
}

/// Handling of tasks that slow each other down on one target.
#[derive(Clone, Debug)]
pub struct Interference {
    /// Whether tasks with a latency goal may share targets with backfill, which
    /// then yields to them. If not, they never share a target.
    pub is_enabled: bool,
    /// Time for which a task may exceed its latency goal because of backfill.
    pub max_harm: Duration,
    /// Time after which a target has carried out a pace order.
    pub pace_delay: Duration,
}

/// The operators' lower bound on harm, and their bound on the effect of a pace
/// order.
impl Default for Interference {
    fn default() -> Self {
        Self {
            is_enabled: true,
            max_harm: Duration::from_millis(4000),
            pace_delay: Duration::from_millis(100),
        }
    }
}

/// The defaults suit leases of up to 10 s and network latencies of 20 ms.
impl Default for Settings {
    fn default() -> Self {
        Self {
            target_lease: Duration::from_secs(6),
            max_target_lease: Duration::from_secs(10),
            max_order_delay: Duration::from_secs(12),
            max_clock_drift_milli: 20,
            contact_timeout: Duration::from_millis(2500),
            idle_contact_margin: Duration::from_millis(1500),
            max_list_age: Duration::from_millis(5000),
            max_evacuation_age: None,
            ticket_margin: Duration::from_millis(150),
            health_thresholds: Thresholds {
                min_failures: 3,
                min_jobs: 2,
                min_backoff: Duration::from_secs(3),
                max_backoff: Duration::from_secs(30),
            },
            unanswered_start_backoff: Duration::from_millis(300),
            stall_timeout: Duration::from_millis(3500),
            stop_retry_interval: Duration::from_millis(500),
            ended_job_retention: Duration::from_secs(150),
            state_publish_interval: Duration::from_millis(40),
            run_numbers_per_term: 1000,
            max_slots_per_step: 400,
            max_full_targets_per_step: 64,
            max_searches_per_round: 256,
            max_advice_backlog: Duration::from_millis(150),
            long_request_threshold: Duration::from_millis(150),
            max_targets_per_request: 100,
            preemption: Preemption::default(),
            interference: Interference::default(),
            eviction_delay: Duration::from_millis(500),
            max_keys_per_batch: 29,
            max_progress_delay: Duration::from_millis(300),
            max_closed_runs: 1000,
            admission_grace: Duration::from_secs(1),
            max_advice_wait: Duration::from_secs(7),
            max_backlog: Duration::from_secs(14),
        }
    }
}

impl Settings {
    /// Returns whether an advice request with this expected time is long.
    pub fn is_long_request(&self, cost_us: u64) -> bool {
        Duration::from_micros(cost_us) > self.long_request_threshold
    }

    /// Returns the number of targets to name in each of several parallel
    /// requests. The time for the targets of a request does not exceed its
    /// fixed time, and all requests name about equally many targets.
    pub(crate) fn balanced_targets_per_request(&self, advice: Advice, targets: usize) -> usize {
        let balanced = (advice.request_us / advice.target_us.max(1)) as usize;
        let max_targets = balanced.clamp(1, self.max_targets_per_request);
        targets.div_ceil(targets.div_ceil(max_targets).max(1)).max(1)
    }

    /// Returns the maximum number of long advice requests in flight.
    pub(crate) fn max_long_requests(&self, instances: u32) -> usize {
        /// One in this many instances makes no long requests.
        const SHORT_ONLY_DIVISOR: u32 = 4;
        instances.saturating_sub(instances.div_ceil(SHORT_ONLY_DIVISOR)).max(1) as usize
    }

    /// Returns the time since the last grant after which a target's lease has
    /// expired by any clock.
    pub(crate) fn lapse_timeout(&self) -> Duration {
        self.expiry_of(self.target_lease)
    }

    /// Returns the time after which a lease of unknown length has expired by any
    /// clock.
    pub(crate) fn max_lapse_timeout(&self) -> Duration {
        self.expiry_of(self.max_target_lease)
    }

    /// Returns the time after which a lease has expired that a late order for an
    /// earlier process may have prolonged.
    pub(crate) fn unconfirmed_lapse_timeout(&self) -> Duration {
        self.max_order_delay + self.max_lapse_timeout()
    }

    /// Returns the time after which `lease` has expired by any clock.
    pub(crate) fn expiry_of(&self, lease: Duration) -> Duration {
        /// Covers the time to send a grant, since the time of a grant is taken
        /// before sending.
        const GRANT_MARGIN: Duration = Duration::from_millis(300);
        lease * (1000 + self.max_clock_drift_milli) / 1000 + GRANT_MARGIN
    }
}
