//! Writes log lines to standard output through a bounded queue.
//!
//! Logging never blocks: a line that finds the queue full is dropped and counted, and the count is
//! written once there is room again. Only the exit of the program waits, for a bounded time, until
//! the queue is written, since the last lines say why it ended.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use anyhow::Context;
use log::kv::{Error, Key, Value, VisitSource, VisitValue};
use log::{LevelFilter, Record};
use serde_json::{Map, Value as Json};

/// The capacity of the queue. At about 300 bytes each, the lines take 1.2 MB.
const QUEUE_LINES: usize = 4_096;

/// The most lines, beside the first one, that are written with one call.
const BATCH_LINES: usize = 256;

/// The interval at which [`LogQueue::wait_until_written`] checks the queue.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// A handle to the queue and its counts.
#[derive(Clone, Debug, Default)]
pub struct LogQueue(Arc<Counts>);

/// The numbers of lines since the start.
#[derive(Debug, Default)]
struct Counts {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl LogQueue {
    /// Returns the number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }

    /// Waits at most `timeout` until all queued lines are written, and returns whether they are.
    pub fn wait_until_written(&self, timeout: Duration) -> bool {
        let start = Instant::now();
        let queued = self.0.queued.load(Ordering::Acquire);
        while self.0.written.load(Ordering::Acquire) < queued {
            if start.elapsed() >= timeout {
                return false;
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        true
    }
}

/// Starts logging to `output` from a dedicated thread. Fails if a logger is already set.
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
        // The writer thread has ended, so no line is written any more.
        Err(TrySendError::Disconnected(_)) => 0,
    };
}

fn write_lines(receiver: &Receiver<String>, mut output: impl Write, lines: &LogQueue) {
    let mut reported = 0;
    let mut batch = String::new();
    while let Ok(first) = receiver.recv() {
        let mut lines_in_batch = 1;
        batch.push_str(&first);
        for more in receiver.try_iter().take(BATCH_LINES) {
            batch.push_str(&more);
            lines_in_batch += 1;
        }
        let count = lines.dropped();
        if count > reported {
            let event = "log lines dropped";
            batch.push_str(&format!("{{\"event\":\"{event}\",\"total\":{count}}}\n"));
            reported = count;
        }
        // Serving continues even if the reader of the log has gone.
        let _ = output.write_all(batch.as_bytes());
        let _ = output.flush();
        lines.0.written.fetch_add(lines_in_batch, Ordering::Release);
        batch.clear();
    }
}

/// Whether a value is that of an `Option` without one.
#[derive(Default)]
struct IsNull(bool);

impl<'v> VisitValue<'v> for IsNull {
    fn visit_any(&mut self, _: Value<'_>) -> Result<(), Error> {
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), Error> {
        self.0 = true;
        Ok(())
    }
}

/// The collected fields of a record; those without a value are left out.
struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let mut is_null = IsNull::default();
        value.visit(&mut is_null)?;
        if is_null.0 {
            return Ok(());
        }
        let json = if let Some(number) = value.to_u64() {
            Json::from(number)
        } else if let Some(number) = value.to_f64() {
            Json::from(number)
        } else if let Some(flag) = value.to_bool() {
            Json::from(flag)
        } else {
            Json::from(value.to_string())
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Formats a record as a line of JSON with the time, node, level, event and the record's fields.
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
