//! Hears what servers say of themselves in their answers.

use std::sync::Arc;

use trackfront_adapters::interface::ServerHead;
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ids::BackendId;
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::notices::{Learned, Source};
use trackfront_core::units::Moment;

use super::node::ServingNode;

/// The kinds of notices in metrics.
const LEAVES: &str = "leaves";
const LIMITED: &str = "limited";
const UNLIMITED: &str = "unlimited";
const BACKS_OFF: &str = "backs_off";

/// Takes in what the head of an answer from a server's address says, unless another run of the server wrote it. `by` is
/// the request that it came to.
pub fn hear(
    node: &ServingNode,
    server: &Arc<KnownServer>,
    head: &ServerHead,
    source: Source,
    by: &str,
) {
    let is_of_other_run = match &head.instance {
        Some(key) => *key != server.entry.key,
        None => head.misdirected,
    };
    if is_of_other_run {
        return;
    }
    let id = &server.entry.id;
    let learned = node.notices.lock().heard(id, &head.notice, source, node.now());
    learned.into_iter().for_each(|learned| note(node, id, learned, by));
}

/// Logs and counts what was learned of a server.
fn note(node: &ServingNode, server: &BackendId, learned: Learned, by: &str) {
    let kind = match learned {
        Learned::Leaves => {
            log::info!(server:%, by; "server says that it leaves");
            LEAVES
        }
        Learned::Limited(per_s) => {
            log::info!(server:%, per_s, by; "server limit named");
            LIMITED
        }
        Learned::Unlimited => {
            log::info!(server:%, by; "server limit over");
            UNLIMITED
        }
        Learned::BacksOff(wait) => {
            log::info!(server:%, ms = wait.as_millis() as u64, by; "server asks to back off");
            BACKS_OFF
        }
    };
    node.metrics.notices.get_or_create(&KindLabel { kind }).inc();
}

/// Drops what is over, and counts what is in force.
pub fn sweep(node: &ServingNode, now: Moment) {
    let directory = node.directory.lock();
    let mut book = node.notices.lock();
    book.forget_old(|server| directory.get(server).is_some(), now);
    let counts = [
        (LEAVES, book.leaving().count()),
        (LIMITED, book.limits().count()),
        (BACKS_OFF, book.backing_off(now)),
    ];
    for (kind, count) in counts {
        node.metrics.noticed_servers.get_or_create(&KindLabel { kind }).set(count as i64);
    }
}
