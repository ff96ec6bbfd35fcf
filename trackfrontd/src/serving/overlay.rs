//! What the giver of orders told about engines before their own rows say so.

use std::collections::HashMap;
use std::time::Duration;

use trackfront_adapters::upstream::UpstreamPool;
use trackfront_core::ids::BackendId;
use trackfront_core::serving::choose::ServerView;
use trackfront_core::serving::request::ModelRef;
use trackfront_core::units::Moment;

/// How long a note counts after it was last told. Rows say the same by then.
const NOTES_FOR: Duration = Duration::from_millis(2_500);

/// What a note says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoteKind {
    /// The item is about to be unloaded.
    Withdrawn,
    /// The item was loaded.
    Added,
}

/// Notes about items on engines.
#[derive(Debug, Default)]
pub struct Overlay {
    notes: HashMap<BackendId, HashMap<ModelRef, (NoteKind, Moment)>>,
}

impl Overlay {
    /// Takes a note.
    pub fn note(&mut self, server: &BackendId, item: &ModelRef, kind: NoteKind, now: Moment) {
        let notes = self.notes.entry(server.clone()).or_default();
        notes.insert(item.clone(), (kind, now));
    }

    /// Drops a note.
    pub fn clear(&mut self, server: &BackendId, item: &ModelRef) {
        if let Some(notes) = self.notes.get_mut(server) {
            notes.remove(item);
        }
    }

    /// Drops notes that were not told again for long.
    pub fn forget_old(&mut self, now: Moment) {
        for notes in self.notes.values_mut() {
            notes.retain(|_, (_, at)| now.since(*at) < NOTES_FOR);
        }
        self.notes.retain(|_, notes| !notes.is_empty());
    }

    /// Returns all notes.
    pub fn all(&self) -> impl Iterator<Item = (&BackendId, &ModelRef, NoteKind)> {
        self.notes.iter().flat_map(|(server, notes)| {
            notes.iter().map(move |(item, (kind, _))| (server, item, *kind))
        })
    }

    fn says(&self, server: &BackendId, item: &ModelRef, kind: NoteKind) -> bool {
        let note = self.notes.get(server).and_then(|notes| notes.get(item));
        note.is_some_and(|(noted, _)| *noted == kind)
    }
}

/// The notes and the connections as a choice sees them.
#[derive(Clone, Copy)]
pub struct NodeView<'a> {
    /// The notes.
    pub overlay: &'a Overlay,
    /// The connections.
    pub pool: &'a UpstreamPool,
}

impl ServerView for NodeView<'_> {
    fn is_withdrawn(&self, server: &BackendId, item: &ModelRef) -> bool {
        self.overlay.says(server, item, NoteKind::Withdrawn)
    }

    fn is_added(&self, server: &BackendId, item: &ModelRef) -> bool {
        self.overlay.says(server, item, NoteKind::Added)
    }

    fn is_connected(&self, address: &str) -> bool {
        self.pool.is_connected(address)
    }
}
