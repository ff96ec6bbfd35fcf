//! Gives orders to engines while this node holds the lease on them.
//!
//! Each round plans from what the engines hold and what all nodes are asked for. Each engine gets
//! one order at a time, by a task of its own: announce what will leave, read the engine's report,
//! check the order against it, look at the lease last thing, send, and wait until it is done.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_adapters::upstream::{SendOptions, UpstreamError};
use trackfront_core::ids::{AdapterName, BackendId, ModelName, ServiceName};
use trackfront_core::serving::config::EngineSpec;
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::orders::{
    EngineOrder, EngineReport, LoadPacer, ORDER_TIMEOUT, Operation, OrderAnswer, check,
};
use trackfront_core::serving::planner::{EngineView, Proposal, plan};
use trackfront_core::units::Moment;

use super::gossip::Giving;
use super::lease::{OrderLease, OrderRight};
use super::node::ServingNode;
use super::overlay::NoteKind;

/// How often a plan is made.
const ROUND: Duration = Duration::from_millis(250);

/// The least time between two plans.
const LEAST_ROUND: Duration = Duration::from_millis(40);

/// How long nodes are given to hear that a model will leave.
const WITHDRAW_TIME: Duration = Duration::from_millis(150);

/// How long an engine is left alone after an order that did not go as planned.
const AFTER_FAULT: Duration = Duration::from_millis(700);

/// How often an engine is asked whether a load or unload of a model is done.
const MODEL_POLL: Duration = Duration::from_millis(500);

/// The first pause before an engine is asked whether it has an adapter; it doubles each time.
const ADAPTER_POLL: Duration = Duration::from_millis(25);

/// How many times a load may take what the configuration says, until the order is given up.
const LOAD_PATIENCE: u32 = 4;

/// The least time that any order may take.
const LEAST_PATIENCE: Duration = Duration::from_secs(15);

/// How long a report may take.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a connection to an engine may take to open.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// How large an engine's report may be, in bytes.
const MAX_REPORT: usize = 256 * 1024;

/// How long an engine that fails requests is taken to hold nothing, before it is planned without.
const UNREACHABLE_FOR: Duration = Duration::from_millis(1_500);

/// What is under way at an engine.
#[derive(Clone, Debug, Default)]
struct Bench {
    working: bool,
    loading: Option<ModelName>,
    leaving: Option<ModelName>,
    rest_until: Moment,
    report: Option<(EngineReport, Moment)>,
    unreachable_since: Option<Moment>,
}

/// What is under way at all engines.
struct Desk {
    benches: HashMap<BackendId, Bench>,
    pacer: LoadPacer,
}

/// The giver of orders.
pub struct Placement {
    node: Arc<ServingNode>,
    lease: OrderLease,
    right: Arc<OrderRight>,
    desk: Arc<Mutex<Desk>>,
    tasks: JoinSet<()>,
}

impl Placement {
    /// Makes a giver that holds no lease.
    pub fn new(node: Arc<ServingNode>, giving: Arc<Giving>) -> Self {
        let right = Arc::new(OrderRight::default());
        let lease = OrderLease::new(node.clone(), right.clone(), giving);
        let desk = Desk { benches: HashMap::new(), pacer: LoadPacer::new(node.now()) };
        Self { node, lease, right, desk: Arc::new(Mutex::new(desk)), tasks: JoinSet::new() }
    }

    /// Plans and gives orders until the node stops, then gives the lease up.
    pub async fn run(mut self) {
        while !self.node.is_stopping() {
            let lacking = self.node.lacking.notified();
            let _ = timeout(ROUND, lacking).await;
            sleep(LEAST_ROUND).await;
            while self.tasks.try_join_next().is_some() {}
            self.round().await;
        }
        self.tasks.abort_all();
        self.lease.give_up().await;
    }

    async fn round(&mut self) {
        let Some(config) = self.node.config.load_full() else {
            return;
        };
        let placed: Vec<(ServiceName, EngineSpec)> = config
            .services
            .iter()
            .filter_map(|(name, service)| Some((name.clone(), service.engine.clone()?)))
            .collect();
        if placed.is_empty() {
            return;
        }
        let was_giver = self.lease.is_giver();
        if !self.lease.stand().await {
            return;
        }
        let now = self.node.now();
        if !was_giver {
            let mut desk = self.desk.lock();
            desk.pacer = LoadPacer::new(now);
            desk.benches.clear();
        }
        self.node.overlay.lock().forget_old(now);
        for (service, spec) in placed {
            let proposals = self.propose(&service, &spec, now);
            if !proposals.is_empty() && self.lease.renew().await {
                for proposal in proposals {
                    self.begin(proposal, &spec);
                }
            }
        }
    }

    fn propose(&self, service: &ServiceName, spec: &EngineSpec, now: Moment) -> Vec<Proposal> {
        let servers: Vec<Arc<KnownServer>> =
            self.node.directory.lock().of_service(service).to_vec();
        let mut desk = self.desk.lock();
        let mut views = Vec::with_capacity(servers.len());
        for server in servers.iter().filter(|server| server.is_ready()) {
            let paused = self.node.loads.lock().server(&server.entry.id).is_paused(now);
            let bench = desk.benches.entry(server.entry.id.clone()).or_default();
            match paused {
                true => _ = bench.unreachable_since.get_or_insert(now),
                false => bench.unreachable_since = None,
            }
            let lost = bench.unreachable_since.is_some_and(|at| now.since(at) > UNREACHABLE_FOR);
            if !lost {
                views.push(view(server, bench, now));
            }
        }
        drop(desk);
        let demand = self.node.demand.lock().total(now);
        plan(spec, &views, &demand)
    }

    /// Starts the task that carries a proposal out.
    fn begin(&mut self, proposal: Proposal, spec: &EngineSpec) {
        let Some(server) = self.node.directory.lock().get(&proposal.engine).cloned() else {
            return;
        };
        let is_model = proposal.item.adapter.is_none();
        {
            let mut desk = self.desk.lock();
            let bench = desk.benches.entry(proposal.engine.clone()).or_default();
            assert!(!bench.working, "an engine gets one order at a time");
            bench.working = true;
            match proposal.operation {
                Operation::Load if is_model => bench.loading = Some(proposal.item.model.clone()),
                Operation::Unload if is_model => bench.leaving = Some(proposal.item.model.clone()),
                _ => {}
            }
        }
        let errand = Errand {
            node: self.node.clone(),
            right: self.right.clone(),
            desk: self.desk.clone(),
            spec: spec.clone(),
            server,
            proposal,
        };
        self.tasks.spawn(errand.run());
    }
}

/// Returns an engine as the planner should see it: by its report if that is newer than its row.
fn view(server: &KnownServer, bench: &Bench, now: Moment) -> EngineView {
    let entry = &server.entry;
    let report = bench
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
        loading: bench.loading.clone(),
        leaving: bench.leaving.clone(),
        pending,
        busy: bench.working || now < bench.rest_until,
        in_memory,
        on_disk,
    }
}

/// One order on its way.
struct Errand {
    node: Arc<ServingNode>,
    right: Arc<OrderRight>,
    desk: Arc<Mutex<Desk>>,
    spec: EngineSpec,
    server: Arc<KnownServer>,
    proposal: Proposal,
}

impl Errand {
    async fn run(self) {
        let done = self.carry_out().await;
        let now = self.node.now();
        let mut desk = self.desk.lock();
        let bench = desk.benches.entry(self.id().clone()).or_default();
        bench.working = false;
        bench.loading = None;
        bench.leaving = None;
        if !done {
            bench.rest_until = now + AFTER_FAULT;
        }
        drop(desk);
        self.node.lacking.notify_one();
    }

    fn id(&self) -> &BackendId {
        &self.server.entry.id
    }

    /// Carries the order out. Returns whether it went as planned.
    async fn carry_out(&self) -> bool {
        let withdraws = self.proposal.operation == Operation::Unload;
        if withdraws {
            self.note(NoteKind::Withdrawn);
            sleep(WITHDRAW_TIME).await;
        }
        let done = self.order_and_wait().await;
        let loads = self.proposal.operation == Operation::Load;
        match (loads, done) {
            (true, true) => self.note(NoteKind::Added),
            (false, false) => self.node.overlay.lock().clear(self.id(), &self.proposal.item),
            _ => {}
        }
        done
    }

    /// Tells all nodes what happens to the item.
    fn note(&self, kind: NoteKind) {
        let now = self.node.now();
        self.node.overlay.lock().note(self.id(), &self.proposal.item, kind, now);
        self.node.servers_changed.notify_waiters();
        self.node.tell_peers.notify_one();
    }

    async fn order_and_wait(&self) -> bool {
        let Some(report) = self.report().await else {
            return false;
        };
        let Proposal { operation, item, .. } = &self.proposal;
        if let Err(fault) = check(*operation, item, &report, &self.spec) {
            self.log("order not given", report.sequence, &fault.to_string());
            return false;
        }
        if !self.may_load(&report) {
            self.log("order not given", report.sequence, "the weight store's rate is used up");
            return false;
        }
        let answer = self.send(&report).await;
        self.log("order given", report.sequence, answer.name());
        self.node.metrics.orders.get_or_create(&KindLabel { kind: answer.name() }).inc();
        match answer {
            OrderAnswer::Taken => self.wait().await,
            OrderAnswer::AlreadyDone => self.report().await.is_some(),
            _ => false,
        }
    }

    /// Takes a load off the weight store's rate, if it comes from there.
    fn may_load(&self, report: &EngineReport) -> bool {
        let Proposal { operation, item, .. } = &self.proposal;
        let from_store = *operation == Operation::Load
            && item.adapter.is_none()
            && !report.has_at_hand(&item.model);
        if !from_store {
            return true;
        }
        let mut desk = self.desk.lock();
        let ready = desk.pacer.ready(self.spec.loads_per_s, self.node.now());
        if ready {
            desk.pacer.began();
        }
        ready
    }

    async fn send(&self, report: &EngineReport) -> OrderAnswer {
        let Some(fence) = self.right.usable(self.node.now()) else {
            return OrderAnswer::NotSent;
        };
        let order = EngineOrder {
            operation: self.proposal.operation,
            item: self.proposal.item.clone(),
            holder: self.node.settings.load().node.name.clone(),
            fence,
            expected_sequence: report.sequence,
        };
        let server = &self.server.entry;
        let request = self.node.ports.servers.order_request(server, &order);
        // A new connection each time: nothing that was written earlier can arrive behind it.
        let options = SendOptions { connect_time: CONNECT_TIME, max_idle: Duration::ZERO };
        let may_send = || self.right.usable(self.node.now()) == Some(fence);
        let sending = self.node.pool.send(&server.address, request, options, may_send);
        match timeout(ORDER_TIMEOUT, sending).await {
            Ok(Ok(answer)) => self.node.ports.servers.read_order_answer(answer.head.status),
            Ok(Err(UpstreamError::NotSent(_))) => OrderAnswer::NotSent,
            Ok(Err(UpstreamError::Lost(_))) | Err(_) => OrderAnswer::Unknown,
        }
    }

    /// Waits until the order is done. Returns whether it is.
    async fn wait(&self) -> bool {
        let spec = self.spec.models.get(&self.proposal.item.model);
        let load_time = spec.map_or(Duration::ZERO, |model| model.load_time);
        let patience = (load_time * LOAD_PATIENCE).max(LEAST_PATIENCE);
        let start = self.node.now();
        let is_adapter = self.proposal.item.adapter.is_some();
        let mut pause = if is_adapter { ADAPTER_POLL } else { MODEL_POLL };
        while self.node.now().since(start) < patience {
            sleep(pause).await;
            if self.is_gone() {
                return false;
            }
            if self.row_says_done() {
                return true;
            }
            let waited = self.node.now().since(start);
            // Until a load from the store can be done, the row is enough.
            if !is_adapter && self.proposal.operation == Operation::Load && waited < load_time / 2 {
                continue;
            }
            if let Some(report) = self.report().await {
                if self.report_says_done(&report) {
                    return true;
                }
                if !report.busy && !is_adapter {
                    self.log("order undone", report.sequence, "the engine is idle without it");
                    return false;
                }
            }
            if is_adapter {
                pause = (pause * 2).min(MODEL_POLL);
            }
        }
        false
    }

    fn is_gone(&self) -> bool {
        self.node.directory.lock().get(self.id()).is_none()
    }

    fn row_says_done(&self) -> bool {
        let known = self.node.directory.lock().get(self.id()).cloned();
        known.is_some_and(|known| {
            known.version > self.server.version && self.is_done_by(&known.entry.models)
        })
    }

    fn report_says_done(&self, report: &EngineReport) -> bool {
        self.is_done_by(&report.models)
    }

    fn is_done_by(
        &self,
        models: &BTreeMap<ModelName, trackfront_core::serving::directory::ResidentModel>,
    ) -> bool {
        let item = &self.proposal.item;
        let resident = models.get(&item.model);
        let has = |adapter: &AdapterName| resident.is_some_and(|r| r.adapters.contains(adapter));
        let there = item.adapter.as_ref().map_or(resident.is_some(), has);
        there == (self.proposal.operation == Operation::Load)
    }

    /// Reads the engine's report and keeps it for the next plan.
    async fn report(&self) -> Option<EngineReport> {
        let server = &self.server.entry;
        let request = self.node.ports.servers.report_request(server);
        let options = SendOptions { connect_time: CONNECT_TIME, max_idle: Duration::from_secs(2) };
        let asked_at = self.node.now();
        let reading = async {
            let answer = self.node.pool.send(&server.address, request, options, || true).await?;
            answer.body.read(MAX_REPORT).await
        };
        let body = match timeout(REPORT_TIMEOUT, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                log::info!(server:% = server.id, error:% = error; "report not read");
                return None;
            }
            Err(_) => {
                log::info!(server:% = server.id; "report not read in time");
                return None;
            }
        };
        match self.node.ports.servers.read_report(&body) {
            Ok(report) => {
                let mut desk = self.desk.lock();
                let bench = desk.benches.entry(server.id.clone()).or_default();
                bench.report = Some((report.clone(), asked_at));
                Some(report)
            }
            Err(cause) => {
                log::warn!(server:% = server.id, cause; "report not understood");
                None
            }
        }
    }

    fn log(&self, event: &'static str, sequence: u64, outcome: &str) {
        let item = &self.proposal.item;
        let adapter = item.adapter.as_ref().map_or("", |adapter| adapter.as_str());
        log::info!(
            server:% = self.id(),
            operation = self.proposal.operation.name(),
            model:% = item.model,
            adapter,
            reason = self.proposal.reason,
            sequence,
            outcome;
            "{event}"
        );
    }
}
