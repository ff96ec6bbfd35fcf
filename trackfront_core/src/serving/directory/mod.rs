//! The servers that the box knows, from the platform's table.
//!
//! Answers of the table can be late, so every change carries a version, and the known version never
//! decreases. A listing older than what is already known is ignored. A restoration of the table
//! starts an era, whose versions are newer than all before ([`restoration`]).
//!
//! A directory at a version has exactly the servers that the table had at that version. It moves to
//! a later version only by all changes in between or by a full listing, and it answers with changes
//! only as far back as its own history reaches: a listing says which rows exist, not which were
//! removed before. A box that reported its first listing as the complete changes since the
//! beginning left other boxes with removed servers for as long as those boxes ran.

mod change;
mod entry;
mod expiry;
mod index;
mod restoration;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

pub use change::{ChangeOrigin, DirectoryEvent, DirectoryUpdate, ReceivedChanges, ServerChange};
pub use entry::{KnownServer, ResidentModel, Residents, ServerEntry, ServerState};

use expiry::{ExpiredRow, ExpiryCause};
use index::ServerIndex;

use crate::ids::{BackendId, ModelName, ServerKey, ServiceName};
use crate::store_version::StoreVersion;
use crate::units::Moment;

/// How long a removed server is remembered, so that a late row cannot bring it back.
const REMOVED_RETENTION: Duration = Duration::from_secs(120);

/// The number of heartbeats for which the list may be incomplete after a server was found that held
/// models before the box knew of it: each server writes its row once per heartbeat.
const INCOMPLETE_HEARTBEATS: u32 = 2;

/// The servers that the box knows.
#[derive(Debug)]
pub struct Directory {
    /// The interval at which a server writes its row.
    heartbeat: Duration,
    servers: HashMap<BackendId, Arc<KnownServer>>,
    /// The current incarnation of each row key.
    incarnations: HashMap<ServerKey, BackendId>,
    /// The servers that may be chosen.
    index: ServerIndex,
    removed: HashMap<ServerKey, RemovedServer>,
    /// The newest version that any answer carried.
    newest_version: StoreVersion,
    /// The version after which all changes are known.
    complete_after: StoreVersion,
    /// When the list was last known to be current.
    confirmed_at: Moment,
    /// When a server was last found that held models before the box knew of it.
    loaded_server_found_at: Option<Moment>,
    /// Until when a removed row may merely have expired during an outage of the platform.
    expiry_grace_until: Moment,
    /// Ready servers that are kept for a while although they have no row.
    expired: HashMap<ServerKey, ExpiredRow>,
    /// Until when rows may be older than what the box knows, since the table was restored.
    restored_until: Moment,
    /// When the servers have to be listed again after a restoration.
    relist_at: Option<Moment>,
}

/// A server whose row was removed.
#[derive(Clone, Debug)]
struct RemovedServer {
    /// The version of the removal.
    version: StoreVersion,
    /// When this box learned of the removal.
    learned_at: Moment,
    /// The last incarnation, if one was known.
    incarnation: Option<BackendId>,
    /// The start time of that incarnation.
    started: Option<u64>,
}

impl Directory {
    /// Creates an empty directory of servers that write their rows once per `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            servers: HashMap::new(),
            incarnations: HashMap::new(),
            index: ServerIndex::default(),
            removed: HashMap::new(),
            newest_version: StoreVersion::ZERO,
            complete_after: StoreVersion::ZERO,
            confirmed_at: Moment::default(),
            loaded_server_found_at: None,
            expiry_grace_until: Moment::default(),
            expired: HashMap::new(),
            restored_until: Moment::default(),
            relist_at: None,
        }
    }

    /// Returns the newest version that any answer carried.
    pub fn newest_version(&self) -> StoreVersion {
        self.newest_version
    }

    /// Records that the list is current, by an answer of the platform or of a box that has one.
    pub fn confirm_current(&mut self, now: Moment) {
        self.confirmed_at = self.confirmed_at.max(now);
    }

    /// Returns a server by its identifier.
    pub fn get(&self, id: &BackendId) -> Option<&Arc<KnownServer>> {
        self.servers.get(id)
    }

    /// Returns the servers of a service, ordered by identifier.
    pub fn of_service(&self, service: &ServiceName) -> &[Arc<KnownServer>] {
        self.index.of_service(service)
    }

    /// Returns the servers whose rows report that they hold a model, ordered by identifier.
    pub fn holding(&self, model: &ModelName) -> &[Arc<KnownServer>] {
        self.index.holding(model)
    }

    /// Returns all servers, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &Arc<KnownServer>> {
        self.servers.values()
    }

    /// Returns whether the list may lack servers that hold models: at the start of the system and
    /// while expired rows are being rewritten. A model that no listed server holds may then be held
    /// by an unlisted one.
    pub fn may_be_incomplete(&self, now: Moment) -> bool {
        self.loaded_server_found_at
            .is_some_and(|at| now.since(at) < self.heartbeat * INCOMPLETE_HEARTBEATS)
    }

    /// Applies all changes of rows from a known version up to `version`. Changes that are not newer
    /// than what is known are ignored.
    pub fn apply(
        &mut self,
        mut changes: Vec<ServerChange>,
        version: StoreVersion,
        now: Moment,
    ) -> Vec<DirectoryEvent> {
        self.enter_era(version, now);
        // A server that is unknown and not newer was removed before this directory began.
        changes.retain(|change| change.version() > self.newest_version);
        self.apply_all(changes, version, now)
    }

    /// Applies changes that another box sent. Returns `None` and changes nothing if earlier changes
    /// are missing here.
    pub fn apply_received(
        &mut self,
        received: ReceivedChanges,
        now: Moment,
    ) -> Option<Vec<DirectoryEvent>> {
        let ReceivedChanges { origin, from, to, changes } = received;
        if to <= self.newest_version {
            return Some(Vec::new());
        }
        let follows_on = match origin {
            // A box of an earlier release sends its first listing as all changes since version 0.
            ChangeOrigin::Feed => from > StoreVersion::ZERO && from <= self.newest_version,
            ChangeOrigin::Listing => from == self.newest_version,
        };
        if !follows_on {
            return None;
        }
        if origin == ChangeOrigin::Listing {
            self.complete_after = to;
            return Some(self.apply_listed(changes, to, now));
        }
        Some(self.apply(changes, to, now))
    }

    /// Applies an update from a box that knows the servers at `version`. An update older than what
    /// is known is ignored.
    pub fn apply_update(
        &mut self,
        update: DirectoryUpdate,
        version: StoreVersion,
        now: Moment,
    ) -> Vec<DirectoryEvent> {
        match update {
            DirectoryUpdate::Changes(changes) => self.apply(changes, version, now),
            DirectoryUpdate::Full(rows) => self.replace(rows, version, now).unwrap_or_default(),
        }
    }

    /// Replaces all servers by those of a listing at `version`. Returns `None` and changes nothing
    /// if the listing is older than what is known.
    pub fn replace(
        &mut self,
        servers: Vec<(StoreVersion, ServerEntry)>,
        version: StoreVersion,
        now: Moment,
    ) -> Option<Vec<DirectoryEvent>> {
        let rows = servers.into_iter().map(|(version, entry)| ServerChange::Set { version, entry });
        self.replace_with_rows(rows.collect(), version, now)
    }

    /// Like [`Directory::replace`], for listings that may contain unusable rows.
    pub fn replace_with_rows(
        &mut self,
        rows: Vec<ServerChange>,
        version: StoreVersion,
        now: Moment,
    ) -> Option<Vec<DirectoryEvent>> {
        if version < self.newest_version {
            return None;
        }
        // The listing lacks rows that were both added and removed since the last known version.
        self.complete_after = version;
        let listed: BTreeSet<&ServerKey> = rows.iter().map(ServerChange::key).collect();
        let mut changes: Vec<ServerChange> = self
            .servers
            .values()
            .filter(|known| !listed.contains(&known.entry.key) && known.version <= version)
            .map(|known| ServerChange::Removed { version, key: known.entry.key.clone() })
            .collect();
        changes.extend(rows);
        Some(self.apply_listed(changes, version, now))
    }

    /// Applies the differences to a listing at `version`. After a restoration, the copy may lack
    /// the rows of live servers.
    fn apply_listed(
        &mut self,
        mut changes: Vec<ServerChange>,
        version: StoreVersion,
        now: Moment,
    ) -> Vec<DirectoryEvent> {
        if version.era() > self.newest_version.era() {
            self.enter_era(version, now);
            changes.retain(|change| !self.keeps_without_row(change, now));
        }
        self.apply_all(changes, version, now)
    }

    fn apply_all(
        &mut self,
        changes: Vec<ServerChange>,
        version: StoreVersion,
        now: Moment,
    ) -> Vec<DirectoryEvent> {
        let events: Vec<_> =
            changes.into_iter().flat_map(|change| self.apply_one(change, now)).collect();
        self.newest_version = self.newest_version.max(version);
        self.forget_removed(now);
        events
    }

    /// Forgets servers that were removed long ago, which shortens the history of changes.
    fn forget_removed(&mut self, now: Moment) {
        let complete_after = &mut self.complete_after;
        self.removed.retain(|_, removed| {
            let keeps = now.since(removed.learned_at) < REMOVED_RETENTION;
            if !keeps {
                *complete_after = (*complete_after).max(removed.version);
            }
            keeps
        });
    }

    /// Returns the changes behind `events` as of `version`, and the expired rows, for boxes that
    /// did not see the listing that led to these events.
    pub fn changes_for(
        &self,
        events: &[DirectoryEvent],
        version: StoreVersion,
    ) -> Vec<ServerChange> {
        let change = |event: &DirectoryEvent| {
            let id = event.server();
            match self.servers.get(id) {
                Some(known) => {
                    Some(ServerChange::Set { version: known.version, entry: known.entry.clone() })
                }
                // An incarnation that a later one replaced needs no change of its own: the row of
                // the later one replaces it on the other boxes too.
                None => {
                    let mut removed = self.removed.iter();
                    let (key, _) =
                        removed.find(|(_, removed)| removed.incarnation.as_ref() == Some(id))?;
                    Some(ServerChange::Removed { version, key: key.clone() })
                }
            }
        };
        let gone = |(key, row): (&ServerKey, &ExpiredRow)| ServerChange::Removed {
            version: row.version,
            key: key.clone(),
        };
        events.iter().filter_map(change).chain(self.expired.iter().map(gone)).collect()
    }

    /// Returns what a box that knows the servers up to version `after` lacks: the changes since
    /// then, or all servers if the history does not reach back that far. Expired rows count as
    /// removed.
    pub fn update_since(&self, after: StoreVersion) -> DirectoryUpdate {
        if after < self.complete_after {
            let listed =
                self.servers.values().filter(|known| !self.expired.contains_key(&known.entry.key));
            return DirectoryUpdate::Full(
                listed.map(|known| (known.version, known.entry.clone())).collect(),
            );
        }
        let newer = self.servers.values().filter(|known| known.version > after);
        let set = newer
            .map(|known| ServerChange::Set { version: known.version, entry: known.entry.clone() });
        let removed = self.removed.iter().map(|(key, removed)| (key, removed.version));
        let expired = self.expired.iter().map(|(key, row)| (key, row.version));
        let gone = removed.chain(expired).filter(|(_, version)| *version > after);
        let gone = gone.map(|(key, version)| ServerChange::Removed { version, key: key.clone() });
        DirectoryUpdate::Changes(set.chain(gone).collect())
    }

    fn apply_one(&mut self, change: ServerChange, now: Moment) -> Vec<DirectoryEvent> {
        let event = match change {
            ServerChange::Set { version, entry } => return self.set(version, entry, now),
            ServerChange::Removed { version, key } => self.remove(version, key, now),
            ServerChange::Unusable { version, key, .. } => self.remove_now(version, key, now),
        };
        event.into_iter().collect()
    }

    fn set(
        &mut self,
        version: StoreVersion,
        entry: ServerEntry,
        now: Moment,
    ) -> Vec<DirectoryEvent> {
        if self.is_stale(version, &entry) || self.may_have_left(version, &entry, now) {
            return Vec::new();
        }
        self.expired.remove(&entry.key);
        let removed = self.removed.remove(&entry.key);
        let before = self.incarnations.get(&entry.key).and_then(|id| self.servers.get(id)).cloned();
        let (id, key) = (entry.id.clone(), entry.key.clone());
        let same = before.as_ref().filter(|before| before.entry.id == id);
        let entry = match same {
            Some(same) => restoration::newer_entry(same, version, entry),
            None => entry,
        };
        if let Some(same) = same.filter(|same| same.version.era() < version.era())
            && same.entry == entry
        {
            // Only the era has changed; an event for each server of a fleet would say nothing.
            return Vec::new();
        }
        let known = match &before {
            Some(same) if same.entry.id == id => self.updated(same, version, entry, now),
            _ => {
                let earlier = before.as_ref().map(|before| before.entry.id.clone());
                let earlier =
                    earlier.or(removed.as_ref().and_then(|removed| removed.incarnation.clone()));
                let returns = earlier.as_ref() == Some(&id);
                let first_learned_at = if returns { Moment::default() } else { now };
                let replaces = earlier.filter(|_| !returns);
                self.discovered(version, entry, now, first_learned_at, replaces)
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
        let ended = self.incarnations.insert(key, id.clone()).filter(|ended| *ended != id);
        let ended = ended.inspect(|ended| _ = self.servers.remove(ended)).map(DirectoryEvent::Left);
        ended.into_iter().chain([event]).collect()
    }

    /// Returns whether an entry is not newer than what is known. A removed server returns only by a
    /// row newer than its removal, as the platform may have lost the row for a while. A row of an
    /// earlier incarnation may arrive last.
    fn is_stale(&self, version: StoreVersion, entry: &ServerEntry) -> bool {
        let known = self.incarnations.get(&entry.key).and_then(|id| self.servers.get(id));
        let removed = self.removed.get(&entry.key);
        let expired_at = self.expired.get(&entry.key).map(|row| row.version).unwrap_or_default();
        known.is_some_and(|known| known.version >= version)
            || removed.is_some_and(|removed| removed.version >= version)
            || expired_at >= version.max(StoreVersion::from(1))
            || known.is_some_and(|known| entry.is_from_earlier_incarnation(known.entry.started))
            || removed.is_some_and(|removed| entry.is_from_earlier_incarnation(removed.started))
    }

    /// Returns the record of an incarnation that the box did not know.
    fn discovered(
        &mut self,
        version: StoreVersion,
        entry: ServerEntry,
        now: Moment,
        first_learned_at: Moment,
        replaces: Option<BackendId>,
    ) -> KnownServer {
        // A server starts empty, so an unknown one that holds models was missing from the list.
        if !entry.models.is_empty() {
            self.loaded_server_found_at = Some(now);
        }
        let drains = entry.state != ServerState::Ready;
        KnownServer {
            version,
            learned_at: now,
            first_learned_at,
            draining_since: drains.then_some(now),
            may_drain_since: drains.then_some(self.confirmed_at),
            was_ready: !drains,
            replaces,
            entry,
        }
    }

    /// Returns the record of a known incarnation with its next entry.
    fn updated(
        &self,
        before: &KnownServer,
        version: StoreVersion,
        entry: ServerEntry,
        now: Moment,
    ) -> KnownServer {
        let drains = entry.state != ServerState::Ready;
        KnownServer {
            version,
            learned_at: now,
            first_learned_at: before.first_learned_at,
            draining_since: drains.then(|| before.draining_since.unwrap_or(now)),
            may_drain_since: drains.then(|| before.may_drain_since.unwrap_or(self.confirmed_at)),
            was_ready: !drains || before.was_ready,
            replaces: before.replaces.clone(),
            entry,
        }
    }

    /// Removes a server, or marks its row as expired if the grace period lasts.
    fn remove(
        &mut self,
        version: StoreVersion,
        key: ServerKey,
        now: Moment,
    ) -> Option<DirectoryEvent> {
        let known = self.incarnations.get(&key).and_then(|id| self.servers.get(id));
        if known.is_some_and(|known| known.version > version) {
            return None;
        }
        if now < self.expiry_grace_until && known.is_some_and(|known| known.is_ready()) {
            self.expired.insert(key, ExpiredRow { version, cause: ExpiryCause::Outage });
            return None;
        }
        self.remove_now(version, key, now)
    }

    fn remove_now(
        &mut self,
        version: StoreVersion,
        key: ServerKey,
        now: Moment,
    ) -> Option<DirectoryEvent> {
        let known = self.incarnations.get(&key).and_then(|id| self.servers.get(id));
        if known.is_some_and(|known| known.version > version) {
            return None;
        }
        self.expired.remove(&key);
        let id = self.incarnations.remove(&key);
        let known = id.as_ref().and_then(|id| self.servers.remove(id));
        self.index.replace(known.as_ref(), None);
        let before = self.removed.get(&key);
        let removed = RemovedServer {
            version: before.map_or(version, |before| before.version.max(version)),
            learned_at: before.map_or(now, |before| before.learned_at),
            started: known
                .as_ref()
                .map_or(before.and_then(|before| before.started), |known| known.entry.started),
            incarnation: id.clone().or(before.and_then(|before| before.incarnation.clone())),
        };
        self.removed.insert(key, removed);
        known.and(id).map(DirectoryEvent::Left)
    }
}
