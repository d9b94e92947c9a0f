//! Which requests an entry still takes during a planned stop.
//!
//! Callers keep the entry's address for a while after the entry has left the list of addresses, so
//! requests still arrive. One that cannot end before the process exits would be cut off half-way;
//! it is better refused at once, so that its caller goes on to another entry.

use std::time::{Duration, Instant};

use gooseberrylb_config::settings::timing::{ADMISSION_PERIOD, EXIT_RESERVE};

/// A planned stop in progress.
#[derive(Debug, Clone, Copy)]
pub struct Drain {
    /// Time at which the process was told to stop.
    since: Instant,
    /// Time at which the process exits, whatever still runs.
    end: Instant,
}

impl Drain {
    /// Returns the stop of a process that was told to stop at `since` and is killed after `grace`.
    pub fn new(since: Instant, grace: Duration) -> Self {
        Self {
            since,
            end: since + grace.saturating_sub(EXIT_RESERVE),
        }
    }

    /// Whether a request that arrives now and takes at most `limit` is still taken.
    pub fn admits(&self, now: Instant, limit: Duration) -> bool {
        now < self.since + ADMISSION_PERIOD || now + limit <= self.end
    }

    /// Returns the time for which the stop has been in progress.
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Whether the process has to exit now, also if requests are still open.
    pub fn is_over(&self, now: Instant) -> bool {
        now >= self.end
    }
}
