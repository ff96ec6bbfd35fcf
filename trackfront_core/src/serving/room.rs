//! Room at brittle servers, which fall over if they have to reject more than a few requests a second.
//!
//! One box coordinates the room of each brittle server: every request takes a grant from it before it is sent there, and
//! returns it when it has ended there, so that all boxes together send no more than the server has slots. If none is
//! free, the request waits in the coordinator's queue. How much room there really is only shows when the server rejects a
//! request; the coordinator then grants less for a while.
//!
//! Nothing here sends or waits.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::quota::BoxId;
use crate::units::Moment;

/// The share of a server's slots that is granted: a new connection may take a slot for a moment.
const GRANTED_SHARE: f64 = 0.9;

/// The share of the standing grants that remains after a rejection.
const REJECTION_FACTOR: f64 = 0.75;

/// The time after a rejection in which nothing is granted: requests that are under way may be rejected as well.
const CLOSED_TIME: Duration = Duration::from_millis(300);

/// The part of the slots by which the granted room grows in a second after a rejection.
const GROWTH_PER_S: f64 = 0.05;

/// The number of waiting requests for each grant, beyond which further ones are refused at once.
const MAX_WAITING_PER_GRANT: f64 = 2.0;

/// The wait that a refused request is told.
pub const REFUSED_WAIT: Duration = Duration::from_millis(50);

/// How long the state of a server is kept after its last request.
const IDLE_TTL: Duration = Duration::from_secs(60);

/// Identifies a grant: the box that requested it, and that box's number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GrantId {
    /// The requesting box.
    pub holder: BoxId,
    /// The number of the request at that box.
    pub number: u32,
}

/// A request for a grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantRequest {
    /// Identifies it.
    pub id: GrantId,
    /// The slots of the server that this coordinator may grant.
    pub slots: f64,
    /// How long it can wait for a grant.
    pub max_wait: Duration,
    /// How long the grant may last, in case that its return is lost.
    pub max_time: Duration,
}

/// The answer to a request for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomAnswer {
    /// The request may be sent.
    Granted,
    /// The request waits; it is granted by a later return.
    Waits,
    /// There is no room; it may be asked for again after this time.
    NotBefore(Duration),
}

/// Requests that no longer wait.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// Those that may be sent.
    pub granted: Vec<GrantId>,
    /// Those that have waited as long as they can.
    pub refused: Vec<GrantId>,
}

/// The grants of one server.
#[derive(Debug, Default)]
struct ServerRoom {
    /// The standing grants, and when each ends at the latest.
    granted: HashMap<GrantId, Moment>,
    /// The waiting requests, and until when each waits.
    waiting: VecDeque<(GrantRequest, Moment)>,
    /// Requests that were there before this coordinator knew the server, and until when they may be: grants of an earlier
    /// coordinator, or of this box before it was started again.
    inherited: Option<(usize, Moment)>,
    /// The room after a rejection, and when the rejection was.
    reduced: Option<(f64, Moment)>,
    used_at: Moment,
}

impl ServerRoom {
    /// Returns the number of grants that may stand.
    fn most(&self, slots: f64, now: Moment) -> usize {
        let full = (slots * GRANTED_SHARE).floor().max(1.0);
        let most = match self.reduced {
            Some((_, at)) if now.since(at) < CLOSED_TIME => 0.0,
            Some((room, at)) => {
                let grown = slots * GROWTH_PER_S * now.since(at).as_secs_f64();
                (room + grown).min(full)
            }
            None => full,
        };
        most as usize
    }

    /// Returns the number of grants that stand, inherited ones among them.
    fn standing(&self, now: Moment) -> usize {
        let inherited = self.inherited.filter(|(_, until)| now < *until);
        self.granted.len() + inherited.map_or(0, |(count, _)| count)
    }

    /// Drops expired grants, and returns the requests that have waited as long as they can.
    fn drop_expired(&mut self, now: Moment) -> Vec<GrantId> {
        self.granted.retain(|_, until| now < *until);
        let mut refused = Vec::new();
        self.waiting.retain(|(request, until)| {
            let is_expired = now >= *until;
            if is_expired {
                refused.push(request.id);
            }
            !is_expired
        });
        refused
    }

    /// Grants waiting requests as far as there is room, and refuses those that have waited as long as they can.
    fn settle(&mut self, now: Moment) -> Settled {
        let refused = self.drop_expired(now);
        let mut granted = Vec::new();
        while let Some((request, _)) = self.waiting.front().copied() {
            if self.standing(now) >= self.most(request.slots, now) {
                break;
            }
            self.waiting.pop_front();
            self.granted.insert(request.id, now + request.max_time);
            granted.push(request.id);
        }
        Settled { granted, refused }
    }
}

/// Grants room as the coordinator of servers, by the hash keys of these.
#[derive(Debug, Default)]
pub struct RoomIssuer {
    servers: HashMap<u32, ServerRoom>,
}

impl RoomIssuer {
    /// Handles a request for room at a server, where `known` requests are as far as boxes have told. Those count until
    /// they are returned, if this is the first request for the server here.
    pub fn request(
        &mut self,
        server: u32,
        request: GrantRequest,
        known: usize,
        now: Moment,
    ) -> RoomAnswer {
        let inherited = || ServerRoom {
            inherited: (known > 0).then_some((known, now + request.max_time)),
            ..ServerRoom::default()
        };
        let room = self.servers.entry(server).or_insert_with(inherited);
        room.used_at = now;
        room.granted.retain(|_, until| now < *until);
        let most = room.most(request.slots, now);
        if room.standing(now) < most && room.waiting.is_empty() {
            room.granted.insert(request.id, now + request.max_time);
            return RoomAnswer::Granted;
        }
        let max_waiting = (most.max(1) as f64 * MAX_WAITING_PER_GRANT) as usize;
        if request.max_wait.is_zero() || room.waiting.len() >= max_waiting {
            return RoomAnswer::NotBefore(REFUSED_WAIT);
        }
        room.waiting.push_back((request, now + request.max_wait));
        RoomAnswer::Waits
    }

    /// Returns a grant, or withdraws a waiting request. Returns what becomes of the waiting ones.
    pub fn release(
        &mut self,
        server: u32,
        id: GrantId,
        was_rejected: bool,
        now: Moment,
    ) -> Settled {
        let Some(room) = self.servers.get_mut(&server) else {
            return Settled::default();
        };
        room.used_at = now;
        if was_rejected {
            let standing = room.standing(now) as f64;
            let before = match room.reduced {
                // Of requests that were rejected together only the first one counts.
                Some((most, at)) if now.since(at) < CLOSED_TIME => most,
                _ => standing * REJECTION_FACTOR,
            };
            room.reduced = Some((before.max(1.0), now));
        }
        let is_known = room.granted.remove(&id).is_some();
        let waiting = room.waiting.len();
        room.waiting.retain(|(request, _)| request.id != id);
        if !is_known && room.waiting.len() == waiting {
            // It was granted before.
            room.inherited =
                room.inherited.and_then(|(count, until)| Some((count.checked_sub(1)?, until)));
        }
        room.settle(now)
    }

    /// Settles requests that wait although there is room, since a grant has expired or a rejection is long past, and those
    /// that have waited as long as they can.
    pub fn settle(&mut self, now: Moment) -> Settled {
        let mut settled = Settled::default();
        for room in self.servers.values_mut() {
            let Settled { granted, refused } = room.settle(now);
            settled.granted.extend(granted);
            settled.refused.extend(refused);
        }
        settled
    }

    /// Returns whether any request waits.
    pub fn has_waiting(&self) -> bool {
        self.servers.values().any(|room| !room.waiting.is_empty())
    }

    /// Drops the state of servers that are no longer asked for.
    pub fn forget_old(&mut self, now: Moment) {
        self.servers
            .retain(|_, room| !room.granted.is_empty() || now.since(room.used_at) < IDLE_TTL);
    }
}
