//! Messages between entry boxes, encoded with `bincode` and sent over HTTP/2.

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use h2::client::SendRequest;
use h2::{RecvStream, SendStream};
use http::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;
use trackfront_core::ports::peers::{PeerAnswer, PeerMessage};
use trackfront_core::ports::{PeerError, Peers};

use crate::http_client::{MAX_PAUSE, transfer_time};
use crate::http_server::stopped;
use crate::keep_alive;
use crate::key::DeploymentKey;

/// The path of all requests, which has to change with the message format.
const PATH: &str = "/peer/2";

/// The timeout for an answer, in addition to the transfer time of the message.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum size of a message in bytes, sufficient for the snapshot of a tree.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Connections to the other boxes, one for each.
pub struct H2Peers {
    key: DeploymentKey,
    connections: Mutex<HashMap<String, SendRequest<Bytes>>>,
}

impl H2Peers {
    /// Creates a client that authenticates with `key`.
    pub fn new(key: DeploymentKey) -> Self {
        Self { key, connections: Mutex::default() }
    }

    /// Returns the connection to `address`, which is opened if needed.
    async fn connection(&self, address: &str) -> Result<SendRequest<Bytes>, PeerError> {
        let open = self.connections.lock().get(address).cloned();
        if let Some(link) = open
            && let Ok(link) = link.ready().await
        {
            return Ok(link);
        }
        let stream = TcpStream::connect(address).await.map_err(unavailable)?;
        let _ = stream.set_nodelay(true);
        keep_alive::enable(&stream);
        let (link, connection) = h2::client::handshake(stream).await.map_err(unavailable)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("a peer link ended: {error}");
            }
        });
        let link = link.ready().await.map_err(unavailable)?;
        self.connections.lock().insert(address.to_string(), link.clone());
        Ok(link)
    }

    async fn exchange(
        &self,
        address: &str,
        message: &PeerMessage,
    ) -> Result<PeerAnswer, PeerError> {
        let message = encode(message);
        let time = ANSWER_TIMEOUT + transfer_time(message.len());
        let response = timeout(time, self.send(address, message)).await;
        let response = response.unwrap_or_else(|_| Err(unavailable("no answer in time")))?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::UNAUTHORIZED => return Err(PeerError::Refused),
            status => return Err(PeerError::BadAnswer(format!("status {status}"))),
        }
        let bytes = read_all(response.into_body()).await.map_err(unavailable)?;
        decode(&bytes).map_err(PeerError::BadAnswer)
    }

    /// Sends a message and waits for the head of the answer.
    async fn send(&self, address: &str, message: Bytes) -> Result<Response<RecvStream>, PeerError> {
        let mut link = self.connection(address).await?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{PATH}"))
            .header(http::header::AUTHORIZATION, self.key.authorization())
            .body(())
            .map_err(unavailable)?;
        let (response, mut body) = link.send_request(request, false).map_err(unavailable)?;
        send_all(&mut body, message).await.map_err(unavailable)?;
        response.await.map_err(unavailable)
    }
}

#[async_trait]
impl Peers for H2Peers {
    async fn ask(&self, address: &str, message: PeerMessage) -> Result<PeerAnswer, PeerError> {
        let answer = self.exchange(address, &message).await;
        if matches!(answer, Err(PeerError::Unavailable(_))) {
            self.connections.lock().remove(address);
        }
        answer
    }
}

/// Answers peers on `listener` with `handler` until `stop` is true.
pub async fn serve_peers<H, F>(
    listener: TcpListener,
    key: DeploymentKey,
    handler: H,
    mut stop: watch::Receiver<bool>,
) where
    H: Fn(PeerMessage) -> F + Send + Sync + 'static,
    F: Future<Output = PeerAnswer> + Send + 'static,
{
    let handler = Arc::new(handler);
    // The connections belong to this task, so they are closed if it is aborted.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            () = stopped(&mut stop) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(
                    stream,
                    key.clone(),
                    handler.clone(),
                    stop.clone(),
                ));
            }
            Err(error) => {
                log::warn!("a peer link could not be accepted: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Answers a peer until the connection is closed.
async fn serve_connection<H, F>(
    stream: TcpStream,
    key: DeploymentKey,
    handler: Arc<H>,
    mut stop: watch::Receiver<bool>,
) where
    H: Fn(PeerMessage) -> F + Send + Sync + 'static,
    F: Future<Output = PeerAnswer> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    keep_alive::enable(&stream);
    let Ok(mut connection) = h2::server::handshake(stream).await else {
        return;
    };
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = stopped(&mut stop) => {
                connection.graceful_shutdown();
                // Streams in progress are only answered while the connection is polled.
                while connection.accept().await.is_some() {}
                return;
            },
        };
        let Some(Ok((request, respond))) = accepted else {
            return;
        };
        let (key, handler) = (key.clone(), handler.clone());
        tokio::spawn(async move {
            if let Err(error) = answer(request, respond, &key, handler.as_ref()).await {
                log::debug!("a peer was not answered: {error}");
            }
        });
    }
}

/// Answers a message.
async fn answer<H, F>(
    request: Request<RecvStream>,
    mut respond: h2::server::SendResponse<Bytes>,
    key: &DeploymentKey,
    handler: &H,
) -> Result<(), h2::Error>
where
    H: Fn(PeerMessage) -> F,
    F: Future<Output = PeerAnswer>,
{
    if !key.authenticates(request.headers()) {
        log::warn!("a peer showed a wrong key or none and was refused");
        return refuse(&mut respond, StatusCode::UNAUTHORIZED);
    }
    if request.uri().path() != PATH {
        return refuse(&mut respond, StatusCode::NOT_FOUND);
    }
    let bytes = read_all(request.into_body()).await?;
    let message = match decode(&bytes) {
        Ok(message) => message,
        Err(error) => {
            log::warn!("a peer's message does not decode: {error}");
            return refuse(&mut respond, StatusCode::BAD_REQUEST);
        }
    };
    let answer = encode(&handler(message).await);
    let mut body = respond.send_response(Response::new(()), false)?;
    send_all(&mut body, answer).await
}

fn refuse(
    respond: &mut h2::server::SendResponse<Bytes>,
    status: StatusCode,
) -> Result<(), h2::Error> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    respond.send_response(response, true).map(|_| ())
}

/// Sends a body as the flow control window of the peer allows.
async fn send_all(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), h2::Error> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let granted = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
        let granted = granted.transpose()?.unwrap_or(0);
        if granted == 0 {
            return Err(h2::Reason::CANCEL.into());
        }
        stream.send_data(bytes.split_to(granted.min(bytes.len())), false)?;
    }
    stream.send_data(Bytes::new(), true)
}

/// Reads a body of at most [`MAX_MESSAGE_BYTES`] without pauses longer than [`MAX_PAUSE`].
async fn read_all(mut stream: RecvStream) -> Result<Bytes, h2::Error> {
    let mut bytes = BytesMut::new();
    let next = async |stream: &mut RecvStream| {
        timeout(MAX_PAUSE, stream.data()).await.map_err(|_| h2::Error::from(h2::Reason::CANCEL))
    };
    while let Some(chunk) = next(&mut stream).await? {
        let chunk = chunk?;
        if bytes.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return Err(h2::Reason::ENHANCE_YOUR_CALM.into());
        }
        stream.flow_control().release_capacity(chunk.len())?;
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes.freeze())
}

/// Returns the encoded size of a message in bytes, without HTTP/2 frames.
pub fn encoded_len(value: &impl Serialize) -> usize {
    encode(value).len()
}

fn encode(value: &impl Serialize) -> Bytes {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("our own types always encode")
        .into()
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    bincode::serde::decode_from_slice(bytes, config)
        .map(|(value, _)| value)
        .map_err(|error| error.to_string())
}

fn unavailable(error: impl ToString) -> PeerError {
    PeerError::Unavailable(error.to_string())
}
