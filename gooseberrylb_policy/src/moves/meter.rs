//! Measures a rate of events over the last while.

use std::time::{Duration, Instant};

/// The window over which events are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Counts events in windows and remembers the last whole one.
#[derive(Debug, Clone)]
pub struct Meter {
    window_start: Instant,
    count: u64,
    last_rate: Option<f64>,
}

impl Meter {
    /// Starts counting.
    pub fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            count: 0,
            last_rate: None,
        }
    }

    /// Counts one event.
    pub fn count(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed >= WINDOW {
            self.last_rate = Some(self.count as f64 / elapsed.as_secs_f64());
            self.window_start = now;
            self.count = 0;
        }
        self.count += 1;
    }

    /// Events a second.
    pub fn per_second(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.window_start);
        match self.last_rate {
            Some(last) if elapsed < WINDOW => last,
            Some(_) | None if elapsed.is_zero() => 0.0,
            Some(_) | None => self.count as f64 / elapsed.as_secs_f64(),
        }
    }
}
