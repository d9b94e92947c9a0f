//! Failures by route and upstream, so that an upstream is compared with the others on the same route.
//! See `docs/design/outliers.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use gooseberrylb_config::id;

use crate::decay;

/// Number of requests at other upstreams from which on their failures tell what to expect.
const MIN_REQUESTS: f64 = 20.0;

/// Share of failures below which nothing is expected.
const MIN_EXPECTED: f64 = 0.05;

/// Highest share of failures that is expected.
const MAX_EXPECTED: f64 = 0.9;

/// Ended requests of about the last ten seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    failed: decay::Count<10_000>,
    total: decay::Count<10_000>,
}

impl Counts {
    fn add(&mut self, failed: bool, now: Instant) {
        if failed {
            self.failed.add(now);
        }
        self.total.add(now);
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
        let own = route.by_upstream.get(upstream);
        let own = own.copied().unwrap_or_default();
        let others = route.all.total.value(now) - own.total.value(now);
        if others < MIN_REQUESTS {
            return 0.0;
        }
        let share = (route.all.failed.value(now) - own.failed.value(now)) / others;
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
        let route = self.0.entry(route.clone()).or_default();
        route.all.add(failed, now);
        let own = route.by_upstream.entry(upstream.clone()).or_default();
        own.add(failed, now);
    }

    /// Forgets the upstreams for which `is_usable` is false.
    pub(super) fn retain(&mut self, is_usable: impl Fn(&id::Upstream) -> bool) {
        for route in self.0.values_mut() {
            route.by_upstream.retain(|upstream, _| is_usable(upstream));
        }
    }
}
