//! What the holder of the lease on orders told of engines before their own rows say so.

use std::collections::HashMap;
use std::time::Duration;

use trackfront_adapters::upstream::UpstreamPool;
use trackfront_core::ids::BackendId;
use trackfront_core::serving::choice::{ServerView, Unavailable, UnavailableCause};
use trackfront_core::serving::cold::ColdState;
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::notices::NoticeTracker;
use trackfront_core::serving::permits::PermitGates;
use trackfront_core::serving::request::ModelRef;
use trackfront_core::units::Moment;

use super::cold::ColdView;

/// How long a note counts after it was last told, or after what it says should have come. Rows say the
/// same by then.
const ENTRY_TTL: Duration = Duration::from_millis(2_500);

/// What a note says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryKind {
    /// The item is about to be unloaded.
    Withdrawn,
    /// The item was loaded.
    Added,
    /// The item should be there at this moment. An adapter is used from then on; whether a model has
    /// come is told.
    Pending(Moment),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    kind: EntryKind,
    until: Moment,
}

/// Notes about items on engines.
#[derive(Debug, Default)]
pub struct Overlay {
    entries: HashMap<BackendId, HashMap<ModelRef, Entry>>,
}

impl Overlay {
    /// Takes a note.
    pub fn record(&mut self, server: &BackendId, item: &ModelRef, kind: EntryKind, now: Moment) {
        let from = match kind {
            EntryKind::Pending(at) => at.max(now),
            EntryKind::Withdrawn | EntryKind::Added => now,
        };
        let entry = Entry { kind, until: from + ENTRY_TTL };
        self.entries.entry(server.clone()).or_default().insert(item.clone(), entry);
    }

    /// Drops a note.
    pub fn clear(&mut self, server: &BackendId, item: &ModelRef) {
        if let Some(entries) = self.entries.get_mut(server) {
            entries.remove(item);
        }
    }

    /// Drops notes that were not told again for long.
    pub fn forget_old(&mut self, now: Moment) {
        for entries in self.entries.values_mut() {
            entries.retain(|_, entry| now < entry.until);
        }
        self.entries.retain(|_, entries| !entries.is_empty());
    }

    /// Returns what was added and withdrawn.
    pub fn all(&self) -> impl Iterator<Item = (&BackendId, &ModelRef, EntryKind)> {
        let all = self.entries.iter().flat_map(|(server, entries)| {
            entries.iter().map(move |(item, entry)| (server, item, entry.kind))
        });
        all.filter(|(_, _, kind)| !matches!(kind, EntryKind::Pending(_)))
    }

    /// Returns the engines to which the model of an item was added, or should have been, before their rows say so.
    pub fn added_to<'a>(&'a self, item: &'a ModelRef) -> impl Iterator<Item = &'a BackendId> {
        let is_added = |(of, entry): (&ModelRef, &Entry)| {
            of.model == item.model && entry.kind != EntryKind::Withdrawn
        };
        let engines = self.entries.iter();
        engines.filter(move |(_, entries)| entries.iter().any(is_added)).map(|(server, _)| server)
    }

    /// Returns when an item should be there, on the engine that has it first.
    pub fn expected_at(&self, item: &ModelRef) -> Option<Moment> {
        let entries = self.entries.values().filter_map(|entries| entries.get(item));
        let coming = entries.filter_map(|entry| match entry.kind {
            EntryKind::Pending(at) => Some(at),
            EntryKind::Withdrawn | EntryKind::Added => None,
        });
        coming.min()
    }

    /// Returns the engines on which an item should be there, and when.
    pub fn pending<'a>(
        &'a self,
        item: &'a ModelRef,
    ) -> impl Iterator<Item = (&'a BackendId, Moment)> {
        self.entries.iter().filter_map(|(server, entries)| match entries.get(item)?.kind {
            EntryKind::Pending(at) => Some((server, at)),
            EntryKind::Withdrawn | EntryKind::Added => None,
        })
    }

    fn kind(&self, server: &BackendId, item: &ModelRef) -> Option<EntryKind> {
        Some(self.entries.get(server)?.get(item)?.kind)
    }
}

/// What is known of servers beside their rows, as a choice sees it.
#[derive(Clone, Copy)]
pub struct NodeView<'a> {
    /// The notes.
    pub overlay: &'a Overlay,
    /// The connections.
    pub pool: &'a UpstreamPool,
    /// The cold servers.
    pub cold: ColdView<'a>,
    /// What servers said of themselves.
    pub notices: &'a NoticeTracker,
    /// When turns may be asked for at servers with a limit; `None` where they are waited for.
    pub gates: Option<&'a PermitGates>,
    /// The present moment.
    pub now: Moment,
}

impl ServerView for NodeView<'_> {
    fn is_withdrawn(&self, server: &BackendId, item: &ModelRef) -> bool {
        self.overlay.kind(server, item) == Some(EntryKind::Withdrawn)
    }

    fn is_added(&self, server: &BackendId, item: &ModelRef) -> bool {
        match self.overlay.kind(server, item) {
            Some(EntryKind::Added) => true,
            Some(EntryKind::Pending(at)) => item.adapter.is_some() && at <= self.now,
            Some(EntryKind::Withdrawn) | None => false,
        }
    }

    fn is_connected(&self, address: &str) -> bool {
        self.pool.is_connected(address)
    }

    fn cold_state(&self, server: &KnownServer) -> ColdState {
        self.cold.judge(server, self.now)
    }

    fn leaving_since(&self, server: &BackendId) -> Option<Moment> {
        self.notices.leaving_since(server)
    }

    fn unavailable(&self, server: &BackendId) -> Option<Unavailable> {
        if let Some(until) = self.notices.backoff_until(server, self.now) {
            return Some(Unavailable { until, cause: UnavailableCause::BacksOff });
        }
        self.notices.limit_per_s(server)?;
        let until = self.gates?.closed_until(server, self.now)?;
        Some(Unavailable { until, cause: UnavailableCause::Limited })
    }
}
