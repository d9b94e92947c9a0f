//! What is known of one upstream: what runs there, how fast it is, and whether it fails.

use std::time::{Duration, Instant};

use super::rates::Rates;
use super::{Request, Upstream};
use crate::occupancy::Occupancy;

/// How long an upstream rests after its first failure in a row; each further one doubles it.
const FIRST_REST: Duration = Duration::from_millis(500);

/// The longest rest, so that an upstream that is well again is found within seconds.
const LONGEST_REST: Duration = Duration::from_secs(4);

/// The failures in a row after which an upstream rests; one alone may be the request's own fault.
const STREAK: u32 = 2;

/// The share of failed requests above which an upstream rests though some are answered.
const FAILING_SHARE: f64 = 0.3;

/// The weight of the newest request in the share of failed ones.
const NEWEST: f64 = 0.2;

/// How long an upstream gets nothing after it said that it is full; about one plain call's time.
const FULL_PAUSE: Duration = Duration::from_millis(50);

/// Whether an upstream fails.
#[derive(Debug, Clone, Default)]
pub struct Health {
    streak: u32,
    failing: f64,
    rests_until: Option<Instant>,
    on_trial: bool,
}

impl Health {
    /// Takes in a request that was answered.
    pub fn served(&mut self) {
        self.streak = 0;
        self.failing *= 1.0 - NEWEST;
        if self.failing < FAILING_SHARE {
            self.on_trial = false;
        }
    }

    /// Takes in a request that failed.
    pub fn failed(&mut self, now: Instant) {
        self.streak += 1;
        self.failing = self.failing * (1.0 - NEWEST) + NEWEST;
        if self.streak >= STREAK || self.failing >= FAILING_SHARE {
            let doublings = self.streak.saturating_sub(STREAK).min(8);
            let rest = (FIRST_REST * 2_u32.pow(doublings)).min(LONGEST_REST);
            self.rests_until = Some(now + rest);
            self.on_trial = true;
        }
    }

    /// The most requests that it should run now, of `slots`.
    pub fn bound(&self, slots: u32, now: Instant) -> u32 {
        match self.rests_until {
            Some(end) if now < end => 0,
            _ if self.on_trial => slots.min(1),
            _ => slots,
        }
    }
}

/// One upstream.
#[derive(Debug)]
pub(super) struct State {
    pub(super) upstream: Upstream,
    pub(super) running: u32,
    pub(super) occupancy: Occupancy,
    pub(super) rates: Rates,
    pub(super) health: Health,
    /// When it has read the prompts that it was given so far.
    pub(super) read_until: Instant,
    pub(super) full_until: Instant,
}

impl State {
    pub(super) fn new(upstream: Upstream, now: Instant) -> Self {
        Self {
            upstream,
            running: 0,
            occupancy: Occupancy::default(),
            rates: Rates::default(),
            health: Health::default(),
            read_until: now,
            full_until: now,
        }
    }

    /// Takes note of how many run there; only a rollout asks how many did, so memory is used for one.
    pub(super) fn set_running(&mut self, running: u32, is_watched: bool, now: Instant) {
        if self.running != running && is_watched {
            self.occupancy.record(running, now);
        }
        self.running = running;
    }

    /// Takes note that it has no room though it should have.
    pub(super) fn full(&mut self, now: Instant) {
        self.full_until = now + FULL_PAUSE;
    }

    /// Whether it can run one more; with `trusted` only as far as it has not failed lately.
    pub(super) fn has_room(&self, trusted: bool, now: Instant) -> bool {
        let slots = self.upstream.slots;
        let bound = if trusted {
            self.health.bound(slots, now)
        } else {
            slots
        };
        self.running < bound && now >= self.full_until
    }

    /// When a request's first event is expected, and when its last.
    pub(super) fn expect(
        &self,
        ask: &Request,
        pooled: &Rates,
        now: Instant,
    ) -> (Duration, Duration) {
        let queued = self.read_until.saturating_duration_since(now);
        let first = queued + self.rates.first(ask, pooled);
        (first, first + self.rates.rest(ask, pooled))
    }
}
