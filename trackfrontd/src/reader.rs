//! Reads the load of engines that no other box seems to read.
//!
//! The owner of a shard reads its engines; the others read only what has grown stale, each
//! after a time by its rank, so that a lost owner does not leave everybody blind and a cut-off
//! box does not read all at once.

use std::sync::Arc;
use std::time::Duration;

use trackfront_core::ids::BackendId;
use trackfront_core::members::rank;
use trackfront_core::ports::{Engine, LoadReport};

use crate::shared::Shared;

/// How often stale figures are looked for.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// How old figures get before the first box after the owner reads them itself.
const STALE_AFTER: Duration = Duration::from_millis(2_500);

/// How much longer each further box waits.
const STALE_STEP: Duration = Duration::from_millis(500);

/// Reads stale figures until the task is stopped.
pub async fn run(shared: Arc<Shared>) {
    loop {
        read_stale(&shared).await;
        shared.rest(LOOK_EVERY).await;
    }
}

async fn read_stale(shared: &Shared) {
    let Some(current) = shared.in_force.current() else {
        return;
    };
    let now = shared.outside.clock.now();
    let others = shared.members.lock().live_ids(now);
    let stale = current.engines.iter().filter(|(id, _)| {
        let patience = STALE_AFTER + STALE_STEP * rank(id.as_str(), &shared.me, &others) as u32;
        let age = shared.fleet.engine(id).and_then(|entry| entry.age(now));
        age.is_none_or(|age| age >= patience)
    });
    let reads = stale.map(|(id, engine)| read(shared, id, engine.as_ref()));
    futures::future::join_all(reads).await;
}

/// Reads one engine's report and takes its figures in.
pub async fn read(shared: &Shared, id: &BackendId, engine: &dyn Engine) -> Option<LoadReport> {
    shared.metrics.reports_read.inc();
    match engine.report().await {
        Ok(report) => {
            shared.fleet.apply_report(id, &report, shared.outside.clock.now());
            Some(report)
        }
        Err(error) => {
            log::debug!("engine {id}: {error}");
            None
        }
    }
}
