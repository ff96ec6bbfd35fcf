//! The engines as known to a box: their latest digests, and the requests that it sent since.
//!
//! The index is split into shards, each with its own lock. A routing decision locks one shard and
//! then each candidate in turn, and allocates nothing.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::engine_load::{EngineLoad, Estimate, RequestProfile, RequestResult};
use crate::ids::{BackendId, HallName, ItemKey};
use crate::ports::{LoadReport, ReportedState};
use crate::units::Moment;

/// The number of shards of the index, several times the number of threads that use it.
const SHARDS: usize = 64;

/// How long a digest that this box has read is sent to peers.
pub const RELAY_TIME: Duration = Duration::from_secs(2);

/// How long every heartbeat includes the items of an engine after they changed.
const CHANGED_ITEMS_TIME: Duration = Duration::from_secs(4);

/// The interval at which heartbeats include unchanged items, for boxes that missed them.
const ITEMS_INTERVAL: Duration = Duration::from_secs(10);

/// The part of an engine's report that routing needs, as sent between boxes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineDigest {
    /// The engine.
    pub engine: BackendId,
    /// The engine's incarnation.
    pub incarnation: u64,
    /// The sequence number of the report within the incarnation.
    pub sequence: u64,
    /// The age of the report when this was sent, in milliseconds.
    pub age_ms: u64,
    /// The items that are ready; `None` if they have not changed.
    pub ready: Option<Vec<ItemKey>>,
    /// The number of requests in the batch.
    pub running: u32,
    /// The number of queued requests.
    pub queued: u32,
}

impl EngineDigest {
    /// Returns the digest of a report.
    pub fn of(engine: BackendId, report: &LoadReport) -> Self {
        let ready = report
            .items
            .iter()
            .filter(|item| item.state == ReportedState::Ready)
            .map(|item| item.item.clone())
            .collect();
        Self {
            engine,
            incarnation: report.incarnation,
            sequence: report.sequence,
            age_ms: report.age_ms,
            ready: Some(ready),
            running: report.running,
            queued: report.queued,
        }
    }
}

/// One engine, as needed for routing.
#[derive(Debug)]
pub struct EngineEntry {
    /// The engine.
    pub id: BackendId,
    /// The engine's hall.
    pub hall: HallName,
    /// The items under which the index contains this entry. Locked while the index is changed. The
    /// lock order is this one, an index shard, `load`.
    indexed: Mutex<Vec<ItemKey>>,
    load: Mutex<EngineLoad>,
}

impl EngineEntry {
    fn new(id: BackendId, hall: HallName) -> Self {
        Self { id, hall, indexed: Mutex::default(), load: Mutex::default() }
    }

    /// Returns whether the engine is leaving.
    pub fn is_leaving(&self) -> bool {
        self.load.lock().is_leaving()
    }

    /// Returns whether the engine has been leaving for so long that it gets no requests any more.
    pub fn has_left(&self, now: Moment) -> bool {
        self.load.lock().has_left(now)
    }

    /// Returns when the engine accepts requests from this box again; `None` if it does at `now`.
    pub fn backoff_until(&self, now: Moment) -> Option<Moment> {
        self.load.lock().backoff_until(now)
    }

    /// Returns whether the circuit breaker is closed or may be probed at `now`.
    pub fn accepts_requests(&self, now: Moment) -> bool {
        self.load.lock().accepts_requests(now)
    }

    /// Returns the age of the last report at `now`; `None` if there is none.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.load.lock().age(now)
    }

    /// Returns the estimated number of requests at the engine.
    pub fn expected_requests(&self) -> u32 {
        self.load.lock().expected_requests()
    }

    /// Returns how many requests can run concurrently with `gap` between tokens.
    pub fn capacity(&self, gap: Duration) -> Option<f64> {
        self.load.lock().capacity(gap)
    }

    /// Returns the estimated duration of a request; `None` before the first measurement.
    pub fn estimate(&self, sent: &RequestProfile, now: Moment) -> Option<Estimate> {
        self.load.lock().estimate(sent, now)
    }

    /// Records that a request is sent.
    pub fn begin(&self, sent: &RequestProfile, now: Moment) {
        self.load.lock().begin(sent, now);
    }

    /// Records that a request has ended.
    pub fn end(&self, sent: &RequestProfile, ended: &RequestResult, now: Moment) {
        self.load.lock().end(sent, ended, now);
    }
}

type Shard = Mutex<HashMap<ItemKey, Vec<Arc<EngineEntry>>>>;

/// All engines that a box knows.
pub struct Fleet {
    hasher: RandomState,
    index: Vec<Shard>,
    engines: Mutex<HashMap<BackendId, Arc<EngineEntry>>>,
    /// The digests that this box has read itself, to be sent to peers.
    own: Mutex<HashMap<BackendId, OwnDigest>>,
}

/// A digest that this box has read itself.
struct OwnDigest {
    digest: EngineDigest,
    read_at: Moment,
    /// When the items last changed.
    changed_at: Moment,
    /// When the items were last sent.
    items_sent_at: Option<Moment>,
}

impl OwnDigest {
    /// Returns the digest to send to peers at `now`.
    fn for_peers(&mut self, now: Moment) -> EngineDigest {
        let age_ms = now.since(self.read_at).as_millis() as u64;
        let has_changed = now.since(self.changed_at) < CHANGED_ITEMS_TIME;
        let is_due = self.items_sent_at.is_none_or(|at| now.since(at) >= ITEMS_INTERVAL);
        let mut digest =
            EngineDigest { age_ms: self.digest.age_ms + age_ms, ..self.digest.clone() };
        if has_changed || is_due {
            self.items_sent_at = Some(now);
        } else {
            digest.ready = None;
        }
        digest
    }
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            hasher: RandomState::new(),
            index: (0..SHARDS).map(|_| Shard::default()).collect(),
            engines: Mutex::default(),
            own: Mutex::default(),
        }
    }
}

impl Fleet {
    /// Sets the engines. Those that remain keep their state.
    pub fn set_engines(&self, wanted: &[(BackendId, HallName)]) {
        let mut engines = self.engines.lock();
        let wanted: HashMap<&BackendId, &HallName> =
            wanted.iter().map(|(id, hall)| (id, hall)).collect();
        engines.retain(|id, entry| {
            let remains = wanted.get(id).is_some_and(|hall| **hall == entry.hall);
            if !remains {
                for item in std::mem::take(&mut *entry.indexed.lock()) {
                    self.remove_from_index(&item, id);
                }
            }
            remains
        });
        for (id, hall) in wanted {
            engines
                .entry(id.clone())
                .or_insert_with(|| Arc::new(EngineEntry::new(id.clone(), hall.clone())));
        }
    }

    /// Returns the engine `id`.
    pub fn engine(&self, id: &BackendId) -> Option<Arc<EngineEntry>> {
        self.engines.lock().get(id).cloned()
    }

    /// Applies a digest that arrived at `now`, unless a newer one is known. Returns whether it was
    /// applied.
    pub fn apply_digest(&self, digest: &EngineDigest, now: Moment) -> bool {
        let Some(entry) = self.engine(&digest.engine) else {
            return false;
        };
        let mut indexed = entry.indexed.lock();
        if !entry.load.lock().apply_digest(digest, now) {
            return false;
        }
        let Some(ready) = &digest.ready else {
            return true;
        };
        let old = std::mem::replace(&mut *indexed, ready.clone());
        for item in old.iter().filter(|item| !ready.contains(item)) {
            self.remove_from_index(item, &entry.id);
        }
        for item in ready.iter().filter(|item| !old.contains(item)) {
            self.index_shard(item).lock().entry(item.clone()).or_default().push(entry.clone());
        }
        true
    }

    /// Applies a report that this box has read itself at `now`.
    pub fn apply_report(&self, engine: &BackendId, report: &LoadReport, now: Moment) {
        let digest = EngineDigest::of(engine.clone(), report);
        if !self.apply_digest(&digest, now) {
            return;
        }
        let mut own = self.own.lock();
        let before = own.get(engine).filter(|before| before.digest.ready == digest.ready);
        let changed_at = before.map_or(now, |before| before.changed_at);
        let items_sent_at = before.and_then(|before| before.items_sent_at);
        own.insert(engine.clone(), OwnDigest { digest, read_at: now, changed_at, items_sent_at });
    }

    /// Returns the digests that this box has read itself within [`RELAY_TIME`], for one heartbeat to
    /// all peers. They include the items of an engine for some time after a change and at intervals,
    /// since these are the largest part of a digest and seldom change.
    pub fn own_digests(&self, now: Moment) -> Vec<EngineDigest> {
        let mut own = self.own.lock();
        own.retain(|_, own| now.since(own.read_at) <= RELAY_TIME);
        own.values_mut().map(|own| own.for_peers(now)).collect()
    }

    /// Notes at `now` which engines are leaving.
    pub fn set_leaving(&self, is_leaving: impl Fn(&BackendId) -> bool, now: Moment) {
        for entry in self.engines.lock().values() {
            entry.load.lock().set_leaving(is_leaving(&entry.id), now);
        }
    }

    /// Calls `visit` for each engine on which `item` answers, under the index shard's lock.
    pub fn for_each_ready(&self, item: &ItemKey, mut visit: impl FnMut(&Arc<EngineEntry>)) {
        if let Some(entries) = self.index_shard(item).lock().get(item) {
            entries.iter().for_each(&mut visit);
        }
    }

    /// Returns another version of `item` that is ready on some engine, while the wanted one is not
    /// loaded yet. This scans all items, so it is only meant for changes of versions.
    pub fn other_version(&self, item: &ItemKey) -> Option<ItemKey> {
        self.index.iter().find_map(|shard| {
            let shard = shard.lock();
            let mut known = shard.keys();
            known.find(|k| k.model == item.model && k.adapter == item.adapter).cloned()
        })
    }

    /// Returns the number of engines on which `item` is ready.
    pub fn ready_count(&self, item: &ItemKey) -> usize {
        self.index_shard(item).lock().get(item).map_or(0, Vec::len)
    }

    fn index_shard(&self, item: &ItemKey) -> &Shard {
        &self.index[self.hasher.hash_one(item) as usize % SHARDS]
    }

    fn remove_from_index(&self, item: &ItemKey, engine: &BackendId) {
        let mut shard = self.index_shard(item).lock();
        if let Some(entries) = shard.get_mut(item) {
            entries.retain(|entry| entry.id != *engine);
            if entries.is_empty() {
                shard.remove(item);
            }
        }
    }
}

#[cfg(test)]
mod tests;
