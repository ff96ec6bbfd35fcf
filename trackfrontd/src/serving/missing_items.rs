//! Who lacks what, and what is on its way.
//!
//! A box that lacks a model or an adapter tells the holder of the lease on orders, which answers when it
//! should be there: at once if the order was given, else when it is. A request waits for what is known to
//! come in time for it; for what nobody is known to load it is refused at once.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use trackfront_core::ids::BackendId;
use trackfront_core::serving::request::ModelRef;
use trackfront_core::units::Moment;

use super::messages::Message;
use super::node::{ServingNode, short_item, short_server};
use super::overlay::EntryKind;
use super::peer_socket::PeerSocket;

/// How long a box that lacks something is told of it, in case its question came before the order.
const ASKER_TTL: Duration = Duration::from_secs(5);

/// How long an adapter that was asked for takes to be there before any was measured: an order, the load
/// and word of both.
const INITIAL_ADAPTER_WAIT: Duration = Duration::from_millis(150);

/// The weight of one measurement in the mean of such times.
const MEAN_WEIGHT: f64 = 0.1;

/// How many times the mean an adapter is waited for.
const ADAPTER_WAIT_FACTOR: f64 = 2.0;

/// Word of an item that should be at an engine so many milliseconds from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingItem {
    server: u32,
    item: u32,
    eta_ms: u32,
}

/// What is lacking here, and who else lacks something.
#[derive(Debug)]
pub struct MissingItems {
    /// What this box lacked since it last told.
    own: Mutex<BTreeSet<ModelRef>>,
    /// The boxes that asked for items that were not on their way.
    askers: Mutex<HashMap<ModelRef, HashMap<Ipv4Addr, Moment>>>,
    /// Told when something that was asked for is on its way.
    item_ordered: Notify,
    /// What has come on its way since askers were told.
    ordered: Mutex<BTreeSet<ModelRef>>,
    adapter_wait_ms: Mutex<f64>,
}

impl Default for MissingItems {
    fn default() -> Self {
        Self {
            own: Mutex::default(),
            askers: Mutex::default(),
            item_ordered: Notify::new(),
            ordered: Mutex::default(),
            adapter_wait_ms: Mutex::new(INITIAL_ADAPTER_WAIT.as_secs_f64() * 1_000.0),
        }
    }
}

impl MissingItems {
    /// Notes that this box lacks an item.
    pub fn record(&self, item: &ModelRef) {
        self.own.lock().insert(item.clone());
    }

    /// Returns what this box lacked since the last question.
    pub fn take(&self) -> BTreeSet<ModelRef> {
        std::mem::take(&mut self.own.lock())
    }

    /// Returns how long an adapter is waited for that this box has just asked for.
    pub fn adapter_wait(&self) -> Duration {
        Duration::from_secs_f64(*self.adapter_wait_ms.lock() * ADAPTER_WAIT_FACTOR / 1_000.0)
    }

    /// Notes how long one took, or for how long it was waited for in vain.
    pub fn record_adapter_wait(&self, took: Duration) {
        let mut mean = self.adapter_wait_ms.lock();
        *mean += MEAN_WEIGHT * (took.as_secs_f64() * 1_000.0 - *mean);
    }
}

/// Notes, at the box that gave the order, that an item should be at an engine at a moment.
pub fn expect_item(node: &ServingNode, server: &BackendId, item: &ModelRef, at: Moment) {
    let kind = EntryKind::Pending(at);
    node.overlay.lock().record(server, item, kind, node.now());
    node.missing_items.ordered.lock().insert(item.clone());
    node.missing_items.item_ordered.notify_one();
}

/// Tells boxes that asked for what has come on its way, for as long as the box lives.
pub async fn notify_askers(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    loop {
        node.missing_items.item_ordered.notified().await;
        let now = node.now();
        let ordered = std::mem::take(&mut *node.missing_items.ordered.lock());
        let mut reports: HashMap<Ipv4Addr, Vec<PendingItem>> = HashMap::new();
        for item in ordered {
            let askers = node.missing_items.askers.lock().remove(&item).unwrap_or_default();
            let recent = askers.into_iter().filter(|(_, at)| now.since(*at) < ASKER_TTL);
            for (ip, _) in recent {
                reports.entry(ip).or_default().extend(pending_report(&node, &item, now));
            }
        }
        for (ip, report) in reports {
            socket.send(&Message::PendingItems(report), &[ip]).await;
        }
    }
}

/// Answers a box that lacks items: what is on its way, and later what will be.
pub fn answer(node: &ServingNode, socket: &PeerSocket, ip: Ipv4Addr, items: &[ModelRef]) {
    let now = node.now();
    let mut known = Vec::new();
    for item in items {
        let report = pending_report(node, item, now);
        if report.is_empty() {
            let mut askers = node.missing_items.askers.lock();
            let boxes = askers.entry(item.clone()).or_default();
            boxes.retain(|_, at| now.since(*at) < ASKER_TTL);
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

/// Takes in what the holder of the lease said is on its way.
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
