//! Places the models of one shard while this box holds the lease.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tokio::sync::watch;
use trackfront_adapters::wire::operator::{EngineStatus, ShardStatus};
use trackfront_core::audit::AuditEvent;
use trackfront_core::demand::Demand;
use trackfront_core::ids::{Fence, ItemKey, ShardId};
use trackfront_core::order::{Intent, OrderResult};
use trackfront_core::owner::{OrdersRow, ShardOwner};
use trackfront_core::placement::PlanMoves;
use trackfront_core::ports::{Expect, RowKey};
use trackfront_core::tree::Service;
use trackfront_core::units::Moment;

use super::lease::{LeaseHolder, write};
use super::should_continue;
use crate::in_force::TreeInForce;
use crate::reader;
use crate::shared::Shared;

/// The interval of steps without open orders.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// The interval of steps with open orders.
const BUSY_INTERVAL: Duration = Duration::from_millis(200);

/// Places the models of one shard while it holds the lease.
pub struct PlacementOwner {
    shared: Arc<Shared>,
    shard: ShardId,
    lease: LeaseHolder,
    owned: Option<Owned>,
}

/// An owned shard, with its orders row in the table.
struct Owned {
    owner: ShardOwner,
    planner: Box<dyn PlanMoves>,
    expect: Expect,
    row: OrdersRow,
}

impl PlacementOwner {
    /// Creates the owner of a shard, without the lease.
    pub fn new(shared: Arc<Shared>, shard: ShardId) -> Self {
        let lease = LeaseHolder::new(shared.clone(), shard.clone(), format!("lease/{shard}"));
        Self { shared, shard, lease, owned: None }
    }

    /// Places models until `released` is true, then releases the lease.
    pub async fn run(mut self, mut released: watch::Receiver<bool>) {
        loop {
            self.step().await;
            let busy = self.owned.as_ref().is_some_and(|owned| owned.owner.has_open());
            let pause = if busy { BUSY_INTERVAL } else { IDLE_INTERVAL };
            if !should_continue(self.shared.sleep_about(pause), &mut released).await {
                break;
            }
        }
        self.lease.release().await;
        self.shared.owned.lock().remove(&self.shard);
    }

    fn now(&self) -> Moment {
        self.shared.outside.clock.now()
    }

    async fn step(&mut self) {
        let Some(current) = self.shared.in_force.current() else {
            return;
        };
        let Some(service) = current.tree.service(&self.shard) else {
            return;
        };
        let held = self.lease.acquire_or_keep().await;
        let owned_fence = self.owned.as_ref().map(|owned| owned.owner.fence());
        if held != owned_fence {
            self.stop_owning();
        }
        if let (Some(fence), None) = (held, &self.owned) {
            self.start_owning(fence, service).await;
        }
        if self.owned.is_some() {
            self.place(&current, service).await;
        }
        self.update_status();
    }

    fn stop_owning(&mut self) {
        if self.owned.take().is_some() {
            self.shared.owned.lock().remove(&self.shard);
        }
    }

    /// Reads the orders of the last owner and starts to place models.
    async fn start_owning(&mut self, fence: Fence, service: &Service) {
        let row = match self.shared.outside.table.read(&self.orders_key()).await {
            Ok(row) => row,
            Err(error) => {
                // No order may be sent while the intents are unknown.
                log::warn!("the orders of {} cannot be read: {error}", self.shard);
                return;
            }
        };
        let stored = match &row {
            Some(row) => match serde_json::from_slice(&row.value) {
                Ok(stored) => stored,
                Err(error) => {
                    log::error!("the orders of {} do not decode: {error}", self.shard);
                    return;
                }
            },
            None => OrdersRow::default(),
        };
        let now = self.now();
        let owner = ShardOwner::new(self.shard.clone(), fence, service, stored.clone(), now);
        let expect = Expect::unchanged(row.as_ref());
        let planner = (self.shared.outside.make_planner)();
        self.owned = Some(Owned { owner, planner, expect, row: stored });
    }

    /// Reads reports, plans moves, writes the intents and sends the orders that are due.
    async fn place(&mut self, current: &TreeInForce, service: &Service) {
        self.read_reports(current, service).await;
        let now = self.now();
        let Some(owned) = &mut self.owned else {
            return;
        };
        if owned.owner.is_superseded() {
            self.lease.abandon("an engine has seen a larger fencing token");
            self.stop_owning();
            return;
        }
        owned.owner.set_service(service);
        let ended = owned.owner.take_ended();
        for order in &ended {
            self.shared.audit.record(AuditEvent::OrderEnded {
                order: order.intent.order.id.clone(),
                result: result_name(&order.result).into(),
            });
        }
        let demand = item_demand(&self.shared, service, now);
        update_engines(&self.shared, service, &mut owned.owner);
        let Owned { owner, planner, .. } = owned;
        self.shared.with_rng(|rng| owner.plan(service, planner.as_mut(), &demand, now, rng));
        let Some(owned) = &mut self.owned else {
            return;
        };
        let changed = owned.owner.has_unwritten() || !ended.is_empty();
        if (changed || self.lease.is_due()) && !self.write_orders().await {
            return;
        }
        self.send_due(current).await;
    }

    async fn read_reports(&mut self, current: &TreeInForce, service: &Service) {
        let shared = self.shared.clone();
        let reads = service.backends.keys().filter_map(|id| {
            let engine = current.engines.get(id)?;
            let shared = &shared;
            Some(async move { (id, reader::read(shared, id, engine.as_ref()).await) })
        });
        let reports = join_all(reads).await;
        let now = self.now();
        let Some(owned) = &mut self.owned else {
            return;
        };
        for (id, report) in reports {
            if let Some(report) = report {
                owned.owner.apply_report(id, &report, now);
            }
        }
    }

    /// Renews the lease and writes the open orders, if they changed, in one transaction. Returns whether
    /// all intents are in the table.
    async fn write_orders(&mut self) -> bool {
        let Some(owned) = &self.owned else {
            return false;
        };
        let row = owned.owner.orders_row();
        let changed = row != owned.row;
        let writes = match changed {
            true => vec![write(&self.orders_key(), owned.expect, &row)],
            false => Vec::new(),
        };
        if !self.lease.commit(writes).await {
            return false;
        }
        if changed && !self.record_written(row).await {
            return false;
        }
        self.mark_written();
        true
    }

    /// Records that `row` is the orders row in the table.
    async fn record_written(&mut self, row: OrdersRow) -> bool {
        let expect = match self.owned.as_ref().map(|owned| owned.expect) {
            Some(Expect::Version(version)) => Expect::Version(version.next()),
            _ => match self.shared.outside.table.read(&self.orders_key()).await {
                Ok(read) => Expect::unchanged(read.as_ref()),
                Err(error) => {
                    log::warn!("the orders of {} cannot be read back: {error}", self.shard);
                    self.stop_owning();
                    return false;
                }
            },
        };
        if let Some(owned) = &mut self.owned {
            owned.expect = expect;
            owned.row = row;
        }
        true
    }

    fn mark_written(&mut self) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        for intent in owned.owner.confirm_written(&owned.row) {
            self.shared.audit.record(AuditEvent::OrderSent {
                order: intent.order.id,
                engine: intent.engine,
                action: intent.order.action.name().into(),
                item: intent.order.item,
                cause: intent.cause,
            });
        }
    }

    /// Sends the orders that are due. The lease is checked right before each send.
    async fn send_due(&mut self, current: &TreeInForce) {
        let now = self.now();
        let Some(owned) = &mut self.owned else {
            return;
        };
        let fence = owned.owner.fence();
        let lease = self.lease.state();
        if lease.usable(now) != Some(fence) {
            return;
        }
        let mut by_engine: BTreeMap<_, Vec<Intent>> = BTreeMap::new();
        for intent in owned.owner.take_due(now) {
            by_engine.entry(intent.engine.clone()).or_default().push(intent);
        }
        let clock = &self.shared.outside.clock;
        let sends = by_engine.into_iter().filter_map(|(engine, intents)| {
            let engine = current.engines.get(&engine)?;
            let lease = &lease;
            Some(async move {
                let mut replies = Vec::new();
                for intent in intents {
                    if lease.usable(clock.now()) != Some(fence) {
                        break;
                    }
                    replies.push((intent.order.id.clone(), engine.order(&intent.order).await));
                }
                replies
            })
        });
        let replies = join_all(sends).await;
        if let Some(owned) = &mut self.owned {
            for (order, reply) in replies.into_iter().flatten() {
                owned.owner.apply_reply(&order, &reply);
            }
        }
    }

    fn update_status(&self) {
        let Some(owned) = &self.owned else {
            return;
        };
        let engines = owned
            .owner
            .memory()
            .map(|(engine, used, free, usable)| EngineStatus {
                engine: engine.clone(),
                used,
                free,
                usable,
            })
            .collect();
        let status = ShardStatus {
            shard: self.shard.clone(),
            fence: owned.owner.fence(),
            open_orders: owned.owner.open_count(),
            engines,
        };
        self.shared.owned.lock().insert(self.shard.clone(), status);
    }

    fn orders_key(&self) -> RowKey {
        RowKey(format!("orders/{}", self.shard))
    }
}

/// Returns the demand for each item of a service, over all boxes.
fn item_demand(shared: &Shared, service: &Service, now: Moment) -> HashMap<ItemKey, Demand> {
    let by_name = shared.demand.total(now);
    let mut by_item = HashMap::new();
    for sized in service.bundles().into_iter().flat_map(|bundle| bundle.items) {
        let name = match &sized.item.adapter {
            Some(adapter) => adapter.as_str(),
            None => sized.item.model.as_str(),
        };
        if let Some(demand) = by_name.get(name) {
            by_item.insert(sized.item, *demand);
        }
    }
    by_item
}

/// Updates the owner with this box's measurements of its engines.
fn update_engines(shared: &Shared, service: &Service, owner: &mut ShardOwner) {
    let gap = Duration::from_millis(service.policy.token_gap_ms.value);
    for id in service.backends.keys() {
        if let Some(entry) = shared.fleet.engine(id) {
            owner.set_engine_facts(id, entry.capacity(gap), entry.is_leaving());
        }
    }
}

fn result_name(result: &OrderResult) -> &'static str {
    match result {
        OrderResult::Done => "done",
        OrderResult::Refused(_) => "refused",
        OrderResult::Stale(_) => "stale",
        OrderResult::Failed => "failed",
    }
}
