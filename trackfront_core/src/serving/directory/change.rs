//! Changes of the servers, as the platform's feed brings them and boxes tell each other.

use serde::{Deserialize, Serialize};

use super::entry::ServerEntry;
use crate::ids::{BackendId, ServerKey};

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
    Removed {
        /// The version at which it went.
        version: u64,
        /// The key of the row.
        key: ServerKey,
    },
    /// The row was written by another than its server: it names none to use.
    Unusable {
        /// The version of the row.
        version: u64,
        /// The key of the row.
        key: ServerKey,
        /// What is wrong with it, at whoever read it.
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
    pub fn version(&self) -> u64 {
        match self {
            ServerChange::Set { version, .. }
            | ServerChange::Removed { version, .. }
            | ServerChange::Unusable { version, .. } => *version,
        }
    }
}

/// What one directory hands to another that knows the servers up to an earlier version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryUpdate {
    /// All changes after that version.
    Changes(Vec<ServerChange>),
    /// All servers, with the versions of their rows, since not all changes after that version are known.
    Full(Vec<(u64, ServerEntry)>),
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

/// How one came to know changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOrigin {
    /// By following each: they are all that has changed.
    Feed,
    /// By a listing: they are what differs. What came and went in between is not among them, so they mean something
    /// only to one that knows the version after which they begin.
    Listing,
}

/// Changes after one version up to another, as one box tells them to others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedChanges {
    /// How they are known.
    pub origin: ChangeOrigin,
    /// The version after which they begin.
    pub from: u64,
    /// The version up to which they reach.
    pub to: u64,
    /// The changes.
    pub changes: Vec<ServerChange>,
}

impl ReceivedChanges {
    /// Returns the word that there is nothing newer than a version, or that there is, to whoever knows less.
    pub fn empty(version: u64) -> Self {
        Self { origin: ChangeOrigin::Feed, from: version, to: version, changes: Vec::new() }
    }

    /// Returns what may be told of changes that a listing brought: all in one message, or only that there are some.
    /// One that began with the listing knows of no changes.
    pub fn from_listing(from: u64, to: u64, changes: Vec<ServerChange>, at_once: usize) -> Self {
        match from > 0 && changes.len() < at_once {
            true => Self { origin: ChangeOrigin::Listing, from, to, changes },
            false => Self::empty(to),
        }
    }

    /// Splits all changes into messages of `at_once` changes or a few more, of which each begins where the one before ends. What has
    /// one version stays together: whoever takes a message knows all up to the version where it ends, and one that
    /// comes later shows that it was lost.
    pub fn into_messages(self, at_once: usize) -> Vec<ReceivedChanges> {
        let ReceivedChanges { origin, from, to, mut changes } = self;
        if origin == ChangeOrigin::Listing {
            return vec![ReceivedChanges { origin, from, to, changes }];
        }
        changes.sort_by_key(ServerChange::version);
        let mut messages = Vec::new();
        let mut begin = from;
        loop {
            let rest = split_off_rest(&mut changes, at_once);
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

/// Takes off what goes beyond `at_once`, but for what has the version of the last before.
fn split_off_rest(changes: &mut Vec<ServerChange>, at_once: usize) -> Vec<ServerChange> {
    let Some(last) = changes.get(at_once - 1).map(ServerChange::version) else {
        return Vec::new();
    };
    let end = changes.iter().position(|change| change.version() > last);
    changes.split_off(end.unwrap_or(changes.len()))
}
