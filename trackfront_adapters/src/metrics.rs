//! The metrics of a box, in the Prometheus text format.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// The content type of [`Metrics::encode`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The first bucket of the time histograms, in seconds.
const FIRST_BUCKET: f64 = 0.001;

/// The number of buckets of the time histograms, each twice as large as the one before.
const BUCKETS: u16 = 16;

/// The labels of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// `completion`, `chat` or `plain`.
    pub kind: &'static str,
    /// `answered`, or the kind of error.
    pub result: &'static str,
}

/// The labels of a dropped frame.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FrameLabels {
    /// `other_request` or `repeated`.
    pub reason: &'static str,
}

/// All metrics of a box.
pub struct Metrics {
    registry: Registry,
    /// Requests that ended.
    pub requests: Family<RequestLabels, Counter>,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// The time to the first piece of an answer.
    pub first_token: Histogram,
    /// Retries at further backend servers.
    pub retries: Counter,
    /// Recovered streams.
    pub resumes: Counter,
    /// Dropped frames, by reason.
    pub dropped_frames: Family<FrameLabels, Counter>,
    /// The revision in force.
    pub revision: Gauge<u64, AtomicU64>,
    /// The number of held leases.
    pub leases: Gauge,
    /// The number of live peers.
    pub live_peers: Gauge,
    /// Transactions sent to the platform's table.
    pub table_writes: Counter,
    /// Reads sent to the platform's table.
    pub table_reads: Counter,
    /// Load reports read from engines.
    pub reports_read: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("trackfront"),
            requests: Family::default(),
            in_flight: Gauge::default(),
            first_token: Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS)),
            retries: Counter::default(),
            resumes: Counter::default(),
            dropped_frames: Family::default(),
            revision: Gauge::default(),
            leases: Gauge::default(),
            live_peers: Gauge::default(),
            table_writes: Counter::default(),
            table_reads: Counter::default(),
            reports_read: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests that came to an end", self.requests.clone());
        registry.register("in_flight", "Requests in progress", self.in_flight.clone());
        registry.register_with_unit(
            "first_token",
            "Time to the first piece of an answer",
            Unit::Seconds,
            self.first_token.clone(),
        );
        registry.register("retries", "Sends to a further backend server", self.retries.clone());
        registry.register("resumes", "Streams resumed at their offset", self.resumes.clone());
        registry.register("dropped_frames", "Frames dropped", self.dropped_frames.clone());
        registry.register("revision", "The revision in force", self.revision.clone());
        registry.register("leases", "Leases held", self.leases.clone());
        registry.register("live_peers", "Peers that answer", self.live_peers.clone());
        registry.register("table_writes", "Table transactions sent", self.table_writes.clone());
        registry.register("table_reads", "Table reads sent", self.table_reads.clone());
        registry.register("reports_read", "Engine reports read", self.reports_read.clone());
    }

    /// Counts the end of a request.
    pub fn request_ended(&self, kind: &'static str, result: &'static str) {
        self.requests.get_or_create(&RequestLabels { kind, result }).inc();
    }

    /// Returns the number of completions with complete answers.
    pub fn text_answers(&self) -> u64 {
        let labels = RequestLabels { kind: "completion", result: "answered" };
        self.requests.get_or_create(&labels).get()
    }

    /// Counts a dropped frame.
    pub fn frame_dropped(&self, reason: &'static str) {
        self.dropped_frames.get_or_create(&FrameLabels { reason }).inc();
    }

    /// Records the time to the first piece of an answer.
    pub fn first_token_after(&self, time: Duration) {
        self.first_token.observe(time.as_secs_f64());
    }

    /// Returns all metrics as text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string cannot fail");
        text
    }
}
