//! Fingerprints of requests, which identify a request across retries, and of parts of their prompts.
//!
//! A client that retries, at any box, sends the same request under a new identifier. Its fingerprint stays the same: a
//! hash over the parts of the request that a server gets.
//!
//! Both kinds are used alike, so the first bits tell a part's.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::AccountName;

/// The bits that are set in the fingerprint of a part. In one of 65,536 requests' they are as well, which is then treated
/// as a part's.
const PART_BITS: u64 = 0xffff << 48;

/// A hash of a request's method, path, client account and body, or of the identifier of a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request; `path` includes the query.
    pub fn new(method: &str, path: &str, account: Option<&AccountName>, body: &[u8]) -> Self {
        let account = account.map_or("", AccountName::as_str);
        let mut hasher = blake3::Hasher::new();
        for part in [method, path, account] {
            // The length before each part keeps different requests from hashing the same bytes.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        Self(first_bits(&hasher.finalize()))
    }

    /// Returns the fingerprint of a part of a prompt.
    pub fn of_part(id: u64) -> Self {
        Self(first_bits(&blake3::hash(&id.to_le_bytes())) | PART_BITS)
    }

    /// Returns whether this is the fingerprint of a part of a prompt.
    pub fn is_part(self) -> bool {
        self.0 & PART_BITS == PART_BITS
    }
}

fn first_bits(hash: &blake3::Hash) -> u64 {
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a hash has 32 bytes"))
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
