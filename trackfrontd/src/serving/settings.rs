//! The settings of a serving node: one TOML file.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::delegates::{CapacityClass, ListedBox};
use super::node::short_hall;
use serde::Deserialize;
use thiserror::Error;
use trackfront_core::ids::{HallName, RegionName};
use trackfront_core::serving::cold::ColdStartTolerance;
use trackfront_core::serving::key_freshness::RevocationTerms;
use trackfront_core::serving::orders::LoadRateTerms;
use trackfront_core::serving::retry_budget::BudgetTerms;

/// Why a settings file is refused.
#[derive(Debug, Error)]
pub enum ServingSettingsError {
    /// The file cannot be read.
    #[error("{path}: cannot be read: {source}; name an existing file")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file has a fault.
    #[error("{path}: {message}; correct the key, docs/operations/serving.md lists them")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong, with line and key.
        message: String,
    },
}

/// All settings.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServingSettings {
    /// The node's name, address and place.
    pub node: NodeSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// What the node may use.
    pub resources: ResourceSettings,
    /// The promises that it keeps.
    #[serde(default)]
    pub promises: PromiseSettings,
    /// The region of each hall that servers may stand in.
    #[serde(default)]
    pub halls: BTreeMap<HallName, RegionName>,
}

/// Who and where the node is.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The name, for logs and orders.
    pub name: String,
    /// The address that other nodes reach it at.
    pub ip: Ipv4Addr,
    /// The zone.
    #[serde(rename = "zone")]
    pub hall: HallName,
    /// The region.
    pub region: RegionName,
    /// Whether the whole system starts for the first time: no other box is up yet.
    #[serde(default)]
    pub first_start: bool,
}

/// The addresses that the node listens on.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For clients.
    pub clients: SocketAddrV4,
    /// For the balancer's question whether the node takes connections.
    pub readiness: SocketAddrV4,
    /// For other nodes, over UDP; the port is the same on all nodes.
    pub peers: u16,
    /// For metrics.
    pub metrics: u16,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddrV4,
}

/// What the node may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceSettings {
    /// The cores that it sees.
    pub cores: u32,
    /// The descriptors that it may have open.
    pub file_descriptors: usize,
    /// What its link to the network carries, in megabits a second.
    #[serde(default = "common_link")]
    pub link_mbps: f64,
    /// Its share of a core.
    #[serde(default = "whole_core")]
    pub cpu_share: f64,
    /// The memory that it may use, in MB.
    #[serde(default = "common_memory")]
    pub memory_mb: f64,
}

impl ResourceSettings {
    /// Returns how much the node can bear, which decides what it does for others.
    pub fn capacity(&self) -> CapacityClass {
        CapacityClass::new(self.cpu_share, self.link_mbps, self.memory_mb)
    }
}

/// The share of a core of a node that has one for itself.
fn whole_core() -> f64 {
    1.0
}

/// The memory of a common machine, in MB.
fn common_memory() -> f64 {
    1_024.0
}

/// The slowest link that is common in a hall, in megabits a second.
fn common_link() -> f64 {
    100.0
}

/// The promises that the node keeps. A key that is not given has its default.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PromiseSettings {
    /// How long a server that drains goes on serving, in milliseconds.
    pub drain_ms: f64,
    /// How long the node has to end after it was told to, in seconds.
    pub grace_s: f64,
    /// Sends of requests once more, for each request.
    pub retry_ratio: f64,
    /// Sends of requests once more beside that, over all nodes and for each window.
    pub retry_slack: f64,
    /// The length of such a window, in seconds.
    pub retry_window_s: f64,
    /// The least time between orders of two nodes to one engine, in milliseconds.
    pub order_quiet_ms: f64,
    /// The length of a window in which loads from the weight store are counted, in seconds.
    pub load_window_s: f64,
    /// How many times the weight store's rate may be reached within such a window.
    pub load_overage: f64,
    /// How often a server writes its row, in milliseconds.
    pub heartbeat_ms: f64,
    /// How long after it was taken away a key may still be used anywhere, in milliseconds; 0 for as long as a
    /// box does not hear of it.
    pub key_end_ms: f64,
    /// How many times the rate that a cold server bears may be reached within one second.
    pub cold_overage: f64,
    /// Requests beside that which may reach it within one second.
    pub cold_slack: f64,
}

impl Default for PromiseSettings {
    fn default() -> Self {
        Self {
            drain_ms: 2_000.0,
            grace_s: 8.0,
            retry_ratio: 0.1,
            retry_slack: 10.0,
            retry_window_s: 10.0,
            order_quiet_ms: 3_000.0,
            load_window_s: 5.0,
            load_overage: 1.0,
            heartbeat_ms: 1_000.0,
            key_end_ms: 0.0,
            cold_overage: 1.0,
            cold_slack: 0.0,
        }
    }
}

impl PromiseSettings {
    /// Returns the budget of retries.
    pub fn budget(&self) -> BudgetTerms {
        BudgetTerms {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: Duration::from_secs_f64(self.retry_window_s),
        }
    }

    /// Returns how many loads from the weight store may begin.
    pub fn loads(&self) -> LoadRateTerms {
        let window = Duration::from_secs_f64(self.load_window_s);
        LoadRateTerms { window, overage: self.load_overage }
    }

    /// Returns how long a key that was taken away may still be used; `None` if there is no bound.
    pub fn keys(&self) -> Option<RevocationTerms> {
        let bound = Duration::from_secs_f64(self.key_end_ms / 1_000.0);
        (!bound.is_zero()).then_some(RevocationTerms { bound })
    }

    /// Returns how far what a cold server bears may be passed.
    pub fn cold(&self) -> ColdStartTolerance {
        ColdStartTolerance { overage: self.cold_overage, slack: self.cold_slack }
    }

    /// Returns how often a server writes its row.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat_ms / 1_000.0)
    }

    /// Returns how long a server that drains goes on serving.
    pub fn drain(&self) -> Duration {
        Duration::from_secs_f64(self.drain_ms / 1_000.0)
    }

    /// Returns how long the node has to end.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the least time between orders of two nodes to one engine.
    pub fn order_quiet(&self) -> Duration {
        Duration::from_secs_f64(self.order_quiet_ms / 1_000.0)
    }

    /// Returns the first key whose value cannot be used.
    fn fault(&self) -> Option<(&'static str, f64)> {
        let from_zero = [
            ("promises.drain_ms", self.drain_ms),
            ("promises.grace_s", self.grace_s),
            ("promises.retry_ratio", self.retry_ratio),
            ("promises.retry_slack", self.retry_slack),
            ("promises.retry_window_s", self.retry_window_s),
            ("promises.order_quiet_ms", self.order_quiet_ms),
            ("promises.load_window_s", self.load_window_s),
            ("promises.load_overage", self.load_overage),
            ("promises.heartbeat_ms", self.heartbeat_ms),
            ("promises.key_end_ms", self.key_end_ms),
            ("promises.cold_overage", self.cold_overage),
            ("promises.cold_slack", self.cold_slack),
        ];
        let positive = [from_zero[1], from_zero[4]];
        let in_range = |value: f64| (0.0..1e9).contains(&value);
        let bad = from_zero.into_iter().find(|(_, value)| !in_range(*value));
        bad.or_else(|| positive.into_iter().find(|(_, value)| *value == 0.0))
    }
}

impl ServingSettings {
    /// Returns the node as it is listed among the others.
    pub fn listed_box(&self) -> ListedBox {
        let hall = short_hall(&self.node.hall);
        ListedBox { ip: self.node.ip, hall, capacity: self.resources.capacity() }
    }

    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, ServingSettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ServingSettingsError::Unreadable { path: path.to_owned(), source })?;
        Self::parse(&text)
            .map_err(|message| ServingSettingsError::Invalid { path: path.to_owned(), message })
    }

    /// Parses and checks settings; the error says what is wrong.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        if let Some((key, value)) = self.promises.fault() {
            return Err(format!("{key} is {value}; give it a positive number"));
        }
        if self.resources.cores == 0 || self.resources.file_descriptors == 0 {
            return Err("a number under [resources] is 0; give it a positive one".into());
        }
        let resources = &self.resources;
        let positive = [
            ("link_mbps", resources.link_mbps),
            ("cpu_share", resources.cpu_share),
            ("memory_mb", resources.memory_mb),
        ];
        let is_bad = |value: f64| !(value.is_finite() && value > 0.0);
        if let Some((key, value)) = positive.into_iter().find(|(_, value)| is_bad(*value)) {
            return Err(format!("resources.{key} is {value}; give it a positive number"));
        }
        if self.listen.clients == self.listen.readiness {
            return Err("listen.readiness equals listen.clients; give it another port".into());
        }
        Ok(())
    }
}
