//! What one box of each hall reads from the platform's feeds and relays to the others there.
//!
//! If every box followed the feeds itself, the calls would grow with boxes times changes. In each hall
//! one box, the first in the order of what they can bear, reads the feeds and passes on what came, also when
//! nothing came: after some silence the others read for themselves, one after the other, and the first
//! that gets an answer relays it.

use std::net::Ipv4Addr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use trackfront_core::serving::directory::{ChangeOrigin, ReceivedChanges, ServerChange};
use trackfront_core::serving::halls::HallStatus;
use trackfront_core::units::Moment;

use super::follow;
use super::messages::Message;
use super::node::ServingNode;
use super::packing::{pack, unpack};
use super::peer_socket::PeerSocket;
pub use super::peer_tracker::HallPeers;

/// How long after a reader's last word its hall counts as read, as a part of the time within which
/// a draining server has to be known.
const FRESH_PART: f64 = 0.65;

/// How many successors of a silent reader read within the promised time, one after the other: so many boxes of a
/// hall may be cut off from the store, and not yet know it, and the rest still learn in time. With a third of
/// the boxes cut off, a hall has so many at its front less than once in 6,000 times.
const SUCCESSORS_IN_TIME: u32 = 8;

/// The part of the time within which a draining server has to be known at which the last of these reads. With the
/// waits of [`SUCCESSOR_STEP`] alone the fourth read after 0.95 of 4 s and the fifth after 1.2 times that.
const SUCCESSORS_PART: f64 = 0.85;

/// How much longer than the first successor of a silent reader the ones after these wait, times the square of
/// their place: an outage of the store for ten seconds is asked about by some boxes of a hall instead of all.
const SUCCESSOR_STEP: Duration = Duration::from_millis(150);

/// How many changes one message carries: at about 200 bytes each they fit a datagram even unpacked.
pub const MAX_CHANGES_PER_MESSAGE: usize = 24;

/// The largest message once it is unpacked, in bytes: some times what so many changes have.
const MAX_RELAY_BYTES: usize = 64 * 1024;

/// What a reader learned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FeedUpdate {
    /// The newest row of the configuration that the reader has seen.
    Config {
        /// The version of the row.
        row: u64,
    },
    /// The halls that the operator spoke of.
    Halls(Vec<HallStatus>),
    /// Changes of servers.
    Servers {
        /// The version after which they begin.
        from: u64,
        /// The version up to which they reach.
        to: u64,
        /// The changes, in order.
        changes: Vec<ServerChange>,
        /// For how many milliseconds rows that go may have lapsed while the platform was away.
        lapses_ms: u64,
    },
    /// How a listing of the servers differs from what the reader knew before, for whoever knows the same.
    Listing {
        /// The version that the reader knew.
        from: u64,
        /// The version of the listing.
        to: u64,
        /// The differences.
        changes: Vec<ServerChange>,
        /// For how many milliseconds rows that go may have lapsed while the platform was away.
        lapses_ms: u64,
    },
}

impl FeedUpdate {
    /// Returns the message that tells changes of servers.
    pub fn from_changes(told: ReceivedChanges, lapses: Duration) -> Self {
        let ReceivedChanges { origin, from, to, changes } = told;
        let lapses_ms = lapses.as_millis() as u64;
        match origin {
            ChangeOrigin::Feed => FeedUpdate::Servers { from, to, changes, lapses_ms },
            ChangeOrigin::Listing => FeedUpdate::Listing { from, to, changes, lapses_ms },
        }
    }
}

/// One of the platform's feeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedKind {
    /// The configuration.
    Config,
    /// The servers.
    Servers,
}

/// What came from the feeds, by way of a reader or of this box's own calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedState {
    config_at: Option<Moment>,
    config_row: u64,
    config_from: Option<Ipv4Addr>,
    servers_at: Option<Moment>,
    servers_gap: Option<Gap>,
}

/// That changes of servers were missed.
#[derive(Clone, Copy, Debug)]
struct Gap {
    /// The box that told of later ones.
    told_by: Ipv4Addr,
}

impl FeedState {
    /// Returns how long nothing came of a feed; `None` if nothing ever did.
    pub fn silence(&self, kind: FeedKind, now: Moment) -> Option<Duration> {
        let heard = match kind {
            FeedKind::Config => self.config_at,
            FeedKind::Servers => self.servers_at,
        };
        heard.map(|at| now.since(at))
    }

    /// Notes that something came of a feed.
    pub fn record(&mut self, kind: FeedKind, now: Moment) {
        match kind {
            FeedKind::Config => self.config_at = Some(now),
            FeedKind::Servers => self.servers_at = Some(now),
        }
    }

    /// Notes a row of the configuration that the hall was told of, by another box or by this one.
    pub fn record_config_row(&mut self, row: u64, from: Option<Ipv4Addr>) {
        if row >= self.config_row {
            self.config_row = row;
            self.config_from = from.or(self.config_from);
        }
    }

    /// Returns the newest row of the configuration that the hall was told of.
    pub fn config_row(&self) -> u64 {
        self.config_row
    }

    /// Returns the box that told of it.
    pub fn config_source(&self) -> Option<Ipv4Addr> {
        self.config_from
    }

    /// Returns whether changes of servers were missed.
    pub fn has_gap(&self) -> bool {
        self.servers_gap.is_some()
    }

    /// Takes note that missed changes are read now. Returns the box that told of later ones, if some were
    /// missed.
    pub fn take_gap(&mut self) -> Option<Ipv4Addr> {
        self.servers_gap.take().map(|gap| gap.told_by)
    }
}

/// The time after which a reader that says nothing is taken for lost.
pub fn reader_timeout(drain: Duration) -> Duration {
    drain.mul_f64(FRESH_PART)
}

/// How much longer the box at a place in the order of readers waits after that.
pub fn successor_delay(rank: usize, drain: Duration) -> Duration {
    let place = u32::try_from(rank.saturating_sub(1)).unwrap_or(u32::MAX);
    if place < SUCCESSORS_IN_TIME {
        let last = drain.mul_f64(SUCCESSORS_PART - FRESH_PART);
        return last * place / (SUCCESSORS_IN_TIME - 1);
    }
    SUCCESSOR_STEP.saturating_mul(place.saturating_mul(place))
}

/// Returns the boxes of this hall.
pub fn hall_peers(node: &ServingNode) -> HallPeers {
    node.peers.lock().hall_peers(node.is_store_lost(), node.now())
}

/// Passes on what the operator wrote: the newest row of the configuration, and the halls, which may be news.
pub async fn relay_operator_rows(
    node: &ServingNode,
    socket: &PeerSocket,
    row: u64,
    halls_are_news: bool,
) {
    let is_news = row > node.feed_state.lock().config_row();
    let Some(mates) = must_tell(node, FeedKind::Config, is_news || halls_are_news) else {
        return;
    };
    if is_news {
        let (boxes, is_reader) = (mates.others.len(), mates.is_reader());
        log::info!(row, boxes, is_reader; "hall told of configuration");
    }
    node.feed_state.lock().record_config_row(row, None);
    // Halls go first, as few know them anew where a configuration is fetched. They are told each time: what one
    // datagram lost, the next brings.
    let words = node.evacuations.lock().statuses();
    if !words.is_empty() {
        socket.send(&Message::FeedUpdate(FeedUpdate::Halls(words)), &mates.others).await;
    }
    socket.send(&Message::FeedUpdate(FeedUpdate::Config { row }), &mates.others).await;
}

/// Passes on what came of the servers.
pub async fn relay_server_changes(node: &ServingNode, socket: &PeerSocket, told: ReceivedChanges) {
    let is_news = !told.changes.is_empty();
    let Some(mates) = must_tell(node, FeedKind::Servers, is_news) else {
        return;
    };
    if is_news {
        let (from, to, changes) = (told.from, told.to, told.changes.len());
        let (boxes, is_reader) = (mates.others.len(), mates.is_reader());
        log::info!(from, to, changes, boxes, is_reader; "hall told of servers");
    }
    let lapses = node.directory.lock().remaining_expiry_grace(node.now());
    for message in told.into_messages(MAX_CHANGES_PER_MESSAGE) {
        let relay = FeedUpdate::from_changes(message, lapses);
        // Packed, a change has 80 to 160 bytes instead of 200, the fewer the more go together.
        socket.send(&Message::PackedFeedUpdate(pack(&relay).into()), &mates.others).await;
    }
}

/// Returns the boxes to pass on to what came from a feed: that the platform answers, if this box reads for the hall
/// or the reader fell silent, and what is new in any case. A box that kept news to itself, as its hall had heard
/// from a reader just before, left 61 others without them for 3.8 to 4.3 s.
fn must_tell(node: &ServingNode, kind: FeedKind, is_news: bool) -> Option<HallPeers> {
    let now = node.now();
    let drain = node.settings.load().promises.drain();
    let silence = {
        let mut relayed = node.feed_state.lock();
        let silence = relayed.silence(kind, now);
        relayed.record(kind, now);
        silence
    };
    let mates = hall_peers(node);
    let was_silent = silence.is_some_and(|silence| silence >= reader_timeout(drain));
    let tells = mates.is_reader() || was_silent || is_news;
    (tells && !mates.others.is_empty()).then_some(mates)
}

/// Takes in what a reader passed on, packed.
pub fn apply_packed(node: &ServingNode, from_ip: Ipv4Addr, packed: &[u8]) {
    match unpack::<FeedUpdate, MAX_RELAY_BYTES>(packed) {
        Ok(relay) => apply_update(node, from_ip, relay),
        Err(error) => log::warn!(from:% = from_ip, error:% = error; "message not understood"),
    }
}

/// Takes in what a reader passed on.
pub fn apply_update(node: &ServingNode, from_ip: Ipv4Addr, relay: FeedUpdate) {
    let now = node.now();
    match relay {
        FeedUpdate::Config { row } => {
            let mut relayed = node.feed_state.lock();
            relayed.record(FeedKind::Config, now);
            relayed.record_config_row(row, Some(from_ip));
        }
        FeedUpdate::Halls(words) => {
            follow::apply_hall_records(node, &words, follow::Source::OtherBox);
        }
        FeedUpdate::Servers { from, to, changes, lapses_ms } => {
            let told = ReceivedChanges { origin: ChangeOrigin::Feed, from, to, changes };
            take_servers(node, from_ip, told, Duration::from_millis(lapses_ms));
        }
        FeedUpdate::Listing { from, to, changes, lapses_ms } => {
            let told = ReceivedChanges { origin: ChangeOrigin::Listing, from, to, changes };
            take_servers(node, from_ip, told, Duration::from_millis(lapses_ms));
        }
    }
    node.feed_update_received.notify_waiters();
}

fn take_servers(node: &ServingNode, from_ip: Ipv4Addr, told: ReceivedChanges, lapses: Duration) {
    let now = node.now();
    let (from, to, count) = (told.from, told.to, told.changes.len());
    // A full message may be followed by others.
    let is_last = count < MAX_CHANGES_PER_MESSAGE;
    let failed_at = node.store_failed_at();
    let mut directory = node.directory.lock();
    if !lapses.is_zero() {
        directory.extend_expiry_grace(lapses, failed_at, now);
    }
    let known = directory.newest_version();
    // Before the first listing, and after a lost message, changes alone are not enough.
    let events = match node.knows_servers() {
        true => directory.apply_received(told, now),
        false => None,
    };
    if events.is_some() && is_last {
        directory.confirm_current(now);
    }
    drop(directory);
    let misses = events.is_none();
    if count > 0 || misses {
        let outcome = if misses { "some are missing" } else { "taken" };
        log::info!(by:% = from_ip, from, to, known, changes = count, outcome; "told of servers");
    }
    follow::handle_events(node, events.unwrap_or_default(), to, follow::Source::OtherBox);
    let mut relayed = node.feed_state.lock();
    relayed.record(FeedKind::Servers, now);
    if misses {
        relayed.servers_gap = Some(Gap { told_by: from_ip });
    }
}
