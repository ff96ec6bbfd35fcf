//! What requests were lost to, by cause, out of the log lines of many boxes.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::story::LogLine;

/// The shares of the estimates and waits that are told, in hundredths.
const QUANTILES: [usize; 3] = [10, 50, 90];

/// How long before its box says that it stood still, and after that, a request that ends unanswered counts as lost to it.
/// Boxes look once a second; what they believe of servers and keys is new again some seconds later.
const BEFORE_STANDSTILL_MS: i64 = 1_500;
const AFTER_STANDSTILL_MS: i64 = 3_000;

/// How many of something, and how long or how large it was: the tenth, fiftieth and ninetieth of a
/// hundred.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// How many there are.
    pub count: usize,
    /// The three values; zero if there are none.
    pub quantiles: [f64; 3],
}

impl Spread {
    fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let count = values.len();
        let at = |percent: usize| match count {
            0 => 0.0,
            _ => values[(count - 1) * percent / 100],
        };
        Spread { count, quantiles: QUANTILES.map(at) }
    }
}

/// What the logs tell of all requests together.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Losses {
    /// Log lines that were read.
    pub lines: usize,
    /// Lines that are none of ours.
    pub foreign: usize,
    /// Ended requests: by outcome, then by cause.
    pub ended: BTreeMap<String, BTreeMap<String, usize>>,
    /// Ended requests of client accounts: by account, then by outcome.
    pub by_account: BTreeMap<String, BTreeMap<String, usize>>,
    /// Requests refused as not run: by the second since the first line, then by cause.
    pub refused_by_second: BTreeMap<i64, BTreeMap<String, usize>>,
    /// Refusals by servers, by status and kind.
    pub refused_by_servers: BTreeMap<String, usize>,
    /// Sends that reached no server or got no answer, by what happened.
    pub failed_sends: BTreeMap<String, usize>,
    /// Requests that ended unanswered around a suspension of their box's machine or a standstill of its process, by
    /// outcome.
    pub around_standstills: BTreeMap<String, usize>,
    /// How long requests were held, in milliseconds, by what was lacking and what came of it.
    pub held_ms: BTreeMap<String, Spread>,
    /// The time to the first event over what was expected.
    pub first_event_ratio: Spread,
}

/// Takes log lines in, one after the other, and sums them up at the end.
#[derive(Debug, Default)]
pub struct LossCounter {
    losses: Losses,
    first_ms: Option<i64>,
    refused: Vec<(i64, String)>,
    /// Requests that ended unanswered: box, when, outcome.
    unanswered: Vec<(String, i64, String)>,
    /// When boxes said that they had stood still.
    standstills: BTreeMap<String, Vec<i64>>,
    held: BTreeMap<String, Vec<f64>>,
    ratios: Vec<f64>,
}

impl LossCounter {
    /// Takes a line in; `None` stands for one that is none of ours.
    pub fn take(&mut self, line: Option<&LogLine>) {
        let Some(line) = line else {
            self.losses.foreign += 1;
            return;
        };
        self.losses.lines += 1;
        let at_ms = line.at_ms();
        self.first_ms = Some(self.first_ms.map_or(at_ms, |first| first.min(at_ms)));
        match line.event.as_str() {
            "request ended" => self.take_end(line),
            "server refused" => self.take_server_refusal(line),
            "not sent" | "answer lost" | "answer to another request" | "stream broke off" => {
                *self.losses.failed_sends.entry(line.event.clone()).or_default() += 1;
            }
            "machine was suspended" | "process stood still" => {
                self.standstills.entry(line.node.clone()).or_default().push(at_ms);
            }
            "request held" => self.take_hold(line),
            "first event" => self.take_first_event(line),
            _ => {}
        }
    }

    fn take_end(&mut self, line: &LogLine) {
        let outcome = line.text("outcome").unwrap_or("unknown").to_owned();
        let cause = short_cause(line.text("cause").unwrap_or_default());
        let by_cause = self.losses.ended.entry(outcome.clone()).or_default();
        *by_cause.entry(cause.clone()).or_default() += 1;
        if let Some(account) = line.text("account").filter(|account| !account.is_empty()) {
            let by_outcome = self.losses.by_account.entry(account.to_owned()).or_default();
            *by_outcome.entry(outcome.clone()).or_default() += 1;
        }
        if outcome != "answered" {
            self.unanswered.push((line.node.clone(), line.at_ms(), outcome.clone()));
        }
        if matches!(outcome.as_str(), "no_server" | "not_current" | "limit_reached") {
            self.refused.push((line.at_ms(), cause));
        }
    }

    fn take_server_refusal(&mut self, line: &LogLine) {
        let status = line.number("status").unwrap_or_default();
        let is = |field: &str| line.fields.get(field).and_then(|value| value.as_bool());
        let kind = match (is("replaced"), is("misdirected")) {
            (Some(true), _) => ", another run has the address",
            (_, Some(true)) => ", it lacks what was asked for",
            _ => "",
        };
        *self.losses.refused_by_servers.entry(format!("{status}{kind}")).or_default() += 1;
    }

    fn take_hold(&mut self, line: &LogLine) {
        let text = |field: &str| line.text(field).unwrap_or("unknown").to_owned();
        let key = format!("{}: {}", text("lack"), text("outcome"));
        if let Some(ms) = line.number("ms") {
            self.held.entry(key).or_default().push(ms);
        }
    }

    fn take_first_event(&mut self, line: &LogLine) {
        if let (Some(ms), Some(expected)) = (line.number("ms"), line.number("expected_ms")) {
            self.ratios.push(ms / expected.max(1.0));
        }
    }

    /// Sums up what was taken in.
    pub fn sum_up(self) -> Losses {
        let mut losses = self.losses;
        let first = self.first_ms.unwrap_or_default();
        for (at_ms, cause) in self.refused {
            let by_cause = losses.refused_by_second.entry((at_ms - first) / 1_000).or_default();
            *by_cause.entry(cause).or_default() += 1;
        }
        for (node, at_ms, outcome) in &self.unanswered {
            let mut standstills = self.standstills.get(node).into_iter().flatten();
            let around = -BEFORE_STANDSTILL_MS..=AFTER_STANDSTILL_MS;
            if standstills.any(|stood| around.contains(&(at_ms - stood))) {
                *losses.around_standstills.entry(outcome.clone()).or_default() += 1;
            }
        }
        losses.held_ms =
            self.held.into_iter().map(|(key, values)| (key, Spread::of(values))).collect();
        losses.first_event_ratio = Spread::of(self.ratios);
        losses
    }
}

/// Cuts what a refusal says to its cause: what stands around it is the same for all. Accounts are summed up
/// by themselves.
fn short_cause(cause: &str) -> String {
    let begun = cause.strip_prefix("no server can answer now: ").unwrap_or(cause);
    let begun = begun.split("; the request has not run").next().unwrap_or(begun);
    match begun.strip_prefix("the client account ") {
        Some(_) if begun.ends_with("has reached its limit") => {
            "the account has reached its limit".into()
        }
        _ => begun.to_owned(),
    }
}
