//! Which boxes are asked to carry a connection to a server.
//!
//! A box that carried one lately comes first, then others in random order, those of the own hall before others, since
//! bytes between halls are expensive. A box that refused is not asked again for a while. A refusing box may name one
//! that works, so that many cut-off boxes find the few others without asking each of them.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::units::Moment;

/// The time for which a box counts as working after it carried a connection.
const WORKING_TTL: Duration = Duration::from_secs(5);

/// The time after it carried a connection for which a box is not checked and is named to other boxes. It may be cut off as
/// well in the meantime.
const CONFIRMED_TTL: Duration = Duration::from_secs(1);

/// The time for which a box that is itself cut off, stopping or silent is not asked, or asked last if it works.
const AVOID_TIME: Duration = Duration::from_millis(1_000);

/// The time for which a box that carries as much as it can is not asked.
const BUSY_TIME: Duration = Duration::from_millis(200);

/// The number of boxes of the own hall that are asked although they are not known to work.
const MAX_OWN_HALL: usize = 2;

/// The number of working boxes that are asked for one connection.
const MAX_WORKING: usize = 2;

/// The number of boxes that are asked for one connection.
const MAX_ASKED: usize = 4;

/// Why a box did not carry a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// It is cut off itself, stopping, or does not know the server.
    Unusable,
    /// It did not answer in time. A box that carried connections lately may only be slow: it is asked last.
    Silent,
    /// It carries as much as it can.
    Busy,
}

/// The boxes that may be asked, by preference: each group before the next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayCandidates {
    /// The boxes of this box's hall.
    pub own_hall: Vec<Ipv4Addr>,
    /// The boxes of other halls in this box's region.
    pub other_halls: Vec<Ipv4Addr>,
    /// The boxes of other regions that may see the request.
    pub other_regions: Vec<Ipv4Addr>,
}

/// Tracks which boxes carry connections for this one.
#[derive(Debug, Default)]
pub struct RelaySelector {
    working: BTreeMap<Ipv4Addr, Moment>,
    avoided_until: BTreeMap<Ipv4Addr, Moment>,
    /// Working boxes that did not answer in time, and until when they are asked last.
    slow_until: BTreeMap<Ipv4Addr, Moment>,
}

impl RelaySelector {
    /// Returns the boxes to ask for a connection, in order.
    pub fn select(
        &mut self,
        candidates: &RelayCandidates,
        rng: &mut impl Rng,
        now: Moment,
    ) -> Vec<Ipv4Addr> {
        self.forget_old(now);
        let RelayCandidates { own_hall, other_halls, other_regions } = candidates;
        let mut selected = self.pick(own_hall, true, MAX_WORKING, rng);
        if selected.is_empty() {
            selected = self.pick(other_halls, true, MAX_WORKING, rng);
        }
        if selected.is_empty() {
            selected = self.pick(other_regions, true, MAX_WORKING, rng);
        }
        for (group, limit) in
            [(own_hall, MAX_OWN_HALL), (other_halls, MAX_ASKED), (other_regions, MAX_ASKED)]
        {
            let limit = limit.min(MAX_ASKED.saturating_sub(selected.len()));
            selected.extend(self.pick(group, false, limit, rng));
        }
        let all = [own_hall, other_halls, other_regions].into_iter().flatten();
        let slow = all.filter(|ip| self.slow_until.contains_key(ip) && self.is_asked(ip));
        selected.extend(slow.take(MAX_WORKING));
        selected
    }

    fn is_asked(&self, ip: &Ipv4Addr) -> bool {
        !self.avoided_until.contains_key(ip)
    }

    /// Returns random boxes of a group that work, or that are not known to.
    fn pick(
        &self,
        group: &[Ipv4Addr],
        works: bool,
        limit: usize,
        rng: &mut impl Rng,
    ) -> Vec<Ipv4Addr> {
        let is_candidate = |ip: &&Ipv4Addr| {
            self.is_asked(ip)
                && !self.slow_until.contains_key(*ip)
                && self.working.contains_key(*ip) == works
        };
        let mut picked: Vec<Ipv4Addr> = group.iter().filter(is_candidate).copied().collect();
        picked.shuffle(rng);
        picked.truncate(limit);
        picked
    }

    /// Returns a box that carried a connection a moment ago, for other boxes. If there is none, one has to be looked for.
    pub fn working(&self, now: Moment) -> Option<Ipv4Addr> {
        let recent = self.working.iter().filter(|(_, at)| now.since(**at) < CONFIRMED_TTL);
        recent.max_by_key(|(_, at)| **at).map(|(ip, _)| *ip)
    }

    /// Records that a box carried a connection.
    pub fn record_working(&mut self, ip: Ipv4Addr, now: Moment) {
        self.working.insert(ip, now);
        self.avoided_until.remove(&ip);
        self.slow_until.remove(&ip);
    }

    /// Records that a box did not carry a connection.
    pub fn record_failure(&mut self, ip: Ipv4Addr, failure: RelayFailure, now: Moment) {
        let time = match failure {
            RelayFailure::Silent if self.working.contains_key(&ip) => {
                self.slow_until.insert(ip, now + AVOID_TIME);
                return;
            }
            RelayFailure::Unusable | RelayFailure::Silent => AVOID_TIME,
            RelayFailure::Busy => BUSY_TIME,
        };
        if failure == RelayFailure::Unusable {
            self.working.remove(&ip);
        }
        self.avoided_until.insert(ip, now + time);
    }

    /// Records that another box named a box that works.
    pub fn record_referral(&mut self, ip: Ipv4Addr, now: Moment) {
        if !self.avoided_until.contains_key(&ip) {
            self.working.entry(ip).or_insert(now);
        }
    }

    fn forget_old(&mut self, now: Moment) {
        self.working.retain(|_, at| now.since(*at) < WORKING_TTL);
        self.avoided_until.retain(|_, until| now < *until);
        self.slow_until.retain(|_, until| now < *until);
    }
}
