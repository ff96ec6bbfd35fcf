//! The configuration tree: what operators declare, from defaults at the root down to adapters.
//!
//! A tree is a folder of TOML files, one for each level:
//!
//! ```text
//! root.toml
//! REGION/region.toml
//! REGION/SERVICE/service.toml
//! REGION/SERVICE/MODEL/model.toml
//! REGION/SERVICE/MODEL/ADAPTER.toml
//! ```
//!
//! [`files`] holds the files as text, [`schema`] defines their keys and [`policy`] the inherited
//! keys, [`build`] parses them into a [`Tree`], and [`check`] validates it.

pub mod build;
pub mod check;
pub mod diff;
pub mod error;
pub mod explain;
pub mod files;
pub mod policy;
pub mod schema;
pub mod snapshot;

use std::collections::BTreeMap;

use crate::accounts::{AccountLimit, KeyHash};
use crate::ids::{
    AccountName, AdapterName, BackendId, HallName, ItemKey, ModelName, RegionName, ServiceName,
    ShardId, Version,
};
use crate::placement::{Bundle, SizedItem};
use crate::units::Mib;

pub use build::build;
pub use error::{TreeError, TreeErrors};
pub use files::TreeFiles;
pub use policy::Policy;
pub use snapshot::Snapshot;

/// A tree built from its files.
#[derive(Clone, Debug)]
pub struct Tree {
    /// The name of the deployment.
    pub deployment: String,
    /// The callers.
    pub callers: BTreeMap<AccountName, Caller>,
    /// The regions.
    pub regions: BTreeMap<RegionName, Region>,
}

/// A caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The BLAKE3 hash, in hexadecimal, of the caller's API key.
    pub key_blake3: String,
    /// The request limit; `None` means no limit.
    pub requests: Option<AccountLimit>,
    /// The limit on prompt and answer tokens; `None` means no limit.
    pub tokens: Option<AccountLimit>,
}

/// A region.
#[derive(Clone, Debug)]
pub struct Region {
    /// The halls of the region.
    pub halls: Vec<HallName>,
    /// The services of the region.
    pub services: BTreeMap<ServiceName, Service>,
}

/// A service: models on engines, or a plain service.
#[derive(Clone, Debug)]
pub struct Service {
    /// What the service runs on.
    pub kind: ServiceKind,
    /// The policy at the service's level.
    pub policy: Policy,
    /// The backend servers.
    pub backends: BTreeMap<BackendId, Backend>,
}

/// What a service runs on.
#[derive(Clone, Debug)]
pub enum ServiceKind {
    /// Models on engines.
    Engines {
        /// The models.
        models: BTreeMap<ModelName, Model>,
    },
    /// A plain service.
    Plain {
        /// The declared routes; the first that matches a call applies.
        routes: Vec<Route>,
    },
}

/// A declared route of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The HTTP method; `None` matches all.
    pub method: Option<String>,
    /// The path prefix, relative to the service. It matches whole path segments only.
    pub path: String,
    /// Whether calls may be sent more than once.
    pub repeatable: bool,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The IP address and port.
    pub address: String,
    /// The hall that the server is in.
    pub hall: HallName,
    /// The memory of each accelerator; empty for a plain service.
    pub accelerators: Vec<Mib>,
    /// Whether the engine checks fencing tokens.
    pub checks_fence: bool,
}

/// A model.
#[derive(Clone, Debug)]
pub struct Model {
    /// The version of the weights.
    pub version: Version,
    /// The memory of the weights, summed over all accelerators.
    pub weights: Mib,
    /// The policy at the model's level.
    pub policy: Policy,
    /// The adapters.
    pub adapters: BTreeMap<AdapterName, Adapter>,
}

/// An adapter of a model.
#[derive(Clone, Debug)]
pub struct Adapter {
    /// The version of the weights.
    pub version: Version,
    /// The memory of the weights, summed over all accelerators.
    pub weights: Mib,
    /// The policy at the adapter's level.
    pub policy: Policy,
}

/// A model or adapter of a region, as addressed by callers.
#[derive(Clone, Debug)]
pub struct Target<'a> {
    /// The shard of the service.
    pub shard: ShardId,
    /// The name of the model.
    pub model_name: &'a ModelName,
    /// The model's settings.
    pub model: &'a Model,
    /// The adapter, if the target is one.
    pub adapter: Option<(&'a AdapterName, &'a Adapter)>,
}

impl<'a> Target<'a> {
    /// Returns the policy of the model or adapter.
    pub fn policy(&self) -> &'a Policy {
        match self.adapter {
            Some((_, adapter)) => &adapter.policy,
            None => &self.model.policy,
        }
    }

    /// Returns the item that has to be loaded to serve the target.
    pub fn item(&self) -> ItemKey {
        match self.adapter {
            Some((name, adapter)) => ItemKey {
                model: self.model_name.clone(),
                adapter: Some(name.clone()),
                version: adapter.version.clone(),
            },
            None => ItemKey {
                model: self.model_name.clone(),
                adapter: None,
                version: self.model.version.clone(),
            },
        }
    }
}

impl Model {
    /// Returns the model and its adapters as one bundle for placement.
    pub fn bundle(&self, name: &ModelName) -> Bundle {
        let own = SizedItem {
            item: ItemKey { model: name.clone(), adapter: None, version: self.version.clone() },
            total: self.weights,
        };
        let adapters = self.adapters.iter().map(|(adapter_name, adapter)| SizedItem {
            item: ItemKey {
                model: name.clone(),
                adapter: Some(adapter_name.clone()),
                version: adapter.version.clone(),
            },
            total: adapter.weights,
        });
        Bundle { items: std::iter::once(own).chain(adapters).collect() }
    }
}

impl Service {
    /// Returns the service's models; a plain service has none.
    pub fn models(&self) -> impl Iterator<Item = (&ModelName, &Model)> {
        match &self.kind {
            ServiceKind::Engines { models } => Some(models),
            ServiceKind::Plain { .. } => None,
        }
        .into_iter()
        .flatten()
    }

    /// Returns the bundles to place on the service's engines.
    pub fn bundles(&self) -> Vec<Bundle> {
        self.models().map(|(name, model)| model.bundle(name)).collect()
    }

    /// Returns whether a call may be sent more than once.
    ///
    /// The first matching route decides. Without one, GET, HEAD and OPTIONS are repeatable. Calls
    /// to engines always are.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let ServiceKind::Plain { routes } = &self.kind else {
            return true;
        };
        routes
            .iter()
            .find(|route| route.matches(method, path))
            .map_or(matches!(method, "GET" | "HEAD" | "OPTIONS"), |route| route.repeatable)
    }
}

impl Route {
    /// Returns whether the route matches the call.
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method.as_deref().is_none_or(|own| own == method);
        let rest = path.strip_prefix(self.path.trim_end_matches('/'));
        method_matches && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

impl Tree {
    /// Returns the service of a shard.
    pub fn service(&self, shard: &ShardId) -> Option<&Service> {
        self.regions.get(&shard.region)?.services.get(&shard.service)
    }

    /// Returns all shards with their services.
    pub fn shards(&self) -> impl Iterator<Item = (ShardId, &Service)> {
        self.regions.iter().flat_map(|(region_name, region)| {
            region.services.iter().map(move |(service_name, service)| {
                let shard = ShardId { region: region_name.clone(), service: service_name.clone() };
                (shard, service)
            })
        })
    }

    /// Returns all backend servers.
    pub fn backends(&self) -> impl Iterator<Item = (&BackendId, &Backend)> {
        self.regions
            .values()
            .flat_map(|region| region.services.values())
            .flat_map(|service| &service.backends)
    }

    /// Returns all models and adapters of a region by the names that callers use.
    pub fn targets<'a>(
        &'a self,
        region: &'a RegionName,
    ) -> impl Iterator<Item = (&'a str, Target<'a>)> {
        let services = self.regions.get(region).into_iter().flat_map(|region| &region.services);
        let models = services.flat_map(|(service_name, service)| {
            service.models().map(move |(name, model)| (service_name, name, model))
        });
        models.flat_map(|(service_name, model_name, model)| {
            let shard = ShardId { region: region.clone(), service: service_name.clone() };
            let own = Target { shard, model_name, model, adapter: None };
            let adapters = model.adapters.iter().map({
                let own = own.clone();
                move |(name, adapter)| {
                    (name.as_str(), Target { adapter: Some((name, adapter)), ..own.clone() })
                }
            });
            std::iter::once((model_name.as_str(), own)).chain(adapters)
        })
    }

    /// Returns the caller whose API key is `key`.
    pub fn caller_by_key(&self, key: &str) -> Option<&AccountName> {
        let hash = KeyHash::of(key.as_bytes()).to_hex();
        self.callers.iter().find(|(_, caller)| caller.key_blake3 == hash).map(|(name, _)| name)
    }
}

#[cfg(test)]
mod tests;
