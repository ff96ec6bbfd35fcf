//! The adapters that requests in flight use, at this box and at its peers.
//!
//! An engine unloads an adapter only once the requests that use it have ended, and occupies its slot
//! until then. So the order lease holder does not evict adapters in use.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::ids::BackendId;
use crate::serving::request::ModelRef;
use crate::units::Moment;

/// How long a peer's report is valid.
const PEER_REPORT_TTL: Duration = Duration::from_secs(2);

/// An adapter on one server.
pub type ServerAdapter = (BackendId, ModelRef);

/// Counts the requests in flight for each adapter on each server.
#[derive(Debug, Default)]
pub struct AdapterUse {
    own: HashMap<ServerAdapter, u32>,
    peers: HashMap<u32, (BTreeSet<ServerAdapter>, Moment)>,
}

impl AdapterUse {
    /// Counts a request that begins; one without an adapter is not counted.
    pub fn begin(&mut self, server: &BackendId, item: &ModelRef) {
        if item.adapter.is_some() {
            *self.own.entry((server.clone(), item.clone())).or_default() += 1;
        }
    }

    /// Removes a request that has ended.
    pub fn end(&mut self, server: &BackendId, item: &ModelRef) {
        if item.adapter.is_none() {
            return;
        }
        let adapter = (server.clone(), item.clone());
        let count = self.own.get_mut(&adapter).expect("a request ends once");
        *count -= 1;
        if *count == 0 {
            self.own.remove(&adapter);
        }
    }

    /// Returns the adapters that this box's own requests use.
    pub fn own(&self) -> impl Iterator<Item = &ServerAdapter> {
        self.own.keys()
    }

    /// Applies a peer's report of the adapters in use, which replaces its previous one.
    pub fn apply_peer_report(&mut self, peer: u32, adapters: BTreeSet<ServerAdapter>, now: Moment) {
        self.peers.insert(peer, (adapters, now));
    }

    /// Returns the adapters that requests of any box use, by server.
    pub fn by_server(&mut self, now: Moment) -> HashMap<BackendId, BTreeSet<ModelRef>> {
        self.peers.retain(|_, (_, at)| now.since(*at) < PEER_REPORT_TTL);
        let reported = self.peers.values().flat_map(|(adapters, _)| adapters);
        let mut servers: HashMap<BackendId, BTreeSet<ModelRef>> = HashMap::new();
        for (server, item) in self.own.keys().chain(reported) {
            servers.entry(server.clone()).or_default().insert(item.clone());
        }
        servers
    }
}
