//! What a box knows of the engines: their latest digests, and what it has itself sent since.
//!
//! The state is split into shards, each under its own lock. A routing decision locks one
//! index shard and then each candidate in turn; it allocates nothing.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::engine_load::{Ended, EngineLoad, Estimate, Sent};
use crate::ids::{BackendId, HallName, ItemKey};
use crate::ports::{LoadReport, ReportedState};
use crate::units::Moment;

/// How many shards the index has: several times the threads that use it.
const SHARDS: usize = 64;

/// How long a digest that this box has read is passed on to peers.
pub const PASS_ON_FOR: Duration = Duration::from_secs(2);

/// How long the items of an engine are told in every heartbeat after they changed.
const TELL_CHANGES_FOR: Duration = Duration::from_secs(4);

/// How often the items of an engine are told if they did not change, for boxes that missed them.
const TELL_ITEMS_EVERY: Duration = Duration::from_secs(10);

/// The part of an engine's report that routing needs, as boxes pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineDigest {
    /// The engine.
    pub engine: BackendId,
    /// The engine's incarnation.
    pub incarnation: u64,
    /// The report's sequence within the incarnation.
    pub sequence: u64,
    /// How old the figures were when this was sent, in milliseconds.
    pub age_ms: u64,
    /// The items that answer requests; `None` if they are as told before.
    pub ready: Option<Vec<ItemKey>>,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
}

impl EngineDigest {
    /// Makes the digest of a report.
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

/// One engine as routing sees it.
#[derive(Debug)]
pub struct EngineEntry {
    /// The engine.
    pub id: BackendId,
    /// The engine's hall.
    pub hall: HallName,
    /// The items under which the entry stands in the index. Held while the index is changed;
    /// the order of locks is this one, then an index shard, then `load`.
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

    /// Returns whether the engine is leaving and gets no new work any more.
    pub fn has_left(&self, now: Moment) -> bool {
        self.load.lock().has_left(now)
    }

    /// Returns until when the engine wants no requests from this box, if that is not over.
    pub fn backoff_until(&self, now: Moment) -> Option<Moment> {
        self.load.lock().backoff_until(now)
    }

    /// Returns whether new requests may go here at `now`: the breaker is closed, or one probe
    /// may pass.
    pub fn takes_new_work(&self, now: Moment) -> bool {
        self.load.lock().takes_new_work(now)
    }

    /// Returns how old the engine's figures are at `now`; `None` if there are none.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.load.lock().age(now)
    }

    /// Returns how many requests are expected there.
    pub fn expected_requests(&self) -> u32 {
        self.load.lock().expected_requests()
    }

    /// Returns how many requests can be in progress there at once with `gap` between tokens.
    pub fn capacity(&self, gap: Duration) -> Option<f64> {
        self.load.lock().capacity(gap)
    }

    /// Returns how long a request would take there; `None` if nothing was measured yet.
    pub fn estimate(&self, sent: &Sent, now: Moment) -> Option<Estimate> {
        self.load.lock().estimate(sent, now)
    }

    /// Counts a request that is sent there.
    pub fn begin(&self, sent: &Sent, now: Moment) {
        self.load.lock().begin(sent, now);
    }

    /// Counts a request that ended there, with what was measured.
    pub fn end(&self, sent: &Sent, ended: &Ended, now: Moment) {
        self.load.lock().end(sent, ended, now);
    }
}

type Shard = Mutex<HashMap<ItemKey, Vec<Arc<EngineEntry>>>>;

/// All engines that a box knows.
pub struct Fleet {
    hasher: RandomState,
    index: Vec<Shard>,
    engines: Mutex<HashMap<BackendId, Arc<EngineEntry>>>,
    /// The digests that this box has read itself, to be passed on to peers.
    own: Mutex<HashMap<BackendId, OwnDigest>>,
}

/// A digest that this box has read itself.
struct OwnDigest {
    digest: EngineDigest,
    read_at: Moment,
    /// When the items changed last.
    changed_at: Moment,
    /// When the items were told last, if they were.
    whole_at: Option<Moment>,
}

impl OwnDigest {
    /// Returns the digest as it is told to peers at `now`.
    fn told(&mut self, now: Moment) -> EngineDigest {
        let held = now.since(self.read_at).as_millis() as u64;
        let changed = now.since(self.changed_at) < TELL_CHANGES_FOR;
        let due = self.whole_at.is_none_or(|at| now.since(at) >= TELL_ITEMS_EVERY);
        let mut told = EngineDigest { age_ms: self.digest.age_ms + held, ..self.digest.clone() };
        if changed || due {
            self.whole_at = Some(now);
        } else {
            told.ready = None;
        }
        told
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
    /// Sets which engines there are. Engines that stay keep their figures.
    pub fn set_engines(&self, wanted: &[(BackendId, HallName)]) {
        let mut engines = self.engines.lock();
        let wanted: HashMap<&BackendId, &HallName> =
            wanted.iter().map(|(id, hall)| (id, hall)).collect();
        engines.retain(|id, entry| {
            let stays = wanted.get(id).is_some_and(|hall| **hall == entry.hall);
            if !stays {
                for item in std::mem::take(&mut *entry.indexed.lock()) {
                    self.remove_from_index(&item, id);
                }
            }
            stays
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

    /// Takes in a digest that reached this box at `now`. Older figures than those known are
    /// dropped. Returns whether it was newer.
    pub fn observe(&self, digest: &EngineDigest, now: Moment) -> bool {
        let Some(entry) = self.engine(&digest.engine) else {
            return false;
        };
        let mut indexed = entry.indexed.lock();
        if !entry.load.lock().take_in(digest, now) {
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

    /// Takes in a report that this box has read itself at `now`.
    pub fn observe_report(&self, engine: &BackendId, report: &LoadReport, now: Moment) {
        let digest = EngineDigest::of(engine.clone(), report);
        if !self.observe(&digest, now) {
            return;
        }
        let mut own = self.own.lock();
        let before = own.get(engine).filter(|before| before.digest.ready == digest.ready);
        let changed_at = before.map_or(now, |before| before.changed_at);
        let whole_at = before.and_then(|before| before.whole_at);
        own.insert(engine.clone(), OwnDigest { digest, read_at: now, changed_at, whole_at });
    }

    /// Returns the digests that this box has read itself within [`PASS_ON_FOR`], aged to `now`,
    /// for one heartbeat to all peers. Which items an engine has is told for a while after a
    /// change and now and then, since it is most of a digest and seldom changes.
    pub fn own_digests(&self, now: Moment) -> Vec<EngineDigest> {
        let mut own = self.own.lock();
        own.retain(|_, own| now.since(own.read_at) <= PASS_ON_FOR);
        own.values_mut().map(|own| own.told(now)).collect()
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

    /// Returns another version of `item` that some engine answers for, while the wanted one is
    /// still on its way. This looks at every item, so it is only for the time of a change.
    pub fn other_version(&self, item: &ItemKey) -> Option<ItemKey> {
        self.index.iter().find_map(|shard| {
            let shard = shard.lock();
            let mut known = shard.keys();
            known.find(|k| k.model == item.model && k.adapter == item.adapter).cloned()
        })
    }

    /// Returns how many engines answer for `item`.
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
