//! Rows of live servers that the table does not have for a while: after an outage of the platform,
//! in which they expired, or after a restoration from a copy that lacks them.

use std::time::Duration;

use super::{Directory, DirectoryEvent};
use crate::store_version::StoreVersion;
use crate::units::Moment;

/// The time within which live servers rewrite their expired rows once the platform has recovered.
pub(super) const EXPIRY_GRACE: Duration = Duration::from_millis(2_000);

/// The number of heartbeats for which the platform has to fail before rows expire. After a shorter
/// failure, a removed row means a removed server.
const OUTAGE_HEARTBEATS: u32 = 2;

/// How recently the platform must have failed this box for the grace period of a feed reader to
/// apply here as well: the reader alone may have been cut off.
const SHARED_OUTAGE_WINDOW: Duration = Duration::from_secs(6);

/// The row of a ready server that the table does not have, but may have again soon.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpiredRow {
    /// The version of the removal, or of the listing that lacks the row.
    pub(super) version: StoreVersion,
    pub(super) cause: ExpiryCause,
}

/// Why the table lacks the row of a server that may be alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExpiryCause {
    /// The platform was unavailable, and the server could not renew its row.
    Outage,
    /// The table was restored from a copy without the row.
    Restoration,
}

impl Directory {
    /// Records that the platform answers this box again after failing it for `outage`. After a long
    /// outage, a ready server whose row was removed is kept for a grace period: if it is alive, it
    /// writes its row again.
    pub fn platform_recovered(&mut self, outage: Duration, now: Moment) {
        if outage >= self.heartbeat * OUTAGE_HEARTBEATS {
            self.expiry_grace_until = self.expiry_grace_until.max(now + EXPIRY_GRACE);
        }
    }

    /// Applies the `remaining` grace period for expired rows that a feed reader reports.
    /// `failed_at` is when the platform last failed this box itself.
    pub fn extend_expiry_grace(
        &mut self,
        remaining: Duration,
        failed_at: Option<Moment>,
        now: Moment,
    ) {
        if failed_at.is_some_and(|at| now.since(at) < SHARED_OUTAGE_WINDOW) {
            self.expiry_grace_until =
                self.expiry_grace_until.max(now + remaining.min(EXPIRY_GRACE));
        }
    }

    /// Returns for how much longer a removed row may merely have expired.
    pub fn remaining_expiry_grace(&self, now: Moment) -> Duration {
        self.expiry_grace_until.since(now)
    }

    /// Removes the servers whose rows expired and were not rewritten within the grace period.
    pub fn drop_expired_rows(&mut self, now: Moment) -> Vec<DirectoryEvent> {
        let is_over = |cause| match cause {
            ExpiryCause::Outage => now >= self.expiry_grace_until,
            ExpiryCause::Restoration => now >= self.restored_until,
        };
        let expired = self.expired.iter().filter(|(_, row)| is_over(row.cause));
        let expired: Vec<_> = expired.map(|(key, row)| (key.clone(), row.version)).collect();
        expired
            .into_iter()
            .filter_map(|(key, version)| self.remove_now(version, key, now))
            .collect()
    }
}
