//! What the giver of orders has under way at each engine, and how the planner sees it.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use trackfront_core::ids::{BackendId, ModelName, ServerKey};
use trackfront_core::serving::directory::{KnownServer, ServerEntry};
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

/// How long an order that was not answered may still be carried out: the engine may do so seconds later.
const STALE_ORDER_WINDOW: Duration = Duration::from_secs(15);

/// What is under way at all engines.
pub struct OrderTracker {
    /// By engine.
    pub engines: HashMap<BackendId, EngineOrders>,
    /// The rate of loads from the weight store.
    pub pacer: LoadPacer,
    /// Orders that were not answered: the run that they were meant for, and until when they may be carried out.
    unanswered: HashMap<ServerKey, (BackendId, Moment)>,
}

impl OrderTracker {
    /// Makes an empty one.
    pub fn new(pacer: LoadPacer) -> Self {
        Self { engines: HashMap::new(), pacer, unanswered: HashMap::new() }
    }

    /// Notes that no answer came to an order.
    pub fn record_unanswered(&mut self, server: &ServerEntry, now: Moment) {
        let until = now + STALE_ORDER_WINDOW;
        self.unanswered.insert(server.key.clone(), (server.id.clone(), until));
    }

    /// Returns whether an order that was meant for an earlier run of a server may still be carried out by this one.
    /// It names a count of orders taken, which starts anew; with no order of ours it stays at 0, where what may
    /// come finds an empty engine, whose memory any load fits.
    pub fn may_receive_stale_order(&self, server: &ServerEntry, now: Moment) -> bool {
        let unanswered = self.unanswered.get(&server.key);
        unanswered.is_some_and(|(run, until)| *run != server.id && now < *until)
    }

    /// Drops what is over.
    pub fn forget_old(&mut self, now: Moment) {
        self.unanswered.retain(|_, (_, until)| now < *until);
    }
}

/// Returns an engine as the planner should see it: by its report if that is newer than its row.
pub fn view(server: &KnownServer, engine_orders: &EngineOrders, now: Moment) -> EngineView {
    let entry = &server.entry;
    let report = engine_orders
        .report
        .as_ref()
        .filter(|(report, _)| !report.is_of_other_run(entry))
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
