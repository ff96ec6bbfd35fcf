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

    /// Adds; a sum that is too large to represent becomes the largest amount, which fits nowhere.
    fn add(self, other: Mib) -> Mib {
        Mib(self.0.saturating_add(other.0))
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
        iter.fold(Mib(0), Add::add)
    }
}

impl fmt::Display for Mib {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} MiB", self.0)
    }
}

/// The longest duration that a measured or received figure can stand for. Moments and instants that are this far ahead can
/// still be represented.
pub const LONGEST_DURATION: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// Converts a measured or received number of seconds to a duration. A negative number becomes zero. A number that is too
/// large, or none at all (NaN), becomes [`LONGEST_DURATION`]: what takes an unknown time is not expected soon.
///
/// `Duration::from_secs_f64` panics for these, and the lints forbid it.
pub fn secs_to_duration(seconds: f64) -> Duration {
    match Duration::try_from_secs_f64(seconds) {
        Ok(duration) => duration.min(LONGEST_DURATION),
        Err(_) if seconds < 0.0 => Duration::ZERO,
        Err(_) => LONGEST_DURATION,
    }
}

/// Converts a number of milliseconds to a duration, as [`secs_to_duration`] does.
pub fn millis_to_duration(millis: f64) -> Duration {
    secs_to_duration(millis / 1_000.0)
}

/// Multiplies a duration, with the bounds of [`secs_to_duration`].
pub fn scaled(duration: Duration, factor: f64) -> Duration {
    secs_to_duration(duration.as_secs_f64() * factor)
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

    /// Returns the moment that is `duration` later, or the last one that can be represented. The duration may stem from
    /// another process, and a panic would end the box.
    fn add(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_add(duration))
    }
}

/// Milliseconds since the Unix epoch, for display and not for decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);
