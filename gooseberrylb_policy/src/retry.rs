//! Retry budget: limits the requests that are sent to a second upstream, so that failing upstreams
//! do not cause a storm of retries.

use std::time::Instant;

/// Budget to which each request adds a share of a retry, plus a slack that refills over time.
///
/// In a window it allows at most the earned share of the window's requests, the half of the slack
/// that was saved before, and the other half that refills meanwhile.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Retries that a request earns.
    share: f64,
    /// Largest saved slack: half of the slack of a window.
    max_slack: f64,
    /// Slack that refills, in retries per second.
    refill_per_second: f64,
    /// Retries available now.
    balance: f64,
    /// Time of the last refill.
    updated: Instant,
}

impl Budget {
    /// Returns a budget of `share` retries per request and of `slack` retries in `window` seconds.
    pub fn new(share: f64, slack: f64, window: f64, now: Instant) -> Self {
        let half = slack / 2.0;
        Self {
            share,
            max_slack: half,
            refill_per_second: half / window,
            balance: half,
            updated: now,
        }
    }

    /// Changes the slack, such as when the number of entries that share it changes.
    pub fn set_slack(&mut self, slack: f64, window: f64, now: Instant) {
        self.refill(now);
        let half = slack / 2.0;
        self.max_slack = half;
        self.refill_per_second = half / window;
        self.balance = self.balance.min(half);
    }

    /// Adds the share that a request earns.
    pub fn deposit(&mut self, now: Instant) {
        self.refill(now);
        self.balance = (self.balance + self.share).min(self.max_balance());
    }

    /// Whether a retry is allowed.
    pub fn allows(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.balance >= 1.0
    }

    /// Takes a retry from the budget.
    pub fn withdraw(&mut self, now: Instant) {
        self.refill(now);
        self.balance -= 1.0;
    }

    /// Returns the largest balance; at least one retry, or the earned share would be lost.
    fn max_balance(&self) -> f64 {
        self.max_slack.max(1.0)
    }

    /// Adds the slack that refilled since the last call.
    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.balance = (self.balance + passed * self.refill_per_second).min(self.max_balance());
        self.updated = self.updated.max(now);
    }
}
