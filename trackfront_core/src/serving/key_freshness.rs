//! Up to when the configuration in force is known to have been the newest.
//!
//! A key that was taken away has to stop working on every box within a bound, also on one that nobody
//! reaches. So a box answers with keys only while it can show that its configuration was the newest at a
//! moment less than that bound ago. What shows it is an answer of the store, which counts from the moment
//! at which the question was sent, or the answer of another box, which counts from that moment less the age
//! that the other box tells. However long an answer was under way, or a process stood still, the moment
//! is never taken for a later one than it was.
//!
//! Two ways were weighed for what a box does while nobody tells it anything: go on with the last accounts that
//! it knows, or refuse what needs a key. The first serves through an outage of the store of any length, and
//! lets a key that was taken away run on; where the bound is strict only the second keeps it.

use std::time::Duration;

use crate::units::Moment;

/// The part of the bound that is kept back for the way from the last check to the wire, where a process can
/// be held up by its share of a processor: 0.4 s of 5 s.
const MARGIN_PART: f64 = 0.08;

/// How often a box asks for the newest, as a part of the bound. With a reader that is as old as its own interval
/// an answer is at most two intervals old, 1.6 s of 5 s, which leaves 3 s to serve on when the store goes away.
const ASK_PART: f64 = 0.16;

/// The age from which a box asks others than the reader of its hall as well: an answer of the reader is missing.
const WIDER_PART: f64 = 0.4;

/// The age from which a box asks the store itself: others have nothing newer either.
const STORE_PART: f64 = 0.5;

/// How long after the removal of a key it may still be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevocationTerms {
    /// The bound.
    pub bound: Duration,
}

impl RevocationTerms {
    /// Returns the greatest age with which keys are still answered.
    pub fn max_age(self) -> Duration {
        self.bound.mul_f64(1.0 - MARGIN_PART)
    }

    /// Returns how often the newest is asked for.
    pub fn query_interval(self) -> Duration {
        self.bound.mul_f64(ASK_PART)
    }

    /// Returns the age from which more boxes are asked than the reader of the hall.
    pub fn wider_query_age(self) -> Duration {
        self.bound.mul_f64(WIDER_PART)
    }

    /// Returns the age from which the store is asked by a box that reads for itself alone.
    pub fn store_query_age(self) -> Duration {
        self.bound.mul_f64(STORE_PART)
    }
}

/// A moment that may lie before the start of this box's clock: what others tell a box that has just started is mostly
/// of such, and taken for nothing it left the box without good keys for as long as it was younger than their word.
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

/// That a row was the newest at a moment, or at a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Newest {
    row: u64,
    as_of: AsOf,
}

/// What is known of the age of the configuration in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyFreshness {
    in_force: u64,
    as_of: Option<AsOf>,
    /// Word of a row that is not in force here yet.
    pending: Option<Newest>,
}

impl KeyFreshness {
    /// Notes that the configuration of a row is in force.
    pub fn set_in_force(&mut self, row: u64) {
        self.in_force = self.in_force.max(row);
        if let Some(pending) = self.pending.take_if(|pending| pending.row <= self.in_force) {
            self.confirm(pending.as_of);
        }
    }

    /// Notes that `row` was the newest at `as_of` or later. Where a newer one is in force here it was
    /// written after that moment, so this one was the newest later still.
    pub fn confirm_newest(&mut self, row: u64, as_of: Moment) {
        self.apply_peer_answer(row, Duration::ZERO, as_of);
    }

    fn note(&mut self, row: u64, as_of: AsOf) {
        if row <= self.in_force {
            self.confirm(as_of);
            return;
        }
        let news = Newest { row, as_of };
        match self.pending {
            Some(pending) if (pending.row, pending.as_of) >= (row, as_of) => {}
            _ => self.pending = Some(news),
        }
    }

    /// Takes in the answer of another box to a question that was asked at `asked_at`: that `row` was the newest
    /// `age` before its answer. When the answer came does not count: it may have lain here while the process
    /// stood still.
    pub fn apply_peer_answer(&mut self, row: u64, age: Duration, asked_at: Moment) {
        self.note(row, AsOf::before(asked_at, age));
    }

    /// Returns the row in force.
    pub fn row_in_force(&self) -> u64 {
        self.in_force
    }

    /// Returns how long ago the configuration in force was the newest for certain; `None` if never.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.as_of.map(|as_of| as_of.age(now))
    }

    /// Returns whether keys may be answered at `now`. To be asked last thing before each send.
    pub fn is_usable(&self, terms: RevocationTerms, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age < terms.max_age())
    }

    fn confirm(&mut self, as_of: AsOf) {
        self.as_of = Some(self.as_of.map_or(as_of, |before| before.max(as_of)));
    }
}
