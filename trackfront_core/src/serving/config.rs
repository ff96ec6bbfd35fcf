//! The serving configuration: routes, services, models and client limits.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::accounts::{AccountError, Accounts, ClientAccount, KeyHash};
use crate::ids::{AdapterName, ModelName, RegionName, ServiceName};
use crate::serving::cold::ColdStart;

/// Why a configuration is rejected. The one in force then stays in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// A route names a service that is not configured.
    #[error("route {route} names the service {service}, which is not configured; add it")]
    UnknownService {
        /// The route's name.
        route: String,
        /// The service's name.
        service: ServiceName,
    },
    /// A path prefix does not begin and end with a slash.
    #[error("route {route} has the prefix {prefix}; begin and end it with a slash")]
    BadPrefix {
        /// The route's name.
        route: String,
        /// The rejected prefix.
        prefix: String,
    },
    /// A route has no service with a weight above 0.
    #[error("route {route} names no service with a weight; give it one")]
    NoTarget {
        /// The route's name.
        route: String,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} have the same host and prefix; remove one")]
    SameRoute {
        /// One route's name.
        first: String,
        /// The other route's name.
        second: String,
    },
    /// The client accounts are invalid.
    #[error(transparent)]
    Account(#[from] AccountError),
}

/// How often a route's requests may run, and the form of their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Repeatable,
    /// A request may run at most once.
    Once,
    /// The answer is a stream of events.
    Stream,
}

impl RouteKind {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RouteKind::Repeatable => "repeatable",
            RouteKind::Once => "once",
            RouteKind::Stream => "stream",
        }
    }
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// The weight of its share of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// The rules for requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name that logs show.
    pub name: String,
    /// The host that the requests name.
    pub host: String,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// How often requests may run, and the form of their answers.
    pub kind: RouteKind,
    /// The maximum time for which a request is held.
    pub timeout: Duration,
    /// The target latency of an answer, or of the first event of a stream.
    pub latency_target: Duration,
    /// The target for the longest gap between two events of a stream.
    pub event_gap_target: Option<Duration>,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The services that handle the requests; never empty.
    pub targets: Vec<RouteTarget>,
    /// The maximum number of servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether another server may continue an interrupted stream.
    pub resumable: bool,
    /// Whether requests need no key even if there are client accounts.
    pub public: bool,
    /// The regions to which its requests are restricted, if any.
    pub regions: Option<BTreeSet<RegionName>>,
}

impl Route {
    /// Returns whether a request that may already have run may be run again.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Selects the service for a request by its hash, in proportion to the weights.
    pub fn service_for(&self, hash: u64) -> &ServiceName {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut offset = hash % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if offset < weight {
                return &target.service;
            }
            offset -= weight;
        }
        &self.targets[0].service
    }
}

/// A model that the engines of a service can load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// The name.
    pub name: ModelName,
    /// The size of the weights, in MB.
    pub weight_mb: f64,
    /// The duration of a load from the weight store.
    pub load_time: Duration,
    /// The duration of a load from the engine's own disk.
    pub disk_load_time: Duration,
    /// The duration of a load from the engine's host memory.
    pub memory_load_time: Duration,
    /// The adapters of the model.
    pub adapters: Vec<AdapterName>,
    /// The size of one adapter, in MB.
    pub adapter_mb: f64,
}

impl ModelSpec {
    /// Returns the duration of a load on an engine whose host memory and disk have copies of these
    /// models.
    pub fn load_time_with(
        &self,
        in_memory: &BTreeSet<ModelName>,
        on_disk: &BTreeSet<ModelName>,
    ) -> Duration {
        if in_memory.contains(&self.name) {
            return self.memory_load_time;
        }
        match on_disk.contains(&self.name) {
            true => self.disk_load_time,
            false => self.load_time,
        }
    }
}

/// The capacity and the models of a service's engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The number of requests that an engine runs concurrently.
    pub slots: u32,
    /// The capacity of an engine's KV cache, in tokens.
    pub kv_tokens: u64,
    /// The memory of an engine for weights and adapters, in MB.
    pub memory_mb: f64,
    /// The maximum number of adapters on an engine.
    pub adapter_slots: u32,
    /// The number of loads from the weight store that may begin per second, over all engines.
    pub loads_per_s: f64,
    /// The models, by name.
    pub models: BTreeMap<ModelName, ModelSpec>,
}

/// A service and the properties of its servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The path of the servers' health check.
    pub health_path: String,
    /// The number of connections that one server accepts from all boxes together.
    pub connection_limit: u32,
    /// The reduced load that a server can take after a start, if it is reduced.
    pub cold: Option<ColdStart>,
    /// The engines of the service; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// The limits on the size and duration of client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// The maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The time within which a request head must arrive.
    pub head_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// The result of checking a request's key.
#[derive(Clone, Debug, PartialEq)]
pub enum Authentication {
    /// The request needs no key and carries no known one.
    Anonymous,
    /// The request carries a key of this account.
    Account(Arc<ClientAccount>),
    /// The request needs a key but carries none, or one that no account has.
    UnknownKey,
}

/// A complete, validated configuration. One that another box forwarded is validated like a stored
/// one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "UncheckedConfig", into = "UncheckedConfig")]
pub struct ServingConfig {
    /// The version of the configuration, which only grows.
    pub version: u64,
    /// The services, by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// The limits for client requests.
    pub limits: ClientLimits,
    /// The client accounts; `None` if requests need no key.
    pub accounts: Option<Accounts>,
    /// The routes of each host, longest prefix first.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
}

/// The serialized form of a configuration, before it is validated and indexed.
#[derive(Serialize, Deserialize)]
struct UncheckedConfig {
    version: u64,
    routes: Vec<Route>,
    services: BTreeMap<ServiceName, ServiceSpec>,
    limits: ClientLimits,
    accounts: Option<Accounts>,
}

impl TryFrom<UncheckedConfig> for ServingConfig {
    type Error = ConfigError;

    fn try_from(parts: UncheckedConfig) -> Result<Self, ConfigError> {
        let config = ServingConfig::new(parts.version, parts.routes, parts.services, parts.limits)?;
        Ok(config.with_accounts(parts.accounts))
    }
}

impl From<ServingConfig> for UncheckedConfig {
    fn from(config: ServingConfig) -> Self {
        let routes = config.routes().map(|route| Route::clone(route)).collect();
        let ServingConfig { version, services, limits, accounts, .. } = config;
        UncheckedConfig { version, routes, services, limits, accounts }
    }
}

impl ServingConfig {
    /// Returns the services that answer with streams which clients may take up again.
    pub fn resumable_services(&self) -> BTreeSet<&ServiceName> {
        let resumable = self.routes.values().flatten().filter(|route| route.resumable);
        resumable.flat_map(|route| &route.targets).map(|target| &target.service).collect()
    }

    /// Validates and indexes a configuration.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<ServiceName, ServiceSpec>,
        limits: ClientLimits,
    ) -> Result<Self, ConfigError> {
        let mut by_host: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            check_route(&route, &services)?;
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by(|a, b| {
                b.prefix.len().cmp(&a.prefix.len()).then_with(|| a.prefix.cmp(&b.prefix))
            });
            if let Some(pair) = routes.windows(2).find(|pair| pair[0].prefix == pair[1].prefix) {
                let (first, second) = (pair[0].name.clone(), pair[1].name.clone());
                return Err(ConfigError::SameRoute { first, second });
            }
        }
        Ok(Self { version, services, limits, accounts: None, routes: by_host })
    }

    /// Sets the client accounts; with `None`, requests need no key.
    pub fn with_accounts(mut self, accounts: Option<Accounts>) -> Self {
        self.accounts = accounts;
        self
    }

    /// Determines the client account of a request on `route` that carries `key`.
    pub fn authenticate(&self, route: &Route, key: Option<&KeyHash>) -> Authentication {
        let Some(accounts) = &self.accounts else {
            return Authentication::Anonymous;
        };
        match key.and_then(|key| accounts.by_key(key)) {
            Some(account) => Authentication::Account(account.clone()),
            None if route.public => Authentication::Anonymous,
            None => Authentication::UnknownKey,
        }
    }

    /// Returns the route of a request: the one of the host with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the routes of all hosts.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}

fn check_route(
    route: &Route,
    services: &BTreeMap<ServiceName, ServiceSpec>,
) -> Result<(), ConfigError> {
    let name = || route.name.clone();
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        return Err(ConfigError::BadPrefix { route: name(), prefix: route.prefix.clone() });
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(ConfigError::NoTarget { route: name() });
    }
    match route.targets.iter().find(|target| !services.contains_key(&target.service)) {
        Some(target) => {
            let service = target.service.clone();
            Err(ConfigError::UnknownService { route: name(), service })
        }
        None => Ok(()),
    }
}
