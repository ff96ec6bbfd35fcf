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
use trackfront_core::serving::directory::{KnownServer, Residents};
use trackfront_core::serving::orders::{
    EngineOrder, EngineReport, LoadPacer, ORDER_TIMEOUT, Operation, OrderAnswer, check,
};
use trackfront_core::serving::planner::{EngineView, Planned, Proposal, plan};
use trackfront_core::units::Moment;

use super::gossip::Giving;
use super::lease::{OrderLease, OrderRight};
use super::node::ServingNode;
use super::overlay::NoteKind;

/// How often a plan is made.
const ROUND: Duration = Duration::from_millis(250);

/// The least time between two plans.
const LEAST_ROUND: Duration = Duration::from_millis(15);

/// How long nodes are given to hear that a model will leave.
const WITHDRAW_TIME: Duration = Duration::from_millis(150);

/// How long nodes are given to hear that an adapter will leave that is asked for little.
const WITHDRAW_ADAPTER_TIME: Duration = Duration::from_millis(30);

/// How long an adapter takes to come in at most, as a rule. Nodes are told of it after this time
/// rather than when a report shows it: reports lag, and an engine without it refuses the request.
const ADAPTER_TIME: Duration = Duration::from_millis(50);

/// How long an engine is left alone after an order that did not go as planned.
const AFTER_FAULT: Duration = Duration::from_millis(700);

/// How often an engine is asked whether a load or unload of a model is done.
const MODEL_POLL: Duration = Duration::from_millis(500);

/// The first pause before an engine is asked whether it has an adapter; it doubles each time.
const ADAPTER_POLL: Duration = Duration::from_millis(100);

/// How many times a load may take what the configuration says, until the order is given up.
const LOAD_PATIENCE: u32 = 4;

/// The least time that any order may take.
const LEAST_PATIENCE: Duration = Duration::from_secs(15);

/// How long orders about adapters are waited for: an adapter in use leaves only with its requests.
const ADAPTER_PATIENCE: Duration = Duration::from_millis(1_500);

/// How often the inputs of a plan are logged.
const SUMMARY_EVERY: Duration = Duration::from_secs(1);

/// How many models such a line names at most.
const SUMMARY_MODELS: usize = 12;

/// How long a report may take.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a connection to an engine may take to open.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// How large an engine's report may be, in bytes.
const MAX_REPORT: usize = 256 * 1024;

/// How long an engine that fails requests is taken to hold nothing, before it is planned without.
const UNREACHABLE_FOR: Duration = Duration::from_millis(700);

/// What is under way at an engine.
#[derive(Clone, Debug, Default)]
struct Bench {
    working: bool,
    loading: Option<ModelName>,
    leaving: Option<ModelName>,
    /// Whether a load is about to be ordered that may take from the weight store.
    awaits_load: bool,
    rest_until: Moment,
    report: Option<(EngineReport, Moment)>,
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
    summed_up_at: Moment,
}

impl Placement {
    /// Makes a giver that holds no lease.
    pub fn new(node: Arc<ServingNode>, giving: Arc<Giving>) -> Self {
        let right = Arc::new(OrderRight::default());
        let lease = OrderLease::new(node.clone(), right.clone(), giving);
        let terms = node.settings.load().promises.loads();
        let desk = Desk { benches: HashMap::new(), pacer: LoadPacer::new(terms, node.now()) };
        let (desk, tasks) = (Arc::new(Mutex::new(desk)), JoinSet::new());
        Self { node, lease, right, desk, tasks, summed_up_at: Moment::default() }
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
        if self.node.is_alone_for_now() || !self.knows_engines(&placed) {
            return;
        }
        let was_giver = self.lease.is_giver();
        if !self.lease.stand().await {
            return;
        }
        let now = self.node.now();
        if !was_giver {
            let mut desk = self.desk.lock();
            desk.pacer = LoadPacer::new(self.node.settings.load().promises.loads(), now);
            desk.benches.clear();
        }
        self.node.overlay.lock().forget_old(now);
        for (service, spec) in placed {
            let proposals = self.propose(&service, &spec, now);
            if !proposals.is_empty() && self.lease.renew().await {
                for (engine, proposals) in by_engine(proposals) {
                    self.begin(&engine, proposals, &spec);
                }
            }
        }
    }

    /// Returns whether there are engines to give orders to, and the list of them is whole.
    fn knows_engines(&self, placed: &[(ServiceName, EngineSpec)]) -> bool {
        let directory = self.node.directory.lock();
        let some = placed.iter().any(|(service, _)| !directory.of_service(service).is_empty());
        some && !directory.is_filling(self.node.now())
    }

    fn propose(&mut self, service: &ServiceName, spec: &EngineSpec, now: Moment) -> Vec<Proposal> {
        let servers: Vec<Arc<KnownServer>> =
            self.node.directory.lock().of_service(service).to_vec();
        let mut in_use = self.node.adapter_use.lock().by_server(now);
        let mut desk = self.desk.lock();
        let mut views = Vec::with_capacity(servers.len());
        for server in servers.iter().filter(|server| server.is_ready()) {
            let mut loads = self.node.loads.lock();
            let load = loads.server(&server.entry.id);
            let silent = load.unreachable_since();
            let lost = silent.is_some_and(|since| now.since(since) > UNREACHABLE_FOR);
            if !lost && !load.is_replaced() {
                let bench = desk.benches.entry(server.entry.id.clone()).or_default();
                let in_use = in_use.remove(&server.entry.id).unwrap_or_default();
                views.push(EngineView { in_use, ..view(server, bench, now) });
            }
        }
        let awaited = desk.benches.values().filter(|bench| bench.awaits_load).count();
        let available = desk.pacer.available(spec.loads_per_s, now);
        let store_loads = available.saturating_sub(awaited);
        drop(desk);
        let demand = self.node.demand.lock().total(now);
        let planned = plan(spec, &views, &demand, store_loads);
        if now.since(self.summed_up_at) >= SUMMARY_EVERY {
            self.summed_up_at = now;
            let idle = views.iter().filter(|view| !view.busy).count();
            log_summary(service, views.len(), idle, &planned);
        }
        planned.proposals
    }

    /// Starts the task that carries the proposals for one engine out.
    fn begin(&mut self, engine: &BackendId, proposals: Vec<Proposal>, spec: &EngineSpec) {
        let Some(server) = self.node.directory.lock().get(engine).cloned() else {
            return;
        };
        {
            let mut desk = self.desk.lock();
            let bench = desk.benches.entry(engine.clone()).or_default();
            assert!(!bench.working, "an engine gets orders from one task at a time");
            bench.working = true;
            for proposal in proposals.iter().filter(|proposal| proposal.item.adapter.is_none()) {
                let model = Some(proposal.item.model.clone());
                match proposal.operation {
                    Operation::Load => {
                        bench.loading = model;
                        bench.awaits_load = true;
                    }
                    Operation::Unload => {
                        bench.leaving = model;
                        bench.loading = proposal.makes_room_for.clone();
                    }
                }
            }
        }
        let errand = Errand {
            node: self.node.clone(),
            right: self.right.clone(),
            desk: self.desk.clone(),
            spec: spec.clone(),
            server,
            proposals,
        };
        self.tasks.spawn(errand.run());
    }
}

/// Logs what a plan was made from: for each model that counts, demand, copies and copies wanted.
fn log_summary(service: &ServiceName, engines: usize, idle: usize, planned: &Planned) {
    let models = planned
        .models
        .iter()
        .take(SUMMARY_MODELS)
        .map(|one| format!("{}:{:.2}/{}/{}", one.model, one.demand, one.copies, one.wanted));
    let models = models.collect::<Vec<_>>().join(" ");
    let proposals = planned.proposals.len();
    log::info!(service:%, engines, idle, proposals, models; "plan");
}

/// Puts the proposals for each engine together, in order.
fn by_engine(proposals: Vec<Proposal>) -> BTreeMap<BackendId, Vec<Proposal>> {
    let mut grouped: BTreeMap<BackendId, Vec<Proposal>> = BTreeMap::new();
    for proposal in proposals {
        grouped.entry(proposal.engine.clone()).or_default().push(proposal);
    }
    grouped
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
        in_use: BTreeSet::new(),
        busy: bench.working || now < bench.rest_until,
        in_memory,
        on_disk,
    }
}

/// Orders to one engine on their way: one for a model, or some for adapters.
struct Errand {
    node: Arc<ServingNode>,
    right: Arc<OrderRight>,
    desk: Arc<Mutex<Desk>>,
    spec: EngineSpec,
    server: Arc<KnownServer>,
    proposals: Vec<Proposal>,
}

impl Errand {
    async fn run(self) {
        let done = self.carry_out().await;
        let now = self.node.now();
        let mut desk = self.desk.lock();
        let bench = desk.benches.entry(self.id().clone()).or_default();
        bench.working = false;
        bench.awaits_load = false;
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

    /// Carries the orders out. Returns whether they went as planned.
    async fn carry_out(&self) -> bool {
        let leaving = self.proposals.iter().filter(|one| one.operation == Operation::Unload);
        let leaving: Vec<&Proposal> = leaving.collect();
        if !leaving.is_empty() {
            self.note(&leaving, NoteKind::Withdrawn);
            let of_model = leaving.iter().any(|one| one.item.adapter.is_none());
            sleep(if of_model { WITHDRAW_TIME } else { WITHDRAW_ADAPTER_TIME }).await;
        }
        let (taken, sequence) = self.order_all().await;
        let done = self.wait(&taken, sequence).await && taken.len() == self.proposals.len();
        if !done {
            let mut overlay = self.node.overlay.lock();
            for proposal in leaving {
                overlay.clear(self.id(), &proposal.item);
            }
        }
        done
    }

    /// Tells all nodes what happens to items.
    fn note(&self, proposals: &[&Proposal], kind: NoteKind) {
        let now = self.node.now();
        let mut overlay = self.node.overlay.lock();
        for proposal in proposals {
            overlay.note(self.id(), &proposal.item, kind, now);
        }
        drop(overlay);
        self.node.servers_changed.notify_waiters();
        self.node.tell_peers.notify_one();
    }

    /// Gives the orders one after the other. Returns those that the engine took, and how many
    /// orders it has taken then.
    async fn order_all(&self) -> (Vec<&Proposal>, u64) {
        let mut taken = Vec::new();
        let Some(mut report) = self.report().await else {
            return (taken, 0);
        };
        for proposal in &self.proposals {
            if let Err(fault) = check(proposal.operation, &proposal.item, &report, &self.spec) {
                self.log(proposal, "order not given", report.sequence, &fault.to_string());
                break;
            }
            if !self.may_load(proposal, &report) {
                let cause = "the weight store's rate is used up";
                self.log(proposal, "order not given", report.sequence, cause);
                break;
            }
            let answer = self.send(proposal, &report).await;
            self.log(proposal, "order given", report.sequence, answer.name());
            self.node.metrics.orders.get_or_create(&KindLabel { kind: answer.name() }).inc();
            if !matches!(answer, OrderAnswer::Taken | OrderAnswer::AlreadyDone) {
                break;
            }
            taken.push(proposal);
            // It goes once the requests that use it have ended; nothing can take its place before.
            let waits = proposal.operation == Operation::Unload && answer == OrderAnswer::Taken;
            if waits && proposal.item.adapter.is_some() {
                break;
            }
            // The next order is checked against the memory as this one leaves it at the most.
            report.sequence += 1;
            note_order(&mut report, proposal);
        }
        (taken, report.sequence)
    }

    /// Takes a load off the weight store's rate, if it comes from there.
    fn may_load(&self, proposal: &Proposal, report: &EngineReport) -> bool {
        let Proposal { operation, item, .. } = proposal;
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
        if let Some(bench) = desk.benches.get_mut(self.id()) {
            bench.awaits_load = false;
        }
        ready
    }

    async fn send(&self, proposal: &Proposal, report: &EngineReport) -> OrderAnswer {
        let Some(fence) = self.right.usable(self.node.now()) else {
            return OrderAnswer::NotSent;
        };
        let order = EngineOrder {
            operation: proposal.operation,
            item: proposal.item.clone(),
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

    /// Waits until the orders are done, and tells all nodes of each as it is. Returns whether all
    /// are.
    async fn wait(&self, taken: &[&Proposal], sequence: u64) -> bool {
        if taken.is_empty() {
            return false;
        }
        let load_time = self.load_time(taken);
        let start = self.node.now();
        let of_model = taken.iter().any(|proposal| proposal.item.adapter.is_none());
        let patience = match of_model {
            true => (load_time * LOAD_PATIENCE).max(LEAST_PATIENCE),
            false => ADAPTER_PATIENCE,
        };
        let mut open: Vec<&Proposal> = taken.to_vec();
        let mut pause = if of_model { MODEL_POLL } else { ADAPTER_POLL };
        if !of_model {
            self.expect_adapters(taken).await;
        }
        while self.node.now().since(start) < patience {
            sleep(pause).await;
            if self.is_gone() {
                return false;
            }
            self.settle(&mut open, self.row_residents().as_ref());
            if open.is_empty() {
                return true;
            }
            let waited = self.node.now().since(start);
            // Until a load can be done, the row is enough.
            if of_model && waited < load_time / 2 {
                continue;
            }
            // A report that is from before the orders says nothing about them.
            if let Some(report) = self.report().await.filter(|it| it.sequence >= sequence) {
                self.settle(&mut open, Some(&report.models));
                if open.is_empty() {
                    return true;
                }
                if !report.busy && report.pending.is_empty() {
                    for proposal in &open {
                        let cause = "the engine is idle without it";
                        self.log(proposal, "order undone", report.sequence, cause);
                    }
                    return false;
                }
            }
            pause = (pause * 2).min(MODEL_POLL);
        }
        false
    }

    /// Tells all nodes of adapters that should be there by now.
    async fn expect_adapters(&self, taken: &[&Proposal]) {
        sleep(ADAPTER_TIME).await;
        let loads = taken.iter().copied().filter(|one| one.operation == Operation::Load);
        let loads: Vec<&Proposal> = loads.collect();
        if !loads.is_empty() {
            self.note(&loads, NoteKind::Added);
        }
    }

    /// The time that the longest of the loads may take; nothing for unloads and adapters.
    fn load_time(&self, taken: &[&Proposal]) -> Duration {
        let loads = taken
            .iter()
            .filter(|one| one.operation == Operation::Load && one.item.adapter.is_none());
        let times = loads.filter_map(|one| Some(self.spec.models.get(&one.item.model)?.load_time));
        times.max().unwrap_or(Duration::ZERO)
    }

    /// Takes those that are done by `models` off `open`, and tells all nodes what was added.
    fn settle(&self, open: &mut Vec<&Proposal>, models: Option<&Residents>) {
        let Some(models) = models else {
            return;
        };
        let (done, rest): (Vec<_>, Vec<_>) =
            open.iter().copied().partition(|proposal| is_done(proposal, models));
        *open = rest;
        let added = done.into_iter().filter(|one| one.operation == Operation::Load);
        let added: Vec<&Proposal> = added.collect();
        if !added.is_empty() {
            self.note(&added, NoteKind::Added);
        }
    }

    fn is_gone(&self) -> bool {
        self.node.directory.lock().get(self.id()).is_none()
    }

    /// What the engine's row says that it holds, if the row is newer than the orders.
    fn row_residents(&self) -> Option<Residents> {
        let known = self.node.directory.lock().get(self.id()).cloned()?;
        (known.version > self.server.version).then(|| known.entry.models.clone())
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
                if matches!(error, UpstreamError::NotSent(_)) {
                    self.node.loads.lock().unreachable(&server.id, self.node.now());
                }
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

    fn log(&self, proposal: &Proposal, event: &'static str, sequence: u64, outcome: &str) {
        let item = &proposal.item;
        let adapter = item.adapter.as_ref().map_or("", |adapter| adapter.as_str());
        log::info!(
            server:% = self.id(),
            operation = proposal.operation.name(),
            model:% = item.model,
            adapter,
            reason = proposal.reason,
            sequence,
            outcome;
            "{event}"
        );
    }
}

/// Notes an order to an adapter in a report, for the check of the next order.
fn note_order(report: &mut EngineReport, proposal: &Proposal) {
    let Some(adapter) = &proposal.item.adapter else {
        return;
    };
    let model = &proposal.item.model;
    match proposal.operation {
        Operation::Load => _ = report.pending.insert((model.clone(), adapter.clone())),
        Operation::Unload => {
            if let Some(resident) = report.models.get_mut(model) {
                resident.adapters.remove(adapter);
            }
        }
    }
}

/// Returns whether what a proposal asks for is so by what the engine holds.
fn is_done(proposal: &Proposal, models: &Residents) -> bool {
    let item = &proposal.item;
    let resident = models.get(&item.model);
    let has = |adapter: &AdapterName| resident.is_some_and(|held| held.adapters.contains(adapter));
    let there = item.adapter.as_ref().map_or(resident.is_some(), has);
    there == (proposal.operation == Operation::Load)
}
