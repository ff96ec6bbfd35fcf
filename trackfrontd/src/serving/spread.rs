//! What readers of the platform's feeds relay to the other nodes of their zone.
//!
//! If every node followed the feeds itself, the calls would grow with nodes times changes. In each
//! zone one node, the first in the order of addresses, reads the feeds and passes on what came, also
//! when nothing came: silence tells the others that it is lost, and they read for themselves.

use std::net::Ipv4Addr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use trackfront_core::serving::directory::ServerChange;
use trackfront_core::units::Moment;

use super::follow;
use super::gossip::send;
use super::messages::Message;
use super::node::{ServingNode, short_zone};

/// How long after a reader's last word its zone counts as read, as a part of the time within which
/// a draining server has to be known.
const FRESH_PART: f64 = 0.65;

/// How many changes one message carries: at about 400 bytes each they fit a datagram.
const CHANGES_AT_ONCE: usize = 24;

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
}

/// What came from readers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Relayed {
    config_at: Option<Moment>,
    config_row: u64,
    servers_at: Option<Moment>,
    servers_gap: bool,
}

/// One of the platform's feeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedKind {
    /// The configuration.
    Config,
    /// The servers.
    Servers,
}

impl Relayed {
    /// Returns whether a reader was heard of a feed lately.
    pub fn is_fresh(&self, kind: FeedKind, drain: Duration, now: Moment) -> bool {
        let heard = match kind {
            FeedKind::Config => self.config_at,
            FeedKind::Servers => self.servers_at,
        };
        heard.is_some_and(|at| now.since(at) < drain.mul_f64(FRESH_PART))
    }

    /// Returns the newest row of the configuration that a reader told of.
    pub fn config_row(&self) -> u64 {
        self.config_row
    }

    /// Returns whether changes of servers were missed, and takes note that they are read now.
    pub fn take_gap(&mut self) -> bool {
        std::mem::take(&mut self.servers_gap)
    }
}

/// Returns the other nodes of this zone, and whether this node is its reader: the first by address
/// of those that the platform's store does not fail, or of all if it fails them all.
pub fn zone_mates(node: &ServingNode) -> (Vec<Ipv4Addr>, bool) {
    let settings = node.settings.load();
    let zone = short_zone(&settings.node.zone);
    let mates = node.peers.lock().alive_in(zone, node.now());
    let me = settings.node.ip;
    let peers = node.peers.lock();
    let mut served = mates.iter().filter(|ip| !peers.is_store_lost(**ip)).peekable();
    let is_reader = match (node.is_store_lost(), served.peek().is_some()) {
        (true, true) => false,
        (true, false) => mates.iter().all(|ip| *ip > me),
        (false, _) => served.all(|ip| *ip > me),
    };
    drop(peers);
    (mates, is_reader)
}

/// Passes on to the zone what came from a feed.
pub fn relay(node: &ServingNode, socket: &UdpSocket, relay: &Relay) {
    let (mates, is_reader) = zone_mates(node);
    if !is_reader || mates.is_empty() {
        return;
    }
    let port = node.settings.load().listen.peers;
    match relay {
        Relay::Config { .. } => send(socket, &Message::Relay(relay.clone()), &mates, port),
        Relay::Servers { from, to, changes, .. } => {
            let lapses = node.directory.lock().lapses_for(node.now());
            for part in parts(*from, *to, changes, lapses.as_millis() as u64) {
                send(socket, &Message::Relay(part), &mates, port);
            }
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

/// Takes in what a reader passed on.
pub fn take_in(node: &ServingNode, relay: Relay) {
    let now = node.now();
    match relay {
        Relay::Config { row } => {
            let mut relayed = node.relayed.lock();
            relayed.config_at = Some(now);
            relayed.config_row = relayed.config_row.max(row);
        }
        Relay::Servers { from, to, changes, lapses_ms } => {
            if lapses_ms > 0 {
                let left = Duration::from_millis(lapses_ms);
                let failed_at = node.store_failed_at();
                node.directory.lock().reader_expects_lapses(left, failed_at, now);
            }
            take_servers(node, from, to, changes, now);
        }
    }
    node.relay_came.notify_waiters();
}

fn take_servers(node: &ServingNode, from: u64, to: u64, changes: Vec<ServerChange>, now: Moment) {
    let mut directory = node.directory.lock();
    let known = directory.newest();
    // Before the first listing, and after a lost message, changes alone are not enough.
    let misses = !node.knows_servers() || from > known;
    let events = match misses {
        true => Vec::new(),
        false => directory.apply(changes, to, now),
    };
    drop(directory);
    follow::note_events(node, events, to);
    let mut relayed = node.relayed.lock();
    relayed.servers_at = Some(now);
    relayed.servers_gap |= misses;
}
