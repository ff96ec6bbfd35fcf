//! The servers that the node knows, from the platform's table.
//!
//! A table's answers can be late: every change carries a version, and a version never goes back.
//! A listing that is older than what was already seen is passed over.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AdapterName, BackendId, ModelName, ServiceName, ZoneName};
use crate::units::Moment;

/// How long a server that has left is remembered, so that a late row cannot bring it back.
const GONE_FOR: Duration = Duration::from_secs(120);

/// How many heartbeats after a server was found that held models before the node knew of it, the
/// list may still lack others: each writes its row once in a heartbeat.
const FILLING_HEARTBEATS: u32 = 2;

/// How long after the platform came back the rows of servers that live are written again.
const LAPSE_FOR: Duration = Duration::from_millis(2_000);

/// How many heartbeats the platform has to be away for rows to lapse. After a shorter failure a row
/// that goes is a server that goes.
const OUTAGE_HEARTBEATS: u32 = 2;

/// How recently the platform has to have failed this node itself, so that what a reader says of
/// lapses holds here: the reader alone may have been cut off.
const SAME_OUTAGE: Duration = Duration::from_secs(6);

/// What a server does about new requests, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It is about to end.
    Draining {
        /// How long it has, if it is taken away at short notice.
        remaining: Option<Duration>,
    },
}

/// A model on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentModel {
    /// The version of the weights.
    pub version: u64,
    /// The adapters that are loaded.
    pub adapters: BTreeSet<AdapterName>,
}

/// The models on an engine.
pub type Residents = BTreeMap<ModelName, ResidentModel>;

/// What a server says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The identity of this run of the server; a restart gets a new one.
    pub id: BackendId,
    /// The service.
    pub service: ServiceName,
    /// The address, IP and port.
    pub address: String,
    /// The zone.
    pub zone: ZoneName,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: ServerState,
    /// The models that it holds.
    pub models: Residents,
    /// How many orders it has taken.
    pub sequence: u64,
    /// Models that its host memory keeps a copy of.
    pub in_memory: BTreeSet<ModelName>,
    /// Models that its disk keeps a copy of.
    pub on_disk: BTreeSet<ModelName>,
}

/// A server as the node knows it.
#[derive(Clone, Debug)]
pub struct KnownServer {
    /// What it last said of itself.
    pub entry: ServerEntry,
    /// The version of its row.
    pub version: u64,
    /// When the node learned this version.
    pub learned: Moment,
    /// When the node learned of the server; the start of time for one that had left and came back.
    pub first_learned: Moment,
    /// When the node learned that it drains.
    pub draining_since: Option<Moment>,
    /// Whether this node knew it as ready before it drained. If not, it may have drained for long.
    pub was_ready: bool,
}

impl KnownServer {
    /// Returns when a server that drains will be gone, if it said so.
    pub fn leaves_at(&self) -> Option<Moment> {
        match (self.entry.state, self.draining_since) {
            (ServerState::Draining { remaining: Some(left) }, Some(since)) => Some(since + left),
            _ => None,
        }
    }

    /// Returns whether it takes new requests.
    pub fn is_ready(&self) -> bool {
        self.entry.state == ServerState::Ready
    }
}

impl ServerChange {
    /// Returns the version of the change.
    pub fn version(&self) -> u64 {
        match self {
            ServerChange::Set { version, .. } | ServerChange::Gone { version, .. } => *version,
        }
    }
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerChange {
    /// The row has this content.
    Set {
        /// The version of the row.
        version: u64,
        /// What the server says of itself.
        entry: ServerEntry,
    },
    /// The row is gone.
    Gone {
        /// The version at which it went.
        version: u64,
        /// The server.
        id: BackendId,
    },
}

/// What a change did to the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryEvent {
    /// A server is new.
    Joined(BackendId),
    /// What a server says of itself has changed.
    Changed(BackendId),
    /// A server began to drain.
    Draining(BackendId),
    /// A server left.
    Left(BackendId),
}

impl DirectoryEvent {
    /// Returns the server that it is about.
    pub fn server(&self) -> &BackendId {
        match self {
            DirectoryEvent::Joined(id)
            | DirectoryEvent::Changed(id)
            | DirectoryEvent::Draining(id)
            | DirectoryEvent::Left(id) => id,
        }
    }
}

/// The servers that the node knows.
#[derive(Debug)]
pub struct Directory {
    /// How often a server writes its row.
    heartbeat: Duration,
    servers: HashMap<BackendId, Arc<KnownServer>>,
    by_service: HashMap<ServiceName, Vec<Arc<KnownServer>>>,
    /// Servers that left: the version at which they went, and when it was learned.
    gone: HashMap<BackendId, (u64, Moment)>,
    /// The newest version that any answer named.
    newest: u64,
    /// When a server was last found that held models before the node knew of it.
    found_at: Option<Moment>,
    /// Until when a row that goes may have lapsed while the platform was away.
    lapse_until: Moment,
    /// Ready servers whose rows went within that time, and the versions at which they did.
    lapsed: HashMap<BackendId, u64>,
}

impl Directory {
    /// Makes an empty one; servers write their rows once in `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            servers: HashMap::new(),
            by_service: HashMap::new(),
            gone: HashMap::new(),
            newest: 0,
            found_at: None,
            lapse_until: Moment::default(),
            lapsed: HashMap::new(),
        }
    }

    /// Returns the newest version that any answer named.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns a server.
    pub fn get(&self, id: &BackendId) -> Option<&Arc<KnownServer>> {
        self.servers.get(id)
    }

    /// Returns the servers of a service, in the order of their identifiers.
    pub fn of_service(&self, service: &ServiceName) -> &[Arc<KnownServer>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all servers.
    pub fn all(&self) -> impl Iterator<Item = &Arc<KnownServer>> {
        self.servers.values()
    }

    /// Returns whether the list may still lack servers that hold models: at the system's start, and
    /// while rows that lapsed come back. What no listed server holds is not missing then.
    pub fn is_filling(&self, now: Moment) -> bool {
        self.found_at.is_some_and(|at| now.since(at) < self.heartbeat * FILLING_HEARTBEATS)
    }

    /// Notes that the platform answers again after it failed this node for a while. After an outage
    /// a ready server whose row went is kept for some time: if it lives, its row comes back.
    pub fn platform_came_back(&mut self, away: Duration, now: Moment) {
        if away >= self.heartbeat * OUTAGE_HEARTBEATS {
            self.lapse_until = self.lapse_until.max(now + LAPSE_FOR);
        }
    }

    /// Notes that a reader says for how long rows may still have lapsed. `failed_at` is when the
    /// platform last failed this node itself.
    pub fn reader_expects_lapses(
        &mut self,
        left: Duration,
        failed_at: Option<Moment>,
        now: Moment,
    ) {
        if failed_at.is_some_and(|at| now.since(at) < SAME_OUTAGE) {
            self.lapse_until = self.lapse_until.max(now + left.min(LAPSE_FOR));
        }
    }

    /// Returns how long rows that go may still have lapsed.
    pub fn lapses_for(&self, now: Moment) -> Duration {
        self.lapse_until.since(now)
    }

    /// Takes those away whose rows lapsed and did not come back in time.
    pub fn end_lapses(&mut self, now: Moment) -> Vec<DirectoryEvent> {
        if self.lapsed.is_empty() || now < self.lapse_until {
            return Vec::new();
        }
        let lapsed = std::mem::take(&mut self.lapsed);
        let events: Vec<_> =
            lapsed.into_iter().filter_map(|(id, version)| self.remove(version, id, now)).collect();
        self.index();
        events
    }

    /// Takes in changes of rows, in order, up to `version`.
    pub fn apply(
        &mut self,
        changes: Vec<ServerChange>,
        version: u64,
        now: Moment,
    ) -> Vec<DirectoryEvent> {
        let events: Vec<_> =
            changes.into_iter().filter_map(|change| self.apply_one(change, now)).collect();
        self.newest = self.newest.max(version);
        self.gone.retain(|_, (_, at)| now.since(*at) < GONE_FOR);
        if !events.is_empty() {
            self.index();
        }
        events
    }

    /// Takes in all rows as of `version`. An older listing than what was seen changes nothing;
    /// then `None` comes back.
    pub fn replace(
        &mut self,
        rows: Vec<(u64, ServerEntry)>,
        version: u64,
        now: Moment,
    ) -> Option<Vec<DirectoryEvent>> {
        if version < self.newest {
            return None;
        }
        let listed: BTreeSet<BackendId> = rows.iter().map(|(_, entry)| entry.id.clone()).collect();
        let mut changes: Vec<ServerChange> = self
            .servers
            .values()
            .filter(|known| !listed.contains(&known.entry.id) && known.version <= version)
            .map(|known| ServerChange::Gone { version, id: known.entry.id.clone() })
            .collect();
        changes
            .extend(rows.into_iter().map(|(version, entry)| ServerChange::Set { version, entry }));
        Some(self.apply(changes, version, now))
    }

    /// Returns the changes behind `events`, as of `version`, and the rows that lapsed, for nodes that
    /// did not see the listing that brought them.
    pub fn changes(&self, events: &[DirectoryEvent], version: u64) -> Vec<ServerChange> {
        let change = |event: &DirectoryEvent| {
            let id = event.server();
            match self.servers.get(id) {
                Some(known) => {
                    ServerChange::Set { version: known.version, entry: known.entry.clone() }
                }
                None => ServerChange::Gone { version, id: id.clone() },
            }
        };
        let gone = |(id, version): (&BackendId, &u64)| ServerChange::Gone {
            version: *version,
            id: id.clone(),
        };
        events.iter().map(change).chain(self.lapsed.iter().map(gone)).collect()
    }

    /// Returns what has changed since version `after`: all that is known if that is 0. Rows that lapsed
    /// are among those that went.
    pub fn changes_after(&self, after: u64) -> Vec<ServerChange> {
        let newer = self.servers.values().filter(|known| known.version > after);
        let set = newer
            .map(|known| ServerChange::Set { version: known.version, entry: known.entry.clone() });
        let went = self.gone.iter().map(|(id, (version, _))| (id, *version));
        let lapsed = self.lapsed.iter().map(|(id, version)| (id, *version));
        let gone = went.chain(lapsed).filter(|(_, version)| *version > after);
        let gone = gone.map(|(id, version)| ServerChange::Gone { version, id: id.clone() });
        set.chain(gone).collect()
    }

    fn apply_one(&mut self, change: ServerChange, now: Moment) -> Option<DirectoryEvent> {
        match change {
            ServerChange::Set { version, entry } => self.set(version, entry, now),
            ServerChange::Gone { version, id } => self.remove(version, id, now),
        }
    }

    fn set(&mut self, version: u64, entry: ServerEntry, now: Moment) -> Option<DirectoryEvent> {
        let id = entry.id.clone();
        // A server's identifier is used by one run only, so one that went does not come back
        // except by a row that is newer than its going: the platform may have lost it for a while.
        if self.gone.get(&id).is_some_and(|(gone, _)| *gone >= version) {
            return None;
        }
        let before = self.servers.get(&id);
        let lapsed_at = self.lapsed.get(&id).copied().unwrap_or(0);
        if before.is_some_and(|known| known.version >= version) || lapsed_at >= version.max(1) {
            return None;
        }
        let drains = entry.state != ServerState::Ready;
        let drained_before = before.and_then(|known| known.draining_since);
        let draining_since = drains.then(|| drained_before.unwrap_or(now));
        let was_ready = !drains || before.is_some_and(|known| known.was_ready);
        let event = match before {
            _ if drains && drained_before.is_none() => DirectoryEvent::Draining(id.clone()),
            None => DirectoryEvent::Joined(id.clone()),
            Some(_) => DirectoryEvent::Changed(id.clone()),
        };
        self.lapsed.remove(&id);
        let came_back = self.gone.remove(&id).is_some();
        let first_learned = match before {
            Some(known) => known.first_learned,
            None if came_back => Moment::default(),
            None => now,
        };
        // A server begins empty, so one that is new here and holds models was missing from the list.
        if before.is_none() && !entry.models.is_empty() {
            self.found_at = Some(now);
        }
        let known =
            KnownServer { entry, version, learned: now, first_learned, draining_since, was_ready };
        self.servers.insert(id, Arc::new(known));
        Some(event)
    }

    fn remove(&mut self, version: u64, id: BackendId, now: Moment) -> Option<DirectoryEvent> {
        let known = self.servers.get(&id);
        if known.is_some_and(|known| known.version > version) {
            return None;
        }
        if now < self.lapse_until && known.is_some_and(|known| known.is_ready()) {
            self.lapsed.insert(id, version);
            return None;
        }
        let gone = self.gone.entry(id.clone()).or_insert((version, now));
        gone.0 = gone.0.max(version);
        self.servers.remove(&id).map(|_| DirectoryEvent::Left(id))
    }

    /// Lists the servers by service, but for those whose address a later one has: an address has one
    /// server at a time, and the row of one that crashed stays for a while. Versions do not tell, as
    /// what a server wrote may arrive after its end.
    fn index(&mut self) {
        self.by_service.clear();
        let mut newest: HashMap<&str, Moment> = HashMap::new();
        for known in self.servers.values() {
            let learned = newest.entry(known.entry.address.as_str()).or_default();
            *learned = (*learned).max(known.first_learned);
        }
        let is_last = |known: &&Arc<KnownServer>| {
            newest.get(known.entry.address.as_str()).is_none_or(|at| known.first_learned >= *at)
        };
        for known in self.servers.values().filter(is_last) {
            self.by_service.entry(known.entry.service.clone()).or_default().push(known.clone());
        }
        for servers in self.by_service.values_mut() {
            servers.sort_by(|a, b| a.entry.id.cmp(&b.entry.id));
        }
    }
}
