//! Measurement of an event rate over a recent window.

use std::time::{Duration, Instant};

/// Minimum length of the window over which events are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Counts events in consecutive windows and keeps the rate of the last complete one.
#[derive(Debug, Clone)]
pub struct Meter {
    /// The start of the current window.
    window_start: Instant,
    /// The number of events in the current window.
    count: u64,
    /// The rate of the last complete window, in events per second.
    last_rate: Option<f64>,
}

impl Meter {
    /// Creates a meter whose first window starts now.
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

    /// Returns the rate in events per second.
    pub fn per_second(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.window_start);
        match self.last_rate {
            Some(last) if elapsed < WINDOW => last,
            Some(_) | None if elapsed.is_zero() => 0.0,
            Some(_) | None => self.count as f64 / elapsed.as_secs_f64(),
        }
    }
}
