//! The servers that the node knows, from the platform's table.
//!
//! A table's answers can be late: every change carries a version, and a version never goes back.
//! A listing that is older than what was already seen is passed over.
//!
//! A directory at a version has exactly the servers that the table had then. So it goes on to a later
//! version only by all changes in between or by a whole listing, and it answers for changes only as far back as
//! its own record reaches: a listing says what was there, not what had gone before. A box that told what it had
//! listed as all changes had others keep servers that were gone, for as long as they lived.

mod change;
mod entry;
mod index;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

pub use change::{ChangeOrigin, DirectoryEvent, DirectoryUpdate, ReceivedChanges, ServerChange};
pub use entry::{KnownServer, ResidentModel, Residents, ServerEntry, ServerState};

use index::ServerIndex;

use crate::ids::{BackendId, ModelName, ServerKey, ServiceName};
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

/// The servers that the node knows.
#[derive(Debug)]
pub struct Directory {
    /// How often a server writes its row.
    heartbeat: Duration,
    servers: HashMap<BackendId, Arc<KnownServer>>,
    /// The run under each key.
    runs: HashMap<ServerKey, BackendId>,
    /// The servers that may be chosen.
    index: ServerIndex,
    /// Servers that left.
    gone: HashMap<ServerKey, GoneServer>,
    /// The newest version that any answer named.
    newest_version: u64,
    /// The version after which all changes are known.
    complete_after: u64,
    /// When the list was last known to be the newest.
    heard_at: Moment,
    /// When a server was last found that held models before the node knew of it.
    found_at: Option<Moment>,
    /// Until when a row that goes may have lapsed while the platform was away.
    lapse_until: Moment,
    /// Ready servers whose rows went within that time, and the versions at which they did.
    lapsed: HashMap<ServerKey, u64>,
}

/// A server that left.
#[derive(Clone, Debug)]
struct GoneServer {
    /// The version at which it went.
    version: u64,
    /// When that was learned.
    at: Moment,
    /// Its last run, if one was known.
    run: Option<BackendId>,
    /// When that run had started.
    started: Option<u64>,
}

impl Directory {
    /// Makes an empty one; servers write their rows once in `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            servers: HashMap::new(),
            runs: HashMap::new(),
            index: ServerIndex::default(),
            gone: HashMap::new(),
            newest_version: 0,
            complete_after: 0,
            heard_at: Moment::default(),
            found_at: None,
            lapse_until: Moment::default(),
            lapsed: HashMap::new(),
        }
    }

    /// Returns the newest version that any answer named.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// Notes that the list is the newest, by an answer of the platform or the word of one that had it.
    pub fn confirm_current(&mut self, now: Moment) {
        self.heard_at = self.heard_at.max(now);
    }

    /// Returns a server.
    pub fn get(&self, id: &BackendId) -> Option<&Arc<KnownServer>> {
        self.servers.get(id)
    }

    /// Returns the servers of a service, in the order of their identifiers.
    pub fn of_service(&self, service: &ServiceName) -> &[Arc<KnownServer>] {
        self.index.of_service(service)
    }

    /// Returns the servers whose rows say that they hold a model, in the order of their identifiers.
    pub fn holding(&self, model: &ModelName) -> &[Arc<KnownServer>] {
        self.index.holding(model)
    }

    /// Returns all servers.
    pub fn all(&self) -> impl Iterator<Item = &Arc<KnownServer>> {
        self.servers.values()
    }

    /// Returns whether the list may still lack servers that hold models: at the system's start, and
    /// while rows that lapsed come back. What no listed server holds is not missing then.
    pub fn may_be_incomplete(&self, now: Moment) -> bool {
        self.found_at.is_some_and(|at| now.since(at) < self.heartbeat * FILLING_HEARTBEATS)
    }

    /// Notes that the platform answers again after it failed this node for a while. After an outage
    /// a ready server whose row went is kept for some time: if it lives, its row comes back.
    pub fn platform_recovered(&mut self, away: Duration, now: Moment) {
        if away >= self.heartbeat * OUTAGE_HEARTBEATS {
            self.lapse_until = self.lapse_until.max(now + LAPSE_FOR);
        }
    }

    /// Notes that a reader says for how long rows may still have lapsed. `failed_at` is when the
    /// platform last failed this node itself.
    pub fn extend_expiry_grace(&mut self, left: Duration, failed_at: Option<Moment>, now: Moment) {
        if failed_at.is_some_and(|at| now.since(at) < SAME_OUTAGE) {
            self.lapse_until = self.lapse_until.max(now + left.min(LAPSE_FOR));
        }
    }

    /// Returns how long rows that go may still have lapsed.
    pub fn remaining_expiry_grace(&self, now: Moment) -> Duration {
        self.lapse_until.since(now)
    }

    /// Takes those away whose rows lapsed and did not come back in time.
    pub fn drop_expired_rows(&mut self, now: Moment) -> Vec<DirectoryEvent> {
        if self.lapsed.is_empty() || now < self.lapse_until {
            return Vec::new();
        }
        let lapsed = std::mem::take(&mut self.lapsed);
        let ended = lapsed.into_iter();
        let events: Vec<_> =
            ended.filter_map(|(key, version)| self.remove(version, key, now)).collect();
        events
    }

    /// Takes in all changes of rows since a version that is known, up to `version`. What is not newer than what
    /// is known changes nothing.
    pub fn apply(
        &mut self,
        mut changes: Vec<ServerChange>,
        version: u64,
        now: Moment,
    ) -> Vec<DirectoryEvent> {
        // A server that is not known and not newer had gone before this directory began.
        changes.retain(|change| change.version() > self.newest_version);
        self.apply_all(changes, version, now)
    }

    /// Takes in what another box tells. `None` comes back if changes before those are missing here; nothing is
    /// changed then.
    pub fn apply_received(
        &mut self,
        told: ReceivedChanges,
        now: Moment,
    ) -> Option<Vec<DirectoryEvent>> {
        let ReceivedChanges { origin, from, to, changes } = told;
        if to <= self.newest_version {
            return Some(Vec::new());
        }
        let follows_on = match origin {
            // All changes since the beginning are what a box of an earlier version says of its first listing.
            ChangeOrigin::Feed => from > 0 && from <= self.newest_version,
            ChangeOrigin::Listing => from == self.newest_version,
        };
        if !follows_on {
            return None;
        }
        if origin == ChangeOrigin::Listing {
            self.complete_after = to;
        }
        Some(self.apply(changes, to, now))
    }

    /// Takes in what another box gave that knows the servers at `version`. What is older than what is known changes
    /// nothing.
    pub fn apply_update(
        &mut self,
        update: DirectoryUpdate,
        version: u64,
        now: Moment,
    ) -> Vec<DirectoryEvent> {
        match update {
            DirectoryUpdate::Changes(changes) => self.apply(changes, version, now),
            DirectoryUpdate::Full(rows) => self.replace(rows, version, now).unwrap_or_default(),
        }
    }

    /// Takes in all servers as of `version`. An older listing than what was seen changes nothing;
    /// then `None` comes back.
    pub fn replace(
        &mut self,
        servers: Vec<(u64, ServerEntry)>,
        version: u64,
        now: Moment,
    ) -> Option<Vec<DirectoryEvent>> {
        let rows = servers.into_iter().map(|(version, entry)| ServerChange::Set { version, entry });
        self.replace_with_rows(rows.collect(), version, now)
    }

    /// The same with all rows, among which some may name no server.
    pub fn replace_with_rows(
        &mut self,
        rows: Vec<ServerChange>,
        version: u64,
        now: Moment,
    ) -> Option<Vec<DirectoryEvent>> {
        if version < self.newest_version {
            return None;
        }
        // What came and went since the version that was known is not in the listing.
        self.complete_after = version;
        let listed: BTreeSet<&ServerKey> = rows.iter().map(ServerChange::key).collect();
        let mut changes: Vec<ServerChange> = self
            .servers
            .values()
            .filter(|known| !listed.contains(&known.entry.key) && known.version <= version)
            .map(|known| ServerChange::Removed { version, key: known.entry.key.clone() })
            .collect();
        changes.extend(rows);
        Some(self.apply_all(changes, version, now))
    }

    fn apply_all(
        &mut self,
        changes: Vec<ServerChange>,
        version: u64,
        now: Moment,
    ) -> Vec<DirectoryEvent> {
        let events: Vec<_> =
            changes.into_iter().flat_map(|change| self.apply_one(change, now)).collect();
        self.newest_version = self.newest_version.max(version);
        self.forget_gone(now);
        events
    }

    /// Forgets servers that left long ago; the record of changes reaches less far back then.
    fn forget_gone(&mut self, now: Moment) {
        let complete_after = &mut self.complete_after;
        self.gone.retain(|_, gone| {
            let keeps = now.since(gone.at) < GONE_FOR;
            if !keeps {
                *complete_after = (*complete_after).max(gone.version);
            }
            keeps
        });
    }

    /// Returns the changes behind `events`, as of `version`, and the rows that lapsed, for nodes that
    /// did not see the listing that brought them.
    pub fn changes_for(&self, events: &[DirectoryEvent], version: u64) -> Vec<ServerChange> {
        let change = |event: &DirectoryEvent| {
            let id = event.server();
            match self.servers.get(id) {
                Some(known) => {
                    Some(ServerChange::Set { version: known.version, entry: known.entry.clone() })
                }
                // One whose place a later run took is not gone for the others either: they are told of that.
                None => {
                    let mut gone = self.gone.iter();
                    let (key, _) = gone.find(|(_, gone)| gone.run.as_ref() == Some(id))?;
                    Some(ServerChange::Removed { version, key: key.clone() })
                }
            }
        };
        let gone = |(key, version): (&ServerKey, &u64)| ServerChange::Removed {
            version: *version,
            key: key.clone(),
        };
        events.iter().filter_map(change).chain(self.lapsed.iter().map(gone)).collect()
    }

    /// Returns what one that knows the servers up to version `after` lacks: the changes since then, or all
    /// servers where the record of changes does not reach back to it. Rows that lapsed are among those that went.
    pub fn update_since(&self, after: u64) -> DirectoryUpdate {
        if after < self.complete_after {
            let listed =
                self.servers.values().filter(|known| !self.lapsed.contains_key(&known.entry.key));
            return DirectoryUpdate::Full(
                listed.map(|known| (known.version, known.entry.clone())).collect(),
            );
        }
        let newer = self.servers.values().filter(|known| known.version > after);
        let set = newer
            .map(|known| ServerChange::Set { version: known.version, entry: known.entry.clone() });
        let went = self.gone.iter().map(|(key, gone)| (key, gone.version));
        let lapsed = self.lapsed.iter().map(|(key, version)| (key, *version));
        let gone = went.chain(lapsed).filter(|(_, version)| *version > after);
        let gone = gone.map(|(key, version)| ServerChange::Removed { version, key: key.clone() });
        DirectoryUpdate::Changes(set.chain(gone).collect())
    }

    fn apply_one(&mut self, change: ServerChange, now: Moment) -> Vec<DirectoryEvent> {
        let event = match change {
            ServerChange::Set { version, entry } => return self.set(version, entry, now),
            ServerChange::Removed { version, key } => self.remove(version, key, now),
            ServerChange::Unusable { version, key, .. } => self.take_away(version, key, now),
        };
        event.into_iter().collect()
    }

    fn set(&mut self, version: u64, entry: ServerEntry, now: Moment) -> Vec<DirectoryEvent> {
        if self.is_older(version, &entry) {
            return Vec::new();
        }
        self.lapsed.remove(&entry.key);
        let gone = self.gone.remove(&entry.key);
        let before = self.runs.get(&entry.key).and_then(|run| self.servers.get(run)).cloned();
        let (id, key) = (entry.id.clone(), entry.key.clone());
        let known = match &before {
            Some(same) if same.entry.id == id => self.next(same, version, entry, now),
            _ => {
                let earlier = before.as_ref().map(|before| before.entry.id.clone());
                let earlier = earlier.or(gone.as_ref().and_then(|gone| gone.run.clone()));
                let comes_back = earlier.as_ref() == Some(&id);
                let first_learned_at = if comes_back { Moment::default() } else { now };
                let replaces = earlier.filter(|_| !comes_back);
                self.first(version, entry, now, first_learned_at, replaces)
            }
        };
        let drained_before = before
            .as_ref()
            .is_some_and(|before| before.entry.id == id && before.draining_since.is_some());
        let event = match &before {
            _ if known.draining_since.is_some() && !drained_before => {
                DirectoryEvent::Draining(id.clone())
            }
            Some(before) if before.entry.id == id => DirectoryEvent::Changed(id.clone()),
            _ => DirectoryEvent::Joined(id.clone()),
        };
        let known = Arc::new(known);
        self.index.replace(before.as_ref(), Some(&known));
        self.servers.insert(id.clone(), known);
        let ended = self.runs.insert(key, id.clone()).filter(|run| *run != id);
        let ended = ended.inspect(|run| _ = self.servers.remove(run)).map(DirectoryEvent::Left);
        ended.into_iter().chain([event]).collect()
    }

    /// Returns whether an entry is not newer than what is known. A server that went comes back only by a row that is
    /// newer than its going: the platform may have lost it for a while. What an earlier run wrote may come last.
    fn is_older(&self, version: u64, entry: &ServerEntry) -> bool {
        let known = self.runs.get(&entry.key).and_then(|run| self.servers.get(run));
        let gone = self.gone.get(&entry.key);
        let lapsed_at = self.lapsed.get(&entry.key).copied().unwrap_or(0);
        known.is_some_and(|known| known.version >= version)
            || gone.is_some_and(|gone| gone.version >= version)
            || lapsed_at >= version.max(1)
            || known.is_some_and(|known| entry.is_from_earlier_incarnation(known.entry.started))
            || gone.is_some_and(|gone| entry.is_from_earlier_incarnation(gone.started))
    }

    /// Returns a run of which the node knew nothing before.
    fn first(
        &mut self,
        version: u64,
        entry: ServerEntry,
        now: Moment,
        first_learned_at: Moment,
        replaces: Option<BackendId>,
    ) -> KnownServer {
        // A server begins empty, so one that is new here and holds models was missing from the list.
        if !entry.models.is_empty() {
            self.found_at = Some(now);
        }
        let drains = entry.state != ServerState::Ready;
        KnownServer {
            version,
            learned_at: now,
            first_learned_at,
            draining_since: drains.then_some(now),
            may_drain_since: drains.then_some(self.heard_at),
            was_ready: !drains,
            replaces,
            entry,
        }
    }

    /// Returns a run by its next entry.
    fn next(
        &self,
        before: &KnownServer,
        version: u64,
        entry: ServerEntry,
        now: Moment,
    ) -> KnownServer {
        let drains = entry.state != ServerState::Ready;
        KnownServer {
            version,
            learned_at: now,
            first_learned_at: before.first_learned_at,
            draining_since: drains.then(|| before.draining_since.unwrap_or(now)),
            may_drain_since: drains.then(|| before.may_drain_since.unwrap_or(self.heard_at)),
            was_ready: !drains || before.was_ready,
            replaces: before.replaces.clone(),
            entry,
        }
    }

    fn remove(&mut self, version: u64, key: ServerKey, now: Moment) -> Option<DirectoryEvent> {
        let known = self.runs.get(&key).and_then(|run| self.servers.get(run));
        if known.is_some_and(|known| known.version > version) {
            return None;
        }
        if now < self.lapse_until && known.is_some_and(|known| known.is_ready()) {
            self.lapsed.insert(key, version);
            return None;
        }
        self.take_away(version, key, now)
    }

    fn take_away(&mut self, version: u64, key: ServerKey, now: Moment) -> Option<DirectoryEvent> {
        let known = self.runs.get(&key).and_then(|run| self.servers.get(run));
        if known.is_some_and(|known| known.version > version) {
            return None;
        }
        self.lapsed.remove(&key);
        let run = self.runs.remove(&key);
        let known = run.as_ref().and_then(|run| self.servers.remove(run));
        self.index.replace(known.as_ref(), None);
        let before = self.gone.get(&key);
        let gone = GoneServer {
            version: before.map_or(version, |before| before.version.max(version)),
            at: before.map_or(now, |before| before.at),
            started: known
                .as_ref()
                .map_or(before.and_then(|before| before.started), |known| known.entry.started),
            run: run.clone().or(before.and_then(|before| before.run.clone())),
        };
        self.gone.insert(key, gone);
        known.and(run).map(DirectoryEvent::Left)
    }
}
