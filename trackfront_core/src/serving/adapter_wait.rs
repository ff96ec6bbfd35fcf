//! How long requests wait for an adapter that no engine holds and whose load is not known to have been ordered.
//!
//! The time is learned from requests that waited. One that is longer than requests can wait is learned from none, so it
//! fades.

use std::time::Duration;

use crate::units::{Moment, secs_to_duration};

/// The assumed time until a requested adapter is loaded, before any measurement: an order, the
/// load, and the messages of both.
const INITIAL: Duration = Duration::from_millis(150);

/// The weight of one measurement in the moving average.
const WEIGHT: f64 = 0.1;

/// The multiple of the average for which an adapter is awaited.
const FACTOR: f64 = 2.0;

/// The time without measurements in which half of the difference to the initial time is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// The moving average of the times that adapters took.
#[derive(Debug)]
pub struct AdapterWait {
    mean: Duration,
    measured_at: Moment,
}

impl Default for AdapterWait {
    fn default() -> Self {
        Self { mean: INITIAL, measured_at: Moment::default() }
    }
}

impl AdapterWait {
    /// Returns how long a request waits for an adapter.
    pub fn longest(&self, now: Moment) -> Duration {
        secs_to_duration(self.mean_s(now) * FACTOR)
    }

    /// Records how long an adapter took, or how long it was awaited in vain.
    pub fn record(&mut self, took: Duration, now: Moment) {
        let mean = self.mean_s(now);
        self.mean = secs_to_duration(mean + WEIGHT * (took.as_secs_f64() - mean));
        self.measured_at = now;
    }

    fn mean_s(&self, now: Moment) -> f64 {
        let half_lives = now.since(self.measured_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let initial = INITIAL.as_secs_f64();
        initial + (self.mean.as_secs_f64() - initial) * 0.5f64.powf(half_lives)
    }
}
