//! Which versions of its software each service uses and used.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::ids::ServiceName;
use crate::store_version::StoreVersion;
use crate::units::Moment;

use super::{STREAM_TTL, SoftwareId};

/// Which versions of its software each service was seen to use lately.
#[derive(Debug, Default)]
pub struct SoftwareInUse {
    seen: HashMap<ServiceName, HashMap<SoftwareId, Moment>>,
}

impl SoftwareInUse {
    /// Records the versions of a service's servers.
    pub fn record(
        &mut self,
        service: &ServiceName,
        versions: impl IntoIterator<Item = SoftwareId>,
        now: Moment,
    ) {
        let seen = self.seen.entry(service.clone()).or_default();
        seen.extend(versions.into_iter().map(|version| (version, now)));
        seen.retain(|_, at| now.since(*at) < STREAM_TTL);
    }

    /// Returns whether a service uses several versions, or did so within [`STREAM_TTL`].
    pub fn is_mixed(&self, service: &ServiceName) -> bool {
        self.seen.get(service).is_some_and(|seen| seen.len() > 1)
    }

    /// Returns the versions that a service uses or used within [`STREAM_TTL`].
    pub fn versions(&self, service: &ServiceName) -> BTreeSet<SoftwareId> {
        self.seen.get(service).into_iter().flat_map(HashMap::keys).copied().collect()
    }

    /// Returns the versions of all services that use several.
    pub fn mixed_versions(&self) -> BTreeSet<SoftwareId> {
        let mixed = self.seen.values().filter(|seen| seen.len() > 1);
        mixed.flat_map(HashMap::keys).copied().collect()
    }
}

/// The versions that a service uses or used lately, as the platform's table has them for boxes that start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareHistory {
    /// Each version with the version of the store, as bits, at which a server with it was first seen.
    since: BTreeMap<SoftwareId, u64>,
}

impl SoftwareHistory {
    /// Records that a server used a version when the store was at `store`. Returns whether the version is new.
    pub fn add(&mut self, version: SoftwareId, store: StoreVersion) -> bool {
        let is_new = !self.since.contains_key(&version);
        let since = self.since.entry(version).or_insert(store.to_bits());
        *since = (*since).min(store.to_bits());
        is_new
    }

    /// Removes the versions that `keep` does not contain. Returns whether there were any.
    pub fn retain(&mut self, keep: &BTreeSet<SoftwareId>) -> bool {
        let count = self.since.len();
        self.since.retain(|version, _| keep.contains(version));
        self.since.len() < count
    }

    /// Returns the versions.
    pub fn versions(&self) -> impl Iterator<Item = SoftwareId> {
        self.since.keys().copied()
    }

    /// Returns the only version that was in use up to a version of the store, if `seen` are those of a list of that version.
    pub fn only_version_until(
        &self,
        store: StoreVersion,
        seen: &BTreeSet<SoftwareId>,
    ) -> Option<SoftwareId> {
        let before = self.since.iter().filter(|(_, since)| **since <= store.to_bits());
        let mut versions: BTreeSet<_> = before.map(|(version, _)| *version).collect();
        // A list alone does not tell which versions came and went before it.
        let has_record = !versions.is_empty();
        versions.extend(seen);
        (has_record && versions.len() == 1).then(|| versions.pop_first()).flatten()
    }
}
