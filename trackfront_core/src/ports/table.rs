//! The platform's transactional table.

use std::fmt;

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::TxnId;

/// The key of a row, as `/`-separated text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowKey(pub String);

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The row's key.
    pub key: RowKey,
    /// The version: 1 for a row's first value, one more with every change, also over deletion.
    pub version: u64,
    /// The transaction that wrote this version.
    pub written_by: TxnId,
    /// The value.
    pub value: Bytes,
}

/// What a transaction demands of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row is at this version.
    Version(u64),
}

impl Expect {
    /// Returns the demand that nothing changed since `row` was read.
    pub fn unchanged(row: Option<&Row>) -> Expect {
        match row {
            Some(row) => Expect::Version(row.version),
            None => Expect::Absent,
        }
    }
}

/// One conditional write of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The row's key.
    pub key: RowKey,
    /// What must hold for the whole transaction to apply.
    pub expect: Expect,
    /// The new value; `None` deletes the row.
    pub value: Option<Bytes>,
}

/// Writes that apply together or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transaction {
    /// The identifier by which the writer recognises its own write later.
    pub id: TxnId,
    /// The writes; each row at most once.
    pub writes: Vec<Write>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It was applied.
    Applied,
    /// It was not applied and never will be: a condition did not hold.
    Conflict {
        /// The first row whose condition did not hold.
        key: RowKey,
    },
    /// It was not applied and never will be: the table refused it before looking.
    NotApplied(TableError),
    /// The reply was lost: it may have been applied, or may still be.
    Unknown(TableError),
}

/// Why the table gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// The table did not answer.
    #[error("the platform's table cannot be reached: {0}; its rows stay as they are until it can")]
    Unavailable(String),
    /// The table asked for fewer requests.
    #[error("the platform's table refused for its rate limit; wait and try again")]
    RateLimited,
    /// The answer made no sense.
    #[error("the platform's table answered with something else: {0}; check its address")]
    BadAnswer(String),
}

/// The platform's table. Its rates are shared by the whole deployment: some hundred writes and a few
/// thousand reads a second (docs/CAPACITY.md).
///
/// Rows whose keys have three parts, as `box/HALL/NAME`, may be kept apart by the second: a table that bears only so
/// many writes a second in one place bears more of them.
///
/// Reads see every transaction that was answered as applied before they were sent. A write
/// whose reply was lost may take effect at any later time until a read or a conflicting write
/// shows what became of it.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row; `None` if there is none.
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, TableError>;

    /// Reads all rows whose key starts with `prefix`, in key order.
    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError>;

    /// Reads all rows whose key starts with `family` and has two parts more, which may be kept apart by the first.
    async fn scan_groups(&self, family: &str) -> Result<Vec<Row>, TableError> {
        self.scan(family).await
    }

    /// Reads the first `limit` rows whose key starts with `prefix` and is no less than `from`, in key order.
    async fn scan_from(
        &self,
        prefix: &str,
        from: &RowKey,
        limit: usize,
    ) -> Result<Vec<Row>, TableError> {
        let mut rows = self.scan(prefix).await?;
        rows.retain(|row| row.key >= *from);
        rows.truncate(limit);
        Ok(rows)
    }

    /// Applies `txn` if all its conditions hold.
    async fn commit(&self, txn: &Transaction) -> CommitOutcome;
}

/// Commits `txn` and finds out by reading what became of it where the reply was lost.
///
/// The same transaction is sent again with the same conditions, which cannot apply it twice:
/// its own first application makes the conditions fail. A conflict is then settled by reading
/// who wrote the row. `Unknown` is returned only if the table stays silent for all `attempts`.
pub async fn commit_settled(table: &dyn Table, txn: &Transaction, attempts: u32) -> CommitOutcome {
    let mut outcome = table.commit(txn).await;
    let mut in_doubt = false;
    for _ in 1..attempts {
        match &outcome {
            CommitOutcome::Unknown(_) => in_doubt = true,
            CommitOutcome::NotApplied(_) if in_doubt => {}
            _ => break,
        }
        outcome = table.commit(txn).await;
    }
    match outcome {
        CommitOutcome::Conflict { key } if in_doubt => settle_conflict(table, txn, key).await,
        // The last attempt was refused, but an earlier one may have been applied.
        CommitOutcome::NotApplied(error) if in_doubt => CommitOutcome::Unknown(error),
        other => other,
    }
}

/// Tells whether the conflict on `key` was with the transaction's own earlier application.
async fn settle_conflict(table: &dyn Table, txn: &Transaction, key: RowKey) -> CommitOutcome {
    match table.read(&key).await {
        Ok(Some(row)) if row.written_by == txn.id => CommitOutcome::Applied,
        // The own write can have been overwritten since, so only a first version by another
        // writer proves that it never was applied.
        Ok(Some(row)) if is_next_version(txn, &row) => CommitOutcome::Conflict { key },
        Ok(_) => CommitOutcome::Unknown(TableError::Unavailable("overwritten meanwhile".into())),
        Err(error) => CommitOutcome::Unknown(error),
    }
}

/// Returns whether `row` is the version that `txn` would have written.
fn is_next_version(txn: &Transaction, row: &Row) -> bool {
    txn.writes.iter().any(|write| match write.expect {
        Expect::Version(version) => write.key == row.key && row.version == version + 1,
        Expect::Absent => write.key == row.key && row.version == 1,
    })
}
