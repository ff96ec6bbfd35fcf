//! What nodes tell each other: requests under way, demand, and what the giver of orders did.
//!
//! A digest goes to every other node some times a second in one UDP datagram. Digests only make
//! estimates better: a lost one costs nothing, and nothing that has to hold depends on them.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until, timeout};
use trackfront_core::lease::HolderWord;
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

/// The part of the time between digests after which the giver may send one early: a tenth of its
/// link is not taken by what is urgent, also with many nodes.
const URGENT_SHARE: u32 = 3;

/// Every how many rounds nodes of other zones are told at the least, where there are many: bytes
/// between zones are dear.
const OTHER_ZONES_EVERY: usize = 4;

/// For how many peers nodes of other zones are told one round less often.
const PEERS_FOR_EACH_ROUND: usize = 10;

/// Every how many rounds a node that was not heard of for long is told.
const LOST_EVERY: u64 = 16;

/// Every how many rounds the giver is told of the demand.
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
    /// The load at a node.
    Digest(Digest),
    /// The demand at a node, for the giver of orders.
    Demand(ToldDemand),
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
    /// Whether the platform's store last failed the node.
    pub store_lost: bool,
    /// Until when it may give orders, if it held the lease last.
    pub right: Option<ToldRight>,
    /// Requests under way.
    pub shares: Vec<ToldShare>,
    /// Notes: server, item, whether it was added (else withdrawn).
    pub notes: Vec<(u32, u32, bool)>,
}

/// What a node is asked for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ToldDemand {
    /// Item, hundredths of requests a second, milliseconds of work a second.
    pub rates: Vec<(u32, u32, u32)>,
    /// Whether something is asked for that no engine holds.
    pub lacks: bool,
    /// Adapters that requests in progress use: server, item.
    pub in_use: Vec<(u32, u32)>,
}

/// Until when a node may give orders under a version of the lease's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldRight {
    /// The version of the row.
    pub version: u64,
    /// The milliseconds that are left; negative once they are over.
    pub left_ms: i64,
}

impl ToldRight {
    /// Returns the word as of the moment at which it came. It was said before, so the right ends no
    /// later than that.
    fn word(self, now: Moment) -> HolderWord {
        let left = Duration::from_millis(self.left_ms.max(0).unsigned_abs());
        let over = Duration::from_millis(self.left_ms.min(0).unsigned_abs());
        HolderWord { version: self.version, ends: Moment((now + left).0.saturating_sub(over)) }
    }
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
    store_lost: bool,
    word: Option<HolderWord>,
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
        peer.store_lost = digest.store_lost;
        peer.word = digest.right.map(|right| right.word(now)).or(peer.word);
    }

    /// Returns the other nodes of a zone that are alive.
    pub fn alive_in(&self, zone: u32, now: Moment) -> Vec<Ipv4Addr> {
        let mut alive = self.alive(now);
        alive.retain(|ip| self.peers.get(ip).is_some_and(|peer| peer.zone == zone));
        alive
    }

    /// Returns whether the platform's store last failed a node, by its own word.
    pub fn is_store_lost(&self, ip: Ipv4Addr) -> bool {
        self.peers.get(&ip).is_some_and(|peer| peer.store_lost)
    }

    /// Returns what a node last said of its right to give orders.
    pub fn holders_word(&self, ip: Ipv4Addr) -> Option<HolderWord> {
        self.peers.get(&ip)?.word
    }

    /// Returns the nodes that are told in a round: those of the own zone each time, others less
    /// often, and those that were not heard of for long seldom.
    fn told(&self, zone: u32, round: u64, now: Moment) -> Vec<Ipv4Addr> {
        let others_every = (self.peers.len() / PEERS_FOR_EACH_ROUND).clamp(1, OTHER_ZONES_EVERY);
        let every = |peer: &Peer| {
            let last = peer.heard.unwrap_or(peer.listed);
            match now.since(last) < TRIED_FOR {
                true if peer.zone == zone || peer.heard.is_none() => 1,
                true => others_every as u64,
                false => LOST_EVERY,
            }
        };
        let is_due = |ip: &Ipv4Addr, peer: &Peer| {
            (round + u64::from(ip.to_bits())).is_multiple_of(every(peer))
        };
        let due = self.peers.iter().filter(|(ip, peer)| is_due(ip, peer));
        due.map(|(ip, _)| *ip).collect()
    }

    /// Returns every node that is alive or was listed just now.
    fn reachable(&self, now: Moment) -> Vec<Ipv4Addr> {
        let recent = |peer: &Peer| now.since(peer.heard.unwrap_or(peer.listed)) < TRIED_FOR;
        self.peers.iter().filter(|(_, peer)| recent(peer)).map(|(ip, _)| *ip).collect()
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
    let settings = node.settings.load_full();
    let (port, zone) = (settings.listen.peers, short_zone(&settings.node.zone));
    let mut round = 0u64;
    let mut urgent = false;
    loop {
        let now = node.now();
        node.loads.lock().forget_old(now);
        // What the giver did is urgent for all; what is lacking is so for the giver alone.
        let gives = gives_orders.get();
        let told = match urgent && gives {
            true => node.peers.lock().reachable(now),
            false => node.peers.lock().told(zone, round, now),
        };
        if gives || !urgent {
            let right = gives_orders.told_right(now);
            send(&socket, &Message::Digest(digest(&node, zone, gives, right)), &told, port);
        }
        let lacks = node.take_lacks();
        if !gives && (lacks || round.is_multiple_of(DEMAND_EVERY)) {
            let giver = node.peers.lock().giver(now);
            let demand = Message::Demand(demand(&node, lacks));
            send(&socket, &demand, giver.as_slice(), port);
        }
        round += u64::from(!urgent);
        let gap = LEAST_GAP.max(GAP_FOR_EACH_PEER * told.len() as u32);
        let urgent_gap = match gives {
            true => URGENT_GAP.max(gap / URGENT_SHARE),
            false => URGENT_GAP,
        };
        let start = Instant::now();
        urgent = timeout(gap, node.tell_peers.notified()).await.is_ok();
        sleep_until(start + urgent_gap).await;
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

/// Whether this node holds the lease on orders, and until when it has the right to give them, for
/// its digests.
#[derive(Debug, Default)]
pub struct Giving(std::sync::atomic::AtomicBool, Mutex<Option<HolderWord>>);

impl Giving {
    /// Returns whether it holds the lease.
    pub fn get(&self) -> bool {
        self.0.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Notes whether it holds the lease.
    pub fn set(&self, gives: bool) {
        self.0.store(gives, std::sync::atomic::Ordering::Relaxed);
    }

    /// Notes when its right ends under the version of the lease's row that it wrote last. Others are
    /// told also after it lost the lease: they may take it the sooner.
    pub fn say(&self, word: HolderWord) {
        *self.1.lock() = Some(word);
    }

    fn told_right(&self, now: Moment) -> Option<ToldRight> {
        let HolderWord { version, ends } = (*self.1.lock())?;
        let (left, over) = (ends.since(now).as_millis(), now.since(ends).as_millis());
        let left_ms = i64::try_from(left).ok()? - i64::try_from(over).ok()?;
        Some(ToldRight { version, left_ms })
    }
}

fn digest(node: &ServingNode, zone: u32, gives_orders: bool, right: Option<ToldRight>) -> Digest {
    let loads = node.loads.lock();
    let shares = loads.own_shares();
    let shares = shares.map(|(id, share)| ToldShare::new(short_server(id), &share)).collect();
    drop(loads);
    // Only the giver's notes are its own; others would repeat them for ever.
    let notes = match gives_orders {
        true => notes(node),
        false => Vec::new(),
    };
    let config = node.config.load().as_ref().map_or(0, |config| config.version);
    let (stopping, store_lost) = (node.is_stopping(), node.is_store_lost());
    Digest { zone, config, gives_orders, stopping, store_lost, right, shares, notes }
}

fn notes(node: &ServingNode) -> Vec<(u32, u32, bool)> {
    let overlay = node.overlay.lock();
    let note = |(server, item, kind): (&_, &_, NoteKind)| {
        (short_server(server), short_item(item), kind == NoteKind::Added)
    };
    overlay.all().map(note).collect()
}

fn demand(node: &ServingNode, lacks: bool) -> ToldDemand {
    let own = node.demand.lock().own(node.now());
    let told = |(item, rate): &(_, Rate)| {
        (short_item(item), (rate.requests * 100.0) as u32, rate.work_ms as u32)
    };
    let adapter_use = node.adapter_use.lock();
    let in_use = adapter_use.own().map(|(server, item)| (short_server(server), short_item(item)));
    ToldDemand { rates: own.iter().map(told).collect(), lacks, in_use: in_use.collect() }
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
            Ok((Message::Demand(told), _)) => take_demand(&node, ip, &told),
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

fn take_demand(node: &ServingNode, ip: Ipv4Addr, told: &ToldDemand) {
    let names = node.names.lock();
    let rates = told.rates.iter().filter_map(|(item, requests, work_ms)| {
        let rate = Rate { requests: f64::from(*requests) / 100.0, work_ms: f64::from(*work_ms) };
        Some((names.item(*item)?.clone(), rate))
    });
    node.demand.lock().told(ip.to_bits(), rates.collect(), node.now());
    let in_use = told.in_use.iter().filter_map(|(server, item)| {
        Some((names.server(*server)?.clone(), names.item(*item)?.clone()))
    });
    node.adapter_use.lock().told(ip.to_bits(), in_use.collect(), node.now());
    if told.lacks {
        node.lacking.notify_one();
    }
}

fn take_in(node: &ServingNode, ip: Ipv4Addr, digest: Digest) {
    let now = node.now();
    node.peers.lock().heard(ip, &digest, now);
    let names = node.names.lock();
    let shares = digest
        .shares
        .iter()
        .filter_map(|told| Some((names.server(told.server)?.clone(), told.share())));
    node.loads.lock().peer_told(ip.to_bits(), shares.collect(), now);
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
