//! Passes on plain answers that there is no room for, as fast as their clients read them.

use std::sync::Arc;

use futures::stream;
use http::Response;
use http::header::CONTENT_LENGTH;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::timeout_at;
use trackfront_adapters::http_server::{Body, BodyError, full};
use trackfront_core::serving::load::AttemptOutcome;

use super::pipeline::{Job, LongAnswer, SendGuard};

/// An answer that is being passed on.
struct LongRelay {
    job: Arc<Job>,
    answer: LongAnswer,
    guard: SendGuard,
    /// The bytes that the client is still owed. Once there are none, nobody asks for the end of the body.
    left: u64,
    has_ended: bool,
}

/// Returns the client's response, whose body is read from the server as the client reads it. If the server breaks it off,
/// so does the response, which is shorter than it states.
pub fn relay(job: &Arc<Job>, answer: LongAnswer, guard: SendGuard) -> Response<Body> {
    let mut response = job.client_response(&answer.head, full(""));
    let left = answer.length;
    response.headers_mut().insert(CONTENT_LENGTH, left.into());
    let relay = LongRelay { job: job.clone(), answer, guard, left, has_ended: false };
    let pieces = stream::unfold(relay, |mut relay| async move {
        let piece = relay.next().await?;
        Some((piece, relay))
    });
    response.map(|_| StreamBody::new(pieces).boxed_unsync())
}

impl LongRelay {
    async fn next(&mut self) -> Option<Result<Frame<bytes::Bytes>, BodyError>> {
        if self.has_ended {
            return None;
        }
        let until = self.job.timer(self.job.answer_by);
        match timeout_at(until, self.answer.next()).await {
            Ok(Some(Ok(piece))) => {
                self.left = self.left.saturating_sub(piece.len() as u64);
                if self.left == 0 {
                    self.end().await;
                }
                return Some(Ok(Frame::data(piece)));
            }
            Ok(None) => {
                self.end().await;
                return None;
            }
            Ok(Some(Err(error))) => {
                log::info!(request:% = self.job.info.id, error:% = error; "answer broke off");
                self.guard.record_broken_connection();
            }
            Err(_) => self.guard.finish(AttemptOutcome::Failed),
        }
        self.has_ended = true;
        Some(Err("the server did not send the whole answer".into()))
    }

    /// Records the whole answer. The library has seen the stated length, so the end of the body is there.
    async fn end(&mut self) {
        self.has_ended = true;
        let _ = timeout_at(self.job.timer(self.job.answer_by), self.answer.next()).await;
        // How long it took says how fast the client read, so nothing is learned of the server's speed.
        self.guard.finish(AttemptOutcome::Abandoned);
        self.guard.record_answer(AttemptOutcome::Answered);
    }
}
