//! An HTTP/1.1 and HTTP/2 server with limits, for all listeners.

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

/// The maximum number of headers of a request, more than any client library sends.
const MAX_HEADERS: usize = 64;

/// The default maximum size of a request's head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The default timeout for the arrival of a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The default maximum number of concurrent connections. More wait in the backlog.
const MAX_CONNECTIONS: usize = 8_192;

/// The minimum size of the buffer for heads in the HTTP library.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// The limits of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// The default maximum size of a request's head in bytes.
    pub head_bytes: usize,
    /// The timeout for the arrival of a complete head, including idle time between requests.
    pub head_timeout: Duration,
    /// The maximum number of concurrent connections. More wait in the backlog.
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

/// The maximum number of concurrent streams of an HTTP/2 connection.
const MAX_STREAMS: u32 = 512;

/// An error of a streamed body, which closes the connection.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Closes the connection without an answer. Only used by stand-ins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the connection is dropped without an answer")]
pub struct Abort;

/// Returns a body with the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("our own types always encode");
    response(status, "application/json", bytes)
}

/// Returns a response with a body of a content type.
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
    /// The body exceeds the limit.
    #[error("the body is over the limit")]
    TooLarge,
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The connection was lost.
    #[error("the body broke off: {0}")]
    Broken(String),
}

/// Reads a complete body of at most `limit` bytes within `time`.
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

/// Serves `handler` on `listener` until `stop` is true. Then accepts no new connections, closes the open
/// ones gracefully, and returns when every request in progress is answered.
pub async fn serve<H, F>(listener: TcpListener, handler: H, stop: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<Body>, Abort>> + Send + 'static,
{
    serve_with(listener, ServerLimits::default, handler, stop).await;
}

/// Like [`serve`], with limits that are evaluated for each connection.
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
    // The connections belong to this task, so they are closed if it is aborted.
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
                // The usual cause is a temporary lack of file descriptors.
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Waits until `stop` is true or its sender is dropped.
pub async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

/// Serves a connection until it is closed.
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
    keep_alive::enable(&stream);
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
