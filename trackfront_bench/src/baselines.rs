//! Simple ways to choose engines, to compare with.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use trackfront_core::engine_load::RequestProfile;
use trackfront_core::fleet::{EngineEntry, Fleet};
use trackfront_core::ids::{BackendId, HallName};
use trackfront_core::routing::{ChooseEngine, Pick, Refusal, RouteQuery, Router, RouterOptions};

/// Our router without refusals.
pub fn no_admission(fleet: Arc<Fleet>, hall: &HallName) -> Box<dyn ChooseEngine> {
    let options = RouterOptions { admission: false, ..RouterOptions::default() };
    Box::new(Router::new(fleet, hall.clone(), options))
}

/// Our router without the memory of prefixes.
pub fn no_prefix(fleet: Arc<Fleet>, hall: &HallName) -> Box<dyn ChooseEngine> {
    let options = RouterOptions { prefix: false, ..RouterOptions::default() };
    Box::new(Router::new(fleet, hall.clone(), options))
}

/// Each engine in turn.
pub fn round_robin(fleet: Arc<Fleet>, _: &HallName) -> Box<dyn ChooseEngine> {
    Box::new(RoundRobin { fleet, next: AtomicUsize::new(0) })
}

/// The engine with the fewest requests in progress.
pub fn least_in_flight(fleet: Arc<Fleet>, _: &HallName) -> Box<dyn ChooseEngine> {
    Box::new(LeastInFlight { fleet })
}

struct RoundRobin {
    fleet: Arc<Fleet>,
    next: AtomicUsize,
}

struct LeastInFlight {
    fleet: Arc<Fleet>,
}

/// Returns the engines that may be chosen, in order of their names.
fn candidates(fleet: &Fleet, query: &RouteQuery<'_>) -> Vec<Arc<EngineEntry>> {
    let mut found = Vec::new();
    fleet.for_each_ready(query.item, |entry| {
        if !query.tried.contains(&entry.id) && !entry.is_leaving() {
            found.push(entry.clone());
        }
    });
    found.sort_by(|a, b| a.id.cmp(&b.id));
    found
}

fn pick(entry: Option<&Arc<EngineEntry>>, query: &RouteQuery<'_>) -> Result<Pick, Refusal> {
    let entry = entry.ok_or(Refusal::NoEngine { retry_after: Duration::from_secs(1) })?;
    let sent = RequestProfile {
        prompt_tokens: query.prompt_tokens,
        output_tokens: query.output_tokens,
        priority: query.priority,
    };
    Ok(Pick { entry: entry.clone(), sent, estimate: None })
}

impl ChooseEngine for RoundRobin {
    fn choose(&self, query: &RouteQuery<'_>) -> Result<Pick, Refusal> {
        let found = candidates(&self.fleet, query);
        let turn = self.next.fetch_add(1, Ordering::Relaxed) % found.len().max(1);
        pick(found.get(turn), query)
    }

    fn record_send(&self, _: &RouteQuery<'_>, _: &Pick) {}

    fn record_eviction(&self, _: u64, _: &BackendId) {}
}

impl ChooseEngine for LeastInFlight {
    fn choose(&self, query: &RouteQuery<'_>) -> Result<Pick, Refusal> {
        let found = candidates(&self.fleet, query);
        pick(found.iter().min_by_key(|entry| entry.expected_requests()), query)
    }

    fn record_send(&self, _: &RouteQuery<'_>, _: &Pick) {}

    fn record_eviction(&self, _: u64, _: &BackendId) {}
}
