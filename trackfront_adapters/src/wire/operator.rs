//! What the command-line tool and a box's operator listener say to each other.

use serde::{Deserialize, Serialize};
use trackfront_core::ids::{BackendId, Fence, NodeId, Revision, ShardId, TxnId};
use trackfront_core::ports::peers::PeerState;
use trackfront_core::tree::TreeFiles;
use trackfront_core::units::Mib;

/// Where the status is read.
pub const STATUS_PATH: &str = "/operator/status";
/// Where the tree in force is read.
pub const TREE_PATH: &str = "/operator/tree";
/// Where a tree is applied.
pub const APPLY_PATH: &str = "/operator/apply";
/// Where the audit trail is read.
pub const AUDIT_PATH: &str = "/operator/audit";
/// Where the metrics are read.
pub const METRICS_PATH: &str = "/metrics";

/// Asks a box to apply a tree. Repeating it with the same `txn` applies it once.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The identifier by which a repeat is known.
    pub txn: TxnId,
    /// The revision that the change was made on.
    pub base: Revision,
    /// The whole new tree.
    pub files: TreeFiles,
    /// Who asks.
    pub author: String,
    /// Why.
    pub reason: String,
    /// Whether models and adapters that callers can reach now may disappear.
    pub allow_removals: bool,
}

/// What became of an apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "apply", rename_all = "snake_case")]
pub enum ApplyAnswer {
    /// The tree was accepted.
    Accepted {
        /// The new revision.
        revision: Revision,
    },
    /// The tree is the same as the one in force.
    Unchanged {
        /// The revision in force.
        revision: Revision,
    },
    /// Another change came first.
    Conflict {
        /// The revision that is accepted now.
        revision: Revision,
        /// Who made the other change.
        author: String,
        /// The other change's reason.
        reason: String,
    },
    /// The tree has faults.
    Invalid {
        /// The faults, one a line.
        faults: Vec<String>,
    },
    /// Models or adapters would disappear.
    Removes {
        /// Their names, with the region.
        names: Vec<String>,
    },
    /// The platform did not take the change, and it is not applied.
    NotApplied {
        /// Why, and what to do.
        detail: String,
    },
    /// It is not known whether the change was applied; asking again with the same `txn` tells.
    Unknown {
        /// What was seen.
        detail: String,
    },
}

/// The state of a box and what it knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The box.
    pub id: NodeId,
    /// Its hall.
    pub hall: String,
    /// Its state.
    pub state: PeerState,
    /// The revision in force.
    pub revision: Revision,
    /// The other boxes.
    pub members: Vec<MemberStatus>,
    /// The shards that this box owns.
    pub shards: Vec<ShardStatus>,
    /// The models and adapters of the region, and on how many engines they answer.
    pub items: Vec<ItemStatus>,
}

/// Another box, as this one knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its peer address.
    pub address: String,
    /// Its identity, once heard.
    pub id: Option<NodeId>,
    /// Its hall.
    pub hall: String,
    /// Its state, by its own word.
    pub state: PeerState,
    /// Whether it was heard lately.
    pub live: bool,
    /// Whether the platform lists it as live.
    pub listed: bool,
    /// The revision in force there.
    pub revision: Revision,
}

/// A shard that a box owns.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: ShardId,
    /// The fencing token.
    pub fence: Fence,
    /// Orders that are not settled.
    pub open_orders: usize,
    /// The engines' memory.
    pub engines: Vec<EngineStatus>,
}

/// An engine's memory on each accelerator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine.
    pub engine: BackendId,
    /// What is counted.
    pub used: Mib,
    /// What is free.
    pub free: Mib,
    /// Whether it answers.
    pub usable: bool,
}

/// A model or adapter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ItemStatus {
    /// The name that callers use.
    pub name: String,
    /// The item.
    pub item: String,
    /// On how many engines it answers.
    pub ready_on: usize,
}

/// An error of the operator listener.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OperatorError {
    /// What is wrong and what to do.
    pub error: String,
}
