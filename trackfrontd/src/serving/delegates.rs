//! Which boxes speak for their hall.
//!
//! In a small hall each box speaks to each. In a large one the few that can bear most do it for the others: these
//! tell them, and them alone, that they live, and hear from them of the rest. So what a box sends and hears does not
//! grow with boxes, but for delegates, which hear their own hall.
//!
//! Delegates are elected by nobody: all boxes walk the same list in the same order, and pass over those that should
//! have spoken and did not. Where two boxes differ for a while there are more delegates than needed, never fewer.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

/// How many boxes a hall may have for each of them to speak to each: 64 datagrams in 0.4 s are some 8 KB a second.
const SMALL_HALL: usize = 64;

/// How many boxes may be in all halls together for each to speak to each, to those of other halls less often: so many
/// in three halls are some 64 datagrams a round.
const SMALL_FLEET: usize = 128;

/// How many boxes speak for a large hall: one reads for it, and two are ready to.
const DELEGATES: usize = 3;

/// What is lent to a box of strength 1: a tenth of a core, 10 megabits a second, 100 MB.
const UNIT_CORES: f64 = 0.1;
const UNIT_LINK_MBPS: f64 = 10.0;
const UNIT_MEMORY_MB: f64 = 100.0;

/// A box that goes first in what one box does for all.
const STRONG: CapacityClass = CapacityClass(2);

/// How much a box can bear, by the scarcest of what it has. Each step is twice the one before, so that boxes which
/// differ little keep the order of their addresses.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CapacityClass(u8);

impl CapacityClass {
    /// Judges a box by its share of a core, its link and its memory.
    pub fn new(cores: f64, link_mbps: f64, memory_mb: f64) -> Self {
        let parts = [cores / UNIT_CORES, link_mbps / UNIT_LINK_MBPS, memory_mb / UNIT_MEMORY_MB];
        let scarcest = parts.into_iter().fold(f64::INFINITY, f64::min).max(1.0);
        Self(scarcest.log2() as u8)
    }

    /// Returns how many times longer than a strong box one like this waits with what one box does for all.
    pub fn delay_factor(self) -> u32 {
        if self >= STRONG { 1 } else { 2 }
    }
}

/// A box as it is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// Its address.
    pub ip: Ipv4Addr,
    /// The short name of its hall.
    pub hall: u32,
    /// How much it can bear.
    pub capacity: CapacityClass,
}

impl ListedBox {
    /// The place in the order in which boxes do work for others.
    pub fn priority_key(&self) -> (Reverse<CapacityClass>, Ipv4Addr) {
        (Reverse(self.capacity), self.ip)
    }
}

/// The boxes of each hall in the order in which they speak for it.
#[derive(Clone, Debug, Default)]
pub struct Halls {
    halls: BTreeMap<u32, Vec<ListedBox>>,
    boxes: usize,
}

impl Halls {
    /// Puts a box in its place; `before` is the place that it had.
    pub fn insert(&mut self, one: ListedBox, before: Option<ListedBox>) {
        if before == Some(one) {
            return;
        }
        if let Some(before) = before {
            self.remove(before);
        }
        let boxes = self.halls.entry(one.hall).or_default();
        if let Err(place) = boxes.binary_search_by_key(&one.priority_key(), ListedBox::priority_key)
        {
            boxes.insert(place, one);
            self.boxes += 1;
        }
    }

    fn remove(&mut self, one: ListedBox) {
        let Some(boxes) = self.halls.get_mut(&one.hall) else {
            return;
        };
        if let Ok(place) = boxes.binary_search_by_key(&one.priority_key(), ListedBox::priority_key)
        {
            boxes.remove(place);
            self.boxes -= 1;
        }
        if boxes.is_empty() {
            self.halls.remove(&one.hall);
        }
    }

    /// Returns all boxes.
    pub fn all(&self) -> impl Iterator<Item = ListedBox> {
        self.halls.values().flatten().copied()
    }

    /// Returns the boxes of a hall, in order.
    pub fn boxes_in(&self, hall: u32) -> &[ListedBox] {
        self.halls.get(&hall).map_or(&[], Vec::as_slice)
    }

    /// Returns the halls.
    pub fn ids(&self) -> impl Iterator<Item = u32> {
        self.halls.keys().copied()
    }

    /// Returns whether each box of a hall speaks to each.
    pub fn is_small(&self, hall: u32) -> bool {
        self.boxes_in(hall).len() <= SMALL_HALL || self.is_small_fleet()
    }

    /// Returns whether each box speaks to each of all halls.
    pub fn is_small_fleet(&self) -> bool {
        self.boxes <= SMALL_FLEET
    }

    /// Returns the boxes that speak for a hall to its own: the first that are not `missing`.
    pub fn local_delegates(
        &self,
        hall: u32,
        missing: impl Fn(Ipv4Addr) -> bool,
    ) -> impl Iterator<Item = Ipv4Addr> {
        let count = if self.is_small(hall) { usize::MAX } else { DELEGATES };
        self.first(hall, count, missing)
    }

    /// Returns the boxes that speak for a hall to other halls.
    pub fn delegates(
        &self,
        hall: u32,
        missing: impl Fn(Ipv4Addr) -> bool,
    ) -> impl Iterator<Item = Ipv4Addr> {
        self.first(hall, DELEGATES, missing)
    }

    fn first(
        &self,
        hall: u32,
        count: usize,
        missing: impl Fn(Ipv4Addr) -> bool,
    ) -> impl Iterator<Item = Ipv4Addr> {
        let boxes = self.boxes_in(hall).iter().map(|one| one.ip);
        boxes.filter(move |ip| !missing(*ip)).take(count)
    }
}
