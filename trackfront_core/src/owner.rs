//! What the owner of a shard knows and decides: the ledgers, the open orders, the next moves.
//!
//! The owner is driven from outside: reports and replies come in, intents and orders go out.
//! An intent counts in the ledger from before it is written to the table until the engine's
//! own report proves what became of it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::demand::Demand;
use crate::ids::{BackendId, Fence, ItemKey, OrderId, ShardId, draw_id};
use crate::ledger::EngineLedger;
use crate::order::{Action, Intent, Order, OrderEvent, OrderLife, OrderResult, OrderState};
use crate::placement::{EngineState, Move, PlanInput, PlanMoves};
use crate::ports::{LoadReport, OrderReply};
use crate::tree::{Backend, Service};
use crate::units::{Mib, Moment};

/// How long an engine may be silent before its items are placed elsewhere.
const LOST_AFTER: Duration = Duration::from_secs(4);

/// How long a new owner waits for the reports of all engines before it plans without them.
const FIRST_REPORTS: Duration = Duration::from_secs(4);

/// How long after a send an order that is still in doubt is sent again.
const SEND_AGAIN: Duration = Duration::from_secs(1);

/// The value of a shard's orders row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersRow {
    /// The orders that may still take effect.
    pub open: Vec<Intent>,
}

/// An order that came to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedOrder {
    /// What was ordered.
    pub intent: Intent,
    /// How it ended.
    pub result: OrderResult,
}

struct OpenOrder {
    intent: Intent,
    life: StateMachine<OrderLife>,
    /// Whether the intent is in the table, so that the order may be sent.
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
    /// The open orders in the order in which they were made.
    orders: Vec<OpenOrder>,
}

impl ShardOwner {
    /// Takes a shard over at `now` with the intents that the table has. They count as occupied
    /// until reports show what became of them.
    pub fn new(
        shard: ShardId,
        fence: Fence,
        service: &Service,
        found: OrdersRow,
        now: Moment,
    ) -> Self {
        let mut owner =
            Self { shard, fence, since: now, engines: BTreeMap::new(), orders: Vec::new() };
        owner.set_service(service);
        for mut intent in found.open {
            // An order goes on under the new token, so that engines that check it take it.
            intent.order.fence = fence;
            if let Some(engine) = owner.engines.get_mut(&intent.engine) {
                engine.state.ledger.count_intent(&intent);
            }
            let life = OrderLife::new(intent.order.clone()).state_machine();
            owner.orders.push(OpenOrder { intent, life, written: false, last_sent: None });
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

    /// Takes in the engines that the tree gives the shard. Those that stay keep their ledgers.
    pub fn set_service(&mut self, service: &Service) {
        let floor = Mib(service.policy.kv_floor_mib.value);
        self.engines.retain(|id, _| service.backends.contains_key(id));
        for (id, backend) in &service.backends {
            self.engines
                .entry(id.clone())
                .or_insert_with(|| OwnedEngine::new(backend, floor))
                .checks_fence = backend.checks_fence;
        }
        // An order to an engine that left the tree can no longer be settled by a report.
        self.orders.retain(|open| service.backends.contains_key(&open.intent.engine));
    }

    /// Takes in an engine's report read at `now`.
    pub fn report(&mut self, id: &BackendId, report: &LoadReport, now: Moment) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        engine.last_report = Some(now);
        engine.state.usable = true;
        if engine.incarnation.replace(report.incarnation).is_some_and(|i| i != report.incarnation) {
            log::warn!("engine {id} has restarted with an empty memory");
        }
        for open in self.orders.iter_mut().filter(|open| open.intent.engine == *id) {
            open.life.handle(&OrderEvent::Reported(report));
            if matches!(open.life.state(), OrderState::Ended { .. }) {
                engine.state.ledger.settle(&open.intent.order.item);
            }
        }
        engine.state.ledger.observe(report);
    }

    /// Takes in an engine's reply to an order.
    pub fn replied(&mut self, order: &OrderId, reply: &OrderReply) {
        let Some(open) = self.orders.iter_mut().find(|open| open.intent.order.id == *order) else {
            return;
        };
        open.life.handle(&OrderEvent::Replied(reply));
        if matches!(open.life.state(), OrderState::Ended { .. })
            && let Some(engine) = self.engines.get_mut(&open.intent.engine)
        {
            engine.state.ledger.settle(&open.intent.order.item);
        }
    }

    /// Takes out the orders that came to their end.
    pub fn take_ended(&mut self) -> Vec<EndedOrder> {
        let mut ended = Vec::new();
        self.orders.retain(|open| {
            let OrderState::Ended { result } = open.life.state() else {
                return true;
            };
            ended.push(EndedOrder { intent: open.intent.clone(), result: result.clone() });
            false
        });
        ended
    }

    /// Returns the largest fencing token that an engine has shown to be above this owner's.
    pub fn superseded(&self) -> bool {
        self.orders.iter().any(|open| {
            matches!(open.life.state(), OrderState::Ended { result: OrderResult::Stale(_) })
        })
    }

    /// Plans the next moves at `now` and reserves their memory. They are sent once
    /// [`ShardOwner::written`] says that the table has them.
    pub fn plan(
        &mut self,
        service: &Service,
        planner: &mut dyn PlanMoves,
        demand: &HashMap<ItemKey, Demand>,
        now: Moment,
        rng: &mut impl rand::Rng,
    ) {
        self.mark_lost(now);
        if !self.knows_all(now) {
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

    /// Notes what an engine can answer at once, and whether it is leaving.
    pub fn set_engine_facts(&mut self, id: &BackendId, capacity: Option<f64>, leaving: bool) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.state.capacity = capacity;
            engine.state.leaving = leaving;
        }
    }

    /// Marks the engines that have been silent for too long.
    fn mark_lost(&mut self, now: Moment) {
        for (id, engine) in &mut self.engines {
            let last = engine.last_report.unwrap_or(self.since);
            if engine.state.usable && now.since(last) >= LOST_AFTER {
                log::warn!("engine {id} is silent; its items are placed elsewhere");
                engine.state.usable = false;
            }
        }
    }

    /// Returns whether all engines have reported, or have had the time to.
    fn knows_all(&self, now: Moment) -> bool {
        now.since(self.since) >= FIRST_REPORTS
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
            Action::Unload => ledger.mark_going(&planned.item),
        }
        let order = Order {
            id: draw_id("order", rng).into(),
            fence: self.fence,
            action: planned.action,
            item: planned.item,
            per_accelerator: planned.per_accelerator,
        };
        let life = OrderLife::new(order.clone()).state_machine();
        let intent = Intent { engine: planned.engine, order, cause: planned.cause };
        self.orders.push(OpenOrder { intent, life, written: false, last_sent: None });
    }

    /// Returns the row that the table should have.
    pub fn orders_row(&self) -> OrdersRow {
        OrdersRow { open: self.orders.iter().map(|open| open.intent.clone()).collect() }
    }

    /// Returns whether there are orders that the table does not have yet.
    pub fn has_unwritten(&self) -> bool {
        self.orders.iter().any(|open| !open.written)
    }

    /// Returns how many orders are open.
    pub fn open_count(&self) -> usize {
        self.orders.len()
    }

    /// Returns whether any order is open.
    pub fn has_open(&self) -> bool {
        !self.orders.is_empty()
    }

    /// Notes that the table has `row`; returns the intents that it did not have before.
    pub fn written(&mut self, row: &OrdersRow) -> Vec<Intent> {
        let mut fresh = Vec::new();
        for open in self.orders.iter_mut().filter(|open| !open.written) {
            if row.open.iter().any(|intent| intent.order.id == open.intent.order.id) {
                open.written = true;
                fresh.push(open.intent.clone());
            }
        }
        fresh
    }

    /// Returns the orders to send at `now`, oldest first for each engine, and notes the send.
    ///
    /// An engine that does not check fencing tokens gets its next order only after the one
    /// before is settled, so that at most one order to it can ever arrive late.
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
            let rested = open.last_sent.is_none_or(|sent| now.since(sent) >= SEND_AGAIN);
            let waits = matches!(open.life.state(), OrderState::Accepted {})
                && open.last_sent.is_some_and(|sent| now.since(sent) < LOST_AFTER);
            if !open.written || !rested || waits || !engine.state.usable {
                continue;
            }
            assert!(open.intent.order.fence == self.fence, "an owner sends only its own token");
            open.last_sent = Some(now);
            open.life.handle(&OrderEvent::Sent);
            due.push(open.intent.clone());
        }
        due
    }

    /// Returns each engine's used and free memory on an accelerator, for the status.
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
