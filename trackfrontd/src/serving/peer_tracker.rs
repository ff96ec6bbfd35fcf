//! Tracks the other boxes: which exist, which are alive, and what their last digests said.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use trackfront_core::lease::LeaseAnnouncement;
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;

use super::delegates::{Halls, ListedBox};
use super::messages::{Digest, HolderReport};
use super::order_holder::KnownHolder;
use super::peer::{DigestSources, PEER_TIMEOUT, Peer, REACHABLE_TIME};

/// The longest interval, in rounds, between digests to a box of another hall in a small fleet.
/// Traffic between halls is expensive.
const MAX_OTHER_HALL_ROUNDS: usize = 4;

/// The number of peers for which the interval between digests to other halls grows by one round.
const PEERS_PER_OTHER_HALL_ROUND: usize = 10;

/// The interval, in rounds, between digests to a box that has been silent for long.
const SILENT_PEER_ROUNDS: u64 = 16;

/// The shortest interval between two digests.
pub const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// The digest interval for each recipient, which bounds the rate of digests that a box receives.
const INTERVAL_PER_TARGET: Duration = Duration::from_millis(6);

/// The interval between digests of a delegate of a large hall.
const DELEGATE_INTERVAL: Duration = Duration::from_millis(400);

/// The digest interval of the other boxes of a large hall, for each box there: a delegate receives
/// 400 of their digests a second, whatever the size of the hall.
const INTERVAL_PER_HALL_BOX: Duration = Duration::from_micros(2_500);

/// The number of boxes that read for their hall before any box knows which others are up: two, as one may be down.
const FIRST_READERS: usize = 2;

/// The time for which a silent box still counts among those that share budgets.
const BUDGET_SHARE_TIME: Duration = Duration::from_secs(120);

/// The boxes of this box's hall, and its position in the succession of feed readers.
#[derive(Clone, Debug, Default)]
pub struct HallPeers {
    /// The other boxes, which receive what this one reads for the hall.
    pub others: Vec<Ipv4Addr>,
    /// The number of boxes that precede this one as the hall's feed reader.
    pub rank: usize,
    /// The hall's feed reader, if that is another box.
    pub reader: Option<Ipv4Addr>,
}

impl HallPeers {
    /// Returns whether this box is the feed reader of its hall.
    pub fn is_reader(&self) -> bool {
        self.rank == 0
    }
}

/// The boxes that have a newer configuration in force than this one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigHolders {
    /// Those of this box's hall.
    pub in_hall: Vec<Ipv4Addr>,
    /// Those of other halls. Traffic between halls is expensive.
    pub elsewhere: Vec<Ipv4Addr>,
}

/// The recipients of a message that has to reach all boxes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BroadcastTargets {
    /// Boxes that only receive the message.
    pub direct: Vec<Ipv4Addr>,
    /// Boxes that also forward it to their part of their hall.
    pub forwarders: Vec<Ipv4Addr>,
}

/// Tracks the other boxes.
#[derive(Debug)]
pub struct PeerTracker {
    me: ListedBox,
    peers: BTreeMap<Ipv4Addr, Peer>,
    halls: Halls,
    /// When [`Self::update_missing`] last ran.
    missing_updated_at: Moment,
    holder: KnownHolder,
}

impl PeerTracker {
    /// Creates the tracker of a box that knows no other.
    pub fn new(me: ListedBox) -> Self {
        let mut halls = Halls::default();
        halls.insert(me, None);
        let (peers, missing_updated_at) = (BTreeMap::new(), Moment::default());
        Self { me, peers, halls, missing_updated_at, holder: KnownHolder::default() }
    }

    /// Adds a box from a list of boxes, unless its own digests are known.
    pub fn add_listed(&mut self, listing: ListedBox, now: Moment) {
        let has_digest =
            self.peers.get(&listing.ip).is_some_and(|peer| peer.last_digest_at.is_some());
        if listing.ip != self.me.ip && !has_digest {
            self.upsert(listing, now);
        }
    }

    fn upsert(&mut self, listing: ListedBox, now: Moment) -> &mut Peer {
        let previous = self.peers.get(&listing.ip).map(|peer| peer.listing);
        self.halls.insert(listing, previous);
        let peer = self.peers.entry(listing.ip).or_insert(Peer::new(listing, now));
        peer.listing = listing;
        peer
    }

    /// Returns the reachable boxes, those of this hall first, and among these first the ones that
    /// have sent digests. When many boxes restart together, the silent ones may have no snapshots
    /// yet.
    pub fn likely_up(&self, now: Moment) -> Vec<Ipv4Addr> {
        let sort_key = |ip: &Ipv4Addr| {
            let peer = self.peers.get(ip);
            let is_in_hall = peer.is_some_and(|peer| peer.listing.hall == self.me.hall);
            let has_digest = peer.is_some_and(|peer| peer.last_digest_at.is_some());
            (!is_in_hall, !has_digest, peer.map(|peer| peer.listing.priority_key()))
        };
        let mut boxes = self.reachable(now);
        boxes.sort_by_key(sort_key);
        boxes
    }

    /// Returns whether this box is one of the first of its hall by the list alone. While no box knows which others are up,
    /// these read for their hall, and the others ask them first.
    pub fn is_listed_first(&self) -> bool {
        let first = self.halls.boxes_in(self.me.hall).iter().take(FIRST_READERS);
        first.into_iter().any(|listed| listed.ip == self.me.ip)
    }

    /// Records a digest of another box.
    pub fn record_digest(&mut self, ip: Ipv4Addr, digest: &Digest, now: Moment) {
        let peer = self.upsert(ListedBox { ip, hall: digest.hall, capacity: digest.capacity }, now);
        peer.last_digest_at = Some(now);
        peer.is_missing = false;
        peer.store_lost = digest.store_lost;
        peer.config_row = digest.config_row;
        peer.announcement = digest.lease.map(|lease| lease.announcement(now)).or(peer.announcement);
        self.holder.receive(ip, digest.holds_order_lease, now);
        if let Some(report) = &digest.holder {
            self.holder.apply_report(report, self.me.ip, now);
        }
    }

    /// Returns the boxes that hand out a newer configuration than that of row `known`, as their digests said.
    pub fn config_holders(&self, known: StoreVersion, now: Moment) -> ConfigHolders {
        let holders = self.peers.iter().filter(|(_, peer)| peer.offers_config(known, now));
        let (in_hall, elsewhere): (Vec<_>, Vec<_>) =
            holders.partition(|(_, peer)| peer.listing.hall == self.me.hall);
        let ips = |peers: Vec<(&Ipv4Addr, &Peer)>| peers.into_iter().map(|(ip, _)| *ip).collect();
        ConfigHolders { in_hall: ips(in_hall), elsewhere: ips(elsewhere) }
    }

    /// Returns whether a box is in this box's hall.
    pub fn is_in_hall(&self, ip: Ipv4Addr) -> bool {
        self.peers.get(&ip).is_some_and(|peer| peer.listing.hall == self.me.hall)
    }

    /// Returns the row of the configuration in force at a box, as its last digest said.
    pub fn config_row_of(&self, ip: Ipv4Addr) -> StoreVersion {
        self.peers.get(&ip).map_or(StoreVersion::ZERO, |peer| peer.config_row)
    }

    /// Records that a box had no newer configuration to hand out, whatever its digest said. `row` is what it said when it
    /// was asked; it may have a newer one by now.
    pub fn deny_config(&mut self, ip: Ipv4Addr, row: StoreVersion) {
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.denied_config_row = row;
        }
    }

    /// Returns the report on the order holder that this box sends to others.
    pub fn holder_report(&self, now: Moment) -> Option<HolderReport> {
        self.holder.report(|ip| self.peers.get(&ip)?.announcement, now)
    }

    /// Updates which boxes are missing. Call this once per round, before picking the recipients of
    /// a digest.
    pub fn update_missing(&mut self, now: Moment) {
        let was_paused = now.since(self.missing_updated_at) >= PEER_TIMEOUT;
        self.missing_updated_at = now;
        if was_paused {
            // This process stood still, so the lack of digests says nothing about the other boxes.
            self.peers.values_mut().for_each(|peer| peer.expected_since = None);
        }
        self.reset_unexpected();
        for ip in self.expected_senders() {
            let Some(peer) = self.peers.get_mut(&ip) else {
                continue;
            };
            let expected_since = *peer.expected_since.get_or_insert(now);
            let silent_since = peer.last_seen_at().max(expected_since);
            peer.is_missing = now.since(silent_since) >= PEER_TIMEOUT;
        }
    }

    /// Marks boxes as present that would not send digests to this one even if alive: it could never
    /// learn of their return.
    fn reset_unexpected(&mut self) {
        let possible_senders: BTreeSet<Ipv4Addr> =
            self.sending_halls().flat_map(|hall| self.possible_delegates(hall)).copied().collect();
        for (ip, peer) in &mut self.peers {
            if !possible_senders.contains(ip) {
                (peer.expected_since, peer.is_missing) = (None, false);
            }
        }
    }

    /// Returns the delegates that should send digests to this box.
    fn expected_senders(&self) -> Vec<Ipv4Addr> {
        self.sending_halls().flat_map(|hall| self.delegates(hall)).collect()
    }

    /// Returns the halls whose delegates send digests to this box: its own, and all others if it is
    /// a delegate.
    fn sending_halls(&self) -> impl Iterator<Item = u32> {
        let (own, is_delegate) = (self.me.hall, self.is_delegate());
        let is_large = !self.halls.is_small_fleet();
        self.halls.ids().filter(move |hall| is_large && (is_delegate || *hall == own))
    }

    /// Returns the delegates of a hall and the boxes that would replace them if alive.
    fn possible_delegates(&self, hall: u32) -> impl Iterator<Item = &Ipv4Addr> {
        let boxes = self.halls.boxes_in(hall);
        let last = self.delegates(hall).last().copied();
        let last_index = boxes.iter().position(|listed| Some(listed.ip) == last);
        // If all of the hall is missing, the first box that returns becomes its delegate.
        let count = last_index.map_or(boxes.len(), |index| index + 1);
        boxes[..count].iter().map(|listed| &listed.ip)
    }

    fn is_missing(&self, ip: Ipv4Addr) -> bool {
        self.peers.get(&ip).is_some_and(|peer| peer.is_missing)
    }

    /// Returns the boxes that send digests to all of this hall.
    fn local_delegates(&self) -> Vec<Ipv4Addr> {
        self.halls.local_delegates(self.me.hall, |ip| self.is_missing(ip)).collect()
    }

    fn delegates(&self, hall: u32) -> Vec<Ipv4Addr> {
        self.halls.delegates(hall, |ip| self.is_missing(ip)).collect()
    }

    /// Returns whether this box sends digests to all of its hall.
    pub fn is_local_delegate(&self) -> bool {
        self.halls.is_small(self.me.hall) || self.local_delegates().contains(&self.me.ip)
    }

    /// Returns a random delegate of this hall if the hall is large, to spread the requests of its
    /// boxes.
    pub fn random_local_delegate(&self, rng: &mut impl Rng) -> Option<Ipv4Addr> {
        let is_small = self.halls.is_small(self.me.hall);
        let mut delegates = if is_small { Vec::new() } else { self.local_delegates() };
        delegates.retain(|ip| *ip != self.me.ip);
        delegates.choose(rng).copied()
    }

    /// Returns whether this box exchanges digests with other halls on behalf of its hall.
    fn is_delegate(&self) -> bool {
        self.delegates(self.me.hall).contains(&self.me.ip)
    }

    /// Returns the recipients of this box's digest in a round.
    pub fn digest_targets(&self, round: u64, now: Moment) -> Vec<Ipv4Addr> {
        if self.halls.is_small_fleet() {
            return self.due_peers(round, now, |_| true);
        }
        let own = self.me.hall;
        let mut targets = match self.halls.is_small(own) {
            true => self.due_peers(round, now, |peer| peer.listing.hall == own),
            false if self.is_local_delegate() => self.due_in_hall(round, now),
            false => self.local_delegates(),
        };
        if self.is_delegate() {
            let others = self.halls.ids().filter(|hall| *hall != own);
            targets.extend(others.flat_map(|hall| self.delegates(hall)));
        }
        let retried = self.missing_to_retry(round).filter(|ip| !targets.contains(ip));
        targets.extend(retried);
        targets.retain(|ip| *ip != self.me.ip);
        targets
    }

    /// Returns the reachable boxes of this hall, and in each round some of the unreachable ones.
    fn due_in_hall(&self, round: u64, now: Moment) -> Vec<Ipv4Addr> {
        let sources = self.digest_sources();
        let is_due = |ip: &Ipv4Addr, peer: &Peer| {
            let offset_round = round + u64::from(ip.to_bits());
            sources.is_reachable(peer, now) || offset_round.is_multiple_of(SILENT_PEER_ROUNDS)
        };
        let hall_peers = self.halls.boxes_in(self.me.hall).iter().map(|listed| listed.ip);
        hall_peers.filter(|ip| self.peers.get(ip).is_some_and(|peer| is_due(ip, peer))).collect()
    }

    /// Returns one missing box, a different one each round. If the two were only cut off from each
    /// other, each of them waits for a digest of the other.
    fn missing_to_retry(&self, round: u64) -> Option<Ipv4Addr> {
        let missing = || self.peers.iter().filter(|(_, peer)| peer.is_missing).map(|(ip, _)| *ip);
        let count = missing().count().max(1) as u64;
        missing().nth((round % count) as usize)
    }

    /// Returns the boxes that match `filter` and are due for a digest where all send digests to
    /// each other: boxes of this hall in each round, those of other halls less often, and silent
    /// ones rarely.
    fn due_peers(&self, round: u64, now: Moment, filter: impl Fn(&Peer) -> bool) -> Vec<Ipv4Addr> {
        let other_hall_rounds =
            (self.peers.len() / PEERS_PER_OTHER_HALL_ROUND).clamp(1, MAX_OTHER_HALL_ROUNDS);
        let interval = |peer: &Peer| match now.since(peer.last_seen_at()) < REACHABLE_TIME {
            true if peer.listing.hall == self.me.hall || peer.last_digest_at.is_none() => 1,
            true => other_hall_rounds as u64,
            false => SILENT_PEER_ROUNDS,
        };
        let is_due = |ip: &Ipv4Addr, peer: &Peer| {
            filter(peer) && (round + u64::from(ip.to_bits())).is_multiple_of(interval(peer))
        };
        let due = self.peers.iter().filter(|(ip, peer)| is_due(ip, peer));
        due.map(|(ip, _)| *ip).collect()
    }

    /// Returns the time until the next round, after one with `targets` recipients.
    pub fn digest_interval(&self, targets: usize) -> Duration {
        let hall_boxes = self.halls.boxes_in(self.me.hall).len() as u32;
        match (self.halls.is_small(self.me.hall), self.is_local_delegate()) {
            (true, _) => MIN_DIGEST_INTERVAL.max(INTERVAL_PER_TARGET * targets as u32),
            (false, true) => DELEGATE_INTERVAL,
            (false, false) => DELEGATE_INTERVAL.max(INTERVAL_PER_HALL_BOX * hall_boxes),
        }
    }

    /// Returns the recipients of an early digest of the order holder: all reachable boxes of a
    /// small fleet; in a large one its own hall and the delegates of the others, which forward the
    /// overlay entries.
    pub fn urgent_targets(&self, now: Moment) -> Vec<Ipv4Addr> {
        if self.halls.is_small_fleet() {
            return self.reachable(now);
        }
        let mut targets = self.reachable_in_hall(now);
        let others = self.halls.ids().filter(|hall| *hall != self.me.hall);
        targets.extend(others.flat_map(|hall| self.delegates(hall)));
        targets
    }

    /// Returns whether this box forwards overlay entries from `ip` to its hall, as the hall's first
    /// delegate. The sender thus need not send them to every box.
    pub fn forwards_from(&self, ip: Ipv4Addr) -> bool {
        let sender_hall = self.peers.get(&ip).map(|peer| peer.listing.hall);
        let is_first = self.delegates(self.me.hall).first() == Some(&self.me.ip);
        !self.halls.is_small_fleet() && is_first && sender_hall != Some(self.me.hall)
    }

    /// Returns the reachable other boxes of this hall.
    pub fn reachable_in_hall(&self, now: Moment) -> Vec<Ipv4Addr> {
        self.reachable_in(self.me.hall, now)
    }

    /// Returns the reachable other boxes of a hall.
    pub fn reachable_in(&self, hall: u32, now: Moment) -> Vec<Ipv4Addr> {
        let sources = self.digest_sources();
        let hall_peers = self.halls.boxes_in(hall).iter().map(|listed| listed.ip);
        let is_reachable =
            |ip: &Ipv4Addr| self.peers.get(ip).is_some_and(|peer| sources.is_reachable(peer, now));
        hall_peers.filter(is_reachable).collect()
    }

    /// Returns this box's view of its hall. Boxes become feed reader in order of priority, those
    /// that cannot reach the platform's store last; in a large hall the delegates precede the rest.
    pub fn hall_peers(&self, is_store_lost: bool, now: Moment) -> HallPeers {
        let is_small = self.halls.is_small(self.me.hall);
        let is_alive = |ip: &Ipv4Addr| self.peers.get(ip).is_some_and(|peer| peer.is_alive(now));
        let others = if is_small {
            self.reachable_in_hall(now).into_iter().filter(is_alive).collect()
        } else {
            self.reachable_in_hall(now)
        };
        let own_key = (is_store_lost, self.me.priority_key());
        let sort_key = |listed: &ListedBox| {
            let store_lost = self.peers.get(&listed.ip).is_some_and(|peer| peer.store_lost);
            (store_lost, listed.priority_key())
        };
        let boxes = self.halls.boxes_in(self.me.hall).iter();
        let mut alive: Vec<&ListedBox> = boxes.filter(|listed| is_alive(&listed.ip)).collect();
        alive.sort_by_key(|listed| sort_key(listed));
        if self.is_local_delegate() {
            let delegates = self.local_delegates();
            alive.retain(|listed| is_small || delegates.contains(&listed.ip));
            let rank = alive.iter().filter(|listed| sort_key(listed) < own_key).count();
            let reader = alive.first().filter(|_| rank > 0).map(|listed| listed.ip);
            return HallPeers { others, rank, reader };
        }
        // All delegates come first, whether alive or not yet found missing. The rest follow in
        // order of priority.
        let delegates = self.local_delegates();
        let reader =
            alive.iter().find(|listed| delegates.contains(&listed.ip)).map(|listed| listed.ip);
        let preceding = self.halls.boxes_in(self.me.hall).iter().filter(|listed| {
            listed.priority_key() < self.me.priority_key()
                && !delegates.contains(&listed.ip)
                && !self.is_missing(listed.ip)
        });
        let rank = delegates.len() + preceding.count();
        HallPeers { others, rank, reader }
    }

    /// Returns the number of live boxes that precede this one in taking the order lease; in a large
    /// fleet the delegates of all halls come first.
    pub fn lease_rank(&self, now: Moment) -> usize {
        let precedes = |peer: &&Peer| {
            peer.is_alive(now) && peer.listing.priority_key() < self.me.priority_key()
        };
        let preceding = self.peers.values().filter(precedes).count();
        match self.halls.is_small_fleet() || self.is_delegate() {
            true => preceding,
            false => preceding + self.hall_peers(false, now).rank,
        }
    }

    /// Returns the last announcement for a version of the lease's row. Each version is written by
    /// one box only.
    pub fn announcement(&self, version: StoreVersion) -> Option<LeaseAnnouncement> {
        let own = self.peers.values().filter_map(|peer| peer.announcement);
        let all = own.chain(self.holder.relayed_announcement());
        all.into_iter().find(|announcement| announcement.version == version)
    }

    /// Returns the boxes that are alive or were listed recently, and all listed boxes that are not
    /// expected to send digests to this one.
    pub fn reachable(&self, now: Moment) -> Vec<Ipv4Addr> {
        let sources = self.digest_sources();
        let reachable = self.peers.iter().filter(|(_, peer)| sources.is_reachable(peer, now));
        reachable.map(|(ip, _)| *ip).collect()
    }

    fn digest_sources(&self) -> DigestSources {
        let is_whole_fleet = self.halls.is_small_fleet();
        let is_whole_hall = is_whole_fleet || self.is_local_delegate();
        DigestSources { is_whole_fleet, is_whole_hall, hall: self.me.hall }
    }

    /// Returns the boxes that may carry connections for this one: those that are up as far as it can tell.
    pub fn relay_candidates(&self, now: Moment) -> Vec<ListedBox> {
        let sources = self.digest_sources();
        let up = self.peers.values().filter(|peer| sources.is_up(peer, now));
        up.map(|peer| peer.listing).collect()
    }

    /// Returns every other box that was ever listed or sent a digest.
    pub fn all(&self) -> Vec<Ipv4Addr> {
        self.peers.keys().copied().collect()
    }

    /// Returns the entries of all known boxes, this one included.
    pub fn listed_boxes(&self) -> Vec<ListedBox> {
        self.halls.all().collect()
    }

    /// Returns the part of this hall to which this box forwards broadcasts, as a delegate. Together
    /// the hall's delegates cover all of it.
    pub fn forward_targets(&self, now: Moment) -> Vec<Ipv4Addr> {
        let delegates = self.delegates(self.me.hall);
        let Some(own_index) = delegates.iter().position(|ip| *ip == self.me.ip) else {
            return Vec::new();
        };
        let hall_peers = self.reachable_in_hall(now).into_iter().enumerate();
        let is_own = |(index, _): &(usize, Ipv4Addr)| index % delegates.len() == own_index;
        hall_peers.filter(is_own).map(|(_, ip)| ip).collect()
    }

    /// Returns the delegates of all halls except this box.
    pub fn other_delegates(&self) -> Vec<Ipv4Addr> {
        let delegates = self.halls.ids().flat_map(|hall| self.delegates(hall));
        delegates.filter(|ip| *ip != self.me.ip).collect()
    }

    /// Returns the recipients of a message that has to reach all boxes: in a large fleet the
    /// delegates, which forward it to their halls, and this box's own part of its hall if it is a
    /// delegate.
    pub fn broadcast_targets(&self, now: Moment) -> BroadcastTargets {
        if self.halls.is_small_fleet() {
            return BroadcastTargets { direct: self.reachable(now), forwarders: Vec::new() };
        }
        BroadcastTargets { direct: self.forward_targets(now), forwarders: self.other_delegates() }
    }

    /// Returns whether all boxes send digests to each other.
    pub fn is_small_fleet(&self) -> bool {
        self.halls.is_small_fleet()
    }

    /// Returns the number of known boxes, this one included.
    pub fn box_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the number of boxes that share budgets, this one included.
    pub fn budget_box_count(&self, now: Moment) -> usize {
        let is_small_fleet = self.halls.is_small_fleet();
        let counted = self
            .peers
            .values()
            .filter(|peer| !is_small_fleet || now.since(peer.last_seen_at()) < BUDGET_SHARE_TIME);
        counted.count() + 1
    }

    /// Returns the other boxes whose digests reach this one and show them to be alive.
    pub fn alive(&self, now: Moment) -> Vec<Ipv4Addr> {
        self.peers.iter().filter(|(_, peer)| peer.is_alive(now)).map(|(ip, _)| *ip).collect()
    }

    /// Returns the live holder of the order lease.
    pub fn order_holder(&self, now: Moment) -> Option<Ipv4Addr> {
        self.holder.live_holder(now)
    }
}
