//! The audit trail: who changed what that is shared, and why.

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, Fence, ItemKey, NodeId, OrderId, Revision, ShardId};
use crate::units::UnixMillis;

/// One line of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// When, by the box's wall clock.
    pub at: UnixMillis,
    /// The box that wrote the record.
    pub by: NodeId,
    /// What happened.
    pub event: AuditEvent,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum AuditEvent {
    /// A tree was accepted.
    TreeAccepted {
        /// The new revision.
        revision: Revision,
        /// Who asked for it.
        author: String,
        /// The reason given.
        reason: String,
    },
    /// A box put a tree in force.
    TreeInForce {
        /// The revision.
        revision: Revision,
        /// Where it came from: `table`, `peer` or `operator`.
        source: String,
    },
    /// A lease was taken.
    LeaseTaken {
        /// The shard.
        shard: ShardId,
        /// The new fencing token.
        fence: Fence,
    },
    /// A lease was given up or lost.
    LeaseEnded {
        /// The shard.
        shard: ShardId,
        /// The fencing token that ended.
        fence: Fence,
        /// Why.
        cause: String,
    },
    /// An order was written down and sent.
    OrderSent {
        /// The order.
        order: OrderId,
        /// The engine.
        engine: BackendId,
        /// What is ordered, such as `load`.
        action: String,
        /// The item.
        item: ItemKey,
        /// Why it was ordered.
        cause: String,
    },
    /// An order came to its end.
    OrderEnded {
        /// The order.
        order: OrderId,
        /// How it ended.
        result: String,
    },
    /// A member of the deployment came, changed state or went.
    MemberChanged {
        /// The member's identity.
        member: NodeId,
        /// Its new state.
        state: String,
    },
    /// Records were lost because the store was away for too long.
    Gap {
        /// How many were lost.
        lost: u64,
    },
}

impl AuditEvent {
    /// Returns the event's name, as it stands in the record.
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

/// Takes audit records; it never blocks and never fails, but may drop and count.
pub trait AuditSink: Send + Sync {
    /// Records `event`.
    fn record(&self, event: AuditEvent);
}
