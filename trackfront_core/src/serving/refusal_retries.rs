//! Which requests come back after a refusal, and how long ago their clients first tried.
//!
//! The pattern: more comes than a service bears, for seconds. Who is refused comes back, and who is let in then
//! is late already: its place would have answered a first try in time. In a simulation of 234 calls a second before
//! servers that bear 200, each refused client coming back once, 42 in 100 clients are answered in time if first
//! tries and returns are let in alike, 63 if what is late already is let in only while little waits (trunk
//! reservation); 12 and 13 in 100 go without (`tests/serving/returns`).
//!
//! A request does not say that its client tried before. But clients give the time that they still wait, and on
//! most routes that begins at about the same value; one that has clearly less has spent the rest.

use std::collections::HashMap;
use std::time::Duration;

use crate::units::Moment;

/// The part of the longest time that clients of a route wait, from which on a request counts as a first try:
/// clients do not all begin with quite the same.
const FIRST_PART: f64 = 0.8;

/// The part of the requests of a route that has to be that near to the longest, or waits differ so much there
/// that they tell nothing.
const FIRST_SHARE: f64 = 0.5;

/// The weight of one request in what is known of a route.
const WEIGHT: f64 = 0.02;

/// In what time the longest wait that was seen is forgotten by half, so that a route's clients may change.
const LONGEST_HALF_LIFE: Duration = Duration::from_secs(600);

/// How many requests of a route have to be seen before any is taken for a return.
const LEAST_SEEN: u32 = 20;

/// What is known of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    longest_ms: f64,
    /// The mean wait of first tries.
    first_ms: f64,
    /// The share of requests that are near the longest.
    first_share: f64,
    requests: u32,
    at: Moment,
}

/// The waits of requests, by route.
#[derive(Debug, Default)]
pub struct RefusalRetries {
    routes: HashMap<String, Seen>,
}

impl RefusalRetries {
    /// Takes in a request of a route whose client waits for `left` from now. Returns how long ago the client
    /// first tried; zero if this is likely its first try, or if it cannot be told.
    pub fn record(&mut self, route: &str, left: Duration, now: Moment) -> Duration {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), Seen::default());
        }
        let seen = self.routes.get_mut(route).expect("it was just put in");
        seen.record(left.as_secs_f64() * 1_000.0, now)
    }

    /// Forgets routes that are not among `known`.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| known(route));
    }
}

impl Seen {
    fn record(&mut self, left_ms: f64, now: Moment) -> Duration {
        let halves = now.since(self.at).as_secs_f64() / LONGEST_HALF_LIFE.as_secs_f64();
        self.longest_ms = (self.longest_ms * 0.5f64.powf(halves)).max(left_ms);
        self.at = now;
        self.requests = self.requests.saturating_add(1);
        let is_first = left_ms >= self.longest_ms * FIRST_PART;
        // The first requests count more, so that the beginning is not taken for the rule.
        let weight = WEIGHT.max(1.0 / f64::from(self.requests));
        self.first_share += weight * (f64::from(u8::from(is_first)) - self.first_share);
        if is_first {
            self.first_ms += weight * (left_ms - self.first_ms);
            return Duration::ZERO;
        }
        if self.requests < LEAST_SEEN || self.first_share < FIRST_SHARE {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((self.first_ms - left_ms).max(0.0) / 1_000.0)
    }
}
