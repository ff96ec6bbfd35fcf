//! Quantities with their unit in the type.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// An amount of accelerator memory in MiB.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Mib(pub u64);

impl Mib {
    /// Splits the amount evenly into `parts`, rounded up so that the sum is not less than the amount.
    pub fn split(self, parts: usize) -> Mib {
        Mib(self.0.div_ceil(parts.max(1) as u64))
    }

    /// Subtracts without going below zero.
    pub fn saturating_sub(self, other: Mib) -> Mib {
        Mib(self.0.saturating_sub(other.0))
    }
}

impl Add for Mib {
    type Output = Mib;

    fn add(self, other: Mib) -> Mib {
        Mib(self.0 + other.0)
    }
}

impl Sub for Mib {
    type Output = Mib;

    fn sub(self, other: Mib) -> Mib {
        Mib(self.0 - other.0)
    }
}

impl Sum for Mib {
    fn sum<I: Iterator<Item = Mib>>(iter: I) -> Mib {
        Mib(iter.map(|mib| mib.0).sum())
    }
}

impl fmt::Display for Mib {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} MiB", self.0)
    }
}

/// A time on the local monotonic clock, relative to the start of that clock.
///
/// The moments of two boxes cannot be compared, so none is sent to another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub Duration);

impl Moment {
    /// Returns the time from `earlier` to this moment, or zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment that is `duration` earlier, or the start of the clock if that is later.
    pub fn before(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_sub(duration))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, duration: Duration) -> Moment {
        Moment(self.0 + duration)
    }
}

/// Milliseconds since the Unix epoch, for display and not for decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);
