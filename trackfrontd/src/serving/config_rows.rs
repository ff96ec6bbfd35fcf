//! The rows of the configuration that this box has examined.

use trackfront_core::store_version::StoreVersion;

/// What became of an examined configuration row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigOutcome {
    /// The configuration is in force.
    InForce,
    /// The configuration is invalid.
    Refused,
    /// The configuration is older than the one in force: the store was restored from a copy, and the
    /// operator has not written it again yet.
    Outdated,
}

/// The newest configuration rows that were examined.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigRows {
    /// The newest one, whatever became of it.
    pub examined: StoreVersion,
    /// The newest one whose configuration was put in force.
    pub in_force: StoreVersion,
    /// The newest one that is not outdated. If outdated rows were relayed, every box of a fleet
    /// would read one for nothing.
    pub to_relay: StoreVersion,
}

impl ConfigRows {
    /// Records an examined row and what became of it.
    pub fn record(&mut self, row: StoreVersion, outcome: ConfigOutcome) {
        self.examined = self.examined.max(row);
        if outcome != ConfigOutcome::Outdated {
            self.to_relay = self.to_relay.max(row);
        }
        if outcome == ConfigOutcome::InForce {
            self.in_force = self.in_force.max(row);
        }
    }
}
