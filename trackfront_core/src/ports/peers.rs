//! The other entry boxes.

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::claims::{Claim, ClaimKey, ClaimReply, RecordedAnswer, RequestHash};
use crate::demand::ItemDemand;
use crate::fleet::EngineDigest;
use crate::ids::{Fence, HallName, NodeId, Revision, ShardId};
use crate::quota::{Answer, Ask, BoxId};

/// What a box says of its own life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// The box has no tree yet.
    Joining,
    /// The box serves callers.
    Serving,
    /// The box finishes what it has and takes nothing new.
    Leaving,
}

/// A shard whose claims a box keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsKept {
    /// The shard.
    pub shard: ShardId,
    /// The fencing token of the lease.
    pub fence: Fence,
}

/// What two boxes tell each other about once a second.
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
    /// The engines that the sender itself has read since its last heartbeat to this peer.
    pub digests: Vec<EngineDigest>,
    /// The shards whose claims the sender keeps.
    pub claims: Vec<ClaimsKept>,
    /// How much of the models' and adapters' demand the sender sees.
    pub items: Vec<ItemDemand>,
}

/// A message to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Tells the sender's state; answered with the receiver's.
    Heartbeat(Heartbeat),
    /// Asks for the tree in force, if it is newer than `newer_than`.
    FetchTree {
        /// The revision that the asker has.
        newer_than: Revision,
    },
    /// Asks for the right to run a call that may run once. Asking again for the same request is
    /// harmless.
    Claim {
        /// The shard of the service.
        shard: ShardId,
        /// The claim.
        claim: Claim,
    },
    /// Gives a claim back whose call is known not to have run.
    Release {
        /// The shard of the service.
        shard: ShardId,
        /// The key.
        key: ClaimKey,
        /// The request that had it.
        request: RequestHash,
    },
    /// Asks the keeper of some callers' limits.
    Quota {
        /// The box that asks.
        from: BoxId,
        /// The question.
        ask: Ask,
    },
    /// Tells the answer of a claimed call, for repeats.
    Answered {
        /// The shard of the service.
        shard: ShardId,
        /// The key.
        key: ClaimKey,
        /// The request that had it.
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
    /// The snapshot of the tree in force, with its checksum inside.
    Tree {
        /// The snapshot's bytes.
        snapshot: Bytes,
    },
    /// The peer has no newer tree.
    NoNewerTree,
    /// The answer to a claim.
    Claim(ClaimReply),
    /// The answer to a question for limits.
    Quota(Answer),
    /// The message was taken in.
    Noted,
}

/// Why a peer gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// The peer did not answer.
    #[error("the peer cannot be reached: {0}; it is left out until it answers")]
    Unavailable(String),
    /// The peer refused this box's key.
    #[error("the peer refused this box's key; check that both boxes have the same key file")]
    Refused,
    /// The answer made no sense.
    #[error("the peer answered with something else: {0}; check that both run matching versions")]
    BadAnswer(String),
}

/// The links to the other entry boxes. A message may be lost, late or answered twice; every
/// message is harmless when repeated.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Sends `message` to the box at `address` and waits for its answer.
    async fn ask(&self, address: &str, message: PeerMessage) -> Result<PeerAnswer, PeerError>;
}
