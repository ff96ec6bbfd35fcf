//! Fingerprints of requests, which identify a request across retries.
//!
//! A client that retries, at any box, sends the same request under a new identifier. Its fingerprint stays the same: a
//! hash over the parts of the request that a server gets.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::AccountName;

/// A hash of a request's method, path, client account and body.
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
        let hash = hasher.finalize();
        Self(u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a hash has 32 bytes")))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
