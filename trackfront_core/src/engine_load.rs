//! The load of one engine, as one box knows it, and how long a request would take there.
//!
//! Reports lag, so what was reported is corrected by what this box has sent and seen end since.
//! Rates are measured on this box's own requests: the time to read a prompt, the time between
//! tokens as a line over the requests in the batch, and how long a request stays.

use std::time::Duration;

use crate::estimate::{Line, Mean};
use crate::fleet::EngineDigest;
use crate::units::Moment;

/// After how many failures in a row an engine gets no more requests for a while.
const FAILURES_TO_OPEN: u32 = 3;

/// How long the first pause lasts. It doubles with each failure of a probe.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// How long a pause lasts at most.
const MAX_PAUSE: Duration = Duration::from_secs(16);

/// How long an engine that comes back is spared, from fully to not at all.
const SLOW_START: Duration = Duration::from_secs(8);

/// How many times its load a returning engine seems to have at first.
const SLOW_START_FACTOR: f64 = 4.0;

/// How many times this box's own requests at an engine all of them can be taken to be.
const MAX_ALL_TO_OWN: f64 = 16.0;

/// How long a leaving engine still gets what no other engine answers for.
const LEAVING_GRACE: Duration = Duration::from_millis(2_500);

/// How many priorities there are.
const PRIORITIES: usize = 10;

/// A request that is sent, or may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    /// The tokens of the prompt that have to be read.
    pub prompt_tokens: f64,
    /// The tokens that the answer is expected to have.
    pub output_tokens: f64,
    /// The priority.
    pub priority: u8,
}

/// How a request ended at an engine, and what was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ended {
    /// Whether the engine failed: it could not be reached, or broke off.
    pub failed: bool,
    /// For how long it wants no further requests from this box, if it refused and said so.
    pub back_off: Option<Duration>,
    /// How long the first token took; `None` if none came.
    pub first: Option<Duration>,
    /// The mean time between tokens; `None` if there were fewer than two.
    pub gap: Option<Duration>,
    /// How long the whole answer took; `None` if it is not whole.
    pub whole: Option<Duration>,
}

/// How long a request would take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Until the first token.
    pub first: Duration,
    /// Until the answer is whole.
    pub whole: Duration,
}

/// The load of one engine.
#[derive(Debug, Default)]
pub struct EngineLoad {
    incarnation: u64,
    sequence: u64,
    /// When the figures were taken, on this box's clock.
    taken_at: Option<Moment>,
    running: u32,
    queued: u32,
    /// This box's own requests there, by priority.
    in_flight: [u32; PRIORITIES],
    /// This box's own requests there when the figures came.
    own_then: u32,
    /// The most that ran while others waited: how many the engine batches.
    batch_limit: Option<u32>,
    prompt: Line,
    gap: Line,
    stay: Mean,
    failures: u32,
    pause: Duration,
    paused_until: Option<Moment>,
    probing: bool,
    returned_at: Option<Moment>,
    leaving_since: Option<Moment>,
    /// Until when it wants no requests from this box.
    backoff_until: Option<Moment>,
}

impl EngineLoad {
    /// Takes in a digest's figures unless newer ones are known. Returns whether it did.
    pub fn take_in(&mut self, digest: &EngineDigest, now: Moment) -> bool {
        let taken_at = Moment(now.0.saturating_sub(Duration::from_millis(digest.age_ms)));
        let same_run = self.incarnation == digest.incarnation;
        if same_run && self.sequence > digest.sequence {
            return false;
        }
        // Incarnations have no order, so between two of them the younger figures count.
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
        self.own_then = self.own_in_flight();
        if digest.queued > 0 {
            self.batch_limit = self.batch_limit.max(Some(digest.running.max(1)));
        }
        true
    }

    /// Notes at `now` whether the engine is leaving.
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

    /// Returns whether the engine is leaving and gets no new work any more, whatever else there
    /// is. Before that it gets what no other engine answers for, while that is loaded elsewhere.
    pub fn has_left(&self, now: Moment) -> bool {
        self.leaving_since.is_some_and(|since| now.since(since) >= LEAVING_GRACE)
    }

    /// Returns until when the engine wants no requests from this box, if that is not over at `now`.
    pub fn backoff_until(&self, now: Moment) -> Option<Moment> {
        self.backoff_until.filter(|until| now < *until)
    }

    /// Returns how old the figures are at `now`; `None` if there are none.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.taken_at.map(|taken| now.since(taken))
    }

    /// Returns whether the breaker lets a request pass at `now`.
    pub fn takes_new_work(&self, now: Moment) -> bool {
        match self.paused_until {
            None => true,
            Some(until) => now >= until && !self.probing,
        }
    }

    /// Returns how many requests are expected there: what was reported, and by how much this
    /// box's own have grown since. The other boxes get their part of the same callers, so what
    /// they cannot tell yet is taken to have grown in proportion.
    pub fn expected_requests(&self) -> u32 {
        let reported = f64::from(self.running + self.queued);
        let own = f64::from(self.own_in_flight());
        let then = f64::from(self.own_then);
        let all_to_own = (reported / then.max(1.0)).clamp(1.0, MAX_ALL_TO_OWN);
        let expected = reported + all_to_own * (own - then);
        expected.max(own) as u32
    }

    fn own_in_flight(&self) -> u32 {
        self.in_flight.iter().sum()
    }

    /// Returns how many requests can be in progress at once with `gap` between tokens, as far as
    /// that was measured: at most what the engine batches.
    pub fn capacity(&self, gap: Duration) -> Option<f64> {
        let by_gap = self.gap.x_of(micros(gap));
        match (self.batch_limit.map(f64::from), by_gap) {
            (Some(limit), Some(by_gap)) => Some(limit.min(by_gap.max(1.0))),
            (limit, by_gap) => limit.or(by_gap.map(|by_gap| by_gap.max(1.0))),
        }
    }

    /// Returns how long `sent` would take; `None` before anything was measured.
    pub fn estimate(&self, sent: &Sent, now: Moment) -> Option<Estimate> {
        let others = f64::from(self.expected_requests()) * self.slow_start(now);
        let limit = self.batch_limit.map(f64::from);
        let ahead = limit.map_or(f64::from(self.queued), |limit| (others + 1.0 - limit).max(0.0));
        let in_batch = limit.map_or(others, |limit| others.min(limit - 1.0));
        let gap = self.gap.at(in_batch)?;
        let wait = match (self.stay.get(), limit) {
            (Some(stay), Some(limit)) => ahead * self.share_ahead(sent.priority) * stay / limit,
            _ => 0.0,
        };
        let read = self.prompt.at(sent.prompt_tokens).unwrap_or(0.0);
        let first = wait + read + gap;
        let whole = first + gap * (sent.output_tokens - 1.0).max(0.0);
        Some(Estimate {
            first: Duration::from_secs_f64(first / 1e6),
            whole: Duration::from_secs_f64(whole / 1e6),
        })
    }

    /// Returns the share of waiting requests that go before one of this priority, as this box's
    /// own requests there show it.
    fn share_ahead(&self, priority: u8) -> f64 {
        let own = self.own_in_flight();
        if own == 0 {
            return 1.0;
        }
        let not_below: u32 = self.in_flight.iter().skip(usize::from(priority)).sum();
        f64::from(not_below) / f64::from(own)
    }

    /// Returns by how much a returning engine's load is overstated at `now`.
    fn slow_start(&self, now: Moment) -> f64 {
        let Some(returned) = self.returned_at else {
            return 1.0;
        };
        let passed = now.since(returned).as_secs_f64() / SLOW_START.as_secs_f64();
        1.0 + (SLOW_START_FACTOR - 1.0) * (1.0 - passed).max(0.0)
    }

    /// Counts a request that is sent there.
    pub fn begin(&mut self, sent: &Sent, now: Moment) {
        self.in_flight[priority_index(sent)] += 1;
        if self.paused_until.is_some_and(|until| now >= until) {
            self.probing = true;
        }
    }

    /// Counts a request that ended there, with what was measured.
    pub fn end(&mut self, sent: &Sent, ended: &Ended, now: Moment) {
        let in_batch = f64::from(self.expected_requests().saturating_sub(1));
        let own = &mut self.in_flight[priority_index(sent)];
        assert!(*own > 0, "a request ends once");
        *own -= 1;
        self.measure(sent, ended, in_batch);
        if let Some(wait) = ended.back_off {
            self.backoff_until = self.backoff_until.max(Some(now + wait));
        }
        if ended.failed {
            self.failed(now);
        } else if ended.first.is_some() {
            self.succeeded(now);
        } else {
            self.probing = false;
        }
    }

    fn measure(&mut self, sent: &Sent, ended: &Ended, in_batch: f64) {
        if let Some(gap) = ended.gap {
            self.gap.add(in_batch, micros(gap));
        }
        // Only a request that did not wait shows how fast a prompt is read.
        if let (Some(first), Some(gap), 0) = (ended.first, ended.gap, self.queued) {
            self.prompt.add(sent.prompt_tokens, (micros(first) - micros(gap)).max(0.0));
        }
        if let (Some(whole), 0) = (ended.whole, self.queued) {
            self.stay.add(micros(whole));
        } else if let (Some(whole), Some(first)) = (ended.whole, ended.first) {
            // The wait is left out: what counts is how long a place in the batch is taken.
            let read = self.prompt.at(sent.prompt_tokens).unwrap_or(0.0);
            self.stay.add(micros(whole) - micros(first) + read);
        }
    }

    fn failed(&mut self, now: Moment) {
        self.failures += 1;
        if self.probing {
            self.pause = (self.pause * 2).min(MAX_PAUSE);
        } else if self.failures == FAILURES_TO_OPEN {
            self.pause = FIRST_PAUSE;
        } else {
            return;
        }
        self.probing = false;
        self.paused_until = Some(now + self.pause);
    }

    fn succeeded(&mut self, now: Moment) {
        self.failures = 0;
        self.probing = false;
        if self.paused_until.take().is_some() {
            self.returned_at = Some(now);
        }
    }
}

fn priority_index(sent: &Sent) -> usize {
    usize::from(sent.priority).min(PRIORITIES - 1)
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

#[cfg(test)]
mod tests;
