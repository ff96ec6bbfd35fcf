//! Reads the cache events of engines, which are delayed and incomplete, as hints for routing.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use trackfront_core::ids::BackendId;
use trackfront_core::members::rank;
use trackfront_core::ports::CacheEvents;

use crate::shared::Shared;

/// The interval at which the events of an engine are read.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// The position up to which the events of an engine were read.
#[derive(Clone, Copy, Default)]
struct Position {
    incarnation: u64,
    sequence: u64,
}

/// Reads events until the task is stopped. A box only needs evictions: it knows the prompts that it
/// has sent itself, and cannot use those of other boxes.
pub async fn read_events(shared: Arc<Shared>) {
    let mut positions: HashMap<BackendId, Position> = HashMap::new();
    loop {
        shared.sleep_about(READ_INTERVAL).await;
        let Some(current) = shared.in_force.current() else {
            continue;
        };
        positions.retain(|id, _| current.engines.contains_key(id));
        let others = shared.members.lock().live_ids(shared.outside.clock.now());
        let boxes = others.len() + 1;
        for (id, engine) in &current.engines {
            // Two boxes read the events of each engine, which bounds the cost per box.
            if rank(id.as_str(), &shared.me, &others) >= boxes.div_ceil(2).min(2) {
                continue;
            }
            let position = positions.entry(id.clone()).or_default();
            match engine.cache_events(position.sequence).await {
                Ok(events) => apply(&shared, id, position, &events),
                Err(error) => log::debug!("engine {id}: {error}"),
            }
        }
    }
}

fn apply(shared: &Shared, id: &BackendId, position: &mut Position, events: &CacheEvents) {
    if events.incarnation != position.incarnation {
        *position = Position { incarnation: events.incarnation, sequence: 0 };
    }
    for event in &events.events {
        position.sequence = position.sequence.max(event.sequence);
        if !event.cached {
            shared.router.record_eviction(event.block, id);
        }
    }
}
