//! All stand-ins of one deployment, started from its tree.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use trackfront_core::ids::BackendId;
use trackfront_core::tree::{ServiceKind, Tree};

use crate::box_list::BoxListStandin;
use crate::engine::{EngineConfig, EngineStandin, WeightStore};
use crate::objects::ObjectStandin;
use crate::plain::PlainStandin;
use crate::server::Listening;
use crate::table::{TableLimits, TableStandin};

/// How far the box list lags.
const LIST_LAG: Duration = Duration::from_millis(200);

/// The speed of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightSpeed {
    /// Loads started a second.
    pub loads_per_second: f64,
    /// Loads at once.
    pub slots: usize,
    /// Milliseconds for a GiB.
    pub ms_per_gib: u64,
}

impl Default for WeightSpeed {
    fn default() -> Self {
        // Far faster than the users' store, so that an example is ready within seconds.
        Self { loads_per_second: 200.0, slots: 16, ms_per_gib: 2 }
    }
}

/// The platform's stand-ins.
pub struct Platform {
    /// The table.
    pub table: TableStandin,
    /// The object store.
    pub objects: ObjectStandin,
    /// The box list.
    pub boxes: BoxListStandin,
    /// The address of the table.
    pub table_address: String,
    /// The address of the object store.
    pub objects_address: String,
    /// The address of the box list.
    pub boxes_address: String,
    _listening: [Listening; 3],
}

impl Platform {
    /// Starts the platform on free ports of `ip`.
    pub async fn start(ip: &str, limits: TableLimits) -> anyhow::Result<Platform> {
        let table = TableStandin::new(limits);
        let objects = ObjectStandin::default();
        let boxes = BoxListStandin::new(LIST_LAG);
        let listening = [
            table.start(TcpListener::bind((ip, 0)).await?)?,
            objects.start(TcpListener::bind((ip, 0)).await?)?,
            boxes.start(TcpListener::bind((ip, 0)).await?)?,
        ];
        Ok(Platform {
            table,
            objects,
            boxes,
            table_address: listening[0].address.to_string(),
            objects_address: listening[1].address.to_string(),
            boxes_address: listening[2].address.to_string(),
            _listening: listening,
        })
    }
}

/// The stand-ins of a tree's backend servers.
#[derive(Default)]
pub struct Backends {
    /// The engines.
    pub engines: BTreeMap<BackendId, EngineStandin>,
    /// The servers of plain services; those of one service count their runs together.
    pub plain: BTreeMap<BackendId, PlainStandin>,
    /// The listeners, which stop when they are dropped.
    pub listening: BTreeMap<BackendId, Listening>,
}

impl Backends {
    /// Starts a stand-in at the address of each backend server in `tree`.
    pub async fn start(tree: &Tree, speed: WeightSpeed) -> anyhow::Result<Backends> {
        Backends::start_on(tree, speed, HashMap::new(), |_| {}).await
    }

    /// Starts the stand-ins, on `listeners` where those have the address already; `tune` changes
    /// each engine's settings.
    pub async fn start_on(
        tree: &Tree,
        speed: WeightSpeed,
        mut listeners: HashMap<String, TcpListener>,
        tune: fn(&mut EngineConfig),
    ) -> anyhow::Result<Backends> {
        let weights = WeightStore::new(speed.loads_per_second, speed.slots, speed.ms_per_gib);
        let mut backends = Backends::default();
        let mut incarnation = 0;
        for (_, service) in tree.shards() {
            let runs = Arc::new(Mutex::new(HashMap::new()));
            for (id, backend) in &service.backends {
                incarnation += 1;
                let listener = match listeners.remove(&backend.address) {
                    Some(listener) => listener,
                    None => TcpListener::bind(&backend.address).await.with_context(|| {
                        format!("cannot listen on {} for {id}", backend.address)
                    })?,
                };
                let listening = match service.kind {
                    ServiceKind::Engines { .. } => {
                        let mut config = EngineConfig::ordinary(
                            id.clone(),
                            backend.accelerators.clone(),
                            backend.checks_fence,
                        );
                        tune(&mut config);
                        let engine = EngineStandin::new(config, incarnation, weights.clone());
                        let listening = engine.start(listener)?;
                        backends.engines.insert(id.clone(), engine);
                        listening
                    }
                    ServiceKind::Plain { .. } => {
                        let server = PlainStandin::new(id.as_str(), runs.clone());
                        let listening = server.start(listener)?;
                        backends.plain.insert(id.clone(), server);
                        listening
                    }
                };
                backends.listening.insert(id.clone(), listening);
            }
        }
        Ok(backends)
    }
}
