//! What a client account may use: so many units in any window of time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The part of the window by which use is counted together.
const STEPS: u32 = 40;

/// The shortest time after which a refused request is told to come back, so that callers who find
/// a quota used up do not all return within the same moment.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// What one account has used lately.
///
/// An account may use at most `rate * window + burst` in any window; how the use is spread within
/// the window is its own affair.
#[derive(Debug, Clone)]
pub struct Window {
    rate: f64,
    burst: f64,
    length: Duration,
    steps: VecDeque<Step>,
    used: f64,
    assumed: f64,
    /// The part of what is assumed that nobody has told better.
    untold: f64,
}

/// What was used in a short span of time.
#[derive(Debug, Clone, Copy)]
struct Step {
    /// Its end.
    end: Instant,
    /// What was counted or told.
    used: f64,
    /// What is assumed where it is not told.
    assumed: f64,
}

/// What one of several places has seen used: how long ago, and how much.
pub type Usage = Vec<(Duration, f64)>;

impl Window {
    /// Makes the window of an account whose use is known since `since`. Until then it may have used
    /// its rate: whoever counts anew does not know, and must not let the same be used twice.
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
            untold: 1.0,
            steps,
        }
    }

    /// Takes what one of `places` has seen used before `since`, instead of what is assumed for it.
    pub fn adopt(
        &mut self,
        spent: &[(Duration, f64)],
        places: usize,
        since: Instant,
        now: Instant,
    ) {
        self.forget(now);
        self.untold = (self.untold - 1.0 / places.max(1) as f64).max(0.0);
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

    /// Changes the rate and the burst.
    pub fn change(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
    }

    /// How long until there is room for `units`, unless there is room now. What is larger than all
    /// that may be used fits where nothing was.
    pub fn lacks(&mut self, units: f64, now: Instant) -> Option<Duration> {
        self.forget(now);
        let most = self.rate * self.length.as_secs_f64() + self.burst;
        let all = self.used + self.assumed * self.untold;
        let mut missing = all + units.min(most) - most;
        if missing <= 0.0 {
            return None;
        }
        for step in &self.steps {
            missing -= step.used + step.assumed * self.untold;
            if missing <= 0.0 {
                let free = step.end + self.length;
                return Some(free.saturating_duration_since(now).max(MIN_PAUSE));
            }
        }
        Some(self.length)
    }

    /// Counts `units` as used.
    pub fn take(&mut self, units: f64, now: Instant) {
        self.forget(now);
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

    /// Takes back what was counted for a request that did not run.
    pub fn give_back(&mut self, units: f64) {
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

    fn forget(&mut self, now: Instant) {
        while let Some(step) = self.steps.front()
            && step.end + self.length <= now
        {
            self.used -= step.used;
            self.assumed -= step.assumed;
            self.steps.pop_front();
        }
    }
}
