//! The rows of buckets, which name the software of streams while their service uses several versions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use trackfront_core::ports::{CommitOutcome, Expect, RowKey, TableError, Write};
use trackfront_core::serving::stream_origins::{AgedOrigin, SoftwareId, StreamId, StreamOrigin};

use super::super::keepers;
use super::{commit, count, next};
use crate::serving::node::ServingNode;
use crate::serving::packing::{pack, unpack};

/// The prefix of these rows, which is followed by the number of the bucket.
const PREFIX: &str = "streams/";

/// The most streams in a row, and the most bytes that decoding one may allocate.
const MAX_ROW_STREAMS: usize = 1_024;
const MAX_ROW_BYTES: usize = 64 * 1024;

/// The most rows in one transaction.
const MAX_ROWS_PER_WRITE: usize = 16;

/// How long a row that was read for a stream isn't read again.
const READ_TTL: Duration = Duration::from_millis(300);

fn key(bucket: usize) -> RowKey {
    RowKey(format!("{PREFIX}{bucket:02}"))
}

/// Reads the streams of a bucket, unless that was done a moment ago.
pub(in crate::serving::stream_origins) async fn read(
    node: &ServingNode,
    bucket: usize,
) -> Result<(), TableError> {
    let mut reads = node.stream_versions.rows.bucket_reads.lock().await;
    let now = node.now();
    if reads.get(&bucket).is_some_and(|at| now.since(*at) < READ_TTL) {
        return Ok(());
    }
    fetch(node, bucket).await?;
    reads.insert(bucket, node.now());
    Ok(())
}

/// Reads the row of a bucket, and remembers its streams.
async fn fetch(node: &ServingNode, bucket: usize) -> Result<WrittenBucket, TableError> {
    count(node, "read_streams");
    let row = node.ports.table.read(&key(bucket)).await?;
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

/// Writes the rows of buckets.
#[derive(Default)]
pub(super) struct BucketWriter {
    written: BTreeMap<usize, WrittenBucket>,
}

impl BucketWriter {
    /// Writes the rows of the buckets with new streams, if their service uses several versions.
    pub async fn write(&mut self, node: &ServingNode) {
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
            match fetch(node, *bucket).await {
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
            let write_key = key(bucket);
            writes.push(Write { key: write_key, expect: row.expect, value: Some(pack(&origins)) });
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
