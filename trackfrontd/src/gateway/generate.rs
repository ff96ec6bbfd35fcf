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

/// The content type of a whole answer.
const JSON: &str = "application/json";

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
        Ok(Started::Stream(stream)) => Ok(stream.into_response(tally)),
        Err(error) => {
            tally.result = error.kind();
            Err(error)
        }
    }
}

/// An answer that is whole, or whose first piece is there.
enum Started {
    Whole(Response<Body>),
    Stream(Box<TextStream>),
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
    let deadline = own_deadline(request.headers())?;
    let key = idempotency_key(request.headers())?;
    let body = body(request, MAX_UNKNOWN_BODY).await?;
    let request = TextRequest { id: id.clone(), caller, kind, body, deadline, key };
    let read = text::read(shared, &tree, &request)?;
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
    tally.first_piece();
    if wants_stream {
        let first = Some(first);
        return Ok(Started::Stream(Box::new(TextStream { answer, first, tree, name })));
    }
    let data = text::finish_whole(shared, &tree, &mut answer, &name, first).await?;
    if let Some(call) = &claimed {
        let content_type = Some(JSON.to_string());
        call.answered(shared, RecordedAnswer { status: 200, content_type, body: data.clone() });
    }
    Ok(Started::Whole(response(StatusCode::OK, JSON, data)))
}

/// Returns the call to claim, if the caller marked the request as one that may run once.
fn claimed_call(request: &TextRequest, read: &text::ReadRequest) -> Option<ClaimedCall> {
    let key = request.key.as_deref()?;
    let asked = [read.target.name.as_bytes(), &request.body];
    Some(ClaimedCall::new(read.target.shard.clone(), &request.caller, key, &asked, &request.id))
}

/// Answers a repeat with the recorded answer.
pub fn replay(answer: RecordedAnswer) -> Result<Response<Body>, RequestError> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let content_type = answer.content_type.as_deref().unwrap_or(JSON);
    let mut response = response(status, content_type, answer.body);
    response.headers_mut().insert("idempotent-replay", HeaderValue::from_static("true"));
    Ok(response)
}

/// An answer that is streamed.
struct TextStream {
    answer: Answer,
    first: Option<Piece>,
    tree: Arc<TreeInForce>,
    name: String,
}

impl TextStream {
    /// Streams the answer as server-sent events. The pieces are read as the caller takes them,
    /// so that a slow caller holds no more than one of them here.
    fn into_response(self, tally: Tally) -> Response<Body> {
        let events = stream::unfold(Some((self, tally)), |state| async move {
            let (mut stream, mut tally) = state?;
            let (event, goes_on) = stream.next_event(&mut tally).await;
            let next = goes_on.then_some((stream, tally));
            Some((Ok::<_, BodyError>(Frame::data(event)), next))
        });
        let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(events)));
        set_stream_headers(response.headers_mut());
        response
    }

    /// Returns the next event, and whether more come.
    async fn next_event(&mut self, tally: &mut Tally) -> (Bytes, bool) {
        let piece = match self.first.take() {
            Some(piece) => Ok(piece),
            None => self.answer.next(&self.tree).await,
        };
        match piece {
            Ok(Piece::Data(data)) => (data_event(&data), true),
            Ok(Piece::End) => {
                tally.result = "answered";
                tally.shared.outputs.add(&self.name, self.answer.pieces());
                (data_event(DONE.as_bytes()), false)
            }
            Err(error) => {
                tally.result = error.kind();
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
