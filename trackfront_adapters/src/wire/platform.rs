//! The platform's table, object store and box list.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use trackfront_core::ids::TxnId;
use trackfront_core::ports::{CommitOutcome, Expect, Row, RowKey, TableError, Transaction, Write};

/// The path to read and scan rows.
pub const ROWS_PATH: &str = "/rows";
/// The path to commit transactions.
pub const COMMIT_PATH: &str = "/commit";
/// The path of objects, followed by their name.
pub const OBJECTS_PATH: &str = "/objects/";
/// The path to list objects.
pub const OBJECT_LIST_PATH: &str = "/object-list";
/// The path of the box list.
pub const BOXES_PATH: &str = "/boxes";

/// A row on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowBody {
    /// The key.
    pub key: RowKey,
    /// The version.
    pub version: u64,
    /// The transaction that wrote it.
    pub written_by: TxnId,
    /// The value, which is always JSON text.
    pub value: String,
}

impl From<RowBody> for Row {
    fn from(body: RowBody) -> Row {
        Row {
            key: body.key,
            version: body.version.into(),
            written_by: body.written_by,
            value: Bytes::from(body.value),
        }
    }
}

/// A request to read or scan rows.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadBody {
    /// One row.
    Key(RowKey),
    /// All rows whose key has this prefix.
    Prefix(String),
}

/// A transaction on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommitBody {
    /// The identifier.
    pub id: TxnId,
    /// The writes.
    pub writes: Vec<WriteBody>,
}

/// A conditional write on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WriteBody {
    /// The key.
    pub key: RowKey,
    /// The expected version of the row; `None` if it must not exist.
    pub expect: Option<u64>,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
}

/// The table's answer to a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "commit", rename_all = "snake_case")]
pub enum CommitAnswer {
    /// Applied.
    Applied,
    /// A condition did not hold.
    Conflict {
        /// The row.
        key: RowKey,
    },
    /// Refused because of the rate limit.
    RateLimited,
}

impl From<&Transaction> for CommitBody {
    fn from(txn: &Transaction) -> CommitBody {
        CommitBody { id: txn.id.clone(), writes: txn.writes.iter().map(WriteBody::from).collect() }
    }
}

impl From<&Write> for WriteBody {
    fn from(write: &Write) -> WriteBody {
        WriteBody {
            key: write.key.clone(),
            expect: match write.expect {
                Expect::Absent => None,
                Expect::Version(version) => Some(version.number()),
            },
            // All values are JSON text.
            value: write.value.as_ref().map(|value| String::from_utf8_lossy(value).into_owned()),
        }
    }
}

impl From<CommitAnswer> for CommitOutcome {
    fn from(answer: CommitAnswer) -> CommitOutcome {
        match answer {
            CommitAnswer::Applied => CommitOutcome::Applied,
            CommitAnswer::Conflict { key } => CommitOutcome::Conflict { key },
            CommitAnswer::RateLimited => CommitOutcome::NotApplied(TableError::RateLimited),
        }
    }
}
