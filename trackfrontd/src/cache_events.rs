//! Reads the engines' cache events, which come late and with gaps, as hints for routing.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use trackfront_core::ids::BackendId;
use trackfront_core::members::rank;
use trackfront_core::ports::CacheEvents;

use crate::shared::Shared;

/// How often each engine's events are read.
const READ_EVERY: Duration = Duration::from_secs(5);

/// How far one engine's events were read.
#[derive(Clone, Copy, Default)]
struct Position {
    incarnation: u64,
    sequence: u64,
}

/// Reads events until the task is stopped. Only evictions matter to a box: what it has sent
/// itself it knows, and what others have sent it cannot match to a caller's next request.
pub async fn run(shared: Arc<Shared>) {
    let mut positions: HashMap<BackendId, Position> = HashMap::new();
    loop {
        shared.rest(READ_EVERY).await;
        let Some(current) = shared.in_force.current() else {
            continue;
        };
        positions.retain(|id, _| current.engines.contains_key(id));
        let others = shared.members.lock().live_ids(shared.outside.clock.now());
        let boxes = others.len() + 1;
        for (id, engine) in &current.engines {
            // The engines are spread over the boxes, so that the cost of each box is bounded.
            if rank(id.as_str(), &shared.me, &others) >= boxes.div_ceil(2).min(2) {
                continue;
            }
            let position = positions.entry(id.clone()).or_default();
            match engine.cache_events(position.sequence).await {
                Ok(events) => take_in(&shared, id, position, &events),
                Err(error) => log::debug!("engine {id}: {error}"),
            }
        }
    }
}

fn take_in(shared: &Shared, id: &BackendId, position: &mut Position, events: &CacheEvents) {
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
