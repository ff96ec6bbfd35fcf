//! The interface to the other entry boxes.

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::claims::{Claim, ClaimKey, ClaimReply, RecordedAnswer, RequestHash};
use crate::demand::ItemDemand;
use crate::fleet::EngineDigest;
use crate::ids::{Fence, HallName, NodeId, Revision, ShardId};
use crate::quota::{BoxId, QuotaReply, QuotaRequest};

/// The lifecycle state of a box, as reported by the box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// The box has no tree yet.
    Joining,
    /// The box serves requests.
    Serving,
    /// The box finishes the requests that it has and accepts no new ones.
    Leaving,
}

/// A shard whose claims a box stores.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedClaims {
    /// The shard.
    pub shard: ShardId,
    /// The fencing token of the shard's lease.
    pub fence: Fence,
}

/// The state that two boxes exchange about once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: NodeId,
    /// The sender's peer address.
    pub address: String,
    /// The sender's hall.
    pub hall: HallName,
    /// The sender's state.
    pub state: PeerState,
    /// The revision in force at the sender.
    pub revision: Revision,
    /// The engines whose reports the sender itself has read since its last heartbeat to this peer.
    pub digests: Vec<EngineDigest>,
    /// The shards whose claims the sender stores.
    pub claims: Vec<OwnedClaims>,
    /// The demand for models and adapters that the sender observes.
    pub items: Vec<ItemDemand>,
}

/// A message to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Reports the sender's state; answered with the receiver's.
    Heartbeat(Heartbeat),
    /// Requests the tree in force if it is newer than `newer_than`.
    FetchTree {
        /// The revision that the sender has.
        newer_than: Revision,
    },
    /// Claims a call that may run only once. Repeating the claim for the same request is
    /// harmless.
    Claim {
        /// The shard of the service.
        shard: ShardId,
        /// The claim.
        claim: Claim,
    },
    /// Releases a claim whose call is known not to have run.
    Release {
        /// The shard of the service.
        shard: ShardId,
        /// The claim's key.
        key: ClaimKey,
        /// The request that held the claim.
        request: RequestHash,
    },
    /// Queries the coordinator of some callers' limits.
    Quota {
        /// The sender.
        from: BoxId,
        /// The query.
        ask: QuotaRequest,
    },
    /// Records the answer of a claimed call, so that repeated calls get the same answer.
    Answered {
        /// The shard of the service.
        shard: ShardId,
        /// The claim's key.
        key: ClaimKey,
        /// The request that held the claim.
        request: RequestHash,
        /// The answer.
        answer: RecordedAnswer,
    },
}

/// A peer's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The answer to a heartbeat.
    Heartbeat(Heartbeat),
    /// The snapshot of the tree in force, which includes its checksum.
    Tree {
        /// The snapshot's bytes.
        snapshot: Bytes,
    },
    /// The peer has no newer tree.
    NoNewerTree,
    /// The answer to a claim.
    Claim(ClaimReply),
    /// The answer to a quota query.
    Quota(QuotaReply),
    /// The message was processed.
    Noted,
}

/// An error of a call to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// The peer did not answer.
    #[error("the peer cannot be reached: {0}; it is left out until it answers")]
    Unavailable(String),
    /// The peer refused this box's key.
    #[error("the peer refused this box's key; check that both boxes have the same key file")]
    Refused,
    /// The answer could not be parsed.
    #[error("the peer answered with something else: {0}; check that both run matching versions")]
    BadAnswer(String),
}

/// The links to the other entry boxes. A message may be lost, delayed or answered twice; every
/// message is idempotent.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Sends `message` to the box at `address` and waits for its answer.
    async fn ask(&self, address: &str, message: PeerMessage) -> Result<PeerAnswer, PeerError>;
}
