//! Which engine gets a request, and whether any can answer it in time.

use std::sync::Arc;
use std::time::Duration;

use crate::engine_load::{Estimate, Sent};
use crate::fleet::{EngineEntry, Fleet};
use crate::ids::{BackendId, HallName, ItemKey};
use crate::prefix::{BLOCK_BYTES, PrefixMemory};
use crate::units::Moment;

/// What the way to another hall costs, for each direction.
const OTHER_HALL: Duration = Duration::from_millis(1);

/// The tokens in a block of a prompt.
const BLOCK_TOKENS: f64 = (BLOCK_BYTES / 4) as f64;

/// By how much an estimate may be over the time left: estimates err, and a request that is refused
/// wrongly is lost for sure.
const SLACK: f64 = 2.0;

/// When to come back if no engine has the item: after the next load reports.
const NO_ENGINE_RETRY: Duration = Duration::from_secs(1);

/// The shortest time to come back after a refusal.
const MIN_RETRY: Duration = Duration::from_millis(200);

/// A request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The item that has to be resident.
    pub item: &'a ItemKey,
    /// The tokens of the prompt, as far as it is known.
    pub prompt_tokens: f64,
    /// The tokens that the answer is expected to have.
    pub output_tokens: f64,
    /// The chained hashes of the prompt's blocks.
    pub blocks: &'a [u64],
    /// The priority.
    pub priority: u8,
    /// How long the caller will still wait.
    pub time_left: Duration,
    /// Engines that failed already.
    pub tried: &'a [BackendId],
    /// The present moment.
    pub now: Moment,
}

/// The engine that gets a request.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The engine.
    pub entry: Arc<EngineEntry>,
    /// The request as it counts there.
    pub sent: Sent,
    /// How long it should take; `None` before anything was measured.
    pub estimate: Option<Estimate>,
}

/// Why no engine gets a request. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No engine answers for the item.
    NoEngine {
        /// When to come back.
        retry_after: Duration,
    },
    /// No engine can answer in time.
    TooLate {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Chooses engines for a box.
pub trait ChooseEngine: Send + Sync {
    /// Chooses the engine for a request.
    fn choose(&self, query: &RouteQuery<'_>) -> Result<Pick, Refusal>;

    /// Notes that a request was sent to the engine that was chosen.
    fn sent(&self, query: &RouteQuery<'_>, pick: &Pick);

    /// Notes an engine's event that a block of a prompt left its cache.
    fn evicted(&self, block: u64, engine: &BackendId);
}

/// Chooses the engine that should have the whole answer first, and refuses what none can
/// answer in time.
pub struct Router {
    fleet: Arc<Fleet>,
    hall: HallName,
    prefixes: PrefixMemory,
    options: RouterOptions,
}

/// The parts of routing that can be left out, to measure what each is worth.
#[derive(Clone, Copy, Debug)]
pub struct RouterOptions {
    /// Whether requests that cannot be answered in time are refused.
    pub admission: bool,
    /// Whether the likely cached start of a prompt counts.
    pub prefix: bool,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self { admission: true, prefix: true }
    }
}

/// The best engine so far.
struct Best {
    pick: Pick,
    /// Whether it is leaving or its breaker holds requests off, then the time until the answer is whole, then
    /// the requests there.
    score: (bool, Duration, u32),
}

impl Router {
    /// Makes a router for a box in `hall`.
    pub fn new(fleet: Arc<Fleet>, hall: HallName, options: RouterOptions) -> Self {
        Self { fleet, hall, prefixes: PrefixMemory::default(), options }
    }

    /// Judges one candidate.
    fn judge(
        &self,
        entry: &Arc<EngineEntry>,
        query: &RouteQuery<'_>,
        cached: &Option<(BackendId, usize)>,
    ) -> Best {
        let cached_blocks =
            cached.as_ref().filter(|(id, _)| *id == entry.id).map_or(0, |(_, blocks)| *blocks);
        let cached_tokens = cached_blocks as f64 * BLOCK_TOKENS;
        let sent = Sent {
            prompt_tokens: (query.prompt_tokens - cached_tokens).max(0.0),
            output_tokens: query.output_tokens,
            priority: query.priority,
        };
        let estimate = entry.estimate(&sent, query.now).map(|estimate| {
            let way = if entry.hall == self.hall { Duration::ZERO } else { OTHER_HALL * 2 };
            Estimate { first: estimate.first + way, whole: estimate.whole + way }
        });
        let whole = estimate.map_or(Duration::ZERO, |estimate| estimate.whole);
        let held_off = entry.is_leaving() || !entry.takes_new_work(query.now);
        let score = (held_off, whole, entry.expected_requests());
        Best { pick: Pick { entry: entry.clone(), sent, estimate }, score }
    }

    /// Refuses a pick that cannot be answered in time.
    fn admit(&self, query: &RouteQuery<'_>, pick: Pick) -> Result<Pick, Refusal> {
        match pick.estimate {
            Some(estimate)
                if self.options.admission && estimate.whole > query.time_left.mul_f64(SLACK) =>
            {
                let late = estimate.whole.saturating_sub(query.time_left);
                Err(Refusal::TooLate { retry_after: late.max(MIN_RETRY) })
            }
            _ => Ok(pick),
        }
    }
}

impl ChooseEngine for Router {
    fn choose(&self, query: &RouteQuery<'_>) -> Result<Pick, Refusal> {
        let cached = match self.options.prefix {
            true => self.prefixes.longest(query.blocks),
            false => None,
        };
        let mut best: Option<Best> = None;
        let mut back_at: Option<Moment> = None;
        self.fleet.for_each_ready(query.item, |entry| {
            if query.tried.contains(&entry.id) || entry.has_left(query.now) {
                return;
            }
            if let Some(until) = entry.backoff_until(query.now) {
                back_at = Some(back_at.map_or(until, |first| first.min(until)));
                return;
            }
            let judged = self.judge(entry, query, &cached);
            if best.as_ref().is_none_or(|best| judged.score < best.score) {
                best = Some(judged);
            }
        });
        let retry_after = back_at.map_or(NO_ENGINE_RETRY, |back_at| back_at.since(query.now));
        let best = best.ok_or(Refusal::NoEngine { retry_after })?;
        self.admit(query, best.pick)
    }

    fn sent(&self, query: &RouteQuery<'_>, pick: &Pick) {
        if self.options.prefix {
            self.prefixes.sent(query.blocks, &pick.entry.id, query.now);
        }
    }

    fn evicted(&self, block: u64, engine: &BackendId) {
        self.prefixes.evicted(block, engine);
    }
}

#[cfg(test)]
mod tests;
