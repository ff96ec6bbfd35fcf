//! Requests that crash the servers which run them.
//!
//! Such a request comes again under a new identifier, to any box. So what counts is its [`Fingerprint`], and what is
//! counted are runs of servers that ended under it. Sets of runs merge in any order and any number of times, which a
//! counter does not: two boxes may tell of the same crash.
//!
//! A connection that breaks under a request is no crash: links are reset and servers cut answers off. It becomes
//! one when the run of the server is found to have ended. Whatever ran beside the cause is struck as well, so one
//! crash says little: a request is held off after [`MAX_CRASHES`], and a whole answer excuses all crashes before it.

mod report;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

pub use report::{CrashReport, IncarnationId, MAX_CRASHES};

use crate::serving::fingerprint::Fingerprint;
use crate::units::Moment;

/// How many crashes make a request a suspect, which is sent to no second server in one try.
const SUSPECT_AFTER: usize = 2;

/// How long a break of a connection may wait for the word that its server ended. A row lapses within three
/// heartbeats, 2.0 to 3.7 s.
const BREAK_FOR: Duration = Duration::from_secs(10);

/// How long an answer may be read after a server sent it. One that is read just after the connection of another request
/// broke may have been sent just before the server's end.
const JUST_NOW: Duration = Duration::from_millis(1_000);

/// How many breaks are kept for one run of a server: more than run there at once.
const MAX_BREAKS: usize = 512;

/// How long a run that ended is remembered, for breaks that are noticed later.
const ENDED_FOR: Duration = Duration::from_secs(30);

/// How long a request is held off; its crashes are forgotten then. Whoever was taken for the cause by mistake can be
/// served again, and a cause crashes at most three servers in this time.
const HELD_FOR: Duration = Duration::from_secs(600);

/// Within which time all crashes came if they may have had another cause: a hall that loses power takes many servers
/// at once, and what all clients ask for ran on each of them.
const TOGETHER: Duration = Duration::from_millis(250);

/// How long after such crashes the request is tried once more, by one box alone, and how many times at the most. A
/// cause may still be sent to three servers by then, and this counts among them.
const TRIAL_AFTER: Duration = Duration::from_millis(2_000);
const MAX_TRIALS: u32 = 2;

/// How long crashes of a request that is not held off count.
const SUSPECTED_FOR: Duration = Duration::from_secs(600);

/// How long a whole answer excuses a request: some requests are the same again and again, and of those that run when
/// many servers crash at once three may be struck before the next is answered.
const ANSWERED_FOR: Duration = Duration::from_secs(60);

/// How many whole answers are remembered: a box answers some 15 requests a second, so a minute of them is 900.
const MAX_ANSWERED: usize = 4_096;

/// How many requests are suspected or held off at once, at about 200 bytes each; those struck first are forgotten.
const MAX_REQUESTS: usize = 4_096;

/// A request that servers crashed under.
#[derive(Clone, Debug)]
struct Suspect {
    report: CrashReport,
    /// When the first and the last crash were learned.
    first_struck: Moment,
    struck: Moment,
    /// Since when it is held off.
    held_since: Option<Moment>,
    /// From when on it may be tried once more, and how many times.
    trial_at: Moment,
    trials: u32,
}

/// What a box knows of requests that crash servers.
#[derive(Debug, Default)]
pub struct CrashTracker {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Breaks at runs that are not known to have ended.
    breaks: HashMap<IncarnationId, Vec<(Fingerprint, Moment)>>,
    /// Runs that ended, and when that was learned.
    ended: HashMap<IncarnationId, Moment>,
    /// When requests were last answered whole, and the order in which they were.
    answered: HashMap<Fingerprint, Moment>,
    answers: VecDeque<(Fingerprint, Moment)>,
}

/// What came of a word on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionChange {
    /// Nothing that counts.
    Unchanged,
    /// How many servers it crashed has changed.
    Suspected(usize),
    /// It is held off from now on.
    Quarantined,
    /// It is no longer held off.
    Released,
}

impl CrashTracker {
    /// Notes that a connection broke under a request that a run of a server worked on. Returns what that changes
    /// for the request; a run that is not known to have ended is to be looked at.
    pub fn connection_broke(
        &mut self,
        fingerprint: Fingerprint,
        run: IncarnationId,
        now: Moment,
    ) -> SuspicionChange {
        if self.has_ended(run, now) {
            return self.record_crash(fingerprint, run, now);
        }
        let breaks = self.breaks.entry(run).or_default();
        if breaks.len() < MAX_BREAKS {
            breaks.push((fingerprint, now));
        }
        SuspicionChange::Unchanged
    }

    /// Returns whether a run of a server is known to have ended.
    pub fn has_ended(&self, run: IncarnationId, now: Moment) -> bool {
        self.ended.get(&run).is_some_and(|at| now.since(*at) < ENDED_FOR)
    }

    /// Notes that a run of a server answered: it had not ended when what broke there a while ago did.
    pub fn mark_alive(&mut self, run: IncarnationId, now: Moment) {
        self.ended.remove(&run);
        if let Some(breaks) = self.breaks.get_mut(&run) {
            breaks.retain(|(_, at)| now.since(*at) < JUST_NOW);
        }
    }

    /// Notes that a run of a server has ended: what broke there was a crash. Returns what that changes.
    pub fn mark_ended(
        &mut self,
        run: IncarnationId,
        now: Moment,
    ) -> Vec<(Fingerprint, SuspicionChange)> {
        self.ended.insert(run, now);
        let breaks = self.breaks.remove(&run).unwrap_or_default();
        let recent = breaks.into_iter().filter(|(_, at)| now.since(*at) < BREAK_FOR);
        let struck: Vec<_> = recent.collect();
        let learned = |(fingerprint, _)| (fingerprint, self.record_crash(fingerprint, run, now));
        struck
            .into_iter()
            .map(learned)
            .filter(|(_, what)| *what != SuspicionChange::Unchanged)
            .collect()
    }

    fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        run: IncarnationId,
        now: Moment,
    ) -> SuspicionChange {
        if self.was_answered(fingerprint, now) {
            return SuspicionChange::Unchanged;
        }
        let mut report = CrashReport::new(fingerprint);
        report.crashed.insert(run);
        self.apply_report(&report, now)
    }

    fn was_answered(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        self.answered.get(&fingerprint).is_some_and(|at| now.since(*at) < ANSWERED_FOR)
    }

    /// Takes in what is known elsewhere of a request. Crashes are excused if this box got a whole answer to it lately:
    /// [`CrashTracker::knows_cleared`] says then that the others should hear of that.
    pub fn apply_report(&mut self, report: &CrashReport, now: Moment) -> SuspicionChange {
        let fingerprint = report.fingerprint;
        let is_excused = self.was_answered(fingerprint, now);
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room();
        }
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            report: CrashReport::new(fingerprint),
            first_struck: now,
            struck: now,
            held_since: None,
            trial_at: now,
            trials: 0,
        });
        let crashes = suspect.report.crashes();
        if !suspect.report.merge(report) {
            return SuspicionChange::Unchanged;
        }
        if is_excused {
            suspect.report.excused = suspect.report.crashed.clone();
        }
        suspect.struck = now;
        let was_held = suspect.held_since.is_some();
        let is_held = suspect.report.is_quarantined();
        match (was_held, is_held) {
            (false, true) => {
                suspect.held_since = Some(now);
                let is_own_word = !report.is_quarantined();
                let came_together = now.since(suspect.first_struck) < TOGETHER;
                suspect.report.together |= is_own_word && came_together;
                suspect.trials = if suspect.report.together { MAX_TRIALS } else { 0 };
                suspect.trial_at = now + TRIAL_AFTER;
                SuspicionChange::Quarantined
            }
            (true, false) => {
                suspect.held_since = None;
                // Its row is removed; if it is held off again, another is written.
                suspect.report.stored = false;
                SuspicionChange::Released
            }
            _ if suspect.report.crashes() == crashes => SuspicionChange::Unchanged,
            _ => SuspicionChange::Suspected(suspect.report.crashes()),
        }
    }

    /// Forgets the request that was struck longest ago if there are as many as are kept.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_REQUESTS {
            return;
        }
        let oldest = self.suspects.values().min_by_key(|suspect| suspect.struck);
        if let Some(fingerprint) = oldest.map(|suspect| suspect.report.fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Notes that a request was answered whole, which one that crashes its servers never is.
    pub fn mark_answered(&mut self, fingerprint: Fingerprint, now: Moment) -> SuspicionChange {
        self.answered.insert(fingerprint, now);
        self.answers.push_back((fingerprint, now));
        if self.answers.len() > MAX_ANSWERED
            && let Some((first, at)) = self.answers.pop_front()
            && self.answered.get(&first) == Some(&at)
        {
            self.answered.remove(&first);
        }
        self.clear_suspicion(fingerprint, now)
    }

    /// Excuses a request of all crashes that are known of it.
    pub fn clear_suspicion(&mut self, fingerprint: Fingerprint, now: Moment) -> SuspicionChange {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return SuspicionChange::Unchanged;
        };
        let mut report = suspect.report.clone();
        report.excused = report.crashed.clone();
        self.apply_report(&report, now)
    }

    /// Returns whether a request is held off.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|suspect| suspect.held_since.is_some())
    }

    /// Takes a trial of a request that is held off for crashes that came together. Only one box may ask for it.
    pub fn start_trial(&mut self, fingerprint: Fingerprint, now: Moment) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        if suspect.trials == 0 || now < suspect.trial_at {
            return false;
        }
        suspect.trials -= 1;
        suspect.trial_at = now + TRIAL_AFTER;
        true
    }

    /// Returns whether a request may well be one that crashes servers: by crashes, and by breaks that may be some.
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        let crashes = self.report(fingerprint).map_or(0, CrashReport::crashes);
        let at_run = |breaks: &Vec<(Fingerprint, Moment)>| {
            let mut breaks = breaks.iter();
            breaks.any(|(broken, at)| *broken == fingerprint && now.since(*at) < BREAK_FOR)
        };
        let broken = self.breaks.values().filter(|breaks| at_run(breaks)).count();
        crashes + broken >= SUSPECT_AFTER
    }

    /// Returns whether this box knows that crashes which another box told of count no more.
    pub fn knows_cleared(&self, told: &CrashReport) -> bool {
        let Some(known) = self.report(told.fingerprint) else {
            return false;
        };
        told.crashed.difference(&told.excused).any(|run| known.excused.contains(run))
    }

    /// Returns what is known of a request.
    pub fn report(&self, fingerprint: Fingerprint) -> Option<&CrashReport> {
        Some(&self.suspects.get(&fingerprint)?.report)
    }

    /// Notes that the platform's store has a request that is held off.
    pub fn set_stored(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.report.stored = true;
        }
    }

    /// Returns the requests that are held off, and since when.
    pub fn quarantined(&self) -> impl Iterator<Item = (&CrashReport, Moment)> {
        self.suspects.values().filter_map(|suspect| Some((&suspect.report, suspect.held_since?)))
    }

    /// Forgets what is old. Returns the requests that are held off no longer.
    pub fn forget_old(&mut self, now: Moment) -> Vec<CrashReport> {
        self.ended.retain(|_, at| now.since(*at) < ENDED_FOR);
        for breaks in self.breaks.values_mut() {
            breaks.retain(|(_, at)| now.since(*at) < BREAK_FOR);
        }
        self.breaks.retain(|_, breaks| !breaks.is_empty());
        let mut over = Vec::new();
        self.suspects.retain(|_, suspect| match suspect.held_since {
            Some(since) if now.since(since) >= HELD_FOR => {
                over.push(suspect.report.clone());
                false
            }
            Some(_) => true,
            None => now.since(suspect.struck) < SUSPECTED_FOR,
        });
        over
    }
}
