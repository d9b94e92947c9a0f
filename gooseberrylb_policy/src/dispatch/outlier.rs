//! Failures by route and upstream, so that an upstream is compared with the others on the same route.
//! See `docs/design/outliers.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;

/// Time constant with which ends of requests are forgotten.
const DECAY: Duration = Duration::from_secs(10);

/// Number of requests at other upstreams from which on their failures tell what to expect.
const MIN_REQUESTS: f64 = 20.0;

/// Share of failures below which nothing is expected.
const MIN_EXPECTED: f64 = 0.05;

/// Highest share of failures that is expected.
const MAX_EXPECTED: f64 = 0.9;

/// Decaying counts of ended requests.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    failed: f64,
    total: f64,
    at: Option<Instant>,
}

impl Counts {
    fn decayed(&self, now: Instant) -> (f64, f64) {
        let passed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = (-passed.as_secs_f64() / DECAY.as_secs_f64()).exp();
        (self.failed * factor, self.total * factor)
    }

    fn add(&mut self, failed: bool, now: Instant) {
        let (failures, total) = self.decayed(now);
        self.failed = failures + f64::from(u8::from(failed));
        self.total = total + 1.0;
        self.at = Some(now);
    }
}

/// Counts of one route.
#[derive(Debug, Clone, Default)]
struct Route {
    all: Counts,
    by_upstream: HashMap<id::Upstream, Counts>,
}

/// Failures of one service.
#[derive(Debug, Clone, Default)]
pub(super) struct Failures(HashMap<Arc<str>, Route>);

impl Failures {
    /// Returns the share of requests of a route that fail at other upstreams, or 0 if hardly any
    /// do or there are too few of them.
    pub(super) fn expected(&self, route: &str, upstream: &id::Upstream, now: Instant) -> f64 {
        let Some(route) = self.0.get(route) else {
            return 0.0;
        };
        let (failed, total) = route.all.decayed(now);
        let own = route.by_upstream.get(upstream);
        let (own_failed, own_total) = own.map_or((0.0, 0.0), |own| own.decayed(now));
        let others = total - own_total;
        if others < MIN_REQUESTS {
            return 0.0;
        }
        let share = (failed - own_failed) / others;
        match share < MIN_EXPECTED {
            true => 0.0,
            false => share.min(MAX_EXPECTED),
        }
    }

    /// Records the end of a request.
    pub(super) fn record(
        &mut self,
        route: &Arc<str>,
        upstream: &id::Upstream,
        failed: bool,
        now: Instant,
    ) {
        let route = match self.0.get_mut(route) {
            Some(known) => known,
            None => self.0.entry(route.clone()).or_default(),
        };
        route.all.add(failed, now);
        match route.by_upstream.get_mut(upstream) {
            Some(own) => own.add(failed, now),
            None => route
                .by_upstream
                .entry(upstream.clone())
                .or_default()
                .add(failed, now),
        }
    }

    /// Forgets the upstreams for which `is_usable` is false.
    pub(super) fn retain(&mut self, is_usable: impl Fn(&id::Upstream) -> bool) {
        for route in self.0.values_mut() {
            route.by_upstream.retain(|upstream, _| is_usable(upstream));
        }
    }
}
