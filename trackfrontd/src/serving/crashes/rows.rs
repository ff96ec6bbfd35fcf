//! Stores requests that crash servers in the platform's table, and loads them at boxes that start.
//!
//! Even if all boxes are killed at once, the clients of a request that crashes servers retry it. So each request has a
//! small row from its second crash on: one of the suspicion, and then one of the quarantine. A request that ran at one
//! server that ended has none: of the hundreds that run beside a cause, hardly any recurs. A box that starts asks other
//! boxes, and reads the rows if none of them knows.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{sleep, timeout};
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ids::{TxnId, draw_id};
use trackfront_core::ports::{CommitOutcome, Expect, RowKey, TableError, Transaction, Write};
use trackfront_core::serving::crashes::{CrashReport, MAX_TRIALS, SUSPECT_AFTER_CRASHES};
use trackfront_core::serving::fingerprint::Fingerprint;
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;

use super::coordinators_of;
use crate::serving::node::ServingNode;
use crate::serving::{boxes, exchange, feed_relay};

/// The prefix of the rows' keys, which is followed by the fingerprint.
const ROW_PREFIX: &str = "crashes/";

/// What the keys of trials have after the fingerprint, followed by the number of the trial.
const TRIAL_SUFFIX: &str = ".trial-";

/// What the keys of suspicions have after the fingerprint.
const SUSPICION_SUFFIX: &str = ".suspect";

/// The most requests, of those that are only suspected, that a starting box is told of, and the most rows of suspicions
/// that a box writes at each check.
const MAX_SUSPICIONS: usize = 256;
const MAX_SUSPICION_WRITES: usize = 8;

/// The interval at which a starting box asks other boxes for quarantined requests, and the number
/// of rounds after which it reads the rows even if it isn't the feed reader of its hall. If every
/// box read them at once, a start of all boxes would cost as many calls as there are boxes.
const ASK_INTERVAL: Duration = Duration::from_millis(300);
const FEED_READER_ROUNDS: usize = 4;

/// The maximum interval between checks for rows to write or remove.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// The version of a row that was written once, without the era.
const FIRST_COUNT: u64 = 1;

/// The maximum time that the removal of a row takes; an operator's call waits for it.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The additional delay before each further box that counts a request's crashes writes the row.
const WRITER_DELAY: Duration = Duration::from_millis(2_000);

/// Loads the quarantined requests, then maintains the rows of the requests that this box counts.
pub async fn maintain_rows(node: Arc<ServingNode>) {
    load(&node).await;
    loop {
        let _ = timeout(CHECK_INTERVAL, node.crashes.quarantine_changed.notified()).await;
        write_rows(&node).await;
        write_suspicions(&node).await;
        forget_expired(&node);
        remove_rows(&node).await;
    }
}

/// Loads the quarantined requests: as one of many boxes that start, or at once if requests wait for it.
async fn load(node: &ServingNode) {
    let (reports, from) = tokio::select! {
        loaded = load_among_others(node) => loaded,
        reports = load_when_wanted(node) => (reports, "the platform's table"),
    };
    apply_loaded(node, reports, from);
}

/// Loads quarantined requests from other boxes, or from the platform's table if none of them knows.
async fn load_among_others(node: &ServingNode) -> (Vec<CrashReport>, &'static str) {
    boxes::wait_for_box_list(node).await;
    // A box that knows no other box would take itself for the feed reader: of 90 boxes that start,
    // 90 would read.
    while node.is_discovering_peers() {
        sleep(ASK_INTERVAL).await;
    }
    for round in 0.. {
        let others = boxes::likely_up(node);
        if let Some(reports) = exchange::fetch_crashes(node, &others).await {
            return (reports, "another box");
        }
        let reads = feed_relay::hall_peers(node).is_reader() || round >= FEED_READER_ROUNDS;
        if reads {
            match read_rows(node).await {
                Ok(reports) => return (reports, "the platform's table"),
                Err(error) => log::info!(error:% = error; "quarantine rows not read"),
            }
        }
        sleep(ASK_INTERVAL).await;
    }
    unreachable!("the rounds do not end")
}

async fn load_when_wanted(node: &ServingNode) -> Vec<CrashReport> {
    loop {
        node.crashes.load_wanted.notified().await;
        match read_rows(node).await {
            Ok(reports) => return reports,
            Err(error) => log::info!(error:% = error; "quarantine rows not read"),
        }
        sleep(ASK_INTERVAL).await;
    }
}

fn apply_loaded(node: &ServingNode, reports: Vec<CrashReport>, from: &'static str) {
    let now = node.now();
    let count = reports.len();
    {
        let mut tracker = node.crashes.tracker.lock();
        reports.iter().for_each(|report| tracker.load(report, now));
    }
    node.crashes.loaded.send_replace(true);
    log::info!(from, held_off = count; "crashes known");
}

/// Returns the quarantined and the suspected requests for a starting box; `None` if this box hasn't loaded them.
pub fn snapshot(node: &ServingNode) -> Option<Vec<CrashReport>> {
    let quarantined = || node.crashes.all_quarantined().into_iter();
    let suspected = || node.crashes.tracker.lock().suspected(MAX_SUSPICIONS);
    let all = || quarantined().chain(suspected()).map(|(report, _)| report).collect();
    node.crashes.is_loaded().then(all)
}

async fn read_rows(node: &ServingNode) -> Result<Vec<CrashReport>, TableError> {
    node.metrics.store_calls.get_or_create(&KindLabel { kind: "read_crashes" }).inc();
    let rows = node.ports.table.scan(ROW_PREFIX).await?;
    let read = |value: &Bytes| serde_json::from_slice::<CrashReport>(value);
    let rows = rows.iter().filter(|row| !row.key.0.contains(TRIAL_SUFFIX));
    let reports = rows.filter_map(|row| match read(&row.value) {
        Ok(report) => Some(CrashReport { stored: true, ..report }),
        Err(error) => {
            log::warn!(row = row.key.0, error:% = error; "invalid quarantine row");
            None
        }
    });
    Ok(reports.collect())
}

/// Returns how many trials of a request were made, by the rows of [`write_trial`].
pub(super) async fn count_trials(
    node: &ServingNode,
    fingerprint: Fingerprint,
) -> Result<u32, TableError> {
    node.metrics.store_calls.get_or_create(&KindLabel { kind: "read_crashes" }).inc();
    let rows = node.ports.table.scan(&format!("{ROW_PREFIX}{fingerprint}{TRIAL_SUFFIX}")).await?;
    Ok(rows.len() as u32)
}

/// What became of the row of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrialRow {
    /// This transaction wrote it.
    Written,
    /// Another box made that trial.
    Taken,
    /// The store does not say, or a row of an earlier quarantine is in the way.
    Unknown,
}

impl TrialRow {
    /// Returns the name for logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            TrialRow::Written => "written",
            TrialRow::Taken => "another box made it",
            TrialRow::Unknown => "the store does not say",
        }
    }
}

/// Claims a trial of a quarantined request for the transaction `id`: whoever writes its row makes it, whichever box that is.
/// The same transaction may be written again, if it is not known whether it was.
pub(super) async fn claim_trial(
    node: &ServingNode,
    report: &CrashReport,
    number: u32,
    id: TxnId,
) -> TrialRow {
    node.metrics.store_calls.get_or_create(&KindLabel { kind: "write_crashes" }).inc();
    let key = trial_key(report.fingerprint, number);
    let value = Bytes::from(serde_json::to_vec(report).expect("our own types always encode"));
    let write = |expect| Transaction {
        id: id.clone(),
        writes: vec![Write { key: key.clone(), expect, value: Some(value.clone()) }],
    };
    let table = &node.ports.table;
    match table.commit(&write(Expect::Absent)).await {
        CommitOutcome::Applied => return TrialRow::Written,
        CommitOutcome::Conflict { .. } => {}
        CommitOutcome::NotApplied(_) | CommitOutcome::Unknown(_) => return TrialRow::Unknown,
    }
    let Ok(Some(row)) = table.read(&key).await else {
        return TrialRow::Unknown;
    };
    if row.written_by == id {
        return TrialRow::Written;
    }
    if !is_of_earlier_quarantine(&row.value, report) {
        return TrialRow::Taken;
    }
    match table.commit(&write(Expect::Version(row.version))).await {
        CommitOutcome::Applied => TrialRow::Written,
        _ => TrialRow::Unknown,
    }
}

/// Returns whether the row of a trial stayed when its request was let go, before the present quarantine. Boxes of earlier
/// versions name no crashes.
fn is_of_earlier_quarantine(row: &[u8], report: &CrashReport) -> bool {
    let Ok(tried) = serde_json::from_slice::<CrashReport>(row) else {
        return false;
    };
    let mut counted = report.crashed.difference(&report.excused);
    !tried.crashed.is_empty() && !counted.any(|incarnation| tried.crashed.contains(incarnation))
}

fn row_key(fingerprint: Fingerprint) -> RowKey {
    RowKey(format!("{ROW_PREFIX}{fingerprint}"))
}

fn suspicion_key(fingerprint: Fingerprint) -> RowKey {
    RowKey(format!("{ROW_PREFIX}{fingerprint}{SUSPICION_SUFFIX}"))
}

/// Returns the version of rows that were written once.
fn first_version(node: &ServingNode) -> StoreVersion {
    StoreVersion::new(node.ports.table.era().unwrap_or(0), FIRST_COUNT)
}

fn trial_key(fingerprint: Fingerprint, number: u32) -> RowKey {
    RowKey(format!("{ROW_PREFIX}{fingerprint}{TRIAL_SUFFIX}{number}"))
}

/// Writes missing rows. The boxes that count a request's crashes try one after the other, until one
/// has succeeded.
async fn write_rows(node: &ServingNode) {
    for (report, since) in node.crashes.all_quarantined() {
        if !report.stored && is_writer(node, report.fingerprint, since) {
            write_quarantine(node, &report).await;
        }
    }
}

/// Writes the row of a quarantined request, and tells all boxes. That of its suspicion stays until both are removed.
pub(super) async fn write_quarantine(node: &ServingNode, report: &CrashReport) {
    let fingerprint = report.fingerprint;
    if !write_report(node, row_key(fingerprint), report).await {
        return;
    }
    log::info!(fingerprint:%; "held off request written down");
    node.crashes.outbox.lock().add_report(fingerprint, true, node.now());
    node.crashes.outbox_changed.notify_one();
    if !node.crashes.tracker.lock().is_quarantined(fingerprint) {
        // It was released while the row was being written.
        node.crashes.rows_to_remove.lock().insert(fingerprint);
    }
}

/// Returns whether this box is the next of those that count a request's crashes to write its row, `since` the crash.
fn is_writer(node: &ServingNode, fingerprint: Fingerprint, since: Moment) -> bool {
    let me = node.settings.load().node.ip;
    let index = coordinators_of(node, fingerprint).iter().position(|ip| *ip == me);
    index.is_some_and(|index| node.now().since(since) >= WRITER_DELAY * index as u32)
}

/// Writes a report, unless there is a row already. Returns whether the row is certain to exist.
async fn write_report(node: &ServingNode, key: RowKey, report: &CrashReport) -> bool {
    let value = serde_json::to_vec(report).expect("our own types always encode");
    let is_stored = commit(node, key, Expect::Absent, Some(value.into())).await;
    if is_stored {
        node.crashes.tracker.lock().set_stored(report);
    }
    is_stored
}

/// Writes missing rows of suspicions, as [`write_rows`] does for quarantined requests, and removes those of which the
/// crashes were cleared.
async fn write_suspicions(node: &ServingNode) {
    let suspected = node.crashes.tracker.lock().suspected(MAX_SUSPICIONS);
    let due = suspected.into_iter().filter(|(report, since)| {
        report.crashes() >= SUSPECT_AFTER_CRASHES
            && !report.stored
            && is_writer(node, report.fingerprint, *since)
    });
    for (report, _) in due.take(MAX_SUSPICION_WRITES) {
        write_suspicion(node, &report).await;
    }
    let cleared = node.crashes.tracker.lock().cleared_but_stored();
    for fingerprint in cleared.into_iter().take(MAX_SUSPICION_WRITES) {
        node.crashes.tracker.lock().set_not_stored(fingerprint);
        remove_suspicion(node, fingerprint).await;
    }
}

/// Writes the row of a suspicion, and tells the boxes that count the crashes.
pub(super) async fn write_suspicion(node: &ServingNode, report: &CrashReport) {
    let fingerprint = report.fingerprint;
    if write_report(node, suspicion_key(fingerprint), report).await {
        log::info!(fingerprint:%, crashes = report.crashes(); "suspected request written down");
        node.crashes.outbox.lock().add_report(fingerprint, false, node.now());
        node.crashes.outbox_changed.notify_one();
    }
}

/// Removes the row of a suspicion. If it stays, boxes that start count its crashes for as long as a suspicion lasts.
async fn remove_suspicion(node: &ServingNode, fingerprint: Fingerprint) {
    commit(node, suspicion_key(fingerprint), Expect::Version(first_version(node)), None).await;
}

/// Forgets requests whose quarantine or suspicion expired. The first of the boxes that count a request's crashes removes its
/// row.
fn forget_expired(node: &ServingNode) {
    let me = node.settings.load().node.ip;
    let expired = node.crashes.tracker.lock().forget_old(node.now());
    let is_quarantined = |fingerprint| node.crashes.tracker.lock().is_quarantined(fingerprint);
    node.crashes.trial_claims.lock().retain(is_quarantined);
    for report in expired {
        let fingerprint = report.fingerprint;
        match report.is_quarantined() {
            true => log::info!(fingerprint:%; "request quarantine expired"),
            false => log::info!(fingerprint:%; "suspicion expired"),
        }
        if report.stored && coordinators_of(node, fingerprint).first() == Some(&me) {
            node.crashes.rows_to_remove.lock().insert(fingerprint);
        }
    }
}

/// Removes the rows of requests that are no longer quarantined, up to the first that the table does not remove.
async fn remove_rows(node: &ServingNode) {
    let released: Vec<_> = node.crashes.rows_to_remove.lock().iter().copied().collect();
    for fingerprint in released {
        if node.crashes.tracker.lock().is_quarantined(fingerprint) {
            node.crashes.rows_to_remove.lock().remove(&fingerprint);
        } else if !remove_released(node, fingerprint).await {
            return;
        }
    }
}

/// Removes the row of a released request. Returns whether it is certain to be gone; otherwise it is removed later.
pub(super) async fn remove_released(node: &ServingNode, fingerprint: Fingerprint) -> bool {
    let removal = timeout(REMOVAL_TIMEOUT, remove_row(node, fingerprint)).await;
    let is_removed = removal.unwrap_or(false);
    if is_removed {
        node.crashes.rows_to_remove.lock().remove(&fingerprint);
    }
    is_removed
}

/// Removes the rows of a request that is no longer quarantined, and those of its trials. If they stayed, starting boxes
/// would load them. Returns whether all are certain to be gone.
async fn remove_row(node: &ServingNode, fingerprint: Fingerprint) -> bool {
    let version = first_version(node);
    let trials = (1..=MAX_TRIALS).map(|number| trial_key(fingerprint, number));
    let mut removed = true;
    for key in trials.chain([suspicion_key(fingerprint), row_key(fingerprint)]) {
        removed &= commit(node, key, Expect::Version(version), None).await;
    }
    if !removed {
        log::warn!(fingerprint:%; "quarantine row not removed");
    }
    removed
}

/// Writes or removes a row. Returns whether the row is certain to exist, or to be gone.
async fn commit(node: &ServingNode, key: RowKey, expect: Expect, value: Option<Bytes>) -> bool {
    node.metrics.store_calls.get_or_create(&KindLabel { kind: "write_crashes" }).inc();
    let row = key.0.clone();
    let id = TxnId::from(draw_id("crashes", &mut rand::rng()));
    let transaction = Transaction { id, writes: vec![Write { key, expect, value }] };
    match node.ports.table.commit(&transaction).await {
        CommitOutcome::Applied | CommitOutcome::Conflict { .. } => true,
        CommitOutcome::NotApplied(error) | CommitOutcome::Unknown(error) => {
            log::info!(row, error:% = error; "quarantine row not written");
            false
        }
    }
}
