//! A committed tree as it is stored and passed on.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{Revision, TxnId};

use super::files::TreeFiles;

/// A committed tree: its files, its number and its checksum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision.
    pub revision: Revision,
    /// The checksum over the files, from [`TreeFiles::digest`].
    pub digest: String,
    /// The files.
    pub files: TreeFiles,
}

/// The value of the table's head row: which tree is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision.
    pub revision: Revision,
    /// The checksum of its files.
    pub digest: String,
    /// The transaction that committed it.
    pub txn: TxnId,
    /// Who asked for it.
    pub author: String,
    /// The reason given.
    pub reason: String,
    /// The latest changes, newest first, by which a repeated request is known.
    pub recent: Vec<RecentApply>,
}

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentApply {
    /// The transaction that committed it.
    pub txn: TxnId,
    /// The revision that it became.
    pub revision: Revision,
}

/// How many changes the head row remembers: more than come in the longest outage of a reply.
const MAX_RECENT: usize = 64;

impl Head {
    /// Returns the head that follows `before`.
    pub fn next(
        before: Option<&Head>,
        digest: String,
        txn: TxnId,
        author: String,
        reason: String,
    ) -> Head {
        let revision = Revision(before.map_or(0, |head| head.revision.0) + 1);
        let older = before.map(|head| head.recent.as_slice()).unwrap_or_default();
        let recent = std::iter::once(RecentApply { txn: txn.clone(), revision })
            .chain(older.iter().take(MAX_RECENT - 1).cloned())
            .collect();
        Head { revision, digest, txn, author, reason, recent }
    }

    /// Returns the revision that the transaction `txn` became, if it was accepted lately.
    pub fn accepted(&self, txn: &TxnId) -> Option<Revision> {
        self.recent.iter().find(|apply| apply.txn == *txn).map(|apply| apply.revision)
    }
}

/// Why a snapshot is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// It does not decode.
    #[error("the snapshot does not decode: {0}; it is fetched again from elsewhere")]
    Undecodable(String),
    /// The files do not match the checksum.
    #[error("the snapshot of revision {0} does not match its checksum; it is fetched again")]
    BadChecksum(Revision),
}

impl Snapshot {
    /// Makes the snapshot of `files` as `revision`.
    pub fn new(revision: Revision, files: TreeFiles) -> Snapshot {
        Snapshot { revision, digest: files.digest(), files }
    }

    /// Returns the name of the object that holds it.
    pub fn object_name(revision: Revision, digest: &str) -> String {
        format!("tree/{:012}-{digest}", revision.0)
    }

    /// Encodes the snapshot.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a snapshot is maps and text only")
    }

    /// Decodes a snapshot and checks its checksum.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        let snapshot: Snapshot = serde_json::from_slice(bytes)
            .map_err(|error| SnapshotError::Undecodable(error.to_string()))?;
        if snapshot.files.digest() != snapshot.digest {
            return Err(SnapshotError::BadChecksum(snapshot.revision));
        }
        Ok(snapshot)
    }
}

#[cfg(test)]
mod tests;
