//! Servers that are cold: for some seconds after a start they bear only so many requests a second, from all boxes
//! together, and fall over above that.
//!
//! Nobody is asked for a request. Each cold server has a few senders among the boxes, found by consistent hashing over
//! the list of boxes, and each of these sends it an even part of what it bears. Boxes that are cut off, that woke or
//! lost the store go by the list that they have, so they agree with the others but for boxes that came since. Half of
//! the room that is promised above the rate is left for those. Leased units, as for limits of accounts, would let any
//! box send; but their grants count for up to 0.3 s after they were given and a lost keeper's twice, which within a
//! window of one second is more than that room.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::BackendId;
use crate::units::Moment;

/// The part of the room above the rate that senders use; the rest is for boxes with another list.
const ROOM_PART: f64 = 0.5;

/// How far apart two words may be on the moment at which a server is no longer cold.
const SAME_MOMENT: Duration = Duration::from_millis(500);

/// What the servers of a service bear after a start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Requests a second.
    pub per_s: f64,
    /// How long they are cold after a start.
    pub lasts: Duration,
}

/// By how much the rate may be passed within one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartTolerance {
    /// A factor on the rate.
    pub overage: f64,
    /// Requests beside that.
    pub slack: f64,
}

impl ColdStartTolerance {
    /// Returns how many boxes may send to one cold server. Each may send one request more than its part.
    pub fn senders(self, per_s: f64) -> usize {
        let room = self.most(per_s) - per_s;
        (room * ROOM_PART).floor().max(1.0) as usize
    }

    /// Returns how many requests may arrive within one second.
    fn most(self, per_s: f64) -> f64 {
        per_s * self.overage + self.slack
    }

    /// Returns how many requests a second one of `senders` boxes may send.
    fn part(self, per_s: f64, senders: usize) -> f64 {
        let senders = senders as f64;
        (per_s / senders).min(self.most(per_s) / senders - 1.0).max(0.0)
    }
}

/// What this box may do with a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdState {
    /// It is not cold.
    Warm,
    /// It is cold, and this box may send it a request now.
    Admitting,
    /// It is cold until then, and this box may not send it anything now.
    Blocked(Moment),
}

/// The cold servers that this box knows, and its part of what they bear.
#[derive(Debug, Default)]
pub struct ColdTracker {
    me: u32,
    /// The boxes by their places on the ring.
    ring: Vec<(u64, u32)>,
    /// Until when servers are cold, by their own word in answers.
    told: HashMap<BackendId, Moment>,
    units: HashMap<BackendId, Units>,
}

/// What this box may still send to one server.
#[derive(Clone, Copy, Debug)]
struct Units {
    level: f64,
    at: Moment,
}

impl ColdTracker {
    /// Learns which boxes there are, this one among them. Before it did, a box sends nothing to cold servers.
    pub fn set_boxes(&mut self, me: u32, boxes: impl Iterator<Item = u32>) {
        self.me = me;
        self.ring = boxes.chain([me]).map(|one| (place(&one.to_le_bytes()), one)).collect();
        self.ring.sort_unstable();
        self.ring.dedup();
    }

    /// Notes until when a server is cold, by its own word in an answer. A later word goes before an earlier one. Returns
    /// whether that is news.
    pub fn apply_report(&mut self, server: &BackendId, remaining: Duration, now: Moment) -> bool {
        let until = now + remaining;
        let before = self.told.insert(server.clone(), until).unwrap_or_default();
        // Each answer says what is left; the moment is the same but for the way.
        let is_same = until.since(before).max(before.since(until)) < SAME_MOMENT;
        let is_over = until <= now && before <= now;
        !is_same && !is_over
    }

    /// Returns until when a server is cold by its word in answers.
    pub fn reported_until(&self, server: &BackendId) -> Option<Moment> {
        self.told.get(server).copied()
    }

    /// Returns the servers that are cold by their word in answers.
    pub fn reported_cold(&self, now: Moment) -> impl Iterator<Item = &BackendId> {
        let cold = self.told.iter().filter(move |(_, until)| now < **until);
        cold.map(|(server, _)| server)
    }

    /// Returns what may be done with a server that is cold until `until`.
    pub fn state(
        &self,
        server: &BackendId,
        start: ColdStart,
        terms: ColdStartTolerance,
        until: Moment,
        now: Moment,
    ) -> ColdState {
        if now >= until {
            return ColdState::Warm;
        }
        match self.level(server, start, terms, now) {
            Some(level) if level >= 1.0 => ColdState::Admitting,
            _ => ColdState::Blocked(until),
        }
    }

    /// Takes the right to send one request to a cold server. Returns whether there was one.
    pub fn take(
        &mut self,
        server: &BackendId,
        start: ColdStart,
        terms: ColdStartTolerance,
        now: Moment,
    ) -> bool {
        let Some(level) = self.level(server, start, terms, now).filter(|level| *level >= 1.0)
        else {
            return false;
        };
        self.units.insert(server.clone(), Units { level: level - 1.0, at: now });
        true
    }

    /// Forgets a server that has left.
    pub fn forget(&mut self, server: &BackendId) {
        self.told.remove(server);
        self.units.remove(server);
    }

    /// Returns how much this box may send now; `None` if it is none of the server's senders.
    fn level(
        &self,
        server: &BackendId,
        start: ColdStart,
        terms: ColdStartTolerance,
        now: Moment,
    ) -> Option<f64> {
        let senders = terms.senders(start.per_s).min(self.ring.len());
        if !self.is_sender(server, senders) {
            return None;
        }
        let Some(units) = self.units.get(server) else {
            return Some(1.0);
        };
        let gained = terms.part(start.per_s, senders) * now.since(units.at).as_secs_f64();
        Some((units.level + gained).min(1.0))
    }

    /// Returns whether this box is among the first `senders` after the server's place on the ring.
    fn is_sender(&self, server: &BackendId, senders: usize) -> bool {
        let at = place(server.as_str().as_bytes());
        let first = self.ring.partition_point(|(place, _)| *place < at);
        let from_there = self.ring.iter().cycle().skip(first);
        from_there.take(senders).any(|(_, one)| *one == self.me)
    }
}

fn place(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a hash has 32 bytes"))
}
