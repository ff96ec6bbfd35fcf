//! What one box of each hall reads from the platform's feeds and relays to the others there.
//!
//! If every box followed the feeds itself, the calls would grow with boxes times changes. In each hall
//! one box, the first in the order of addresses, reads the feeds and passes on what came, also when
//! nothing came: after some silence the others read for themselves, one after the other, and the first
//! that gets an answer relays it.

use std::net::Ipv4Addr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use trackfront_core::serving::directory::ServerChange;
use trackfront_core::units::Moment;

use super::follow;
use super::messages::Message;
use super::node::{ServingNode, short_zone};
use super::packing::{pack, unpack};
use super::peer_socket::PeerSocket;

/// How long after a reader's last word its hall counts as read, as a part of the time within which
/// a draining server has to be known.
const FRESH_PART: f64 = 0.65;

/// How much longer than the first successor of a silent reader the next ones wait, times the square of
/// their place: the first two read at once, and an outage of the store for ten seconds is asked about
/// by seven boxes of a hall instead of all.
const SUCCESSOR_STEP: Duration = Duration::from_millis(150);

/// How many changes one message carries: at about 200 bytes each they fit a datagram even unpacked.
const CHANGES_AT_ONCE: usize = 24;

/// The largest message once it is unpacked, in bytes: some times what so many changes have.
const MAX_RELAY_BYTES: usize = 64 * 1024;

/// What a reader learned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Relay {
    /// The newest row of the configuration that the reader has seen.
    Config {
        /// The version of the row.
        row: u64,
    },
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
}

impl Relay {
    /// The word of a reader that the platform answers, though with nothing newer than `version`.
    pub fn nothing(version: u64) -> Self {
        Relay::Servers { from: version, to: version, changes: Vec::new(), lapses_ms: 0 }
    }

    fn kind(&self) -> FeedKind {
        match self {
            Relay::Config { .. } => FeedKind::Config,
            Relay::Servers { .. } => FeedKind::Servers,
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
pub struct Relayed {
    config_at: Option<Moment>,
    config_row: u64,
    config_from: Option<Ipv4Addr>,
    servers_at: Option<Moment>,
    servers_gap: bool,
}

impl Relayed {
    /// Returns how long nothing came of a feed; `None` if nothing ever did.
    pub fn silence(&self, kind: FeedKind, now: Moment) -> Option<Duration> {
        let heard = match kind {
            FeedKind::Config => self.config_at,
            FeedKind::Servers => self.servers_at,
        };
        heard.map(|at| now.since(at))
    }

    /// Notes that something came of a feed.
    pub fn note(&mut self, kind: FeedKind, now: Moment) {
        match kind {
            FeedKind::Config => self.config_at = Some(now),
            FeedKind::Servers => self.servers_at = Some(now),
        }
    }

    /// Notes a row of the configuration that the hall was told of, by another box or by this one.
    pub fn note_config(&mut self, row: u64, from: Option<Ipv4Addr>) {
        if row >= self.config_row {
            self.config_row = row;
            self.config_from = from.or(self.config_from);
        }
    }

    /// Returns whether the hall was not told of this yet.
    fn is_news(&self, relay: &Relay) -> bool {
        match relay {
            Relay::Config { row } => *row > self.config_row,
            Relay::Servers { changes, .. } => !changes.is_empty(),
        }
    }

    /// Returns the newest row of the configuration that the hall was told of.
    pub fn config_row(&self) -> u64 {
        self.config_row
    }

    /// Returns the box that told of it.
    pub fn config_from(&self) -> Option<Ipv4Addr> {
        self.config_from
    }

    /// Returns whether changes of servers were missed.
    pub fn has_gap(&self) -> bool {
        self.servers_gap
    }

    /// Returns whether changes of servers were missed, and takes note that they are read now.
    pub fn take_gap(&mut self) -> bool {
        std::mem::take(&mut self.servers_gap)
    }
}

/// The time after which a reader that says nothing is taken for lost.
pub fn fresh_for(drain: Duration) -> Duration {
    drain.mul_f64(FRESH_PART)
}

/// How much longer the box at a place in the order of readers waits after that.
pub fn successor_wait(rank: usize) -> Duration {
    let place = u32::try_from(rank.saturating_sub(1)).unwrap_or(u32::MAX);
    SUCCESSOR_STEP.saturating_mul(place.saturating_mul(place))
}

/// The boxes of this box's hall.
#[derive(Clone, Debug, Default)]
pub struct HallMates {
    /// The others that are alive.
    pub others: Vec<Ipv4Addr>,
    /// How many go before this box in reading for the hall.
    pub rank: usize,
    /// The box that reads, if it is not this one.
    pub reader: Option<Ipv4Addr>,
}

impl HallMates {
    /// Returns whether this box reads for the hall.
    pub fn is_reader(&self) -> bool {
        self.rank == 0
    }
}

/// Returns the boxes of this hall. They read in the order of their addresses, those that the platform's
/// store fails after the others.
pub fn hall_mates(node: &ServingNode) -> HallMates {
    let settings = node.settings.load();
    let hall = short_zone(&settings.node.zone);
    let me = (node.is_store_lost(), settings.node.ip);
    let peers = node.peers.lock();
    let others = peers.alive_in(hall, node.now());
    let place = |ip: &Ipv4Addr| (peers.is_store_lost(*ip), *ip);
    let before = others.iter().filter(|ip| place(ip) < me);
    let reader = before.clone().copied().min_by_key(|ip| place(ip));
    let rank = before.count();
    drop(peers);
    HallMates { others, rank, reader }
}

/// Passes on to the hall what came from a feed: that the platform answers, if this box reads for the hall or
/// the reader fell silent, and what is new in any case. A box that kept news to itself, as its hall had heard
/// from a reader just before, left 61 others without them for 3.8 to 4.3 s.
pub async fn relay(node: &ServingNode, socket: &PeerSocket, relay: &Relay) {
    let kind = relay.kind();
    let now = node.now();
    let drain = node.settings.load().promises.drain();
    let (silence, is_news) = {
        let mut relayed = node.relayed.lock();
        let before = (relayed.silence(kind, now), relayed.is_news(relay));
        relayed.note(kind, now);
        before
    };
    let mates = hall_mates(node);
    let was_silent = silence.is_some_and(|silence| silence >= fresh_for(drain));
    if mates.others.is_empty() || !(mates.is_reader() || was_silent || is_news) {
        return;
    }
    if is_news {
        log_news(relay, mates.others.len(), mates.is_reader());
    }
    if let Relay::Config { row } = relay {
        node.relayed.lock().note_config(*row, None);
    }
    match relay {
        Relay::Config { .. } => socket.send(&Message::Relay(relay.clone()), &mates.others).await,
        Relay::Servers { from, to, changes, .. } => {
            let lapses = node.directory.lock().lapses_for(node.now());
            for part in parts(*from, *to, changes, lapses.as_millis() as u64) {
                // Packed, a change has 80 to 160 bytes instead of 200, the fewer the more go together.
                socket.send(&Message::PackedRelay(pack(&part).into()), &mates.others).await;
            }
        }
    }
}

fn log_news(relay: &Relay, boxes: usize, is_reader: bool) {
    match relay {
        Relay::Config { row } => log::info!(row, boxes, is_reader; "hall told of configuration"),
        Relay::Servers { from, to, changes, .. } => {
            let changes = changes.len();
            log::info!(from, to, changes, boxes, is_reader; "hall told of servers");
        }
    }
}

/// Splits changes so that each part fits a datagram; each begins where the one before ends.
fn parts(from: u64, to: u64, changes: &[ServerChange], lapses_ms: u64) -> Vec<Relay> {
    if changes.is_empty() {
        return vec![Relay::Servers { from, to, changes: Vec::new(), lapses_ms }];
    }
    let mut parts = Vec::new();
    let mut begin = from;
    let mut chunks = changes.chunks(CHANGES_AT_ONCE).peekable();
    while let Some(chunk) = chunks.next() {
        let last = chunk.last().map_or(to, ServerChange::version);
        let end = if chunks.peek().is_some() { last } else { to };
        let changes = chunk.to_vec();
        parts.push(Relay::Servers { from: begin, to: end, changes, lapses_ms });
        begin = end;
    }
    parts
}

/// Takes in what a reader passed on, packed.
pub fn take_in_packed(node: &ServingNode, from_ip: Ipv4Addr, packed: &[u8]) {
    match unpack::<Relay, MAX_RELAY_BYTES>(packed) {
        Ok(relay) => take_in(node, from_ip, relay),
        Err(error) => log::warn!(from:% = from_ip, error:% = error; "message not understood"),
    }
}

/// Takes in what a reader passed on.
pub fn take_in(node: &ServingNode, from_ip: Ipv4Addr, relay: Relay) {
    let now = node.now();
    match relay {
        Relay::Config { row } => {
            let mut relayed = node.relayed.lock();
            relayed.note(FeedKind::Config, now);
            relayed.note_config(row, Some(from_ip));
        }
        Relay::Servers { from, to, changes, lapses_ms } => {
            if lapses_ms > 0 {
                let left = Duration::from_millis(lapses_ms);
                let failed_at = node.store_failed_at();
                node.directory.lock().reader_expects_lapses(left, failed_at, now);
            }
            take_servers(node, from_ip, Told { from, to, changes }, now);
        }
    }
    node.relay_came.notify_waiters();
}

/// Changes of servers as another box told them.
struct Told {
    from: u64,
    to: u64,
    changes: Vec<ServerChange>,
}

fn take_servers(node: &ServingNode, from_ip: Ipv4Addr, told: Told, now: Moment) {
    let Told { from, to, changes } = told;
    let count = changes.len();
    let mut directory = node.directory.lock();
    let known = directory.newest();
    // Before the first listing, and after a lost message, changes alone are not enough.
    let misses = !node.knows_servers() || from > known;
    let events = match misses {
        true => Vec::new(),
        false => directory.apply(changes, to, now),
    };
    drop(directory);
    if count > 0 || misses {
        let outcome = if misses { "some are missing" } else { "taken" };
        log::info!(by:% = from_ip, from, to, known, changes = count, outcome; "told of servers");
    }
    follow::note_events(node, events, to, follow::Source::OtherBox);
    let mut relayed = node.relayed.lock();
    relayed.note(FeedKind::Servers, now);
    relayed.servers_gap |= misses;
}
