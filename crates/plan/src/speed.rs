//! Speeds of targets.
//!
//! Targets differ in speed, and a target can become several times slower, or its
//! tasks can stall, while it still answers in time. The speed of each run is
//! compared with that of runs of the same step on other targets, or else with the
//! usual ratio of run time to estimate in its queue; queues with inaccurate
//! estimates weigh less. Two averages are kept for each target:
//!
//! - a recent one, from the progress of runs, tells targets that are too slow to
//!   get work. Its observations decay, so that a slow target is tried again. One
//!   run is not enough, since some tasks take several times as long as others;
//! - a usual one, from the whole times of finished runs, tells fast targets from
//!   slow ones. Jobs with little time to spare go to the fast ones first, and
//!   jobs with much time leave them free.

pub(crate) mod record;

use std::time::Duration;

use work::TaskKey;

use crate::target::TargetId;

/// Time in which the weight of an observation falls to 1/e in the recent
/// average.
const RECENT_DECAY: Duration = Duration::from_secs(4);

/// Time in which the weight of an observation falls to 1/e in the usual average.
const USUAL_DECAY: Duration = Duration::from_secs(120);

/// Weight of the prior assumption that a target has normal speed; about three
/// samples of a queue with accurate estimates.
const PRIOR_WEIGHT: f64 = 12.0;

/// Variance of a sample beyond the variance of the queue's estimates, because
/// targets differ in speed and listings round progress.
const MIN_VARIANCE: f64 = 0.06;

/// Minimum weight of the newest sample in the baseline of a queue; the first
/// samples weigh more.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;

/// Ratio to the baseline above which a target gets no work.
const SLOW_RATIO: f64 = 2.2;

/// Limit for the deviation of one run, as a ratio, and for its weight. With them,
/// one run does not exceed `SLOW_RATIO`.
const MAX_RUN_RATIO: f64 = 8.0;
const MAX_RUN_WEIGHT: f64 = 7.0;

/// Difference of the logarithms of the run times in two neighbouring classes of
/// speed. Less would let noise decide instead of room.
const CLASS_WIDTH: f64 = 0.1;

/// Mean and variance of the logarithm of run time over estimate in a queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Baseline {
    mean: f64,
    variance: f64,
    sample_count: u32,
}

impl Default for Baseline {
    fn default() -> Self {
        Self { mean: 0.0, variance: 0.5, sample_count: 0 }
    }
}

impl Baseline {
    /// Returns the deviation of a ratio of run time to estimate from the mean,
    /// and the weight of this observation.
    fn deviation(&self, ratio: f64) -> (f64, f64) {
        let deviation = ratio.max(f64::MIN_POSITIVE).ln() - self.mean;
        (deviation, 1.0 / (self.variance + MIN_VARIANCE))
    }

    fn update(&mut self, deviation: f64) {
        // Bounded, so that one slow target does not shift the baseline.
        let bounded = deviation.clamp(-1.0, 1.0);
        self.sample_count = self.sample_count.saturating_add(1);
        let weight = (1.0 / f64::from(self.sample_count + 1)).max(MIN_SAMPLE_WEIGHT);
        self.mean += weight * bounded;
        self.variance += weight * (bounded * bounded - self.variance);
    }
}

/// Decaying average of deviations.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    sum: f64,
    weight: f64,
    updated_at: Duration,
}

impl Average {
    fn add(&mut self, (deviation, weight): (f64, f64), decay_time: Duration, now: Duration) {
        let decay = self.decay(decay_time, now);
        self.sum = self.sum * decay + deviation * weight;
        self.weight = self.weight * decay + weight;
        self.updated_at = now;
    }

    /// Returns the average, drawn towards zero by the weight of the prior.
    fn value(&self, decay_time: Duration, now: Duration) -> f64 {
        let decay = self.decay(decay_time, now);
        self.sum * decay / (self.weight * decay + PRIOR_WEIGHT)
    }

    fn decay(&self, decay_time: Duration, now: Duration) -> f64 {
        (-now.saturating_sub(self.updated_at).div_duration_f64(decay_time)).exp()
    }
}

/// Latest progress of a run, compared with others.
#[derive(Clone, Debug)]
struct RunSpeed {
    task: TaskKey,
    deviation: f64,
    weight: f64,
    at: Duration,
}

/// Estimates of a target's speed, relative to other targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Speed {
    recent: Vec<RunSpeed>,
    usual: Average,
}

/// Latest progress of the runs of a step, by target.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepSpeeds(Vec<(TargetId, f64, Duration)>);

impl StepSpeeds {
    /// Records the run time over the estimate of a run on a target. Returns the
    /// median of those of the step's runs on other targets, if there are any.
    pub(crate) fn compare(&mut self, target: TargetId, ratio: f64, now: Duration) -> Option<f64> {
        self.0.retain(|(id, _, at)| *id != target && now.saturating_sub(*at) < RECENT_DECAY);
        let mut others: Vec<f64> = self.0.iter().map(|(_, ratio, _)| *ratio).collect();
        self.0.push((target, ratio, now));
        others.sort_by(f64::total_cmp);
        others.get(others.len() / 2).copied()
    }
}

impl Speed {
    /// Adds a sample of a run in progress. `ratio` is the run time, extrapolated
    /// from recent progress, over the estimate, and `others` that of runs of the
    /// same step on other targets.
    pub(crate) fn record_progress(
        &mut self,
        task: &TaskKey,
        ratio: f64,
        others: Option<f64>,
        baseline: &mut Baseline,
        now: Duration,
    ) {
        let (from_usual, usual_weight) = baseline.deviation(ratio);
        let (deviation, weight) = match others {
            Some(others) => ((ratio / others).ln(), MAX_RUN_WEIGHT),
            None => (from_usual, usual_weight.min(MAX_RUN_WEIGHT)),
        };
        let limit = MAX_RUN_RATIO.ln();
        let deviation = deviation.clamp(-limit, limit);
        self.recent
            .retain(|run| run.task != *task && now.saturating_sub(run.at) < RECENT_DECAY * 4);
        self.recent.push(RunSpeed { task: task.clone(), deviation, weight, at: now });
        baseline.update(from_usual);
    }

    /// Adds a finished run. `ratio` is its run time over the estimate.
    pub(crate) fn record_run(&mut self, ratio: f64, baseline: &mut Baseline, now: Duration) {
        let sample = baseline.deviation(ratio);
        self.usual.add(sample, USUAL_DECAY, now);
        // What the target accounts for is not due to the queue's estimates.
        baseline.update(sample.0 - self.usual.value(USUAL_DECAY, now));
    }

    /// Returns whether the target is slower than others by so much that it should
    /// get no work.
    pub(crate) fn is_slow(&self, now: Duration) -> bool {
        let (mut sum, mut whole) = (0.0, PRIOR_WEIGHT);
        for run in &self.recent {
            let age = now.saturating_sub(run.at).div_duration_f64(RECENT_DECAY);
            let weight = run.weight * (-age).exp();
            sum += run.deviation * weight;
            whole += weight;
        }
        sum / whole > SLOW_RATIO.ln()
    }

    /// Returns the class of the target's usual speed: 0 for a normal one, less
    /// for a faster one, more for a slower one.
    pub(crate) fn class(&self, now: Duration) -> i8 {
        (self.usual.value(USUAL_DECAY, now) / CLASS_WIDTH).round() as i8
    }
}
