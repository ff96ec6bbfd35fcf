//! The era of the platform's store, and what this box writes again after a restoration.
//!
//! The store may be restored from a copy some seconds old, which starts the next era. The operator
//! and the servers write their rows again; the rows of this system's boxes are lost if the copy
//! lacks them.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use tokio::sync::Notify;
use tokio::time::sleep;
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::{Moment, scaled};

use super::boxes;
use super::node::ServingNode;

/// The greatest age of a copy from which the store is restored. Older rows are not lost.
const MAX_COPY_AGE: Duration = Duration::from_secs(60);

/// The time over which the boxes of a fleet spread their writes: at 1,968 boxes, 200 a second.
const WRITE_SPREAD: Duration = Duration::from_secs(10);

/// The latest era that this box knows.
#[derive(Debug, Default)]
pub struct StoreEra {
    known: Mutex<Option<KnownEra>>,
    /// The first era that this box learned of.
    first: OnceLock<u64>,
    restored: Notify,
}

/// A step to a later era.
struct Advance {
    /// The era known before; `None` if this is the first one.
    before: Option<u64>,
}

/// An era as this box knows it.
#[derive(Clone, Copy, Debug)]
pub struct KnownEra {
    era: u64,
    /// When this box learned of it.
    pub learned_at: Moment,
    /// Whether it is the first era that this box learned of, so that it may have begun long ago.
    pub is_first: bool,
}

impl StoreEra {
    /// Records an era. Returns `None` if it is not later than the known one.
    fn advance(&self, era: u64, now: Moment) -> Option<Advance> {
        let mut known = self.known.lock();
        let before = known.map(|known| known.era);
        if before.is_some_and(|before| era <= before) {
            return None;
        }
        self.first.get_or_init(|| era);
        *known = Some(KnownEra { era, learned_at: now, is_first: before.is_none() });
        Some(Advance { before })
    }

    /// Returns whether a version was sent by a box that does not know the store's eras: one of an
    /// earlier release, while the system is being upgraded.
    pub fn is_unknown_to_sender(&self, version: StoreVersion) -> bool {
        version.era() == 0 && self.first.get().is_some_and(|first| *first > 0)
    }

    /// Returns the latest era that this box knows; `None` if the store has no eras.
    pub fn latest(&self) -> Option<KnownEra> {
        *self.known.lock()
    }
}

/// Records the latest era that the store's answers to this box carried.
pub fn observe_own_era(node: &ServingNode) {
    let eras = [node.ports.knowledge.era(), node.ports.table.era()];
    if let Some(era) = eras.into_iter().flatten().max() {
        record_era(node, era, "the store");
    }
}

/// Records the era of a version that the box `by` sent. Versions of a store without eras have era 0.
pub fn observe_era(node: &ServingNode, era: u64, by: &str) {
    observe_own_era(node);
    if era > 0 {
        record_era(node, era, by);
    }
}

fn record_era(node: &ServingNode, era: u64, by: &str) {
    let Some(Advance { before }) = node.store_era.advance(era, node.now()) else {
        return;
    };
    node.metrics.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
    let Some(before) = before else {
        log::info!(era, by; "store era learned");
        return;
    };
    let config_row = node.config_row();
    let list = node.directory.lock().newest_version();
    log::warn!(era, before, by, config_row, list; "store restored from a copy");
    node.store_era.restored.notify_one();
}

/// Writes rows of this box again after each restoration of the store, for as long as the node runs.
pub async fn rewrite_lost_rows(node: Arc<ServingNode>) {
    loop {
        node.store_era.restored.notified().await;
        let restored_at = node.now();
        let quarantined = node.crashes.forget_stored_rows();
        let written_at = *node.box_row_written_at.lock();
        let box_row = written_at.is_some_and(|at| restored_at.since(at) < MAX_COPY_AGE);
        log::info!(quarantined, box_row; "writing again what the store may have lost");
        if box_row {
            let delay = scaled(WRITE_SPREAD, rand::rng().random());
            sleep(delay).await;
            boxes::write_row_until_stored(&node).await;
        }
    }
}
