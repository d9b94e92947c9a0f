//! The schedule of a move, reckoned backwards from the time by which it must be done.

use std::time::{Duration, SystemTime};

use gooseberrylb_config::directory::Share;

use crate::moves::Move;

/// The smallest share of a canary.
const MIN_CANARY_SHARE: Share = Share(100);

/// The largest share of a canary, for services with little traffic.
const MAX_CANARY_SHARE: Share = Share(2_000);

/// The requests that a canary should get in the time of one step.
const TARGET_CANARY_REQUESTS: f64 = 60.0;

/// The shares that a move goes through behind the canary; the next one is all of the traffic.
const RAMP_SHARES: [Share; 4] = [Share(500), Share(2_000), Share(5_000), Share(9_000)];

/// The fewest steps that a move is held at before it is done.
const MIN_HOLDS: u32 = 3;

/// The part of a move's time that is kept free before its deadline.
const MARGIN_DIVISOR: u32 = 20;

/// The bounds of time and traffic that every move is paced by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// The least time at each step.
    pub min_hold: Duration,
    /// The most time at each step where there is traffic enough to judge.
    pub max_hold: Duration,
    /// The least time kept free before the deadline.
    pub min_margin: Duration,
    /// The most time kept free before the deadline.
    pub max_margin: Duration,
    /// How long a version is watched, and the old one kept warm, after a move is done.
    pub watch: Duration,
    /// How much longer the leader takes a version back, so that a proof made at the end of the watch
    /// still reaches it.
    pub watch_grace: Duration,
    /// How long schedulers' reports are awaited before the canary, to know the rate of requests.
    pub rate_sampling: Duration,
    /// How old a scheduler's report may be for a share to be raised on it.
    pub max_report_age: Duration,
    /// The requests that the new version must end at a step before its share is raised.
    pub step_requests: u64,
    /// The same where the service has too few requests to come to that in the time of the step.
    pub low_traffic_step_requests: u64,
    /// The requests below which a finished move is said to have had little evidence.
    pub full_evidence_requests: u64,
    /// The requests below which nothing can be said, and the move is reverted at its deadline.
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
    /// When a move must have been decided, a margin before its deadline.
    pub fn decide_by(&self, mv: &Move) -> SystemTime {
        let window = mv.move_by.duration_since(mv.accepted).unwrap_or_default();
        let margin = (window / MARGIN_DIVISOR).clamp(self.min_margin, self.max_margin);
        mv.move_by - margin
    }

    /// When a move that is done can be taken back no more.
    pub fn revert_until(&self, mv: &Move) -> SystemTime {
        mv.since + self.watch + self.watch_grace
    }

    /// The least time that a move takes from its canary on, without its margin.
    pub fn min_duration(&self) -> Duration {
        self.min_hold * MIN_HOLDS
    }

    /// How long a step is held when `holds` of them, this one among them, share the time left.
    pub fn hold_time(&self, left: Duration, holds: u32) -> Duration {
        (left / holds.max(1)).clamp(self.min_hold, self.max_hold)
    }

    /// The requests that are awaited at a step, by the requests a second that it gets.
    pub fn required_requests(&self, rate: f64, hold: Duration) -> u64 {
        let expected = rate * hold.as_secs_f64();
        if expected < self.step_requests as f64 {
            self.low_traffic_step_requests
        } else {
            self.step_requests
        }
    }

    /// The latest time at which a step is left so that the `holds` behind it still fit.
    pub fn latest_step_end(&self, decide_by: SystemTime, holds: u32) -> SystemTime {
        decide_by - self.min_hold * holds
    }

    /// The canary's share, by the requests a second of the service.
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

    /// The share that follows, passing over steps that do not fit into the time left.
    pub fn next_share(&self, share: Share, left: Duration) -> Share {
        let above = RAMP_SHARES.into_iter().filter(|next| *next > share);
        above
            .into_iter()
            .find(|next| self.min_hold * holds_from(*next) <= left)
            .unwrap_or(Share::WHOLE)
    }
}

/// The steps that are held from a share on, until all of the traffic has moved.
pub fn holds_from(share: Share) -> u32 {
    let above = RAMP_SHARES.into_iter().filter(|next| *next > share).count();
    above as u32 + 1
}
