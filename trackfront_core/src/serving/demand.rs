//! How much each model and adapter is asked for, at this node and at its peers.
//!
//! A model's demand can move to another model within seconds, and a load takes seconds, so the
//! figure of a model looks ahead: a quick mean, and what it has gained over a slower one. Adapters
//! are asked for too seldom for that; theirs is a slow mean.

use std::collections::HashMap;
use std::time::Duration;

use crate::serving::request::ModelRef;
use crate::units::Moment;

/// The time after which a request counts half in the quick mean.
const QUICK: Duration = Duration::from_millis(900);

/// The time after which a request counts half in the slow mean.
const SLOW: Duration = Duration::from_millis(2_500);

/// The time after which a request counts half in an adapter's mean.
const ADAPTER: Duration = Duration::from_secs(8);

/// How far the gain of the quick mean over the slow one is carried on.
const AHEAD: f64 = 0.8;

/// How long what a peer told counts.
const PEER_FIGURES_FOR: Duration = Duration::from_secs(2);

/// The least rate that is kept, in requests a second.
const LEAST_RATE: f64 = 0.005;

/// How much something is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    /// Requests a second.
    pub requests: f64,
    /// The time that engines need for them, in milliseconds a second.
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

/// A mean that forgets.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    rate: Rate,
    at: Moment,
}

impl Mean {
    fn at(&self, half_life: Duration, now: Moment) -> Rate {
        let halves = now.since(self.at).as_secs_f64() / half_life.as_secs_f64();
        self.rate.scaled(0.5f64.powf(halves))
    }

    fn count(&mut self, half_life: Duration, work_ms: f64, now: Moment) {
        let gain = std::f64::consts::LN_2 / half_life.as_secs_f64();
        let one = Rate { requests: gain, work_ms: work_ms * gain };
        self.rate = self.at(half_life, now).plus(one);
        self.at = now;
    }
}

/// The means of one item.
#[derive(Clone, Copy, Debug, Default)]
struct Means {
    quick: Mean,
    slow: Mean,
}

impl Means {
    fn half_lives(item: &ModelRef) -> (Duration, Duration) {
        match item.adapter {
            None => (QUICK, SLOW),
            Some(_) => (ADAPTER, ADAPTER),
        }
    }

    fn count(&mut self, item: &ModelRef, work_ms: f64, now: Moment) {
        let (quick, slow) = Self::half_lives(item);
        self.quick.count(quick, work_ms, now);
        self.slow.count(slow, work_ms, now);
    }

    fn ahead(&self, item: &ModelRef, now: Moment) -> Rate {
        let (quick, slow) = Self::half_lives(item);
        let (quick, slow) = (self.quick.at(quick, now), self.slow.at(slow, now));
        quick.scaled(1.0 + AHEAD).plus(slow.scaled(-AHEAD)).at_least_zero()
    }
}

/// What peers told: their rates and when.
type PeerRates = HashMap<u32, (Vec<(ModelRef, Rate)>, Moment)>;

/// Measures demand.
#[derive(Debug, Default)]
pub struct DemandMeter {
    own: HashMap<ModelRef, Means>,
    peers: PeerRates,
}

impl DemandMeter {
    /// Counts a request that needs `work_ms` of an engine. A request for an adapter counts for its
    /// model as well, by a call of its own.
    pub fn count(&mut self, item: &ModelRef, work_ms: f64, now: Moment) {
        self.own.entry(item.clone()).or_default().count(item, work_ms, now);
    }

    /// Returns this node's own demand, to be told to peers.
    pub fn own(&mut self, now: Moment) -> Vec<(ModelRef, Rate)> {
        self.own.retain(|item, means| {
            means.slow.at(Means::half_lives(item).1, now).requests >= LEAST_RATE
        });
        self.own.iter().map(|(item, means)| (item.clone(), means.ahead(item, now))).collect()
    }

    /// Notes what a peer told.
    pub fn apply_report(&mut self, peer: u32, rates: Vec<(ModelRef, Rate)>, now: Moment) {
        self.peers.insert(peer, (rates, now));
    }

    /// Returns the demand at all nodes.
    pub fn total(&mut self, now: Moment) -> HashMap<ModelRef, Rate> {
        let mut total: HashMap<ModelRef, Rate> = self.own(now).into_iter().collect();
        self.peers.retain(|_, (_, at)| now.since(*at) < PEER_FIGURES_FOR);
        for (item, rate) in self.peers.values().flat_map(|(rates, _)| rates) {
            let sum = total.entry(item.clone()).or_default();
            *sum = sum.plus(*rate);
        }
        total
    }
}
