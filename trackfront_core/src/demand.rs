//! The demand for each model and adapter, over all boxes.
//!
//! Each box measures its own requests and reports them to the others, and the owner of a shard
//! adds the reports up. The demand follows a significant rise within seconds and a fall slowly, so
//! that a short pause does not cause moves.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::estimate::Mean;
use crate::ids::NodeId;
use crate::units::Moment;

/// The half-life of the short-term rate.
const SHORT_HALF_LIFE: Duration = Duration::from_secs(4);

/// The half-life of the long-term rate.
const LONG_HALF_LIFE: Duration = Duration::from_secs(60);

/// The minimum rise of the short-term rate above the long-term one, in standard deviations, that
/// is not noise.
const MIN_RISE_DEVIATIONS: f64 = 3.0;

/// How long another box's report is valid.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// The maximum number of items in a report, by descending concurrency.
const MAX_REPORTED_ITEMS: usize = 48;

/// The minimum rate of a reported item, in requests per second.
const MIN_REPORTED_RATE: f64 = 0.02;

/// The assumed service time before any was measured, in seconds.
const DEFAULT_SERVICE_TIME_S: f64 = 1.0;

/// The demand for an item.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests per second.
    pub rate: f64,
    /// The number of requests that would be in progress at once.
    pub concurrency: f64,
}

/// The demand for an item at one box, as reported to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemDemand {
    /// The name in requests.
    pub name: String,
    /// Requests per second.
    pub rate: f32,
    /// The number of requests that would be in progress at once.
    pub concurrency: f32,
}

/// An exponentially decaying rate per second.
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
    short_term: Rate,
    long_term: Rate,
    service_time: Mean,
}

impl ItemState {
    fn demand(&mut self, now: Moment) -> Demand {
        self.short_term.decay(SHORT_HALF_LIFE, now);
        self.long_term.decay(LONG_HALF_LIFE, now);
        // The mean of a Poisson stream over about two half-lives has this deviation.
        let deviation =
            (self.long_term.value.max(0.1) / (2.0 * SHORT_HALF_LIFE.as_secs_f64())).sqrt();
        let rise = self.short_term.value - self.long_term.value;
        let rate = match rise > MIN_RISE_DEVIATIONS * deviation {
            true => self.short_term.value,
            false => self.long_term.value,
        };
        Demand {
            rate,
            concurrency: rate * self.service_time.get().unwrap_or(DEFAULT_SERVICE_TIME_S),
        }
    }
}

/// The report of another box.
#[derive(Debug)]
struct Report {
    items: Vec<ItemDemand>,
    received_at: Moment,
}

/// The demand at this box and at the others.
#[derive(Debug, Default)]
pub struct DemandMeter {
    own: Mutex<HashMap<String, ItemState>>,
    reports: Mutex<HashMap<NodeId, Report>>,
}

impl DemandMeter {
    /// Counts a request for `name`, whether or not an engine is available.
    pub fn count_request(&self, name: &str, now: Moment) {
        let mut own = self.own.lock();
        if !own.contains_key(name) {
            own.insert(name.to_string(), ItemState::default());
        }
        if let Some(state) = own.get_mut(name) {
            state.short_term.count(SHORT_HALF_LIFE, now);
            state.long_term.count(LONG_HALF_LIFE, now);
        }
    }

    /// Records how long a request for `name` occupied a place in an engine's batch.
    pub fn record_service_time(&self, name: &str, service_time: Duration) {
        if let Some(state) = self.own.lock().get_mut(name) {
            state.service_time.add(service_time.as_secs_f64());
        }
    }

    /// Returns the report for other boxes. Items with hardly any demand are removed.
    pub fn report(&self, now: Moment) -> Vec<ItemDemand> {
        let mut own = self.own.lock();
        let mut report: Vec<ItemDemand> = Vec::new();
        own.retain(|name, state| {
            let demand = state.demand(now);
            if demand.rate >= MIN_REPORTED_RATE {
                report.push(ItemDemand {
                    name: name.clone(),
                    rate: demand.rate as f32,
                    concurrency: demand.concurrency as f32,
                });
            }
            demand.rate >= MIN_REPORTED_RATE / 10.0
        });
        report.sort_by(|a, b| b.concurrency.total_cmp(&a.concurrency).then(a.name.cmp(&b.name)));
        report.truncate(MAX_REPORTED_ITEMS);
        report
    }

    /// Applies the report of another box.
    pub fn apply_report(&self, from: &NodeId, items: &[ItemDemand], now: Moment) {
        let report = Report { items: items.to_vec(), received_at: now };
        self.reports.lock().insert(from.clone(), report);
    }

    /// Returns the demand for each item over all boxes.
    pub fn total(&self, now: Moment) -> HashMap<String, Demand> {
        let mut total: HashMap<String, Demand> = HashMap::new();
        for (name, state) in self.own.lock().iter_mut() {
            total.insert(name.clone(), state.demand(now));
        }
        let mut reports = self.reports.lock();
        reports.retain(|_, report| now.since(report.received_at) < REPORT_LIFETIME);
        for item in reports.values().flat_map(|report| &report.items) {
            let demand = total.entry(item.name.clone()).or_default();
            demand.rate += f64::from(item.rate);
            demand.concurrency += f64::from(item.concurrency);
        }
        total
    }
}

#[cfg(test)]
mod tests;
