//! Holding a request for what is known to come in time for it.
//!
//! A model is waited for if its load is under way and ends in time, as the box that ordered it says. Where
//! a load could end in time that this box has not heard of, it is waited for the word on it only. An
//! adapter is also waited for if its order is yet to be given, as long as one took lately: its engine is
//! there and takes the order within milliseconds. Everything else is refused at once.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::serving::choice::{NoChoice, Unavailable, UnavailableCause};
use trackfront_core::serving::request::{ModelRef, Refusal};
use trackfront_core::units::Moment;

use super::permit::Chosen;
use super::{Attempts, Job};

/// How long after the moment that was told for it a load is still waited for: engines are asked each
/// 200 ms whether it is done, and word of it takes some milliseconds.
const LOAD_REPORT_SLACK: Duration = Duration::from_millis(250);

/// How long the answer to a question for a model may take: a plan is made within 15 ms of the question, at
/// the latest 250 ms after the one before, and the words of both go through the network.
const REPORT_WAIT: Duration = Duration::from_millis(300);

/// A wait, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// Nothing is known to come in time.
    Nothing,
    /// Something should be there at a moment, and is given up at a later one.
    For { expected: Instant, until: Instant },
}

impl Job {
    /// Chooses a server; waits for one that is known to be able to answer in time.
    pub(super) async fn choose_or_wait(&self, attempts: &Attempts) -> Result<Chosen, Refusal> {
        let began = Instant::now();
        let mut held_for = None;
        loop {
            let changed = self.node.servers_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let no_choice = match self.choose(&attempts.servers) {
                Ok(choice) => {
                    self.finish_hold(held_for, began, true);
                    return Ok(Chosen { choice, permit: None });
                }
                Err(no_choice) => no_choice,
            };
            if let Some(item) = self.missing_item(no_choice) {
                self.node.add_missing_item(&item);
            }
            // Another server that is tried after a failure is not waited for. Nor does a box hold what
            // it could not answer before it ends: its client finds another.
            let wait = match attempts.servers.is_empty() && !self.node.is_stopping() {
                true => self.wait_for_missing(no_choice),
                false => Wait::Nothing,
            };
            if let Some(chosen) = self.wait_for_permit(no_choice, attempts).await {
                self.finish_hold(Some(no_choice), began, true);
                return Ok(chosen);
            }
            let now = self.request_time();
            match wait {
                Wait::For { expected, until } if now < until => {
                    held_for.get_or_insert(no_choice);
                    // Looked at again in any case: at the moment that was told, or when word comes.
                    let wake = if now < expected { expected.min(until) } else { until };
                    let _ = timeout_at(self.timer(wake), changed).await;
                }
                _ => {
                    self.finish_hold(held_for, began, false);
                    let retry_after = self.retry_after_for(no_choice);
                    return Err(match attempts.may_have_run {
                        Some(cause) => Refusal::Failed(cause),
                        None => Refusal::NoServer { cause: no_choice.name(), retry_after },
                    });
                }
            }
        }
    }

    /// Returns what no engine holds, if that is what is lacking.
    pub(super) fn missing_item(&self, no_choice: NoChoice) -> Option<ModelRef> {
        let item = self.info.model.as_ref()?;
        match no_choice {
            NoChoice::NoModel => Some(ModelRef { model: item.model.clone(), adapter: None }),
            NoChoice::NoAdapter => Some(item.clone()),
            NoChoice::NoServer
            | NoChoice::NotAllowed
            | NoChoice::Unavailable(_)
            | NoChoice::AllTried => None,
        }
    }

    /// Returns how long the request can wait for what is lacking.
    fn wait_for_missing(&self, no_choice: NoChoice) -> Wait {
        if let NoChoice::Unavailable(Unavailable { until, cause: UnavailableCause::BacksOff }) =
            no_choice
        {
            return self.wait_until(until);
        }
        let Some(item) = self.missing_item(no_choice) else {
            return Wait::Nothing;
        };
        let expected_at = self.node.overlay.lock().expected_at(&item);
        let (expected, until) = match expected_at {
            Some(at) => {
                let expected = self.request_time() + at.since(self.node.now());
                (expected, expected + LOAD_REPORT_SLACK)
            }
            None if no_choice == NoChoice::NoAdapter => {
                let until = self.arrived + self.node.missing_items.adapter_wait();
                (until, until)
            }
            None => {
                // What the configuration does not have never comes.
                let Some(load_time) = self.load_time() else {
                    return Wait::Nothing;
                };
                let report_due = self.arrived + REPORT_WAIT;
                (report_due + load_time, report_due)
            }
        };
        let latest = (self.arrived + self.route.target).min(self.answer_by);
        match expected + self.prefill_time() <= latest {
            true => Wait::For { expected, until: until.min(latest) },
            false => Wait::Nothing,
        }
    }

    /// Returns the wait for servers that take nothing from this box until then, if that is in time. Requests that are held
    /// for the same one are let go one after the other.
    fn wait_until(&self, until: Moment) -> Wait {
        let expected = self.request_time() + self.spread(until.since(self.node.now()));
        let latest = (self.arrived + self.route.target).min(self.answer_by);
        match expected + self.prefill_time() <= latest {
            true => Wait::For { expected, until: expected },
            false => Wait::Nothing,
        }
    }

    /// Logs and counts the end of a wait, and learns how long adapters take.
    fn finish_hold(&self, held_for: Option<NoChoice>, began: Instant, came: bool) {
        let Some(no_choice) = held_for else {
            return;
        };
        let took = began.elapsed();
        if no_choice == NoChoice::NoAdapter {
            self.node.missing_items.record_adapter_wait(took);
        }
        let kind = if came { "came" } else { "did not come" };
        self.node.metrics.held.get_or_create(&KindLabel { kind }).observe(took.as_secs_f64());
        let (request, ms) = (&self.info.id, took.as_millis() as u64);
        log::info!(request:%, lack = no_choice.name(), ms, outcome = kind; "request held");
    }
}
