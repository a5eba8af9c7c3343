//! Targets that are slow or stand still.
//!
//! It answers targets that turn several times slower, or whose tasks stand
//! still, while they answer as usual: work that is placed on them is late, and a
//! gang is as slow as its slowest member. How fast a run advances is compared
//! with what runs of its queue usually do against their estimates; estimates
//! that are far off count for less. What was learned fades, so that a target is
//! tried again.

use std::time::Duration;

/// Time in which what was learned of a target fades to a third.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// Weight of being as fast as usual; some three good samples.
const PRIOR_WEIGHT: f64 = 12.0;

/// Variance of a sample beyond that of its queue's estimates: targets differ in
/// speed, and a listing rounds.
const MIN_VARIANCE: f64 = 0.06;

/// Weight of the newest sample in what is usual for a queue.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.02;

/// Slowness from which on a target gets no work.
const SLOW_RATIO: f64 = 2.2;

/// A `Usual` is how long runs of a queue take against their estimates, as the
/// logarithm.
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

/// A `Speed` is what was learned of a target's speed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    sum: f64,
    weight: f64,
    updated_at: Duration,
}

impl Speed {
    /// Takes in how long a run takes, going by how it advances, against its
    /// estimate.
    pub(crate) fn record(&mut self, ratio: f64, baseline: &mut Baseline, now: Duration) {
        let deviation = ratio.max(f64::MIN_POSITIVE).ln() - baseline.mean;
        let weight = 1.0 / (baseline.variance + MIN_VARIANCE);
        let decay = self.decay(now);
        self.sum = self.sum * decay + deviation * weight;
        self.weight = self.weight * decay + weight;
        self.updated_at = now;
        // One slow target is not to become what is usual.
        let bounded = deviation.clamp(-1.0, 1.0);
        baseline.mean += NEWEST_SAMPLE_WEIGHT * bounded;
        baseline.variance += NEWEST_SAMPLE_WEIGHT * (bounded * bounded - baseline.variance);
    }

    /// Tells whether the target is too slow to get work.
    pub(crate) fn is_slow(&self, now: Duration) -> bool {
        let decay = self.decay(now);
        self.sum * decay / (self.weight * decay + PRIOR_WEIGHT) > SLOW_RATIO.ln()
    }

    fn decay(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.updated_at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
