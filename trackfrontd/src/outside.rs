//! The ports of one box, with implementations for the network or for tests and benchmarks.

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

/// Creates clients of backend servers.
pub trait Backends: Send + Sync {
    /// Returns a client of the engine at `address`.
    fn engine(&self, address: &str) -> Arc<dyn Engine>;

    /// Returns a client of the plain server at `address`.
    fn plain(&self, address: &str) -> Arc<dyn PlainService>;
}

/// The ports of a box to everything outside.
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
    /// Creates the router.
    pub make_chooser: MakeChooser,
    /// Creates the planner of a shard that this box owns.
    pub make_planner: MakePlanner,
}

/// Creates a planner. Benchmarks replace it by baselines.
pub type MakePlanner = Arc<dyn Fn() -> Box<dyn PlanMoves> + Send + Sync>;

/// Returns the function that creates the default planner.
pub fn make_planner() -> MakePlanner {
    Arc::new(|| Box::new(Planner::default()))
}

/// Creates the router of a box in a hall. Benchmarks replace it by baselines.
pub type MakeChooser = fn(Arc<Fleet>, &HallName) -> Box<dyn ChooseEngine>;

/// Creates the default router.
pub fn make_router(fleet: Arc<Fleet>, hall: &HallName) -> Box<dyn ChooseEngine> {
    Box::new(Router::new(fleet, hall.clone(), RouterOptions::default()))
}

impl Outside {
    /// Returns ports that use the network, by the settings.
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

    /// Creates the router of a box in `hall`.
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

/// A table that counts its calls, since their rate is limited.
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
