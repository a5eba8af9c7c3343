//! Which kinds of tasks slow tasks with a latency goal down, and by how much.
//!
//! A kind is the image of a task, or else its queue and the rough size of the
//! task. The response times that a target lists, as a ratio to the goal, are
//! taken for a base of the task's own kind plus an effect of each kind on the
//! target, times the share at which that works. Base and effects are fitted by
//! normalized least mean squares, which tells kinds apart as their shares and
//! their company vary, follows changes within some ten observations, and needs no
//! history. An effect is a claim only while it has enough observations that are
//! recent enough.

use std::{collections::HashMap, time::Duration};

use base::Name;
use work::Step;

/// Maximum number of kinds; the one unused for longest makes room for a new one.
const MAX_KINDS: usize = 64;

/// Maximum number of effects; the one without an observation for longest makes
/// room for a new one.
const MAX_EFFECTS: usize = 1024;

/// Number of observations from which on an effect is a claim: some four seconds
/// of listings at one target.
const MIN_OBSERVATIONS: u32 = 8;

/// Age of the last observation from which on an effect is no longer a claim.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Gain of the fit: part of an error that the next estimate takes in. A listed
/// figure is rough, and effects change within seconds.
const LEARNING_GAIN: f64 = 0.25;

/// Largest ratio of response time to goal that counts, so that a stalled task
/// doesn't shift an estimate far.
const MAX_RATIO: f64 = 4.0;

/// Effect of backfill of an unknown kind, as a ratio to the goal.
const UNKNOWN_BACKFILL_EFFECT: f64 = 0.25;

/// Difference of effects that counts in placement. Less would let noise decide
/// instead of room.
const CLASS_WIDTH: f64 = 0.1;

/// Ratio of response time to goal up to which backfill is allowed to work beside
/// a task by what is known of both.
const SAFE_RATIO: f64 = 0.8;

/// Identifies a kind of tasks; never used for another kind again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Kind(u32);

impl Kind {
    /// Kind about which nothing is known.
    pub(crate) const UNKNOWN: Self = Self(0);
}

/// What tasks of a kind have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Trait {
    Image(Name),
    /// Queue, and the binary logarithm of the processor time.
    Shape(Name, u32),
}

impl Trait {
    fn of(queue: &Name, step: &Step) -> Self {
        match &step.image {
            Some(image) => Self::Image(image.clone()),
            None => Self::Shape(queue.clone(), step.size.cpu_milli.checked_ilog2().unwrap_or(0)),
        }
    }
}

/// Tasks of one kind on a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Neighbour {
    pub(crate) kind: Kind,
    /// Sum of the shares at which the tasks work; 1 for a task at full speed.
    pub(crate) share: f64,
    pub(crate) is_backfill: bool,
}

/// Estimate with its weight.
#[derive(Clone, Copy, Debug, Default)]
struct Effect {
    /// Response time per share, as a ratio to the goal.
    value: f64,
    observations: u32,
    updated_at: Duration,
}

impl Effect {
    fn is_claim(&self, now: Duration) -> bool {
        self.observations >= MIN_OBSERVATIONS && now.saturating_sub(self.updated_at) < MAX_AGE
    }

    fn update(&mut self, change: f64, now: Duration) {
        // Nothing on a target makes a task faster.
        self.value = (self.value + change).clamp(0.0, MAX_RATIO);
        self.observations = self.observations.saturating_add(1);
        self.updated_at = now;
    }
}

/// Cost of running a task beside others, in classes of [`CLASS_WIDTH`]; the least
/// comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Cost(u32);

impl Cost {
    fn of(effect: f64) -> Self {
        Self((effect / CLASS_WIDTH).round() as u32)
    }

    /// Returns the sum of both costs.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

/// Claim about two kinds, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// Image, or queue and size, of the tasks that are slowed down.
    pub slowed: String,
    /// Image, or queue and size, of the tasks that slow them down.
    pub by: String,
    /// Added response time for a task at full speed, in thousandths of the goal.
    pub effect_milli: u32,
    /// Number of observations.
    pub observations: u32,
}

/// Bases and effects of the known kinds.
#[derive(Debug, Default)]
pub(crate) struct Interference {
    kinds: HashMap<Trait, (Kind, Duration)>,
    last_kind: u32,
    /// Response time of tasks without neighbours, as a ratio to the goal.
    bases: HashMap<Kind, Effect>,
    /// Effects by the kind that is slowed down and the kind that slows it down.
    effects: HashMap<(Kind, Kind), Effect>,
    /// Claims that were not reported yet.
    new_claims: Vec<Claim>,
}

impl Interference {
    /// Returns the kind of the tasks of a step, which is kept from now on.
    pub(crate) fn kind(&mut self, queue: &Name, step: &Step, now: Duration) -> Kind {
        let key = Trait::of(queue, step);
        if let Some((kind, used_at)) = self.kinds.get_mut(&key) {
            *used_at = now;
            return *kind;
        }
        if self.kinds.len() >= MAX_KINDS {
            self.forget_kind();
        }
        self.last_kind += 1;
        let kind = Kind(self.last_kind);
        self.kinds.insert(key, (kind, now));
        kind
    }

    /// Returns the kind of the tasks of a step, if it is known.
    pub(crate) fn known_kind(&self, queue: &Name, step: &Step) -> Option<Kind> {
        self.kinds.get(&Trait::of(queue, step)).map(|(kind, _)| *kind)
    }

    /// Drops the kind that was not used for the longest time.
    fn forget_kind(&mut self) {
        let Some((key, kind)) = self
            .kinds
            .iter()
            .min_by_key(|(_, (kind, used_at))| (*used_at, *kind))
            .map(|(key, (kind, _))| (key.clone(), *kind))
        else {
            return;
        };
        self.kinds.remove(&key);
        self.bases.remove(&kind);
        self.effects.retain(|(slowed, by), _| *slowed != kind && *by != kind);
    }

    /// Returns whether an effect of any kind is known.
    pub(crate) fn has_effects(&self) -> bool {
        !self.effects.is_empty()
    }

    fn is_kept(&self, kind: Kind) -> bool {
        self.kinds.values().any(|(kept, _)| *kept == kind)
    }

    /// Learns from the response time of a task beside others, as a ratio to its
    /// goal. `neighbours` has each kind at most once.
    pub(crate) fn observe(
        &mut self,
        slowed: Kind,
        ratio: f64,
        neighbours: &[Neighbour],
        now: Duration,
    ) {
        if !self.is_kept(slowed) {
            return;
        }
        self.note_use(slowed, neighbours, now);
        let ratio = ratio.clamp(0.0, MAX_RATIO);
        let present: Vec<&Neighbour> = neighbours
            .iter()
            .filter(|other| other.share > 0.0 && self.is_kept(other.kind))
            .collect();
        // Backfill counts as harmful until observations show otherwise.
        let initial = |other: &Neighbour| {
            let value = if other.is_backfill { UNKNOWN_BACKFILL_EFFECT } else { 0.0 };
            Effect { value, ..Effect::default() }
        };
        let effect = |other: &Neighbour| {
            self.effects.get(&(slowed, other.kind)).copied().unwrap_or_else(|| initial(other))
        };
        // The first observation of a kind without neighbours gives its base.
        let base = self.bases.get(&slowed).copied();
        let first = if present.is_empty() { ratio } else { ratio.min(SAFE_RATIO) / 2.0 };
        let base_value = base.map_or(first, |base| base.value);
        let predicted =
            base_value + present.iter().map(|other| effect(other).value * other.share).sum::<f64>();
        let norm = 1.0 + present.iter().map(|other| other.share * other.share).sum::<f64>();
        let step = LEARNING_GAIN * (ratio - predicted) / norm;
        let effects: Vec<(Kind, f64, Effect)> =
            present.iter().map(|other| (other.kind, other.share, effect(other))).collect();
        let mut base = base.unwrap_or(Effect { value: base_value, ..Effect::default() });
        base.update(step, now);
        self.bases.insert(slowed, base);
        for (kind, share, mut effect) in effects {
            effect.update(step * share, now);
            self.keep_effect((slowed, kind), effect);
            if effect.observations == MIN_OBSERVATIONS {
                self.report(slowed, kind, effect);
            }
        }
    }

    /// Notes that these kinds are in use, so that others make room first.
    fn note_use(&mut self, slowed: Kind, neighbours: &[Neighbour], now: Duration) {
        for (kind, used_at) in self.kinds.values_mut() {
            if *kind == slowed || neighbours.iter().any(|other| other.kind == *kind) {
                *used_at = now;
            }
        }
    }

    fn keep_effect(&mut self, pair: (Kind, Kind), effect: Effect) {
        if self.effects.len() >= MAX_EFFECTS && !self.effects.contains_key(&pair) {
            let oldest =
                self.effects.iter().min_by_key(|(pair, effect)| (effect.updated_at, **pair));
            if let Some(oldest) = oldest.map(|(pair, _)| *pair) {
                self.effects.remove(&oldest);
            }
        }
        self.effects.insert(pair, effect);
    }

    /// Returns how much tasks of a kind are slowed down by others.
    pub(crate) fn cost(&self, slowed: Option<Kind>, others: &[Neighbour], now: Duration) -> Cost {
        let effects = others.iter().map(|other| self.effect(slowed, other, now) * other.share);
        Cost::of(effects.sum())
    }

    /// Returns the share in percent, in tens, up to which backfill may work beside
    /// tasks of a kind by what is known of both.
    pub(crate) fn safe_percent(&self, slowed: Kind, others: &[Neighbour], now: Duration) -> u8 {
        let claim = |effect: Option<&Effect>| {
            effect.filter(|effect| effect.is_claim(now)).map_or(0.0, |effect| effect.value)
        };
        let base = claim(self.bases.get(&slowed));
        let (mut fixed, mut paced) = (base, 0.0);
        for other in others {
            let effect = claim(self.effects.get(&(slowed, other.kind))) * other.share;
            if other.is_backfill { paced += effect } else { fixed += effect }
        }
        if fixed + paced <= SAFE_RATIO {
            return 100;
        }
        let tenths = ((SAFE_RATIO - fixed) / paced.max(f64::MIN_POSITIVE) * 10.0).floor();
        tenths.clamp(0.0, 10.0) as u8 * 10
    }

    /// Returns the largest effect of backfill of a kind on any of these.
    pub(crate) fn backfill_effect(&self, slowed: &[Kind], by: Option<Kind>, now: Duration) -> f64 {
        let kind = by.unwrap_or(Kind::UNKNOWN);
        let by = Neighbour { kind, share: 1.0, is_backfill: true };
        let effects = slowed.iter().map(|slowed| self.effect(Some(*slowed), &by, now));
        effects.reduce(f64::max).unwrap_or(UNKNOWN_BACKFILL_EFFECT)
    }

    fn effect(&self, slowed: Option<Kind>, by: &Neighbour, now: Duration) -> f64 {
        let effect = slowed.and_then(|slowed| self.effects.get(&(slowed, by.kind)));
        match effect.filter(|effect| effect.is_claim(now)) {
            Some(effect) => effect.value,
            None if by.is_backfill => UNKNOWN_BACKFILL_EFFECT,
            None => 0.0,
        }
    }

    fn report(&mut self, slowed: Kind, by: Kind, effect: Effect) {
        let (Some(slowed), Some(by)) = (self.label(slowed), self.label(by)) else {
            return;
        };
        let effect_milli = (effect.value * 1000.0) as u32;
        self.new_claims.push(Claim { slowed, by, effect_milli, observations: effect.observations });
    }

    fn label(&self, kind: Kind) -> Option<String> {
        let (key, _) = self.kinds.iter().find(|(_, (known, _))| *known == kind)?;
        Some(match key {
            Trait::Image(image) => format!("image {image}"),
            Trait::Shape(queue, log) => format!("queue {queue}, from {} m", 1u64 << log),
        })
    }

    /// Removes and returns the claims since the last call.
    pub(crate) fn take_claims(&mut self) -> Vec<Claim> {
        std::mem::take(&mut self.new_claims)
    }

    /// Returns the number of kinds and of claims.
    pub(crate) fn size(&self, now: Duration) -> (usize, usize) {
        (self.kinds.len(), self.effects.values().filter(|effect| effect.is_claim(now)).count())
    }
}
