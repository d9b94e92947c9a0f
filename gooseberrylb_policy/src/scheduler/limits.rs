//! The bounds and times that a scheduler works by.

use std::time::Duration;

/// The bounds and times that a scheduler works by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The most requests that wait, those attached to another one's key included.
    pub max_waiting: usize,
    /// The most tokens that the waiting requests are expected to take.
    pub max_waiting_tokens: u64,
    /// The most requests attached to one key.
    pub max_attached: usize,
    /// The most keys remembered; beyond it no new key is granted, since none may be forgotten.
    pub max_claims: usize,
    /// The most bytes of stored answers; the oldest are dropped first, their outcomes are not.
    pub max_answer_bytes: usize,
    /// How long an ended key is remembered.
    pub retention: Duration,
    /// How long backups may take to hold a claim before its request is refused.
    pub copy_timeout: Duration,
    /// How long a new scheduler waits for all entries to tell what they run before it grants a
    /// key.
    pub recovery_timeout: Duration,
    /// How long it waits for them before it grants anything, so that what has come back first does
    /// not overtake a higher tier.
    pub recovery_grant_delay: Duration,
    /// The part of a fast upstream's slots, in percent, that lower tiers leave free.
    pub headroom_percent: u32,
    /// How long after the last higher-tier request lower tiers leave headroom.
    pub headroom_window: Duration,
    /// How long a dead entry's request keeps its slot.
    pub orphan_grace: Duration,
    /// How long after its deadline a dispatched request may still report its end.
    pub end_grace: Duration,
    /// The shortest time after which a refused caller is told to come back.
    pub retry_min: Duration,
    /// The longest time after which a refused caller is told to come back.
    pub retry_max: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_waiting: 10_000,
            max_waiting_tokens: 50_000_000,
            max_attached: 16,
            max_claims: 200_000,
            max_answer_bytes: 16 * 1024 * 1024,
            retention: Duration::from_secs(300),
            copy_timeout: Duration::from_secs(1),
            recovery_timeout: Duration::from_secs(1),
            recovery_grant_delay: Duration::from_millis(250),
            headroom_percent: 12,
            headroom_window: Duration::from_secs(30),
            orphan_grace: Duration::from_secs(10),
            end_grace: Duration::from_secs(30),
            retry_min: Duration::from_millis(200),
            retry_max: Duration::from_secs(30),
        }
    }
}
