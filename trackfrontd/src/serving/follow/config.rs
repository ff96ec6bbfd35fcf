//! Follows the rows that the operator writes: the configuration and the evacuated halls.

use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use trackfront_core::ports::{Feed, Listing, OperatorUpdate, StoredConfig};
use trackfront_core::serving::halls::HallStatus;
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;

use super::Source;
use super::feed_client::{FIRST_RETRY_DELAY, FeedClient};
use crate::serving::boxes;
use crate::serving::config_rows::ConfigOutcome;
use crate::serving::exchange;
use crate::serving::feed_relay::{FeedKind, hall_peers, relay_operator_rows};
use crate::serving::node::ServingNode;
use crate::serving::peer_socket::PeerSocket;
use crate::serving::quota;

/// The delay of a box that is no feed reader after a change of the configuration, so that it reads
/// only the last of several changes in quick succession.
const GATHER_DELAY: Duration = Duration::from_millis(250);

/// The stagger between the snapshot requests of a hall's boxes: with sixty boxes they spread over
/// 0.3 s of the 2 to 4 s in which a change has to be in force.
const REQUEST_STAGGER: Duration = Duration::from_millis(5);

/// Follows the operator's rows for as long as the node runs.
pub async fn follow_config(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let mut client = FeedClient::new(node.clone(), FeedKind::Config);
    boxes::wait_for_box_list(&node).await;
    loop {
        let known = node.config_row();
        let position = match fetch_snapshot(&node, &client).await {
            true => Position { version: node.config_row(), has_hall_changes: false },
            false if node.config.load().is_none() && boxes::wait_for_snapshot(&node).await => {
                continue;
            }
            false => match read_rows(&node, &mut client).await {
                Some(position) => position,
                None => continue,
            },
        };
        relay_operator_rows(&node, &socket, node.config_row_to_relay(), position.has_hall_changes)
            .await;
        if node.feed_state.lock().config_row() > node.config_row() && node.config_row() == known {
            // The platform's answer is older than what the hall's feed reader has seen.
            sleep(GATHER_DELAY).await;
        }
        follow_feed(&node, &socket, &mut client, position.version).await;
    }
}

/// Fetches the configuration of another box. Returns whether that was newer than this box's.
async fn fetch_snapshot(node: &Arc<ServingNode>, client: &FeedClient) -> bool {
    let known = node.config_row();
    let notifier = node.feed_state.lock().config_source();
    let mut sources = client.sources(notifier);
    if sources.is_empty() && known == StoreVersion::ZERO {
        sources = boxes::likely_up(node);
    }
    if sources.is_empty() {
        return false;
    }
    if known > StoreVersion::ZERO {
        sleep(REQUEST_STAGGER * hall_peers(node).rank as u32).await;
    }
    let asked_at = node.now();
    let Some((source, stored)) = exchange::fetch_config(node, &sources, known).await else {
        return false;
    };
    apply(node, stored, Call { asked_at, answered_by: Some(source) });
    // The hall was notified of this row already, since another box has it.
    node.feed_state.lock().record_config_row(node.config_row(), None, node.now());
    node.config_row() > known
}

/// The result of reading the operator's rows or of fetching a snapshot.
struct Position {
    /// The version from which to follow the feed.
    version: StoreVersion,
    /// Whether a hall was evacuated or returned to use.
    has_hall_changes: bool,
}

/// Reads the operator's rows from the platform. Returns `None` if that failed, or the machine was suspended meanwhile.
async fn read_rows(node: &Arc<ServingNode>, client: &mut FeedClient) -> Option<Position> {
    client.count("read_config");
    let asked_at = node.now();
    match client.unless_suspended(node.ports.knowledge.read_operator()).await? {
        Ok(Listing { rows, version }) => {
            client.record_success();
            let mut halls = Vec::new();
            for (_, row) in rows {
                match row {
                    OperatorUpdate::Hall(status) => halls.push(status),
                    OperatorUpdate::Config(stored) => {
                        let row = stored.row_version;
                        apply(node, stored, Call { asked_at, answered_by: None });
                        node.config_freshness.confirm(row, asked_at);
                    }
                }
            }
            let statuses =
                node.evacuations.lock().statuses_from_listing(halls, version, node.now());
            let has_hall_changes = apply_hall_statuses(node, &statuses, Source::Platform);
            Some(Position { version, has_hall_changes })
        }
        Err(error) => {
            client.back_off(&error).await;
            None
        }
    }
}

/// Follows the feed until everything has to be read again.
async fn follow_feed(
    node: &Arc<ServingNode>,
    socket: &PeerSocket,
    client: &mut FeedClient,
    mut version: StoreVersion,
) {
    while !client.must_reread() {
        let known = node.config_row();
        let is_behind = || node.feed_state.lock().config_row() > known;
        client.wait_for_reader(is_behind).await;
        let must_relist = client.is_reader() && node.evacuations.lock().take_relisting(node.now());
        if is_behind() || must_relist || client.take_suspension() {
            // Read the row itself, since this box's position in the feed is old and may be gone
            // from its history.
            return;
        }
        client.count("follow_config");
        let asked_at = node.now();
        let call = node.ports.knowledge.follow_operator(version, client.feed_wait());
        let Some(answer) = client.unless_suspended(call).await else {
            return;
        };
        match answer {
            Ok(Feed::Changes { changes, version: reached }) => {
                client.record_success();
                let has_changes = !changes.is_empty();
                let mut has_hall_changes = false;
                for row in changes {
                    match row {
                        OperatorUpdate::Config(stored) => {
                            apply(node, stored, Call { asked_at, answered_by: None })
                        }
                        OperatorUpdate::Hall(status) => {
                            has_hall_changes |=
                                apply_hall_statuses(node, &[status], Source::Platform);
                        }
                    }
                }
                version = version.max(reached);
                relay_operator_rows(node, socket, node.config_row_to_relay(), has_hall_changes)
                    .await;
                if has_changes && !client.is_reader() {
                    sleep(GATHER_DELAY).await;
                }
            }
            Ok(Feed::HistoryGone) => {
                // As with the servers, nothing is relayed: this says nothing about the
                // configuration.
                log::info!(
                    table = "configuration", after = version;
                    "feed history gone, reading everything again"
                );
                sleep(FIRST_RETRY_DELAY).await;
                return;
            }
            Err(error) => client.back_off(&error).await,
        }
    }
    client.reset_failures();
}

/// Applies the operator's statuses of halls. Returns whether a hall was evacuated or returned to
/// use.
pub fn apply_hall_statuses(node: &ServingNode, statuses: &[HallStatus], source: Source) -> bool {
    let now = node.now();
    let mut evacuations = node.evacuations.lock();
    let changed: Vec<&HallStatus> =
        statuses.iter().filter(|status| evacuations.apply(status, now)).collect();
    node.metrics.evacuated_halls.set(evacuations.count() as i64);
    drop(evacuations);
    for status in &changed {
        let (hall, version) = (&status.hall, status.version);
        let by = source.name();
        match status.is_evacuated {
            true => log::info!(hall:%, version, by; "hall evacuated"),
            false => log::info!(hall:%, version, by; "hall returned to use"),
        }
    }
    if !changed.is_empty() {
        node.servers_changed.notify_waiters();
    }
    !changed.is_empty()
}

/// The call that returned a configuration.
#[derive(Clone, Copy)]
struct Call {
    asked_at: Moment,
    /// The box that answered, or `None` for the store.
    answered_by: Option<Ipv4Addr>,
}

/// Puts a stored configuration in force if it is valid and newer than the one in force.
fn apply(node: &Arc<ServingNode>, stored: StoredConfig, call: Call) {
    if stored.row_version <= node.config_row() {
        return;
    }
    let row = stored.row_version;
    let before = node.config.load().as_ref().map_or(0, |config| config.version);
    let outcome = match stored.config {
        Err(error) => {
            log::error!(row, in_force = before, error; "configuration refused");
            ConfigOutcome::Refused
        }
        Ok(config) if config.version < before => {
            let offered = config.version;
            log::warn!(row, offered, in_force = before; "configuration older than the one in force");
            ConfigOutcome::Outdated
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
            let now = node.now();
            let by = call.answered_by.map_or("store".to_owned(), |ip| ip.to_string());
            let call_ms = now.since(call.asked_at).as_millis() as u64;
            let known_since = node.feed_state.lock().take_config_news(row);
            let known_ms = known_since.map(|since| now.since(since).as_millis() as u64);
            log::info!(version, before, row, routes, by, call_ms, known_ms; "configuration in force");
            ConfigOutcome::InForce
        }
    };
    node.record_config_row(row, outcome);
}
