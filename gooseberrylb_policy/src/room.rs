//! Room of an upstream that fails if it has to turn too many requests away.
//!
//! Such an upstream gets fewer requests than it has slots, and after each that it turned away a pause,
//! so that all instances together stay below what it tolerates.

use std::time::{Duration, Instant};

/// Period in which a brittle upstream turns away no more than it tolerates.
const PERIOD: Duration = Duration::from_secs(1);

/// Part of the tolerance that is used. Requests in flight may be turned away during a pause.
const USED_PART: f64 = 0.5;

/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// Factor of the pauses of an instance that places requests alone, beside others that do.
const ALONE_FACTOR: f64 = 8.0;

/// Time without a rejection after which one more request is granted than before.
const GROWTH_PERIOD: Duration = Duration::from_secs(2);

/// Number of requests that a brittle upstream gets at once.
#[derive(Debug, Clone)]
pub struct Room {
    /// Number of requests that it can turn away in a second.
    pub tolerance: u32,
    /// Number of requests that it gets at once.
    pub slots: u32,
    /// Time from which on the number may grow.
    grows_at: Option<Instant>,
}

impl Room {
    /// Returns the room of an upstream with a number of slots. One is left free, since a new
    /// connection may take one.
    pub fn new(slots: u32, tolerance: u32) -> Self {
        Self {
            tolerance,
            slots: slots.saturating_sub(1).max(1).min(slots),
            grows_at: None,
        }
    }

    /// Returns the room of an upstream with a number of slots of which nothing else is known. If it has
    /// less room than slots, it turns away no more than it tolerates.
    pub fn with_unknown(slots: u32, tolerance: u32) -> Self {
        let room = Self::new(slots, tolerance);
        Self {
            slots: room.slots.min(tolerance.max(1)),
            ..room
        }
    }

    /// Records that the upstream turned a request away beside `running` others. Returns the pause
    /// until the next request. `part` is below 1 for an instance that places requests alone.
    pub fn record_full(&mut self, running: u32, part: f64, now: Instant) -> Duration {
        self.slots = self.slots.min(running.max(1));
        self.grows_at = Some(now + GROWTH_PERIOD);
        let tolerated = f64::from(self.tolerance.max(1)) * USED_PART;
        let factor = if part < 1.0 { ALONE_FACTOR } else { 1.0 };
        PERIOD.mul_f64(factor / tolerated).min(MAX_PAUSE)
    }

    /// Records that the upstream, which has `slots`, served a request.
    pub fn record_served(&mut self, slots: u32, now: Instant) {
        let limit = slots.saturating_sub(1).max(1);
        let grows_at = *self.grows_at.get_or_insert(now + GROWTH_PERIOD);
        if self.slots < limit && now >= grows_at {
            self.slots += 1;
            self.grows_at = Some(now + GROWTH_PERIOD);
        }
    }
}
