//! The choice of the engine for a request, and the refusal of requests that none can answer in time.

use std::sync::Arc;
use std::time::Duration;

use crate::engine_load::{Estimate, RequestProfile};
use crate::fleet::{EngineEntry, Fleet};
use crate::ids::{BackendId, HallName, ItemKey};
use crate::prefix::{BLOCK_BYTES, PrefixIndex};
use crate::units::{Moment, scaled};

/// The latency to another hall in one direction.
const OTHER_HALL_LATENCY: Duration = Duration::from_millis(1);

/// The number of tokens in a block of a prompt.
const BLOCK_TOKENS: f64 = (BLOCK_BYTES / 4) as f64;

/// The factor by which an estimate may exceed the time left. Estimates are inaccurate, and a request
/// that is refused by mistake is lost.
const MAX_OVERRUN_FACTOR: f64 = 2.0;

/// The retry delay if no engine holds the item, after which load reports are expected.
const NO_ENGINE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The minimum retry delay after a refusal.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The item that has to be resident.
    pub item: &'a ItemKey,
    /// The estimated number of tokens in the prompt.
    pub prompt_tokens: f64,
    /// The expected number of tokens in the answer.
    pub output_tokens: f64,
    /// The chained hashes of the prompt's blocks.
    pub blocks: &'a [u64],
    /// The priority.
    pub priority: u8,
    /// The time until the caller's deadline.
    pub time_left: Duration,
    /// The engines that already failed.
    pub tried: &'a [BackendId],
    /// The current time.
    pub now: Moment,
}

/// The engine chosen for a request.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The engine.
    pub entry: Arc<EngineEntry>,
    /// The properties of the request, without the cached part of its prompt.
    pub sent: RequestProfile,
    /// The estimated duration; `None` before the first measurement.
    pub estimate: Option<Estimate>,
}

/// Why no engine was chosen. The request was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The item is ready on no engine.
    NoEngine {
        /// The time after which the client should retry.
        retry_after: Duration,
    },
    /// No engine can answer in time.
    TooLate {
        /// The time after which the client should retry.
        retry_after: Duration,
    },
}

/// Chooses engines for a box.
pub trait ChooseEngine: Send + Sync {
    /// Chooses the engine for a request.
    fn choose(&self, query: &RouteQuery<'_>) -> Result<Pick, Refusal>;

    /// Records that a request was sent to the chosen engine.
    fn record_send(&self, query: &RouteQuery<'_>, pick: &Pick);

    /// Records that an engine evicted a block of a prompt from its cache.
    fn record_eviction(&self, block: u64, engine: &BackendId);
}

/// Chooses the engine with the earliest expected end of the answer, and refuses requests that none
/// can answer in time.
pub struct Router {
    fleet: Arc<Fleet>,
    hall: HallName,
    prefixes: PrefixIndex,
    options: RouterOptions,
}

/// The parts of routing that can be disabled, to measure their benefits.
#[derive(Clone, Copy, Debug)]
pub struct RouterOptions {
    /// Whether requests that cannot be answered in time are refused.
    pub admission: bool,
    /// Whether the probably cached start of a prompt is considered.
    pub prefix: bool,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self { admission: true, prefix: true }
    }
}

/// An engine that could be chosen.
struct Candidate {
    pick: Pick,
    /// Whether it is leaving or its circuit breaker is open, the estimated duration, and the number of
    /// requests at the engine. The lowest score wins.
    score: (bool, Duration, u32),
}

impl Router {
    /// Creates the router of a box in `hall`.
    pub fn new(fleet: Arc<Fleet>, hall: HallName, options: RouterOptions) -> Self {
        Self { fleet, hall, prefixes: PrefixIndex::default(), options }
    }

    /// Returns the score of an engine.
    fn evaluate(
        &self,
        entry: &Arc<EngineEntry>,
        query: &RouteQuery<'_>,
        cached: &Option<(BackendId, usize)>,
    ) -> Candidate {
        let cached_blocks =
            cached.as_ref().filter(|(id, _)| *id == entry.id).map_or(0, |(_, blocks)| *blocks);
        let cached_tokens = cached_blocks as f64 * BLOCK_TOKENS;
        let sent = RequestProfile {
            prompt_tokens: (query.prompt_tokens - cached_tokens).max(0.0),
            output_tokens: query.output_tokens,
            priority: query.priority,
        };
        let estimate = entry.estimate(&sent, query.now).map(|estimate| {
            let network_time =
                if entry.hall == self.hall { Duration::ZERO } else { OTHER_HALL_LATENCY * 2 };
            Estimate { first: estimate.first + network_time, whole: estimate.whole + network_time }
        });
        let whole = estimate.map_or(Duration::ZERO, |estimate| estimate.whole);
        let is_avoided = entry.is_leaving() || !entry.accepts_requests(query.now);
        let score = (is_avoided, whole, entry.expected_requests());
        Candidate { pick: Pick { entry: entry.clone(), sent, estimate }, score }
    }

    /// Refuses a request that the chosen engine cannot answer in time.
    fn admit(&self, query: &RouteQuery<'_>, pick: Pick) -> Result<Pick, Refusal> {
        match pick.estimate {
            Some(estimate)
                if self.options.admission
                    && estimate.whole > scaled(query.time_left, MAX_OVERRUN_FACTOR) =>
            {
                let overrun = estimate.whole.saturating_sub(query.time_left);
                Err(Refusal::TooLate { retry_after: overrun.max(MIN_RETRY_DELAY) })
            }
            _ => Ok(pick),
        }
    }
}

impl ChooseEngine for Router {
    fn choose(&self, query: &RouteQuery<'_>) -> Result<Pick, Refusal> {
        let cached = match self.options.prefix {
            true => self.prefixes.longest_match(query.blocks),
            false => None,
        };
        let mut best: Option<Candidate> = None;
        let mut available_at: Option<Moment> = None;
        self.fleet.for_each_ready(query.item, |entry| {
            if query.tried.contains(&entry.id) || entry.has_left(query.now) {
                return;
            }
            if let Some(until) = entry.backoff_until(query.now) {
                available_at = Some(available_at.map_or(until, |first| first.min(until)));
                return;
            }
            let candidate = self.evaluate(entry, query, &cached);
            if best.as_ref().is_none_or(|best| candidate.score < best.score) {
                best = Some(candidate);
            }
        });
        let retry_after = available_at
            .map_or(NO_ENGINE_RETRY_DELAY, |available_at| available_at.since(query.now));
        let best = best.ok_or(Refusal::NoEngine { retry_after })?;
        self.admit(query, best.pick)
    }

    fn record_send(&self, query: &RouteQuery<'_>, pick: &Pick) {
        if self.options.prefix {
            self.prefixes.record_send(query.blocks, &pick.entry.id, query.now);
        }
    }

    fn record_eviction(&self, block: u64, engine: &BackendId) {
        self.prefixes.record_eviction(block, engine);
    }
}

#[cfg(test)]
mod tests;
