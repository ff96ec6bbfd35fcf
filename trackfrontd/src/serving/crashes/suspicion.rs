//! Requests that broke at several servers, whose crashes are stored before their clients are answered.
//!
//! A client tries again at once, perhaps after all boxes were killed. What its earlier tries did must be known then.

use std::time::Duration;

use tokio::time::{sleep, timeout};
use trackfront_core::ids::BackendId;
use trackfront_core::serving::crashes::{CrashReport, SUSPECT_AFTER_CRASHES};
use trackfront_core::serving::fingerprint::Fingerprint;

use super::rows;
use crate::serving::node::ServingNode;

/// The longest time for which an answer is held: until the servers are found to have ended, about 35 ms, and the store has
/// taken the row.
const MAX_HOLD: Duration = Duration::from_millis(200);

/// The most rows that an answer waits for, that of the request first. The rest, parts of its prompt, is written later.
const MAX_ROWS: usize = 4;

/// The interval at which it is looked whether the servers are found to have ended.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until the platform's store knows of a request whose connections broke at several servers, if these have ended.
/// `tried` are the servers.
pub async fn store_before_answer(
    node: &ServingNode,
    suspects: &[Fingerprint],
    tried: &[BackendId],
) {
    let storing = async {
        while is_probing(node, tried) {
            sleep(LOOK_INTERVAL).await;
        }
        let unstored = suspects.iter().filter_map(|suspect| unstored(node, *suspect));
        for report in unstored.take(MAX_ROWS) {
            match report.is_quarantined() {
                true => rows::write_quarantine(node, &report).await,
                false => rows::write_suspicion(node, &report).await,
            }
        }
    };
    if timeout(MAX_HOLD, storing).await.is_err() {
        log::info!(fingerprint:% = suspects[0]; "answered before crashes were written down");
    }
}

/// Returns whether it is being found out if a server has ended.
fn is_probing(node: &ServingNode, servers: &[BackendId]) -> bool {
    let probing = node.crashes.probing.lock();
    servers.iter().any(|server| probing.contains(server))
}

/// Returns the report on a request that is suspected or quarantined and not stored.
fn unstored(node: &ServingNode, suspect: Fingerprint) -> Option<CrashReport> {
    let tracker = node.crashes.tracker.lock();
    let report = tracker.report(suspect)?;
    let is_due = report.crashes() >= SUSPECT_AFTER_CRASHES && !report.stored;
    is_due.then(|| report.clone())
}
