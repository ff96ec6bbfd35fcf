//! A bound on the bytes that a box holds for all requests together: bodies of clients and answers of servers.
//!
//! A body has to be held whole until its request has ended, so one that finds no room is refused. An answer that cannot be
//! held is passed on as its client reads. So that clients which do not read leave room for all others, an answer may take
//! no more than a share of what is still free: many slow ones get less each, and a new one always finds some.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What any request may hold, whatever the others do, in bytes: the calls and events that are common fit into it.
pub const ALWAYS_HELD: usize = 16 * 1024;

/// The fraction of the budget that bodies of clients may take, as a numerator and a denominator. The rest is for answers.
const BODY_FRACTION: (usize, usize) = (3, 4);

/// One answer may hold this fraction of what is free, as a divisor.
const ANSWER_DIVISOR: usize = 64;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldFor {
    /// A client's body, which is needed whole.
    Body,
    /// A server's answer.
    Answer,
}

/// The bytes that a box may hold for all requests together.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: AtomicUsize,
    held: AtomicUsize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit: AtomicUsize::new(limit), held: AtomicUsize::new(0) })
    }

    /// Replaces the limit. What is held already stays held.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns a reservation of no bytes.
    pub fn reserve(self: &Arc<Self>, held_for: HeldFor) -> Reservation {
        Reservation { budget: self.clone(), held_for, bytes: 0 }
    }

    /// Returns whether a reservation may grow from `own` to `wanted` bytes while `held` bytes are held in all.
    fn allows(&self, held_for: HeldFor, own: usize, wanted: usize, held: usize) -> bool {
        let limit = self.limit.load(Ordering::Relaxed);
        let others = held.saturating_sub(own);
        let may_hold = match held_for {
            HeldFor::Body => {
                let (numerator, denominator) = BODY_FRACTION;
                (limit / denominator * numerator).saturating_sub(others)
            }
            HeldFor::Answer => limit.saturating_sub(held) / ANSWER_DIVISOR,
        };
        wanted <= may_hold.max(ALWAYS_HELD)
    }
}

/// Bytes that are held for one request, until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    held_for: HeldFor,
    bytes: usize,
}

impl Reservation {
    /// Reserves `bytes` more. Returns whether there is room for them; if not, nothing changes.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let wanted = self.bytes.saturating_add(bytes);
        let grown = self.budget.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
            let is_allowed = self.budget.allows(self.held_for, self.bytes, wanted, held);
            is_allowed.then(|| held.saturating_add(bytes))
        });
        if grown.is_ok() {
            self.bytes = wanted;
        }
        grown.is_ok()
    }

    /// Returns bytes that are no longer held.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.budget.held.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Returns the reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}
