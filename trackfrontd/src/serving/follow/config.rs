//! Follows the configuration.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use trackfront_core::ports::{Feed, StoredConfig};

use super::link::{FIRST_PAUSE, Link};
use crate::serving::boxes;
use crate::serving::exchange;
use crate::serving::node::ServingNode;
use crate::serving::peer_socket::PeerSocket;
use crate::serving::quota;
use crate::serving::spread::{FeedKind, hall_mates, relay_config};

/// How long a box that reads for itself alone waits after a change of the configuration, so that
/// of some in quick succession it reads the last.
const GATHER: Duration = Duration::from_millis(250);

/// How much later than the one before it each box of a hall asks for a copy, so that they do not all
/// ask at once: sixty boxes take 0.3 s of the 2 to 4 s in which a change has to be in force.
const ASK_STEP: Duration = Duration::from_millis(5);

/// Follows the configuration for as long as the box lives.
pub async fn follow_config(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let mut link = Link::new(node.clone(), FeedKind::Config);
    boxes::wait_for_list(&node).await;
    loop {
        let known = node.config_row();
        let begin = match take_copy(&node, &link).await {
            true => node.config_row(),
            false => match read(&node, &mut link).await {
                Some(version) => version,
                None => continue,
            },
        };
        relay_config(&node, &socket, node.config_row()).await;
        if node.relayed.lock().config_row() > node.config_row() && node.config_row() == known {
            // The platform's answer is older than what the reader of the hall has seen.
            sleep(GATHER).await;
        }
        follow_from(&node, &socket, &mut link, begin).await;
    }
}

/// Takes the configuration of another box if it is newer. Returns whether it is.
async fn take_copy(node: &Arc<ServingNode>, link: &Link) -> bool {
    let known = node.config_row();
    let told_by = node.relayed.lock().config_from();
    let mut sources = link.sources(told_by);
    if sources.is_empty() && known == 0 {
        sources = boxes::likely_up(node);
    }
    if sources.is_empty() {
        return false;
    }
    if known > 0 {
        sleep(ASK_STEP * hall_mates(node).rank as u32).await;
    }
    let Some(stored) = exchange::fetch_config(node, &sources, known).await else {
        return false;
    };
    take(node, stored);
    // Where one box has it, others were told of it.
    node.relayed.lock().note_config(node.config_row(), None);
    node.config_row() > known
}

/// Reads the configuration from the platform. Returns the version from which to follow it.
async fn read(node: &Arc<ServingNode>, link: &mut Link) -> Option<u64> {
    link.count("read_config");
    let asked_at = node.now();
    match node.ports.knowledge.read_config().await {
        Ok(listing) => {
            link.works();
            for (_, stored) in listing.rows {
                let row = stored.row_version;
                take(node, stored);
                node.newest.confirm(row, asked_at);
            }
            Some(listing.version)
        }
        Err(error) => {
            link.failed(&error).await;
            None
        }
    }
}

/// Follows the feed until everything has to be read again.
async fn follow_from(
    node: &Arc<ServingNode>,
    socket: &PeerSocket,
    link: &mut Link,
    mut version: u64,
) {
    while !link.must_reread() {
        let known = node.config_row();
        let is_behind = || node.relayed.lock().config_row() > known;
        link.wait_for_reader(is_behind).await;
        if is_behind() || link.woke() {
            // The row itself is read: this box's place in the feed is old, perhaps forgotten.
            return;
        }
        link.count("follow_config");
        let call = node.ports.knowledge.follow_config(version, link.feed_wait());
        let Some(answer) = link.unless_suspended(call).await else {
            return;
        };
        match answer {
            Ok(Feed::Changes { changes, version: reached }) => {
                link.works();
                let some = !changes.is_empty();
                for stored in changes {
                    take(node, stored);
                }
                version = version.max(reached);
                relay_config(node, socket, node.config_row()).await;
                if some && !link.is_reader() {
                    sleep(GATHER).await;
                }
            }
            Ok(Feed::HistoryGone) => {
                // As for the servers, this is no word on the configuration.
                log::info!(table = "configuration", after = version; "history gone, reading anew");
                sleep(FIRST_PAUSE).await;
                return;
            }
            Err(error) => link.failed(&error).await,
        }
    }
    link.forgive();
}

/// Puts a stored configuration in force if it is newer than the one in force and valid.
fn take(node: &Arc<ServingNode>, stored: StoredConfig) {
    if stored.row_version <= node.config_row() {
        return;
    }
    let row = stored.row_version;
    let mut in_force = false;
    let before = node.config.load().as_ref().map_or(0, |config| config.version);
    match stored.config {
        Err(error) => {
            log::error!(row, in_force = before, error; "configuration refused");
        }
        Ok(config) if config.version < before => {
            let offered = config.version;
            log::warn!(offered, in_force = before; "configuration older than the one in force");
        }
        Ok(config) => {
            let (version, routes) = (config.version, config.routes().count());
            node.names.lock().set_items(&config);
            let names: HashSet<&str> = config.routes().map(|route| route.name.as_str()).collect();
            node.returns.lock().retain(|route| names.contains(route));
            node.quotas.set_limits(quota::limits(&config));
            node.config.store(Some(Arc::new(config)));
            node.metrics.config_version.set(version as i64);
            node.servers_changed.notify_waiters();
            log::info!(version, before, row, routes; "configuration in force");
            in_force = true;
        }
    }
    node.set_config_row(row, in_force);
}
