//! Owns shards: takes and renews leases, and drives each owned shard's placement.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use parking_lot::Mutex;
use serde::Serialize;
use statig::blocking::{IntoStateMachineExt, StateMachine};
use trackfront_adapters::wire::operator::{EngineStatus, ShardStatus};
use trackfront_core::audit::AuditEvent;
use trackfront_core::ids::{Fence, ShardId, TxnId};
use trackfront_core::lease::{LeaseEvent, LeaseHolder, LeaseRow, SeenLease, takeover};
use trackfront_core::members::rank;
use trackfront_core::order::{Intent, OrderResult};
use trackfront_core::owner::{OrdersRow, ShardOwner};
use trackfront_core::ports::table::commit_settled;
use trackfront_core::ports::{CommitOutcome, Expect, Row, RowKey, Transaction, Write};
use trackfront_core::tree::{Service, ServiceKind};
use trackfront_core::units::Moment;

use crate::in_force::TreeInForce;
use crate::reader;
use crate::shared::Shared;

/// How long a lease lasts after each write.
const LEASE_TTL: Duration = Duration::from_secs(6);

/// How long after the last write a lease is renewed.
const RENEW_AFTER: Duration = Duration::from_secs(2);

/// How often a shard is looked after while nothing is open.
const STEP_EVERY: Duration = Duration::from_secs(1);

/// How often a shard is looked after while orders are open.
const STEP_EVERY_BUSY: Duration = Duration::from_millis(200);

/// How many boxes watch a shard's lease; more would read the table for nothing.
const WATCHERS: usize = 3;

/// How much longer each further watcher waits before it takes a vacant lease.
const WATCHER_STEP: Duration = Duration::from_secs(2);

/// How often a commit is sent before its fate counts as unknown.
const COMMIT_ATTEMPTS: u32 = 3;

/// Looks after all shards of this box's region until the task is stopped.
pub async fn run(shared: Arc<Shared>, tasks: Arc<ShardTasks>) {
    loop {
        if let Some(current) = shared.in_force.current() {
            for (shard, service) in current.tree.shards() {
                let here = shard.region == shared.place.region;
                if here && matches!(service.kind, ServiceKind::Engines { .. }) {
                    tasks.ensure(&shared, shard);
                }
            }
        }
        shared.rest(STEP_EVERY).await;
    }
}

/// The tasks of all shards, one each.
#[derive(Default)]
pub struct ShardTasks {
    tasks: Mutex<BTreeMap<ShardId, ShardTask>>,
}

struct ShardTask {
    handle: tokio::task::JoinHandle<()>,
    release: tokio::sync::watch::Sender<bool>,
}

impl ShardTasks {
    /// Starts the task of `shard` unless it runs.
    fn ensure(&self, shared: &Arc<Shared>, shard: ShardId) {
        let mut tasks = self.tasks.lock();
        if tasks.contains_key(&shard) {
            return;
        }
        let (release, released) = tokio::sync::watch::channel(false);
        let keeper = ShardKeeper::new(shared.clone(), shard.clone());
        let handle = tokio::spawn(keeper.run(released));
        tasks.insert(shard, ShardTask { handle, release });
    }

    /// Stops all tasks at once, without giving leases up.
    pub fn abort(&self) {
        for task in self.tasks.lock().values() {
            task.handle.abort();
        }
    }

    /// Gives all leases up and waits for that.
    pub async fn release(&self) {
        let tasks = std::mem::take(&mut *self.tasks.lock());
        for task in tasks.values() {
            task.release.send_replace(true);
        }
        join_all(tasks.into_values().map(|task| task.handle)).await;
    }
}

/// Keeps one shard: watches its lease, and places its models while this box holds it.
struct ShardKeeper {
    shared: Arc<Shared>,
    shard: ShardId,
    lease: StateMachine<LeaseHolder>,
    seen: Option<SeenLease>,
    vacant_since: Option<Moment>,
    written_at: Moment,
    owned: Option<Owned>,
}

/// An owned shard, with the version of its orders row.
struct Owned {
    owner: ShardOwner,
    orders_version: Expect,
    /// The row that the table has.
    row: OrdersRow,
}

impl ShardKeeper {
    fn new(shared: Arc<Shared>, shard: ShardId) -> Self {
        Self {
            shared,
            shard,
            lease: LeaseHolder::new(LEASE_TTL).state_machine(),
            seen: None,
            vacant_since: None,
            written_at: Moment::default(),
            owned: None,
        }
    }

    async fn run(mut self, mut released: tokio::sync::watch::Receiver<bool>) {
        while !*released.borrow() {
            self.step().await;
            let busy = self.owned.as_ref().is_some_and(|owned| owned.owner.has_open());
            let pause = if busy { STEP_EVERY_BUSY } else { STEP_EVERY };
            tokio::select! {
                () = self.shared.rest(pause) => {},
                _ = released.changed() => {},
            }
        }
        self.give_up().await;
    }

    fn now(&self) -> Moment {
        self.shared.outside.clock.now()
    }

    /// Returns the fencing token if the lease may be used now.
    fn usable(&self) -> Option<Fence> {
        self.lease.state().usable(self.now())
    }

    async fn step(&mut self) {
        let Some(current) = self.shared.in_force.current() else {
            return;
        };
        let Some(service) = current.tree.service(&self.shard) else {
            return;
        };
        self.lease.handle(&LeaseEvent::Tick(self.now()));
        if self.usable().is_none() {
            self.lose("the lease lapsed");
            self.try_take(service).await;
        }
        if self.owned.is_some() {
            self.work(&current, service).await;
        }
        self.show_status();
    }

    /// Stops owning, because of `cause`.
    fn lose(&mut self, cause: &str) {
        let Some(owned) = self.owned.take() else {
            return;
        };
        log::warn!("shard {} is no longer owned: {cause}", self.shard);
        let fence = owned.owner.fence();
        let event =
            AuditEvent::LeaseEnded { shard: self.shard.clone(), fence, cause: cause.into() };
        self.shared.audit.record(event);
        self.shared.owned.lock().remove(&self.shard);
        self.shared.metrics.leases.dec();
    }

    /// Takes the lease if nobody holds it and it is this box's turn.
    async fn try_take(&mut self, service: &Service) {
        let now = self.now();
        let others = self.shared.members.lock().live_ids(now);
        let place = rank(&self.shard.to_string(), &self.shared.me, &others);
        if place >= WATCHERS {
            return;
        }
        if let Err(error) = self.look().await {
            log::warn!("the lease of {} cannot be read: {error}", self.shard);
            return;
        }
        let now = self.now();
        let Some(row) = takeover(self.seen.as_ref(), &self.shared.me, LEASE_TTL, now) else {
            self.vacant_since = None;
            return;
        };
        let vacant_since = *self.vacant_since.get_or_insert(now);
        if now.since(vacant_since) < WATCHER_STEP * place as u32 {
            return;
        }
        let expect = self.expect_lease();
        let txn = self.transaction(vec![write(self.lease_key(), expect, &row)]);
        if self.commit_lease(&txn, row.fence).await {
            self.start_owning(row.fence, service).await;
        }
    }

    /// Reads the lease's row and notes since when it stands as it does.
    async fn look(&mut self) -> Result<(), trackfront_core::ports::TableError> {
        let row = self.shared.outside.table.read(&self.lease_key()).await?;
        let now = self.now();
        self.seen = row.and_then(|row| seen_lease(&row, self.seen.as_ref(), now));
        Ok(())
    }

    /// Commits a transaction that takes or renews the lease. Returns whether the lease is held.
    async fn commit_lease(&mut self, txn: &Transaction, fence: Fence) -> bool {
        let sent_at = self.now();
        let table = self.shared.outside.table.as_ref();
        match commit_settled(table, txn, COMMIT_ATTEMPTS).await {
            CommitOutcome::Applied => {
                self.lease.handle(&LeaseEvent::Written { fence, sent_at });
                self.written_at = sent_at;
                let version = match self.expect_lease() {
                    Expect::Absent => None,
                    Expect::Version(version) => Some(version + 1),
                };
                let row = LeaseRow {
                    holder: Some(self.shared.me.clone()),
                    fence,
                    ttl_ms: LEASE_TTL.as_millis() as u64,
                };
                match version {
                    Some(version) => self.seen = Some(SeenLease { version, row, since: sent_at }),
                    // The version of a first row is read, since the row may have been deleted
                    // before.
                    None => {
                        if self.look().await.is_err() {
                            self.lease.handle(&LeaseEvent::Superseded);
                            return false;
                        }
                    }
                }
                true
            }
            CommitOutcome::Conflict { key } => {
                log::info!("the lease of {} went to another box ({key})", self.shard);
                self.lease.handle(&LeaseEvent::Superseded);
                false
            }
            CommitOutcome::NotApplied(error) | CommitOutcome::Unknown(error) => {
                log::warn!("the lease of {} cannot be written: {error}", self.shard);
                false
            }
        }
    }

    /// Reads what the owner before has left and starts to own.
    async fn start_owning(&mut self, fence: Fence, service: &Service) {
        self.vacant_since = None;
        let read = self.shared.outside.table.read(&self.orders_key()).await;
        let row = match read {
            Ok(row) => row,
            Err(error) => {
                // Without the intents nothing may be ordered, so the lease is left to lapse.
                log::warn!("the orders of {} cannot be read: {error}", self.shard);
                self.lease.handle(&LeaseEvent::Superseded);
                return;
            }
        };
        let found: OrdersRow = match &row {
            Some(row) => match serde_json::from_slice(&row.value) {
                Ok(found) => found,
                Err(error) => {
                    log::error!("the orders of {} do not decode: {error}", self.shard);
                    self.lease.handle(&LeaseEvent::Superseded);
                    return;
                }
            },
            None => OrdersRow::default(),
        };
        let now = self.now();
        let owner = ShardOwner::new(self.shard.clone(), fence, service, found.clone(), now);
        let orders_version = Expect::unchanged(row.as_ref());
        self.owned = Some(Owned { owner, orders_version, row: found });
        let event = AuditEvent::LeaseTaken { shard: self.shard.clone(), fence };
        self.shared.audit.record(event);
        self.shared.metrics.leases.inc();
    }

    /// Does one round of an owner's work.
    async fn work(&mut self, current: &TreeInForce, service: &Service) {
        self.read_reports(current).await;
        let now = self.now();
        let Some(owned) = &mut self.owned else {
            return;
        };
        if owned.owner.superseded() {
            self.lease.handle(&LeaseEvent::Superseded);
            self.lose("an engine has seen a larger fencing token");
            return;
        }
        owned.owner.set_service(service);
        let ended = owned.owner.take_ended();
        let any_ended = !ended.is_empty();
        let shared = self.shared.clone();
        for order in ended {
            shared.audit.record(AuditEvent::OrderEnded {
                order: order.intent.order.id,
                result: result_name(&order.result).into(),
            });
        }
        shared.with_rng(|rng| owned.owner.plan(service, now, rng));
        let due_for_renewal = now.since(self.written_at) >= RENEW_AFTER;
        let changed = owned.owner.has_unwritten() || any_ended;
        if (changed || due_for_renewal) && !self.write_down().await {
            return;
        }
        self.send_due(current).await;
    }

    async fn read_reports(&mut self, current: &TreeInForce) {
        let Some(service) = current.tree.service(&self.shard) else {
            return;
        };
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
                owned.owner.report(id, &report, now);
            }
        }
    }

    /// Renews the lease, and writes the open orders where they changed, in one transaction.
    /// Returns whether the table has all intents.
    async fn write_down(&mut self) -> bool {
        let Some(owned) = &self.owned else {
            return false;
        };
        let fence = owned.owner.fence();
        let row = owned.owner.orders_row();
        let lease = LeaseRow {
            holder: Some(self.shared.me.clone()),
            fence,
            ttl_ms: LEASE_TTL.as_millis() as u64,
        };
        let mut writes = vec![write(self.lease_key(), self.expect_lease(), &lease)];
        let orders_changed = row != owned.row;
        if orders_changed {
            writes.push(write(self.orders_key(), owned.orders_version, &row));
        }
        let txn = self.transaction(writes);
        if !self.commit_lease(&txn, fence).await {
            if self.usable().is_none() {
                self.lose("the lease could not be renewed");
            }
            return false;
        }
        if orders_changed && !self.note_written(row).await {
            return false;
        }
        self.mark_written();
        true
    }

    /// Notes that the table has `row` as its orders row.
    async fn note_written(&mut self, row: OrdersRow) -> bool {
        let expect = match self.owned.as_ref().map(|owned| owned.orders_version) {
            Some(Expect::Version(version)) => Expect::Version(version + 1),
            _ => match self.shared.outside.table.read(&self.orders_key()).await {
                Ok(read) => Expect::unchanged(read.as_ref()),
                Err(error) => {
                    log::warn!("the orders of {} cannot be read back: {error}", self.shard);
                    self.lease.handle(&LeaseEvent::Superseded);
                    self.lose("the orders could not be read back");
                    return false;
                }
            },
        };
        if let Some(owned) = &mut self.owned {
            owned.orders_version = expect;
            owned.row = row;
        }
        true
    }

    fn mark_written(&mut self) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        for intent in owned.owner.written(&owned.row) {
            self.shared.audit.record(AuditEvent::OrderSent {
                order: intent.order.id,
                engine: intent.engine,
                action: intent.order.action.name().into(),
                item: intent.order.item,
                cause: intent.cause,
            });
        }
    }

    /// Sends the orders that are due. The lease is checked last thing before each send.
    async fn send_due(&mut self, current: &TreeInForce) {
        let now = self.now();
        let Some(owned) = &mut self.owned else {
            return;
        };
        let fence = owned.owner.fence();
        if self.lease.state().usable(now) != Some(fence) {
            return;
        }
        let due = owned.owner.take_due(now);
        let mut by_engine: BTreeMap<_, Vec<Intent>> = BTreeMap::new();
        for intent in due {
            by_engine.entry(intent.engine.clone()).or_default().push(intent);
        }
        let lease = self.lease.state().clone();
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
                owned.owner.replied(&order, &reply);
            }
        }
    }

    /// Gives the lease up at a planned stop, so that another box need not wait for it to lapse.
    async fn give_up(&mut self) {
        let Some(fence) = self.usable() else {
            return;
        };
        self.lease.handle(&LeaseEvent::Released);
        self.lose("the box is stopping");
        let row = LeaseRow { holder: None, fence, ttl_ms: LEASE_TTL.as_millis() as u64 };
        let txn = self.transaction(vec![write(self.lease_key(), self.expect_lease(), &row)]);
        let table = self.shared.outside.table.as_ref();
        if commit_settled(table, &txn, COMMIT_ATTEMPTS).await != CommitOutcome::Applied {
            log::warn!("the lease of {} could not be given up and will lapse", self.shard);
        }
    }

    fn show_status(&self) {
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
            open_orders: owned.owner.orders_row().open.len(),
            engines,
        };
        self.shared.owned.lock().insert(self.shard.clone(), status);
    }

    fn transaction(&self, writes: Vec<Write>) -> Transaction {
        Transaction { id: TxnId::from(self.shared.draw_id("txn")), writes }
    }

    fn expect_lease(&self) -> Expect {
        self.seen.as_ref().map_or(Expect::Absent, |seen| Expect::Version(seen.version))
    }

    fn lease_key(&self) -> RowKey {
        RowKey(format!("lease/{}", self.shard))
    }

    fn orders_key(&self) -> RowKey {
        RowKey(format!("orders/{}", self.shard))
    }
}

/// Makes a conditional write of a row.
fn write(key: RowKey, expect: Expect, value: &impl Serialize) -> Write {
    let value = serde_json::to_vec(value).expect("our own types always encode");
    Write { key, expect, value: Some(Bytes::from(value)) }
}

/// Notes a lease's row; a version that was seen before keeps its moment.
fn seen_lease(row: &Row, before: Option<&SeenLease>, now: Moment) -> Option<SeenLease> {
    let value: LeaseRow = match serde_json::from_slice(&row.value) {
        Ok(value) => value,
        Err(error) => {
            log::error!("the row {} does not decode: {error}", row.key);
            return before.cloned();
        }
    };
    let since = before.filter(|before| before.version == row.version).map_or(now, |b| b.since);
    Some(SeenLease { version: row.version, row: value, since })
}

fn result_name(result: &OrderResult) -> &'static str {
    match result {
        OrderResult::Done => "done",
        OrderResult::Refused(_) => "refused",
        OrderResult::Stale(_) => "stale",
        OrderResult::Failed => "failed",
    }
}
