//! The orders in progress at each engine, and the planner's view of the engines.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use trackfront_core::ids::{BackendId, ModelName, ServerKey};
use trackfront_core::serving::directory::{KnownServer, ServerEntry};
use trackfront_core::serving::orders::{EngineReport, LoadPacer};
use trackfront_core::serving::planner::EngineView;
use trackfront_core::units::Moment;

/// The orders in progress at an engine.
#[derive(Clone, Debug, Default)]
pub struct EngineOrders {
    /// Whether a task is giving orders to the engine.
    pub has_task: bool,
    /// The model that is being loaded, or for which room is being made.
    pub loading: Option<ModelName>,
    /// The model that is being unloaded.
    pub leaving: Option<ModelName>,
    /// Whether a load that may read from the weight store is about to be ordered.
    pub awaits_load: bool,
    /// The time until which the engine gets no orders.
    pub rest_until: Moment,
    /// The engine's last report, and when it was requested.
    pub report: Option<(EngineReport, Moment)>,
}

/// How long an unanswered order may still be executed; an engine may do so seconds later.
const STALE_ORDER_WINDOW: Duration = Duration::from_secs(15);

/// The orders in progress at all engines.
pub struct OrderTracker {
    /// The orders in progress, by engine.
    pub engines: HashMap<BackendId, EngineOrders>,
    /// Limits the rate of loads from the weight store.
    pub pacer: LoadPacer,
    /// Unanswered orders: the incarnation that they were meant for, and until when they may be
    /// executed.
    unanswered: HashMap<ServerKey, (BackendId, Moment)>,
}

impl OrderTracker {
    /// Creates a tracker without orders in progress.
    pub fn new(pacer: LoadPacer) -> Self {
        Self { engines: HashMap::new(), pacer, unanswered: HashMap::new() }
    }

    /// Records that an order got no answer.
    pub fn record_unanswered(&mut self, server: &ServerEntry, now: Moment) {
        let until = now + STALE_ORDER_WINDOW;
        self.unanswered.insert(server.key.clone(), (server.id.clone(), until));
    }

    /// Returns whether an order for an earlier incarnation of a server may still be executed by
    /// this one. An order names the server's order count, which starts anew with each incarnation.
    /// As long as this box gives the new incarnation no order, the count stays at 0, and a late
    /// order meets an empty engine, whose memory fits any load.
    pub fn may_receive_stale_order(&self, server: &ServerEntry, now: Moment) -> bool {
        let unanswered = self.unanswered.get(&server.key);
        unanswered.is_some_and(|(incarnation, until)| *incarnation != server.id && now < *until)
    }

    /// Drops unanswered orders that can no longer be executed.
    pub fn forget_old(&mut self, now: Moment) {
        self.unanswered.retain(|_, (_, until)| now < *until);
    }
}

/// Returns the planner's view of an engine: by its report if that is newer than its row.
pub fn view(server: &KnownServer, engine_orders: &EngineOrders, now: Moment) -> EngineView {
    let entry = &server.entry;
    let report = engine_orders
        .report
        .as_ref()
        .filter(|(report, _)| !report.is_of_other_incarnation(entry))
        .filter(|(report, at)| report.sequence > entry.sequence || *at > server.learned_at);
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
        busy: engine_orders.has_task || now < engine_orders.rest_until,
        in_memory,
        on_disk,
    }
}
