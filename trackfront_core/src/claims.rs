//! Claims of calls that may run at most once.
//!
//! The owner of a service's shard keeps a book of all keys that were claimed. A new key is
//! granted only after a batch with it was committed to the table, in a transaction that fails
//! if the lease went to another box. So no clock is needed: an owner that was paused and
//! replaced cannot commit, and the next owner reads every batch that was.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::units::UnixMillis;

/// The largest answer that is kept for repeats, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024;

/// How much all kept answers may take, in bytes.
const MAX_ANSWERS_BYTES: usize = 8 * 1024 * 1024;

/// How many claims go into one batch: about 100 KB of the table's row.
const MAX_BATCH: usize = 512;

/// How many claims may wait for a batch; more are refused as not run.
const MAX_WAITING: usize = 4_096;

/// The hash of a caller's key together with the caller's and the service's names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(pub u128);

/// The hash of what a call asks for, by which another call under the same key is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallHash(pub u64);

/// The hash of a request's identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestHash(pub u64);

/// Hashes parts of text or bytes, each with its length, so that no two lists of parts meet.
pub fn hash_parts(parts: &[&[u8]]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let hash = hasher.finalize();
    u128::from_le_bytes(hash.as_bytes()[..16].try_into().expect("a hash has 32 bytes"))
}

/// What is asked for under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: ClaimKey,
    /// What is called.
    pub asked: CallHash,
    /// The request that claims; the only one that may run.
    pub request: RequestHash,
    /// When it was claimed, by the asking box's wall clock; for forgetting only.
    pub at: UnixMillis,
}

/// A change of the book, as written to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimEntry {
    /// The key is taken.
    Taken(Claim),
    /// The call was not run and the key is free again.
    Released {
        /// The key.
        key: ClaimKey,
        /// The request that had it.
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

/// What the owner says of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The request, and no other, may run the call, once.
    Granted,
    /// The key was used for another call.
    OtherCall,
    /// The call is in progress or its answer is not known.
    InDoubt,
    /// The call was run; this is its answer.
    Answered(RecordedAnswer),
    /// The claim was not recorded, and the request may not run.
    Unavailable,
}

/// What the owner does with a claim that comes in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    /// The reply is known.
    Reply(ClaimReply),
    /// The claim waits to be committed; it is taken in again after the next commit.
    Waits,
}

/// The book of one shard.
#[derive(Debug, Default)]
pub struct ClaimBook {
    booked: HashMap<ClaimKey, Claim>,
    /// The keys in the order in which they were claimed.
    by_age: VecDeque<(UnixMillis, ClaimKey)>,
    /// Entries for the next batches.
    waiting: VecDeque<ClaimEntry>,
    /// Entries in the batch that is being committed.
    committing: Vec<ClaimEntry>,
    /// The claims in `waiting` and `committing`.
    uncommitted: HashMap<ClaimKey, Claim>,
    answers: Answers,
}

impl ClaimBook {
    /// Reads a batch that a former owner, or this one, has committed. A key that was forgotten
    /// and claimed again stands in the log twice; the later claim counts.
    pub fn load(&mut self, entries: &[ClaimEntry]) {
        for entry in entries {
            if let ClaimEntry::Taken(claim) = entry {
                let known = self.booked.get(&claim.key);
                if known.is_some_and(|known| known.request != claim.request) {
                    self.booked.remove(&claim.key);
                }
            }
            self.book(*entry);
        }
    }

    /// Returns how many keys are known.
    pub fn len(&self) -> usize {
        self.booked.len()
    }

    /// Returns whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.booked.is_empty()
    }

    /// Takes a claim in. The same request may ask again, as after a lost reply.
    pub fn take(&mut self, claim: Claim) -> Taken {
        if let Some(booked) = self.booked.get(&claim.key) {
            return Taken::Reply(self.reply_to(booked, &claim));
        }
        if let Some(other) = self.uncommitted.get(&claim.key) {
            return match other.request == claim.request {
                true => Taken::Waits,
                false => Taken::Reply(refusal(other, &claim)),
            };
        }
        if self.waiting.len() >= MAX_WAITING {
            return Taken::Reply(ClaimReply::Unavailable);
        }
        self.uncommitted.insert(claim.key, claim);
        self.waiting.push_back(ClaimEntry::Taken(claim));
        Taken::Waits
    }

    /// Replies to a claim whose key is known, without taking in new ones.
    pub fn known(&self, claim: &Claim) -> Option<ClaimReply> {
        self.booked.get(&claim.key).map(|booked| self.reply_to(booked, claim))
    }

    /// Frees a key whose call is known not to have run. Only the request that has it can.
    pub fn release(&mut self, key: ClaimKey, request: RequestHash) {
        if self.booked.get(&key).is_some_and(|booked| booked.request == request) {
            // The key stays taken until the release is committed, as for the next owner.
            self.waiting.push_back(ClaimEntry::Released { key, request });
        }
    }

    /// Records the answer of the request that has the key.
    pub fn answered(&mut self, key: ClaimKey, request: RequestHash, answer: RecordedAnswer) {
        if self.booked.get(&key).is_some_and(|booked| booked.request == request) {
            self.answers.keep(key, answer);
        }
    }

    /// Starts the next batch, if there is anything to commit and none is being committed.
    pub fn start_batch(&mut self) -> Option<Vec<ClaimEntry>> {
        if self.waiting.is_empty() || !self.committing.is_empty() {
            return None;
        }
        let count = self.waiting.len().min(MAX_BATCH);
        self.committing = self.waiting.drain(..count).collect();
        Some(self.committing.clone())
    }

    /// Books the batch that was committed.
    pub fn committed(&mut self) {
        for entry in std::mem::take(&mut self.committing) {
            if let ClaimEntry::Taken(claim) = entry {
                self.uncommitted.remove(&claim.key);
            }
            self.book(entry);
        }
    }

    /// Drops what was not committed, as when the lease is lost: nobody was granted it.
    pub fn drop_uncommitted(&mut self) {
        self.waiting.clear();
        self.committing.clear();
        self.uncommitted.clear();
    }

    /// Puts what another book has read from the table in place of what is booked here. Answers
    /// that are known are kept; claims that wait are kept, too.
    pub fn replace_by(&mut self, read: ClaimBook) {
        self.booked = read.booked;
        self.by_age = read.by_age;
    }

    /// Forgets the claims that are older than `before`.
    pub fn forget(&mut self, before: UnixMillis) {
        while let Some((at, key)) = self.by_age.front().copied() {
            if at >= before {
                break;
            }
            if self.booked.get(&key).is_some_and(|booked| booked.at <= at) {
                self.booked.remove(&key);
                self.answers.forget(key);
            }
            self.by_age.pop_front();
        }
    }

    fn book(&mut self, entry: ClaimEntry) {
        match entry {
            ClaimEntry::Taken(claim) => {
                if let Some(known) = self.booked.insert(claim.key, claim) {
                    assert!(
                        known.request == claim.request,
                        "a key is never granted to two requests"
                    );
                    return;
                }
                self.by_age.push_back((claim.at, claim.key));
            }
            ClaimEntry::Released { key, request } => {
                if self.booked.get(&key).is_some_and(|booked| booked.request == request) {
                    self.booked.remove(&key);
                    self.answers.forget(key);
                }
            }
        }
    }

    fn reply_to(&self, booked: &Claim, claim: &Claim) -> ClaimReply {
        if booked.request == claim.request {
            return ClaimReply::Granted;
        }
        match self.answers.get(claim.key) {
            Some(answer) if booked.asked == claim.asked => ClaimReply::Answered(answer.clone()),
            _ => refusal(booked, claim),
        }
    }
}

/// Returns the reply to a claim whose key another request has.
fn refusal(other: &Claim, claim: &Claim) -> ClaimReply {
    if other.asked == claim.asked { ClaimReply::InDoubt } else { ClaimReply::OtherCall }
}

/// The answers that are kept for repeats, the oldest of which go first.
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

    fn keep(&mut self, key: ClaimKey, answer: RecordedAnswer) {
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
            self.forget(oldest);
        }
    }

    fn forget(&mut self, key: ClaimKey) {
        if let Some(answer) = self.kept.remove(&key) {
            self.bytes -= answer.body.len();
        }
    }
}

#[cfg(test)]
mod tests;
