//! The halls in which requests may be served: operators evacuate halls, and routes and client
//! accounts are restricted to regions.
//!
//! The status of a hall carries the version of its row, and the newer version wins. So statuses may
//! arrive repeatedly, late and over any path, from boxes with newer and with older knowledge.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{HallName, RegionName};
use crate::units::Moment;

/// Whether an operator has evacuated a hall, as of one version of its row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallStatus {
    /// The hall concerned.
    pub hall: HallName,
    /// The version of the row or of its removal.
    pub version: u64,
    /// Whether the hall's servers get no requests.
    pub is_evacuated: bool,
}

/// The last known status of each hall that an operator has evacuated or reopened.
#[derive(Debug, Default)]
pub struct Evacuations {
    halls: BTreeMap<HallName, KnownHall>,
}

#[derive(Clone, Copy, Debug)]
struct KnownHall {
    version: u64,
    is_evacuated: bool,
    /// When this box learned of the current state.
    learned_at: Moment,
}

impl Evacuations {
    /// Applies a status. Returns whether the hall's state changed.
    pub fn apply(&mut self, status: &HallStatus, now: Moment) -> bool {
        let before = self.halls.get(&status.hall).copied();
        if before.is_some_and(|before| before.version >= status.version) {
            return false;
        }
        let was_evacuated = before.is_some_and(|before| before.is_evacuated);
        let changes = was_evacuated != status.is_evacuated;
        let learned_at = before.filter(|_| !changes).map_or(now, |before| before.learned_at);
        let (version, is_evacuated) = (status.version, status.is_evacuated);
        self.halls.insert(status.hall.clone(), KnownHall { version, is_evacuated, learned_at });
        changes
    }

    /// Returns the statuses that follow from a listing of all rows at `version`: the rows
    /// themselves, and a reopening for each evacuated hall without a row.
    pub fn statuses_from_listing(
        &self,
        mut rows: Vec<HallStatus>,
        version: u64,
    ) -> Vec<HallStatus> {
        let listed: BTreeSet<HallName> = rows.iter().map(|status| status.hall.clone()).collect();
        let reopened = self.halls.iter().filter(|(hall, known)| {
            known.is_evacuated && known.version <= version && !listed.contains(*hall)
        });
        let status =
            |hall: &HallName| HallStatus { hall: hall.clone(), version, is_evacuated: false };
        rows.extend(reopened.map(|(hall, _)| status(hall)));
        rows
    }

    /// Returns whether a hall is evacuated, so that its servers get no requests.
    pub fn is_evacuated(&self, hall: &HallName) -> bool {
        self.halls.get(hall).is_some_and(|known| known.is_evacuated)
    }

    /// Returns the number of evacuated halls.
    pub fn count(&self) -> usize {
        self.halls.values().filter(|known| known.is_evacuated).count()
    }

    /// Returns when this box learned that a hall was reopened.
    pub fn reopened_at(&self, hall: &HallName) -> Option<Moment> {
        let known = self.halls.get(hall)?;
        (!known.is_evacuated).then_some(known.learned_at)
    }

    /// Returns all known statuses, to be sent to another box.
    pub fn statuses(&self) -> Vec<HallStatus> {
        let status = |(hall, known): (&HallName, &KnownHall)| HallStatus {
            hall: hall.clone(),
            version: known.version,
            is_evacuated: known.is_evacuated,
        };
        self.halls.iter().map(status).collect()
    }
}

/// The halls in which one request may be served.
#[derive(Clone, Copy, Debug)]
pub struct AllowedHalls<'a> {
    /// The evacuated halls.
    pub evacuations: &'a Evacuations,
    /// The region of each hall.
    pub regions: &'a BTreeMap<HallName, RegionName>,
    /// The regions to which the route and the account are restricted, if they are; both
    /// restrictions apply.
    pub bounds: [Option<&'a BTreeSet<RegionName>>; 2],
}

impl AllowedHalls<'_> {
    /// Returns whether the request may be sent to servers in a hall. If the hall's region is
    /// unknown, only requests without a restriction may.
    pub fn allow(&self, hall: &HallName) -> bool {
        let region = self.regions.get(hall);
        let is_inside = |bound: &&BTreeSet<RegionName>| region.is_some_and(|at| bound.contains(at));
        !self.evacuations.is_evacuated(hall) && self.bounds.iter().flatten().all(is_inside)
    }
}
