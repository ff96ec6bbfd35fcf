//! The list of boxes: one row each in the platform's table, and word of it between boxes.
//!
//! A box that comes back finds its row there and lists the others at once. Where the whole system starts
//! for the first time, every box writes its row first; the first that lists them tells all the rest, so
//! that a start costs one write a box and a few lists.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ids::{TxnId, ZoneName, draw_id};
use trackfront_core::ports::{CommitOutcome, Expect, RowKey, TableError, Transaction, Write};

use super::messages::Message;
use super::node::{ServingNode, short_zone};
use super::peer_socket::PeerSocket;

/// The start of the keys of boxes' rows.
const ROW_PREFIX: &str = "node/";

/// How long after its own row was written a box lists the others at the earliest: those that start with
/// it have written theirs by then. Of two boxes at least one finds the other, and tells it.
const FIRST_LIST: Duration = Duration::from_millis(500);

/// Within how much longer each box picks its moment, so that the first can tell the others.
const FIRST_LIST_SPREAD: Duration = Duration::from_millis(1_000);

/// How long after a failed call the row is written or the boxes are listed again.
const LIST_AGAIN: Duration = Duration::from_millis(700);

/// How often the boxes are listed after that.
const LIST_EVERY: Duration = Duration::from_secs(60);

/// How long a box that comes back waits for the list before it reads from the platform what others
/// could hand it: several times what a call takes.
const LIST_TIME: Duration = Duration::from_millis(250);

/// What the row of a box holds.
#[derive(Serialize, Deserialize)]
struct BoxRow {
    name: String,
    hall: ZoneName,
}

/// Writes this box's row and learns of the others, then lists them again but seldom.
pub async fn list_boxes(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let is_first_start = node.settings.load().node.first_start;
    let mut is_listed = false;
    if !is_first_start && let Ok(has_own_row) = list(&node).await {
        is_listed = has_own_row;
    }
    node.end_first_list();
    if !is_listed {
        while !write_row(&node).await {
            sleep(LIST_AGAIN).await;
        }
        let spread = FIRST_LIST_SPREAD.mul_f64(rand::rng().random::<f64>());
        sleep(FIRST_LIST + spread).await;
    }
    loop {
        // What is known already, from the list at the start or from another box, is not listed now.
        if is_listed || node.was_told_of_boxes() {
            is_listed = false;
            sleep(LIST_EVERY).await;
        }
        match list(&node).await {
            Ok(_) => {
                tell(&node, &socket).await;
                sleep(LIST_EVERY).await;
            }
            Err(error) => {
                log::info!(error:% = error; "boxes not listed");
                sleep(LIST_AGAIN).await;
            }
        }
    }
}

/// Waits for the list of boxes as long as it is worth it.
pub async fn wait_for_list(node: &ServingNode) {
    if node.settings.load().node.first_start {
        return;
    }
    let ended = node.first_list_ended();
    // Without the list the box reads from the platform itself.
    let _ = timeout(LIST_TIME, ended).await;
}

/// Returns boxes that are likely up, those of this hall first, for a box that has heard of none.
pub fn likely_up(node: &ServingNode) -> Vec<Ipv4Addr> {
    let hall = short_zone(&node.settings.load().node.zone);
    node.peers.lock().likely_up(hall, node.now())
}

/// Takes in a list that another box read: it has this box, so no list of its own is needed.
pub fn take_in(node: &ServingNode, boxes: &[Ipv4Addr]) {
    let me = node.settings.load().node.ip;
    if !boxes.contains(&me) {
        return;
    }
    let now = node.now();
    let mut peers = node.peers.lock();
    for ip in boxes.iter().filter(|ip| **ip != me) {
        peers.list(*ip, None, now);
    }
    drop(peers);
    if !node.was_told_of_boxes() {
        log::info!(boxes = boxes.len(); "boxes told of");
        node.set_knows_nodes();
        node.set_told_of_boxes();
    }
}

/// Lists the boxes. Returns whether this one's row is among theirs.
async fn list(node: &ServingNode) -> Result<bool, TableError> {
    node.metrics.store_calls.get_or_create(&KindLabel { kind: "list_boxes" }).inc();
    let rows = node.ports.table.scan(ROW_PREFIX).await?;
    let now = node.now();
    let me = node.settings.load().node.ip;
    let mut has_own_row = false;
    let mut peers = node.peers.lock();
    for row in &rows {
        let Some(ip) = row.key.0.strip_prefix(ROW_PREFIX).and_then(|ip| ip.parse().ok()) else {
            log::warn!(row = row.key.0; "row of a box without an address");
            continue;
        };
        match ip == me {
            true => has_own_row = true,
            false => peers.list(ip, hall_of(&row.value), now),
        }
    }
    drop(peers);
    log::info!(boxes = rows.len(), has_own_row; "boxes listed");
    // A list from before this box wrote its row may lack others that start now as well. Taken for one of all, it made
    // three to six boxes of six read for their two halls in 9 of 112 starts; equal parts of limits go by it too.
    if has_own_row {
        node.set_knows_nodes();
    }
    node.tell_peers.notify_one();
    Ok(has_own_row)
}

/// Returns the short name of the hall that a row names; `None` for a row of an earlier version.
fn hall_of(value: &[u8]) -> Option<u32> {
    let row: BoxRow = serde_json::from_slice(value).ok()?;
    Some(short_zone(&row.hall))
}

/// Tells all boxes of the list which there are.
async fn tell(node: &ServingNode, socket: &PeerSocket) {
    let others = node.peers.lock().reachable(node.now());
    let mut all = others.clone();
    all.push(node.settings.load().node.ip);
    socket.send(&Message::Boxes(all), &others).await;
}

async fn write_row(node: &ServingNode) -> bool {
    node.metrics.store_calls.get_or_create(&KindLabel { kind: "write_box" }).inc();
    let settings = node.settings.load();
    let key = RowKey(format!("{ROW_PREFIX}{}", settings.node.ip));
    // If the row is there already, an earlier process of this machine wrote it.
    let expect = Expect::Absent;
    let id = TxnId::from(draw_id("node", &mut rand::rng()));
    let row = BoxRow { name: settings.node.name.clone(), hall: settings.node.zone.clone() };
    let value = serde_json::to_vec(&row).expect("our own types always encode");
    let value = Some(Bytes::from(value));
    let transaction = Transaction { id, writes: vec![Write { key, expect, value }] };
    matches!(
        node.ports.table.commit(&transaction).await,
        CommitOutcome::Applied | CommitOutcome::Conflict { .. }
    )
}
