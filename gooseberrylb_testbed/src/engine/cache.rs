//! The prefix cache of an engine: blocks of prompts, of which the least recently used go first.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The text that one block of the cache covers, in bytes.
pub const BLOCK_BYTES: usize = 256;

/// The tokens that one block of the cache covers.
pub const BLOCK_TOKENS: u64 = 64;

/// The text that counts as one token, in bytes.
pub const TOKEN_BYTES: usize = BLOCK_BYTES / BLOCK_TOKENS as usize;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Extends an FNV-1a hash, which starts as [`fnv_start`], by `bytes`.
pub fn fnv_extend(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// The FNV-1a hash of nothing.
pub fn fnv_start() -> u64 {
    FNV_OFFSET
}

/// Gives the fingerprint of each whole-block beginning of `prompt`, shortest first: the 64-bit
/// FNV-1a hash of its first 256, 512, … bytes.
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

/// Counts the tokens of `prompt`; even an empty one has one, which starts the answer.
pub fn count_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(TOKEN_BYTES).max(1) as u64
}

/// A change of the blocks held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The block is held from now on.
    Stored(u64),
    /// The block is held no longer.
    Evicted(u64),
}

/// The blocks that an engine holds.
#[derive(Debug, Clone)]
pub struct Cache {
    capacity: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl Cache {
    /// Makes an empty cache that holds at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Counts the leading blocks of `prefix` that are held.
    pub fn hits(&self, prefix: &[u64]) -> usize {
        prefix
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count()
    }

    /// Holds the blocks of `prefix`, as far as there is room, and tells what changed.
    pub fn store(&mut self, prefix: &[u64]) -> Vec<Change> {
        let mut changes = Vec::new();
        let kept = &prefix[..prefix.len().min(self.capacity)];
        // The shortest beginning is touched last, so that a chain is evicted from its far end.
        for block in kept.iter().rev() {
            if self.touch(*block) {
                changes.push(Change::Stored(*block));
            }
        }
        while self.used.len() > self.capacity {
            let Some((_, block)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&block);
            changes.push(Change::Evicted(block));
        }
        changes
    }

    /// Gives the blocks held, least recently used first.
    pub fn blocks(&self) -> impl Iterator<Item = u64> {
        self.order.values().copied()
    }

    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let before = self.used.insert(block, self.clock);
        if let Some(stamp) = before {
            self.order.remove(&stamp);
        }
        self.order.insert(self.clock, block);
        before.is_none()
    }
}
