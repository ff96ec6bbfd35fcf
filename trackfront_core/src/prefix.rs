//! Which engine has likely cached the start of a prompt.
//!
//! A prompt is cut into blocks, each hashed together with all before it, so that two prompts
//! share a block's hash only if they share everything up to it. The idea is that of the chained
//! block hashes in "Add Ollama integration: cross-process KV-cache reuse via the Mooncake Store"
//! (related reading of the project).

use std::collections::HashMap;

use parking_lot::Mutex;

use crate::ids::BackendId;
use crate::units::Moment;

/// How many bytes of a prompt make a block: 64 tokens of about 4 bytes.
pub const BLOCK_BYTES: usize = 256;

/// How many blocks of a prompt are looked at. Longer prompts differ long before.
const MAX_BLOCKS: usize = 64;

/// How many blocks a box remembers; at about 48 bytes each this is 3 MB.
const MAX_REMEMBERED: usize = 65_536;

/// How many shards the memory has, each under its own lock.
const SHARDS: usize = 16;

/// Returns the chained hashes of the whole blocks of `prompt`.
pub fn block_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            hasher.update(block);
            let hash = hasher.finalize();
            u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a hash has 32 bytes"))
        })
        .collect()
}

#[derive(Clone, Debug)]
struct Remembered {
    /// The engine that had the block last.
    engine: BackendId,
    used: Moment,
}

/// Which engine had each block last, by this box's own routing and engines' late events.
pub struct PrefixMemory {
    shards: Vec<Mutex<HashMap<u64, Remembered>>>,
}

impl Default for PrefixMemory {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }
}

impl PrefixMemory {
    /// Returns the engine that had the longest start of the prompt last, and how many blocks of
    /// it.
    pub fn longest(&self, blocks: &[u64]) -> Option<(BackendId, usize)> {
        blocks.iter().enumerate().rev().find_map(|(index, block)| {
            let engine = self.shard(*block).lock().get(block)?.engine.clone();
            Some((engine, index + 1))
        })
    }

    /// Notes that a prompt with these blocks was sent to `engine`.
    pub fn sent(&self, blocks: &[u64], engine: &BackendId, now: Moment) {
        for block in blocks {
            let mut shard = self.shard(*block).lock();
            shard.insert(*block, Remembered { engine: engine.clone(), used: now });
            if shard.len() > MAX_REMEMBERED / SHARDS {
                forget_oldest_half(&mut shard);
            }
        }
    }

    /// Notes an engine's event that a block left its cache.
    pub fn evicted(&self, block: u64, engine: &BackendId) {
        let mut shard = self.shard(block).lock();
        if shard.get(&block).is_some_and(|known| known.engine == *engine) {
            shard.remove(&block);
        }
    }

    fn shard(&self, block: u64) -> &Mutex<HashMap<u64, Remembered>> {
        &self.shards[block as usize % SHARDS]
    }
}

/// Makes room: the half that was used least lately goes, so that the cost is spread.
fn forget_oldest_half(shard: &mut HashMap<u64, Remembered>) {
    let mut used: Vec<Moment> = shard.values().map(|known| known.used).collect();
    let middle = used.len() / 2;
    let (_, median, _) = used.select_nth_unstable(middle);
    let median = *median;
    let mut surplus = middle;
    shard.retain(|_, known| {
        let goes = known.used <= median && surplus > 0;
        surplus -= usize::from(goes);
        !goes
    });
}

#[cfg(test)]
mod tests;
