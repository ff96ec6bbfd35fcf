//! What nodes tell each other: requests under way, demand, and what the giver of orders did.
//!
//! A digest goes to every other node some times a second in one UDP datagram. Digests only make
//! estimates better: a lost one costs nothing, and nothing that has to hold depends on them.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until, timeout};
use trackfront_core::serving::demand::Rate;
use trackfront_core::serving::load::Share;
use trackfront_core::units::Moment;

use super::node::{ServingNode, short_item, short_server, short_zone};
use super::overlay::NoteKind;
use super::spread::{self as relay, Relay};

/// The least time between two digests.
const LEAST_GAP: Duration = Duration::from_millis(100);

/// How much longer the time between digests is for each other node, so that what a node receives
/// stays bounded.
const GAP_FOR_EACH_PEER: Duration = Duration::from_millis(6);

/// The least time between a digest and one that is sent early for something urgent.
const URGENT_GAP: Duration = Duration::from_millis(20);

/// Every how many digests the demand is told.
const DEMAND_EVERY: u64 = 4;

/// How long a node counts as alive after it was heard.
const ALIVE_FOR: Duration = Duration::from_millis(1_500);

/// How long a node that is not heard of counts among those that share budgets.
const COUNTED_FOR: Duration = Duration::from_secs(120);

/// How long a node that was never heard is still told of us.
const TRIED_FOR: Duration = Duration::from_secs(10);

/// The largest datagram.
const MAX_DATAGRAM: usize = 32 * 1024;

/// The limits of what is decoded: no datagram makes the node reserve more than this.
const DECODE_LIMIT: usize = 64 * 1024;

/// What nodes send to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The load and the demand at a node.
    Digest(Digest),
    /// What a node learned from the platform, for those in its zone.
    Relay(Relay),
}

/// What a node tells.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The short name of the node's zone.
    pub zone: u32,
    /// The version of the configuration in force.
    pub config: u64,
    /// Whether the node holds the lease on orders.
    pub gives_orders: bool,
    /// Whether the node is stopping.
    pub stopping: bool,
    /// Requests under way.
    pub shares: Vec<ToldShare>,
    /// Demand: item, hundredths of requests a second, milliseconds of work a second.
    pub demand: Option<Vec<(u32, u32, u32)>>,
    /// Whether something is asked for that no engine holds.
    pub lacks: bool,
    /// Notes: server, item, whether it was added (else withdrawn).
    pub notes: Vec<(u32, u32, bool)>,
}

/// What a node has under way at one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ToldShare {
    /// The server's short name.
    pub server: u32,
    /// Requests.
    pub requests: u32,
    /// Milliseconds of reading, for each rank that has some.
    pub reading_ms: Vec<(u8, u32)>,
}

impl ToldShare {
    fn new(server: u32, share: &Share) -> Self {
        let ranks = share.reading_ms.iter().enumerate().filter(|(_, ms)| **ms >= 1.0);
        let reading_ms = ranks.map(|(rank, ms)| (rank as u8, ms.round() as u32)).collect();
        Self { server, requests: share.requests, reading_ms }
    }

    fn share(&self) -> Share {
        let mut share = Share { requests: self.requests, ..Share::default() };
        for (rank, ms) in &self.reading_ms {
            if let Some(reading) = share.reading_ms.get_mut(usize::from(*rank)) {
                *reading = f64::from(*ms);
            }
        }
        share
    }
}

/// Another node.
#[derive(Clone, Debug, Default)]
struct Peer {
    listed: Moment,
    heard: Option<Moment>,
    zone: u32,
    gives_orders: bool,
}

/// The other nodes.
#[derive(Debug, Default)]
pub struct PeerBook {
    peers: BTreeMap<Ipv4Addr, Peer>,
}

impl PeerBook {
    /// Learns of a node from a list.
    pub fn list(&mut self, ip: Ipv4Addr, now: Moment) {
        self.peers.entry(ip).or_insert(Peer { listed: now, ..Peer::default() });
    }

    /// Learns that a node is alive.
    pub fn heard(&mut self, ip: Ipv4Addr, digest: &Digest, now: Moment) {
        let peer = self.peers.entry(ip).or_insert(Peer { listed: now, ..Peer::default() });
        peer.heard = Some(now);
        peer.zone = digest.zone;
        peer.gives_orders = digest.gives_orders;
    }

    /// Returns the other nodes of a zone that are alive.
    pub fn alive_in(&self, zone: u32, now: Moment) -> Vec<Ipv4Addr> {
        let mut alive = self.alive(now);
        alive.retain(|ip| self.peers.get(ip).is_some_and(|peer| peer.zone == zone));
        alive
    }

    /// Returns the nodes that are told: those heard of lately or listed just now, and the others
    /// at times.
    fn told(&self, round: u64, now: Moment) -> Vec<Ipv4Addr> {
        let is_due = |ip: &Ipv4Addr, peer: &Peer| {
            let last = peer.heard.unwrap_or(peer.listed);
            now.since(last) < TRIED_FOR || (round + u64::from(ip.to_bits())).is_multiple_of(16)
        };
        let due = self.peers.iter().filter(|(ip, peer)| is_due(ip, peer));
        due.map(|(ip, _)| *ip).collect()
    }

    /// Returns how many nodes share budgets, this one included.
    pub fn sharing(&self, now: Moment) -> usize {
        let counted = self
            .peers
            .values()
            .filter(|peer| now.since(peer.heard.unwrap_or(peer.listed)) < COUNTED_FOR);
        counted.count() + 1
    }

    /// Returns the other nodes that are alive.
    pub fn alive(&self, now: Moment) -> Vec<Ipv4Addr> {
        let alive = |peer: &Peer| peer.heard.is_some_and(|heard| now.since(heard) < ALIVE_FOR);
        self.peers.iter().filter(|(_, peer)| alive(peer)).map(|(ip, _)| *ip).collect()
    }

    /// Returns the node that says that it gives orders.
    pub fn giver(&self, now: Moment) -> Option<Ipv4Addr> {
        let gives = |peer: &Peer| {
            peer.gives_orders && peer.heard.is_some_and(|heard| now.since(heard) < ALIVE_FOR)
        };
        self.peers.iter().find(|(_, peer)| gives(peer)).map(|(ip, _)| *ip)
    }
}

/// Tells the other nodes, again and again.
pub async fn tell(node: Arc<ServingNode>, socket: Arc<UdpSocket>, gives_orders: Arc<Giving>) {
    let port = node.settings.load().listen.peers;
    let mut round = 0u64;
    loop {
        let now = node.now();
        let told = node.peers.lock().told(round, now);
        let lacks = node.take_lacks();
        let with_demand = lacks || round.is_multiple_of(DEMAND_EVERY);
        let digest = Digest { lacks, ..digest(&node, gives_orders.get(), with_demand) };
        send(&socket, &Message::Digest(digest), &told, port);
        round += 1;
        let gap = LEAST_GAP.max(GAP_FOR_EACH_PEER * told.len() as u32);
        let start = Instant::now();
        let _ = timeout(gap, node.tell_peers.notified()).await;
        sleep_until(start + URGENT_GAP).await;
    }
}

/// Sends a message to nodes.
pub fn send(socket: &UdpSocket, message: &Message, nodes: &[Ipv4Addr], port: u16) {
    match bincode::serde::encode_to_vec(message, bincode::config::standard()) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM => {
            for ip in nodes {
                // Nothing depends on one message, so a failed send is as good as a lost one.
                let _ = socket.try_send_to(&bytes, SocketAddr::from((*ip, port)));
            }
        }
        Ok(bytes) => log::warn!(bytes = bytes.len(); "message too large, not sent"),
        Err(error) => log::error!(error:% = error; "message not encoded"),
    }
}

/// Whether this node holds the lease on orders, for its digests.
#[derive(Debug, Default)]
pub struct Giving(std::sync::atomic::AtomicBool);

impl Giving {
    /// Returns whether it holds the lease.
    pub fn get(&self) -> bool {
        self.0.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Notes whether it holds the lease.
    pub fn set(&self, gives: bool) {
        self.0.store(gives, std::sync::atomic::Ordering::Relaxed);
    }
}

fn digest(node: &ServingNode, gives_orders: bool, with_demand: bool) -> Digest {
    let now = node.now();
    let loads = node.loads.lock();
    let shares = loads.own_shares();
    let shares = shares.map(|(id, share)| ToldShare::new(short_server(id), &share)).collect();
    drop(loads);
    let demand = with_demand.then(|| {
        let own = node.demand.lock().own(now);
        let told = |(item, rate): &(_, Rate)| {
            (short_item(item), (rate.requests * 100.0) as u32, rate.work_ms as u32)
        };
        own.iter().map(told).collect()
    });
    // Only the giver's notes are its own; others would repeat them for ever.
    let notes = match gives_orders {
        true => node
            .overlay
            .lock()
            .all()
            .map(|(server, item, kind)| {
                (short_server(server), short_item(item), kind == NoteKind::Added)
            })
            .collect(),
        false => Vec::new(),
    };
    let config = node.config.load().as_ref().map_or(0, |config| config.version);
    let zone = short_zone(&node.settings.load().node.zone);
    let stopping = node.is_stopping();
    Digest { zone, config, gives_orders, stopping, shares, demand, lacks: false, notes }
}

/// Hears the other nodes.
pub async fn hear(node: Arc<ServingNode>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut reported = Moment::default();
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "no datagram received");
                tokio::time::sleep(LEAST_GAP).await;
                continue;
            }
        };
        let IpAddr::V4(ip) = from.ip() else {
            continue;
        };
        let config = bincode::config::standard().with_limit::<DECODE_LIMIT>();
        match bincode::serde::decode_from_slice::<Message, _>(&buffer[..length], config) {
            Ok((Message::Digest(digest), _)) => take_in(&node, ip, digest),
            Ok((Message::Relay(relay), _)) => relay::take_in(&node, relay),
            Err(error) => {
                let now = node.now();
                if now.since(reported) > ALIVE_FOR {
                    log::warn!(from:% = from, error:% = error; "message not understood");
                    reported = now;
                }
            }
        }
    }
}

fn take_in(node: &ServingNode, ip: Ipv4Addr, digest: Digest) {
    let now = node.now();
    node.peers.lock().heard(ip, &digest, now);
    let names = node.names.lock();
    let peer = ip.to_bits();
    let mut loads = node.loads.lock();
    loads.peer_spoke(peer);
    for told in &digest.shares {
        if let Some(id) = names.server(told.server) {
            loads.peer(id, peer, told.share(), now);
        }
    }
    drop(loads);
    if let Some(told) = &digest.demand {
        let rates = told.iter().filter_map(|(item, requests, work_ms)| {
            let rate =
                Rate { requests: f64::from(*requests) / 100.0, work_ms: f64::from(*work_ms) };
            Some((names.item(*item)?.clone(), rate))
        });
        node.demand.lock().told(peer, rates.collect(), now);
    }
    if digest.lacks {
        node.lacking.notify_one();
    }
    let mut overlay = node.overlay.lock();
    for (server, item, added) in &digest.notes {
        if let (Some(server), Some(item)) = (names.server(*server), names.item(*item)) {
            let kind = if *added { NoteKind::Added } else { NoteKind::Withdrawn };
            overlay.note(server, item, kind, now);
        }
    }
    if !digest.notes.is_empty() {
        node.servers_changed.notify_waiters();
    }
}
