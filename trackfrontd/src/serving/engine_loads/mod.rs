//! Asks the coordinators of engines for their load, declares requests to them, and answers for the engines that this box
//! coordinates.
//!
//! All messages may be lost: a load that is not known in time is left out of the choice, and a declared request expires.

mod coordinators;
mod declared;

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ids::ServiceName;
use trackfront_core::quota::BoxId;
use trackfront_core::serving::coordinated_load::{EngineLoad, LoadCoordinator, LoadQuestion};
use trackfront_core::serving::directory::{KnownServer, ServerEntry};
use trackfront_core::serving::permits::Coordinator;
use trackfront_core::serving::room::GrantId;
use trackfront_core::units::Moment;

use super::messages::{LoadChange, LoadChangeKind, LoadReply, LoadRequest, Message};
use super::node::ServingNode;
use super::peer_socket::PeerSocket;
use super::quota::box_id;
use super::short_names::{short_hall, short_server};
use coordinators::Coordinators;
pub use declared::{DeclaredRequest, declare};

/// The longest wait for the replies of all coordinators, short against the time to the first event.
const REPLY_TIMEOUT: Duration = Duration::from_millis(15);

/// A wait that lasted longer than this means that this box was too busy to read the replies.
const MAX_TIMELY_WAIT: Duration = Duration::from_millis(30);

/// The most boxes that know each other's requests well enough by their digests.
const MAX_BOXES_WITH_DIGESTS: usize = 16;

/// The loads that this box counts as a coordinator, and its questions to other coordinators.
pub struct EngineLoads {
    coordinator: Mutex<LoadCoordinator>,
    coordinators: Mutex<Coordinators>,
    pending: Mutex<HashMap<u32, oneshot::Sender<EngineLoad>>>,
    next_number: AtomicU32,
    outgoing: Mutex<Vec<(Ipv4Addr, Message)>>,
    wake: Notify,
    /// The services whose engines say how long work takes there.
    uneven_services: Mutex<HashSet<ServiceName>>,
}

impl EngineLoads {
    /// Creates the state of a box that knows no loads. Requests are numbered from `number`, which should differ between
    /// starts of the box.
    pub fn new(number: u32) -> Self {
        Self {
            coordinator: Mutex::default(),
            coordinators: Mutex::default(),
            pending: Mutex::default(),
            next_number: AtomicU32::new(number),
            outgoing: Mutex::default(),
            wake: Notify::new(),
            uneven_services: Mutex::default(),
        }
    }

    /// Records that an engine of a service said how long work takes there.
    pub fn mark_uneven(&self, service: &ServiceName) {
        let mut services = self.uneven_services.lock();
        if !services.contains(service) {
            services.insert(service.clone());
        }
    }

    /// Returns whether engines of a service say how long work takes there.
    pub fn are_uneven(&self, service: &ServiceName) -> bool {
        self.uneven_services.lock().contains(service)
    }

    fn next_number(&self) -> u32 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    fn send(&self, to: BoxId, message: Message) {
        self.outgoing.lock().push((Ipv4Addr::from_bits(to.0), message));
        self.wake.notify_one();
    }

    /// Drops old state.
    pub fn sweep(&self, now: Moment) {
        self.coordinator.lock().forget_old(now);
        self.coordinators.lock().forget_old(now);
    }
}

/// Returns whether this box asks coordinators for the load of engines and declares its requests to them.
pub fn is_enabled(node: &ServingNode) -> bool {
    node.settings.load().balancing.coordinated_loads
        && node.are_boxes_listed()
        && node.peers.lock().box_count() > MAX_BOXES_WITH_DIGESTS
}

/// Returns the box that coordinates the load of an engine: one of the engine's hall if any is reachable, so that most
/// messages stay within a hall.
pub fn coordinator(node: &ServingNode, server: &ServerEntry, now: Moment) -> Option<Coordinator> {
    let engine = short_server(&server.id);
    if let Some(cached) = node.engine_loads.coordinators.lock().cached(engine, now) {
        return Some(cached);
    }
    let boxes = eligible_boxes(node, server, now);
    node.engine_loads.coordinators.lock().find(engine, boxes.into_iter().map(box_id), now)
}

fn eligible_boxes(node: &ServingNode, server: &ServerEntry, now: Moment) -> Vec<Ipv4Addr> {
    let settings = node.settings.load();
    let me = settings.node.ip;
    let peers = node.peers.lock();
    let mut boxes = peers.reachable_in(short_hall(&server.hall), now);
    if settings.node.hall == server.hall {
        boxes.push(me);
    }
    if boxes.is_empty() {
        boxes = peers.reachable(now);
        boxes.push(me);
    }
    boxes
}

/// Returns the load of each of `servers` as its coordinator knows it, or `None` for those whose coordinators did not
/// answer in time.
pub async fn query(
    node: &ServingNode,
    servers: &[Arc<KnownServer>],
    question: LoadQuestion,
) -> Vec<Option<EngineLoad>> {
    let now = node.now();
    let asked: Vec<Asked<'_>> =
        servers.iter().map(|known| ask(node, known, question, now)).collect();
    let mut loads = Vec::with_capacity(asked.len());
    for asked in asked {
        loads.push(match asked {
            Asked::Own(load) => load,
            Asked::Peer(pending) => pending.reply().await,
        });
    }
    loads
}

/// A question that was asked.
enum Asked<'a> {
    /// This box answered by itself, or there is no coordinator.
    Own(Option<EngineLoad>),
    /// Another box was asked.
    Peer(PendingQuestion<'a>),
}

/// A question to another box, removed from the table when this is dropped.
struct PendingQuestion<'a> {
    node: &'a ServingNode,
    server: &'a KnownServer,
    coordinator: Coordinator,
    number: u32,
    asked_at: Moment,
    receiver: oneshot::Receiver<EngineLoad>,
}

impl Drop for PendingQuestion<'_> {
    fn drop(&mut self) {
        self.node.engine_loads.pending.lock().remove(&self.number);
    }
}

impl PendingQuestion<'_> {
    /// Waits for the reply, until [`REPLY_TIMEOUT`] after the question.
    async fn reply(mut self) -> Option<EngineLoad> {
        let waited = self.node.now().since(self.asked_at);
        match timeout(REPLY_TIMEOUT.saturating_sub(waited), &mut self.receiver).await {
            Ok(Ok(load)) => {
                count_question(self.node, "answered");
                Some(bounded_by_standby(self.coordinator, load))
            }
            Ok(Err(_)) => None,
            Err(_) => {
                count_question(self.node, "silent");
                self.record_silence();
                None
            }
        }
    }

    /// Leaves the coordinator out for a while, unless this box itself may have been too slow.
    fn record_silence(&self) {
        let now = self.node.now();
        let waited = now.since(self.asked_at);
        if waited > MAX_TIMELY_WAIT {
            return;
        }
        let loads = &self.node.engine_loads;
        if loads.coordinators.lock().mark_unresponsive(self.coordinator.id, now) {
            let coordinator = Ipv4Addr::from_bits(self.coordinator.id.0);
            let (server, ms) = (&self.server.entry.id, waited.as_millis() as u64);
            log::info!(server:%, coordinator:%, ms; "no reply to a question for the load");
        }
    }
}

fn ask<'a>(
    node: &'a ServingNode,
    server: &'a KnownServer,
    question: LoadQuestion,
    now: Moment,
) -> Asked<'a> {
    let Some(coordinator) = coordinator(node, &server.entry, now) else {
        return Asked::Own(None);
    };
    let engine = short_server(&server.entry.id);
    let loads = &node.engine_loads;
    if coordinator.id == own_id(node) {
        count_question(node, "own");
        let load = loads.coordinator.lock().load(engine, question, now);
        return Asked::Own(Some(bounded_by_standby(coordinator, load)));
    }
    let number = loads.next_number();
    let (sender, receiver) = oneshot::channel();
    loads.pending.lock().insert(number, sender);
    loads.send(
        coordinator.id,
        Message::LoadRequest(LoadRequest { number, server: engine, question }),
    );
    Asked::Peer(PendingQuestion { node, server, coordinator, number, asked_at: now, receiver })
}

/// Returns the load with a `counted_ms` of 0 if a standby told it: other boxes may still declare requests to the first
/// coordinator, so the standby has counted only a part.
fn bounded_by_standby(coordinator: Coordinator, load: EngineLoad) -> EngineLoad {
    let counted_ms = if coordinator.is_standby { 0 } else { load.counted_ms };
    EngineLoad { counted_ms, ..load }
}

fn own_id(node: &ServingNode) -> BoxId {
    box_id(node.settings.load().node.ip)
}

fn count_question(node: &ServingNode, kind: &'static str) {
    node.metrics.load_questions.get_or_create(&KindLabel { kind }).inc();
}

/// Sends questions and declarations to the coordinators. Runs as long as the box does.
pub async fn send_messages(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    loop {
        node.engine_loads.wake.notified().await;
        let messages = std::mem::take(&mut *node.engine_loads.outgoing.lock());
        for (to, message) in messages {
            socket.send_now(&message, to);
        }
    }
}

/// Answers another box's question.
pub fn handle_request(
    node: &ServingNode,
    socket: &PeerSocket,
    from: Ipv4Addr,
    request: &LoadRequest,
) {
    let LoadRequest { number, server, question } = *request;
    let load = node.engine_loads.coordinator.lock().load(server, question, node.now());
    socket.send_now(&Message::LoadReply(LoadReply { number, load }), from);
    node.metrics.loads_answered.inc();
}

/// Handles a coordinator's reply, unless nobody waits for it any more.
pub fn handle_reply(node: &ServingNode, reply: &LoadReply) {
    if !reply.load.slowness.is_finite() {
        return;
    }
    if let Some(sender) = node.engine_loads.pending.lock().remove(&reply.number) {
        let _ = sender.send(reply.load);
    }
}

/// Records how another box's request at an engine goes on.
pub fn handle_change(node: &ServingNode, from: Ipv4Addr, change: &LoadChange) {
    apply_change(node, box_id(from), change);
}

fn apply_change(node: &ServingNode, holder: BoxId, change: &LoadChange) {
    let LoadChange { number, server, kind } = *change;
    let (id, now) = (GrantId { holder, number }, node.now());
    let mut coordinator = node.engine_loads.coordinator.lock();
    match kind {
        LoadChangeKind::Begun(work) => coordinator.begin(server, id, work, now),
        LoadChangeKind::FirstEvent { pace } => coordinator.first_event(server, id, pace, now),
        LoadChangeKind::Ended => coordinator.end(server, id, now),
    }
}
