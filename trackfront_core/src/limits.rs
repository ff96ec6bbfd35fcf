//! Limits of callers, shared over the entry boxes without a central counter.
//!
//! Each box holds a token bucket for each caller whose rate is its share of the caller's limit.
//! The share follows the demand that the boxes tell each other: a box that sees all of a
//! caller's requests gets nearly the whole limit, and each box always has a floor, so that a
//! caller that moves to another box is answered there before the news has spread.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::ids::{AccountName, NodeId};
use crate::units::Moment;

/// How many seconds of its rate a caller may use at once.
const BURST_SECS: f64 = 2.0;

/// The share of the limit that is split evenly, whatever the demand.
const FLOOR_SHARE: f64 = 0.2;

/// How long another box's demand counts after it was heard.
const HEARD_FOR: Duration = Duration::from_secs(5);

/// How fast the measured demand forgets: its weight halves in this time.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(2);

/// What a caller may use, over all boxes together. `None` is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallerLimit {
    /// Requests a second.
    pub requests_per_s: Option<f64>,
    /// Tokens a second, of prompts and answers together.
    pub tokens_per_s: Option<f64>,
}

/// How much of a caller's demand a box sees, as told to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerDemand {
    /// The caller.
    pub caller: AccountName,
    /// Requests a second, refused ones included.
    pub requests_per_s: f32,
}

/// One bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    filled: Moment,
}

impl Bucket {
    fn full(rate: f64, now: Moment) -> Self {
        Self { level: rate * BURST_SECS, filled: now }
    }

    /// Takes `amount` if the bucket is not in debt; otherwise returns when it will not be.
    fn take(&mut self, amount: f64, rate: f64, now: Moment) -> Result<(), Duration> {
        self.fill(rate, now);
        if self.level <= 0.0 {
            return Err(Duration::from_secs_f64((1.0 - self.level) / rate.max(1e-3)));
        }
        self.level -= amount;
        Ok(())
    }

    fn fill(&mut self, rate: f64, now: Moment) {
        let earned = now.since(self.filled).as_secs_f64() * rate;
        self.level = (self.level + earned).min(rate * BURST_SECS);
        self.filled = now;
    }
}

#[derive(Debug, Default)]
struct CallerState {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    demand: f64,
    demand_at: Moment,
    heard: HashMap<NodeId, (f64, Moment)>,
}

impl CallerState {
    /// Counts one request in the measured demand.
    fn count(&mut self, now: Moment) {
        self.decay(now);
        // At a steady rate r this converges to r: each request weighs ln 2 / half-life.
        self.demand += std::f64::consts::LN_2 / DEMAND_HALF_LIFE.as_secs_f64();
    }

    fn decay(&mut self, now: Moment) {
        let halves = now.since(self.demand_at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        self.demand *= 0.5f64.powf(halves);
        self.demand_at = now;
    }

    /// Returns this box's share of the caller's limit, from 0 to 1.
    fn share(&mut self, boxes: usize, now: Moment) -> f64 {
        self.heard.retain(|_, (_, at)| now.since(*at) < HEARD_FOR);
        let others: f64 = self.heard.values().map(|(demand, _)| demand).sum();
        let even = 1.0 / boxes.max(1) as f64;
        let all = self.demand + others;
        let by_demand = if all > 0.0 { self.demand / all } else { even };
        FLOOR_SHARE * even + (1.0 - FLOOR_SHARE) * by_demand
    }
}

/// The limits of all callers on one box.
#[derive(Debug, Default)]
pub struct CallerLimits {
    callers: Mutex<HashMap<AccountName, CallerState>>,
}

impl CallerLimits {
    /// Takes one request of `tokens` expected tokens, or returns when to come back. `boxes` is
    /// how many boxes serve.
    pub fn take(
        &self,
        caller: &AccountName,
        limit: CallerLimit,
        tokens: f64,
        boxes: usize,
        now: Moment,
    ) -> Result<(), Duration> {
        if limit == CallerLimit::default() {
            return Ok(());
        }
        let mut callers = self.callers.lock();
        let state = callers.entry(caller.clone()).or_default();
        state.count(now);
        let share = state.share(boxes, now);
        if let Some(rate) = limit.requests_per_s.map(|rate| rate * share) {
            state.requests.get_or_insert(Bucket::full(rate, now)).take(1.0, rate, now)?;
        }
        if let Some(rate) = limit.tokens_per_s.map(|rate| rate * share) {
            state.tokens.get_or_insert(Bucket::full(rate, now)).take(tokens, rate, now)?;
        }
        Ok(())
    }

    /// Gives back the tokens that were taken and not used.
    pub fn give_back(&self, caller: &AccountName, tokens: f64) {
        if let Some(bucket) =
            self.callers.lock().get_mut(caller).and_then(|state| state.tokens.as_mut())
        {
            bucket.level += tokens;
        }
    }

    /// Returns the demand that this box sees, for its peers.
    pub fn demand(&self, now: Moment) -> Vec<CallerDemand> {
        let mut callers = self.callers.lock();
        callers
            .iter_mut()
            .filter_map(|(caller, state)| {
                state.decay(now);
                let told =
                    CallerDemand { caller: caller.clone(), requests_per_s: state.demand as f32 };
                (state.demand > 0.1).then_some(told)
            })
            .collect()
    }

    /// Takes in the demand that a peer sees.
    pub fn heard(&self, from: &NodeId, demand: &[CallerDemand], now: Moment) {
        let mut callers = self.callers.lock();
        for told in demand {
            let state = callers.entry(told.caller.clone()).or_default();
            state.heard.insert(from.clone(), (f64::from(told.requests_per_s), now));
        }
    }
}

#[cfg(test)]
mod tests;
