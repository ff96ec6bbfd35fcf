//! Grants the claims of one shard while this box holds their lease.
//!
//! Claims are committed in batches: those that arrive while a batch is being committed form the next
//! one, in a transaction that also renews the lease. The rows of the log are compacted into segments in
//! the object store, so that a new owner reads few rows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::{Notify, watch};
use trackfront_core::claims::{
    Claim, ClaimEntry, ClaimIndex, ClaimKey, ClaimReply, RecordedAnswer, RequestHash, Submission,
};
use trackfront_core::ids::{Fence, ShardId};
use trackfront_core::ports::peers::OwnedClaims;
use trackfront_core::ports::{Expect, ObjectError, Row, RowKey, TableError, Write};
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::UnixMillis;

use super::lease::{LeaseHolder, write};
use super::should_continue;
use crate::shared::Shared;

/// The version of the first value of a row.
const FIRST_VERSION: StoreVersion = StoreVersion::new(0, 1);

/// The minimum interval between two commits of a shard, for at most 20 writes per second.
const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(50);

/// The interval without claims, short enough to renew the lease.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum wait for the commit of a claim, after which it counts as not stored.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// The number of rows in the log above which they are compacted into a segment.
const MAX_LOG_ROWS: usize = 256;

/// The interval at which old claims are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// The time that claims are kept beyond the retention in the tree, since the wall clocks of boxes differ.
const RETENTION_MARGIN_MS: u64 = 60_000;

/// Why the claims of a shard could not be read.
#[derive(Debug, Error)]
enum LoadError {
    #[error(transparent)]
    Table(#[from] TableError),
    #[error(transparent)]
    Objects(#[from] ObjectError),
    #[error("the row {0} does not decode: {1}; no claim is granted until it does")]
    BadRow(RowKey, String),
    #[error("the segment {0} is missing or does not decode; no claim is granted until it does")]
    BadSegment(String),
}

/// The claim queues of all shards.
#[derive(Default)]
pub struct ClaimRegistry {
    queues: Mutex<BTreeMap<ShardId, Arc<ClaimQueue>>>,
    /// The shards without an owner for which claims have arrived.
    unowned: Mutex<BTreeSet<ShardId>>,
    owner_wanted: Notify,
}

/// The claims of one shard that wait for its owner.
pub struct ClaimQueue {
    state: Mutex<QueueState>,
    /// Notified when claims wait.
    work_available: Notify,
    /// Incremented by each commit and when the owner changes.
    commits: watch::Sender<u64>,
}

#[derive(Default)]
struct QueueState {
    index: ClaimIndex,
    /// The fencing token of this box's lease; `None` while it holds none. The index only contains
    /// committed claims, which remain valid without a lease.
    fence: Option<Fence>,
    /// The fencing token of the last lease of this box.
    last_fence: Option<Fence>,
}

impl ClaimRegistry {
    /// Returns the queue of `shard`, which is created if needed.
    fn queue(&self, shard: &ShardId) -> Arc<ClaimQueue> {
        let mut queues = self.queues.lock();
        queues.entry(shard.clone()).or_insert_with(|| Arc::new(ClaimQueue::new())).clone()
    }

    /// Submits a claim of this box or a peer, and waits for the reply. If the shard has no owner here,
    /// one is started.
    pub async fn claim(&self, shard: &ShardId, claim: Claim) -> ClaimReply {
        let queue = self.queue(shard);
        if !queue.is_owned() {
            self.unowned.lock().insert(shard.clone());
            self.owner_wanted.notify_one();
        }
        queue.claim(claim).await
    }

    /// Releases a claim whose call did not run.
    pub fn release(&self, shard: &ShardId, key: ClaimKey, request: RequestHash) {
        let queue = self.queue(shard);
        queue.state.lock().index.release(key, request);
        queue.work_available.notify_one();
    }

    /// Records the answer to a claimed call.
    pub fn record_answer(
        &self,
        shard: &ShardId,
        key: ClaimKey,
        request: RequestHash,
        answer: RecordedAnswer,
    ) {
        self.queue(shard).state.lock().index.record_answer(key, request, answer);
    }

    /// Returns the shards whose claims this box owns, for its heartbeats.
    pub fn owned(&self) -> Vec<OwnedClaims> {
        let queues = self.queues.lock();
        queues
            .iter()
            .filter_map(|(shard, queue)| {
                Some(OwnedClaims { shard: shard.clone(), fence: queue.state.lock().last_fence? })
            })
            .collect()
    }

    /// Returns the fencing token if this box owns the claims of `shard`.
    pub fn fence(&self, shard: &ShardId) -> Option<Fence> {
        self.queue(shard).state.lock().fence
    }

    /// Waits until a shard needs an owner.
    pub async fn owner_wanted(&self) {
        self.owner_wanted.notified().await;
    }

    /// Removes and returns the shards that need an owner.
    pub fn take_unowned(&self) -> BTreeSet<ShardId> {
        std::mem::take(&mut *self.unowned.lock())
    }
}

impl ClaimQueue {
    fn new() -> Self {
        Self {
            state: Mutex::default(),
            work_available: Notify::new(),
            commits: watch::channel(0).0,
        }
    }

    fn is_owned(&self) -> bool {
        self.state.lock().fence.is_some()
    }

    /// Submits a claim and waits until it is committed.
    async fn claim(&self, claim: Claim) -> ClaimReply {
        let mut commits = self.commits.subscribe();
        let committed = async {
            loop {
                commits.mark_unchanged();
                if let Some(reply) = self.submit(claim) {
                    return reply;
                }
                self.work_available.notify_one();
                if commits.changed().await.is_err() {
                    return ClaimReply::Unavailable;
                }
            }
        };
        tokio::time::timeout(COMMIT_TIMEOUT, committed).await.unwrap_or(ClaimReply::Unavailable)
    }

    /// Returns the reply to a claim; `None` if it has to wait for a commit or an owner.
    fn submit(&self, claim: Claim) -> Option<ClaimReply> {
        let mut state = self.state.lock();
        if state.fence.is_none() {
            return state.index.lookup(&claim);
        }
        match state.index.submit(claim) {
            Submission::Reply(reply) => Some(reply),
            Submission::Pending => None,
        }
    }

    fn notify(&self) {
        self.commits.send_modify(|count| *count += 1);
    }
}

/// Grants the claims of one shard while it holds the lease.
pub struct ClaimOwner {
    shared: Arc<Shared>,
    shard: ShardId,
    queue: Arc<ClaimQueue>,
    lease: LeaseHolder,
    /// The rows of the log, oldest first, with their versions.
    log: Vec<LogRow>,
    manifest: Manifest,
    manifest_expect: Expect,
    sequence: u64,
    expired_at: Option<trackfront_core::units::Moment>,
}

/// A row of the log.
#[derive(Clone, Debug)]
struct LogRow {
    key: RowKey,
    version: StoreVersion,
    entries: Vec<ClaimEntry>,
}

/// The list of segments, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Manifest {
    segments: Vec<Segment>,
}

/// An object with claims that were compacted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Segment {
    /// The object's name.
    object: String,
    /// The time of its newest claim.
    youngest: UnixMillis,
}

impl ClaimOwner {
    /// Creates the owner of a shard's claims, without the lease.
    pub fn new(shared: Arc<Shared>, shard: ShardId) -> Self {
        let queue = shared.claims.queue(&shard);
        let key = format!("lease/claims/{shard}");
        Self {
            lease: LeaseHolder::new(shared.clone(), shard.clone(), key),
            shared,
            shard,
            queue,
            log: Vec::new(),
            manifest: Manifest::default(),
            manifest_expect: Expect::Absent,
            sequence: 0,
            expired_at: None,
        }
    }

    /// Grants claims until `released` is true, then releases the lease.
    pub async fn run(mut self, mut released: watch::Receiver<bool>) {
        loop {
            self.step().await;
            if !should_continue(self.wait_for_work(), &mut released).await {
                break;
            }
        }
        // Waiting claims are committed before the lease is released.
        self.step().await;
        self.stop_owning();
        self.lease.release().await;
    }

    /// Waits until there are claims to commit, for [`MIN_COMMIT_INTERVAL`] to [`IDLE_INTERVAL`].
    async fn wait_for_work(&self) {
        let clock = &self.shared.outside.clock;
        clock.sleep(MIN_COMMIT_INTERVAL).await;
        tokio::select! {
            () = clock.sleep(IDLE_INTERVAL) => {},
            () = self.queue.work_available.notified() => {},
        }
    }

    async fn step(&mut self) {
        let held = self.lease.acquire_or_keep().await;
        if held != self.queue.state.lock().fence {
            self.stop_owning();
        }
        let Some(fence) = held else {
            return;
        };
        if !self.queue.is_owned() && !self.start_owning(fence).await {
            return;
        }
        self.commit_waiting(fence).await;
        self.expire_old();
        if self.log.len() > MAX_LOG_ROWS {
            self.compact_log().await;
        }
    }

    /// Stops granting claims. Waiting claims were not stored, so their calls must not run.
    fn stop_owning(&mut self) {
        let mut state = self.queue.state.lock();
        if state.fence.take().is_some() {
            // Only committed claims are valid. The next owner reads them from the table.
            state.index.drop_uncommitted();
        }
        drop(state);
        self.queue.notify();
    }

    /// Reads all claims and starts to grant new ones.
    async fn start_owning(&mut self, fence: Fence) -> bool {
        match self.load().await {
            Ok(index) => {
                log::info!("{} claims of {} are kept here", index.len(), self.shard);
                self.sequence = 0;
                let mut state = self.queue.state.lock();
                state.index.replace_claims(index);
                state.fence = Some(fence);
                state.last_fence = Some(fence);
                drop(state);
                self.queue.notify();
                true
            }
            Err(error) => {
                log::warn!("the claims of {} cannot be read: {error}", self.shard);
                false
            }
        }
    }

    /// Reads the segments and the log.
    async fn load(&mut self) -> Result<ClaimIndex, LoadError> {
        let table = &self.shared.outside.table;
        let manifest = table.read(&self.manifest_key()).await?;
        self.manifest_expect = Expect::unchanged(manifest.as_ref());
        self.manifest = manifest.as_ref().map(decode_row).transpose()?.unwrap_or_default();
        let mut index = ClaimIndex::default();
        for segment in &self.manifest.segments {
            let bytes = self.shared.outside.objects.get(&segment.object).await?;
            let entries: Option<Vec<ClaimEntry>> =
                bytes.and_then(|bytes| serde_json::from_slice(&bytes).ok());
            index
                .load_batch(&entries.ok_or_else(|| LoadError::BadSegment(segment.object.clone()))?);
        }
        let rows = table.scan(&self.log_prefix()).await?;
        self.log.clear();
        for row in rows {
            let entries: Vec<ClaimEntry> = decode_row(&row)?;
            index.load_batch(&entries);
            self.log.push(LogRow { key: row.key, version: row.version, entries });
        }
        Ok(index)
    }

    /// Commits a batch of claims, or renews the lease if that is due.
    async fn commit_waiting(&mut self, fence: Fence) {
        let batch = self.queue.state.lock().index.start_batch();
        let Some(entries) = batch else {
            if self.lease.is_due() {
                self.lease.commit(Vec::new()).await;
            }
            return;
        };
        self.sequence += 1;
        // Fencing tokens increase, so the rows sort by the time of their commits.
        let key = RowKey(format!("{}{:012}-{:012}", self.log_prefix(), fence.0, self.sequence));
        let row = write(&key, Expect::Absent, &entries);
        if !self.lease.commit(vec![row]).await {
            self.stop_owning();
            return;
        }
        self.log.push(LogRow { key, version: FIRST_VERSION, entries });
        self.queue.state.lock().index.finish_batch();
        self.queue.notify();
    }

    fn expire_old(&mut self) {
        let now = self.shared.outside.clock.now();
        if self.expired_at.is_some_and(|at| now.since(at) < EXPIRY_INTERVAL) {
            return;
        }
        self.expired_at = Some(now);
        let before = self.min_claim_time();
        self.queue.state.lock().index.expire(before);
    }

    /// Returns the time before which claims may be removed.
    fn min_claim_time(&self) -> UnixMillis {
        let minutes = self
            .shared
            .in_force
            .current()
            .and_then(|current| {
                let service = current.tree.service(&self.shard)?;
                Some(service.policy.claim_keep_min.value)
            })
            .unwrap_or(u64::MAX / 60_000 - 1);
        let retention_ms = minutes.saturating_mul(60_000).saturating_add(RETENTION_MARGIN_MS);
        UnixMillis(self.shared.outside.clock.unix().0.saturating_sub(retention_ms))
    }

    /// Compacts the rows of the log into a segment.
    async fn compact_log(&mut self) {
        let entries: Vec<ClaimEntry> =
            self.log.iter().flat_map(|row| row.entries.iter().copied()).collect();
        let Some(last) = self.log.last() else {
            return;
        };
        // The name is derived from the last row, so a repeated attempt writes the same object.
        let name = last.key.0.rsplit('/').next().unwrap_or_default();
        let object = format!("claims/{}/{name}", self.shard);
        let bytes = serde_json::to_vec(&entries).expect("our own types always encode");
        if let Err(error) = self.shared.outside.objects.put(&object, Bytes::from(bytes)).await {
            log::warn!("the log of claims of {} stays long: {error}", self.shard);
            return;
        }
        let youngest = entries.iter().filter_map(claimed_at).max().unwrap_or_default();
        let min_claim_time = self.min_claim_time();
        let mut manifest = self.manifest.clone();
        manifest.segments.retain(|segment| segment.youngest >= min_claim_time);
        manifest.segments.push(Segment { object, youngest });
        let mut writes = vec![write(&self.manifest_key(), self.manifest_expect, &manifest)];
        writes.extend(self.log.iter().map(|row| Write {
            key: row.key.clone(),
            expect: Expect::Version(row.version),
            value: None,
        }));
        if !self.lease.commit(writes).await {
            self.stop_owning();
            return;
        }
        self.log.clear();
        self.manifest = manifest;
        self.manifest_expect = match self.manifest_expect {
            Expect::Version(version) => Expect::Version(version.next()),
            // The manifest is never deleted, so its first version is 1.
            Expect::Absent => Expect::Version(FIRST_VERSION),
        };
    }

    fn log_prefix(&self) -> String {
        format!("claims/{}/log/", self.shard)
    }

    fn manifest_key(&self) -> RowKey {
        RowKey(format!("claims/{}/manifest", self.shard))
    }
}

fn claimed_at(entry: &ClaimEntry) -> Option<UnixMillis> {
    match entry {
        ClaimEntry::Taken(claim) => Some(claim.at),
        ClaimEntry::Released { .. } => None,
    }
}

fn decode_row<T: for<'a> Deserialize<'a>>(row: &Row) -> Result<T, LoadError> {
    serde_json::from_slice(&row.value)
        .map_err(|error| LoadError::BadRow(row.key.clone(), error.to_string()))
}
