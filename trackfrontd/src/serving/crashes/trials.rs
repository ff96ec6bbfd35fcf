//! Trials of quarantined requests, which find out whether these really crash servers.
//!
//! One box grants the trials of a request: the first of those that count its crashes. Clients may be connected to any
//! other, so a box that is asked for the request asks the granting box. A trial that no server got is returned.
//!
//! How many were made is a fact of the deployment and not of the granting box, which may be lost: each trial has a row in
//! the store, and only the box that wrote it makes the trial. Without the store there are none.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Response, StatusCode};
use tokio::time::timeout;
use trackfront_adapters::http_client::{HttpError, request, with_body};
use trackfront_adapters::http_server::{Body, response};
use trackfront_core::ids::{TxnId, draw_id};
use trackfront_core::serving::fingerprint::Fingerprint;

use super::coordinators_of;
use super::rows::{self, TrialRow};
use crate::serving::node::ServingNode;

/// The path under which boxes ask for a trial, followed by the fingerprint.
const GRANT_PATH: &str = "/copy/1/trial/grant/";

/// The path under which boxes return a trial, followed by the fingerprint.
const RETURN_PATH: &str = "/copy/1/trial/return/";

/// The status of a granted trial. Boxes of earlier versions answer 200 to paths that they do not know.
const GRANTED: StatusCode = StatusCode::CREATED;

/// The maximum time that a request waits for a box to grant its trial.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum time that the granting box waits for the store: for the number of trials, and for the row of one.
const STORE_TIMEOUT: Duration = Duration::from_millis(200);

/// The transactions with which this box claims trials.
#[derive(Debug, Default)]
pub struct TrialClaims {
    /// Those of trials that were not made: the store did not say whether it has the row, or no server got the request.
    unused: HashMap<(Fingerprint, u32), TxnId>,
    /// Those of trials that were granted, with their numbers.
    granted: HashMap<Fingerprint, Vec<(u32, TxnId)>>,
}

impl TrialClaims {
    /// Returns the transaction that claims a trial.
    fn start(&mut self, fingerprint: Fingerprint, number: u32) -> TxnId {
        let drawn = || TxnId::from(draw_id("trial", &mut rand::rng()));
        self.unused.entry((fingerprint, number)).or_insert_with(drawn).clone()
    }

    /// Records that a trial is made.
    fn grant(&mut self, fingerprint: Fingerprint, number: u32) {
        if let Some(id) = self.unused.remove(&(fingerprint, number)) {
            self.granted.entry(fingerprint).or_default().push((number, id));
        }
    }

    /// Records that no server got the last trial.
    fn take_back(&mut self, fingerprint: Fingerprint) {
        let last = self.granted.get_mut(&fingerprint).and_then(Vec::pop);
        self.unused.extend(last.map(|(number, id)| ((fingerprint, number), id)));
    }

    /// Forgets the trials of requests that are no longer quarantined.
    pub fn retain(&mut self, is_quarantined: impl Fn(Fingerprint) -> bool) {
        self.unused.retain(|(fingerprint, _), _| is_quarantined(*fingerprint));
        self.granted.retain(|fingerprint, _| is_quarantined(*fingerprint));
    }
}

/// A trial that was granted to this box. It is returned when it is dropped before a server got the request.
pub struct Trial {
    node: Arc<ServingNode>,
    fingerprint: Fingerprint,
    granted_by: Ipv4Addr,
    is_sent: bool,
}

impl Trial {
    /// Asks for a trial of a quarantined request. Returns `None` if none is due.
    pub async fn start(node: &Arc<ServingNode>, fingerprint: Fingerprint) -> Option<Self> {
        let granted_by = *coordinators_of(node, fingerprint).first()?;
        let is_granted = if granted_by == node.settings.load().node.ip {
            grant(node, fingerprint).await
        } else {
            node.crashes.tracker.lock().should_ask_for_trial(fingerprint, node.now())
                && ask(node, granted_by, fingerprint).await
        };
        is_granted.then(|| {
            let is_part = fingerprint.is_part();
            log::info!(fingerprint:%, is_part, granted_by:%; "quarantined request sent as a trial");
            Self { node: node.clone(), fingerprint, granted_by, is_sent: false }
        })
    }

    /// Returns what is tried.
    pub fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }

    /// Records that the request is being sent to a server.
    pub fn mark_sent(&mut self) {
        self.is_sent = true;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if self.is_sent {
            return;
        }
        let (fingerprint, granted_by) = (self.fingerprint, self.granted_by);
        log::info!(fingerprint:%, granted_by:%; "trial returned, no server got it");
        if granted_by == self.node.settings.load().node.ip {
            take_back(&self.node, fingerprint);
        } else {
            tokio::spawn(give_back(self.node.clone(), granted_by, fingerprint));
        }
    }
}

/// Grants a trial if one is due and its row could be written.
async fn grant(node: &ServingNode, fingerprint: Fingerprint) -> bool {
    let needs_count = node.crashes.tracker.lock().needs_trial_count(fingerprint, node.now());
    if needs_count {
        let Ok(Ok(made)) = timeout(STORE_TIMEOUT, rows::count_trials(node, fingerprint)).await
        else {
            log::info!(fingerprint:%; "no trial, it is not known how many were made");
            return false;
        };
        node.crashes.tracker.lock().set_trials_made(fingerprint, made);
    }
    let (number, report) = {
        let mut tracker = node.crashes.tracker.lock();
        if !tracker.start_trial(fingerprint, node.now()) {
            return false;
        }
        let Some(report) = tracker.report(fingerprint).cloned() else { return false };
        (tracker.trials_made(fingerprint), report)
    };
    let id = node.crashes.trial_claims.lock().start(fingerprint, number);
    let claimed = timeout(STORE_TIMEOUT, rows::claim_trial(node, &report, number, id)).await;
    let row = claimed.unwrap_or(TrialRow::Unknown);
    match row {
        TrialRow::Written => node.crashes.trial_claims.lock().grant(fingerprint, number),
        TrialRow::Taken => {}
        // It is claimed again when the next one is due.
        TrialRow::Unknown => node.crashes.tracker.lock().return_trial(fingerprint),
    }
    let is_granted = row == TrialRow::Written;
    log::info!(fingerprint:%, number, is_granted, row = row.name(); "trial claimed");
    is_granted
}

fn take_back(node: &ServingNode, fingerprint: Fingerprint) {
    node.crashes.tracker.lock().return_trial(fingerprint);
    node.crashes.trial_claims.lock().take_back(fingerprint);
}

async fn ask(node: &ServingNode, granting_box: Ipv4Addr, fingerprint: Fingerprint) -> bool {
    let answer = call(node, granting_box, GRANT_PATH, fingerprint).await;
    let outcome = match &answer {
        Ok(GRANTED) => "granted".to_owned(),
        Ok(_) => "none is due".to_owned(),
        Err(error) => error.to_string(),
    };
    log::info!(fingerprint:%, of:% = granting_box, outcome; "trial asked for");
    answer.is_ok_and(|status| status == GRANTED)
}

async fn give_back(node: Arc<ServingNode>, granting_box: Ipv4Addr, fingerprint: Fingerprint) {
    if let Err(error) = call(&node, granting_box, RETURN_PATH, fingerprint).await {
        log::info!(fingerprint:%, of:% = granting_box, error:%; "trial not returned");
    }
}

async fn call(
    node: &ServingNode,
    ip: Ipv4Addr,
    path: &str,
    fingerprint: Fingerprint,
) -> Result<StatusCode, HttpError> {
    let address = format!("{ip}:{}", node.settings.load().listen.peers);
    let request = with_body(request(Method::POST, &address, &format!("{path}{fingerprint}")), "")?;
    let answer = node.exchange.client().fetch(request, GRANT_TIMEOUT).await?;
    Ok(answer.status)
}

/// Answers a box that asks for a trial or returns one; returns `None` if the path is another.
pub async fn answer(node: &ServingNode, path: &str) -> Option<Response<Body>> {
    let parse = |prefix| u64::from_str_radix(path.strip_prefix(prefix)?, 16).ok().map(Fingerprint);
    let status = match (parse(GRANT_PATH), parse(RETURN_PATH)) {
        (Some(fingerprint), _) if grant(node, fingerprint).await => GRANTED,
        (Some(_), _) => StatusCode::NO_CONTENT,
        (None, Some(fingerprint)) => {
            take_back(node, fingerprint);
            StatusCode::NO_CONTENT
        }
        (None, None) => return None,
    };
    Some(response(status, "text/plain", ""))
}
