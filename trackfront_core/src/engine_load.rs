//! The load of one engine as known to one box, and estimates of how long a request would take there.
//!
//! Reports lag, so they are corrected by the requests that this box has sent and seen end since.
//! Rates are measured with this box's own requests: the time to process a prompt, the time between
//! tokens as a linear function of the batch size, and the service time of a request.

use std::time::Duration;

use crate::estimate::{Line, Mean};
use crate::fleet::EngineDigest;
use crate::units::{Moment, secs_to_duration};

/// The number of consecutive failures after which the circuit breaker of an engine opens.
const FAILURES_TO_OPEN: u32 = 3;

/// How long the circuit breaker is open at first. The time doubles with each probe that fails.
const MIN_OPEN_TIME: Duration = Duration::from_secs(1);

/// The maximum time for which the circuit breaker is open.
const MAX_OPEN_TIME: Duration = Duration::from_secs(16);

/// The time over which the load of an engine grows to normal after its circuit breaker closed.
const SLOW_START_TIME: Duration = Duration::from_secs(8);

/// The factor by which the load of an engine is overestimated at the start of that time.
const SLOW_START_FACTOR: f64 = 4.0;

/// The maximum assumed ratio between all requests at an engine and this box's own.
const MAX_LOAD_RATIO: f64 = 16.0;

/// How long a leaving engine still gets requests that no other engine can serve.
const LEAVING_GRACE: Duration = Duration::from_millis(2_500);

/// The number of priorities.
const PRIORITIES: usize = 10;

/// The properties of a request that its duration depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestProfile {
    /// The tokens of the prompt that have to be processed.
    pub prompt_tokens: f64,
    /// The expected number of tokens in the answer.
    pub output_tokens: f64,
    /// The priority.
    pub priority: u8,
}

/// The result of a request at an engine, with measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestResult {
    /// Whether the engine was unreachable or closed the connection early.
    pub failed: bool,
    /// The time for which the engine asked this box to send no further requests.
    pub retry_after: Option<Duration>,
    /// The time to the first token; `None` if there was none.
    pub first: Option<Duration>,
    /// The mean time between tokens; `None` if there were fewer than two.
    pub gap: Option<Duration>,
    /// The time to the end of the answer; `None` if it is incomplete.
    pub whole: Option<Duration>,
}

/// The estimated duration of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The time to the first token.
    pub first: Duration,
    /// The time to the end of the answer.
    pub whole: Duration,
}

/// The load of one engine.
#[derive(Debug, Default)]
pub struct EngineLoad {
    incarnation: u64,
    sequence: u64,
    /// When the engine made its last report, on this box's clock.
    taken_at: Option<Moment>,
    running: u32,
    queued: u32,
    /// This box's requests in progress, by priority.
    in_flight: [u32; PRIORITIES],
    /// This box's requests in progress when the last report arrived.
    own_at_digest: u32,
    /// The maximum batch size: the largest number of running requests while others were queued.
    batch_limit: Option<u32>,
    prompt: Line,
    gap: Line,
    service_time: Mean,
    failures: u32,
    open_time: Duration,
    open_until: Option<Moment>,
    probing: bool,
    closed_at: Option<Moment>,
    leaving_since: Option<Moment>,
    /// The end of the time for which the engine asked this box to send no requests.
    backoff_until: Option<Moment>,
}

impl EngineLoad {
    /// Applies a digest unless a newer one is known. Returns whether it was applied.
    pub fn apply_digest(&mut self, digest: &EngineDigest, now: Moment) -> bool {
        let taken_at = Moment(now.0.saturating_sub(Duration::from_millis(digest.age_ms)));
        let same_run = self.incarnation == digest.incarnation;
        if same_run && self.sequence > digest.sequence {
            return false;
        }
        // Incarnations have no order, so the more recent report of two incarnations counts.
        if !same_run && self.taken_at.is_some_and(|known| known > taken_at) {
            return false;
        }
        let is_repeat = same_run && self.sequence == digest.sequence;
        self.incarnation = digest.incarnation;
        self.sequence = digest.sequence;
        self.taken_at = self.taken_at.max(Some(taken_at));
        if is_repeat {
            return true;
        }
        self.running = digest.running;
        self.queued = digest.queued;
        self.own_at_digest = self.own_in_flight();
        if digest.queued > 0 {
            self.batch_limit = self.batch_limit.max(Some(digest.running.max(1)));
        }
        true
    }

    /// Sets whether the engine is leaving as of `now`.
    pub fn set_leaving(&mut self, leaving: bool, now: Moment) {
        self.leaving_since = match (leaving, self.leaving_since) {
            (true, since) => since.or(Some(now)),
            (false, _) => None,
        };
    }

    /// Returns whether the engine is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Returns whether the engine has been leaving for so long that it gets no requests any more.
    /// Before that it gets those that no other engine can serve, while their items are loaded elsewhere.
    pub fn has_left(&self, now: Moment) -> bool {
        self.leaving_since.is_some_and(|since| now.since(since) >= LEAVING_GRACE)
    }

    /// Returns when the engine accepts requests from this box again; `None` if it does at `now`.
    pub fn backoff_until(&self, now: Moment) -> Option<Moment> {
        self.backoff_until.filter(|until| now < *until)
    }

    /// Returns the age of the last report at `now`; `None` if there is none.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.taken_at.map(|taken| now.since(taken))
    }

    /// Returns whether the circuit breaker is closed or may be probed at `now`.
    pub fn accepts_requests(&self, now: Moment) -> bool {
        match self.open_until {
            None => true,
            Some(until) => now >= until && !self.probing,
        }
    }

    /// Returns the estimated number of requests at the engine: those reported, and the change since.
    /// Clients are spread over all boxes, so the requests of the others are assumed to have changed in
    /// proportion to those of this box.
    pub fn expected_requests(&self) -> u32 {
        let reported = f64::from(self.running + self.queued);
        let own = f64::from(self.own_in_flight());
        let then = f64::from(self.own_at_digest);
        let load_ratio = (reported / then.max(1.0)).clamp(1.0, MAX_LOAD_RATIO);
        let expected = reported + load_ratio * (own - then);
        expected.max(own) as u32
    }

    fn own_in_flight(&self) -> u32 {
        self.in_flight.iter().sum()
    }

    /// Returns how many requests can run concurrently with `gap` between tokens, at most the batch
    /// size; `None` if neither was measured.
    pub fn capacity(&self, gap: Duration) -> Option<f64> {
        let by_gap = self.gap.x_of(micros(gap));
        match (self.batch_limit.map(f64::from), by_gap) {
            (Some(limit), Some(by_gap)) => Some(limit.min(by_gap.max(1.0))),
            (limit, by_gap) => limit.or(by_gap.map(|by_gap| by_gap.max(1.0))),
        }
    }

    /// Returns the estimated duration of `request`; `None` before the first measurement.
    pub fn estimate(&self, request: &RequestProfile, now: Moment) -> Option<Estimate> {
        let others = f64::from(self.expected_requests()) * self.slow_start(now);
        let limit = self.batch_limit.map(f64::from);
        let ahead = limit.map_or(f64::from(self.queued), |limit| (others + 1.0 - limit).max(0.0));
        let in_batch = limit.map_or(others, |limit| others.min(limit - 1.0));
        let gap = self.gap.at(in_batch)?;
        let wait = match (self.service_time.get(), limit) {
            (Some(service_time), Some(limit)) => {
                ahead * self.fraction_ahead(request.priority) * service_time / limit
            }
            _ => 0.0,
        };
        let processing = self.prompt.at(request.prompt_tokens).unwrap_or(0.0);
        let first = wait + processing + gap;
        let whole = first + gap * (request.output_tokens - 1.0).max(0.0);
        Some(Estimate {
            first: secs_to_duration(first / 1e6),
            whole: secs_to_duration(whole / 1e6),
        })
    }

    /// Returns the fraction of queued requests that precede one of this priority, estimated from this
    /// box's own requests.
    fn fraction_ahead(&self, priority: u8) -> f64 {
        let own = self.own_in_flight();
        if own == 0 {
            return 1.0;
        }
        let not_below: u32 = self.in_flight.iter().skip(usize::from(priority)).sum();
        f64::from(not_below) / f64::from(own)
    }

    /// Returns the factor by which the load is overestimated at `now`.
    fn slow_start(&self, now: Moment) -> f64 {
        let Some(closed_at) = self.closed_at else {
            return 1.0;
        };
        let progress = now.since(closed_at).as_secs_f64() / SLOW_START_TIME.as_secs_f64();
        1.0 + (SLOW_START_FACTOR - 1.0) * (1.0 - progress).max(0.0)
    }

    /// Records that a request is sent.
    pub fn begin(&mut self, request: &RequestProfile, now: Moment) {
        self.in_flight[priority_index(request)] += 1;
        if self.open_until.is_some_and(|until| now >= until) {
            self.probing = true;
        }
    }

    /// Records that a request has ended.
    pub fn end(&mut self, request: &RequestProfile, result: &RequestResult, now: Moment) {
        let in_batch = f64::from(self.expected_requests().saturating_sub(1));
        let own = &mut self.in_flight[priority_index(request)];
        assert!(*own > 0, "a request ends once");
        *own -= 1;
        self.measure(request, result, in_batch);
        if let Some(wait) = result.retry_after {
            self.backoff_until = self.backoff_until.max(Some(now + wait));
        }
        if result.failed {
            self.record_failure(now);
        } else if result.first.is_some() {
            self.record_success(now);
        } else {
            self.probing = false;
        }
    }

    fn measure(&mut self, request: &RequestProfile, result: &RequestResult, in_batch: f64) {
        if let Some(gap) = result.gap {
            self.gap.add(in_batch, micros(gap));
        }
        // Only a request that was not queued shows how fast a prompt is processed.
        if let (Some(first), Some(gap), 0) = (result.first, result.gap, self.queued) {
            self.prompt.add(request.prompt_tokens, (micros(first) - micros(gap)).max(0.0));
        }
        if let (Some(whole), 0) = (result.whole, self.queued) {
            self.service_time.add(micros(whole));
        } else if let (Some(whole), Some(first)) = (result.whole, result.first) {
            // The service time is the time in the batch, without the time in the queue.
            let processing = self.prompt.at(request.prompt_tokens).unwrap_or(0.0);
            self.service_time.add(micros(whole) - micros(first) + processing);
        }
    }

    fn record_failure(&mut self, now: Moment) {
        self.failures += 1;
        if self.probing {
            self.open_time = (self.open_time * 2).min(MAX_OPEN_TIME);
        } else if self.failures == FAILURES_TO_OPEN {
            self.open_time = MIN_OPEN_TIME;
        } else {
            return;
        }
        self.probing = false;
        self.open_until = Some(now + self.open_time);
    }

    fn record_success(&mut self, now: Moment) {
        self.failures = 0;
        self.probing = false;
        if self.open_until.take().is_some() {
            self.closed_at = Some(now);
        }
    }
}

fn priority_index(request: &RequestProfile) -> usize {
    usize::from(request.priority).min(PRIORITIES - 1)
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

#[cfg(test)]
mod tests;
