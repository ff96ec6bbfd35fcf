//! What nodes tell each other: requests under way, demand, and what the giver of orders did.
//!
//! A digest goes to every other node some times a second in one UDP datagram. Digests only make
//! estimates better, and a lost one costs time at most. One thing that has to hold depends on a word
//! in them: when the holder of the lease on orders says that its right ends.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::{Instant, sleep_until, timeout};
use trackfront_core::lease::LeaseAnnouncement;
use trackfront_core::serving::demand::Rate;
use trackfront_core::serving::request::ModelRef;
use trackfront_core::units::Moment;

use super::feed_relay as relay;
use super::messages::{DemandReport, Digest, LeaseReport, Message, OverlayEntry, ServerLoadReport};
use super::node::{ServingNode, short_hall, short_item, short_server};
use super::overlay::EntryKind;
use super::peer_socket::{MAX_DATAGRAM, PeerSocket};
use super::peer_tracker::{MIN_DIGEST_INTERVAL, PEER_TIMEOUT};
use super::{boxes, config_freshness, crashes, missing_items, notices, permits, quota};

/// The least time between a digest and one that is sent early for something urgent.
const URGENT_GAP: Duration = Duration::from_millis(20);

/// The part of the time between digests after which the giver may send one early: a tenth of its
/// link is not taken by what is urgent, also with many nodes.
const URGENT_SHARE: u32 = 3;

/// Every how many rounds the giver is told of the demand.
const DEMAND_EVERY: u64 = 4;

/// The limits of what is decoded: no datagram makes the node reserve more than this.
const DECODE_LIMIT: usize = 64 * 1024;

/// Tells the other nodes, again and again.
pub async fn send_digests(
    node: Arc<ServingNode>,
    socket: Arc<PeerSocket>,
    gives_orders: Arc<HoldsOrderLease>,
) {
    let settings = node.settings.load_full();
    let zone = short_hall(&settings.node.hall);
    let mut round = 0u64;
    let mut urgent = false;
    let mut digest_due = Instant::now();
    loop {
        let now = node.now();
        node.loads.lock().forget_old(now);
        // What the giver did is urgent for all; what is lacking is so for the giver alone.
        let gives = gives_orders.get();
        let (told, gap) = {
            let mut peers = node.peers.lock();
            peers.update_missing(now);
            let told = match urgent && gives {
                true => peers.urgent_targets(now),
                false => peers.digest_targets(round, now),
            };
            let gap = peers.digest_interval(told.len());
            (told, gap)
        };
        // A node that lacks something all the time is no less alive: others go by its digests.
        let is_due = Instant::now() >= digest_due;
        if gives || is_due {
            let right = gives_orders.report(now);
            let digest = digest(&node, zone, gives, right);
            socket.send(&Message::Digest(digest), &told).await;
        }
        let lacks = node.missing_items.take();
        if !gives && (!lacks.is_empty() || (is_due && round.is_multiple_of(DEMAND_EVERY))) {
            let giver = node.peers.lock().order_holder(now);
            let demand = Message::Demand(demand(&node, &lacks));
            socket.send(&demand, giver.as_slice()).await;
        }
        if is_due {
            round += 1;
            digest_due = Instant::now() + gap;
        }
        let urgent_gap = match gives {
            true => URGENT_GAP.max(gap / URGENT_SHARE),
            false => URGENT_GAP,
        };
        let start = Instant::now();
        urgent = timeout(gap, node.digest_requested.notified()).await.is_ok();
        sleep_until(start + urgent_gap).await;
    }
}

/// Whether this node holds the lease on orders, and until when it has the right to give them, for
/// its digests.
#[derive(Debug, Default)]
pub struct HoldsOrderLease(std::sync::atomic::AtomicBool, Mutex<Option<LeaseAnnouncement>>);

impl HoldsOrderLease {
    /// Returns whether it holds the lease.
    pub fn get(&self) -> bool {
        self.0.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Notes whether it holds the lease.
    pub fn set(&self, gives: bool) {
        self.0.store(gives, std::sync::atomic::Ordering::Relaxed);
    }

    /// Notes when its right ends under the version of the lease's row that it wrote last. Others are
    /// told also after it lost the lease: they may take it the sooner.
    pub fn announce(&self, word: LeaseAnnouncement) {
        *self.1.lock() = Some(word);
    }

    /// Returns until when it may give orders, as other boxes are told.
    pub fn report(&self, now: Moment) -> Option<LeaseReport> {
        LeaseReport::from_announcement((*self.1.lock())?, now)
    }
}

fn digest(node: &ServingNode, zone: u32, gives_orders: bool, right: Option<LeaseReport>) -> Digest {
    let loads = node.loads.lock();
    let shares = loads.own_in_flight();
    let shares =
        shares.map(|(id, share)| ServerLoadReport::new(short_server(id), &share)).collect();
    drop(loads);
    // Only the giver's notes are its own; others would repeat them for ever.
    let notes = match gives_orders {
        true => notes(node),
        false => Vec::new(),
    };
    let config = node.config.load().as_ref().map_or(0, |config| config.version);
    let (stopping, store_lost) = (node.is_stopping(), node.is_store_lost());
    let strength = node.settings.load().resources.capacity();
    let giver = match gives_orders {
        true => None,
        false => node.peers.lock().holder_report(node.now()),
    };
    Digest {
        hall: zone,
        capacity: strength,
        config_version: config,
        holds_order_lease: gives_orders,
        stopping,
        store_lost,
        lease: right,
        holder: giver,
        server_loads: shares,
        overlay_entries: notes,
    }
}

fn notes(node: &ServingNode) -> Vec<OverlayEntry> {
    let overlay = node.overlay.lock();
    let note = |(server, item, kind): (&_, &_, EntryKind)| {
        (short_server(server), short_item(item), kind == EntryKind::Added)
    };
    overlay.all().map(note).collect()
}

fn demand(node: &ServingNode, lacks: &BTreeSet<ModelRef>) -> DemandReport {
    let own = node.demand.lock().own(node.now());
    let told = |(item, rate): &(_, Rate)| {
        (short_item(item), (rate.requests * 100.0) as u32, rate.work_ms as u32)
    };
    let adapter_use = node.adapter_use.lock();
    let in_use = adapter_use.own().map(|(server, item)| (short_server(server), short_item(item)));
    let lacks = lacks.iter().map(short_item).collect();
    DemandReport {
        rates: own.iter().map(told).collect(),
        missing_items: lacks,
        in_use: in_use.collect(),
    }
}

/// Hears the other nodes.
pub async fn receive_messages(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut reported = Moment::default();
    loop {
        let (length, ip) = match socket.receive(&mut buffer).await {
            Ok(Some(received)) => received,
            Ok(None) => continue,
            Err(error) => {
                log::debug!(error:% = error; "no datagram received");
                tokio::time::sleep(MIN_DIGEST_INTERVAL).await;
                continue;
            }
        };
        let config = bincode::config::standard().with_limit::<DECODE_LIMIT>();
        match bincode::serde::decode_from_slice::<Message, _>(&buffer[..length], config) {
            Ok((Message::Digest(digest), _)) => {
                pass_on(&node, &socket, ip, &digest.overlay_entries).await;
                take_in(&node, ip, digest);
            }
            Ok((Message::OverlayEntries(notes), _)) => take_notes(&node, &notes),
            Ok((Message::Demand(told), _)) => take_demand(&node, &socket, ip, &told),
            Ok((Message::FeedUpdate(relay), _)) => relay::apply_update(&node, ip, relay),
            Ok((Message::PackedFeedUpdate(packed), _)) => relay::apply_packed(&node, ip, &packed),
            Ok((Message::PendingItems(coming), _)) => missing_items::apply_report(&node, &coming),
            Ok((Message::BoxList(told), _)) => boxes::apply_update(&node, &socket, told).await,
            Ok((Message::ConfigVersionRequest(question), _)) => {
                config_freshness::handle_request(&node, &socket, ip, question)
            }
            Ok((Message::ConfigVersionReply(told), _)) => {
                config_freshness::handle_reply(&node, ip, told)
            }
            Ok((Message::QuotaRequest(ask), _)) => quota::answer(&node, &socket, ip, &ask),
            Ok((Message::QuotaReply(answer), _)) => quota::handle_answer(&node, ip, &answer),
            Ok((Message::CrashReports(reports), _)) => crashes::merge_reports(&node, ip, &reports),
            Ok((Message::ServersEnded(servers), _)) => crashes::merge_ended(&node, &servers),
            Ok((Message::Notices(told), _)) => {
                notices::handle_batch(&node, &socket, ip, told).await
            }
            Ok((Message::PermitRequest(ask), _)) => permits::answer(&node, &socket, ip, &ask),
            Ok((Message::PermitReply(told), _)) => permits::handle_reply(&node, told),
            Err(error) => {
                let now = node.now();
                if now.since(reported) > PEER_TIMEOUT {
                    log::warn!(from:% = ip, error:% = error; "message not understood");
                    reported = now;
                }
            }
        }
    }
}

fn take_demand(node: &ServingNode, socket: &PeerSocket, ip: Ipv4Addr, told: &DemandReport) {
    let names = node.names.lock();
    let rates = told.rates.iter().filter_map(|(item, requests, work_ms)| {
        let rate = Rate { requests: f64::from(*requests) / 100.0, work_ms: f64::from(*work_ms) };
        Some((names.item(*item)?.clone(), rate))
    });
    node.demand.lock().apply_report(ip.to_bits(), rates.collect(), node.now());
    let in_use = told.in_use.iter().filter_map(|(server, item)| {
        Some((names.server(*server)?.clone(), names.item(*item)?.clone()))
    });
    node.adapter_use.lock().apply_peer_report(ip.to_bits(), in_use.collect(), node.now());
    let lacks: Vec<ModelRef> =
        told.missing_items.iter().filter_map(|item| names.item(*item).cloned()).collect();
    drop(names);
    if !lacks.is_empty() {
        missing_items::answer(node, socket, ip, &lacks);
        node.missing_item_added.notify_one();
    }
}

fn take_in(node: &ServingNode, ip: Ipv4Addr, digest: Digest) {
    let now = node.now();
    node.peers.lock().record_digest(ip, &digest, now);
    let names = node.names.lock();
    let shares = digest
        .server_loads
        .iter()
        .filter_map(|told| Some((names.server(told.server)?.clone(), told.in_flight())));
    node.loads.lock().apply_peer_report(ip.to_bits(), shares.collect(), now);
    drop(names);
    take_notes(node, &digest.overlay_entries);
}

fn take_notes(node: &ServingNode, notes: &[OverlayEntry]) {
    if notes.is_empty() {
        return;
    }
    let now = node.now();
    let names = node.names.lock();
    let mut overlay = node.overlay.lock();
    for (server, item, added) in notes {
        if let (Some(server), Some(item)) = (names.server(*server), names.item(*item)) {
            let kind = if *added { EntryKind::Added } else { EntryKind::Withdrawn };
            overlay.record(server, item, kind, now);
        }
    }
    node.servers_changed.notify_waiters();
}

/// Passes on to this hall what the giver of orders did, if it told only the boxes that speak for their halls.
async fn pass_on(node: &ServingNode, socket: &PeerSocket, ip: Ipv4Addr, notes: &[OverlayEntry]) {
    if notes.is_empty() || !node.peers.lock().forwards_from(ip) {
        return;
    }
    let mates = node.peers.lock().reachable_in_hall(node.now());
    socket.send(&Message::OverlayEntries(notes.to_vec()), &mates).await;
}
