//! Calls to the platform: who makes them, the pauses after failed ones, and the log of a dependency
//! that is lost and comes back.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ports::TableError;
use trackfront_core::units::Moment;

use crate::serving::feed_relay::{
    FeedKind, HallPeers, hall_peers, reader_timeout, successor_delay,
};
use crate::serving::node::ServingNode;
use crate::serving::suspension::Suspension;

/// How long one wait for changes lasts where no other box depends on it. The box hears at least
/// this often that the platform is there, so it bounds how long a lost connection goes unnoticed.
const FEED_WAIT: Duration = Duration::from_millis(2_000);

/// How long one wait lasts at a reader for its hall, as a part of the time within which a draining
/// server has to be known: others take its silence for its loss.
const READER_WAIT_PART: f64 = 0.45;

/// The part of the time left until the others take a reader for lost that its wait may last.
const LEFT_PART: f64 = 0.7;

/// The least of these waits, however little a deployment promises.
const LEAST_WAIT: Duration = Duration::from_millis(100);

/// How often a box that a reader reads for looks whether that is still so.
const LOOK_EVERY: Duration = Duration::from_millis(150);

/// The first pause after a failed call.
pub const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after failed calls: well within the time in which changes have to be known.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// The first pause after failed calls at a box that is no reader: it hears from the reader of its
/// hall when the platform is back.
const FIRST_MATE_PAUSE: Duration = Duration::from_millis(750);

/// The longest such pause, as a part of the time within which a draining server has to be known: the
/// box may be cut off from the reader as well.
const MATE_PAUSE_PART: f64 = 0.75;

/// After how many failed waits a reader reads everything again.
const FAILURES_TO_REREAD: u32 = 3;

/// The calls about one feed.
pub struct FeedClient {
    node: Arc<ServingNode>,
    kind: FeedKind,
    failures: u32,
    failing_since: Option<Moment>,
    waking: Suspension,
}

impl FeedClient {
    /// Makes one without failures.
    pub fn new(node: Arc<ServingNode>, kind: FeedKind) -> Self {
        let waking = node.suspensions.subscribe();
        Self { node, kind, failures: 0, failing_since: None, waking }
    }

    /// The dependency's name in logs and metrics.
    fn name(&self) -> &'static str {
        match self.kind {
            FeedKind::Config => "store_config",
            FeedKind::Servers => "store_servers",
        }
    }

    /// Counts a call.
    pub fn count(&self, call: &'static str) {
        self.node.metrics.store_calls.get_or_create(&KindLabel { kind: call }).inc();
    }

    /// Notes that a call was answered.
    pub fn works(&mut self) {
        if self.failures > 0 {
            log::info!(dependency = self.name(), failures = self.failures; "dependency regained");
        }
        if let Some(since) = self.failing_since.take() {
            let now = self.node.now();
            self.node.directory.lock().platform_recovered(now.since(since), now);
        }
        self.failures = 0;
        self.node.set_store_lost(false);
        self.node.set_dependency(self.name(), true);
    }

    /// Notes that a call failed, and waits until the next may be made.
    pub async fn failed(&mut self, error: &TableError) {
        if self.failures == 0 {
            log::warn!(dependency = self.name(), error:% = error; "dependency lost");
        }
        self.failures += 1;
        self.failing_since.get_or_insert(self.node.now());
        self.node.set_store_lost(true);
        self.node.set_dependency(self.name(), false);
        let doubled = 2u32.pow(self.failures.min(4) - 1);
        if self.is_reader() {
            sleep((FIRST_PAUSE * doubled).min(MAX_PAUSE)).await;
            return;
        }
        let longest = self.part_of_drain(MATE_PAUSE_PART);
        let came = self.node.feed_update_received.notified();
        // Nothing is lost if the word does not come: the call is made again.
        let _ = timeout((FIRST_MATE_PAUSE * doubled).min(longest), came).await;
    }

    /// Returns whether this box reads for its hall.
    pub fn is_reader(&self) -> bool {
        hall_peers(&self.node).is_reader()
    }

    /// Returns the boxes that may have what this box lacks: the one that told of it, then the reader and another that
    /// speaks for the hall.
    pub fn sources(&self, told_by: Option<Ipv4Addr>) -> Vec<Ipv4Addr> {
        let mut sources: Vec<Ipv4Addr> = told_by.into_iter().collect();
        let reader = hall_peers(&self.node).reader;
        let speaker = self.node.peers.lock().random_local_delegate(&mut rand::rng());
        for ip in reader.into_iter().chain(speaker) {
            if !sources.contains(&ip) {
                sources.push(ip);
            }
        }
        sources
    }

    /// Returns whether everything is to be read again, beside the feed. What the reader of a hall
    /// finds then, it relays.
    pub fn must_reread(&self) -> bool {
        self.failures >= FAILURES_TO_REREAD && self.is_reader()
    }

    /// Begins to count failures anew, from one: the dependency is still lost.
    pub fn forgive(&mut self) {
        self.failures = 1;
    }

    /// Awaits a wait for changes; `None` if the machine was suspended: all has to be asked for anew.
    pub async fn unless_suspended<T>(&mut self, call: impl Future<Output = T>) -> Option<T> {
        self.waking.unless_suspended(call).await
    }

    /// Returns whether the machine was suspended since it was last asked.
    pub fn woke(&mut self) -> bool {
        let is_new = self.waking.is_pending();
        self.waking.acknowledge();
        is_new
    }

    /// Waits while a reader of this hall reads the feed for this box. Returns at once if this
    /// box has to read itself. `is_enough` says whether there is something to read after all.
    pub async fn wait_for_reader(&self, is_enough: impl Fn() -> bool) {
        loop {
            let came = self.node.feed_update_received.notified();
            let mates = hall_peers(&self.node);
            let reads = self.must_read(&mates) && !self.node.is_discovering_peers();
            if reads || is_enough() || self.waking.is_pending() {
                return;
            }
            // Looked at again in any case, so nothing is lost if no word comes.
            let _ = timeout(LOOK_EVERY, came).await;
        }
    }

    fn must_read(&self, mates: &HallPeers) -> bool {
        let wait = reader_timeout(self.drain()) + successor_delay(mates.rank, self.drain());
        mates.is_reader() || self.silence().is_none_or(|silence| silence >= wait)
    }

    fn silence(&self) -> Option<Duration> {
        self.node.feed_state.lock().silence(self.kind, self.node.now())
    }

    fn drain(&self) -> Duration {
        self.node.settings.load().promises.drain()
    }

    /// Returns a part of the time within which a draining server has to be known, but never so
    /// little that waiting for the store becomes asking it without a pause.
    pub fn part_of_drain(&self, part: f64) -> Duration {
        self.drain().mul_f64(part).max(LEAST_WAIT)
    }

    /// How long this box waits for changes: as a reader for others, who must hear of it before they
    /// take it for lost, or for itself only.
    pub fn feed_wait(&self) -> Duration {
        if hall_peers(&self.node).others.is_empty() {
            return FEED_WAIT;
        }
        let left = reader_timeout(self.drain()).saturating_sub(self.silence().unwrap_or_default());
        self.part_of_drain(READER_WAIT_PART).min(left.mul_f64(LEFT_PART)).max(LEAST_WAIT)
    }
}
