//! The lease on a shard, with a fencing token that only grows.
//!
//! No wall clocks are compared. A holder counts its time from before it sent the write that
//! renewed the lease; another box takes over only after it has itself watched the row
//! unchanged for longer than the lease lasts.

// The state machine macro generates items that cannot carry doc comments.
#![allow(missing_docs)]

use std::time::Duration;

use serde::{Deserialize, Serialize};
use statig::prelude::*;

use crate::ids::{Fence, NodeId};
use crate::units::Moment;

/// The share of the lease's time by which a holder stops early, for clocks that run unevenly.
const MARGIN_DIVISOR: u32 = 5;

/// The value of a lease's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder; `None` after it was given up.
    pub holder: Option<NodeId>,
    /// The fencing token; it grows with each change of holder.
    pub fence: Fence,
    /// How long the lease lasts after each write, in milliseconds.
    pub ttl_ms: u64,
}

/// A lease's row as this box has seen it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedLease {
    /// The row's version in the table.
    pub version: u64,
    /// The row's value.
    pub row: LeaseRow,
    /// When this box first saw this version.
    pub since: Moment,
}

/// What happens to a lease.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// The write that takes or renews the lease was applied; it was sent at `sent_at`.
    Written {
        /// The fencing token in the row.
        fence: Fence,
        /// When the write was sent.
        sent_at: Moment,
    },
    /// The row shows another holder or a larger token, or an engine has seen a larger one.
    Superseded,
    /// The present moment.
    Tick(Moment),
    /// The box gives the lease up.
    Released,
}

/// A box's view of one lease that it may hold.
#[derive(Debug)]
pub struct LeaseHolder {
    ttl: Duration,
    largest: Fence,
}

/// The life of a lease in one box.
#[state_machine(
    initial = "LeaseState::watching()",
    state(name = "LeaseState", derive(Debug, Clone, PartialEq, Eq)),
    after_transition = "Self::log_transition"
)]
impl LeaseHolder {
    /// Another box holds the lease, or nobody.
    #[state]
    fn watching(&mut self, event: &LeaseEvent) -> Outcome<LeaseState> {
        match event {
            LeaseEvent::Written { fence, sent_at } => {
                assert!(*fence > self.largest, "a lease is only taken with a larger token");
                self.largest = *fence;
                Transition(LeaseState::holding(*fence, self.valid_until(*sent_at)))
            }
            _ => Handled,
        }
    }

    /// This box holds the lease until a moment on its own clock.
    #[state]
    fn holding(
        &mut self,
        fence: &mut Fence,
        until: &mut Moment,
        event: &LeaseEvent,
    ) -> Outcome<LeaseState> {
        match event {
            LeaseEvent::Written { fence: written, sent_at } => {
                assert_eq!(written, fence, "a renewal keeps the token");
                *until = (*until).max(self.valid_until(*sent_at));
                Handled
            }
            LeaseEvent::Tick(now) if now >= until => Transition(LeaseState::watching()),
            LeaseEvent::Tick(_) => Handled,
            LeaseEvent::Superseded | LeaseEvent::Released => Transition(LeaseState::watching()),
        }
    }
}

impl LeaseHolder {
    /// Watches a lease that lasts `ttl` after each write.
    pub fn new(ttl: Duration) -> Self {
        Self { ttl, largest: Fence(0) }
    }

    /// Returns the moment until which a lease written at `sent_at` may be used.
    fn valid_until(&self, sent_at: Moment) -> Moment {
        sent_at + (self.ttl - self.ttl / MARGIN_DIVISOR)
    }

    /// Logs one line for each transition.
    fn log_transition(&mut self, from: &LeaseState, to: &LeaseState, _: &mut ()) {
        log::debug!("lease: {from:?} -> {to:?}");
    }
}

impl LeaseState {
    /// Returns the fencing token if the lease may be used at `now`. To be asked last thing
    /// before each send.
    pub fn usable(&self, now: Moment) -> Option<Fence> {
        match self {
            LeaseState::Holding { fence, until } if now < *until => Some(*fence),
            _ => None,
        }
    }
}

/// Returns the row that would take the lease over for `me`, if that is allowed at `now`:
/// nobody holds it, or this box has watched one version for longer than it lasts. A box that
/// lost track of its own lease, as after a lost reply, takes it again under a larger token.
pub fn takeover(
    seen: Option<&ObservedLease>,
    me: &NodeId,
    ttl: Duration,
    now: Moment,
) -> Option<LeaseRow> {
    takeover_with_quiet_period(seen, me, LeaseTerms { ttl, quiet_period: Duration::ZERO }, now)
}

/// How long a lease lasts, and how long nothing may happen under it before another holder acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long the lease lasts after each renewal.
    pub ttl: Duration,
    /// The least time between the last act of one holder and the first of another. Those who are
    /// acted upon may not check tokens, so the acts themselves have to be apart.
    pub quiet_period: Duration,
}

/// As [`takeover`], with a quiet time between holders.
pub fn takeover_with_quiet_period(
    seen: Option<&ObservedLease>,
    me: &NodeId,
    terms: LeaseTerms,
    now: Moment,
) -> Option<LeaseRow> {
    let fence = match seen {
        None => Fence(1),
        Some(lease) if now.since(lease.since) >= wait_for(lease, me, terms.quiet_period) => {
            Fence(lease.row.fence.0 + 1)
        }
        Some(_) => return None,
    };
    Some(LeaseRow { holder: Some(me.clone()), fence, ttl_ms: terms.ttl.as_millis() as u64 })
}

/// What the holder of a lease said of its right: when what it may do under one version of the row
/// ends. Only a write that changes the version can give it more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseAnnouncement {
    /// The version of the row.
    pub version: u64,
    /// When the right ends, at the latest.
    pub ends_at: Moment,
}

/// As [`takeover_with_quiet_period`], but the row need not be watched where its holder said itself when its
/// right under this very version ends: the quiet time is counted from there.
pub fn takeover_on_announcement(
    seen: Option<&ObservedLease>,
    word: Option<LeaseAnnouncement>,
    me: &NodeId,
    terms: LeaseTerms,
    now: Moment,
) -> Option<LeaseRow> {
    let is_over = |lease: &&ObservedLease| {
        word.is_some_and(|word| {
            word.version == lease.version
                && now >= word.ends_at
                && now.since(word.ends_at) >= terms.quiet_period
        })
    };
    match seen.filter(is_over) {
        Some(lease) => {
            let fence = Fence(lease.row.fence.0 + 1);
            Some(LeaseRow { holder: Some(me.clone()), fence, ttl_ms: terms.ttl.as_millis() as u64 })
        }
        None => takeover_with_quiet_period(seen, me, terms, now),
    }
}

/// How long a version of the row has to be watched unchanged before `me` may take over.
fn wait_for(lease: &ObservedLease, me: &NodeId, quiet_period: Duration) -> Duration {
    match &lease.row.holder {
        Some(holder) if holder == me => Duration::ZERO,
        None => quiet_period,
        Some(_) => {
            let lasts = Duration::from_millis(lease.row.ttl_ms);
            // The margin on this side covers a watcher's clock that runs fast.
            lasts + lasts / MARGIN_DIVISOR + quiet_period
        }
    }
}

#[cfg(test)]
mod tests;
