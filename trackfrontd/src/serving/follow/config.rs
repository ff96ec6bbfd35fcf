//! Follows the rows that the operator writes: the configuration and the evacuated halls.

use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};
use trackfront_core::ports::{Feed, Listing, OperatorUpdate, StoredConfig};
use trackfront_core::serving::halls::HallStatus;
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::{Moment, scaled};

use super::Source;
use super::feed_client::{FIRST_RETRY_DELAY, FeedClient};
use super::neighbours;
use crate::serving::boxes;
use crate::serving::config_rows::ConfigOutcome;
use crate::serving::feed_relay::{FeedKind, relay_operator_rows};
use crate::serving::node::ServingNode;
use crate::serving::peer_socket::PeerSocket;
use crate::serving::quota;

/// The delay of a box that is no feed reader after a change of the configuration, so that it reads
/// only the last of several changes in quick succession.
const GATHER_DELAY: Duration = Duration::from_millis(250);

/// The part of the time for a change after which a box that got the configuration from no other one reads the store. A
/// configuration of 1 MB takes 0.9 s on an idle link of 10 Mbit/s.
const STORE_DELAY_FRACTION: f64 = 0.4;

/// Follows the operator's rows for as long as the node runs.
pub async fn follow_config(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let mut client = FeedClient::new(node.clone(), FeedKind::Config);
    boxes::wait_for_box_list(&node).await;
    loop {
        let known = node.config_row();
        let Some(position) = obtain(&node, &mut client).await else {
            continue;
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

/// Obtains the configuration from another box or from the store, whichever is faster. Returns `None` if that is to be
/// tried again.
async fn obtain(node: &Arc<ServingNode>, client: &mut FeedClient) -> Option<Position> {
    if node.config.load().is_none() {
        return obtain_first(node, client).await;
    }
    let mut from_boxes = pin!(neighbours::take_known(node));
    let asked = timeout(store_delay(node), &mut from_boxes).await;
    if asked == Ok(true) {
        return Some(Position::of_snapshot(node));
    }
    let later_from_boxes = async {
        // Requests that are under way may still be answered.
        if asked.is_ok() || !from_boxes.await {
            neighbours::take_newer(node).await;
        }
    };
    tokio::select! {
        () = later_from_boxes => Some(Position::of_snapshot(node)),
        position = read_rows(node, client) => position,
    }
}

/// Obtains the first configuration of this process, from another box if one is up.
async fn obtain_first(node: &Arc<ServingNode>, client: &mut FeedClient) -> Option<Position> {
    if neighbours::take_first(node, store_delay(node)).await {
        return Some(Position::of_snapshot(node));
    }
    if boxes::wait_for_snapshot(node).await {
        return None;
    }
    tokio::select! {
        () = neighbours::take_newer(node) => Some(Position::of_snapshot(node)),
        position = read_rows(node, client) => position,
    }
}

/// Returns how long other boxes may take to send the configuration before the store is read as well, counted from when
/// this box knew that there was a newer one.
fn store_delay(node: &ServingNode) -> Duration {
    let time = scaled(node.settings.load().promises.config(), STORE_DELAY_FRACTION);
    let known_since = node.feed_state.lock().config_news_at();
    time.saturating_sub(known_since.map_or(Duration::ZERO, |at| node.now().since(at)))
}

/// The result of reading the operator's rows or of fetching a snapshot.
struct Position {
    /// The version from which to follow the feed.
    version: StoreVersion,
    /// Whether a hall was evacuated or returned to use.
    has_hall_changes: bool,
}

impl Position {
    /// Returns the position after another box sent the configuration.
    fn of_snapshot(node: &ServingNode) -> Self {
        Self { version: node.config_row(), has_hall_changes: false }
    }
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
        let is_newer_taken = tokio::select! {
            () = client.wait_for_reader(is_behind) => false,
            () = neighbours::take_newer(node) => true,
        };
        if is_newer_taken {
            version = relay_taken(node, socket, version).await;
            continue;
        }
        let must_relist = client.is_reader() && node.evacuations.lock().take_relisting(node.now());
        if is_behind() || must_relist || client.take_suspension() {
            // Read the row itself, since this box's position in the feed is old and may be gone
            // from its history.
            return;
        }
        client.count("follow_config");
        let asked_at = node.now();
        let call = node.ports.knowledge.follow_operator(version, client.feed_wait());
        let answer = tokio::select! {
            answer = client.unless_suspended(call) => answer,
            () = neighbours::take_newer(node) => {
                log::info!(row = node.config_row(); "call for the configuration given up, since another box sent it");
                version = relay_taken(node, socket, version).await;
                continue;
            }
        };
        let Some(answer) = answer else {
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

/// Tells the hall of a configuration that another box sent, if it does not know of it. Returns the version from which to
/// follow the feed.
async fn relay_taken(
    node: &ServingNode,
    socket: &PeerSocket,
    followed: StoreVersion,
) -> StoreVersion {
    relay_operator_rows(node, socket, node.config_row_to_relay(), false).await;
    followed.max(node.config_row())
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
pub(super) struct Call {
    /// When the call was made.
    pub asked_at: Moment,
    /// The box that answered, or `None` for the store.
    pub answered_by: Option<Ipv4Addr>,
}

/// Puts a stored configuration in force if it is valid and newer than the one in force.
pub(super) fn apply(node: &Arc<ServingNode>, stored: StoredConfig, call: Call) {
    if stored.row_version <= node.config_row() {
        return;
    }
    let row = stored.row_version;
    let known_since = node.feed_state.lock().take_config_news(row);
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
            let known_ms = known_since.map(|since| now.since(since).as_millis() as u64);
            log::info!(version, before, row, routes, by, call_ms, known_ms; "configuration in force");
            ConfigOutcome::InForce
        }
    };
    node.record_config_row(row, outcome);
}
