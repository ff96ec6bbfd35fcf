//! Leases stored as rows of a table, with a fencing token that only grows.
//!
//! Clocks of different boxes are never compared. A holder counts the lease from before it sent the
//! write that renewed it; another box takes over only after it has itself observed the row
//! unchanged for longer than the lease lasts.
//!
//! A table that is restored from a copy forgets takeovers and renewals. So a box takes no lease
//! until every lease of the era before has ended, and its fencing tokens grow with the era.

// The state machine macro generates items that cannot carry doc comments.
#![allow(missing_docs)]

use std::time::Duration;

use serde::{Deserialize, Serialize};
use statig::prelude::*;

use crate::ids::{Fence, NodeId};
use crate::store_version::StoreVersion;
use crate::units::Moment;

/// The divisor of a lease's duration for the margin that covers clocks running at different rates.
/// The holder stops this much early, and a watcher waits this much longer.
const MARGIN_DIVISOR: u32 = 5;

/// The number of low bits of a fencing token that hold the count of the row's writes, in a table
/// with eras; the era precedes them. At one write a second they last 136 years.
const FENCE_COUNT_BITS: u32 = 32;

/// The stored value of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder; `None` after it released the lease.
    pub holder: Option<NodeId>,
    /// The fencing token, which grows with each takeover.
    pub fence: Fence,
    /// The duration of the lease after each write, in milliseconds.
    pub ttl_ms: u64,
}

/// A lease's row as this box last read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedLease {
    /// The row's version in the table.
    pub version: StoreVersion,
    /// The row's value.
    pub row: LeaseRow,
    /// When this box first observed this version.
    pub since: Moment,
}

/// An input of the lease's state machine.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// The write that takes or renews the lease was applied.
    Written {
        /// The fencing token in the row.
        fence: Fence,
        /// When the write was sent.
        sent_at: Moment,
    },
    /// The row names another holder or a larger token, or an engine has seen a larger token.
    Superseded,
    /// Time passes; carries the current moment.
    Tick(Moment),
    /// This box releases the lease.
    Released,
}

/// The state machine of one lease on a box that may hold it.
#[derive(Debug)]
pub struct LeaseMachine {
    ttl: Duration,
    /// The largest fencing token under which this box has held the lease.
    largest_fence: Fence,
}

#[state_machine(
    initial = "LeaseState::watching()",
    state(name = "LeaseState", derive(Debug, Clone, PartialEq, Eq)),
    after_transition = "Self::log_transition"
)]
impl LeaseMachine {
    /// Another box holds the lease, or none does.
    #[state]
    fn watching(&mut self, event: &LeaseEvent) -> Outcome<LeaseState> {
        match event {
            LeaseEvent::Written { fence, sent_at } => {
                assert!(*fence > self.largest_fence, "a takeover needs a larger fencing token");
                self.largest_fence = *fence;
                Transition(LeaseState::holding(*fence, self.valid_until(*sent_at)))
            }
            _ => Handled,
        }
    }

    /// This box holds the lease until a moment of its own clock.
    #[state]
    fn holding(
        &mut self,
        fence: &mut Fence,
        until: &mut Moment,
        event: &LeaseEvent,
    ) -> Outcome<LeaseState> {
        match event {
            LeaseEvent::Written { fence: written, sent_at } => {
                assert_eq!(written, fence, "a renewal keeps the fencing token");
                *until = (*until).max(self.valid_until(*sent_at));
                Handled
            }
            LeaseEvent::Tick(now) if now >= until => Transition(LeaseState::watching()),
            LeaseEvent::Tick(_) => Handled,
            LeaseEvent::Superseded | LeaseEvent::Released => Transition(LeaseState::watching()),
        }
    }
}

impl LeaseMachine {
    /// Creates the state machine of a lease that lasts `ttl` after each write.
    pub fn new(ttl: Duration) -> Self {
        Self { ttl, largest_fence: Fence(0) }
    }

    /// Returns the largest fencing token under which this box has held the lease.
    pub fn largest_fence(&self) -> Fence {
        self.largest_fence
    }

    /// Returns until when the lease may be used if the write was sent at `sent_at`.
    fn valid_until(&self, sent_at: Moment) -> Moment {
        sent_at + (self.ttl - self.ttl / MARGIN_DIVISOR)
    }

    fn log_transition(&mut self, from: &LeaseState, to: &LeaseState, _: &mut ()) {
        log::debug!("lease: {from:?} -> {to:?}");
    }
}

impl LeaseState {
    /// Returns the fencing token if the lease may be used at `now`. Callers check this immediately
    /// before each send, since the process may have been paused.
    pub fn usable(&self, now: Moment) -> Option<Fence> {
        match self {
            LeaseState::Holding { fence, until } if now < *until => Some(*fence),
            _ => None,
        }
    }
}

/// Returns the row that takes the lease over for `me`, if that is allowed at `now`: no box holds
/// it, or this box has observed the same version for longer than the lease lasts. A box that lost
/// track of its own lease, for instance after a lost reply, takes it again under a larger token.
pub fn takeover(
    seen: Option<&ObservedLease>,
    me: &NodeId,
    ttl: Duration,
    now: Moment,
) -> Option<LeaseRow> {
    takeover_with_quiet_period(seen, me, LeaseTerms { ttl, quiet_period: Duration::ZERO }, now)
}

impl LeaseRow {
    /// Returns the row with a fencing token larger than `floor`.
    pub fn with_fence_above(self, floor: Fence) -> Self {
        Self { fence: self.fence.max(Fence(floor.0 + 1)), ..self }
    }
}

/// Returns a fencing token that is at least as large as those taken so far, up to the `version` of
/// the row, even if a restoration of the table has lost some of them. A table without eras is
/// never restored, and the tokens in its row suffice.
pub fn fence_floor(version: StoreVersion) -> Fence {
    match version.era() {
        0 => Fence(0),
        era => Fence((era << FENCE_COUNT_BITS) + version.number()),
    }
}

/// The duration of a lease, and the pause between the actions of two holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// The duration of the lease after each renewal.
    pub ttl: Duration,
    /// The minimum time between the last action of one holder and the first of the next. The
    /// receivers of these actions may not check fencing tokens, so the actions must be separated
    /// in time.
    pub quiet_period: Duration,
}

impl LeaseTerms {
    /// Returns the time after a box has learned of a restoration of the table during which it takes
    /// no lease. The restored row may be one that its holder has renewed since, or lack a holder.
    pub fn restoration_delay(self) -> Duration {
        expiry_time(self.ttl) + self.quiet_period
    }
}

/// Like [`takeover`], with a quiet period between holders.
pub fn takeover_with_quiet_period(
    seen: Option<&ObservedLease>,
    me: &NodeId,
    terms: LeaseTerms,
    now: Moment,
) -> Option<LeaseRow> {
    let fence = match seen {
        None => Fence(1),
        Some(lease) if now.since(lease.since) >= takeover_delay(lease, me, terms.quiet_period) => {
            Fence(lease.row.fence.0 + 1)
        }
        Some(_) => return None,
    };
    Some(LeaseRow { holder: Some(me.clone()), fence, ttl_ms: terms.ttl.as_millis() as u64 })
}

/// A holder's announcement of when its lease ends under one version of the row. Only another
/// write, which changes the version, can extend it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseAnnouncement {
    /// The version of the row.
    pub version: StoreVersion,
    /// When the lease ends at the latest.
    pub ends_at: Moment,
}

/// Like [`takeover_with_quiet_period`], but the row need not be observed if its holder announced
/// when its lease under this version ends: the quiet period then starts at that moment.
pub fn takeover_on_announcement(
    seen: Option<&ObservedLease>,
    announcement: Option<LeaseAnnouncement>,
    me: &NodeId,
    terms: LeaseTerms,
    now: Moment,
) -> Option<LeaseRow> {
    let is_expired = |lease: &&ObservedLease| {
        announcement.is_some_and(|announcement| {
            announcement.version == lease.version
                && now >= announcement.ends_at
                && now.since(announcement.ends_at) >= terms.quiet_period
        })
    };
    match seen.filter(is_expired) {
        Some(lease) => {
            let fence = Fence(lease.row.fence.0 + 1);
            Some(LeaseRow { holder: Some(me.clone()), fence, ttl_ms: terms.ttl.as_millis() as u64 })
        }
        None => takeover_with_quiet_period(seen, me, terms, now),
    }
}

/// Returns how long a version of the row must stay unchanged before `me` may take over.
fn takeover_delay(lease: &ObservedLease, me: &NodeId, quiet_period: Duration) -> Duration {
    match &lease.row.holder {
        Some(holder) if holder == me => Duration::ZERO,
        None => quiet_period,
        Some(_) => expiry_time(Duration::from_millis(lease.row.ttl_ms)) + quiet_period,
    }
}

/// Returns the time after which a lease that lasts `ttl` has ended for a watcher. The margin covers
/// a watcher whose clock runs fast.
fn expiry_time(ttl: Duration) -> Duration {
    ttl + ttl / MARGIN_DIVISOR
}

#[cfg(test)]
mod tests;
