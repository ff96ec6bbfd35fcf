//! The lease of a shard: acquired, renewed together with other writes, and released.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use statig::blocking::{IntoStateMachineExt, StateMachine};
use trackfront_core::audit::AuditEvent;
use trackfront_core::ids::{Fence, ShardId, TxnId};
use trackfront_core::lease::{
    LeaseEvent, LeaseMachine, LeaseRow, LeaseState, ObservedLease, takeover,
};
use trackfront_core::members::rank;
use trackfront_core::ports::table::commit_settled;
use trackfront_core::ports::{CommitOutcome, Expect, Row, RowKey, TableError, Transaction, Write};
use trackfront_core::units::Moment;

use crate::shared::Shared;

/// The duration of a lease after each renewal.
const LEASE_TTL: Duration = Duration::from_secs(6);

/// The time after the last write at which a lease is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// The number of boxes that watch a lease. More would load the table without benefit.
const MAX_WATCHERS: usize = 3;

/// The additional delay of each further watcher before it acquires a vacant lease.
const WATCHER_DELAY_STEP: Duration = Duration::from_secs(2);

/// How many times a commit is sent before its outcome counts as unknown.
const COMMIT_ATTEMPTS: u32 = 3;

/// A lease that this box may hold.
pub struct LeaseHolder {
    shared: Arc<Shared>,
    shard: ShardId,
    key: RowKey,
    machine: StateMachine<LeaseMachine>,
    observed: Option<ObservedLease>,
    vacant_since: Option<Moment>,
    written_at: Moment,
    held: Option<Fence>,
}

impl LeaseHolder {
    /// Creates the state for the lease of `shard` at `key`, which is not held.
    pub fn new(shared: Arc<Shared>, shard: ShardId, key: String) -> Self {
        Self {
            shared,
            shard,
            key: RowKey(key),
            machine: LeaseMachine::new(LEASE_TTL).state_machine(),
            observed: None,
            vacant_since: None,
            written_at: Moment::default(),
            held: None,
        }
    }

    fn now(&self) -> Moment {
        self.shared.outside.clock.now()
    }

    /// Returns the fencing token if the lease is valid now.
    pub fn usable(&self) -> Option<Fence> {
        self.machine.state().usable(self.now())
    }

    /// Returns the state, for checks right before sends.
    pub fn state(&self) -> LeaseState {
        self.machine.state().clone()
    }

    /// Returns whether a renewal is due.
    pub fn is_due(&self) -> bool {
        self.now().since(self.written_at) >= RENEWAL_INTERVAL
    }

    /// Returns the fencing token if the lease is held. Acquires it if it is vacant and this box is the
    /// next candidate.
    pub async fn acquire_or_keep(&mut self) -> Option<Fence> {
        self.machine.handle(&LeaseEvent::Tick(self.now()));
        match self.usable() {
            Some(fence) => Some(fence),
            None => {
                self.record_loss("the lease lapsed");
                self.try_acquire().await
            }
        }
    }

    /// Renews the lease and applies `writes` in one transaction, which fails if another box has acquired
    /// the lease. Returns whether it was applied.
    pub async fn commit(&mut self, writes: Vec<Write>) -> bool {
        let Some(fence) = self.usable() else {
            self.record_loss("the lease lapsed");
            return false;
        };
        let row = self.own_row(fence);
        self.commit_row(row, writes).await
    }

    /// Stops holding the lease because of `cause`, without a write to the table.
    pub fn abandon(&mut self, cause: &str) {
        self.machine.handle(&LeaseEvent::Superseded);
        self.record_loss(cause);
    }

    /// Releases the lease, so that another box need not wait for its end.
    pub async fn release(&mut self) {
        let Some(fence) = self.usable() else {
            return;
        };
        self.machine.handle(&LeaseEvent::Released);
        self.record_loss("the box gives it up");
        let row = LeaseRow { holder: None, ..self.own_row(fence) };
        let txn = self.transaction(vec![write(&self.key, self.expect(), &row)]);
        let table = self.shared.outside.table.as_ref();
        if commit_settled(table, &txn, COMMIT_ATTEMPTS).await != CommitOutcome::Applied {
            log::warn!("the lease {} could not be given up and will lapse", self.key);
        }
    }

    async fn try_acquire(&mut self) -> Option<Fence> {
        let others = self.shared.members.lock().live_ids(self.now());
        let rank = rank(&self.key.0, &self.shared.me, &others);
        if rank >= MAX_WATCHERS {
            return None;
        }
        if let Err(error) = self.read_row().await {
            log::warn!("the lease {} cannot be read: {error}", self.key);
            return None;
        }
        let now = self.now();
        let Some(row) = takeover(self.observed.as_ref(), &self.shared.me, LEASE_TTL, now) else {
            self.vacant_since = None;
            return None;
        };
        // A table that was restored from a copy may have an older row than this box has written.
        let row = row.with_fence_above(self.machine.largest_fence());
        let vacant_since = *self.vacant_since.get_or_insert(now);
        if now.since(vacant_since) < WATCHER_DELAY_STEP * rank as u32 {
            return None;
        }
        let fence = row.fence;
        if !self.commit_row(row, Vec::new()).await {
            return None;
        }
        self.vacant_since = None;
        self.held = Some(fence);
        self.shared.metrics.leases.inc();
        self.shared.audit.record(AuditEvent::LeaseTaken { shard: self.shard.clone(), fence });
        Some(fence)
    }

    /// Reads the row of the lease, and records since when it is unchanged.
    async fn read_row(&mut self) -> Result<(), TableError> {
        let row = self.shared.outside.table.read(&self.key).await?;
        let now = self.now();
        self.observed = row.and_then(|row| observed_lease(&row, self.observed.as_ref(), now));
        Ok(())
    }

    /// Commits a row that acquires or renews the lease, together with `writes`.
    async fn commit_row(&mut self, row: LeaseRow, writes: Vec<Write>) -> bool {
        let sent_at = self.now();
        let fence = row.fence;
        let mut all = vec![write(&self.key, self.expect(), &row)];
        all.extend(writes);
        let txn = self.transaction(all);
        let table = self.shared.outside.table.as_ref();
        match commit_settled(table, &txn, COMMIT_ATTEMPTS).await {
            CommitOutcome::Applied => {}
            CommitOutcome::Conflict { key } => {
                log::info!("the lease {} is held by another box ({key} has changed)", self.key);
                self.abandon("another box has it");
                return false;
            }
            CommitOutcome::NotApplied(error) => {
                log::warn!("the lease {} cannot be written: {error}", self.key);
                return false;
            }
            // The version of the row is unknown now, so the lease has to be acquired again.
            CommitOutcome::Unknown(error) => {
                log::warn!("it is not known whether the lease {} was written: {error}", self.key);
                self.abandon("a write's fate is unknown");
                return false;
            }
        }
        if !self.record_written(row, sent_at).await {
            self.abandon("the row could not be read back");
            return false;
        }
        self.machine.handle(&LeaseEvent::Written { fence, sent_at });
        self.written_at = sent_at;
        true
    }

    /// Records the row that was written, with its version.
    async fn record_written(&mut self, row: LeaseRow, sent_at: Moment) -> bool {
        match &self.observed {
            Some(observed) => {
                let version = observed.version.next();
                self.observed = Some(ObservedLease { version, row, since: sent_at });
                true
            }
            // The version of a first row is read, since the row may have been deleted before.
            None => self.read_row().await.is_ok(),
        }
    }

    /// Records that the lease is no longer held, if it was.
    fn record_loss(&mut self, cause: &str) {
        let Some(fence) = self.held.take() else {
            return;
        };
        log::warn!("the lease {} with token {fence} ends: {cause}", self.key);
        self.shared.metrics.leases.dec();
        let event =
            AuditEvent::LeaseEnded { shard: self.shard.clone(), fence, cause: cause.into() };
        self.shared.audit.record(event);
    }

    fn own_row(&self, fence: Fence) -> LeaseRow {
        let ttl_ms = LEASE_TTL.as_millis() as u64;
        LeaseRow { holder: Some(self.shared.me.clone()), fence, ttl_ms }
    }

    fn expect(&self) -> Expect {
        self.observed.as_ref().map_or(Expect::Absent, |observed| Expect::Version(observed.version))
    }

    fn transaction(&self, writes: Vec<Write>) -> Transaction {
        Transaction { id: TxnId::from(self.shared.draw_id("txn")), writes }
    }
}

/// Returns a conditional write of a row.
pub fn write(key: &RowKey, expect: Expect, value: &impl Serialize) -> Write {
    let value = serde_json::to_vec(value).expect("our own types always encode");
    Write { key: key.clone(), expect, value: Some(Bytes::from(value)) }
}

/// Returns the observation of a lease's row. The time of an unchanged version is kept.
fn observed_lease(row: &Row, before: Option<&ObservedLease>, now: Moment) -> Option<ObservedLease> {
    let value: LeaseRow = match serde_json::from_slice(&row.value) {
        Ok(value) => value,
        Err(error) => {
            log::error!("the row {} does not decode: {error}", row.key);
            return before.cloned();
        }
    };
    let since = before.filter(|before| before.version == row.version).map_or(now, |b| b.since);
    Some(ObservedLease { version: row.version, row: value, since })
}
