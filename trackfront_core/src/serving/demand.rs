//! How much each model and adapter is asked for, at this node and at its peers.

use std::collections::HashMap;
use std::time::Duration;

use crate::serving::request::ModelRef;
use crate::units::Moment;

/// The time after which a request counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// How long what a peer told counts.
const PEER_FIGURES_FOR: Duration = Duration::from_secs(3);

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
}

/// What peers told: their rates and when.
type Told = HashMap<u32, (Vec<(ModelRef, Rate)>, Moment)>;

/// Measures demand.
#[derive(Debug, Default)]
pub struct DemandMeter {
    own: HashMap<ModelRef, (Rate, Moment)>,
    peers: Told,
}

impl DemandMeter {
    /// Counts a request that needs `work_ms` of an engine.
    pub fn count(&mut self, item: &ModelRef, work_ms: f64, now: Moment) {
        let gain = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        let one = Rate { requests: gain, work_ms: work_ms * gain };
        let (rate, at) = self.own.entry(item.clone()).or_insert((Rate::default(), now));
        *rate = rate.scaled(decay(*at, now)).plus(one);
        *at = now;
    }

    /// Returns this node's own demand, to be told to peers.
    pub fn own(&mut self, now: Moment) -> Vec<(ModelRef, Rate)> {
        self.own.retain(|_, (rate, at)| rate.requests * decay(*at, now) >= LEAST_RATE);
        let scaled = |(item, (rate, at)): (&ModelRef, &(Rate, Moment))| {
            (item.clone(), rate.scaled(decay(*at, now)))
        };
        self.own.iter().map(scaled).collect()
    }

    /// Notes what a peer told.
    pub fn told(&mut self, peer: u32, rates: Vec<(ModelRef, Rate)>, now: Moment) {
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

fn decay(at: Moment, now: Moment) -> f64 {
    0.5f64.powf(now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64())
}
