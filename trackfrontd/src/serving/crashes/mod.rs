//! Requests and parts of prompts that crash the servers that run them, and ended servers, shared among all boxes.
//!
//! What one box learns about either reaches the others before the client's next try does.
//! [`outbox`] sends it, [`rows`] stores quarantined requests in the platform's table and provides
//! them to boxes that start; [`trackfront_core::serving::crashes`] makes the decisions.

pub mod hand_on;
pub mod operators;
pub mod outbox;
mod rows;
mod suspicion;
pub mod trials;

use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

pub use hand_on::hand_over;
pub use outbox::broadcast;
use outbox::{Outbox, Recipients};
use parking_lot::Mutex;
pub use rows::{maintain_rows, snapshot};
pub use suspicion::store_before_answer;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_adapters::upstream::UpstreamError;
use trackfront_core::ids::{BackendId, RequestId};
use trackfront_core::quota::{BoxId, first_coordinators};
use trackfront_core::serving::crashes::{
    BreakTimes, CrashReport, CrashTracker, IncarnationId, SUSPECT_AFTER_CRASHES, SuspicionChange,
};
use trackfront_core::serving::directory::{KnownServer, ServerEntry};
use trackfront_core::serving::fingerprint::Fingerprint;
use trackfront_core::units::Moment;
use trials::TrialClaims;

use super::node::ServingNode;
use super::quota::box_id;
use super::reach;
use super::short_names::{ShortNames, short_server};

/// The delay after a broken connection before the server is probed; a process that ends no longer
/// listens by then.
const PROBE_DELAY: Duration = Duration::from_millis(30);

/// The delay after an answer that ended with its connection before the server is looked at. The answer, or its end, is
/// held back for so long.
const END_CHECK_DELAY: Duration = Duration::from_millis(10);

/// The longest time that this look takes; the server counts as running then.
const END_CHECK_TIME: Duration = Duration::from_millis(150);

/// How long a request at a box that has just started waits for other boxes to tell what is quarantined; after that the box
/// reads the platform's table.
const OTHERS_TIME: Duration = Duration::from_millis(150);

/// The number of boxes that count the crashes of one request.
const COORDINATORS: usize = 3;

/// A box's state about requests that crash servers, and the reports that it has yet to send.
#[derive(Default)]
pub struct Crashes {
    tracker: Mutex<CrashTracker>,
    outbox: Mutex<Outbox>,
    /// The servers that are being probed.
    probing: Mutex<HashSet<BackendId>>,
    /// Notified when there is something to send.
    outbox_changed: Notify,
    /// Notified when a request is quarantined.
    quarantine_changed: Notify,
    /// Requests that are no longer quarantined, whose rows may still be in the platform's table.
    rows_to_remove: Mutex<HashSet<Fingerprint>>,
    trial_claims: Mutex<TrialClaims>,
    /// Whether this box has loaded the requests that were quarantined before it started.
    loaded: watch::Sender<bool>,
    /// Notified when a request waits for that.
    load_wanted: Notify,
}

impl Crashes {
    /// Returns which of `suspects` are quarantined, and how many servers each crashed.
    pub fn quarantined_among(&self, suspects: &[Fingerprint]) -> Vec<(Fingerprint, usize)> {
        self.tracker.lock().quarantined_among(suspects)
    }

    /// Returns whether any of `suspects` is suspected of crashing servers.
    pub fn is_any_suspect(&self, suspects: &[Fingerprint], now: Moment) -> bool {
        let tracker = self.tracker.lock();
        suspects.iter().any(|suspect| tracker.is_suspect(*suspect, now))
    }

    /// Returns the servers that ended under any of `suspects` and whose rows are still known.
    pub fn ended_under(&self, suspects: &[Fingerprint], names: &ShortNames) -> Vec<BackendId> {
        let ended = self.tracker.lock().ended_under(suspects);
        ended.into_iter().filter_map(|IncarnationId(short)| names.server(short).cloned()).collect()
    }

    /// Records that the rows of all quarantined requests may be lost, so that they are written
    /// again. Returns the number of rows.
    pub fn forget_stored_rows(&self) -> usize {
        let rows = self.tracker.lock().forget_stored();
        self.quarantine_changed.notify_one();
        rows
    }

    /// Returns the quarantined requests, and since when each is.
    pub fn all_quarantined(&self) -> Vec<(CrashReport, Moment)> {
        let tracker = self.tracker.lock();
        tracker.quarantined().map(|(report, since)| (report.clone(), since)).collect()
    }

    /// Forgets connections that broke since `since`, because this box lost its own links.
    pub fn forget_breaks_since(&self, since: Moment) {
        self.tracker.lock().forget_breaks_since(since);
    }

    /// Records that an incarnation of a server answered.
    pub fn record_alive(&self, server: &BackendId, now: Moment) {
        self.tracker.lock().mark_alive(incarnation_id(server), now);
    }

    fn is_loaded(&self) -> bool {
        *self.loaded.borrow()
    }

    /// Waits until this box has loaded the requests that were quarantined before it started, for `time` at most: it
    /// serves without them if neither another box nor the platform's table tells. Returns whether it has.
    pub async fn wait_loaded(&self, time: Duration) -> bool {
        let mut loaded = self.loaded.subscribe();
        let loading = async {
            if timeout(OTHERS_TIME, loaded.wait_for(|is_loaded| *is_loaded)).await.is_err() {
                self.load_wanted.notify_one();
                let _ = loaded.wait_for(|is_loaded| *is_loaded).await;
            }
        };
        timeout(time, loading).await.is_ok()
    }
}

fn incarnation_id(server: &BackendId) -> IncarnationId {
    IncarnationId(short_server(server))
}

/// Returns the boxes that count the crashes of a request; this box may be one of them, unless it is stopping.
fn coordinators_of(node: &ServingNode, fingerprint: Fingerprint) -> Vec<Ipv4Addr> {
    coordinators_among(&candidates(node), fingerprint)
}

/// Returns the boxes that may count crashes.
fn candidates(node: &ServingNode) -> Vec<Ipv4Addr> {
    let mut boxes = node.peers.lock().reachable(node.now());
    if !node.is_stopping() || boxes.is_empty() {
        boxes.push(node.settings.load().node.ip);
    }
    boxes
}

fn coordinators_among(boxes: &[Ipv4Addr], fingerprint: Fingerprint) -> Vec<Ipv4Addr> {
    let all = boxes.iter().copied().map(box_id);
    let first = first_coordinators(fingerprint.0 as u32 as usize, all, COORDINATORS);
    first.into_iter().map(|BoxId(bits)| Ipv4Addr::from_bits(bits)).collect()
}

/// Records that the connection to a server broke while a request was in flight, and probes the
/// server. `suspects` are what of the request may have crashed it.
pub fn connection_broke(
    node: &Arc<ServingNode>,
    request: &RequestId,
    suspects: &[Fingerprint],
    server: &Arc<KnownServer>,
) {
    let id = &server.entry.id;
    // A leaving server cuts off the answers that it cannot finish.
    let known = node.directory.lock().get(id).cloned();
    if known.is_some_and(|known| !node.accepts_new(&known)) {
        return;
    }
    let now = node.now();
    let incarnation = incarnation_id(id);
    let changes = node.crashes.tracker.lock().connections_broke(suspects, incarnation, now);
    record_all(node, &changes, request.as_str());
    let has_ended = node.crashes.tracker.lock().has_ended(incarnation, now);
    if !has_ended && node.crashes.probing.lock().insert(id.clone()) {
        tokio::spawn(probe(node.clone(), server.clone()));
    }
}

/// Checks whether a server still listens. If the connection opens, it is kept for the next request.
async fn probe(node: Arc<ServingNode>, server: Arc<KnownServer>) {
    sleep(PROBE_DELAY).await;
    let (id, address) = (&server.entry.id, &server.entry.address);
    match reach::open_direct(&node, &server.entry).await {
        Ok(connection) => node.pool.add_spare(address, connection),
        Err(UpstreamError::ConnectionRefused(_)) => verify_refused(&node, &server.entry).await,
        Err(_) => {}
    }
    node.crashes.probing.lock().remove(id);
}

/// Returns whether a server has ended, after an answer of its ended with the connection as a crash would end it.
pub async fn has_ended(node: &ServingNode, server: &ServerEntry) -> bool {
    if is_known_to_have_ended(node, &server.id) {
        return true;
    }
    sleep(END_CHECK_DELAY).await;
    if is_known_to_have_ended(node, &server.id) {
        return true;
    }
    if node.pool.has_open_idle(&server.address) {
        return false;
    }
    let purpose = reach::Purpose::check("a server whose answer ended with its connection");
    match timeout(END_CHECK_TIME, reach::open(node, server, purpose)).await {
        Ok(Ok(connection)) => {
            if !connection.is_carried() {
                node.pool.add_spare(&server.address, connection);
            }
            false
        }
        Ok(Err(UpstreamError::ConnectionRefused(_))) => {
            connection_refused(node, &server.id);
            true
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

fn is_known_to_have_ended(node: &ServingNode, server: &BackendId) -> bool {
    node.crashes.tracker.lock().has_ended(incarnation_id(server), node.now())
}

/// Handles a refused connection: the server has ended, unless other boxes reach it.
pub async fn verify_refused(node: &ServingNode, server: &ServerEntry) {
    if reach::is_refused_elsewhere(node, server).await {
        connection_refused(node, &server.id);
    }
}

/// Records that no process listens at a server's address, and informs the other boxes. With four of
/// eight servers down, 50 of 50 requests at six boxes are answered; if each box found out by
/// itself, 26 were (`platform/tests/crashes.rs`).
pub fn connection_refused(node: &ServingNode, server: &BackendId) {
    let now = node.now();
    let is_new = node.crashes.outbox.lock().add_ended(server, now);
    server_ended(node, server, "it refuses connections");
    if is_new {
        node.crashes.outbox_changed.notify_one();
    }
}

/// Records that a server's row was removed, or replaced by that of a later incarnation.
pub fn server_left(node: &ServingNode, server: &BackendId) {
    let changes = node.crashes.tracker.lock().mark_ended(incarnation_id(server), node.now());
    record_all(node, &changes, server.as_str());
}

/// Records that an incarnation of a server has ended, so that connections which broke there count
/// as crashes.
pub fn server_ended(node: &ServingNode, server: &BackendId, evidence: &'static str) {
    let now = node.now();
    node.loads.lock().mark_ended(server, now);
    let incarnation = incarnation_id(server);
    let (was_known, changes) = {
        let mut tracker = node.crashes.tracker.lock();
        (tracker.has_ended(incarnation, now), tracker.mark_ended(incarnation, now))
    };
    if !was_known {
        log::info!(server:%, evidence, struck = changes.len(); "server ended");
    }
    record_all(node, &changes, server.as_str());
}

/// Records that a request was answered completely, or for so long that `suspects` did not crash its server.
pub fn request_completed(node: &ServingNode, suspects: &[Fingerprint]) {
    let changes = node.crashes.tracker.lock().mark_all_answered(suspects, node.now());
    record_all(node, &changes, "it was answered whole");
}

/// What became of an operator's release of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// It was not quarantined.
    NotQuarantined,
    /// It is released at the boxes, but its row may still be in the platform's table.
    RowMayRemain,
    /// It is released, and its row is gone.
    Released,
}

/// Releases a quarantined request at all boxes, and waits until its row is removed: boxes have no disks, so a release
/// that only they know of is lost if all lose power.
pub async fn release(node: &ServingNode, fingerprint: Fingerprint) -> ReleaseOutcome {
    let change = node.crashes.tracker.lock().clear_suspicion(fingerprint, node.now());
    record(node, fingerprint, change, "an operator let it go");
    let is_pending = node.crashes.rows_to_remove.lock().contains(&fingerprint);
    if change != SuspicionChange::Released && !is_pending {
        return ReleaseOutcome::NotQuarantined;
    }
    match rows::remove_released(node, fingerprint).await {
        true => ReleaseOutcome::Released,
        false => ReleaseOutcome::RowMayRemain,
    }
}

/// Merges the crash reports of another box.
pub fn merge_reports(node: &ServingNode, from: Ipv4Addr, reports: &[CrashReport]) {
    for report in reports {
        let fingerprint = report.fingerprint;
        let (change, is_quarantined, knows_cleared) = {
            let mut tracker = node.crashes.tracker.lock();
            let change = tracker.apply_report(report, node.now());
            (change, tracker.is_quarantined(fingerprint), tracker.knows_cleared(report))
        };
        log_change(node, fingerprint, change, &from.to_string());
        note_row_due(node, change);
        if change == SuspicionChange::Released && counts_crashes(node, fingerprint) {
            // The box that released it may not have known of a row.
            node.crashes.rows_to_remove.lock().insert(fingerprint);
            node.crashes.quarantine_changed.notify_one();
        }
        if knows_cleared {
            // Many boxes may know that; the first to send it does so for all. Of what is not quarantined, only the boxes
            // that count and the one that blames it need to know.
            let to = match report.is_quarantined() {
                true => Recipients::All,
                false => Recipients::CountingAnd(from),
            };
            node.crashes.outbox.lock().add_clearance(fingerprint, to, node.now());
            node.crashes.outbox_changed.notify_one();
        } else if is_quarantined
            && (!report.is_quarantined() || must_forward(node, change, fingerprint))
        {
            // The sending box knows less, or may end before it has informed all others.
            broadcast_report(node, fingerprint);
        } else {
            node.crashes.outbox.lock().record_received(fingerprint);
        }
    }
}

/// Merges when connections broke, as another box knows it.
pub fn merge_break_times(node: &ServingNode, from: Ipv4Addr, times: &[BreakTimes]) {
    for times in times {
        let fingerprint = times.fingerprint;
        if node.crashes.tracker.lock().apply_break_times(times, node.now()) {
            log::info!(fingerprint:%, by:% = from; "crashes happened together, trials are due");
        }
    }
}

/// Returns whether this box also informs all others of a quarantine that another box decided: the
/// boxes that count the request's crashes do.
fn must_forward(node: &ServingNode, change: SuspicionChange, fingerprint: Fingerprint) -> bool {
    change == SuspicionChange::Quarantined && counts_crashes(node, fingerprint)
}

/// Returns whether this box is one of those that count a request's crashes.
fn counts_crashes(node: &ServingNode, fingerprint: Fingerprint) -> bool {
    let me = node.settings.load().node.ip;
    coordinators_of(node, fingerprint).contains(&me)
}

/// Merges the ended servers that another box reported.
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

/// Does what [`record`] does for each of some requests and parts of prompts.
fn record_all(node: &ServingNode, changes: &[(Fingerprint, SuspicionChange)], by: &str) {
    for (fingerprint, change) in changes {
        record(node, *fingerprint, *change, by);
    }
}

/// Logs what was learned about a request and informs the boxes that need to know.
fn record(node: &ServingNode, fingerprint: Fingerprint, change: SuspicionChange, by: &str) {
    if change == SuspicionChange::Unchanged {
        return;
    }
    log_change(node, fingerprint, change, by);
    match change {
        SuspicionChange::Quarantined => broadcast_report(node, fingerprint),
        SuspicionChange::Released => {
            node.crashes.rows_to_remove.lock().insert(fingerprint);
            broadcast_report(node, fingerprint);
        }
        _ => {
            node.crashes.outbox.lock().add_report(fingerprint, false, node.now());
            node.crashes.outbox_changed.notify_one();
            note_row_due(node, change);
        }
    }
}

/// Wakes the task that writes rows if a suspicion gets one.
fn note_row_due(node: &ServingNode, change: SuspicionChange) {
    if matches!(change, SuspicionChange::Suspected(SUSPECT_AFTER_CRASHES..)) {
        node.crashes.quarantine_changed.notify_one();
    }
}

fn broadcast_report(node: &ServingNode, fingerprint: Fingerprint) {
    node.crashes.outbox.lock().add_report(fingerprint, true, node.now());
    node.crashes.outbox_changed.notify_one();
    node.crashes.quarantine_changed.notify_one();
}

fn log_change(node: &ServingNode, fingerprint: Fingerprint, change: SuspicionChange, by: &str) {
    let report = node.crashes.tracker.lock().report(fingerprint).cloned();
    let crashes = report.as_ref().map_or(0, CrashReport::crashes);
    let is_part = fingerprint.is_part();
    let kind = match (change, is_part) {
        (SuspicionChange::Unchanged, _) => return,
        (SuspicionChange::Suspected(_), false) => "struck",
        (SuspicionChange::Quarantined, false) => "held off",
        (SuspicionChange::Released, false) => "let go",
        (SuspicionChange::Suspected(_), true) => "part struck",
        (SuspicionChange::Quarantined, true) => "part held off",
        (SuspicionChange::Released, true) => "part let go",
    };
    node.metrics.crashes.get_or_create(&KindLabel { kind }).inc();
    match change {
        SuspicionChange::Quarantined => {
            log::warn!(fingerprint:%, is_part, crashes, by; "request held off");
        }
        SuspicionChange::Released => {
            log::warn!(fingerprint:%, is_part, crashes, by; "request let go");
        }
        // A prompt may have thousands of parts, which all ran beside the cause.
        SuspicionChange::Suspected(..SUSPECT_AFTER_CRASHES) if is_part => {}
        _ => log::info!(fingerprint:%, is_part, crashes, by; "servers crashed under request"),
    }
}
