//! Follows the server list.

use std::sync::Arc;

use tokio::time::sleep;
use trackfront_core::ports::{Feed, Listing};
use trackfront_core::serving::directory::{
    ChangeOrigin, DirectoryEvent, ReceivedChanges, ServerChange,
};
use trackfront_core::store_version::StoreVersion;

use super::feed_client::{FIRST_RETRY_DELAY, FeedClient, snapshot_sources};
use crate::serving::boxes;
use crate::serving::crashes;
use crate::serving::exchange;
use crate::serving::feed_relay::{FeedKind, MAX_CHANGES_PER_MESSAGE, relay_server_changes};
use crate::serving::node::ServingNode;
use crate::serving::peer_socket::PeerSocket;

/// The delay after a change of servers, so that one call returns the changes of many, as a fraction
/// of the drain time.
const GATHER_DELAY_FRACTION: f64 = 0.125;

/// Follows the server list for as long as the node runs.
pub async fn follow_servers(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let mut client = FeedClient::new(node.clone(), FeedKind::Servers);
    boxes::wait_for_box_list(&node).await;
    loop {
        if fetch_snapshot(&node).await {
            follow_feed(&node, &socket, &mut client).await;
            break;
        }
        if !boxes::wait_for_snapshot(&node).await {
            break;
        }
    }
    loop {
        client.count("list_servers");
        let call = node.ports.knowledge.list_servers();
        let Some(listing) = client.unless_suspended(call).await else {
            continue;
        };
        let listing = match listing {
            Ok(listing) => listing,
            Err(error) => {
                client.back_off(&error).await;
                if !node.knows_servers() && fetch_snapshot(&node).await {
                    follow_feed(&node, &socket, &mut client).await;
                }
                continue;
            }
        };
        client.record_success();
        let to = listing.version;
        let (from, found) = apply_listing(&node, listing);
        let Some(Found { events, changes }) = found else {
            log::info!(version = to; "server list older than the known one");
            relay_server_changes(&node, &socket, ReceivedChanges::empty(from)).await;
            sleep(FIRST_RETRY_DELAY).await;
            continue;
        };
        handle_events(&node, events, to, Source::Platform);
        // A box in another state than `from` finds that it misses changes and fetches a snapshot.
        let received = ReceivedChanges::from_listing(from, to, changes, MAX_CHANGES_PER_MESSAGE);
        relay_server_changes(&node, &socket, received).await;
        node.set_knows_servers();
        follow_feed(&node, &socket, &mut client).await;
    }
}

/// Fetches and applies a snapshot of the server list from another box. Returns whether one had a
/// newer list.
async fn fetch_snapshot(node: &Arc<ServingNode>) -> bool {
    let known = node.directory.lock().newest_version();
    let notifier = node.feed_state.lock().take_gap();
    let mut sources = snapshot_sources(node, notifier);
    if sources.is_empty() && known == StoreVersion::ZERO {
        sources = boxes::likely_up(node);
    }
    let Some(snapshot) = exchange::fetch_servers(node, &sources, known).await else {
        return false;
    };
    let events = {
        let mut directory = node.directory.lock();
        // Changes relayed meanwhile are newer than the snapshot, or were not applied because of the
        // gap.
        directory.apply_update(snapshot.update, snapshot.version, node.now())
    };
    handle_events(node, events, snapshot.version, Source::OtherBox);
    node.feed_state.lock().record(FeedKind::Servers, node.now());
    node.set_knows_servers();
    true
}

/// The changes that a listing of the servers made.
struct Found {
    events: Vec<DirectoryEvent>,
    /// The same changes for the other boxes of the hall.
    changes: Vec<ServerChange>,
}

/// Applies a listing of the servers. Returns the newest version before it, and its changes unless
/// it is older than the known list.
fn apply_listing(
    node: &ServingNode,
    listing: Listing<ServerChange>,
) -> (StoreVersion, Option<Found>) {
    let rows: Vec<ServerChange> = listing.rows.into_iter().map(|(_, row)| row).collect();
    node.unusable_rows.record(&rows, &node.metrics);
    let mut directory = node.directory.lock();
    let from = directory.newest_version();
    let now = node.now();
    let events = directory.replace_with_rows(rows, listing.version, now);
    if events.is_some() {
        directory.confirm_current(now);
    }
    let found = events.map(|events| {
        let changes = directory.changes_for(&events, listing.version);
        Found { events, changes }
    });
    (from, found)
}

/// Follows the feed until everything has to be read again.
async fn follow_feed(node: &Arc<ServingNode>, socket: &PeerSocket, client: &mut FeedClient) {
    while !client.must_reread() {
        client.wait_for_reader(|| node.feed_state.lock().has_gap()).await;
        let must_relist = node.directory.lock().take_relisting(node.now()) && client.is_reader();
        if must_relist || client.take_suspension() {
            return;
        }
        if node.feed_state.lock().has_gap() && fetch_snapshot(node).await {
            continue;
        }
        client.count("follow_servers");
        let from = node.directory.lock().newest_version();
        let call = node.ports.knowledge.follow_servers(from, client.feed_wait());
        let Some(answer) = client.unless_suspended(call).await else {
            return;
        };
        match answer {
            Ok(Feed::Changes { changes, version: to }) => {
                client.record_success();
                let has_changes = !changes.is_empty();
                let events = apply_changes(node, changes.clone(), to);
                handle_events(node, events, to, Source::Platform);
                let received = ReceivedChanges { origin: ChangeOrigin::Feed, from, to, changes };
                relay_server_changes(node, socket, received).await;
                if has_changes {
                    sleep(client.drain_fraction(GATHER_DELAY_FRACTION)).await;
                }
            }
            Ok(Feed::HistoryGone) => {
                // Nothing is relayed yet: the hall would take it for the list's confirmation and
                // wait again, 2.4 s in all with a drain time of 2 s if this box then stops before
                // it has listed the servers.
                log::info!(
                    table = "servers", after = from;
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

fn apply_changes(
    node: &ServingNode,
    changes: Vec<ServerChange>,
    to: StoreVersion,
) -> Vec<DirectoryEvent> {
    node.unusable_rows.record(&changes, &node.metrics);
    let now = node.now();
    let mut directory = node.directory.lock();
    let events = directory.apply(changes, to, now);
    directory.confirm_current(now);
    events
}

/// Updates the short names of servers that joined or left.
fn update_names(node: &ServingNode, events: &[DirectoryEvent]) {
    let mut names = node.names.lock();
    for event in events {
        match event {
            // A server that was already draining when it was first listed has no `Joined` event.
            DirectoryEvent::Joined(id) | DirectoryEvent::Draining(id) => names.add_server(id),
            DirectoryEvent::Left(id) => names.remove_server(id),
            DirectoryEvent::Changed(_) => {}
        }
    }
}

/// Removes servers whose rows expired and did not return in time.
pub fn drop_expired_rows(node: &ServingNode) {
    let events = node.directory.lock().drop_expired_rows(node.now());
    if !events.is_empty() {
        let version = node.directory.lock().newest_version();
        log::info!(servers = events.len(), version; "removed servers whose rows expired");
        handle_events(node, events, version, Source::OtherBox);
    }
}

/// How a box learned of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// It read them from the platform.
    Platform,
    /// Another box relayed them.
    OtherBox,
}

impl Source {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Source::Platform => "platform",
            Source::OtherBox => "other box",
        }
    }
}

/// Logs changes of servers and notifies the other parts of the node. The box that read a change
/// from the platform logs one line for it; other boxes log a count, or the number of lines would be
/// that of boxes times changes.
pub fn handle_events(
    node: &ServingNode,
    events: Vec<DirectoryEvent>,
    version: StoreVersion,
    source: Source,
) {
    if events.is_empty() {
        return;
    }
    let directory = node.directory.lock();
    let mut counted = 0;
    let mut gone = Vec::new();
    for event in &events {
        let (id, what) = match event {
            DirectoryEvent::Joined(id) => (id, "server joined"),
            DirectoryEvent::Changed(_) if source == Source::OtherBox => {
                counted += 1;
                continue;
            }
            DirectoryEvent::Changed(id) => (id, "server changed"),
            DirectoryEvent::Draining(id) => (id, "server drains"),
            DirectoryEvent::Left(id) => (id, "server left"),
        };
        match directory.get(id) {
            Some(known) => {
                let entry = &known.entry;
                let (address, service) = (&entry.address, &entry.service);
                let models = entry.models.len();
                log::info!(server:% = id, address, service:%, models, version; "{what}");
                if let (DirectoryEvent::Joined(_), Some(before)) = (event, &known.replaces) {
                    let forgotten = "models, load, prompts and orders of the earlier run";
                    log::info!(server:% = id, before:%, forgotten, version; "server started again");
                    gone.push(before.clone());
                }
            }
            None => log::info!(server:% = id, version; "{what}"),
        }
    }
    if counted > 0 {
        log::info!(servers = counted, version; "servers changed");
    }
    drop(directory);
    update_names(node, &events);
    let mut loads = node.loads.lock();
    for event in &events {
        if let DirectoryEvent::Left(id) = event {
            loads.forget(id);
            node.cold.lock().forget(id);
            gone.push(id.clone());
        }
    }
    drop(loads);
    gone.iter().for_each(|id| crashes::server_left(node, id));
    node.servers_changed.notify_waiters();
}
