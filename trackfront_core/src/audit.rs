//! The audit trail: all changes of shared state, with their authors and reasons.

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, Fence, ItemKey, NodeId, OrderId, Revision, ShardId};
use crate::units::UnixMillis;

/// One record of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The time by the box's wall clock.
    pub at: UnixMillis,
    /// The box that wrote the record.
    pub by: NodeId,
    /// The event.
    pub event: AuditEvent,
}

/// An event in the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum AuditEvent {
    /// A tree was accepted.
    TreeAccepted {
        /// The new revision.
        revision: Revision,
        /// The author of the change.
        author: String,
        /// The reason given.
        reason: String,
    },
    /// A tree is in force at a box.
    TreeInForce {
        /// The revision.
        revision: Revision,
        /// Its source: `table`, `peer` or `operator`.
        source: String,
    },
    /// A lease was acquired.
    LeaseTaken {
        /// The shard.
        shard: ShardId,
        /// The new fencing token.
        fence: Fence,
    },
    /// A lease was released or lost.
    LeaseEnded {
        /// The shard.
        shard: ShardId,
        /// The fencing token of the lease.
        fence: Fence,
        /// The cause.
        cause: String,
    },
    /// An order was written to the table and sent.
    OrderSent {
        /// The order.
        order: OrderId,
        /// The engine.
        engine: BackendId,
        /// The action, such as `load`.
        action: String,
        /// The item.
        item: ItemKey,
        /// The cause of the order.
        cause: String,
    },
    /// An order has a result.
    OrderEnded {
        /// The order.
        order: OrderId,
        /// The result.
        result: String,
    },
    /// A box joined, changed its state or left.
    MemberChanged {
        /// The member's identity.
        member: NodeId,
        /// Its new state.
        state: String,
    },
    /// Records were lost because the store was unavailable for too long.
    Gap {
        /// The number of lost records.
        lost: u64,
    },
}

impl AuditEvent {
    /// Returns the event's name in the record.
    pub fn name(&self) -> &'static str {
        match self {
            AuditEvent::TreeAccepted { .. } => "tree_accepted",
            AuditEvent::TreeInForce { .. } => "tree_in_force",
            AuditEvent::LeaseTaken { .. } => "lease_taken",
            AuditEvent::LeaseEnded { .. } => "lease_ended",
            AuditEvent::OrderSent { .. } => "order_sent",
            AuditEvent::OrderEnded { .. } => "order_ended",
            AuditEvent::MemberChanged { .. } => "member_changed",
            AuditEvent::Gap { .. } => "gap",
        }
    }
}

/// Records audit events. It never blocks or fails, but may drop records and count them.
pub trait AuditSink: Send + Sync {
    /// Records `event`.
    fn record(&self, event: AuditEvent);
}
