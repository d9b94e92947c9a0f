//! Text that an engine generates. It is derived from the request, so that a caller can check that
//! it got the complete response to its own request.

use crate::engine::cache::{fnv_extend, fnv_start};

/// Characters of the text, each of which encodes 5 bits.
const ALPHABET: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";

/// Size of one token's text with the trailing space, in bytes.
const TOKEN_LEN: u32 = 8;

/// Output text of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Text {
    seed: u64,
}

impl Text {
    /// Returns the output text for `prompt` in the request with id `request_id`.
    pub fn new(request_id: &str, prompt: &str) -> Self {
        let id = fnv_extend(fnv_start(), request_id.as_bytes());
        let separated = fnv_extend(id, &[0]);
        Self {
            seed: fnv_extend(separated, prompt.as_bytes()),
        }
    }

    /// Returns the text of token `n`, counted from 0.
    pub fn token(&self, n: u64) -> String {
        let mixed = mix(self.seed.wrapping_add(n));
        let mut text: String = (0..TOKEN_LEN - 1)
            .map(|i| ALPHABET[(mixed >> (5 * i)) as usize % ALPHABET.len()] as char)
            .collect();
        text.push(' ');
        text
    }

    /// Returns a pseudorandom number in [0, 1) that depends only on the request.
    pub fn unit_random(&self) -> f64 {
        (mix(self.seed) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns the text of the first `count` tokens.
    pub fn first_tokens(&self, count: u64) -> String {
        (0..count).map(|n| self.token(n)).collect()
    }
}

/// Returns `value` mixed by the finaliser of SplitMix64, so that adjacent seeds give unrelated
/// bits.
fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
