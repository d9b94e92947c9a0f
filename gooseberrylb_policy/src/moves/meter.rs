//! Measures a rate of events over the last while.

use std::time::{Duration, Instant};

/// The window over which events are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Counts events in windows and remembers the last whole one.
#[derive(Debug, Clone)]
pub struct Meter {
    begun: Instant,
    count: u64,
    last: Option<f64>,
}

impl Meter {
    /// Starts counting.
    pub fn new(now: Instant) -> Self {
        Self {
            begun: now,
            count: 0,
            last: None,
        }
    }

    /// Counts one event.
    pub fn count(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.begun);
        if elapsed >= WINDOW {
            self.last = Some(self.count as f64 / elapsed.as_secs_f64());
            self.begun = now;
            self.count = 0;
        }
        self.count += 1;
    }

    /// Events a second.
    pub fn per_second(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.begun);
        match self.last {
            Some(last) if elapsed < WINDOW => last,
            Some(_) | None if elapsed.is_zero() => 0.0,
            Some(_) | None => self.count as f64 / elapsed.as_secs_f64(),
        }
    }
}
