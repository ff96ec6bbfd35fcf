//! The state and the decisions of the owner of a shard: memory ledgers, open orders and next moves.
//!
//! The caller passes in reports and replies, writes the intents to the table and sends the orders. An
//! intent counts in the ledger from before it is written until the engine's own report shows its
//! result.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::demand::Demand;
use crate::ids::{BackendId, Fence, ItemKey, OrderId, ShardId, draw_id};
use crate::ledger::EngineLedger;
use crate::order::{Action, Intent, Order, OrderEvent, OrderLifecycle, OrderResult, OrderState};
use crate::placement::{EngineState, Move, PlanInput, PlanMoves};
use crate::ports::{LoadReport, OrderReply};
use crate::tree::{Backend, Service};
use crate::units::{Mib, Moment};

/// The time without a report after which the items of an engine are placed elsewhere.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a new owner waits for the first reports of all engines before it plans without them.
const FIRST_REPORTS_TIMEOUT: Duration = Duration::from_secs(4);

/// The time after which an order without a known result is resent.
const RESEND_DELAY: Duration = Duration::from_secs(1);

/// The value of a shard's orders row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersRow {
    /// The orders that may still take effect.
    pub open: Vec<Intent>,
}

/// An order with its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedOrder {
    /// The order.
    pub intent: Intent,
    /// The result.
    pub result: OrderResult,
}

struct OpenOrder {
    intent: Intent,
    lifecycle: StateMachine<OrderLifecycle>,
    /// Whether the intent is in the table, which the order needs to be sent.
    written: bool,
    last_sent: Option<Moment>,
}

struct OwnedEngine {
    state: EngineState,
    checks_fence: bool,
    last_report: Option<Moment>,
    incarnation: Option<u64>,
}

/// The owner of one shard under one fencing token.
pub struct ShardOwner {
    shard: ShardId,
    fence: Fence,
    since: Moment,
    engines: BTreeMap<BackendId, OwnedEngine>,
    /// The open orders, oldest first.
    orders: Vec<OpenOrder>,
}

impl ShardOwner {
    /// Takes over a shard at `now`, with the intents in the table. Their memory counts as used until
    /// reports show their results.
    pub fn new(
        shard: ShardId,
        fence: Fence,
        service: &Service,
        stored: OrdersRow,
        now: Moment,
    ) -> Self {
        let mut owner =
            Self { shard, fence, since: now, engines: BTreeMap::new(), orders: Vec::new() };
        owner.set_service(service);
        for mut intent in stored.open {
            // An order continues with the new token, so that engines that check it accept it.
            intent.order.fence = fence;
            if let Some(engine) = owner.engines.get_mut(&intent.engine) {
                engine.state.ledger.count_intent(&intent);
            }
            let lifecycle = OrderLifecycle::new(intent.order.clone()).state_machine();
            owner.orders.push(OpenOrder { intent, lifecycle, written: false, last_sent: None });
        }
        owner
    }

    /// Returns the fencing token.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the shard.
    pub fn shard(&self) -> &ShardId {
        &self.shard
    }

    /// Sets the engines of the shard in the tree. Those that remain keep their ledgers.
    pub fn set_service(&mut self, service: &Service) {
        let floor = Mib(service.policy.kv_floor_mib.value);
        self.engines.retain(|id, _| service.backends.contains_key(id));
        for (id, backend) in &service.backends {
            self.engines
                .entry(id.clone())
                .or_insert_with(|| OwnedEngine::new(backend, floor))
                .checks_fence = backend.checks_fence;
        }
        // No report can resolve an order to an engine that is no longer in the tree.
        self.orders.retain(|open| service.backends.contains_key(&open.intent.engine));
    }

    /// Applies an engine's report that was read at `now`.
    pub fn apply_report(&mut self, id: &BackendId, report: &LoadReport, now: Moment) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        engine.last_report = Some(now);
        engine.state.usable = true;
        if engine.incarnation.replace(report.incarnation).is_some_and(|i| i != report.incarnation) {
            log::warn!("engine {id} has restarted with an empty memory");
        }
        for open in self.orders.iter_mut().filter(|open| open.intent.engine == *id) {
            open.lifecycle.handle(&OrderEvent::Reported(report));
            if matches!(open.lifecycle.state(), OrderState::Ended { .. }) {
                engine.state.ledger.settle(&open.intent.order.item);
            }
        }
        engine.state.ledger.apply_report(report);
    }

    /// Applies an engine's reply to an order.
    pub fn apply_reply(&mut self, order: &OrderId, reply: &OrderReply) {
        let Some(open) = self.orders.iter_mut().find(|open| open.intent.order.id == *order) else {
            return;
        };
        open.lifecycle.handle(&OrderEvent::Replied(reply));
        if matches!(open.lifecycle.state(), OrderState::Ended { .. })
            && let Some(engine) = self.engines.get_mut(&open.intent.engine)
        {
            engine.state.ledger.settle(&open.intent.order.item);
        }
    }

    /// Removes and returns the orders that have a result.
    pub fn take_ended(&mut self) -> Vec<EndedOrder> {
        let mut ended = Vec::new();
        self.orders.retain(|open| {
            let OrderState::Ended { result } = open.lifecycle.state() else {
                return true;
            };
            ended.push(EndedOrder { intent: open.intent.clone(), result: result.clone() });
            false
        });
        ended
    }

    /// Returns whether an engine has received a larger fencing token than this owner's.
    pub fn is_superseded(&self) -> bool {
        self.orders.iter().any(|open| {
            matches!(open.lifecycle.state(), OrderState::Ended { result: OrderResult::Stale(_) })
        })
    }

    /// Plans the next moves at `now` and reserves their memory. They are sent after
    /// [`ShardOwner::confirm_written`].
    pub fn plan(
        &mut self,
        service: &Service,
        planner: &mut dyn PlanMoves,
        demand: &HashMap<ItemKey, Demand>,
        now: Moment,
        rng: &mut impl rand::Rng,
    ) {
        self.mark_unusable(now);
        if !self.has_all_reports(now) {
            return;
        }
        let states: BTreeMap<BackendId, EngineState> =
            self.engines.iter().map(|(id, engine)| (id.clone(), engine.state.clone())).collect();
        let open_loads =
            self.orders.iter().filter(|open| open.intent.order.action == Action::Load).count();
        let input = PlanInput {
            engines: &states,
            bundles: &service.bundles(),
            demand,
            move_cost: service.policy.move_cost.value as f64,
            max_loads: (service.policy.max_loads.value as usize).saturating_sub(open_loads),
            now,
        };
        for planned in planner.plan(&input) {
            self.open_order(planned, rng);
        }
    }

    /// Sets how many requests an engine can process concurrently, and whether it is leaving.
    pub fn set_engine_facts(&mut self, id: &BackendId, capacity: Option<f64>, leaving: bool) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.state.capacity = capacity;
            engine.state.leaving = leaving;
        }
    }

    /// Marks the engines that have not reported for [`REPORT_TIMEOUT`].
    fn mark_unusable(&mut self, now: Moment) {
        for (id, engine) in &mut self.engines {
            let last = engine.last_report.unwrap_or(self.since);
            if engine.state.usable && now.since(last) >= REPORT_TIMEOUT {
                log::warn!("engine {id} is silent; its items are placed elsewhere");
                engine.state.usable = false;
            }
        }
    }

    /// Returns whether all engines have reported or had enough time to.
    fn has_all_reports(&self, now: Moment) -> bool {
        now.since(self.since) >= FIRST_REPORTS_TIMEOUT
            || self.engines.values().all(|engine| engine.last_report.is_some())
    }

    fn open_order(&mut self, planned: Move, rng: &mut impl rand::Rng) {
        let Some(engine) = self.engines.get_mut(&planned.engine) else {
            return;
        };
        let ledger = &mut engine.state.ledger;
        match planned.action {
            Action::Load => {
                if let Err(error) = ledger.reserve(planned.item.clone(), planned.per_accelerator) {
                    log::warn!("{} is not loaded on {}: {error}", planned.item, planned.engine);
                    return;
                }
            }
            Action::Unload => ledger.mark_unloading(&planned.item),
        }
        let order = Order {
            id: draw_id("order", rng).into(),
            fence: self.fence,
            action: planned.action,
            item: planned.item,
            per_accelerator: planned.per_accelerator,
        };
        let lifecycle = OrderLifecycle::new(order.clone()).state_machine();
        let intent = Intent { engine: planned.engine, order, cause: planned.cause };
        self.orders.push(OpenOrder { intent, lifecycle, written: false, last_sent: None });
    }

    /// Returns the row to write to the table.
    pub fn orders_row(&self) -> OrdersRow {
        OrdersRow { open: self.orders.iter().map(|open| open.intent.clone()).collect() }
    }

    /// Returns whether any order is not in the table yet.
    pub fn has_unwritten(&self) -> bool {
        self.orders.iter().any(|open| !open.written)
    }

    /// Returns the number of open orders.
    pub fn open_count(&self) -> usize {
        self.orders.len()
    }

    /// Returns whether any order is open.
    pub fn has_open(&self) -> bool {
        !self.orders.is_empty()
    }

    /// Records that `row` was written to the table. Returns the intents that are new in it.
    pub fn confirm_written(&mut self, row: &OrdersRow) -> Vec<Intent> {
        let mut new = Vec::new();
        for open in self.orders.iter_mut().filter(|open| !open.written) {
            if row.open.iter().any(|intent| intent.order.id == open.intent.order.id) {
                open.written = true;
                new.push(open.intent.clone());
            }
        }
        new
    }

    /// Returns the orders to send at `now`, oldest first for each engine, and records that they are
    /// sent.
    ///
    /// An engine that does not check fencing tokens gets its next order only after the one before is
    /// resolved, so at most one order to it can arrive late.
    pub fn take_due(&mut self, now: Moment) -> Vec<Intent> {
        let mut due = Vec::new();
        let mut busy: Vec<BackendId> = Vec::new();
        for open in &mut self.orders {
            let Some(engine) = self.engines.get(&open.intent.engine) else {
                continue;
            };
            if busy.contains(&open.intent.engine) {
                continue;
            }
            if !engine.checks_fence {
                busy.push(open.intent.engine.clone());
            }
            let is_due = open.last_sent.is_none_or(|sent| now.since(sent) >= RESEND_DELAY);
            let waits = matches!(open.lifecycle.state(), OrderState::Accepted {})
                && open.last_sent.is_some_and(|sent| now.since(sent) < REPORT_TIMEOUT);
            if !open.written || !is_due || waits || !engine.state.usable {
                continue;
            }
            assert!(open.intent.order.fence == self.fence, "an owner sends only its own token");
            open.last_sent = Some(now);
            open.lifecycle.handle(&OrderEvent::Sent);
            due.push(open.intent.clone());
        }
        due
    }

    /// Returns the used and the free memory of each engine's accelerators and whether it is usable,
    /// for the status page.
    pub fn memory(&self) -> impl Iterator<Item = (&BackendId, Mib, Mib, bool)> {
        self.engines.iter().map(|(id, engine)| {
            (id, engine.state.ledger.used(), engine.state.ledger.free(), engine.state.usable)
        })
    }
}

impl OwnedEngine {
    fn new(backend: &Backend, floor: Mib) -> Self {
        let ledger = EngineLedger::new(backend.accelerators.clone(), floor);
        Self {
            state: EngineState {
                accelerators: backend.accelerators.len(),
                ledger,
                usable: false,
                leaving: false,
                capacity: None,
            },
            checks_fence: backend.checks_fence,
            last_report: None,
            incarnation: None,
        }
    }
}
