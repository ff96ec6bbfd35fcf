//! A stand-in for the platform's table.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::Instant;
use trackfront_adapters::http_server::{Abort, json};
use trackfront_adapters::wire::platform::{
    COMMIT_PATH, CommitAnswer, CommitBody, ROWS_PATH, ReadBody, RowBody, WriteBody,
};
use trackfront_core::ports::{CommitOutcome, Row, RowKey, Table, TableError, Transaction};

use crate::control::{FAULTS_PATH, FaultSwitch, PlatformFaults};
use crate::server::{Answer, Listening, json_body, not_found, ok};

/// The span over which the limits are counted.
const LIMIT_SPAN: Duration = Duration::from_secs(1);

/// How many operations a second the table takes; more are refused.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct TableLimits {
    /// Transactions a second.
    pub writes: usize,
    /// Reads and scans a second.
    pub reads: usize,
}

impl Default for TableLimits {
    fn default() -> Self {
        Self { writes: 100, reads: 2_000 }
    }
}

/// What the table has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCounts {
    /// Transactions taken.
    pub writes: u64,
    /// Reads and scans taken.
    pub reads: u64,
    /// Operations refused for the limits.
    pub refused: u64,
}

#[derive(Default)]
struct Tables {
    rows: BTreeMap<RowKey, StoredRow>,
    counts: TableCounts,
    recent_writes: VecDeque<Instant>,
    recent_reads: VecDeque<Instant>,
}

/// A row, kept over deletion so that its version only grows.
struct StoredRow {
    version: u64,
    written_by: trackfront_core::ids::TxnId,
    value: Option<String>,
}

/// A handle on a running table.
#[derive(Clone)]
pub struct TableStandin {
    tables: Arc<Mutex<Tables>>,
    limits: TableLimits,
    /// The table's faults.
    pub faults: FaultSwitch,
}

impl TableStandin {
    /// Makes an empty table with these limits.
    pub fn new(limits: TableLimits) -> Self {
        Self { tables: Arc::default(), limits, faults: FaultSwitch::default() }
    }

    /// Serves the table on `listener`.
    pub fn start(&self, listener: TcpListener) -> std::io::Result<Listening> {
        let table = self.clone();
        Listening::start(listener, move |request| {
            let table = table.clone();
            async move { table.handle(request).await }
        })
    }

    /// Returns what the table has done so far.
    pub fn counts(&self) -> TableCounts {
        self.tables.lock().counts
    }

    async fn handle(&self, request: Request<Incoming>) -> Answer {
        if request.uri().path() == FAULTS_PATH {
            return self.set_faults(request).await;
        }
        self.faults.before().await?;
        let answer = match (request.method(), request.uri().path()) {
            (&Method::POST, ROWS_PATH) => match json_body::<ReadBody>(request).await {
                Ok(wanted) => self.rows(&wanted),
                Err(answer) => return *answer,
            },
            (&Method::POST, COMMIT_PATH) => match json_body::<CommitBody>(request).await {
                Ok(txn) => {
                    let answer = self.apply(&txn);
                    self.faults.after()?;
                    return ok(&answer);
                }
                Err(answer) => return *answer,
            },
            _ => return not_found(),
        };
        match answer {
            Ok(rows) => ok(&rows),
            Err(error) => Ok(json(StatusCode::TOO_MANY_REQUESTS, &error.to_string())),
        }
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Answer {
        match json_body::<PlatformFaults>(request).await {
            Ok(faults) => {
                self.faults.set(faults);
                ok(&self.counts())
            }
            Err(answer) => *answer,
        }
    }

    /// Reads rows, or refuses for the limit.
    fn rows(&self, wanted: &ReadBody) -> Result<Vec<RowBody>, TableError> {
        let mut tables = self.tables.lock();
        let tables = &mut *tables;
        if !admit(&mut tables.recent_reads, self.limits.reads) {
            tables.counts.refused += 1;
            return Err(TableError::RateLimited);
        }
        tables.counts.reads += 1;
        Ok(match wanted {
            ReadBody::Key(key) => {
                tables.rows.get(key).and_then(|row| row.body(key)).into_iter().collect()
            }
            ReadBody::Prefix(prefix) => tables
                .rows
                .range(RowKey(prefix.clone())..)
                .take_while(|(key, _)| key.0.starts_with(prefix))
                .filter_map(|(key, row)| row.body(key))
                .collect(),
        })
    }

    /// Applies a transaction, or refuses for the limit.
    fn apply(&self, txn: &CommitBody) -> CommitAnswer {
        let mut tables = self.tables.lock();
        if !admit(&mut tables.recent_writes, self.limits.writes) {
            tables.counts.refused += 1;
            return CommitAnswer::RateLimited;
        }
        tables.counts.writes += 1;
        tables.apply(txn)
    }
}

#[async_trait]
impl Table for TableStandin {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, TableError> {
        self.faults.before().await.map_err(unavailable)?;
        Ok(self.rows(&ReadBody::Key(key.clone()))?.into_iter().next().map(Row::from))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        self.faults.before().await.map_err(unavailable)?;
        let rows = self.rows(&ReadBody::Prefix(prefix.to_string()))?;
        Ok(rows.into_iter().map(Row::from).collect())
    }

    async fn commit(&self, txn: &Transaction) -> CommitOutcome {
        if let Err(abort) = self.faults.before().await {
            return CommitOutcome::NotApplied(unavailable(abort));
        }
        let answer = self.apply(&CommitBody::from(txn));
        if let Err(abort) = self.faults.after() {
            return CommitOutcome::Unknown(unavailable(abort));
        }
        answer.into()
    }
}

fn unavailable(abort: Abort) -> TableError {
    TableError::Unavailable(abort.to_string())
}

impl Tables {
    fn apply(&mut self, txn: &CommitBody) -> CommitAnswer {
        if let Some(write) = txn.writes.iter().find(|write| !self.holds(write)) {
            return CommitAnswer::Conflict { key: write.key.clone() };
        }
        for write in &txn.writes {
            let version = self.rows.get(&write.key).map_or(0, |row| row.version) + 1;
            let row = StoredRow { version, written_by: txn.id.clone(), value: write.value.clone() };
            self.rows.insert(write.key.clone(), row);
        }
        CommitAnswer::Applied
    }

    /// Returns whether a write's condition holds.
    fn holds(&self, write: &WriteBody) -> bool {
        let live = self.rows.get(&write.key).filter(|row| row.value.is_some());
        live.map(|row| row.version) == write.expect
    }
}

impl StoredRow {
    fn body(&self, key: &RowKey) -> Option<RowBody> {
        Some(RowBody {
            key: key.clone(),
            version: self.version,
            written_by: self.written_by.clone(),
            value: self.value.clone()?,
        })
    }
}

/// Counts one operation unless `limit` of them fell into the last second.
fn admit(recent: &mut VecDeque<Instant>, limit: usize) -> bool {
    let now = Instant::now();
    while recent.front().is_some_and(|at| now - *at >= LIMIT_SPAN) {
        recent.pop_front();
    }
    if recent.len() >= limit {
        return false;
    }
    recent.push_back(now);
    true
}
