//! One request's story, out of the log lines of several nodes.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::{Map, Value};
use thiserror::Error;

/// How long before a request what a node believed is looked for, in milliseconds.
const BACKGROUND_MS: i64 = 10_000;

/// The fields that every line has; the rest are the event's own.
const COMMON_FIELDS: [&str; 4] = ["time", "level", "node", "event"];

/// Why there is no story.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoryError {
    /// No line was a log line.
    #[error("none of {lines} lines is a log line; give the standard output of serving nodes")]
    NoLog {
        /// How many lines were read.
        lines: usize,
    },
    /// The request does not appear.
    #[error(
        "request {id} is not in these logs ({lines} lines from {first} to {last}); \
         give the logs of every node of its zone, from its time"
    )]
    NotThere {
        /// The request.
        id: String,
        /// How many log lines were read.
        lines: usize,
        /// The time of the first line.
        first: String,
        /// The time of the last line.
        last: String,
    },
}

/// A line of a log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// When it was written, by the node's own clock.
    pub time: String,
    /// The node, or the file that the line came from.
    pub node: String,
    /// What happened.
    pub event: String,
    /// The event's own fields.
    pub fields: BTreeMap<String, Value>,
    /// The time in milliseconds since the epoch, to compare lines.
    #[serde(skip)]
    at_ms: i64,
}

impl LogLine {
    /// Reads a line; anything before its brace is passed over. `source` names a node whose lines
    /// do not say which node wrote them.
    pub fn read(text: &str, source: &str) -> Option<LogLine> {
        let json = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let mut common = |name| Some(fields.remove(name)?.as_str()?.to_owned());
        let (time, event) = (common("time")?, common("event")?);
        let node = common("node").unwrap_or_else(|| source.to_owned());
        let at_ms = millis(&time)?;
        let own = fields.into_iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        Some(LogLine { time, node, event, fields: own.collect(), at_ms })
    }

    /// Returns when it was written, in milliseconds since the epoch.
    pub fn at_ms(&self) -> i64 {
        self.at_ms
    }

    /// Returns a field that is text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns a field that is a number.
    pub fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field)?.as_f64()
    }
}

fn millis(time: &str) -> Option<i64> {
    let time = humantime::parse_rfc3339(time).ok()?;
    let since = time.duration_since(std::time::UNIX_EPOCH).ok()?;
    i64::try_from(since.as_millis()).ok()
}

/// What happened to one request, and what its node believed then.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Story {
    /// The request.
    pub request: String,
    /// How it ended, if its end is in the logs.
    pub outcome: Option<String>,
    /// Why.
    pub cause: Option<String>,
    /// What its node believed before: the configuration, the servers that it was sent to, lost
    /// dependencies, and times at which the process stood still.
    pub background: Vec<LogLine>,
    /// Its own lines, in order.
    pub lines: Vec<LogLine>,
}

/// Finds a request's story.
pub fn story(id: &str, lines: &[LogLine], read: usize) -> Result<Story, StoryError> {
    let (Some(first), Some(last)) =
        (lines.iter().min_by_key(|line| line.at_ms), lines.iter().max_by_key(|line| line.at_ms))
    else {
        return Err(StoryError::NoLog { lines: read });
    };
    let of_request = |line: &&LogLine| line.text("request") == Some(id);
    let mut own: Vec<LogLine> = lines.iter().filter(of_request).cloned().collect();
    own.sort_by_key(|line| line.at_ms);
    if own.is_empty() {
        let (first, last) = (first.time.clone(), last.time.clone());
        return Err(StoryError::NotThere { id: id.into(), lines: lines.len(), first, last });
    }
    let end = own.iter().rev().find(|line| line.event == "request ended");
    let outcome = end.and_then(|line| line.text("outcome")).map(str::to_owned);
    let cause = end.and_then(|line| line.text("cause")).map(str::to_owned);
    let background = background(&own, lines);
    Ok(Story { request: id.into(), outcome, cause, background, lines: own })
}

/// Finds what the node of a request believed while it was answered.
fn background(own: &[LogLine], lines: &[LogLine]) -> Vec<LogLine> {
    let (node, begin) = (&own[0].node, own[0].at_ms);
    let end = own.last().map_or(begin, |line| line.at_ms);
    let servers: Vec<&str> = own.iter().filter_map(|line| line.text("server")).collect();
    let model = own.iter().find_map(|line| line.text("model")).unwrap_or_default();
    let model = model.split('/').next().unwrap_or_default();
    let mut config: Option<&LogLine> = None;
    let mut found: Vec<&LogLine> = Vec::new();
    for line in lines.iter().filter(|line| line.at_ms <= end) {
        let recent = line.at_ms >= begin - BACKGROUND_MS;
        let here = line.node == *node;
        let of_server = line.text("server").is_some_and(|server| servers.contains(&server));
        let of_model = !model.is_empty() && line.text("model") == Some(model);
        match line.event.as_str() {
            "configuration in force" if here && line.at_ms <= begin => config = Some(line),
            "server joined" | "server drains" | "server left" if here && recent && of_server => {
                found.push(line);
            }
            "dependency lost" | "dependency regained" | "process stood still" | "stopping"
                if here && recent =>
            {
                found.push(line);
            }
            // Orders are given by one node for all.
            "order given" | "order not given" | "order undone" if recent && of_model => {
                found.push(line);
            }
            _ => {}
        }
    }
    let mut background: Vec<LogLine> = config.into_iter().chain(found).cloned().collect();
    background.sort_by_key(|line| line.at_ms);
    background
}
