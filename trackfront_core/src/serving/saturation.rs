//! What share of the requests of each service this node refused lately for want of a free server.
//!
//! A client that comes back while the crowd lasts is refused again, so the share says how much
//! longer than for the next free slot it should stay away.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::ServiceName;
use crate::units::Moment;

/// The time after which a request counts half: crowds come and go within seconds.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// The requests that an empty past counts for, so that the first refusal is not taken for a crowd.
const PRIOR_REQUESTS: f64 = 4.0;

/// Decayed counts of one service.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: f64,
    refused: f64,
    at: Moment,
}

impl Counts {
    fn at(self, now: Moment) -> Counts {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let kept = 0.5f64.powf(halves);
        Counts { asked: self.asked * kept, refused: self.refused * kept, at: now }
    }
}

/// The share of refused requests, by service.
#[derive(Debug, Default)]
pub struct Saturation {
    services: HashMap<ServiceName, Counts>,
}

impl Saturation {
    /// Counts a request that was sent to a server, or refused.
    pub fn count(&mut self, service: &ServiceName, refused: bool, now: Moment) {
        let counts = self.services.entry(service.clone()).or_default();
        *counts = counts.at(now);
        counts.asked += 1.0;
        counts.refused += f64::from(u8::from(refused));
    }

    /// Returns the share of requests that were refused lately, from 0 to 1.
    pub fn refused_fraction(&self, service: &ServiceName, now: Moment) -> f64 {
        let counts = self.services.get(service).copied().unwrap_or_default().at(now);
        counts.refused / (counts.asked + PRIOR_REQUESTS)
    }
}
