//! Versions of a store that may be restored from an earlier copy.
//!
//! A restoration loses the latest writes and gives their versions out again. So a version names a
//! state of the store only together with the store's era, which every restoration increments. Any
//! version of a later era is newer than all versions of earlier ones.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of low bits that hold the version within an era. At 400 writes a second they last 80
/// years; the other 24 bits hold the era.
const NUMBER_BITS: u32 = 40;

const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// A version of a store, ordered by era first.
///
/// Both parts are kept in one integer: the versions of a store without eras, which are those of era
/// 0, are encoded as before eras existed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreVersion(u64);

impl StoreVersion {
    /// The version before all others.
    pub const ZERO: Self = Self(0);

    /// The latest era that a version can have.
    pub const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;

    /// Creates a version of an era. Larger parts than fit are reduced to the largest that fit.
    pub const fn new(era: u64, number: u64) -> Self {
        let era = if era < Self::MAX_ERA { era } else { Self::MAX_ERA };
        let number = if number < MAX_NUMBER { number } else { MAX_NUMBER };
        Self(era << NUMBER_BITS | number)
    }

    /// Returns the version before all others of an era.
    pub const fn start_of(era: u64) -> Self {
        Self::new(era, 0)
    }

    /// Returns the integer that holds both parts, such as for a path or a header.
    pub const fn to_bits(self) -> u64 {
        self.0
    }

    /// Creates a version from [`StoreVersion::to_bits`].
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the era.
    pub const fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the version within its era, as the store numbers it.
    pub const fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }

    /// Returns whether a row of this version, which is of a later era than `known`, may have been
    /// written before `known`: the copy from which the store was restored may contain it. A row
    /// with a larger number than `known` was written later, before the copy or since.
    pub const fn may_precede(self, known: Self) -> bool {
        self.era() > known.era() && self.number() <= known.number()
    }

    /// Returns the version that the store gives out next within the same era.
    pub const fn next(self) -> Self {
        Self::new(self.era(), self.number() + 1)
    }
}

impl From<u64> for StoreVersion {
    /// Creates a version of a store without eras.
    fn from(number: u64) -> Self {
        Self::new(0, number)
    }
}

impl log::kv::ToValue for StoreVersion {
    /// A store without eras has numbers in the log, as text otherwise.
    fn to_value(&self) -> log::kv::Value<'_> {
        match self.era() {
            0 => log::kv::Value::from(self.0),
            _ => log::kv::Value::from_display(self),
        }
    }
}

impl fmt::Display for StoreVersion {
    /// Writes the era and the version, such as `2.130`; a store without eras has only the latter.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => write!(f, "{}", self.number()),
            era => write!(f, "{era}.{}", self.number()),
        }
    }
}
