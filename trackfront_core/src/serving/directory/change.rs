//! Changes of servers, as the platform's feed delivers them and boxes exchange them.

use serde::{Deserialize, Serialize};

use super::entry::ServerEntry;
use crate::ids::{BackendId, ServerKey};
use crate::store_version::StoreVersion;

/// A change of one row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerChange {
    /// The row was added or updated.
    Set {
        /// The version of the row.
        version: StoreVersion,
        /// The server's new entry.
        entry: ServerEntry,
    },
    /// The row was removed.
    Removed {
        /// The version of the removal.
        version: StoreVersion,
        /// The key of the row.
        key: ServerKey,
    },
    /// The row names no usable server, because another writer than that server wrote it.
    Unusable {
        /// The version of the row.
        version: StoreVersion,
        /// The key of the row.
        key: ServerKey,
        /// The fault, on the box that read the row; it isn't sent to others.
        #[serde(skip)]
        error: String,
    },
}

impl ServerChange {
    /// Returns the key of the row.
    pub fn key(&self) -> &ServerKey {
        match self {
            ServerChange::Set { entry, .. } => &entry.key,
            ServerChange::Removed { key, .. } | ServerChange::Unusable { key, .. } => key,
        }
    }

    /// Returns the version of the change.
    pub fn version(&self) -> StoreVersion {
        match self {
            ServerChange::Set { version, .. }
            | ServerChange::Removed { version, .. }
            | ServerChange::Unusable { version, .. } => *version,
        }
    }
}

/// An update from one directory to another that knows the servers up to an earlier version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryUpdate {
    /// All changes after that version.
    Changes(Vec<ServerChange>),
    /// All servers with the versions of their rows, sent if the changes since that version are not
    /// all known.
    Full(Vec<(StoreVersion, ServerEntry)>),
}

/// The effect of a change on the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryEvent {
    /// A server is new.
    Joined(BackendId),
    /// The entry of a known server changed.
    Changed(BackendId),
    /// A server began to drain.
    Draining(BackendId),
    /// A server left.
    Left(BackendId),
}

impl DirectoryEvent {
    /// Returns the server concerned.
    pub fn server(&self) -> &BackendId {
        match self {
            DirectoryEvent::Joined(id)
            | DirectoryEvent::Changed(id)
            | DirectoryEvent::Draining(id)
            | DirectoryEvent::Left(id) => id,
        }
    }
}

/// How a box learned of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOrigin {
    /// From the feed: they are complete.
    Feed,
    /// From a comparison with a listing: rows that were added and removed in between are missing,
    /// so the changes apply only to a directory at exactly the version after which they begin.
    Listing,
}

/// The changes between two versions, as boxes exchange them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedChanges {
    /// How the sender learned of them.
    pub origin: ChangeOrigin,
    /// The version after which the changes begin.
    pub from: StoreVersion,
    /// The version up to which the changes reach.
    pub to: StoreVersion,
    /// The changes.
    pub changes: Vec<ServerChange>,
}

impl ReceivedChanges {
    /// Returns a message without changes, which says that `version` is the newest. A receiver at an
    /// earlier version learns from it that it lacks changes.
    pub fn empty(version: StoreVersion) -> Self {
        Self { origin: ChangeOrigin::Feed, from: version, to: version, changes: Vec::new() }
    }

    /// Returns the message for changes found by a listing: all of them if they fit into one message
    /// of fewer than `max_changes`, otherwise only the new version. A box whose first listing this
    /// is (`from` is 0) doesn't know the changes.
    pub fn from_listing(
        from: StoreVersion,
        to: StoreVersion,
        changes: Vec<ServerChange>,
        max_changes: usize,
    ) -> Self {
        match from > StoreVersion::ZERO && changes.len() < max_changes {
            true => Self { origin: ChangeOrigin::Listing, from, to, changes },
            false => Self::empty(to),
        }
    }

    /// Splits the changes into consecutive messages of about `max_changes` each. Changes of one
    /// version stay together, so a receiver of a message knows everything up to the version at its
    /// end, and a later message reveals that an earlier one was lost.
    pub fn into_messages(self, max_changes: usize) -> Vec<ReceivedChanges> {
        let ReceivedChanges { origin, from, to, mut changes } = self;
        if origin == ChangeOrigin::Listing {
            return vec![ReceivedChanges { origin, from, to, changes }];
        }
        changes.sort_by_key(ServerChange::version);
        let mut messages = Vec::new();
        let mut begin = from;
        loop {
            let rest = split_off_rest(&mut changes, max_changes);
            let last = changes.last().map_or(to, ServerChange::version);
            let end = if rest.is_empty() { to } else { last.clamp(begin, to) };
            messages.push(ReceivedChanges { origin, from: begin, to: end, changes });
            if rest.is_empty() {
                return messages;
            }
            (begin, changes) = (end, rest);
        }
    }
}

/// Splits off the changes beyond `max_changes`, except those with the version of the last one kept.
fn split_off_rest(changes: &mut Vec<ServerChange>, max_changes: usize) -> Vec<ServerChange> {
    let Some(last) = changes.get(max_changes - 1).map(ServerChange::version) else {
        return Vec::new();
    };
    let end = changes.iter().position(|change| change.version() > last);
    changes.split_off(end.unwrap_or(changes.len()))
}
