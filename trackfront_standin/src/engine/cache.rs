//! An engine's prefix cache: limited, the block used least lately goes first.

use std::collections::{HashMap, VecDeque};

use trackfront_core::ports::CacheEvent;

/// How many events are kept for readers; older ones are lost, which leaves a gap.
const KEPT_EVENTS: usize = 1_024;

/// The cached blocks of an engine.
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    blocks: HashMap<u64, u64>,
    by_age: VecDeque<(u64, u64)>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    /// Makes a cache of so many blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            blocks: HashMap::new(),
            by_age: VecDeque::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Reads a prompt with these blocks and returns how many from its start were cached.
    pub fn read(&mut self, blocks: &[u64]) -> usize {
        let cached = blocks.iter().take_while(|block| self.blocks.contains_key(block)).count();
        for block in blocks {
            self.touch(*block);
        }
        while self.blocks.len() > self.capacity {
            self.evict_oldest();
        }
        cached
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if self.blocks.insert(block, self.clock).is_none() {
            self.publish(block, true);
        }
        self.by_age.push_back((block, self.clock));
    }

    fn evict_oldest(&mut self) {
        while let Some((block, at)) = self.by_age.pop_front() {
            // A block that was used again stands further back, too.
            if self.blocks.get(&block) == Some(&at) {
                self.blocks.remove(&block);
                self.publish(block, false);
                return;
            }
        }
    }

    fn publish(&mut self, block: u64, cached: bool) {
        self.sequence += 1;
        self.events.push_back(CacheEvent { sequence: self.sequence, block, cached });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after `sequence` that are still kept.
    pub fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        self.events.iter().filter(|event| event.sequence > sequence).cloned().collect()
    }
}
