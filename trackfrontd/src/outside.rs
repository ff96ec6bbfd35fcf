//! The ports of one box, on the real libraries or on others that a test or benchmark gives.

use std::sync::Arc;

use async_trait::async_trait;
use trackfront_adapters::clock::SystemClock;
use trackfront_adapters::engine::HttpEngine;
use trackfront_adapters::http_client::HttpClient;
use trackfront_adapters::metrics::Metrics;
use trackfront_adapters::peers::H2Peers;
use trackfront_adapters::plain::HttpPlainService;
use trackfront_adapters::platform::{HttpBoxList, HttpObjects, HttpTable};
use trackfront_core::fleet::Fleet;
use trackfront_core::ids::HallName;
use trackfront_core::placement::{PlanMoves, Planner};
use trackfront_core::ports::{
    BoxList, Clock, CommitOutcome, Engine, Objects, Peers, PlainService, Row, RowKey, Table,
    TableError, Transaction,
};
use trackfront_core::routing::{ChooseEngine, Router, RouterOptions};

use crate::settings::Settings;

/// Reaches backend servers by their address.
pub trait Backends: Send + Sync {
    /// Returns the engine at `address`.
    fn engine(&self, address: &str) -> Arc<dyn Engine>;

    /// Returns the plain service's server at `address`.
    fn plain(&self, address: &str) -> Arc<dyn PlainService>;
}

/// Everything outside of a box.
#[derive(Clone)]
pub struct Outside {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub objects: Arc<dyn Objects>,
    /// The platform's box list.
    pub boxes: Arc<dyn BoxList>,
    /// The other boxes.
    pub peers: Arc<dyn Peers>,
    /// The backend servers.
    pub backends: Arc<dyn Backends>,
    /// Makes the chooser of engines.
    pub make_chooser: MakeChooser,
    /// Makes the planner of each shard that this box owns.
    pub make_planner: MakePlanner,
}

/// Makes a planner. Benchmarks put baselines here.
pub type MakePlanner = Arc<dyn Fn() -> Box<dyn PlanMoves> + Send + Sync>;

/// Makes the planner.
pub fn make_planner() -> MakePlanner {
    Arc::new(|| Box::new(Planner::default()))
}

/// Makes a chooser over a box's engines, for a box in a hall. Benchmarks put baselines here.
pub type MakeChooser = fn(Arc<Fleet>, &HallName) -> Box<dyn ChooseEngine>;

/// Makes the router.
pub fn make_router(fleet: Arc<Fleet>, hall: &HallName) -> Box<dyn ChooseEngine> {
    Box::new(Router::new(fleet, hall.clone(), RouterOptions::default()))
}

impl Outside {
    /// Reaches everything over the network, as the settings say.
    pub fn network(settings: &Settings, metrics: Arc<Metrics>) -> Outside {
        let client = HttpClient::default();
        let platform = &settings.platform;
        let table = HttpTable::new(client.clone(), platform.table.to_string());
        Outside {
            clock: Arc::new(SystemClock::default()),
            table: Arc::new(CountedTable { table, metrics }),
            objects: Arc::new(HttpObjects::new(client.clone(), platform.objects.to_string())),
            boxes: Arc::new(HttpBoxList::new(client.clone(), platform.boxes.to_string())),
            peers: Arc::new(H2Peers::new(settings.key.clone())),
            backends: Arc::new(HttpBackends { client }),
            make_chooser: make_router,
            make_planner: make_planner(),
        }
    }

    /// Makes the chooser of engines for a box in `hall`.
    pub fn chooser(&self, fleet: Arc<Fleet>, hall: &HallName) -> Box<dyn ChooseEngine> {
        (self.make_chooser)(fleet, hall)
    }
}

/// Backend servers over HTTP.
struct HttpBackends {
    client: HttpClient,
}

impl Backends for HttpBackends {
    fn engine(&self, address: &str) -> Arc<dyn Engine> {
        Arc::new(HttpEngine::new(self.client.clone(), address))
    }

    fn plain(&self, address: &str) -> Arc<dyn PlainService> {
        Arc::new(HttpPlainService::new(self.client.clone(), address))
    }
}

/// A table whose use is counted, since its rate is the scarcest thing in the system.
struct CountedTable<T> {
    table: T,
    metrics: Arc<Metrics>,
}

#[async_trait]
impl<T: Table> Table for CountedTable<T> {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, TableError> {
        self.metrics.table_reads.inc();
        self.table.read(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        self.metrics.table_reads.inc();
        self.table.scan(prefix).await
    }

    async fn commit(&self, txn: &Transaction) -> CommitOutcome {
        self.metrics.table_writes.inc();
        self.table.commit(txn).await
    }
}
