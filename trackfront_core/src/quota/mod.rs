//! Limits of client accounts over all boxes together, without a central counter and without the store.
//!
//! Each of N boxes has the right to an Nth of every limit. A box lends its right to one box at a time, the
//! keeper of the account's partition, by asking it again and again; a keeper grants what the rights that it
//! was lent bring in ([`pool`]). So boxes need not agree on who keeps a partition: each right is counted in one
//! place, whoever is cut off, and a box that hears nobody is its own keeper and has its own Nth. Boxes choose
//! keepers by rendezvous hashing over those that answer ([`share`]), so in quiet times there is one for each
//! partition, and an account may use its whole limit through whichever boxes its clients reach.
//!
//! Over a window of length W an account of rate r and burst b is granted at most r·W + b, and beyond that what
//! is used later than it was granted ([`share::GRANT_LIFETIME`]) and what two keepers count of a box that moved
//! without a farewell ([`pool::LOAN_DURATION`]): `tests/quota` bounds both.

pub mod pool;
pub mod share;

use serde::{Deserialize, Serialize};

use crate::ids::AccountName;

/// How many groups of accounts there are, each with a keeper of its own: at 320 boxes and 4,800 requests a
/// second a keeper is asked some 1,400 times a second, and each box sends 20 questions a second to keep its
/// rights lent.
pub const PARTITIONS: usize = 8;

/// A client account in messages between boxes: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountId(u64);

impl AccountId {
    /// Returns the identity of an account.
    pub fn of(name: &AccountName) -> Self {
        Self::hashed(name.as_str().as_bytes())
    }

    /// Returns the identity of an account's limit of requests, where it has one of tokens beside that.
    pub fn of_requests(name: &AccountName) -> Self {
        Self::hashed(format!("{name}\0requests").as_bytes())
    }

    fn hashed(bytes: &[u8]) -> Self {
        let hash = blake3::hash(bytes);
        Self(u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a hash has 32 bytes")))
    }

    /// Returns the partition that the account is in.
    pub fn partition(self) -> usize {
        (self.0 % PARTITIONS as u64) as usize
    }
}

/// A box, by its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BoxId(pub u32);

/// What a box asks a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Which question it is of those of the box.
    pub number: u32,
    /// The partition that it is about.
    pub partition: u8,
    /// Whether the box lends its right to the keeper, or takes it back.
    pub lends: bool,
    /// The units wanted, at most one entry per account.
    pub unit_requests: Vec<UnitRequest>,
}

/// What a box wants of one account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitRequest {
    /// The account.
    pub account: AccountId,
    /// The units of each request that waits.
    pub waiting_units: Vec<u32>,
    /// The units that are likely to be needed soon.
    pub prefetch_units: u32,
    /// Granted units of requests that did not run.
    pub returned_units: u32,
}

/// What a keeper answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// The question that this answers.
    pub number: u32,
    /// The partition that it is about.
    pub partition: u8,
    /// One for each want, in their order.
    pub grants: Vec<Grant>,
}

/// What is granted of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// How many of the requests that wait, from the first.
    pub requests: u32,
    /// Units beside those.
    pub prefetch_units: u32,
    /// In how many milliseconds the next request would be granted.
    pub wait_ms: u32,
}

/// Returns the boxes in the order in which they keep a partition: rendezvous hashing, so that the loss of a
/// box moves only what it kept.
pub fn rank_coordinators(partition: usize, boxes: impl Iterator<Item = BoxId>) -> Vec<BoxId> {
    let mut ranked: Vec<(u64, BoxId)> =
        boxes.map(|id| (mix(((partition as u64) << 32) | u64::from(id.0)), id)).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, id)| id).collect()
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    number ^ (number >> 31)
}
