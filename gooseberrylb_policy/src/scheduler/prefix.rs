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
struct Fingerprint(u64);

impl Hasher for Fingerprint {
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
pub struct Prefix {
    /// The last use of each block.
    used: HashMap<u64, u64, BuildHasherDefault<Fingerprint>>,
    /// The uses in order; one that is not a block's last use is skipped.
    order: VecDeque<(u64, u64)>,
    /// The number of uses so far.
    clock: u64,
}

impl Prefix {
    /// How many of the leading `blocks` the engine is believed to hold.
    pub fn held(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count()
    }

    /// Notes that a request with these blocks was sent to the engine.
    pub fn sent(&mut self, blocks: &[u64]) {
        // The end of a prompt is given up before its beginning, as engines do.
        for block in blocks.iter().rev() {
            self.store(*block);
        }
    }

    /// Corrects the estimate by the number of leading `blocks` that the engine had cached.
    pub fn found(&mut self, blocks: &[u64], believed: usize, cached: usize) {
        if cached >= believed {
            return;
        }
        // The engine has them now, but evidently drops blocks sooner than was thought.
        let surplus = self.used.len() / 8;
        for _ in 0..surplus {
            self.evict_oldest();
        }
        self.sent(blocks);
    }

    /// Applies what the engine told of its cache.
    pub fn apply(&mut self, change: CacheChange) {
        match change {
            CacheChange::Stored(block) => self.store(block),
            CacheChange::Evicted(block) => {
                self.used.remove(&block);
            }
            CacheChange::Gap => self.clear(),
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.used.clear();
        self.order.clear();
    }

    fn store(&mut self, block: u64) {
        self.clock += 1;
        self.used.insert(block, self.clock);
        self.order.push_back((block, self.clock));
        while self.used.len() > MAX_BLOCKS || self.order.len() > 2 * MAX_BLOCKS {
            self.evict_oldest();
        }
    }

    /// Drops the oldest use, and the block with it unless the block was used again since.
    fn evict_oldest(&mut self) {
        let Some((block, use_)) = self.order.pop_front() else {
            return;
        };
        if self.used.get(&block) == Some(&use_) {
            self.used.remove(&block);
        }
    }
}
