//! The keys of each kind of file.

use std::collections::BTreeMap;

use serde::Deserialize;
use toml::Spanned;

use super::policy::PolicyTable;

/// The keys of `root.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RootFile {
    /// The name of the deployment.
    pub deployment: String,
    /// Inherited by everything.
    #[serde(default)]
    pub policy: PolicyTable,
    /// The callers by name.
    #[serde(default)]
    pub callers: BTreeMap<String, CallerTable>,
}

/// A caller in `root.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerTable {
    /// The BLAKE3 hash, in hexadecimal, of the caller's key.
    pub key_blake3: Spanned<String>,
    /// Requests a second, over all boxes together; no limit if it is left out.
    pub requests_per_s: Option<Spanned<f64>>,
    /// Tokens a second, of prompts and answers; no limit if it is left out.
    pub tokens_per_s: Option<Spanned<f64>>,
}

/// The keys of `region.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionFile {
    /// The halls of the region.
    pub halls: Vec<Spanned<String>>,
    /// Inherited by the region's services.
    #[serde(default)]
    pub policy: PolicyTable,
}

/// What a service runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KindWord {
    /// Models on engines.
    Engines,
    /// A plain service.
    Plain,
}

/// The keys of `service.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceFile {
    /// What the service runs on.
    pub kind: KindWord,
    /// Inherited by the service's models.
    #[serde(default)]
    pub policy: PolicyTable,
    /// The backend servers.
    #[serde(default)]
    pub backends: Vec<Spanned<BackendTable>>,
    /// Marked routes of a plain service.
    #[serde(default)]
    pub routes: Vec<Spanned<RouteTable>>,
}

/// A backend server in `service.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendTable {
    /// The identifier, unique in the tree.
    pub id: String,
    /// The IP address and port.
    pub address: String,
    /// The hall.
    pub hall: String,
    /// How many accelerators an engine has.
    #[serde(default)]
    pub accelerators: usize,
    /// The memory of each accelerator in MiB.
    #[serde(default)]
    pub accelerator_mib: u64,
    /// Whether the engine checks fencing tokens. The default is the one that is safe for both.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A marked route in `service.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    /// The method; all if it is left out.
    pub method: Option<String>,
    /// The path below the service.
    pub path: String,
    /// Whether calls may be repeated.
    pub repeatable: bool,
}

/// The keys of `model.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelFile {
    /// The version of the weights.
    pub version: String,
    /// The memory of the weights over all accelerators together, in MiB.
    pub weights_mib: Spanned<u64>,
    /// Inherited by the model's adapters.
    #[serde(default)]
    pub policy: PolicyTable,
}

/// The keys of an adapter's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterFile {
    /// The version of the weights.
    pub version: String,
    /// The memory of the weights over all accelerators together, in MiB.
    pub weights_mib: Spanned<u64>,
    /// The adapter's own policy.
    #[serde(default)]
    pub policy: PolicyTable,
}
