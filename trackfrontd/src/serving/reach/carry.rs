//! Carries connections to servers for boxes that cannot reach them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::header::HeaderName;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::Notify;
use tokio::time::timeout;
use trackfront_adapters::connect::ByteStream;
use trackfront_adapters::http_server::{Body, response};
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_adapters::tunnel;
use trackfront_adapters::upstream::UpstreamError;
use trackfront_core::ids::BackendId;
use trackfront_core::serving::directory::{KnownServer, ServerEntry};
use trackfront_core::units::Moment;

use super::{open_bytes_direct, reaches_another};
use crate::serving::node::ServingNode;
use crate::serving::short_names::short_server;

/// The path of a connection to a server, followed by the server's short name.
const PATH: &str = "/tunnel/1/";

/// The header with the request for which a connection is carried.
pub(super) const REQUEST_HEADER: HeaderName = HeaderName::from_static("request");

/// The header of a refusal with the address of a box that carries connections.
pub(super) const WORKING_BOX_HEADER: HeaderName = HeaderName::from_static("working-box");

/// The timeout for opening the connection to the server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The delay after which a box that opens a connection for another tries other servers as well.
const CONTROL_DELAY: Duration = Duration::from_millis(40);

/// Carried connections may use one in this many file descriptors, so that a box's own clients have room.
const DESCRIPTOR_DIVISOR: usize = 10;

/// The number of connections that this box carries.
#[derive(Default)]
pub struct CarriedConnections {
    count: AtomicUsize,
    one_ended: Notify,
}

impl CarriedConnections {
    /// Waits until no connection is carried.
    pub async fn all_ended(&self) {
        loop {
            let ended = self.one_ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            if self.count.load(Ordering::Relaxed) == 0 {
                return;
            }
            ended.await;
        }
    }
}

/// A carried connection, from the moment at which it is asked for.
struct CarriedConnection {
    node: Arc<ServingNode>,
    request: String,
    server: BackendId,
    began: Moment,
    is_open: bool,
}

impl CarriedConnection {
    /// Counts a connection; returns `None` if the box carries as many as it may.
    fn begin(node: &Arc<ServingNode>, request: &str, server: &BackendId) -> Option<Self> {
        let most = node.settings.load().resources.file_descriptors / DESCRIPTOR_DIVISOR;
        let count = &node.carried.count;
        let is_below = |count: usize| (count < most).then_some(count + 1);
        count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, is_below).ok()?;
        let (request, server, began) = (request.to_owned(), server.clone(), node.now());
        Some(Self { node: node.clone(), request, server, began, is_open: false })
    }
}

impl Drop for CarriedConnection {
    fn drop(&mut self) {
        self.node.carried.count.fetch_sub(1, Ordering::Relaxed);
        self.node.carried.one_ended.notify_waiters();
        if self.is_open {
            let ms = self.node.now().since(self.began).as_millis() as u64;
            let request = &self.request;
            log::info!(request, server:% = self.server, ms; "carried connection ended");
        }
    }
}

/// Returns the path of a connection to a server.
pub(super) fn path(server: &BackendId) -> String {
    format!("{PATH}{}", short_server(server))
}

/// Why a connection is not carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    /// This box reaches no server itself, or is stopping.
    Unable,
    /// This box does not know the server, or sends it nothing any more.
    NotUsed,
    /// This box carries as many connections as it may.
    Busy,
    /// The server refuses connections.
    ServerRefuses,
    /// The server did not answer in time.
    ServerSilent,
}

impl Refusal {
    fn name(self) -> &'static str {
        match self {
            Refusal::Unable => "unable",
            Refusal::NotUsed => "not_used",
            Refusal::Busy => "busy",
            Refusal::ServerRefuses => "server_refuses",
            Refusal::ServerSilent => "server_silent",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Refusal::Unable => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::NotUsed => StatusCode::CONFLICT,
            Refusal::Busy => StatusCode::TOO_MANY_REQUESTS,
            Refusal::ServerRefuses => StatusCode::BAD_GATEWAY,
            Refusal::ServerSilent => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Returns whether a request asks this box to carry a connection.
pub fn is_asked(request: &Request<Incoming>) -> bool {
    request.method() == Method::POST && request.uri().path().starts_with(PATH)
}

/// Opens and carries a connection to a server for another box.
pub async fn handle_request(node: Arc<ServingNode>, request: Request<Incoming>) -> Response<Body> {
    let id = request.headers().get(REQUEST_HEADER).and_then(|id| id.to_str().ok());
    let id = id.unwrap_or_default().to_owned();
    let (kind, answer) = match carry(&node, &id, request).await {
        Ok(answer) => ("carried", answer),
        Err(refusal) => {
            let (request, cause) = (&id, refusal.name());
            log::info!(request, cause; "connection not carried for another box");
            (refusal.name(), refuse(&node, refusal))
        }
    };
    node.metrics.carried.get_or_create(&KindLabel { kind }).inc();
    answer
}

async fn carry(
    node: &Arc<ServingNode>,
    id: &str,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    if node.is_stopping() || node.is_failing() {
        return Err(Refusal::Unable);
    }
    let server = named_server(node, request.uri().path()).ok_or(Refusal::NotUsed)?;
    if !may_be_sent_to(node, &server) {
        return Err(Refusal::NotUsed);
    }
    let entry = &server.entry;
    let mut guard = CarriedConnection::begin(node, id, &entry.id).ok_or(Refusal::Busy)?;
    let stream = open_vouched(node, entry).await?;
    guard.is_open = true;
    log::info!(request = id, server:% = entry.id; "connection carried for another box");
    Ok(tunnel::carry(stream, request.into_body(), guard))
}

/// Opens a connection to a server. What this box says of a server that it does not reach counts only if it reaches
/// another one; otherwise its own links may be at fault.
async fn open_vouched(
    node: &ServingNode,
    server: &ServerEntry,
) -> Result<Box<dyn ByteStream>, Refusal> {
    let opening = open_bytes_direct(node, server, CONNECT_TIMEOUT);
    tokio::pin!(opening);
    let (result, reaches_another) = match timeout(CONTROL_DELAY, &mut opening).await {
        Ok(Ok(stream)) => return Ok(stream),
        Ok(result) => (result, reaches_another(node, &server.id).await),
        Err(_) => tokio::join!(opening, reaches_another(node, &server.id)),
    };
    match result {
        Ok(stream) => Ok(stream),
        Err(_) if !reaches_another => Err(Refusal::Unable),
        Err(UpstreamError::ConnectionRefused(_)) => Err(Refusal::ServerRefuses),
        Err(_) => Err(Refusal::ServerSilent),
    }
}

fn named_server(node: &ServingNode, path: &str) -> Option<Arc<KnownServer>> {
    let short: u32 = path.strip_prefix(PATH)?.parse().ok()?;
    let id = node.names.lock().server(short)?.clone();
    node.directory.lock().get(&id).cloned()
}

/// Returns whether this box would send the server a request itself: what it knows of the server may be newer than what
/// the other box knows, and to the server its requests are this box's.
fn may_be_sent_to(node: &ServingNode, server: &KnownServer) -> bool {
    let now = node.now();
    let is_evacuated = node.evacuations.lock().is_evacuated(&server.entry.hall);
    let backs_off = node.notices.lock().backoff_until(&server.entry.id, now).is_some();
    let is_leaving = !node.accepts_new(server);
    !is_evacuated && !backs_off && !is_leaving
}

fn refuse(node: &ServingNode, refusal: Refusal) -> Response<Body> {
    let mut answer = response(refusal.status(), "text/plain", refusal.name());
    let working = node.relays.lock().working(node.now());
    if let Some(ip) = working.and_then(|ip| ip.to_string().parse().ok()) {
        answer.headers_mut().insert(WORKING_BOX_HEADER, ip);
    }
    answer
}
