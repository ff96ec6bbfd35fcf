//! Permits for servers that named a limit of requests a second from all boxes together.
//!
//! One box coordinates the limit of each server, and every other box requests a permit from it before it sends a request
//! there, so any box may use what the others leave. The coordinator and the standby coordinator of a server are the first
//! two boxes by rendezvous hashing; the standby issues a fraction of the permits while the coordinator does not answer. A
//! coordinator that reaches only some of the boxes issues their part of the limit. So partitioned boxes together exceed
//! the limit only until they notice the partition, and then only by the standby's fraction.
//!
//! Nothing here sends or waits: [`PermitIssuer`] is the coordinator's side, [`PermitGates`] that of the requesting boxes.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::BackendId;
use crate::quota::{BoxId, rank_coordinators};
use crate::units::{Moment, scaled, secs_to_duration};

/// The fraction of a limit that the standby coordinator issues to boxes that get no answer from the coordinator.
const STANDBY_FRACTION: f64 = 0.25;

/// The lowest limit that is enforced, in requests a second. Only an answer shows that a limit has ended, so even a server
/// with a limit of zero gets a request now and then.
const MIN_PER_S: f64 = 0.2;

/// The longest interval between permits: that of one box out of a thousand alone at the lowest limit.
const MAX_INTERVAL: Duration = Duration::from_secs(5_000);

/// How far back unused permits may still be issued.
const CATCH_UP: Duration = Duration::from_millis(100);

/// How long a permit is valid. The requests in any window were permitted in a window longer by this.
const PERMIT_TTL: Duration = Duration::from_millis(300);

/// How long a coordinator that did not answer gets no requests for permits.
const UNRESPONSIVE_FOR: Duration = Duration::from_millis(3_000);

/// How long nothing is sent to a server while no coordinator answers.
const NO_COORDINATOR_WAIT: Duration = Duration::from_millis(400);

/// The shortest time that a gate is closed: meanwhile a request that got no permit chooses another server.
const MIN_CLOSED: Duration = Duration::from_millis(20);

/// The longest time that a gate is closed: the interval between permits at the lowest limit. A longer wait, as issued
/// during a partition, does not apply once that has ended.
const MAX_CLOSED: Duration = Duration::from_secs(5);

/// How long the state of a server is kept after its last permit.
const IDLE_TTL: Duration = Duration::from_secs(60);

/// The answer of a coordinator to a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitAnswer {
    /// A permit, which is valid after this time.
    GrantedIn(Duration),
    /// No permit: the next one is valid after this time, which is longer than the box waits.
    NotBefore(Duration),
}

/// A permit to send one request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The start of its validity.
    pub from: Moment,
}

impl Permit {
    /// Returns whether the permit is valid at `now`.
    pub fn is_usable(self, now: Moment) -> bool {
        now >= self.from && now.since(self.from) <= PERMIT_TTL
    }
}

/// Issues permits as the coordinator of servers.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    /// The next permit for each server, by the server's hash key.
    next: HashMap<u32, NextPermit>,
}

/// The next permit for a server.
#[derive(Clone, Copy, Debug)]
struct NextPermit {
    at: Moment,
    /// The interval between permits when `at` was set.
    interval: Duration,
}

impl NextPermit {
    /// Returns when the permit is due at another interval: the remaining wait is as many intervals as before.
    fn at(self, interval: Duration, now: Moment) -> Moment {
        if self.interval == interval || self.at <= now {
            return self.at;
        }
        let intervals = self.at.since(now).as_secs_f64() / self.interval.as_secs_f64();
        now + scaled(interval, intervals)
    }
}

impl PermitIssuer {
    /// Issues a permit for a server at a rate of `per_s` a second, if it is valid within `max_wait`; `server` is the
    /// server's hash key. The first one is valid only after an interval, since requests already in flight had no permit.
    pub fn request(
        &mut self,
        server: u32,
        per_s: f64,
        max_wait: Duration,
        now: Moment,
    ) -> PermitAnswer {
        let interval = secs_to_duration((1.0 / per_s).min(MAX_INTERVAL.as_secs_f64()));
        let next = self.next.entry(server).or_insert(NextPermit { at: now + interval, interval });
        let earliest = Moment(now.0.saturating_sub(CATCH_UP));
        let due = next.at(interval, now).max(earliest);
        let wait = due.since(now);
        let is_granted = wait <= max_wait;
        *next = NextPermit { at: if is_granted { due + interval } else { due }, interval };
        if is_granted { PermitAnswer::GrantedIn(wait) } else { PermitAnswer::NotBefore(wait) }
    }

    /// Drops the state of servers without recent permit requests.
    pub fn forget_old(&mut self, now: Moment) {
        self.next.retain(|_, next| now.since(next.at) < IDLE_TTL);
    }
}

/// Returns the rate, in permits a second, of a coordinator that reaches `reached` boxes of `all`, itself included in both.
pub fn coordinator_rate(limit: f64, reached: usize, all: usize, is_standby: bool) -> f64 {
    let reached_fraction = reached as f64 / all.max(reached).max(1) as f64;
    let standby_fraction = if is_standby { STANDBY_FRACTION } else { 1.0 };
    limit.max(MIN_PER_S) * reached_fraction * standby_fraction
}

/// The box that issues permits for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coordinator {
    /// The box; may be this one.
    pub id: BoxId,
    /// Whether it is the standby of a coordinator that does not answer.
    pub is_standby: bool,
}

/// Tracks when one box may request permits, and from which coordinator.
#[derive(Debug, Default)]
pub struct PermitGates {
    /// Until when nothing is sent to a server.
    closed: HashMap<BackendId, Moment>,
    /// Until when a coordinator gets no requests for permits.
    unresponsive: HashMap<BoxId, Moment>,
}

impl PermitGates {
    /// Returns until when nothing may be sent to a server; `None` if a permit may be requested.
    pub fn closed_until(&self, server: &BackendId, now: Moment) -> Option<Moment> {
        self.closed.get(server).copied().filter(|until| now < *until)
    }

    /// Returns the coordinator of a server among `boxes`, which may all be up; `server` is the server's hash key.
    pub fn coordinator(
        &self,
        server: u32,
        boxes: impl Iterator<Item = BoxId>,
        now: Moment,
    ) -> Option<Coordinator> {
        let ranked = rank_coordinators(server as usize, boxes);
        let mut ranked = ranked.into_iter().take(2).enumerate();
        let answers = |id: &BoxId| self.unresponsive.get(id).is_none_or(|until| now >= *until);
        let (index, id) = ranked.find(|(_, id)| answers(id))?;
        Some(Coordinator { id, is_standby: index > 0 })
    }

    /// Closes the gate of a server until its next permit, which is valid after `wait`.
    pub fn close(&mut self, server: &BackendId, wait: Duration, now: Moment) {
        self.closed.insert(server.clone(), now + wait.clamp(MIN_CLOSED, MAX_CLOSED));
    }

    /// Records that a coordinator did not answer.
    pub fn mark_unresponsive(&mut self, coordinator: BoxId, now: Moment) {
        self.unresponsive.insert(coordinator, now + UNRESPONSIVE_FOR);
    }

    /// Closes the gate of a server for which no coordinator answers.
    pub fn close_without_coordinator(&mut self, server: &BackendId, now: Moment) {
        self.close(server, NO_COORDINATOR_WAIT, now);
    }

    /// Drops expired entries.
    pub fn forget_old(&mut self, now: Moment) {
        self.closed.retain(|_, until| now < *until);
        self.unresponsive.retain(|_, until| now < *until);
    }
}
