//! The audit trail in the platform's object store, written in batches.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use trackfront_core::audit::{AuditEvent, AuditRecord, AuditSink};
use trackfront_core::ids::NodeId;
use trackfront_core::ports::{Clock, Objects};

/// The interval at which batches are written.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);

/// The maximum number of buffered records. More are counted as lost.
const MAX_BUFFERED: usize = 20_000;

/// The maximum number of records in an object.
const MAX_BATCH: usize = 2_000;

/// The folder of the audit trail in the object store.
pub const AUDIT_PREFIX: &str = "audit/";

/// Buffers audit records and writes them to the object store.
pub struct AuditWriter {
    own_id: NodeId,
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
    /// Creates the writer of the box `own_id`.
    pub fn new(own_id: NodeId, clock: Arc<dyn Clock>, objects: Arc<dyn Objects>) -> Self {
        Self { own_id, clock, objects, buffer: Mutex::default() }
    }

    /// Writes batches until the task is stopped. [`AuditWriter::flush`] writes the rest.
    pub async fn run(&self) {
        loop {
            self.clock.sleep(WRITE_INTERVAL).await;
            self.flush().await;
        }
    }

    /// Writes all buffered records, until the store fails.
    pub async fn flush(&self) {
        while let Some(batch) = self.next_batch() {
            let name = self.object_name(&batch);
            let body = encode(&batch);
            // A batch whose reply was lost is written again with the same name.
            if let Err(error) = self.objects.put(&name, body).await {
                log::warn!("audit records wait: {error}");
                return;
            }
            self.drop_written(batch.len());
        }
    }

    /// Returns the next records to write, which stay in the buffer.
    fn next_batch(&self) -> Option<Vec<AuditRecord>> {
        let mut buffer = self.buffer.lock();
        if buffer.lost > 0 && buffer.records.len() < MAX_BUFFERED {
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

    /// Returns the name of an object. Names sort by time.
    fn object_name(&self, batch: &[AuditRecord]) -> String {
        let batches = self.buffer.lock().batches;
        let first = batch.first().map_or(0, |record| record.at.0);
        format!("{AUDIT_PREFIX}{first:014}-{}-{batches:06}", self.own_id)
    }

    fn stamp(&self, event: AuditEvent) -> AuditRecord {
        AuditRecord { at: self.clock.unix(), by: self.own_id.clone(), event }
    }
}

impl AuditSink for AuditWriter {
    fn record(&self, event: AuditEvent) {
        log::info!(target: "audit", "{}", serde_json::to_string(&event).unwrap_or_default());
        let record = self.stamp(event);
        let mut buffer = self.buffer.lock();
        if buffer.records.len() < MAX_BUFFERED {
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

/// Decodes a batch. Invalid lines are skipped.
pub fn decode(body: &[u8]) -> Vec<AuditRecord> {
    body.split(|byte| *byte == b'\n').filter_map(|line| serde_json::from_slice(line).ok()).collect()
}
