//! Requests permits for servers that named a limit from the limits' coordinators, and answers the
//! requests of other boxes.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};
use trackfront_core::ids::BackendId;
use trackfront_core::quota::BoxId;
use trackfront_core::serving::permits::{
    Coordinator, Permit, PermitAnswer, PermitGates, PermitIssuer, coordinator_rate,
};
use trackfront_core::units::Moment;

use super::messages::{Message, PermitReply, PermitRequest};
use super::node::ServingNode;
use super::peer_socket::PeerSocket;
use super::quota::box_id;
use super::short_names::short_server;

/// The timeout for a coordinator's reply. A box that used up its share of a processor is paused
/// for up to a tenth of a second.
const REPLY_TIMEOUT: Duration = Duration::from_millis(120);

/// The permits for servers that named a limit, as one box issues and requests them.
pub struct ServerPermits {
    issuer: Mutex<PermitIssuer>,
    /// When this box may request permits.
    pub gates: Mutex<PermitGates>,
    pending: Mutex<HashMap<u32, oneshot::Sender<PermitAnswer>>>,
    last_number: AtomicU32,
    outgoing: Mutex<Vec<(Ipv4Addr, PermitRequest)>>,
    wake: Notify,
}

impl ServerPermits {
    /// Creates the state of a box that has requested no permits. Requests are numbered from
    /// `number`, which should differ between starts of the box.
    pub fn new(number: u32) -> Self {
        Self {
            issuer: Mutex::default(),
            gates: Mutex::default(),
            pending: Mutex::default(),
            last_number: AtomicU32::new(number),
            outgoing: Mutex::default(),
            wake: Notify::new(),
        }
    }
}

/// No permit for a server became available in time.
#[derive(Clone, Copy, Debug)]
pub struct NoPermit {
    /// The limit that the server named, in requests per second.
    pub per_s: f64,
}

/// A pending request, removed from the table when this is dropped.
struct PendingRequest<'a> {
    permits: &'a ServerPermits,
    number: u32,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.permits.pending.lock().remove(&self.number);
    }
}

/// Acquires a permit for a server if it named a limit. Fails if none becomes valid within
/// `max_wait`; no requests go to the server for a while then.
pub async fn acquire(
    node: &ServingNode,
    server: &BackendId,
    max_wait: Duration,
) -> Result<Option<Permit>, NoPermit> {
    let Some(per_s) = node.notices.lock().limit_per_s(server) else {
        return Ok(None);
    };
    let from = request(node, server, per_s, max_wait).await;
    from.map(|from| Some(Permit { from })).ok_or(NoPermit { per_s })
}

/// Waits until a permit may be used.
pub async fn wait_until_valid(node: &ServingNode, permit: Permit) {
    sleep(permit.from.since(node.now())).await;
}

/// Requests a permit for a server with a limit of `per_s` requests per second. Returns the time at
/// which the permit becomes valid.
async fn request(
    node: &ServingNode,
    server: &BackendId,
    per_s: f64,
    max_wait: Duration,
) -> Option<Moment> {
    let now = node.now();
    let short_name = short_server(server);
    // As long as it knows only some of the boxes, this box might take itself for the coordinator.
    let coordinator = node.are_boxes_listed().then(|| coordinator(node, short_name, now)).flatten();
    let Some(coordinator) = coordinator else {
        node.permits.gates.lock().close_without_coordinator(server, now);
        return None;
    };
    let request = PermitRequest {
        number: node.permits.last_number.fetch_add(1, Ordering::Relaxed),
        server: short_name,
        per_s,
        max_wait_ms: u32::try_from(max_wait.as_millis()).unwrap_or(u32::MAX),
        is_standby: coordinator.is_standby,
    };
    let me = node.settings.load().node.ip;
    let answer = match coordinator.id == box_id(me) {
        true => Some(issue(node, &request)),
        false => request_from_peer(node, coordinator.id, request).await,
    };
    let now = node.now();
    match answer {
        Some(PermitAnswer::GrantedIn(wait)) => Some(now + wait),
        Some(PermitAnswer::NotBefore(wait)) => {
            node.permits.gates.lock().close(server, wait, now);
            None
        }
        None => {
            node.permits.gates.lock().mark_unresponsive(coordinator.id, now);
            let coordinator = Ipv4Addr::from_bits(coordinator.id.0);
            log::info!(server:%, keeper:% = coordinator, is_stand_in = request.is_standby; "no reply to a permit request");
            None
        }
    }
}

/// Returns the box that coordinates what all boxes together send to a server.
pub fn coordinator(node: &ServingNode, short_name: u32, now: Moment) -> Option<Coordinator> {
    let me = node.settings.load().node.ip;
    let others = node.peers.lock().reachable(now);
    let boxes = others.into_iter().chain([me]).map(box_id);
    node.permits.gates.lock().coordinator(short_name, boxes, now)
}

/// Requests a permit from another box; returns `None` if it doesn't answer in time.
async fn request_from_peer(
    node: &ServingNode,
    coordinator: BoxId,
    request: PermitRequest,
) -> Option<PermitAnswer> {
    let (sender, receiver) = oneshot::channel();
    node.permits.pending.lock().insert(request.number, sender);
    let pending = PendingRequest { permits: &node.permits, number: request.number };
    node.permits.outgoing.lock().push((Ipv4Addr::from_bits(coordinator.0), request));
    node.permits.wake.notify_one();
    let answer = timeout(REPLY_TIMEOUT, receiver).await;
    drop(pending);
    answer.ok()?.ok()
}

/// Sends this box's requests to the coordinators. Runs as long as the box does.
pub async fn send_requests(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    loop {
        node.permits.wake.notified().await;
        let requests = std::mem::take(&mut *node.permits.outgoing.lock());
        for (to, request) in requests {
            socket.send_now(&Message::PermitRequest(request), to);
        }
    }
}

/// Answers another box's request, unless this box doesn't know all boxes yet.
pub fn handle_request(
    node: &ServingNode,
    socket: &PeerSocket,
    from: Ipv4Addr,
    request: &PermitRequest,
) {
    if !node.are_boxes_listed() || !request.per_s.is_finite() {
        return;
    }
    let (is_granted, wait) = match issue(node, request) {
        PermitAnswer::GrantedIn(wait) => (true, wait),
        PermitAnswer::NotBefore(wait) => (false, wait),
    };
    let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    socket.send_now(
        &Message::PermitReply(PermitReply { number: request.number, is_granted, wait_ms }),
        from,
    );
}

/// Issues a permit as the coordinator, by the limit that this box knows, or else the one in the
/// request.
fn issue(node: &ServingNode, request: &PermitRequest) -> PermitAnswer {
    let now = node.now();
    let server = node.names.lock().server(request.server).cloned();
    let known = server.and_then(|server| node.notices.lock().limit_per_s(&server));
    let (reached, all) = {
        let peers = node.peers.lock();
        (peers.reachable(now).len() + 1, peers.budget_box_count(now))
    };
    let per_s = coordinator_rate(known.unwrap_or(request.per_s), reached, all, request.is_standby);
    let max_wait = Duration::from_millis(u64::from(request.max_wait_ms));
    node.permits.issuer.lock().request(request.server, per_s, max_wait, now)
}

/// Handles a coordinator's reply. A permit that is no longer awaited expires unused.
pub fn handle_reply(node: &ServingNode, reply: PermitReply) {
    let Some(sender) = node.permits.pending.lock().remove(&reply.number) else {
        return;
    };
    let wait = Duration::from_millis(u64::from(reply.wait_ms));
    let answer = if reply.is_granted {
        PermitAnswer::GrantedIn(wait)
    } else {
        PermitAnswer::NotBefore(wait)
    };
    // The awaiting task may have ended in the meantime.
    let _ = sender.send(answer);
}

/// Drops expired permits and gates.
pub fn sweep(node: &ServingNode, now: Moment) {
    node.permits.issuer.lock().forget_old(now);
    node.permits.gates.lock().forget_old(now);
}
