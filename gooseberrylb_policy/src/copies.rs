//! Second copies of slow requests: when one is due, and how many are sent.
//! See `docs/design/second-copies.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use hdrhistogram::Histogram;

use crate::decay;

/// Quantile of an upstream's times on a route after which a response counts as slow.
const SLOW_QUANTILE: f64 = 0.95;

/// Number of responses from which on their distribution is used.
const MIN_RESPONSES: u64 = 60;

/// Number of responses after which the older half of a distribution is forgotten.
const GENERATION: u64 = 500;

/// Number of responses after which the quantile is computed anew. It is asked for at each grant, and computing
/// it reads the whole distribution.
const REFRESH: u64 = 20;

/// Requests or copies of about the last ten seconds.
type Count = decay::Count<10_000>;

/// Longest time that a distribution holds, in units of 100 µs.
const MAX_UNITS: u64 = 600_000;

/// Number of those units in a second.
const UNITS_PER_SECOND: f64 = 10_000.0;

/// Times of one upstream on one route, in two generations.
#[derive(Debug, Clone)]
struct Times {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    /// Time after which a response is slow, if enough were seen.
    slow_after: Option<Duration>,
    /// Number of responses since that was computed.
    unseen: u64,
}

impl Times {
    fn new() -> Self {
        let empty = || Histogram::new_with_max(MAX_UNITS, 2).expect("the bounds are valid");
        Self {
            current: empty(),
            previous: empty(),
            slow_after: None,
            unseen: 0,
        }
    }

    fn record(&mut self, time: Duration) {
        if self.current.len() >= GENERATION {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        let units = (time.as_secs_f64() * UNITS_PER_SECOND) as u64;
        self.current.saturating_record(units.min(MAX_UNITS));
        self.unseen += 1;
        if self.unseen >= REFRESH {
            self.unseen = 0;
            self.slow_after = self.quantile();
        }
    }

    /// Returns the time that [`SLOW_QUANTILE`] of the responses took at most, if enough were seen.
    fn quantile(&self) -> Option<Duration> {
        let total = self.current.len() + self.previous.len();
        if total < MIN_RESPONSES {
            return None;
        }
        let mut all = self.current.clone();
        all.add(&self.previous).ok()?;
        let units = all.value_at_quantile(SLOW_QUANTILE);
        Some(Duration::from_secs_f64(units as f64 / UNITS_PER_SECOND))
    }
}

/// Second copies of one service.
#[derive(Debug, Clone, Default)]
pub struct Copies {
    /// Share of the requests of which a copy may be sent; none if 0.
    share: f64,
    times: HashMap<(Arc<str>, id::Upstream), Times>,
    requests: Count,
    copies: Count,
}

impl Copies {
    /// Sets the share of the requests of which a copy may be sent.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
        if !self.are_sent() {
            self.times.clear();
        }
    }

    /// Whether any copies may be sent. Nothing is learned otherwise.
    pub fn are_sent(&self) -> bool {
        self.share > 0.0
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Instant) {
        if self.are_sent() {
            self.requests.add(now);
        }
    }

    /// Records how long an upstream took for a response.
    pub fn record(&mut self, route: &Arc<str>, upstream: &id::Upstream, time: Duration) {
        if self.are_sent() {
            let key = (route.clone(), upstream.clone());
            self.times
                .entry(key)
                .or_insert_with(Times::new)
                .record(time);
        }
    }

    /// Forgets the upstreams for which `is_usable` is false.
    pub fn retain(&mut self, is_usable: impl Fn(&id::Upstream) -> bool) {
        self.times.retain(|(_, upstream), _| is_usable(upstream));
    }

    /// Returns the time after which a copy of a request to an upstream is due, while the part `load` of
    /// the service's slots is taken. The more are taken, the later it is: a slow response is
    /// less of a surprise then, and a copy costs others more.
    pub fn due_after(
        &self,
        route: &Arc<str>,
        upstream: &id::Upstream,
        load: f64,
    ) -> Option<Duration> {
        if !self.are_sent() {
            return None;
        }
        let times = self.times.get(&(route.clone(), upstream.clone()))?;
        Some(times.slow_after?.mul_f64(1.0 + load.clamp(0.0, 1.0)))
    }

    /// Whether one more copy stays within the share.
    pub fn allows(&self, now: Instant) -> bool {
        self.copies.value(now) + 1.0 <= self.share * self.requests.value(now)
    }

    /// Counts a copy that is sent.
    pub fn count_copy(&mut self, now: Instant) {
        self.copies.add(now);
    }
}
