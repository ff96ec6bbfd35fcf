//! A pool of connections to servers.
//!
//! A server processes a request until its connection is closed, so the connection of a cancelled request
//! is closed at once. Errors state whether the request was sent.

#![deny(clippy::arithmetic_side_effects)]

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderMap};
use http::{Request, StatusCode, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::task::AbortHandle;
use trackfront_core::ports::Clock;
use trackfront_core::units::{LONGEST_DURATION, Moment};

use crate::body_end::BodyEnd;
use crate::connect::{ByteStream, Connect};
use crate::head_limit::{HeadLimit, HeadLimited};
use crate::http_client::error_chain;

/// The maximum number of idle connections to a server.
const MAX_IDLE: usize = 32;

/// The largest read buffer of a connection, and so the largest head of an answer, in bytes. There is one for each answer that
/// a slow client reads.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// The age up to which a connection that another box carries is used for further requests: that box checks only when it
/// opens one whether the server may be sent requests, and needs time to end them all before it stops.
const CARRIED_MAX_AGE: Duration = Duration::from_millis(1_000);

/// The maximum idle time of such a connection. It takes a place at the box that carries it.
const CARRIED_MAX_IDLE: Duration = Duration::from_millis(200);

/// The time before a server closes an idle connection in which it is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Why there is no complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UpstreamError {
    /// The request was not sent.
    #[error("nothing was sent: {0}")]
    NotSent(String),
    /// The request was not sent, since no process listens at the address. The server has ended.
    #[error("nothing was sent: {0}")]
    ConnectionRefused(String),
    /// The request was not sent, since it was no longer allowed when the connection was open. This is no failure of the
    /// server.
    #[error("nothing was sent: the request may no longer be sent")]
    Withheld,
    /// The request was sent, at least in part, but no complete answer arrived.
    #[error("the answer is lost: {0}")]
    Lost(String),
    /// The request was sent, and what came is no answer. The server lives, and the request may have run.
    #[error("what came is no answer: {0}")]
    NoAnswer(String),
}

/// Options for sending a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendOptions {
    /// The timeout for opening a connection.
    pub connect_time: Duration,
    /// The maximum idle time of a reused connection; zero to open a new one.
    pub max_idle: Duration,
}

/// A connection, which is closed when dropped.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Whether it was used for a request before.
    used: bool,
    /// How it is carried, if it is not direct.
    carried: Option<Carried>,
    head_limit: HeadLimit,
}

/// How another box carries a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Carried {
    /// The box.
    pub by: Ipv4Addr,
    /// Whether every request may pass that box, so that the connection can be used for further ones.
    pub is_reusable: bool,
    /// When it was opened.
    pub opened_at: Moment,
}

impl Carried {
    /// Returns until when the connection may be used for another request; `None` if not at all.
    fn keep_until(self, now: Moment) -> Option<Moment> {
        let until = (self.opened_at + CARRIED_MAX_AGE).min(now + CARRIED_MAX_IDLE);
        (self.is_reusable && now < until).then_some(until)
    }
}

impl Connection {
    /// Returns whether another box carries it.
    pub fn is_carried(&self) -> bool {
        self.carried.is_some()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An idle connection. Its idle time includes suspensions of the machine, in which its server may have closed it. A
/// run-once request that is sent on a closed connection is lost.
struct Idle {
    connection: Connection,
    since: Moment,
    until: Option<Moment>,
}

type IdleByAddress = Arc<Mutex<HashMap<String, Vec<Idle>>>>;

/// Connection counts, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// The number of opened connections.
    pub opened: u64,
    /// The number of requests on reused connections.
    pub reused: u64,
}

impl PoolCounts {
    fn count_opened(&mut self) {
        self.opened = self.opened.saturating_add(1);
    }

    fn count_reused(&mut self) {
        self.reused = self.reused.saturating_add(1);
    }
}

/// A pool of connections to servers, by address.
pub struct UpstreamPool {
    idle: IdleByAddress,
    counts: Mutex<PoolCounts>,
    clock: Arc<dyn Clock>,
    connect: Arc<dyn Connect>,
}

/// The answer of a server.
pub struct UpstreamAnswer {
    /// The status and headers.
    pub head: response::Parts,
    /// The body.
    pub body: UpstreamBody,
    /// Whether the request was the first on its connection, so this can only be its answer. On a reused
    /// connection it may be a surplus answer to an earlier request.
    pub is_first: bool,
    /// The box that carried the request to the server, if it was not sent directly.
    pub carried_by: Option<Ipv4Addr>,
}

impl UpstreamAnswer {
    /// Returns what the end of the body says.
    pub fn body_end(&self) -> BodyEnd {
        BodyEnd::of(&self.head.headers, &self.body.body)
    }
}

impl UpstreamPool {
    /// Creates a pool without connections.
    pub fn new(clock: Arc<dyn Clock>, connect: Arc<dyn Connect>) -> Self {
        Self { idle: IdleByAddress::default(), counts: Mutex::default(), clock, connect }
    }

    /// Returns how many connections were opened and reused.
    pub fn counts(&self) -> PoolCounts {
        *self.counts.lock()
    }

    /// Sends a request over a direct connection, see [`Self::send_over`].
    pub async fn send(
        &self,
        address: &str,
        options: SendOptions,
        build: impl Fn() -> Option<Request<Full<Bytes>>>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let open = || self.open(address, options.connect_time);
        self.send_over(address, options.max_idle, open, build).await
    }

    /// Sends a request over an idle connection, or one that `open` opens, and waits for the head of the answer.
    /// Dropping the future or the body closes the connection. `build` creates the request right before it is sent, since
    /// its remaining time changes while the connection opens. It returns `None` if the request may no longer be sent.
    pub async fn send_over<F>(
        &self,
        address: &str,
        max_idle: Duration,
        open: impl Fn() -> F,
        build: impl Fn() -> Option<Request<Full<Bytes>>>,
    ) -> Result<UpstreamAnswer, UpstreamError>
    where
        F: Future<Output = Result<Connection, UpstreamError>>,
    {
        loop {
            let mut connection = match self.take_idle(address, max_idle) {
                Some(connection) => {
                    self.counts.lock().count_reused();
                    connection
                }
                None => open().await?,
            };
            let Some(request) = build() else {
                return Err(UpstreamError::Withheld);
            };
            let was_used = connection.used;
            connection.used = true;
            connection.head_limit.start();
            match connection.sender.try_send_request(request).await {
                Ok(response) if !is_final(response.status()) => {
                    return Err(UpstreamError::NoAnswer(format!("status {}", response.status())));
                }
                Ok(response) => {
                    connection.head_limit.stop();
                    let (head, body) = response.into_parts();
                    let origin = Origin {
                        idle: self.idle.clone(),
                        clock: self.clock.clone(),
                        address: address.to_owned(),
                        keep_until: keep_until(&head.headers, self.clock.now()),
                    };
                    let carried_by = connection.carried.map(|carried| carried.by);
                    let body = UpstreamBody { body, held: Some((connection, origin)) };
                    return Ok(UpstreamAnswer { head, body, is_first: !was_used, carried_by });
                }
                Err(mut error) => match error.take_message() {
                    // The server had closed the reused connection, and nothing was written to it.
                    Some(_) if was_used => {}
                    Some(_) => return Err(UpstreamError::NotSent(error_chain(error.error()))),
                    None => return Err(lost(error.error(), &connection.head_limit)),
                },
            }
        }
    }

    /// Opens a connection to `address` for the next request there.
    pub async fn open_spare(&self, address: &str, time: Duration) -> Result<(), UpstreamError> {
        let connection = self.open(address, time).await?;
        self.add_spare(address, connection);
        Ok(())
    }

    /// Keeps an unused connection to `address` for the next request there.
    pub fn add_spare(&self, address: &str, connection: Connection) {
        let mut idle = self.idle.lock();
        let connections = idle.entry(address.to_owned()).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(Idle { connection, since: self.clock.now(), until: None });
        }
    }

    /// Returns whether there is an idle connection to `address`.
    pub fn is_connected(&self, address: &str) -> bool {
        self.idle.lock().get(address).is_some_and(|pooled| !pooled.is_empty())
    }

    /// Returns whether an idle connection to `address` is still open, so that the process that opened it still runs.
    pub fn has_open_idle(&self, address: &str) -> bool {
        let idle = self.idle.lock();
        let mut connections = idle.get(address).into_iter().flatten();
        connections.any(|pooled| {
            pooled.connection.carried.is_none() && !pooled.connection.sender.is_closed()
        })
    }

    /// Closes the idle connections to `address`, for example after another one was lost.
    pub fn forget(&self, address: &str) {
        self.idle.lock().remove(address);
    }

    /// Closes the connections that have been idle for longer than `max_idle`.
    pub fn close_idle(&self, max_idle: Duration) {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        for connections in idle.values_mut() {
            connections.retain(|pooled| {
                let in_time = pooled.until.is_none_or(|until| now < until);
                in_time
                    && !pooled.connection.sender.is_closed()
                    && now.since(pooled.since) < max_idle
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Opens a connection to `address` within `time`.
    pub async fn open(&self, address: &str, time: Duration) -> Result<Connection, UpstreamError> {
        let connection = handshake(self.open_bytes(address, time).await?, None).await?;
        self.counts.lock().count_opened();
        Ok(connection)
    }

    /// Opens a connection to `address` within `time`, for any bytes.
    pub async fn open_bytes(
        &self,
        address: &str,
        time: Duration,
    ) -> Result<Box<dyn ByteStream>, UpstreamError> {
        let address: SocketAddr = address.parse().map_err(|error| not_sent(&error))?;
        let opening = tokio::time::timeout(time, self.connect.connect(address)).await;
        let opening = opening
            .map_err(|_| UpstreamError::NotSent("the connection did not open in time".into()))?;
        opening.map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => {
                UpstreamError::ConnectionRefused(error_chain(&error))
            }
            _ => not_sent(&error),
        })
    }

    /// Uses a connection that another box carries.
    pub async fn use_carried(
        &self,
        stream: Box<dyn ByteStream>,
        carried: Carried,
    ) -> Result<Connection, UpstreamError> {
        handshake(stream, Some(carried)).await
    }

    fn take_idle(&self, address: &str, max_idle: Duration) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(address)?;
        while let Some(pooled) = connections.pop() {
            let in_time = pooled.until.is_none_or(|until| now < until);
            let sender = &pooled.connection.sender;
            if in_time
                && now.since(pooled.since) < max_idle
                && sender.is_ready()
                && !sender.is_closed()
            {
                return Some(pooled.connection);
            }
        }
        None
    }
}

/// Returns whether a status ends an exchange: those from 600 on are none, and after those below 200 another one follows. No
/// request asks to switch protocols.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns why there is no answer to a request that was sent.
fn lost(error: &hyper::Error, head_limit: &HeadLimit) -> UpstreamError {
    match error.is_parse() || head_limit.is_exceeded() {
        true => UpstreamError::NoAnswer(error_chain(error)),
        false => UpstreamError::Lost(error_chain(error)),
    }
}

fn not_sent(error: &dyn std::error::Error) -> UpstreamError {
    UpstreamError::NotSent(error_chain(error))
}

async fn handshake(
    stream: Box<dyn ByteStream>,
    carried: Option<Carried>,
) -> Result<Connection, UpstreamError> {
    let (stream, head_limit) = HeadLimited::new(stream);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| not_sent(&error))?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::trace!("a connection to a server ended: {}", error_chain(&error));
        }
    });
    Ok(Connection { sender, task: task.abort_handle(), used: false, carried, head_limit })
}

/// Returns until when the connection of an answer may be reused. The outer `None` means not at all, the inner one without
/// a limit.
fn keep_until(headers: &HeaderMap, now: Moment) -> Option<Option<Moment>> {
    let closes = headers.get_all(CONNECTION).iter().any(|value| {
        value.to_str().is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
    });
    if closes {
        return None;
    }
    let keep_alive = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    Some(keep_alive.and_then(stated_idle_time).map(|idle| now + idle.saturating_sub(IDLE_MARGIN)))
}

/// Parses how long a server keeps an idle connection open. A number that is too large to be meant, such as -1 as an unsigned
/// number, is taken for [`LONGEST_DURATION`].
fn stated_idle_time(keep_alive: &str) -> Option<Duration> {
    let mut words = keep_alive.split(',').map(str::trim);
    let seconds =
        words.find_map(|word| word.strip_prefix("timeout=")?.trim().parse::<u64>().ok())?;
    Some(Duration::from_secs(seconds).min(LONGEST_DURATION))
}

/// The pool to which a connection returns after its answer.
#[derive(Clone)]
struct Origin {
    idle: IdleByAddress,
    clock: Arc<dyn Clock>,
    address: String,
    keep_until: Option<Option<Moment>>,
}

/// The body of an answer. If it is dropped before its end, the connection is closed.
pub struct UpstreamBody {
    body: Incoming,
    held: Option<(Connection, Origin)>,
}

impl UpstreamBody {
    /// Returns the next piece, or `None` at the end of a complete body.
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
                    return Some(Err(UpstreamError::Lost(error_chain(&error))));
                }
                None => {
                    self.return_connection();
                    return None;
                }
            }
        }
    }

    /// Closes the connection, so the server cancels the request.
    pub fn close(&mut self) {
        self.held = None;
    }

    /// Reads the complete body of at most `limit` bytes.
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

    fn return_connection(&mut self) {
        let Some((connection, origin)) = self.held.take() else {
            return;
        };
        let Some(until) = origin.keep_until else {
            return;
        };
        let since = origin.clock.now();
        let Some(carried) = connection.carried else {
            return origin.keep(Idle { connection, since, until });
        };
        let Some(carried_until) = carried.keep_until(since) else {
            return;
        };
        let until = until.map_or(carried_until, |until| until.min(carried_until));
        let later = origin.clone();
        origin.keep(Idle { connection, since, until: Some(until) });
        tokio::spawn(async move {
            tokio::time::sleep(until.since(since)).await;
            later.close_expired();
        });
    }
}

impl Origin {
    fn keep(self, connection: Idle) {
        let mut idle = self.idle.lock();
        let connections = idle.entry(self.address).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    fn close_expired(&self) {
        let now = self.clock.now();
        if let Some(connections) = self.idle.lock().get_mut(&self.address) {
            connections.retain(|pooled| pooled.until.is_none_or(|until| now < until));
        }
    }
}
