//! What a client account may use: a bucket that fills at a rate and holds a burst.

use std::time::{Duration, Instant};

/// The shortest time after which a refused request is told to come back, so that callers who find
/// a bucket empty do not all return within the same moment.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// An account's bucket.
#[derive(Debug, Clone)]
pub struct Bucket {
    /// The units that it gains a second.
    rate: f64,
    /// The most units that it holds.
    burst: f64,
    /// The units that it holds; below zero after a request larger than the burst.
    level: f64,
    /// When `level` was reckoned.
    at: Instant,
}

impl Bucket {
    /// Makes a full bucket.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            at: now,
        }
    }

    /// Changes the rate and the burst; what is over a smaller burst is lost.
    pub fn change(&mut self, rate: f64, burst: f64, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// How long until there is room for `units`, unless there is room now. What is larger than the
    /// burst fits into a full bucket.
    pub fn lacks(&mut self, units: f64, now: Instant) -> Option<Duration> {
        self.fill(now);
        let missing = units.min(self.burst) - self.level;
        if missing <= 0.0 {
            return None;
        }
        let wait = Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX);
        Some(wait.max(MIN_PAUSE))
    }

    /// Takes `units` out.
    pub fn take(&mut self, units: f64, now: Instant) {
        self.fill(now);
        self.level -= units;
    }

    /// Puts back what was taken for a request that did not run.
    pub fn give_back(&mut self, units: f64) {
        self.level = (self.level + units).min(self.burst);
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.at = self.at.max(now);
    }
}
