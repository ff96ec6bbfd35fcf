//! Keeps the claims of one shard while this box holds their lease.
//!
//! Claims are committed in groups: whatever came in while the last group was being committed
//! goes into the next, in one transaction with the lease's renewal. The rows of the log are
//! moved into segments of the object store now and then, so that a new keeper reads few rows.

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
use trackfront_core::ports::peers::ClaimsKept;
use trackfront_core::ports::{Expect, ObjectError, Row, RowKey, TableError, Write};
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::UnixMillis;

use super::goes_on;
use super::lease::{LeaseKeeper, write};
use crate::shared::Shared;

/// The version of a row's first value.
const FIRST_VERSION: StoreVersion = StoreVersion::new(0, 1);

/// The least time between two commits of a shard: 20 writes a second at the most.
const COMMIT_GAP: Duration = Duration::from_millis(50);

/// How long a keeper sleeps if nobody claims: often enough to renew its lease.
const IDLE_STEP: Duration = Duration::from_millis(500);

/// How long a claim waits for its commit before it counts as not recorded.
const WAIT_TIME: Duration = Duration::from_secs(3);

/// How many rows the log may have before they are moved into a segment.
const MAX_LOG_ROWS: usize = 256;

/// How often old claims are forgotten.
const FORGET_EVERY: Duration = Duration::from_secs(60);

/// How much longer claims are kept than the tree says, for boxes' wall clocks that differ.
const KEEP_MARGIN_MS: u64 = 60_000;

/// Why a shard's claims could not be read.
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

/// The desks of all shards, where claims come in.
#[derive(Default)]
pub struct ClaimDesks {
    desks: Mutex<BTreeMap<ShardId, Arc<ClaimDesk>>>,
    wanted: Mutex<BTreeSet<ShardId>>,
    wake: Notify,
}

/// Where claims of one shard come in.
pub struct ClaimDesk {
    state: Mutex<DeskState>,
    /// Wakes the keeper.
    wake: Notify,
    /// Grows with each commit, and when the keeper changes.
    commits: watch::Sender<u64>,
}

#[derive(Default)]
struct DeskState {
    index: ClaimIndex,
    /// The token under which new claims are taken; `None` while this box holds no lease. What
    /// is in the index was committed and stays true without one.
    fence: Option<Fence>,
    /// The last token under which this box kept the claims.
    last: Option<Fence>,
}

impl ClaimDesks {
    /// Returns the desk of `shard`.
    fn desk(&self, shard: &ShardId) -> Arc<ClaimDesk> {
        let mut desks = self.desks.lock();
        desks.entry(shard.clone()).or_insert_with(|| Arc::new(ClaimDesk::new())).clone()
    }

    /// Takes in a claim, from this box or a peer. A shard that nobody has claimed from yet gets
    /// a keeper.
    pub async fn claim(&self, shard: &ShardId, claim: Claim) -> ClaimReply {
        let desk = self.desk(shard);
        if !desk.is_kept() {
            self.wanted.lock().insert(shard.clone());
            self.wake.notify_one();
        }
        desk.claim(claim).await
    }

    /// Gives back a claim whose call is known not to have run.
    pub fn release(&self, shard: &ShardId, key: ClaimKey, request: RequestHash) {
        let desk = self.desk(shard);
        desk.state.lock().index.release(key, request);
        desk.wake.notify_one();
    }

    /// Records the answer of a claimed call.
    pub fn answered(
        &self,
        shard: &ShardId,
        key: ClaimKey,
        request: RequestHash,
        answer: RecordedAnswer,
    ) {
        self.desk(shard).state.lock().index.record_answer(key, request, answer);
    }

    /// Returns the shards whose claims this box keeps, for its heartbeats.
    pub fn kept(&self) -> Vec<ClaimsKept> {
        let desks = self.desks.lock();
        desks
            .iter()
            .filter_map(|(shard, desk)| {
                Some(ClaimsKept { shard: shard.clone(), fence: desk.state.lock().last? })
            })
            .collect()
    }

    /// Returns the token under which this box keeps the claims of `shard`, if it does.
    pub fn fence(&self, shard: &ShardId) -> Option<Fence> {
        self.desk(shard).state.lock().fence
    }

    /// Waits until a shard wants a keeper.
    pub async fn wanted(&self) {
        self.wake.notified().await;
    }

    /// Takes out the shards that want a keeper.
    pub fn take_wanted(&self) -> BTreeSet<ShardId> {
        std::mem::take(&mut *self.wanted.lock())
    }
}

impl ClaimDesk {
    fn new() -> Self {
        Self { state: Mutex::default(), wake: Notify::new(), commits: watch::channel(0).0 }
    }

    fn is_kept(&self) -> bool {
        self.state.lock().fence.is_some()
    }

    /// Takes in a claim and waits until it is committed.
    async fn claim(&self, claim: Claim) -> ClaimReply {
        let mut commits = self.commits.subscribe();
        let committed = async {
            loop {
                commits.mark_unchanged();
                if let Some(reply) = self.take(claim) {
                    return reply;
                }
                self.wake.notify_one();
                if commits.changed().await.is_err() {
                    return ClaimReply::Unavailable;
                }
            }
        };
        tokio::time::timeout(WAIT_TIME, committed).await.unwrap_or(ClaimReply::Unavailable)
    }

    /// Returns the reply to a claim, or `None` if it has to wait for a commit or a keeper.
    fn take(&self, claim: Claim) -> Option<ClaimReply> {
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

/// Keeps the claims of one shard.
pub struct ClaimKeeper {
    shared: Arc<Shared>,
    shard: ShardId,
    desk: Arc<ClaimDesk>,
    lease: LeaseKeeper,
    /// The rows of the log, oldest first, with their versions.
    log: Vec<LogRow>,
    manifest: Manifest,
    manifest_expect: Expect,
    sequence: u64,
    forgot_at: Option<trackfront_core::units::Moment>,
}

/// A row of the log.
#[derive(Clone, Debug)]
struct LogRow {
    key: RowKey,
    version: StoreVersion,
    entries: Vec<ClaimEntry>,
}

/// Which segments there are, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Manifest {
    segments: Vec<Segment>,
}

/// An object with claims that were in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Segment {
    /// The object's name.
    object: String,
    /// When its youngest claim was made.
    youngest: UnixMillis,
}

impl ClaimKeeper {
    /// Makes the keeper of a shard's claims.
    pub fn new(shared: Arc<Shared>, shard: ShardId) -> Self {
        let desk = shared.claims.desk(&shard);
        let key = format!("lease/claims/{shard}");
        Self {
            lease: LeaseKeeper::new(shared.clone(), shard.clone(), key),
            shared,
            shard,
            desk,
            log: Vec::new(),
            manifest: Manifest::default(),
            manifest_expect: Expect::Absent,
            sequence: 0,
            forgot_at: None,
        }
    }

    /// Keeps the claims until `released` turns true, then gives them up.
    pub async fn run(mut self, mut released: watch::Receiver<bool>) {
        loop {
            self.step().await;
            if !goes_on(self.wait_for_work(), &mut released).await {
                break;
            }
        }
        // What waits is committed before the lease is given up.
        self.step().await;
        self.stop_keeping();
        self.lease.give_up().await;
    }

    /// Waits until there is something to commit, at most [`IDLE_STEP`], at least
    /// [`COMMIT_GAP`].
    async fn wait_for_work(&self) {
        let clock = &self.shared.outside.clock;
        clock.sleep(COMMIT_GAP).await;
        tokio::select! {
            () = clock.sleep(IDLE_STEP) => {},
            () = self.desk.wake.notified() => {},
        }
    }

    async fn step(&mut self) {
        let held = self.lease.hold().await;
        if held != self.desk.state.lock().fence {
            self.stop_keeping();
        }
        let Some(fence) = held else {
            return;
        };
        if !self.desk.is_kept() && !self.start_keeping(fence).await {
            return;
        }
        self.commit_waiting(fence).await;
        self.forget_old();
        if self.log.len() > MAX_LOG_ROWS {
            self.move_log().await;
        }
    }

    /// Stops taking claims. What waits was not recorded, and nobody may run it.
    fn stop_keeping(&mut self) {
        let mut state = self.desk.state.lock();
        if state.fence.take().is_some() {
            // Only what was committed is true; a new keeper reads it anew.
            state.index.drop_uncommitted();
        }
        drop(state);
        self.desk.notify();
    }

    /// Reads all claims and starts to take new ones.
    async fn start_keeping(&mut self, fence: Fence) -> bool {
        match self.load().await {
            Ok(index) => {
                log::info!("{} claims of {} are kept here", index.len(), self.shard);
                self.sequence = 0;
                let mut state = self.desk.state.lock();
                state.index.replace_claims(index);
                state.fence = Some(fence);
                state.last = Some(fence);
                drop(state);
                self.desk.notify();
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

    /// Commits one group of claims, or renews the lease where that is due.
    async fn commit_waiting(&mut self, fence: Fence) {
        let batch = self.desk.state.lock().index.start_batch();
        let Some(entries) = batch else {
            if self.lease.is_due() {
                self.lease.commit(Vec::new()).await;
            }
            return;
        };
        self.sequence += 1;
        // Tokens grow, so rows sort in the order in which they were committed.
        let key = RowKey(format!("{}{:012}-{:012}", self.log_prefix(), fence.0, self.sequence));
        let row = write(&key, Expect::Absent, &entries);
        if !self.lease.commit(vec![row]).await {
            self.stop_keeping();
            return;
        }
        self.log.push(LogRow { key, version: FIRST_VERSION, entries });
        self.desk.state.lock().index.finish_batch();
        self.desk.notify();
    }

    fn forget_old(&mut self) {
        let now = self.shared.outside.clock.now();
        if self.forgot_at.is_some_and(|at| now.since(at) < FORGET_EVERY) {
            return;
        }
        self.forgot_at = Some(now);
        let before = self.keep_since();
        self.desk.state.lock().index.expire(before);
    }

    /// Returns the time before which claims may be forgotten.
    fn keep_since(&self) -> UnixMillis {
        let minutes = self
            .shared
            .in_force
            .current()
            .and_then(|current| {
                let service = current.tree.service(&self.shard)?;
                Some(service.policy.claim_keep_min.value)
            })
            .unwrap_or(u64::MAX / 60_000 - 1);
        let keep_ms = minutes.saturating_mul(60_000).saturating_add(KEEP_MARGIN_MS);
        UnixMillis(self.shared.outside.clock.unix().0.saturating_sub(keep_ms))
    }

    /// Moves the rows of the log into a segment.
    async fn move_log(&mut self) {
        let entries: Vec<ClaimEntry> =
            self.log.iter().flat_map(|row| row.entries.iter().copied()).collect();
        let Some(last) = self.log.last() else {
            return;
        };
        // The name follows from the last row, so a repeated move writes the same object.
        let name = last.key.0.rsplit('/').next().unwrap_or_default();
        let object = format!("claims/{}/{name}", self.shard);
        let bytes = serde_json::to_vec(&entries).expect("our own types always encode");
        if let Err(error) = self.shared.outside.objects.put(&object, Bytes::from(bytes)).await {
            log::warn!("the log of claims of {} stays long: {error}", self.shard);
            return;
        }
        let youngest = entries.iter().filter_map(claimed_at).max().unwrap_or_default();
        let keep_since = self.keep_since();
        let mut manifest = self.manifest.clone();
        manifest.segments.retain(|segment| segment.youngest >= keep_since);
        manifest.segments.push(Segment { object, youngest });
        let mut writes = vec![write(&self.manifest_key(), self.manifest_expect, &manifest)];
        writes.extend(self.log.iter().map(|row| Write {
            key: row.key.clone(),
            expect: Expect::Version(row.version),
            value: None,
        }));
        if !self.lease.commit(writes).await {
            self.stop_keeping();
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
