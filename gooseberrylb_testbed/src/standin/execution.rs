//! The log of what a stand-in ran, by which tests judge the system.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::engine::cache::{fnv_extend, fnv_start};

/// One request that a stand-in ran or began to run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Execution {
    /// The request's name.
    pub request_id: Option<String>,
    /// The idempotency key that came with it.
    pub key: Option<String>,
    /// The route that came with it.
    pub route: Option<String>,
    /// When it arrived, in milliseconds since 1970.
    pub started_at: u64,
    /// Whether it ran to its end.
    pub finished: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether it was made to fail.
    pub failed: bool,
    /// The tokens of its prompt.
    pub prompt_tokens: u64,
    /// The tokens of its prompt that were cached.
    pub cached_tokens: u64,
    /// The tokens written for it.
    pub output_tokens: u64,
    /// The [`digest`] of its prompt or body.
    pub body_digest: String,
}

/// The time of day in milliseconds since 1970.
pub fn unix_ms(now: SystemTime) -> u64 {
    now.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// The digest by which bodies are logged: their FNV-1a hash in hexadecimal digits.
pub fn digest(body: &[u8]) -> String {
    format!("{:016x}", fnv_extend(fnv_start(), body))
}
