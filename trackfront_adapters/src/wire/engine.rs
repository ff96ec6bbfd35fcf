//! The model engines' published interface.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use trackfront_core::ids::RequestId;
use trackfront_core::ports::engine::GenerateKind;

/// Names the request in both directions.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The priority of a request.
pub const PRIORITY_HEADER: &str = "x-priority";
/// The offset from which a stream is resumed.
pub const RESUME_HEADER: &str = "x-resume-at";
/// The offset from which another engine's answer is continued. The body then has the text
/// delivered so far under [`CONTINUE_FIELD`].
pub const CONTINUE_HEADER: &str = "x-continue-at";
/// The field of the body with the text to continue from.
pub const CONTINUE_FIELD: &str = "continue_from";
/// The model to use.
pub const MODEL_HEADER: &str = "x-item-model";
/// The adapter to use, if any.
pub const ADAPTER_HEADER: &str = "x-item-adapter";
/// The version to use.
pub const VERSION_HEADER: &str = "x-item-version";
/// Present on an error that is the request's own fault.
pub const FINAL_HEADER: &str = "x-final";

/// Where orders go.
pub const ORDERS_PATH: &str = "/orders";
/// Where the load report is read.
pub const REPORT_PATH: &str = "/report";
/// Where cache events are read.
pub const CACHE_EVENTS_PATH: &str = "/cache-events";
/// Where requests are cancelled, followed by their identifier.
pub const CANCEL_PATH: &str = "/cancel/";
/// Where KV caches are exported and imported, followed by the request's identifier.
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
    /// Taken.
    Accepted,
    /// Its fencing token is older than one seen.
    Stale {
        /// The largest token seen.
        seen: u64,
    },
    /// Not taken.
    Refused {
        /// Why.
        reason: String,
    },
}

/// Returns `body` with the text of the frames delivered so far, from which the engine goes on.
pub fn continued_body(body: &[u8], delivered: &[Bytes]) -> Result<Vec<u8>, serde_json::Error> {
    let mut object: serde_json::Map<String, Value> = serde_json::from_slice(body)?;
    let text: String = delivered.iter().filter_map(|data| delta_text(data)).collect();
    object.insert(CONTINUE_FIELD.to_string(), Value::String(text));
    serde_json::to_vec(&object)
}

/// Returns the text that a stream's event adds.
fn delta_text(data: &[u8]) -> Option<String> {
    let event: Value = serde_json::from_slice(data).ok()?;
    let choice = event.get("choices")?.get(0)?;
    let text = choice.get("text").or_else(|| choice.get("delta")?.get("content"))?;
    text.as_str().map(str::to_string)
}

/// Returns the `id` field of a stream's event.
pub fn event_id(request: &RequestId, offset: u64) -> String {
    format!("{request}/{offset}")
}

/// Reads the `id` field of a stream's event.
pub fn parse_event_id(id: &str) -> Option<(RequestId, u64)> {
    let (request, offset) = id.rsplit_once('/')?;
    Some((request.into(), offset.parse().ok()?))
}
