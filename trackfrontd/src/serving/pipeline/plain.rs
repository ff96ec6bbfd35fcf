//! Plain answers, which are read completely before they are forwarded if the box has room for them.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Method, Response, StatusCode, Version};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::timeout_at;
use trackfront_adapters::body_end::BodyEnd;
use trackfront_adapters::http_server::{Body, BodyError, end_with_connection};
use trackfront_adapters::interface::end_to_end;
use trackfront_adapters::upstream::{UpstreamAnswer, UpstreamBody, UpstreamError};
use trackfront_core::serving::config::RouteKind;
use trackfront_core::serving::memory_budget::{HeldFor, Reservation};

use super::Job;

/// The maximum size of a plain answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The size of the pieces in which an answer is held.
const PIECE_BYTES: usize = 32 * 1024;

/// Why an answer that is too long is given up.
const TOO_LONG: &str = "the answer has no end within what is held of one";

/// Why an answer is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenAnswer {
    /// The connection to the server broke.
    Connection(&'static str),
    /// The server was too slow or fell silent.
    TimedOut(&'static str),
    /// What came is no answer, or none that can be held or passed on.
    NoAnswer(&'static str),
    /// The answer ended, and neither this box knows whether it is complete nor can it leave that open to the client.
    EndUnknown,
}

impl BrokenAnswer {
    /// Returns the cause for logs and refusals.
    pub fn cause(self) -> &'static str {
        match self {
            BrokenAnswer::Connection(cause)
            | BrokenAnswer::TimedOut(cause)
            | BrokenAnswer::NoAnswer(cause) => cause,
            BrokenAnswer::EndUnknown => "nobody knows whether the answer is complete",
        }
    }
}

/// A body that is held in pieces. Each piece is given back as it is passed on.
pub struct HeldBody {
    pieces: VecDeque<BytesMut>,
    length: usize,
    held: Reservation,
}

impl HeldBody {
    fn new(held: Reservation) -> Self {
        Self { pieces: VecDeque::new(), length: 0, held }
    }

    /// Adds bytes, if there is room for them.
    fn push(&mut self, mut bytes: &[u8]) -> bool {
        if !self.held.try_grow(bytes.len()) {
            return false;
        }
        self.length += bytes.len();
        while !bytes.is_empty() {
            let room = self.pieces.back().map_or(0, |piece| PIECE_BYTES - piece.len());
            if room == 0 {
                self.pieces.push_back(BytesMut::with_capacity(bytes.len().min(PIECE_BYTES)));
                continue;
            }
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            self.pieces.back_mut().expect("a piece with room").extend_from_slice(now);
            bytes = later;
        }
        true
    }

    fn pop(&mut self) -> Option<Bytes> {
        let piece = self.pieces.pop_front()?;
        self.held.shrink(piece.len());
        Some(piece.freeze())
    }

    fn into_body(self) -> Body {
        let pieces = stream::unfold(self, |mut body| async move {
            let piece = body.pop()?;
            Some((Ok::<_, BodyError>(Frame::data(piece)), body))
        });
        StreamBody::new(pieces).boxed_unsync()
    }
}

/// A server's answer, read to its end.
pub struct PlainAnswer {
    /// The status and the headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: HeldBody,
    /// Whether the body is known to be complete.
    pub end: BodyEnd,
}

/// A server's answer of a stated length that there is no room for.
pub struct LongAnswer {
    /// The status and the headers.
    pub head: http::response::Parts,
    /// The length of the body that it states.
    pub length: u64,
    /// What was read so far.
    first: HeldBody,
    /// What came last and found no room.
    overflow: Option<Bytes>,
    rest: UpstreamBody,
}

impl LongAnswer {
    /// Returns the next piece, or `None` at the end.
    pub async fn next(&mut self) -> Option<Result<Bytes, UpstreamError>> {
        let held = self.first.pop().or_else(|| self.overflow.take());
        match held {
            Some(piece) => Some(Ok(piece)),
            None => self.rest.next().await,
        }
    }
}

/// A plain answer as far as it was read.
pub enum PlainRead {
    /// It was read to its end.
    Whole(PlainAnswer),
    /// It has to be passed on as the client reads it.
    Long(Box<LongAnswer>),
}

impl Job {
    /// Builds the client's response from the head of a server's answer.
    pub fn client_response(&self, head: &http::response::Parts, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = end_to_end(&head.headers);
        response
    }

    /// Reads a plain answer to its end, or as far as there is room for it.
    pub async fn read_plain(&self, answer: UpstreamAnswer) -> Result<PlainRead, BrokenAnswer> {
        let reading = timeout_at(self.timer(self.answer_by), self.read_held(answer));
        let read = reading.await;
        read.unwrap_or(Err(BrokenAnswer::TimedOut("the answer did not end in time")))
    }

    async fn read_held(&self, answer: UpstreamAnswer) -> Result<PlainRead, BrokenAnswer> {
        let end = answer.body_end();
        let UpstreamAnswer { head, body: mut rest, .. } = answer;
        let stated = stated_length(&head.headers);
        if stated.is_some_and(|length| length > MAX_ANSWER_BYTES as u64) {
            return Err(BrokenAnswer::NoAnswer(TOO_LONG));
        }
        let mut body = HeldBody::new(self.node.memory.reserve(HeldFor::Answer));
        while let Some(piece) = rest.next().await {
            let piece = piece.map_err(|error| {
                log::info!(request:% = self.info.id, error:% = error; "answer broke off");
                BrokenAnswer::Connection("the answer broke off")
            })?;
            if body.length + piece.len() > MAX_ANSWER_BYTES {
                return Err(BrokenAnswer::NoAnswer(TOO_LONG));
            }
            if body.push(&piece) {
                continue;
            }
            let (request, held) = (&self.info.id, body.length);
            log::info!(request:%, held, stated:?; "no room for the whole answer");
            return match stated.filter(|_| head.status.is_success()) {
                Some(length) => Ok(PlainRead::Long(Box::new(LongAnswer {
                    head,
                    length,
                    first: body,
                    overflow: Some(piece),
                    rest,
                }))),
                None => Err(BrokenAnswer::NoAnswer(TOO_LONG)),
            };
        }
        Ok(PlainRead::Whole(PlainAnswer { head, body, end }))
    }

    /// Builds the client's response from a server's answer. It states the end of the body only if the server did.
    pub fn plain_response(&self, answer: PlainAnswer) -> Response<Body> {
        let PlainAnswer { head, body, end } = answer;
        let length = body.length;
        let mut response = self.client_response(&head, body.into_body());
        if end == BodyEnd::WithConnection {
            return end_with_connection(response);
        }
        let has_body = head.status != StatusCode::NO_CONTENT && self.head.method != Method::HEAD;
        if has_body {
            response.headers_mut().insert(http::header::CONTENT_LENGTH, length.into());
        }
        response
    }

    /// Returns whether a response to the client can leave open whether it is complete, by ending with the connection.
    pub fn can_leave_end_open(&self) -> bool {
        self.head.version < Version::HTTP_2
    }

    /// Returns whether the route's answers are streams.
    pub fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }
}

/// Returns the length that headers state for the body.
pub fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}
