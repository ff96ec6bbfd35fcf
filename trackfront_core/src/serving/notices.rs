//! Notices that servers send with their answers: that they leave, how many requests a second they accept from all boxes
//! together, and for how long this box should back off.
//!
//! A notice is about one incarnation of a server, and newer than its row, which comes through the platform's table and
//! is late by any outage of that. So a row never overrides a notice. A server ends a limit by no longer naming it in its
//! answers. Such an answer counts only if its request was sent after the limit was last named, since answers may
//! overtake each other.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{BackendId, ServiceName};
use crate::serving::permits::Permit;
use crate::units::Moment;

/// How long notices of an unlisted server are kept: its row may expire and be written again.
const UNLISTED_TTL: Duration = Duration::from_secs(120);

/// How long the word of one server of a service that it is brittle counts for another that has said nothing.
const SERVICE_BRITTLE_TTL: Duration = Duration::from_secs(10);

/// The limit that a server names in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// No limit.
    #[default]
    Absent,
    /// A limit that cannot be parsed: neither a new limit nor the end of the previous one.
    Unreadable,
    /// The most requests a second from all boxes together.
    PerSecond(f64),
}

/// The notices in one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the server leaves.
    pub leaves: bool,
    /// The limit that it names.
    pub limit: NamedLimit,
    /// For how long this box should send it no requests.
    pub back_off: Option<Duration>,
    /// The number of requests a second that it can reject before it falls over, if it is brittle.
    pub brittle: NamedLimit,
}

/// The answer that a notice arrived with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeSource {
    /// When its request was sent, or an earlier moment.
    pub sent: Moment,
    /// Whether it is a genuine answer to that request, so that an absent limit means that there is none.
    pub is_answer: bool,
}

/// A change of what is known of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoticeChange {
    /// The server leaves.
    Leaves,
    /// The server has a new limit, in requests a second.
    Limited(f64),
    /// The server's limit has ended.
    Unlimited,
    /// The server falls over if it rejects more than this many requests a second.
    Brittle(f64),
    /// The server is no longer brittle.
    Sturdy,
    /// The server, which accepted requests before, wants none from this box for this time.
    BacksOff(Duration),
}

/// A limit of a server as it last named it, or the end of that limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLimit {
    /// Requests a second; `None` once the limit has ended.
    pub per_s: Option<f64>,
    /// When the server last stated this.
    pub at: Moment,
    /// When the server first stated this.
    pub since: Moment,
}

/// Tracks the notices of servers that one box knows.
#[derive(Debug, Default)]
pub struct NoticeTracker {
    /// When this box learned that a server leaves.
    leaving: HashMap<BackendId, Moment>,
    limits: HashMap<BackendId, KnownLimit>,
    /// Until when a server wants no requests.
    back_off: HashMap<BackendId, Moment>,
    /// The rejections a second that brittle servers bear.
    brittle: HashMap<BackendId, KnownLimit>,
    /// When a server of a service last said that it is brittle.
    brittle_services: HashMap<ServiceName, Moment>,
}

impl NoticeTracker {
    /// Applies the notices of an answer. Returns the changes.
    pub fn apply(
        &mut self,
        server: &BackendId,
        notice: &Notice,
        source: NoticeSource,
        now: Moment,
    ) -> Vec<NoticeChange> {
        let mut changes = Vec::new();
        if notice.leaves {
            changes.extend(self.mark_leaving(server, now));
        }
        if let Some(per_s) = stated(&self.limits, server, notice.limit, source) {
            changes.extend(self.apply_limit(server, per_s, now));
        }
        if let Some(per_s) = stated(&self.brittle, server, notice.brittle, source) {
            changes.extend(self.apply_brittle(server, per_s, now));
        }
        if let Some(wait) = notice.back_off {
            changes.extend(self.mark_backing_off(server, wait, now));
        }
        changes
    }

    /// Records that a server wants no requests from this box for a while. Returns the change, if it is new.
    pub fn mark_backing_off(
        &mut self,
        server: &BackendId,
        wait: Duration,
        now: Moment,
    ) -> Option<NoticeChange> {
        let until = self.back_off.entry(server.clone()).or_default();
        let is_news = *until <= now;
        // Each answer has its own time; a later, shorter one does not end an earlier one.
        *until = (*until).max(now + wait);
        is_news.then_some(NoticeChange::BacksOff(wait))
    }

    /// Records that a server leaves, reported by itself or by another box. Returns the change, if it is new.
    pub fn mark_leaving(&mut self, server: &BackendId, now: Moment) -> Option<NoticeChange> {
        let is_news = !self.leaving.contains_key(server);
        self.leaving.entry(server.clone()).or_insert(now);
        is_news.then_some(NoticeChange::Leaves)
    }

    /// Applies a limit, or with `None` its end, that the server stated at `at`. The latest statement holds. Returns the
    /// change.
    pub fn apply_limit(
        &mut self,
        server: &BackendId,
        per_s: Option<f64>,
        at: Moment,
    ) -> Option<NoticeChange> {
        let is_news = apply_statement(&mut self.limits, server, per_s, at);
        is_news.then_some(per_s.map_or(NoticeChange::Unlimited, NoticeChange::Limited))
    }

    /// Applies how many rejections a second a server bears, or with `None` that it is no longer brittle, as it stated at
    /// `at`. The latest statement holds. Returns the change.
    pub fn apply_brittle(
        &mut self,
        server: &BackendId,
        per_s: Option<f64>,
        at: Moment,
    ) -> Option<NoticeChange> {
        let is_news = apply_statement(&mut self.brittle, server, per_s, at);
        is_news.then_some(per_s.map_or(NoticeChange::Sturdy, NoticeChange::Brittle))
    }

    /// Records that a server of a service is brittle; all of its servers are at the same time.
    pub fn mark_service_brittle(&mut self, service: &ServiceName, at: Moment) {
        let known = self.brittle_services.entry(service.clone()).or_insert(at);
        *known = (*known).max(at);
    }

    /// Returns whether a server is brittle: by its own last word, or else by that of the service's other servers. A server
    /// that fell over has said nothing yet when it is back.
    pub fn is_brittle(&self, server: &BackendId, service: &ServiceName, now: Moment) -> bool {
        match self.brittle.get(server) {
            Some(stated) => stated.per_s.is_some(),
            None => {
                let others = self.brittle_services.get(service);
                others.is_some_and(|at| now.since(*at) < SERVICE_BRITTLE_TTL)
            }
        }
    }

    /// Returns the last statement on how many rejections a second a server bears.
    pub fn known_brittle(&self, server: &BackendId) -> Option<KnownLimit> {
        self.brittle.get(server).copied()
    }

    /// Returns the servers that are brittle.
    pub fn brittle(&self) -> impl Iterator<Item = &BackendId> {
        let brittle = self.brittle.iter().filter(|(_, stated)| stated.per_s.is_some());
        brittle.map(|(server, _)| server)
    }

    /// Returns when this box learned that a server leaves.
    pub fn leaving_since(&self, server: &BackendId) -> Option<Moment> {
        self.leaving.get(server).copied()
    }

    /// Returns the last statement on a server's limit, which may be its end.
    pub fn known_limit(&self, server: &BackendId) -> Option<KnownLimit> {
        self.limits.get(server).copied()
    }

    /// Returns the limit of a server, in requests a second, if it has one.
    pub fn limit_per_s(&self, server: &BackendId) -> Option<f64> {
        self.limits.get(server)?.per_s
    }

    /// Returns until when a server wants no requests from this box, if that moment is still to come.
    pub fn backoff_until(&self, server: &BackendId, now: Moment) -> Option<Moment> {
        self.back_off.get(server).copied().filter(|until| now < *until)
    }

    /// Returns whether a server may get a request now, with a permit if one was issued. Call this last before a send,
    /// since opening a connection or waiting for a permit takes time.
    pub fn admits(&self, server: &BackendId, permit: Option<Permit>, now: Moment) -> bool {
        let has_permit = || permit.is_some_and(|permit| permit.is_usable(now));
        let backs_off = self.backoff_until(server, now).is_some();
        !backs_off && (self.limit_per_s(server).is_none() || has_permit())
    }

    /// Returns the servers that leave.
    pub fn leaving(&self) -> impl Iterator<Item = &BackendId> {
        self.leaving.keys()
    }

    /// Returns the servers that have a limit.
    pub fn limits(&self) -> impl Iterator<Item = (&BackendId, KnownLimit)> {
        let limited = self.limits.iter().filter(|(_, limit)| limit.per_s.is_some());
        limited.map(|(server, limit)| (server, *limit))
    }

    /// Returns the number of servers that want no requests from this box now.
    pub fn backing_off_count(&self, now: Moment) -> usize {
        self.back_off.values().filter(|until| now < **until).count()
    }

    /// Drops expired notices, and notices of servers that have been unlisted for long.
    pub fn forget_old(&mut self, is_listed: impl Fn(&BackendId) -> bool, now: Moment) {
        let is_kept =
            |server: &BackendId, at: Moment| is_listed(server) || now.since(at) < UNLISTED_TTL;
        self.leaving.retain(|server, since| is_kept(server, *since));
        self.limits.retain(|server, limit| {
            let is_over = limit.per_s.is_none() && now.since(limit.at) >= UNLISTED_TTL;
            !is_over && is_kept(server, limit.at)
        });
        self.back_off.retain(|_, until| now < *until);
        self.brittle.retain(|server, stated| is_kept(server, stated.at));
        self.brittle_services.retain(|_, at| now.since(*at) < SERVICE_BRITTLE_TTL);
    }
}

/// Returns what an answer states about a limit, `Some(None)` for its end; `None` if it states nothing.
fn stated(
    known: &HashMap<BackendId, KnownLimit>,
    server: &BackendId,
    named: NamedLimit,
    source: NoticeSource,
) -> Option<Option<f64>> {
    match named {
        NamedLimit::PerSecond(per_s) => Some(Some(per_s)),
        NamedLimit::Absent if source.is_answer => {
            let before = known.get(server).filter(|limit| limit.per_s.is_some());
            before.is_some_and(|limit| limit.at < source.sent).then_some(None)
        }
        NamedLimit::Absent | NamedLimit::Unreadable => None,
    }
}

/// Applies a statement unless a later one is known. Returns whether it changes what is known.
fn apply_statement(
    known: &mut HashMap<BackendId, KnownLimit>,
    server: &BackendId,
    per_s: Option<f64>,
    at: Moment,
) -> bool {
    let before = known.get(server).copied();
    if before.is_some_and(|before| before.at > at) {
        return false;
    }
    let is_same = before.map_or(per_s.is_none(), |before| before.per_s == per_s);
    let since = before.filter(|_| is_same).map_or(at, |before| before.since);
    known.insert(server.clone(), KnownLimit { per_s, at, since });
    !is_same
}
