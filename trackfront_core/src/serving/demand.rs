//! The demand for each model and adapter, at this box and its peers.
//!
//! Demand can shift between models within seconds, and a load takes seconds, so the rate of a model
//! is extrapolated: a fast moving average plus its gain over a slower one. Requests for adapters
//! are too infrequent for that, so the rate of an adapter is a slow average.

use std::collections::HashMap;
use std::time::Duration;

use crate::serving::request::ModelRef;
use crate::units::Moment;

/// The half-life of a request in the fast average.
const FAST_HALF_LIFE: Duration = Duration::from_millis(900);

/// The half-life of a request in the slow average.
const SLOW_HALF_LIFE: Duration = Duration::from_millis(2_500);

/// The half-life of a request in an adapter's average.
const ADAPTER_HALF_LIFE: Duration = Duration::from_secs(8);

/// The factor by which the gain of the fast average over the slow one is extrapolated.
const EXTRAPOLATION: f64 = 0.8;

/// How long a peer's report is valid.
const PEER_REPORT_VALIDITY: Duration = Duration::from_secs(2);

/// The rate below which an item is forgotten, in requests per second.
const MIN_RATE_PER_S: f64 = 0.005;

/// The demand for a model or an adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    /// The requests per second.
    pub requests: f64,
    /// The engine time that they need, in milliseconds per second.
    pub work_ms: f64,
}

impl Rate {
    fn scaled(self, factor: f64) -> Rate {
        Rate { requests: self.requests * factor, work_ms: self.work_ms * factor }
    }

    fn plus(self, other: Rate) -> Rate {
        Rate { requests: self.requests + other.requests, work_ms: self.work_ms + other.work_ms }
    }

    fn at_least_zero(self) -> Rate {
        Rate { requests: self.requests.max(0.0), work_ms: self.work_ms.max(0.0) }
    }
}

/// An exponentially decaying average.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingAverage {
    rate: Rate,
    at: Moment,
}

impl DecayingAverage {
    fn at(&self, half_life: Duration, now: Moment) -> Rate {
        let half_lives_passed = now.since(self.at).as_secs_f64() / half_life.as_secs_f64();
        self.rate.scaled(0.5f64.powf(half_lives_passed))
    }

    fn count(&mut self, half_life: Duration, work_ms: f64, now: Moment) {
        let gain = std::f64::consts::LN_2 / half_life.as_secs_f64();
        let one = Rate { requests: gain, work_ms: work_ms * gain };
        self.rate = self.at(half_life, now).plus(one);
        self.at = now;
    }
}

/// The averages of one item.
#[derive(Clone, Copy, Debug, Default)]
struct ItemAverages {
    fast: DecayingAverage,
    slow: DecayingAverage,
}

impl ItemAverages {
    fn half_lives(item: &ModelRef) -> (Duration, Duration) {
        match item.adapter {
            None => (FAST_HALF_LIFE, SLOW_HALF_LIFE),
            Some(_) => (ADAPTER_HALF_LIFE, ADAPTER_HALF_LIFE),
        }
    }

    fn count(&mut self, item: &ModelRef, work_ms: f64, now: Moment) {
        let (fast, slow) = Self::half_lives(item);
        self.fast.count(fast, work_ms, now);
        self.slow.count(slow, work_ms, now);
    }

    fn extrapolated(&self, item: &ModelRef, now: Moment) -> Rate {
        let (fast, slow) = Self::half_lives(item);
        let (fast, slow) = (self.fast.at(fast, now), self.slow.at(slow, now));
        fast.scaled(1.0 + EXTRAPOLATION).plus(slow.scaled(-EXTRAPOLATION)).at_least_zero()
    }
}

/// The rates that each peer reported, and when.
type PeerRates = HashMap<u32, (Vec<(ModelRef, Rate)>, Moment)>;

/// Measures the demand at this box and collects that of its peers.
#[derive(Debug, Default)]
pub struct DemandMeter {
    own: HashMap<ModelRef, ItemAverages>,
    peers: PeerRates,
}

impl DemandMeter {
    /// Counts a request that needs `work_ms` of an engine. A request for an adapter counts for its
    /// model as well, by a call of its own.
    pub fn count(&mut self, item: &ModelRef, work_ms: f64, now: Moment) {
        self.own.entry(item.clone()).or_default().count(item, work_ms, now);
    }

    /// Returns the demand at this box, to be reported to peers.
    pub fn own(&mut self, now: Moment) -> Vec<(ModelRef, Rate)> {
        self.own.retain(|item, averages| {
            averages.slow.at(ItemAverages::half_lives(item).1, now).requests >= MIN_RATE_PER_S
        });
        self.own
            .iter()
            .map(|(item, averages)| (item.clone(), averages.extrapolated(item, now)))
            .collect()
    }

    /// Applies a peer's report, which replaces its previous one.
    pub fn apply_report(&mut self, peer: u32, rates: Vec<(ModelRef, Rate)>, now: Moment) {
        self.peers.insert(peer, (rates, now));
    }

    /// Returns the demand at all boxes.
    pub fn total(&mut self, now: Moment) -> HashMap<ModelRef, Rate> {
        let mut total: HashMap<ModelRef, Rate> = self.own(now).into_iter().collect();
        self.peers.retain(|_, (_, at)| now.since(*at) < PEER_REPORT_VALIDITY);
        for (item, rate) in self.peers.values().flat_map(|(rates, _)| rates) {
            let sum = total.entry(item.clone()).or_default();
            *sum = sum.plus(*rate);
        }
        total
    }
}
