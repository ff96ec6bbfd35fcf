//! Changes at engines that the holder of the order lease announced and that the engines' rows don't
//! show yet.

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

/// How long an entry is valid after its last announcement, or after the expected time that it
/// names. By then the rows show the change.
const ENTRY_TTL: Duration = Duration::from_millis(2_500);

/// The kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryKind {
    /// The item is about to be unloaded.
    Withdrawn,
    /// The item was loaded.
    Added,
    /// The item is expected at this time. An adapter is used from then on; a model only once its
    /// load is announced.
    Pending(Moment),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    kind: EntryKind,
    until: Moment,
}

/// The announced changes of items on engines.
#[derive(Debug, Default)]
pub struct Overlay {
    entries: HashMap<BackendId, HashMap<ModelRef, Entry>>,
}

impl Overlay {
    /// Records a change.
    pub fn record(&mut self, server: &BackendId, item: &ModelRef, kind: EntryKind, now: Moment) {
        let from = match kind {
            EntryKind::Pending(at) => at.max(now),
            EntryKind::Withdrawn | EntryKind::Added => now,
        };
        let entry = Entry { kind, until: from + ENTRY_TTL };
        self.entries.entry(server.clone()).or_default().insert(item.clone(), entry);
    }

    /// Drops the entry for an item.
    pub fn clear(&mut self, server: &BackendId, item: &ModelRef) {
        if let Some(entries) = self.entries.get_mut(server) {
            entries.remove(item);
        }
    }

    /// Drops entries that were not announced again in time.
    pub fn forget_old(&mut self, now: Moment) {
        for entries in self.entries.values_mut() {
            entries.retain(|_, entry| now < entry.until);
        }
        self.entries.retain(|_, entries| !entries.is_empty());
    }

    /// Returns the added and withdrawn items.
    pub fn all(&self) -> impl Iterator<Item = (&BackendId, &ModelRef, EntryKind)> {
        let all = self.entries.iter().flat_map(|(server, entries)| {
            entries.iter().map(move |(item, entry)| (server, item, entry.kind))
        });
        all.filter(|(_, _, kind)| !matches!(kind, EntryKind::Pending(_)))
    }

    /// Returns the engines to which the model of an item was added, or is expected to be, before
    /// their rows show it.
    pub fn added_to<'a>(&'a self, item: &'a ModelRef) -> impl Iterator<Item = &'a BackendId> {
        let is_added = |(of, entry): (&ModelRef, &Entry)| {
            of.model == item.model && entry.kind != EntryKind::Withdrawn
        };
        let engines = self.entries.iter();
        engines.filter(move |(_, entries)| entries.iter().any(is_added)).map(|(server, _)| server)
    }

    /// Returns the earliest time at which an engine is expected to hold an item.
    pub fn expected_at(&self, item: &ModelRef) -> Option<Moment> {
        let entries = self.entries.values().filter_map(|entries| entries.get(item));
        let expected = entries.filter_map(|entry| match entry.kind {
            EntryKind::Pending(at) => Some(at),
            EntryKind::Withdrawn | EntryKind::Added => None,
        });
        expected.min()
    }

    /// Returns the engines that are expected to hold an item, and when.
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

/// The view of servers for a choice, beyond what their rows contain.
#[derive(Clone, Copy)]
pub struct NodeView<'a> {
    /// Announced changes of items.
    pub overlay: &'a Overlay,
    /// The connection pool.
    pub pool: &'a UpstreamPool,
    /// The cold servers.
    pub cold: ColdView<'a>,
    /// What servers announced about themselves.
    pub notices: &'a NoticeTracker,
    /// When permits may be requested from servers with a limit; `None` where permits are awaited.
    pub gates: Option<&'a PermitGates>,
    /// The present time.
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
        self.cold.state(server, self.now)
    }

    fn leaving_since(&self, server: &BackendId) -> Option<Moment> {
        self.notices.leaving_since(server)
    }

    fn unavailable(&self, known: &KnownServer) -> Option<Unavailable> {
        let server = &known.entry.id;
        if let Some(until) = self.notices.backoff_until(server, self.now) {
            return Some(Unavailable { until, cause: UnavailableCause::BacksOff });
        }
        let cause = match self.notices.limit_per_s(server) {
            Some(_) => UnavailableCause::Limited,
            None if self.notices.is_brittle(server, &known.entry.service, self.now) => {
                UnavailableCause::Full
            }
            None => return None,
        };
        let until = self.gates?.closed_until(server, self.now)?;
        Some(Unavailable { until, cause })
    }
}
