//! Where requests may be served: halls that an operator empties, and regions that a route or a client account is
//! bound to.
//!
//! What the operator says of a hall carries the version of its row, and of two words the one with the later version
//! holds. So words may come twice, late and by any way, from boxes that know more and from boxes that know less.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{HallName, RegionName};
use crate::units::Moment;

/// What the operator last said of a hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallStatus {
    /// The hall.
    pub hall: HallName,
    /// The version of the row, or of its removal.
    pub version: u64,
    /// Whether its servers are to get nothing.
    pub is_evacuated: bool,
}

/// The halls that the operator spoke of.
#[derive(Debug, Default)]
pub struct Evacuations {
    halls: BTreeMap<HallName, KnownHall>,
}

#[derive(Clone, Copy, Debug)]
struct KnownHall {
    version: u64,
    is_evacuated: bool,
    /// When this box learned that.
    learned: Moment,
}

impl Evacuations {
    /// Takes in a word. Returns whether the hall is used differently from now on.
    pub fn apply(&mut self, word: &HallStatus, now: Moment) -> bool {
        let before = self.halls.get(&word.hall).copied();
        if before.is_some_and(|before| before.version >= word.version) {
            return false;
        }
        let was_evacuated = before.is_some_and(|before| before.is_evacuated);
        let changes = was_evacuated != word.is_evacuated;
        let learned = before.filter(|_| !changes).map_or(now, |before| before.learned);
        let (version, is_evacuated) = (word.version, word.is_evacuated);
        self.halls.insert(word.hall.clone(), KnownHall { version, is_evacuated, learned });
        changes
    }

    /// Returns the words that follow from a listing of all rows at `version`: those rows, and that halls which are
    /// in none of them are used again.
    pub fn statuses_from_listing(
        &self,
        mut rows: Vec<HallStatus>,
        version: u64,
    ) -> Vec<HallStatus> {
        let listed: BTreeSet<HallName> = rows.iter().map(|word| word.hall.clone()).collect();
        let ended = self.halls.iter().filter(|(hall, known)| {
            known.is_evacuated && known.version <= version && !listed.contains(*hall)
        });
        let word =
            |hall: &HallName| HallStatus { hall: hall.clone(), version, is_evacuated: false };
        rows.extend(ended.map(|(hall, _)| word(hall)));
        rows
    }

    /// Returns whether the servers of a hall are to get nothing.
    pub fn is_evacuated(&self, hall: &HallName) -> bool {
        self.halls.get(hall).is_some_and(|known| known.is_evacuated)
    }

    /// Returns how many halls are emptied.
    pub fn count(&self) -> usize {
        self.halls.values().filter(|known| known.is_evacuated).count()
    }

    /// Returns when this box learned that a hall is used again.
    pub fn reopened_at(&self, hall: &HallName) -> Option<Moment> {
        let known = self.halls.get(hall)?;
        (!known.is_evacuated).then_some(known.learned)
    }

    /// Returns all that is known, for another box.
    pub fn statuses(&self) -> Vec<HallStatus> {
        let word = |(hall, known): (&HallName, &KnownHall)| HallStatus {
            hall: hall.clone(),
            version: known.version,
            is_evacuated: known.is_evacuated,
        };
        self.halls.iter().map(word).collect()
    }
}

/// Where one request may be served.
#[derive(Clone, Copy, Debug)]
pub struct AllowedHalls<'a> {
    /// The halls that are emptied.
    pub evacuations: &'a Evacuations,
    /// The region of each hall.
    pub regions: &'a BTreeMap<HallName, RegionName>,
    /// The regions that its route and its account are bound to, if they are; both hold.
    pub bounds: [Option<&'a BTreeSet<RegionName>>; 2],
}

impl AllowedHalls<'_> {
    /// Returns whether the request may be sent to the servers of a hall. Where the hall's region is not known, only
    /// what is bound to none may.
    pub fn allow(&self, hall: &HallName) -> bool {
        let region = self.regions.get(hall);
        let is_inside = |bound: &&BTreeSet<RegionName>| region.is_some_and(|at| bound.contains(at));
        !self.evacuations.is_evacuated(hall) && self.bounds.iter().flatten().all(is_inside)
    }
}
