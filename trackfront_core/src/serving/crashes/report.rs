//! Reports that boxes exchange on requests under which servers crashed.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::serving::fingerprint::Fingerprint;

/// The number of servers that a request may crash until it is quarantined; the promised bound. A retryable request that
/// was sent 40 times in 18 s crashed 32 incarnations of eight servers without the bound, and 3 to 4 with it. A lower bound
/// would quarantine more requests that only ran beside the cause.
pub const MAX_CRASHES: usize = 3;

/// The most incarnations that are kept for a request: enough for the bound above and some that are cleared.
pub(super) const MAX_INCARNATIONS: usize = 16;

/// An incarnation of a server, by its short name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IncarnationId(pub u32);

/// The incarnations of servers that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The incarnations that ended under the request.
    pub crashed: BTreeSet<IncarnationId>,
    /// Those of them that no longer count, because the request was answered completely or released.
    pub excused: BTreeSet<IncarnationId>,
    /// Whether the platform's store has a row of it: of the quarantine, or of the suspicion as long as there is none.
    pub stored: bool,
    /// Whether the crashes before the quarantine happened together, so that they may have had another cause.
    pub together: bool,
}

/// How long ago connections broke under a request at incarnations that have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BreakTimes {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The incarnations, and the milliseconds since the first connection broke there.
    pub ages_ms: Vec<(IncarnationId, u32)>,
}

impl CrashReport {
    /// Returns the number of incarnations that count.
    pub fn crashes(&self) -> usize {
        self.crashed.difference(&self.excused).count()
    }

    /// Returns whether the request is quarantined.
    pub fn is_quarantined(&self) -> bool {
        self.crashes() >= MAX_CRASHES
    }

    /// Creates the report on a request without crashes.
    pub fn new(fingerprint: Fingerprint) -> Self {
        let (crashed, excused) = (BTreeSet::new(), BTreeSet::new());
        Self { fingerprint, crashed, excused, stored: false, together: false }
    }

    /// Merges another report on the same request. Returns whether that changed the sets of incarnations.
    pub(super) fn merge(&mut self, other: &CrashReport) -> bool {
        let before = (self.crashed.clone(), self.excused.clone());
        let was_quarantined = self.is_quarantined();
        self.together |= other.together;
        self.crashed.extend(&other.crashed);
        self.excused.extend(&other.excused);
        // The row of a suspicion is none of the quarantine.
        let is_quarantined = self.is_quarantined();
        self.stored &= was_quarantined == is_quarantined;
        self.stored |= other.stored && other.is_quarantined() == is_quarantined;
        while self.crashed.len() > MAX_INCARNATIONS {
            let excused = self.crashed.intersection(&self.excused).next().copied();
            let Some(incarnation) = excused.or_else(|| self.crashed.last().copied()) else {
                break;
            };
            self.crashed.remove(&incarnation);
        }
        while self.excused.len() > MAX_INCARNATIONS {
            let idle = self.excused.difference(&self.crashed).next().copied();
            let Some(incarnation) = idle.or_else(|| self.excused.first().copied()) else {
                break;
            };
            self.excused.remove(&incarnation);
        }
        before != (self.crashed.clone(), self.excused.clone())
    }
}
