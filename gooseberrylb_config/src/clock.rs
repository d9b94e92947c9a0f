//! Time as an interface, so that decisions can be replayed and tested without waiting.

use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, clock_gettime};

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

/// The steady clock and the boot-time clock, read at the same moment.
static ORIGIN: LazyLock<(Instant, Duration)> = LazyLock::new(|| (Instant::now(), boot_time()));

/// The time since the machine started, with the time that it was suspended.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

impl Clock for System {
    /// Counts the time that the machine was suspended, unlike [`Instant::now`]: a lease must have
    /// lapsed for whoever slept through it.
    fn now(&self) -> Instant {
        let (start, booted) = *ORIGIN;
        start + boot_time().saturating_sub(booted)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
