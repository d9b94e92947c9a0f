//! Rates learned from what requests took, forgetting older ones by and by.

use std::time::Duration;

/// Tokens a second, learned from observations.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Rate {
    /// The tokens of past observations, weighted by age.
    tokens: f64,
    /// The seconds that they took, weighted alike.
    seconds: f64,
}

impl Rate {
    /// Counts an observation and keeps `memory` of the weight of earlier ones.
    pub fn observe(&mut self, tokens: u64, time: Duration, decay: f64) {
        if tokens == 0 || time.is_zero() {
            return;
        }
        self.tokens = self.tokens * decay + tokens as f64;
        self.seconds = self.seconds * decay + time.as_secs_f64();
    }

    /// The tokens a second, once something was observed.
    pub fn per_second(&self) -> Option<f64> {
        (self.seconds > 0.0).then(|| self.tokens / self.seconds)
    }

    /// How many seconds `tokens` take; nothing is known before the first observation.
    pub fn seconds_for(&self, tokens: u64) -> Option<f64> {
        self.per_second().map(|rate| tokens as f64 / rate)
    }
}
