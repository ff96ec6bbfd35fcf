//! Holds a lease: takes it, renews it together with other writes, gives it up.

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

/// How long a lease lasts after each write.
const LEASE_TTL: Duration = Duration::from_secs(6);

/// How long after the last write a lease is renewed.
const RENEW_AFTER: Duration = Duration::from_secs(2);

/// How many boxes watch a lease; more would read the table for nothing.
const WATCHERS: usize = 3;

/// How much longer each further watcher waits before it takes a vacant lease.
const WATCHER_STEP: Duration = Duration::from_secs(2);

/// How often a commit is sent before its fate counts as unknown.
const COMMIT_ATTEMPTS: u32 = 3;

/// A lease that this box may hold.
pub struct LeaseKeeper {
    shared: Arc<Shared>,
    shard: ShardId,
    key: RowKey,
    machine: StateMachine<LeaseMachine>,
    seen: Option<ObservedLease>,
    vacant_since: Option<Moment>,
    written_at: Moment,
    held: Option<Fence>,
}

impl LeaseKeeper {
    /// Watches the lease at `key`, which is about `shard`.
    pub fn new(shared: Arc<Shared>, shard: ShardId, key: String) -> Self {
        Self {
            shared,
            shard,
            key: RowKey(key),
            machine: LeaseMachine::new(LEASE_TTL).state_machine(),
            seen: None,
            vacant_since: None,
            written_at: Moment::default(),
            held: None,
        }
    }

    fn now(&self) -> Moment {
        self.shared.outside.clock.now()
    }

    /// Returns the fencing token if the lease may be used now.
    pub fn usable(&self) -> Option<Fence> {
        self.machine.state().usable(self.now())
    }

    /// Returns the state, for checks last thing before a send.
    pub fn state(&self) -> LeaseState {
        self.machine.state().clone()
    }

    /// Returns whether the lease has to be renewed.
    pub fn is_due(&self) -> bool {
        self.now().since(self.written_at) >= RENEW_AFTER
    }

    /// Returns the fencing token if the lease is held, and takes it if it is vacant and this
    /// box's turn.
    pub async fn hold(&mut self) -> Option<Fence> {
        self.machine.handle(&LeaseEvent::Tick(self.now()));
        match self.usable() {
            Some(fence) => Some(fence),
            None => {
                self.note_lost("the lease lapsed");
                self.try_take().await
            }
        }
    }

    /// Renews the lease and applies `writes` in one transaction, which fails whole if the lease
    /// went to another box. Returns whether it was applied.
    pub async fn commit(&mut self, writes: Vec<Write>) -> bool {
        let Some(fence) = self.usable() else {
            self.note_lost("the lease lapsed");
            return false;
        };
        let row = self.own_row(fence);
        self.commit_row(row, writes).await
    }

    /// Stops holding, because of `cause`, without a word to the table.
    pub fn drop_lease(&mut self, cause: &str) {
        self.machine.handle(&LeaseEvent::Superseded);
        self.note_lost(cause);
    }

    /// Gives the lease up, so that another box need not wait for it to lapse.
    pub async fn give_up(&mut self) {
        let Some(fence) = self.usable() else {
            return;
        };
        self.machine.handle(&LeaseEvent::Released);
        self.note_lost("the box gives it up");
        let row = LeaseRow { holder: None, ..self.own_row(fence) };
        let txn = self.transaction(vec![write(&self.key, self.expect(), &row)]);
        let table = self.shared.outside.table.as_ref();
        if commit_settled(table, &txn, COMMIT_ATTEMPTS).await != CommitOutcome::Applied {
            log::warn!("the lease {} could not be given up and will lapse", self.key);
        }
    }

    async fn try_take(&mut self) -> Option<Fence> {
        let others = self.shared.members.lock().live_ids(self.now());
        let place = rank(&self.key.0, &self.shared.me, &others);
        if place >= WATCHERS {
            return None;
        }
        if let Err(error) = self.look().await {
            log::warn!("the lease {} cannot be read: {error}", self.key);
            return None;
        }
        let now = self.now();
        let Some(row) = takeover(self.seen.as_ref(), &self.shared.me, LEASE_TTL, now) else {
            self.vacant_since = None;
            return None;
        };
        // A table restored from a backup may have an older row than this box has written.
        let row = row.with_fence_above(self.machine.largest_fence());
        let vacant_since = *self.vacant_since.get_or_insert(now);
        if now.since(vacant_since) < WATCHER_STEP * place as u32 {
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

    /// Reads the lease's row and notes since when it stands as it does.
    async fn look(&mut self) -> Result<(), TableError> {
        let row = self.shared.outside.table.read(&self.key).await?;
        let now = self.now();
        self.seen = row.and_then(|row| seen_lease(&row, self.seen.as_ref(), now));
        Ok(())
    }

    /// Commits a row that takes or renews the lease, with `writes`.
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
                self.drop_lease("another box has it");
                return false;
            }
            CommitOutcome::NotApplied(error) => {
                log::warn!("the lease {} cannot be written: {error}", self.key);
                return false;
            }
            // The row's version is not known any more, so the lease is taken anew.
            CommitOutcome::Unknown(error) => {
                log::warn!("it is not known whether the lease {} was written: {error}", self.key);
                self.drop_lease("a write's fate is unknown");
                return false;
            }
        }
        if !self.note_written(row, sent_at).await {
            self.drop_lease("the row could not be read back");
            return false;
        }
        self.machine.handle(&LeaseEvent::Written { fence, sent_at });
        self.written_at = sent_at;
        true
    }

    /// Notes the row that was written, with its version.
    async fn note_written(&mut self, row: LeaseRow, sent_at: Moment) -> bool {
        match &self.seen {
            Some(seen) => {
                let version = seen.version.next();
                self.seen = Some(ObservedLease { version, row, since: sent_at });
                true
            }
            // The version of a first row is read, since the row may have been deleted before.
            None => self.look().await.is_ok(),
        }
    }

    /// Notes that a lease that was held is held no more.
    fn note_lost(&mut self, cause: &str) {
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
        self.seen.as_ref().map_or(Expect::Absent, |seen| Expect::Version(seen.version))
    }

    fn transaction(&self, writes: Vec<Write>) -> Transaction {
        Transaction { id: TxnId::from(self.shared.draw_id("txn")), writes }
    }
}

/// Makes a conditional write of a row.
pub fn write(key: &RowKey, expect: Expect, value: &impl Serialize) -> Write {
    let value = serde_json::to_vec(value).expect("our own types always encode");
    Write { key: key.clone(), expect, value: Some(Bytes::from(value)) }
}

/// Notes a lease's row; a version that was seen before keeps its moment.
fn seen_lease(row: &Row, before: Option<&ObservedLease>, now: Moment) -> Option<ObservedLease> {
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
