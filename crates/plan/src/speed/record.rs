//! Usual speeds that are kept from term to term.
//!
//! A term may be too short to learn which targets are fast: days with trouble have
//! several terms within half a minute. The classes of the targets' usual speeds
//! and the baselines of the queues therefore pass to the next placer. A speed
//! belongs to one process of a target: another process may run on other hardware,
//! so it begins without observations.

use std::{collections::HashMap, time::Duration};

use base::Name;
use serde::{Deserialize, Serialize};

use super::{Average, Baseline, CLASS_WIDTH, PRIOR_WEIGHT, Speed, USUAL_DECAY};
use crate::planner::Planner;

/// Highest weight of a recorded speed, about that of 60 runs. The age of a record is
/// unknown, so the runs of the new term soon have to outweigh it. With a lower
/// weight, targets with speeds of 0.8 to 1.25 would no longer count as uneven after
/// a takeover.
const MAX_WEIGHT: u16 = 240;

/// Highest number of recorded samples of a baseline. More have no effect on the
/// weight of the next sample.
const MAX_SAMPLES: u32 = 50;

/// Greatest recorded class, about a factor of 12. Runs show no more than that.
const MAX_CLASS: i8 = 25;

/// Greatest absolute mean of a recorded baseline, a factor of about 20.
const MAX_MEAN_MILLI: i32 = 3000;

/// Time after which the record no longer includes inherited speeds of targets that
/// have not listed their runs in this term.
const UNCLAIMED_RETENTION: Duration = Duration::from_secs(60);

/// Number of runs that count as one independent observation when targets are
/// compared. The tasks of one job share the error of its estimate, and ends in one
/// listing share its delay.
const RUNS_PER_OBSERVATION: f64 = 4.0;

/// Standard deviations by which the differences between targets must exceed those
/// that noise causes.
const MIN_DEVIATIONS: f64 = 3.0;

/// Number of samples from which a baseline corrects estimates.
const MIN_CORRECTING_SAMPLES: u32 = 50;

/// Absolute mean of a baseline up to which the estimates count as right. Less
/// may be due to the rounding of progress and the delay of listings.
const MIN_CORRECTING_MEAN: f64 = 0.2;

/// Least and greatest factor by which estimates are corrected, in percent. A
/// baseline includes runs that took several times as long as usual, so that more
/// may be due to a few jobs.
const MIN_CORRECTION_PERCENT: u64 = 50;
const MAX_CORRECTION_PERCENT: u64 = 300;

/// Usual speeds and baselines for the next placer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct SpeedRecord {
    /// Targets whose usual speed isn't normal, ordered by name.
    #[serde(default)]
    pub targets: Vec<TargetSpeed>,
    /// Baselines of the queues, ordered by name.
    #[serde(default)]
    pub queues: Vec<QueueBaseline>,
}

/// Usual speed of a process of a target.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct TargetSpeed {
    /// Id of the target.
    #[serde(rename = "t")]
    pub target: Name,
    /// Start time of the process, in milliseconds since 1970.
    #[serde(rename = "b")]
    pub born_unix_ms: u64,
    /// Class of speed, less than 0 for a fast target.
    #[serde(rename = "c")]
    pub class: i8,
    /// Weight of the observations.
    #[serde(rename = "w")]
    pub weight: u16,
}

/// Baseline of a queue: mean and variance of the logarithm of run time over
/// estimate, in thousandths.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct QueueBaseline {
    /// Name of the queue.
    #[serde(rename = "q")]
    pub queue: Name,
    /// Mean.
    #[serde(rename = "m")]
    pub mean_milli: i32,
    /// Variance.
    #[serde(rename = "v")]
    pub variance_milli: u32,
    /// Number of samples.
    #[serde(rename = "n")]
    pub sample_count: u32,
}

impl SpeedRecord {
    /// Returns whether both records have the same classes of the same processes.
    pub fn has_classes_of(&self, other: &Self) -> bool {
        let key = |speed: &TargetSpeed| (speed.target.clone(), speed.born_unix_ms, speed.class);
        self.targets.iter().map(key).eq(other.targets.iter().map(key))
    }
}

/// Speeds that an earlier placer has recorded.
#[derive(Debug, Default)]
pub(crate) struct Inherited {
    /// Speeds of targets that have not listed their runs in this term yet.
    unclaimed: HashMap<Name, TargetSpeed>,
    /// Time until which unclaimed speeds are recorded again.
    until: Duration,
}

impl Speed {
    fn of_class(class: i8, weight: u16, now: Duration) -> Self {
        let class = f64::from(class.clamp(-MAX_CLASS, MAX_CLASS));
        let weight = f64::from(weight.min(MAX_WEIGHT));
        // The inverse of the class of an average.
        let sum = class * CLASS_WIDTH * (weight + PRIOR_WEIGHT);
        let usual = Average { sum, weight, updated_at: now };
        Self { usual, ..Self::default() }
    }

    /// Returns the mean deviation of finished runs and its weight; `None` without
    /// any.
    fn usual_mean(&self, now: Duration) -> Option<(f64, f64)> {
        let weight = self.usual.weight * self.usual.decay(USUAL_DECAY, now);
        (weight > 0.5).then(|| (self.usual.sum / self.usual.weight, weight))
    }
}

impl Baseline {
    fn of_record(record: &QueueBaseline) -> Self {
        let mean_milli = record.mean_milli.clamp(-MAX_MEAN_MILLI, MAX_MEAN_MILLI);
        Self {
            mean: f64::from(mean_milli) / 1000.0,
            variance: f64::from(record.variance_milli.min(1000)) / 1000.0,
            sample_count: record.sample_count.min(MAX_SAMPLES),
        }
    }

    fn record(&self, queue: &Name) -> QueueBaseline {
        QueueBaseline {
            queue: queue.clone(),
            mean_milli: (self.mean * 1000.0).round() as i32,
            variance_milli: (self.variance * 1000.0).round() as u32,
            sample_count: self.sample_count.min(MAX_SAMPLES),
        }
    }

    /// Returns the usual run time in percent of the estimate, as far as there are
    /// enough samples to correct estimates by it.
    fn correction_percent(&self) -> u64 {
        if self.sample_count < MIN_CORRECTING_SAMPLES || self.mean.abs() < MIN_CORRECTING_MEAN {
            return 100;
        }
        let percent = (self.mean.exp() * 100.0).round() as u64;
        percent.clamp(MIN_CORRECTION_PERCENT, MAX_CORRECTION_PERCENT)
    }
}

impl Planner {
    /// Takes over the usual speeds of an earlier placer. To be called before any
    /// target has listed its runs.
    pub fn inherit_speeds(&mut self, record: &SpeedRecord, now: Duration) {
        let by_target = |speed: &TargetSpeed| (speed.target.clone(), speed.clone());
        let unclaimed = record.targets.iter().map(by_target).collect();
        self.inherited_speeds = Inherited { unclaimed, until: now + UNCLAIMED_RETENTION };
        for queue in &record.queues {
            self.run_baselines.insert(queue.queue.clone(), Baseline::of_record(queue));
        }
    }

    /// Returns the speed with which a process of a target begins when it first
    /// lists its runs in this term.
    pub(crate) fn initial_speed(&mut self, target: &str, born: u64, now: Duration) -> Speed {
        let inherited = self.inherited_speeds.unclaimed.remove(target);
        let same_process = inherited.filter(|speed| born != 0 && speed.born_unix_ms == born);
        same_process
            .map_or_else(Speed::default, |speed| Speed::of_class(speed.class, speed.weight, now))
    }

    /// Returns the usual speeds for the next placer.
    pub fn speeds(&self, now: Duration) -> SpeedRecord {
        let known = self.targets.iter().filter(|target| target.born_unix_ms != 0);
        let known = known.filter_map(|target| {
            let class = target.speed.class(now).clamp(-MAX_CLASS, MAX_CLASS);
            let (_, weight) = target.speed.usual_mean(now)?;
            (class != 0).then(|| TargetSpeed {
                target: target.info.id.clone(),
                born_unix_ms: target.born_unix_ms,
                class,
                weight: (weight.round() as u16).min(MAX_WEIGHT),
            })
        });
        let mut targets: Vec<TargetSpeed> = known.collect();
        if now < self.inherited_speeds.until {
            targets.extend(self.inherited_speeds.unclaimed.values().cloned());
        }
        targets.sort_unstable_by(|a, b| a.target.cmp(&b.target));
        let queues = self.run_baselines.iter();
        let mut queues: Vec<QueueBaseline> =
            queues.map(|(queue, baseline)| baseline.record(queue)).collect();
        queues.sort_unstable_by(|a, b| a.queue.cmp(&b.queue));
        SpeedRecord { targets, queues }
    }

    /// Returns the number of targets whose usual speed isn't normal.
    pub fn uneven_targets(&self, now: Duration) -> usize {
        self.targets.iter().filter(|target| target.speed.class(now) != 0).count()
    }

    /// Returns whether the usual speeds of the targets differ by more than noise
    /// causes. `was_uneven` is the last answer: targets that differ a little keep
    /// it.
    pub fn has_uneven_targets(&self, was_uneven: bool, now: Duration) -> bool {
        if now < self.inherited_speeds.until && !self.inherited_speeds.unclaimed.is_empty() {
            return was_uneven;
        }
        let means: Vec<(f64, f64)> = self
            .targets
            .iter()
            .filter_map(|target| target.speed.usual_mean(now))
            .map(|(mean, weight)| (mean, weight / RUNS_PER_OBSERVATION))
            .collect();
        if means.len() < 2 {
            return was_uneven;
        }
        let total: f64 = means.iter().map(|(_, weight)| weight).sum();
        let overall = means.iter().map(|(mean, weight)| mean * weight).sum::<f64>() / total;
        // Each mean has the variance 1 / weight by noise alone, so that the sum has
        // a chi-squared distribution if the targets are alike.
        let squares: f64 = means.iter().map(|(mean, w)| w * (mean - overall).powi(2)).sum();
        let freedom = (means.len() - 1) as f64;
        let variance = (squares - freedom) / total;
        if was_uneven {
            return variance > (CLASS_WIDTH / 2.0).powi(2);
        }
        squares > freedom + MIN_DEVIATIONS * (2.0 * freedom).sqrt()
            && variance > CLASS_WIDTH.powi(2)
    }

    /// Returns an estimate of a queue's job, corrected by the usual run times in
    /// the queue.
    pub(crate) fn corrected_ms(&self, queue: &Name, estimate_ms: u64) -> u64 {
        let baseline = self.run_baselines.get(queue);
        let percent = baseline.map_or(100, Baseline::correction_percent);
        estimate_ms.saturating_mul(percent) / 100
    }
}
