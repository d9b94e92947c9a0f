//! Clock interface, so that time-dependent decisions can be replayed and tested without waiting.

use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, clock_gettime};

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, for durations and timeouts.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, for deadlines that operators set and for reports.
    fn wall(&self) -> SystemTime;
}

/// The clock of the machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct System;

/// Readings of the monotonic clock and the boot-time clock, taken at the same moment.
static ORIGIN: LazyLock<(Instant, Duration)> = LazyLock::new(|| (Instant::now(), boot_time()));

/// Returns the time since the machine booted, including time spent suspended.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

impl Clock for System {
    /// Includes time that the machine was suspended, unlike [`Instant::now`]: a process that was
    /// suspended past the end of its lease must see the lease as expired.
    fn now(&self) -> Instant {
        let (start, booted) = *ORIGIN;
        start + boot_time().saturating_sub(booted)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
