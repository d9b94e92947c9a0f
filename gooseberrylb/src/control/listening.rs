//! Since when a leader could hear from the other instances without a longer gap. Silence counts against an
//! instance only for that time: reports are neither taken nor answered while the leader's lease has
//! lapsed or its process does not run.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Longest gap that does not count: followers repeat a report that was not answered well within it.
const MAX_GAP: Duration = Duration::from_secs(1);

/// Period in which the leader could hear from others, up to the last observation.
#[derive(Debug, Default)]
pub struct Listening {
    /// Start and latest observation of the period.
    period: Cell<Option<(Instant, Instant)>>,
}

impl Listening {
    /// Records that this instance holds the leader's lease at `now`.
    pub fn observe(&self, now: Instant) {
        let continued = self.period.get().filter(|(_, last)| now <= *last + MAX_GAP);
        let since = continued.map_or(now, |(since, _)| since);
        self.period.set(Some((since, now)));
    }

    /// Returns the time from which on an instance has been silent while the leader listened.
    /// `last_contact` is the time of its last report, or of the election if it has made none.
    pub fn silent_since(&self, last_contact: Instant) -> Instant {
        let since = self.period.get().map(|(since, _)| since);
        since.map_or(last_contact, |since| since.max(last_contact))
    }

    /// Forgets the period, at the begin and the end of a leadership.
    pub fn reset(&self) {
        self.period.set(None);
    }
}

#[cfg(test)]
mod tests;
