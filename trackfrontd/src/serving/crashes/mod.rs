//! Requests that crash the servers which run them, and servers that have ended, known to all boxes.
//!
//! What one box learns of either the others know before the next try comes to them. [`outbox`] tells them, [`rows`]
//! keeps what is held off in the platform's table and hands it to boxes that start;
//! [`trackfront_core::serving::crashes`] decides.

pub mod operators;
pub mod outbox;
mod rows;

use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use outbox::Outbox;
pub use outbox::broadcast;
use parking_lot::Mutex;
pub use rows::{maintain_rows, snapshot};
use tokio::sync::Notify;
use tokio::time::sleep;
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_adapters::upstream::UpstreamError;
use trackfront_core::ids::{BackendId, RequestId};
use trackfront_core::quota::{BoxId, keepers};
use trackfront_core::serving::crashes::{
    CrashReport, CrashTracker, IncarnationId, SuspicionChange,
};
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::fingerprint::Fingerprint;
use trackfront_core::units::Moment;

use super::node::{ServingNode, short_server};
use super::quota::box_id;

/// How long after a connection broke the server is looked at: by then a process that ends listens no more.
const PROBE_DELAY: Duration = Duration::from_millis(30);

/// How long a connection may take to open there.
const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How many boxes count the crashes of one request. With each of them lost one after the other the count is lost.
const COORDINATORS: usize = 3;

/// What a box knows of requests that crash servers, and what it has yet to tell.
#[derive(Default)]
pub struct Crashes {
    tracker: Mutex<CrashTracker>,
    outbox: Mutex<Outbox>,
    /// The servers that are looked at now.
    probing: Mutex<HashSet<BackendId>>,
    /// Told when there is something to tell.
    outbox_changed: Notify,
    /// Told when something is held off.
    quarantine_changed: Notify,
    /// Requests that were let go here, whose rows are to be removed.
    rows_to_remove: Mutex<Vec<Fingerprint>>,
    /// Whether this box knows what was held off before it started.
    is_loaded: AtomicBool,
}

impl Crashes {
    /// Returns how many servers a request crashed, if it is held off.
    pub fn quarantined(&self, fingerprint: Fingerprint) -> Option<usize> {
        let tracker = self.tracker.lock();
        tracker
            .is_quarantined(fingerprint)
            .then(|| tracker.report(fingerprint).map_or(0, CrashReport::crashes))
    }

    /// Returns whether a request may well be one that crashes servers.
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        self.tracker.lock().is_suspect(fingerprint, now)
    }

    /// Returns what is held off, and since when.
    pub fn all_quarantined(&self) -> Vec<(CrashReport, Moment)> {
        let tracker = self.tracker.lock();
        tracker.quarantined().map(|(report, since)| (report.clone(), since)).collect()
    }

    /// Notes that a run of a server answered.
    pub fn record_alive(&self, server: &BackendId, now: Moment) {
        self.tracker.lock().mark_alive(incarnation_id(server), now);
    }

    fn is_loaded(&self) -> bool {
        self.is_loaded.load(Ordering::Relaxed)
    }
}

fn incarnation_id(server: &BackendId) -> IncarnationId {
    IncarnationId(short_server(server))
}

/// Returns whether a request may be sent, though it is held off, to see whether it really is what crashes servers.
pub fn take_trial(node: &ServingNode, fingerprint: Fingerprint) -> bool {
    let me = node.settings.load().node.ip;
    let is_first = coordinators_of(node, fingerprint).first() == Some(&me);
    let tries = is_first && node.crashes.tracker.lock().start_trial(fingerprint, node.now());
    if tries {
        log::info!(fingerprint:%; "held off request tried once more");
    }
    tries
}

/// Returns the boxes that count the crashes of a request, this one perhaps among them.
fn coordinators_of(node: &ServingNode, fingerprint: Fingerprint) -> Vec<Ipv4Addr> {
    let me = node.settings.load().node.ip;
    let others = node.peers.lock().reachable(node.now());
    let all = others.into_iter().chain([me]).map(box_id);
    let ranked = keepers(fingerprint.0 as u32 as usize, all);
    ranked.into_iter().take(COORDINATORS).map(|BoxId(bits)| Ipv4Addr::from_bits(bits)).collect()
}

/// Notes that the connection broke under a request that a server worked on, and has the server looked at.
pub fn connection_broke(
    node: &Arc<ServingNode>,
    request: &RequestId,
    fingerprint: Fingerprint,
    server: &Arc<KnownServer>,
) {
    let id = &server.entry.id;
    // A server that leaves breaks off what it does not finish.
    let known = node.directory.lock().get(id).cloned();
    if known.is_some_and(|known| !node.accepts_new(&known)) {
        return;
    }
    let now = node.now();
    let incarnation = incarnation_id(id);
    let (learned, has_ended) = {
        let mut tracker = node.crashes.tracker.lock();
        (
            tracker.connection_broke(fingerprint, incarnation, now),
            tracker.has_ended(incarnation, now),
        )
    };
    record(node, fingerprint, learned, request.as_str());
    if !has_ended && node.crashes.probing.lock().insert(id.clone()) {
        tokio::spawn(probe(node.clone(), server.clone()));
    }
}

/// Looks whether a server still listens. A connection that opens is kept for the next request.
async fn probe(node: Arc<ServingNode>, server: Arc<KnownServer>) {
    sleep(PROBE_DELAY).await;
    let (id, address) = (&server.entry.id, &server.entry.address);
    if let Err(UpstreamError::ConnectionRefused(_)) =
        node.pool.open_spare(address, PROBE_CONNECT_TIMEOUT).await
    {
        connection_refused(&node, id);
    }
    node.crashes.probing.lock().remove(id);
}

/// Notes that nobody listens at a server's address, and has the other boxes told. With four of eight servers down 50 of 50
/// requests at six boxes are answered, where each box found out by itself 26 (`platform/tests/crashes.rs`).
pub fn connection_refused(node: &ServingNode, server: &BackendId) {
    let now = node.now();
    let is_new = node.crashes.outbox.lock().add_ended(server, now);
    server_ended(node, server, "it refuses connections");
    if is_new {
        node.crashes.outbox_changed.notify_one();
    }
}

/// Notes that a server's row went, or that a later run of it wrote another.
pub fn server_left(node: &ServingNode, server: &BackendId) {
    let learned = node.crashes.tracker.lock().mark_ended(incarnation_id(server), node.now());
    for (fingerprint, what) in learned {
        record(node, fingerprint, what, server.as_str());
    }
}

/// Notes that a run of a server has ended: what broke there was a crash.
pub fn server_ended(node: &ServingNode, server: &BackendId, evidence: &'static str) {
    let now = node.now();
    node.loads.lock().mark_ended(server, now);
    let incarnation = incarnation_id(server);
    let (was_known, learned) = {
        let mut tracker = node.crashes.tracker.lock();
        (tracker.has_ended(incarnation, now), tracker.mark_ended(incarnation, now))
    };
    if !was_known {
        log::info!(server:%, evidence, struck = learned.len(); "server ended");
    }
    for (fingerprint, what) in learned {
        record(node, fingerprint, what, server.as_str());
    }
}

/// Notes that a request was answered whole.
pub fn request_completed(node: &ServingNode, fingerprint: Fingerprint) {
    let learned = node.crashes.tracker.lock().mark_answered(fingerprint, node.now());
    record(node, fingerprint, learned, "it was answered whole");
}

/// Lets a request that is held off go again, at all boxes. Returns whether it was held off.
pub fn release(node: &ServingNode, fingerprint: Fingerprint) -> bool {
    let learned = node.crashes.tracker.lock().clear_suspicion(fingerprint, node.now());
    record(node, fingerprint, learned, "an operator let it go");
    learned == SuspicionChange::Released
}

/// Takes in what another box knows.
pub fn merge_reports(node: &ServingNode, from: Ipv4Addr, reports: &[CrashReport]) {
    for report in reports {
        let fingerprint = report.fingerprint;
        let (learned, is_quarantined, knows_cleared) = {
            let mut tracker = node.crashes.tracker.lock();
            let learned = tracker.apply_report(report, node.now());
            (learned, tracker.is_quarantined(fingerprint), tracker.knows_cleared(report))
        };
        log_learned(node, fingerprint, learned, &from.to_string());
        if knows_cleared {
            // Many boxes may know that; the first that says so speaks for all.
            node.crashes.outbox.lock().add_clearance(fingerprint, node.now());
            node.crashes.outbox_changed.notify_one();
        } else if is_quarantined
            && (!report.is_quarantined() || must_forward(node, learned, fingerprint))
        {
            // The box that told knows less, or may end before all have heard of it.
            broadcast_report(node, fingerprint);
        } else {
            node.crashes.outbox.lock().record_received(fingerprint);
        }
    }
}

/// Returns whether this box tells all others as well of what another has held off: those that count its crashes do.
fn must_forward(node: &ServingNode, learned: SuspicionChange, fingerprint: Fingerprint) -> bool {
    let me = node.settings.load().node.ip;
    learned == SuspicionChange::Quarantined && coordinators_of(node, fingerprint).contains(&me)
}

/// Takes in which servers another box found to have ended.
pub fn merge_ended(node: &ServingNode, servers: &[u32]) {
    let ids: Vec<BackendId> = {
        let names = node.names.lock();
        servers.iter().filter_map(|short| names.server(*short).cloned()).collect()
    };
    for id in ids {
        node.crashes.outbox.lock().record_received_end(&id, node.now());
        server_ended(node, &id, "another box says so");
    }
}

/// Logs what was learned of a request and has the boxes told that need to know.
fn record(node: &ServingNode, fingerprint: Fingerprint, learned: SuspicionChange, by: &str) {
    if learned == SuspicionChange::Unchanged {
        return;
    }
    log_learned(node, fingerprint, learned, by);
    match learned {
        SuspicionChange::Quarantined => broadcast_report(node, fingerprint),
        SuspicionChange::Released => {
            node.crashes.rows_to_remove.lock().push(fingerprint);
            broadcast_report(node, fingerprint);
        }
        _ => {
            node.crashes.outbox.lock().add_report(fingerprint, false, node.now());
            node.crashes.outbox_changed.notify_one();
        }
    }
}

fn broadcast_report(node: &ServingNode, fingerprint: Fingerprint) {
    node.crashes.outbox.lock().add_report(fingerprint, true, node.now());
    node.crashes.outbox_changed.notify_one();
    node.crashes.quarantine_changed.notify_one();
}

fn log_learned(node: &ServingNode, fingerprint: Fingerprint, learned: SuspicionChange, by: &str) {
    let report = node.crashes.tracker.lock().report(fingerprint).cloned();
    let crashes = report.as_ref().map_or(0, CrashReport::crashes);
    let kind = match learned {
        SuspicionChange::Unchanged => return,
        SuspicionChange::Suspected(_) => "struck",
        SuspicionChange::Quarantined => "held off",
        SuspicionChange::Released => "let go",
    };
    node.metrics.crashes.get_or_create(&KindLabel { kind }).inc();
    match learned {
        SuspicionChange::Quarantined => log::warn!(fingerprint:%, crashes, by; "request held off"),
        SuspicionChange::Released => log::warn!(fingerprint:%, crashes, by; "request let go"),
        _ => log::info!(fingerprint:%, crashes, by; "servers crashed under request"),
    }
}
