//! Takes room at brittle servers from the boxes that coordinate it, and grants it to other boxes.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;
use trackfront_core::ids::BackendId;
use trackfront_core::quota::BoxId;
use trackfront_core::serving::directory::ServerEntry;
use trackfront_core::serving::permits::{Coordinator, coordinator_rate};
use trackfront_core::serving::room::{
    GrantId, GrantRequest, REFUSED_WAIT, RoomAnswer, RoomIssuer, Settled,
};
use trackfront_core::units::Moment;

use super::messages::{Message, RoomRelease, RoomReply, RoomRequest};
use super::node::ServingNode;
use super::peer::PEER_TIMEOUT;
use super::peer_socket::PeerSocket;
use super::permits;
use super::quota::box_id;
use super::short_names::short_server;

/// The timeout for a coordinator's reply, in addition to the wait in its queue.
const REPLY_TIMEOUT: Duration = Duration::from_millis(120);

/// The interval at which the coordinator looks for waiting requests that it can grant.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The room at brittle servers, as one box grants and takes it.
pub struct ServerRoom {
    issuer: Mutex<RoomIssuer>,
    pending: Mutex<HashMap<u32, oneshot::Sender<RoomReply>>>,
    last_number: AtomicU32,
    outgoing: Mutex<Vec<(Ipv4Addr, Message)>>,
    wake: Notify,
}

impl ServerRoom {
    /// Creates the state of a box that has taken no room. Requests are numbered from `number`, which should differ
    /// between starts of the box.
    pub fn new(number: u32) -> Self {
        Self {
            issuer: Mutex::default(),
            pending: Mutex::default(),
            last_number: AtomicU32::new(number),
            outgoing: Mutex::default(),
            wake: Notify::new(),
        }
    }

    fn send(&self, to: BoxId, message: Message) {
        self.outgoing.lock().push((Ipv4Addr::from_bits(to.0), message));
        self.wake.notify_one();
    }

    /// Drops old state.
    pub fn sweep(&self, now: Moment) {
        self.issuer.lock().forget_old(now);
    }
}

/// Room for a request at a brittle server, returned when this is dropped.
pub struct RoomGrant {
    node: Arc<ServingNode>,
    coordinator: BoxId,
    server: u32,
    number: u32,
    was_rejected: bool,
}

impl RoomGrant {
    /// Records that the server rejected the request, so that it has less room than thought.
    pub fn record_rejected(&mut self) {
        self.was_rejected = true;
    }
}

impl Drop for RoomGrant {
    fn drop(&mut self) {
        let RoomGrant { server, number, was_rejected, .. } = *self;
        let release = RoomRelease { number, server, was_rejected };
        let me = box_id(self.node.settings.load().node.ip);
        match self.coordinator == me {
            true => apply_release(&self.node, me, release),
            false => self.node.room.send(self.coordinator, Message::RoomRelease(release)),
        }
    }
}

/// A server has no room for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// Takes room for a request if the server is brittle, waiting up to `max_wait`. The request ends within `max_time`.
pub async fn acquire(
    node: &Arc<ServingNode>,
    server: &ServerEntry,
    max_wait: Duration,
    max_time: Duration,
) -> Result<Option<RoomGrant>, NoRoom> {
    if !node.notices.lock().is_brittle(&server.id, &server.service, node.now()) {
        return Ok(None);
    }
    let now = node.now();
    let short_name = short_server(&server.id);
    // As long as it knows only some of the boxes, this box might take itself for the coordinator.
    let listed = node.are_boxes_listed();
    let Some(coordinator) = listed.then(|| permits::coordinator(node, short_name, now)).flatten()
    else {
        node.permits.gates.lock().close_without_coordinator(&server.id, now);
        return Err(NoRoom);
    };
    let request = RoomRequest {
        number: node.room.last_number.fetch_add(1, Ordering::Relaxed),
        server: short_name,
        slots: server.slots,
        max_wait_ms: max_wait.as_millis() as u32,
        max_time_ms: u32::try_from(max_time.as_millis()).unwrap_or(u32::MAX),
        is_standby: coordinator.is_standby,
    };
    match ask(node, coordinator, request).await {
        Some(RoomReply { is_granted: true, .. }) => Ok(Some(RoomGrant {
            node: node.clone(),
            coordinator: coordinator.id,
            server: short_name,
            number: request.number,
            was_rejected: false,
        })),
        Some(RoomReply { wait_ms, .. }) => {
            let wait = Duration::from_millis(u64::from(wait_ms));
            node.permits.gates.lock().close(&server.id, wait, node.now());
            Err(NoRoom)
        }
        None => {
            close_after_silence(node, coordinator, &server.id, request);
            Err(NoRoom)
        }
    }
}

/// Handles a coordinator that did not reply: its grant, if there is one, is given back.
fn close_after_silence(
    node: &ServingNode,
    coordinator: Coordinator,
    server: &BackendId,
    request: RoomRequest,
) {
    let now = node.now();
    let ip = Ipv4Addr::from_bits(coordinator.id.0);
    log::info!(server:%, keeper:% = ip, is_stand_in = coordinator.is_standby; "no reply to a request for room");
    let mut gates = node.permits.gates.lock();
    gates.mark_unresponsive(coordinator.id, now);
    gates.close_without_coordinator(server, now);
    drop(gates);
    let RoomRequest { number, server, .. } = request;
    let release = RoomRelease { number, server, was_rejected: false };
    node.room.send(coordinator.id, Message::RoomRelease(release));
}

async fn ask(
    node: &ServingNode,
    coordinator: Coordinator,
    request: RoomRequest,
) -> Option<RoomReply> {
    let (sender, receiver) = oneshot::channel();
    node.room.pending.lock().insert(request.number, sender);
    let me = box_id(node.settings.load().node.ip);
    match coordinator.id == me {
        true => apply_request(node, me, &request),
        false => node.room.send(coordinator.id, Message::RoomRequest(request)),
    }
    let wait = Duration::from_millis(u64::from(request.max_wait_ms));
    let reply = timeout(wait + REPLY_TIMEOUT, receiver).await;
    node.room.pending.lock().remove(&request.number);
    reply.ok()?.ok()
}

/// Sends messages about room, and grants it to requests that have waited, as long as the box runs.
pub async fn run(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    loop {
        let woken = node.room.wake.notified();
        if node.room.issuer.lock().has_waiting() {
            let _ = timeout(CHECK_INTERVAL, woken).await;
        } else {
            woken.await;
        }
        let settled = node.room.issuer.lock().settle(node.now());
        reply_all(&node, settled);
        let messages = std::mem::take(&mut *node.room.outgoing.lock());
        for (to, message) in messages {
            socket.send_now(&message, to);
        }
    }
}

/// Handles another box's request for room, unless this box doesn't know all boxes yet.
pub fn handle_request(node: &ServingNode, from: Ipv4Addr, request: &RoomRequest) {
    if node.are_boxes_listed() {
        apply_request(node, box_id(from), request);
    }
}

fn apply_request(node: &ServingNode, holder: BoxId, request: &RoomRequest) {
    let now = node.now();
    let (reached, all) = {
        let peers = node.peers.lock();
        (peers.reachable(now).len() + 1, peers.budget_box_count(now))
    };
    let slots = coordinator_rate(f64::from(request.slots), reached, all, request.is_standby);
    let id = GrantId { holder, number: request.number };
    let grant = GrantRequest {
        id,
        slots,
        max_wait: Duration::from_millis(u64::from(request.max_wait_ms)),
        max_time: Duration::from_millis(u64::from(request.max_time_ms)),
    };
    // A box that has just started has not heard yet of the requests that others have at the server.
    let answer = match node.age() < PEER_TIMEOUT {
        true => RoomAnswer::NotBefore(REFUSED_WAIT),
        false => {
            let known = known_requests(node, request.server, now);
            node.room.issuer.lock().request(request.server, grant, known, now)
        }
    };
    match answer {
        RoomAnswer::Granted => reply(node, id, true, Duration::ZERO),
        RoomAnswer::NotBefore(wait) => reply(node, id, false, wait),
        RoomAnswer::Waits => node.room.wake.notify_one(),
    }
}

/// Returns the number of requests at a server, as far as boxes and the server have told.
fn known_requests(node: &ServingNode, server: u32, now: Moment) -> usize {
    let server = node.names.lock().server(server).cloned();
    server.map_or(0, |server| node.loads.lock().server(&server).total(now).requests() as usize)
}

/// Handles a box's return of room.
pub fn handle_release(node: &ServingNode, from: Ipv4Addr, release: RoomRelease) {
    apply_release(node, box_id(from), release);
}

fn apply_release(node: &ServingNode, holder: BoxId, release: RoomRelease) {
    let RoomRelease { number, server, was_rejected } = release;
    if was_rejected {
        let id = node.names.lock().server(server).map(ToString::to_string).unwrap_or_default();
        log::info!(server = id; "brittle server rejected a request");
    }
    let id = GrantId { holder, number };
    let settled = node.room.issuer.lock().release(server, id, was_rejected, node.now());
    reply_all(node, settled);
}

fn reply_all(node: &ServingNode, settled: Settled) {
    settled.granted.into_iter().for_each(|id| reply(node, id, true, Duration::ZERO));
    settled.refused.into_iter().for_each(|id| reply(node, id, false, REFUSED_WAIT));
}

fn reply(node: &ServingNode, to: GrantId, is_granted: bool, wait: Duration) {
    let wait_ms = wait.as_millis() as u32;
    let reply = RoomReply { number: to.number, is_granted, wait_ms };
    match to.holder == box_id(node.settings.load().node.ip) {
        true => deliver(node, reply),
        false => node.room.send(to.holder, Message::RoomReply(reply)),
    }
}

/// Handles a coordinator's reply.
pub fn handle_reply(node: &ServingNode, reply: RoomReply) {
    deliver(node, reply);
}

fn deliver(node: &ServingNode, reply: RoomReply) {
    if let Some(sender) = node.room.pending.lock().remove(&reply.number) {
        // The request may have been given up in the meantime; its grant was or will be returned.
        let _ = sender.send(reply);
    }
}
