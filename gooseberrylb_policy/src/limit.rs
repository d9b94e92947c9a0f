//! Rate of the requests to an upstream that takes only so many a second from all instances.

use std::time::{Duration, Instant};

use gooseberrylb_config::number::Rate;

/// Time for whose requests an unused rate is kept.
const BURST: Duration = Duration::from_millis(500);

/// Lowest rate at which a limited upstream gets requests, in requests per second. An upstream that
/// takes none gets one now and then, since only its responses tell when it takes more.
const MIN_RATE: f64 = 0.1;

/// Token bucket of one upstream. It starts empty, since the upstream has just had requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Bucket {
    /// Requests per second.
    rate: f64,
    /// Number of requests that may be sent at once, as of `at`. Negative after requests that were
    /// sent without asking.
    tokens: f64,
    /// Number of requests that an unused rate is kept for; that of [`BURST`] and one request if not set.
    capacity: Option<f64>,
    at: Instant,
}

impl Bucket {
    /// Returns the empty bucket of an instance that may use `part` of a rate.
    pub fn new(rate: Rate, part: f64, now: Instant) -> Self {
        Self {
            rate: usable_rate(rate, part),
            tokens: 0.0,
            capacity: None,
            at: now,
        }
    }

    /// Returns the empty bucket of an instance that may use `part` of a rate, which keeps an unused
    /// rate for `capacity` requests.
    pub fn with_capacity(per_second: f64, part: f64, capacity: f64, now: Instant) -> Self {
        Self {
            rate: per_second.max(MIN_RATE) * part,
            tokens: 0.0,
            capacity: Some(capacity),
            at: now,
        }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, rate: Rate, part: f64, now: Instant) {
        self.tokens = self.level(now);
        self.at = now;
        self.rate = usable_rate(rate, part);
    }

    /// Returns the rate, in requests per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the number of requests that may be sent now.
    pub fn available(&self, now: Instant) -> u32 {
        self.level(now).max(0.0) as u32
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Instant) {
        self.tokens = self.level(now) - 1.0;
        self.at = now;
    }

    /// Returns the time at which a request may be sent; `None` if there is none.
    pub fn opens_at(&self, now: Instant) -> Option<Instant> {
        let missing = (1.0 - self.level(now)).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / self.rate).ok()?;
        now.checked_add(wait)
    }

    fn level(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let burst = || 1.0 + self.rate * BURST.as_secs_f64();
        let limit = self.capacity.unwrap_or_else(burst);
        (self.tokens + self.rate * passed).min(limit)
    }
}

/// Returns the rate that an instance may use, in requests per second.
fn usable_rate(rate: Rate, part: f64) -> f64 {
    rate.per_second().max(MIN_RATE) * part
}
