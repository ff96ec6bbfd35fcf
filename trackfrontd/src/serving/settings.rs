//! The settings of a serving node, read from one TOML file.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::delegates::{CapacityClass, ListedBox};
use super::short_names::short_hall;
use serde::Deserialize;
use thiserror::Error;
use trackfront_core::ids::{HallName, RegionName};
use trackfront_core::serving::cold::ColdStartTolerance;
use trackfront_core::serving::key_freshness::RevocationTerms;
use trackfront_core::serving::orders::LoadRateTerms;
use trackfront_core::serving::retry_budget::BudgetTerms;
use trackfront_core::units::{millis_to_duration, secs_to_duration};

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
    /// The file is not valid TOML, or a setting has an invalid value.
    #[error("{path}: {message}; correct the key, docs/operations/serving.md lists them")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The error, with line or key.
        message: String,
    },
}

/// The settings of a node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServingSettings {
    /// The node's name, address and location.
    pub node: NodeSettings,
    /// The addresses and ports that the node listens on.
    pub listen: ListenSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// The resources that the node may use.
    pub resources: ResourceSettings,
    /// The guarantees of the deployment that the node upholds.
    #[serde(default)]
    pub promises: PromiseSettings,
    /// How requests are balanced over engines.
    #[serde(default)]
    pub balancing: BalancingSettings,
    /// The region of each hall that may contain servers.
    #[serde(default)]
    pub halls: BTreeMap<HallName, RegionName>,
}

/// The identity and location of the node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The name, used in logs and orders.
    pub name: String,
    /// The address at which other nodes reach this one.
    pub ip: Ipv4Addr,
    /// The hall.
    #[serde(rename = "zone")]
    pub hall: HallName,
    /// The region.
    pub region: RegionName,
    /// Whether the whole system starts for the first time and no other box is up yet.
    #[serde(default)]
    pub first_start: bool,
}

/// The addresses and ports that the node listens on.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// The address for clients.
    pub clients: SocketAddrV4,
    /// The address for the load balancer's readiness checks.
    pub readiness: SocketAddrV4,
    /// The UDP port for other nodes, and the TCP port for snapshots. It is the same on all nodes.
    pub peers: u16,
    /// The port for metrics.
    pub metrics: u16,
}

/// The platform's store, as the node reaches it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// The address of the store.
    pub address: SocketAddrV4,
}

const BYTES_PER_MB: f64 = 1_024.0 * 1_024.0;

/// The fraction of the memory for the bytes of requests and answers.
const HELD_FRACTION: f64 = 1.0 / 3.0;

/// The resources that the node may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceSettings {
    /// The number of cores visible to the node.
    pub cores: u32,
    /// The limit of open file descriptors.
    pub file_descriptors: usize,
    /// The rate of the network link in megabits a second.
    #[serde(default = "common_link")]
    pub link_mbps: f64,
    /// The share of a core, 1 for a whole one.
    #[serde(default = "whole_core")]
    pub cpu_share: f64,
    /// The memory in MB.
    #[serde(default = "common_memory")]
    pub memory_mb: f64,
}

impl ResourceSettings {
    /// Returns the node's capacity, which decides on the work that it does for other boxes.
    pub fn capacity(&self) -> CapacityClass {
        CapacityClass::new(self.cpu_share, self.link_mbps, self.memory_mb)
    }

    /// Returns the most bytes of requests and answers that the node holds. A third of the memory is for what it knows of a
    /// large deployment, and a third for buffers.
    pub fn held_bytes(&self) -> usize {
        (self.memory_mb * BYTES_PER_MB * HELD_FRACTION) as usize
    }
}

/// The default share of a core: a whole one.
fn whole_core() -> f64 {
    1.0
}

/// The default memory in MB, that of a common machine.
fn common_memory() -> f64 {
    1_024.0
}

/// The default rate of the link in megabits a second, the slowest that is common in a hall.
fn common_link() -> f64 {
    100.0
}

/// How requests are balanced over engines. Missing keys are false.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalancingSettings {
    /// Whether one box for each engine knows its load, and the others ask that box.
    pub coordinated_loads: bool,
    /// Whether requests avoid engines where they would delay the streams of others beyond their gap targets. Needs
    /// `coordinated_loads`.
    pub bound_pauses: bool,
    /// Whether client accounts share engines evenly where these are short. Needs `coordinated_loads`.
    pub fair_shares: bool,
    /// Whether engines serve requests whose clients were refused before after all others. Needs `coordinated_loads`.
    pub late_last: bool,
}

impl BalancingSettings {
    /// Returns whether requests declare the targets for the gaps of their streams.
    pub fn bounds_pauses(self) -> bool {
        self.coordinated_loads && self.bound_pauses
    }

    /// Returns whether engines serve late requests last.
    pub fn serves_late_last(self) -> bool {
        self.coordinated_loads && self.late_last
    }

    /// Returns whether requests declare their client accounts.
    pub fn shares_fairly(self) -> bool {
        self.coordinated_loads && self.fair_shares
    }
}

/// The guarantees of the deployment that the node upholds. Missing keys have default values.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PromiseSettings {
    /// The time that a draining server continues to serve, in milliseconds.
    pub drain_ms: f64,
    /// The time within which a change of the configuration is in force at each node, in milliseconds.
    pub config_ms: f64,
    /// The time from the signal to stop until the node has to exit, in seconds.
    pub grace_s: f64,
    /// The number of retries permitted for each request.
    pub retry_ratio: f64,
    /// The number of additional retries over all nodes in each window.
    pub retry_slack: f64,
    /// The length of the retry window, in seconds.
    pub retry_window_s: f64,
    /// The shortest time between orders of two nodes to one engine, in milliseconds.
    pub order_quiet_ms: f64,
    /// The length of the window in which loads from the weight store are counted, in seconds.
    pub load_window_s: f64,
    /// The permitted multiple of the weight store's rate within the load window.
    pub load_overage: f64,
    /// The interval at which a server writes its row, in milliseconds.
    pub heartbeat_ms: f64,
    /// The time after its removal during which a key may still be used anywhere, in milliseconds.
    /// With 0, a box accepts a removed key until it learns of the removal.
    pub key_end_ms: f64,
    /// The permitted multiple of a cold server's rate within one second.
    pub cold_overage: f64,
    /// The number of additional requests that a cold server may receive within one second.
    pub cold_slack: f64,
}

impl Default for PromiseSettings {
    fn default() -> Self {
        Self {
            drain_ms: 2_000.0,
            config_ms: 2_000.0,
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
    /// Returns the terms of the retry budget.
    pub fn budget(&self) -> BudgetTerms {
        BudgetTerms {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: secs_to_duration(self.retry_window_s),
        }
    }

    /// Returns the limit on loads from the weight store.
    pub fn loads(&self) -> LoadRateTerms {
        let window = secs_to_duration(self.load_window_s);
        LoadRateTerms { window, overage: self.load_overage }
    }

    /// Returns the bound on the use of removed keys, if there is one.
    pub fn keys(&self) -> Option<RevocationTerms> {
        let bound = millis_to_duration(self.key_end_ms);
        (!bound.is_zero()).then_some(RevocationTerms { bound })
    }

    /// Returns the tolerance above the limit of a cold server.
    pub fn cold(&self) -> ColdStartTolerance {
        ColdStartTolerance { overage: self.cold_overage, slack: self.cold_slack }
    }

    /// Returns the interval at which a server writes its row.
    pub fn heartbeat(&self) -> Duration {
        millis_to_duration(self.heartbeat_ms)
    }

    /// Returns the time that a draining server continues to serve.
    pub fn drain(&self) -> Duration {
        millis_to_duration(self.drain_ms)
    }

    /// Returns the time within which a change of the configuration is in force.
    pub fn config(&self) -> Duration {
        millis_to_duration(self.config_ms)
    }

    /// Returns the time from the signal to stop until the node has to exit.
    pub fn grace(&self) -> Duration {
        secs_to_duration(self.grace_s)
    }

    /// Returns the shortest time between orders of two nodes to one engine.
    pub fn order_quiet(&self) -> Duration {
        millis_to_duration(self.order_quiet_ms)
    }

    /// Returns the first key with an invalid value, and the value.
    fn invalid_value(&self) -> Option<(&'static str, f64)> {
        let non_negative = [
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
            ("promises.config_ms", self.config_ms),
        ];
        let positive = [non_negative[1], non_negative[4]];
        let in_range = |value: f64| (0.0..1e9).contains(&value);
        let invalid = non_negative.into_iter().find(|(_, value)| !in_range(*value));
        invalid.or_else(|| positive.into_iter().find(|(_, value)| *value == 0.0))
    }
}

impl ServingSettings {
    /// Returns the node's entry in the list of boxes.
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

    /// Parses and checks settings. The error names the line or the key.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        if let Some((key, value)) = self.promises.invalid_value() {
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
        let is_invalid = |value: f64| !(value.is_finite() && value > 0.0);
        if let Some((key, value)) = positive.into_iter().find(|(_, value)| is_invalid(*value)) {
            return Err(format!("resources.{key} is {value}; give it a positive number"));
        }
        if self.listen.clients == self.listen.readiness {
            return Err("listen.readiness equals listen.clients; give it another port".into());
        }
        Ok(())
    }
}
