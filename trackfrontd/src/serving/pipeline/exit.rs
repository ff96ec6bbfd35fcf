//! Requests at a box that is stopping.
//!
//! What cannot be expected to end before the box exits is refused as not run: any other box can serve it. What is under way
//! then is answered all the same, since a connection that is closed without an answer tells its client nothing.

use std::time::Duration;

use trackfront_core::serving::choice::Choice;
use trackfront_core::serving::request::Refusal;
use trackfront_core::units::millis_to_duration;

use super::{Attempts, Job, MIN_RETRY_AFTER};

/// Why a request at a stopping box is refused.
const EXITS_SOON: &str = "the box stops before it could be answered";

/// Why it is not known whether a request has run.
const EXITS: &str = "the box stopped before it was answered";

impl Job {
    /// Returns whether the request can be expected to end at the chosen server before this box exits.
    pub(super) fn is_expected_before_exit(&self, choice: &Choice) -> bool {
        let Some(left) = self.node.exit.time_left(self.node.now()) else {
            return true;
        };
        let after_first_event = match &self.info.model {
            Some(item) => {
                let decode_ms =
                    self.node.loads.lock().decode_ms(&item.model, self.info.output_tokens);
                millis_to_duration(decode_ms)
            }
            None => Duration::ZERO,
        };
        let expected = choice.estimate.max(self.usual_call_time());
        expected.saturating_add(after_first_event) < left
    }

    /// Returns how long calls take at the servers of a plain service where that was measured; zero for a service of models.
    /// The chosen server may be one of which this box knows nothing.
    fn usual_call_time(&self) -> Duration {
        if self.info.model.is_some() {
            return Duration::ZERO;
        }
        let directory = self.node.directory.lock();
        let mut loads = self.node.loads.lock();
        let servers = directory.of_service(&self.service).iter();
        let measured = servers.map(|server| loads.server(&server.entry.id).mean_call_ms());
        let measured: Vec<f64> = measured.filter(|ms| *ms > 0.0).collect();
        let mean_ms = measured.iter().sum::<f64>() / measured.len().max(1) as f64;
        millis_to_duration(mean_ms)
    }

    /// Refuses a request that can't be expected to end before this box exits. Its client finds another box.
    pub(super) fn refuse_at_exit(&self, attempts: &Attempts) -> Refusal {
        match attempts.may_have_run {
            Some(cause) => Refusal::ServerFailed(cause),
            None => Refusal::NoServer { cause: EXITS_SOON, retry_after: MIN_RETRY_AFTER },
        }
    }

    /// Returns the answer to a request that has not ended when this box must exit.
    pub(super) fn end_at_exit(&self, attempts: &Attempts) -> Refusal {
        match attempts.is_under_way {
            true => Refusal::ServerFailed(EXITS),
            false => self.refuse_at_exit(attempts),
        }
    }
}
