//! Cold upstreams: those that have just started, or lost what keeps them fast, and tolerate only so
//! many requests a second from all instances together. See `docs/design/warm-up.md`.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::declaration::WarmUp;
use gooseberrylb_config::id;
use serde::{Deserialize, Serialize};

use crate::limit::Bucket;

/// Number of requests that an unused rate is kept for. With the half that one entry may use alone,
/// a second holds at most one and a half times the rate and four requests.
const BURST: f64 = 2.0;

/// Difference up to which two reports of the end of a warm-up count as the same, since the platform's
/// list lags by varying times.
const SAME_END: Duration = Duration::from_millis(300);

/// Longest time for which an upstream is taken to be cold, whatever another instance tells.
const MAX_WARM_UP: Duration = Duration::from_secs(3600);

/// What one instance tells another of a cold upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cold {
    /// Service of the upstream.
    pub service: id::Service,
    /// Upstream that is cold.
    pub upstream: id::Upstream,
    /// Time for which it stays cold.
    pub left: Duration,
}

/// Cold upstreams that an instance knows of.
#[derive(Debug, Clone, Default)]
pub struct Table(HashMap<id::Upstream, (id::Service, Instant)>);

impl Table {
    /// Takes over a report; returns whether it is new.
    pub fn record(&mut self, cold: &Cold, now: Instant) -> bool {
        self.0.retain(|_, (_, until)| now < *until);
        let until = now + cold.left.min(MAX_WARM_UP);
        let known = self.0.get(&cold.upstream);
        let is_new = known.is_none_or(|(_, known)| until > *known + SAME_END);
        if is_new {
            let record = (cold.service.clone(), until);
            self.0.insert(cold.upstream.clone(), record);
        }
        is_new
    }

    /// Returns the time until which an upstream is cold.
    pub fn until(&self, upstream: &id::Upstream) -> Option<Instant> {
        self.0.get(upstream).map(|(_, until)| *until)
    }

    /// Returns the known upstreams with their services and the times until which they are cold, also those
    /// that are over.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Upstream, &id::Service, Instant)> {
        let known = self.0.iter();
        known.map(|(upstream, (service, until))| (upstream, service, *until))
    }

    /// Returns what other instances need to know now.
    pub fn reports(&self, now: Instant) -> Vec<Cold> {
        let cold = self.0.iter().filter(|(_, (_, until))| now < *until);
        let reports = cold.map(|(upstream, (service, until))| Cold {
            service: service.clone(),
            upstream: upstream.clone(),
            left: until.saturating_duration_since(now),
        });
        reports.collect()
    }
}

/// Allowance of one cold upstream.
#[derive(Debug, Clone)]
pub(crate) struct Allowance {
    /// End of the warm-up.
    until: Instant,
    /// Requests that the upstream tolerates meanwhile.
    bucket: Bucket,
}

impl Allowance {
    /// Returns the allowance of an instance that may use `part` of the rate.
    pub(crate) fn new(warm_up: WarmUp, part: f64, until: Instant, now: Instant) -> Self {
        let bucket = Bucket::with_capacity(warm_up.per_second, part, BURST, now);
        Self { until, bucket }
    }

    /// Moves the end of the warm-up to a later time.
    pub(crate) fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    /// Whether the upstream is still cold.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns the number of requests that may be granted now.
    pub(crate) fn available(&self, now: Instant) -> u32 {
        match self.is_cold(now) {
            true => self.bucket.available(now),
            false => u32::MAX,
        }
    }

    /// Counts a granted request.
    pub(crate) fn take(&mut self, now: Instant) {
        self.bucket.take(now);
    }

    /// Returns the time from which on a request may be granted.
    pub(crate) fn opens_at(&self, now: Instant) -> Instant {
        match self.is_cold(now) {
            true => self
                .bucket
                .opens_at(now)
                .map_or(self.until, |opens| opens.min(self.until)),
            false => now,
        }
    }

    /// Returns the rate while the upstream is cold, in requests per second.
    pub(crate) fn rate(&self, now: Instant) -> Option<f64> {
        self.is_cold(now).then(|| self.bucket.rate())
    }
}
