//! Connections to servers that another box opens and carries.
//!
//! A tunnel is a stream of an HTTP/2 connection between two boxes. Its request body carries what is written to the
//! server, its response body what the server sends. The response ends as complete only if the server closed its
//! connection; if the other box or the link to it fails, reading returns an error. An answer without a length that was
//! cut short would otherwise look complete.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::TryStreamExt;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use parking_lot::Mutex;
use thiserror::Error;
use tokio::io::{AsyncWriteExt, DuplexStream, duplex};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio_util::io::{ReaderStream, StreamReader};

use crate::connect::ByteStream;
use crate::http_client::error_chain;
use crate::http_server::{Body, BodyError};
use crate::keep_alive;

/// The maximum number of bytes of a stream that were sent but not read, in each direction.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// The maximum number of such bytes over all streams of a connection.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

/// The maximum number of boxes to which connections are kept.
const MAX_BOXES: usize = 16;

/// Why a tunnel did not open. Nothing was sent to the server.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum TunnelError {
    /// The other box was not reached, or did not answer in time.
    #[error("the box did not answer: {0}")]
    Unreachable(String),
    /// The other box refused.
    #[error("the box answered with status {status}")]
    Refused {
        /// The status of its answer.
        status: StatusCode,
        /// The headers of its answer.
        headers: HeaderMap,
    },
}

type UploadBody = UnsyncBoxBody<Bytes, io::Error>;

/// A connection to another box, which is closed when the last tunnel and the client have dropped it.
struct BoxConnection {
    sender: SendRequest<UploadBody>,
    task: AbortHandle,
}

impl Drop for BoxConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens tunnels through other boxes.
#[derive(Default)]
pub struct TunnelClient {
    connections: Mutex<HashMap<SocketAddr, Arc<BoxConnection>>>,
}

impl TunnelClient {
    /// Opens a tunnel through the box at `address`; `path` names the server.
    pub async fn open(
        &self,
        address: SocketAddr,
        path: &str,
        headers: HeaderMap,
        time: Duration,
    ) -> Result<Box<dyn ByteStream>, TunnelError> {
        let opened = timeout(time, self.request(address, path, headers)).await;
        let opened = opened.unwrap_or_else(|_| Err(TunnelError::Unreachable("no answer".into())));
        if let Err(TunnelError::Unreachable(_)) = &opened {
            self.connections.lock().remove(&address);
        }
        opened
    }

    /// Closes the connections that carry no tunnel.
    pub fn close_idle(&self) {
        let mut connections = self.connections.lock();
        connections.retain(|_, connection| Arc::strong_count(connection) > 1);
    }

    async fn request(
        &self,
        address: SocketAddr,
        path: &str,
        headers: HeaderMap,
    ) -> Result<Box<dyn ByteStream>, TunnelError> {
        let connection = self.connection(address).await?;
        let (writer, body) = upload();
        let mut request = Request::new(body);
        *request.method_mut() = Method::POST;
        *request.uri_mut() = format!("http://{address}{path}").parse().map_err(unreachable)?;
        *request.headers_mut() = headers;
        let mut sender = connection.sender.clone();
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| TunnelError::Unreachable(error_chain(&error)))?;
        let (head, body) = response.into_parts();
        if head.status != StatusCode::OK {
            let (status, headers) = (head.status, head.headers);
            return Err(TunnelError::Refused { status, headers });
        }
        let tunnel = Tunnel { _connection: connection, body: Box::pin(download(body)), writer };
        Ok(Box::new(tunnel))
    }

    /// Returns the connection to a box, and opens it if there is none.
    async fn connection(&self, address: SocketAddr) -> Result<Arc<BoxConnection>, TunnelError> {
        let open = self.connections.lock().get(&address).cloned();
        if let Some(connection) = open.filter(|connection| !connection.sender.is_closed()) {
            return Ok(connection);
        }
        let connection = Arc::new(connect(address).await?);
        let mut connections = self.connections.lock();
        if connections.len() >= MAX_BOXES {
            connections.clear();
        }
        connections.insert(address, connection.clone());
        Ok(connection)
    }
}

fn unreachable(error: impl std::fmt::Display) -> TunnelError {
    TunnelError::Unreachable(error.to_string())
}

async fn connect(address: SocketAddr) -> Result<BoxConnection, TunnelError> {
    let stream = TcpStream::connect(address).await.map_err(unreachable)?;
    let _ = stream.set_nodelay(true);
    keep_alive::enable(&stream);
    let handshake = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(unreachable)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::trace!("a connection to a box ended: {}", error_chain(&error));
        }
    });
    Ok(BoxConnection { sender, task: task.abort_handle() })
}

/// Returns a writer, and the body that carries what is written to it.
fn upload() -> (DuplexStream, UploadBody) {
    let (writer, source) = duplex(STREAM_WINDOW_BYTES as usize);
    let frames = ReaderStream::new(source).map_ok(Frame::data);
    (writer, StreamBody::new(frames).boxed_unsync())
}

/// Returns a reader of a response's body.
fn download(body: Incoming) -> impl tokio::io::AsyncRead + Send {
    StreamReader::new(body.into_data_stream().map_err(io::Error::other))
}

/// A connection to a server through another box.
struct Tunnel<R> {
    _connection: Arc<BoxConnection>,
    body: std::pin::Pin<Box<R>>,
    writer: DuplexStream,
}

mod bytes_of_tunnel {
    //! The bytes of a tunnel in both directions.

    use std::io;
    use std::pin::Pin;
    use std::task::{Context, Poll};

    use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

    use super::Tunnel;

    impl<R: AsyncRead> AsyncRead for Tunnel<R> {
        fn poll_read(
            mut self: Pin<&mut Self>,
            context: &mut Context<'_>,
            buffer: &mut ReadBuf<'_>,
        ) -> Poll<io::Result<()>> {
            self.body.as_mut().poll_read(context, buffer)
        }
    }

    impl<R> AsyncWrite for Tunnel<R> {
        fn poll_write(
            mut self: Pin<&mut Self>,
            context: &mut Context<'_>,
            bytes: &[u8],
        ) -> Poll<io::Result<usize>> {
            Pin::new(&mut self.writer).poll_write(context, bytes)
        }

        fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
            Pin::new(&mut self.writer).poll_flush(context)
        }

        fn poll_shutdown(
            mut self: Pin<&mut Self>,
            context: &mut Context<'_>,
        ) -> Poll<io::Result<()>> {
            Pin::new(&mut self.writer).poll_shutdown(context)
        }
    }
}

/// Carries a connection to a server for another box: returns the response, whose body is what the server sends, and
/// writes the request's body to the server. `guard` is dropped when the tunnel ends.
pub fn carry<G: Send + 'static>(
    server: Box<dyn ByteStream>,
    upload: Incoming,
    guard: G,
) -> Response<Body> {
    let (reader, mut writer) = tokio::io::split(server);
    tokio::spawn(async move {
        let source = upload.into_data_stream().map_err(io::Error::other);
        let mut source = StreamReader::new(source);
        // The other box only ends its side when it gives up the connection.
        let copied = tokio::io::copy(&mut source, &mut writer).await;
        let closed = writer.shutdown().await;
        if let Err(error) = copied.and(closed) {
            log::trace!("a tunnel ended early: {error}");
        }
    });
    let frames = ReaderStream::new(reader).map_ok(move |bytes| {
        let _held = &guard;
        Frame::data(bytes)
    });
    Response::new(StreamBody::new(frames.map_err(BodyError::from)).boxed_unsync())
}
