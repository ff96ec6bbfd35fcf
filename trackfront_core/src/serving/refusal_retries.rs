//! Detection of requests that clients send again after a refusal, and of the time since their first try.
//!
//! When a service is overloaded for seconds, refused clients retry, and a retry that is admitted is already late: its
//! capacity would have answered a first try in time. In a simulation of 234 calls a second at servers with a capacity
//! of 200, where each refused client retries once, 42 in 100 clients are answered in time if first tries and retries
//! are admitted alike, and 63 if retries are admitted only while the queue is short (trunk reservation); 12 and 13 in
//! 100 get no answer (`tests/serving/refusal_retries`).
//!
//! A request does not say whether it is a retry. But clients send the time that they will still wait. On most routes
//! this begins at about the same value, and a client with clearly less has spent the rest on earlier tries.

use std::collections::HashMap;
use std::time::Duration;

use crate::units::{Moment, millis_to_duration};

/// The fraction of a route's longest wait from which on a request counts as a first try: the waits of clients differ
/// a little.
const FIRST_TRY_WAIT_FRACTION: f64 = 0.8;

/// The lowest fraction of first tries among the requests of a route. Below it, waits on the route differ too much to
/// tell retries apart.
const MIN_FIRST_TRY_FRACTION: f64 = 0.5;

/// The weight of one request in the statistics of its route.
const WEIGHT: f64 = 0.02;

/// The time in which the longest observed wait of a route decays by half, so that its clients may change.
const LONGEST_HALF_LIFE: Duration = Duration::from_secs(600);

/// The number of requests of a route before any is classified as a retry.
const MIN_REQUESTS: u32 = 20;

/// The statistics of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteWaits {
    longest_ms: f64,
    /// The mean wait of first tries.
    first_try_ms: f64,
    /// The fraction of requests that count as first tries.
    first_try_fraction: f64,
    requests: u32,
    at: Moment,
}

/// Tracks the waits of requests, by route.
#[derive(Debug, Default)]
pub struct RefusalRetries {
    routes: HashMap<String, RouteWaits>,
}

impl RefusalRetries {
    /// Records a request of a route whose client will wait for `left` from now. Returns how long ago the client first
    /// tried; zero if this is probably its first try, or if that is unknown.
    pub fn record(&mut self, route: &str, left: Duration, now: Moment) -> Duration {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteWaits::default());
        }
        let waits = self.routes.get_mut(route).expect("the entry was just inserted");
        waits.record(left.as_secs_f64() * 1_000.0, now)
    }

    /// Drops routes that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| known(route));
    }
}

impl RouteWaits {
    fn record(&mut self, left_ms: f64, now: Moment) -> Duration {
        let half_lives = now.since(self.at).as_secs_f64() / LONGEST_HALF_LIFE.as_secs_f64();
        self.longest_ms = (self.longest_ms * 0.5f64.powf(half_lives)).max(left_ms);
        self.at = now;
        self.requests = self.requests.saturating_add(1);
        let is_first_try = left_ms >= self.longest_ms * FIRST_TRY_WAIT_FRACTION;
        // Early requests count more, so that the initial values fade quickly.
        let weight = WEIGHT.max(1.0 / f64::from(self.requests));
        self.first_try_fraction +=
            weight * (f64::from(u8::from(is_first_try)) - self.first_try_fraction);
        if is_first_try {
            self.first_try_ms += weight * (left_ms - self.first_try_ms);
            return Duration::ZERO;
        }
        if self.requests < MIN_REQUESTS || self.first_try_fraction < MIN_FIRST_TRY_FRACTION {
            return Duration::ZERO;
        }
        millis_to_duration((self.first_try_ms - left_ms).max(0.0))
    }
}
