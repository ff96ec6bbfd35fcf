//! The crash reports that are yet to be sent, and their recipients.
//!
//! If every crash were reported to every box, the number of messages would grow with the number of
//! boxes times the number of requests on the crashed servers: all of those are suspected, and
//! hardly any recurs. So the crashes of a request are only reported to the few boxes that count
//! them, and only quarantined requests are reported to all.

use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::{sleep, timeout};
use trackfront_core::ids::BackendId;
use trackfront_core::serving::crashes::CrashReport;
use trackfront_core::serving::fingerprint::Fingerprint;
use trackfront_core::units::{Moment, scaled};

use super::{candidates, coordinators_among};
use crate::serving::messages::Message;
use crate::serving::node::ServingNode;
use crate::serving::peer_socket::PeerSocket;
use crate::serving::short_names::short_server;

/// How many times each report is sent. Among boxes that lose a fifth of their datagrams, one in 600
/// misses all four sends.
const SEND_ATTEMPTS: u32 = 4;

/// The interval between the sends of a report. The last one comes 1.2 s after the first, and boxes
/// have at least 3 s to learn of a crash.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// The maximum random delay before a box reports that a request's crashes no longer count; most
/// boxes receive it from another one first.
const MAX_CLEARANCE_DELAY: Duration = Duration::from_millis(200);

/// How long reports are collected before they are sent, so that servers that end together are
/// reported together.
const BATCH_DELAY: Duration = Duration::from_millis(15);

/// How long the end of a server isn't reported again after this or another box did so.
const ENDED_REPEAT_GAP: Duration = Duration::from_millis(1_500);

/// The most reports in one message; a report has 40 bytes on average.
pub(super) const REPORTS_PER_MESSAGE: usize = 64;

/// The most ended servers in one message.
const ENDED_PER_MESSAGE: usize = 256;

/// The number of reports that wait from which on further ones are sent once: a crash may blame thousands of parts of
/// prompts, and the same news comes again with the next crash and at the next refresh.
const MANY_REPORTS: usize = 256;

/// The boxes that get a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// Those that count the crashes of the request.
    Counting,
    /// Those, and another one.
    CountingAnd(Ipv4Addr),
    /// All boxes.
    All,
}

/// A report that is sent several times.
#[derive(Clone, Copy, Debug)]
struct PendingSend {
    to: Recipients,
    /// Whether this clears a request. Such a report is dropped once another box has sent the same.
    is_clearance: bool,
    sends_left: u32,
    due: Moment,
}

/// The crash reports that are yet to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    reports: HashMap<Fingerprint, PendingSend>,
    /// Ended servers that no box has reported yet.
    ended: Vec<BackendId>,
    /// The time of the last report on the end of each server, by this or another box.
    ended_sent_at: HashMap<BackendId, Moment>,
}

impl Outbox {
    /// Schedules the report on a request, for all boxes or for those that count its crashes.
    pub fn add_report(&mut self, fingerprint: Fingerprint, to_all: bool, now: Moment) {
        // A report for all boxes isn't narrowed down by a later one for some of them.
        let before = self.reports.get(&fingerprint).map(|pending_send| pending_send.to);
        let to = match before {
            _ if to_all => Recipients::All,
            Some(before) => before,
            None => Recipients::Counting,
        };
        let sends_left = self.sends();
        let pending_send = PendingSend { to, is_clearance: false, sends_left, due: now };
        self.reports.insert(fingerprint, pending_send);
    }

    /// Returns how many times the next report is sent.
    fn sends(&self) -> u32 {
        if self.reports.len() < MANY_REPORTS { SEND_ATTEMPTS } else { 1 }
    }

    /// Schedules the report that a request's crashes no longer count, unless another box sends it first.
    pub fn add_clearance(&mut self, fingerprint: Fingerprint, to: Recipients, now: Moment) {
        let due = now + scaled(MAX_CLEARANCE_DELAY, rand::rng().random::<f64>());
        let pending_send = PendingSend { to, is_clearance: true, sends_left: self.sends(), due };
        self.reports.entry(fingerprint).or_insert(pending_send);
    }

    /// Records that another box sent what this one knows about a request.
    pub fn record_received(&mut self, fingerprint: Fingerprint) {
        self.reports
            .retain(|waiting, pending_send| *waiting != fingerprint || !pending_send.is_clearance);
    }

    /// Schedules the report on the end of a server, unless one was sent recently. Returns whether
    /// it did.
    pub fn add_ended(&mut self, server: &BackendId, now: Moment) -> bool {
        if self.was_sent(server, now) {
            return false;
        }
        self.ended.push(server.clone());
        self.ended_sent_at.insert(server.clone(), now);
        true
    }

    /// Records that another box reported the end of a server.
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

    /// Returns the requests whose reports are due, and the boxes that get each.
    pub fn take_due(&mut self, now: Moment) -> Vec<(Fingerprint, Recipients)> {
        let mut due = Vec::new();
        self.reports.retain(|fingerprint, pending_send| {
            if pending_send.due <= now {
                due.push((*fingerprint, pending_send.to));
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

/// Sends due reports to other boxes. Runs as long as the box does.
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
    for chunk in servers.chunks(ENDED_PER_MESSAGE) {
        socket.send(&Message::ServersEnded(chunk.to_vec()), &boxes).await;
    }
}

async fn broadcast_reports(node: &ServingNode, socket: &PeerSocket) {
    let now = node.now();
    let due = node.crashes.outbox.lock().take_due(now);
    if due.is_empty() {
        return;
    }
    let (me, boxes) = (node.settings.load().node.ip, candidates(node));
    let mut for_all = Vec::new();
    let mut for_coordinators: BTreeMap<Ipv4Addr, Vec<CrashReport>> = BTreeMap::new();
    for (fingerprint, to) in due {
        let Some(report) = node.crashes.tracker.lock().report(fingerprint).cloned() else {
            continue;
        };
        let mut counting = match to {
            Recipients::All => {
                for_all.push(report);
                continue;
            }
            Recipients::Counting | Recipients::CountingAnd(_) => {
                coordinators_among(&boxes, fingerprint)
            }
        };
        if let Recipients::CountingAnd(other) = to
            && !counting.contains(&other)
        {
            counting.push(other);
        }
        let others = counting.into_iter().filter(|ip| *ip != me);
        others.for_each(|ip| for_coordinators.entry(ip).or_default().push(report.clone()));
    }
    let all = node.peers.lock().reachable(now);
    send_reports(node, socket, &for_all, &all).await;
    for (ip, reports) in for_coordinators {
        send_reports(node, socket, &reports, &[ip]).await;
    }
}

/// Sends reports, and when the connections broke. Parts of prompts get trials whenever that was.
pub(super) async fn send_reports(
    node: &ServingNode,
    socket: &PeerSocket,
    reports: &[CrashReport],
    to: &[Ipv4Addr],
) {
    for chunk in reports.chunks(REPORTS_PER_MESSAGE) {
        socket.send(&Message::CrashReports(chunk.to_vec()), to).await;
        let requests = chunk.iter().map(|report| report.fingerprint);
        let requests = requests.filter(|fingerprint| !fingerprint.is_part());
        let times = |fingerprint| node.crashes.tracker.lock().break_times(fingerprint, node.now());
        let times: Vec<_> = requests.filter_map(times).collect();
        if !times.is_empty() {
            socket.send(&Message::BreakTimes(times), to).await;
        }
    }
}
