//! Many boxes by one clock, each with its own book of the others: who reads for a hall, and who gives orders.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use trackfront_core::units::Moment;
use trackfrontd::serving::messages::Digest;
use trackfrontd::serving::peer_book::PeerBook;

const HALLS: u32 = 5;
const STEP_MS: u64 = 50;

fn at(ms: u64) -> Moment {
    Moment(Duration::from_millis(100_000 + ms))
}

fn ip(index: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0000 + index)
}

fn hall(index: u32) -> u32 {
    index % HALLS
}

struct Fleet {
    books: Vec<PeerBook>,
    rounds: Vec<u64>,
    due_ms: Vec<u64>,
    down: Vec<bool>,
    now_ms: u64,
}

impl Fleet {
    fn new(boxes: u32) -> Self {
        let book = |_| {
            let mut book = PeerBook::default();
            (0..boxes).for_each(|other| book.list(ip(other), Some(hall(other)), at(0)));
            book
        };
        let count = boxes as usize;
        let due_ms = (0..boxes as u64).map(|index| index % 100).collect();
        Self {
            books: (0..boxes).map(book).collect(),
            rounds: vec![0; count],
            due_ms,
            down: vec![false; count],
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
            (0..self.books.len()).map(|index| (ip(index as u32), index)).collect();
        for index in 0..self.books.len() {
            if self.down[index] || self.due_ms[index] > self.now_ms {
                continue;
            }
            let told = self.books[index].told(hall(index as u32), self.rounds[index], now);
            self.rounds[index] += 1;
            self.due_ms[index] = self.now_ms + (6 * told.len() as u64).max(100);
            let digest = Digest { zone: hall(index as u32), ..Digest::default() };
            for other in told {
                let other = index_of[&other];
                if other != index && !self.down[other] {
                    self.books[other].heard(ip(index as u32), &digest, now);
                }
            }
        }
    }

    fn readers(&self) -> usize {
        let now = at(self.now_ms);
        (0..self.books.len())
            .filter(|index| {
                let own = ip(*index as u32);
                let alive = self.books[*index].alive_in(hall(*index as u32), now);
                !alive.iter().any(|other| *other < own)
            })
            .count()
    }
}

#[test]
fn each_hall_of_a_large_fleet_has_one_reader() {
    for boxes in [100, 300, 984] {
        let mut fleet = Fleet::new(boxes);
        fleet.run(5_000);
        let mut most = 0;
        for _ in 0..100 {
            fleet.run(STEP_MS);
            most = most.max(fleet.readers());
        }
        println!("{boxes} boxes: {most} readers at most");
        assert_eq!(most, HALLS as usize, "{boxes} boxes");
    }
}
