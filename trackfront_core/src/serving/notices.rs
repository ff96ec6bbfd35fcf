//! What servers say of themselves in their answers: that they leave, how many requests a second they take from all
//! boxes together, and for how long they want none from this one.
//!
//! A notice is about one run of a server, and newer than its row, which comes by the platform's table and may be late by
//! as long as that is away. So a row never undoes a notice. That a limit is over is said by no word, only by an answer
//! without one; such an answer counts only if its request was sent after the limit was last named, since answers may
//! overtake each other.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::BackendId;
use crate::serving::permits::Permit;
use crate::units::Moment;

/// How long notices of a server are kept that is not listed: its row may lapse and come back.
const KEPT_FOR: Duration = Duration::from_secs(120);

/// The limit that an answer names.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// It names none.
    #[default]
    Absent,
    /// It names one that cannot be read, which says neither what it is nor that there is none.
    Unreadable,
    /// Requests a second from all boxes together.
    PerSecond(f64),
}

/// What one answer says of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the server says that it leaves.
    pub leaves: bool,
    /// The limit that it names.
    pub limit: NamedLimit,
    /// For how long it wants no requests from this box.
    pub back_off: Option<Duration>,
}

/// The answer that a notice came with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeSource {
    /// When its request was sent, or earlier.
    pub sent: Moment,
    /// Whether it is a whole answer to that request, so that what it does not name is not so.
    pub is_answer: bool,
}

/// What a notice has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoticeChange {
    /// The server leaves.
    Leaves,
    /// It has this limit, in requests a second.
    Limited(f64),
    /// Its limit is over.
    Unlimited,
    /// It wants no requests from this box for so long, and wanted some before.
    BacksOff(Duration),
}

/// The limit of a server as it was last named, or that it has none any more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLimit {
    /// Requests a second; `None` once it is over.
    pub per_s: Option<f64>,
    /// When that was last said.
    pub at: Moment,
    /// Since when it has been so.
    pub since: Moment,
}

/// What servers have said, as one box knows it.
#[derive(Debug, Default)]
pub struct NoticeTracker {
    /// Since when this box has known that a server leaves.
    leaving: HashMap<BackendId, Moment>,
    limits: HashMap<BackendId, KnownLimit>,
    /// Until when a server wants no requests.
    back_off: HashMap<BackendId, Moment>,
}

impl NoticeTracker {
    /// Takes in what an answer says. Returns what that has changed.
    pub fn apply(
        &mut self,
        server: &BackendId,
        notice: &Notice,
        source: NoticeSource,
        now: Moment,
    ) -> Vec<NoticeChange> {
        let mut learned = Vec::new();
        if notice.leaves {
            learned.extend(self.mark_leaving(server, now));
        }
        match notice.limit {
            NamedLimit::PerSecond(per_s) => {
                learned.extend(self.apply_limit(server, Some(per_s), now))
            }
            NamedLimit::Absent if source.is_answer => {
                let named = self.limits.get(server).filter(|word| word.per_s.is_some());
                if named.is_some_and(|word| word.at < source.sent) {
                    learned.extend(self.apply_limit(server, None, now));
                }
            }
            NamedLimit::Absent | NamedLimit::Unreadable => {}
        }
        if let Some(wait) = notice.back_off {
            let until = self.back_off.entry(server.clone()).or_default();
            if *until <= now {
                learned.push(NoticeChange::BacksOff(wait));
            }
            // Each answer asks for its own time; a later, shorter one takes nothing back.
            *until = (*until).max(now + wait);
        }
        learned
    }

    /// Takes in that a server leaves, by its own or another box's word. Returns whether that is news.
    pub fn mark_leaving(&mut self, server: &BackendId, now: Moment) -> Option<NoticeChange> {
        let is_news = !self.leaving.contains_key(server);
        self.leaving.entry(server.clone()).or_insert(now);
        is_news.then_some(NoticeChange::Leaves)
    }

    /// Takes in a limit, or that it is over, as said at `at`. A later word goes before an earlier one. Returns what
    /// has changed.
    pub fn apply_limit(
        &mut self,
        server: &BackendId,
        per_s: Option<f64>,
        at: Moment,
    ) -> Option<NoticeChange> {
        let before = self.limits.get(server).copied();
        if before.is_some_and(|before| before.at > at) {
            return None;
        }
        let is_same = before.map_or(per_s.is_none(), |before| before.per_s == per_s);
        let since = before.filter(|_| is_same).map_or(at, |before| before.since);
        self.limits.insert(server.clone(), KnownLimit { per_s, at, since });
        (!is_same).then_some(per_s.map_or(NoticeChange::Unlimited, NoticeChange::Limited))
    }

    /// Returns since when this box has known that a server leaves, if it said so.
    pub fn leaving_since(&self, server: &BackendId) -> Option<Moment> {
        self.leaving.get(server).copied()
    }

    /// Returns the last word on a server's limit.
    pub fn known_limit(&self, server: &BackendId) -> Option<KnownLimit> {
        self.limits.get(server).copied()
    }

    /// Returns the limit of a server, in requests a second, if it has one.
    pub fn limit_per_s(&self, server: &BackendId) -> Option<f64> {
        self.limits.get(server)?.per_s
    }

    /// Returns until when a server wants no requests from this box, if that is not over.
    pub fn backoff_until(&self, server: &BackendId, now: Moment) -> Option<Moment> {
        self.back_off.get(server).copied().filter(|until| now < *until)
    }

    /// Returns whether a server may be sent something now, with a turn there if one was taken: to be looked at last
    /// before a send, since a connection may have been opened or a turn waited for meanwhile.
    pub fn admits(&self, server: &BackendId, turn: Option<Permit>, now: Moment) -> bool {
        let has_turn = || turn.is_some_and(|turn| turn.is_usable(now));
        let backs_off = self.backoff_until(server, now).is_some();
        !backs_off && (self.limit_per_s(server).is_none() || has_turn())
    }

    /// Returns the servers that leave.
    pub fn leaving(&self) -> impl Iterator<Item = &BackendId> {
        self.leaving.keys()
    }

    /// Returns the servers that have a limit, with its last word.
    pub fn limits(&self) -> impl Iterator<Item = (&BackendId, KnownLimit)> {
        let limited = self.limits.iter().filter(|(_, word)| word.per_s.is_some());
        limited.map(|(server, word)| (server, *word))
    }

    /// Returns how many servers want no requests from this box now.
    pub fn backing_off_count(&self, now: Moment) -> usize {
        self.back_off.values().filter(|until| now < **until).count()
    }

    /// Forgets what is over, and servers that have not been listed for long.
    pub fn forget_old(&mut self, is_listed: impl Fn(&BackendId) -> bool, now: Moment) {
        let is_kept =
            |server: &BackendId, at: Moment| is_listed(server) || now.since(at) < KEPT_FOR;
        self.leaving.retain(|server, since| is_kept(server, *since));
        self.limits.retain(|server, word| {
            let is_over = word.per_s.is_none() && now.since(word.at) >= KEPT_FOR;
            !is_over && is_kept(server, word.at)
        });
        self.back_off.retain(|_, until| now < *until);
    }
}
