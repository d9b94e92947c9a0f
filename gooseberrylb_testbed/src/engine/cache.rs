//! Prefix cache of an engine: an LRU cache of prompt blocks, and the fingerprints that identify
//! them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Size of the text that one cache block covers, in bytes.
pub const BLOCK_BYTES: usize = 256;

/// Number of tokens that one cache block covers.
pub const BLOCK_TOKENS: u64 = 64;

/// Size of the text that counts as one token, in bytes.
pub const TOKEN_BYTES: usize = BLOCK_BYTES / BLOCK_TOKENS as usize;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the FNV-1a hash `hash` extended by `bytes`. A new hash starts with [`fnv_start`].
pub fn fnv_extend(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Returns the FNV-1a hash of no bytes.
pub fn fnv_start() -> u64 {
    FNV_OFFSET
}

/// Returns the fingerprint of each prefix of `prompt` that consists of whole blocks, shortest
/// first: the 64-bit FNV-1a hash of its first 256, 512, … bytes.
pub fn fingerprints(prompt: &str) -> Arc<[u64]> {
    let mut hash = fnv_start();
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hash = fnv_extend(hash, block);
            hash
        })
        .collect()
}

/// Returns the number of tokens of `prompt`. An empty prompt has one, which starts the response.
pub fn count_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(TOKEN_BYTES).max(1) as u64
}

/// Change to the blocks in the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The block was added.
    Stored(u64),
    /// The block was removed.
    Evicted(u64),
}

/// LRU cache of blocks.
#[derive(Debug, Clone)]
pub struct Cache {
    capacity: usize,
    /// Number of accesses so far, used as a timestamp.
    clock: u64,
    /// Timestamp of the last access by block.
    last_used: HashMap<u64, u64>,
    /// Block by timestamp of the last access.
    by_last_use: BTreeMap<u64, u64>,
}

impl Cache {
    /// Returns an empty cache for at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_used: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Returns the number of leading blocks of `prefix` that are in the cache.
    pub fn hits(&self, prefix: &[u64]) -> usize {
        prefix
            .iter()
            .take_while(|block| self.last_used.contains_key(block))
            .count()
    }

    /// Adds the blocks of `prefix`, at most as many as the capacity, and evicts the least recently
    /// used ones beyond it. Returns the changes.
    pub fn store(&mut self, prefix: &[u64]) -> Vec<Change> {
        let mut changes = Vec::new();
        let stored = &prefix[..prefix.len().min(self.capacity)];
        // The shortest prefix is touched last, so that a chain of blocks is evicted from its end.
        for block in stored.iter().rev() {
            if self.touch(*block) {
                changes.push(Change::Stored(*block));
            }
        }
        while self.last_used.len() > self.capacity {
            let Some((_, block)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_used.remove(&block);
            changes.push(Change::Evicted(block));
        }
        changes
    }

    /// Returns the blocks in the cache, least recently used first.
    pub fn blocks(&self) -> impl Iterator<Item = u64> {
        self.by_last_use.values().copied()
    }

    /// Marks a block as just used. Returns whether it was added.
    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let previous = self.last_used.insert(block, self.clock);
        if let Some(timestamp) = previous {
            self.by_last_use.remove(&timestamp);
        }
        self.by_last_use.insert(self.clock, block);
        previous.is_none()
    }
}
