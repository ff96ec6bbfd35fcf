//! Relays answers to clients: plain ones as a whole, streams event by event.
//!
//! An answer that breaks off is never ended as if it were complete: its connection is cut. A
//! resumable stream is continued by another server after the last complete event.
//!
//! An answer that ends with its connection is broken off if its server has ended. Otherwise nobody knows, and
//! the response ends with its connection as well.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::{Instant, timeout_at};
use trackfront_adapters::body_end::BodyEnd;
use trackfront_adapters::http_server::{Body, BodyError, end_with_connection};
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_adapters::upstream::{UpstreamAnswer, UpstreamBody};
use trackfront_core::ids::BackendId;
use trackfront_core::serving::events::EventScanner;
use trackfront_core::serving::load::AttemptOutcome;
use trackfront_core::serving::memory_budget::{HeldFor, Reservation};

use super::long_relay;
use super::pipeline::{
    Attempts, BrokenAnswer, EndLog, Job, PlainAnswer, PlainRead, QuotaUnits, SendGuard,
    SendOutcome, stated_length,
};
use super::stream_origins::RelayedStream;

/// The multiple of the gap target for which a resumable stream may stay silent.
const SILENCE_GAP_FACTOR: u32 = 4;

/// The most bytes of one event. Events hold a few tokens; bytes without end are none.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why an answer that ended with its connection is incomplete.
const SERVER_ENDED: &str = "the server ended while it answered";

/// The outcome of relaying an answer.
pub enum RelayOutcome {
    /// The client's response, and whether it is a stream.
    Answer(Response<Body>, bool),
    /// The server's own failure, which may be forwarded.
    Failure(PlainAnswer),
    /// The answer broke off before any of it was forwarded.
    Broken(&'static str),
}

/// A body whose end is logged as the end of its request.
struct LoggedBody {
    body: Body,
    end: EndLog,
    /// The bytes left of a stated length. Nobody asks for the end of such a body.
    left: Option<u64>,
}

impl LoggedBody {
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        let frame = self.body.frame().await;
        if let (Some(Ok(frame)), Some(left)) = (&frame, &mut self.left) {
            *left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len) as u64);
        }
        match &frame {
            Some(Err(error)) => self.end.end("cut_off", &error.to_string()),
            Some(Ok(_)) if self.left != Some(0) => {}
            Some(Ok(_)) | None => self.end.end("answered", ""),
        }
        frame
    }
}

/// Logs the end of an answered request: now, or at the end of its stream.
pub fn log_end(response: Response<Body>, is_stream: bool, mut end: EndLog) -> Response<Body> {
    if !is_stream {
        end.end("answered", "");
        return response;
    }
    let left = stated_length(response.headers());
    response.map(|body| {
        let logged = LoggedBody { body, end, left };
        let pieces = stream::unfold(logged, |mut logged| async move {
            let frame = logged.next().await?;
            Some((frame, logged))
        });
        StreamBody::new(pieces).boxed_unsync()
    })
}

/// Relays a server's answer, whose head was already read.
pub async fn relay(
    job: &Arc<Job>,
    answer: UpstreamAnswer,
    guard: SendGuard,
    attempts: &Attempts,
) -> RelayOutcome {
    let status = answer.head.status;
    if job.is_stream() && status.is_success() {
        return relay_stream(job, answer, guard, attempts).await;
    }
    relay_plain(job, answer, guard).await
}

async fn relay_plain(job: &Arc<Job>, answer: UpstreamAnswer, mut guard: SendGuard) -> RelayOutcome {
    match job.read_plain(answer).await {
        Ok(PlainRead::Whole(answer)) if answer.end == BodyEnd::WithConnection => {
            relay_unstated(job, answer, guard).await
        }
        Ok(PlainRead::Whole(answer)) => relay_whole(job, answer, guard),
        Ok(PlainRead::Long(answer)) => {
            RelayOutcome::Answer(long_relay::relay(job, *answer, guard), true)
        }
        Err(broken) => {
            record_broken(&mut guard, broken);
            RelayOutcome::Broken(broken.cause())
        }
    }
}

/// Relays a plain answer that ended with its connection, unless its server has ended.
async fn relay_unstated(job: &Job, answer: PlainAnswer, mut guard: SendGuard) -> RelayOutcome {
    let broken = if guard.has_server_ended().await {
        BrokenAnswer::Connection(SERVER_ENDED)
    } else if !job.can_leave_end_open() {
        BrokenAnswer::EndUnknown
    } else {
        return relay_whole(job, answer, guard);
    };
    record_broken(&mut guard, broken);
    RelayOutcome::Broken(broken.cause())
}

fn relay_whole(job: &Job, answer: PlainAnswer, mut guard: SendGuard) -> RelayOutcome {
    let kind = job.route.kind.name();
    let took = job.arrived.elapsed().as_secs_f64();
    job.node.metrics.first_event.get_or_create(&KindLabel { kind }).observe(took);
    if answer.head.status.is_server_error() {
        guard.record_answer(AttemptOutcome::Failed);
        return RelayOutcome::Failure(answer);
    }
    guard.record_answer(AttemptOutcome::Answered);
    RelayOutcome::Answer(job.plain_response(answer), false)
}

/// Records at the server why its answer is incomplete.
fn record_broken(guard: &mut SendGuard, broken: BrokenAnswer) {
    match broken {
        BrokenAnswer::Connection(_) => guard.record_broken_connection(),
        BrokenAnswer::TimedOut(_) | BrokenAnswer::NoAnswer(_) => {
            guard.finish(AttemptOutcome::Failed)
        }
        BrokenAnswer::EndUnknown => guard.finish(AttemptOutcome::Answered),
    }
}

/// A stream that is being relayed to the client.
struct EventStream {
    job: Arc<Job>,
    body: UpstreamBody,
    guard: SendGuard,
    /// What the end of `body` says.
    body_end: BodyEnd,
    /// What the end of the response says to the client.
    response_end: BodyEnd,
    /// Finds the ends of events in `body`.
    scanner: EventScanner,
    /// The bytes received after the last complete event.
    partial: BytesMut,
    /// The room that these take.
    partial_held: Reservation,
    /// The number of bytes received after the last complete event, also if they were passed on.
    event_bytes: usize,
    last_event: Option<String>,
    tried: Vec<BackendId>,
    sends: u32,
    ended: bool,
    /// The stream, if the client may take it up again. Other boxes are told of it for as long as this lives.
    relayed: Option<RelayedStream>,
}

/// The next part of a stream.
enum Next {
    Piece(Bytes),
    End,
    Broken(BrokenAnswer),
}

async fn relay_stream(
    job: &Arc<Job>,
    answer: UpstreamAnswer,
    guard: SendGuard,
    attempts: &Attempts,
) -> RelayOutcome {
    let body_end = answer.body_end();
    let response_end = if job.can_leave_end_open() { body_end } else { BodyEnd::Stated };
    let UpstreamAnswer { head, body, .. } = answer;
    let mut events = EventStream {
        job: job.clone(),
        body,
        guard,
        body_end,
        response_end,
        scanner: EventScanner::default(),
        partial: BytesMut::new(),
        partial_held: job.node.memory.reserve(HeldFor::Answer),
        event_bytes: 0,
        last_event: None,
        tried: attempts.servers.clone(),
        sends: attempts.sends,
        ended: false,
        relayed: None,
    };
    let first = match events.next_piece().await {
        Next::Piece(first) => first,
        Next::End => {
            events.guard.record_answer(AttemptOutcome::Answered);
            let response = job.client_response(&head, empty());
            return RelayOutcome::Answer(with_end(response, response_end), false);
        }
        Next::Broken(broken) => {
            record_broken(&mut events.guard, broken);
            return RelayOutcome::Broken(broken.cause());
        }
    };
    events.record_first_event();
    let mut response = job.client_response(&head, empty());
    // A stream that another server may continue need not have the length of the first answer.
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    let pieces = stream::unfold((Some(first), events), |(first, mut events)| async move {
        if let Some(first) = first {
            return Some((Ok(Frame::data(first)), (None, events)));
        }
        let piece = events.next().await?;
        Some((piece.map(Frame::data), (None, events)))
    });
    let response = response.map(|_| StreamBody::new(pieces).boxed_unsync());
    RelayOutcome::Answer(with_end(response, response_end), true)
}

/// Makes a response state its end, or leave open whether it is complete.
fn with_end(response: Response<Body>, end: BodyEnd) -> Response<Body> {
    match end {
        BodyEnd::Stated => response,
        BodyEnd::WithConnection => end_with_connection(response),
    }
}

fn empty() -> Body {
    trackfront_adapters::http_server::full(Bytes::new())
}

impl EventStream {
    fn record_first_event(&mut self) {
        let expected_ms = self.guard.expected_ms();
        self.guard.record_first_event();
        let job = &self.job;
        self.relayed = job.bind_software(self.guard.server());
        let took = job.arrived.elapsed().as_secs_f64();
        let kind = job.route.kind.name();
        job.node.metrics.first_event.get_or_create(&KindLabel { kind }).observe(took);
        job.node.metrics.estimate_ratio.observe(took * 1_000.0 / expected_ms.max(1.0));
        let ms = (took * 1_000.0) as u64;
        let expected = expected_ms as u64;
        log::info!(request:% = job.info.id, ms, expected_ms = expected; "first event");
    }

    /// Returns the next piece for the client, resuming the stream if it breaks off.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.ended {
            return None;
        }
        loop {
            match self.next_piece().await {
                Next::Piece(piece) => {
                    // It may be the first one of a server that continues the stream.
                    self.guard.declare_first_event();
                    return Some(Ok(piece));
                }
                Next::End => {
                    self.ended = true;
                    self.guard.record_answer(AttemptOutcome::Answered);
                    return None;
                }
                Next::Broken(broken) => {
                    record_broken(&mut self.guard, broken);
                    if !self.resume(broken.cause()).await {
                        self.job.store_crashes(&self.tried).await;
                        self.ended = true;
                        return Some(Err(broken.cause().into()));
                    }
                }
            }
        }
    }

    /// Returns the time at which a silent stream counts as broken.
    fn silence_deadline(&self) -> Instant {
        let job = &self.job;
        match job.route.event_gap_target {
            Some(gap) if job.route.resumable && self.sends < job.route.max_attempts => {
                let silence = (gap * SILENCE_GAP_FACTOR).max(job.route.latency_target);
                job.answer_by.min(job.request_time() + silence)
            }
            _ => job.answer_by,
        }
    }

    /// Reads until there is a piece to forward: any bytes, or, for a resumable stream, complete
    /// events.
    async fn next_piece(&mut self) -> Next {
        // Bytes that complete no event do not end a silence.
        let until = self.silence_deadline();
        loop {
            match timeout_at(self.job.timer(until), self.body.next()).await {
                Err(_) if self.job.request_time() >= self.job.answer_by => {
                    return Next::Broken(BrokenAnswer::TimedOut("the stream did not end in time"));
                }
                Err(_) => {
                    self.job.record_silence();
                    return Next::Broken(BrokenAnswer::TimedOut("the stream stayed silent"));
                }
                Ok(Some(Err(error))) => {
                    let request = &self.job.info.id;
                    log::info!(request:%, error:% = error; "stream broke off");
                    return Next::Broken(BrokenAnswer::Connection("the stream broke off"));
                }
                Ok(None) => return self.end_of_body().await,
                Ok(Some(Ok(piece))) => match self.take_piece(piece) {
                    Ok(Some(piece)) => return Next::Piece(piece),
                    Ok(None) => {}
                    Err(broken) => return Next::Broken(broken),
                },
            }
        }
    }

    /// Returns what the end of the server's body means.
    async fn end_of_body(&mut self) -> Next {
        if !self.scanner.is_between_events() {
            return Next::Broken(BrokenAnswer::Connection("the stream ended inside an event"));
        }
        if self.body_end == BodyEnd::Stated {
            return Next::End;
        }
        if self.guard.has_server_ended().await {
            return Next::Broken(BrokenAnswer::Connection(SERVER_ENDED));
        }
        match self.response_end {
            BodyEnd::WithConnection => Next::End,
            BodyEnd::Stated => Next::Broken(BrokenAnswer::EndUnknown),
        }
    }

    /// Returns what may be forwarded after a piece arrived: all of it, or, for a resumable stream, complete events.
    fn take_piece(&mut self, piece: Bytes) -> Result<Option<Bytes>, BrokenAnswer> {
        let complete = self.scanner.read(&piece);
        self.event_bytes = match complete {
            Some(complete) => piece.len() - complete,
            None => self.event_bytes.saturating_add(piece.len()),
        };
        if self.event_bytes > MAX_EVENT_BYTES {
            return Err(self.endless_event());
        }
        if !self.job.route.resumable {
            return Ok(Some(piece));
        }
        let before = self.partial.len();
        if !self.partial_held.try_grow(piece.len()) {
            return Err(self.endless_event());
        }
        self.partial.extend_from_slice(&piece);
        let Some(complete) = complete else { return Ok(None) };
        let events = self.partial.split_to(before + complete).freeze();
        self.partial_held.shrink(events.len());
        if let Some(id) = last_event_id(&events) {
            self.last_event = Some(id);
        }
        Ok(Some(events))
    }

    fn endless_event(&self) -> BrokenAnswer {
        let (request, server) = (&self.job.info.id, &self.guard.server().entry.id);
        log::warn!(request:%, server:%, bytes = self.event_bytes; "event of a stream does not end");
        BrokenAnswer::NoAnswer("an event of the stream does not end")
    }

    /// Continues the stream at another server. Returns whether that succeeded.
    async fn resume(&mut self, cause: &'static str) -> bool {
        let resumed = self.try_resume(cause).await;
        if let Err(reason) = &resumed {
            log::info!(request:% = self.job.info.id, cause, reason:%; "stream not continued");
        }
        resumed.is_ok()
    }

    async fn try_resume(&mut self, cause: &'static str) -> Result<(), NotContinued> {
        let job = self.job.clone();
        self.check_resumable()?;
        self.partial = BytesMut::new();
        self.partial_held.shrink(self.partial_held.bytes());
        self.event_bytes = 0;
        // A silent stream may still be running; it must not run beside its continuation.
        self.body.close();
        job.choose(&self.tried).map_err(|_| NotContinued::NoServer)?;
        if !job.take_retry() {
            return Err(NotContinued::RetryBudget);
        }
        let units = job.request_units().await.map_err(|_| NotContinued::Quota)?;
        // A permit expires soon, so it is requested last.
        let chosen = job.choose_with_permit(&self.tried).await.ok_or(NotContinued::NoServer)?;
        self.tried.push(chosen.choice.server.entry.id.clone());
        self.sends += 1;
        let after = self.last_event.clone();
        let request = &job.info.id;
        let server = &chosen.choice.server.entry.id;
        let after_event = after.as_deref().unwrap_or_default();
        log::info!(request:%, server:%, cause, after_event; "stream resumed");
        let sent = job.send(&chosen, after.as_deref()).await;
        if matches!(sent, SendOutcome::Answer(..) | SendOutcome::Failed(_)) {
            units.into_iter().for_each(QuotaUnits::consume);
        }
        match sent {
            SendOutcome::Answer(answer, guard) if answer.head.status.is_success() => {
                self.body_end = answer.body_end();
                self.body = answer.body;
                self.scanner = EventScanner::default();
                self.guard = *guard;
                Ok(())
            }
            _ => Err(NotContinued::SendFailed),
        }
    }

    /// Checks whether the stream may be sent to another server at all.
    fn check_resumable(&self) -> Result<(), NotContinued> {
        let job = &self.job;
        if !job.route.resumable || self.sends >= job.route.max_attempts {
            Err(NotContinued::Route)
        } else if job.request_time() >= job.answer_by {
            Err(NotContinued::Deadline)
        } else if self.last_event.is_none() {
            Err(NotContinued::NoEvent)
        } else if job.may_crash_servers() {
            Err(NotContinued::Suspect)
        } else {
            Ok(())
        }
    }
}

/// Why a broken stream is not continued at another server.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum NotContinued {
    #[error("the route allows no further attempt")]
    Route,
    #[error("its time is over")]
    Deadline,
    #[error("none of its events has an identifier")]
    NoEvent,
    #[error("it may crash servers: the connections of several broke under it")]
    Suspect,
    #[error("no other server can continue it now")]
    NoServer,
    #[error("the retries of its service are spent")]
    RetryBudget,
    #[error("the quota of its client account is spent")]
    Quota,
    #[error("the server that was asked did not continue it")]
    SendFailed,
}

/// Returns the identifier of the last event in `events` that has one.
fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
