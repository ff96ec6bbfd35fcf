//! The network between halls, which can be cut, and the boxes on it.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use trackfront_core::ids::HallName;
use trackfrontd::shared::Shared;

/// The way within a hall, in one direction.
const SAME_HALL: Duration = Duration::from_micros(100);

/// The way between halls, in one direction.
const OTHER_HALL: Duration = Duration::from_micros(500);

/// The network of a deployment in memory.
#[derive(Default)]
pub struct MemoryNet {
    boxes: Mutex<HashMap<String, Arc<Shared>>>,
    cut_halls: Mutex<HashSet<HallName>>,
    /// How many of the next answers of peers are lost.
    lose_answers: Mutex<u32>,
    /// How many bytes boxes have sent to each other.
    sent_bytes: AtomicU64,
}

impl MemoryNet {
    /// Adds a box.
    pub fn add(&self, address: &str, shared: Arc<Shared>) {
        self.boxes.lock().insert(address.to_string(), shared);
    }

    /// Takes a box away.
    pub fn remove(&self, address: &str) {
        self.boxes.lock().remove(address);
    }

    /// Returns the box at `address`.
    pub fn find(&self, address: &str) -> Option<Arc<Shared>> {
        self.boxes.lock().get(address).cloned()
    }

    /// Cuts a hall off from all others and from the platform.
    pub fn cut(&self, hall: &HallName) {
        self.cut_halls.lock().insert(hall.clone());
    }

    /// Heals all cuts.
    pub fn heal(&self) {
        self.cut_halls.lock().clear();
    }

    /// Loses the next `count` answers of peers.
    pub fn lose_answers(&self, count: u32) {
        *self.lose_answers.lock() = count;
    }

    /// Counts bytes that a box sends to another.
    pub fn count_bytes(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns how many bytes boxes have sent to each other.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns whether this answer is lost.
    pub fn loses_answer(&self) -> bool {
        let mut left = self.lose_answers.lock();
        let lost = *left > 0;
        *left = left.saturating_sub(1);
        lost
    }

    /// Returns whether there is a way between two halls.
    pub fn reaches(&self, from: &HallName, to: &HallName) -> bool {
        let cut = self.cut_halls.lock();
        from == to || !(cut.contains(from) || cut.contains(to))
    }

    /// Returns whether there is a way from a hall to the platform.
    pub fn reaches_platform(&self, from: &HallName) -> bool {
        !self.cut_halls.lock().contains(from)
    }

    /// Waits for the way between two halls.
    pub async fn travel(&self, from: &HallName, to: &HallName) {
        tokio::time::sleep(if from == to { SAME_HALL } else { OTHER_HALL }).await;
    }
}
