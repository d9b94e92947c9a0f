//! Time as an interface, so that decisions can be replayed and tested without waiting.

use std::time::{Instant, SystemTime};

/// Tells the time to whatever would otherwise ask the machine for it.
pub trait Clock: Send + Sync {
    /// A time that never goes back, for durations and timeouts.
    fn now(&self) -> Instant;

    /// The time of day, for deadlines that operators set and for reports.
    fn wall(&self) -> SystemTime;
}

/// The machine's own clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
