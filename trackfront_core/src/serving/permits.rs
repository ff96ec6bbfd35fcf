//! Permits at servers that named a limit: a few requests a second from all boxes together.
//!
//! One box keeps the count for each server, and whoever wants to send there asks it for a turn, so that any box may use
//! what the others leave. The keepers of a server are the first two boxes in an order that all boxes find by rendezvous
//! hashing; the second gives a part of the turns while the first does not answer. A keeper that reaches only some of all
//! boxes gives the part of the limit that is theirs: boxes that are cut apart give no more than the limit together but
//! for the time until they notice, and then the second keeper's part more.
//!
//! Nothing here sends or waits: [`PermitIssuer`] is the keeper's side, [`PermitGates`] that of the boxes that ask.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::BackendId;
use crate::quota::{BoxId, keepers};
use crate::units::Moment;

/// The part of a limit that the second keeper gives while the first does not answer whoever asks.
const STAND_IN_PART: f64 = 0.25;

/// The least limit that is kept, in requests a second: an answer alone tells that a limit is over, so that a server which
/// named none at all is asked now and then.
const LEAST_PER_S: f64 = 0.2;

/// How far apart turns are at the most: that much is a box alone out of a thousand given at the least limit.
const LONGEST_APART: Duration = Duration::from_secs(5_000);

/// How long turns that nobody took may be made up for.
const MADE_UP_FOR: Duration = Duration::from_millis(100);

/// How long a turn may be used once it has come: what passes in a window was given in one longer by this.
const TURN_FOR: Duration = Duration::from_millis(300);

/// How long a keeper that did not answer is not asked again.
const SILENT_FOR: Duration = Duration::from_millis(3_000);

/// How long nothing is sent to a server while no keeper answers.
const UNKNOWN_WAIT: Duration = Duration::from_millis(400);

/// The least time that a gate is shut: a request that was refused a turn chooses another server meanwhile.
const LEAST_SHUT: Duration = Duration::from_millis(20);

/// The longest time, which is how far apart turns of the least limit are: what a box is told that was cut off holds for
/// no longer.
const LONGEST_SHUT: Duration = Duration::from_secs(5);

/// How long the count for a server is kept after its last turn.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// What a keeper says to a box that asks for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitAnswer {
    /// The box has the turn that comes in so long.
    GrantedIn(Duration),
    /// The next turn comes later than the box waits, in so long.
    NotBefore(Duration),
}

/// A turn that a box took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// From when on it may be used.
    pub from: Moment,
}

impl Permit {
    /// Returns whether it may be used at `now`.
    pub fn is_usable(self, now: Moment) -> bool {
        now >= self.from && now.since(self.from) <= TURN_FOR
    }
}

/// The turns that one box gives as a keeper.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    /// The next turn at each server, by its place in the order of keepers.
    next: HashMap<u32, Next>,
}

/// The next turn at a server.
#[derive(Clone, Copy, Debug)]
struct Next {
    at: Moment,
    /// How far apart turns were when that was set.
    apart: Duration,
}

impl Next {
    /// Returns when it is where turns are `apart`: what is left of the wait is as many turns.
    fn at(self, apart: Duration, now: Moment) -> Moment {
        if self.apart == apart || self.at <= now {
            return self.at;
        }
        let turns = self.at.since(now).as_secs_f64() / self.apart.as_secs_f64();
        now + apart.mul_f64(turns)
    }
}

impl PermitIssuer {
    /// Gives a turn at the server at `place` that takes `per_s` requests a second from the boxes that ask here, if it
    /// comes within `patience`. Before the first one a turn's time passes: what boxes have under way came without any.
    pub fn request(
        &mut self,
        place: u32,
        per_s: f64,
        patience: Duration,
        now: Moment,
    ) -> PermitAnswer {
        let apart = Duration::from_secs_f64((1.0 / per_s).min(LONGEST_APART.as_secs_f64()));
        let next = self.next.entry(place).or_insert(Next { at: now + apart, apart });
        let made_up = Moment(now.0.saturating_sub(MADE_UP_FOR));
        let turn = next.at(apart, now).max(made_up);
        let wait = turn.since(now);
        let is_given = wait <= patience;
        *next = Next { at: if is_given { turn + apart } else { turn }, apart };
        if is_given { PermitAnswer::GrantedIn(wait) } else { PermitAnswer::NotBefore(wait) }
    }

    /// Forgets servers that nobody has asked for in a while.
    pub fn forget_old(&mut self, now: Moment) {
        self.next.retain(|_, next| now.since(next.at) < KEPT_FOR);
    }
}

/// Returns how much of a limit a keeper gives a second that reaches `reached` boxes of `all`, itself included in both.
pub fn coordinator_rate(limit: f64, reached: usize, all: usize, is_standby: bool) -> f64 {
    let part = reached as f64 / all.max(reached).max(1) as f64;
    let stand_in_part = if is_standby { STAND_IN_PART } else { 1.0 };
    limit.max(LEAST_PER_S) * part * stand_in_part
}

/// The box to ask for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coordinator {
    /// The box, perhaps the own one.
    pub id: BoxId,
    /// Whether it stands in for the first keeper, which does not answer.
    pub is_standby: bool,
}

/// What one box knows of when it may send to servers that named a limit, and whom to ask.
#[derive(Debug, Default)]
pub struct PermitGates {
    /// Until when nothing is sent to a server.
    closed: HashMap<BackendId, Moment>,
    /// Until when a keeper is not asked.
    unresponsive: HashMap<BoxId, Moment>,
}

impl PermitGates {
    /// Returns until when nothing may be sent to a server; `None` if a turn may be asked for.
    pub fn closed_until(&self, server: &BackendId, now: Moment) -> Option<Moment> {
        self.closed.get(server).copied().filter(|until| now < *until)
    }

    /// Returns the keeper to ask for a turn at a server, of all boxes that may be up; `place` is the server's place in
    /// the order of keepers.
    pub fn coordinator(
        &self,
        place: u32,
        boxes: impl Iterator<Item = BoxId>,
        now: Moment,
    ) -> Option<Coordinator> {
        let ranked = keepers(place as usize, boxes);
        let mut ranked = ranked.into_iter().take(2).enumerate();
        let answers = |id: &BoxId| self.unresponsive.get(id).is_none_or(|until| now >= *until);
        let (rank, id) = ranked.find(|(_, id)| answers(id))?;
        Some(Coordinator { id, is_standby: rank > 0 })
    }

    /// Notes that the next turn at a server comes in so long.
    pub fn close(&mut self, server: &BackendId, wait: Duration, now: Moment) {
        self.closed.insert(server.clone(), now + wait.clamp(LEAST_SHUT, LONGEST_SHUT));
    }

    /// Notes that a keeper did not answer.
    pub fn mark_unresponsive(&mut self, keeper: BoxId, now: Moment) {
        self.unresponsive.insert(keeper, now + SILENT_FOR);
    }

    /// Notes that no keeper answers for a server.
    pub fn close_without_coordinator(&mut self, server: &BackendId, now: Moment) {
        self.close(server, UNKNOWN_WAIT, now);
    }

    /// Forgets what is over.
    pub fn forget_old(&mut self, now: Moment) {
        self.closed.retain(|_, until| now < *until);
        self.unresponsive.retain(|_, until| now < *until);
    }
}
