//! Quotas of client accounts: a number of units in any window of time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Number of steps into which a window is divided; use within a step is counted together.
const STEPS: u32 = 40;

/// Shortest pause of a refused request, so that callers that exceed a quota do not all retry at
/// the same moment.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Time over which the present rate of use is measured.
const RATE_INTERVAL: Duration = Duration::from_millis(600);

/// Use of an account's quota as one of several counters reports it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Units used within the window.
    pub used: f64,
    /// Present rate of use, in units per second.
    pub rate: f64,
}

impl Report {
    /// Returns the use within the window `age` after the report: what was reported leaves the
    /// window evenly, and use is assumed to go on at the reported rate.
    pub fn estimate(&self, age: Duration, window: Duration) -> f64 {
        let age = age.min(window);
        let part_left = 1.0 - age.as_secs_f64() / window.as_secs_f64().max(f64::MIN_POSITIVE);
        self.used * part_left + self.rate * age.as_secs_f64()
    }
}

/// Sliding window of one account's recent use, in units.
///
/// An account may use at most `rate * window + burst` in any window, spread over it in any way.
#[derive(Debug, Clone)]
pub struct Window {
    /// Sustained rate, in units per second.
    rate: f64,
    /// Units that may be used in a window on top of the rate.
    burst: f64,
    /// Length of the window.
    length: Duration,
    /// Steps within the window, oldest first.
    steps: VecDeque<Step>,
    /// Sum of the units used in all steps.
    used: f64,
    /// Sum of the units assumed in all steps.
    assumed: f64,
    /// Share of the assumed use that is not replaced by reports yet.
    unreported_share: f64,
    /// Time since which use is counted here.
    since: Instant,
    /// Units used that other counters of the same quota reported.
    elsewhere: f64,
}

/// Use in one step of the window.
#[derive(Debug, Clone, Copy)]
struct Step {
    /// End of the step.
    end: Instant,
    /// Units counted or reported.
    used: f64,
    /// Units assumed to be used where none are reported.
    assumed: f64,
}

/// Use that one of several instances counted: the age and units of each part.
pub type Usage = Vec<(Duration, f64)>;

/// Fraction of its part of a quota that an entry uses while it places alone. Entries differ in what they
/// have used before, and those that have used more than their part cannot give it back.
const ALONE_FRACTION: f64 = 0.8;

/// Part of an account's quota that belongs to one of several entries, which counts only its own use.
#[derive(Debug, Clone, Copy)]
pub struct Part {
    /// Units that the entry may use in a window, if all do so.
    pub limit: f64,
    /// Length of the window.
    pub window: Duration,
    /// Time for which the entry has counted its use. Before that, it may have used all of its part.
    pub counted: Duration,
}

impl Part {
    /// Returns how long until `units` fit beside the entry's use, which is given by ages, or `None` if
    /// they fit now. One request that is up to twice as large as the part fits into an unused window.
    pub fn wait_time(&self, used: &[(Duration, f64)], units: f64) -> Option<Duration> {
        let window = self.window.as_secs_f64();
        let uncounted = 1.0 - (self.counted.as_secs_f64() / window).min(1.0);
        let recent = || used.iter().filter(|(age, _)| *age < self.window);
        let total: f64 = recent().map(|(_, units)| units).sum();
        let limit = self.limit * ALONE_FRACTION;
        let total = total + self.limit * uncounted;
        if total + units <= limit || (total == 0.0 && units <= 2.0 * self.limit) {
            return None;
        }
        let oldest = recent().map(|(age, _)| *age).max().unwrap_or_default();
        Some(self.window.saturating_sub(oldest).max(MIN_PAUSE))
    }
}

impl Window {
    /// Returns the window of an account whose use is counted since `since`. The time before counts
    /// as used at the full rate: a new counter does not know the use before it, and must not let
    /// the same units be used twice.
    pub fn new(rate: f64, burst: f64, length: Duration, since: Instant, now: Instant) -> Self {
        let step = length / STEPS;
        let per_step = rate * step.as_secs_f64();
        let ends = (0..STEPS)
            .rev()
            .filter_map(|age| since.checked_sub(step * age));
        let within = ends.filter(|end| *end + length > now);
        let steps: VecDeque<_> = within
            .map(|end| Step {
                end,
                used: 0.0,
                assumed: per_step,
            })
            .collect();
        Self {
            rate,
            burst,
            length,
            used: 0.0,
            assumed: per_step * steps.len() as f64,
            unreported_share: 1.0,
            since,
            elsewhere: 0.0,
            steps,
        }
    }

    /// Adds the use before `since` that one of `reporters` instances counted, and drops its part
    /// of the assumed use.
    pub fn adopt(
        &mut self,
        spent: &[(Duration, f64)],
        reporters: usize,
        since: Instant,
        now: Instant,
    ) {
        self.expire(now);
        self.unreported_share = (self.unreported_share - 1.0 / reporters.max(1) as f64).max(0.0);
        for (age, units) in spent {
            let Some(at) = now.checked_sub(*age).filter(|at| *at < since) else {
                continue;
            };
            let step = self.steps.iter_mut().find(|step| at <= step.end);
            if let Some(step) = step.filter(|_| at + self.length > now) {
                step.used += units;
                self.used += units;
            }
        }
    }

    /// Sets the part of the assumed use that is the use of this counter's own clients, if other
    /// counters report theirs.
    pub fn set_share(&mut self, share: f64) {
        self.unreported_share = self.unreported_share.min(share);
    }

    /// Sets the units used that other counters of the same quota reported.
    pub fn set_elsewhere(&mut self, units: f64) {
        self.elsewhere = units;
    }

    /// Returns the use by this counter's clients, for the other counters of the same quota. It
    /// includes what these clients used before this counter began, reported or assumed, which no
    /// other counter reports any more.
    pub fn report(&mut self, now: Instant) -> Report {
        self.expire(now);
        let recent = self.steps.iter();
        let recent = recent.filter(|step| step.end + RATE_INTERVAL > now && step.end > self.since);
        let recent: f64 = recent.map(|step| step.used).sum();
        Report {
            used: self.used + self.assumed * self.unreported_share,
            rate: recent / RATE_INTERVAL.as_secs_f64(),
        }
    }

    /// Returns the units that may be used in a window.
    pub fn limit(&self) -> f64 {
        self.rate * self.length.as_secs_f64() + self.burst
    }

    /// Returns the length of the window.
    pub fn length(&self) -> Duration {
        self.length
    }

    /// Changes the rate and the burst.
    pub fn set_limits(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
    }

    /// Returns how long until `units` fit, or `None` if they fit now. A request larger than the
    /// whole quota fits into an unused window.
    pub fn wait_time(&mut self, units: f64, now: Instant) -> Option<Duration> {
        self.expire(now);
        let limit = self.limit();
        let own = self.used + self.assumed * self.unreported_share;
        let total = own + self.elsewhere;
        let mut missing = total + units.min(limit) - limit;
        if missing <= 0.0 {
            return None;
        }
        // Use elsewhere leaves the window about as fast as the use here.
        missing *= own / total;
        for step in &self.steps {
            missing -= step.used + step.assumed * self.unreported_share;
            if missing <= 0.0 {
                let free = step.end + self.length;
                return Some(free.saturating_duration_since(now).max(MIN_PAUSE));
            }
        }
        Some(self.length)
    }

    /// Counts `units` as used.
    pub fn charge(&mut self, units: f64, now: Instant) {
        self.expire(now);
        self.used += units;
        let step = self.length / STEPS;
        match self.steps.back_mut() {
            Some(last) if now < last.end => last.used += units,
            _ => self.steps.push_back(Step {
                end: now + step,
                used: units,
                assumed: 0.0,
            }),
        }
    }

    /// Refunds the units of a request that did not run, from the latest use backwards.
    pub fn refund(&mut self, units: f64) {
        let mut left = units;
        for step in self.steps.iter_mut().rev() {
            let part = left.min(step.used);
            step.used -= part;
            self.used -= part;
            left -= part;
            if left <= 0.0 {
                return;
            }
        }
    }

    /// Drops the steps that have left the window.
    fn expire(&mut self, now: Instant) {
        while let Some(step) = self.steps.front()
            && step.end + self.length <= now
        {
            self.used -= step.used;
            self.assumed -= step.assumed;
            self.steps.pop_front();
        }
    }
}
