//! The configuration in force: routes, services, models and the limits of clients.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::accounts::{AccountError, Accounts, ClientAccount, KeyHash};
use crate::ids::{AdapterName, ModelName, RegionName, ServiceName};
use crate::serving::cold::ColdStart;

/// Why a configuration is refused. The one in force stays in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// A route names a service that is not there.
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
        /// The prefix.
        prefix: String,
    },
    /// A route sends to no service.
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
        /// The other's.
        second: String,
    },
    /// A client account is wrong.
    #[error(transparent)]
    Account(#[from] AccountError),
}

/// What may be done with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RouteKind {
    /// It may run more than once.
    Repeatable,
    /// It may run at most once.
    Once,
    /// Its answer is a stream of events.
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

/// A service that a route sends to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its share of the route's requests, relative to the other targets'.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The host that clients name.
    pub host: String,
    /// The start of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// How long a request may be held at most.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, earns its full worth.
    pub target: Duration,
    /// The longest pause between events that is still in time.
    pub gap_target: Option<Duration>,
    /// The rank; 0 goes first.
    pub priority: u8,
    /// Where its requests go. Never empty.
    pub targets: Vec<RouteTarget>,
    /// How many servers one request may be sent to.
    pub max_attempts: u32,
    /// Whether another server may continue a stream that broke off.
    pub resumable: bool,
    /// Whether its requests need no key, where others do.
    pub public: bool,
    /// The only regions in which its requests may be served, if it is bound to some.
    pub regions: Option<BTreeSet<RegionName>>,
}

impl Route {
    /// Returns whether a request may be run again after it may have run.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Picks the service for a request by its hash, in proportion to the weights.
    pub fn service_for(&self, hash: u64) -> &ServiceName {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut place = hash % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if place < weight {
                return &target.service;
            }
            place -= weight;
        }
        &self.targets[0].service
    }
}

/// A model that a service's engines can hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// The name.
    pub name: ModelName,
    /// The size of the weights in MB.
    pub weight_mb: f64,
    /// How long a load from the weight store takes.
    pub load_time: Duration,
    /// How long a load from an engine's own disk takes.
    pub disk_load_time: Duration,
    /// How long a load from an engine's host memory takes.
    pub memory_load_time: Duration,
    /// The adapters of the model.
    pub adapters: Vec<AdapterName>,
    /// The size of one adapter in MB.
    pub adapter_mb: f64,
}

impl ModelSpec {
    /// Returns how long a load takes on an engine whose host memory and disk keep these models.
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

/// The engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// How many requests an engine runs at once.
    pub slots: u32,
    /// The tokens that an engine's memory for prompts holds.
    pub kv_tokens: u64,
    /// The memory for weights and adapters in MB.
    pub memory_mb: f64,
    /// How many adapters an engine holds at most.
    pub adapter_slots: u32,
    /// How many loads from the weight store may begin a second, over all engines.
    pub loads_per_s: f64,
    /// The models, by name.
    pub models: BTreeMap<ModelName, ModelSpec>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The path of the health check.
    pub health_path: String,
    /// How many connections one server accepts from all nodes together.
    pub connection_limit: u32,
    /// What a server bears after a start, if that is less than later.
    pub cold: Option<ColdStart>,
    /// The engines' figures; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// The largest head, in bytes.
    pub max_head_bytes: usize,
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
    /// How long a head may take.
    pub head_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Whose a request is.
#[derive(Clone, Debug, PartialEq)]
pub enum Authentication {
    /// No account's: it needs no key and shows none that is known.
    Anonymous,
    /// That of the account that has the key.
    Account(Arc<ClientAccount>),
    /// Nobody knows: it needs a key and shows none, or one that no account has.
    UnknownKey,
}

/// A whole configuration. One that another box passed on is checked like one that was stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "UncheckedConfig", into = "UncheckedConfig")]
pub struct ServingConfig {
    /// The number of the configuration; it only grows.
    pub version: u64,
    /// The services, by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// The limits of clients.
    pub limits: ClientLimits,
    /// The client accounts; `None` where requests need no key.
    pub accounts: Option<Accounts>,
    /// The routes of each host, the longest prefix first.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
}

/// What a configuration is made of, before it is checked and indexed.
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
    /// Checks and indexes a configuration.
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

    /// Sets the client accounts; with `None` requests need no key.
    pub fn with_accounts(mut self, accounts: Option<Accounts>) -> Self {
        self.accounts = accounts;
        self
    }

    /// Finds out whose request it is that shows `key` on `route`.
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

    /// Finds the route of a request: the longest prefix of the host that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns all routes.
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
