//! The rows in the platform's table that outlast all boxes: the versions of each service, and the streams of each bucket
//! while a service uses several versions.

mod buckets;
mod histories;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Mutex as AsyncMutex;
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ids::{ServiceName, TxnId, draw_id};
use trackfront_core::ports::table::commit_settled;
use trackfront_core::ports::{CommitOutcome, Expect, Transaction, Write};
use trackfront_core::serving::stream_origins::{STREAM_BUCKETS, StreamId};
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;

use crate::serving::node::ServingNode;
use buckets::BucketWriter;
use histories::{HistoryWriter, ReadHistory};

pub(super) use buckets::read as read_bucket;
pub(super) use histories::read as read_history;

/// The interval between writes of the rows of buckets.
const BUCKET_INTERVAL: Duration = Duration::from_millis(500);

/// The interval between checks of the rows of services.
const HISTORY_INTERVAL: Duration = Duration::from_secs(1);

/// How many times a write with an unknown result is tried.
const WRITE_ATTEMPTS: u32 = 2;

/// The rows that this box knows and those that it has to write.
#[derive(Default)]
pub(super) struct StreamRows {
    /// The buckets with streams that may lack a row.
    changed: Mutex<BTreeSet<usize>>,
    histories: AsyncMutex<HashMap<ServiceName, ReadHistory>>,
    bucket_reads: AsyncMutex<HashMap<usize, Moment>>,
}

impl StreamRows {
    /// Records that a stream is new to this box.
    pub fn add(&self, stream: StreamId) {
        self.add_bucket(stream.bucket());
    }

    /// Records that a bucket may lack its row.
    pub fn add_bucket(&self, bucket: usize) {
        self.changed.lock().insert(bucket);
    }

    /// Records that any bucket may lack its row.
    pub fn add_all(&self) {
        self.changed.lock().extend(0..STREAM_BUCKETS);
    }
}

/// Writes the rows that are due.
#[derive(Default)]
pub(super) struct RowTask {
    buckets_at: Moment,
    histories_at: Moment,
    buckets: BucketWriter,
    histories: HistoryWriter,
    era: Option<u64>,
}

impl RowTask {
    pub(super) async fn run(&mut self, node: &ServingNode) {
        let now = node.now();
        self.forget_lost_rows(node).await;
        let has_new_version = self.histories.record_versions(node);
        if has_new_version || now.since(self.histories_at) >= HISTORY_INTERVAL {
            self.histories_at = now;
            self.histories.write(node).await;
        }
        if now.since(self.buckets_at) >= BUCKET_INTERVAL {
            self.buckets_at = now;
            self.buckets.write(node).await;
        }
    }

    /// Forgets what the rows hold if the store was restored from an earlier copy.
    async fn forget_lost_rows(&mut self, node: &ServingNode) {
        let era = node.ports.table.era();
        if self.era == era {
            return;
        }
        if self.era.is_some() {
            self.buckets = BucketWriter::default();
            self.histories = HistoryWriter::default();
            node.stream_versions.rows.histories.lock().await.clear();
            node.stream_versions.rows.add_all();
        }
        self.era = era;
    }
}

fn count(node: &ServingNode, kind: &'static str) {
    node.metrics.store_calls.get_or_create(&KindLabel { kind }).inc();
}

/// Returns the condition for the write after one under `expect`.
fn next(expect: Expect, node: &ServingNode) -> Expect {
    match expect {
        Expect::Absent => {
            Expect::Version(StoreVersion::new(node.ports.table.era().unwrap_or(0), 1))
        }
        Expect::Version(version) => Expect::Version(version.next()),
    }
}

async fn commit(node: &ServingNode, writes: Vec<Write>) -> CommitOutcome {
    let id = TxnId::from(draw_id("streams", &mut rand::rng()));
    commit_settled(&*node.ports.table, &Transaction { id, writes }, WRITE_ATTEMPTS).await
}
