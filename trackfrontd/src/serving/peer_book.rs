//! The other nodes: which there are, which are alive, and what they last said of themselves.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use trackfront_core::lease::HolderWord;
use trackfront_core::units::Moment;

use super::messages::Digest;

/// Every how many rounds nodes of other zones are told at the least, where there are many: bytes
/// between zones are dear.
const OTHER_ZONES_EVERY: usize = 4;

/// For how many peers nodes of other zones are told one round less often.
const PEERS_FOR_EACH_ROUND: usize = 10;

/// Every how many rounds a node that was not heard of for long is told.
const LOST_EVERY: u64 = 16;

/// How long a node counts as alive after it was heard.
pub const ALIVE_FOR: Duration = Duration::from_millis(1_500);

/// How long a node that is not heard of counts among those that share budgets.
const COUNTED_FOR: Duration = Duration::from_secs(120);

/// How long a node that was never heard is still told of us.
const TRIED_FOR: Duration = Duration::from_secs(10);

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
    /// Learns of a box from a list, which may say in which hall it stands.
    pub fn list(&mut self, ip: Ipv4Addr, hall: Option<u32>, now: Moment) {
        let peer = self.peers.entry(ip).or_insert(Peer { listed: now, ..Peer::default() });
        if peer.heard.is_none() {
            peer.zone = hall.unwrap_or(peer.zone);
        }
    }

    /// Returns the boxes that are alive or were listed just now: those of `hall` first, and of these the ones that
    /// were heard. Of many boxes that start again together the others may have nothing to hand out yet.
    pub fn likely_up(&self, hall: u32, now: Moment) -> Vec<Ipv4Addr> {
        let place = |ip: &Ipv4Addr| {
            let peer = self.peers.get(ip);
            let (zone, heard) = peer.map_or((None, None), |peer| (Some(peer.zone), peer.heard));
            (zone != Some(hall), heard.is_none())
        };
        let mut boxes = self.reachable(now);
        boxes.sort_by_key(place);
        boxes
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

    /// Returns what the node that wrote a version of the lease's row last said of its right. Each
    /// version was written by one node alone.
    pub fn holders_word(&self, version: u64) -> Option<HolderWord> {
        let words = self.peers.values().filter_map(|peer| peer.word);
        words.into_iter().find(|word| word.version == version)
    }

    /// Returns the nodes that are told in a round: those of the own zone each time, others less
    /// often, and those that were not heard of for long seldom.
    pub fn told(&self, zone: u32, round: u64, now: Moment) -> Vec<Ipv4Addr> {
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
    pub fn reachable(&self, now: Moment) -> Vec<Ipv4Addr> {
        let recent = |peer: &Peer| now.since(peer.heard.unwrap_or(peer.listed)) < TRIED_FOR;
        self.peers.iter().filter(|(_, peer)| recent(peer)).map(|(ip, _)| *ip).collect()
    }

    /// Returns every box that was ever listed or heard.
    pub fn all(&self) -> Vec<Ipv4Addr> {
        self.peers.keys().copied().collect()
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
