//! Finds out which software must continue a stream.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use trackfront_core::ids::{RequestId, ServiceName};
use trackfront_core::serving::stream_origins::{
    Lookup, STREAM_TTL, SoftwareHistory, SoftwareId, StreamEvidence, StreamId, StreamSoftware,
};
use trackfront_core::units::Moment;

use super::{StreamVersions, keepers, look, rows};
use crate::serving::feed_relay::FeedKind;
use crate::serving::messages::{Message, StreamOriginReply, StreamOriginRequest};
use crate::serving::node::ServingNode;
use crate::serving::peer_socket::PeerSocket;

/// The delay after which keepers that have not replied are asked once more; a datagram may be lost.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// The longest wait for the keepers' replies.
const REPLY_TIMEOUT: Duration = Duration::from_millis(120);

/// The longest wait for the platform's table.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// What the keepers of a stream replied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Replies {
    found: Option<SoftwareId>,
    asked: usize,
    replied: usize,
}

/// Finds out which software must continue a stream; `None` for a stream that the client did not name.
pub async fn software_of(
    node: &ServingNode,
    request: &RequestId,
    service: &ServiceName,
    stream: Option<StreamId>,
) -> StreamSoftware {
    let Some(stream) = stream else {
        return conclude(node, request, service, Lookup::Unnamed, "nobody").await;
    };
    if let Some(software) = node.stream_versions.known(stream, node.now()) {
        return conclude(node, request, service, Lookup::Found(software), "this box").await;
    }
    let replies = ask(node, stream).await;
    log::info!(request:%, asked = replies.asked, replied = replies.replied, found:? = replies.found;
        "keepers asked which software began a stream");
    if let Some(software) = replies.found {
        return conclude(node, request, service, Lookup::Found(software), "another box").await;
    }
    if !may_be_mixed(node, service).await {
        // Only the rows of services with several versions hold streams.
        return conclude(node, request, service, Lookup::Incomplete, "nobody").await;
    }
    let read = timeout(READ_TIMEOUT, rows::read_bucket(node, stream.bucket())).await;
    let is_read = matches!(read, Ok(Ok(())));
    let lookup = match node.stream_versions.known(stream, node.now()) {
        Some(software) => Lookup::Found(software),
        None if is_read && has_asked_others(node, replies) => Lookup::NotFound,
        None => Lookup::Incomplete,
    };
    conclude(node, request, service, lookup, "the platform's table").await
}

/// Returns whether a service may use several versions, or may have done so lately.
async fn may_be_mixed(node: &ServingNode, service: &ServiceName) -> bool {
    let versions = versions(node, service).await;
    versions.is_none_or(|(versions, _)| versions.len() > 1)
}

/// Returns whether a keeper replied, or there is no other box.
fn has_asked_others(node: &ServingNode, replies: Replies) -> bool {
    let is_alone = !node.is_discovering_peers() && node.peers.lock().box_count() == 1;
    replies.replied > 0 || is_alone
}

async fn conclude(
    node: &ServingNode,
    request: &RequestId,
    service: &ServiceName,
    lookup: Lookup,
    by: &str,
) -> StreamSoftware {
    let evidence = evidence(node, service, lookup).await;
    let software = evidence.conclude();
    let list_ms = list_age(node).map_or(-1, |age| age.as_millis() as i64);
    let StreamEvidence { lookup, versions, before_start, .. } = evidence;
    let versions = versions.map_or(-1, |versions| versions.len() as i64);
    log::info!(request:%, software:?, lookup:?, by, versions, before_start:?, list_ms, age_ms = node.age().as_millis() as u64;
        "stream continued for a client");
    software
}

async fn evidence(node: &ServingNode, service: &ServiceName, lookup: Lookup) -> StreamEvidence {
    let now = node.now();
    let drain = node.settings.load().promises.drain();
    let is_list_current = list_age(node).is_some_and(|age| age < drain);
    if matches!(lookup, Lookup::Found(_)) {
        return StreamEvidence { lookup, versions: None, is_list_current, before_start: None };
    }
    let (versions, before_start) = match versions(node, service).await {
        Some((versions, row)) => (Some(versions), before_start(node, service, &row, now)),
        None => (None, None),
    };
    StreamEvidence { lookup, versions, is_list_current, before_start }
}

/// Returns the versions that a service used while streams that may be running lived, with the service's row; `None` if the
/// platform's table does not tell those before this box started.
async fn versions(
    node: &ServingNode,
    service: &ServiceName,
) -> Option<(BTreeSet<SoftwareId>, SoftwareHistory)> {
    let history = timeout(READ_TIMEOUT, rows::read_history(node, service)).await.ok()??;
    let now = node.now();
    look(node, service, now);
    let mut versions = node.stream_versions.in_use.lock().versions(service);
    if now.since(history.read_at) < STREAM_TTL {
        versions.extend(history.row.versions());
    }
    Some((versions, history.row))
}

/// Returns the time since the list of servers was last confirmed.
fn list_age(node: &ServingNode) -> Option<Duration> {
    node.feed_state.lock().silence(FeedKind::Servers, node.now())
}

/// Returns the only version that was in use until this box started, if streams of that time may be running.
fn before_start(
    node: &ServingNode,
    service: &ServiceName,
    row: &SoftwareHistory,
    now: Moment,
) -> Option<SoftwareId> {
    let first_list = node.stream_versions.first_list.lock().clone()?;
    if !node.has_run_before() || now.since(first_list.at) >= STREAM_TTL {
        return None;
    }
    let seen = first_list.versions.get(service).cloned().unwrap_or_default();
    row.only_version_until(first_list.version, &seen)
}

/// A pending question, removed from the table when this is dropped.
struct PendingQuestion<'a> {
    versions: &'a StreamVersions,
    number: u32,
}

impl Drop for PendingQuestion<'_> {
    fn drop(&mut self) {
        self.versions.pending.lock().remove(&self.number);
    }
}

/// Asks the boxes that keep a stream which software began it.
async fn ask(node: &ServingNode, stream: StreamId) -> Replies {
    let versions = &node.stream_versions;
    let asked = keepers::asked(node, stream);
    let number = versions.last_number.fetch_add(1, Ordering::Relaxed);
    let (sender, mut replies) = mpsc::unbounded_channel();
    versions.pending.lock().insert(number, sender);
    let _pending = PendingQuestion { versions, number };
    let request = StreamOriginRequest { number, stream };
    let send =
        || versions.send(asked.iter().map(|ip| (*ip, Message::StreamOriginRequest(request))));
    send();
    let mut result = Replies { found: None, asked: asked.len(), replied: 0 };
    let again = sleep(ASK_AGAIN);
    let end = sleep(REPLY_TIMEOUT);
    tokio::pin!(again, end);
    let mut has_repeated = false;
    while result.found.is_none() && result.replied < result.asked {
        tokio::select! {
            Some(software) = replies.recv() => {
                result.found = software;
                result.replied += 1;
            }
            () = &mut again, if !has_repeated => {
                has_repeated = true;
                send();
            }
            () = &mut end => break,
        }
    }
    result
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
