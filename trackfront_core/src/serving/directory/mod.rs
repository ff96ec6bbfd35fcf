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

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

pub use change::{Basis, DirectoryEvent, ServerChange, ToldChanges, Update};
pub use entry::{KnownServer, ResidentModel, Residents, ServerEntry, ServerState};

use crate::ids::{BackendId, ServiceName};
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
    by_service: HashMap<ServiceName, Vec<Arc<KnownServer>>>,
    /// Servers that left: the version at which they went, and when it was learned.
    gone: HashMap<BackendId, (u64, Moment)>,
    /// The newest version that any answer named.
    newest: u64,
    /// The version after which all changes are known.
    complete_after: u64,
    /// When the list was last known to be the newest.
    heard_at: Moment,
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
            complete_after: 0,
            heard_at: Moment::default(),
            found_at: None,
            lapse_until: Moment::default(),
            lapsed: HashMap::new(),
        }
    }

    /// Returns the newest version that any answer named.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Notes that the list is the newest, by an answer of the platform or the word of one that had it.
    pub fn heard(&mut self, now: Moment) {
        self.heard_at = self.heard_at.max(now);
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

    /// Takes in all changes of rows since a version that is known, up to `version`. What is not newer than what
    /// is known changes nothing.
    pub fn apply(
        &mut self,
        mut changes: Vec<ServerChange>,
        version: u64,
        now: Moment,
    ) -> Vec<DirectoryEvent> {
        // A server that is not known and not newer had gone before this directory began.
        changes.retain(|change| change.version() > self.newest);
        self.apply_all(changes, version, now)
    }

    /// Takes in what another box tells. `None` comes back if changes before those are missing here; nothing is
    /// changed then.
    pub fn told(&mut self, told: ToldChanges, now: Moment) -> Option<Vec<DirectoryEvent>> {
        let ToldChanges { basis, from, to, changes } = told;
        if to <= self.newest {
            return Some(Vec::new());
        }
        let follows_on = match basis {
            // All changes since the beginning are what a box of an earlier version says of its first listing.
            Basis::Feed => from > 0 && from <= self.newest,
            Basis::Listing => from == self.newest,
        };
        if !follows_on {
            return None;
        }
        if basis == Basis::Listing {
            self.complete_after = to;
        }
        Some(self.apply(changes, to, now))
    }

    /// Takes in what another box gave that knows the servers at `version`. What is older than what is known changes
    /// nothing.
    pub fn update(&mut self, update: Update, version: u64, now: Moment) -> Vec<DirectoryEvent> {
        match update {
            Update::Changes(changes) => self.apply(changes, version, now),
            Update::Whole(rows) => self.replace(rows, version, now).unwrap_or_default(),
        }
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
        // What came and went since the version that was known is not in the listing.
        self.complete_after = version;
        let listed: BTreeSet<BackendId> = rows.iter().map(|(_, entry)| entry.id.clone()).collect();
        let mut changes: Vec<ServerChange> = self
            .servers
            .values()
            .filter(|known| !listed.contains(&known.entry.id) && known.version <= version)
            .map(|known| ServerChange::Gone { version, id: known.entry.id.clone() })
            .collect();
        changes
            .extend(rows.into_iter().map(|(version, entry)| ServerChange::Set { version, entry }));
        Some(self.apply_all(changes, version, now))
    }

    fn apply_all(
        &mut self,
        changes: Vec<ServerChange>,
        version: u64,
        now: Moment,
    ) -> Vec<DirectoryEvent> {
        let events: Vec<_> =
            changes.into_iter().filter_map(|change| self.apply_one(change, now)).collect();
        self.newest = self.newest.max(version);
        self.forget_gone(now);
        if !events.is_empty() {
            self.index();
        }
        events
    }

    /// Forgets servers that left long ago; the record of changes reaches less far back then.
    fn forget_gone(&mut self, now: Moment) {
        let complete_after = &mut self.complete_after;
        self.gone.retain(|_, (version, at)| {
            let keeps = now.since(*at) < GONE_FOR;
            if !keeps {
                *complete_after = (*complete_after).max(*version);
            }
            keeps
        });
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

    /// Returns what one that knows the servers up to version `after` lacks: the changes since then, or all
    /// servers where the record of changes does not reach back to it. Rows that lapsed are among those that went.
    pub fn since(&self, after: u64) -> Update {
        if after < self.complete_after {
            let listed =
                self.servers.values().filter(|known| !self.lapsed.contains_key(&known.entry.id));
            return Update::Whole(
                listed.map(|known| (known.version, known.entry.clone())).collect(),
            );
        }
        let newer = self.servers.values().filter(|known| known.version > after);
        let set = newer
            .map(|known| ServerChange::Set { version: known.version, entry: known.entry.clone() });
        let went = self.gone.iter().map(|(id, (version, _))| (id, *version));
        let lapsed = self.lapsed.iter().map(|(id, version)| (id, *version));
        let gone = went.chain(lapsed).filter(|(_, version)| *version > after);
        let gone = gone.map(|(id, version)| ServerChange::Gone { version, id: id.clone() });
        Update::Changes(set.chain(gone).collect())
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
        let may_have = before.and_then(|known| known.may_drain_since);
        let may_drain_since = drains.then(|| may_have.unwrap_or(self.heard_at));
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
        let known = KnownServer {
            entry,
            version,
            learned: now,
            first_learned,
            draining_since,
            may_drain_since,
            was_ready,
        };
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
