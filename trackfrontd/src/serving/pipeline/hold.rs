//! Holds a request for a server or model that is expected in time.
//!
//! A model is awaited if its load is in progress and ends in time, as reported by the box that
//! ordered it. If a load could end in time but this box has no report of one, only the report is
//! awaited. An adapter is also awaited if its order is still to be given, for as long as recent
//! ones took: its engine is up and takes the order within milliseconds. Everything else is refused
//! at once.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::serving::choice::{NoChoice, Unavailable, UnavailableCause};
use trackfront_core::serving::request::{ModelRef, Refusal};
use trackfront_core::units::Moment;

use super::permit::Chosen;
use super::{Attempts, Job};

/// How long after its announced end a load is still awaited: engines are polled every 200 ms for
/// completion, and the report takes some milliseconds.
const LOAD_REPORT_SLACK: Duration = Duration::from_millis(250);

/// How long the report on a missing model may take: a plan is made within 15 ms of the request for
/// the model and at most 250 ms after the previous plan, plus the network delay of both messages.
const REPORT_WAIT: Duration = Duration::from_millis(300);

/// How long a request may be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// Nothing is expected in time.
    Nothing,
    /// Something is expected at `expected` and given up at `until`.
    For { expected: Instant, until: Instant },
}

impl Job {
    /// Chooses a server, or waits for one that is expected to answer in time.
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
                    return Ok(Chosen::new(choice, None));
                }
                Err(no_choice) => no_choice,
            };
            if let Some(item) = self.missing_item(no_choice) {
                self.node.add_missing_item(&item);
            }
            // A retry at another server isn't held. A stopping box holds nothing that it could not
            // answer before it ends; the client finds another box.
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
                    // Checks again at the expected time, or as soon as a change is reported.
                    let wake = if now < expected { expected.min(until) } else { until };
                    let _ = timeout_at(self.timer(wake), changed).await;
                }
                _ => {
                    self.finish_hold(held_for, began, false);
                    let retry_after = self.retry_after_for(no_choice);
                    return Err(match attempts.may_have_run {
                        Some(cause) => Refusal::ServerFailed(cause),
                        None => Refusal::NoServer { cause: no_choice.name(), retry_after },
                    });
                }
            }
        }
    }

    /// Returns the model or adapter that no engine holds, if that is why there is no choice.
    pub(super) fn missing_item(&self, no_choice: NoChoice) -> Option<ModelRef> {
        let item = self.info.model.as_ref()?;
        match no_choice {
            NoChoice::NoModel => Some(ModelRef { model: item.model.clone(), adapter: None }),
            NoChoice::NoAdapter => Some(item.clone()),
            NoChoice::NoServer
            | NoChoice::NotAllowed
            | NoChoice::NoSoftware
            | NoChoice::Unavailable(_)
            | NoChoice::AllTried => None,
        }
    }

    /// Returns how long the request can wait for what is missing.
    fn wait_for_missing(&self, no_choice: NoChoice) -> Wait {
        if let NoChoice::Unavailable(Unavailable {
            until,
            cause: UnavailableCause::BacksOff | UnavailableCause::Full,
        }) = no_choice
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
                let until = self.arrived + self.node.missing_items.adapter_wait(self.node.now());
                (until, until)
            }
            None => {
                // A model that isn't configured is never loaded.
                let Some(load_time) = self.load_time() else {
                    return Wait::Nothing;
                };
                let report_due = self.arrived + REPORT_WAIT;
                (report_due + load_time, report_due)
            }
        };
        let latest = (self.arrived + self.route.latency_target).min(self.answer_by);
        match expected + self.prefill_time(0) <= latest {
            true => Wait::For { expected, until: until.min(latest) },
            false => Wait::Nothing,
        }
    }

    /// Returns the wait until servers that asked this box to back off accept requests again, if
    /// that is in time. Requests held for the same server are released at spread-out times.
    fn wait_until(&self, until: Moment) -> Wait {
        let expected = self.request_time() + self.spread(until.since(self.node.now()));
        let latest = (self.arrived + self.route.latency_target).min(self.answer_by);
        match expected + self.prefill_time(0) <= latest {
            true => Wait::For { expected, until: expected },
            false => Wait::Nothing,
        }
    }

    /// Logs and counts the end of a hold, and records how long adapters take.
    fn finish_hold(&self, held_for: Option<NoChoice>, began: Instant, succeeded: bool) {
        let Some(no_choice) = held_for else {
            return;
        };
        let took = began.elapsed();
        if no_choice == NoChoice::NoAdapter {
            self.node.missing_items.record_adapter_wait(took, self.node.now());
        }
        let kind = if succeeded { "came" } else { "did not come" };
        self.node.metrics.held.get_or_create(&KindLabel { kind }).observe(took.as_secs_f64());
        let (request, ms) = (&self.info.id, took.as_millis() as u64);
        log::info!(request:%, lack = no_choice.name(), ms, outcome = kind; "request held");
    }
}
