//! What the box keeps of its list when the table was restored from a copy.
//!
//! The copy lacks the latest changes, and servers write theirs again within a few heartbeats. Until
//! then a row of the copy may be older than what the box knows: the server has left since, drains,
//! or has executed more orders. Requests and orders by such a row would break promises that the box
//! has kept so far, so the box keeps its own knowledge for a bounded time.

use std::sync::Arc;
use std::time::Duration;

use super::expiry::{EXPIRY_GRACE, ExpiredRow, ExpiryCause};
use super::{Directory, KnownServer, ServerChange, ServerEntry, ServerState};
use crate::store_version::StoreVersion;
use crate::units::Moment;

/// The number of heartbeats within which servers have written again what the copy lacks, and rows
/// of the copy whose servers are gone have expired.
const REWRITE_HEARTBEATS: u32 = 4;

/// The time after this grace period until the servers are listed again, by which it has ended on
/// the other boxes as well.
const RELIST_DELAY: Duration = Duration::from_millis(1_500);

impl Directory {
    /// Starts the grace period if `version` is of a later era than the list.
    pub(super) fn enter_era(&mut self, version: StoreVersion, now: Moment) {
        let known = self.newest_version;
        if known == StoreVersion::ZERO || version.era() <= known.era() {
            return;
        }
        let grace = (self.heartbeat * REWRITE_HEARTBEATS).max(EXPIRY_GRACE);
        self.restored_until = now + grace;
        self.relist_at = Some(self.restored_until + RELIST_DELAY);
    }

    /// Returns whether a ready server stays for the grace period although a listing lacks its row:
    /// its row is newer than the copy, if it is newer than the listing. Otherwise, the row was removed
    /// before the copy, or the server writes it again soon.
    pub(super) fn keeps_without_row(&mut self, change: &ServerChange, now: Moment) -> bool {
        let ServerChange::Removed { version, key } = change else {
            return false;
        };
        let known = self.incarnations.get(key).and_then(|id| self.servers.get(id));
        let is_newer_than_copy = |known: &&Arc<KnownServer>| {
            known.is_ready() && known.version.number() > version.number()
        };
        let keeps =
            now < self.restored_until && known.is_some_and(|known| is_newer_than_copy(&known));
        if keeps {
            let row = ExpiredRow { version: *version, cause: ExpiryCause::Restoration };
            self.expired.insert(key.clone(), row);
        }
        keeps
    }

    /// Returns whether the servers have to be listed again, since rows were ignored in the grace
    /// period. Returns `true` once for each restoration.
    pub fn take_relisting(&mut self, now: Moment) -> bool {
        self.relist_at.take_if(|at| now >= *at).is_some()
    }

    /// Returns whether a row may be one that the copy has of a server which the box knew to have
    /// left, or of an incarnation that it knew to be replaced.
    pub(super) fn may_have_left(
        &self,
        version: StoreVersion,
        entry: &ServerEntry,
        now: Moment,
    ) -> bool {
        if now >= self.restored_until {
            return false;
        }
        let known = self.incarnations.get(&entry.key).and_then(|id| self.servers.get(id));
        let is_replaced = known.is_some_and(|known| {
            known.replaces.as_ref() == Some(&entry.id) && version.may_precede(known.version)
        });
        let has_left = self.removed.get(&entry.key).is_some_and(|removed| {
            removed.incarnation.as_ref() == Some(&entry.id) && version.may_precede(removed.version)
        });
        is_replaced || has_left
    }
}

/// Returns the newer of a known entry and that of a row of the same incarnation, which may be older
/// although its era is later. An incarnation that drains stays so, and its orders only grow in
/// number.
pub(super) fn newer_entry(
    known: &KnownServer,
    version: StoreVersion,
    entry: ServerEntry,
) -> ServerEntry {
    if !version.may_precede(known.version) {
        return entry;
    }
    if entry.sequence < known.entry.sequence {
        let state = if entry.state == ServerState::Ready { known.entry.state } else { entry.state };
        return ServerEntry { state, ..known.entry.clone() };
    }
    match entry.state {
        ServerState::Ready => ServerEntry { state: known.entry.state, ..entry },
        ServerState::Draining { .. } => entry,
    }
}
