//! Plain answers, which are read completely before they are forwarded.

use bytes::Bytes;
use http::{Response, StatusCode};
use tokio::time::timeout_at;
use trackfront_adapters::http_server::{Body, full};
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
}

impl BrokenAnswer {
    /// Returns the cause for logs and refusals.
    pub fn cause(self) -> &'static str {
        match self {
            BrokenAnswer::Connection(cause) | BrokenAnswer::TimedOut(cause) => cause,
        }
    }
}

/// A server's complete answer.
pub struct PlainAnswer {
    /// The status and the headers.
    pub head: http::response::Parts,
    /// The complete body.
    pub body: Bytes,
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
        let UpstreamAnswer { head, body, .. } = answer;
        match timeout_at(self.timer(self.answer_by), body.read(MAX_ANSWER_BYTES)).await {
            Ok(Ok(body)) => Ok(PlainAnswer { head, body }),
            Ok(Err(error)) => {
                log::info!(request:% = self.info.id, error:% = error; "answer broke off");
                Err(BrokenAnswer::Connection("the answer broke off"))
            }
            Err(_) => Err(BrokenAnswer::TimedOut("the answer did not end in time")),
        }
    }

    /// Builds the client's response from a server's complete answer.
    pub fn plain_response(&self, answer: PlainAnswer) -> Response<Body> {
        let PlainAnswer { head, body } = answer;
        let length = body.len();
        let mut response = self.client_response(&head, full(body));
        // Either the server stated this length, or it stated none.
        if head.status != StatusCode::NO_CONTENT {
            response.headers_mut().insert(http::header::CONTENT_LENGTH, length.into());
        }
        response
    }

    /// Returns whether the route's answers are streams.
    pub fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }
}
