//! The known holder of the order lease, by its own digests or by the reports of other boxes.

use std::net::Ipv4Addr;
use std::time::Duration;

use trackfront_core::lease::LeaseAnnouncement;
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;

use super::messages::{HolderReport, LeaseReport};
use super::peer::PEER_TIMEOUT;

/// How long the holder counts as alive after its last digest, if that was reported by another box.
const RELAYED_ALIVE_FOR: Duration = Duration::from_millis(2_500);

/// The last known holder of the order lease. The later of two reports counts, whichever way it
/// came.
#[derive(Debug, Default)]
pub struct KnownHolder {
    last: Option<Report>,
    /// The latest announcement of the lease that other boxes forwarded.
    relayed_announcement: Option<LeaseAnnouncement>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    ip: Ipv4Addr,
    holds_lease: bool,
    /// When the holder announced this, to this box or to another.
    at: Moment,
    is_relayed: bool,
}

impl KnownHolder {
    /// Records what a box announced to this one in its digest.
    pub fn receive(&mut self, ip: Ipv4Addr, holds_lease: bool, now: Moment) {
        let was_holder = self.last.is_some_and(|last| last.ip == ip);
        if holds_lease || was_holder {
            self.last = Some(Report { ip, holds_lease, at: now, is_relayed: false });
        }
    }

    /// Applies the report of another box on the holder. `me` is the address of this box.
    pub fn apply_report(&mut self, report: &HolderReport, me: Ipv4Addr, now: Moment) {
        let announcement = report.lease.map(|lease| lease.announcement(now));
        let known = self
            .relayed_announcement
            .map_or(StoreVersion::ZERO, |announcement| announcement.version);
        self.relayed_announcement = announcement
            .filter(|announcement| announcement.version > known)
            .or(self.relayed_announcement);
        let at = Moment(now.0.saturating_sub(Duration::from_millis(u64::from(report.age_ms))));
        let is_newer = self.last.is_none_or(|last| at > last.at);
        if report.ip != me && is_newer {
            self.last = Some(Report {
                ip: report.ip,
                holds_lease: report.holds_lease,
                at,
                is_relayed: true,
            });
        }
    }

    /// Returns the report for other boxes; `announcement_of` looks up the announcement that this box
    /// received from the holder itself.
    pub fn report(
        &self,
        announcement_of: impl Fn(Ipv4Addr) -> Option<LeaseAnnouncement>,
        now: Moment,
    ) -> Option<HolderReport> {
        let last = self.last.filter(|last| now.since(last.at) < RELAYED_ALIVE_FOR)?;
        let announcements = announcement_of(last.ip).into_iter().chain(self.relayed_announcement);
        let newest = announcements.max_by_key(|announcement| announcement.version);
        let lease = newest.and_then(|newest| LeaseReport::from_announcement(newest, now));
        let age_ms = u32::try_from(now.since(last.at).as_millis()).unwrap_or(u32::MAX);
        Some(HolderReport { ip: last.ip, holds_lease: last.holds_lease, age_ms, lease })
    }

    /// Returns the holder of the order lease, if it counts as alive.
    pub fn live_holder(&self, now: Moment) -> Option<Ipv4Addr> {
        let last = self.last.filter(|last| last.holds_lease)?;
        let timeout = if last.is_relayed { RELAYED_ALIVE_FOR } else { PEER_TIMEOUT };
        (now.since(last.at) < timeout).then_some(last.ip)
    }

    /// Returns the latest announcement of the lease that other boxes forwarded.
    pub fn relayed_announcement(&self) -> Option<LeaseAnnouncement> {
        self.relayed_announcement
    }
}
