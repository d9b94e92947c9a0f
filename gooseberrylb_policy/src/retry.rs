//! How many requests may be sent to a second upstream, so that failing upstreams are not met with a
//! storm of repeats.

use std::time::Instant;

/// A budget that requests earn, beside a slack that is refilled with time.
///
/// In a window it allows at most the earned share of the window's requests, half of the slack that
/// had been saved, and the other half that is refilled meanwhile.
#[derive(Debug, Clone)]
pub struct Budget {
    share: f64,
    saved_most: f64,
    refill: f64,
    saved: f64,
    at: Instant,
}

impl Budget {
    /// Makes a budget of a share of the requests and of `slack` repeats in `window` seconds.
    pub fn new(share: f64, slack: f64, window: f64, now: Instant) -> Self {
        let half = slack / 2.0;
        Self {
            share,
            saved_most: half,
            refill: half / window,
            saved: half,
            at: now,
        }
    }

    /// Changes the slack, as the number of entries that share it changes.
    pub fn set_slack(&mut self, slack: f64, window: f64, now: Instant) {
        self.fill(now);
        let half = slack / 2.0;
        self.saved_most = half;
        self.refill = half / window;
        self.saved = self.saved.min(half);
    }

    /// Takes in a request.
    pub fn deposit(&mut self, now: Instant) {
        self.fill(now);
        self.saved = (self.saved + self.share).min(self.most());
    }

    /// Whether a repeat is allowed.
    pub fn allows(&mut self, now: Instant) -> bool {
        self.fill(now);
        self.saved >= 1.0
    }

    /// Takes in a repeat.
    pub fn withdraw(&mut self, now: Instant) {
        self.fill(now);
        self.saved -= 1.0;
    }

    /// The most that is saved up; one repeat at least, or the earned share would be lost.
    fn most(&self) -> f64 {
        self.saved_most.max(1.0)
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.saved = (self.saved + passed * self.refill).min(self.most());
        self.at = self.at.max(now);
    }
}
