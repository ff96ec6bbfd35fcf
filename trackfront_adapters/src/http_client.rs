//! An HTTP client whose errors state whether the request was sent.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::uri::Authority;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Frame, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use parking_lot::Mutex;
use thiserror::Error;
use tokio::time::timeout;

use crate::body_end::BodyEnd;
use crate::keep_alive;
use trackfront_core::units::secs_to_duration;

/// The timeout for opening a connection, several times the latency to the farthest hall.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The maximum number of addresses with connections, far more than a deployment has. Connections of servers
/// that left would otherwise accumulate.
const MAX_ADDRESSES: usize = 4_096;

/// The maximum size of an answer in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The maximum pause while an answer is read. In this time a lossy link retransmits lost packets more than
/// once.
pub(crate) const MAX_PAUSE: Duration = Duration::from_millis(900);

/// The minimum transfer rate of a body in bytes per second: a sixth of 10 Mbit/s.
const MIN_RATE: f64 = 200_000.0;

/// Returns the maximum transfer time of a body.
pub(crate) fn transfer_time(bytes: usize) -> Duration {
    secs_to_duration(bytes as f64 / MIN_RATE)
}

/// The timeouts of an answer whose size depends on the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTimeouts {
    /// The timeout until the head.
    pub head: Duration,
    /// The timeout until the end of the body.
    pub whole: Duration,
}

/// Why there is no complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The request was not sent.
    #[error("{0}")]
    NotSent(String),
    /// The request was sent, at least in part, but no complete answer arrived.
    #[error("{0}")]
    Lost(String),
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the body is known to be complete.
    pub end: BodyEnd,
}

type Connections = Client<HttpConnector, Full<Bytes>>;

/// A client that reuses connections. It never repeats a request by itself.
#[derive(Clone, Debug)]
pub struct HttpClient {
    http2_only: bool,
    /// Connections by address. After a timeout all connections to an address are dropped, since the others may
    /// have failed for the same reason.
    connections: Arc<Mutex<HashMap<Authority, Connections>>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new(false)
    }
}

impl HttpClient {
    /// Creates a client that only uses HTTP/2, for servers that support it.
    pub fn http2() -> Self {
        Self::new(true)
    }

    fn new(http2_only: bool) -> Self {
        Self { http2_only, connections: Arc::default() }
    }

    /// Returns the connections to the address of `request`.
    fn connections(&self, request: &Request<Full<Bytes>>) -> Option<Connections> {
        let address = request.uri().authority()?.clone();
        let mut connections = self.connections.lock();
        if connections.len() >= MAX_ADDRESSES && !connections.contains_key(&address) {
            connections.clear();
        }
        let new = || new_connections(self.http2_only);
        Some(connections.entry(address).or_insert_with(new).clone())
    }

    /// Sends `request` and waits for the head of the answer.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let connections = self.connections(&request);
        let connections = connections
            .ok_or_else(|| HttpError::NotSent(format!("{} names no address", request.uri())))?;
        connections.request(request).await.map_err(|error| {
            let detail = error_chain(&error);
            if error.is_connect() { HttpError::NotSent(detail) } else { HttpError::Lost(detail) }
        })
    }

    /// Sends `request` and reads the complete answer within `time`.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        time: Duration,
    ) -> Result<Answer, HttpError> {
        let address = request.uri().authority().cloned();
        let fetched = timeout(time, async {
            let response = self.send(request).await?;
            read_answer(response).await
        });
        fetched.await.unwrap_or_else(|_| Err(self.timed_out(address, "no answer", time)))
    }

    /// Sends `request` and reads an answer that may be large. Besides the timeouts, pauses are bounded. A
    /// configuration of 1 MB takes 0.85 s on a link of 10 Mbit/s; with a timeout of 0.9 s and no other bound, 84 of
    /// 90 boxes aborted the transfer and started again.
    pub async fn fetch_large(
        &self,
        request: Request<Full<Bytes>>,
        timeouts: AnswerTimeouts,
    ) -> Result<Answer, HttpError> {
        let AnswerTimeouts { head, whole } = timeouts;
        let address = request.uri().authority().cloned();
        let fetched = timeout(whole, async {
            let Ok(response) = timeout(head, self.send(request)).await else {
                return Err(self.timed_out(address.clone(), "no answer", head));
            };
            match read_large(response?).await {
                Some(answer) => answer,
                None => Err(self.timed_out(address.clone(), "no more of it", MAX_PAUSE)),
            }
        });
        let fetched = fetched.await;
        fetched.unwrap_or_else(|_| Err(self.timed_out(address, "no whole answer", whole)))
    }

    /// Drops all connections, for example after the machine was suspended, since the other ends may have closed them.
    pub fn forget_connections(&self) {
        self.connections.lock().clear();
    }

    /// Drops the connections to an address after a timeout, and returns the error.
    fn timed_out(&self, address: Option<Authority>, what: &str, time: Duration) -> HttpError {
        if let Some(address) = address {
            self.connections.lock().remove(&address);
        }
        HttpError::Lost(format!("{what} within {} ms", time.as_millis()))
    }
}

/// Reads the rest of an answer. Returns `None` after a pause longer than [`MAX_PAUSE`].
async fn read_large(response: Response<Incoming>) -> Option<Result<Answer, HttpError>> {
    let (parts, body) = response.into_parts();
    let end = BodyEnd::of(&parts.headers, &body);
    let mut body = Limited::new(body, MAX_ANSWER_BYTES);
    let mut whole = BytesMut::new();
    while let Some(frame) = timeout(MAX_PAUSE, body.frame()).await.ok()? {
        match frame.map(Frame::into_data) {
            Ok(Ok(piece)) => whole.extend_from_slice(&piece),
            // Trailers are not used.
            Ok(Err(_)) => {}
            Err(error) => return Some(Err(HttpError::Lost(error.to_string()))),
        }
    }
    let body = whole.freeze();
    Some(Ok(Answer { status: parts.status, headers: parts.headers, body, end }))
}

fn new_connections(http2_only: bool) -> Connections {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    keep_alive::enable_for_all(&mut connector);
    Client::builder(TokioExecutor::new())
        .http2_only(http2_only)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// Reads the rest of an answer.
pub async fn read_answer(response: Response<Incoming>) -> Result<Answer, HttpError> {
    let (parts, body) = response.into_parts();
    let end = BodyEnd::of(&parts.headers, &body);
    let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = collected.map_err(|error| HttpError::Lost(error.to_string()))?.to_bytes();
    Ok(Answer { status: parts.status, headers: parts.headers, body, end })
}

/// Returns a request builder for a path on a server.
pub fn request(method: Method, address: &str, path: &str) -> http::request::Builder {
    Request::builder().method(method).uri(format!("http://{address}{path}"))
}

/// Adds a body to a request builder.
///
/// # Errors
///
/// If the path of the request is not valid in a URI.
pub fn with_body(
    builder: http::request::Builder,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, HttpError> {
    builder
        .body(Full::new(body.into()))
        .map_err(|error| HttpError::NotSent(format!("the request cannot be made: {error}")))
}

/// Returns the message of an error with those of its causes.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
