//! What a box has under way at one server, by rank, and what a further request waits for there.

/// How many ranks requests have; 0 goes first.
pub const RANKS: usize = 10;

/// The part of less urgent reading that a more urgent request still waits for: an engine does not
/// drop the piece of a prompt that it is at.
const LESS_URGENT_PART: f64 = 0.2;

/// What a node has under way at one server for requests of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankInFlight {
    /// Requests.
    pub requests: u32,
    /// The time that the server needs to read those of their prompts that are unread, in
    /// milliseconds.
    pub prefill_ms: f64,
    /// The time that their answers take to be made from beginning to end, in milliseconds: each of
    /// them has a slot for that long.
    pub decode_ms: f64,
}

impl RankInFlight {
    pub(super) fn take_off(&mut self, other: &RankInFlight) {
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

/// What a node has under way at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InFlight {
    /// By rank.
    pub by_rank: [RankInFlight; RANKS],
}

impl InFlight {
    /// Returns how many requests are under way.
    pub fn requests(&self) -> u32 {
        self.by_rank.iter().map(|rank| rank.requests).sum()
    }

    /// Returns the reading that a request of `rank` waits for, in milliseconds.
    pub fn prefill_ahead_ms(&self, rank: u8) -> f64 {
        let (before, after) = self.by_rank.split_at(first_after(rank));
        let reading =
            |ranks: &[RankInFlight]| ranks.iter().map(|rank| rank.prefill_ms).sum::<f64>();
        reading(before) + reading(after) * LESS_URGENT_PART
    }

    /// Returns how long a request of `rank` waits for one of `slots` slots, in milliseconds. Those
    /// that are less urgent make way for it.
    ///
    /// With all slots taken one is free each time that a request ends, which is as often as a
    /// request takes, divided by the number of slots.
    pub fn slot_wait_ms(&self, rank: u8, slots: u32) -> f64 {
        let slots = slots.max(1);
        let before = &self.by_rank[..first_after(rank)];
        let requests: u32 = before.iter().map(|rank| rank.requests).sum();
        if requests < slots {
            return 0.0;
        }
        let taken_ms: f64 = before.iter().map(|rank| rank.decode_ms).sum();
        let mean_ms = taken_ms / f64::from(requests);
        f64::from(requests - slots + 1) * mean_ms / f64::from(slots)
    }

    pub(super) fn take_off(&mut self, other: &InFlight) {
        for (sum, less) in self.by_rank.iter_mut().zip(&other.by_rank) {
            sum.take_off(less);
        }
    }

    pub(super) fn add(&mut self, other: &InFlight) {
        for (sum, more) in self.by_rank.iter_mut().zip(&other.by_rank) {
            sum.add(more);
        }
    }

    /// Adds requests of which only the number is known: they are taken for such as most of the known
    /// ones are, or for the most urgent if none is known.
    pub(super) fn add_unknown(&mut self, requests: u32) {
        let most = self.by_rank.iter_mut().rev().max_by_key(|rank| rank.requests);
        let most = most.expect("there are ranks");
        let mean_ms = most.decode_ms / f64::from(most.requests.max(1));
        most.requests += requests;
        most.decode_ms += mean_ms * f64::from(requests);
    }
}

/// Returns the first rank that is less urgent than `rank`.
fn first_after(rank: u8) -> usize {
    (usize::from(rank) + 1).min(RANKS)
}
