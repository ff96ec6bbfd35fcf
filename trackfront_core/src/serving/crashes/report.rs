//! The runs of servers that ended under one request, as boxes tell each other.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::serving::fingerprint::Fingerprint;

/// How many servers a request may crash before it is held off: what is promised for one. Sent 40 times in 18 s, a request
/// that may be repeated crashed 32 of eight servers' runs without a bound, and 3 to 4 with it. The fewer, the more
/// requests are held off that only ran beside the cause.
pub const MAX_CRASHES: usize = 3;

/// How many runs are kept for a request: enough for the bound above beside some that are excused.
const MAX_RUNS: usize = 16;

/// A run of a server, by its short name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IncarnationId(pub u32);

/// The runs of servers that ended under a request, as boxes tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The runs that ended under it.
    pub crashed: BTreeSet<IncarnationId>,
    /// Those of them that count no more, since it was answered whole or released.
    pub excused: BTreeSet<IncarnationId>,
    /// Whether the platform's store has it.
    pub stored: bool,
    /// Whether the crashes that held it off came together, so that they may have had another cause.
    pub together: bool,
}

impl CrashReport {
    /// Returns how many runs count.
    pub fn crashes(&self) -> usize {
        self.crashed.difference(&self.excused).count()
    }

    /// Returns whether the request is held off.
    pub fn is_quarantined(&self) -> bool {
        self.crashes() >= MAX_CRASHES
    }

    pub(super) fn new(fingerprint: Fingerprint) -> Self {
        let (crashed, excused) = (BTreeSet::new(), BTreeSet::new());
        Self { fingerprint, crashed, excused, stored: false, together: false }
    }

    /// Merges another report of the same request. Returns whether that changed which runs count.
    pub(super) fn merge(&mut self, other: &CrashReport) -> bool {
        let before = (self.crashed.clone(), self.excused.clone());
        self.stored |= other.stored;
        self.together |= other.together;
        self.crashed.extend(&other.crashed);
        self.excused.extend(&other.excused);
        while self.crashed.len() > MAX_RUNS {
            let excused = self.crashed.intersection(&self.excused).next().copied();
            let Some(run) = excused.or_else(|| self.crashed.last().copied()) else {
                break;
            };
            self.crashed.remove(&run);
        }
        while self.excused.len() > MAX_RUNS {
            let idle = self.excused.difference(&self.crashed).next().copied();
            let Some(run) = idle.or_else(|| self.excused.first().copied()) else {
                break;
            };
            self.excused.remove(&run);
        }
        before != (self.crashed.clone(), self.excused.clone())
    }
}
