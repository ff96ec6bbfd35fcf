//! How much each model and adapter is asked for, over all boxes.
//!
//! Each box measures the requests that come to it and tells the others; the owner of a shard
//! adds them up. The figure follows a rise quickly where it is more than noise, and a fall
//! slowly, so that a lull does not cost moves.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::estimate::Mean;
use crate::ids::NodeId;
use crate::units::Moment;

/// The half-life of the quick mean.
const QUICK: Duration = Duration::from_secs(4);

/// The half-life of the slow mean.
const SLOW: Duration = Duration::from_secs(60);

/// How many standard deviations of the quick mean a rise has to be to count.
const SIGNIFICANT: f64 = 3.0;

/// How long another box's figures count after they were heard.
const HEARD_FOR: Duration = Duration::from_secs(5);

/// How many items a box tells its peers of: the busiest ones.
const MAX_TOLD: usize = 48;

/// The least rate that is told, in requests a second.
const MIN_TOLD: f64 = 0.02;

/// The seconds that a request is taken to stay before any was measured.
const FIRST_STAY: f64 = 1.0;

/// How much an item is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests a second.
    pub rate: f64,
    /// How many requests would be in progress at once.
    pub concurrency: f64,
}

/// How much of an item's demand a box sees, as told to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemDemand {
    /// The name that callers use.
    pub name: String,
    /// Requests a second.
    pub rate: f32,
    /// How many requests would be in progress at once.
    pub concurrency: f32,
}

/// A rate that forgets with a half-life.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    value: f64,
    at: Moment,
}

impl Rate {
    fn decay(&mut self, half_life: Duration, now: Moment) {
        let halves = now.since(self.at).as_secs_f64() / half_life.as_secs_f64();
        self.value *= 0.5f64.powf(halves);
        self.at = now;
    }

    fn count(&mut self, half_life: Duration, now: Moment) {
        self.decay(half_life, now);
        self.value += std::f64::consts::LN_2 / half_life.as_secs_f64();
    }
}

#[derive(Debug, Default)]
struct ItemState {
    quick: Rate,
    slow: Rate,
    stay: Mean,
}

impl ItemState {
    fn demand(&mut self, now: Moment) -> Demand {
        self.quick.decay(QUICK, now);
        self.slow.decay(SLOW, now);
        // The mean of a Poisson stream over about two half-lives has this deviation.
        let deviation = (self.slow.value.max(0.1) / (2.0 * QUICK.as_secs_f64())).sqrt();
        let rise = self.quick.value - self.slow.value;
        let rate = match rise > SIGNIFICANT * deviation {
            true => self.quick.value,
            false => self.slow.value,
        };
        Demand { rate, concurrency: rate * self.stay.get().unwrap_or(FIRST_STAY) }
    }
}

/// What a peer has told, and when it was heard.
#[derive(Debug)]
struct Heard {
    items: Vec<ItemDemand>,
    at: Moment,
}

/// The demand that a box sees and hears of.
#[derive(Debug, Default)]
pub struct DemandMeter {
    own: Mutex<HashMap<String, ItemState>>,
    heard: Mutex<HashMap<NodeId, Heard>>,
}

impl DemandMeter {
    /// Counts a request for `name`, also one that is refused for lack of engines.
    pub fn arrived(&self, name: &str, now: Moment) {
        let mut own = self.own.lock();
        if !own.contains_key(name) {
            own.insert(name.to_string(), ItemState::default());
        }
        if let Some(state) = own.get_mut(name) {
            state.quick.count(QUICK, now);
            state.slow.count(SLOW, now);
        }
    }

    /// Notes how long a request for `name` took a place in an engine's batch.
    pub fn stayed(&self, name: &str, stay: Duration) {
        if let Some(state) = self.own.lock().get_mut(name) {
            state.stay.add(stay.as_secs_f64());
        }
    }

    /// Returns the busiest items for the peers. Items that are hardly asked for are forgotten.
    pub fn told(&self, now: Moment) -> Vec<ItemDemand> {
        let mut own = self.own.lock();
        let mut told: Vec<ItemDemand> = Vec::new();
        own.retain(|name, state| {
            let demand = state.demand(now);
            if demand.rate >= MIN_TOLD {
                told.push(ItemDemand {
                    name: name.clone(),
                    rate: demand.rate as f32,
                    concurrency: demand.concurrency as f32,
                });
            }
            demand.rate >= MIN_TOLD / 10.0
        });
        told.sort_by(|a, b| b.concurrency.total_cmp(&a.concurrency).then(a.name.cmp(&b.name)));
        told.truncate(MAX_TOLD);
        told
    }

    /// Takes in what a peer sees.
    pub fn heard(&self, from: &NodeId, items: &[ItemDemand], now: Moment) {
        self.heard.lock().insert(from.clone(), Heard { items: items.to_vec(), at: now });
    }

    /// Returns the demand for each item over all boxes.
    pub fn total(&self, now: Moment) -> HashMap<String, Demand> {
        let mut total: HashMap<String, Demand> = HashMap::new();
        for (name, state) in self.own.lock().iter_mut() {
            total.insert(name.clone(), state.demand(now));
        }
        let mut heard = self.heard.lock();
        heard.retain(|_, heard| now.since(heard.at) < HEARD_FOR);
        for item in heard.values().flat_map(|heard| &heard.items) {
            let demand = total.entry(item.name.clone()).or_default();
            demand.rate += f64::from(item.rate);
            demand.concurrency += f64::from(item.concurrency);
        }
        total
    }
}

#[cfg(test)]
mod tests;
