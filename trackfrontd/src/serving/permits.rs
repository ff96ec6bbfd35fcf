//! Carries questions for turns at servers that named a limit to their keepers, and answers them.

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
use super::node::{ServingNode, short_server};
use super::peer_socket::PeerSocket;
use super::quota::box_id;

/// How long a keeper is waited for. A box whose share of a processor is spent stands still for up to a tenth of a second.
const REPLY_TIMEOUT: Duration = Duration::from_millis(120);

/// Turns at servers that named a limit, as one box gives and takes them.
pub struct ServerPermits {
    issuer: Mutex<PermitIssuer>,
    /// When this box may ask for turns.
    pub gates: Mutex<PermitGates>,
    pending: Mutex<HashMap<u32, oneshot::Sender<PermitAnswer>>>,
    last_number: AtomicU32,
    outgoing: Mutex<Vec<(Ipv4Addr, PermitRequest)>>,
    wake: Notify,
}

impl ServerPermits {
    /// Makes the turns of a box that has asked for none. Numbers of questions begin at `number`, which should differ
    /// from one start of a box to the next.
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

/// A server had no turn in time.
#[derive(Clone, Copy, Debug)]
pub struct NoPermit {
    /// The limit that it named, in requests a second.
    pub per_s: f64,
}

/// A question that is open until this is dropped.
struct PendingRequest<'a> {
    permits: &'a ServerPermits,
    number: u32,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.permits.pending.lock().remove(&self.number);
    }
}

/// Takes a turn at a server if that has named a limit; fails if none comes within `patience`, so that nothing is sent
/// there for a while.
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

/// Waits until a turn may be used.
pub async fn wait_until_valid(node: &ServingNode, answer: Permit) {
    sleep(answer.from.since(node.now())).await;
}

/// Asks for a turn at a server that takes `per_s` requests a second. Returns when it comes.
async fn request(
    node: &ServingNode,
    server: &BackendId,
    per_s: f64,
    max_wait: Duration,
) -> Option<Moment> {
    let asked = node.now();
    let short_name = short_server(server);
    // With a part of the boxes this one would take itself for the keeper.
    let coordinator =
        node.are_boxes_listed().then(|| coordinator(node, short_name, asked)).flatten();
    let Some(coordinator) = coordinator else {
        node.permits.gates.lock().close_without_coordinator(server, asked);
        return None;
    };
    let ask = PermitRequest {
        number: node.permits.last_number.fetch_add(1, Ordering::Relaxed),
        server: short_name,
        per_s,
        max_wait_ms: u32::try_from(max_wait.as_millis()).unwrap_or(u32::MAX),
        is_stand_in: coordinator.is_standby,
    };
    let me = node.settings.load().node.ip;
    let answer = match coordinator.id == box_id(me) {
        true => Some(issue(node, &ask)),
        false => ask_peer(node, coordinator.id, ask).await,
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
            log::info!(server:%, keeper:% = coordinator, is_stand_in = ask.is_stand_in; "no answer for a turn");
            None
        }
    }
}

fn coordinator(node: &ServingNode, short_name: u32, now: Moment) -> Option<Coordinator> {
    let me = node.settings.load().node.ip;
    let others = node.peers.lock().reachable(now);
    let boxes = others.into_iter().chain([me]).map(box_id);
    node.permits.gates.lock().coordinator(short_name, boxes, now)
}

/// Asks another box; `None` if it does not answer in time.
async fn ask_peer(
    node: &ServingNode,
    coordinator: BoxId,
    ask: PermitRequest,
) -> Option<PermitAnswer> {
    let (tell, told) = oneshot::channel();
    node.permits.pending.lock().insert(ask.number, tell);
    let pending = PendingRequest { permits: &node.permits, number: ask.number };
    node.permits.outgoing.lock().push((Ipv4Addr::from_bits(coordinator.0), ask));
    node.permits.wake.notify_one();
    let answer = timeout(REPLY_TIMEOUT, told).await;
    drop(pending);
    answer.ok()?.ok()
}

/// Sends the questions of this box, for as long as it lives.
pub async fn send_requests(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    loop {
        node.permits.wake.notified().await;
        let asks = std::mem::take(&mut *node.permits.outgoing.lock());
        for (to, ask) in asks {
            socket.send_now(&Message::PermitRequest(ask), to);
        }
    }
}

/// Answers another box, unless this one does not know which there are.
pub fn answer(node: &ServingNode, socket: &PeerSocket, from: Ipv4Addr, ask: &PermitRequest) {
    if !node.are_boxes_listed() || !ask.per_s.is_finite() {
        return;
    }
    let (is_given, wait) = match issue(node, ask) {
        PermitAnswer::GrantedIn(wait) => (true, wait),
        PermitAnswer::NotBefore(wait) => (false, wait),
    };
    let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    socket.send_now(
        &Message::PermitReply(PermitReply { number: ask.number, is_granted: is_given, wait_ms }),
        from,
    );
}

/// Gives a turn as the keeper, by the limit that this box knows, or else the one that was named to it.
fn issue(node: &ServingNode, ask: &PermitRequest) -> PermitAnswer {
    let now = node.now();
    let server = node.names.lock().server(ask.server).cloned();
    let known = server.and_then(|server| node.notices.lock().limit_per_s(&server));
    let (reached, all) = {
        let peers = node.peers.lock();
        (peers.reachable(now).len() + 1, peers.sharing(now))
    };
    let per_s = coordinator_rate(known.unwrap_or(ask.per_s), reached, all, ask.is_stand_in);
    let max_wait = Duration::from_millis(u64::from(ask.max_wait_ms));
    node.permits.issuer.lock().request(ask.server, per_s, max_wait, now)
}

/// Takes in the answer of a keeper. One that nobody waits for any more is a turn that lapses.
pub fn handle_reply(node: &ServingNode, told: PermitReply) {
    let Some(tell) = node.permits.pending.lock().remove(&told.number) else {
        return;
    };
    let wait = Duration::from_millis(u64::from(told.wait_ms));
    let answer =
        if told.is_granted { PermitAnswer::GrantedIn(wait) } else { PermitAnswer::NotBefore(wait) };
    // Its request may have left in this moment.
    let _ = tell.send(answer);
}

/// Drops what is over.
pub fn sweep(node: &ServingNode, now: Moment) {
    node.permits.issuer.lock().forget_old(now);
    node.permits.gates.lock().forget_old(now);
}
