//! The units that one box has of an account's limit, and the requests that wait for more.

use std::collections::VecDeque;
use std::time::Duration;

use crate::units::Moment;

use super::Grant;
use super::share::{EndedWait, GRANT_LIFETIME, WaitOutcome, Waiter};

/// The half-life of the moving average of demand.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(1_000);

/// The minimum number of requests expected within [`GRANT_LIFETIME`] for units to be requested in advance.
const PREFETCH_MIN_REQUESTS: f64 = 2.0;

/// The units and the waiting requests of one account.
#[derive(Debug, Default)]
pub(super) struct AccountQuota {
    /// Units granted in advance, each with the end of its lifetime, the oldest first.
    granted: VecDeque<(f64, Moment)>,
    /// Waiting requests with their units, in order. A request that is cancelled while a reply for it is pending keeps its
    /// entry, without a waiter, since the reply refers to requests by position.
    waiting: VecDeque<(Option<Waiter>, u32)>,
    /// How many of the waiting requests are in the pending quota request.
    requested: usize,
    /// Units of requests that did not run, to be returned with the next quota request.
    unused_units: f64,
    demand: Demand,
}

/// Moving averages of the units and of the requests per second.
#[derive(Debug, Default)]
struct Demand {
    units: f64,
    requests: f64,
    updated_at: Moment,
}

impl Demand {
    fn count(&mut self, units: f64, now: Moment) {
        self.decay(now);
        let weight = std::f64::consts::LN_2 / DEMAND_HALF_LIFE.as_secs_f64();
        self.units += units * weight;
        self.requests += weight;
    }

    fn decay(&mut self, now: Moment) {
        let half_lives = now.since(self.updated_at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        let remaining_fraction = 0.5f64.powf(half_lives);
        self.units *= remaining_fraction;
        self.requests *= remaining_fraction;
        self.updated_at = now;
    }
}

impl AccountQuota {
    /// Takes `units` for a request. Returns `true` if it may pass now; otherwise it is queued as `waiter`.
    pub fn take_or_wait(&mut self, units: u32, waiter: Waiter, now: Moment) -> bool {
        self.demand.count(f64::from(units), now);
        // Requests that already wait have precedence.
        if self.waiting.is_empty() && self.take(f64::from(units), now) {
            return true;
        }
        self.waiting.push_back((Some(waiter), units));
        false
    }

    /// Returns whether a request waits for units.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the units of a request that did not run.
    pub fn return_units(&mut self, units: u32) {
        self.unused_units += f64::from(units);
    }

    /// Cancels the wait of a request, if it is one of this account.
    pub fn cancel_wait(&mut self, waiter: Waiter) {
        let index = self.waiting.iter().position(|(other, _)| *other == Some(waiter));
        match index {
            Some(index) if index < self.requested => self.waiting[index].0 = None,
            Some(index) => drop(self.waiting.remove(index)),
            None => {}
        }
    }

    /// Returns the units of the first `max` waiting requests, and expects the next grant to be for these.
    pub fn request_waiting_units(&mut self, max: usize) -> Vec<u32> {
        let units: Vec<u32> = self.waiting.iter().take(max).map(|(_, units)| *units).collect();
        self.requested = units.len();
        units
    }

    /// Returns the units to request in advance.
    pub fn prefetch_units(&mut self, now: Moment) -> u32 {
        self.demand.decay(now);
        self.drop_expired_grants(now);
        let lifetime_s = GRANT_LIFETIME.as_secs_f64();
        if self.demand.requests * lifetime_s < PREFETCH_MIN_REQUESTS {
            return 0;
        }
        (self.demand.units * lifetime_s - self.granted_units()).max(0.0) as u32
    }

    /// Takes the units that are to be returned to the coordinator.
    pub fn take_unused_units(&mut self) -> u32 {
        std::mem::take(&mut self.unused_units) as u32
    }

    /// Ends all waits with the given outcome.
    pub fn end_all_waits(&mut self, outcome: WaitOutcome) -> impl Iterator<Item = EndedWait> + '_ {
        self.requested = 0;
        self.waiting.drain(..).filter_map(move |(waiter, _)| Some((waiter?, outcome)))
    }

    /// Applies a grant to the requests that it was requested for. Units granted in advance may be used until
    /// `expires_at`.
    pub fn apply_grant(
        &mut self,
        grant: &Grant,
        expires_at: Moment,
        now: Moment,
        ended_waits: &mut Vec<EndedWait>,
    ) {
        let requested = std::mem::take(&mut self.requested);
        let granted = (grant.requests as usize).min(requested);
        for (waiter, units) in self.waiting.drain(..granted) {
            match waiter {
                Some(waiter) => ended_waits.push((waiter, WaitOutcome::Granted)),
                None => self.unused_units += f64::from(units),
            }
        }
        let retry_after = Duration::from_millis(u64::from(grant.wait_ms.max(1)));
        for (waiter, _) in self.waiting.drain(..requested - granted) {
            ended_waits
                .extend(waiter.map(|waiter| (waiter, WaitOutcome::LimitReached { retry_after })));
        }
        if grant.prefetch_units > 0 && expires_at > now {
            self.granted.push_back((f64::from(grant.prefetch_units), expires_at));
        }
        self.pass_waiting(now, ended_waits);
    }

    /// Lets requests pass that arrived while the grant was pending, as far as the units granted in advance suffice.
    fn pass_waiting(&mut self, now: Moment, ended_waits: &mut Vec<EndedWait>) {
        while let Some((waiter, units)) = self.waiting.front().copied() {
            if !self.take(f64::from(units), now) {
                break;
            }
            self.waiting.pop_front();
            ended_waits.extend(waiter.map(|waiter| (waiter, WaitOutcome::Granted)));
        }
    }

    /// Uses granted units, the oldest first. Returns `false` and uses none if there are too few.
    fn take(&mut self, units: f64, now: Moment) -> bool {
        self.drop_expired_grants(now);
        if self.granted_units() < units {
            return false;
        }
        let mut needed = units;
        while needed > 0.0 {
            let Some((granted, _)) = self.granted.front_mut() else {
                break;
            };
            let used = granted.min(needed);
            *granted -= used;
            needed -= used;
            if *granted <= 0.0 {
                self.granted.pop_front();
            }
        }
        true
    }

    fn drop_expired_grants(&mut self, now: Moment) {
        while self.granted.front().is_some_and(|(_, expires_at)| *expires_at <= now) {
            self.granted.pop_front();
        }
    }

    fn granted_units(&self) -> f64 {
        self.granted.iter().map(|(units, _)| units).sum()
    }
}
