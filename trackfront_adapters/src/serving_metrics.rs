//! Counters and latency histograms of the request pipeline and of placement.

use std::collections::BTreeSet;

use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// The first bucket of the time histograms, in seconds; each is twice the one before.
const FIRST_BUCKET: f64 = 0.001;

/// The number of buckets of the time histograms.
const BUCKETS: u16 = 16;

/// The labels of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The kind of route.
    pub kind: &'static str,
    /// `answered`, or the kind of refusal.
    pub outcome: &'static str,
}

/// The labels of a finished request of a client account.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AccountLabels {
    /// The account's name, or `other` beyond the first [`MAX_ACCOUNTS`].
    pub account: String,
    /// `answered`, or the kind of refusal.
    pub outcome: &'static str,
}

/// The maximum number of accounts with their own counters, which bounds the memory.
pub const MAX_ACCOUNTS: usize = 64;

/// The label of all other accounts.
const OTHER_ACCOUNTS: &str = "other";

/// The label of metrics by kind.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// The kind.
    pub kind: &'static str,
}

/// All metrics of a serving node.
pub struct ServingMetrics {
    registry: Registry,
    /// Requests that ended.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Requests that ended, by client account.
    pub by_account: Family<AccountLabels, Counter>,
    accounts: Mutex<BTreeSet<String>>,
    /// Requests that were refused as not run, by cause.
    pub refusals: Family<KindLabel, Counter>,
    /// Rows that describe no usable server, by version.
    pub unusable_rows: Counter,
    /// Sends to servers, by result.
    pub sends: Family<KindLabel, Counter>,
    /// Connections to servers through other boxes, by result.
    pub relayed: Family<KindLabel, Counter>,
    /// Connections that other boxes asked this one to carry, by result.
    pub carried: Family<KindLabel, Counter>,
    /// The time to the first event or to the complete plain answer, by kind of route.
    pub first_event: Family<KindLabel, Histogram>,
    /// The ratio of the time to the first event to its estimate.
    pub estimate_ratio: Histogram,
    /// How long requests were held, by how it ended.
    pub held: Family<KindLabel, Histogram>,
    /// Questions for the load of engines, by result.
    pub load_questions: Family<KindLabel, Counter>,
    /// Questions of other boxes for the load of engines that were answered.
    pub loads_answered: Counter,
    /// New connections of clients, taken or refused.
    pub client_connections: Family<KindLabel, Counter>,
    /// Events of requests that crash servers: crashes, quarantines and releases.
    pub crashes: Family<KindLabel, Counter>,
    /// New notices of servers in answers, by kind: leaves, limited, unlimited, backs off.
    pub notices: Family<KindLabel, Counter>,
    /// The number of servers with a notice in force, by the same kinds.
    pub noticed_servers: Family<KindLabel, Gauge>,
    /// Suspensions of the machine and pauses of the process.
    pub standstills: Family<KindLabel, Counter>,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// Calls to the platform's store, by kind.
    pub store_calls: Family<KindLabel, Counter>,
    /// Orders sent to engines, by answer.
    pub orders: Family<KindLabel, Counter>,
    /// Whether a dependency is available (1) or lost (0).
    pub dependencies: Family<KindLabel, Gauge>,
    /// The version of the configuration in force.
    pub config_version: Gauge,
    /// The era of the platform's store; 0 if it has none.
    pub store_era: Gauge,
    /// The number of evacuated halls.
    pub evacuated_halls: Gauge,
    /// The number of live boxes, including this one.
    pub nodes: Gauge,
    /// Log lines that were dropped because the output was read too slowly.
    pub dropped_lines: Gauge,
    /// The bytes of requests and answers that are held.
    pub held_bytes: Gauge,
    /// Opened connections to servers.
    pub connections_opened: Gauge,
    /// Requests on reused connections.
    pub connections_reused: Gauge,
}

fn latency() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS))
}

impl Default for ServingMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("trackfront_serving"),
            requests: Family::default(),
            by_account: Family::default(),
            accounts: Mutex::default(),
            refusals: Family::default(),
            unusable_rows: Counter::default(),
            sends: Family::default(),
            relayed: Family::default(),
            carried: Family::default(),
            first_event: Family::new_with_constructor(latency),
            estimate_ratio: Histogram::new(exponential_buckets(0.0625, 2.0, 9)),
            held: Family::new_with_constructor(latency),
            load_questions: Family::default(),
            loads_answered: Counter::default(),
            client_connections: Family::default(),
            crashes: Family::default(),
            notices: Family::default(),
            noticed_servers: Family::default(),
            standstills: Family::default(),
            in_flight: Gauge::default(),
            store_calls: Family::default(),
            orders: Family::default(),
            dependencies: Family::default(),
            config_version: Gauge::default(),
            store_era: Gauge::default(),
            evacuated_halls: Gauge::default(),
            nodes: Gauge::default(),
            dropped_lines: Gauge::default(),
            held_bytes: Gauge::default(),
            connections_opened: Gauge::default(),
            connections_reused: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl ServingMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests that came to an end", self.requests.clone());
        let by_account = self.by_account.clone();
        registry.register(
            "account_requests",
            "Requests that came to an end, by account",
            by_account,
        );
        let refusals = self.refusals.clone();
        registry.register("refusals", "Requests refused as not run by cause", refusals);
        let unusable = self.unusable_rows.clone();
        registry.register("unusable_rows", "Rows of servers that name none to use", unusable);
        registry.register("sends", "Sends to servers by how they ended", self.sends.clone());
        let relayed = self.relayed.clone();
        registry.register("relayed", "Connections to servers through other boxes", relayed);
        let carried = self.carried.clone();
        registry.register("carried", "Connections asked for by other boxes", carried);
        registry.register_with_unit(
            "first_event",
            "Time to the first event or the whole plain answer",
            Unit::Seconds,
            self.first_event.clone(),
        );
        let ratio = self.estimate_ratio.clone();
        registry.register("estimate_ratio", "Time to the first event over its estimate", ratio);
        let held = "How long requests were held for what was to come";
        registry.register_with_unit("held", held, Unit::Seconds, self.held.clone());
        let questions = self.load_questions.clone();
        registry.register("load_questions", "Questions for loads of engines by result", questions);
        let answered = self.loads_answered.clone();
        registry.register("loads_answered", "Answers on loads of engines to other boxes", answered);
        let connections = self.client_connections.clone();
        registry.register("client_connections", "New connections of clients", connections);
        let crashes = self.crashes.clone();
        registry.register("crashes", "Requests under which servers crashed", crashes);
        let notices = self.notices.clone();
        registry.register("server_notices", "News in answers of servers by kind", notices);
        let noticed = self.noticed_servers.clone();
        registry.register("noticed_servers", "Servers with a notice in force by kind", noticed);
        let standstills = self.standstills.clone();
        registry.register("standstills", "How often nothing ran, and why", standstills);
        registry.register("in_flight", "Requests in progress", self.in_flight.clone());
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        registry.register("orders", "Orders given to engines by answer", self.orders.clone());
        let dependencies = self.dependencies.clone();
        registry.register("dependency_up", "Whether a dependency is there", dependencies);
        let version = self.config_version.clone();
        registry.register("config_version", "The configuration in force", version);
        let era = self.store_era.clone();
        registry.register("store_era", "The era of the platform's store", era);
        let evacuated = self.evacuated_halls.clone();
        registry.register("evacuated_halls", "Halls whose servers get nothing", evacuated);
        registry.register("nodes", "Nodes heard of lately", self.nodes.clone());
        registry.register("dropped_log_lines", "Log lines dropped", self.dropped_lines.clone());
        let help = "Bytes of requests and answers held";
        registry.register("held_bytes", help, self.held_bytes.clone());
        let opened = self.connections_opened.clone();
        registry.register("connections_opened", "Connections to servers opened", opened);
        let reused = self.connections_reused.clone();
        registry.register("connections_reused", "Sends over kept connections", reused);
    }

    /// Counts the end of a request.
    pub fn ended(&self, kind: &'static str, outcome: &'static str) {
        self.requests.get_or_create(&OutcomeLabels { kind, outcome }).inc();
    }

    /// Counts the end of a request of an account.
    pub fn account_ended(&self, account: &str, outcome: &'static str) {
        let mut accounts = self.accounts.lock();
        let has_own = accounts.contains(account)
            || (accounts.len() < MAX_ACCOUNTS && accounts.insert(account.to_owned()));
        drop(accounts);
        let account = if has_own { account } else { OTHER_ACCOUNTS }.to_owned();
        self.by_account.get_or_create(&AccountLabels { account, outcome }).inc();
    }

    /// Returns all metrics as text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string cannot fail");
        text
    }
}
