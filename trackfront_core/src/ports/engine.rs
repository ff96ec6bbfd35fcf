//! The interface to a model engine.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::stream::BoxStream;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{Fence, ItemKey, OrderId, RequestId};
use crate::order::Order;
use crate::outcome::Outcome;
use crate::units::Mib;

/// Which of the engine's two text interfaces a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GenerateKind {
    /// A prompt as plain text.
    Completion,
    /// A list of chat messages.
    Chat,
}

/// A text generation request to one engine.
#[derive(Clone, Debug)]
pub struct GenerateRequest {
    /// The identifier that every frame of the answer carries.
    pub id: RequestId,
    /// The engine's interface to use.
    pub kind: GenerateKind,
    /// The model or adapter version to use.
    pub item: ItemKey,
    /// The priority; requests with a larger number are scheduled first.
    pub priority: u8,
    /// The caller's request body, unchanged.
    pub body: Bytes,
    /// Whether the caller asked for a stream.
    pub stream: bool,
    /// The point from which to send the answer.
    pub from: StartFrom,
}

/// The point from which an engine sends an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartFrom {
    /// The whole answer.
    Start,
    /// Resumes a stream that this engine already has, from a given frame.
    Resume {
        /// The offset of the first frame to send.
        offset: u64,
    },
    /// Continues, on this engine, an answer that another engine broke off after the text
    /// delivered so far.
    Continue {
        /// The offset of the first frame to send.
        offset: u64,
        /// The data of the frames delivered so far, as the other engine sent it.
        delivered: Vec<Bytes>,
    },
}

/// One piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The request that this frame answers, as stated by the engine.
    pub request: RequestId,
    /// The index of the frame in the answer, starting at zero and without gaps.
    pub offset: u64,
    /// The content.
    pub body: FrameBody,
}

impl Frame {
    /// Creates a data frame.
    pub fn data(request: RequestId, offset: u64, data: Bytes) -> Self {
        Self { request, offset, body: FrameBody::Data(data) }
    }

    /// Creates the frame that ends an answer.
    pub fn end(request: RequestId, offset: u64) -> Self {
        Self { request, offset, body: FrameBody::End }
    }

    /// Returns whether the frame ends an answer.
    pub fn is_end(&self) -> bool {
        self.body == FrameBody::End
    }
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameBody {
    /// A piece of the answer, passed to the caller as it is.
    Data(Bytes),
    /// The end of the answer, which is now complete.
    End,
}

/// The frames of one answer, in the order in which they arrive; the engine or the network may
/// repeat or delay frames, or mix in another request's.
pub type FrameStream = BoxStream<'static, Result<Frame, GenerateError>>;

/// An error that prevents or interrupts an answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum GenerateError {
    /// Nothing was sent: the engine could not be reached.
    #[error("the engine cannot be reached: {0}; another engine may be tried")]
    Unreachable(String),
    /// The engine refused the request and did not run it.
    #[error("the engine refused with status {status}: {detail}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The beginning of the response body.
        detail: String,
        /// Whether the request itself is invalid, so that every other engine would refuse it too.
        final_refusal: bool,
        /// How long this box should send no requests, if the engine says so.
        back_off: Option<Duration>,
    },
    /// The request was sent and the answer broke off.
    #[error("the engine broke off: {0}; the request may have run")]
    Broke(String),
}

impl GenerateError {
    /// Returns whether the request may have run.
    pub fn outcome(&self) -> Outcome {
        match self {
            GenerateError::Unreachable(_) | GenerateError::Refused { .. } => Outcome::NotRun,
            GenerateError::Broke(_) => Outcome::Unknown,
        }
    }
}

/// The state of an item in an engine's memory, as reported by the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedState {
    /// The weights are being loaded; their memory is already reserved.
    Loading,
    /// The item can serve requests.
    Ready,
    /// The weights are being unloaded; their memory is still in use.
    Unloading,
}

/// An item in an engine's memory, as reported by the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedItem {
    /// The item.
    pub item: ItemKey,
    /// Its state.
    pub state: ReportedState,
    /// The memory that the item uses on each accelerator.
    pub per_accelerator: Mib,
}

/// An engine's report of its own state, which may be some seconds old.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// A number drawn when the engine starts; a different number means that the engine restarted
    /// and that its memory is empty.
    pub incarnation: u64,
    /// The number of the report, which increases whenever the content changes.
    pub sequence: u64,
    /// The age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    /// The memory size of each accelerator.
    pub accelerators: Vec<Mib>,
    /// The items in memory.
    pub items: Vec<ReportedItem>,
    /// The number of requests in the current batch.
    pub running: u32,
    /// The number of requests in the queue.
    pub queued: u32,
    /// The number of queued prompt tokens that wait for prefill.
    pub queued_prompt_tokens: u64,
    /// The largest fencing token that the engine has seen.
    pub fence: Fence,
    /// The recently answered orders, including refused ones, newest last.
    pub recent_orders: Vec<OrderId>,
}

/// An engine's reply to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The engine accepts the order and will execute it; repeats of the same order have no
    /// further effect.
    Accepted,
    /// The engine checks fencing tokens and has seen a larger one.
    Stale {
        /// The largest token that the engine has seen.
        seen: Fence,
    },
    /// The engine will not execute the order.
    Refused {
        /// The engine's reason.
        reason: String,
    },
    /// The reply was lost, or the order never arrived: it may be executed at any later time.
    Unknown(EngineError),
}

/// A published change of the prefix cache. Events may be late or lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number; a gap means lost events.
    pub sequence: u64,
    /// The chained hash of the prompt block.
    pub block: u64,
    /// Whether the block was added to the cache (`true`) or evicted from it (`false`).
    pub cached: bool,
}

/// The cache events of one engine after a given sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The engine's incarnation.
    pub incarnation: u64,
    /// The events that the engine still retains.
    pub events: Vec<CacheEvent>,
}

/// The exported KV cache of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvBlob(pub Bytes);

/// An error of an engine call other than generation.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EngineError {
    /// The engine did not answer.
    #[error("the engine cannot be reached: {0}; its last report stays in use until it is old")]
    Unavailable(String),
    /// The answer could not be parsed.
    #[error("the engine answered with something else: {0}; check its address in the tree")]
    BadAnswer(String),
}

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts or resumes a request. Dropping the stream cancels the request at the engine.
    async fn generate(&self, request: GenerateRequest) -> Result<FrameStream, GenerateError>;

    /// Cancels a request at the engine; idempotent.
    async fn cancel(&self, request: &RequestId) -> Result<(), EngineError>;

    /// Sends an order. The engine remembers recently answered orders: a repeat gets the same
    /// reply and has no further effect.
    async fn order(&self, order: &Order) -> OrderReply;

    /// Reads the engine's latest report.
    async fn report(&self) -> Result<LoadReport, EngineError>;

    /// Reads the cache events after `sequence`.
    async fn cache_events(&self, sequence: u64) -> Result<CacheEvents, EngineError>;

    /// Exports the KV cache of a running request; `None` if the engine has no such request.
    async fn export_kv(&self, request: &RequestId) -> Result<Option<KvBlob>, EngineError>;

    /// Imports a KV cache so that `request` can be resumed here.
    async fn import_kv(&self, request: &RequestId, kv: KvBlob) -> Result<(), EngineError>;
}
