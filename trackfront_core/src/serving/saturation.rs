//! The saturation of services: the fraction of recent requests that this box refused for lack of a free server.
//!
//! A client that retries while a service is saturated is refused again, so the fraction determines how much
//! longer than until the next free slot it should wait.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::ServiceName;
use crate::units::Moment;

/// The time after which a request counts half: overloads come and go within seconds.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// The number of admitted requests that are assumed at first, so that a first refusal is not a saturation.
const PRIOR_REQUESTS: f64 = 4.0;

/// Decayed request counts of one service.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    total: f64,
    refused: f64,
    at: Moment,
}

impl Counts {
    fn at(self, now: Moment) -> Counts {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let decay = 0.5f64.powf(half_lives);
        Counts { total: self.total * decay, refused: self.refused * decay, at: now }
    }
}

/// Tracks the fraction of refused requests, by service.
#[derive(Debug, Default)]
pub struct Saturation {
    services: HashMap<ServiceName, Counts>,
}

impl Saturation {
    /// Counts a request that was sent to a server, or refused.
    pub fn count(&mut self, service: &ServiceName, refused: bool, now: Moment) {
        let counts = self.services.entry(service.clone()).or_default();
        *counts = counts.at(now);
        counts.total += 1.0;
        counts.refused += f64::from(u8::from(refused));
    }

    /// Returns the fraction of recent requests that were refused, from 0 to 1.
    pub fn refused_fraction(&self, service: &ServiceName, now: Moment) -> f64 {
        let counts = self.services.get(service).copied().unwrap_or_default().at(now);
        counts.refused / (counts.total + PRIOR_REQUESTS)
    }
}
