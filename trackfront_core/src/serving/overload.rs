//! How many new connections of clients a box takes while it has more work than processor time.
//!
//! A box that reads every request when too many clients come is late for all of them. A connection that it closes before
//! it has read anything is opened again at another box, and nothing has run. The lag of a timer shows how long ready work
//! waits for the processor.

use std::time::Duration;

use crate::units::Moment;

/// The interval at which the lag is measured while many connections come.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// The interval at which a box with few connections looks whether many come.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// The lag above which a box has too much work, and the one below which it has room for more.
const HIGH_LAG: Duration = Duration::from_millis(20);
const LOW_LAG: Duration = Duration::from_millis(8);

/// The number of consecutive probes with a high lag that show too much work; one alone shows a pause of the process.
const HIGH_PROBES: u32 = 4;

/// The factors by which the rate falls with each further probe of too much work and rises with each probe of room.
const FALL: f64 = 0.85;
const RISE: f64 = 1.03;

/// The connections a second that are always taken: so few are not why a box has too much work.
const MIN_PER_S: f64 = 50.0;

/// The rate above which there is no bound.
const MAX_PER_S: f64 = 20_000.0;

/// The time over which the rate of taken connections is averaged.
const AVERAGE_TIME: Duration = Duration::from_millis(400);

/// The most connections that are taken at once after a pause: what comes in this time at the present rate, and a few.
const BURST_TIME: Duration = Duration::from_millis(40);
const MIN_BURST: f64 = 8.0;

/// Bounds the rate of new connections.
#[derive(Debug, Default)]
pub struct ConnectionGate {
    high_probes: u32,
    /// The connections a second that are taken; `None` without a bound.
    bound: Option<f64>,
    taken_per_s: f64,
    credit: f64,
    updated_at: Moment,
}

/// A change of the bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GateChange {
    /// The box has too much work, and takes this many connections a second from now on.
    Bounded(f64),
    /// It takes all connections again.
    Open,
}

impl ConnectionGate {
    /// Records how late a timer was. Returns whether the gate begins or ceases to bound the rate.
    pub fn record_lag(&mut self, lag: Duration, now: Moment) -> Option<GateChange> {
        self.advance(now);
        self.high_probes = if lag >= HIGH_LAG { self.high_probes + 1 } else { 0 };
        if self.high_probes >= HIGH_PROBES {
            let was_open = self.bound.is_none();
            let present = self.bound.unwrap_or(MAX_PER_S).min(self.taken_per_s);
            let bound = (present * FALL).max(MIN_PER_S);
            self.bound = Some(bound);
            if was_open {
                self.credit = burst(bound);
            }
            return was_open.then_some(GateChange::Bounded(bound));
        }
        let bound = self.bound?;
        if lag > LOW_LAG {
            return None;
        }
        let bound = bound * RISE;
        self.bound = (bound < MAX_PER_S).then_some(bound);
        self.bound.is_none().then_some(GateChange::Open)
    }

    /// Returns whether a new connection is taken.
    pub fn admit(&mut self, now: Moment) -> bool {
        self.advance(now);
        if self.bound.is_some() {
            if self.credit < 1.0 {
                return false;
            }
            self.credit -= 1.0;
        }
        self.taken_per_s += 1.0 / AVERAGE_TIME.as_secs_f64();
        true
    }

    /// Returns when the lag should be measured next.
    pub fn probe_interval(&mut self, now: Moment) -> Duration {
        self.advance(now);
        match self.bound.is_some() || self.taken_per_s >= MIN_PER_S {
            true => PROBE_INTERVAL,
            false => IDLE_INTERVAL,
        }
    }

    fn advance(&mut self, now: Moment) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.taken_per_s *= (-elapsed / AVERAGE_TIME.as_secs_f64()).exp();
        if let Some(bound) = self.bound {
            self.credit = (self.credit + bound * elapsed).min(burst(bound));
        }
    }
}

fn burst(per_s: f64) -> f64 {
    (per_s * BURST_TIME.as_secs_f64()).max(MIN_BURST)
}
