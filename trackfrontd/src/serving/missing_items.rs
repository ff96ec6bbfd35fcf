//! Models and adapters that boxes need and no engine holds, and those that are being loaded.
//!
//! A box that needs a missing model or adapter informs the holder of the order lease, which answers
//! when the item is expected: at once if the order was given, else once it is. A request waits for
//! an item that is expected in time, and is refused at once if no load of the item is known.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use trackfront_core::ids::BackendId;
use trackfront_core::serving::adapter_wait::AdapterWait;
use trackfront_core::serving::request::ModelRef;
use trackfront_core::units::Moment;

use super::messages::Message;
use super::node::ServingNode;
use super::overlay::EntryKind;
use super::peer_socket::PeerSocket;
use super::short_names::{short_item, short_server};

/// How long a box that needs an item is informed of orders for it, in case its request arrived
/// before the order.
const REQUEST_TTL: Duration = Duration::from_secs(5);

/// An item that is expected at an engine, in so many milliseconds from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingItem {
    server: u32,
    item: u32,
    eta_ms: u32,
}

/// The items that this box needs, and the boxes that need items from this one.
#[derive(Debug, Default)]
pub struct MissingItems {
    /// The items missing at this box since it last reported them.
    missing_here: Mutex<BTreeSet<ModelRef>>,
    /// The boxes that requested items that were not being loaded.
    requesters: Mutex<HashMap<ModelRef, HashMap<Ipv4Addr, Moment>>>,
    /// Notified when the load of an item was ordered.
    item_ordered: Notify,
    /// The items that were ordered since the requesting boxes were last informed.
    ordered: Mutex<BTreeSet<ModelRef>>,
    adapter_wait: Mutex<AdapterWait>,
}

impl MissingItems {
    /// Records that an item is missing at this box.
    pub fn record(&self, item: &ModelRef) {
        self.missing_here.lock().insert(item.clone());
    }

    /// Returns and clears the items recorded since the last call.
    pub fn take(&self) -> BTreeSet<ModelRef> {
        std::mem::take(&mut self.missing_here.lock())
    }

    /// Returns how long a request waits for an adapter that this box has just requested.
    pub fn adapter_wait(&self, now: Moment) -> Duration {
        self.adapter_wait.lock().longest(now)
    }

    /// Records how long an adapter took, or how long it was awaited in vain.
    pub fn record_adapter_wait(&self, took: Duration, now: Moment) {
        self.adapter_wait.lock().record(took, now);
    }
}

/// Records at the box that gave the order when an item is expected at an engine.
pub fn expect_item(node: &ServingNode, server: &BackendId, item: &ModelRef, at: Moment) {
    let kind = EntryKind::Pending(at);
    node.overlay.lock().record(server, item, kind, node.now());
    node.missing_items.ordered.lock().insert(item.clone());
    node.missing_items.item_ordered.notify_one();
}

/// Informs the boxes that requested items about the orders for them. Runs as long as the box does.
pub async fn notify_requesters(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    loop {
        node.missing_items.item_ordered.notified().await;
        let now = node.now();
        let ordered = std::mem::take(&mut *node.missing_items.ordered.lock());
        let mut reports: HashMap<Ipv4Addr, Vec<PendingItem>> = HashMap::new();
        for item in ordered {
            let requesters = node.missing_items.requesters.lock().remove(&item).unwrap_or_default();
            let recent = requesters.into_iter().filter(|(_, at)| now.since(*at) < REQUEST_TTL);
            for (ip, _) in recent {
                reports.entry(ip).or_default().extend(pending_report(&node, &item, now));
            }
        }
        for (ip, report) in reports {
            socket.send(&Message::PendingItems(report), &[ip]).await;
        }
    }
}

/// Answers a box that needs items: with what is being loaded now, and later with what is ordered.
pub fn answer(node: &ServingNode, socket: &PeerSocket, ip: Ipv4Addr, items: &[ModelRef]) {
    let now = node.now();
    let mut known = Vec::new();
    for item in items {
        let report = pending_report(node, item, now);
        if report.is_empty() {
            let mut requesters = node.missing_items.requesters.lock();
            let boxes = requesters.entry(item.clone()).or_default();
            boxes.retain(|_, at| now.since(*at) < REQUEST_TTL);
            boxes.insert(ip, now);
        }
        known.extend(report);
    }
    if !known.is_empty() {
        socket.send_now(&Message::PendingItems(known), ip);
    }
}

fn pending_report(node: &ServingNode, item: &ModelRef, now: Moment) -> Vec<PendingItem> {
    let overlay = node.overlay.lock();
    let pending = overlay.pending(item).map(|(server, at)| PendingItem {
        server: short_server(server),
        item: short_item(item),
        eta_ms: u32::try_from(at.since(now).as_millis()).unwrap_or(u32::MAX),
    });
    pending.collect()
}

/// Applies the report of the order lease's holder on items that are being loaded.
pub fn apply_report(node: &ServingNode, pending: &[PendingItem]) {
    let now = node.now();
    let names = node.names.lock();
    let mut overlay = node.overlay.lock();
    for report in pending {
        if let (Some(server), Some(item)) = (names.server(report.server), names.item(report.item)) {
            let at = now + Duration::from_millis(u64::from(report.eta_ms));
            overlay.record(server, item, EntryKind::Pending(at), now);
        }
    }
    drop(overlay);
    drop(names);
    node.servers_changed.notify_waiters();
}
