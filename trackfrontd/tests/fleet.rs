//! Many boxes by one clock, each with its own book of the others: who reads for a hall, who gives orders, and what a
//! box sends and hears for it.

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

/// How often it is looked whether something has come.
const LOOK_EVERY_MS: u64 = 250;

/// Every how many boxes there is a strong one.
const STRONG_EVERY: u32 = 20;

/// What one box may send and hear a second for being one of many, in bytes.
const CONTROL_BYTES_PER_S: u64 = 10_000;

/// The same for a box that speaks for its hall.
const SPEAKER_BYTES_PER_S: u64 = 100_000;

/// What a datagram has beside the message, in bytes.
const HEADERS: u64 = 28;

fn at(ms: u64) -> Moment {
    Moment(Duration::from_millis(100_000 + ms))
}

fn ip(index: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0000 + index)
}

/// Which boxes are strong.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    AllAlike,
    SomeStrong,
}

fn listed(index: u32, kind: Kind) -> ListedBox {
    let is_strong = kind == Kind::SomeStrong && (index / HALLS).is_multiple_of(STRONG_EVERY);
    let strength = match is_strong {
        true => CapacityClass::new(1.0, 1_000.0, 1_024.0),
        false => CapacityClass::new(0.12, 20.0, 160.0),
    };
    ListedBox { ip: ip(index), hall: index % HALLS, capacity: strength }
}

struct Fleet {
    places: Vec<ListedBox>,
    books: Vec<PeerTracker>,
    rounds: Vec<u64>,
    due_ms: Vec<u64>,
    down: Vec<bool>,
    /// The box that holds the lease on orders.
    giver: Option<usize>,
    lost_percent: u32,
    /// Bytes that each box sent and heard.
    bytes: Vec<u64>,
    rng: ChaCha8Rng,
    now_ms: u64,
}

impl Fleet {
    fn new(boxes: u32, kind: Kind) -> Self {
        let places: Vec<ListedBox> = (0..boxes).map(|index| listed(index, kind)).collect();
        let book = |me: &ListedBox| {
            let mut book = PeerTracker::new(*me);
            places.iter().for_each(|other| book.add_listed(*other, at(0)));
            book
        };
        let count = boxes as usize;
        Self {
            books: places.iter().map(book).collect(),
            places,
            rounds: vec![0; count],
            due_ms: (0..u64::from(boxes)).map(|index| index % 400).collect(),
            down: vec![false; count],
            giver: None,
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
            self.places.iter().enumerate().map(|(index, place)| (place.ip, index)).collect();
        for index in 0..self.books.len() {
            if self.down[index] || self.due_ms[index] > self.now_ms {
                continue;
            }
            let (book, place) = (&mut self.books[index], self.places[index]);
            book.update_missing(now);
            let told = book.digest_targets(self.rounds[index], now);
            self.rounds[index] += 1;
            self.due_ms[index] = self.now_ms + book.digest_interval(told.len()).as_millis() as u64;
            let gives_orders = self.giver == Some(index);
            let giver = if gives_orders { None } else { book.holder_report(now) };
            let (zone, strength) = (place.hall, place.capacity);
            let digest = Digest {
                hall: zone,
                capacity: strength,
                holds_order_lease: gives_orders,
                holder: giver,
                ..Digest::default()
            };
            let message = Message::Digest(digest.clone());
            let config = bincode::config::standard();
            let length = bincode::serde::encode_to_vec(&message, config).expect("encodes").len();
            let length = length as u64 + HEADERS;
            for other in told {
                let other = index_of[&other];
                self.bytes[index] += length;
                let is_lost = self.rng.random_range(0..100) < self.lost_percent;
                if !self.down[other] && !is_lost {
                    self.bytes[other] += length;
                    self.books[other].record_digest(place.ip, &digest, now);
                }
            }
        }
    }

    fn up(&self) -> impl Iterator<Item = usize> {
        (0..self.books.len()).filter(|index| !self.down[*index])
    }

    fn reads(&self, index: usize) -> bool {
        self.books[index].hall_peers(false, at(self.now_ms)).is_reader()
    }

    /// The boxes that take themselves for the reader of their hall.
    fn readers(&self) -> Vec<usize> {
        self.up().filter(|index| self.reads(*index)).collect()
    }

    fn halls_with_reader(&self) -> usize {
        let halls = self.readers().into_iter().map(|index| self.places[index].hall);
        halls.collect::<BTreeSet<u32>>().len()
    }

    /// Runs until something holds; returns how long that took.
    fn until(&mut self, what: &str, holds: impl Fn(&Fleet) -> bool) -> u64 {
        let began = self.now_ms;
        while !holds(self) {
            assert!(self.now_ms - began < 20_000, "not in time: {what}");
            self.run(LOOK_EVERY_MS);
        }
        self.now_ms - began
    }
}

#[test]
fn each_hall_of_a_large_fleet_has_one_reader() {
    for (boxes, kind) in [
        (100, Kind::AllAlike),
        (300, Kind::AllAlike),
        (984, Kind::AllAlike),
        (984, Kind::SomeStrong),
    ] {
        let mut fleet = Fleet::new(boxes, kind);
        fleet.run(3_000);
        for _ in 0..6 {
            fleet.run(500);
            let readers = fleet.readers();
            assert_eq!(readers.len(), HALLS as usize, "{boxes} boxes at {}", fleet.now_ms);
            assert_eq!(fleet.halls_with_reader(), HALLS as usize);
            let strong = |index: &usize| (*index as u32 / HALLS).is_multiple_of(STRONG_EVERY);
            let are_strong = readers.iter().all(strong);
            assert!(are_strong || kind == Kind::AllAlike, "strong boxes read: {readers:?}");
        }
    }
}

#[test]
fn what_a_box_sends_and_hears_does_not_grow_with_the_fleet() {
    for boxes in [984, 1_968] {
        let mut fleet = Fleet::new(boxes, Kind::SomeStrong);
        fleet.giver = Some(0);
        fleet.run(2_000);
        fleet.bytes.fill(0);
        fleet.run(2_000);
        let per_s = |bytes: &u64| bytes / 2;
        let mut all: Vec<u64> = fleet.bytes.iter().map(per_s).collect();
        all.sort_unstable();
        let (middle, busiest) = (all[all.len() / 2], all[all.len() - 1]);
        println!("{boxes} boxes: {middle} and {busiest} bytes a second");
        assert!(middle < CONTROL_BYTES_PER_S, "{boxes} boxes: {middle} bytes a second");
        assert!(busiest < SPEAKER_BYTES_PER_S, "{boxes} boxes: {busiest} bytes a second");
    }
}

#[test]
fn a_hall_whose_first_boxes_are_lost_has_a_reader_soon() {
    let mut fleet = Fleet::new(984, Kind::SomeStrong);
    fleet.run(3_000);
    // Of each hall the reader and its successor, then three in five of all boxes.
    for _ in 0..2 {
        for reader in fleet.readers() {
            fleet.down[reader] = true;
        }
        let took = fleet
            .until("each hall has a reader", |fleet| fleet.halls_with_reader() == HALLS as usize);
        assert!(took <= 2_000, "a successor after {took} ms");
        fleet.run(3_000);
        assert_eq!(fleet.readers().len(), HALLS as usize, "one each");
    }
    for index in 0..984 {
        fleet.down[index] |= fleet.rng.random_range(0..5) < 3;
    }
    let took =
        fleet.until("each hall has a reader", |fleet| fleet.halls_with_reader() == HALLS as usize);
    assert!(took <= 6_000, "a reader after {took} ms");
    // All come back.
    fleet.down.fill(false);
    fleet.run(4_000);
    assert_eq!(fleet.readers().len(), HALLS as usize, "one each");
}

#[test]
fn all_boxes_know_who_gives_orders_and_when_it_is_lost() {
    for kind in [Kind::AllAlike, Kind::SomeStrong] {
        let mut fleet = Fleet::new(984, kind);
        fleet.run(2_000);
        fleet.giver = Some(fleet.readers()[0]);
        let giver = fleet.giver.expect("set");
        let giver_ip = fleet.places[giver].ip;
        let knows = |fleet: &Fleet, index: usize| {
            fleet.books[index].order_holder(at(fleet.now_ms)) == Some(giver_ip)
        };
        let all_know = |fleet: &Fleet| fleet.up().all(|one| one == giver || knows(fleet, one));
        let took = fleet.until("all know the giver", all_know);
        assert!(took <= 2_500, "known after {took} ms");
        for _ in 0..4 {
            fleet.run(500);
            let without = fleet.up().filter(|one| *one != giver && !knows(&fleet, *one)).count();
            assert!(without <= 10, "{without} boxes do not know who gives orders");
        }
        fleet.down[giver] = true;
        let nobody_knows = |fleet: &Fleet| fleet.up().all(|one| !knows(fleet, one));
        let took = fleet.until("all know that it is lost", nobody_knows);
        assert!(took <= 3_500, "known after {took} ms");
        // One after the other takes the lease, not all at once.
        let mut ranks: Vec<usize> =
            fleet.up().map(|one| fleet.books[one].lease_rank(at(fleet.now_ms))).collect();
        ranks.sort_unstable();
        assert!(ranks[0] == 0 && ranks[4] > 0, "{:?}", &ranks[..8]);
    }
}

/// Halls in which each box speaks to each, in a fleet too large for that: they hear of each other by their first boxes.
#[test]
fn halls_that_lose_their_first_boxes_still_hear_of_each_other() {
    let mut fleet = Fleet::new(300, Kind::AllAlike);
    fleet.run(2_000);
    let giver = HALLS as usize * 4 + 1;
    (0..3 * HALLS as usize).for_each(|first| fleet.down[first] = true);
    fleet.giver = Some(giver);
    let giver_ip = fleet.places[giver].ip;
    let took = fleet.until("all know the giver", |fleet| {
        let now = at(fleet.now_ms);
        fleet.up().all(|one| one == giver || fleet.books[one].order_holder(now) == Some(giver_ip))
    });
    assert!(took <= 5_000, "known after {took} ms");
}

/// Guards against boxes that spoke for their hall for a while and then take boxes of other halls for missing for good: they
/// would ask them nothing any more, neither turns nor limits nor the newest configuration.
#[test]
fn boxes_that_spoke_for_their_hall_for_a_while_know_afterwards_that_others_live() {
    for (boxes, kind) in [(300, Kind::AllAlike), (984, Kind::SomeStrong)] {
        let mut fleet = Fleet::new(boxes, kind);
        fleet.run(3_000);
        // The first boxes of each hall are gone for a while; the next ones speak in their place.
        let first = |fleet: &Fleet, one: usize| fleet.books[one].lease_rank(at(fleet.now_ms)) < 15;
        let gone: Vec<usize> = fleet.up().filter(|one| first(&fleet, *one)).collect();
        gone.iter().for_each(|one| fleet.down[*one] = true);
        fleet.run(5_000);
        fleet.down.fill(false);
        fleet.run(10_000);
        let now = at(fleet.now_ms);
        let misses = |one: &usize| fleet.books[*one].reachable(now).len() + 1 < boxes as usize;
        let who_miss: Vec<usize> = fleet.up().filter(misses).collect();
        assert!(who_miss.is_empty(), "{boxes} boxes: some are missing for {who_miss:?}");
    }
}

/// Guards against boxes of a hall that is gone as a whole which are taken for present again and again, and asked in vain.
#[test]
fn a_hall_that_is_gone_stays_missing_until_it_is_back() {
    let mut fleet = Fleet::new(300, Kind::AllAlike);
    fleet.run(3_000);
    let is_gone = |one: usize| (one as u32).is_multiple_of(HALLS);
    (0..300).filter(|one| is_gone(*one)).for_each(|one| fleet.down[one] = true);
    // Three boxes after the other are expected in vain, for 1.5 s each.
    fleet.run(60_000);
    let delegate = 1;
    for _ in 0..10 {
        fleet.run(1_000);
        let reachable = fleet.books[delegate].reachable(at(fleet.now_ms));
        let present: Vec<&Ipv4Addr> =
            reachable.iter().filter(|ip| is_gone((ip.to_bits() & 0xffff) as usize)).collect();
        assert!(present.is_empty(), "{present:?} are gone");
    }
    fleet.down.fill(false);
    fleet.run(5_000);
    let reachable = fleet.books[delegate].reachable(at(fleet.now_ms));
    assert_eq!(reachable.len(), 299, "all are back");
}

/// Guards against a word for all boxes that costs a small box, or the links between halls, as many datagrams as there
/// are boxes, and against boxes that nobody hands it on to.
#[test]
fn a_word_for_all_reaches_every_box_by_a_few_of_each_hall() {
    for (boxes, kind) in [(90, Kind::AllAlike), (300, Kind::AllAlike), (984, Kind::SomeStrong)] {
        let mut fleet = Fleet::new(boxes, kind);
        fleet.run(3_000);
        let now = at(fleet.now_ms);
        let index_of: HashMap<Ipv4Addr, usize> =
            fleet.places.iter().enumerate().map(|(index, place)| (place.ip, index)).collect();
        for teller in [0, 7, 13, boxes as usize / 2, boxes as usize - 1] {
            let all = fleet.books[teller].broadcast_targets(now);
            let handed =
                all.forwarders.iter().flat_map(|ip| fleet.books[index_of[ip]].forward_targets(now));
            let told: BTreeSet<Ipv4Addr> =
                all.direct.iter().chain(&all.forwarders).copied().chain(handed).collect();
            let missed = fleet.places.iter().filter(|place| !told.contains(&place.ip));
            let missed: Vec<Ipv4Addr> = missed.map(|place| place.ip).collect();
            let own = fleet.places[teller].ip;
            assert!(
                missed.iter().all(|ip| *ip == own),
                "{boxes} boxes, told by {teller}: {missed:?}"
            );
            let sent = all.direct.len() + all.forwarders.len();
            println!(
                "{boxes} boxes: {sent} datagrams by {teller}, {} between halls",
                all.forwarders.len()
            );
            assert!(sent <= 128, "{boxes} boxes: {sent} datagrams by {teller}");
        }
    }
}
