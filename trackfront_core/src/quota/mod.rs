//! Account limits that hold across all boxes, without a central counter and without the store.
//!
//! Each of N boxes holds a quota of 1/N of every limit. A box lends its quota to one box at a time, the coordinator
//! of the account's partition, and renews the loan periodically. A coordinator grants the units that accrue from the
//! quotas lent to it ([`pool`]). Boxes therefore need not agree on the coordinator of a partition: each quota is
//! counted in one place, whichever boxes are partitioned from each other, and an isolated box coordinates for itself
//! with its own 1/N. Boxes choose coordinators by rendezvous hashing over the boxes that respond ([`share`]), so a
//! stable cluster has one for each partition, and an account can use its whole limit through any boxes.
//!
//! Over a window of length W, an account with rate r and burst b is granted at most r·W + b, plus units that are used
//! later than they were granted ([`share::GRANT_LIFETIME`]) and units that two coordinators both count for a box that
//! switched without revoking its loan ([`pool::LOAN_DURATION`]). `tests/quota` bounds both.

mod account;
pub mod pool;
pub mod share;

use serde::{Deserialize, Serialize};

use crate::ids::AccountName;

/// The number of account partitions, each with its own coordinator. With 320 boxes and 4,800 requests a second, a
/// coordinator receives about 1,400 quota requests a second, and each box sends 20 a second to renew its loans.
pub const PARTITIONS: usize = 8;

/// The hash of a client account's name, which identifies it in messages between boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountId(u64);

impl AccountId {
    /// Returns the ID of an account's main limit.
    pub fn of(name: &AccountName) -> Self {
        Self::hashed(name.as_str().as_bytes())
    }

    /// Returns the ID of an account's request limit, for accounts that also have a token limit.
    pub fn of_requests(name: &AccountName) -> Self {
        Self::hashed(format!("{name}\0requests").as_bytes())
    }

    /// Returns the lower half of the hash, enough to tell the accounts at one server apart.
    pub fn short(self) -> u32 {
        self.0 as u32
    }

    fn hashed(bytes: &[u8]) -> Self {
        let hash = blake3::hash(bytes);
        Self(u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a hash has 32 bytes")))
    }

    /// Returns the account's partition, less than [`PARTITIONS`].
    pub fn partition(self) -> usize {
        (self.0 % PARTITIONS as u64) as usize
    }
}

/// A box, identified by its IPv4 address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BoxId(pub u32);

/// A quota request from a box to a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The sender's sequence number.
    pub number: u32,
    /// The partition of the accounts.
    pub partition: u8,
    /// Whether the box lends its quota to the coordinator; `false` revokes the loan.
    pub lends: bool,
    /// The units that the box needs, at most one entry per account.
    pub unit_requests: Vec<UnitRequest>,
}

/// The units of one account that a box needs or returns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitRequest {
    /// The account.
    pub account: AccountId,
    /// The units of each waiting request.
    pub waiting_units: Vec<u32>,
    /// The units that will probably be needed soon.
    pub prefetch_units: u32,
    /// Returned units: granted to requests that did not run.
    pub returned_units: u32,
}

impl UnitRequest {
    /// Returns whether no units are needed or returned.
    pub fn is_empty(&self) -> bool {
        self.waiting_units.is_empty() && self.prefetch_units == 0 && self.returned_units == 0
    }
}

/// A coordinator's reply to a [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// The sequence number of the request.
    pub number: u32,
    /// The partition of the accounts.
    pub partition: u8,
    /// One grant for each unit request, in the same order.
    pub grants: Vec<Grant>,
}

/// The units granted for one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// How many of the waiting requests are granted, counted from the first.
    pub requests: u32,
    /// Units granted in advance, beyond those of the waiting requests.
    pub prefetch_units: u32,
    /// The estimated time until the next request would be granted, in milliseconds.
    pub wait_ms: u32,
}

/// Ranks the boxes as coordinators of a partition. Rendezvous hashing ensures that the loss of a box moves only the
/// partitions that it coordinated.
pub fn rank_coordinators(partition: usize, boxes: impl Iterator<Item = BoxId>) -> Vec<BoxId> {
    let mut ranked: Vec<(u64, BoxId)> = boxes.map(|id| (weight(partition, id), id)).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, id)| id).collect()
}

/// Returns the first `count` of [`rank_coordinators`], without ranking the others.
pub fn first_coordinators(
    partition: usize,
    boxes: impl Iterator<Item = BoxId>,
    count: usize,
) -> Vec<BoxId> {
    let mut first: Vec<(u64, BoxId)> = Vec::with_capacity(count.saturating_add(1));
    for id in boxes {
        let ranked = (weight(partition, id), id);
        if first.len() == count && first.last().is_none_or(|last| *last < ranked) {
            continue;
        }
        let at = first.partition_point(|other| *other < ranked);
        first.insert(at, ranked);
        first.truncate(count);
    }
    first.into_iter().map(|(_, id)| id).collect()
}

/// Returns the key by which a box is ranked for a partition; the lowest comes first.
fn weight(partition: usize, id: BoxId) -> u64 {
    mix(((partition as u64) << 32) | u64::from(id.0))
}

/// Hashes a number with the SplitMix64 finalizer.
fn mix(number: u64) -> u64 {
    let number = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    number ^ (number >> 31)
}
