//! The listeners of a serving box: client requests, readiness checks of the load balancer, and
//! metrics, snapshots and operators' calls.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use trackfront_adapters::http_server::{Body, ServerLimits, response, serve, serve_with};
use trackfront_adapters::metrics::CONTENT_TYPE;

use super::log_queue::LogQueue;
use super::node::ServingNode;
use super::pipeline;
use super::reach::carry;
use super::{crashes, exchange, overload};

/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Clients' connections may use two in this many file descriptors; each connection may need another
/// one to a server.
const CLIENT_DESCRIPTOR_DIVISOR: usize = 5;

/// Binds a listener, also to an address that an earlier process has just released.
pub fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = TcpSocket::new_v4()
        .context("cannot create a socket; raise the limit of file descriptors")?;
    socket.set_reuseaddr(true)?;
    let remedy = || format!("cannot listen on {address}; free it or change `listen`");
    socket.bind(address).with_context(remedy)?;
    socket.listen(BACKLOG).with_context(remedy)
}

/// Serves clients until `stop` turns true and all requests in progress are answered.
pub async fn serve_clients(
    node: Arc<ServingNode>,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) {
    let owner = node.clone();
    let limits = move || client_limits(&owner);
    let admit = overload::admit(node.clone());
    let handler = move |request| pipeline::answer(node.clone(), request);
    serve_with(listener, limits, admit, handler, stop).await;
}

/// Returns the limits for clients by the configuration in force.
fn client_limits(node: &ServingNode) -> ServerLimits {
    let descriptors = node.settings.load().resources.file_descriptors;
    let connections = (descriptors / CLIENT_DESCRIPTOR_DIVISOR * 2).max(16);
    let base = ServerLimits { connections, ..ServerLimits::default() };
    match node.config.load().as_ref().map(|config| config.limits) {
        None => base,
        Some(limits) => ServerLimits {
            head_bytes: limits.max_head_bytes,
            // A single timeout bounds both a slow head and an idle connection: the longer of the
            // two.
            head_timeout: limits.idle_timeout.max(limits.head_timeout),
            ..base
        },
    }
}

/// Serves the readiness check: whether this box takes new connections.
pub async fn serve_readiness(
    node: Arc<ServingNode>,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) {
    let handler = move |_: Request<Incoming>| {
        let status = match node.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { Ok(response(status, "text/plain", "")) }
    };
    serve(listener, handler, stop).await;
}

/// Serves snapshots, trials of quarantined requests and connections to servers for other boxes,
/// operators' calls about quarantined requests, and the metrics on any other path.
pub async fn serve_boxes(
    node: Arc<ServingNode>,
    log_queue: LogQueue,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) {
    let handler = move |request: Request<Incoming>| {
        let (node, log_queue) = (node.clone(), log_queue.clone());
        async move {
            if carry::is_asked(&request) {
                return Ok(carry::handle_request(node, request).await);
            }
            let (method, path) = (request.method(), request.uri().path());
            if let Some(answer) = exchange::handle_request(&node, path) {
                return Ok(answer);
            }
            if let Some(answer) = crashes::trials::answer(&node, path).await {
                return Ok(answer);
            }
            let answer = crashes::operators::answer(&node, method, path).await;
            Ok(answer.unwrap_or_else(|| metrics_text(&node, &log_queue)))
        }
    };
    serve(listener, handler, stop).await;
}

fn metrics_text(node: &ServingNode, log_queue: &LogQueue) -> Response<Body> {
    let counts = node.pool.counts();
    let metrics = &node.metrics;
    metrics.dropped_lines.set(log_queue.dropped() as i64);
    metrics.held_bytes.set(node.memory.held() as i64);
    metrics.connections_opened.set(counts.opened as i64);
    metrics.connections_reused.set(counts.reused as i64);
    metrics.nodes.set(node.peers.lock().alive(node.now()).len() as i64 + 1);
    response(StatusCode::OK, CONTENT_TYPE, metrics.encode())
}
