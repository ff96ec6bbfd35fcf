//! The tree in force at this box, prepared for requests. Its revision never decreases.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use thiserror::Error;
use trackfront_core::ids::{
    AccountName, BackendId, HallName, ItemKey, RegionName, Revision, ServiceName, ShardId,
};
use trackfront_core::ports::{Engine, PlainService};
use trackfront_core::tree::snapshot::SnapshotError;
use trackfront_core::tree::{
    Backend, Policy, Service, ServiceKind, Snapshot, Tree, TreeErrors, build,
};

use crate::outside::Backends;

/// The maximum number of similar names in an error.
const MAX_SIMILAR_NAMES: usize = 3;

/// The minimum similarity of a proposed name, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.75;

/// Why a snapshot cannot be put in force.
#[derive(Debug, Error)]
pub enum InstallError {
    /// The snapshot is damaged.
    #[error(transparent)]
    Damaged(#[from] SnapshotError),
    /// The snapshot is not newer than the tree in force.
    #[error("revision {offered} is not newer than {current}, which stays in force")]
    NotNewer {
        /// The revision that was offered.
        offered: Revision,
        /// The revision in force.
        current: Revision,
    },
    /// The accepted tree is invalid for this version of the program.
    #[error("revision {revision} does not build on this box: {errors}; upgrade the box")]
    DoesNotBuild {
        /// The revision.
        revision: Revision,
        /// The errors.
        errors: TreeErrors,
    },
}

/// The holder of the tree in force.
#[derive(Default)]
pub struct InForce {
    current: ArcSwapOption<TreeInForce>,
    /// Locked while a tree is put in force, so that revisions only increase.
    installing: Mutex<()>,
}

/// A tree in force, with indexes for requests.
pub struct TreeInForce {
    /// The committed tree.
    pub snapshot: Snapshot,
    /// The tree.
    pub tree: Tree,
    /// The models and adapters by the names in requests.
    pub targets: BTreeMap<String, Arc<ResolvedTarget>>,
    /// The plain services by name.
    pub plain: HashMap<ServiceName, PlainTarget>,
    /// The engines.
    pub engines: HashMap<BackendId, Arc<dyn Engine>>,
}

/// A model or adapter, resolved for requests.
#[derive(Clone, Debug)]
pub struct ResolvedTarget {
    /// The name in requests.
    pub name: String,
    /// The shard of its service.
    pub shard: ShardId,
    /// The item that has to be resident.
    pub item: ItemKey,
    /// The limits of a request.
    pub limits: RequestLimits,
}

/// The limits of a request by its policy.
#[derive(Clone, Debug)]
pub struct RequestLimits {
    /// The callers with access; `None` for all.
    pub callers: Option<Vec<AccountName>>,
    /// The maximum time until the answer is complete.
    pub deadline: Duration,
    /// The priority.
    pub priority: u8,
    /// The maximum size of the body in bytes.
    pub max_body: usize,
    /// The maximum number of retries at further backend servers.
    pub max_retries: usize,
}

/// A plain service, resolved for requests.
pub struct PlainTarget {
    /// The shard of the service.
    pub shard: ShardId,
    /// The service.
    pub service: Service,
    /// The limits of a request.
    pub limits: RequestLimits,
    /// The servers, with their halls.
    pub servers: Vec<PlainServer>,
}

/// A server of a plain service.
pub struct PlainServer {
    /// The identifier.
    pub id: BackendId,
    /// The hall.
    pub hall: HallName,
    /// The client for it.
    pub link: Arc<dyn PlainService>,
}

impl From<&Policy> for RequestLimits {
    fn from(policy: &Policy) -> Self {
        let all = policy.callers.value.iter().any(|name| name == "*");
        let callers = policy.callers.value.iter().map(|name| name.as_str().into()).collect();
        Self {
            callers: (!all).then_some(callers),
            deadline: Duration::from_millis(policy.deadline_ms.value),
            priority: policy.priority.value,
            max_body: policy.max_body_kib.value as usize * 1024,
            max_retries: policy.max_retries.value as usize,
        }
    }
}

impl RequestLimits {
    /// Returns whether `caller` has access.
    pub fn allows(&self, caller: &AccountName) -> bool {
        self.callers.as_ref().is_none_or(|callers| callers.contains(caller))
    }
}

impl InForce {
    /// Returns the tree in force; `None` before the first one.
    pub fn current(&self) -> Option<Arc<TreeInForce>> {
        self.current.load_full()
    }

    /// Returns the revision in force; zero before the first one.
    pub fn revision(&self) -> Revision {
        self.current.load().as_ref().map_or(Revision(0), |tree| tree.snapshot.revision)
    }

    /// Puts a snapshot in force if it is valid and newer. Otherwise the tree in force stays.
    pub fn install(
        &self,
        bytes: &[u8],
        region: &RegionName,
        backends: &dyn Backends,
    ) -> Result<Revision, InstallError> {
        let snapshot = Snapshot::decode(bytes)?;
        let _installing = self.installing.lock();
        let current = self.revision();
        if snapshot.revision <= current {
            return Err(InstallError::NotNewer { offered: snapshot.revision, current });
        }
        let revision = snapshot.revision;
        let tree = build(&snapshot.files)
            .map_err(|errors| InstallError::DoesNotBuild { revision, errors })?;
        let ready = TreeInForce::new(snapshot, tree, region, backends, self.current().as_deref());
        let before = self.current.swap(Some(Arc::new(ready)));
        assert!(
            before.is_none_or(|before| before.snapshot.revision < revision),
            "a revision in force never goes back"
        );
        Ok(revision)
    }
}

impl TreeInForce {
    fn new(
        snapshot: Snapshot,
        tree: Tree,
        region: &RegionName,
        backends: &dyn Backends,
        before: Option<&TreeInForce>,
    ) -> Self {
        let mut targets = BTreeMap::new();
        // Names of this region replace those of others.
        let others = tree.regions.keys().filter(|name| *name != region);
        for name in others.chain(std::iter::once(region)) {
            for (name, target) in tree.targets(name) {
                let resolved = ResolvedTarget {
                    name: name.to_string(),
                    shard: target.shard.clone(),
                    item: target.item(),
                    limits: target.policy().into(),
                };
                targets.insert(name.to_string(), Arc::new(resolved));
            }
        }
        let engines = engine_clients(&tree, backends, before);
        let plain = plain_targets(&tree, region, backends);
        Self { snapshot, tree, targets, plain, engines }
    }

    /// Returns the model or adapter with a name.
    pub fn target(&self, name: &str) -> Option<&Arc<ResolvedTarget>> {
        self.targets.get(name)
    }

    /// Returns the names that are similar to `name`, the most similar first.
    pub fn similar_names(&self, name: &str) -> Vec<String> {
        let mut similar: Vec<(f64, &String)> = self
            .targets
            .keys()
            .map(|known| (strsim::jaro_winkler(known, name), known))
            .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
            .collect();
        similar.sort_by(|a, b| b.0.total_cmp(&a.0));
        similar.into_iter().take(MAX_SIMILAR_NAMES).map(|(_, known)| known.clone()).collect()
    }
}

/// Returns the client of each engine. Clients are reused if the address has not changed.
fn engine_clients(
    tree: &Tree,
    backends: &dyn Backends,
    before: Option<&TreeInForce>,
) -> HashMap<BackendId, Arc<dyn Engine>> {
    let address_before: HashMap<&BackendId, &Backend> =
        before.map(|before| before.tree.backends().collect()).unwrap_or_default();
    let engines = tree
        .shards()
        .filter(|(_, service)| matches!(service.kind, ServiceKind::Engines { .. }))
        .flat_map(|(_, service)| &service.backends);
    engines
        .map(|(id, backend)| {
            let reused = before.filter(|_| {
                address_before.get(id).is_some_and(|known| known.address == backend.address)
            });
            let client = reused
                .and_then(|before| before.engines.get(id).cloned())
                .unwrap_or_else(|| backends.engine(&backend.address));
            (id.clone(), client)
        })
        .collect()
}

/// Returns the plain services. Those of this region replace those of others.
fn plain_targets(
    tree: &Tree,
    region: &RegionName,
    backends: &dyn Backends,
) -> HashMap<ServiceName, PlainTarget> {
    let mut plain = HashMap::new();
    for (shard, service) in tree.shards() {
        if !matches!(service.kind, ServiceKind::Plain { .. })
            || (plain.contains_key(&shard.service) && shard.region != *region)
        {
            continue;
        }
        let servers = service
            .backends
            .iter()
            .map(|(id, backend)| PlainServer {
                id: id.clone(),
                hall: backend.hall.clone(),
                link: backends.plain(&backend.address),
            })
            .collect();
        let target = PlainTarget {
            shard: shard.clone(),
            service: service.clone(),
            limits: (&service.policy).into(),
            servers,
        };
        plain.insert(shard.service, target);
    }
    plain
}
