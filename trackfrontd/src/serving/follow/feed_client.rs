//! Calls to the platform for one feed: which boxes make them, the delays after failed calls, and
//! the log of a dependency that is lost and regained.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ports::TableError;
use trackfront_core::units::{Moment, scaled};

use crate::serving::feed_relay::{
    FeedKind, HallPeers, hall_peers, reader_timeout, successor_delay,
};
use crate::serving::node::ServingNode;
use crate::serving::restoration;
use crate::serving::suspension::Suspension;

/// The duration of a long poll on which no other box depends. The platform answers at least this
/// often, so it bounds how long a lost connection goes unnoticed.
const FEED_WAIT: Duration = Duration::from_millis(2_000);

/// The duration of a feed reader's long poll as a fraction of the drain time. Its hall takes the
/// reader for lost if it is silent for longer.
const READER_WAIT_FRACTION: f64 = 0.45;

/// The longest long poll of a feed reader as a fraction of the time left until its hall takes it
/// for lost.
const REMAINING_WAIT_FRACTION: f64 = 0.7;

/// The shortest of these waits, however short the drain time of a deployment is.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// The interval at which a box that is no feed reader checks whether it has to become one.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// The first delay after a failed call.
pub const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The longest delay after a failed call, well within the time in which changes have to be known.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The first delay after a failed call of a box that is no feed reader. Its hall's reader notifies
/// it when the platform is available again.
const FIRST_NON_READER_DELAY: Duration = Duration::from_millis(750);

/// The longest such delay as a fraction of the drain time, since the box may be cut off from the
/// reader as well.
const NON_READER_DELAY_FRACTION: f64 = 0.75;

/// The number of failed polls after which a feed reader reads everything again.
const FAILURES_TO_REREAD: u32 = 3;

/// Makes the calls for one feed.
pub struct FeedClient {
    node: Arc<ServingNode>,
    kind: FeedKind,
    failures: u32,
    failing_since: Option<Moment>,
    suspension: Suspension,
}

impl FeedClient {
    /// Creates a client without failures.
    pub fn new(node: Arc<ServingNode>, kind: FeedKind) -> Self {
        let suspension = node.suspensions.subscribe();
        Self { node, kind, failures: 0, failing_since: None, suspension }
    }

    /// Returns the dependency's name in logs and metrics.
    fn name(&self) -> &'static str {
        match self.kind {
            FeedKind::Config => "store_config",
            FeedKind::Servers => "store_servers",
        }
    }

    /// Counts a call in the metrics.
    pub fn count(&self, call: &'static str) {
        self.node.metrics.store_calls.get_or_create(&KindLabel { kind: call }).inc();
    }

    /// Records a successful call.
    pub fn record_success(&mut self) {
        restoration::observe_own_era(&self.node);
        if self.failures > 0 {
            log::info!(dependency = self.name(), failures = self.failures; "dependency regained");
        }
        if let Some(since) = self.failing_since.take() {
            let now = self.node.now();
            self.node.directory.lock().platform_recovered(self.outage(since, now), now);
        }
        self.failures = 0;
        self.node.set_store_lost(false);
        self.node.set_dependency(self.name(), true);
    }

    /// Returns how long the platform may have been unavailable before `now`, if a call of this box
    /// failed at `since`. A box that is no feed reader may not have called since then, while its
    /// reader relayed the platform's answers.
    fn outage(&self, since: Moment, now: Moment) -> Duration {
        let own = now.since(since);
        self.silence().map_or(own, |silence| own.min(silence))
    }

    /// Records a failed call and waits until the next one may be made.
    pub async fn back_off(&mut self, error: &TableError) {
        restoration::observe_own_era(&self.node);
        if self.failures == 0 {
            log::warn!(dependency = self.name(), error:% = error; "dependency lost");
        }
        self.failures += 1;
        self.failing_since.get_or_insert(self.node.now());
        self.node.set_store_lost(true);
        self.node.set_dependency(self.name(), false);
        let factor = 2u32.pow(self.failures.min(4) - 1);
        if self.is_reader() {
            sleep((FIRST_RETRY_DELAY * factor).min(MAX_RETRY_DELAY)).await;
            return;
        }
        let longest = self.drain_fraction(NON_READER_DELAY_FRACTION);
        let update = self.node.feed_update_received.notified();
        // Without an update the call is made again after the delay.
        let _ = timeout((FIRST_NON_READER_DELAY * factor).min(longest), update).await;
    }

    /// Returns whether this box is the feed reader of its hall.
    pub fn is_reader(&self) -> bool {
        hall_peers(&self.node).is_reader()
    }

    /// Returns whether everything has to be read again instead of following the feed. A feed reader
    /// relays the result.
    pub fn must_reread(&self) -> bool {
        self.failures >= FAILURES_TO_REREAD && self.is_reader()
    }

    /// Restarts the count of failures at one, since the dependency is still lost.
    pub fn reset_failures(&mut self) {
        self.failures = 1;
    }

    /// Awaits a call to the store, or returns `None` if the machine was suspended meanwhile and everything has to be
    /// fetched again. The call may be on a connection that the store has closed.
    pub async fn unless_suspended<T>(&mut self, call: impl Future<Output = T>) -> Option<T> {
        self.suspension.unless_suspended(call).await
    }

    /// Returns whether the machine was suspended since the last call of this method.
    pub fn take_suspension(&mut self) -> bool {
        let was_suspended = self.suspension.is_pending();
        self.suspension.acknowledge();
        was_suspended
    }

    /// Waits while another box follows the feed for this one. Returns at once if this box has to
    /// follow the feed itself, or if `has_work` says that there is something to fetch.
    pub async fn wait_for_reader(&self, has_work: impl Fn() -> bool) {
        loop {
            let update = self.node.feed_update_received.notified();
            let hall = hall_peers(&self.node);
            let must_read = self.must_read(&hall) && !self.node.is_discovering_peers();
            if must_read || has_work() || self.suspension.is_pending() {
                return;
            }
            // The conditions are checked again with or without an update.
            let _ = timeout(CHECK_INTERVAL, update).await;
        }
    }

    fn must_read(&self, hall: &HallPeers) -> bool {
        let wait = reader_timeout(self.drain()) + successor_delay(hall.rank, self.drain());
        hall.is_reader() || self.silence().is_none_or(|silence| silence >= wait)
    }

    fn silence(&self) -> Option<Duration> {
        self.node.feed_state.lock().silence(self.kind, self.node.now())
    }

    fn drain(&self) -> Duration {
        self.node.settings.load().promises.drain()
    }

    /// Returns a fraction of the drain time, but never so little that the store would be polled
    /// without a pause.
    pub fn drain_fraction(&self, fraction: f64) -> Duration {
        scaled(self.drain(), fraction).max(MIN_WAIT)
    }

    /// Returns the duration of the next long poll. If other boxes depend on this one, it ends
    /// before they take this box for lost.
    pub fn feed_wait(&self) -> Duration {
        if hall_peers(&self.node).others.is_empty() {
            return FEED_WAIT;
        }
        let remaining =
            reader_timeout(self.drain()).saturating_sub(self.silence().unwrap_or_default());
        let longest = scaled(remaining, REMAINING_WAIT_FRACTION);
        self.drain_fraction(READER_WAIT_FRACTION).min(longest).max(MIN_WAIT)
    }
}

/// Returns the boxes that may have a snapshot for this one: the box that sent the notification,
/// then the hall's feed reader and another delegate.
pub fn snapshot_sources(node: &ServingNode, notifier: Option<Ipv4Addr>) -> Vec<Ipv4Addr> {
    let mut sources: Vec<Ipv4Addr> = notifier.into_iter().collect();
    let reader = hall_peers(node).reader;
    let delegate = node.peers.lock().random_local_delegate(&mut rand::rng());
    for ip in reader.into_iter().chain(delegate) {
        if !sources.contains(&ip) {
            sources.push(ip);
        }
    }
    sources
}
