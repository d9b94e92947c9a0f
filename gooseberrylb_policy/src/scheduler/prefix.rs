//! A bounded estimate of which prompt prefixes an engine has cached.
//!
//! The engine's own events come late and with gaps, so the estimate also learns from what was sent
//! to the engine and from how many tokens it then reported as cached. A wrong block costs one badly
//! placed request and is then corrected.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

use super::CacheChange;

/// The most blocks remembered for one engine.
const MAX_BLOCKS: usize = 4096;

/// Hashes a block by its fingerprint, which is spread evenly already.
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

/// Which blocks an engine is believed to hold, in the order of their last use.
#[derive(Debug, Default)]
pub struct Cache {
    /// The last use of each block.
    last_uses: HashMap<u64, u64, BuildHasherDefault<FingerprintHasher>>,
    /// The uses in order; one that is not a block's last use is skipped.
    uses: VecDeque<(u64, u64)>,
    /// The number of uses so far.
    clock: u64,
}

impl Cache {
    /// How many of the leading `blocks` the engine is believed to hold.
    pub fn cached_blocks(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.last_uses.contains_key(block))
            .count()
    }

    /// Notes that a request with these blocks was sent to the engine.
    pub fn record_prompt(&mut self, blocks: &[u64]) {
        // The end of a prompt is given up before its beginning, as engines do.
        for block in blocks.iter().rev() {
            self.store(*block);
        }
    }

    /// Corrects the estimate by the number of leading `blocks` that the engine had cached.
    pub fn correct(&mut self, blocks: &[u64], expected_cached: usize, cached: usize) {
        if cached >= expected_cached {
            return;
        }
        // The engine has them now, but evidently drops blocks sooner than was thought.
        let surplus = self.last_uses.len() / 8;
        for _ in 0..surplus {
            self.evict_oldest();
        }
        self.record_prompt(blocks);
    }

    /// Applies what the engine told of its cache.
    pub fn apply(&mut self, change: CacheChange) {
        match change {
            CacheChange::Stored(block) => self.store(block),
            CacheChange::Evicted(block) => {
                self.last_uses.remove(&block);
            }
            CacheChange::Gap => self.clear(),
        }
    }

    /// Forgets everything.
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

    /// Drops the oldest use, and the block with it unless the block was used again since.
    fn evict_oldest(&mut self) {
        let Some((block, used_at)) = self.uses.pop_front() else {
            return;
        };
        if self.last_uses.get(&block) == Some(&used_at) {
            self.last_uses.remove(&block);
        }
    }
}
