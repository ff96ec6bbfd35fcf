//! Keeps the crashes of requests that are not quarantined yet known to the boxes that count them, whichever of these are
//! restarted.
//!
//! A box that starts asks the others for what it is to count. One that stops tells the next ones. In between, those that
//! count the crashes of a request tell each other again from time to time, for a box that was killed, was cut off or has
//! only now become one of them.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use trackfront_core::serving::crashes::CrashReport;

use super::outbox::{REPORTS_PER_MESSAGE, send_reports};
use super::{candidates, coordinators_among};
use crate::serving::boxes;
use crate::serving::messages::Message;
use crate::serving::node::ServingNode;
use crate::serving::peer_socket::PeerSocket;

/// The interval at which a starting box asks, and how often it does: datagrams get lost.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
const ASKS: usize = 3;

/// The most boxes that are asked, those of this hall first. In a larger fleet the others are heard at the next refresh.
const MAX_ASKED: usize = 64;

/// The interval at which the boxes that count the crashes of a request tell each other of them.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// The most requests of which one box is told at once, those with the most crashes first. Their reports take 10 KB.
const MAX_HANDED_ON: usize = 256;

/// Asks for what this box is to count, and tells the others from time to time. Runs as long as the box does.
pub async fn hand_on(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    boxes::wait_for_box_list(&node).await;
    for _ in 0..ASKS {
        let mut asked = boxes::likely_up(&node);
        asked.truncate(MAX_ASKED);
        socket.send(&Message::CrashReportsRequest, &asked).await;
        sleep(ASK_INTERVAL).await;
    }
    loop {
        sleep(REFRESH_INTERVAL).await;
        refresh(&node, &socket).await;
    }
}

/// Tells the other boxes that count the crashes of requests what this one counts.
async fn refresh(node: &ServingNode, socket: &PeerSocket) {
    let suspected = node.crashes.tracker.lock().suspected(REPORTS_PER_MESSAGE);
    if suspected.is_empty() {
        return;
    }
    let (me, boxes) = (node.settings.load().node.ip, candidates(node));
    let mut by_box: BTreeMap<Ipv4Addr, Vec<CrashReport>> = BTreeMap::new();
    for (report, _) in suspected {
        let counting = coordinators_among(&boxes, report.fingerprint);
        if counting.contains(&me) {
            let others = counting.into_iter().filter(|ip| *ip != me);
            others.for_each(|ip| by_box.entry(ip).or_default().push(report.clone()));
        }
    }
    for (ip, reports) in by_box {
        send_reports(node, socket, &reports, &[ip]).await;
    }
}

/// Answers a box that has started and asks for what it is to count.
pub fn handle_request(node: &ServingNode, socket: &PeerSocket, from: Ipv4Addr) {
    let suspected = node.crashes.tracker.lock().suspected(MAX_HANDED_ON);
    if suspected.is_empty() {
        return;
    }
    let mut boxes = candidates(node);
    if !boxes.contains(&from) {
        boxes.push(from);
    }
    let counts =
        |report: &CrashReport| coordinators_among(&boxes, report.fingerprint).contains(&from);
    let reports = suspected.into_iter().map(|(report, _)| report).filter(counts);
    let reports: Vec<_> = reports.collect();
    log::info!(to:% = from, requests = reports.len(); "crashes handed on");
    for chunk in reports.chunks(REPORTS_PER_MESSAGE) {
        socket.send_now(&Message::CrashReports(chunk.to_vec()), from);
    }
}

/// Tells the boxes that will count the crashes of requests without this one, which is stopping.
pub fn hand_over(node: &ServingNode) {
    let suspected = node.crashes.tracker.lock().suspected(MAX_HANDED_ON);
    log::info!(requests = suspected.len(); "crashes handed over");
    let now = node.now();
    let mut outbox = node.crashes.outbox.lock();
    suspected.iter().for_each(|(report, _)| outbox.add_report(report.fingerprint, false, now));
    drop(outbox);
    node.crashes.outbox_changed.notify_one();
}
