//! What is yet to be told of crashes, and to whom.
//!
//! If each crash were told to every box, the messages would grow with boxes times what ran on the servers: all that ran
//! there is struck, and hardly any of it comes again. So the crashes of a request are told to the few boxes that count
//! them, and only what is held off to all.

use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::{sleep, timeout};
use trackfront_core::ids::BackendId;
use trackfront_core::serving::crashes::CrashReport;
use trackfront_core::serving::fingerprint::Fingerprint;
use trackfront_core::units::Moment;

use super::coordinators_of;
use crate::serving::messages::Message;
use crate::serving::node::{ServingNode, short_server};
use crate::serving::peer_socket::PeerSocket;

/// How many times each word is told, and how long after another: of boxes that lose a fifth of their datagrams one in
/// 600 misses all four, and the last comes 1.2 s after the first, where boxes have 3 s and more to know.
const SEND_ATTEMPTS: u32 = 4;
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Within which time a box says that crashes count no more: most boxes hear it from another first.
const MAX_CLEARANCE_DELAY: Duration = Duration::from_millis(200);

/// How long words are gathered before they are told: what ends together is told together.
const BATCH_DELAY: Duration = Duration::from_millis(15);

/// How long after a server's end was told, by this box or another, it is not told again.
const ENDED_REPEAT_GAP: Duration = Duration::from_millis(1_500);

/// How many words one message has: of 40 bytes each on the average.
const REPORTS_PER_MESSAGE: usize = 64;
const ENDED_PER_MESSAGE: usize = 256;

/// A word that is told a few times.
#[derive(Clone, Copy, Debug)]
struct PendingSend {
    to_all: bool,
    /// Whether others may say the same, so that it need not be said once one has.
    is_clearance: bool,
    sends_left: u32,
    due: Moment,
}

/// What is yet to be told.
#[derive(Debug, Default)]
pub struct Outbox {
    reports: HashMap<Fingerprint, PendingSend>,
    /// Servers that ended, which no box has told of yet.
    ended: Vec<BackendId>,
    /// When the end of each server was last told.
    ended_sent_at: HashMap<BackendId, Moment>,
}

impl Outbox {
    /// Has what is known of a request told, to all boxes or to those that count its crashes.
    pub fn add_report(&mut self, fingerprint: Fingerprint, to_all: bool, now: Moment) {
        // What all boxes have to hear is not cut short by what only some need to know.
        let was_for_all =
            self.reports.get(&fingerprint).is_some_and(|pending_send| pending_send.to_all);
        let to_all = to_all || was_for_all;
        let pending_send =
            PendingSend { to_all, is_clearance: false, sends_left: SEND_ATTEMPTS, due: now };
        self.reports.insert(fingerprint, pending_send);
    }

    /// Has all boxes told that crashes of a request count no more, unless another box says so first.
    pub fn add_clearance(&mut self, fingerprint: Fingerprint, now: Moment) {
        let due = now + MAX_CLEARANCE_DELAY.mul_f64(rand::rng().random::<f64>());
        let pending_send =
            PendingSend { to_all: true, is_clearance: true, sends_left: SEND_ATTEMPTS, due };
        self.reports.entry(fingerprint).or_insert(pending_send);
    }

    /// Notes that another box told what this one knows of a request.
    pub fn record_received(&mut self, fingerprint: Fingerprint) {
        self.reports
            .retain(|waiting, pending_send| *waiting != fingerprint || !pending_send.is_clearance);
    }

    /// Has the end of a server told unless that was just done. Returns whether it will be.
    pub fn add_ended(&mut self, server: &BackendId, now: Moment) -> bool {
        if self.was_sent(server, now) {
            return false;
        }
        self.ended.push(server.clone());
        self.ended_sent_at.insert(server.clone(), now);
        true
    }

    /// Notes that another box told of the end of a server.
    pub fn record_received_end(&mut self, server: &BackendId, now: Moment) {
        self.ended_sent_at.insert(server.clone(), now);
        self.ended.retain(|waiting| waiting != server);
    }

    fn was_sent(&self, server: &BackendId, now: Moment) -> bool {
        self.ended_sent_at.get(server).is_some_and(|at| now.since(*at) < ENDED_REPEAT_GAP)
    }

    fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.ended.is_empty()
    }

    /// Takes the words on requests that are due, and whether each goes to all boxes.
    pub fn take_due(&mut self, now: Moment) -> Vec<(Fingerprint, bool)> {
        let mut due = Vec::new();
        self.reports.retain(|fingerprint, pending_send| {
            if pending_send.due <= now {
                due.push((*fingerprint, pending_send.to_all));
                pending_send.sends_left -= 1;
                pending_send.due = now + RESEND_INTERVAL;
            }
            pending_send.sends_left > 0
        });
        due
    }

    fn take_ended(&mut self, now: Moment) -> Vec<BackendId> {
        self.ended_sent_at.retain(|_, at| now.since(*at) < ENDED_REPEAT_GAP);
        std::mem::take(&mut self.ended)
    }
}

/// Tells other boxes, for as long as this one lives.
pub async fn broadcast(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    loop {
        let woken = node.crashes.outbox_changed.notified();
        if node.crashes.outbox.lock().is_empty() {
            woken.await;
        } else {
            let _ = timeout(RESEND_INTERVAL / 4, woken).await;
        }
        sleep(BATCH_DELAY).await;
        broadcast_ended(&node, &socket).await;
        broadcast_reports(&node, &socket).await;
    }
}

async fn broadcast_ended(node: &ServingNode, socket: &PeerSocket) {
    let now = node.now();
    let ended = node.crashes.outbox.lock().take_ended(now);
    if ended.is_empty() {
        return;
    }
    let boxes = node.peers.lock().reachable(now);
    let servers: Vec<u32> = ended.iter().map(short_server).collect();
    for some in servers.chunks(ENDED_PER_MESSAGE) {
        socket.send(&Message::ServersEnded(some.to_vec()), &boxes).await;
    }
}

async fn broadcast_reports(node: &ServingNode, socket: &PeerSocket) {
    let now = node.now();
    let due = node.crashes.outbox.lock().take_due(now);
    if due.is_empty() {
        return;
    }
    let me = node.settings.load().node.ip;
    let mut for_all = Vec::new();
    let mut for_some: BTreeMap<Ipv4Addr, Vec<CrashReport>> = BTreeMap::new();
    for (fingerprint, to_all) in due {
        let Some(report) = node.crashes.tracker.lock().report(fingerprint).cloned() else {
            continue;
        };
        if to_all {
            for_all.push(report);
            continue;
        }
        let others = coordinators_of(node, fingerprint).into_iter().filter(|ip| *ip != me);
        others.for_each(|ip| for_some.entry(ip).or_default().push(report.clone()));
    }
    let all = node.peers.lock().reachable(now);
    for some in for_all.chunks(REPORTS_PER_MESSAGE) {
        socket.send(&Message::CrashReports(some.to_vec()), &all).await;
    }
    for (ip, reports) in for_some {
        for some in reports.chunks(REPORTS_PER_MESSAGE) {
            socket.send(&Message::CrashReports(some.to_vec()), &[ip]).await;
        }
    }
}
