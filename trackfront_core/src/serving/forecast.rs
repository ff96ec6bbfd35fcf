//! The errors of recent time estimates, and from them the probability that an answer is in time.
//!
//! Estimates are based on a box's incomplete knowledge. A histogram of the ratios of actual to estimated
//! times gives the fraction of admitted requests that will be in time; without it, the risk of an
//! estimate just under the limit would be a guess.

use std::cmp::Ordering;
use std::time::Duration;

use crate::units::Moment;

/// The resolution: a quarter of a doubling.
const BINS_PER_DOUBLING: f64 = 4.0;

/// The range: how many doublings an estimate may be off in either direction. Larger errors share the
/// outermost bins.
const MAX_DOUBLINGS: f64 = 4.0;

const BINS: usize = (2.0 * MAX_DOUBLINGS * BINS_PER_DOUBLING) as usize + 1;

/// The factor on the weight of earlier answers with each new one: the last 200 or so count.
const DECAY_PER_ANSWER: f64 = 0.995;

/// The time in which answers lose half of their weight: the errors come mostly from load that a box does not know of,
/// and that load changes.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// The weight of exact estimates that is assumed beside the answers.
const PRIOR_WEIGHT: f64 = 10.0;

/// Added to both times, in milliseconds, because smaller differences are no error of the estimate:
/// network delay and process wake-ups take as long.
const FLOOR_MS: f64 = 20.0;

/// The ratios of actual to expected times, the latest with the most weight.
#[derive(Clone, Debug)]
pub struct Forecast {
    /// The weight of the answers by ratio, as of `recorded_at`.
    bins: [f64; BINS],
    recorded_at: Option<Moment>,
}

/// The probability of an answer in time, and the evidence on which it rests.
#[derive(Clone, Copy, Debug)]
pub struct Chance {
    /// The probability, from 0 to 1.
    pub probability: f64,
    /// The weight of the answers that it was learned from, in answers.
    pub answers: f64,
    /// The time since the last of them; `None` before the first.
    pub age: Option<Duration>,
}

impl Default for Forecast {
    fn default() -> Self {
        Self { bins: [0.0; BINS], recorded_at: None }
    }
}

/// Returns the bin of an actual time, by the expected one.
fn bin(expected_ms: f64, actual_ms: f64) -> usize {
    let doublings = ((actual_ms + FLOOR_MS) / (expected_ms + FLOOR_MS)).log2();
    let clamped = doublings.clamp(-MAX_DOUBLINGS, MAX_DOUBLINGS);
    ((clamped + MAX_DOUBLINGS) * BINS_PER_DOUBLING).round() as usize
}

impl Forecast {
    /// Records that an answer expected after `expected_ms` came after `actual_ms`. It counts as `weight` answers.
    pub fn record(&mut self, expected_ms: f64, actual_ms: f64, weight: f64, now: Moment) {
        let remaining = DECAY_PER_ANSWER.powf(weight) * self.aging(now);
        for count in &mut self.bins {
            *count *= remaining;
        }
        self.bins[bin(expected_ms, actual_ms)] += weight;
        self.recorded_at = Some(now);
    }

    /// Returns the chance that an answer expected after `expected_ms` comes within `limit_ms`.
    pub fn within(&self, expected_ms: f64, limit_ms: f64, now: Moment) -> Chance {
        let last = bin(expected_ms, limit_ms);
        let aging = self.aging(now);
        let answers = self.bins.iter().sum::<f64>() * aging;
        // Half of the limit's own bin counts as within.
        let within = (self.bins[..last].iter().sum::<f64>() + self.bins[last] / 2.0) * aging;
        let exact = match last.cmp(&bin(0.0, 0.0)) {
            Ordering::Less => 0.0,
            Ordering::Equal => PRIOR_WEIGHT / 2.0,
            Ordering::Greater => PRIOR_WEIGHT,
        };
        let probability = (within + exact) / (answers + PRIOR_WEIGHT);
        let age = self.recorded_at.map(|at| now.since(at));
        Chance { probability, answers, age }
    }

    /// Returns the share of their weight that the answers have kept since the last one.
    fn aging(&self, now: Moment) -> f64 {
        let elapsed = self.recorded_at.map_or(Duration::ZERO, |at| now.since(at));
        0.5f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

/// The estimate errors of first events and of calls to plain services, each with a free slot and without:
/// these are estimated differently.
#[derive(Debug, Default)]
pub struct Forecasts {
    first_events: [Forecast; 2],
    calls: [Forecast; 2],
}

impl Forecasts {
    /// Returns the forecast for first events or plain calls, with a free slot or without.
    pub fn of(&mut self, of_model: bool, has_slot: bool) -> &mut Forecast {
        let forecasts = if of_model { &mut self.first_events } else { &mut self.calls };
        &mut forecasts[usize::from(has_slot)]
    }
}
