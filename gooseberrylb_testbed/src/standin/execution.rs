//! Log of the requests that a stand-in ran, which tests compare with what callers were told.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::engine::cache::{fnv_extend, fnv_start};

/// Request that a stand-in ran, began to run or made to fail.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Execution {
    /// Id of the request.
    pub request_id: Option<String>,
    /// Idempotency key of the request.
    pub key: Option<String>,
    /// Route of the request.
    pub route: Option<String>,
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub started_at: u64,
    /// Whether the request completed.
    pub finished: bool,
    /// Whether the request was cancelled.
    pub cancelled: bool,
    /// Whether the request failed by a set fault.
    pub failed: bool,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Number of tokens generated.
    pub output_tokens: u64,
    /// [`digest`] of the prompt or body.
    pub body_digest: String,
}

/// Returns a wall-clock time in milliseconds since the Unix epoch, or 0 if it is earlier.
pub fn unix_ms(now: SystemTime) -> u64 {
    now.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Returns the digest of a body for the log: its FNV-1a hash in hexadecimal.
pub fn digest(body: &[u8]) -> String {
    format!("{:016x}", fnv_extend(fnv_start(), body))
}
