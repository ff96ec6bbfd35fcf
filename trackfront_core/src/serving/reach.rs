//! Whether this box itself is cut off from the servers.
//!
//! A server that has ended, a lost link to some servers, and a box that lost its links to all of them look alike at the
//! first connection that does not open. They differ in what other boxes see: a server that is reached through another
//! box is alive, and the fault lies with this box's link to it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::BackendId;
use crate::units::Moment;

/// The number of servers to which a connection must fail before this box counts as cut off from all.
const MIN_FAILED_SERVERS: usize = 2;

/// The time for which a failed connection counts.
const FAILURE_TTL: Duration = Duration::from_secs(3);

/// The time for which a server that was reached through another box is reached that way without a direct attempt.
const DETOUR_TTL: Duration = Duration::from_secs(2);

/// The maximum number of servers whose failures are kept.
const MAX_SERVERS: usize = 256;

/// How the next connection to a server is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// Directly, and through another box if that takes long.
    Direct,
    /// Through another box.
    Relayed,
}

/// A change of what this box believes about its links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// It is cut off from all servers.
    CutOff {
        /// The number of servers to which connections failed.
        failed_servers: usize,
        /// When the first of them failed.
        since: Moment,
    },
    /// It reaches servers again.
    Restored {
        /// How long it was cut off.
        after: Duration,
    },
}

/// What is known of this box's link to a server.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    failed_at: Option<Moment>,
    relayed_at: Option<Moment>,
}

/// Tracks which servers this box reaches by itself.
#[derive(Debug, Default)]
pub struct ReachTracker {
    links: BTreeMap<BackendId, Link>,
    cut_off_since: Option<Moment>,
    /// The first failure since a connection was last opened directly.
    failing_since: Option<Moment>,
    /// When a server was last reached directly.
    reached_at: Option<Moment>,
}

impl ReachTracker {
    /// Returns since when the connections of a cut-off box have been failing; `None` if it is not cut off.
    pub fn cut_off_since(&self) -> Option<Moment> {
        self.cut_off_since
    }

    /// Returns since when connections to several servers have been failing, whether or not this is known to be a cut.
    /// Connections that were opened before may carry nothing.
    pub fn failing_since(&self) -> Option<Moment> {
        let has_failed = self.failed().count() >= MIN_FAILED_SERVERS;
        self.cut_off_since.or(self.failing_since.filter(|_| has_failed))
    }

    /// Returns the time since a server was last reached directly; `None` before the first one.
    pub fn time_since_reached(&self, now: Moment) -> Option<Duration> {
        self.reached_at.map(|at| now.since(at))
    }

    /// Records that a server answered on a connection that was opened directly before.
    pub fn record_answer(&mut self, now: Moment) {
        if self.cut_off_since.is_none() {
            self.reached_at = Some(now);
        }
    }

    /// Returns how the next connection to a server is opened.
    pub fn path(&self, server: &BackendId, now: Moment) -> Path {
        let is_detour = self
            .links
            .get(server)
            .is_some_and(|link| link.relayed_at.is_some_and(|at| now.since(at) < DETOUR_TTL));
        match is_detour || self.failing_since().is_some() {
            true => Path::Relayed,
            false => Path::Direct,
        }
    }

    /// Records that a connection to a server opened directly.
    pub fn record_opened(&mut self, server: &BackendId, now: Moment) -> Option<ReachChange> {
        self.reached_at = Some(now);
        self.links.remove(server);
        for link in self.links.values_mut() {
            link.failed_at = None;
        }
        self.failing_since = None;
        let since = self.cut_off_since.take()?;
        self.links.clear();
        Some(ReachChange::Restored { after: now.since(since) })
    }

    /// Records that a connection to a server did not open directly.
    pub fn record_failed(&mut self, server: &BackendId, now: Moment) -> Option<ReachChange> {
        self.forget_old(now);
        if self.links.len() < MAX_SERVERS || self.links.contains_key(server) {
            self.links.entry(server.clone()).or_default().failed_at = Some(now);
        }
        self.failing_since.get_or_insert(now);
        self.judge()
    }

    /// Records that a server was reached through another box.
    pub fn record_relayed(&mut self, server: &BackendId, now: Moment) -> Option<ReachChange> {
        // Only a server that also failed directly says something about this box's link.
        self.links.get_mut(server)?.relayed_at = Some(now);
        self.judge()
    }

    /// Returns a server whose connections failed lately, if it is not known whether other boxes reach it. It is to be
    /// reached through another box, to find out whether this box is cut off.
    pub fn unconfirmed(&mut self, now: Moment) -> Option<BackendId> {
        self.forget_old(now);
        if self.cut_off_since.is_some() || self.failed().count() < MIN_FAILED_SERVERS {
            return None;
        }
        self.failed().next().cloned()
    }

    fn failed(&self) -> impl Iterator<Item = &BackendId> {
        self.links.iter().filter(|(_, link)| link.failed_at.is_some()).map(|(id, _)| id)
    }

    fn judge(&mut self) -> Option<ReachChange> {
        if self.cut_off_since.is_some() {
            return None;
        }
        let failed_servers = self.failed().count();
        let answers_elsewhere =
            self.links.values().any(|link| link.failed_at.is_some() && link.relayed_at.is_some());
        if failed_servers < MIN_FAILED_SERVERS || !answers_elsewhere {
            return None;
        }
        let since = self.failing_since?;
        self.cut_off_since = Some(since);
        Some(ReachChange::CutOff { failed_servers, since })
    }

    fn forget_old(&mut self, now: Moment) {
        if self.cut_off_since.is_some() {
            return;
        }
        self.links.retain(|_, link| {
            let is_recent =
                |at: Option<Moment>, ttl| at.is_some_and(|at: Moment| now.since(at) < ttl);
            is_recent(link.failed_at, FAILURE_TTL) || is_recent(link.relayed_at, DETOUR_TTL)
        });
        if self.failed().next().is_none() {
            self.failing_since = None;
        }
    }
}
