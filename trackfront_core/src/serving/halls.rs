//! The halls in which requests may be served: operators evacuate halls, and routes and client
//! accounts are restricted to regions.
//!
//! The status of a hall carries the version of its row, and the newer version wins. So statuses may
//! arrive repeatedly, late and over any path, from boxes with newer and with older knowledge. A
//! store that was restored from a copy may lack an evacuation until the operators write it again,
//! so a hall stays evacuated for a while although its row is missing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{HallName, RegionName};
use crate::store_version::StoreVersion;
use crate::units::Moment;

/// The time after a restoration of the store within which operators write again what the copy lacks.
const REWRITE_TIME: Duration = Duration::from_secs(10);

/// Whether an operator has evacuated a hall, as of one version of its row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallStatus {
    /// The hall concerned.
    pub hall: HallName,
    /// The version of the row or of its removal.
    pub version: StoreVersion,
    /// Whether the hall's servers get no requests.
    pub is_evacuated: bool,
}

/// The last known status of each hall that an operator has evacuated or reopened.
#[derive(Debug, Default)]
pub struct Evacuations {
    halls: BTreeMap<HallName, KnownHall>,
    /// The version of the last listing.
    listed: StoreVersion,
    /// Until when a listing may lack the row of an evacuated hall, since the store was restored.
    restored_until: Option<Moment>,
}

#[derive(Clone, Copy, Debug)]
struct KnownHall {
    version: StoreVersion,
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
    /// themselves, and a reopening for each evacuated hall without a row. After a restoration, a
    /// hall whose row may be lost is reopened only by a listing after [`REWRITE_TIME`].
    pub fn statuses_from_listing(
        &mut self,
        mut rows: Vec<HallStatus>,
        version: StoreVersion,
        now: Moment,
    ) -> Vec<HallStatus> {
        if self.listed != StoreVersion::ZERO && version.era() > self.listed.era() {
            self.restored_until = Some(now + REWRITE_TIME);
        }
        self.listed = self.listed.max(version);
        let is_restored = self.restored_until.is_some_and(|until| now < until);
        let listed: BTreeSet<HallName> = rows.iter().map(|status| status.hall.clone()).collect();
        let reopened = self.halls.iter().filter(|(hall, known)| {
            let may_be_lost = is_restored && version.era() > known.version.era();
            known.is_evacuated
                && known.version <= version
                && !listed.contains(*hall)
                && !may_be_lost
        });
        let status =
            |hall: &HallName| HallStatus { hall: hall.clone(), version, is_evacuated: false };
        rows.extend(reopened.map(|(hall, _)| status(hall)));
        rows
    }

    /// Returns whether the rows have to be listed again, since a restored listing may have lacked
    /// some. Returns `true` once for each restoration.
    pub fn take_relisting(&mut self, now: Moment) -> bool {
        self.restored_until.take_if(|until| now >= *until).is_some()
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
