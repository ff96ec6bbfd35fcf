//! The entry that a server writes about itself, and the box's record of the server.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{
    AdapterName, BackendId, HallName, ModelName, ServerKey, ServiceName, SoftwareVersion,
};
use crate::serving::stream_origins::SoftwareId;
use crate::store_version::StoreVersion;
use crate::units::Moment;

/// Whether a server accepts new requests, as it reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It accepts requests.
    Ready,
    /// It is about to stop.
    Draining {
        /// The time until it stops, if it is reclaimed at short notice.
        remaining: Option<Duration>,
    },
}

/// A model loaded on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentModel {
    /// The version of the weights.
    pub version: u64,
    /// The adapters that are loaded on top of the model.
    pub adapters: BTreeSet<AdapterName>,
}

/// The models loaded on an engine.
pub type Residents = BTreeMap<ModelName, ResidentModel>;

/// The entry that a server writes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The identifier of this incarnation of the server; a restart gets a new one.
    pub id: BackendId,
    /// The key of its row, which later incarnations share.
    pub key: ServerKey,
    /// The start time in Unix milliseconds of the server's own clock, if reported. It only orders
    /// the incarnations under one key and is never compared with other clocks.
    pub started: Option<u64>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The IP address and port.
    pub address: String,
    /// The hall that the server runs in.
    pub hall: HallName,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: ServerState,
    /// For how much longer it stays cold, as of the time of writing.
    pub cold_remaining: Duration,
    /// The models that it holds.
    pub models: Residents,
    /// The number of orders that it has accepted.
    pub sequence: u64,
    /// The models of which its host memory has a copy.
    pub in_memory: BTreeSet<ModelName>,
    /// The models of which its disk has a copy.
    pub on_disk: BTreeSet<ModelName>,
    /// The version of its software.
    pub software: SoftwareVersion,
}

/// The box's record of a server.
#[derive(Clone, Debug)]
pub struct KnownServer {
    /// The server's last entry.
    pub entry: ServerEntry,
    /// The version of its row.
    pub version: StoreVersion,
    /// When this box learned of this version.
    pub learned_at: Moment,
    /// When this box first learned of the server; the zero moment for one that left and returned.
    pub first_learned_at: Moment,
    /// When this box learned that the server drains.
    pub draining_since: Option<Moment>,
    /// The earliest time at which draining may have begun: when the list in which the server did
    /// not drain was last known to be current.
    pub may_drain_since: Option<Moment>,
    /// Whether this box knew the server as ready. If not, it may have been draining for long.
    pub was_ready: bool,
    /// The earlier incarnation that it replaced, if this box knew one.
    pub replaces: Option<BackendId>,
}

impl ServerEntry {
    /// Returns the short form of the version of its software.
    pub fn software_id(&self) -> SoftwareId {
        SoftwareId::of(&self.software)
    }

    /// Returns whether this entry is from an earlier incarnation than the one that started at
    /// `other`.
    pub fn is_from_earlier_incarnation(&self, other: Option<u64>) -> bool {
        self.started.zip(other).is_some_and(|(own, other)| own < other)
    }
}

impl KnownServer {
    /// Returns when a draining server stops, if it reported that.
    pub fn leaves_at(&self) -> Option<Moment> {
        match (self.entry.state, self.draining_since) {
            (ServerState::Draining { remaining: Some(left) }, Some(since)) => Some(since + left),
            _ => None,
        }
    }

    /// Returns the latest time until which the server is cold, by its own row. The row may have
    /// been delayed, in which case the server is warm earlier.
    pub fn cold_until(&self) -> Option<Moment> {
        let cold_remaining = self.entry.cold_remaining;
        (!cold_remaining.is_zero()).then(|| self.learned_at + cold_remaining)
    }

    /// Returns whether the server accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.entry.state == ServerState::Ready
    }
}
