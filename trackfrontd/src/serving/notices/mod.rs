//! Handles what servers announce about themselves in their answers; [`broadcast`](mod@broadcast)
//! informs the other boxes.

mod broadcast;

use std::sync::Arc;
use std::time::Duration;

pub use broadcast::{NoticeOutbox, broadcast, fetch_from_peers, handle_batch, snapshot};
use trackfront_adapters::interface::ServerHead;
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ids::BackendId;
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::notices::{NamedLimit, NoticeChange, NoticeSource};
use trackfront_core::units::{Moment, scaled};

use super::node::ServingNode;

/// The kinds of notices in metrics.
const LEAVES: &str = "leaves";
const LIMITED: &str = "limited";
const UNLIMITED: &str = "unlimited";
const BACKS_OFF: &str = "backs_off";
const COLD: &str = "cold";
const BRITTLE: &str = "brittle";
const STURDY: &str = "sturdy";

/// The maximum extension of a server's back-off time, as a share of it. Without it, all requests
/// that the server turned away together would return together.
const BACK_OFF_JITTER: f64 = 0.1;

/// Handles the notices in the head of an answer, unless another incarnation of the server wrote it.
/// `by` is the request that was answered.
pub fn observe_head(
    node: &ServingNode,
    server: &Arc<KnownServer>,
    head: &ServerHead,
    source: NoticeSource,
    by: &str,
) {
    let is_of_other_incarnation = match &head.instance {
        Some(key) => *key != server.entry.key,
        None => head.misdirected,
    };
    if is_of_other_incarnation {
        return;
    }
    let (id, now) = (&server.entry.id, node.now());
    let mut notice = head.notice;
    notice.back_off =
        notice.back_off.map(|wait| scaled(wait, 1.0 + BACK_OFF_JITTER * jitter_of(node, id)));
    let changes = {
        let mut notices = node.notices.lock();
        if matches!(notice.brittle, NamedLimit::PerSecond(_)) {
            notices.mark_service_brittle(&server.entry.service, now);
        }
        notices.apply(id, &notice, source, now)
    };
    for change in changes {
        record(node, id, change, by);
        if needs_broadcast(change) {
            node.notice_outbox.add(id, now);
        }
    }
    if let Some(cold_for) = head.cold_for
        && record_cold(node, id, cold_for, by)
    {
        node.notice_outbox.add(id, now);
    }
}

/// Records how much longer a server is cold. Returns whether that is new.
fn record_cold(node: &ServingNode, server: &BackendId, cold_for: Duration, by: &str) -> bool {
    let is_new = node.cold.lock().apply_report(server, cold_for, node.now());
    if is_new {
        log::info!(server:%, ms = cold_for.as_millis() as u64, by; "server cold");
        node.metrics.notices.get_or_create(&KindLabel { kind: COLD }).inc();
    }
    is_new
}

/// Returns the position from 0 to 1 of this box within the jitter of a server's back-off time; it
/// differs between boxes.
fn jitter_of(node: &ServingNode, server: &BackendId) -> f64 {
    let me = node.settings.load().node.ip;
    let hash = blake3::hash(format!("{me} {server}").as_bytes());
    f64::from(hash.as_bytes()[0]) / f64::from(u8::MAX)
}

/// Returns whether other boxes must be informed. A server asks each box itself to back off.
fn needs_broadcast(change: NoticeChange) -> bool {
    !matches!(change, NoticeChange::BacksOff(_))
}

/// Logs and counts what was learned about a server.
fn record(node: &ServingNode, server: &BackendId, change: NoticeChange, by: &str) {
    let kind = match change {
        NoticeChange::Leaves => {
            log::info!(server:%, by; "server announced that it is leaving");
            LEAVES
        }
        NoticeChange::Limited(per_s) => {
            log::info!(server:%, per_s, by; "server limit named");
            LIMITED
        }
        NoticeChange::Unlimited => {
            log::info!(server:%, by; "server limit lifted");
            // Requests that are held for a permit no longer need one.
            node.servers_changed.notify_waiters();
            UNLIMITED
        }
        NoticeChange::Brittle(rejections_per_s) => {
            log::warn!(server:%, rejections_per_s, by; "server is brittle");
            BRITTLE
        }
        NoticeChange::Sturdy => {
            log::info!(server:%, by; "server is no longer brittle");
            node.servers_changed.notify_waiters();
            STURDY
        }
        NoticeChange::BacksOff(wait) => {
            log::info!(server:%, ms = wait.as_millis() as u64, by; "server asks to back off");
            BACKS_OFF
        }
    };
    node.metrics.notices.get_or_create(&KindLabel { kind }).inc();
}

/// Drops expired notices and updates the metrics of the others.
pub fn sweep(node: &ServingNode, now: Moment) {
    let directory = node.directory.lock();
    let mut tracker = node.notices.lock();
    tracker.forget_old(|server| directory.get(server).is_some(), now);
    let counts = [
        (LEAVES, tracker.leaving().count()),
        (LIMITED, tracker.limits().count()),
        (BACKS_OFF, tracker.backing_off_count(now)),
        (BRITTLE, tracker.brittle().count()),
    ];
    for (kind, count) in counts {
        node.metrics.noticed_servers.get_or_create(&KindLabel { kind }).set(count as i64);
    }
}
