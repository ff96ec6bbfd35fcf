//! Requests in flight at one server by rank, and the wait that they mean for another request.

/// The number of ranks of requests; rank 0 is the most urgent.
pub const RANKS: usize = 10;

/// The least urgent rank.
pub const LEAST_URGENT: u8 = RANKS as u8 - 1;

/// The fraction of less urgent prefill that a more urgent request still waits for: an engine finishes
/// the prompt chunk that it is processing.
const LESS_URGENT_PREFILL_FRACTION: f64 = 0.2;

/// The requests of one rank that a box has in flight at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankInFlight {
    /// The number of requests.
    pub requests: u32,
    /// The time that the server needs for the outstanding prefill, in milliseconds.
    pub prefill_ms: f64,
    /// The whole decode time of the answers, in milliseconds: each holds a slot for its part of it.
    pub decode_ms: f64,
}

impl RankInFlight {
    pub(super) fn subtract(&mut self, other: &RankInFlight) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prefill_ms = (self.prefill_ms - other.prefill_ms).max(0.0);
        self.decode_ms = (self.decode_ms - other.decode_ms).max(0.0);
    }

    pub(super) fn add(&mut self, other: &RankInFlight) {
        self.requests += other.requests;
        self.prefill_ms += other.prefill_ms;
        self.decode_ms += other.decode_ms;
    }
}

/// The requests that a box has in flight at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InFlight {
    /// The requests of each rank.
    pub by_rank: [RankInFlight; RANKS],
}

impl InFlight {
    /// Returns the number of requests in flight.
    pub fn requests(&self) -> u32 {
        self.by_rank.iter().map(|rank| rank.requests).sum()
    }

    /// Returns the prefill time that a request of `rank` waits for, in milliseconds.
    pub fn prefill_ahead_ms(&self, rank: u8) -> f64 {
        let (ahead, behind) = self.by_rank.split_at(first_less_urgent(rank));
        let prefill_ms =
            |ranks: &[RankInFlight]| ranks.iter().map(|rank| rank.prefill_ms).sum::<f64>();
        prefill_ms(ahead) + prefill_ms(behind) * LESS_URGENT_PREFILL_FRACTION
    }

    /// Returns how long a request of `rank` waits for one of `slots` slots, in milliseconds. Less
    /// urgent requests yield their slots to it.
    ///
    /// With all slots taken, one becomes free every mean decode time divided by the number of slots.
    pub fn slot_wait_ms(&self, rank: u8, slots: u32) -> f64 {
        let slots = slots.max(1);
        let ahead = &self.by_rank[..first_less_urgent(rank)];
        let requests: u32 = ahead.iter().map(|rank| rank.requests).sum();
        if requests < slots {
            return 0.0;
        }
        let decode_ms: f64 = ahead.iter().map(|rank| rank.decode_ms).sum();
        let mean_ms = decode_ms / f64::from(requests);
        f64::from(requests - slots + 1) * mean_ms / f64::from(slots)
    }

    pub(super) fn subtract(&mut self, other: &InFlight) {
        for (sum, less) in self.by_rank.iter_mut().zip(&other.by_rank) {
            sum.subtract(less);
        }
    }

    pub(super) fn add(&mut self, other: &InFlight) {
        for (sum, more) in self.by_rank.iter_mut().zip(&other.by_rank) {
            sum.add(more);
        }
    }

    /// Adds requests of which only the number is known. They get the rank that most known requests
    /// have, or the most urgent rank if none is known.
    pub(super) fn add_unknown(&mut self, requests: u32) {
        let most = self.by_rank.iter_mut().rev().max_by_key(|rank| rank.requests);
        let most = most.expect("there are ranks");
        let mean_ms = most.decode_ms / f64::from(most.requests.max(1));
        most.requests += requests;
        most.decode_ms += mean_ms * f64::from(requests);
    }
}

/// Returns the index of the first rank that is less urgent than `rank`.
fn first_less_urgent(rank: u8) -> usize {
    (usize::from(rank) + 1).min(RANKS)
}
