//! The other boxes: which there are, which are alive, and what they last said of themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use trackfront_core::lease::LeaseAnnouncement;
use trackfront_core::units::Moment;

use super::delegates::{Halls, ListedBox};
use super::messages::{Digest, HolderReport};
use super::order_holder::KnownHolder;

/// Every how many rounds boxes of other halls are told at the least, where there are many: bytes between halls are
/// dear.
const OTHER_HALLS_EVERY: usize = 4;

/// For how many peers boxes of other halls are told one round less often.
const PEERS_FOR_EACH_ROUND: usize = 10;

/// Every how many rounds a box that was not heard of for long is told.
const LOST_EVERY: u64 = 16;

/// The least time between two digests.
pub const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// How much longer the time between digests is for each box that is told, so that what a box receives stays bounded.
const GAP_FOR_EACH_TOLD: Duration = Duration::from_millis(6);

/// The time between digests of a box that speaks for a large hall.
const SPEAKER_GAP: Duration = Duration::from_millis(400);

/// How much longer the time between digests of the other boxes of a large hall is for each box there: a speaker hears
/// 400 a second of them, however many there are.
const GAP_FOR_EACH_MATE: Duration = Duration::from_micros(2_500);

/// How long a box counts as alive after it was heard, where it speaks more often than that.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a box that is not heard of counts among those that share budgets.
const COUNTED_FOR: Duration = Duration::from_secs(120);

/// How long a box that was never heard is still told of us.
const TRIED_FOR: Duration = Duration::from_secs(10);

/// Another box.
#[derive(Clone, Debug)]
struct Peer {
    listed: Moment,
    heard: Option<Moment>,
    place: ListedBox,
    store_lost: bool,
    word: Option<LeaseAnnouncement>,
    /// Since when it should speak to this box, as far as that was found out before it was heard.
    expected: Option<Moment>,
    /// Whether it should have spoken to this box and did not.
    is_missing: bool,
}

impl Peer {
    fn new(place: ListedBox, listed: Moment) -> Self {
        Self {
            listed,
            heard: None,
            place,
            store_lost: false,
            word: None,
            expected: None,
            is_missing: false,
        }
    }

    fn last_sign(&self) -> Moment {
        self.heard.unwrap_or(self.listed)
    }

    fn is_alive(&self, now: Moment) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < PEER_TIMEOUT)
    }
}

/// Which boxes speak to this one.
#[derive(Clone, Copy)]
struct Sight {
    hears_all: bool,
    hears_hall: bool,
    hall: u32,
}

impl Sight {
    fn is_reachable(self, peer: &Peer, now: Moment) -> bool {
        match self.hears_all || (self.hears_hall && peer.place.hall == self.hall) {
            true => now.since(peer.last_sign()) < TRIED_FOR,
            false => !peer.is_missing,
        }
    }
}

/// The boxes of this box's hall.
#[derive(Clone, Debug, Default)]
pub struct HallPeers {
    /// The others that are told what this box reads for them.
    pub others: Vec<Ipv4Addr>,
    /// How many go before this box in reading for the hall.
    pub rank: usize,
    /// The box that reads, if it is not this one.
    pub reader: Option<Ipv4Addr>,
}

impl HallPeers {
    /// Returns whether this box reads for the hall.
    pub fn is_reader(&self) -> bool {
        self.rank == 0
    }
}

/// Whom a box tells what all boxes are to know.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BroadcastTargets {
    /// Boxes that are told themselves.
    pub direct: Vec<Ipv4Addr>,
    /// Boxes that hand it on to their part of their hall.
    pub forwarders: Vec<Ipv4Addr>,
}

/// The other boxes.
#[derive(Debug)]
pub struct PeerTracker {
    me: ListedBox,
    peers: BTreeMap<Ipv4Addr, Peer>,
    halls: Halls,
    /// When it was last looked who speaks for which hall.
    elected_at: Moment,
    giver: KnownHolder,
}

impl PeerTracker {
    /// Makes the book of a box that knows no other.
    pub fn new(me: ListedBox) -> Self {
        let mut halls = Halls::default();
        halls.insert(me, None);
        let (peers, elected_at) = (BTreeMap::new(), Moment::default());
        Self { me, peers, halls, elected_at, giver: KnownHolder::default() }
    }

    /// Learns of a box from a list. What a box says of itself goes before that.
    pub fn add_listed(&mut self, place: ListedBox, now: Moment) {
        let is_heard = self.peers.get(&place.ip).is_some_and(|peer| peer.heard.is_some());
        if place.ip != self.me.ip && !is_heard {
            self.put(place, now);
        }
    }

    fn put(&mut self, place: ListedBox, now: Moment) -> &mut Peer {
        let before = self.peers.get(&place.ip).map(|peer| peer.place);
        self.halls.insert(place, before);
        let peer = self.peers.entry(place.ip).or_insert(Peer::new(place, now));
        peer.place = place;
        peer
    }

    /// Returns the boxes that are alive or were listed just now: those of this hall first, and of these the ones that
    /// were heard. Of many boxes that start again together the others may have nothing to hand out yet.
    pub fn likely_up(&self, now: Moment) -> Vec<Ipv4Addr> {
        let place = |ip: &Ipv4Addr| {
            let peer = self.peers.get(ip);
            let is_mate = peer.is_some_and(|peer| peer.place.hall == self.me.hall);
            (!is_mate, peer.is_none_or(|peer| peer.heard.is_none()))
        };
        let mut boxes = self.reachable(now);
        boxes.sort_by_key(place);
        boxes
    }

    /// Learns that a box is alive.
    pub fn record_digest(&mut self, ip: Ipv4Addr, digest: &Digest, now: Moment) {
        let peer = self.put(ListedBox { ip, hall: digest.hall, capacity: digest.capacity }, now);
        peer.heard = Some(now);
        peer.is_missing = false;
        peer.store_lost = digest.store_lost;
        peer.word = digest.lease.map(|right| right.announcement(now)).or(peer.word);
        self.giver.receive(ip, digest.holds_order_lease, now);
        if let Some(told) = &digest.holder {
            self.giver.apply_report(told, self.me.ip, now);
        }
    }

    /// Returns what this box tells others of who gives orders.
    pub fn holder_report(&self, now: Moment) -> Option<HolderReport> {
        self.giver.report(|ip| self.peers.get(&ip)?.word, now)
    }

    /// Looks anew who speaks for which hall. To be called once in a round, before the others are told.
    pub fn update_missing(&mut self, now: Moment) {
        let was_away = now.since(self.elected_at) >= PEER_TIMEOUT;
        self.elected_at = now;
        if was_away {
            // This box stood still, so that it heard nobody says nothing of the others.
            self.peers.values_mut().for_each(|peer| peer.expected = None);
        }
        self.forgive();
        for ip in self.expected() {
            let Some(peer) = self.peers.get_mut(&ip) else {
                continue;
            };
            let expected = *peer.expected.get_or_insert(now);
            let since = peer.last_sign().max(expected);
            peer.is_missing = now.since(since) >= PEER_TIMEOUT;
        }
    }

    /// Takes boxes no longer for missing that would not speak to this one if they lived, so that it could never learn that
    /// they do.
    fn forgive(&mut self) {
        let would_speak: BTreeSet<Ipv4Addr> =
            self.halls_that_speak().flat_map(|hall| self.would_speak(hall)).copied().collect();
        for (ip, peer) in &mut self.peers {
            if !would_speak.contains(ip) {
                (peer.expected, peer.is_missing) = (None, false);
            }
        }
    }

    /// Returns the boxes that should speak to this one since they speak for their hall.
    fn expected(&self) -> Vec<Ipv4Addr> {
        self.halls_that_speak().flat_map(|hall| self.delegates(hall)).collect()
    }

    /// Returns the halls whose delegates speak to this box: its own, and the others if it is one of them.
    fn halls_that_speak(&self) -> impl Iterator<Item = u32> {
        let (own, speaks) = (self.me.hall, self.is_delegate());
        let is_large = !self.halls.is_small_fleet();
        self.halls.ids().filter(move |hall| is_large && (speaks || *hall == own))
    }

    /// Returns the delegates of a hall and those that would be in their place if they lived.
    fn would_speak(&self, hall: u32) -> impl Iterator<Item = &Ipv4Addr> {
        let boxes = self.halls.boxes_in(hall);
        let last = self.delegates(hall).last().copied();
        let place = boxes.iter().position(|one| Some(one.ip) == last);
        // Of a hall that is missing as a whole the first box that comes back would.
        let count = place.map_or(boxes.len(), |last| last + 1);
        boxes[..count].iter().map(|one| &one.ip)
    }

    fn is_missing(&self, ip: Ipv4Addr) -> bool {
        self.peers.get(&ip).is_some_and(|peer| peer.is_missing)
    }

    /// Returns the boxes that speak to those of this hall.
    fn speakers(&self) -> Vec<Ipv4Addr> {
        self.halls.local_delegates(self.me.hall, |ip| self.is_missing(ip)).collect()
    }

    fn delegates(&self, hall: u32) -> Vec<Ipv4Addr> {
        self.halls.delegates(hall, |ip| self.is_missing(ip)).collect()
    }

    /// Returns whether this box speaks to all of its hall.
    pub fn is_local_delegate(&self) -> bool {
        self.halls.is_small(self.me.hall) || self.speakers().contains(&self.me.ip)
    }

    /// Returns one of the boxes that speak for a large hall, to spread what all of it asks them; none of a small one.
    pub fn random_local_delegate(&self, rng: &mut impl Rng) -> Option<Ipv4Addr> {
        let is_small = self.halls.is_small(self.me.hall);
        let mut speakers = if is_small { Vec::new() } else { self.speakers() };
        speakers.retain(|ip| *ip != self.me.ip);
        speakers.choose(rng).copied()
    }

    /// Returns whether this box speaks for its hall to others.
    fn is_delegate(&self) -> bool {
        self.delegates(self.me.hall).contains(&self.me.ip)
    }

    /// Returns the boxes that are told in a round.
    pub fn digest_targets(&self, round: u64, now: Moment) -> Vec<Ipv4Addr> {
        if self.halls.is_small_fleet() {
            return self.told_by_turns(round, now, |_| true);
        }
        let own = self.me.hall;
        let mut told = match self.halls.is_small(own) {
            true => self.told_by_turns(round, now, |peer| peer.place.hall == own),
            false if self.is_local_delegate() => self.mates_and_some_lost(round, now),
            false => self.speakers(),
        };
        if self.is_delegate() {
            let others = self.halls.ids().filter(|hall| *hall != own);
            told.extend(others.flat_map(|hall| self.delegates(hall)));
        }
        let retried = self.missing_in_turn(round).filter(|ip| !told.contains(ip));
        told.extend(retried);
        told.retain(|ip| *ip != self.me.ip);
        told
    }

    /// Returns the other boxes of this hall, in each round some of those that were not heard of for long.
    fn mates_and_some_lost(&self, round: u64, now: Moment) -> Vec<Ipv4Addr> {
        let sight = self.sight();
        let is_due = |ip: &Ipv4Addr, peer: &Peer| {
            let turn = round + u64::from(ip.to_bits());
            sight.is_reachable(peer, now) || turn.is_multiple_of(LOST_EVERY)
        };
        let mates = self.halls.boxes_in(self.me.hall).iter().map(|one| one.ip);
        mates.filter(|ip| self.peers.get(ip).is_some_and(|peer| is_due(ip, peer))).collect()
    }

    /// Returns one of the boxes that should have spoken and did not, each in its turn: the two may have been cut off
    /// from each other, and both wait to be told.
    fn missing_in_turn(&self, round: u64) -> Option<Ipv4Addr> {
        let missing = || self.peers.iter().filter(|(_, peer)| peer.is_missing).map(|(ip, _)| *ip);
        let count = missing().count().max(1) as u64;
        missing().nth((round % count) as usize)
    }

    /// Returns the boxes among `which` that are told in a round where each speaks to each: those of the own hall each
    /// time, others less often, and those that were not heard of for long seldom.
    fn told_by_turns(
        &self,
        round: u64,
        now: Moment,
        which: impl Fn(&Peer) -> bool,
    ) -> Vec<Ipv4Addr> {
        let others_every = (self.peers.len() / PEERS_FOR_EACH_ROUND).clamp(1, OTHER_HALLS_EVERY);
        let every = |peer: &Peer| match now.since(peer.last_sign()) < TRIED_FOR {
            true if peer.place.hall == self.me.hall || peer.heard.is_none() => 1,
            true => others_every as u64,
            false => LOST_EVERY,
        };
        let is_due = |ip: &Ipv4Addr, peer: &Peer| {
            which(peer) && (round + u64::from(ip.to_bits())).is_multiple_of(every(peer))
        };
        let due = self.peers.iter().filter(|(ip, peer)| is_due(ip, peer));
        due.map(|(ip, _)| *ip).collect()
    }

    /// Returns the time until the next round, after one in which so many were told.
    pub fn digest_interval(&self, told: usize) -> Duration {
        let own = self.halls.boxes_in(self.me.hall).len() as u32;
        match (self.halls.is_small(self.me.hall), self.is_local_delegate()) {
            (true, _) => MIN_DIGEST_INTERVAL.max(GAP_FOR_EACH_TOLD * told as u32),
            (false, true) => SPEAKER_GAP,
            (false, false) => SPEAKER_GAP.max(GAP_FOR_EACH_MATE * own),
        }
    }

    /// Returns the boxes that the giver tells at once what it did: those that pass it on, where there are many.
    pub fn urgent_targets(&self, now: Moment) -> Vec<Ipv4Addr> {
        if self.halls.is_small_fleet() {
            return self.reachable(now);
        }
        let mut told = self.reachable_in_hall(now);
        let others = self.halls.ids().filter(|hall| *hall != self.me.hall);
        told.extend(others.flat_map(|hall| self.delegates(hall)));
        told
    }

    /// Returns whether this box passes on to its hall what it hears from `ip`, so that it need not be told to all: it
    /// is the first that speaks for the hall.
    pub fn forwards_from(&self, ip: Ipv4Addr) -> bool {
        let from = self.peers.get(&ip).map(|peer| peer.place.hall);
        let is_first = self.delegates(self.me.hall).first() == Some(&self.me.ip);
        !self.halls.is_small_fleet() && is_first && from != Some(self.me.hall)
    }

    /// Returns the other boxes of this hall, but for those that are lost for all that this box knows.
    pub fn reachable_in_hall(&self, now: Moment) -> Vec<Ipv4Addr> {
        let sight = self.sight();
        let mates = self.halls.boxes_in(self.me.hall).iter().map(|one| one.ip);
        let is_reachable =
            |ip: &Ipv4Addr| self.peers.get(ip).is_some_and(|peer| sight.is_reachable(peer, now));
        mates.filter(is_reachable).collect()
    }

    /// Returns the boxes of this hall as this one sees them. They read in the order of what they can bear, those that
    /// the platform's store fails after the others; boxes that speak for a large hall go before the rest.
    pub fn hall_peers(&self, is_store_lost: bool, now: Moment) -> HallPeers {
        let is_small = self.halls.is_small(self.me.hall);
        let alive = |ip: &Ipv4Addr| self.peers.get(ip).is_some_and(|peer| peer.is_alive(now));
        let others = if is_small {
            self.reachable_in_hall(now).into_iter().filter(alive).collect()
        } else {
            self.reachable_in_hall(now)
        };
        let me = (is_store_lost, self.me.priority_key());
        let place = |one: &ListedBox| {
            let store_lost = self.peers.get(&one.ip).is_some_and(|peer| peer.store_lost);
            (store_lost, one.priority_key())
        };
        let boxes = self.halls.boxes_in(self.me.hall).iter();
        let mut alive: Vec<&ListedBox> = boxes.filter(|one| alive(&one.ip)).collect();
        alive.sort_by_key(|one| place(one));
        if self.is_local_delegate() {
            let speakers = self.speakers();
            alive.retain(|one| is_small || speakers.contains(&one.ip));
            let rank = alive.iter().filter(|one| place(one) < me).count();
            let reader = alive.first().filter(|_| rank > 0).map(|one| one.ip);
            return HallPeers { others, rank, reader };
        }
        // All that speak go first, alive or not yet found missing; of the rest each knows its place.
        let speakers = self.speakers();
        let reader = alive.iter().find(|one| speakers.contains(&one.ip)).map(|one| one.ip);
        let before = self.halls.boxes_in(self.me.hall).iter().filter(|one| {
            one.priority_key() < self.me.priority_key()
                && !speakers.contains(&one.ip)
                && !self.is_missing(one.ip)
        });
        let rank = speakers.len() + before.count();
        HallPeers { others, rank, reader }
    }

    /// Returns how many boxes go before this one in taking the lease on orders: those that are alive, of a large
    /// fleet only those that speak for a hall.
    pub fn lease_rank(&self, now: Moment) -> usize {
        let is_before =
            |peer: &&Peer| peer.is_alive(now) && peer.place.priority_key() < self.me.priority_key();
        let alive = self.peers.values().filter(is_before).count();
        match self.halls.is_small_fleet() || self.is_delegate() {
            true => alive,
            false => alive + self.hall_peers(false, now).rank,
        }
    }

    /// Returns what the box that wrote a version of the lease's row last said of its right. Each version was written by
    /// one box alone.
    pub fn announcement(&self, version: u64) -> Option<LeaseAnnouncement> {
        let words = self.peers.values().filter_map(|peer| peer.word);
        let words = words.chain(self.giver.relayed_announcement());
        words.into_iter().find(|word| word.version == version)
    }

    /// Returns every box that is alive or was listed just now; of boxes that have no reason to speak to this one all
    /// that are listed.
    pub fn reachable(&self, now: Moment) -> Vec<Ipv4Addr> {
        let sight = self.sight();
        let reachable = self.peers.iter().filter(|(_, peer)| sight.is_reachable(peer, now));
        reachable.map(|(ip, _)| *ip).collect()
    }

    fn sight(&self) -> Sight {
        let hears_all = self.halls.is_small_fleet();
        let hears_hall = hears_all || self.is_local_delegate();
        Sight { hears_all, hears_hall, hall: self.me.hall }
    }

    /// Returns every box that was ever listed or heard.
    pub fn all(&self) -> Vec<Ipv4Addr> {
        self.peers.keys().copied().collect()
    }

    /// Returns all boxes of which it is known where they stand, this one included.
    pub fn listed_boxes(&self) -> Vec<ListedBox> {
        self.halls.all().collect()
    }

    /// Returns the boxes of this hall that this box hands a list of all on to: with the others that speak for the hall
    /// they are all.
    pub fn forward_targets(&self, now: Moment) -> Vec<Ipv4Addr> {
        let delegates = self.delegates(self.me.hall);
        let Some(own) = delegates.iter().position(|ip| *ip == self.me.ip) else {
            return Vec::new();
        };
        let mates = self.reachable_in_hall(now).into_iter().enumerate();
        let is_own = |(index, _): &(usize, Ipv4Addr)| index % delegates.len() == own;
        mates.filter(is_own).map(|(_, ip)| ip).collect()
    }

    /// Returns the boxes that hand a list of all boxes on to their halls.
    pub fn other_delegates(&self) -> Vec<Ipv4Addr> {
        let first = self.halls.ids().flat_map(|hall| self.delegates(hall));
        first.filter(|ip| *ip != self.me.ip).collect()
    }

    /// Returns whom this box tells what all boxes are to know: in a large fleet the boxes that hand it on to their halls,
    /// and its own part of its hall if it is one of these.
    pub fn broadcast_targets(&self, now: Moment) -> BroadcastTargets {
        if self.halls.is_small_fleet() {
            return BroadcastTargets { direct: self.reachable(now), forwarders: Vec::new() };
        }
        BroadcastTargets { direct: self.forward_targets(now), forwarders: self.other_delegates() }
    }

    /// Returns whether each box tells each.
    pub fn is_small_fleet(&self) -> bool {
        self.halls.is_small_fleet()
    }

    /// Returns how many boxes share budgets, this one included.
    pub fn budget_box_count(&self, now: Moment) -> usize {
        let is_small_fleet = self.halls.is_small_fleet();
        let counted = self
            .peers
            .values()
            .filter(|peer| !is_small_fleet || now.since(peer.last_sign()) < COUNTED_FOR);
        counted.count() + 1
    }

    /// Returns the other boxes that are alive, of those that speak to this one.
    pub fn alive(&self, now: Moment) -> Vec<Ipv4Addr> {
        self.peers.iter().filter(|(_, peer)| peer.is_alive(now)).map(|(ip, _)| *ip).collect()
    }

    /// Returns the box that says that it gives orders.
    pub fn order_holder(&self, now: Moment) -> Option<Ipv4Addr> {
        self.giver.live_holder(now)
    }
}
