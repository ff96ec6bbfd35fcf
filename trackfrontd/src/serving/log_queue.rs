//! Log lines on standard output through a bounded queue.
//!
//! Logging never waits: a line that finds the queue full is dropped and counted, and the count is
//! written once there is room again. Only the end of the program waits, for a bounded time, until the queue
//! is written: its last lines say why it ended.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use anyhow::Context;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value as Json};

/// How many lines wait at most; at about 300 bytes each this is 1.2 MB.
const QUEUE_LINES: usize = 4_096;

/// How many lines are written with one call at most.
const BATCH: usize = 256;

/// How often it is looked whether the queue is written.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// The queue of lines, as others see it.
#[derive(Clone, Debug, Default)]
pub struct LogQueue(Arc<Counts>);

/// Counts of lines since the start.
#[derive(Debug, Default)]
struct Counts {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl LogQueue {
    /// Returns how many lines were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }

    /// Waits until what is queued is written, for `time` at most. Returns whether it is.
    pub fn wait_until_written(&self, time: Duration) -> bool {
        let start = Instant::now();
        let queued = self.0.queued.load(Ordering::Acquire);
        while self.0.written.load(Ordering::Acquire) < queued {
            if start.elapsed() >= time {
                return false;
            }
            std::thread::sleep(LOOK_EVERY);
        }
        true
    }
}

/// Starts logging to `output` by a thread of its own. Fails if logging was started before.
pub fn start(
    node: &str,
    level: LevelFilter,
    output: impl Write + Send + 'static,
) -> anyhow::Result<LogQueue> {
    let lines = LogQueue::default();
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let counted = lines.clone();
    std::thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&receiver, output, &counted))
        .context("cannot start the thread that writes the log")?;
    let counted = lines.clone();
    let node = node.to_owned();
    let queue = fern::Output::call(move |record| enqueue(&sender, line(&node, record), &counted));
    fern::Dispatch::new()
        .level(level)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("h2", LevelFilter::Warn)
        .chain(queue)
        .apply()
        .context("cannot start logging")?;
    Ok(lines)
}

fn enqueue(sender: &SyncSender<String>, line: String, LogQueue(counts): &LogQueue) {
    match sender.try_send(line) {
        Ok(()) => counts.queued.fetch_add(1, Ordering::Release),
        Err(TrySendError::Full(_)) => counts.dropped.fetch_add(1, Ordering::Relaxed),
        // The thread that writes has ended, so nobody reads lines any more.
        Err(TrySendError::Disconnected(_)) => 0,
    };
}

fn write_lines(receiver: &Receiver<String>, mut output: impl Write, lines: &LogQueue) {
    let mut told = 0;
    let mut batch = String::new();
    while let Ok(first) = receiver.recv() {
        let mut taken = 1;
        batch.push_str(&first);
        for more in receiver.try_iter().take(BATCH) {
            batch.push_str(&more);
            taken += 1;
        }
        let count = lines.dropped();
        if count > told {
            let event = "log lines dropped";
            batch.push_str(&format!("{{\"event\":\"{event}\",\"total\":{count}}}\n"));
            told = count;
        }
        // A reader that has gone away is no reason to stop serving.
        let _ = output.write_all(batch.as_bytes());
        let _ = output.flush();
        lines.0.written.fetch_add(taken, Ordering::Release);
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
