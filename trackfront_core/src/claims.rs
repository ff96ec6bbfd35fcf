//! Claims of calls that may run at most once.
//!
//! The owner of a service's shard has an index of all claimed keys. A new key is granted only after
//! a batch with it was committed to the table, in a transaction that fails if another box holds the
//! lease. So no clock is needed: an owner that was paused and replaced cannot commit, and the next
//! owner reads every committed batch.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::units::UnixMillis;

/// The maximum size of an answer that is kept for repeated calls, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024;

/// The maximum size of all kept answers, in bytes.
const MAX_ANSWERS_BYTES: usize = 8 * 1024 * 1024;

/// The maximum number of claims in a batch, which take about 100 KB of the table's row.
const MAX_BATCH: usize = 512;

/// The maximum number of claims that wait for a batch. Further calls are refused as not run.
const MAX_WAITING: usize = 4_096;

/// The hash of a caller's key together with the caller's and the service's names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(pub u128);

/// The hash of a call's content, which distinguishes different calls with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallHash(pub u64);

/// The hash of a request's identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestHash(pub u64);

/// Hashes a list of byte strings, each with its length, so that different lists have different hashes.
pub fn hash_parts(parts: &[&[u8]]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let hash = hasher.finalize();
    u128::from_le_bytes(hash.as_bytes()[..16].try_into().expect("a hash has 32 bytes"))
}

/// A claim of a key for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: ClaimKey,
    /// The content of the call.
    pub asked: CallHash,
    /// The request that claims the key, the only one that may run.
    pub request: RequestHash,
    /// When it was claimed, by the requesting box's wall clock. Only used for expiry.
    pub at: UnixMillis,
}

/// A change of the index, as stored in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimEntry {
    /// The key was claimed.
    Taken(Claim),
    /// The call did not run, and the key is free again.
    Released {
        /// The key.
        key: ClaimKey,
        /// The request that had claimed it.
        request: RequestHash,
    },
}

/// The recorded answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// The owner's reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// Only this request may run the call, once.
    Granted,
    /// The key was used for another call.
    OtherCall,
    /// The call is in progress, or its answer is unknown.
    InDoubt,
    /// The call ran, with this answer.
    Answered(RecordedAnswer),
    /// The claim was not stored, so the request must not run.
    Unavailable,
}

/// The result of submitting a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission {
    /// The reply is known.
    Reply(ClaimReply),
    /// The claim has to be committed first. It is submitted again after the next commit.
    Pending,
}

/// The claims of one shard.
#[derive(Debug, Default)]
pub struct ClaimIndex {
    /// The committed claims.
    claimed: HashMap<ClaimKey, Claim>,
    /// The keys by the time of their claims.
    by_age: VecDeque<(UnixMillis, ClaimKey)>,
    /// The entries for the next batches.
    waiting: VecDeque<ClaimEntry>,
    /// The batch that is being committed.
    committing: Vec<ClaimEntry>,
    /// The claims in `waiting` and `committing`.
    uncommitted: HashMap<ClaimKey, Claim>,
    answers: Answers,
}

impl ClaimIndex {
    /// Loads a batch that an owner has committed. A key that expired and was claimed again is in the
    /// log twice, and the later claim counts.
    pub fn load_batch(&mut self, entries: &[ClaimEntry]) {
        for entry in entries {
            if let ClaimEntry::Taken(claim) = entry {
                let known = self.claimed.get(&claim.key);
                if known.is_some_and(|known| known.request != claim.request) {
                    self.claimed.remove(&claim.key);
                }
            }
            self.apply(*entry);
        }
    }

    /// Returns the number of claimed keys.
    pub fn len(&self) -> usize {
        self.claimed.len()
    }

    /// Returns whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.claimed.is_empty()
    }

    /// Submits a claim. The same request may submit it again, for example after a lost reply.
    pub fn submit(&mut self, claim: Claim) -> Submission {
        if let Some(claimed) = self.claimed.get(&claim.key) {
            return Submission::Reply(self.reply_to(claimed, &claim));
        }
        if let Some(other) = self.uncommitted.get(&claim.key) {
            return match other.request == claim.request {
                true => Submission::Pending,
                false => Submission::Reply(refusal(other, &claim)),
            };
        }
        if self.waiting.len() >= MAX_WAITING {
            return Submission::Reply(ClaimReply::Unavailable);
        }
        self.uncommitted.insert(claim.key, claim);
        self.waiting.push_back(ClaimEntry::Taken(claim));
        Submission::Pending
    }

    /// Returns the reply to a claim whose key is claimed, without submitting new ones.
    pub fn lookup(&self, claim: &Claim) -> Option<ClaimReply> {
        self.claimed.get(&claim.key).map(|claimed| self.reply_to(claimed, claim))
    }

    /// Releases a key whose call did not run. Only the request that claimed it can.
    pub fn release(&mut self, key: ClaimKey, request: RequestHash) {
        if self.claimed.get(&key).is_some_and(|claimed| claimed.request == request) {
            // The key stays claimed until the release is committed, so that the next owner agrees.
            self.waiting.push_back(ClaimEntry::Released { key, request });
        }
    }

    /// Records the answer to the request that claimed the key.
    pub fn record_answer(&mut self, key: ClaimKey, request: RequestHash, answer: RecordedAnswer) {
        if self.claimed.get(&key).is_some_and(|claimed| claimed.request == request) {
            self.answers.insert(key, answer);
        }
    }

    /// Returns the next batch to commit; `None` if there is none or another is being committed.
    pub fn start_batch(&mut self) -> Option<Vec<ClaimEntry>> {
        if self.waiting.is_empty() || !self.committing.is_empty() {
            return None;
        }
        let count = self.waiting.len().min(MAX_BATCH);
        self.committing = self.waiting.drain(..count).collect();
        Some(self.committing.clone())
    }

    /// Applies the batch, which was committed.
    pub fn finish_batch(&mut self) {
        for entry in std::mem::take(&mut self.committing) {
            if let ClaimEntry::Taken(claim) = entry {
                self.uncommitted.remove(&claim.key);
            }
            self.apply(entry);
        }
    }

    /// Drops all entries that were not committed, for example after the lease was lost. None of them
    /// was granted.
    pub fn drop_uncommitted(&mut self) {
        self.waiting.clear();
        self.committing.clear();
        self.uncommitted.clear();
    }

    /// Replaces the committed claims by those of an index that was read from the table. Known answers
    /// and waiting entries are kept.
    pub fn replace_claims(&mut self, stored: ClaimIndex) {
        self.claimed = stored.claimed;
        self.by_age = stored.by_age;
    }

    /// Removes the claims from before `before`.
    pub fn expire(&mut self, before: UnixMillis) {
        while let Some((at, key)) = self.by_age.front().copied() {
            if at >= before {
                break;
            }
            if self.claimed.get(&key).is_some_and(|claimed| claimed.at <= at) {
                self.claimed.remove(&key);
                self.answers.remove(key);
            }
            self.by_age.pop_front();
        }
    }

    fn apply(&mut self, entry: ClaimEntry) {
        match entry {
            ClaimEntry::Taken(claim) => {
                if let Some(known) = self.claimed.insert(claim.key, claim) {
                    assert!(
                        known.request == claim.request,
                        "a key is never granted to two requests"
                    );
                    return;
                }
                self.by_age.push_back((claim.at, claim.key));
            }
            ClaimEntry::Released { key, request } => {
                if self.claimed.get(&key).is_some_and(|claimed| claimed.request == request) {
                    self.claimed.remove(&key);
                    self.answers.remove(key);
                }
            }
        }
    }

    fn reply_to(&self, claimed: &Claim, claim: &Claim) -> ClaimReply {
        if claimed.request == claim.request {
            return ClaimReply::Granted;
        }
        match self.answers.get(claim.key) {
            Some(answer) if claimed.asked == claim.asked => ClaimReply::Answered(answer.clone()),
            _ => refusal(claimed, claim),
        }
    }
}

/// Returns the reply to a claim whose key another request has claimed.
fn refusal(other: &Claim, claim: &Claim) -> ClaimReply {
    if other.asked == claim.asked { ClaimReply::InDoubt } else { ClaimReply::OtherCall }
}

/// The answers kept for repeated calls, of which the oldest are removed first.
#[derive(Debug, Default)]
struct Answers {
    kept: HashMap<ClaimKey, RecordedAnswer>,
    by_age: VecDeque<ClaimKey>,
    bytes: usize,
}

impl Answers {
    fn get(&self, key: ClaimKey) -> Option<&RecordedAnswer> {
        self.kept.get(&key)
    }

    fn insert(&mut self, key: ClaimKey, answer: RecordedAnswer) {
        let size = answer.body.len();
        if size > MAX_ANSWER_BYTES || self.kept.contains_key(&key) {
            return;
        }
        self.kept.insert(key, answer);
        self.by_age.push_back(key);
        self.bytes += size;
        while self.bytes > MAX_ANSWERS_BYTES {
            let Some(oldest) = self.by_age.pop_front() else {
                break;
            };
            self.remove(oldest);
        }
    }

    fn remove(&mut self, key: ClaimKey) {
        if let Some(answer) = self.kept.remove(&key) {
            self.bytes -= answer.body.len();
        }
    }
}

#[cfg(test)]
mod tests;
