//! Maintains the list of boxes, which has one row for each box in the platform's table.
//!
//! A box that returns reads a few rows after its own in its hall and asks those boxes for the whole
//! list. When the whole system starts for the first time, every box writes its row, and the first
//! one that lists all rows sends the list to the others, in a large fleet through the delegates of
//! each hall. A start thus costs one write for each box and a few listings.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ids::{HallName, TxnId, draw_id};
use trackfront_core::ports::{CommitOutcome, Expect, Row, RowKey, TableError, Transaction, Write};

use super::delegates::{CapacityClass, ListedBox};
use super::exchange;
use super::messages::{BoxListUpdate, Message};
use super::node::ServingNode;
use super::peer_socket::PeerSocket;
use super::short_names::short_hall;
use trackfront_core::units::scaled;

/// The prefix of the keys of box rows, followed by the hall and the address.
const ROW_PREFIX: &str = "box/";

/// The number of rows that a returning box reads, from its own on: enough that some of these boxes
/// are up.
const NEIGHBOURS: usize = 16;

/// The number of neighbours that are asked for the list of boxes, all at once.
const NEIGHBOURS_ASKED: usize = 3;

/// The shortest time from writing its row until a box lists the others. Boxes that start with it
/// have written their rows by then, so that of two boxes at least one finds the other and sends it
/// the list.
const FIRST_LISTING_DELAY: Duration = Duration::from_millis(500);

/// The range of the random delay before the first listing, in which the first box can send its list
/// to the others.
const FIRST_LISTING_JITTER: Duration = Duration::from_millis(1_000);

/// The range of the random delay before a listing by boxes of a small hall that return together.
const SMALL_HALL_JITTER: Duration = Duration::from_millis(300);

/// The first delay after a failed write or listing. It doubles while the table limits calls.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// The longest delay after a call that the table refused because of its rate limit.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(5_600);

/// The interval between listings by the feed reader of a hall.
const LISTING_INTERVAL: Duration = Duration::from_secs(60);

/// The factor by which other boxes, which receive the reader's list, list less often.
const NON_READER_INTERVAL_FACTOR: u32 = 10;

/// The time that a returning box waits for the list of boxes before it reads from the platform what
/// its peers could send it: several times the duration of a call.
const LIST_WAIT: Duration = Duration::from_millis(250);

/// The time that a box waits to discover its peers when all boxes start for the first time.
const FIRST_START_WAIT: Duration = Duration::from_millis(5_000);

/// The additional time that a box waits for snapshots that its peers may not have yet.
const SNAPSHOT_WAIT: Duration = Duration::from_millis(4_000);

/// The interval between requests for such a snapshot.
const SNAPSHOT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The interval at which a box checks whether it knows its peers.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The value of a box's row. The hall and the address are in the key.
#[derive(Serialize, Deserialize)]
struct BoxRow {
    name: String,
    #[serde(rename = "strength")]
    capacity: CapacityClass,
}

/// What a box knows of its row and its peers after the first attempt to join.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Start {
    /// It found no row of its own.
    New,
    /// It has a row but does not know all of its peers. `is_small` says whether its hall has few
    /// boxes.
    Returned { is_small: bool },
    /// It has a row and knows its peers.
    Joined,
}

/// Writes this box's row and lists its peers, then refreshes the list at long intervals.
pub async fn maintain_box_list(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let start = match node.settings.load().node.first_start {
        true => {
            node.set_prefers_snapshots();
            node.set_new_to_store();
            Start::New
        }
        false => join(&node).await,
    };
    node.finish_first_listing();
    if start == Start::New {
        write_row_until_stored(&node).await;
    }
    let position = rand::rng().random::<f64>();
    match start {
        Start::Joined => {}
        Start::Returned { is_small: true } => sleep(scaled(SMALL_HALL_JITTER, position)).await,
        _ => {
            // Boxes of high capacity list first and send the list to the others.
            let capacity = node.settings.load().resources.capacity();
            let jitter = scaled(FIRST_LISTING_JITTER, position) * capacity.delay_factor();
            let delay = FIRST_LISTING_DELAY + jitter;
            node.extend_discovery(delay);
            sleep(delay).await;
        }
    }
    let mut is_known = start == Start::Joined;
    let mut backoff = Backoff::default();
    loop {
        // Skip the listing for now if joining or another box has provided the list.
        if is_known || node.has_received_box_list() {
            let hall = node.peers.lock().hall_peers(node.is_store_lost(), node.now());
            let factor = if hall.is_reader() { 1 } else { NON_READER_INTERVAL_FACTOR };
            sleep(LISTING_INTERVAL * factor).await;
        }
        match list(&node).await {
            Ok(_) => {
                is_known = true;
                backoff = Backoff::default();
                broadcast(&node, &socket).await;
            }
            Err(error) => {
                log::info!(error:% = error; "listing the boxes failed");
                let is_busy = matches!(error, TableError::RateLimited);
                let delay = if is_busy { backoff.next_delay() } else { RETRY_DELAY };
                if is_busy {
                    node.extend_discovery(delay);
                }
                sleep(delay).await;
            }
        }
    }
}

/// Exponential backoff with jitter. Many boxes that start together exceed the table's rate limit,
/// and would keep exceeding it if they all retried at the same pace.
#[derive(Default)]
struct Backoff {
    retries: u32,
}

impl Backoff {
    fn next_delay(&mut self) -> Duration {
        let longest =
            RETRY_DELAY.saturating_mul(2u32.saturating_pow(self.retries)).min(MAX_RETRY_DELAY);
        self.retries += 1;
        scaled(longest, rand::rng().random_range(0.5..1.0))
    }
}

/// Writes this box's row, repeatedly until it is stored.
pub async fn write_row_until_stored(node: &ServingNode) {
    let mut backoff = Backoff::default();
    loop {
        match write_row(node).await {
            WriteOutcome::Stored => return,
            WriteOutcome::Busy => {
                // The table is busy because many boxes start at once, so this box has peers.
                let delay = backoff.next_delay();
                node.extend_discovery(delay);
                sleep(delay).await;
            }
            WriteOutcome::Failed => sleep(RETRY_DELAY).await,
        }
    }
}

/// Finds the peers of a box that may have been part of the fleet before.
async fn join(node: &ServingNode) -> Start {
    let own = row_key(node);
    let prefix = hall_prefix(node);
    let rows = match neighbours(node, &prefix, &own).await {
        Ok(rows) => rows,
        Err(error) => {
            log::info!(error:% = error; "listing the neighbour boxes failed");
            return Start::New;
        }
    };
    let has_own_row = rows.iter().any(|row| row.key == own);
    match has_own_row {
        true => node.set_has_run_before(),
        false => node.set_new_to_store(),
    }
    let is_small = rows.len() < NEIGHBOURS;
    if !is_small {
        node.set_prefers_snapshots();
    }
    let boxes: Vec<ListedBox> = rows.iter().filter_map(parse_row).collect();
    {
        let mut peers = node.peers.lock();
        boxes.iter().for_each(|listed| peers.add_listed(*listed, node.now()));
    }
    // The neighbours can be asked for other snapshots now; the full list may take longer.
    node.finish_first_listing();
    let mut sources: Vec<Ipv4Addr> = boxes.iter().map(|listed| listed.ip).collect();
    sources.retain(|ip| *ip != node.settings.load().node.ip);
    sources.shuffle(&mut rand::rng());
    sources.truncate(NEIGHBOURS_ASKED);
    let boxes = exchange::fetch_boxes(node, &sources).await;
    match boxes.filter(|boxes| apply_list(node, boxes)) {
        Some(_) if has_own_row => Start::Joined,
        _ if has_own_row => Start::Returned { is_small },
        _ => Start::New,
    }
}

/// Reads the rows of some boxes of a hall: this box's own, if it exists, and the next ones,
/// continuing from the hall's first row if these are too few.
async fn neighbours(
    node: &ServingNode,
    prefix: &str,
    own: &RowKey,
) -> Result<Vec<Row>, TableError> {
    count(node, "list_neighbours");
    let mut rows = node.ports.table.scan_from(prefix, own, NEIGHBOURS).await?;
    if rows.len() <= NEIGHBOURS_ASKED {
        count(node, "list_neighbours");
        let first = RowKey(prefix.to_owned());
        let from_first = node.ports.table.scan_from(prefix, &first, NEIGHBOURS).await?;
        rows.extend(from_first.into_iter().filter(|row| row.key < *own));
    }
    Ok(rows)
}

/// Waits for the list of boxes, but only for as long as that is faster than doing without it.
pub async fn wait_for_box_list(node: &ServingNode) {
    if !node.settings.load().node.first_start {
        let ended = node.first_listing_finished();
        // Without the list the box reads from the platform itself.
        let _ = timeout(LIST_WAIT, ended).await;
        return;
    }
    while !node.are_boxes_listed() && node.age() < FIRST_START_WAIT {
        sleep(CHECK_INTERVAL).await;
    }
}

/// Waits before another request for a snapshot that no peer had, and returns `true`. Returns
/// `false` as soon as the box should read from the platform: as its hall's feed reader, without
/// peers that may have the snapshot soon, or after waiting too long.
pub async fn wait_for_snapshot(node: &ServingNode) -> bool {
    let retry_at = node.now() + SNAPSHOT_RETRY_DELAY;
    while !must_read(node) {
        if node.now() >= retry_at {
            return true;
        }
        sleep(CHECK_INTERVAL).await;
    }
    false
}

/// Returns whether the box has to read from the platform what no peer had.
fn must_read(node: &ServingNode) -> bool {
    if !node.prefers_snapshots() || node.age() >= FIRST_START_WAIT + SNAPSHOT_WAIT {
        return true;
    }
    if node.is_discovering_peers() {
        // No box knows which others are up. If all have just started, all would wait for another.
        return node.are_boxes_listed() && node.peers.lock().is_listed_first();
    }
    node.peers.lock().hall_peers(node.is_store_lost(), node.now()).is_reader()
}

/// Returns the boxes that are likely up, those of this hall first, for a box that has no other
/// source of snapshots.
pub fn likely_up(node: &ServingNode) -> Vec<Ipv4Addr> {
    node.peers.lock().likely_up(node.now())
}

/// Applies a list from another box, and forwards it to this box's part of the hall if requested.
pub async fn apply_update(node: &ServingNode, socket: &PeerSocket, update: BoxListUpdate) {
    if !apply_list(node, &update.boxes) || !update.forward {
        return;
    }
    let targets = {
        let peers = node.peers.lock();
        peers.forward_targets(node.now())
    };
    let update = BoxListUpdate { forward: false, ..update };
    socket.send(&Message::BoxList(update), &targets).await;
}

/// Applies a list of all boxes. Returns whether it contains this box, which then needs no listing
/// of its own.
fn apply_list(node: &ServingNode, boxes: &[ListedBox]) -> bool {
    let me = node.settings.load().node.ip;
    if !boxes.iter().any(|listed| listed.ip == me) {
        return false;
    }
    let now = node.now();
    let mut peers = node.peers.lock();
    boxes.iter().for_each(|listed| peers.add_listed(*listed, now));
    drop(peers);
    if !node.has_received_box_list() {
        log::info!(boxes = boxes.len(); "box list received");
        node.set_boxes_listed();
        node.set_box_list_received();
    }
    true
}

/// Lists the boxes. Returns whether this box's row is among theirs.
async fn list(node: &ServingNode) -> Result<bool, TableError> {
    count(node, "list_boxes");
    let rows = node.ports.table.scan_groups(ROW_PREFIX).await?;
    let now = node.now();
    let me = node.settings.load().node.ip;
    let boxes: Vec<ListedBox> = rows.iter().filter_map(parse_row).collect();
    let has_own_row = boxes.iter().any(|listed| listed.ip == me);
    let mut peers = node.peers.lock();
    boxes.iter().for_each(|listed| peers.add_listed(*listed, now));
    drop(peers);
    log::info!(boxes = boxes.len(), has_own_row; "boxes listed");
    // A list from before this box wrote its row may also lack other boxes that are starting.
    // Treating it as complete made three to six of six boxes feed readers of their two halls in 9
    // of 112 starts. The division of limits among boxes relies on a complete list as well.
    if has_own_row {
        node.set_boxes_listed();
    }
    node.digest_requested.notify_one();
    Ok(has_own_row)
}

/// Parses the row of a box. A row with an invalid key is skipped; one with an invalid value gets
/// the lowest capacity.
fn parse_row(row: &Row) -> Option<ListedBox> {
    let suffix = row.key.0.strip_prefix(ROW_PREFIX).and_then(|suffix| suffix.split_once('/'));
    let Some((hall, ip)) = suffix.and_then(|(hall, ip)| Some((hall, ip.parse().ok()?))) else {
        log::warn!(row = row.key.0; "invalid key of a box row");
        return None;
    };
    let parsed = serde_json::from_slice(&row.value).map(|row: BoxRow| row.capacity);
    let capacity = parsed.unwrap_or_else(|error| {
        log::warn!(row = row.key.0, error:% = error; "invalid value of a box row");
        CapacityClass::default()
    });
    Some(ListedBox { ip, hall: short_hall(&HallName::from(hall)), capacity })
}

/// Sends the list of boxes to all of them.
async fn broadcast(node: &ServingNode, socket: &PeerSocket) {
    let (boxes, targets) = {
        let peers = node.peers.lock();
        (peers.listed_boxes(), peers.broadcast_targets(node.now()))
    };
    let message = |forward| Message::BoxList(BoxListUpdate { boxes: boxes.clone(), forward });
    socket.send(&message(true), &targets.forwarders).await;
    socket.send(&message(false), &targets.direct).await;
}

fn hall_prefix(node: &ServingNode) -> String {
    format!("{ROW_PREFIX}{}/", node.settings.load().node.hall)
}

fn row_key(node: &ServingNode) -> RowKey {
    RowKey(format!("{}{}", hall_prefix(node), node.settings.load().node.ip))
}

fn count(node: &ServingNode, kind: &'static str) {
    node.metrics.store_calls.get_or_create(&KindLabel { kind }).inc();
}

/// The outcome of writing this box's row.
enum WriteOutcome {
    /// The row is stored.
    Stored,
    /// The table refused the write because of its rate limit.
    Busy,
    /// The row may not be stored.
    Failed,
}

async fn write_row(node: &ServingNode) -> WriteOutcome {
    count(node, "write_box");
    let settings = node.settings.load();
    let key = row_key(node);
    // An existing row was written by an earlier process of this box.
    let expect = Expect::Absent;
    let id = TxnId::from(draw_id("node", &mut rand::rng()));
    let (name, capacity) = (settings.node.name.clone(), settings.resources.capacity());
    let row = BoxRow { name, capacity };
    let value = serde_json::to_vec(&row).expect("our own types always encode");
    let value = Some(Bytes::from(value));
    let transaction = Transaction { id, writes: vec![Write { key, expect, value }] };
    match node.ports.table.commit(&transaction).await {
        CommitOutcome::Applied | CommitOutcome::Conflict { .. } => {
            *node.box_row_written_at.lock() = Some(node.now());
            WriteOutcome::Stored
        }
        CommitOutcome::NotApplied(TableError::RateLimited) => WriteOutcome::Busy,
        CommitOutcome::NotApplied(_) | CommitOutcome::Unknown(_) => WriteOutcome::Failed,
    }
}
