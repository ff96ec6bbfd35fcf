//! A simulated fleet of boxes on one clock, each with its own [`PeerTracker`]: which box reads the
//! feeds for a hall, which holds the order lease, and how much traffic that takes.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::units::Moment;
use trackfrontd::serving::delegates::{CapacityClass, ListedBox};
use trackfrontd::serving::messages::{Digest, Message};
use trackfrontd::serving::peer_tracker::PeerTracker;

const HALLS: u32 = 5;
const STEP_MS: u64 = 50;

/// The interval at which [`Fleet::run_until`] checks its condition.
const CHECK_INTERVAL_MS: u64 = 250;

/// One box in this many of each hall has a high capacity.
const HIGH_CAPACITY_EVERY: u32 = 20;

/// The most bytes a second that a box may send and receive for digests.
const BOX_BYTES_PER_S: u64 = 10_000;

/// The most bytes a second that a delegate may send and receive for digests.
const DELEGATE_BYTES_PER_S: u64 = 100_000;

/// The size of the IP and UDP headers of a datagram in bytes.
const HEADER_BYTES: u64 = 28;

fn at(ms: u64) -> Moment {
    Moment(Duration::from_millis(100_000 + ms))
}

fn ip(index: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0000 + index)
}

/// The mix of capacities in a fleet.
#[derive(Clone, Copy, PartialEq)]
enum Capacities {
    Uniform,
    Mixed,
}

fn listed(index: u32, capacities: Capacities) -> ListedBox {
    let is_high =
        capacities == Capacities::Mixed && (index / HALLS).is_multiple_of(HIGH_CAPACITY_EVERY);
    let capacity = match is_high {
        true => CapacityClass::new(1.0, 1_000.0, 1_024.0),
        false => CapacityClass::new(0.12, 20.0, 160.0),
    };
    ListedBox { ip: ip(index), hall: index % HALLS, capacity }
}

struct Fleet {
    listings: Vec<ListedBox>,
    trackers: Vec<PeerTracker>,
    rounds: Vec<u64>,
    due_ms: Vec<u64>,
    down: Vec<bool>,
    /// The box that holds the order lease.
    holder: Option<usize>,
    lost_percent: u32,
    /// The bytes that each box sent and received.
    bytes: Vec<u64>,
    rng: ChaCha8Rng,
    now_ms: u64,
}

impl Fleet {
    fn new(boxes: u32, capacities: Capacities) -> Self {
        let listings: Vec<ListedBox> = (0..boxes).map(|index| listed(index, capacities)).collect();
        let tracker = |me: &ListedBox| {
            let mut tracker = PeerTracker::new(*me);
            listings.iter().for_each(|other| tracker.add_listed(*other, at(0)));
            tracker
        };
        let count = boxes as usize;
        Self {
            trackers: listings.iter().map(tracker).collect(),
            listings,
            rounds: vec![0; count],
            due_ms: (0..u64::from(boxes)).map(|index| index % 400).collect(),
            down: vec![false; count],
            holder: None,
            lost_percent: 2,
            bytes: vec![0; count],
            rng: ChaCha8Rng::seed_from_u64(7),
            now_ms: 0,
        }
    }

    fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.step();
            self.now_ms += STEP_MS;
        }
    }

    fn step(&mut self) {
        let now = at(self.now_ms);
        let index_of: HashMap<Ipv4Addr, usize> =
            self.listings.iter().enumerate().map(|(index, listing)| (listing.ip, index)).collect();
        for index in 0..self.trackers.len() {
            if self.down[index] || self.due_ms[index] > self.now_ms {
                continue;
            }
            let (tracker, listing) = (&mut self.trackers[index], self.listings[index]);
            tracker.update_missing(now);
            let targets = tracker.digest_targets(self.rounds[index], now);
            self.rounds[index] += 1;
            self.due_ms[index] =
                self.now_ms + tracker.digest_interval(targets.len()).as_millis() as u64;
            let holds_order_lease = self.holder == Some(index);
            let holder = if holds_order_lease { None } else { tracker.holder_report(now) };
            let ListedBox { hall, capacity, .. } = listing;
            let digest = Digest { hall, capacity, holds_order_lease, holder, ..Digest::default() };
            let message = Message::Digest(digest.clone());
            let config = bincode::config::standard();
            let length = bincode::serde::encode_to_vec(&message, config).expect("encodes").len();
            let length = length as u64 + HEADER_BYTES;
            for other in targets {
                let other = index_of[&other];
                self.bytes[index] += length;
                let is_lost = self.rng.random_range(0..100) < self.lost_percent;
                if !self.down[other] && !is_lost {
                    self.bytes[other] += length;
                    self.trackers[other].record_digest(listing.ip, &digest, now);
                }
            }
        }
    }

    fn up(&self) -> impl Iterator<Item = usize> {
        (0..self.trackers.len()).filter(|index| !self.down[*index])
    }

    fn is_reader(&self, index: usize) -> bool {
        self.trackers[index].hall_peers(false, at(self.now_ms)).is_reader()
    }

    /// Returns the boxes that regard themselves as the feed reader of their hall.
    fn readers(&self) -> Vec<usize> {
        self.up().filter(|index| self.is_reader(*index)).collect()
    }

    fn halls_with_reader(&self) -> usize {
        let halls = self.readers().into_iter().map(|index| self.listings[index].hall);
        halls.collect::<BTreeSet<u32>>().len()
    }

    /// Runs until a condition holds, and returns the simulated milliseconds that it took.
    fn run_until(&mut self, what: &str, holds: impl Fn(&Fleet) -> bool) -> u64 {
        let began = self.now_ms;
        while !holds(self) {
            assert!(self.now_ms - began < 20_000, "not in time: {what}");
            self.run(CHECK_INTERVAL_MS);
        }
        self.now_ms - began
    }
}

#[test]
fn large_fleet_has_one_reader_per_hall() {
    for (boxes, capacities) in [
        (100, Capacities::Uniform),
        (300, Capacities::Uniform),
        (984, Capacities::Uniform),
        (984, Capacities::Mixed),
    ] {
        let mut fleet = Fleet::new(boxes, capacities);
        fleet.run(3_000);
        for _ in 0..6 {
            fleet.run(500);
            let readers = fleet.readers();
            assert_eq!(readers.len(), HALLS as usize, "{boxes} boxes at {}", fleet.now_ms);
            assert_eq!(fleet.halls_with_reader(), HALLS as usize);
            let is_high =
                |index: &usize| (*index as u32 / HALLS).is_multiple_of(HIGH_CAPACITY_EVERY);
            let are_high = readers.iter().all(is_high);
            assert!(
                are_high || capacities == Capacities::Uniform,
                "high-capacity boxes read: {readers:?}"
            );
        }
    }
}

#[test]
fn digest_traffic_per_box_does_not_grow_with_fleet() {
    for boxes in [984, 1_968] {
        let mut fleet = Fleet::new(boxes, Capacities::Mixed);
        fleet.holder = Some(0);
        fleet.run(2_000);
        fleet.bytes.fill(0);
        fleet.run(2_000);
        let per_s = |bytes: &u64| bytes / 2;
        let mut all: Vec<u64> = fleet.bytes.iter().map(per_s).collect();
        all.sort_unstable();
        let (middle, busiest) = (all[all.len() / 2], all[all.len() - 1]);
        println!("{boxes} boxes: {middle} and {busiest} bytes a second");
        assert!(middle < BOX_BYTES_PER_S, "{boxes} boxes: {middle} bytes a second");
        assert!(busiest < DELEGATE_BYTES_PER_S, "{boxes} boxes: {busiest} bytes a second");
    }
}

#[test]
fn hall_that_loses_its_first_boxes_soon_has_a_reader() {
    let mut fleet = Fleet::new(984, Capacities::Mixed);
    fleet.run(3_000);
    // Take down the reader of each hall and then its successor, then three in five of all boxes.
    for _ in 0..2 {
        for reader in fleet.readers() {
            fleet.down[reader] = true;
        }
        let took = fleet.run_until("each hall has a reader", |fleet| {
            fleet.halls_with_reader() == HALLS as usize
        });
        assert!(took <= 2_000, "a successor after {took} ms");
        fleet.run(3_000);
        assert_eq!(fleet.readers().len(), HALLS as usize, "one each");
    }
    for index in 0..984 {
        fleet.down[index] |= fleet.rng.random_range(0..5) < 3;
    }
    let took = fleet
        .run_until("each hall has a reader", |fleet| fleet.halls_with_reader() == HALLS as usize);
    assert!(took <= 6_000, "a reader after {took} ms");
    // Bring all boxes back.
    fleet.down.fill(false);
    fleet.run(4_000);
    assert_eq!(fleet.readers().len(), HALLS as usize, "one each");
}

#[test]
fn all_boxes_learn_of_the_order_holder_and_of_its_loss() {
    for capacities in [Capacities::Uniform, Capacities::Mixed] {
        let mut fleet = Fleet::new(984, capacities);
        fleet.run(2_000);
        fleet.holder = Some(fleet.readers()[0]);
        let holder = fleet.holder.expect("set");
        let holder_ip = fleet.listings[holder].ip;
        let knows = |fleet: &Fleet, index: usize| {
            fleet.trackers[index].order_holder(at(fleet.now_ms)) == Some(holder_ip)
        };
        let all_know = |fleet: &Fleet| fleet.up().all(|one| one == holder || knows(fleet, one));
        let took = fleet.run_until("all know the holder", all_know);
        assert!(took <= 2_500, "known after {took} ms");
        for _ in 0..4 {
            fleet.run(500);
            let without = fleet.up().filter(|one| *one != holder && !knows(&fleet, *one)).count();
            assert!(without <= 10, "{without} boxes do not know the order holder");
        }
        fleet.down[holder] = true;
        let nobody_knows = |fleet: &Fleet| fleet.up().all(|one| !knows(fleet, one));
        let took = fleet.run_until("all know that it is lost", nobody_knows);
        assert!(took <= 3_500, "known after {took} ms");
        // The boxes try to take the lease one after the other, not all at once.
        let mut ranks: Vec<usize> =
            fleet.up().map(|one| fleet.trackers[one].lease_rank(at(fleet.now_ms))).collect();
        ranks.sort_unstable();
        assert!(ranks[0] == 0 && ranks[4] > 0, "{:?}", &ranks[..8]);
    }
}

/// Covers small halls in a large fleet: boxes exchange digests with all of their hall, but halls
/// exchange them through their delegates, which are lost here.
#[test]
fn halls_that_lose_their_delegates_still_exchange_digests() {
    let mut fleet = Fleet::new(300, Capacities::Uniform);
    fleet.run(2_000);
    let holder = HALLS as usize * 4 + 1;
    (0..3 * HALLS as usize).for_each(|first| fleet.down[first] = true);
    fleet.holder = Some(holder);
    let holder_ip = fleet.listings[holder].ip;
    let took = fleet.run_until("all know the holder", |fleet| {
        let now = at(fleet.now_ms);
        fleet
            .up()
            .all(|one| one == holder || fleet.trackers[one].order_holder(now) == Some(holder_ip))
    });
    assert!(took <= 5_000, "known after {took} ms");
}

/// Guards against former delegates that regard boxes of other halls as missing for good: they would
/// no longer send them requests for permits, limits or the newest configuration.
#[test]
fn former_delegates_regard_boxes_of_other_halls_as_reachable() {
    for (boxes, capacities) in [(300, Capacities::Uniform), (984, Capacities::Mixed)] {
        let mut fleet = Fleet::new(boxes, capacities);
        fleet.run(3_000);
        // The first boxes of each hall are down for a while, and the next ones become delegates.
        let first =
            |fleet: &Fleet, one: usize| fleet.trackers[one].lease_rank(at(fleet.now_ms)) < 15;
        let gone: Vec<usize> = fleet.up().filter(|one| first(&fleet, *one)).collect();
        gone.iter().for_each(|one| fleet.down[*one] = true);
        fleet.run(5_000);
        fleet.down.fill(false);
        fleet.run(10_000);
        let now = at(fleet.now_ms);
        let misses = |one: &usize| fleet.trackers[*one].reachable(now).len() + 1 < boxes as usize;
        let mistaken: Vec<usize> = fleet.up().filter(misses).collect();
        assert!(mistaken.is_empty(), "{boxes} boxes: some are missing for {mistaken:?}");
    }
}

/// Guards against regarding the boxes of a hall that is down as a whole as present again and again,
/// and sending them requests in vain.
#[test]
fn hall_that_is_down_stays_missing_until_it_returns() {
    let mut fleet = Fleet::new(300, Capacities::Uniform);
    fleet.run(3_000);
    let is_gone = |one: usize| (one as u32).is_multiple_of(HALLS);
    (0..300).filter(|one| is_gone(*one)).for_each(|one| fleet.down[one] = true);
    // Digests of the hall's boxes are expected in vain, of three boxes at a time for 1.5 s.
    fleet.run(60_000);
    let delegate = 1;
    for _ in 0..10 {
        fleet.run(1_000);
        let reachable = fleet.trackers[delegate].reachable(at(fleet.now_ms));
        let present: Vec<&Ipv4Addr> =
            reachable.iter().filter(|ip| is_gone((ip.to_bits() & 0xffff) as usize)).collect();
        assert!(present.is_empty(), "{present:?} are gone");
    }
    fleet.down.fill(false);
    fleet.run(5_000);
    let reachable = fleet.trackers[delegate].reachable(at(fleet.now_ms));
    assert_eq!(reachable.len(), 299, "all are back");
}

/// Guards against a broadcast that costs a small box, or the links between halls, one datagram for
/// each box, and against boxes that no delegate forwards it to.
#[test]
fn broadcast_reaches_every_box_through_a_few_of_each_hall() {
    for (boxes, capacities) in
        [(90, Capacities::Uniform), (300, Capacities::Uniform), (984, Capacities::Mixed)]
    {
        let mut fleet = Fleet::new(boxes, capacities);
        fleet.run(3_000);
        let now = at(fleet.now_ms);
        let index_of: HashMap<Ipv4Addr, usize> =
            fleet.listings.iter().enumerate().map(|(index, listing)| (listing.ip, index)).collect();
        for sender in [0, 7, 13, boxes as usize / 2, boxes as usize - 1] {
            let all = fleet.trackers[sender].broadcast_targets(now);
            let forwarded = all
                .forwarders
                .iter()
                .flat_map(|ip| fleet.trackers[index_of[ip]].forward_targets(now));
            let targets: BTreeSet<Ipv4Addr> =
                all.direct.iter().chain(&all.forwarders).copied().chain(forwarded).collect();
            let missed = fleet.listings.iter().filter(|listing| !targets.contains(&listing.ip));
            let missed: Vec<Ipv4Addr> = missed.map(|listing| listing.ip).collect();
            let own = fleet.listings[sender].ip;
            assert!(
                missed.iter().all(|ip| *ip == own),
                "{boxes} boxes, sent by {sender}: {missed:?}"
            );
            let sent = all.direct.len() + all.forwarders.len();
            println!(
                "{boxes} boxes: {sent} datagrams by {sender}, {} between halls",
                all.forwarders.len()
            );
            assert!(sent <= 128, "{boxes} boxes: {sent} datagrams by {sender}");
        }
    }
}
