//! A model engine.

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

/// A request for text, sent to one engine.
#[derive(Clone, Debug)]
pub struct GenerateRequest {
    /// The identifier that every frame of the answer carries.
    pub id: RequestId,
    /// Which interface.
    pub kind: GenerateKind,
    /// The model or adapter version to use.
    pub item: ItemKey,
    /// The priority; a larger number goes first.
    pub priority: u8,
    /// The caller's body as it came.
    pub body: Bytes,
    /// Whether the caller asked for a stream.
    pub stream: bool,
    /// From where the answer is wanted.
    pub from: StartFrom,
}

/// From where an answer is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartFrom {
    /// From its start.
    Start,
    /// From a frame of a stream that the engine has.
    Resume {
        /// The offset of the first frame wanted.
        offset: u64,
    },
    /// From where another engine broke off: this engine goes on from the text delivered.
    Continue {
        /// The offset of the first frame wanted.
        offset: u64,
        /// The frames' data delivered so far, as the other engine sent them.
        delivered: Vec<Bytes>,
    },
}

/// One piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The request that the engine says this answers.
    pub request: RequestId,
    /// The place of the frame in the answer, from zero without gaps.
    pub offset: u64,
    /// The content.
    pub body: FrameBody,
}

impl Frame {
    /// Makes a frame with data.
    pub fn data(request: RequestId, offset: u64, data: Bytes) -> Self {
        Self { request, offset, body: FrameBody::Data(data) }
    }

    /// Makes the frame that ends an answer.
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
    /// The answer is whole.
    End,
}

/// The frames of one answer, in the order in which they arrive; the engine or the network may
/// repeat or delay frames, or mix in another request's.
pub type FrameStream = BoxStream<'static, Result<Frame, GenerateError>>;

/// Why there is no answer, or no more of it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum GenerateError {
    /// Nothing was sent: the engine could not be reached.
    #[error("the engine cannot be reached: {0}; another engine may be tried")]
    Unreachable(String),
    /// The engine said that it did not run the request.
    #[error("the engine refused with status {status}: {detail}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The start of its answer.
        detail: String,
        /// Whether the request itself is at fault, so that no other engine will take it.
        final_refusal: bool,
        /// For how long it wants no requests from this box, if it says so.
        back_off: Option<Duration>,
    },
    /// The request was sent and the answer broke off.
    #[error("the engine broke off: {0}; the request may have run")]
    Broke(String),
}

impl GenerateError {
    /// Returns what is known about the run.
    pub fn outcome(&self) -> Outcome {
        match self {
            GenerateError::Unreachable(_) | GenerateError::Refused { .. } => Outcome::NotRun,
            GenerateError::Broke(_) => Outcome::Unknown,
        }
    }
}

/// What an engine says of an item in its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedState {
    /// The weights are being loaded; the memory is taken.
    Loading,
    /// The item answers requests.
    Ready,
    /// The weights are going; the memory is still taken.
    Unloading,
}

/// An item in an engine's memory, by its own report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedItem {
    /// The item.
    pub item: ItemKey,
    /// Its state.
    pub state: ReportedState,
    /// The memory that it takes on each accelerator.
    pub per_accelerator: Mib,
}

/// An engine's report of itself. It lags by up to seconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// A number drawn at the engine's start; another number means a restart and an empty memory.
    pub incarnation: u64,
    /// Grows with every report that differs from the one before.
    pub sequence: u64,
    /// How old the report was when it was sent, in milliseconds.
    pub age_ms: u64,
    /// The memory of each accelerator.
    pub accelerators: Vec<Mib>,
    /// The items in memory.
    pub items: Vec<ReportedItem>,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Prompt tokens that wait to be read.
    pub queued_prompt_tokens: u64,
    /// The largest fencing token seen.
    pub fence: Fence,
    /// The orders answered lately, refused ones included, newest last.
    pub recent_orders: Vec<OrderId>,
}

/// What an engine said of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The engine takes the order and will carry it out; repeats of the same order are taken
    /// once.
    Accepted,
    /// The engine checks fencing tokens and has seen a larger one.
    Stale {
        /// The largest token that the engine has seen.
        seen: Fence,
    },
    /// The engine will not carry the order out.
    Refused {
        /// Its reason.
        reason: String,
    },
    /// The reply was lost, or the order never arrived: it may be carried out at any later time.
    Unknown(EngineError),
}

/// A published change of the prefix cache; late, and with gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number; a gap in the numbers means lost events.
    pub sequence: u64,
    /// The chained hash of the prompt block.
    pub block: u64,
    /// Whether the block came into the cache or left it.
    pub cached: bool,
}

/// Events of one engine after some number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The engine's incarnation.
    pub incarnation: u64,
    /// The events that are still kept.
    pub events: Vec<CacheEvent>,
}

/// The exported KV cache of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvBlob(pub Bytes);

/// Why an engine gave no answer outside of generation.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EngineError {
    /// The engine did not answer.
    #[error("the engine cannot be reached: {0}; its last report stays in use until it is old")]
    Unavailable(String),
    /// The answer made no sense.
    #[error("the engine answered with something else: {0}; check its address in the tree")]
    BadAnswer(String),
}

/// One model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts or resumes a request. Dropping the stream cancels the request at the engine.
    async fn generate(&self, request: GenerateRequest) -> Result<FrameStream, GenerateError>;

    /// Tells the engine to stop a request; repeating this is harmless.
    async fn cancel(&self, request: &RequestId) -> Result<(), EngineError>;

    /// Sends an order. An engine remembers the orders that it has answered lately: a repeat is
    /// answered as before and has no further effect.
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
