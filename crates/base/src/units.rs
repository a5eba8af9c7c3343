//! Resource amounts of tasks and targets.

use std::{
    fmt,
    ops::{Add, AddAssign, Mul, Sub, SubAssign},
};

use serde::{Deserialize, Serialize};

/// Parts per million in a whole.
const PPM: u64 = 1_000_000;

/// Amount of processor time, memory and accelerators.
///
/// Arithmetic saturates, so that sums of allocations never wrap around.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory, in mebibytes.
    pub memory_mib: u32,
    /// Number of whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// No resources.
    pub const ZERO: Self = Self { cpu_milli: 0, memory_mib: 0, accelerators: 0 };

    /// Largest representable amount; stands for "no limit" in the limits of a
    /// team.
    pub const MAX: Self =
        Self { cpu_milli: u32::MAX, memory_mib: u32::MAX, accelerators: u32::MAX };

    /// Returns whether `self` is at most `available` in every dimension.
    pub fn fits(&self, available: &Self) -> bool {
        self.cpu_milli <= available.cpu_milli
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Returns the dominant share of `self` in `whole`: the largest fraction
    /// over all dimensions, in millionths.
    pub fn dominant_share_ppm(&self, whole: &Self) -> u64 {
        self.fractions(whole).into_iter().flatten().max().unwrap_or(0)
    }

    /// Returns the smallest fraction of `whole` that `self` makes up in any
    /// dimension, in millionths. Dimensions in which `whole` is zero are left
    /// out.
    pub fn min_fraction_ppm(&self, whole: &Self) -> u64 {
        self.fractions(whole).into_iter().flatten().min().unwrap_or(0)
    }

    /// Returns the smaller amount in each dimension.
    pub fn min(&self, other: &Self) -> Self {
        self.zip(other, u32::min)
    }

    /// Returns the larger amount in each dimension.
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, u32::max)
    }

    /// Returns how many items of `size` fit into `self`; `u32::MAX` if `size` is
    /// zero.
    pub fn max_count(&self, size: &Self) -> u32 {
        let count = |available: u32, each: u32| available.checked_div(each).unwrap_or(u32::MAX);
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
