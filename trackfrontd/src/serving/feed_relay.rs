//! Relays the platform's feeds within a hall.
//!
//! If every box followed the feeds itself, the number of calls would be that of boxes times
//! changes. Instead, one box of each hall, the feed reader, follows the feeds and relays each
//! answer, even an empty one. If the reader falls silent, the others read the feeds themselves, one
//! after the other in order of priority, and the first that gets an answer relays it.

use std::net::Ipv4Addr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use trackfront_core::serving::directory::{ChangeOrigin, ReceivedChanges, ServerChange};
use trackfront_core::serving::halls::HallStatus;
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::{Moment, scaled};

use super::follow;
use super::messages::Message;
use super::node::ServingNode;
use super::packing::{pack, unpack};
use super::peer_socket::PeerSocket;
pub use super::peer_tracker::HallPeers;
use super::restoration;

/// The silence after which a feed reader counts as lost, as a fraction of the drain time, within
/// which all boxes have to know that a server drains.
const READER_TIMEOUT_FRACTION: f64 = 0.65;

/// The number of successors of a silent reader that read the feed within the drain time, one after
/// the other. So many boxes may be cut off from the store without knowing it while the rest of the
/// hall still learns in time. With a third of all boxes cut off, fewer than one hall in 6,000 has
/// so many of them first in line.
const TIMELY_SUCCESSORS: u32 = 8;

/// The fraction of the drain time after which the last of these successors reads. With the delays
/// of [`LATE_SUCCESSOR_DELAY`] alone, the fourth read after 0.95 of a drain time of 4 s and the
/// fifth after 1.2 times 4 s.
const TIMELY_SUCCESSORS_FRACTION: f64 = 0.85;

/// The delay of the later successors, multiplied by the square of their index: in a store outage of
/// ten seconds only some boxes of a hall call the store.
const LATE_SUCCESSOR_DELAY: Duration = Duration::from_millis(150);

/// The most changes in one message: at about 200 bytes each they fit a datagram even uncompressed.
pub const MAX_CHANGES_PER_MESSAGE: usize = 24;

/// The largest uncompressed message in bytes, several times the size of [`MAX_CHANGES_PER_MESSAGE`]
/// changes.
const MAX_UPDATE_BYTES: usize = 64 * 1024;

/// An update that a feed reader relays to its hall.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FeedUpdate {
    /// The newest row of the configuration that the reader has seen.
    Config {
        /// The version of the row.
        row: StoreVersion,
    },
    /// The halls that the operator has evacuated or returned to use.
    Halls(Vec<HallStatus>),
    /// Server changes from the feed.
    Servers {
        /// The version that the changes apply to.
        from: StoreVersion,
        /// The version that they lead to.
        to: StoreVersion,
        /// The changes, in order.
        changes: Vec<ServerChange>,
        /// The remaining time in milliseconds during which a removed row may have expired only
        /// because the platform was unavailable.
        expiry_grace_ms: u64,
    },
    /// The differences between a listing of the servers and the reader's previous state, for boxes
    /// in that state.
    Listing {
        /// The version of the reader's previous state.
        from: StoreVersion,
        /// The version of the listing.
        to: StoreVersion,
        /// The differences.
        changes: Vec<ServerChange>,
        /// As in [`FeedUpdate::Servers`].
        expiry_grace_ms: u64,
    },
}

impl FeedUpdate {
    /// Returns the newest version of the store that the update mentions.
    fn version(&self) -> Option<StoreVersion> {
        match self {
            FeedUpdate::Config { row } => Some(*row),
            FeedUpdate::Halls(statuses) => statuses.iter().map(|status| status.version).max(),
            FeedUpdate::Servers { to, .. } | FeedUpdate::Listing { to, .. } => Some(*to),
        }
    }

    /// Creates the update that relays server changes.
    pub fn from_changes(received: ReceivedChanges, expiry_grace: Duration) -> Self {
        let ReceivedChanges { origin, from, to, changes } = received;
        let expiry_grace_ms = expiry_grace.as_millis() as u64;
        match origin {
            ChangeOrigin::Feed => FeedUpdate::Servers { from, to, changes, expiry_grace_ms },
            ChangeOrigin::Listing => FeedUpdate::Listing { from, to, changes, expiry_grace_ms },
        }
    }
}

/// A feed of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedKind {
    /// The operator's rows: the configuration and the halls.
    Config,
    /// The server list.
    Servers,
}

/// The progress of the feeds, through a reader or through this box's own calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedState {
    config_at: Option<Moment>,
    config_row: StoreVersion,
    config_source: Option<Ipv4Addr>,
    /// Since when a row is known of that is newer than the one examined last.
    config_news_at: Option<Moment>,
    servers_at: Option<Moment>,
    servers_gap: Option<Gap>,
}

/// A gap in the server changes that this box received.
#[derive(Clone, Copy, Debug)]
struct Gap {
    /// The box that sent later changes.
    source: Ipv4Addr,
}

impl FeedState {
    /// Returns the time since the last update of a feed, or `None` if there was none.
    pub fn silence(&self, kind: FeedKind, now: Moment) -> Option<Duration> {
        let last_at = match kind {
            FeedKind::Config => self.config_at,
            FeedKind::Servers => self.servers_at,
        };
        last_at.map(|at| now.since(at))
    }

    /// Records that a feed has answered, with news or without.
    pub fn record(&mut self, kind: FeedKind, now: Moment) {
        match kind {
            FeedKind::Config => self.config_at = Some(now),
            FeedKind::Servers => self.servers_at = Some(now),
        }
    }

    /// Records a configuration row that the hall was notified of by another box, `source`, or by
    /// this one.
    fn record_config_row(&mut self, row: StoreVersion, source: Option<Ipv4Addr>) {
        if row >= self.config_row {
            self.config_row = row;
            self.config_source = source.or(self.config_source);
        }
    }

    /// Returns since when a row is known of that is newer than the one examined last.
    pub fn config_news_at(&self) -> Option<Moment> {
        self.config_news_at
    }

    /// Records that this box has examined a configuration row. Returns since when it knew of that
    /// row or an older one that it had not examined.
    pub fn take_config_news(&mut self, examined: StoreVersion) -> Option<Moment> {
        match examined >= self.config_row {
            true => self.config_news_at.take(),
            false => self.config_news_at,
        }
    }

    /// Returns the newest configuration row that the hall was notified of.
    pub fn config_row(&self) -> StoreVersion {
        self.config_row
    }

    /// Returns the last box that sent a notification of the newest row.
    pub fn config_source(&self) -> Option<Ipv4Addr> {
        self.config_source
    }

    /// Returns whether this box has missed server changes.
    pub fn has_gap(&self) -> bool {
        self.servers_gap.is_some()
    }

    /// Clears the gap in the server changes before they are fetched. Returns the box that sent
    /// later changes, if there was a gap.
    pub fn take_gap(&mut self) -> Option<Ipv4Addr> {
        self.servers_gap.take().map(|gap| gap.source)
    }
}

/// Returns the silence after which a feed reader counts as lost.
pub fn reader_timeout(drain: Duration) -> Duration {
    scaled(drain, READER_TIMEOUT_FRACTION)
}

/// Returns the additional time that the box of a rank in the succession waits before it reads the
/// feeds itself.
pub fn successor_delay(rank: usize, drain: Duration) -> Duration {
    let index = u32::try_from(rank.saturating_sub(1)).unwrap_or(u32::MAX);
    if index < TIMELY_SUCCESSORS {
        let last = scaled(drain, TIMELY_SUCCESSORS_FRACTION - READER_TIMEOUT_FRACTION);
        return last * index / (TIMELY_SUCCESSORS - 1);
    }
    LATE_SUCCESSOR_DELAY.saturating_mul(index.saturating_mul(index))
}

/// Returns this box's view of its hall.
pub fn hall_peers(node: &ServingNode) -> HallPeers {
    node.peers.lock().hall_peers(node.is_store_lost(), node.now())
}

/// Records a configuration row that the hall was notified of by another box, `source`, or by this
/// one.
pub fn record_config_row(node: &ServingNode, row: StoreVersion, source: Option<Ipv4Addr>) {
    let (examined, now) = (node.config_row(), node.now());
    let mut feed_state = node.feed_state.lock();
    feed_state.record_config_row(row, source);
    if row > examined && feed_state.config_news_at.is_none() {
        feed_state.config_news_at = Some(now);
        drop(feed_state);
        let by = source.map_or("store".to_owned(), |ip| ip.to_string());
        log::info!(row, by, known = examined; "newer configuration row known");
    }
}

/// Relays the operator's rows to the hall: the newest configuration row, and the halls, which may
/// have changed.
pub async fn relay_operator_rows(
    node: &ServingNode,
    socket: &PeerSocket,
    row: StoreVersion,
    has_hall_changes: bool,
) {
    let is_new_row = row > node.feed_state.lock().config_row();
    let has_news = is_new_row || has_hall_changes;
    let Some(hall) = relay_targets(node, FeedKind::Config, has_news) else {
        return;
    };
    if is_new_row {
        let (boxes, is_reader) = (hall.others.len(), hall.is_reader());
        log::info!(row, boxes, is_reader; "configuration row relayed to the hall");
    }
    record_config_row(node, row, None);
    // Halls go first, since few boxes would learn of them again when they fetch a configuration.
    // They are sent each time, so that the next datagram makes up for a lost one.
    let statuses = node.evacuations.lock().statuses();
    if !statuses.is_empty() {
        socket.send(&Message::FeedUpdate(FeedUpdate::Halls(statuses)), &hall.others).await;
    }
    socket.send(&Message::FeedUpdate(FeedUpdate::Config { row }), &hall.others).await;
}

/// Relays server changes to the hall.
pub async fn relay_server_changes(
    node: &ServingNode,
    socket: &PeerSocket,
    received: ReceivedChanges,
) {
    let has_news = !received.changes.is_empty();
    let Some(hall) = relay_targets(node, FeedKind::Servers, has_news) else {
        return;
    };
    if has_news {
        let (from, to, changes) = (received.from, received.to, received.changes.len());
        let (boxes, is_reader) = (hall.others.len(), hall.is_reader());
        log::info!(from, to, changes, boxes, is_reader; "server changes relayed to the hall");
    }
    let expiry_grace = node.directory.lock().remaining_expiry_grace(node.now());
    for message in received.into_messages(MAX_CHANGES_PER_MESSAGE) {
        let update = FeedUpdate::from_changes(message, expiry_grace);
        // Compressed, a change takes 80 to 160 bytes instead of 200, the fewer the more are sent
        // together.
        socket.send(&Message::PackedFeedUpdate(pack(&update).into()), &hall.others).await;
    }
}

/// Returns the recipients of a feed's answer, if it is to be relayed. The feed reader, or a box
/// whose reader fell silent, relays every answer, which shows that the platform is available; any
/// box relays news. When a box withheld news because its hall had just received an update from a
/// reader, 61 others lacked it for 3.8 to 4.3 s.
fn relay_targets(node: &ServingNode, kind: FeedKind, has_news: bool) -> Option<HallPeers> {
    let now = node.now();
    let drain = node.settings.load().promises.drain();
    let silence = {
        let mut feed_state = node.feed_state.lock();
        let silence = feed_state.silence(kind, now);
        feed_state.record(kind, now);
        silence
    };
    let hall = hall_peers(node);
    let was_silent = silence.is_some_and(|silence| silence >= reader_timeout(drain));
    let relays = hall.is_reader() || was_silent || has_news;
    (relays && !hall.others.is_empty()).then_some(hall)
}

/// Applies a compressed update from a feed reader.
pub fn apply_packed(node: &ServingNode, from_ip: Ipv4Addr, packed: &[u8]) {
    match unpack::<FeedUpdate, MAX_UPDATE_BYTES>(packed) {
        Ok(update) => apply_update(node, from_ip, update),
        Err(error) => log::warn!(from:% = from_ip, error:% = error; "decoding a message failed"),
    }
}

/// Applies an update from a feed reader.
pub fn apply_update(node: &ServingNode, from_ip: Ipv4Addr, update: FeedUpdate) {
    let now = node.now();
    if let Some(version) = update.version() {
        restoration::observe_era(node, version.era(), &from_ip.to_string());
        if node.store_era.is_unknown_to_sender(version) {
            // Such versions are older than all others. Counted as an answer of the feed reader, they
            // would keep this box from reading the feeds itself.
            log::debug!(from:% = from_ip; "ignored an update without the store's era");
            return;
        }
    }
    match update {
        FeedUpdate::Config { row } => {
            node.feed_state.lock().record(FeedKind::Config, now);
            record_config_row(node, row, Some(from_ip));
        }
        FeedUpdate::Halls(statuses) => {
            follow::apply_hall_statuses(node, &statuses, follow::Source::OtherBox);
        }
        FeedUpdate::Servers { from, to, changes, expiry_grace_ms } => {
            let received = ReceivedChanges { origin: ChangeOrigin::Feed, from, to, changes };
            apply_servers(node, from_ip, received, Duration::from_millis(expiry_grace_ms));
        }
        FeedUpdate::Listing { from, to, changes, expiry_grace_ms } => {
            let received = ReceivedChanges { origin: ChangeOrigin::Listing, from, to, changes };
            apply_servers(node, from_ip, received, Duration::from_millis(expiry_grace_ms));
        }
    }
    node.feed_update_received.notify_waiters();
}

fn apply_servers(
    node: &ServingNode,
    from_ip: Ipv4Addr,
    received: ReceivedChanges,
    expiry_grace: Duration,
) {
    let now = node.now();
    let (from, to, count) = (received.from, received.to, received.changes.len());
    if to.era() < node.directory.lock().newest_version().era() {
        // The sender has not noticed the store's restoration yet, so it confirms nothing.
        return;
    }
    // A full message may be followed by others.
    let is_last = count < MAX_CHANGES_PER_MESSAGE;
    let failed_at = node.store_failed_at();
    let mut directory = node.directory.lock();
    if !expiry_grace.is_zero() {
        directory.extend_expiry_grace(expiry_grace, failed_at, now);
    }
    let known = directory.newest_version();
    // Changes do not suffice before the first listing, nor after a lost message.
    let events = match node.knows_servers() {
        true => directory.apply_received(received, now),
        false => None,
    };
    if events.is_some() && is_last {
        directory.confirm_current(now);
    }
    drop(directory);
    let has_gap = events.is_none();
    if count > 0 || has_gap {
        let outcome = if has_gap { "some are missing" } else { "taken" };
        log::info!(
            by:% = from_ip, from, to, known, changes = count, outcome; "server changes received"
        );
    }
    follow::handle_events(node, events.unwrap_or_default(), to, follow::Source::OtherBox);
    let mut feed_state = node.feed_state.lock();
    feed_state.record(FeedKind::Servers, now);
    if has_gap {
        feed_state.servers_gap = Some(Gap { source: from_ip });
    }
}
