//! Description and results of a day.

use std::time::Duration;

/// A day with services, backfill and jobs.
#[derive(Clone, Debug)]
pub struct Day {
    /// Number of targets of 16 cores.
    pub targets: u32,
    /// Number of services of six tasks each, on a target each; they are submitted
    /// one after another.
    pub services: u32,
    /// Number of sets of backfill of 20 tasks, which are submitted before all but
    /// the first service.
    pub backfill: u32,
    /// Number of targets that are lost during the day.
    pub losses: u32,
    /// Jobs with an objective that arrive in a second.
    pub jobs_per_s: f64,
    /// Share of the pace orders that are lost.
    pub lost_orders: f64,
    /// Length of the day.
    pub duration: Duration,
    /// Whether interference is controlled.
    pub is_controlled: bool,
}

impl Default for Day {
    fn default() -> Self {
        Self {
            targets: 16,
            services: 3,
            backfill: 2,
            losses: 3,
            jobs_per_s: 0.6,
            lost_orders: 0.05,
            duration: Duration::from_secs(90),
            is_controlled: true,
        }
    }
}

/// What a day was like for the owners of the jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Share of the time for which the tasks of services were at work.
    pub at_work: f64,
    /// Share of the time for which they were over their goal.
    pub over_goal: f64,
    /// Longest time for which one was over its goal beside backfill at work.
    pub longest_harm: Duration,
    /// Share of the time for which backfill was at work, by its pace.
    pub backfill_work: f64,
    /// Share of the jobs with an objective that were done in time.
    pub in_time: f64,
    /// Number of pace orders.
    pub paces: u32,
    /// Number of stops of backfill.
    pub stops: u32,
}
