//! What a server says of itself, and what the node knows of it beside.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AdapterName, BackendId, HallName, ModelName, ServerKey, ServiceName};
use crate::units::Moment;

/// What a server does about new requests, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It is about to end.
    Draining {
        /// How long it has, if it is taken away at short notice.
        remaining: Option<Duration>,
    },
}

/// A model on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentModel {
    /// The version of the weights.
    pub version: u64,
    /// The adapters that are loaded.
    pub adapters: BTreeSet<AdapterName>,
}

/// The models on an engine.
pub type Residents = BTreeMap<ModelName, ResidentModel>;

/// What a server says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The identity of this run of the server; a restart gets a new one.
    pub id: BackendId,
    /// The key of its row, which a later run has as well.
    pub key: ServerKey,
    /// When this run started, in Unix milliseconds of the server's own clock, if it says so. It tells runs under one
    /// key apart and is compared with nothing else.
    pub started: Option<u64>,
    /// The service.
    pub service: ServiceName,
    /// The address, IP and port.
    pub address: String,
    /// The hall that the server runs in.
    pub hall: HallName,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: ServerState,
    /// How much longer it was cold when it wrote this.
    pub cold_remaining: Duration,
    /// The models that it holds.
    pub models: Residents,
    /// How many orders it has taken.
    pub sequence: u64,
    /// Models that its host memory keeps a copy of.
    pub in_memory: BTreeSet<ModelName>,
    /// Models that its disk keeps a copy of.
    pub on_disk: BTreeSet<ModelName>,
}

/// A server as the node knows it.
#[derive(Clone, Debug)]
pub struct KnownServer {
    /// What it last said of itself.
    pub entry: ServerEntry,
    /// The version of its row.
    pub version: u64,
    /// When the node learned this version.
    pub learned_at: Moment,
    /// When the node learned of the server; the start of time for one that had left and came back.
    pub first_learned_at: Moment,
    /// When the node learned that it drains.
    pub draining_since: Option<Moment>,
    /// Since when it may drain: when the list without that was last known to be the newest.
    pub may_drain_since: Option<Moment>,
    /// Whether this node knew it as ready before it drained. If not, it may have drained for long.
    pub was_ready: bool,
    /// The earlier run that it took the place of, if this node knew one.
    pub replaces: Option<BackendId>,
}

impl ServerEntry {
    /// Returns whether an earlier run wrote this.
    pub fn is_from_earlier_incarnation(&self, other: Option<u64>) -> bool {
        self.started.zip(other).is_some_and(|(own, other)| own < other)
    }
}

impl KnownServer {
    /// Returns when a server that drains will be gone, if it said so.
    pub fn leaves_at(&self) -> Option<Moment> {
        match (self.entry.state, self.draining_since) {
            (ServerState::Draining { remaining: Some(left) }, Some(since)) => Some(since + left),
            _ => None,
        }
    }

    /// Returns until when it is cold by its own row. The row may have been on its way for a while, so it is so no
    /// longer than that.
    pub fn cold_until(&self) -> Option<Moment> {
        let cold_remaining = self.entry.cold_remaining;
        (!cold_remaining.is_zero()).then(|| self.learned_at + cold_remaining)
    }

    /// Returns whether it takes new requests.
    pub fn is_ready(&self) -> bool {
        self.entry.state == ServerState::Ready
    }
}
