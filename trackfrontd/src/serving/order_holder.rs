//! The known holder of the order lease, by its own digests or by the reports of other boxes.

use std::net::Ipv4Addr;
use std::time::Duration;

use trackfront_core::lease::LeaseAnnouncement;
use trackfront_core::units::Moment;

use super::messages::{HolderReport, LeaseReport};
use super::peer_tracker::PEER_TIMEOUT;

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
    gives: bool,
    /// When the holder announced this, to this box or to another.
    at: Moment,
    is_relayed: bool,
}

impl KnownHolder {
    /// Records what a box announced to this one in its digest.
    pub fn receive(&mut self, ip: Ipv4Addr, gives: bool, now: Moment) {
        let was_giver = self.last.is_some_and(|last| last.ip == ip);
        if gives || was_giver {
            self.last = Some(Report { ip, gives, at: now, is_relayed: false });
        }
    }

    /// Applies the report of another box on the holder. `me` is the address of this box.
    pub fn apply_report(&mut self, told: &HolderReport, me: Ipv4Addr, now: Moment) {
        let right = told.lease.map(|right| right.announcement(now));
        let known = self.relayed_announcement.map_or(0, |right| right.version);
        self.relayed_announcement =
            right.filter(|right| right.version > known).or(self.relayed_announcement);
        let at = Moment(now.0.saturating_sub(Duration::from_millis(u64::from(told.age_ms))));
        let is_newer = self.last.is_none_or(|last| at > last.at);
        if told.ip != me && is_newer {
            self.last = Some(Report { ip: told.ip, gives: told.holds_lease, at, is_relayed: true });
        }
    }

    /// Returns the report for other boxes; `right` looks up the announcement that this box received
    /// from the holder itself.
    pub fn report(
        &self,
        right: impl Fn(Ipv4Addr) -> Option<LeaseAnnouncement>,
        now: Moment,
    ) -> Option<HolderReport> {
        let last = self.last.filter(|last| now.since(last.at) < RELAYED_ALIVE_FOR)?;
        let announcements = right(last.ip).into_iter().chain(self.relayed_announcement);
        let right = announcements.max_by_key(|right| right.version);
        let right = right.and_then(|right| LeaseReport::from_announcement(right, now));
        let age_ms = u32::try_from(now.since(last.at).as_millis()).unwrap_or(u32::MAX);
        Some(HolderReport { ip: last.ip, holds_lease: last.gives, age_ms, lease: right })
    }

    /// Returns the holder of the order lease, if it counts as alive.
    pub fn live_holder(&self, now: Moment) -> Option<Ipv4Addr> {
        let last = self.last.filter(|last| last.gives)?;
        let timeout = if last.is_relayed { RELAYED_ALIVE_FOR } else { PEER_TIMEOUT };
        (now.since(last.at) < timeout).then_some(last.ip)
    }

    /// Returns the latest announcement of the lease that other boxes forwarded.
    pub fn relayed_announcement(&self) -> Option<LeaseAnnouncement> {
        self.relayed_announcement
    }
}
