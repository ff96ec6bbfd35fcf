//! An HTTP/1.1 and HTTP/2 server with limits, for every listener of ours.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::keep_alive;

/// How many headers a request may have: more than any client library sends.
const MAX_HEADERS: usize = 64;

/// How many bytes a request's head may have.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// How long a request's head may take to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// How many connections a listener serves at once; more wait in the backlog.
const MAX_CONNECTIONS: usize = 8_192;

/// The least size of a buffer for heads that the HTTP library takes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// What a listener bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// How many bytes a request's head may have.
    pub head_bytes: usize,
    /// How long a connection may wait for a whole head, idle time between requests included.
    pub head_timeout: Duration,
    /// How many connections are served at once; more wait in the backlog.
    pub connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: MAX_HEAD_BYTES,
            head_timeout: HEAD_TIMEOUT,
            connections: MAX_CONNECTIONS,
        }
    }
}

/// How many streams a connection may have open at once over HTTP/2.
const MAX_STREAMS: u32 = 512;

/// An error of a streamed body; it ends the connection.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Says that a connection is to be dropped without an answer. Only stand-ins do that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the connection is dropped without an answer")]
pub struct Abort;

/// Makes a body of bytes that are all there.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Makes a response with a JSON body.
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("our own types always encode");
    response(status, "application/json", bytes)
}

/// Makes a response with a body of some type.
pub fn response(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, content_type)
        .body(full(body))
        .expect("a content type of ours is a valid header")
}

/// Why a request's body was not read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadBodyError {
    /// The body is over the limit.
    #[error("the body is over the limit")]
    TooLarge,
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The connection broke.
    #[error("the body broke off: {0}")]
    Broken(String),
}

/// Reads a whole body of at most `limit` bytes within `time`.
pub async fn read_body(
    body: Incoming,
    limit: usize,
    time: Duration,
) -> Result<Bytes, ReadBodyError> {
    let collected = tokio::time::timeout(time, Limited::new(body, limit).collect()).await;
    match collected {
        Err(_) => Err(ReadBodyError::TooSlow),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ReadBodyError::TooLarge),
        Ok(Err(error)) => Err(ReadBodyError::Broken(error.to_string())),
    }
}

/// Serves `handler` on `listener` until `stop` turns true; then takes no new connection,
/// tells the open ones to close, and returns once every request in progress is answered.
pub async fn serve<H, F>(listener: TcpListener, handler: H, stop: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<Body>, Abort>> + Send + 'static,
{
    serve_with(listener, ServerLimits::default, handler, stop).await;
}

/// As [`serve`], with limits that are asked for anew for each connection.
pub async fn serve_with<L, H, F>(
    listener: TcpListener,
    limits: L,
    handler: H,
    mut stop: watch::Receiver<bool>,
) where
    L: Fn() -> ServerLimits,
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<Body>, Abort>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    // The connections belong to this task, so that they end with it if it is aborted.
    let mut connections = JoinSet::new();
    loop {
        let has_slot = connections.len() < limits().connections;
        let accepted = tokio::select! {
            accepted = listener.accept(), if has_slot => accepted,
            Some(_) = connections.join_next() => continue,
            () = stopped(&mut stop) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let watcher = graceful.watcher();
                connections.spawn(serve_connection(stream, limits(), handler.clone(), watcher));
            }
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                // The usual cause is a lack of file descriptors, which passes.
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Waits until `stop` turns true or its sender is gone.
pub async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

/// Serves one connection to its end.
async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: ServerLimits,
    handler: H,
    watcher: hyper_util::server::graceful::Watcher,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<Body>, Abort>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    keep_alive::watch(&stream);
    let service = service_fn(handler);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
        .max_headers(MAX_HEADERS);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.head_bytes as u32)
        .max_concurrent_streams(MAX_STREAMS);
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    if let Err(error) = watcher.watch(connection).await {
        log::debug!("a connection ended early: {error}");
    }
}
