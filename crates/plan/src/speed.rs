//! Detection of slow targets.
//!
//! A target can become several times slower, or its tasks can stall, while it
//! still answers in time. Work placed there is late, and a gang is as slow as
//! its slowest member. The speed of each run is compared with the usual ratio
//! of run time to estimate in its queue; queues with inaccurate estimates weigh
//! less. Observations decay, so that a slow target is tried again.

use std::time::Duration;

/// Time in which the weight of an observation falls to 1/e.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// Weight of the prior assumption that a target has normal speed; about three
/// samples of a queue with accurate estimates.
const PRIOR_WEIGHT: f64 = 12.0;

/// Variance of a sample beyond the variance of the queue's estimates, because
/// targets differ in speed and listings round progress.
const MIN_VARIANCE: f64 = 0.06;

/// Weight of the newest sample in the baseline of a queue.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.02;

/// Ratio to the baseline above which a target gets no work.
const SLOW_RATIO: f64 = 2.2;

/// Mean and variance of the logarithm of run time over estimate in a queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Baseline {
    mean: f64,
    variance: f64,
}

impl Default for Baseline {
    fn default() -> Self {
        Self { mean: 0.0, variance: 0.5 }
    }
}

/// Decaying estimate of a target's speed, relative to the baselines of its
/// queues.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    sum: f64,
    weight: f64,
    updated_at: Duration,
}

impl Speed {
    /// Adds a sample. `ratio` is the run time, extrapolated from recent
    /// progress, over the estimate.
    pub(crate) fn record(&mut self, ratio: f64, baseline: &mut Baseline, now: Duration) {
        let deviation = ratio.max(f64::MIN_POSITIVE).ln() - baseline.mean;
        let weight = 1.0 / (baseline.variance + MIN_VARIANCE);
        let decay = self.decay(now);
        self.sum = self.sum * decay + deviation * weight;
        self.weight = self.weight * decay + weight;
        self.updated_at = now;
        // Bounded, so that one slow target does not shift the baseline.
        let bounded = deviation.clamp(-1.0, 1.0);
        baseline.mean += NEWEST_SAMPLE_WEIGHT * bounded;
        baseline.variance += NEWEST_SAMPLE_WEIGHT * (bounded * bounded - baseline.variance);
    }

    /// Returns whether the target is too slow to get work.
    pub(crate) fn is_slow(&self, now: Duration) -> bool {
        let decay = self.decay(now);
        self.sum * decay / (self.weight * decay + PRIOR_WEIGHT) > SLOW_RATIO.ln()
    }

    fn decay(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.updated_at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
