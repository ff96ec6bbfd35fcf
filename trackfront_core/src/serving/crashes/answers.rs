//! The complete answers that one box remembers, of which none is needed for long.

use std::collections::{HashMap, VecDeque};

use crate::serving::fingerprint::Fingerprint;
use crate::units::Moment;

/// The most requests: a box answers some 15 a second, so 900 in the minute for which an answer counts.
pub(super) const MAX_REQUEST_ANSWERS: usize = 8_192;

/// The most parts of prompts, at about 40 bytes each: those of some ten of the longest prompts, or a few of each answer of
/// the ten seconds for which one counts.
pub(super) const MAX_PART_ANSWERS: usize = 32_768;

/// When requests or parts were last answered completely, `MAX` of them at most.
#[derive(Debug, Default)]
pub(super) struct Answers<const MAX: usize> {
    last: HashMap<Fingerprint, Moment>,
    /// Each of them once, with an answer that may not be the last.
    by_age: VecDeque<(Fingerprint, Moment)>,
}

impl<const MAX: usize> Answers<MAX> {
    /// Returns when there was the last complete answer.
    pub fn last(&self, fingerprint: Fingerprint) -> Option<Moment> {
        self.last.get(&fingerprint).copied()
    }

    /// Records a complete answer, and forgets the one that is the oldest if there are too many.
    pub fn record(&mut self, fingerprint: Fingerprint, now: Moment) {
        if self.last.insert(fingerprint, now).is_none() {
            self.by_age.push_back((fingerprint, now));
        }
        while self.last.len() > MAX {
            self.forget_oldest();
        }
    }

    /// Forgets the first one, or moves it back if it was answered since.
    fn forget_oldest(&mut self) {
        let Some((fingerprint, at)) = self.by_age.pop_front() else {
            return;
        };
        match self.last.get(&fingerprint) {
            Some(last) if *last != at => self.by_age.push_back((fingerprint, *last)),
            _ => _ = self.last.remove(&fingerprint),
        }
    }
}
