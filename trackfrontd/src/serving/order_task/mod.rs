//! Executes the orders for one engine: announces what will be withdrawn, reads the engine's report,
//! checks each order against it, checks the lease right before sending, and waits until the order
//! is done.

mod calls;

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::sleep;
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ids::{AdapterName, BackendId};
use trackfront_core::serving::config::EngineSpec;
use trackfront_core::serving::directory::{KnownServer, Residents};
use trackfront_core::serving::orders::{EngineReport, Operation, OrderAnswer, check_order};
use trackfront_core::serving::planner::Proposal;
use trackfront_core::serving::request::ModelRef;

use super::lease::OrderFence;
use super::missing_items;
use super::node::ServingNode;
use super::order_tracker::OrderTracker;
use super::overlay::EntryKind;

/// The time for other boxes to learn that a model is withdrawn, before it is unloaded.
const MODEL_WITHDRAWAL_NOTICE: Duration = Duration::from_millis(150);

/// The time for other boxes to learn that a rarely used adapter is withdrawn, before it is
/// unloaded.
const ADAPTER_WITHDRAWAL_NOTICE: Duration = Duration::from_millis(30);

/// The usual maximum time to load an adapter. Other boxes are informed after this time rather than
/// once a report shows the adapter: reports lag, and an engine without the adapter refuses the
/// request.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(50);

/// How long an engine gets no orders after a failed order.
const REST_AFTER_FAULT: Duration = Duration::from_millis(700);

/// The interval of polls for a model's load or unload; an engine's reports are some tenths of a
/// second old.
const MODEL_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The first delay before an engine is polled for an adapter; it doubles each time.
const FIRST_ADAPTER_POLL: Duration = Duration::from_millis(100);

/// The multiple of the configured load time after which an order is given up.
const MAX_LOAD_TIME_FACTOR: u32 = 4;

/// The minimum time for any order about a model before it is given up.
const MIN_ORDER_WAIT: Duration = Duration::from_secs(15);

/// The maximum wait for orders about adapters: an adapter in use is unloaded only after its
/// requests end.
const MAX_ADAPTER_WAIT: Duration = Duration::from_millis(1_500);

/// The outcome of an order for an incarnation of the engine that has ended.
const OTHER_INCARNATION: &str = "the engine has started again";

/// The orders that an engine accepted.
struct AcceptedOrders<'a> {
    proposals: Vec<&'a Proposal>,
    /// The engine's order count after these orders.
    sequence: u64,
    /// The expected time to load the model, by where its weights are; zero for other orders.
    load_time: Duration,
}

/// Executes orders to one engine: one for a model, or several for adapters.
pub struct OrderTask {
    /// The state of this box.
    pub node: Arc<ServingNode>,
    /// The fencing token of the order lease.
    pub order_fence: Arc<OrderFence>,
    /// The orders in progress at all engines.
    pub tracker: Arc<Mutex<OrderTracker>>,
    /// The configuration of the engines.
    pub spec: EngineSpec,
    /// The engine, as known when the orders were planned.
    pub server: Arc<KnownServer>,
    /// The orders.
    pub proposals: Vec<Proposal>,
}

impl OrderTask {
    /// Executes the orders, then marks the engine as available for others.
    pub async fn run(self) {
        let done = self.execute().await;
        let now = self.node.now();
        let mut tracker = self.tracker.lock();
        let engine_orders = tracker.engines.entry(self.id().clone()).or_default();
        engine_orders.has_task = false;
        engine_orders.awaits_load = false;
        engine_orders.loading = None;
        engine_orders.leaving = None;
        if !done {
            engine_orders.rest_until = now + REST_AFTER_FAULT;
        }
        drop(tracker);
        self.node.missing_item_added.notify_one();
    }

    fn id(&self) -> &BackendId {
        &self.server.entry.id
    }

    /// Executes the orders. Returns whether all succeeded.
    async fn execute(&self) -> bool {
        let leaving = self.proposals.iter().filter(|one| one.operation == Operation::Unload);
        let leaving: Vec<&Proposal> = leaving.collect();
        if !leaving.is_empty() {
            self.announce(&leaving, EntryKind::Withdrawn);
            let of_model = leaving.iter().any(|one| one.item.adapter.is_none());
            sleep(if of_model { MODEL_WITHDRAWAL_NOTICE } else { ADAPTER_WITHDRAWAL_NOTICE }).await;
        }
        let accepted = self.send_orders().await;
        let all = accepted.proposals.len() == self.proposals.len();
        let done = self.wait_until_done(&accepted).await && all;
        if !done {
            let mut overlay = self.node.overlay.lock();
            for proposal in &self.proposals {
                overlay.clear(self.id(), &proposal.item);
                if let Some(model) = &proposal.makes_room_for {
                    let promised = ModelRef { model: model.clone(), adapter: None };
                    overlay.clear(self.id(), &promised);
                }
            }
        }
        done
    }

    /// Announces a change of items to all boxes.
    fn announce(&self, proposals: &[&Proposal], kind: EntryKind) {
        let now = self.node.now();
        let mut overlay = self.node.overlay.lock();
        for proposal in proposals {
            overlay.record(self.id(), &proposal.item, kind, now);
        }
        drop(overlay);
        self.node.servers_changed.notify_waiters();
        self.node.digest_requested.notify_one();
    }

    /// Sends the orders one after the other until one isn't accepted.
    async fn send_orders(&self) -> AcceptedOrders<'_> {
        let mut accepted =
            AcceptedOrders { proposals: Vec::new(), sequence: 0, load_time: Duration::ZERO };
        let Some(mut report) = self.read_report().await else {
            return accepted;
        };
        if report.is_of_other_incarnation(&self.server.entry) {
            for proposal in &self.proposals {
                self.log(proposal, "order not given", report.sequence, OTHER_INCARNATION);
            }
            return accepted;
        }
        for proposal in &self.proposals {
            if let Err(fault) = check_order(proposal.operation, &proposal.item, &report, &self.spec)
            {
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
            if answer == OrderAnswer::NoAnswer {
                self.tracker.lock().record_unanswered(&self.server.entry, self.node.now());
            }
            self.node.metrics.orders.get_or_create(&KindLabel { kind: answer.name() }).inc();
            if !matches!(answer, OrderAnswer::Accepted | OrderAnswer::AlreadyDone) {
                break;
            }
            let load_time = self.load_time(proposal, &report);
            accepted.load_time = accepted.load_time.max(load_time);
            if proposal.operation == Operation::Load {
                self.record_expected(&proposal.item, load_time);
            }
            accepted.proposals.push(proposal);
            // The adapter is unloaded once the requests that use it have ended; nothing can take
            // its place before.
            let waits = proposal.operation == Operation::Unload && answer == OrderAnswer::Accepted;
            if waits && proposal.item.adapter.is_some() {
                break;
            }
            // The next order is checked against the memory that this one leaves at most.
            report.sequence += 1;
            apply_to_report(&mut report, proposal);
        }
        accepted.sequence = report.sequence;
        accepted
    }

    /// Records when an ordered item is expected, for boxes that need it.
    fn record_expected(&self, item: &ModelRef, load_time: Duration) {
        let wait = match item.adapter {
            Some(_) => ADAPTER_LOAD_TIME,
            None => load_time + MODEL_POLL_INTERVAL,
        };
        missing_items::expect_item(&self.node, self.id(), item, self.node.now() + wait);
    }

    /// Counts a load against the weight store's rate, if the weights come from there. Returns
    /// whether the load may start.
    fn may_load(&self, proposal: &Proposal, report: &EngineReport) -> bool {
        let Proposal { operation, item, .. } = proposal;
        let from_store = *operation == Operation::Load
            && item.adapter.is_none()
            && !report.has_local_copy(&item.model);
        if !from_store {
            return true;
        }
        let mut tracker = self.tracker.lock();
        let ready = tracker.pacer.may_load(self.spec.loads_per_s, self.node.now());
        if ready {
            tracker.pacer.record_load();
        }
        if let Some(engine_orders) = tracker.engines.get_mut(self.id()) {
            engine_orders.awaits_load = false;
        }
        ready
    }

    /// Waits until the orders are done, and announces each to all boxes. Returns whether all were
    /// done.
    async fn wait_until_done(&self, accepted: &AcceptedOrders<'_>) -> bool {
        let mut open = accepted.proposals.clone();
        if open.is_empty() {
            return false;
        }
        let start = self.node.now();
        let of_model = open.iter().any(|proposal| proposal.item.adapter.is_none());
        let (max_wait, mut pause) = match of_model {
            true => (
                (accepted.load_time * MAX_LOAD_TIME_FACTOR).max(MIN_ORDER_WAIT),
                MODEL_POLL_INTERVAL,
            ),
            false => (MAX_ADAPTER_WAIT, FIRST_ADAPTER_POLL),
        };
        match of_model {
            true => sleep(accepted.load_time).await,
            false => self.announce_adapters(&accepted.proposals).await,
        }
        while self.node.now().since(start) < max_wait {
            sleep(pause).await;
            if self.is_gone() {
                return false;
            }
            self.remove_done(&mut open, self.row_residents().as_ref());
            if open.is_empty() {
                return true;
            }
            // What an engine with a limit holds is read from its row, though later: each poll would
            // take the place of a client's request.
            let report = if self.limit().is_none() { self.read_report().await } else { None };
            if let Some(other) =
                report.as_ref().filter(|it| it.is_of_other_incarnation(&self.server.entry))
            {
                for proposal in &open {
                    self.log(proposal, "order undone", other.sequence, OTHER_INCARNATION);
                }
                return false;
            }
            // A report from before the orders says nothing about them.
            if let Some(report) = report.filter(|it| it.sequence >= accepted.sequence) {
                self.remove_done(&mut open, Some(&report.models));
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
            pause = (pause * 2).min(MODEL_POLL_INTERVAL);
        }
        false
    }

    /// Announces adapters that should be loaded by now.
    async fn announce_adapters(&self, taken: &[&Proposal]) {
        sleep(ADAPTER_LOAD_TIME).await;
        let loads = taken.iter().copied().filter(|one| one.operation == Operation::Load);
        let loads: Vec<&Proposal> = loads.collect();
        if !loads.is_empty() {
            self.announce(&loads, EntryKind::Added);
        }
    }

    /// Returns the time to load the model, by where the engine has its weights; zero for other
    /// orders.
    fn load_time(&self, proposal: &Proposal, report: &EngineReport) -> Duration {
        let Proposal { operation, item, .. } = proposal;
        let spec = self.spec.models.get(&item.model);
        let spec = spec.filter(|_| *operation == Operation::Load && item.adapter.is_none());
        spec.map_or(Duration::ZERO, |model| {
            model.load_time_with(&report.in_memory, &report.on_disk)
        })
    }

    /// Removes the orders from `open` that are done according to `models`, and announces added
    /// items.
    fn remove_done(&self, open: &mut Vec<&Proposal>, models: Option<&Residents>) {
        let Some(models) = models else {
            return;
        };
        let (done, rest): (Vec<_>, Vec<_>) =
            open.iter().copied().partition(|proposal| is_done(proposal, models));
        *open = rest;
        let added = done.into_iter().filter(|one| one.operation == Operation::Load);
        let added: Vec<&Proposal> = added.collect();
        if !added.is_empty() {
            self.announce(&added, EntryKind::Added);
        }
    }

    fn is_gone(&self) -> bool {
        self.node.directory.lock().get(self.id()).is_none()
    }

    /// Returns what the engine holds according to its row, if the row is newer than the orders.
    fn row_residents(&self) -> Option<Residents> {
        let known = self.node.directory.lock().get(self.id()).cloned()?;
        (known.version > self.server.version).then(|| known.entry.models.clone())
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

/// Applies an order for an adapter to a report, for the check of the next order.
fn apply_to_report(report: &mut EngineReport, proposal: &Proposal) {
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

/// Returns whether a proposal is already fulfilled by what the engine holds.
fn is_done(proposal: &Proposal, models: &Residents) -> bool {
    let item = &proposal.item;
    let resident = models.get(&item.model);
    let has = |adapter: &AdapterName| resident.is_some_and(|held| held.adapters.contains(adapter));
    let there = item.adapter.as_ref().map_or(resident.is_some(), has);
    there == (proposal.operation == Operation::Load)
}
