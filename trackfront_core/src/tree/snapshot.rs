//! Committed trees, as they are stored and sent between boxes.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{Revision, TxnId};

use super::files::TreeFiles;

/// A committed tree: its files, revision and checksum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision.
    pub revision: Revision,
    /// The checksum over the files, from [`TreeFiles::digest`].
    pub digest: String,
    /// The files.
    pub files: TreeFiles,
}

/// The value of the table's head row, which names the accepted tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision.
    pub revision: Revision,
    /// The checksum of its files.
    pub digest: String,
    /// The transaction that committed it.
    pub txn: TxnId,
    /// Who requested the change.
    pub author: String,
    /// The reason that the author gave.
    pub reason: String,
    /// The latest accepted changes, newest first, to recognize a repeated request.
    pub recent: Vec<RecentApply>,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentApply {
    /// The transaction that committed it.
    pub txn: TxnId,
    /// The revision that the change created.
    pub revision: Revision,
}

/// The number of changes that the head row keeps: more than are accepted during the longest outage
/// in which replies are lost.
const MAX_RECENT_APPLIES: usize = 64;

impl Head {
    /// Returns the successor of `before`, or the first head.
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
            .chain(older.iter().take(MAX_RECENT_APPLIES - 1).cloned())
            .collect();
        Head { revision, digest, txn, author, reason, recent }
    }

    /// Returns the revision that `txn` committed, if it is among the recent changes.
    pub fn accepted(&self, txn: &TxnId) -> Option<Revision> {
        self.recent.iter().find(|apply| apply.txn == *txn).map(|apply| apply.revision)
    }
}

/// The reason that a snapshot is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// The bytes are not an encoded snapshot.
    #[error("the snapshot does not decode: {0}; it is fetched again from elsewhere")]
    Undecodable(String),
    /// The files do not match the checksum.
    #[error("the snapshot of revision {0} does not match its checksum; it is fetched again")]
    BadChecksum(Revision),
}

impl Snapshot {
    /// Creates the snapshot of `files` as `revision`.
    pub fn new(revision: Revision, files: TreeFiles) -> Snapshot {
        Snapshot { revision, digest: files.digest(), files }
    }

    /// Returns the name of the stored object that holds the snapshot.
    pub fn object_name(revision: Revision, digest: &str) -> String {
        format!("tree/{:012}-{digest}", revision.0)
    }

    /// Encodes the snapshot as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a snapshot is maps and text only")
    }

    /// Decodes a snapshot and verifies its checksum.
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
