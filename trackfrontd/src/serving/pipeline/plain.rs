//! Plain answers, which are read completely before they are forwarded.

use bytes::Bytes;
use http::{Method, Response, StatusCode, Version};
use tokio::time::timeout_at;
use trackfront_adapters::body_end::BodyEnd;
use trackfront_adapters::http_server::{Body, end_with_connection, full};
use trackfront_adapters::interface::end_to_end;
use trackfront_adapters::upstream::UpstreamAnswer;
use trackfront_core::serving::config::RouteKind;

use super::Job;

/// The maximum size of a plain answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Why an answer is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenAnswer {
    /// The connection to the server broke.
    Connection(&'static str),
    /// The server was too slow or fell silent.
    TimedOut(&'static str),
    /// The answer ended, and neither this box knows whether it is complete nor can it leave that open to the client.
    EndUnknown,
}

impl BrokenAnswer {
    /// Returns the cause for logs and refusals.
    pub fn cause(self) -> &'static str {
        match self {
            BrokenAnswer::Connection(cause) | BrokenAnswer::TimedOut(cause) => cause,
            BrokenAnswer::EndUnknown => "nobody knows whether the answer is complete",
        }
    }
}

/// A server's answer, read to its end.
pub struct PlainAnswer {
    /// The status and the headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: Bytes,
    /// Whether the body is known to be complete.
    pub end: BodyEnd,
}

impl Job {
    /// Builds the client's response from the head of a server's answer.
    pub fn client_response(&self, head: &http::response::Parts, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = end_to_end(&head.headers);
        response
    }

    /// Reads a plain answer to its end.
    pub async fn read_plain(&self, answer: UpstreamAnswer) -> Result<PlainAnswer, BrokenAnswer> {
        let end = answer.body_end();
        let UpstreamAnswer { head, body, .. } = answer;
        match timeout_at(self.timer(self.answer_by), body.read(MAX_ANSWER_BYTES)).await {
            Ok(Ok(body)) => Ok(PlainAnswer { head, body, end }),
            Ok(Err(error)) => {
                log::info!(request:% = self.info.id, error:% = error; "answer broke off");
                Err(BrokenAnswer::Connection("the answer broke off"))
            }
            Err(_) => Err(BrokenAnswer::TimedOut("the answer did not end in time")),
        }
    }

    /// Builds the client's response from a server's answer. It states the end of the body only if the server did.
    pub fn plain_response(&self, answer: PlainAnswer) -> Response<Body> {
        let PlainAnswer { head, body, end } = answer;
        let length = body.len();
        let mut response = self.client_response(&head, full(body));
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
