//! Text requests: completions and chat.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use futures::stream;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Deserialize;
use tokio::time::Instant;
use trackfront_adapters::http_server::{Body, BodyError, response};
use trackfront_adapters::wire::engine::DONE;
use trackfront_core::ids::RequestId;
use trackfront_core::outcome::{Outcome, RequestError};
use trackfront_core::ports::GenerateRequest;
use trackfront_core::ports::engine::GenerateKind;

use super::answer::{Answer, Piece, Wanted};
use super::{MAX_UNKNOWN_BODY, body, caller, deadline, problem, too_large, tree};
use crate::in_force::{ResolvedTarget, TreeInForce};
use crate::shared::Shared;

/// The fields of a body that routing needs. All others pass through to the engine untouched.
#[derive(Deserialize)]
struct Peek<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: Option<bool>,
}

/// Counts a request until it has come to its end.
struct Tally {
    shared: Arc<Shared>,
    kind: &'static str,
    started: Instant,
    result: &'static str,
}

impl Tally {
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

impl Drop for Tally {
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
    let mut tally = Tally::new(shared, kind);
    let answered = answer(shared, id, request, kind, &mut tally).await;
    match answered {
        Ok(Started::Whole(response)) => {
            tally.result = "answered";
            Ok(response)
        }
        Ok(Started::Stream(answer, first)) => Ok(stream_response(answer, first, tally)),
        Err(error) => {
            tally.result = error.kind();
            Err(error)
        }
    }
}

/// An answer whose first piece is there.
enum Started {
    Whole(Response<Body>),
    Stream(Answer, Piece),
}

async fn answer(
    shared: &Arc<Shared>,
    id: &RequestId,
    request: Request<Incoming>,
    kind: GenerateKind,
    tally: &mut Tally,
) -> Result<Started, RequestError> {
    let tree = tree(shared)?;
    let caller = caller::identify(request.headers(), &tree)?;
    let headers = request.headers().clone();
    let body = body(request, MAX_UNKNOWN_BODY).await?;
    let peek: Peek<'_> = serde_json::from_slice(&body)
        .map_err(|error| RequestError::BadBody { detail: error.to_string() })?;
    let target = find_target(&tree, &peek.model)?;
    caller::authorize(&caller, &target.limits, &target.name)?;
    if body.len() > target.limits.max_body {
        return Err(too_large(target.limits.max_body));
    }
    let allowed = deadline(&headers, &target.limits)?;
    let wants_stream = peek.stream.unwrap_or(false);
    let wanted = wanted(id, kind, target, body.clone(), wants_stream, allowed);
    let (mut answer, first) = Answer::start(shared, &tree, wanted).await?;
    tally.first_piece();
    if wants_stream {
        return Ok(Started::Stream(answer, first));
    }
    let Piece::Data(data) = first else {
        return Err(empty_answer());
    };
    match answer.next().await? {
        Piece::End => Ok(Started::Whole(response(StatusCode::OK, "application/json", data))),
        Piece::Data(_) => Err(empty_answer()),
    }
}

fn find_target<'a>(
    tree: &'a TreeInForce,
    name: &str,
) -> Result<&'a Arc<ResolvedTarget>, RequestError> {
    tree.target(name).ok_or_else(|| RequestError::UnknownModel {
        name: name.to_string(),
        nearest: tree.near_names(name),
    })
}

fn wanted(
    id: &RequestId,
    kind: GenerateKind,
    target: &ResolvedTarget,
    body: Bytes,
    stream: bool,
    allowed: Duration,
) -> Wanted {
    Wanted {
        request: GenerateRequest {
            id: id.clone(),
            kind,
            item: target.item.clone(),
            priority: target.limits.priority,
            body,
            stream,
            resume_at: 0,
        },
        name: target.name.clone(),
        until: Instant::now() + allowed,
        allowed,
        max_retries: target.limits.max_retries,
    }
}

fn empty_answer() -> RequestError {
    RequestError::BackendBroke {
        detail: "the engine's answer is not one whole body".into(),
        outcome: Outcome::Unknown,
    }
}

/// Streams an answer as server-sent events. The pieces are read as the caller takes them, so
/// that a slow caller holds no more than one of them here.
fn stream_response(answer: Answer, first: Piece, tally: Tally) -> Response<Body> {
    let state = Some((answer, Some(first), tally));
    let events = stream::unfold(state, |state| async move {
        let (mut answer, first, mut tally) = state?;
        let piece = match first {
            Some(piece) => Ok(piece),
            None => answer.next().await,
        };
        let (event, goes_on) = match piece {
            Ok(Piece::Data(data)) => (data_event(&data), true),
            Ok(Piece::End) => {
                tally.result = "answered";
                (data_event(DONE.as_bytes()), false)
            }
            Err(error) => {
                tally.result = error.kind();
                (problem::event(&error, answer.id()), false)
            }
        };
        let next = goes_on.then_some((answer, None, tally));
        Some((Ok::<_, BodyError>(Frame::data(event)), next))
    });
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(events)));
    set_stream_headers(response.headers_mut());
    response
}

fn set_stream_headers(headers: &mut HeaderMap) {
    let stream_type = http::HeaderValue::from_static("text/event-stream");
    headers.insert(http::header::CONTENT_TYPE, stream_type);
    headers.insert(http::header::CACHE_CONTROL, http::HeaderValue::from_static("no-cache"));
}

/// Encodes one event.
fn data_event(data: &[u8]) -> Bytes {
    let mut event = BytesMut::with_capacity(data.len() + 8);
    event.put_slice(b"data: ");
    event.put_slice(data);
    event.put_slice(b"\n\n");
    event.freeze()
}
