//! The order lease: one box at a time gives orders to all engines of a deployment.
//!
//! The lease is a row in the platform's table. It is written only when orders are to be given, so
//! steady demand costs no calls. Other boxes learn from digests that the holder is alive, and read
//! the row only if they hear nothing from it. Some engines don't check fencing tokens, so a quiet
//! period separates the last order of one holder from the first order of the next.
//!
//! After a restoration of the platform's table the row may be gone, or an older one. The holder
//! writes it again while its token is valid; no other box takes the lease until that token must
//! have ended.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use statig::blocking::{IntoStateMachineExt, StateMachine};
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ids::{Fence, NodeId, TxnId, draw_id};
use trackfront_core::lease::{
    LeaseAnnouncement, LeaseEvent, LeaseMachine, LeaseRow, LeaseTerms, ObservedLease, fence_floor,
    takeover_on_announcement,
};
use trackfront_core::ports::table::commit_settled;
use trackfront_core::ports::{CommitOutcome, Expect, RowKey, TableError, Transaction, Write};
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;

use super::gossip::HoldsOrderLease;
use super::node::ServingNode;
use super::restoration::observe_own_era;

/// The key of the lease's row.
const LEASE_ROW_KEY: &str = "lease/orders";

/// The duration of the lease after each renewal. It is short since it bounds how long engines get
/// no orders after the holder's death, and long against a slow answer of the platform.
const LEASE_TTL: Duration = Duration::from_millis(1_250);

/// The lease is renewed before orders if less than this is left.
const RENEW_BELOW: Duration = Duration::from_millis(600);

/// The part of the quiet period for an order's travel time to an engine, in addition to the
/// promised period.
const ORDER_TRAVEL_TIME: Duration = Duration::from_millis(400);

/// The minimum interval between reads of the row while no box gives orders.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// How long the holder tries to renew the lease before it lets others take over. The fencing token
/// has expired by then.
const RENEW_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The additional wait of a box for each box ranked before it by capacity.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// The number of attempts of a write whose answer was lost.
const COMMIT_ATTEMPTS: u32 = 2;

/// A fencing token and the time until which it may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ValidFence {
    fence: Fence,
    until: Moment,
}

/// The fencing token, shared with the tasks that send orders.
#[derive(Debug, Default)]
pub struct OrderFence(Mutex<Option<ValidFence>>);

impl OrderFence {
    /// Returns the fencing token if orders may be given at `now`. It must be the last check before
    /// each send.
    pub fn usable(&self, now: Moment) -> Option<Fence> {
        self.0.lock().filter(|valid| now < valid.until).map(|valid| valid.fence)
    }

    fn set(&self, fence: Option<ValidFence>) {
        *self.0.lock() = fence;
    }
}

/// Acquires, renews and releases the order lease.
pub struct OrderLease {
    node: Arc<ServingNode>,
    me: NodeId,
    key: RowKey,
    machine: StateMachine<LeaseMachine>,
    observed: Option<ObservedLease>,
    /// The era of the table in which the row is known to have been written, so that it names the
    /// last holder.
    written_in_era: Option<u64>,
    last_read_at: Option<Moment>,
    vacant_since: Option<Moment>,
    failing_since: Option<Moment>,
    order_fence: Arc<OrderFence>,
    holds_lease: Arc<HoldsOrderLease>,
}

impl OrderLease {
    /// Creates the state of a lease that isn't held.
    pub fn new(
        node: Arc<ServingNode>,
        order_fence: Arc<OrderFence>,
        holds_lease: Arc<HoldsOrderLease>,
    ) -> Self {
        // The name is that of the machine: a process that restarts on it is the same holder.
        let me = NodeId::from(node.settings.load().node.ip.to_string());
        Self {
            node,
            me,
            key: RowKey(LEASE_ROW_KEY.into()),
            machine: LeaseMachine::new(LEASE_TTL).state_machine(),
            observed: None,
            written_in_era: None,
            last_read_at: None,
            vacant_since: None,
            failing_since: None,
            order_fence,
            holds_lease,
        }
    }

    /// Returns whether this box holds the order lease.
    pub fn is_holder(&self) -> bool {
        self.holds_lease.get()
    }

    /// Acquires the lease if no other box gives orders. Returns whether this box holds it.
    pub async fn try_acquire(&mut self) -> bool {
        if self.is_holder() {
            return true;
        }
        let now = self.node.now();
        if self.node.is_stopping() || self.node.peers.lock().order_holder(now).is_some() {
            self.vacant_since = None;
            self.observed = None;
            return false;
        }
        let vacant_since = *self.vacant_since.get_or_insert(now);
        if now.since(vacant_since) < RANK_DELAY.saturating_mul(self.rank(now)) {
            return false;
        }
        if self.last_read_at.is_some_and(|at| now.since(at) < READ_INTERVAL) {
            return false;
        }
        self.take_over().await
    }

    /// Renews the lease if it ends soon. Returns whether orders may be given for a while.
    pub async fn renew(&mut self) -> bool {
        let now = self.node.now();
        if self.order_fence.usable(now + RENEW_BELOW).is_some() {
            return true;
        }
        if !self.is_holder() {
            return false;
        }
        let renewed = match self.order_fence.usable(now) {
            Some(fence) => self.extend(fence).await,
            None => self.take_over().await,
        };
        if renewed {
            self.failing_since = None;
            return true;
        }
        let failing_since = *self.failing_since.get_or_insert(now);
        if self.is_holder() && self.node.now().since(failing_since) > RENEW_TIMEOUT {
            self.drop_lease("it could not be renewed");
        }
        false
    }

    /// Releases the lease, so that another box can acquire it without waiting for its end.
    pub async fn release(&mut self, cause: &'static str) {
        if !self.is_holder() {
            return;
        }
        self.drop_lease(cause);
        let dropped_at = self.node.now();
        self.machine.handle(&LeaseEvent::Released);
        let Some(observed) = &self.observed else {
            return;
        };
        let row = LeaseRow { holder: None, ..observed.row.clone() };
        let version = observed.version.next();
        let applied = self.commit(&row).await == CommitOutcome::Applied;
        if applied {
            // No order was sent after the fencing token was dropped, so the quiet period began
            // then.
            self.holds_lease.announce(LeaseAnnouncement { version, ends_at: dropped_at });
            self.node.digest_requested.notify_one();
        }
        log::info!(applied; "order lease released");
    }

    fn rank(&self, now: Moment) -> u32 {
        let rank = self.node.peers.lock().lease_rank(now);
        u32::try_from(rank).unwrap_or(u32::MAX)
    }

    fn terms(&self) -> LeaseTerms {
        let promised = self.node.settings.load().promises.order_quiet();
        LeaseTerms { ttl: LEASE_TTL, quiet_period: promised + ORDER_TRAVEL_TIME }
    }

    /// Writes the row again under a token that is still valid. After a restoration of the table the
    /// row is read first, whatever it says: no other box can have taken the lease since.
    async fn extend(&mut self, fence: Fence) -> bool {
        if self.is_before_restoration() && !self.read_row_logged().await {
            return false;
        }
        self.write(self.own_row(fence)).await
    }

    /// Returns the latest era of the table, for versions.
    fn table_era(&self) -> u64 {
        self.node.ports.table.era().unwrap_or(0)
    }

    /// Returns whether the table was restored after the row was observed.
    fn is_before_restoration(&self) -> bool {
        let era = self.table_era();
        self.observed.as_ref().is_some_and(|observed| observed.version.era() < era)
    }

    /// Returns whether a holder of the era before may still give orders at `now`. A box that is new
    /// to the table and finds no lease in it has no holder before it.
    fn may_have_earlier_holder(&self, now: Moment) -> bool {
        let Some(era) = self.node.store_era.latest() else {
            return false;
        };
        if self.written_in_era == Some(self.table_era()) {
            return false;
        }
        let is_vacant = era.is_first && self.node.is_new_to_store() && self.observed.is_none();
        !is_vacant && now.since(era.learned_at) < self.terms().restoration_delay()
    }

    /// Reads the row. Returns whether that succeeded.
    async fn read_row_logged(&mut self) -> bool {
        let read = self.read_row().await;
        read.inspect_err(|error| log::info!(error:% = error; "order lease not read")).is_ok()
    }

    async fn take_over(&mut self) -> bool {
        self.machine.handle(&LeaseEvent::Tick(self.node.now()));
        if !self.read_row_logged().await {
            return false;
        }
        let now = self.node.now();
        if self.may_have_earlier_holder(now) {
            return false;
        }
        let (observed, announcement) = (self.observed.as_ref(), self.holder_announcement());
        let Some(row) =
            takeover_on_announcement(observed, announcement, &self.me, self.terms(), now)
        else {
            let held_by_other =
                self.observed.as_ref().and_then(|observed| observed.row.holder.as_ref());
            if self.is_holder() && held_by_other.is_some_and(|holder| *holder != self.me) {
                self.drop_lease("another node has it");
            }
            return false;
        };
        let row = row.with_fence_above(self.fence_floor());
        let fence = row.fence;
        let before = self.observed.as_ref().and_then(|observed| observed.row.holder.clone());
        let before = before.map_or_else(String::new, |holder| holder.to_string());
        if !self.write(row).await {
            return false;
        }
        log::info!(fence = fence.0, before; "order lease taken");
        self.vacant_since = None;
        self.holds_lease.set(true);
        self.node.digest_requested.notify_one();
        true
    }

    /// Returns the largest fencing token that this box knows or that another box may have taken.
    fn fence_floor(&self) -> Fence {
        let absent = StoreVersion::start_of(self.table_era());
        let version = self.observed.as_ref().map_or(absent, |observed| observed.version);
        fence_floor(version).max(self.machine.largest_fence())
    }

    /// Returns the last announcement of the box that wrote the row as last read.
    fn holder_announcement(&self) -> Option<LeaseAnnouncement> {
        let version = self.observed.as_ref()?.version;
        self.node.peers.lock().announcement(version)
    }

    async fn read_row(&mut self) -> Result<(), TableError> {
        self.last_read_at = Some(self.node.now());
        self.count("read_lease");
        let row = self.node.ports.table.read(&self.key).await?;
        observe_own_era(&self.node);
        let now = self.node.now();
        let Some(row) = row else {
            self.observed = None;
            return Ok(());
        };
        let value: LeaseRow = serde_json::from_slice(&row.value)
            .map_err(|error| TableError::BadAnswer(error.to_string()))?;
        let same = self.observed.as_ref().filter(|observed| observed.version == row.version);
        let since = same.map_or(now, |observed| observed.since);
        let era = row.version.era();
        let before = self.observed.as_ref().filter(|observed| observed.version.era() == era);
        if before.is_some_and(|observed| observed.version != row.version) {
            self.written_in_era = Some(era);
        }
        self.observed = Some(ObservedLease { version: row.version, row: value, since });
        Ok(())
    }

    async fn write(&mut self, row: LeaseRow) -> bool {
        let sent_at = self.node.now();
        let fence = row.fence;
        match self.commit(&row).await {
            CommitOutcome::Applied => {}
            CommitOutcome::Conflict { .. } if self.is_before_restoration() => {
                log::info!(fence = fence.0; "order lease not written, since its table was restored");
                return false;
            }
            CommitOutcome::Conflict { .. } => {
                self.observed = None;
                self.drop_lease("another node has it");
                return false;
            }
            CommitOutcome::NotApplied(error) | CommitOutcome::Unknown(error) => {
                log::info!(error:% = error; "order lease not written");
                // The row's present state is unknown, so it is read before the next write. The
                // token from an earlier write stays valid until its own end.
                self.observed = None;
                return false;
            }
        }
        let first = StoreVersion::start_of(self.table_era()).next();
        let version = self.observed.as_ref().map_or(first, |observed| observed.version.next());
        self.observed = Some(ObservedLease { version, row, since: sent_at });
        self.written_in_era = Some(version.era());
        self.machine.handle(&LeaseEvent::Written { fence, sent_at });
        let until = sent_at + (LEASE_TTL - LEASE_TTL / 5);
        self.order_fence.set(Some(ValidFence { fence, until }));
        self.holds_lease.announce(LeaseAnnouncement { version, ends_at: until });
        true
    }

    async fn commit(&self, row: &LeaseRow) -> CommitOutcome {
        self.count("write_lease");
        let value = serde_json::to_vec(row).expect("our own types always encode");
        let expect = self
            .observed
            .as_ref()
            .map_or(Expect::Absent, |observed| Expect::Version(observed.version));
        let id = TxnId::from(draw_id("lease", &mut rand::rng()));
        let write = Write { key: self.key.clone(), expect, value: Some(Bytes::from(value)) };
        let transaction = Transaction { id, writes: vec![write] };
        commit_settled(self.node.ports.table.as_ref(), &transaction, COMMIT_ATTEMPTS).await
    }

    fn drop_lease(&mut self, cause: &str) {
        self.order_fence.set(None);
        self.failing_since = None;
        self.vacant_since = None;
        if self.is_holder() {
            self.holds_lease.set(false);
            self.machine.handle(&LeaseEvent::Superseded);
            log::warn!(cause; "order lease lost");
        }
    }

    fn own_row(&self, fence: Fence) -> LeaseRow {
        let ttl_ms = LEASE_TTL.as_millis() as u64;
        LeaseRow { holder: Some(self.me.clone()), fence, ttl_ms }
    }

    fn count(&self, kind: &'static str) {
        self.node.metrics.store_calls.get_or_create(&KindLabel { kind }).inc();
    }
}
