//! Follows what the operator writes: the configuration, and the halls that are emptied.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use trackfront_core::ports::{Feed, Listing, OperatorWord, StoredConfig};
use trackfront_core::serving::halls::HallStatus;

use super::Source;
use super::feed_client::{FIRST_PAUSE, FeedClient};
use crate::serving::boxes;
use crate::serving::exchange;
use crate::serving::feed_relay::{FeedKind, hall_peers, relay_operator_rows};
use crate::serving::node::ServingNode;
use crate::serving::peer_socket::PeerSocket;
use crate::serving::quota;

/// How long a box that reads for itself alone waits after a change of the configuration, so that
/// of some in quick succession it reads the last.
const GATHER: Duration = Duration::from_millis(250);

/// How much later than the one before it each box of a hall asks for a copy, so that they do not all
/// ask at once: sixty boxes take 0.3 s of the 2 to 4 s in which a change has to be in force.
const ASK_STEP: Duration = Duration::from_millis(5);

/// Follows the configuration for as long as the box lives.
pub async fn follow_config(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let mut link = FeedClient::new(node.clone(), FeedKind::Config);
    boxes::wait_for_box_list(&node).await;
    loop {
        let known = node.config_row();
        let read = match take_copy(&node, &link).await {
            true => Read { version: node.config_row(), halls_are_news: false },
            false if node.config.load().is_none() && boxes::wait_for_snapshot(&node).await => {
                continue;
            }
            false => match read(&node, &mut link).await {
                Some(read) => read,
                None => continue,
            },
        };
        relay_operator_rows(&node, &socket, node.config_row(), read.halls_are_news).await;
        if node.feed_state.lock().config_row() > node.config_row() && node.config_row() == known {
            // The platform's answer is older than what the reader of the hall has seen.
            sleep(GATHER).await;
        }
        follow_from(&node, &socket, &mut link, read.version).await;
    }
}

/// Takes the configuration of another box if it is newer. Returns whether it is.
async fn take_copy(node: &Arc<ServingNode>, link: &FeedClient) -> bool {
    let known = node.config_row();
    let told_by = node.feed_state.lock().config_source();
    let mut sources = link.sources(told_by);
    if sources.is_empty() && known == 0 {
        sources = boxes::likely_up(node);
    }
    if sources.is_empty() {
        return false;
    }
    if known > 0 {
        sleep(ASK_STEP * hall_peers(node).rank as u32).await;
    }
    let Some(stored) = exchange::fetch_config(node, &sources, known).await else {
        return false;
    };
    take(node, stored);
    // Where one box has it, others were told of it.
    node.feed_state.lock().record_config_row(node.config_row(), None);
    node.config_row() > known
}

/// What a reading from the platform, or a copy, brought.
struct Read {
    /// The version from which to follow.
    version: u64,
    /// Whether halls are used differently from now on.
    halls_are_news: bool,
}

/// Reads what the operator wrote from the platform.
async fn read(node: &Arc<ServingNode>, link: &mut FeedClient) -> Option<Read> {
    link.count("read_config");
    let asked_at = node.now();
    match node.ports.knowledge.read_operator().await {
        Ok(Listing { rows, version }) => {
            link.works();
            let mut halls = Vec::new();
            for (_, word) in rows {
                match word {
                    OperatorWord::Hall(word) => halls.push(word),
                    OperatorWord::Config(stored) => {
                        let row = stored.row_version;
                        take(node, stored);
                        node.config_freshness.confirm(row, asked_at);
                    }
                }
            }
            let words = node.evacuations.lock().statuses_from_listing(halls, version);
            let halls_are_news = apply_hall_statuses(node, &words, Source::Platform);
            Some(Read { version, halls_are_news })
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
    link: &mut FeedClient,
    mut version: u64,
) {
    while !link.must_reread() {
        let known = node.config_row();
        let is_behind = || node.feed_state.lock().config_row() > known;
        link.wait_for_reader(is_behind).await;
        if is_behind() || link.woke() {
            // The row itself is read: this box's place in the feed is old, perhaps forgotten.
            return;
        }
        link.count("follow_config");
        let call = node.ports.knowledge.follow_operator(version, link.feed_wait());
        let Some(answer) = link.unless_suspended(call).await else {
            return;
        };
        match answer {
            Ok(Feed::Changes { changes, version: reached }) => {
                link.works();
                let some = !changes.is_empty();
                let mut halls_are_news = false;
                for word in changes {
                    match word {
                        OperatorWord::Config(stored) => take(node, stored),
                        OperatorWord::Hall(word) => {
                            halls_are_news |= apply_hall_statuses(node, &[word], Source::Platform);
                        }
                    }
                }
                version = version.max(reached);
                relay_operator_rows(node, socket, node.config_row(), halls_are_news).await;
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

/// Takes in what the operator said of halls. Returns whether one is used differently from now on.
pub fn apply_hall_statuses(node: &ServingNode, words: &[HallStatus], source: Source) -> bool {
    let now = node.now();
    let mut evacuations = node.evacuations.lock();
    let changed: Vec<&HallStatus> =
        words.iter().filter(|word| evacuations.apply(word, now)).collect();
    node.metrics.evacuated_halls.set(evacuations.count() as i64);
    drop(evacuations);
    for word in &changed {
        let (hall, version) = (&word.hall, word.version);
        let by = source.name();
        match word.is_evacuated {
            true => log::info!(hall:%, version, by; "hall evacuated"),
            false => log::info!(hall:%, version, by; "hall used again"),
        }
    }
    if !changed.is_empty() {
        node.servers_changed.notify_waiters();
    }
    !changed.is_empty()
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
            node.refusal_retries.lock().retain(|route| names.contains(route));
            node.quotas.set_limits(quota::limits(&config));
            node.config.store(Some(Arc::new(config)));
            node.metrics.config_version.set(version as i64);
            node.servers_changed.notify_waiters();
            log::info!(version, before, row, routes; "configuration in force");
            in_force = true;
        }
    }
    node.record_config_row(row, in_force);
}
