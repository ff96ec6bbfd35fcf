//! The latest moment at which the configuration in force is known to have been the newest.
//!
//! A revoked key must stop working on every box within a bound, even on a box that is cut off. So a
//! box accepts keys only while it can show that its configuration was the newest at a moment less
//! than that bound ago. The proof is an answer of the store, which counts from the moment when the
//! query was sent, or an answer of another box, which counts from that moment minus the age that
//! the other box reports. The moment is therefore never taken to be later than it was, however long
//! an answer took or the process was paused.
//!
//! A box that gets no answers could either continue with the last accounts it knows or refuse
//! requests that need a key. The former serves through a store outage of any length but lets a
//! revoked key continue to work; only the latter keeps a strict bound.

use std::time::Duration;

use crate::store_version::StoreVersion;
use crate::units::{Moment, scaled};

/// The fraction of the bound reserved for the path from the last check to the wire, where a process
/// with a limited CPU share can be delayed: 0.4 s of 5 s.
const MARGIN_FRACTION: f64 = 0.08;

/// The interval between queries for the newest version, as a fraction of the bound. The feed
/// reader's own knowledge is at most one interval old, so an answer is at most two intervals old:
/// 1.6 s of 5 s, which leaves 3 s of service after the store fails.
const QUERY_INTERVAL_FRACTION: f64 = 0.16;

/// The age, as a fraction of the bound, from which a box also queries boxes other than its hall's
/// feed reader: an answer of the reader is missing.
const WIDER_QUERY_FRACTION: f64 = 0.4;

/// The age, as a fraction of the bound, from which a box queries the store itself: the other boxes
/// have nothing newer either.
const STORE_QUERY_FRACTION: f64 = 0.5;

/// The bound within which a revoked key stops working, and the times derived from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevocationTerms {
    /// The maximum time for which a key may still be used after its revocation.
    pub bound: Duration,
}

impl RevocationTerms {
    /// Returns the age of the configuration up to which keys are accepted.
    pub fn max_age(self) -> Duration {
        scaled(self.bound, 1.0 - MARGIN_FRACTION)
    }

    /// Returns the interval between queries for the newest version.
    pub fn query_interval(self) -> Duration {
        scaled(self.bound, QUERY_INTERVAL_FRACTION)
    }

    /// Returns the age from which boxes other than the hall's feed reader are queried as well.
    pub fn wider_query_age(self) -> Duration {
        scaled(self.bound, WIDER_QUERY_FRACTION)
    }

    /// Returns the age from which a box that isn't the feed reader queries the store.
    pub fn store_query_age(self) -> Duration {
        scaled(self.bound, STORE_QUERY_FRACTION)
    }
}

/// A moment that may lie before the zero of this box's clock. Most answers that a newly started box
/// receives refer to such moments; when these were discarded, the box accepted no keys until it had
/// run for longer than the age in the answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AsOf {
    nanos: i128,
}

impl AsOf {
    fn before(moment: Moment, age: Duration) -> Self {
        Self { nanos: moment.0.as_nanos() as i128 - age.as_nanos() as i128 }
    }

    fn age(self, now: Moment) -> Duration {
        let nanos = (now.0.as_nanos() as i128 - self.nanos).max(0);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}

/// A row that was the newest at some moment or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConfirmedRow {
    row: StoreVersion,
    as_of: AsOf,
}

/// The age of the configuration in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyFreshness {
    in_force: StoreVersion,
    as_of: Option<AsOf>,
    /// A newer row that isn't in force here yet.
    pending: Option<ConfirmedRow>,
}

impl KeyFreshness {
    /// Records that the configuration of `row` is in force.
    pub fn set_in_force(&mut self, row: StoreVersion) {
        self.in_force = self.in_force.max(row);
        if let Some(pending) = self.pending.take_if(|pending| pending.row <= self.in_force) {
            self.confirm(pending.as_of);
        }
    }

    /// Records that `row` was the newest at `as_of` or later. If a newer row is in force here, it
    /// was written after that moment, so it has been the newest since an even later one.
    pub fn confirm_newest(&mut self, row: StoreVersion, as_of: Moment) {
        self.apply_peer_answer(row, Duration::ZERO, as_of);
    }

    fn record(&mut self, row: StoreVersion, as_of: AsOf) {
        if row <= self.in_force {
            self.confirm(as_of);
            return;
        }
        let confirmed = ConfirmedRow { row, as_of };
        match self.pending {
            Some(pending) if (pending.row, pending.as_of) >= (row, as_of) => {}
            _ => self.pending = Some(confirmed),
        }
    }

    /// Applies the answer of another box to a query sent at `asked_at`: `row` was the newest `age`
    /// before the answer. The arrival time of the answer is ignored, as the answer may have waited
    /// here while the process was paused.
    pub fn apply_peer_answer(&mut self, row: StoreVersion, age: Duration, asked_at: Moment) {
        self.record(row, AsOf::before(asked_at, age));
    }

    /// Returns the version of the row in force.
    pub fn row_in_force(&self) -> StoreVersion {
        self.in_force
    }

    /// Returns how long ago the configuration in force was certainly the newest; `None` if it never
    /// was.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.as_of.map(|as_of| as_of.age(now))
    }

    /// Returns whether keys may be accepted at `now`. Callers check this immediately before each
    /// send.
    pub fn is_usable(&self, terms: RevocationTerms, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age < terms.max_age())
    }

    fn confirm(&mut self, as_of: AsOf) {
        self.as_of = Some(self.as_of.map_or(as_of, |before| before.max(as_of)));
    }
}
