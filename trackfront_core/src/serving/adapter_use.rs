//! Which adapters requests in progress use, at this node and at its peers.
//!
//! An engine unloads an adapter only once the requests that use it have ended, and holds its place
//! until then. The giver of orders passes over adapters in use when it makes room for another.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::ids::BackendId;
use crate::serving::request::ModelRef;
use crate::units::Moment;

/// How long what a peer told counts.
const PEER_FIGURES_FOR: Duration = Duration::from_secs(2);

/// An adapter on one server.
pub type ServerAdapter = (BackendId, ModelRef);

/// Counts the requests in progress for each adapter on each server.
#[derive(Debug, Default)]
pub struct AdapterUse {
    own: HashMap<ServerAdapter, u32>,
    peers: HashMap<u32, (BTreeSet<ServerAdapter>, Moment)>,
}

impl AdapterUse {
    /// Counts a request that begins. What names no adapter is not counted.
    pub fn begin(&mut self, server: &BackendId, item: &ModelRef) {
        if item.adapter.is_some() {
            *self.own.entry((server.clone(), item.clone())).or_default() += 1;
        }
    }

    /// Takes off a request that has ended.
    pub fn end(&mut self, server: &BackendId, item: &ModelRef) {
        if item.adapter.is_none() {
            return;
        }
        let place = (server.clone(), item.clone());
        let count = self.own.get_mut(&place).expect("a request ends once");
        *count -= 1;
        if *count == 0 {
            self.own.remove(&place);
        }
    }

    /// Returns what this node's own requests use.
    pub fn own(&self) -> impl Iterator<Item = &ServerAdapter> {
        self.own.keys()
    }

    /// Notes what a peer's requests use: what it told before is replaced.
    pub fn apply_peer_report(&mut self, peer: u32, places: BTreeSet<ServerAdapter>, now: Moment) {
        self.peers.insert(peer, (places, now));
    }

    /// Returns the adapters that requests of any node use, by server.
    pub fn by_server(&mut self, now: Moment) -> HashMap<BackendId, BTreeSet<ModelRef>> {
        self.peers.retain(|_, (_, at)| now.since(*at) < PEER_FIGURES_FOR);
        let told = self.peers.values().flat_map(|(places, _)| places);
        let mut servers: HashMap<BackendId, BTreeSet<ModelRef>> = HashMap::new();
        for (server, item) in self.own.keys().chain(told) {
            servers.entry(server.clone()).or_default().insert(item.clone());
        }
        servers
    }
}
