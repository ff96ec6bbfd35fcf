//! Quarantine of requests that crash the servers which run them.
//!
//! A client may send such a request again under a new identifier, to any box, so it is identified by its [`Fingerprint`].
//! For each request the incarnations of servers that ended while running it are tracked. Sets of incarnations merge in
//! any order and any number of times, which a counter does not: two boxes may report the same crash.
//!
//! A connection that breaks under a request is not a crash yet: links are reset, and servers break off answers. It counts
//! as one once the server's incarnation is found to have ended. All requests that ran beside the cause are suspected as
//! well, so one crash proves little: a request is quarantined after [`MAX_CRASHES`], and a complete answer clears it of
//! all earlier crashes.

mod answers;
mod report;
mod suspect;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use answers::{Answers, MAX_PART_ANSWERS, MAX_REQUEST_ANSWERS};
pub use report::{BreakTimes, CrashReport, IncarnationId, MAX_CRASHES};
pub use suspect::MAX_TRIALS;
use suspect::Suspect;

use crate::serving::fingerprint::Fingerprint;
use crate::units::Moment;

/// The number of crashes after which a request is suspected and not sent to a second server in one try. From then on the
/// platform's store has a row of them.
pub const SUSPECT_AFTER_CRASHES: usize = 2;

/// How long a broken connection counts while its server is not known to have ended. A row expires within three
/// heartbeats, 2.0 to 3.7 s.
const BREAK_TTL: Duration = Duration::from_secs(10);

/// How long an answer may be in transit. One that is read just after another request's connection broke may have been
/// sent just before the server's end.
const ANSWER_TRANSIT_TIME: Duration = Duration::from_millis(1_000);

/// The most parts of prompts that are kept for one incarnation whose connections broke, beside the requests: those of
/// several of the longest prompts.
const MAX_BREAKS: usize = 16_384;

/// How long an ended incarnation is remembered, for broken connections that are noticed later.
const ENDED_TTL: Duration = Duration::from_secs(30);

/// How long a request is quarantined; its crashes are dropped then. A request that was suspected by mistake is served
/// again, and a cause crashes at most three servers in this time.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// How long crashes count of a request that is not quarantined.
const SUSPICION_TTL: Duration = Duration::from_secs(600);

/// How long a complete answer clears a request: clients send some requests again and again, and when many servers crash
/// at once, three of them may be running the same request before its next answer.
const ANSWER_TTL: Duration = Duration::from_secs(60);

/// How long a complete answer clears a part of prompts. A part that begins to crash engines may have been sound before.
const PART_ANSWER_TTL: Duration = Duration::from_secs(10);

/// The most requests and parts that are suspected or quarantined, at about 300 bytes each: those of several of the longest
/// prompts, of which each has some thousand parts.
const MAX_SUSPECTS: usize = 16_384;

/// The fraction of them that is dropped once there are as many, those with the fewest crashes first, and of these the oldest.
const DROPPED_DIVISOR: usize = 8;

/// Tracks requests that crash servers, as one box knows them.
#[derive(Debug, Default)]
pub struct CrashTracker {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Connections that broke at incarnations that are not known to have ended.
    breaks: HashMap<IncarnationId, Vec<(Fingerprint, Moment)>>,
    /// Ended incarnations, and when this box learned of their end.
    ended: HashMap<IncarnationId, Moment>,
    /// The complete answers to requests, and those to parts. However many parts prompts have, the answers to requests stay.
    answered_requests: Answers<MAX_REQUEST_ANSWERS>,
    answered_parts: Answers<MAX_PART_ANSWERS>,
}

/// A change of the suspicion against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionChange {
    /// No change.
    Unchanged,
    /// The number of servers that it crashed has changed to this one.
    Suspected(usize),
    /// It is quarantined from now on.
    Quarantined,
    /// It is no longer quarantined.
    Released,
}

impl CrashTracker {
    /// Records that the connection to an incarnation of a server broke under a request. Returns the change. The caller
    /// should check whether an incarnation has ended that is not known to have.
    pub fn connection_broke(
        &mut self,
        fingerprint: Fingerprint,
        incarnation: IncarnationId,
        now: Moment,
    ) -> SuspicionChange {
        if self.has_ended(incarnation, now) {
            return self.record_crash(fingerprint, incarnation, now, now);
        }
        if fingerprint.is_part() && self.was_answered(fingerprint, now) {
            return SuspicionChange::Unchanged;
        }
        let breaks = self.breaks.entry(incarnation).or_default();
        if breaks.len() < MAX_BREAKS || !fingerprint.is_part() {
            breaks.push((fingerprint, now));
        }
        SuspicionChange::Unchanged
    }

    /// Records the same for a request and the parts of its prompt. Returns the changes.
    pub fn connections_broke(
        &mut self,
        suspects: &[Fingerprint],
        incarnation: IncarnationId,
        now: Moment,
    ) -> Vec<(Fingerprint, SuspicionChange)> {
        let broke = |fingerprint: &Fingerprint| {
            (*fingerprint, self.connection_broke(*fingerprint, incarnation, now))
        };
        let changes = suspects.iter().map(broke);
        changes.filter(|(_, change)| *change != SuspicionChange::Unchanged).collect()
    }

    /// Returns whether an incarnation of a server is known to have ended.
    pub fn has_ended(&self, incarnation: IncarnationId, now: Moment) -> bool {
        self.ended.get(&incarnation).is_some_and(|at| now.since(*at) < ENDED_TTL)
    }

    /// Records that an incarnation of a server answered, so that connections which broke there earlier are not crashes.
    pub fn mark_alive(&mut self, incarnation: IncarnationId, now: Moment) {
        self.ended.remove(&incarnation);
        if let Some(breaks) = self.breaks.get_mut(&incarnation) {
            breaks.retain(|(_, at)| now.since(*at) < ANSWER_TRANSIT_TIME);
        }
    }

    /// Forgets connections that broke since `since`, because this box lost its own links.
    pub fn forget_breaks_since(&mut self, since: Moment) {
        for breaks in self.breaks.values_mut() {
            breaks.retain(|(_, at)| *at < since);
        }
    }

    /// Records that an incarnation of a server has ended, so that connections which broke there recently are crashes.
    /// Returns the changes.
    pub fn mark_ended(
        &mut self,
        incarnation: IncarnationId,
        now: Moment,
    ) -> Vec<(Fingerprint, SuspicionChange)> {
        self.ended.insert(incarnation, now);
        let breaks = self.breaks.remove(&incarnation).unwrap_or_default();
        let recent = breaks.into_iter().filter(|(_, at)| now.since(*at) < BREAK_TTL);
        let change = |(fingerprint, broke_at)| {
            (fingerprint, self.record_crash(fingerprint, incarnation, broke_at, now))
        };
        let changes = recent.map(change);
        changes.filter(|(_, change)| *change != SuspicionChange::Unchanged).collect()
    }

    fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        incarnation: IncarnationId,
        broke_at: Moment,
        now: Moment,
    ) -> SuspicionChange {
        if self.was_answered(fingerprint, now) {
            return SuspicionChange::Unchanged;
        }
        if !fingerprint.is_part() {
            self.suspect(fingerprint, now).add_break(incarnation, broke_at);
        }
        let mut report = CrashReport::new(fingerprint);
        report.crashed.insert(incarnation);
        self.apply_report(&report, now)
    }

    fn was_answered(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        let (answers, ttl) = match fingerprint.is_part() {
            true => (self.answered_parts.last(fingerprint), PART_ANSWER_TTL),
            false => (self.answered_requests.last(fingerprint), ANSWER_TTL),
        };
        answers.is_some_and(|at| now.since(at) < ttl)
    }

    /// Applies the report of another box on a request. Its crashes are cleared if this box recently got a complete answer
    /// to the request; [`CrashTracker::knows_cleared`] then returns that other boxes should get this box's report.
    pub fn apply_report(&mut self, report: &CrashReport, now: Moment) -> SuspicionChange {
        let fingerprint = report.fingerprint;
        let is_cleared = self.was_answered(fingerprint, now);
        let own_breaks = self.own_breaks(report);
        let suspect = self.suspect(fingerprint, now);
        let crashes = suspect.report.crashes();
        let was_quarantined = suspect.quarantined_since.is_some();
        let was_together = suspect.report.together;
        let is_changed = suspect.report.merge(report);
        own_breaks.into_iter().for_each(|(incarnation, at)| suspect.add_break(incarnation, at));
        suspect.note_together();
        if was_quarantined && suspect.report.together && !was_together {
            suspect.allow_trials(now);
        }
        if !is_changed {
            return SuspicionChange::Unchanged;
        }
        if is_cleared {
            suspect.report.excused = suspect.report.crashed.clone();
        }
        suspect.last_crash = now;
        let is_quarantined = suspect.report.is_quarantined();
        match (was_quarantined, is_quarantined) {
            (false, true) => {
                suspect.quarantined_since = Some(now);
                suspect.allow_trials(now);
                SuspicionChange::Quarantined
            }
            (true, false) => {
                suspect.quarantined_since = None;
                // Its row is removed; another is written if it is quarantined again.
                suspect.report.stored = false;
                SuspicionChange::Released
            }
            _ if suspect.report.crashes() == crashes => SuspicionChange::Unchanged,
            _ => SuspicionChange::Suspected(suspect.report.crashes()),
        }
    }

    /// Returns when connections of this box broke at incarnations that another box reports as crashed.
    fn own_breaks(&self, report: &CrashReport) -> Vec<(IncarnationId, Moment)> {
        let first_break = |incarnation: &IncarnationId| {
            let mut breaks = self.breaks.get(incarnation)?.iter();
            breaks
                .find(|(broken, _)| *broken == report.fingerprint)
                .map(|(_, at)| (*incarnation, *at))
        };
        report.crashed.iter().filter_map(first_break).collect()
    }

    /// Returns how long ago connections broke under a request, as far as this box knows.
    pub fn break_times(&self, fingerprint: Fingerprint, now: Moment) -> Option<BreakTimes> {
        let suspect = self.suspects.get(&fingerprint)?;
        let age = |at: Moment| now.since(at).as_millis() as u32;
        let ages_ms = suspect.breaks().map(|(incarnation, at)| (incarnation, age(at))).collect();
        Some(BreakTimes { fingerprint, ages_ms })
    }

    /// Applies what another box knows of when connections broke under a request. Returns whether that shows that the
    /// crashes of a quarantined request happened together.
    pub fn apply_break_times(&mut self, times: &BreakTimes, now: Moment) -> bool {
        let Some(suspect) = self.suspects.get_mut(&times.fingerprint) else {
            return false;
        };
        for (incarnation, age_ms) in &times.ages_ms {
            let age = Duration::from_millis(u64::from(*age_ms));
            suspect.add_break(*incarnation, Moment(now.0.saturating_sub(age)));
        }
        let is_news = suspect.note_together() && suspect.quarantined_since.is_some();
        if is_news {
            suspect.allow_trials(now);
        }
        is_news
    }

    /// Returns what is known of a request, which is suspected from now on.
    fn suspect(&mut self, fingerprint: Fingerprint, now: Moment) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) {
            self.drop_weakest();
        }
        self.suspects.entry(fingerprint).or_insert_with(|| Suspect::new(fingerprint, now))
    }

    /// Makes room for another suspect if there are as many as are kept: many of those with the fewest crashes are dropped at
    /// once, since one crash may bring thousands.
    fn drop_weakest(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let standing = |suspect: &Suspect| {
            let is_quarantined = suspect.quarantined_since.is_some();
            (is_quarantined, suspect.report.crashes(), suspect.last_crash)
        };
        let all = self.suspects.iter().map(|(print, suspect)| (standing(suspect), *print));
        let mut all: Vec<_> = all.collect();
        let dropped = MAX_SUSPECTS / DROPPED_DIVISOR;
        all.select_nth_unstable(dropped);
        for (_, fingerprint) in &all[..dropped] {
            self.suspects.remove(fingerprint);
        }
    }

    /// Records a complete answer to a request, which one that crashes its servers never gets. Returns the change.
    pub fn mark_answered(&mut self, fingerprint: Fingerprint, now: Moment) -> SuspicionChange {
        match fingerprint.is_part() {
            true => self.answered_parts.record(fingerprint, now),
            false => self.answered_requests.record(fingerprint, now),
        }
        self.clear_suspicion(fingerprint, now)
    }

    /// Records the same for a request and the parts of its prompt. Returns the changes.
    pub fn mark_all_answered(
        &mut self,
        suspects: &[Fingerprint],
        now: Moment,
    ) -> Vec<(Fingerprint, SuspicionChange)> {
        let answered =
            |fingerprint: &Fingerprint| (*fingerprint, self.mark_answered(*fingerprint, now));
        let changes = suspects.iter().map(answered);
        changes.filter(|(_, change)| *change != SuspicionChange::Unchanged).collect()
    }

    /// Clears a request of all its known crashes. Returns the change.
    pub fn clear_suspicion(&mut self, fingerprint: Fingerprint, now: Moment) -> SuspicionChange {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return SuspicionChange::Unchanged;
        };
        let mut report = suspect.report.clone();
        report.excused = report.crashed.clone();
        self.apply_report(&report, now)
    }

    /// Returns whether a request is quarantined.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|suspect| suspect.quarantined_since.is_some())
    }

    /// Returns which of `suspects` are quarantined, and how many servers each crashed.
    pub fn quarantined_among(&self, suspects: &[Fingerprint]) -> Vec<(Fingerprint, usize)> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let known = suspects.iter().filter_map(|print| self.suspects.get(print));
        let quarantined = known.filter(|suspect| suspect.quarantined_since.is_some());
        quarantined.map(|known| (known.report.fingerprint, known.report.crashes())).collect()
    }

    /// Applies the report on a quarantined request to a box that has just started. No trial starts until it is known how
    /// many were made.
    pub fn load(&mut self, report: &CrashReport, now: Moment) {
        self.apply_report(report, now);
        if let Some(suspect) = self.suspects.get_mut(&report.fingerprint) {
            suspect.await_trial_count();
        }
    }

    /// Starts a trial of a request that is quarantined for crashes which happened together, or of one with a quarantined
    /// part; returns whether one is due. Only one box grants the trials of a request.
    pub fn start_trial(&mut self, fingerprint: Fingerprint, now: Moment) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        suspect.start_trial(now)
    }

    /// Returns whether a trial of a request may be due that was quarantined before this box started, so that it needs
    /// to know how many were made.
    pub fn needs_trial_count(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|suspect| suspect.needs_trial_count(now))
    }

    /// Records how many trials of a request were made before this box started, unless that is known already.
    pub fn set_trials_made(&mut self, fingerprint: Fingerprint, made: u32) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.count_trials(made);
        }
    }

    /// Returns how many trials of a request were made.
    pub fn trials_made(&self, fingerprint: Fingerprint) -> u32 {
        self.suspects.get(&fingerprint).map_or(0, Suspect::trials_made)
    }

    /// Takes back a trial that was granted but not sent to a server.
    pub fn return_trial(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.return_trial();
        }
    }

    /// Returns whether this box should ask the one that grants the trials of a quarantined request for one.
    pub fn should_ask_for_trial(&mut self, fingerprint: Fingerprint, now: Moment) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        suspect.should_ask_for_trial(now)
    }

    /// Returns whether a request is suspected of crashing servers. Broken connections that may be crashes count as well, but
    /// not for a part of prompts: a popular one is in most requests whose connections break.
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        let crashes = self.report(fingerprint).map_or(0, CrashReport::crashes);
        if fingerprint.is_part() {
            return crashes >= SUSPECT_AFTER_CRASHES && !self.was_answered(fingerprint, now);
        }
        let has_broken = |breaks: &Vec<(Fingerprint, Moment)>| {
            let mut breaks = breaks.iter();
            breaks.any(|(broken, at)| *broken == fingerprint && now.since(*at) < BREAK_TTL)
        };
        let broken = self.breaks.values().filter(|breaks| has_broken(breaks)).count();
        crashes + broken >= SUSPECT_AFTER_CRASHES
    }

    /// Returns whether this box knows that crashes in the report of another box have been cleared.
    pub fn knows_cleared(&self, received: &CrashReport) -> bool {
        let Some(known) = self.report(received.fingerprint) else {
            return false;
        };
        received
            .crashed
            .difference(&received.excused)
            .any(|incarnation| known.excused.contains(incarnation))
    }

    /// Returns this box's report on a request.
    pub fn report(&self, fingerprint: Fingerprint) -> Option<&CrashReport> {
        Some(&self.suspects.get(&fingerprint)?.report)
    }

    /// Records that the platform's store has a row of a request, of its quarantine or of the suspicion. It is none of the
    /// quarantine if that has begun since.
    pub fn set_stored(&mut self, stored: &CrashReport) {
        if let Some(suspect) = self.suspects.get_mut(&stored.fingerprint) {
            suspect.report.stored |= suspect.report.is_quarantined() == stored.is_quarantined();
        }
    }

    /// Records that the rows of all quarantined requests may be lost. Returns their number.
    pub fn forget_stored(&mut self) -> usize {
        let stored = self.suspects.values_mut().filter(|suspect| suspect.report.stored);
        stored.map(|suspect| suspect.report.stored = false).count()
    }

    /// Returns the quarantined requests, and since when they are.
    pub fn quarantined(&self) -> impl Iterator<Item = (&CrashReport, Moment)> {
        self.suspects
            .values()
            .filter_map(|suspect| Some((&suspect.report, suspect.quarantined_since?)))
    }

    /// Returns the requests that are suspected but not quarantined, at most `limit`: those with the most crashes first, and
    /// of these the ones with the latest. Each is returned with the time at which this box learned of its last crash.
    pub fn suspected(&self, limit: usize) -> Vec<(CrashReport, Moment)> {
        let counted = self
            .suspects
            .values()
            .filter(|suspect| suspect.quarantined_since.is_none() && suspect.report.crashes() > 0);
        let mut counted: Vec<_> = counted.collect();
        counted.sort_unstable_by_key(|suspect| {
            Reverse((suspect.report.crashes(), suspect.last_crash, suspect.report.fingerprint))
        });
        let reported = |suspect: &Suspect| (suspect.report.clone(), suspect.last_crash);
        counted.into_iter().take(limit).map(reported).collect()
    }

    /// Returns the incarnations that ended under any of `suspects` and count.
    pub fn ended_under(&self, suspects: &[Fingerprint]) -> Vec<IncarnationId> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let reports = suspects.iter().filter_map(|suspect| self.report(*suspect));
        reports.flat_map(|it| it.crashed.difference(&it.excused).copied()).collect()
    }

    /// Returns the suspicions that have a row in the platform's store and need none any more: crashes were cleared.
    pub fn cleared_but_stored(&self) -> Vec<Fingerprint> {
        let cleared = self.suspects.values().filter(|suspect| {
            suspect.report.stored && suspect.report.crashes() < SUSPECT_AFTER_CRASHES
        });
        cleared.map(|suspect| suspect.report.fingerprint).collect()
    }

    /// Records that a request has no row in the platform's store.
    pub fn set_not_stored(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.report.stored = false;
        }
    }

    /// Drops expired entries. Returns the requests whose quarantine has ended, and those whose suspicion has and which are
    /// in the platform's store.
    pub fn forget_old(&mut self, now: Moment) -> Vec<CrashReport> {
        self.ended.retain(|_, at| now.since(*at) < ENDED_TTL);
        for breaks in self.breaks.values_mut() {
            breaks.retain(|(_, at)| now.since(*at) < BREAK_TTL);
        }
        self.breaks.retain(|_, breaks| !breaks.is_empty());
        let mut over = Vec::new();
        self.suspects.retain(|_, suspect| match suspect.quarantined_since {
            Some(since) if now.since(since) >= QUARANTINE_TIME => {
                over.push(suspect.report.clone());
                false
            }
            Some(_) => true,
            None if now.since(suspect.last_crash) < SUSPICION_TTL => true,
            None => {
                over.extend(suspect.report.stored.then(|| suspect.report.clone()));
                false
            }
        });
        over
    }
}
