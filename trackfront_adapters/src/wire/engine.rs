//! The model engines' published interface.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use trackfront_core::ids::RequestId;
use trackfront_core::ports::engine::GenerateKind;

/// The header that identifies the request, in both directions.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header with the priority of a request.
pub const PRIORITY_HEADER: &str = "x-priority";
/// The header with the offset at which a stream is resumed.
pub const RESUME_HEADER: &str = "x-resume-at";
/// The header with the offset at which another engine's answer is continued. The body contains the
/// delivered text in [`CONTINUE_FIELD`].
pub const CONTINUE_HEADER: &str = "x-continue-at";
/// The field of the body with the delivered text.
pub const CONTINUE_FIELD: &str = "continue_from";
/// The header with the model.
pub const MODEL_HEADER: &str = "x-item-model";
/// The header with the adapter, if any.
pub const ADAPTER_HEADER: &str = "x-item-adapter";
/// The header with the version.
pub const VERSION_HEADER: &str = "x-item-version";
/// The header of an error that is caused by the request itself.
pub const FINAL_HEADER: &str = "x-final";

/// The path of orders.
pub const ORDERS_PATH: &str = "/orders";
/// The path of the load report.
pub const REPORT_PATH: &str = "/report";
/// The path of cache events.
pub const CACHE_EVENTS_PATH: &str = "/cache-events";
/// The path to cancel a request, followed by its identifier.
pub const CANCEL_PATH: &str = "/cancel/";
/// The path to export and import a KV cache, followed by the request's identifier.
pub const KV_PATH: &str = "/kv/";

/// The data of the last event of a stream.
pub const DONE: &str = "[DONE]";

/// Returns the path of a text interface.
pub fn generate_path(kind: GenerateKind) -> &'static str {
    match kind {
        GenerateKind::Completion => "/v1/completions",
        GenerateKind::Chat => "/v1/chat/completions",
    }
}

/// An engine's answer to an order.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum OrderAnswer {
    /// The order was accepted.
    Accepted,
    /// The fencing token is smaller than another one received.
    Stale {
        /// The largest received token.
        seen: u64,
    },
    /// The order was refused.
    Refused {
        /// The reason.
        reason: String,
    },
}

/// Returns `body` with the text of the delivered frames, from which the engine continues.
pub fn continued_body(body: &[u8], delivered: &[Bytes]) -> Result<Vec<u8>, serde_json::Error> {
    let mut object: serde_json::Map<String, Value> = serde_json::from_slice(body)?;
    let text: String = delivered.iter().filter_map(|data| delta_text(data)).collect();
    object.insert(CONTINUE_FIELD.to_string(), Value::String(text));
    serde_json::to_vec(&object)
}

/// Returns the text in an event of a stream.
fn delta_text(data: &[u8]) -> Option<String> {
    let event: Value = serde_json::from_slice(data).ok()?;
    let choice = event.get("choices")?.get(0)?;
    let text = choice.get("text").or_else(|| choice.get("delta")?.get("content"))?;
    text.as_str().map(str::to_string)
}

/// Returns the `id` field of an event.
pub fn event_id(request: &RequestId, offset: u64) -> String {
    format!("{request}/{offset}")
}

/// Parses the `id` field of an event.
pub fn parse_event_id(id: &str) -> Option<(RequestId, u64)> {
    let (request, offset) = id.rsplit_once('/')?;
    Some((request.into(), offset.parse().ok()?))
}
