//! A deployment in memory: the real box code over stand-ins without sockets, so that runs on a
//! paused clock are fast and the same every time.

mod clock;
mod load;
mod net;
mod ports;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use parking_lot::Mutex;
use tokio::time::Instant;
use trackfront_adapters::metrics::Metrics;
use trackfront_adapters::wire::operator::{ApplyAnswer, ApplyRequest};
use trackfront_core::ids::{BackendId, HallName, Revision, TxnId};
use trackfront_core::ports::{ListedBox, ListedRole, ListedState};
use trackfront_core::tree::{ServiceKind, Tree, TreeFiles, build};
use trackfrontd::node::Node;
use trackfrontd::operators::apply::apply;
use trackfrontd::outside::{MakeChooser, MakePlanner, Outside, make_planner, make_router};
use trackfrontd::settings::Place;

pub use clock::MemoryClock;
pub use load::{CallResult, TextResult, call, text};
pub use net::MemoryNet;
use ports::{CutBoxList, CutObjects, CutTable, MemoryBackends, MemoryPeers};

use crate::box_list::BoxListStandin;
use crate::deployment::WeightSpeed;
use crate::engine::{EngineConfig, EngineStandin, WeightStore};
use crate::objects::ObjectStandin;
use crate::plain::PlainStandin;
use crate::table::{TableLimits, TableStandin};

/// How far the box list lags.
const LIST_LAG: Duration = Duration::from_millis(500);

/// How long each operation of the platform takes, in milliseconds.
const PLATFORM_LATENCY_MS: u64 = 5;

/// How a deployment in memory is built.
#[derive(Clone)]
pub struct MemorySpec {
    /// The tree's files.
    pub files: TreeFiles,
    /// How many entry boxes each hall has.
    pub boxes_per_hall: usize,
    /// The speed of the weight store.
    pub weights: WeightSpeed,
    /// Makes the chooser of engines of each box.
    pub make_chooser: MakeChooser,
    /// Makes the planner of each shard.
    pub make_planner: MakePlanner,
    /// Changes each engine's settings.
    pub tune: fn(&mut EngineConfig),
    /// The seed of all random numbers.
    pub seed: u64,
}

impl MemorySpec {
    /// Makes a deployment of this tree with three boxes a hall at most.
    pub fn new(files: TreeFiles, boxes_per_hall: usize) -> Self {
        Self {
            files,
            boxes_per_hall,
            weights: WeightSpeed::default(),
            make_chooser: make_router,
            make_planner: make_planner(),
            tune: |_| {},
            seed: 1,
        }
    }
}

/// A deployment in memory.
pub struct MemoryDeployment {
    /// The tree.
    pub tree: Tree,
    /// The tree's files.
    pub files: TreeFiles,
    /// The network, which can be cut.
    pub net: Arc<MemoryNet>,
    /// The clock.
    pub clock: Arc<MemoryClock>,
    /// The platform's table.
    pub table: TableStandin,
    /// The platform's object store.
    pub objects: ObjectStandin,
    /// The platform's box list.
    pub box_list: BoxListStandin,
    /// The engines.
    pub engines: HashMap<BackendId, EngineStandin>,
    /// The servers of plain services; those of one service count their runs together.
    pub plain: HashMap<BackendId, PlainStandin>,
    /// The entry boxes by peer address.
    pub nodes: HashMap<String, Node>,
    links: Arc<ports::Links>,
    make_chooser: MakeChooser,
    make_planner: MakePlanner,
    started: u64,
    seed: u64,
}

impl MemoryDeployment {
    /// Starts everything, without a tree in force.
    pub fn start(spec: MemorySpec) -> anyhow::Result<MemoryDeployment> {
        let tree = build(&spec.files)?;
        let speed = spec.weights;
        let weights = WeightStore::new(speed.loads_per_second, speed.slots, speed.ms_per_gib);
        let mut links = ports::Links::default();
        let (mut engines, mut plain) = (HashMap::new(), HashMap::new());
        let mut backends = Vec::new();
        for (_, service) in tree.shards() {
            let runs = Arc::new(Mutex::new(HashMap::new()));
            for (id, backend) in &service.backends {
                backends.push((backend.address.clone(), backend.hall.clone()));
                match service.kind {
                    ServiceKind::Engines { .. } => {
                        let accelerators = backend.accelerators.clone();
                        let mut config =
                            EngineConfig::ordinary(id.clone(), accelerators, backend.checks_fence);
                        (spec.tune)(&mut config);
                        let number = engines.len() as u64 + 1;
                        let engine = EngineStandin::new(config, number, weights.clone());
                        links.add_engine(&backend.address, &backend.hall, &engine);
                        engines.insert(id.clone(), engine);
                    }
                    ServiceKind::Plain { .. } => {
                        let server = PlainStandin::new(id.as_str(), runs.clone());
                        links.add_plain(&backend.address, &backend.hall, &server);
                        plain.insert(id.clone(), server);
                    }
                }
            }
        }
        let table = TableStandin::new(TableLimits::default());
        table.faults.change(|faults| faults.latency_ms = PLATFORM_LATENCY_MS);
        let objects = ObjectStandin::default();
        objects.faults.change(|faults| faults.latency_ms = PLATFORM_LATENCY_MS);
        let mut deployment = MemoryDeployment {
            files: spec.files,
            net: Arc::new(MemoryNet::default()),
            clock: Arc::new(MemoryClock::default()),
            table,
            objects,
            box_list: BoxListStandin::new(LIST_LAG),
            engines,
            plain,
            nodes: HashMap::new(),
            links: Arc::new(links),
            make_chooser: spec.make_chooser,
            make_planner: spec.make_planner,
            started: 0,
            seed: spec.seed,
            tree,
        };
        let halls: Vec<HallName> =
            deployment.tree.regions.values().flat_map(|region| region.halls.clone()).collect();
        for hall in &halls {
            for _ in 0..spec.boxes_per_hall {
                deployment.start_box(hall)?;
            }
        }
        Ok(deployment)
    }

    /// Starts everything, applies the tree, and waits until every model and adapter answers.
    pub async fn start_ready(spec: MemorySpec) -> anyhow::Result<MemoryDeployment> {
        let deployment = MemoryDeployment::start(spec)?;
        deployment.apply("first", Revision(0), deployment.files.clone()).await?;
        deployment.wait_reachable(Duration::from_secs(120)).await?;
        // Heartbeats, leases and keepers of claims come to rest.
        tokio::time::sleep(Duration::from_secs(5)).await;
        Ok(deployment)
    }

    /// Starts another entry box in `hall` and returns its peer address.
    pub fn start_box(&mut self, hall: &HallName) -> anyhow::Result<String> {
        let region = self
            .tree
            .regions
            .iter()
            .find(|(_, region)| region.halls.contains(hall))
            .map(|(name, _)| name.clone())
            .context("the hall is in no region")?;
        self.started += 1;
        let address = format!("box-{}", self.started);
        let metrics = Arc::new(Metrics::default());
        let net = self.net.clone();
        let from = hall.clone();
        let outside = Outside {
            clock: self.clock.clone(),
            table: Arc::new(CutTable::new(&net, &from, self.table.clone(), metrics.clone())),
            objects: Arc::new(CutObjects::new(&net, &from, self.objects.clone())),
            boxes: Arc::new(CutBoxList::new(&net, &from, self.box_list.clone())),
            peers: Arc::new(MemoryPeers::new(&net, &from)),
            backends: Arc::new(MemoryBackends::new(&net, &from, self.links.clone())),
            make_chooser: self.make_chooser,
            make_planner: self.make_planner.clone(),
        };
        let place = Place { name: address.clone(), region, hall: hall.clone() };
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(self.started);
        let node = Node::start(place, address.clone(), outside, metrics, seed);
        self.net.add(&address, node.shared.clone());
        self.nodes.insert(address.clone(), node);
        self.list_boxes();
        Ok(address)
    }

    /// Stops a box as a process does that is killed. The platform's list learns of it late.
    pub fn kill_box(&mut self, address: &str) {
        self.net.remove(address);
        if let Some(node) = self.nodes.remove(address) {
            node.kill();
        }
        self.list_boxes();
    }

    /// Ends a box that has left, after its last request.
    pub async fn finish_box(&mut self, address: &str) {
        if let Some(node) = self.nodes.remove(address) {
            node.finish().await;
        }
        self.net.remove(address);
        self.list_boxes();
    }

    /// Lets the platform's list say something else of a backend server.
    pub fn list_backend(&self, id: &BackendId, state: ListedState) {
        let backend = self.tree.backends().find(|(known, _)| *known == id);
        let mut list = self.box_list.coming();
        for listed in &mut list {
            if backend.is_some_and(|(_, backend)| backend.address == listed.address) {
                listed.state = state;
            }
        }
        self.box_list.set(list);
    }

    /// Returns the boxes' addresses in the order in which they were started.
    pub fn box_addresses(&self) -> Vec<String> {
        let mut addresses: Vec<String> = self.nodes.keys().cloned().collect();
        addresses.sort_by_key(|address| (address.len(), address.clone()));
        addresses
    }

    /// Tells the platform's list which boxes there are.
    pub fn list_boxes(&self) {
        let entries = self.nodes.iter().map(|(address, node)| ListedBox {
            address: address.clone(),
            role: ListedRole::Entry,
            hall: node.shared.place.hall.clone(),
            state: ListedState::Live,
        });
        let backends = self.tree.backends().map(|(_, backend)| ListedBox {
            address: backend.address.clone(),
            role: ListedRole::Backend,
            hall: backend.hall.clone(),
            state: ListedState::Live,
        });
        let mut list: Vec<ListedBox> = entries.chain(backends).collect();
        list.sort_by(|a, b| a.address.cmp(&b.address));
        self.box_list.set(list);
    }

    /// Applies a tree through the first box.
    pub async fn apply(
        &self,
        txn: &str,
        base: Revision,
        files: TreeFiles,
    ) -> anyhow::Result<Revision> {
        let addresses = self.box_addresses();
        let first = addresses.first().context("there is a box")?;
        let wanted = ApplyRequest {
            txn: TxnId::from(txn),
            base,
            files,
            author: "test".into(),
            reason: "a test".into(),
            allow_removals: true,
        };
        match apply(&self.nodes[first].shared, wanted).await {
            ApplyAnswer::Accepted { revision } => Ok(revision),
            other => bail!("not applied: {other:?}"),
        }
    }

    /// Waits until every model and adapter answers on every box.
    pub async fn wait_reachable(&self, time: Duration) -> anyhow::Result<Duration> {
        let start = Instant::now();
        loop {
            let missing = self.missing_items();
            if missing == 0 {
                return Ok(start.elapsed());
            }
            ensure!(start.elapsed() < time, "{missing} items do not answer");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns how many models and adapters do not answer, over all boxes.
    pub fn missing_items(&self) -> usize {
        self.nodes
            .values()
            .map(|node| match node.shared.in_force.current() {
                None => 1_000,
                Some(current) => current
                    .targets
                    .values()
                    .filter(|target| node.shared.fleet.ready_count(&target.item) == 0)
                    .count(),
            })
            .sum()
    }

    /// Returns how many models and adapters no engine that is up answers for, in any version.
    pub fn unreachable_items(&self) -> usize {
        let bundles = self.tree.shards().flat_map(|(_, service)| service.bundles());
        bundles
            .flat_map(|bundle| bundle.items)
            .filter(|sized| !self.engines.values().any(|engine| engine.answers_for(&sized.item)))
            .count()
    }

    /// Returns how many orders engines had to refuse because they would have gone over the
    /// memory.
    pub fn overcommits(&self) -> u64 {
        self.engines.values().map(|engine| engine.counts().overcommits).sum()
    }
}
