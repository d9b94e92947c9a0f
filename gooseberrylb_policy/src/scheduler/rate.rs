//! Token rates learned from observed requests, with exponential decay of older observations.

use std::time::Duration;

/// A rate in tokens per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Rate {
    /// The tokens of past observations, weighted by age.
    tokens: f64,
    /// The seconds of past observations, weighted by age.
    seconds: f64,
}

impl Rate {
    /// Adds an observation, after multiplying the weight of earlier ones by `decay`.
    pub fn observe(&mut self, tokens: u64, time: Duration, decay: f64) {
        if tokens == 0 || time.is_zero() {
            return;
        }
        self.tokens = self.tokens * decay + tokens as f64;
        self.seconds = self.seconds * decay + time.as_secs_f64();
    }

    /// Returns the rate in tokens per second; `None` before the first observation.
    pub fn per_second(&self) -> Option<f64> {
        (self.seconds > 0.0).then(|| self.tokens / self.seconds)
    }

    /// Returns the seconds that `tokens` take; `None` before the first observation.
    pub fn seconds_for(&self, tokens: u64) -> Option<f64> {
        self.per_second().map(|rate| tokens as f64 / rate)
    }
}
