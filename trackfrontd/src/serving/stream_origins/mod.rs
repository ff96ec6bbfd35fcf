//! Shares among all boxes which software began a stream, so that a client may continue it at any of them.
//!
//! Each box remembers the streams that it began. While a service uses several versions of its software, it also tells two
//! boxes that are found by hashing the stream. A box that is asked to continue a stream asks these, and continues it only
//! with the software that began it.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;
use trackfront_core::ids::ServiceName;
use trackfront_core::quota::{BoxId, rank_coordinators};
use trackfront_core::serving::stream_origins::{
    SoftwareId, SoftwareInUse, StreamId, StreamOrigin, StreamOrigins,
};
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;

use super::messages::{Message, StreamOriginReply, StreamOriginRequest};
use super::node::ServingNode;
use super::peer_socket::PeerSocket;
use super::quota::box_id;

/// The number of boxes that are told of a stream.
const KEEPERS: usize = 2;

/// The number of boxes that are asked: one more, since the ranking may have changed by a box.
const ASKED: usize = 3;

/// The longest wait for their replies.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);

/// The minimum interval between two looks at the versions of all servers of a service.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// The most streams in one message, at 12 bytes each.
const STREAMS_PER_MESSAGE: usize = 256;

/// What a box knows about the streams that clients may continue.
pub struct StreamVersions {
    /// The streams that this box began to relay.
    own: Mutex<HashMap<ServiceName, StreamOrigins>>,
    /// The streams that other boxes told this one.
    told: Mutex<StreamOrigins>,
    in_use: Mutex<SoftwareInUse>,
    looks: Mutex<HashMap<ServiceName, Look>>,
    pending: Mutex<HashMap<u32, mpsc::UnboundedSender<Option<SoftwareId>>>>,
    last_number: AtomicU32,
    outgoing: Mutex<Vec<(Ipv4Addr, Message)>>,
    wake: Notify,
}

/// The last look at the versions of a service's servers.
#[derive(Clone, Copy, Debug)]
struct Look {
    list: StoreVersion,
    at: Moment,
    is_mixed: bool,
}

/// The software that must continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamSoftware {
    /// This version.
    Version(SoftwareId),
    /// The service uses only one version.
    Any,
    /// Nobody knows, and the service uses several versions.
    Unknown,
}

impl StreamVersions {
    /// Creates the state of a box that knows no streams. Requests are numbered from `number`, which should differ between
    /// starts of the box.
    pub fn new(number: u32) -> Self {
        Self {
            own: Mutex::default(),
            told: Mutex::default(),
            in_use: Mutex::default(),
            looks: Mutex::default(),
            pending: Mutex::default(),
            last_number: AtomicU32::new(number),
            outgoing: Mutex::default(),
            wake: Notify::new(),
        }
    }

    fn send(&self, messages: impl IntoIterator<Item = (Ipv4Addr, Message)>) {
        self.outgoing.lock().extend(messages);
        self.wake.notify_one();
    }

    fn known(&self, stream: StreamId, now: Moment) -> Option<SoftwareId> {
        let own = self.own.lock();
        let own = own.values().find_map(|origins| origins.get(stream, now));
        own.or_else(|| self.told.lock().get(stream, now))
    }
}

/// Records that a server began a stream, and tells other boxes if the service uses several versions.
pub fn stream_began(node: &ServingNode, service: &ServiceName, origin: StreamOrigin) {
    let now = node.now();
    let versions = &node.stream_versions;
    versions.own.lock().entry(service.clone()).or_default().record(origin, now);
    if look(node, service, now) {
        tell(node, [origin]);
    }
}

/// Finds out which software must continue a stream; `None` for a stream that the client did not name.
pub async fn software_of(
    node: &ServingNode,
    service: &ServiceName,
    stream: Option<StreamId>,
) -> StreamSoftware {
    let now = node.now();
    let is_mixed = look(node, service, now);
    let known = match stream {
        None => None,
        Some(stream) => match node.stream_versions.known(stream, now) {
            Some(software) => Some(software),
            None => ask(node, stream).await,
        },
    };
    match known {
        Some(software) => StreamSoftware::Version(software),
        None if is_mixed => StreamSoftware::Unknown,
        None => StreamSoftware::Any,
    }
}

/// Looks at the versions of the services whose streams this box relays. Another version may come when no stream begins.
pub fn look_at_services(node: &ServingNode) {
    let now = node.now();
    let services: Vec<_> = node.stream_versions.own.lock().keys().cloned().collect();
    services.iter().for_each(|service| _ = look(node, service, now));
}

/// Returns whether a service uses several versions. Tells other boxes of this one's streams if that has just begun.
fn look(node: &ServingNode, service: &ServiceName, now: Moment) -> bool {
    let versions = &node.stream_versions;
    let list = node.directory.lock().newest_version();
    let last = versions.looks.lock().get(service).copied();
    if let Some(last) = last
        && (last.list == list || now.since(last.at) < LOOK_INTERVAL)
    {
        return last.is_mixed;
    }
    let software: HashSet<_> = {
        let directory = node.directory.lock();
        let servers = directory.of_service(service).iter();
        servers.map(|server| server.entry.software.clone()).collect()
    };
    let is_mixed = {
        let mut in_use = versions.in_use.lock();
        in_use.record(service, software.iter().map(SoftwareId::of), now);
        in_use.is_mixed(service)
    };
    versions.looks.lock().insert(service.clone(), Look { list, at: now, is_mixed });
    if is_mixed && !last.is_some_and(|last| last.is_mixed) {
        log::info!(service:%; "service uses several versions of its software");
        let own = versions.own.lock();
        let streams: Vec<_> = own.get(service).into_iter().flat_map(StreamOrigins::all).collect();
        drop(own);
        tell(node, streams);
    }
    is_mixed
}

/// Tells the boxes that keep the streams which software began them.
fn tell(node: &ServingNode, origins: impl IntoIterator<Item = StreamOrigin>) {
    let (me, now) = (node.settings.load().node.ip, node.now());
    let mut by_box: HashMap<Ipv4Addr, Vec<StreamOrigin>> = HashMap::new();
    for origin in origins {
        for ip in ranked(node, origin.stream, now).into_iter().take(KEEPERS) {
            by_box.entry(ip).or_default().push(origin);
        }
    }
    by_box.remove(&me);
    let messages = by_box.into_iter().flat_map(|(ip, origins)| {
        let chunks: Vec<_> = origins.chunks(STREAMS_PER_MESSAGE).map(<[_]>::to_vec).collect();
        chunks.into_iter().map(move |chunk| (ip, Message::StreamOrigins(chunk)))
    });
    node.stream_versions.send(messages);
}

/// Returns the boxes in the order in which they keep a stream, this one among them.
fn ranked(node: &ServingNode, stream: StreamId, now: Moment) -> Vec<Ipv4Addr> {
    let me = node.settings.load().node.ip;
    let others = node.peers.lock().reachable(now);
    let all = others.into_iter().chain([me]).map(box_id);
    let ranked = rank_coordinators(stream.0 as u32 as usize, all).into_iter();
    ranked.map(|BoxId(bits)| Ipv4Addr::from_bits(bits)).collect()
}

/// A pending request, removed from the table when this is dropped.
struct PendingRequest<'a> {
    versions: &'a StreamVersions,
    number: u32,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.versions.pending.lock().remove(&self.number);
    }
}

/// Asks the boxes that keep a stream which software began it.
async fn ask(node: &ServingNode, stream: StreamId) -> Option<SoftwareId> {
    let versions = &node.stream_versions;
    let me = node.settings.load().node.ip;
    let ranked = ranked(node, stream, node.now());
    let asked: Vec<_> = ranked.into_iter().filter(|ip| *ip != me).take(ASKED).collect();
    let number = versions.last_number.fetch_add(1, Ordering::Relaxed);
    let (sender, mut replies) = mpsc::unbounded_channel();
    versions.pending.lock().insert(number, sender);
    let _pending = PendingRequest { versions, number };
    let request = StreamOriginRequest { number, stream };
    versions.send(asked.iter().map(|ip| (*ip, Message::StreamOriginRequest(request))));
    let first_known = async {
        for _ in &asked {
            if let Some(software) = replies.recv().await? {
                return Some(software);
            }
        }
        None
    };
    timeout(REPLY_TIMEOUT, first_known).await.ok()?
}

/// Sends what is to be sent to other boxes. Runs as long as the box does.
pub async fn send_messages(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    loop {
        node.stream_versions.wake.notified().await;
        let outgoing = std::mem::take(&mut *node.stream_versions.outgoing.lock());
        for (to, message) in outgoing {
            socket.send_now(&message, to);
        }
    }
}

/// Records the streams that another box began.
pub fn handle_origins(node: &ServingNode, origins: &[StreamOrigin]) {
    let now = node.now();
    let mut told = node.stream_versions.told.lock();
    origins.iter().for_each(|origin| told.record(*origin, now));
}

/// Answers another box's question.
pub fn handle_request(
    node: &ServingNode,
    socket: &PeerSocket,
    from: Ipv4Addr,
    request: StreamOriginRequest,
) {
    let software = node.stream_versions.known(request.stream, node.now());
    let reply = StreamOriginReply { number: request.number, software };
    socket.send_now(&Message::StreamOriginReply(reply), from);
}

/// Handles the reply to this box's question, unless nobody waits for it any more.
pub fn handle_reply(node: &ServingNode, reply: StreamOriginReply) {
    if let Some(sender) = node.stream_versions.pending.lock().get(&reply.number) {
        let _ = sender.send(reply.software);
    }
}
