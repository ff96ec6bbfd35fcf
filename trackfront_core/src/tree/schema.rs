//! The TOML schema of each kind of file.

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
    /// The defaults for the whole tree.
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
    /// The limit in requests per second, over all boxes together; no limit if absent.
    pub requests_per_s: Option<Spanned<f64>>,
    /// The limit in prompt and answer tokens per second; no limit if absent.
    pub tokens_per_s: Option<Spanned<f64>>,
}

/// The keys of `region.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionFile {
    /// The halls of the region.
    pub halls: Vec<Spanned<String>>,
    /// The policy that the region's services inherit.
    #[serde(default)]
    pub policy: PolicyTable,
}

/// The value of `kind` in `service.toml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKindTag {
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
    pub kind: ServiceKindTag,
    /// The policy that the service's models inherit.
    #[serde(default)]
    pub policy: PolicyTable,
    /// The backend servers.
    #[serde(default)]
    pub backends: Vec<Spanned<BackendTable>>,
    /// The routes of a plain service.
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
    /// The hall that the server is in.
    pub hall: String,
    /// The number of accelerators of an engine.
    #[serde(default)]
    pub accelerators: usize,
    /// The memory of each accelerator in MiB.
    #[serde(default)]
    pub accelerator_mib: u64,
    /// Whether the engine checks fencing tokens. The default, `false`, is safe for
    /// engines that do and for those that do not.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A route in `service.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    /// The HTTP method; matches all if absent.
    pub method: Option<String>,
    /// The path prefix, relative to the service.
    pub path: String,
    /// Whether calls may be sent more than once.
    pub repeatable: bool,
}

/// The keys of `model.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelFile {
    /// The version of the weights.
    pub version: String,
    /// The memory of the weights, summed over all accelerators, in MiB.
    pub weights_mib: Spanned<u64>,
    /// The policy that the model's adapters inherit.
    #[serde(default)]
    pub policy: PolicyTable,
}

/// The keys of an adapter's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterFile {
    /// The version of the weights.
    pub version: String,
    /// The memory of the weights, summed over all accelerators, in MiB.
    pub weights_mib: Spanned<u64>,
    /// The adapter's own policy.
    #[serde(default)]
    pub policy: PolicyTable,
}
