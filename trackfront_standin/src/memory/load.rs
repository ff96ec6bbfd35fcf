//! Requests to a box in memory, through the same code as over HTTP.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::Value;
use tokio::time::Instant;
use trackfront_core::ids::{AccountName, RequestId, ServiceName};
use trackfront_core::outcome::RequestError;
use trackfront_core::ports::PlainCall;
use trackfront_core::ports::engine::GenerateKind;
use trackfront_core::ports::plain::http_parts::Header;
use trackfrontd::gateway::answer::Piece;
use trackfrontd::gateway::plain::{AuthorizedCall, CallAnswer, call_service};
use trackfrontd::gateway::text::{self, TextRequest};
use trackfrontd::shared::Shared;

/// How a text request ended.
#[derive(Clone, Debug)]
pub struct TextResult {
    /// How many tokens came, in order and of this request's own answer.
    pub tokens: u64,
    /// How long the first took.
    pub first: Option<Duration>,
    /// How long all took.
    pub whole: Duration,
    /// The error, if the answer is not whole.
    pub error: Option<RequestError>,
}

/// Sends a streamed text request and reads the answer. Each token is checked: it names the
/// request and its place.
pub async fn text(
    shared: &Arc<Shared>,
    caller: &str,
    body: impl Into<Bytes>,
    deadline: Option<Duration>,
) -> TextResult {
    let start = Instant::now();
    let id = RequestId::from(shared.draw_id("req"));
    let request = TextRequest {
        id: id.clone(),
        caller: AccountName::from(caller),
        kind: GenerateKind::Completion,
        body: body.into(),
        deadline,
        key: None,
    };
    let mut result = TextResult { tokens: 0, first: None, whole: Duration::ZERO, error: None };
    if let Err(error) = read_text(shared, &request, start, &mut result).await {
        result.error = Some(error);
    }
    let word = result.error.as_ref().map_or("answered", RequestError::kind);
    shared.metrics.request_ended("completion", word);
    result.whole = start.elapsed();
    result
}

async fn read_text(
    shared: &Arc<Shared>,
    request: &TextRequest,
    start: Instant,
    result: &mut TextResult,
) -> Result<(), RequestError> {
    let retry_after = Duration::from_secs(1);
    let tree = shared.in_force.current().ok_or(RequestError::NotReady { retry_after })?;
    let read = text::parse(shared, &tree, request)?;
    let name = read.wanted.name.clone();
    let (mut answer, mut piece) = text::start(shared, &tree, read.wanted).await?;
    result.first = Some(start.elapsed());
    while let Piece::Data(data) = piece {
        let expected = format!(" {}:{}", request.id, result.tokens);
        assert_eq!(token_text(&data), Some(expected), "a caller gets its own answer, in order");
        result.tokens += 1;
        piece = answer.next(&tree).await?;
    }
    shared.outputs.add(&name, result.tokens);
    Ok(())
}

fn token_text(data: &[u8]) -> Option<String> {
    let event: Value = serde_json::from_slice(data).ok()?;
    event["choices"][0]["text"].as_str().map(str::to_string)
}

/// How a call to a plain service ended.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Whether the answer was recorded before.
    pub replayed: bool,
    /// The error, if there is no answer.
    pub error: Option<RequestError>,
    /// How long it took.
    pub took: Duration,
}

/// Calls a plain service.
pub async fn call(
    shared: &Arc<Shared>,
    service: &str,
    path: &str,
    key: Option<&str>,
    time_limit: Duration,
) -> CallResult {
    let start = Instant::now();
    let headers = key
        .map(|key| Header { name: "idempotency-key".into(), value: key.as_bytes().to_vec() })
        .into_iter()
        .collect();
    let known = AuthorizedCall {
        service: ServiceName::from(service),
        caller: AccountName::from("desk"),
        call: PlainCall {
            id: RequestId::from(shared.draw_id("req")),
            method: "POST".into(),
            path_and_query: path.to_string(),
            headers,
            body: Bytes::from_static(b"{}"),
        },
        key: key.map(str::to_string),
        deadline_at: shared.outside.clock.now() + time_limit,
        time_limit,
    };
    let retry_after = Duration::from_secs(1);
    let answered = match shared.in_force.current() {
        Some(tree) => call_service(shared, &tree, &known).await,
        None => Err(RequestError::NotReady { retry_after }),
    };
    let took = start.elapsed();
    match answered {
        Ok(CallAnswer::New(_)) => CallResult { replayed: false, error: None, took },
        Ok(CallAnswer::Replayed(_)) => CallResult { replayed: true, error: None, took },
        Err(error) => CallResult { replayed: false, error: Some(error), took },
    }
}
