//! Sends servers' notices to other boxes, and handles those that other boxes send.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use trackfront_core::ids::BackendId;
use trackfront_core::serving::cold::ColdTracker;
use trackfront_core::serving::notices::{KnownLimit, NoticeTracker};
use trackfront_core::units::Moment;

use super::{record, record_cold};
use crate::serving::messages::{Message, NoticeBatch, NoticeKind, NoticeRecord};
use crate::serving::node::ServingNode;
use crate::serving::peer_socket::PeerSocket;
use crate::serving::short_names::short_server;
use crate::serving::{boxes, exchange};

/// How often each new notice is sent, since some datagrams are lost, and at which interval.
const SEND_ATTEMPTS: u32 = 4;
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// The minimum interval between two messages about a server, which may change its notices with each
/// answer.
const MIN_SEND_GAP: Duration = Duration::from_millis(200);

/// How long notices are collected before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(15);

/// The number of notices in one message.
const NOTICES_PER_MESSAGE: usize = 128;

/// The number of rounds in which a starting box asks other boxes for their notices, and the pause
/// between them.
const FETCH_ROUNDS: usize = 3;
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Servers with notices that are yet to be sent.
#[derive(Default)]
pub struct NoticeOutbox {
    pending: Mutex<HashMap<BackendId, PendingSend>>,
    /// Notices for a single box.
    direct: Mutex<Vec<(Ipv4Addr, NoticeRecord)>>,
    wake: Notify,
}

#[derive(Clone, Copy, Debug)]
struct PendingSend {
    sends_left: u32,
    due: Moment,
    last_sent: Option<Moment>,
}

impl NoticeOutbox {
    pub(super) fn add(&self, server: &BackendId, now: Moment) {
        let mut pending = self.pending.lock();
        let last_sent = pending.get(server).and_then(|pending_send| pending_send.last_sent);
        let due = last_sent.map_or(now, |last_sent| (last_sent + MIN_SEND_GAP).max(now));
        pending.insert(server.clone(), PendingSend { sends_left: SEND_ATTEMPTS, due, last_sent });
        drop(pending);
        self.wake.notify_one();
    }

    /// Tells a box that carried a request that the server asks it to back off.
    pub fn add_back_off(&self, to: Ipv4Addr, server: &BackendId, wait: Duration) {
        let ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let kind = NoticeKind::BacksOff(ms);
        let record = NoticeRecord { server: short_server(server), kind, age_ms: 0 };
        self.direct.lock().push((to, record));
        self.wake.notify_one();
    }

    fn take_due(&self, now: Moment) -> Vec<BackendId> {
        let mut due = Vec::new();
        self.pending.lock().retain(|server, pending_send| {
            if pending_send.due <= now {
                due.push(server.clone());
                pending_send.sends_left -= 1;
                pending_send.last_sent = Some(now);
                pending_send.due = now + RESEND_INTERVAL;
            }
            pending_send.sends_left > 0
        });
        due
    }

    fn is_empty(&self) -> bool {
        self.pending.lock().is_empty() && self.direct.lock().is_empty()
    }
}

/// Applies the notices that another box sent.
fn apply_notices(node: &ServingNode, notices: &[NoticeRecord], by: &str) {
    let now = node.now();
    for notice in notices {
        let Some(server) = node.names.lock().server(notice.server).cloned() else {
            continue;
        };
        let age = Duration::from_millis(u64::from(notice.age_ms));
        let at = Moment(now.0.saturating_sub(age));
        let change = match notice.kind {
            NoticeKind::Cold(ms) => {
                record_cold(node, &server, Duration::from_millis(u64::from(ms)), by);
                None
            }
            NoticeKind::Leaves => node.notices.lock().mark_leaving(&server, at),
            NoticeKind::Limit(per_s) if !per_s.is_finite() || per_s < 0.0 => continue,
            NoticeKind::Limit(per_s) => node.notices.lock().apply_limit(&server, Some(per_s), at),
            NoticeKind::LimitOver => node.notices.lock().apply_limit(&server, None, at),
            NoticeKind::Brittle(per_s) if !per_s.is_finite() || per_s < 0.0 => continue,
            NoticeKind::Brittle(per_s) => {
                mark_service_brittle(node, &server, at);
                node.notices.lock().apply_brittle(&server, Some(per_s), at)
            }
            NoticeKind::BacksOff(ms) => {
                let wait = Duration::from_millis(u64::from(ms));
                node.notices.lock().mark_backing_off(&server, wait, now)
            }
            NoticeKind::Sturdy => node.notices.lock().apply_brittle(&server, None, at),
        };
        change.into_iter().for_each(|change| record(node, &server, change, by));
    }
}

fn mark_service_brittle(node: &ServingNode, server: &BackendId, at: Moment) {
    let known = node.directory.lock().get(server).cloned();
    if let Some(known) = known {
        node.notices.lock().mark_service_brittle(&known.entry.service, at);
    }
}

/// Sends due notices to the other boxes. Runs as long as the box does.
pub async fn broadcast(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    loop {
        let woken = node.notice_outbox.wake.notified();
        if node.notice_outbox.is_empty() {
            woken.await;
        } else {
            let _ = timeout(RESEND_INTERVAL / 4, woken).await;
        }
        sleep(BATCH_DELAY).await;
        let now = node.now();
        let direct = std::mem::take(&mut *node.notice_outbox.direct.lock());
        for (to, record) in direct {
            send(&socket, &[record], false, &[to]).await;
        }
        let due = node.notice_outbox.take_due(now);
        if due.is_empty() {
            continue;
        }
        let notices: Vec<NoticeRecord> = {
            let (cold, tracker) = (node.cold.lock(), node.notices.lock());
            due.iter().flat_map(|server| records_of(&tracker, &cold, server, now)).collect()
        };
        let all = node.peers.lock().broadcast_targets(now);
        for chunk in notices.chunks(NOTICES_PER_MESSAGE) {
            send(&socket, chunk, false, &all.direct).await;
            send(&socket, chunk, true, &all.forwarders).await;
        }
    }
}

async fn send(socket: &PeerSocket, notices: &[NoticeRecord], forward: bool, boxes: &[Ipv4Addr]) {
    let batch = NoticeBatch { notices: notices.to_vec(), forward };
    socket.send(&Message::Notices(batch), boxes).await;
}

/// Handles a batch of notices from another box, and forwards it within this box's part of its hall
/// if the batch asks for it.
pub async fn handle_batch(
    node: &ServingNode,
    socket: &PeerSocket,
    from: Ipv4Addr,
    batch: NoticeBatch,
) {
    apply_notices(node, &batch.notices, &from.to_string());
    if batch.forward {
        let part = node.peers.lock().forward_targets(node.now());
        send(socket, &batch.notices, false, &part).await;
    }
}

/// Returns the notices of a server as sent to other boxes.
fn records_of(
    tracker: &NoticeTracker,
    cold: &ColdTracker,
    server: &BackendId,
    now: Moment,
) -> Vec<NoticeRecord> {
    let record_at =
        |kind, at| NoticeRecord { server: short_server(server), kind, age_ms: age_ms(at, now) };
    let limit = tracker.known_limit(server).map(|KnownLimit { per_s, at, .. }| match per_s {
        Some(per_s) => record_at(NoticeKind::Limit(per_s), at),
        None => record_at(NoticeKind::LimitOver, at),
    });
    let leaves = tracker.leaving_since(server).map(|since| record_at(NoticeKind::Leaves, since));
    let cold = cold.reported_until(server).map(|until| {
        let ms = u32::try_from(until.since(now).as_millis()).unwrap_or(u32::MAX);
        record_at(NoticeKind::Cold(ms), now)
    });
    let brittle = tracker.known_brittle(server).map(|KnownLimit { per_s, at, .. }| match per_s {
        Some(per_s) => record_at(NoticeKind::Brittle(per_s), at),
        None => record_at(NoticeKind::Sturdy, at),
    });
    limit.into_iter().chain(leaves).chain(cold).chain(brittle).collect()
}

fn age_ms(at: Moment, now: Moment) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns all notices for a starting box; `None` if this box knows no servers yet.
pub fn snapshot(node: &ServingNode) -> Option<Vec<NoticeRecord>> {
    if !node.knows_servers() {
        return None;
    }
    let (cold, tracker, now) = (node.cold.lock(), node.notices.lock(), node.now());
    let limited = tracker.limits().map(|(server, _)| server);
    let noticed: BTreeSet<&BackendId> = limited
        .chain(tracker.leaving())
        .chain(tracker.brittle())
        .chain(cold.reported_cold(now))
        .collect();
    let records = noticed.into_iter().flat_map(|server| records_of(&tracker, &cold, server, now));
    Some(records.collect())
}

/// Loads the notices of other boxes when this one starts. If no other box answers, the servers'
/// next answers bring them.
pub async fn fetch_from_peers(node: Arc<ServingNode>) {
    fetch_notices(&node).await;
    node.notices_fetched.send_replace(true);
}

async fn fetch_notices(node: &ServingNode) {
    boxes::wait_for_box_list(node).await;
    for _ in 0..FETCH_ROUNDS {
        let others = boxes::likely_up(node);
        // Notices refer to servers by short names, which this box can only resolve once it knows
        // the servers.
        if node.knows_servers()
            && let Some(notices) = exchange::fetch_notices(node, &others).await
        {
            return apply_notices(node, &notices, "a copy of another box");
        }
        sleep(FETCH_RETRY_DELAY).await;
    }
}
