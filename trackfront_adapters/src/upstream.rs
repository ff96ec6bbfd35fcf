//! Connections to servers: kept for further requests, closed at once when a request is dropped.
//!
//! A server works on a request until its connection closes, so an answer that is no longer wanted
//! ends with its connection. An error says whether the request was sent.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use http::{Request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use trackfront_core::ports::Clock;
use trackfront_core::units::Moment;

use crate::http_client::chain;
use crate::keep_alive;

/// How many unused connections to one server are kept.
const MAX_IDLE: usize = 32;

/// How long before a server would close an unused connection it is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UpstreamError {
    /// Nothing was sent.
    #[error("nothing was sent: {0}")]
    NotSent(String),
    /// Nothing was sent: nobody listens at the address, so the server has ended.
    #[error("nothing was sent: {0}")]
    ConnectionRefused(String),
    /// Nothing was sent: once a connection was there, the request was not to be sent any more. It says nothing of the
    /// server.
    #[error("nothing was sent: the request may no longer be sent")]
    Withheld,
    /// The request was sent, wholly or in part, and no whole answer came.
    #[error("the answer is lost: {0}")]
    Lost(String),
}

/// How a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendOptions {
    /// How long a connection may take to open.
    pub connect_time: Duration,
    /// How long a kept connection may have been unused; zero for a new one.
    pub max_idle: Duration,
}

/// A connection, closed when it is dropped.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Whether it has carried a request before.
    used: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An unused connection. Its age counts the time for which the machine is suspended: its server may have closed it then,
/// and what may run once and is sent on it is lost.
struct Idle {
    connection: Connection,
    since: Moment,
    until: Option<Moment>,
}

type IdleByAddress = Arc<Mutex<HashMap<String, Vec<Idle>>>>;

/// Counts of connections, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Connections that were opened.
    pub opened: u64,
    /// Sends over a kept connection.
    pub reused: u64,
}

/// Sends requests to servers.
pub struct UpstreamPool {
    idle: IdleByAddress,
    counts: Mutex<PoolCounts>,
    clock: Arc<dyn Clock>,
}

/// The answer of a server.
pub struct UpstreamAnswer {
    /// Status and headers.
    pub head: response::Parts,
    /// The body.
    pub body: UpstreamBody,
    /// Whether the request was the first on its connection: what came can only be its answer. On a
    /// kept connection it may be a surplus answer to an earlier one.
    pub is_first: bool,
}

impl UpstreamAnswer {
    /// Returns whether the answer's end can be told from that of its connection: it states a length, or comes in
    /// chunks.
    pub fn has_own_end(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
    }
}

impl UpstreamPool {
    /// Makes a pool without connections.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { idle: IdleByAddress::default(), counts: Mutex::default(), clock }
    }

    /// Returns how many connections were opened and used again.
    pub fn counts(&self) -> PoolCounts {
        *self.counts.lock()
    }

    /// Sends a request and returns once the head of the answer is there. Dropping the future or
    /// the answer's body closes the connection. `make` makes the request last thing before the send, since what it
    /// says of time may be over once a connection is there; `None` if it may no longer be sent.
    pub async fn send(
        &self,
        address: &str,
        options: SendOptions,
        make: impl Fn() -> Option<Request<Full<Bytes>>>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        loop {
            let mut connection = self.connection(address, options).await?;
            let Some(request) = make() else {
                return Err(UpstreamError::Withheld);
            };
            let was_used = connection.used;
            connection.used = true;
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    let home = Home {
                        idle: self.idle.clone(),
                        clock: self.clock.clone(),
                        address: address.to_owned(),
                        keep_until: keep_until(&head.headers, self.clock.now()),
                    };
                    let body = UpstreamBody { body, held: Some((connection, home)) };
                    return Ok(UpstreamAnswer { head, body, is_first: !was_used });
                }
                Err(mut error) => match error.take_message() {
                    // The server had closed the kept connection; nothing was written to it.
                    Some(_) if was_used => {}
                    Some(_) => return Err(UpstreamError::NotSent(chain(error.error()))),
                    None => return Err(UpstreamError::Lost(chain(error.error()))),
                },
            }
        }
    }

    /// Opens a connection to `address` and keeps it for the next request there. An error says that none opened.
    pub async fn open_spare(&self, address: &str, time: Duration) -> Result<(), UpstreamError> {
        let connection = self.open_in(address, time).await?;
        let mut idle = self.idle.lock();
        let connections = idle.entry(address.to_owned()).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(Idle { connection, since: self.clock.now(), until: None });
        }
        Ok(())
    }

    /// Returns whether there is an unused connection to `address`.
    pub fn is_connected(&self, address: &str) -> bool {
        self.idle.lock().get(address).is_some_and(|kept| !kept.is_empty())
    }

    /// Closes the unused connections to `address`: one that was used before them has fallen silent.
    pub fn forget(&self, address: &str) {
        self.idle.lock().remove(address);
    }

    /// Closes unused connections that have been so for longer than `max_idle`.
    pub fn close_idle(&self, max_idle: Duration) {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        for connections in idle.values_mut() {
            connections.retain(|kept| {
                let in_time = kept.until.is_none_or(|until| now < until);
                in_time && !kept.connection.sender.is_closed() && now.since(kept.since) < max_idle
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    async fn connection(
        &self,
        address: &str,
        options: SendOptions,
    ) -> Result<Connection, UpstreamError> {
        if let Some(connection) = self.kept(address, options.max_idle) {
            self.counts.lock().reused += 1;
            return Ok(connection);
        }
        self.open_in(address, options.connect_time).await
    }

    async fn open_in(&self, address: &str, time: Duration) -> Result<Connection, UpstreamError> {
        let opening = tokio::time::timeout(time, open(address)).await;
        let connection = opening
            .map_err(|_| UpstreamError::NotSent("the connection did not open in time".into()))??;
        self.counts.lock().opened += 1;
        Ok(connection)
    }

    fn kept(&self, address: &str, max_idle: Duration) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(address)?;
        while let Some(kept) = connections.pop() {
            let in_time = kept.until.is_none_or(|until| now < until);
            let sender = &kept.connection.sender;
            if in_time
                && now.since(kept.since) < max_idle
                && sender.is_ready()
                && !sender.is_closed()
            {
                return Some(kept.connection);
            }
        }
        None
    }
}

async fn open(address: &str) -> Result<Connection, UpstreamError> {
    let not_sent = |error: &dyn std::error::Error| UpstreamError::NotSent(chain(error));
    let address: SocketAddr = address.parse().map_err(|error| not_sent(&error))?;
    let stream = TcpStream::connect(address).await.map_err(|error| match error.kind() {
        io::ErrorKind::ConnectionRefused => UpstreamError::ConnectionRefused(chain(&error)),
        _ => not_sent(&error),
    })?;
    let _ = stream.set_nodelay(true);
    keep_alive::watch(&stream);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| not_sent(&error))?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::trace!("a connection to a server ended: {}", chain(&error));
        }
    });
    Ok(Connection { sender, task: task.abort_handle(), used: false })
}

/// Until when an answer allows its connection to be used again: `None` for never.
fn keep_until(headers: &HeaderMap, now: Moment) -> Option<Option<Moment>> {
    let closes = headers.get_all(CONNECTION).iter().any(|value| {
        value.to_str().is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
    });
    if closes {
        return None;
    }
    let told = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = told.and_then(|value| {
        let mut words = value.split(',').map(str::trim);
        words.find_map(|word| word.strip_prefix("timeout=")?.trim().parse::<u64>().ok())
    });
    Some(seconds.map(|seconds| now + Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN)))
}

/// Where a connection goes once its answer is whole.
struct Home {
    idle: IdleByAddress,
    clock: Arc<dyn Clock>,
    address: String,
    keep_until: Option<Option<Moment>>,
}

/// The body of an answer. Dropped before its end, it closes its connection.
pub struct UpstreamBody {
    body: Incoming,
    held: Option<(Connection, Home)>,
}

impl UpstreamBody {
    /// Returns the next piece, or `None` at the end of a whole body.
    pub async fn next(&mut self) -> Option<Result<Bytes, UpstreamError>> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => continue,
                    Ok(data) => return Some(Ok(data)),
                    Err(_) => continue,
                },
                Some(Err(error)) => {
                    self.held = None;
                    return Some(Err(UpstreamError::Lost(chain(&error))));
                }
                None => {
                    self.give_back();
                    return None;
                }
            }
        }
    }

    /// Closes the connection: the server stops working on the request.
    pub fn close(&mut self) {
        self.held = None;
    }

    /// Reads the whole body, of at most `limit` bytes.
    pub async fn read(mut self, limit: usize) -> Result<Bytes, UpstreamError> {
        let mut whole = Vec::new();
        while let Some(piece) = self.next().await {
            whole.extend_from_slice(&piece?);
            if whole.len() > limit {
                return Err(UpstreamError::Lost(format!("the body is over {limit} bytes")));
            }
        }
        Ok(whole.into())
    }

    fn give_back(&mut self) {
        let Some((connection, home)) = self.held.take() else {
            return;
        };
        let Some(until) = home.keep_until else {
            return;
        };
        let since = home.clock.now();
        let mut idle = home.idle.lock();
        let connections = idle.entry(home.address).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(Idle { connection, since, until });
        }
    }
}
