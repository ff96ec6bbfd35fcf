//! Selects the delegates of each hall, which exchange digests on behalf of the others.
//!
//! In a small hall each box sends digests to every other one. In a large hall only a few boxes of
//! the highest capacity do; the others exchange digests with these delegates alone. So the traffic
//! of a box does not grow with the fleet, except at delegates, which receive the digests of their
//! own hall.
//!
//! There is no election: every box walks the same sorted list and skips boxes that should have sent
//! it digests but did not. While two boxes disagree there are more delegates than needed, never
//! fewer.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

/// The most boxes in a hall where each sends digests to every other one: 64 datagrams in 0.4 s are
/// some 8 KB/s.
const SMALL_HALL_BOXES: usize = 64;

/// The most boxes in a fleet where each sends digests to every other one, less often to those of
/// other halls: with three halls, some 64 datagrams a round.
const SMALL_FLEET_BOXES: usize = 128;

/// The number of delegates of a large hall: one follows the feeds, two are ready to succeed it.
const DELEGATES: usize = 3;

/// The cores of a box of capacity class 0.
const UNIT_CORES: f64 = 0.1;

/// The link of a box of capacity class 0, in megabits a second.
const UNIT_LINK_MBPS: f64 = 10.0;

/// The memory of a box of capacity class 0, in megabytes.
const UNIT_MEMORY_MB: f64 = 100.0;

/// The lowest class of the boxes that go first where one box does work for all.
const HIGH_CAPACITY: CapacityClass = CapacityClass(2);

/// The capacity of a box by its scarcest resource. Each class is twice the one below, so that boxes
/// that differ little stay in the order of their addresses.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CapacityClass(u8);

impl CapacityClass {
    /// Returns the class of a box with these cores, link and memory.
    pub fn new(cores: f64, link_mbps: f64, memory_mb: f64) -> Self {
        let ratios = [cores / UNIT_CORES, link_mbps / UNIT_LINK_MBPS, memory_mb / UNIT_MEMORY_MB];
        let scarcest = ratios.into_iter().fold(f64::INFINITY, f64::min).max(1.0);
        Self(scarcest.log2() as u8)
    }

    /// Returns the factor by which a box of this class delays work that one box does for all.
    pub fn delay_factor(self) -> u32 {
        if self >= HIGH_CAPACITY { 1 } else { 2 }
    }
}

/// A box in the list of boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// The address of the box.
    pub ip: Ipv4Addr,
    /// The short name of its hall.
    pub hall: u32,
    /// Its capacity.
    pub capacity: CapacityClass,
}

impl ListedBox {
    /// Returns the sort key for the order in which boxes do work for others.
    pub fn priority_key(&self) -> (Reverse<CapacityClass>, Ipv4Addr) {
        (Reverse(self.capacity), self.ip)
    }
}

/// The boxes of each hall, sorted by priority.
#[derive(Clone, Debug, Default)]
pub struct Halls {
    halls: BTreeMap<u32, Vec<ListedBox>>,
    boxes: usize,
}

impl Halls {
    /// Inserts a box in place of its `previous` entry.
    pub fn insert(&mut self, listed: ListedBox, previous: Option<ListedBox>) {
        if previous == Some(listed) {
            return;
        }
        if let Some(previous) = previous {
            self.remove(previous);
        }
        let boxes = self.halls.entry(listed.hall).or_default();
        let found = boxes.binary_search_by_key(&listed.priority_key(), ListedBox::priority_key);
        if let Err(index) = found {
            boxes.insert(index, listed);
            self.boxes += 1;
        }
    }

    fn remove(&mut self, listed: ListedBox) {
        let Some(boxes) = self.halls.get_mut(&listed.hall) else {
            return;
        };
        let found = boxes.binary_search_by_key(&listed.priority_key(), ListedBox::priority_key);
        if let Ok(index) = found {
            boxes.remove(index);
            self.boxes -= 1;
        }
        if boxes.is_empty() {
            self.halls.remove(&listed.hall);
        }
    }

    /// Returns the boxes of all halls.
    pub fn all(&self) -> impl Iterator<Item = ListedBox> {
        self.halls.values().flatten().copied()
    }

    /// Returns the boxes of a hall, sorted by priority.
    pub fn boxes_in(&self, hall: u32) -> &[ListedBox] {
        self.halls.get(&hall).map_or(&[], Vec::as_slice)
    }

    /// Returns the short names of the halls.
    pub fn ids(&self) -> impl Iterator<Item = u32> {
        self.halls.keys().copied()
    }

    /// Returns whether all boxes of a hall send digests to each other.
    pub fn is_small(&self, hall: u32) -> bool {
        self.boxes_in(hall).len() <= SMALL_HALL_BOXES || self.is_small_fleet()
    }

    /// Returns whether all boxes of all halls send digests to each other.
    pub fn is_small_fleet(&self) -> bool {
        self.boxes <= SMALL_FLEET_BOXES
    }

    /// Returns the boxes that send digests to all of their own hall: every present box of a small
    /// hall, the delegates of a large one.
    pub fn local_delegates(
        &self,
        hall: u32,
        is_missing: impl Fn(Ipv4Addr) -> bool,
    ) -> impl Iterator<Item = Ipv4Addr> {
        let count = if self.is_small(hall) { usize::MAX } else { DELEGATES };
        self.first_present(hall, count, is_missing)
    }

    /// Returns the boxes that exchange digests with other halls: the first ones that are not missing.
    pub fn delegates(
        &self,
        hall: u32,
        is_missing: impl Fn(Ipv4Addr) -> bool,
    ) -> impl Iterator<Item = Ipv4Addr> {
        self.first_present(hall, DELEGATES, is_missing)
    }

    fn first_present(
        &self,
        hall: u32,
        count: usize,
        is_missing: impl Fn(Ipv4Addr) -> bool,
    ) -> impl Iterator<Item = Ipv4Addr> {
        let boxes = self.boxes_in(hall).iter().map(|listed| listed.ip);
        boxes.filter(move |ip| !is_missing(*ip)).take(count)
    }
}
