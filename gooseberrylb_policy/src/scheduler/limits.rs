//! Limits and timeouts of a scheduler.

use std::time::Duration;

/// The limits and timeouts of a scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Maximum number of tokens that the waiting requests are expected to cost.
    pub max_waiting_tokens: u64,
    /// Maximum number of requests attached to one key.
    pub max_attached: usize,
    /// Maximum number of stored keys; when it is reached no new key is granted, since none may be
    /// forgotten early.
    pub max_claims: usize,
    /// Maximum size of the stored responses in bytes; the oldest are dropped first, but their
    /// outcomes are kept.
    pub max_answer_bytes: usize,
    /// How long an ended key is kept.
    pub retention: Duration,
    /// How long backups may take to acknowledge a claim before its request is refused.
    pub copy_timeout: Duration,
    /// How long a new scheduler waits for all entries to report their running requests before it
    /// grants a key.
    pub recovery_timeout: Duration,
    /// How long a new scheduler waits for them before it grants any request, so that requests that
    /// come back early do not overtake a higher tier.
    pub recovery_grant_delay: Duration,
    /// Percentage of a fast upstream's slots that lower tiers leave free.
    pub headroom_percent: u32,
    /// How long lower tiers leave headroom after the last request of a higher tier.
    pub headroom_window: Duration,
    /// How long the request of a dead entry keeps its slot.
    pub orphan_grace: Duration,
    /// How long after its deadline the end of a dispatched request may still be reported.
    pub end_grace: Duration,
    /// Minimum time after which a refused caller is told to retry, before jitter.
    pub retry_min: Duration,
    /// Maximum time after which a refused caller is told to retry, before jitter.
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
