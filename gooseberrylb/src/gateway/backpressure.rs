//! Responses to callers that read slowly: they wait, but for a bounded time and with a bounded number
//! of bytes. See `docs/design/slow-readers.md`.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use async_std::future;

use super::http::Connection;
use crate::metrics::METRICS;

/// Time without any progress after which a caller counts as stalled.
const STALL_LIMIT: Duration = Duration::from_secs(4);

/// The same while more bytes are held than [`MAX_HELD_BYTES`].
const PRESSED_STALL_LIMIT: Duration = Duration::from_millis(250);

/// Number of bytes of responses that may wait for all callers together before those that do not read
/// are cut off sooner.
const MAX_HELD_BYTES: usize = 32 * 1024 * 1024;

/// Lowest rate in bytes per second at which a caller must read. It keeps one that reads a byte now and then
/// from holding its upstream for ever.
const MIN_READ_RATE: f64 = 4.0 * 1024.0;

/// Time of a write from which on the caller may be the reason that the upstream gives its response up.
pub const SLOW_WRITE: Duration = Duration::from_millis(500);

/// Bytes of responses that wait for callers.
#[derive(Debug, Default)]
pub struct Held(Cell<usize>);

/// Bytes that are held until the value is dropped.
struct Hold<'a> {
    held: &'a Held,
    count: usize,
}

impl Held {
    fn hold(&self, count: usize) -> Hold<'_> {
        self.0.set(self.0.get() + count);
        METRICS.held_bytes.set(self.0.get() as i64);
        Hold { held: self, count }
    }

    /// Returns the time without progress that a caller has now.
    fn stall_limit(&self) -> Duration {
        match self.0.get() > MAX_HELD_BYTES {
            true => PRESSED_STALL_LIMIT,
            false => STALL_LIMIT,
        }
    }

    /// Writes to a caller that may be slow, and fails if it does not read.
    pub async fn write(&self, caller: &Connection, bytes: &[u8]) -> io::Result<()> {
        let _hold = self.hold(bytes.len());
        let longest = STALL_LIMIT + Duration::from_secs_f64(bytes.len() as f64 / MIN_READ_RATE);
        let written = future::timeout(longest, self.write_parts(caller, bytes)).await;
        let written = written.unwrap_or(Err(io::ErrorKind::TimedOut.into()));
        if let Err(error) = &written
            && error.kind() == io::ErrorKind::TimedOut
        {
            METRICS.stalled_callers.inc();
            log::info!(bytes = bytes.len(), held = self.0.get(); "cutting off a caller that does not read its response");
        }
        written
    }

    async fn write_parts(&self, caller: &Connection, bytes: &[u8]) -> io::Result<()> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let writing = future::timeout(self.stall_limit(), caller.write_some(rest));
            let count = writing
                .await
                .unwrap_or(Err(io::ErrorKind::TimedOut.into()))?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            rest = &rest[count..];
        }
        Ok(())
    }
}

impl Drop for Hold<'_> {
    fn drop(&mut self) {
        let held = &self.held.0;
        held.set(held.get() - self.count);
        METRICS.held_bytes.set(held.get() as i64);
    }
}

#[cfg(test)]
mod tests;
