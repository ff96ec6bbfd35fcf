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
use super::{Job, Tries};

/// How long after the moment that was told for it a load is still waited for: engines are asked each
/// 200 ms whether it is done, and word of it takes some milliseconds.
const COMING_SLACK: Duration = Duration::from_millis(250);

/// How long the answer to a question for a model may take: a plan is made within 15 ms of the question, at
/// the latest 250 ms after the one before, and the words of both go through the network.
const WORD_TIME: Duration = Duration::from_millis(300);

/// A wait, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// Nothing is known to come in time.
    Nothing,
    /// Something should be there at a moment, and is given up at a later one.
    For { there: Instant, until: Instant },
}

impl Job {
    /// Chooses a server; waits for one that is known to be able to answer in time.
    pub(super) async fn choose_or_wait(&self, tries: &Tries) -> Result<Chosen, Refusal> {
        let began = Instant::now();
        let mut held_for = None;
        loop {
            let changed = self.node.servers_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let lack = match self.choose(&tries.servers) {
                Ok(choice) => {
                    self.end_hold(held_for, began, true);
                    return Ok(Chosen { choice, turn: None });
                }
                Err(lack) => lack,
            };
            if let Some(item) = self.lacking(lack) {
                self.node.note_lack(&item);
            }
            // Another server that is tried after a failure is not waited for. Nor does a box hold what
            // it could not answer before it ends: its client finds another.
            let wait = match tries.servers.is_empty() && !self.node.is_stopping() {
                true => self.wait_for(lack),
                false => Wait::Nothing,
            };
            if let Some(chosen) = self.wait_for_turn(lack, tries).await {
                self.end_hold(Some(lack), began, true);
                return Ok(chosen);
            }
            let now = self.present();
            match wait {
                Wait::For { there, until } if now < until => {
                    held_for.get_or_insert(lack);
                    // Looked at again in any case: at the moment that was told, or when word comes.
                    let wake = if now < there { there.min(until) } else { until };
                    let _ = timeout_at(self.timer(wake), changed).await;
                }
                _ => {
                    self.end_hold(held_for, began, false);
                    let retry_after = self.come_back_for(lack);
                    return Err(match tries.may_have_run {
                        Some(cause) => Refusal::Failed(cause),
                        None => Refusal::NoServer { cause: lack.name(), retry_after },
                    });
                }
            }
        }
    }

    /// Returns what no engine holds, if that is what is lacking.
    pub(super) fn lacking(&self, lack: NoChoice) -> Option<ModelRef> {
        let item = self.info.model.as_ref()?;
        match lack {
            NoChoice::NoModel => Some(ModelRef { model: item.model.clone(), adapter: None }),
            NoChoice::NoAdapter => Some(item.clone()),
            NoChoice::NoServer
            | NoChoice::NotAllowed
            | NoChoice::Unavailable(_)
            | NoChoice::AllTried => None,
        }
    }

    /// Returns how long the request can wait for what is lacking.
    fn wait_for(&self, lack: NoChoice) -> Wait {
        if let NoChoice::Unavailable(Unavailable { until, cause: UnavailableCause::BacksOff }) =
            lack
        {
            return self.wait_until(until);
        }
        let Some(item) = self.lacking(lack) else {
            return Wait::Nothing;
        };
        let comes_at = self.node.overlay.lock().expected_at(&item);
        let (there, until) = match comes_at {
            Some(at) => {
                let there = self.present() + at.since(self.node.now());
                (there, there + COMING_SLACK)
            }
            None if lack == NoChoice::NoAdapter => {
                let until = self.arrived + self.node.missing_items.adapter_wait();
                (until, until)
            }
            None => {
                // What the configuration does not have never comes.
                let Some(load_time) = self.load_time() else {
                    return Wait::Nothing;
                };
                let word = self.arrived + WORD_TIME;
                (word + load_time, word)
            }
        };
        let latest = (self.arrived + self.route.target).min(self.end);
        match there + self.own_time() <= latest {
            true => Wait::For { there, until: until.min(latest) },
            false => Wait::Nothing,
        }
    }

    /// Returns the wait for servers that take nothing from this box until then, if that is in time. Requests that are held
    /// for the same one are let go one after the other.
    fn wait_until(&self, until: Moment) -> Wait {
        let there = self.present() + self.spread(until.since(self.node.now()));
        let latest = (self.arrived + self.route.target).min(self.end);
        match there + self.own_time() <= latest {
            true => Wait::For { there, until: there },
            false => Wait::Nothing,
        }
    }

    /// Logs and counts the end of a wait, and learns how long adapters take.
    fn end_hold(&self, held_for: Option<NoChoice>, began: Instant, came: bool) {
        let Some(lack) = held_for else {
            return;
        };
        let took = began.elapsed();
        if lack == NoChoice::NoAdapter {
            self.node.missing_items.record_adapter_wait(took);
        }
        let kind = if came { "came" } else { "did not come" };
        self.node.metrics.held.get_or_create(&KindLabel { kind }).observe(took.as_secs_f64());
        let (request, ms) = (&self.info.id, took.as_millis() as u64);
        log::info!(request:%, lack = lack.name(), ms, outcome = kind; "request held");
    }
}
