//! Sizes of tasks and targets.

use std::{
    fmt,
    ops::{Add, AddAssign, Mul, Sub, SubAssign},
};

use serde::{Deserialize, Serialize};

/// Fractions are counted in millionths.
const PPM: u64 = 1_000_000;

/// A `Resources` is an amount of processor, memory and accelerators.
///
/// Sums saturate at the ends of the range, so that no account wraps around.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_milli: u32,
    /// Mebibytes of memory.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// No resources.
    pub const ZERO: Self = Self { cpu_milli: 0, memory_mib: 0, accelerators: 0 };

    /// All that can be counted; the limit of a team without one.
    pub const MAX: Self =
        Self { cpu_milli: u32::MAX, memory_mib: u32::MAX, accelerators: u32::MAX };

    /// Tells whether `self` fits into `room` in every dimension.
    pub fn fits(&self, room: &Self) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Gets the largest fraction that `self` takes of `whole`, in millionths.
    pub fn dominant_share_ppm(&self, whole: &Self) -> u64 {
        self.fractions(whole).into_iter().flatten().max().unwrap_or(0)
    }

    /// Gets the smallest fraction that `self` is of `whole`, in millionths.
    /// Dimensions that `whole` lacks don't count.
    pub fn min_fraction_ppm(&self, whole: &Self) -> u64 {
        self.fractions(whole).into_iter().flatten().min().unwrap_or(0)
    }

    /// Gets the smaller amount in each dimension.
    pub fn min(&self, other: &Self) -> Self {
        self.zip(other, u32::min)
    }

    /// Gets how many times `size` fits, at most `u32::MAX`.
    pub fn max_count(&self, size: &Self) -> u32 {
        let count = |room: u32, part: u32| room.checked_div(part).unwrap_or(u32::MAX);
        count(self.cpu_milli, size.cpu_milli)
            .min(count(self.memory_mib, size.memory_mib))
            .min(count(self.accelerators, size.accelerators))
    }

    fn fractions(&self, whole: &Self) -> [Option<u64>; 3] {
        let part = |a: u32, b: u32| (u64::from(a) * PPM).checked_div(u64::from(b));
        [
            part(self.cpu_milli, whole.cpu_milli),
            part(self.memory_mib, whole.memory_mib),
            part(self.accelerators, whole.accelerators),
        ]
    }

    fn zip(&self, other: &Self, op: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            cpu_milli: op(self.cpu_milli, other.cpu_milli),
            memory_mib: op(self.memory_mib, other.memory_mib),
            accelerators: op(self.accelerators, other.accelerators),
        }
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        self.zip(&other, u32::saturating_add)
    }
}

impl Sub for Resources {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.zip(&other, u32::saturating_sub)
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl Mul<u32> for Resources {
    type Output = Self;

    fn mul(self, count: u32) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m/{}MiB/{}acc", self.cpu_milli, self.memory_mib, self.accelerators)
    }
}
