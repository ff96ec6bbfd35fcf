//! Exchanges digests with other boxes: requests in flight, demand, and the order holder's changes.
//!
//! Each box sends its digest to others several times a second, in one UDP datagram each. Digests
//! improve estimates, and a lost one costs some time at most. Correctness relies on one field only:
//! the end of the order lease, as announced by the box that held it.

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

use super::messages::{DemandReport, Digest, LeaseReport, Message, OverlayEntry, ServerLoadReport};
use super::node::ServingNode;
use super::overlay::EntryKind;
use super::peer::PEER_TIMEOUT;
use super::peer_socket::{MAX_DATAGRAM, PeerSocket};
use super::peer_tracker::MIN_DIGEST_INTERVAL;
use super::short_names::{short_hall, short_item, short_server};
use super::{
    boxes, config_freshness, crashes, engine_loads, feed_relay, missing_items, notices, permits,
    quota, room, stream_origins,
};

/// The shortest time between a digest and an early one.
const MIN_EARLY_INTERVAL: Duration = Duration::from_millis(20);

/// The order holder sends an early digest no sooner than this fraction of the digest interval after
/// the last one, so that early digests take less than a tenth of its link even in a large fleet.
const HOLDER_EARLY_DIVISOR: u32 = 3;

/// The interval, in rounds, between demand reports to the order holder.
const DEMAND_ROUNDS: u64 = 4;

/// The most bytes that decoding a datagram may allocate.
const MAX_DECODED_BYTES: usize = 64 * 1024;

/// Sends digests and demand reports to the other boxes for as long as the node runs.
pub async fn send_digests(
    node: Arc<ServingNode>,
    socket: Arc<PeerSocket>,
    order_lease: Arc<HoldsOrderLease>,
) {
    let settings = node.settings.load_full();
    let hall = short_hall(&settings.node.hall);
    let mut round = 0u64;
    let mut is_early = false;
    let mut digest_due = Instant::now();
    loop {
        let now = node.now();
        node.loads.lock().forget_old(now);
        // The order holder's changes are urgent for all boxes, missing items only for the order
        // holder.
        let is_holder = order_lease.get();
        let (targets, interval) = {
            let mut peers = node.peers.lock();
            peers.update_missing(now);
            let targets = match is_early && is_holder {
                true => peers.urgent_targets(now),
                false => peers.digest_targets(round, now),
            };
            let interval = peers.digest_interval(targets.len());
            (targets, interval)
        };
        // Digests show that this box is alive, so missing items must not keep delaying them.
        let is_due = Instant::now() >= digest_due;
        if is_holder || is_due {
            let lease = order_lease.report(now);
            let digest = digest(&node, hall, is_holder, lease);
            socket.send(&Message::Digest(digest), &targets).await;
        }
        let missing = node.missing_items.take();
        if !is_holder && (!missing.is_empty() || (is_due && round.is_multiple_of(DEMAND_ROUNDS))) {
            let holder = node.peers.lock().order_holder(now);
            let demand = Message::Demand(demand(&node, &missing));
            socket.send(&demand, holder.as_slice()).await;
        }
        if is_due {
            round += 1;
            digest_due = Instant::now() + interval;
        }
        let early_interval = match is_holder {
            true => MIN_EARLY_INTERVAL.max(interval / HOLDER_EARLY_DIVISOR),
            false => MIN_EARLY_INTERVAL,
        };
        let start = Instant::now();
        is_early = timeout(interval, node.digest_requested.notified()).await.is_ok();
        sleep_until(start + early_interval).await;
    }
}

/// Whether this node holds the order lease, and its last announcement of the lease's end.
#[derive(Debug, Default)]
pub struct HoldsOrderLease(std::sync::atomic::AtomicBool, Mutex<Option<LeaseAnnouncement>>);

impl HoldsOrderLease {
    /// Returns whether this node holds the lease.
    pub fn get(&self) -> bool {
        self.0.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Sets whether this node holds the lease.
    pub fn set(&self, is_holder: bool) {
        self.0.store(is_holder, std::sync::atomic::Ordering::Relaxed);
    }

    /// Sets the end of the lease under the row version that this node wrote last. It stays in the
    /// digests after the node has lost the lease, which lets other boxes take it sooner.
    pub fn announce(&self, announcement: LeaseAnnouncement) {
        *self.1.lock() = Some(announcement);
    }

    /// Returns the last announcement as of `now`, for a digest.
    pub fn report(&self, now: Moment) -> Option<LeaseReport> {
        LeaseReport::from_announcement((*self.1.lock())?, now)
    }
}

fn digest(node: &ServingNode, hall: u32, is_holder: bool, lease: Option<LeaseReport>) -> Digest {
    let loads = node.loads.lock();
    let in_flight = loads.own_in_flight();
    let server_loads = in_flight
        .map(|(id, in_flight)| ServerLoadReport::new(short_server(id), &in_flight))
        .collect();
    drop(loads);
    // Only the holder sends its overlay entries. If others repeated them, the entries would never
    // expire.
    let overlay_entries = match is_holder {
        true => overlay_entries(node),
        false => Vec::new(),
    };
    let (stopping, store_lost) = (node.is_stopping(), node.is_store_lost());
    let capacity = node.settings.load().resources.capacity();
    let holder = match is_holder {
        true => None,
        false => node.peers.lock().holder_report(node.now()),
    };
    Digest {
        hall,
        capacity,
        config_row: node.config_row_in_force(),
        holds_order_lease: is_holder,
        stopping,
        store_lost,
        lease,
        holder,
        server_loads,
        overlay_entries,
    }
}

fn overlay_entries(node: &ServingNode) -> Vec<OverlayEntry> {
    let overlay = node.overlay.lock();
    let entry = |(server, item, kind): (&_, &_, EntryKind)| {
        (short_server(server), short_item(item), kind == EntryKind::Added)
    };
    overlay.all().map(entry).collect()
}

fn demand(node: &ServingNode, missing: &BTreeSet<ModelRef>) -> DemandReport {
    let own = node.demand.lock().own(node.now());
    let entry = |(item, rate): &(_, Rate)| {
        (short_item(item), (rate.requests * 100.0) as u32, rate.work_ms as u32)
    };
    let adapter_use = node.adapter_use.lock();
    let in_use = adapter_use.own().map(|(server, item)| (short_server(server), short_item(item)));
    let missing_items = missing.iter().map(short_item).collect();
    DemandReport { rates: own.iter().map(entry).collect(), missing_items, in_use: in_use.collect() }
}

/// Receives and handles messages of other boxes for as long as the node runs.
pub async fn receive_messages(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut warned_at = Moment::default();
    loop {
        let (length, ip) = match socket.receive(&mut buffer).await {
            Ok(Some(received)) => received,
            Ok(None) => continue,
            Err(error) => {
                log::debug!(error:% = error; "receiving a datagram failed");
                tokio::time::sleep(MIN_DIGEST_INTERVAL).await;
                continue;
            }
        };
        let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
        match bincode::serde::decode_from_slice::<Message, _>(&buffer[..length], config) {
            Ok((Message::Digest(digest), _)) => {
                forward_entries(&node, &socket, ip, &digest.overlay_entries).await;
                apply_digest(&node, ip, digest);
            }
            Ok((Message::OverlayEntries(entries), _)) => apply_entries(&node, &entries),
            Ok((Message::Demand(report), _)) => apply_demand(&node, &socket, ip, &report),
            Ok((Message::FeedUpdate(update), _)) => feed_relay::apply_update(&node, ip, update),
            Ok((Message::PackedFeedUpdate(packed), _)) => {
                feed_relay::apply_packed(&node, ip, &packed)
            }
            Ok((Message::PendingItems(items), _)) => missing_items::apply_report(&node, &items),
            Ok((Message::BoxList(update), _)) => boxes::apply_update(&node, &socket, update).await,
            Ok((Message::ConfigVersionRequest(request), _)) => {
                config_freshness::handle_request(&node, &socket, ip, request)
            }
            Ok((Message::ConfigVersionReply(reply), _)) => {
                config_freshness::handle_reply(&node, ip, reply)
            }
            Ok((Message::QuotaRequest(request), _)) => {
                quota::handle_request(&node, &socket, ip, &request)
            }
            Ok((Message::QuotaReply(reply), _)) => quota::handle_reply(&node, ip, &reply),
            Ok((Message::CrashReports(reports), _)) => crashes::merge_reports(&node, ip, &reports),
            Ok((Message::CrashReportsRequest, _)) => {
                crashes::hand_on::handle_request(&node, &socket, ip)
            }
            Ok((Message::BreakTimes(times), _)) => crashes::merge_break_times(&node, ip, &times),
            Ok((Message::ServersEnded(servers), _)) => crashes::merge_ended(&node, &servers),
            Ok((Message::Notices(batch), _)) => {
                notices::handle_batch(&node, &socket, ip, batch).await
            }
            Ok((Message::PermitRequest(request), _)) => {
                permits::handle_request(&node, &socket, ip, &request)
            }
            Ok((Message::PermitReply(reply), _)) => permits::handle_reply(&node, reply),
            Ok((Message::RoomRequest(request), _)) => room::handle_request(&node, ip, &request),
            Ok((Message::RoomReply(reply), _)) => room::handle_reply(&node, reply),
            Ok((Message::RoomRelease(release), _)) => room::handle_release(&node, ip, release),
            Ok((Message::StreamOrigins(origins), _)) => {
                stream_origins::keepers::handle_origins(&node, &origins)
            }
            Ok((Message::StreamOriginRequest(request), _)) => {
                stream_origins::lookup::handle_request(&node, &socket, ip, request)
            }
            Ok((Message::StreamOriginReply(reply), _)) => {
                stream_origins::lookup::handle_reply(&node, reply)
            }
            Ok((Message::KeptOrigins(origins), _)) => {
                stream_origins::keepers::handle_kept(&node, &origins)
            }
            Ok((Message::KeptOriginsRequest, _)) => {
                stream_origins::keepers::handle_kept_request(&node, ip)
            }
            Ok((Message::LoadRequest(request), _)) => {
                engine_loads::handle_request(&node, &socket, ip, &request)
            }
            Ok((Message::LoadReply(reply), _)) => engine_loads::handle_reply(&node, &reply),
            Ok((Message::LoadChange(change), _)) => engine_loads::handle_change(&node, ip, &change),
            Ok((Message::FormerFeedUpdate | Message::FormerPackedFeedUpdate, _)) => {}
            Err(error) => {
                let now = node.now();
                if now.since(warned_at) > PEER_TIMEOUT {
                    log::warn!(from:% = ip, error:% = error; "decoding a message failed");
                    warned_at = now;
                }
            }
        }
    }
}

fn apply_demand(node: &ServingNode, socket: &PeerSocket, ip: Ipv4Addr, report: &DemandReport) {
    let names = node.names.lock();
    let rates = report.rates.iter().filter_map(|(item, requests, work_ms)| {
        let rate = Rate { requests: f64::from(*requests) / 100.0, work_ms: f64::from(*work_ms) };
        Some((names.item(*item)?.clone(), rate))
    });
    node.demand.lock().apply_report(ip.to_bits(), rates.collect(), node.now());
    let in_use = report.in_use.iter().filter_map(|(server, item)| {
        Some((names.server(*server)?.clone(), names.item(*item)?.clone()))
    });
    node.adapter_use.lock().apply_peer_report(ip.to_bits(), in_use.collect(), node.now());
    let missing: Vec<ModelRef> =
        report.missing_items.iter().filter_map(|item| names.item(*item).cloned()).collect();
    drop(names);
    if !missing.is_empty() {
        missing_items::answer(node, socket, ip, &missing);
        node.missing_item_added.notify_one();
    }
}

fn apply_digest(node: &ServingNode, ip: Ipv4Addr, digest: Digest) {
    let now = node.now();
    node.peers.lock().record_digest(ip, &digest, now);
    if digest.config_row > node.config_row() {
        node.feed_update_received.notify_waiters();
    }
    let names = node.names.lock();
    let server_loads = digest
        .server_loads
        .iter()
        .filter_map(|load| Some((names.server(load.server)?.clone(), load.in_flight())));
    node.loads.lock().apply_peer_report(ip.to_bits(), server_loads.collect(), now);
    drop(names);
    apply_entries(node, &digest.overlay_entries);
}

fn apply_entries(node: &ServingNode, entries: &[OverlayEntry]) {
    if entries.is_empty() {
        return;
    }
    let now = node.now();
    let names = node.names.lock();
    let mut overlay = node.overlay.lock();
    for (server, item, is_added) in entries {
        if let (Some(server), Some(item)) = (names.server(*server), names.item(*item)) {
            let kind = if *is_added { EntryKind::Added } else { EntryKind::Withdrawn };
            overlay.record(server, item, kind, now);
        }
    }
    node.servers_changed.notify_waiters();
}

/// Forwards overlay entries of the order holder to this hall, if the holder sent them only to
/// delegates.
async fn forward_entries(
    node: &ServingNode,
    socket: &PeerSocket,
    ip: Ipv4Addr,
    entries: &[OverlayEntry],
) {
    if entries.is_empty() || !node.peers.lock().forwards_from(ip) {
        return;
    }
    let targets = node.peers.lock().reachable_in_hall(node.now());
    socket.send(&Message::OverlayEntries(entries.to_vec()), &targets).await;
}
