//! Reads the load of engines whose known load is stale.
//!
//! The owner of a shard reads the load of its engines and sends it to the others. If their knowledge is
//! stale because the owner was lost or cannot be reached, they read it themselves, with delays by rank so
//! that not all boxes read at once.

use std::sync::Arc;
use std::time::Duration;

use trackfront_core::ids::BackendId;
use trackfront_core::members::rank;
use trackfront_core::ports::{Engine, LoadReport};

use crate::shared::Shared;

/// The interval at which stale loads are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The age of a load at which the first box reads it itself.
const STALE_AFTER: Duration = Duration::from_millis(2_500);

/// The additional age for each further box.
const STALE_STEP: Duration = Duration::from_millis(500);

/// Reads stale loads until the task is stopped.
pub async fn read_stale_loads(shared: Arc<Shared>) {
    loop {
        read_stale(&shared).await;
        shared.sleep_about(CHECK_INTERVAL).await;
    }
}

async fn read_stale(shared: &Shared) {
    let Some(current) = shared.in_force.current() else {
        return;
    };
    let now = shared.outside.clock.now();
    let others = shared.members.lock().live_ids(now);
    let stale = current.engines.iter().filter(|(id, _)| {
        let max_age = STALE_AFTER + STALE_STEP * rank(id.as_str(), &shared.me, &others) as u32;
        let age = shared.fleet.engine(id).and_then(|entry| entry.age(now));
        age.is_none_or(|age| age >= max_age)
    });
    let reads = stale.map(|(id, engine)| read(shared, id, engine.as_ref()));
    futures::future::join_all(reads).await;
}

/// Reads the report of an engine and applies it. Returns `None` if the engine cannot be reached.
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
