//! Gives orders to engines while this box holds the order lease.
//!
//! Each round makes a plan from what the engines hold and from the demand at all boxes. The orders
//! to each engine are executed by a task of their own.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use trackfront_core::ids::{BackendId, ServiceName};
use trackfront_core::serving::config::EngineSpec;
use trackfront_core::serving::demand::Rate;
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::orders::{LoadPacer, Operation};
use trackfront_core::serving::planner::limited::{RateLimitedEngine, covers_share};
use trackfront_core::serving::planner::{EngineView, Plan, Proposal, plan};
use trackfront_core::serving::request::ModelRef;
use trackfront_core::units::Moment;

use super::gossip::HoldsOrderLease;
use super::lease::{OrderFence, OrderLease};
use super::missing_items;
use super::node::ServingNode;
use super::order_task::OrderTask;
use super::order_tracker::{OrderTracker, view};
use super::reach;

/// The maximum interval between two plans.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// The minimum interval between two plans.
const MIN_ROUND_GAP: Duration = Duration::from_millis(15);

/// The pause after planning, in multiples of the time that planning took: a box that plans for
/// thousands of engines must still answer requests and receive messages.
const PAUSE_PLANNING_TIME_FACTOR: u32 = 4;

/// The maximum pause after planning: the machine may have been suspended while it planned.
const MAX_PAUSE: Duration = Duration::from_millis(2_000);

/// The interval at which the inputs of a plan are logged.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of models in such a log line.
const SUMMARY_MODELS: usize = 12;

/// The usual time until a model that makes room is unloaded: it is withdrawn for 150 ms, and its
/// requests in progress end.
const EVICTION_TIME: Duration = Duration::from_millis(1_000);

/// How long an engine that fails requests still counts as holding its models, before the plan
/// excludes it.
const UNREACHABLE_GRACE: Duration = Duration::from_millis(700);

/// The time since the first failed connection after which a box that is cut off gives up the order lease. Several servers
/// that were silent for a moment look like a cut until one is tried again, and the next holder waits for seconds.
const MIN_CUT_OFF: Duration = Duration::from_millis(1_000);

/// Plans and gives orders while this box holds the order lease.
pub struct Placement {
    node: Arc<ServingNode>,
    lease: OrderLease,
    order_fence: Arc<OrderFence>,
    tracker: Arc<Mutex<OrderTracker>>,
    tasks: JoinSet<()>,
    summary_logged_at: Moment,
    /// The time that the last planning of all services took.
    planning_time: Duration,
}

impl Placement {
    /// Creates a placement that doesn't hold the lease.
    pub fn new(node: Arc<ServingNode>, holds_lease: Arc<HoldsOrderLease>) -> Self {
        let order_fence = Arc::new(OrderFence::default());
        let lease = OrderLease::new(node.clone(), order_fence.clone(), holds_lease);
        let terms = node.settings.load().promises.loads();
        let tracker = OrderTracker::new(LoadPacer::new(terms, node.now()));
        let (tracker, tasks) = (Arc::new(Mutex::new(tracker)), JoinSet::new());
        let (summary_logged_at, planning_time) = (Moment::default(), Duration::ZERO);
        Self { node, lease, order_fence, tracker, tasks, summary_logged_at, planning_time }
    }

    /// Plans and gives orders until the box stops, then releases the lease.
    pub async fn run(mut self) {
        while !self.node.is_stopping() {
            let notified = self.node.missing_item_added.notified();
            let _ = timeout(ROUND_INTERVAL, notified).await;
            let pause = (self.planning_time * PAUSE_PLANNING_TIME_FACTOR).min(MAX_PAUSE);
            sleep(MIN_ROUND_GAP.max(pause)).await;
            self.planning_time = Duration::ZERO;
            while self.tasks.try_join_next().is_some() {}
            self.round().await;
        }
        self.tasks.abort_all();
        self.lease.release("the node stops").await;
    }

    async fn round(&mut self) {
        let Some(config) = self.node.config.load_full() else {
            return;
        };
        let services: Vec<(ServiceName, EngineSpec)> = config
            .services
            .iter()
            .filter_map(|(name, service)| Some((name.clone(), service.engine.clone()?)))
            .collect();
        if services.is_empty() {
            return;
        }
        if self.node.is_discovering_peers() || !self.knows_engines(&services) {
            return;
        }
        if self.reaches_no_engine() {
            if self.lease.is_holder() {
                self.tasks.abort_all();
                self.lease.release("this box is cut off from all servers").await;
            }
            return;
        }
        let was_holder = self.lease.is_holder();
        if !self.lease.try_acquire().await {
            return;
        }
        let now = self.node.now();
        if !was_holder {
            // Tasks of an earlier tenure have no valid fencing token any more, and their end must
            // not be taken for the end of tasks of this tenure.
            self.tasks.abort_all();
            let mut tracker = self.tracker.lock();
            tracker.pacer = LoadPacer::new(self.node.settings.load().promises.loads(), now);
            tracker.engines.clear();
        }
        self.node.overlay.lock().forget_old(now);
        for (service, spec) in services {
            let started_at = self.node.now();
            let proposals = self.propose(&service, &spec, now);
            self.planning_time += self.node.now().since(started_at);
            if !proposals.is_empty() && self.lease.renew().await {
                for (engine, proposals) in by_engine(proposals) {
                    self.start_task(&engine, proposals, &spec);
                }
            }
        }
    }

    /// Returns whether this box has been cut off for so long that its orders reach no engine.
    fn reaches_no_engine(&self) -> bool {
        let cut_off_since = self.node.reach.lock().cut_off_since();
        cut_off_since.is_some_and(|since| self.node.now().since(since) >= MIN_CUT_OFF)
    }

    /// Returns whether there are engines to give orders to, and the list of them is complete.
    fn knows_engines(&self, services: &[(ServiceName, EngineSpec)]) -> bool {
        let directory = self.node.directory.lock();
        let has_engines =
            services.iter().any(|(service, _)| !directory.of_service(service).is_empty());
        has_engines && !directory.may_be_incomplete(self.node.now())
    }

    fn propose(&mut self, service: &ServiceName, spec: &EngineSpec, now: Moment) -> Vec<Proposal> {
        let servers: Vec<Arc<KnownServer>> =
            self.node.directory.lock().of_service(service).to_vec();
        let mut in_use = self.node.adapter_use.lock().by_server(now);
        let mut tracker = self.tracker.lock();
        tracker.forget_old(now);
        let mut views = Vec::with_capacity(servers.len());
        let evacuations = self.node.evacuations.lock();
        // Servers of an evacuated hall get no requests, so what they hold counts as missing.
        let is_usable = |server: &&Arc<KnownServer>| {
            self.node.accepts_new(server) && !evacuations.is_evacuated(&server.entry.hall)
        };
        let usable: Vec<&Arc<KnownServer>> = servers.iter().filter(is_usable).collect();
        let demand = self.node.demand.lock().total(now);
        for (server, backs_off) in self.participating(usable, &demand, now) {
            let mut loads = self.node.loads.lock();
            let load = loads.server(&server.entry.id);
            let unreachable_since = load.unreachable_since();
            let lost = unreachable_since.is_some_and(|since| now.since(since) > UNREACHABLE_GRACE);
            if lost && !load.is_paused(now) {
                // No request tries an engine that holds nothing, so the order holder does.
                loads.mark_unreachable(&server.entry.id, now);
                tokio::spawn(reach::check_again(self.node.clone(), server.clone()));
            } else if !lost && !load.is_replaced() {
                let engine_orders = tracker.engines.entry(server.entry.id.clone()).or_default();
                let engine_view = view(server, engine_orders, now);
                let busy = engine_view.busy
                    || tracker.may_receive_stale_order(&server.entry, now)
                    || backs_off;
                let in_use = in_use.remove(&server.entry.id).unwrap_or_default();
                views.push(EngineView { in_use, busy, ..engine_view });
            }
        }
        let awaited_loads =
            tracker.engines.values().filter(|engine_orders| engine_orders.awaits_load).count();
        let available = tracker.pacer.available(spec.loads_per_s, now);
        let store_loads = available.saturating_sub(awaited_loads);
        drop(tracker);
        let planned = plan(spec, &views, &demand, store_loads);
        if now.since(self.summary_logged_at) >= SUMMARY_INTERVAL {
            self.summary_logged_at = now;
            let idle = views.iter().filter(|view| !view.busy).count();
            log_summary(service, views.len(), idle, &planned);
        }
        planned.proposals
    }

    /// Returns the engines that take part in serving the demand, and whether each has asked this
    /// box to back off.
    fn participating<'a>(
        &self,
        engines: Vec<&'a Arc<KnownServer>>,
        demand: &HashMap<ModelRef, Rate>,
        now: Moment,
    ) -> Vec<(&'a Arc<KnownServer>, bool)> {
        let notices = self.node.notices.lock();
        let limited = engines.iter().map(|server| RateLimitedEngine {
            models: &server.entry.models,
            per_s: notices.limit_per_s(&server.entry.id),
        });
        let covers_share = covers_share(&limited.collect::<Vec<_>>(), demand);
        let backs_off =
            |server: &KnownServer| notices.backoff_until(&server.entry.id, now).is_some();
        let all = engines.into_iter().zip(covers_share).filter(|(_, covers_share)| *covers_share);
        all.map(|(server, _)| (server, backs_off(server))).collect()
    }

    /// Starts the task that executes the proposals for one engine.
    fn start_task(&mut self, engine: &BackendId, proposals: Vec<Proposal>, spec: &EngineSpec) {
        let Some(server) = self.node.directory.lock().get(engine).cloned() else {
            return;
        };
        {
            let mut tracker = self.tracker.lock();
            let engine_orders = tracker.engines.entry(engine.clone()).or_default();
            assert!(!engine_orders.has_task, "an engine gets orders from one task at a time");
            engine_orders.has_task = true;
            for proposal in proposals.iter().filter(|proposal| proposal.item.adapter.is_none()) {
                let model = Some(proposal.item.model.clone());
                match proposal.operation {
                    Operation::Load => {
                        engine_orders.loading = model;
                        engine_orders.awaits_load = true;
                    }
                    Operation::Unload => {
                        engine_orders.leaving = model;
                        engine_orders.loading = proposal.makes_room_for.clone();
                    }
                }
            }
        }
        self.record_expected(&server, &proposals, spec);
        let task = OrderTask {
            node: self.node.clone(),
            order_fence: self.order_fence.clone(),
            tracker: self.tracker.clone(),
            spec: spec.clone(),
            server,
            proposals,
        };
        self.tasks.spawn(task.run());
    }
}

impl Placement {
    /// Records when the proposed models are expected, for boxes that need them. The answers to the
    /// orders refine these times.
    fn record_expected(&self, server: &KnownServer, proposals: &[Proposal], spec: &EngineSpec) {
        for proposal in proposals.iter().filter(|proposal| proposal.item.adapter.is_none()) {
            let (model_name, eviction_time) = match (proposal.operation, &proposal.makes_room_for) {
                (Operation::Load, _) => (&proposal.item.model, Duration::ZERO),
                (Operation::Unload, Some(model_name)) => (model_name, EVICTION_TIME),
                (Operation::Unload, None) => continue,
            };
            let Some(model) = spec.models.get(model_name) else {
                continue;
            };
            let entry = &server.entry;
            let load_time = model.load_time_with(&entry.in_memory, &entry.on_disk);
            let item = ModelRef { model: model_name.clone(), adapter: None };
            let at = self.node.now() + eviction_time + load_time;
            missing_items::expect_item(&self.node, &server.entry.id, &item, at);
        }
    }
}

/// Logs the inputs of a plan: demand, copies and wanted copies of each model in it.
fn log_summary(service: &ServiceName, engines: usize, idle: usize, planned: &Plan) {
    let models = planned
        .models
        .iter()
        .take(SUMMARY_MODELS)
        .map(|one| format!("{}:{:.2}/{}/{}", one.model, one.demand, one.copies, one.wanted));
    let models = models.collect::<Vec<_>>().join(" ");
    let proposals = planned.proposals.len();
    log::info!(service:%, engines, idle, proposals, models; "plan");
}

/// Groups the proposals by engine, in order.
fn by_engine(proposals: Vec<Proposal>) -> BTreeMap<BackendId, Vec<Proposal>> {
    let mut grouped: BTreeMap<BackendId, Vec<Proposal>> = BTreeMap::new();
    for proposal in proposals {
        grouped.entry(proposal.engine.clone()).or_default().push(proposal);
    }
    grouped
}
