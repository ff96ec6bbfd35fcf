//! Decides whether a request is sent to the chosen server or refused.

use std::time::Duration;

use tokio::time::Instant;
use trackfront_core::serving::admission::{Admission, AdmissionQuestion};
use trackfront_core::serving::choice::Choice;
use trackfront_core::serving::request::Refusal;

use super::{Attempts, Chosen, Job};
use trackfront_core::units::{millis_to_duration, scaled};

/// The share of the target within which an answer must be likely for a retried request that is
/// already late. In four pairs of days of 90 boxes with bursts, 4 to 12 in 100 more of
/// the owed plain calls were answered in time, and 2 to 4 in 100 more of the streams with a target
/// under a second; streams with a target of 6 s changed by -0.4 to 0.9 in 100. The cost: 0.3 to 4
/// in 100 more of the calls that may run only once got no answer, and of all requests -0.5 to 1.3
/// in 100. At a share of 0.2, more got no answer.
const RETRY_TARGET_SHARE: f64 = 0.4;

/// The share of the time left within which an answer must be likely for a late request that engines serve after all
/// others, since the rest of its answer takes time as well.
const LATE_DEADLINE_SHARE: f64 = 0.5;

/// The most time within which an answer must be likely for such a request, as a multiple of its target: clients state their
/// own deadlines, so a far one must not gain them much time.
const LATE_TARGETS: u32 = 3;

impl Job {
    /// Refuses a request that is unlikely to be answered in time, and a retry that the retry budget
    /// doesn't allow.
    pub(super) fn check_choice(
        &self,
        chosen: &mut Chosen,
        attempts: &mut Attempts,
    ) -> Option<Refusal> {
        let now = self.request_time();
        if now >= self.answer_by {
            return Some(self.give_up(attempts, "its time ran out"));
        }
        // A request that may have run is retried as long as there is time, since its client cannot
        // retry it.
        let has_not_run = attempts.may_have_run.is_none() && attempts.failure.is_none();
        if has_not_run && !self.is_admitted(chosen, now) {
            self.count_saturation(true);
            let estimate = chosen.choice.estimate;
            let retry_after =
                self.retry_after_wait(estimate.saturating_sub(self.route.latency_target));
            return Some(Refusal::NoServer { cause: "none is free in time", retry_after });
        }
        if attempts.servers.is_empty() {
            self.count_saturation(false);
        }
        let is_repeat = attempts.sends + attempts.ended > 0;
        if is_repeat && !attempts.has_retry {
            if !self.take_retry() {
                return Some(self.give_up(attempts, "the budget of retries is spent"));
            }
            attempts.has_retry = true;
        }
        None
    }

    /// Returns whether the request is sent to the chosen server: its answer is more likely than not to be in time, by the
    /// errors of recent estimates, or it is a trial of that.
    fn is_admitted(&self, chosen: &mut Chosen, now: Instant) -> bool {
        let choice = &chosen.choice;
        let server = &choice.server.entry;
        let checked_at = self.node.now();
        let boxes = self.node.peers.lock().budget_box_count(checked_at);
        let question = AdmissionQuestion {
            server: &server.id,
            boxes,
            may_be_trial: self.since_first_try.is_zero(),
            of_model: self.info.model.is_some(),
            has_slot: choice.requests < server.slots.max(1),
            estimate: choice.estimate,
            wait: choice.estimate.saturating_sub(self.prefill_time(choice.cached_tokens)),
            limit: self.time_for_first_event(now).min(self.answer_by - now),
        };
        let mut loads = self.node.loads.lock();
        let admission = loads.admit(&question, checked_at);
        let call_ms = loads.server(&server.id).mean_call_ms();
        drop(loads);
        if !admission.is_likely {
            self.log_unlikely(&question, choice, call_ms, &admission);
        }
        chosen.answer_weight = admission.answer_weight;
        admission.is_admitted
    }

    fn log_unlikely(
        &self,
        question: &AdmissionQuestion<'_>,
        choice: &Choice,
        call_ms: f64,
        admission: &Admission,
    ) {
        let work_ms = match self.info.model {
            Some(_) => self.prefill_time(choice.cached_tokens).as_millis() as u64,
            None => call_ms as u64,
        };
        let (request, server) = (&self.info.id, question.server);
        let chance = &admission.chance;
        log::info!(
            request:%,
            server:%,
            estimate_ms = question.estimate.as_millis() as u64,
            left_ms = question.limit.as_millis() as u64,
            requests = choice.requests,
            waiting = choice.waiting,
            slots = choice.server.entry.slots,
            work_ms,
            chance = (chance.probability * 100.0).round() / 100.0,
            answers = chance.answers.round() as u64,
            newest_ms = chance.age.map_or(-1, |age| age.as_millis() as i64),
            is_trial = admission.is_admitted;
            "not likely in time"
        );
    }

    /// Returns the time within which an answer must be likely: what is left of the target since the
    /// client's first try. A request that is already late gets a share of the target, so that the
    /// rest of the capacity serves first tries.
    pub(super) fn admission_time(&self, now: Instant) -> Duration {
        let spent = self.since_first_try + now.saturating_duration_since(self.arrived);
        let left = self.route.latency_target.saturating_sub(spent);
        match self.since_first_try.is_zero() {
            true => left,
            false => left.max(scaled(self.route.latency_target, RETRY_TARGET_SHARE)),
        }
    }

    /// Returns the time within which the first event must be likely.
    pub(super) fn time_for_first_event(&self, now: Instant) -> Duration {
        self.admission_time(now).max(self.late_admission_time(now))
    }

    /// Returns the time within which an answer must be likely for a late request that engines serve after all others;
    /// zero for any other request.
    fn late_admission_time(&self, now: Instant) -> Duration {
        if self.since_first_try.is_zero() || !self.goes_last_when_late() {
            return Duration::ZERO;
        }
        let time_left = self.answer_by.saturating_duration_since(now);
        scaled(time_left, LATE_DEADLINE_SHARE).min(self.route.latency_target * LATE_TARGETS)
    }

    /// Returns the expected time to the first event on an idle engine with so many tokens of the prompt in its cache; zero
    /// for a plain service.
    pub(super) fn prefill_time(&self, cached_tokens: u32) -> Duration {
        let Some(item) = &self.info.model else {
            return Duration::ZERO;
        };
        let tokens = self.info.work(cached_tokens, self.rank()).prompt_tokens;
        let ms_per_token = self.node.loads.lock().prefill_ms_per_token(&item.model);
        millis_to_duration(f64::from(tokens) * ms_per_token)
    }

    /// Counts whether a server was free when the request arrived.
    fn count_saturation(&self, refused: bool) {
        self.node.saturation.lock().count(&self.service, refused, self.node.now());
    }
}
