//! Recent history of how many requests an upstream ran at once.

use std::collections::VecDeque;
use std::time::Instant;

/// Changes that are kept: starts and ends of 256 requests, several times the number that run at
/// once on an engine of 64 slots.
const MAX_CHANGES: usize = 512;

/// Number of requests at one upstream over time.
#[derive(Debug, Clone, Default)]
pub struct Occupancy {
    changes: VecDeque<(Instant, u32)>,
}

impl Occupancy {
    /// Records that `running` requests run from now on.
    pub fn record(&mut self, running: u32, now: Instant) {
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((now, running));
    }

    /// Returns the most requests that ran at once in a span of time that begins with a change, or
    /// `None` if the history does not reach back that far.
    ///
    /// A request that was granted together with others may reach the upstream after them, so the
    /// number at the time of its grant says less about its wait.
    pub fn peak(&self, from: Instant, to: Instant) -> Option<u32> {
        self.changes.front().filter(|(at, _)| *at <= from)?;
        let since = self.changes.iter().rev().take_while(|(at, _)| *at >= from);
        let in_span = since.filter(|(at, _)| *at <= to);
        in_span.map(|(_, running)| *running).max()
    }
}
