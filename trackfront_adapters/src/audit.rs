//! The audit trail in the platform's object store, written in batches.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use trackfront_core::audit::{AuditEvent, AuditRecord, AuditSink};
use trackfront_core::ids::NodeId;
use trackfront_core::ports::{Clock, Objects};

/// How often a batch is written, if there is anything to write.
const WRITE_EVERY: Duration = Duration::from_secs(2);

/// How many records are kept while the store is away; later ones are counted as lost.
const MAX_KEPT: usize = 20_000;

/// How many records go into one object.
const MAX_BATCH: usize = 2_000;

/// The folder of the audit trail in the object store.
pub const AUDIT_PREFIX: &str = "audit/";

/// Buffers audit records and writes them to the object store.
pub struct AuditWriter {
    me: NodeId,
    clock: Arc<dyn Clock>,
    objects: Arc<dyn Objects>,
    buffer: Mutex<Buffer>,
}

#[derive(Default)]
struct Buffer {
    records: Vec<AuditRecord>,
    lost: u64,
    batches: u64,
}

impl AuditWriter {
    /// Makes a writer for the box `me`.
    pub fn new(me: NodeId, clock: Arc<dyn Clock>, objects: Arc<dyn Objects>) -> Self {
        Self { me, clock, objects, buffer: Mutex::default() }
    }

    /// Writes batches until the task is stopped; then [`AuditWriter::flush`] writes the rest.
    pub async fn run(&self) {
        loop {
            self.clock.sleep(WRITE_EVERY).await;
            self.flush().await;
        }
    }

    /// Writes what is buffered, as far as the store takes it.
    pub async fn flush(&self) {
        while let Some(batch) = self.next_batch() {
            let name = self.object_name(&batch);
            let body = encode(&batch);
            // A batch whose reply was lost is written again under the same name.
            if let Err(error) = self.objects.put(&name, body).await {
                log::warn!("audit records wait: {error}");
                return;
            }
            self.drop_written(batch.len());
        }
    }

    /// Returns the next records to write, without taking them out.
    fn next_batch(&self) -> Option<Vec<AuditRecord>> {
        let mut buffer = self.buffer.lock();
        if buffer.lost > 0 && buffer.records.len() < MAX_KEPT {
            let lost = std::mem::take(&mut buffer.lost);
            let gap = self.stamp(AuditEvent::Gap { lost });
            buffer.records.push(gap);
        }
        let count = buffer.records.len().min(MAX_BATCH);
        (count > 0).then(|| buffer.records[..count].to_vec())
    }

    fn drop_written(&self, count: usize) {
        let mut buffer = self.buffer.lock();
        buffer.records.drain(..count);
        buffer.batches += 1;
    }

    /// Names the object so that names sort by time.
    fn object_name(&self, batch: &[AuditRecord]) -> String {
        let batches = self.buffer.lock().batches;
        let first = batch.first().map_or(0, |record| record.at.0);
        format!("{AUDIT_PREFIX}{first:014}-{}-{batches:06}", self.me)
    }

    fn stamp(&self, event: AuditEvent) -> AuditRecord {
        AuditRecord { at: self.clock.unix(), by: self.me.clone(), event }
    }
}

impl AuditSink for AuditWriter {
    fn record(&self, event: AuditEvent) {
        log::info!(target: "audit", "{}", serde_json::to_string(&event).unwrap_or_default());
        let record = self.stamp(event);
        let mut buffer = self.buffer.lock();
        if buffer.records.len() < MAX_KEPT {
            buffer.records.push(record);
        } else {
            buffer.lost += 1;
        }
    }
}

/// Encodes a batch as JSON lines.
fn encode(batch: &[AuditRecord]) -> Bytes {
    let mut text = String::new();
    for record in batch {
        text.push_str(&serde_json::to_string(record).expect("our own types always encode"));
        text.push('\n');
    }
    text.into()
}

/// Reads a batch; lines that do not decode are passed over.
pub fn decode(body: &[u8]) -> Vec<AuditRecord> {
    body.split(|byte| *byte == b'\n').filter_map(|line| serde_json::from_slice(line).ok()).collect()
}
