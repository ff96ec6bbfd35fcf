//! What is held off, in the platform's table and at boxes that start.
//!
//! All boxes may be killed at once, and what crashes servers comes again all the same. One small row is written for
//! each request that is held off, none for any other. A box that starts asks others for what they know and reads
//! the rows where none of them knows.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{sleep, timeout};
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ids::{TxnId, draw_id};
use trackfront_core::ports::{CommitOutcome, Expect, RowKey, TableError, Transaction, Write};
use trackfront_core::serving::crashes::CrashReport;
use trackfront_core::serving::fingerprint::Fingerprint;

use super::coordinators_of;
use crate::serving::node::ServingNode;
use crate::serving::{boxes, exchange, feed_relay};

/// The start of the keys of rows.
const ROW_PREFIX: &str = "crashes/";

/// How long a box that starts waits between two questions for what is held off, and how many rounds it leaves to the
/// one that reads for its hall: read by every box, a start of all would cost as many calls as there are boxes.
const ASK_INTERVAL: Duration = Duration::from_millis(300);
const FEED_READER_ROUNDS: usize = 4;

/// How often is looked whether something is to be written or is over.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// How much longer each further one of the boxes that count a request's crashes waits before it writes the row.
const WRITER_DELAY: Duration = Duration::from_millis(2_000);

/// Learns what is held off, then keeps the rows of what this box counts.
pub async fn maintain_rows(node: Arc<ServingNode>) {
    load(&node).await;
    loop {
        let _ = timeout(CHECK_INTERVAL, node.crashes.quarantine_changed.notified()).await;
        write_rows(&node).await;
        forget_expired(&node).await;
    }
}

/// Asks other boxes, and the platform's table where none of them knows.
async fn load(node: &ServingNode) {
    boxes::wait_for_list(node).await;
    // A box that knows no other yet would take itself for the reader: of 90 boxes that start, 90 would read.
    while node.is_discovering_peers() {
        sleep(ASK_INTERVAL).await;
    }
    for round in 0.. {
        let others = boxes::likely_up(node);
        if let Some(reports) = exchange::fetch_crashes(node, &others).await {
            return apply_loaded(node, reports, "another box");
        }
        let reads = feed_relay::hall_peers(node).is_reader() || round >= FEED_READER_ROUNDS;
        if reads {
            match read_rows(node).await {
                Ok(reports) => return apply_loaded(node, reports, "the platform's table"),
                Err(error) => log::info!(error:% = error; "crashes not read"),
            }
        }
        sleep(ASK_INTERVAL).await;
    }
}

fn apply_loaded(node: &ServingNode, reports: Vec<CrashReport>, from: &'static str) {
    let now = node.now();
    let count = reports.len();
    {
        let mut tracker = node.crashes.tracker.lock();
        // What was tried before this box started is not known to it, so it tries nothing.
        for report in reports {
            tracker.apply_report(&CrashReport { together: false, ..report }, now);
        }
    }
    node.crashes.is_loaded.store(true, Ordering::Relaxed);
    log::info!(from, held_off = count; "crashes known");
}

/// Returns what is held off, for a box that starts; `None` if this box does not know itself.
pub fn snapshot(node: &ServingNode) -> Option<Vec<CrashReport>> {
    let held_off =
        || node.crashes.all_quarantined().into_iter().map(|(report, _)| report).collect();
    node.crashes.is_loaded().then(held_off)
}

async fn read_rows(node: &ServingNode) -> Result<Vec<CrashReport>, TableError> {
    node.metrics.store_calls.get_or_create(&KindLabel { kind: "read_crashes" }).inc();
    let rows = node.ports.table.scan(ROW_PREFIX).await?;
    let read = |value: &Bytes| serde_json::from_slice::<CrashReport>(value);
    let reports = rows.iter().filter_map(|row| match read(&row.value) {
        Ok(report) => Some(CrashReport { stored: true, ..report }),
        Err(error) => {
            log::warn!(row = row.key.0, error:% = error; "row of crashes not understood");
            None
        }
    });
    Ok(reports.collect())
}

/// Writes rows that are lacking. The boxes that count a request's crashes do so one after the other, until one has.
async fn write_rows(node: &ServingNode) {
    let me = node.settings.load().node.ip;
    let now = node.now();
    for (report, since) in node.crashes.all_quarantined() {
        let fingerprint = report.fingerprint;
        let index = coordinators_of(node, fingerprint).iter().position(|ip| *ip == me);
        let is_due = index.is_some_and(|index| now.since(since) >= WRITER_DELAY * index as u32);
        if report.stored || !is_due {
            continue;
        }
        let value = serde_json::to_vec(&report).expect("our own types always encode");
        if commit(node, fingerprint, Expect::Absent, Some(value.into())).await {
            log::info!(fingerprint:%; "held off request written down");
            node.crashes.tracker.lock().set_stored(fingerprint);
            node.crashes.outbox.lock().add_report(fingerprint, true, node.now());
        }
    }
}

/// Forgets what is held off no longer, and removes its row.
async fn forget_expired(node: &ServingNode) {
    let me = node.settings.load().node.ip;
    let over = node.crashes.tracker.lock().forget_old(node.now());
    for report in over {
        let fingerprint = report.fingerprint;
        log::info!(fingerprint:%; "request held off no longer");
        if report.stored && coordinators_of(node, fingerprint).first() == Some(&me) {
            remove_row(node, fingerprint).await;
        }
    }
    let let_go = std::mem::take(&mut *node.crashes.rows_to_remove.lock());
    for fingerprint in let_go {
        remove_row(node, fingerprint).await;
    }
}

/// Removes the row of a request that is held off no longer. One that stays is read by boxes that start.
async fn remove_row(node: &ServingNode, fingerprint: Fingerprint) {
    let removed = commit(node, fingerprint, Expect::Version(1), None).await;
    if !removed {
        log::warn!(fingerprint:%; "row of crashes not removed");
    }
}

/// Writes or removes a row. Returns whether it is there, or gone, for certain.
async fn commit(
    node: &ServingNode,
    fingerprint: Fingerprint,
    expect: Expect,
    value: Option<Bytes>,
) -> bool {
    node.metrics.store_calls.get_or_create(&KindLabel { kind: "write_crashes" }).inc();
    let key = RowKey(format!("{ROW_PREFIX}{fingerprint}"));
    let id = TxnId::from(draw_id("crashes", &mut rand::rng()));
    let transaction = Transaction { id, writes: vec![Write { key, expect, value }] };
    match node.ports.table.commit(&transaction).await {
        CommitOutcome::Applied | CommitOutcome::Conflict { .. } => true,
        CommitOutcome::NotApplied(error) | CommitOutcome::Unknown(error) => {
            log::info!(fingerprint:%, error:% = error; "crashes not written");
            false
        }
    }
}
