//! Text requests over HTTP: completions and chat.

use std::sync::Arc;

use bytes::{BufMut, Bytes, BytesMut};
use futures::stream;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::time::Instant;
use trackfront_adapters::http_server::{Body, BodyError, response};
use trackfront_adapters::wire::engine::DONE;
use trackfront_core::claims::RecordedAnswer;
use trackfront_core::ids::RequestId;
use trackfront_core::outcome::{Outcome, RequestError};
use trackfront_core::ports::engine::GenerateKind;

use super::answer::{Answer, Piece};
use super::claims::{Claimed, ClaimedCall};
use super::text::{self, TextRequest};
use super::{MAX_UNKNOWN_BODY, body, caller, idempotency_key, own_deadline, problem, tree};
use crate::in_force::TreeInForce;
use crate::shared::Shared;

/// The content type of a complete answer.
const JSON: &str = "application/json";

/// Counts a request and its result when it is dropped.
struct RequestMetrics {
    shared: Arc<Shared>,
    kind: &'static str,
    started: Instant,
    result: &'static str,
}

impl RequestMetrics {
    fn new(shared: &Arc<Shared>, kind: GenerateKind) -> Self {
        let kind = match kind {
            GenerateKind::Completion => "completion",
            GenerateKind::Chat => "chat",
        };
        shared.metrics.in_flight.inc();
        Self { shared: shared.clone(), kind, started: Instant::now(), result: "caller_left" }
    }

    fn first_piece(&self) {
        self.shared.metrics.first_token_after(self.started.elapsed());
    }
}

impl Drop for RequestMetrics {
    fn drop(&mut self) {
        self.shared.metrics.in_flight.dec();
        self.shared.metrics.request_ended(self.kind, self.result);
    }
}

/// Answers a text request.
pub async fn handle(
    shared: &Arc<Shared>,
    id: &RequestId,
    request: Request<Incoming>,
    kind: GenerateKind,
) -> Result<Response<Body>, RequestError> {
    let mut metrics = RequestMetrics::new(shared, kind);
    let answered = answer(shared, id, request, kind, &mut metrics).await;
    match answered {
        Ok(Started::Whole(response)) => {
            metrics.result = "answered";
            Ok(response)
        }
        Ok(Started::Stream(stream)) => Ok(stream.into_response(metrics)),
        Err(error) => {
            metrics.result = error.kind();
            Err(error)
        }
    }
}

/// A complete answer, or a stream whose first piece has arrived.
enum Started {
    Whole(Response<Body>),
    Stream(Box<TextStream>),
}

async fn answer(
    shared: &Arc<Shared>,
    id: &RequestId,
    request: Request<Incoming>,
    kind: GenerateKind,
    metrics: &mut RequestMetrics,
) -> Result<Started, RequestError> {
    let tree = tree(shared)?;
    let caller = caller::identify(request.headers(), &tree)?;
    let deadline = own_deadline(request.headers())?;
    let key = idempotency_key(request.headers())?;
    let body = body(request, MAX_UNKNOWN_BODY).await?;
    let request = TextRequest { id: id.clone(), caller, kind, body, deadline, key };
    let read = text::parse(shared, &tree, &request)?;
    let claimed = match claimed_call(&request, &read) {
        None => None,
        Some(call) => match call.claim(shared).await? {
            Claimed::Run => Some(call),
            Claimed::Answered(answer) => return Ok(Started::Whole(replay(answer)?)),
        },
    };
    let name = read.wanted.name.clone();
    let wants_stream = read.wanted.request.stream;
    let started = text::start(shared, &tree, read.wanted).await;
    if let (Err(error), Some(call)) = (&started, &claimed)
        && error.outcome() == Outcome::NotRun
    {
        call.release(shared);
    }
    let (mut answer, first) = started?;
    metrics.first_piece();
    if wants_stream {
        let first = Some(first);
        return Ok(Started::Stream(Box::new(TextStream { answer, first, tree, name })));
    }
    let data = text::read_to_end(shared, &tree, &mut answer, &name, first).await?;
    if let Some(call) = &claimed {
        let content_type = Some(JSON.to_string());
        call.record_answer(
            shared,
            RecordedAnswer { status: 200, content_type, body: data.clone() },
        );
    }
    Ok(Started::Whole(response(StatusCode::OK, JSON, data)))
}

/// Returns the call to claim, if the request has an idempotency key.
fn claimed_call(request: &TextRequest, read: &text::ParsedRequest) -> Option<ClaimedCall> {
    let key = request.key.as_deref()?;
    let asked = [read.target.name.as_bytes(), &request.body];
    Some(ClaimedCall::new(read.target.shard.clone(), &request.caller, key, &asked, &request.id))
}

/// Returns the recorded answer to a repeated call.
pub fn replay(answer: RecordedAnswer) -> Result<Response<Body>, RequestError> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let content_type = answer.content_type.as_deref().unwrap_or(JSON);
    let mut response = response(status, content_type, answer.body);
    response.headers_mut().insert("idempotent-replay", HeaderValue::from_static("true"));
    Ok(response)
}

/// A streamed answer.
struct TextStream {
    answer: Answer,
    first: Option<Piece>,
    tree: Arc<TreeInForce>,
    name: String,
}

impl TextStream {
    /// Streams the answer as server-sent events. The pieces are read as the caller consumes them, so at
    /// most one of them is buffered for a slow caller.
    fn into_response(self, metrics: RequestMetrics) -> Response<Body> {
        let events = stream::unfold(Some((self, metrics)), |state| async move {
            let (mut stream, mut metrics) = state?;
            let (event, has_more) = stream.next_event(&mut metrics).await;
            let next = has_more.then_some((stream, metrics));
            Some((Ok::<_, BodyError>(Frame::data(event)), next))
        });
        let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(events)));
        set_stream_headers(response.headers_mut());
        response
    }

    /// Returns the next event, and whether more will follow.
    async fn next_event(&mut self, metrics: &mut RequestMetrics) -> (Bytes, bool) {
        let piece = match self.first.take() {
            Some(piece) => Ok(piece),
            None => self.answer.next(&self.tree).await,
        };
        match piece {
            Ok(Piece::Data(data)) => (data_event(&data), true),
            Ok(Piece::End) => {
                metrics.result = "answered";
                metrics.shared.outputs.add(&self.name, self.answer.pieces());
                (data_event(DONE.as_bytes()), false)
            }
            Err(error) => {
                metrics.result = error.kind();
                (problem::event(&error, self.answer.id()), false)
            }
        }
    }
}

fn set_stream_headers(headers: &mut HeaderMap) {
    headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(http::header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
}

/// Encodes one event.
fn data_event(data: &[u8]) -> Bytes {
    let mut event = BytesMut::with_capacity(data.len() + 8);
    event.put_slice(b"data: ");
    event.put_slice(data);
    event.put_slice(b"\n\n");
    event.freeze()
}
