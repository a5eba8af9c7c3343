//! Share at which backfill works beside tasks with a latency goal.
//!
//! Each target has one share for the effect of all its backfill, of which the
//! least harmful runs get theirs first. It is cut as soon as a listing
//! shows a task over its goal, to nothing at the second listing or if the task is
//! far over, and raised in small steps while all tasks are well within their
//! goals. Between two changes a figure must have been taken that covers only the
//! time after the first one. A share that has led over the goal is approached
//! again only after a while, so that a task doesn't swing around its goal.
//!
//! Orders may be lost or late. Each is repeated, with back-off, until the target
//! has acknowledged it, and again if a listing shows that the run takes more
//! processor time than its share allows.

use std::time::Duration;

/// Time that a listed figure covers.
const FIGURE_WINDOW: Duration = Duration::from_millis(500);

/// Time for an order to arrive.
const ORDER_LATENCY: Duration = Duration::from_millis(100);

/// Ratio of response time to goal, in thousandths, from which on a task counts as
/// over its goal. A listed figure is rough and in whole milliseconds: a task with
/// response times of 200.3 ms was listed at its goal of 200 ms for 4 s.
pub(crate) const OVER_MILLI: u32 = 950;

/// Ratio of response time to goal, in thousandths, from which on backfill stops
/// working at once. Halving its share would not suffice there.
const FAR_OVER_MILLI: u32 = 1500;

/// Divisor of the share at the first listing over the goal.
const CUT_DIVISOR: u8 = 2;

/// Time after a cut within which the next one is to nothing. Two cuts and their
/// effects fit into half of the bound on harm.
const SECOND_CUT_TIME: Duration = Duration::from_secs(10);

/// Effect, as a ratio to the goal, below which backfill is not paced. Some four
/// such tasks fit between a safe response time and the goal.
const HARMLESS_EFFECT: f64 = 0.05;

/// Least effect that a run of backfill counts with, so that each has a share.
const MIN_EFFECT: f64 = 0.01;

/// Time for which backfill that is taken for harmless is paced as well after a
/// cut to nothing.
const ALL_TIME: Duration = Duration::from_secs(3);

/// Ratio of response time to goal, in thousandths, below which the share is
/// raised.
const RAISE_BELOW_MILLI: u32 = 800;

/// Amount by which the share is raised, in percent.
const RAISE_STEP: u8 = 10;

/// Minimum time between a change of the share and a raise.
const RAISE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a cut from which on backfill would better run elsewhere. What the
/// cut does is seen by then.
const MIN_STRAIN_AGE: Duration = Duration::from_secs(2);

/// Time for which the share stays below one that has led over the goal.
const CEILING_TIME: Duration = Duration::from_secs(15);

/// Response time of the task that is closest to its goal, or farthest over it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading {
    /// Ratio to the goal, in thousandths.
    pub(crate) ratio_milli: u32,
    /// Time at which the figure was requested.
    pub(crate) at: Duration,
}

/// Share at which the backfill of one target works.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Throttle {
    percent: u8,
    /// Time of the last change; `None` while no task has a goal.
    changed_at: Option<Duration>,
    cut_at: Option<Duration>,
    /// Highest share, and the time until which it holds.
    ceiling: (u8, Duration),
    /// Time until which backfill that is taken for harmless is paced as well.
    paces_all_until: Duration,
}

impl Default for Throttle {
    fn default() -> Self {
        let ceiling = (100, Duration::ZERO);
        Self {
            percent: 100,
            changed_at: None,
            cut_at: None,
            ceiling,
            paces_all_until: Duration::ZERO,
        }
    }
}

impl Throttle {
    /// Returns the share of each run in percent, in tens, from the effect of each
    /// at full pace. The least harmful ones work first, so that most runs work.
    pub(crate) fn shares(&self, effects: &[f64], now: Duration) -> Vec<u8> {
        let mut shares = vec![100; effects.len()];
        if self.percent == 100 {
            return shares;
        }
        let effects: Vec<f64> = effects.iter().map(|effect| effect.max(MIN_EFFECT)).collect();
        let mut order: Vec<usize> = (0..effects.len()).collect();
        order.sort_by(|a, b| effects[*a].total_cmp(&effects[*b]));
        let mut left = effects.iter().sum::<f64>() * f64::from(self.percent) / 100.0;
        for index in order {
            let effect = effects[index];
            if effect < HARMLESS_EFFECT && now >= self.paces_all_until {
                left -= effect;
                continue;
            }
            let share = (left / effect).clamp(0.0, 1.0);
            // Rounding errors of the sum must not take away a whole step.
            shares[index] = (share * 10.0 + 0.001).floor() as u8 * RAISE_STEP;
            left -= share * effect;
        }
        shares
    }

    /// Returns whether backfill runs beside a task with a goal already.
    pub(crate) fn is_engaged(&self) -> bool {
        self.changed_at.is_some()
    }

    /// Returns whether a figure requested at `at` shows the present share alone.
    pub(crate) fn is_steady(&self, pace_delay: Duration, at: Duration) -> bool {
        self.changed_at.is_none_or(|changed| at >= changed + Self::settle_time(pace_delay))
    }

    /// Begins with a share that is expected to be harmless.
    pub(crate) fn engage(&mut self, percent: u8, now: Duration) {
        self.set(percent, now);
    }

    /// Returns whether the share was cut a while ago and may well be cut again.
    pub(crate) fn is_strained(&self, now: Duration) -> bool {
        let age = self.cut_at.map(|cut| now.saturating_sub(cut));
        age.is_some_and(|age| (MIN_STRAIN_AGE..CEILING_TIME).contains(&age))
    }

    /// Returns the time from a change until a figure shows nothing of what was
    /// before.
    pub(crate) fn settle_time(pace_delay: Duration) -> Duration {
        pace_delay + ORDER_LATENCY + FIGURE_WINDOW
    }

    /// Adjusts the share to a reading.
    pub(crate) fn update(&mut self, reading: Reading, pace_delay: Duration, now: Duration) {
        let changed_at = self.changed_at.unwrap_or_default();
        let Reading { ratio_milli, at } = reading;
        let is_settled = at >= changed_at + Self::settle_time(pace_delay);
        if ratio_milli >= OVER_MILLI {
            // A task over its goal after a raise needs a cut in any case.
            let waits_for_cut = self.cut_at == self.changed_at && !is_settled;
            if waits_for_cut {
                return;
            }
            if self.percent == 0 {
                // What still works is not as harmless as it was taken for.
                self.paces_all_until = now + CEILING_TIME;
                return;
            }
            let is_second =
                self.cut_at.is_some_and(|cut| now.saturating_sub(cut) < SECOND_CUT_TIME);
            let percent = if is_second || ratio_milli >= FAR_OVER_MILLI {
                0
            } else {
                self.percent / CUT_DIVISOR / RAISE_STEP * RAISE_STEP
            };
            let ceiling = self.percent.saturating_sub(RAISE_STEP).max(RAISE_STEP);
            self.ceiling = (ceiling, now + CEILING_TIME);
            self.cut_at = Some(now);
            if percent == 0 {
                // First of all the task has to get below its goal.
                self.paces_all_until = now + ALL_TIME;
            }
            self.set(percent, now);
        } else if ratio_milli < RAISE_BELOW_MILLI
            && is_settled
            && now.saturating_sub(changed_at) >= RAISE_INTERVAL
        {
            let (ceiling, until) = self.ceiling;
            let limit = if now < until { ceiling } else { 100 };
            if self.percent < limit {
                self.set((self.percent + RAISE_STEP).min(limit), now);
            }
        }
    }

    fn set(&mut self, percent: u8, now: Duration) {
        self.percent = percent;
        self.changed_at = Some(now);
    }
}

/// Answer of a target to a pace order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceAnswer {
    /// The target has taken the order.
    Taken,
    /// The target has not taken the order and won't.
    Refused,
    /// No answer; the order may have been carried out, or may be later.
    Unknown,
}

/// Pace of one run of backfill.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// Share of the last order, in percent.
    percent: u8,
    /// Time at which the target acknowledged it; `None` if it hasn't.
    confirmed_at: Option<Duration>,
    /// Number of orders for this share.
    orders: u32,
    next_order_at: Duration,
    /// Time until which an unanswered order for another share may be carried out.
    doubtful_until: Duration,
}

impl Pace {
    /// Initial time until an order is repeated; doubles with each repetition.
    const RETRY_BACKOFF: Duration = Duration::from_millis(300);

    /// Limit for the doublings of the back-off.
    const MAX_DOUBLINGS: u32 = 4;

    /// Maximum number of orders for one share that are sent because a listing shows
    /// no effect. A figure may exceed the share for other reasons.
    const MAX_ORDERS: u32 = 8;

    /// Pace of a run that was just started, which is at full speed.
    pub(crate) const FULL: Self = Self {
        percent: 100,
        confirmed_at: Some(Duration::ZERO),
        orders: 0,
        next_order_at: Duration::ZERO,
        doubtful_until: Duration::ZERO,
    };

    /// Pace of a run that an earlier placer may have paced.
    pub(crate) const UNKNOWN: Self = Self { confirmed_at: None, ..Self::FULL };

    /// Returns the last ordered share in percent, with the time at which it was
    /// confirmed, if it was.
    pub(crate) fn confirmed(&self) -> Option<(u8, Duration)> {
        self.confirmed_at.map(|at| (self.percent, at))
    }

    /// Returns the last ordered share in percent.
    pub(crate) fn percent(&self) -> u8 {
        self.percent
    }

    /// Returns whether the run certainly doesn't work at `now`.
    pub(crate) fn is_idle(&self, now: Duration) -> bool {
        self.percent == 0 && self.confirmed_at.is_some() && now >= self.doubtful_until
    }

    /// Returns whether an order for this share is due, and counts it if so.
    pub(crate) fn take_order(&mut self, percent: u8, now: Duration) -> bool {
        if percent != self.percent {
            let doubtful_until = self.doubtful_until;
            *self = Self { percent, doubtful_until, next_order_at: now, ..Self::UNKNOWN };
        }
        if self.confirmed_at.is_some() || now < self.next_order_at {
            return false;
        }
        self.next_order_at =
            now + Self::RETRY_BACKOFF * (1 << self.orders.min(Self::MAX_DOUBLINGS));
        self.orders = self.orders.saturating_add(1);
        true
    }

    /// Applies the answer to an order. Without an answer it may be carried out up
    /// to `max_delay` later.
    pub(crate) fn answered(
        &mut self,
        percent: u8,
        answer: PaceAnswer,
        max_delay: Duration,
        now: Duration,
    ) {
        match answer {
            PaceAnswer::Taken if percent == self.percent => self.confirmed_at = Some(now),
            PaceAnswer::Taken | PaceAnswer::Refused => {}
            PaceAnswer::Unknown => self.doubtful_until = now + max_delay,
        }
    }

    /// Applies the processor time that the run of this size was listed with, in
    /// thousandths of a core. An order without effect is due again.
    pub(crate) fn listed(
        &mut self,
        cpu_milli: u32,
        size_milli: u32,
        requested_at: Duration,
        pace_delay: Duration,
    ) {
        let Some(confirmed_at) = self.confirmed_at.filter(|_| self.percent < 100) else {
            return;
        };
        // The figure is rough.
        let allowed = u64::from(size_milli) * (u64::from(self.percent) * 5 / 4 + 10) / 100;
        let is_settled = requested_at >= confirmed_at + Throttle::settle_time(pace_delay);
        if is_settled && u64::from(cpu_milli) > allowed && self.orders < Self::MAX_ORDERS {
            self.confirmed_at = None;
        }
    }
}
