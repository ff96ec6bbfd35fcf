//! The platform's table, object store and box list.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use trackfront_core::ids::TxnId;
use trackfront_core::ports::{CommitOutcome, Expect, Row, RowKey, TableError, Transaction, Write};

/// Where rows are read and scanned.
pub const ROWS_PATH: &str = "/rows";
/// Where transactions are committed.
pub const COMMIT_PATH: &str = "/commit";
/// Where objects are, followed by their name.
pub const OBJECTS_PATH: &str = "/objects/";
/// Where objects are listed.
pub const OBJECT_LIST_PATH: &str = "/object-list";
/// Where the box list is read.
pub const BOXES_PATH: &str = "/boxes";

/// A row as sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowBody {
    /// The key.
    pub key: RowKey,
    /// The version.
    pub version: u64,
    /// The transaction that wrote it.
    pub written_by: TxnId,
    /// The value; ours is always JSON text.
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

/// What a read or a scan asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadBody {
    /// One row.
    Key(RowKey),
    /// All rows whose key starts so.
    Prefix(String),
}

/// A transaction as sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommitBody {
    /// The identifier.
    pub id: TxnId,
    /// The writes.
    pub writes: Vec<WriteBody>,
}

/// A conditional write as sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WriteBody {
    /// The key.
    pub key: RowKey,
    /// The version that the row has to be at; `None` if it may not exist.
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
    /// Refused for the rate limit.
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
            // All values of ours are JSON text.
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
