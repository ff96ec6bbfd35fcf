//! What the giver of orders has under way at each engine, and how the planner sees it.

use std::collections::{BTreeSet, HashMap};

use trackfront_core::ids::{BackendId, ModelName};
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::orders::{EngineReport, LoadPacer};
use trackfront_core::serving::planner::EngineView;
use trackfront_core::units::Moment;

/// What is under way at an engine.
#[derive(Clone, Debug, Default)]
pub struct EngineOrders {
    /// Whether a task gives it orders.
    pub working: bool,
    /// The model that is on its way in, or has its place promised.
    pub loading: Option<ModelName>,
    /// The model that is on its way out.
    pub leaving: Option<ModelName>,
    /// Whether a load is about to be ordered that may take from the weight store.
    pub awaits_load: bool,
    /// Until when it is left alone.
    pub rest_until: Moment,
    /// Its last report, and when that was asked for.
    pub report: Option<(EngineReport, Moment)>,
}

/// What is under way at all engines.
pub struct OrderBook {
    /// By engine.
    pub engines: HashMap<BackendId, EngineOrders>,
    /// The rate of loads from the weight store.
    pub pacer: LoadPacer,
}

/// Returns an engine as the planner should see it: by its report if that is newer than its row.
pub fn view(server: &KnownServer, engine_orders: &EngineOrders, now: Moment) -> EngineView {
    let entry = &server.entry;
    let report = engine_orders
        .report
        .as_ref()
        .filter(|(report, at)| report.sequence > entry.sequence || *at > server.learned);
    let (models, in_memory, on_disk, pending) = match report {
        Some((report, _)) => (
            report.models.clone(),
            report.in_memory.clone(),
            report.on_disk.clone(),
            report.pending.clone(),
        ),
        None => {
            (entry.models.clone(), entry.in_memory.clone(), entry.on_disk.clone(), BTreeSet::new())
        }
    };
    EngineView {
        id: entry.id.clone(),
        models,
        loading: engine_orders.loading.clone(),
        leaving: engine_orders.leaving.clone(),
        pending,
        in_use: BTreeSet::new(),
        busy: engine_orders.working || now < engine_orders.rest_until,
        in_memory,
        on_disk,
    }
}
