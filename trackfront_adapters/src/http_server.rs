//! An HTTP/1.1 and HTTP/2 server with limits, for all listeners.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::header::{self, HeaderValue};
use http::{Request, Response, StatusCode, Version};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::{Body as _, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use trackfront_core::serving::memory_budget::Reservation;

use crate::keep_alive;
use crate::open_connections::{OpenConnection, OpenConnections};
use crate::resettable::{OpenEnd, ResettableStream};

/// The maximum number of headers of a request, more than any client library sends.
const MAX_HEADERS: usize = 64;

/// The default maximum size of a request's head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The default timeout for the arrival of a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The default maximum number of concurrent connections. More wait in the backlog.
const MAX_CONNECTIONS: usize = 8_192;

/// One in this many connections is kept free for new ones, by closing those that have rested longest.
const FREE_DIVISOR: usize = 16;

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

/// Decides whether a new connection is served. If not, it is reset before anything is read.
pub type Admit = Arc<dyn Fn() -> bool + Send + Sync>;

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

/// Makes a response state neither a length nor chunks, so that its body ends with the connection: for a body of which
/// nobody knows whether it is complete. If it is known to have broken off, the connection is reset.
pub fn end_with_connection(response: Response<Body>) -> Response<Body> {
    let (mut head, mut body) = response.into_parts();
    head.headers.remove(header::CONTENT_LENGTH);
    head.headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    // For this version the HTTP library writes no chunks.
    head.version = Version::HTTP_10;
    // A stream, unlike a body of known size, gets no length.
    let frames = stream::poll_fn(move |context| Pin::new(&mut body).poll_frame(context));
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
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
        Ok(Err(error)) => Err(read_error(error)),
    }
}

/// Reads a complete body as [`read_body`] does, if there is room for it in `held`; `None` if not. What finds no room is
/// read to its end and dropped, since few clients read an answer before they have sent their body.
pub async fn read_body_into(
    body: Incoming,
    limit: usize,
    time: Duration,
    held: &mut Reservation,
) -> Result<Option<Bytes>, ReadBodyError> {
    let reading = async {
        let mut body = Limited::new(body, limit);
        let stated = body.size_hint().exact().map_or(0, |length| length as usize);
        if stated > limit {
            return Err(ReadBodyError::TooLarge);
        }
        if !held.try_grow(stated) {
            drop_rest(body).await?;
            return Ok(None);
        }
        let mut whole = BytesMut::with_capacity(stated);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(read_error)?.into_data() else { continue };
            let more = (whole.len() + data.len()).saturating_sub(held.bytes());
            if !held.try_grow(more) {
                drop(whole);
                drop_rest(body).await?;
                return Ok(None);
            }
            whole.extend_from_slice(&data);
        }
        Ok(Some(whole.freeze()))
    };
    tokio::time::timeout(time, reading).await.unwrap_or(Err(ReadBodyError::TooSlow))
}

/// Reads and drops what is left of a body that there is no room for.
async fn drop_rest(mut body: Limited<Incoming>) -> Result<(), ReadBodyError> {
    while let Some(frame) = body.frame().await {
        frame.map_err(read_error)?;
    }
    Ok(())
}

fn read_error(error: BodyError) -> ReadBodyError {
    match error.is::<LengthLimitError>() {
        true => ReadBodyError::TooLarge,
        false => ReadBodyError::Broken(error.to_string()),
    }
}

/// Serves `handler` on `listener` until `stop` is true. Then accepts no new connections, closes the open
/// ones gracefully, and returns when every request in progress is answered.
pub async fn serve<H, F>(listener: TcpListener, handler: H, stop: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<Body>, Abort>> + Send + 'static,
{
    serve_with(listener, ServerLimits::default, Arc::new(|| true), handler, stop).await;
}

/// Like [`serve`], with limits that are evaluated for each connection, of which `admit` refuses some.
pub async fn serve_with<L, H, F>(
    listener: TcpListener,
    limits: L,
    admit: Admit,
    handler: H,
    mut stop: watch::Receiver<bool>,
) where
    L: Fn() -> ServerLimits,
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<Body>, Abort>> + Send + 'static,
{
    let open = OpenConnections::default();
    // The connections belong to this task, so they are closed if it is aborted.
    let mut connections = JoinSet::new();
    loop {
        let most = limits().connections;
        let has_slot = connections.len() < most;
        if connections.len() >= most - most / FREE_DIVISOR {
            open.close_longest_resting();
        }
        let accepted = tokio::select! {
            accepted = listener.accept(), if has_slot => accepted,
            Some(_) = connections.join_next() => continue,
            () = stopped(&mut stop) => break,
        };
        match accepted {
            Ok((stream, _)) if !admit() => reset(stream),
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, limits(), handler.clone(), open.add()));
            }
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                // The usual cause is a temporary lack of file descriptors.
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    drop(listener);
    open.close_all();
    while connections.join_next().await.is_some() {}
}

/// Resets a connection before anything is read from it.
fn reset(stream: TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::debug!("a connection is closed rather than reset: {error}");
    }
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
    open: OpenConnection,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<Body>, Abort>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    keep_alive::enable(&stream);
    let stream = ResettableStream::new(stream);
    let open_end = stream.open_end();
    let requests = open.requests();
    let service = service_fn(move |request: Request<Incoming>| {
        let (version, open_end) = (request.version(), open_end.clone());
        let open_request = requests.begin();
        let answering = handler(request);
        async move {
            let response = reset_unless_ended(answering.await?, version, open_end);
            Ok::<_, Abort>(open_request.until_written(response))
        }
    });
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
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = open.close_asked() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("a connection ended early: {error}");
    }
}

/// Makes any end of the connection a reset until the body has ended well, if the body ends with the connection: it would look
/// complete otherwise, whether it breaks off or the process ends.
fn reset_unless_ended(
    response: Response<Body>,
    version: Version,
    open_end: OpenEnd,
) -> Response<Body> {
    let may_end_with_connection = [version, response.version()].contains(&Version::HTTP_10);
    let has_length = response.headers().contains_key(header::CONTENT_LENGTH)
        || response.body().size_hint().exact().is_some();
    // Nobody asks for the end of a body whose length is known.
    if !may_end_with_connection || has_length {
        return response;
    }
    open_end.begin();
    response.map(|mut body| {
        let frames = stream::poll_fn(move |context| {
            let polled = Pin::new(&mut body).poll_frame(context);
            match polled {
                Poll::Ready(Some(Err(cause))) => Poll::Ready(Some(Err(open_end.break_off(cause)))),
                Poll::Ready(None) => {
                    open_end.end();
                    Poll::Ready(None)
                }
                other => other,
            }
        });
        StreamBody::new(frames).boxed_unsync()
    })
}
