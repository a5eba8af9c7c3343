//! Times and bounds of decisions.

use std::time::Duration;

use place::Caution;
use work::Advice;

/// A `Settings` is the times and bounds that decisions keep to.
#[derive(Clone, Debug)]
pub struct Settings {
    /// For how long a target goes on without hearing from its placer.
    pub target_lease: Duration,
    /// How much slower than ours a target's clock may run, in thousandths.
    pub clock_drift_milli: u32,
    /// Time within which a target must have answered to get new work.
    pub contact_timeout: Duration,
    /// Time beyond the usual one within which a target that runs nothing must
    /// have answered to get new work.
    pub idle_contact_margin: Duration,
    /// How long before its end a ticket is no longer used: the time to send a
    /// start to the farthest target.
    pub ticket_margin: Duration,
    /// When a target is suspected that fails what it starts.
    pub caution: Caution,
    /// Pause after a start that wasn't answered; doubled with each further one.
    pub unanswered_start_backoff: Duration,
    /// Time without progress after which a run is moved elsewhere.
    pub stall_timeout: Duration,
    /// Time after which an unanswered stop is sent again.
    pub stop_retry_interval: Duration,
    /// How long a finished job is known.
    pub ended_job_retention: Duration,
    /// Least time between tellings of changes of states. Each goes to all
    /// instances, so that more of them cost the placer more than their jobs do.
    pub state_publish_interval: Duration,
    /// Run numbers that each placer has for itself, so that those of an
    /// earlier one that were lost with it aren't used again.
    pub run_numbers_per_term: u32,
    /// Targets with room that are looked at for a step; a request for advice
    /// names at most a hundred.
    pub max_slots_per_step: usize,
    /// Targets without room that a step asks about beside those with room.
    pub max_full_targets_per_step: usize,
    /// Most steps that one round of decisions looks at.
    pub max_steps_per_round: usize,
    /// Most time that the short requests for advice under way may take, for each
    /// instance that asks.
    pub max_advice_backlog: Duration,
    /// A request for advice that takes longer than this is a long one. Each
    /// instance makes one of them at a time, and some make none, so that short
    /// ones never wait for long ones.
    pub long_request_threshold: Duration,
    /// Most targets that one request for advice names.
    pub max_targets_per_request: usize,
    /// Moving runs to make room for gangs.
    pub preemption: Preemption,
    /// Most keys that a record writes or removes.
    pub max_keys_per_batch: usize,
    /// Longest time for which progress that ends no job waits to be recorded.
    pub max_progress_delay: Duration,
    /// Most runs that are recorded of closed targets; each takes about 80 bytes
    /// of a value, which may have 1 MiB.
    pub max_closed_runs: usize,
    /// Time without a further instance until jobs may be refused, which needs
    /// the number of instances. They all look for the new leader at once, so
    /// that their links come within a fraction of it.
    pub admission_grace: Duration,
    /// Longest wait for which jobs are accepted: what waits when the last
    /// client has left is to be done within `finishS` of the users, 14 s, of
    /// which the work itself takes a part.
    pub max_wait: Duration,
    /// Longest time that all that waits may take for jobs to be accepted, with
    /// what can only be late. New work goes before that, so it holds up nobody;
    /// but what was accepted is to be done within `finishS` of the users, 14 s,
    /// when no more comes.
    pub max_backlog: Duration,
}

/// A `Preemption` is the bounds of moving runs to make room for gangs.
#[derive(Clone, Debug)]
pub struct Preemption {
    /// Times that a task is moved at most in one term; 0 if none ever is.
    pub moves_per_task: u32,
    /// Time that a job must have left beyond its work for its runs to be moved.
    pub slack: Duration,
    /// Hundredths of its work from which on a run is left to end.
    pub max_done_percent: u32,
    /// Time for which the room of a gang is kept: a stop takes a second at most,
    /// and tickets may have to be asked for again meanwhile.
    pub reservation_timeout: Duration,
}

impl Default for Preemption {
    fn default() -> Self {
        Self {
            moves_per_task: 2,
            slack: Duration::from_secs(4),
            max_done_percent: 80,
            reservation_timeout: Duration::from_secs(4),
        }
    }
}

/// The defaults fit leases of at most 10 s and links of 20 ms.
impl Default for Settings {
    fn default() -> Self {
        Self {
            target_lease: Duration::from_secs(6),
            clock_drift_milli: 20,
            contact_timeout: Duration::from_millis(2500),
            idle_contact_margin: Duration::from_millis(1500),
            ticket_margin: Duration::from_millis(150),
            caution: Caution {
                failures: 3,
                jobs: 2,
                first_pause: Duration::from_secs(3),
                longest_pause: Duration::from_secs(30),
            },
            unanswered_start_backoff: Duration::from_millis(300),
            stall_timeout: Duration::from_millis(3500),
            stop_retry_interval: Duration::from_millis(500),
            ended_job_retention: Duration::from_secs(150),
            state_publish_interval: Duration::from_millis(40),
            run_numbers_per_term: 1000,
            max_slots_per_step: 400,
            max_full_targets_per_step: 64,
            max_steps_per_round: 256,
            max_advice_backlog: Duration::from_millis(150),
            long_request_threshold: Duration::from_millis(150),
            max_targets_per_request: 100,
            preemption: Preemption::default(),
            max_keys_per_batch: 29,
            max_progress_delay: Duration::from_millis(300),
            max_closed_runs: 1000,
            admission_grace: Duration::from_secs(1),
            max_wait: Duration::from_secs(7),
            max_backlog: Duration::from_secs(14),
        }
    }
}

impl Settings {
    /// Tells whether a request for advice is a long one.
    pub fn is_long_request(&self, cost_us: u64) -> bool {
        Duration::from_micros(cost_us) > self.long_request_threshold
    }

    /// Gets how many targets one of several requests side by side names, so that
    /// its targets take no longer than the request itself, and all name about as
    /// many.
    pub(crate) fn balanced_targets_per_request(&self, advice: Advice, targets: usize) -> usize {
        let balanced = (advice.request_us / advice.target_us.max(1)) as usize;
        let max_targets = balanced.clamp(1, self.max_targets_per_request);
        targets.div_ceil(targets.div_ceil(max_targets).max(1)).max(1)
    }

    /// Gets how many long requests for advice may be under way.
    pub(crate) fn max_long_requests(&self, instances: u32) -> usize {
        /// One instance in so many makes no long requests.
        const SHORT_ONLY_DIVISOR: u32 = 4;
        instances.saturating_sub(instances.div_ceil(SHORT_ONLY_DIVISOR)).max(1) as usize
    }

    /// Gets the time after the last grant when a target's lease has surely
    /// lapsed.
    pub(crate) fn lapse_timeout(&self) -> Duration {
        /// The time for a grant to be sent, which counts from before that.
        const GRANT_MARGIN: Duration = Duration::from_millis(300);
        self.target_lease * (1000 + self.clock_drift_milli) / 1000 + GRANT_MARGIN
    }
}
