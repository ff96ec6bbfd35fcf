//! The list of boxes: one row each in the platform's table, and word of it between boxes.
//!
//! A box that comes back reads a few rows that follow its own in its hall, and asks those boxes for the whole list.
//! Where the whole system starts for the first time, every box writes its row first; the first that lists them
//! tells the rest, by way of the first boxes of each hall where there are many. So a start costs one write a box and a
//! few lists.

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
use super::node::{ServingNode, short_hall};
use super::peer_socket::PeerSocket;

/// The start of the keys of boxes' rows; the hall and the address follow.
const ROW_PREFIX: &str = "box/";

/// How many rows a box that comes back reads from its own on: enough for some of these boxes to be up.
const NEIGHBOURS: usize = 16;

/// How many of these boxes are asked for the list of all, at the same time.
const NEIGHBOURS_ASKED: usize = 3;

/// How long after its own row was written a box lists the others at the earliest: those that start with
/// it have written theirs by then. Of two boxes at least one finds the other, and tells it.
const FIRST_LIST: Duration = Duration::from_millis(500);

/// Within how much longer each box picks its moment, so that the first can tell the others.
const FIRST_LIST_SPREAD: Duration = Duration::from_millis(1_000);

/// How long after a failed call the row is written or the boxes are listed again; twice as long each time.
const LIST_AGAIN: Duration = Duration::from_millis(700);

/// The longest such pause.
const LONGEST_AGAIN: Duration = Duration::from_millis(5_600);

/// How often the reader of a hall lists the boxes after that.
const LIST_EVERY: Duration = Duration::from_secs(60);

/// How many times longer other boxes wait, which the reader tells.
const OTHERS_WAIT: u32 = 10;

/// How long a box that comes back waits for the list before it reads from the platform what others
/// could hand it: several times what a call takes.
const LIST_TIME: Duration = Duration::from_millis(250);

/// How long a box waits to learn of the others where all start for the first time.
const START_TIME: Duration = Duration::from_millis(5_000);

/// How much longer a box of many waits for others to have what it lacks, and how often it asks.
const COPY_TIME: Duration = Duration::from_millis(4_000);
const COPY_AGAIN: Duration = Duration::from_millis(250);

/// How often it looks whether it knows the others.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// What the row of a box holds; its hall and its address stand in the key.
#[derive(Serialize, Deserialize)]
struct BoxRow {
    name: String,
    strength: CapacityClass,
}

/// Within which time boxes of a small hall that come back together pick their moment.
const SMALL_HALL_SPREAD: Duration = Duration::from_millis(300);

/// What a box knows of its row and of the others when it starts.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Start {
    /// It has no row yet, as far as it knows.
    New,
    /// It has a row, and the others are not known; whether its hall is small is.
    Returned { is_small: bool },
    /// The others are known.
    Joined,
}

/// Writes this box's row and learns of the others, then lists them again but seldom.
pub async fn maintain_box_list(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let start = match node.settings.load().node.first_start {
        true => {
            node.set_prefers_snapshots();
            Start::New
        }
        false => join(&node).await,
    };
    node.finish_first_listing();
    if start == Start::New {
        write_until_there(&node).await;
    }
    let moment = rand::rng().random::<f64>();
    match start {
        Start::Joined => {}
        Start::Returned { is_small: true } => sleep(SMALL_HALL_SPREAD.mul_f64(moment)).await,
        _ => {
            // The strongest list first, and tell the others.
            let strength = node.settings.load().resources.capacity();
            let pause = FIRST_LIST + FIRST_LIST_SPREAD.mul_f64(moment) * strength.delay_factor();
            node.extend_discovery(pause);
            sleep(pause).await;
        }
    }
    let mut is_known = start == Start::Joined;
    let mut pauses = Pauses::default();
    loop {
        // What is known already, from the list at the start or from another box, is not listed now.
        if is_known || node.has_received_box_list() {
            let hall = node.peers.lock().hall_peers(node.is_store_lost(), node.now());
            sleep(if hall.is_reader() { LIST_EVERY } else { LIST_EVERY * OTHERS_WAIT }).await;
        }
        match list(&node).await {
            Ok(_) => {
                is_known = true;
                pauses = Pauses::default();
                tell(&node, &socket).await;
            }
            Err(error) => {
                log::info!(error:% = error; "boxes not listed");
                let is_busy = matches!(error, TableError::RateLimited);
                let pause = if is_busy { pauses.next() } else { LIST_AGAIN };
                if is_busy {
                    node.extend_discovery(pause);
                }
                sleep(pause).await;
            }
        }
    }
}

/// The pauses between failed calls: many boxes that start together are more than a table takes at once, and those that
/// ask again at the same pace keep it so.
#[derive(Default)]
struct Pauses {
    times: u32,
}

impl Pauses {
    fn next(&mut self) -> Duration {
        let longest = LIST_AGAIN.saturating_mul(2u32.saturating_pow(self.times)).min(LONGEST_AGAIN);
        self.times += 1;
        longest.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

async fn write_until_there(node: &ServingNode) {
    let mut pauses = Pauses::default();
    loop {
        match write_row(node).await {
            Written::There => return,
            Written::Busy => {
                // Many start at once, so this box is not alone.
                let pause = pauses.next();
                node.extend_discovery(pause);
                sleep(pause).await;
            }
            Written::Failed => sleep(LIST_AGAIN).await,
        }
    }
}

/// Finds the others again after this box was away.
async fn join(node: &ServingNode) -> Start {
    let own = row_key(node);
    let prefix = hall_prefix(node);
    let rows = match neighbours(node, &prefix, &own).await {
        Ok(rows) => rows,
        Err(error) => {
            log::info!(error:% = error; "neighbours not listed");
            return Start::New;
        }
    };
    let has_own_row = rows.iter().any(|row| row.key == own);
    let is_small = rows.len() < NEIGHBOURS;
    if !is_small {
        node.set_prefers_snapshots();
    }
    let boxes: Vec<ListedBox> = rows.iter().filter_map(listed).collect();
    {
        let mut peers = node.peers.lock();
        boxes.iter().for_each(|one| peers.add_listed(*one, node.now()));
    }
    // These may be asked for other copies at once; the list of all can take longer.
    node.finish_first_listing();
    let mut asked: Vec<Ipv4Addr> = boxes.iter().map(|one| one.ip).collect();
    asked.retain(|ip| *ip != node.settings.load().node.ip);
    asked.shuffle(&mut rand::rng());
    asked.truncate(NEIGHBOURS_ASKED);
    let boxes = exchange::fetch_boxes(node, &asked).await;
    match boxes.filter(|boxes| note_all(node, boxes)) {
        Some(_) if has_own_row => Start::Joined,
        _ if has_own_row => Start::Returned { is_small },
        _ => Start::New,
    }
}

/// Reads the rows of some boxes of a hall: this one's, if it is there, and those that follow it; from the first on
/// where these are too few.
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

/// Waits for the list of boxes as long as it is worth it.
pub async fn wait_for_box_list(node: &ServingNode) {
    if !node.settings.load().node.first_start {
        let ended = node.first_listing_finished();
        // Without the list the box reads from the platform itself.
        let _ = timeout(LIST_TIME, ended).await;
        return;
    }
    while !node.are_boxes_listed() && node.age() < START_TIME {
        sleep(LOOK_EVERY).await;
    }
}

/// Returns whether a box that lacks something at its start, and was given no copy, waits for others to have one: those
/// that read for their halls get it from the platform. It does not wait for ever.
pub async fn wait_for_snapshot(node: &ServingNode) -> bool {
    let age = node.age();
    let is_reader = node.peers.lock().hall_peers(node.is_store_lost(), node.now()).is_reader();
    let must_read = is_reader && !node.is_discovering_peers();
    if !node.prefers_snapshots() || must_read || age >= START_TIME + COPY_TIME {
        return false;
    }
    sleep(COPY_AGAIN).await;
    true
}

/// Returns boxes that are likely up, those of this hall first, for a box that has heard of none.
pub fn likely_up(node: &ServingNode) -> Vec<Ipv4Addr> {
    node.peers.lock().likely_up(node.now())
}

/// Takes in a list that another box read, and hands it on to its part of the hall if it is to.
pub async fn apply_update(node: &ServingNode, socket: &PeerSocket, told: BoxListUpdate) {
    if !note_all(node, &told.boxes) || !told.forward {
        return;
    }
    let part = {
        let peers = node.peers.lock();
        peers.forward_targets(node.now())
    };
    let told = BoxListUpdate { forward: false, ..told };
    socket.send(&Message::BoxList(told), &part).await;
}

/// Learns of all boxes from a list. Returns whether it has this box: no list of its own is needed then.
fn note_all(node: &ServingNode, boxes: &[ListedBox]) -> bool {
    let me = node.settings.load().node.ip;
    if !boxes.iter().any(|one| one.ip == me) {
        return false;
    }
    let now = node.now();
    let mut peers = node.peers.lock();
    boxes.iter().for_each(|one| peers.add_listed(*one, now));
    drop(peers);
    if !node.has_received_box_list() {
        log::info!(boxes = boxes.len(); "boxes told of");
        node.set_boxes_listed();
        node.set_box_list_received();
    }
    true
}

/// Lists the boxes. Returns whether this one's row is among theirs.
async fn list(node: &ServingNode) -> Result<bool, TableError> {
    count(node, "list_boxes");
    let rows = node.ports.table.scan_groups(ROW_PREFIX).await?;
    let now = node.now();
    let me = node.settings.load().node.ip;
    let boxes: Vec<ListedBox> = rows.iter().filter_map(listed).collect();
    let has_own_row = boxes.iter().any(|one| one.ip == me);
    let mut peers = node.peers.lock();
    boxes.iter().for_each(|one| peers.add_listed(*one, now));
    drop(peers);
    log::info!(boxes = boxes.len(), has_own_row; "boxes listed");
    // A list from before this box wrote its row may lack others that start now as well. Taken for one of all, it made
    // three to six boxes of six read for their two halls in 9 of 112 starts; equal parts of limits go by it too.
    if has_own_row {
        node.set_boxes_listed();
    }
    node.digest_requested.notify_one();
    Ok(has_own_row)
}

/// Reads the row of a box. One whose key names no box is passed over; one whose value cannot be read bears little.
fn listed(row: &Row) -> Option<ListedBox> {
    let place = row.key.0.strip_prefix(ROW_PREFIX).and_then(|place| place.split_once('/'));
    let Some((hall, ip)) = place.and_then(|(hall, ip)| Some((hall, ip.parse().ok()?))) else {
        log::warn!(row = row.key.0; "row of a box not understood");
        return None;
    };
    let read = serde_json::from_slice(&row.value).map(|row: BoxRow| row.strength);
    let strength = read.unwrap_or_else(|error| {
        log::warn!(row = row.key.0, error:% = error; "row of a box not understood");
        CapacityClass::default()
    });
    Some(ListedBox { ip, hall: short_hall(&HallName::from(hall)), capacity: strength })
}

/// Tells all boxes of the list which there are.
async fn tell(node: &ServingNode, socket: &PeerSocket) {
    let (boxes, all) = {
        let peers = node.peers.lock();
        (peers.listed_boxes(), peers.broadcast_targets(node.now()))
    };
    let told = |forward| Message::BoxList(BoxListUpdate { boxes: boxes.clone(), forward });
    socket.send(&told(true), &all.forwarders).await;
    socket.send(&told(false), &all.direct).await;
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

/// What came of writing this box's row.
enum Written {
    /// It is there.
    There,
    /// The table takes no more writes now.
    Busy,
    /// It may not be there.
    Failed,
}

async fn write_row(node: &ServingNode) -> Written {
    count(node, "write_box");
    let settings = node.settings.load();
    let key = row_key(node);
    // If the row is there already, an earlier process of this machine wrote it.
    let expect = Expect::Absent;
    let id = TxnId::from(draw_id("node", &mut rand::rng()));
    let (name, strength) = (settings.node.name.clone(), settings.resources.capacity());
    let row = BoxRow { name, strength };
    let value = serde_json::to_vec(&row).expect("our own types always encode");
    let value = Some(Bytes::from(value));
    let transaction = Transaction { id, writes: vec![Write { key, expect, value }] };
    match node.ports.table.commit(&transaction).await {
        CommitOutcome::Applied | CommitOutcome::Conflict { .. } => Written::There,
        CommitOutcome::NotApplied(TableError::RateLimited) => Written::Busy,
        CommitOutcome::NotApplied(_) | CommitOutcome::Unknown(_) => Written::Failed,
    }
}
