//! A bounded estimate of the prompt prefixes in an engine's cache.
//!
//! Cache events from the engine arrive late and with gaps, so the estimate is also updated by the
//! prompts sent to the engine and by the number of tokens it then reports as cached. A wrong block
//! causes one badly placed request and is then corrected.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

use super::CacheChange;

/// Maximum number of blocks tracked per engine.
const MAX_BLOCKS: usize = 4096;

/// A hasher that returns the block's fingerprint, which is already evenly distributed.
#[derive(Debug, Default)]
struct FingerprintHasher(u64);

impl Hasher for FingerprintHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, number: u64) {
        self.0 = number;
    }
}

/// The blocks that an engine is expected to have cached, in order of their last use.
#[derive(Debug, Default)]
pub struct Cache {
    /// The time of the last use of each block, on the logical clock.
    last_uses: HashMap<u64, u64, BuildHasherDefault<FingerprintHasher>>,
    /// All uses in order, as block and time; an entry that is not the block's last use is skipped.
    uses: VecDeque<(u64, u64)>,
    /// A logical clock that counts the uses.
    clock: u64,
}

impl Cache {
    /// Returns how many of the leading `blocks` the engine is expected to have cached.
    pub fn cached_blocks(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.last_uses.contains_key(block))
            .count()
    }

    /// Records that a prompt with these blocks was sent to the engine.
    pub fn record_prompt(&mut self, blocks: &[u64]) {
        // Engines evict the end of a prompt before its beginning, so the first block is used last.
        for block in blocks.iter().rev() {
            self.store(*block);
        }
    }

    /// Corrects the estimate by the number of leading `blocks` that the engine reported as cached.
    pub fn correct(&mut self, blocks: &[u64], expected_cached: usize, cached: usize) {
        if cached >= expected_cached {
            return;
        }
        // The engine has cached the blocks by now, but evidently evicts sooner than expected.
        let surplus = self.last_uses.len() / 8;
        for _ in 0..surplus {
            self.evict_oldest();
        }
        self.record_prompt(blocks);
    }

    /// Applies a cache event from the engine.
    pub fn apply(&mut self, change: CacheChange) {
        match change {
            CacheChange::Stored(block) => self.store(block),
            CacheChange::Evicted(block) => {
                self.last_uses.remove(&block);
            }
            CacheChange::Gap => self.clear(),
        }
    }

    /// Forgets all blocks.
    pub fn clear(&mut self) {
        self.last_uses.clear();
        self.uses.clear();
    }

    fn store(&mut self, block: u64) {
        self.clock += 1;
        self.last_uses.insert(block, self.clock);
        self.uses.push_back((block, self.clock));
        while self.last_uses.len() > MAX_BLOCKS || self.uses.len() > 2 * MAX_BLOCKS {
            self.evict_oldest();
        }
    }

    /// Removes the oldest use, and its block unless the block was used again since.
    fn evict_oldest(&mut self) {
        let Some((block, used_at)) = self.uses.pop_front() else {
            return;
        };
        if self.last_uses.get(&block) == Some(&used_at) {
            self.last_uses.remove(&block);
        }
    }
}
