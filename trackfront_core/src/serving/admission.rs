//! Whether a request is sent to the server that was chosen for it.
//!
//! A request whose answer is not likely in time is refused. What makes an answer unlikely was learned from earlier answers,
//! and a box that refuses everything gets none, so what it learned would stay as it is. So a part of what would be refused
//! for that is sent as a trial. The answer to a trial counts for all requests that it stands for: evidence comes as fast as
//! if all had been sent.

use std::time::Duration;

use crate::ids::BackendId;
use crate::serving::forecast::Chance;
use crate::units::{Moment, scaled};

/// The minimum probability of an answer in time for a request to be admitted. A request that is
/// more likely to be late would also delay those queued behind it, and its client is better off
/// retrying later.
pub(super) const MIN_CHANCE_IN_TIME: f64 = 0.5;

/// The share of the requests that would be refused that are sent as trials.
///
/// Only answers show that a server has become faster, or that it has less to do than this box learned. A box that
/// refused all requests would get none.
const TRIAL_SHARE: f64 = 0.125;

/// The number of requests for which the answer to a trial counts: it stands for those that were refused beside it.
pub(super) const TRIAL_WEIGHT: f64 = 1.0 / TRIAL_SHARE;

/// The largest part of the limit that the known wait at an engine may take for a trial: behind a long queue of prompts a
/// trial shows only what is known, and makes others wait.
const MAX_WAIT_SHARE: f64 = 0.25;

/// The trials a second of all boxes together at a server, beside that share: boxes with few requests learn soon, too.
const TRIALS_PER_S: f64 = 4.0;

/// A request that is admitted if its answer is likely in time.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionQuestion<'a> {
    /// The chosen server.
    pub server: &'a BackendId,
    /// The number of boxes that may send requests there.
    pub boxes: usize,
    /// Whether it may be sent as a trial. Requests that are late already are held to a shorter limit, which a trial would
    /// not test.
    pub may_be_trial: bool,
    /// Whether the time is that to the first event of an engine's answer, else to the whole answer of a plain service.
    pub of_model: bool,
    /// Whether the chosen server has a free slot, as far as known.
    pub has_slot: bool,
    /// The estimated time.
    pub estimate: Duration,
    /// The part of it that is known to be spent on other requests.
    pub wait: Duration,
    /// The time that is left for it.
    pub limit: Duration,
}

impl AdmissionQuestion<'_> {
    /// Returns whether the request would be refused for what was learned, rather than for a load that is known now. `own`
    /// is the number of this box's requests under way at the server: their answers will show what it can do.
    pub(super) fn rests_on_old_evidence(&self, own: u32) -> bool {
        match self.of_model {
            true => self.wait <= scaled(self.limit, MAX_WAIT_SHARE),
            false => self.has_slot || own == 0,
        }
    }
}

/// Whether a request is admitted, and why.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Whether its answer is likely in time.
    pub is_likely: bool,
    /// Whether it is sent: its answer is likely in time, or it is a trial.
    pub is_admitted: bool,
    /// The number of requests for which its answer counts: more than one for a trial, which stands for those that are
    /// refused.
    pub answer_weight: f64,
    /// The chance of an answer in time.
    pub chance: Chance,
}

/// Decides which of the requests for one server that would be refused are sent as trials.
#[derive(Debug, Default)]
pub(super) struct Trials {
    /// The part of the next trial that is earned.
    credit: f64,
    /// When the last request came that would be refused.
    asked_at: Moment,
}

impl Trials {
    /// Returns whether the next request that would be refused is sent as a trial, one of those of so many boxes.
    pub(super) fn take(&mut self, boxes: usize, now: Moment) -> bool {
        let elapsed = now.since(self.asked_at).as_secs_f64();
        self.asked_at = now;
        let earned = TRIAL_SHARE + elapsed * TRIALS_PER_S / boxes.max(1) as f64;
        self.credit = (self.credit + earned).min(1.0 + TRIAL_SHARE);
        let is_trial = self.credit >= 1.0;
        if is_trial {
            self.credit -= 1.0;
        }
        is_trial
    }
}
