//! Log lines on standard output through a bounded queue.
//!
//! Logging never waits: a line that finds the queue full is dropped and counted, and the count is
//! written once there is room again.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use anyhow::Context;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value as Json};

/// How many lines wait at most; at about 300 bytes each this is 1.2 MB.
const QUEUE_LINES: usize = 4_096;

/// How many lines are written with one call at most.
const BATCH: usize = 256;

/// How many lines were dropped.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Returns how many lines were dropped since the start.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Starts logging to `output` by a thread of its own. Fails if logging was started before.
pub fn start(
    node: &str,
    level: LevelFilter,
    output: impl Write + Send + 'static,
) -> anyhow::Result<DroppedLines> {
    let dropped = DroppedLines::default();
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let counted = dropped.clone();
    std::thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&receiver, output, &counted))
        .context("cannot start the thread that writes the log")?;
    let counted = dropped.clone();
    let node = node.to_owned();
    let queue = fern::Output::call(move |record| enqueue(&sender, line(&node, record), &counted));
    fern::Dispatch::new()
        .level(level)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("h2", LevelFilter::Warn)
        .chain(queue)
        .apply()
        .context("cannot start logging")?;
    Ok(dropped)
}

fn enqueue(sender: &SyncSender<String>, line: String, dropped: &DroppedLines) {
    if let Err(TrySendError::Full(_)) = sender.try_send(line) {
        dropped.0.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_lines(receiver: &Receiver<String>, mut output: impl Write, dropped: &DroppedLines) {
    let mut told = 0;
    let mut batch = String::new();
    while let Ok(first) = receiver.recv() {
        batch.push_str(&first);
        for more in receiver.try_iter().take(BATCH) {
            batch.push_str(&more);
        }
        let count = dropped.count();
        if count > told {
            let event = "log lines dropped";
            batch.push_str(&format!("{{\"event\":\"{event}\",\"total\":{count}}}\n"));
            told = count;
        }
        // A reader that has gone away is no reason to stop serving.
        let _ = output.write_all(batch.as_bytes());
        let _ = output.flush();
        batch.clear();
    }
}

/// Collects the fields of a record.
struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(number) = value.to_u64() {
            Json::from(number)
        } else if let Some(number) = value.to_f64() {
            Json::from(number)
        } else if let Some(truth) = value.to_bool() {
            Json::from(truth)
        } else {
            Json::from(value.to_string())
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Formats one record as a line of JSON: time, node, level, event, and the record's fields.
fn line(node: &str, record: &Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    let time = humantime::format_rfc3339_millis(std::time::SystemTime::now()).to_string();
    fields.0.insert("time".into(), time.into());
    fields.0.insert("node".into(), node.into());
    fields.0.insert("level".into(), record.level().as_str().into());
    fields.0.insert("event".into(), record.args().to_string().into());
    // The collector's visit never fails.
    let _ = record.key_values().visit(&mut fields);
    let mut line = serde_json::to_string(&fields.0).unwrap_or_default();
    line.push('\n');
    line
}
