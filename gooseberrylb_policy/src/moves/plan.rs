//! Timing and size of a move's steps, computed backwards from its deadline.

use std::time::{Duration, SystemTime};

use gooseberrylb_config::directory::Share;

use crate::moves::Move;

/// Minimum share of a canary (1%).
const MIN_CANARY_SHARE: Share = Share(100);

/// Maximum share of a canary (20%), for services with little traffic.
const MAX_CANARY_SHARE: Share = Share(2_000);

/// Number of requests that a canary should receive during one step.
const TARGET_CANARY_REQUESTS: f64 = 60.0;

/// Shares that a move passes through after the canary, before it takes all of the traffic.
const RAMP_SHARES: [Share; 4] = [Share(500), Share(2_000), Share(5_000), Share(9_000)];

/// Minimum number of steps that are held before a move is done.
const MIN_HOLDS: u32 = 3;

/// Divisor of a move's time window that gives the margin before its deadline.
const MARGIN_DIVISOR: u32 = 20;

/// The time and traffic limits of the schedule, common to all moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// The minimum time at each step.
    pub min_hold: Duration,
    /// The maximum time at each step if there is enough traffic to judge by.
    pub max_hold: Duration,
    /// The minimum time kept free before the deadline.
    pub min_margin: Duration,
    /// The maximum time kept free before the deadline.
    pub max_margin: Duration,
    /// The watch period after a move is done, during which the new version can still be reverted
    /// and the old one is kept warm.
    pub watch: Duration,
    /// How much longer than the watch period the leader accepts a proof, so that one found at the
    /// end of the period still reaches it.
    pub watch_grace: Duration,
    /// The time to wait for schedulers' reports before the canary, to measure the request rate.
    pub rate_sampling: Duration,
    /// The maximum age of a scheduler's report on which a share is raised.
    pub max_report_age: Duration,
    /// The number of requests that the new version must complete at a step before its share is
    /// raised.
    pub step_requests: u64,
    /// The number of requests required instead if the traffic cannot reach `step_requests` during
    /// the step.
    pub low_traffic_step_requests: u64,
    /// The number of requests below which a completed move is reported as having had little
    /// evidence.
    pub full_evidence_requests: u64,
    /// The number of requests below which no judgement is possible and the move is reverted at its
    /// deadline.
    pub min_evidence_requests: u64,
}

impl Default for Schedule {
    fn default() -> Self {
        Self {
            min_hold: Duration::from_secs(5),
            max_hold: Duration::from_secs(600),
            min_margin: Duration::from_secs(3),
            max_margin: Duration::from_secs(60),
            watch: Duration::from_secs(900),
            watch_grace: Duration::from_secs(30),
            rate_sampling: Duration::from_secs(5),
            max_report_age: Duration::from_secs(5),
            step_requests: 50,
            low_traffic_step_requests: 10,
            full_evidence_requests: 200,
            min_evidence_requests: 20,
        }
    }
}

impl Schedule {
    /// Returns the time by which a move must be decided, which is a margin before its deadline.
    pub fn decide_by(&self, mv: &Move) -> SystemTime {
        let window = mv.move_by.duration_since(mv.accepted).unwrap_or_default();
        let margin = (window / MARGIN_DIVISOR).clamp(self.min_margin, self.max_margin);
        mv.move_by - margin
    }

    /// Returns the time until which a completed move can still be reverted.
    pub fn revert_until(&self, mv: &Move) -> SystemTime {
        mv.since + self.watch + self.watch_grace
    }

    /// Returns the minimum time that a move takes from its canary on, without the margin.
    pub fn min_duration(&self) -> Duration {
        self.min_hold * MIN_HOLDS
    }

    /// Returns how long to hold the current step if `holds` steps, including this one, share the
    /// time left.
    pub fn hold_time(&self, left: Duration, holds: u32) -> Duration {
        (left / holds.max(1)).clamp(self.min_hold, self.max_hold)
    }

    /// Returns the number of requests required at a step that receives `rate` requests per second.
    pub fn required_requests(&self, rate: f64, hold: Duration) -> u64 {
        let expected = rate * hold.as_secs_f64();
        if expected < self.step_requests as f64 {
            self.low_traffic_step_requests
        } else {
            self.step_requests
        }
    }

    /// Returns the latest time to leave a step such that `holds` further steps still fit before
    /// `decide_by`.
    pub fn latest_step_end(&self, decide_by: SystemTime, holds: u32) -> SystemTime {
        decide_by - self.min_hold * holds
    }

    /// Returns the canary's share for a service with `rate` requests per second.
    pub fn canary_share(&self, rate: f64, left: Duration) -> Share {
        let hold = self.hold_time(left, holds_from(Share::NONE));
        let expected = rate * hold.as_secs_f64();
        if expected <= 0.0 {
            return MAX_CANARY_SHARE;
        }
        let wanted = TARGET_CANARY_REQUESTS / expected * f64::from(Share::WHOLE.0);
        let clamped = wanted.clamp(f64::from(MIN_CANARY_SHARE.0), f64::from(MAX_CANARY_SHARE.0));
        Share(clamped.ceil() as u16)
    }

    /// Returns the next share, skipping steps that do not fit into the time left.
    pub fn next_share(&self, share: Share, left: Duration) -> Share {
        let above = RAMP_SHARES.into_iter().filter(|next| *next > share);
        above
            .into_iter()
            .find(|next| self.min_hold * holds_from(*next) <= left)
            .unwrap_or(Share::WHOLE)
    }
}

/// Returns the number of steps to hold from `share` on until all of the traffic has moved.
pub fn holds_from(share: Share) -> u32 {
    let above = RAMP_SHARES.into_iter().filter(|next| *next > share).count();
    above as u32 + 1
}
