//! Keeps the configuration and the servers up to date from the platform.
//!
//! Changes come through a feed; when its history is gone, or the platform was away, everything is
//! read again. An answer that is older than what is known changes nothing.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ports::{Feed, Listing, StoredConfig, TableError};
use trackfront_core::serving::directory::{DirectoryEvent, ServerChange, ServerEntry};
use trackfront_core::units::Moment;

use super::node::ServingNode;
use super::spread::{FeedKind, Relay, relay, zone_mates};

/// How long one wait for changes lasts where no other node depends on it. The node hears at least
/// this often that the platform is there, so it bounds how long a lost connection goes unnoticed.
const FEED_WAIT: Duration = Duration::from_millis(2_000);

/// How long one wait lasts at a reader for its zone, as a part of the time within which a draining
/// server has to be known: others take its silence for its loss.
const READER_WAIT_PART: f64 = 0.45;

/// How long the node waits after a change of servers, so that one call brings the changes of many,
/// as a part of the same time.
const GATHER_PART: f64 = 0.125;

/// The least of these waits, however little a deployment promises.
const LEAST_WAIT: Duration = Duration::from_millis(100);

/// How long a node that reads for itself alone waits after a change of the configuration, so that
/// of some in quick succession it reads the last.
const GATHER_CONFIG: Duration = Duration::from_millis(250);

/// How often a node that a reader reads for looks whether that is still so.
const LOOK_EVERY: Duration = Duration::from_millis(150);

/// The first pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after failed calls: well within the time in which changes have to be known.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// The first pause after failed calls at a node that is no reader: it hears from the reader of its
/// zone when the platform is back.
const FIRST_MATE_PAUSE: Duration = Duration::from_millis(750);

/// The longest such pause, as a part of the time within which a draining server has to be known: the
/// node may be cut off from the reader as well.
const MATE_PAUSE_PART: f64 = 0.75;

/// After how many failed waits a reader reads everything again.
const FAILURES_TO_REREAD: u32 = 3;

/// Pauses between failed calls, and the log of a dependency that is lost and comes back.
struct Link {
    node: Arc<ServingNode>,
    kind: &'static str,
    failures: u32,
    failing_since: Option<Moment>,
}

impl Link {
    fn new(node: Arc<ServingNode>, kind: &'static str) -> Self {
        Self { node, kind, failures: 0, failing_since: None }
    }

    fn count(&self, call: &'static str) {
        self.node.metrics.store_calls.get_or_create(&KindLabel { kind: call }).inc();
    }

    fn works(&mut self) {
        if self.failures > 0 {
            log::info!(dependency = self.kind, failures = self.failures; "dependency regained");
        }
        if let Some(since) = self.failing_since.take() {
            let now = self.node.now();
            self.node.directory.lock().platform_came_back(now.since(since), now);
        }
        self.failures = 0;
        self.node.set_store_lost(false);
        self.node.set_dependency(self.kind, true);
    }

    async fn failed(&mut self, error: &TableError) {
        if self.failures == 0 {
            log::warn!(dependency = self.kind, error:% = error; "dependency lost");
        }
        self.failures += 1;
        self.failing_since.get_or_insert(self.node.now());
        self.node.set_store_lost(true);
        self.node.set_dependency(self.kind, false);
        let doubled = 2u32.pow(self.failures.min(4) - 1);
        if self.is_reader() {
            sleep((FIRST_PAUSE * doubled).min(MAX_PAUSE)).await;
            return;
        }
        let longest = self.part_of_drain(MATE_PAUSE_PART);
        let came = self.node.relay_came.notified();
        let _ = timeout((FIRST_MATE_PAUSE * doubled).min(longest), came).await;
    }

    fn is_reader(&self) -> bool {
        zone_mates(&self.node).1
    }

    /// Returns whether everything is to be read again, beside the feed. What the reader of a zone
    /// finds then, it relays.
    fn must_reread(&self) -> bool {
        self.failures >= FAILURES_TO_REREAD && self.is_reader()
    }

    /// Waits while a reader of this zone reads the feed for this node. Returns at once if this
    /// node has to read itself. `is_enough` says whether there is something to read after all.
    async fn wait_for_reader(&self, kind: FeedKind, is_enough: impl Fn() -> bool) {
        loop {
            let came = self.node.relay_came.notified();
            let (_, is_reader) = zone_mates(&self.node);
            let drain = self.node.settings.load().promises.drain();
            let fresh = self.node.relayed.lock().is_fresh(kind, drain, self.node.now());
            let reads = (is_reader || !fresh) && !self.node.is_alone_for_now();
            if reads || is_enough() {
                return;
            }
            let _ = timeout(LOOK_EVERY, came).await;
        }
    }

    /// Returns a part of the time within which a draining server has to be known, but never so
    /// little that waiting for the store becomes asking it without a pause.
    fn part_of_drain(&self, part: f64) -> Duration {
        let drain = self.node.settings.load().promises.drain();
        drain.mul_f64(part).max(LEAST_WAIT)
    }

    /// How long this node waits for changes: as a reader for others, or for itself only.
    fn feed_wait(&self) -> Duration {
        let (mates, is_reader) = zone_mates(&self.node);
        match is_reader && !mates.is_empty() {
            true => self.part_of_drain(READER_WAIT_PART),
            false => FEED_WAIT,
        }
    }
}

/// Follows the configuration for as long as the node lives.
pub async fn follow_config(node: Arc<ServingNode>, socket: Arc<UdpSocket>) {
    let mut link = Link::new(node.clone(), "store_config");
    let mut row_version = 0;
    loop {
        link.count("read_config");
        let listing = match node.ports.knowledge.read_config().await {
            Ok(listing) => listing,
            Err(error) => {
                link.failed(&error).await;
                continue;
            }
        };
        link.works();
        for (_, stored) in listing.rows {
            take_config(&node, stored, &mut row_version);
        }
        relay(&node, &socket, &Relay::Config { row: row_version });
        if node.relayed.lock().config_row() > row_version {
            // The platform's answer is older than what the reader of the zone has seen.
            sleep(GATHER_CONFIG).await;
        }
        follow_config_from(&node, &socket, &mut link, listing.version, &mut row_version).await;
    }
}

/// Follows the feed until everything has to be read again.
async fn follow_config_from(
    node: &Arc<ServingNode>,
    socket: &UdpSocket,
    link: &mut Link,
    mut version: u64,
    row_version: &mut u64,
) {
    while !link.must_reread() {
        let known = *row_version;
        let is_behind = || node.relayed.lock().config_row() > known;
        link.wait_for_reader(FeedKind::Config, is_behind).await;
        if is_behind() {
            // The row itself is read: this node's place in the feed is old, perhaps forgotten.
            return;
        }
        link.count("follow_config");
        match node.ports.knowledge.follow_config(version, link.feed_wait()).await {
            Ok(Feed::Changes { changes, version: reached }) => {
                link.works();
                let some = !changes.is_empty();
                for stored in changes {
                    take_config(node, stored, row_version);
                }
                version = version.max(reached);
                relay(node, socket, &Relay::Config { row: *row_version });
                if some && !link.is_reader() {
                    sleep(GATHER_CONFIG).await;
                }
            }
            Ok(Feed::HistoryGone) => {
                log::info!(table = "configuration", after = version; "history gone, reading anew");
                relay(node, socket, &Relay::Config { row: *row_version });
                sleep(FIRST_PAUSE).await;
                return;
            }
            Err(error) => link.failed(&error).await,
        }
    }
    link.failures = 1;
}

/// Puts a stored configuration in force if it is newer than the one in force and valid.
fn take_config(node: &Arc<ServingNode>, stored: StoredConfig, row_version: &mut u64) {
    if stored.row_version <= *row_version {
        return;
    }
    *row_version = stored.row_version;
    let before = node.config.load().as_ref().map_or(0, |config| config.version);
    match stored.config {
        Err(error) => {
            log::error!(row = stored.row_version, in_force = before, error; "configuration refused");
        }
        Ok(config) if config.version < before => {
            let offered = config.version;
            log::warn!(offered, in_force = before; "configuration older than the one in force");
        }
        Ok(config) => {
            let (version, routes) = (config.version, config.routes().count());
            node.names.lock().set_items(&config);
            node.config.store(Some(Arc::new(config)));
            node.metrics.config_version.set(version as i64);
            node.servers_changed.notify_waiters();
            let row = stored.row_version;
            log::info!(version, before, row, routes; "configuration in force");
        }
    }
}

/// Follows the servers for as long as the node lives.
pub async fn follow_servers(node: Arc<ServingNode>, socket: Arc<UdpSocket>) {
    let mut link = Link::new(node.clone(), "store_servers");
    loop {
        link.count("list_servers");
        let listing = match node.ports.knowledge.list_servers().await {
            Ok(listing) => listing,
            Err(error) => {
                link.failed(&error).await;
                continue;
            }
        };
        link.works();
        let to = listing.version;
        let (from, found) = take_listing(&node, listing);
        let Some(Found { events, changes }) = found else {
            log::info!(version = to; "list of servers older than what is known");
            relay(&node, &socket, &Relay::nothing(from));
            sleep(FIRST_PAUSE).await;
            continue;
        };
        note_events(&node, events, to);
        relay(&node, &socket, &Relay::Servers { from, to, changes, lapses_ms: 0 });
        node.set_knows_servers();
        follow_servers_from(&node, &socket, &mut link).await;
    }
}

/// What a listing of the servers has changed.
struct Found {
    events: Vec<DirectoryEvent>,
    /// The same for the other nodes of the zone.
    changes: Vec<ServerChange>,
}

/// Takes in a listing of the servers. Returns the newest version before it, and what it has changed;
/// nothing if it is older than what is known.
fn take_listing(node: &ServingNode, listing: Listing<ServerEntry>) -> (u64, Option<Found>) {
    let mut directory = node.directory.lock();
    let from = directory.newest();
    let events = directory.replace(listing.rows, listing.version, node.now());
    let found = events.map(|events| {
        let changes = directory.changes(&events, listing.version);
        Found { events, changes }
    });
    (from, found)
}

/// Follows the feed until everything has to be read again.
async fn follow_servers_from(node: &Arc<ServingNode>, socket: &UdpSocket, link: &mut Link) {
    while !link.must_reread() {
        let has_gap = || node.relayed.lock().take_gap();
        link.wait_for_reader(FeedKind::Servers, has_gap).await;
        link.count("follow_servers");
        let from = node.directory.lock().newest();
        match node.ports.knowledge.follow_servers(from, link.feed_wait()).await {
            Ok(Feed::Changes { changes, version: to }) => {
                link.works();
                let told = Relay::Servers { from, to, changes: changes.clone(), lapses_ms: 0 };
                let some = !changes.is_empty();
                let events = node.directory.lock().apply(changes, to, node.now());
                note_events(node, events, to);
                relay(node, socket, &told);
                if some {
                    sleep(link.part_of_drain(GATHER_PART)).await;
                }
            }
            Ok(Feed::HistoryGone) => {
                log::info!(table = "servers", after = from; "history gone, reading anew");
                relay(node, socket, &Relay::nothing(from));
                sleep(FIRST_PAUSE).await;
                return;
            }
            Err(error) => link.failed(&error).await,
        }
    }
    link.failures = 1;
}

/// Takes servers away whose rows lapsed and did not come back in time.
pub fn end_lapses(node: &ServingNode) {
    let events = node.directory.lock().end_lapses(node.now());
    if !events.is_empty() {
        let version = node.directory.lock().newest();
        log::info!(servers = events.len(), version; "rows lapsed and did not come back");
        note_events(node, events, version);
    }
}

/// Logs what has changed and lets the rest of the node know.
pub fn note_events(node: &ServingNode, events: Vec<DirectoryEvent>, version: u64) {
    if events.is_empty() {
        return;
    }
    let directory = node.directory.lock();
    for event in &events {
        let (id, what) = match event {
            DirectoryEvent::Joined(id) => (id, "server joined"),
            DirectoryEvent::Changed(id) => (id, "server changed"),
            DirectoryEvent::Draining(id) => (id, "server drains"),
            DirectoryEvent::Left(id) => (id, "server left"),
        };
        match directory.get(id) {
            Some(known) => {
                let entry = &known.entry;
                let (address, service) = (&entry.address, &entry.service);
                let models = entry.models.len();
                log::info!(server:% = id, address, service:%, models, version; "{what}");
            }
            None => log::info!(server:% = id, version; "{what}"),
        }
    }
    node.names.lock().set_servers(directory.all().map(|known| &known.entry.id));
    drop(directory);
    let mut loads = node.loads.lock();
    for event in &events {
        if let DirectoryEvent::Left(id) = event {
            loads.forget(id);
        }
    }
    drop(loads);
    node.servers_changed.notify_waiters();
}
