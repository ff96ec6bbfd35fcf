//! An HTTP client whose errors say whether anything was sent.

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

use crate::keep_alive;

/// How long a connection may take to open: several times the way to the farthest hall.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// How many addresses are kept connections to. Far more than a deployment has; servers that come and go
/// leave theirs behind.
const MAX_ADDRESSES: usize = 4_096;

/// The largest answer that is read whole, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// How long an answer that has begun may pause: over it, a link that loses packets has sent the lost ones
/// again more than once.
pub(crate) const MAX_PAUSE: Duration = Duration::from_millis(900);

/// What the narrowest link has left for one body, in bytes a second: a sixth of 10 Mbit/s.
const LEAST_RATE: f64 = 200_000.0;

/// Returns how long a body may be on its way.
pub(crate) fn time_on_the_way(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / LEAST_RATE)
}

/// How long an answer may take whose size depends on the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// Until its head is there.
    pub head: Duration,
    /// Until all of it is there. It has to keep coming meanwhile.
    pub whole: Duration,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// Nothing was sent.
    #[error("{0}")]
    NotSent(String),
    /// The request was sent, wholly or in part, and no whole answer came.
    #[error("{0}")]
    Lost(String),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: Bytes,
}

type Connections = Client<HttpConnector, Full<Bytes>>;

/// A client that keeps connections open. It never repeats a request by itself.
#[derive(Clone, Debug)]
pub struct HttpClient {
    http2_only: bool,
    /// By address. Those to one address are left for new ones when an answer stays out: the ones that were
    /// kept open may be as silent as the one that it did not come on.
    connections: Arc<Mutex<HashMap<Authority, Connections>>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new(false)
    }
}

impl HttpClient {
    /// Makes a client that speaks HTTP/2 only, to servers that are known to.
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

    /// Sends `request` and returns once the answer's head is there.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let connections = self.connections(&request);
        let connections = connections
            .ok_or_else(|| HttpError::NotSent(format!("{} names no address", request.uri())))?;
        connections.request(request).await.map_err(|error| {
            let detail = chain(&error);
            if error.is_connect() { HttpError::NotSent(detail) } else { HttpError::Lost(detail) }
        })
    }

    /// Sends `request` and reads the whole answer within `time`.
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
        fetched.await.unwrap_or_else(|_| Err(self.too_late(address, "no answer", time)))
    }

    /// Sends `request` and reads an answer that may be large. What bounds it is that it keeps coming: a
    /// configuration of 1 MB takes 0.85 s of a link of 10 Mbit/s, and with 0.9 s for the whole of it 84 of 90
    /// boxes gave it up and began anew.
    pub async fn fetch_large(
        &self,
        request: Request<Full<Bytes>>,
        patience: Patience,
    ) -> Result<Answer, HttpError> {
        let Patience { head, whole } = patience;
        let address = request.uri().authority().cloned();
        let fetched = timeout(whole, async {
            let Ok(response) = timeout(head, self.send(request)).await else {
                return Err(self.too_late(address.clone(), "no answer", head));
            };
            match read_large(response?).await {
                Some(answer) => answer,
                None => Err(self.too_late(address.clone(), "no more of it", MAX_PAUSE)),
            }
        });
        let fetched = fetched.await;
        fetched.unwrap_or_else(|_| Err(self.too_late(address, "no whole answer", whole)))
    }

    /// Leaves all connections that are kept open: the machine was suspended, and their other ends may have given them
    /// up.
    pub fn forget_connections(&self) {
        self.connections.lock().clear();
    }

    /// Says what did not come in time, and leaves the connections to that address that are kept open.
    fn too_late(&self, address: Option<Authority>, what: &str, time: Duration) -> HttpError {
        if let Some(address) = address {
            self.connections.lock().remove(&address);
        }
        HttpError::Lost(format!("{what} within {} ms", time.as_millis()))
    }
}

/// Reads the rest of an answer for as long as it keeps coming; `None` if it stops.
async fn read_large(response: Response<Incoming>) -> Option<Result<Answer, HttpError>> {
    let (parts, body) = response.into_parts();
    let mut body = Limited::new(body, MAX_ANSWER_BYTES);
    let mut whole = BytesMut::new();
    while let Some(frame) = timeout(MAX_PAUSE, body.frame()).await.ok()? {
        match frame.map(Frame::into_data) {
            Ok(Ok(piece)) => whole.extend_from_slice(&piece),
            // Trailers say nothing that anybody here asks for.
            Ok(Err(_)) => {}
            Err(error) => return Some(Err(HttpError::Lost(error.to_string()))),
        }
    }
    Some(Ok(Answer { status: parts.status, headers: parts.headers, body: whole.freeze() }))
}

fn new_connections(http2_only: bool) -> Connections {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    keep_alive::watch_all(&mut connector);
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
    let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = collected.map_err(|error| HttpError::Lost(error.to_string()))?.to_bytes();
    Ok(Answer { status: parts.status, headers: parts.headers, body })
}

/// Makes a request builder for a path on a server.
pub fn request(method: Method, address: &str, path: &str) -> http::request::Builder {
    Request::builder().method(method).uri(format!("http://{address}{path}"))
}

/// Adds a body to a builder. Addresses and paths are checked where they are read, so a failure
/// means that a caller's path has characters that no URI has.
pub fn with_body(
    builder: http::request::Builder,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, HttpError> {
    builder
        .body(Full::new(body.into()))
        .map_err(|error| HttpError::NotSent(format!("the request cannot be made: {error}")))
}

/// Returns an error's message with those of its causes.
pub(crate) fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
