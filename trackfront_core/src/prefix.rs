//! The engines that have probably cached the start of a prompt.
//!
//! A prompt is split into blocks, each hashed together with all blocks before it, so two prompts
//! have the same hash of a block only if they are equal up to its end. The idea is that of the chained
//! block hashes in "Add Ollama integration: cross-process KV-cache reuse via the Mooncake Store"
//! (related reading of the project).

use std::collections::HashMap;

use parking_lot::Mutex;

use crate::ids::BackendId;
use crate::units::Moment;

/// The size of a block in bytes: 64 tokens of about 4 bytes.
pub const BLOCK_BYTES: usize = 256;

/// The maximum number of hashed blocks of a prompt. Different prompts differ long before.
const MAX_PROMPT_BLOCKS: usize = 64;

/// The maximum number of blocks in the index, which take about 48 bytes each and 3 MB in all.
const MAX_INDEXED_BLOCKS: usize = 65_536;

/// The number of shards of the index, each with its own lock.
const SHARDS: usize = 16;

/// Returns the chained hashes of the complete blocks of `prompt`.
pub fn block_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_PROMPT_BLOCKS)
        .map(|block| {
            hasher.update(block);
            let hash = hasher.finalize();
            u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a hash has 32 bytes"))
        })
        .collect()
}

#[derive(Clone, Debug)]
struct CachedBlock {
    /// The engine that received the block last.
    engine: BackendId,
    used_at: Moment,
}

/// The engine that received each block last, by this box's own routing and the engines' delayed
/// events.
pub struct PrefixIndex {
    shards: Vec<Mutex<HashMap<u64, CachedBlock>>>,
}

impl Default for PrefixIndex {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }
}

impl PrefixIndex {
    /// Returns the engine that received the longest start of the prompt last, and its number of
    /// blocks.
    pub fn longest_match(&self, blocks: &[u64]) -> Option<(BackendId, usize)> {
        blocks.iter().enumerate().rev().find_map(|(index, block)| {
            let engine = self.shard(*block).lock().get(block)?.engine.clone();
            Some((engine, index + 1))
        })
    }

    /// Records that a prompt with these blocks was sent to `engine`.
    pub fn record_send(&self, blocks: &[u64], engine: &BackendId, now: Moment) {
        for block in blocks {
            let mut shard = self.shard(*block).lock();
            shard.insert(*block, CachedBlock { engine: engine.clone(), used_at: now });
            if shard.len() > MAX_INDEXED_BLOCKS / SHARDS {
                evict_oldest_half(&mut shard);
            }
        }
    }

    /// Records that an engine evicted a block from its cache.
    pub fn record_eviction(&self, block: u64, engine: &BackendId) {
        let mut shard = self.shard(block).lock();
        if shard.get(&block).is_some_and(|known| known.engine == *engine) {
            shard.remove(&block);
        }
    }

    fn shard(&self, block: u64) -> &Mutex<HashMap<u64, CachedBlock>> {
        &self.shards[block as usize % SHARDS]
    }
}

/// Removes the least recently used half. Removing many at once amortizes the cost.
fn evict_oldest_half(shard: &mut HashMap<u64, CachedBlock>) {
    let mut used: Vec<Moment> = shard.values().map(|known| known.used_at).collect();
    let middle = used.len() / 2;
    let (_, median, _) = used.select_nth_unstable(middle);
    let median = *median;
    let mut surplus = middle;
    shard.retain(|_, known| {
        let is_evicted = known.used_at <= median && surplus > 0;
        surplus -= usize::from(is_evicted);
        !is_evicted
    });
}

#[cfg(test)]
mod tests;
