//! Which boxes are asked to carry connections, among up to 984 boxes by one clock.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use trackfront_core::serving::relays::{RelayCandidates, RelayFailure, RelaySelector};
use trackfront_core::units::Moment;

/// The interval at which a cut-off box that knows none that works asks some.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);

/// The time within which cut-off boxes must find one that works: a third of `contact-ms` of the smallest deployment.
const MAX_SEARCH_TIME: Duration = Duration::from_secs(1);

/// The connections that a box carries for the searches of one [`SEARCH_INTERVAL`].
const CAPACITY: usize = 400;

struct Fleet {
    boxes: Vec<Ipv4Addr>,
    hall_of: Vec<usize>,
    cut_off: BTreeSet<Ipv4Addr>,
    selectors: Vec<RelaySelector>,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(boxes: u32, halls: usize, is_cut_off: impl Fn(usize, usize) -> bool) -> Self {
        let all: Vec<Ipv4Addr> =
            (0..boxes).map(|index| Ipv4Addr::from_bits(0x0a00_0000 + index)).collect();
        let hall_of: Vec<usize> = (0..all.len()).map(|index| index % halls).collect();
        let cut = (0..all.len()).filter(|index| is_cut_off(*index, hall_of[*index]));
        let cut_off = cut.map(|index| all[index]).collect();
        let selectors = all.iter().map(|_| RelaySelector::default()).collect();
        Self { boxes: all, hall_of, cut_off, selectors, rng: ChaCha8Rng::seed_from_u64(7) }
    }

    fn candidates(&self, index: usize) -> RelayCandidates {
        let mut candidates = RelayCandidates::default();
        for (other, ip) in self.boxes.iter().enumerate() {
            if other == index {
                continue;
            }
            match self.hall_of[other] == self.hall_of[index] {
                true => candidates.own_hall.push(*ip),
                false => candidates.other_halls.push(*ip),
            }
        }
        candidates
    }

    /// Lets each cut-off box that knows none that works ask some. Returns how many know one, and how many were asked.
    fn round(&mut self, now: Moment) -> (usize, usize) {
        let (mut found, mut asked) = (0, 0);
        let mut carried = vec![0; self.boxes.len()];
        for index in 0..self.boxes.len() {
            if !self.cut_off.contains(&self.boxes[index]) {
                continue;
            }
            if self.selectors[index].working(now).is_some() {
                found += 1;
                continue;
            }
            let candidates = self.candidates(index);
            for ip in self.selectors[index].select(&candidates, &mut self.rng, now) {
                asked += 1;
                let other = self.boxes.iter().position(|one| *one == ip).expect("it exists");
                if self.cut_off.contains(&ip) {
                    let working = self.selectors[other].working(now);
                    self.selectors[index].record_failure(ip, RelayFailure::Unusable, now);
                    working
                        .into_iter()
                        .for_each(|ip| self.selectors[index].record_referral(ip, now));
                } else if carried[other] >= CAPACITY {
                    self.selectors[index].record_failure(ip, RelayFailure::Busy, now);
                } else {
                    carried[other] += 1;
                    found += 1;
                    self.selectors[index].record_working(ip, now);
                    break;
                }
            }
        }
        (found, asked)
    }

    /// Runs rounds until nearly all cut-off boxes know one that works. Returns the time that took.
    fn search_time(&mut self) -> Duration {
        let start = Moment::default() + Duration::from_secs(60);
        let mut time = Duration::ZERO;
        loop {
            let (found, _) = self.round(start + time);
            if found * 50 >= self.cut_off.len() * 49 {
                return time;
            }
            time += SEARCH_INTERVAL;
            assert!(time < Duration::from_secs(60), "{found} of {}", self.cut_off.len());
        }
    }
}

/// Guards against cut-off boxes that ask each other in turn while few others reach the servers: half of a hall, a hall,
/// four of five halls.
#[test]
fn cut_off_boxes_find_others_at_every_size() {
    for boxes in [6, 60, 295, 984] {
        let cuts: [fn(usize, usize) -> bool; 3] =
            [|index, _| index % 2 == 0, |_, hall| hall == 0, |_, hall| hall > 0];
        for is_cut_off in cuts {
            let mut fleet = Fleet::new(boxes, 3, is_cut_off);
            let time = fleet.search_time();
            assert!(time <= MAX_SEARCH_TIME, "{boxes} boxes: {time:?}");
        }
    }
}

/// Guards against boxes that do not find the only one that reaches the servers, or that overload it.
#[test]
fn cut_off_boxes_find_the_only_one_that_reaches_the_servers() {
    for boxes in [6, 60, 295, 984] {
        let mut fleet = Fleet::new(boxes, 5, |index, _| index != 3);
        let time = fleet.search_time();
        println!("{boxes} boxes, one reaches the servers: {time:?}");
        assert!(time <= MAX_SEARCH_TIME, "{boxes} boxes: {time:?}");
    }
}

/// Guards against rounds of boxes that ask each other when no box reaches a server.
#[test]
fn boxes_ask_few_others_if_all_are_cut_off() {
    let mut fleet = Fleet::new(984, 5, |_, _| true);
    let start = Moment::default() + Duration::from_secs(60);
    for round in 0..5 {
        let (found, asked) = fleet.round(start + SEARCH_INTERVAL * round);
        assert_eq!(found, 0);
        assert!(asked <= 4 * 984, "{asked}");
    }
}

/// Guards against boxes that give up the only other one that reaches the servers because it was slow once.
#[test]
fn box_that_works_is_asked_although_it_was_slow() {
    let mut fleet = Fleet::new(6, 2, |index, _| index != 3);
    let (now, only) = (Moment::default() + Duration::from_secs(60), fleet.boxes[3]);
    let candidates = fleet.candidates(0);
    let selector = &mut fleet.selectors[0];
    selector.record_working(only, now);
    for ip in fleet.boxes.iter().filter(|ip| **ip != only) {
        selector.record_failure(*ip, RelayFailure::Unusable, now);
    }
    for _ in 0..3 {
        selector.record_failure(only, RelayFailure::Silent, now);
        assert_eq!(selector.select(&candidates, &mut fleet.rng, now), [only]);
    }
    // A box that has not carried anything and does not answer is probably gone.
    selector.record_failure(fleet.boxes[4], RelayFailure::Silent, now);
    assert_eq!(selector.select(&candidates, &mut fleet.rng, now), [only]);
}

/// Guards against bytes between halls where the own hall has boxes that work.
#[test]
fn boxes_of_the_own_hall_come_first() {
    let mut fleet = Fleet::new(60, 3, |index, _| index == 0);
    let now = Moment::default() + Duration::from_secs(60);
    for _ in 0..50 {
        let candidates = fleet.candidates(0);
        let first = fleet.selectors[0].select(&candidates, &mut fleet.rng, now)[0];
        assert!(candidates.own_hall.contains(&first));
        fleet.selectors[0].record_working(first, now);
    }
}
