//! What one box knows of a request under which servers crashed, and the trials of it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::report::{CrashReport, IncarnationId, MAX_INCARNATIONS};
use crate::serving::fingerprint::Fingerprint;
use crate::units::Moment;

/// The time within which the connections broke if the crashes may have had another cause: a hall that loses power takes
/// down many servers at once, and a request that all clients send ran on each of them.
const TOGETHER_WITHIN: Duration = Duration::from_millis(250);

/// The delay after such crashes before one box alone tries the request again.
const TRIAL_DELAY: Duration = Duration::from_millis(2_000);

/// The most trials of a request after such crashes. A cause may still reach three servers by then, and trials count
/// among them.
pub const MAX_TRIALS: u32 = 2;

/// The longest interval at which a box asks the one that grants trials. The interval doubles with each time.
const MAX_ASK_INTERVAL: Duration = Duration::from_secs(16);

/// A request under which servers crashed.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    pub report: CrashReport,
    /// When this box learned of the last crash.
    pub last_crash: Moment,
    pub quarantined_since: Option<Moment>,
    /// When connections broke at the incarnations, of this box or of others that told.
    broke_at: BTreeMap<IncarnationId, Moment>,
    /// When the next trial may start or be asked for, and how many are left if this box grants them.
    trial_at: Moment,
    trials: u32,
    /// Whether it is not known how many trials were made, because the quarantine is from before this box started.
    are_trials_unknown: bool,
    /// The interval until this box asks for a trial again.
    ask_interval: Duration,
}

impl Suspect {
    pub fn new(fingerprint: Fingerprint, now: Moment) -> Self {
        Self {
            report: CrashReport::new(fingerprint),
            last_crash: now,
            quarantined_since: None,
            broke_at: BTreeMap::new(),
            trial_at: now,
            trials: 0,
            are_trials_unknown: false,
            ask_interval: TRIAL_DELAY,
        }
    }

    /// Records when a connection broke at an incarnation; the earliest time counts.
    pub fn add_break(&mut self, incarnation: IncarnationId, at: Moment) {
        if self.broke_at.len() >= MAX_INCARNATIONS && !self.broke_at.contains_key(&incarnation) {
            let crashed = &self.report.crashed;
            self.broke_at.retain(|known, _| crashed.contains(known));
        }
        if self.broke_at.len() < MAX_INCARNATIONS || self.broke_at.contains_key(&incarnation) {
            let first = self.broke_at.entry(incarnation).or_insert(at);
            *first = at.min(*first);
        }
    }

    /// Returns when connections broke at the incarnations that crashed, as far as that is known.
    pub fn breaks(&self) -> impl Iterator<Item = (IncarnationId, Moment)> {
        let breaks = self.broke_at.iter().map(|(incarnation, at)| (*incarnation, *at));
        breaks.filter(|(incarnation, _)| self.report.crashed.contains(incarnation))
    }

    /// Records whether the crashes that count happened together. Returns whether that is news.
    pub fn note_together(&mut self) -> bool {
        let is_news = !self.report.together
            && self.report.is_quarantined()
            && self.crashed_together().unwrap_or(false);
        self.report.together |= is_news;
        is_news
    }

    /// Returns whether the crashes that count happened together; `None` if it isn't known when each did.
    fn crashed_together(&self) -> Option<bool> {
        let counted = self.report.crashed.difference(&self.report.excused);
        let times = counted.map(|incarnation| self.broke_at.get(incarnation).copied());
        let times = times.collect::<Option<Vec<_>>>()?;
        let (first, last) = (times.iter().min()?, times.iter().max()?);
        Some(last.since(*first) < TOGETHER_WITHIN)
    }

    /// Returns whether something else may have caused the crashes, so that trials find out.
    fn may_be_sound(&self) -> bool {
        self.report.together || self.report.fingerprint.is_part()
    }

    pub fn allow_trials(&mut self, now: Moment) {
        self.set_trials_made(0);
        self.trial_at = now + TRIAL_DELAY;
        self.ask_interval = TRIAL_DELAY;
    }

    /// Allows no trial until it is known how many were made.
    pub fn await_trial_count(&mut self) {
        self.trials = 0;
        self.are_trials_unknown = true;
    }

    /// Returns whether a trial is due if not all were made, and it isn't known how many were.
    pub fn needs_trial_count(&self, now: Moment) -> bool {
        self.are_trials_unknown && self.may_be_sound() && now >= self.trial_at
    }

    /// Records how many trials were made before this box started, unless that is known already.
    pub fn count_trials(&mut self, made: u32) {
        if self.are_trials_unknown {
            self.set_trials_made(made);
        }
    }

    fn set_trials_made(&mut self, made: u32) {
        self.trials = if self.may_be_sound() { MAX_TRIALS.saturating_sub(made) } else { 0 };
        self.are_trials_unknown = false;
    }

    /// Returns how many trials were made.
    pub fn trials_made(&self) -> u32 {
        MAX_TRIALS - self.trials
    }

    pub fn start_trial(&mut self, now: Moment) -> bool {
        if self.trials == 0 || now < self.trial_at {
            return false;
        }
        self.trials -= 1;
        self.trial_at = now + TRIAL_DELAY;
        true
    }

    pub fn return_trial(&mut self) {
        self.trials = (self.trials + 1).min(MAX_TRIALS);
    }

    pub fn should_ask_for_trial(&mut self, now: Moment) -> bool {
        let is_due = self.quarantined_since.is_some() && now >= self.trial_at;
        if !is_due || !self.may_be_sound() {
            return false;
        }
        self.trial_at = now + self.ask_interval;
        self.ask_interval = (self.ask_interval * 2).min(MAX_ASK_INTERVAL);
        true
    }
}
