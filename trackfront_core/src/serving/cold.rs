//! Rate limits of cold servers. For some seconds after a start a server can handle only a few requests a second from
//! all boxes together, and fails above that.
//!
//! Boxes exchange no messages about single requests. Consistent hashing over the list of boxes assigns a few senders to
//! each cold server, and each of these sends an even part of the server's rate. Boxes that are partitioned, resumed
//! from a suspension or without the store use the list that they have, so their senders differ only by boxes that
//! joined since. Half of the promised headroom above the rate is left for those. Leased quota, as for account limits,
//! would let any box send; but its grants stay usable for up to 0.3 s, and those of a lost coordinator are counted
//! twice, which exceeds the headroom within a window of one second.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::BackendId;
use crate::units::Moment;

/// The fraction of the headroom above the rate that senders use; the rest is for boxes with another list.
const USED_HEADROOM_FRACTION: f64 = 0.5;

/// How far two reports of the end of a cold start may differ and count as the same: the network delay varies.
const SAME_END_TOLERANCE: Duration = Duration::from_millis(500);

/// The limit on requests to the servers of a service after a start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Requests a second, from all boxes together.
    pub per_s: f64,
    /// How long a server is cold after a start.
    pub lasts: Duration,
}

/// How far the rate of a cold server may be exceeded within one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartTolerance {
    /// The factor on the rate.
    pub overage: f64,
    /// The number of requests on top of that.
    pub slack: f64,
}

impl ColdStartTolerance {
    /// Returns how many boxes may send to one cold server. Each may exceed its part by one request.
    pub fn senders(self, per_s: f64) -> usize {
        let headroom = self.max_per_s(per_s) - per_s;
        (headroom * USED_HEADROOM_FRACTION).floor().max(1.0) as usize
    }

    /// Returns how many requests may arrive within one second.
    fn max_per_s(self, per_s: f64) -> f64 {
        per_s * self.overage + self.slack
    }

    /// Returns how many requests a second each of `senders` boxes may send.
    fn sender_per_s(self, per_s: f64, senders: usize) -> f64 {
        let senders = senders as f64;
        (per_s / senders).min(self.max_per_s(per_s) / senders - 1.0).max(0.0)
    }
}

/// Whether a server is cold, and whether this box may send to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdState {
    /// The server is not cold.
    Warm,
    /// The server is cold, and this box may send it a request now.
    Admitting,
    /// The server is cold until this moment, and this box may not send it a request now.
    Blocked(Moment),
}

/// Tracks the cold servers that this box knows, and its part of their rates.
#[derive(Debug, Default)]
pub struct ColdTracker {
    own_box: u32,
    /// The boxes by their positions on the hash ring.
    ring: Vec<(u64, u32)>,
    /// Until when servers are cold, as they reported in answers.
    reported: HashMap<BackendId, Moment>,
    buckets: HashMap<BackendId, TokenBucket>,
}

/// The token bucket of this box for one server.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    updated: Moment,
}

impl ColdTracker {
    /// Sets the list of boxes; `own_box` is added to it. Without a list nothing is sent to cold servers.
    pub fn set_boxes(&mut self, own_box: u32, boxes: impl Iterator<Item = u32>) {
        self.own_box = own_box;
        let all = boxes.chain([own_box]);
        self.ring = all.map(|id| (ring_position(&id.to_le_bytes()), id)).collect();
        self.ring.sort_unstable();
        self.ring.dedup();
    }

    /// Applies the remaining time of a cold start that a server reported in an answer; the latest report holds.
    /// Returns whether that changes the known end.
    pub fn apply_report(&mut self, server: &BackendId, remaining: Duration, now: Moment) -> bool {
        let until = now + remaining;
        let before = self.reported.insert(server.clone(), until).unwrap_or_default();
        // Each answer has the remaining time, so the computed end varies by the network delay.
        let is_same = until.since(before).max(before.since(until)) < SAME_END_TOLERANCE;
        let is_over = until <= now && before <= now;
        !is_same && !is_over
    }

    /// Returns until when a server is cold, as it reported in answers.
    pub fn reported_until(&self, server: &BackendId) -> Option<Moment> {
        self.reported.get(server).copied()
    }

    /// Returns the servers that are cold, as they reported in answers.
    pub fn reported_cold(&self, now: Moment) -> impl Iterator<Item = &BackendId> {
        let cold = self.reported.iter().filter(move |(_, until)| now < **until);
        cold.map(|(server, _)| server)
    }

    /// Returns the state of a server that is cold until `until`.
    pub fn state(
        &self,
        server: &BackendId,
        start: ColdStart,
        tolerance: ColdStartTolerance,
        until: Moment,
        now: Moment,
    ) -> ColdState {
        if now >= until {
            return ColdState::Warm;
        }
        match self.tokens(server, start, tolerance, now) {
            Some(tokens) if tokens >= 1.0 => ColdState::Admitting,
            _ => ColdState::Blocked(until),
        }
    }

    /// Takes a token for one request to a cold server. Returns whether there was one.
    pub fn try_take(
        &mut self,
        server: &BackendId,
        start: ColdStart,
        tolerance: ColdStartTolerance,
        now: Moment,
    ) -> bool {
        let tokens = self.tokens(server, start, tolerance, now);
        let Some(tokens) = tokens.filter(|tokens| *tokens >= 1.0) else {
            return false;
        };
        let bucket = TokenBucket { tokens: tokens - 1.0, updated: now };
        self.buckets.insert(server.clone(), bucket);
        true
    }

    /// Drops a server that has left.
    pub fn forget(&mut self, server: &BackendId) {
        self.reported.remove(server);
        self.buckets.remove(server);
    }

    /// Returns the tokens that this box has for a server; `None` if it is none of the server's senders.
    fn tokens(
        &self,
        server: &BackendId,
        start: ColdStart,
        tolerance: ColdStartTolerance,
        now: Moment,
    ) -> Option<f64> {
        let senders = tolerance.senders(start.per_s).min(self.ring.len());
        if !self.is_sender(server, senders) {
            return None;
        }
        let Some(bucket) = self.buckets.get(server) else {
            return Some(1.0);
        };
        let per_s = tolerance.sender_per_s(start.per_s, senders);
        let gained = per_s * now.since(bucket.updated).as_secs_f64();
        Some((bucket.tokens + gained).min(1.0))
    }

    /// Returns whether this box is among the first `senders` after the server's position on the ring.
    fn is_sender(&self, server: &BackendId, senders: usize) -> bool {
        let server = ring_position(server.as_str().as_bytes());
        let first = self.ring.partition_point(|(position, _)| *position < server);
        let following = self.ring.iter().cycle().skip(first);
        following.take(senders).any(|(_, id)| *id == self.own_box)
    }
}

fn ring_position(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a hash has 32 bytes"))
}
