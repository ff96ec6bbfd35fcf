//! The platform's transactional table.

use std::fmt;

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::TxnId;
use crate::store_version::StoreVersion;

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
    /// The version: 1 for the row's first value, incremented by every change. It continues when a
    /// deleted row is written again. A restoration of the table makes it go back, in a later era.
    pub version: StoreVersion,
    /// The transaction that wrote this version.
    pub written_by: TxnId,
    /// The value.
    pub value: Bytes,
}

/// The condition that a transaction sets for a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row is at this version.
    Version(StoreVersion),
}

impl Expect {
    /// Returns the condition that nothing changed since `row` was read.
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
    /// The condition on the row; the whole transaction applies only if it holds.
    pub expect: Expect,
    /// The new value; `None` deletes the row.
    pub value: Option<Bytes>,
}

/// Writes that are applied atomically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transaction {
    /// The identifier by which the writer later recognises its own write.
    pub id: TxnId,
    /// The writes, at most one for each row.
    pub writes: Vec<Write>,
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The transaction was applied.
    Applied,
    /// The transaction was not applied and never will be: a condition did not hold.
    Conflict {
        /// The first row whose condition did not hold.
        key: RowKey,
    },
    /// The transaction was not applied and never will be: the table refused it without evaluating
    /// its conditions.
    NotApplied(TableError),
    /// The reply was lost: the transaction may have been applied, or may still be.
    Unknown(TableError),
}

/// An error of the table.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// The table did not answer.
    #[error("the platform's table cannot be reached: {0}; its rows stay as they are until it can")]
    Unavailable(String),
    /// The request exceeded the table's rate limit.
    #[error("the platform's table refused for its rate limit; wait and try again")]
    RateLimited,
    /// The answer could not be parsed.
    #[error("the platform's table answered with something else: {0}; check its address")]
    BadAnswer(String),
}

/// The platform's table. The whole deployment shares its rates: some hundred writes and a few
/// thousand reads per second (docs/CAPACITY.md).
///
/// Rows whose keys have three parts, such as `box/HALL/NAME`, may be partitioned by the second
/// part: a table whose write rate is limited per partition then allows more writes in total.
///
/// A read sees every transaction that was confirmed as applied before the read was sent. A write
/// whose reply was lost may take effect at any later time until a read or a conflicting write
/// shows its result.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row; `None` if it does not exist.
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, TableError>;

    /// Reads all rows whose key starts with `prefix`, in key order.
    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError>;

    /// Reads all rows whose key consists of `family` and two more parts; the rows may be
    /// partitioned by the first of these.
    async fn scan_groups(&self, family: &str) -> Result<Vec<Row>, TableError> {
        self.scan(family).await
    }

    /// Reads, in key order, the first `limit` rows whose key starts with `prefix` and is not less
    /// than `from`.
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

    /// Returns the latest era of the table that any answer showed; `None` if it has no eras. A
    /// restoration from a copy, which loses confirmed transactions, starts the next era.
    fn era(&self) -> Option<u64> {
        None
    }

    /// Applies `txn` if all of its conditions hold. A condition on a version of an earlier era
    /// never holds.
    async fn commit(&self, txn: &Transaction) -> CommitOutcome;
}

/// Commits `txn`; if the reply was lost, determines the result by repeating and reading.
///
/// The same transaction is sent again with the same conditions, which cannot apply it twice:
/// once applied, its conditions no longer hold. A conflict is then resolved by reading which
/// transaction wrote the row. The result is `Unknown` only if that cannot be determined: within
/// `attempts`, or because the row could not be read or was overwritten since.
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

/// Determines whether the conflict on `key` was with an earlier application of `txn` itself.
async fn settle_conflict(table: &dyn Table, txn: &Transaction, key: RowKey) -> CommitOutcome {
    match table.read(&key).await {
        Ok(Some(row)) if row.written_by == txn.id => CommitOutcome::Applied,
        // The transaction's own write may have been overwritten since. Only if another writer
        // wrote the version that this transaction would have written was it never applied.
        Ok(Some(row)) if is_next_version(txn, &row) => CommitOutcome::Conflict { key },
        Ok(_) => CommitOutcome::Unknown(TableError::Unavailable("overwritten meanwhile".into())),
        Err(error) => CommitOutcome::Unknown(error),
    }
}

/// Returns whether `row` is the version that `txn` would have written.
fn is_next_version(txn: &Transaction, row: &Row) -> bool {
    txn.writes.iter().any(|write| match write.expect {
        Expect::Version(version) => write.key == row.key && row.version == version.next(),
        Expect::Absent => write.key == row.key && row.version.number() == 1,
    })
}
