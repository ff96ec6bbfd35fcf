//! The messages between the command-line tool and the operator listener of a box.

use serde::{Deserialize, Serialize};
use trackfront_core::ids::{BackendId, Fence, NodeId, Revision, ShardId, TxnId};
use trackfront_core::ports::peers::PeerState;
use trackfront_core::tree::TreeFiles;
use trackfront_core::units::Mib;

/// The path of the status.
pub const STATUS_PATH: &str = "/operator/status";
/// The path of the tree in force.
pub const TREE_PATH: &str = "/operator/tree";
/// The path to apply a tree.
pub const APPLY_PATH: &str = "/operator/apply";
/// The path of the audit trail.
pub const AUDIT_PATH: &str = "/operator/audit";
/// The path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// A request to apply a tree. It is applied once, even if it is sent again with the same `txn`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The identifier by which a repeated request is recognized.
    pub txn: TxnId,
    /// The revision on which the change is based.
    pub base: Revision,
    /// The complete new tree.
    pub files: TreeFiles,
    /// The author.
    pub author: String,
    /// The reason.
    pub reason: String,
    /// Whether the change may remove models and adapters that callers can use now.
    pub allow_removals: bool,
}

/// The result of an apply.
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
        /// The author of the other change.
        author: String,
        /// The other change's reason.
        reason: String,
    },
    /// The tree is invalid.
    Invalid {
        /// The errors, one per line.
        faults: Vec<String>,
    },
    /// The tree removes models or adapters.
    Removes {
        /// Their names, with the region.
        names: Vec<String>,
    },
    /// The platform did not accept the change, which was not applied.
    NotApplied {
        /// The reason and the remedy.
        detail: String,
    },
    /// It is unknown whether the change was applied. The same request with the same `txn` tells.
    Unknown {
        /// The error.
        detail: String,
    },
}

/// The state of a box and its knowledge of the deployment.
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
    /// The models and adapters of the region.
    pub items: Vec<ItemStatus>,
}

/// Another box, as this one knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its peer address.
    pub address: String,
    /// Its identity; `None` before its first heartbeat.
    pub id: Option<NodeId>,
    /// Its hall.
    pub hall: String,
    /// The state that it reported.
    pub state: PeerState,
    /// Whether it has sent a heartbeat recently.
    pub live: bool,
    /// Whether the platform lists it as live.
    pub listed: bool,
    /// The revision in force at it.
    pub revision: Revision,
}

/// A shard that a box owns.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: ShardId,
    /// The fencing token.
    pub fence: Fence,
    /// The number of open orders.
    pub open_orders: usize,
    /// The engines' memory.
    pub engines: Vec<EngineStatus>,
}

/// An engine's memory on each accelerator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine.
    pub engine: BackendId,
    /// The used memory.
    pub used: Mib,
    /// The free memory.
    pub free: Mib,
    /// Whether the engine reports its state.
    pub usable: bool,
}

/// A model or adapter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ItemStatus {
    /// The name in requests.
    pub name: String,
    /// The item.
    pub item: String,
    /// The number of engines on which it is ready.
    pub ready_on: usize,
}

/// An error of the operator listener.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OperatorError {
    /// The error and the remedy.
    pub error: String,
}
