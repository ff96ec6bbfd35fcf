//! Follows the list of servers.

use std::sync::Arc;

use tokio::time::sleep;
use trackfront_core::ports::{Feed, Listing};
use trackfront_core::serving::directory::{
    ChangeOrigin, DirectoryEvent, ReceivedChanges, ServerChange,
};

use super::feed_client::{FIRST_PAUSE, FeedClient};
use crate::serving::boxes;
use crate::serving::crashes;
use crate::serving::exchange;
use crate::serving::feed_relay::{FeedKind, MAX_CHANGES_PER_MESSAGE, relay_server_changes};
use crate::serving::node::ServingNode;
use crate::serving::peer_socket::PeerSocket;

/// How long the box waits after a change of servers, so that one call brings the changes of many,
/// as a part of the time within which a draining server has to be known.
const GATHER_PART: f64 = 0.125;

/// Follows the servers for as long as the box lives.
pub async fn follow_servers(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let mut link = FeedClient::new(node.clone(), FeedKind::Servers);
    boxes::wait_for_box_list(&node).await;
    loop {
        if take_copy(&node, &link).await {
            follow_from(&node, &socket, &mut link).await;
            break;
        }
        if !boxes::wait_for_snapshot(&node).await {
            break;
        }
    }
    loop {
        link.count("list_servers");
        let listing = match node.ports.knowledge.list_servers().await {
            Ok(listing) => listing,
            Err(error) => {
                link.failed(&error).await;
                if !node.knows_servers() && take_copy(&node, &link).await {
                    follow_from(&node, &socket, &mut link).await;
                }
                continue;
            }
        };
        link.works();
        let to = listing.version;
        let (from, found) = take_listing(&node, listing);
        let Some(Found { events, changes }) = found else {
            log::info!(version = to; "list of servers older than what is known");
            relay_server_changes(&node, &socket, ReceivedChanges::empty(from)).await;
            sleep(FIRST_PAUSE).await;
            continue;
        };
        handle_events(&node, events, to, Source::Platform);
        // Who knows something else hears that there is more, and asks for a copy.
        let told = ReceivedChanges::from_listing(from, to, changes, MAX_CHANGES_PER_MESSAGE);
        relay_server_changes(&node, &socket, told).await;
        node.set_knows_servers();
        follow_from(&node, &socket, &mut link).await;
    }
}

/// Takes in what another box knows that this one does not. Returns whether there was something.
async fn take_copy(node: &Arc<ServingNode>, link: &FeedClient) -> bool {
    let known = node.directory.lock().newest_version();
    let told_by = node.feed_state.lock().take_gap();
    let mut sources = link.sources(told_by);
    if sources.is_empty() && known == 0 {
        sources = boxes::likely_up(node);
    }
    let Some(copy) = exchange::fetch_servers(node, &sources, known).await else {
        return false;
    };
    let events = {
        let mut directory = node.directory.lock();
        // What came in between by relay is newer, or was passed over for the gap.
        directory.apply_update(copy.update, copy.version, node.now())
    };
    handle_events(node, events, copy.version, Source::OtherBox);
    node.feed_state.lock().record(FeedKind::Servers, node.now());
    node.set_knows_servers();
    true
}

/// What a listing of the servers has changed.
struct Found {
    events: Vec<DirectoryEvent>,
    /// The same for the other boxes of the hall.
    changes: Vec<ServerChange>,
}

/// Takes in a listing of the servers. Returns the newest version before it, and what it has changed;
/// nothing if it is older than what is known.
fn take_listing(node: &ServingNode, listing: Listing<ServerChange>) -> (u64, Option<Found>) {
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
async fn follow_from(node: &Arc<ServingNode>, socket: &PeerSocket, link: &mut FeedClient) {
    while !link.must_reread() {
        link.wait_for_reader(|| node.feed_state.lock().has_gap()).await;
        if link.woke() {
            return;
        }
        if node.feed_state.lock().has_gap() && take_copy(node, link).await {
            continue;
        }
        link.count("follow_servers");
        let from = node.directory.lock().newest_version();
        let call = node.ports.knowledge.follow_servers(from, link.feed_wait());
        let Some(answer) = link.unless_suspended(call).await else {
            return;
        };
        match answer {
            Ok(Feed::Changes { changes, version: to }) => {
                link.works();
                let some = !changes.is_empty();
                let events = take_changes(node, changes.clone(), to);
                handle_events(node, events, to, Source::Platform);
                let told = ReceivedChanges { origin: ChangeOrigin::Feed, from, to, changes };
                relay_server_changes(node, socket, told).await;
                if some {
                    sleep(link.part_of_drain(GATHER_PART)).await;
                }
            }
            Ok(Feed::HistoryGone) => {
                // The hall is told nothing yet: it would take that for a word on the list and wait anew, 2.4 s in all
                // of a promised 2 s where this box then ended before it had listed the servers.
                log::info!(table = "servers", after = from; "history gone, reading anew");
                sleep(FIRST_PAUSE).await;
                return;
            }
            Err(error) => link.failed(&error).await,
        }
    }
    link.forgive();
}

fn take_changes(node: &ServingNode, changes: Vec<ServerChange>, to: u64) -> Vec<DirectoryEvent> {
    node.unusable_rows.record(&changes, &node.metrics);
    let now = node.now();
    let mut directory = node.directory.lock();
    let events = directory.apply(changes, to, now);
    directory.confirm_current(now);
    events
}

/// Learns the short names of servers that came, and forgets those of servers that went.
fn note_names(node: &ServingNode, events: &[DirectoryEvent]) {
    let mut names = node.names.lock();
    for event in events {
        match event {
            // One that drained when it was first heard of came with that word.
            DirectoryEvent::Joined(id) | DirectoryEvent::Draining(id) => names.add_server(id),
            DirectoryEvent::Left(id) => names.remove_server(id),
            DirectoryEvent::Changed(_) => {}
        }
    }
}

/// Takes servers away whose rows lapsed and did not come back in time.
pub fn drop_expired_rows(node: &ServingNode) {
    let events = node.directory.lock().drop_expired_rows(node.now());
    if !events.is_empty() {
        let version = node.directory.lock().newest_version();
        log::info!(servers = events.len(), version; "rows lapsed and did not come back");
        handle_events(node, events, version, Source::OtherBox);
    }
}

/// How a box learned of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// It read them from the platform.
    Platform,
    /// Another box handed them on.
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

/// Logs what has changed and lets the rest of the box know. A change of what a server says of itself has
/// a line at the box that read it; at the others such changes are summed up, or lines would grow with
/// boxes times changes.
pub fn handle_events(
    node: &ServingNode,
    events: Vec<DirectoryEvent>,
    version: u64,
    source: Source,
) {
    if events.is_empty() {
        return;
    }
    let directory = node.directory.lock();
    let mut summed_up = 0;
    let mut gone = Vec::new();
    for event in &events {
        let (id, what) = match event {
            DirectoryEvent::Joined(id) => (id, "server joined"),
            DirectoryEvent::Changed(_) if source == Source::OtherBox => {
                summed_up += 1;
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
    if summed_up > 0 {
        log::info!(servers = summed_up, version; "servers changed");
    }
    drop(directory);
    note_names(node, &events);
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
