//! Counts of events that decay exponentially, so that late events count most.

use std::time::{Duration, Instant};

/// Count of events that loses all but 1/e of its value in `MILLIS` milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Count<const MILLIS: u64> {
    /// Value at the time of the last event.
    value: f64,
    /// Time of the last event.
    at: Option<Instant>,
}

impl<const MILLIS: u64> Count<MILLIS> {
    /// Time constant of the decay.
    const DECAY: Duration = Duration::from_millis(MILLIS);

    /// Returns the value now.
    pub fn value(&self, now: Instant) -> f64 {
        let passed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.value * (-passed.as_secs_f64() / Self::DECAY.as_secs_f64()).exp()
    }

    /// Counts an event.
    pub fn add(&mut self, now: Instant) {
        self.value = self.value(now) + 1.0;
        self.at = Some(now);
    }

    /// Returns the rate of events, in events per second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.value(now) / Self::DECAY.as_secs_f64()
    }
}
