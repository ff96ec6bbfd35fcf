//! The rows in the platform's table that outlast all boxes: the versions of each service, and the streams of each bucket
//! while a service uses several versions.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Mutex as AsyncMutex;
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ids::{ServiceName, TxnId, draw_id};
use trackfront_core::ports::table::commit_settled;
use trackfront_core::ports::{CommitOutcome, Expect, Row, RowKey, TableError, Transaction, Write};
use trackfront_core::serving::stream_origins::{
    AgedOrigin, STREAM_BUCKETS, STREAM_TTL, SoftwareHistory, SoftwareId, StreamId, StreamOrigin,
};
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;

use super::keepers;
use crate::serving::node::ServingNode;
use crate::serving::packing::{pack, unpack};
use crate::serving::short_names::short_service;

/// The prefix of the rows of services, which is followed by the service.
const HISTORY_PREFIX: &str = "software/";

/// The prefix of the rows of buckets, which is followed by the number.
const BUCKET_PREFIX: &str = "streams/";

/// The interval between writes of the rows of buckets.
const BUCKET_INTERVAL: Duration = Duration::from_millis(500);

/// The interval between checks of the rows of services.
const HISTORY_INTERVAL: Duration = Duration::from_secs(1);

/// The additional delay before each further box writes the row of a service.
const WRITER_DELAY: Duration = Duration::from_secs(2);

/// The number of boxes that may write the row of a service.
const WRITERS: usize = 3;

/// The most streams in a row, and the most bytes that decoding one may allocate.
const MAX_ROW_STREAMS: usize = 1_024;
const MAX_ROW_BYTES: usize = 64 * 1024;

/// The most rows in one transaction.
const MAX_ROWS_PER_WRITE: usize = 16;

/// How long a row that was read for a stream isn't read again.
const BUCKET_READ_TTL: Duration = Duration::from_millis(300);

/// How many times a write with an unknown result is tried.
const WRITE_ATTEMPTS: u32 = 2;

/// The row of a service, as it was read or written.
#[derive(Clone, Debug)]
pub(super) struct ReadHistory {
    pub row: SoftwareHistory,
    pub read_at: Moment,
    expect: Expect,
}

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

fn count(node: &ServingNode, kind: &'static str) {
    node.metrics.store_calls.get_or_create(&KindLabel { kind }).inc();
}

fn history_key(service: &ServiceName) -> RowKey {
    RowKey(format!("{HISTORY_PREFIX}{service}"))
}

fn bucket_key(bucket: usize) -> RowKey {
    RowKey(format!("{BUCKET_PREFIX}{bucket:02}"))
}

/// Returns the versions of a service before this box started, reading its row once; `None` if it can't be read.
pub(super) async fn history(node: &ServingNode, service: &ServiceName) -> Option<ReadHistory> {
    let mut histories = node.stream_versions.rows.histories.lock().await;
    if let Some(history) = histories.get(service) {
        return Some(history.clone());
    }
    count(node, "read_software");
    let row = match node.ports.table.read(&history_key(service)).await {
        Ok(row) => row,
        Err(error) => {
            log::info!(service:%, error:% = error; "versions of a service not read");
            return None;
        }
    };
    let history = decode_history(node, row);
    log::info!(service:%, versions = history.row.versions().count(); "versions of a service read");
    histories.insert(service.clone(), history.clone());
    Some(history)
}

fn decode_history(node: &ServingNode, row: Option<Row>) -> ReadHistory {
    let expect = Expect::unchanged(row.as_ref());
    let decoded =
        row.map(|row| serde_json::from_slice(&row.value).map_err(|error| (row.key, error)));
    let row = match decoded.transpose() {
        Ok(history) => history.unwrap_or_default(),
        Err((key, error)) => {
            log::warn!(row:% = key, error:% = error; "invalid row of a service's versions");
            SoftwareHistory::default()
        }
    };
    ReadHistory { row, read_at: node.now(), expect }
}

/// Reads the streams of a bucket, unless that was done a moment ago.
pub(super) async fn read_bucket(node: &ServingNode, bucket: usize) -> Result<(), TableError> {
    let mut reads = node.stream_versions.rows.bucket_reads.lock().await;
    let now = node.now();
    if reads.get(&bucket).is_some_and(|at| now.since(*at) < BUCKET_READ_TTL) {
        return Ok(());
    }
    fetch_bucket(node, bucket).await?;
    reads.insert(bucket, node.now());
    Ok(())
}

/// Reads the row of a bucket, and remembers its streams.
async fn fetch_bucket(node: &ServingNode, bucket: usize) -> Result<WrittenBucket, TableError> {
    count(node, "read_streams");
    let row = node.ports.table.read(&bucket_key(bucket)).await?;
    let expect = Expect::unchanged(row.as_ref());
    let Some(row) = row else {
        return Ok(WrittenBucket { expect, streams: BTreeSet::new() });
    };
    let origins = match unpack::<Vec<StreamOrigin>, MAX_ROW_BYTES>(&row.value) {
        Ok(origins) => origins,
        Err(error) => {
            log::warn!(row:% = row.key, error:% = error; "invalid row of streams");
            Vec::new()
        }
    };
    let now = node.now();
    let mut told = node.stream_versions.told.lock();
    origins.iter().for_each(|origin| _ = told.record(*origin, now));
    let streams = origins.into_iter().map(|origin| origin.stream).collect();
    Ok(WrittenBucket { expect, streams })
}

/// A bucket's row, as this box last read or wrote it.
#[derive(Clone, Debug)]
struct WrittenBucket {
    expect: Expect,
    streams: BTreeSet<StreamId>,
}

/// Writes the rows that are due.
#[derive(Default)]
pub(super) struct RowTask {
    buckets_at: Moment,
    histories_at: Moment,
    written: BTreeMap<usize, WrittenBucket>,
    /// When this box first saw a version that a service's row may lack.
    unwritten_since: HashMap<(ServiceName, SoftwareId), Moment>,
    era: Option<u64>,
}

impl RowTask {
    pub(super) async fn run(&mut self, node: &ServingNode) {
        let now = node.now();
        self.forget_lost_rows(node).await;
        if now.since(self.histories_at) >= HISTORY_INTERVAL || self.has_new_version(node) {
            self.histories_at = now;
            self.write_histories(node).await;
        }
        if now.since(self.buckets_at) >= BUCKET_INTERVAL {
            self.buckets_at = now;
            self.write_buckets(node).await;
        }
    }

    /// Forgets what the rows hold if the store was restored from an earlier copy.
    async fn forget_lost_rows(&mut self, node: &ServingNode) {
        let era = node.ports.table.era();
        if self.era == era {
            return;
        }
        if self.era.is_some() {
            self.written.clear();
            self.unwritten_since.clear();
            node.stream_versions.rows.histories.lock().await.clear();
            node.stream_versions.rows.add_all();
        }
        self.era = era;
    }

    /// Records the versions that this box sees, and returns whether one is new to it.
    fn has_new_version(&mut self, node: &ServingNode) -> bool {
        let now = node.now();
        let mut is_new = false;
        for (service, versions) in seen_versions(node) {
            for version in versions.into_keys() {
                let key = (service.clone(), version);
                is_new |= !self.unwritten_since.contains_key(&key);
                self.unwritten_since.entry(key).or_insert(now);
            }
        }
        is_new
    }

    async fn write_histories(&mut self, node: &ServingNode) {
        self.has_new_version(node);
        for (service, seen) in seen_versions(node) {
            let Some(position) = keepers::position(node, short_service(&service) as usize) else {
                continue;
            };
            let since =
                |version: &SoftwareId| self.unwritten_since.get(&(service.clone(), *version));
            let newest = seen.keys().filter_map(since).max().copied();
            let waited = newest.map_or(Duration::ZERO, |at| node.now().since(at));
            if position < WRITERS && waited >= WRITER_DELAY * position as u32 {
                self.write_history(node, &service, seen, position == 0).await;
            }
        }
    }

    /// Adds versions to a service's row, and, if `is_first`, removes those that are no longer in use.
    async fn write_history(
        &mut self,
        node: &ServingNode,
        service: &ServiceName,
        seen: BTreeMap<SoftwareId, StoreVersion>,
        is_first: bool,
    ) {
        let Some(mut history) = history(node, service).await else { return };
        let mut is_changed = false;
        for (version, store) in seen {
            is_changed |= history.row.add(version, store);
        }
        if is_first && !node.is_store_lost() && node.now().since(history.read_at) >= STREAM_TTL {
            is_changed |= history.row.retain(&node.stream_versions.in_use.lock().versions(service));
        }
        if !is_changed {
            return;
        }
        count(node, "write_software");
        let value = serde_json::to_vec(&history.row).expect("our own types always encode");
        let write =
            Write { key: history_key(service), expect: history.expect, value: Some(value.into()) };
        let outcome = commit(node, vec![write]).await;
        log::info!(service:%, versions = history.row.versions().count(), outcome:?; "versions of a service written");
        // After anything but a success the row is read again.
        let mut histories = node.stream_versions.rows.histories.lock().await;
        match outcome {
            CommitOutcome::Applied => {
                history.expect = next(history.expect, node);
                histories.insert(service.clone(), history);
            }
            _ => _ = histories.remove(service),
        }
    }

    /// Writes the rows of the buckets with new streams, if their service uses several versions.
    async fn write_buckets(&mut self, node: &ServingNode) {
        let state = &node.stream_versions;
        let changed = std::mem::take(&mut *state.rows.changed.lock());
        let mixed = state.in_use.lock().mixed_versions();
        if mixed.is_empty() {
            return;
        }
        let own: Vec<_> =
            changed.into_iter().filter(|bucket| keepers::is_first(node, *bucket)).collect();
        for chunk in own.chunks(MAX_ROWS_PER_WRITE) {
            if !self.write_some(node, chunk, &mixed).await {
                state.rows.changed.lock().extend(chunk);
            }
        }
    }

    /// Writes the rows of some buckets. Returns whether they are certain to be written.
    async fn write_some(
        &mut self,
        node: &ServingNode,
        buckets: &[usize],
        mixed: &BTreeSet<SoftwareId>,
    ) -> bool {
        for bucket in buckets {
            if self.written.contains_key(bucket) {
                continue;
            }
            match fetch_bucket(node, *bucket).await {
                Ok(row) => _ = self.written.insert(*bucket, row),
                Err(error) => {
                    log::info!(bucket, error:% = error; "row of streams not read");
                    return false;
                }
            }
        }
        let known = known_origins(node, buckets, mixed);
        let mut writes = Vec::new();
        let mut next_rows = Vec::new();
        for (bucket, origins) in known {
            let Some(row) = self.written.get(&bucket) else { continue };
            let streams: BTreeSet<_> = origins.iter().map(|origin| origin.stream).collect();
            if streams.is_subset(&row.streams) {
                continue;
            }
            let key = bucket_key(bucket);
            writes.push(Write { key, expect: row.expect, value: Some(pack(&origins)) });
            let expect = next(row.expect, node);
            next_rows.push((bucket, WrittenBucket { expect, streams }));
        }
        if writes.is_empty() {
            return true;
        }
        count(node, "write_streams");
        match commit(node, writes).await {
            CommitOutcome::Applied => {
                self.written.extend(next_rows);
                true
            }
            outcome => {
                log::info!(outcome:?; "rows of streams not written");
                next_rows.iter().for_each(|(bucket, _)| _ = self.written.remove(bucket));
                false
            }
        }
    }
}

/// Returns the latest streams of each bucket that this box knows and that services with several versions began.
fn known_origins(
    node: &ServingNode,
    buckets: &[usize],
    mixed: &BTreeSet<SoftwareId>,
) -> BTreeMap<usize, Vec<StreamOrigin>> {
    let mut known = keepers::all_known(node);
    known.retain(|aged| mixed.contains(&aged.origin.software));
    known.sort_by_key(|aged| aged.age);
    let mut streams = BTreeSet::new();
    let mut by_bucket: BTreeMap<usize, Vec<StreamOrigin>> = BTreeMap::new();
    for AgedOrigin { origin, .. } in known {
        let bucket = origin.stream.bucket();
        if buckets.contains(&bucket) && streams.insert(origin.stream) {
            by_bucket.entry(bucket).or_default().push(origin);
        }
    }
    by_bucket.values_mut().for_each(|origins| origins.truncate(MAX_ROW_STREAMS));
    by_bucket
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

/// Returns the versions of the servers of each service with streams that clients may take up again, with the lowest version of the store that has a row of one.
fn seen_versions(node: &ServingNode) -> Vec<(ServiceName, BTreeMap<SoftwareId, StoreVersion>)> {
    let Some(config) = node.config.load_full() else { return Vec::new() };
    let directory = node.directory.lock();
    let of_service = |service: &ServiceName| {
        let mut versions = BTreeMap::new();
        for server in directory.of_service(service) {
            let since = versions.entry(&server.entry.software).or_insert(server.version);
            *since = server.version.min(*since);
        }
        versions.into_iter().map(|(name, since)| (SoftwareId::of(name), since)).collect()
    };
    let services = config.resumable_services().into_iter();
    services.map(|service| (service.clone(), of_service(service))).collect()
}
