//! The scheduler's model of one upstream: its rates, health, prefix cache and running requests.

use std::time::{Duration, Instant};

use gooseberrylb_config::note;

use super::Load;
use super::prefix::Cache;
use super::rate::Rate;
use crate::occupancy::Occupancy;
use crate::request::{Figures, Request};

/// Ratio to the average prefill rate of the service from which an upstream counts as fast.
const FAST_RATIO: f64 = 0.9;

/// Factor by which the weight of earlier observations decays with each new one.
const RATE_DECAY: f64 = 0.9;

/// Prefill rate assumed before the first observation, in tokens per second.
const DEFAULT_PREFILL_RATE: f64 = 10_000.0;

/// Penalty of a full upstream on the expected time to first token, in seconds.
const FULL_LOAD_SECONDS: f64 = 0.05;

/// Penalty of an upstream in another data centre on the expected time to first token, in seconds.
const REMOTE_SECONDS: f64 = 0.002;

/// Back-off after the first failure; it doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_secs(1);

/// Maximum back-off.
const BACKOFF_MAX: Duration = Duration::from_secs(30);

/// Ratio of the recent to the best prefill time per token above which the concurrency limit is cut.
const CUT_SLOWDOWN: f64 = 4.0;

/// Minimum number of uncached prompt tokens of a request whose time to first token is used to adapt
/// the limit; with fewer, fixed costs dominate.
const MIN_PACE_TOKENS: u64 = 64;

/// Factor by which a cut reduces the concurrency limit.
const LIMIT_CUT_FACTOR: f64 = 0.9;

/// Factor by which the best known prefill time per token grows with each observation, so that it is
/// slowly forgotten.
const BEST_PACE_DECAY: f64 = 1.01;

/// Age from which a load report is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_secs(5);

/// The health of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    /// The upstream answers.
    Healthy,
    /// The upstream failed. It gets no requests until its back-off ends, and then one probe at a
    /// time.
    Ejected {
        /// The end of the back-off.
        until: Instant,
        /// The number of consecutive failures.
        failures: u32,
        /// Whether a probe is running.
        probing: bool,
    },
}

/// What the end of a request shows about the upstream's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream answered, and the figures are valid.
    Answered(Figures),
    /// The upstream failed.
    Failed,
    /// Nothing can be concluded, for example because the caller disconnected or the entry died.
    Inconclusive,
}

/// Average rates over the service's upstreams, used for one that was not observed yet.
#[derive(Debug, Clone, Copy, Default)]
pub struct Averages {
    /// The prefill rate in tokens per second; `None` before the first observation.
    pub prefill: Option<f64>,
    /// The decode rate of one request in tokens per second; `None` before the first observation.
    pub decode: Option<f64>,
}

/// An upstream and what the scheduler knows about it.
#[derive(Debug)]
pub struct Upstream {
    /// The description in force, or the last one if the upstream was withdrawn.
    pub description: note::Upstream,
    /// Whether the upstream is in the configuration in force and may get new requests.
    pub configured: bool,
    /// The number of requests that hold a slot.
    pub in_flight: u32,
    /// The recent history of `in_flight`.
    pub occupancy: Occupancy,
    /// The estimated contents of the prefix cache.
    pub cache: Cache,
    /// The adaptive concurrency limit.
    limit: f64,
    prefill: Rate,
    decode: Rate,
    /// The best known time to first token per uncached token, in seconds.
    best_pace: Option<f64>,
    /// The number of requests used to adapt the limit since it was last cut.
    ends_since_cut: u32,
    /// The time at which the prompts sent so far are expected to be prefilled.
    busy_until: Instant,
    health: Health,
    /// The last load report and the time at which it was received.
    load: Option<(Load, Instant)>,
}

impl Upstream {
    /// Creates an upstream about which only the description is known.
    pub fn new(description: note::Upstream, now: Instant) -> Self {
        let limit = f64::from(description.slots.0);
        Self {
            description,
            configured: true,
            in_flight: 0,
            occupancy: Occupancy::default(),
            cache: Cache::default(),
            limit,
            prefill: Rate::default(),
            decode: Rate::default(),
            best_pace: None,
            ends_since_cut: 0,
            busy_until: now,
            health: Health::Healthy,
            load: None,
        }
    }

    /// Applies a new description.
    pub fn describe(&mut self, description: &note::Upstream) {
        if self.description.address != description.address {
            self.cache.clear();
        }
        if self.description.slots != description.slots {
            self.limit = f64::from(description.slots.0);
        }
        self.configured = true;
        self.description = description.clone();
    }

    /// Whether the upstream's prefill rate is about the service's average or higher.
    pub fn is_fast(&self, averages: Averages) -> bool {
        match (self.prefill.per_second(), averages.prefill) {
            (Some(own), Some(average)) => own >= average * FAST_RATIO,
            (None, _) | (_, None) => true,
        }
    }

    /// Returns the number of requests that may run at once.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.description.slots.0.max(1))
    }

    /// Whether there is a slot for a request that must leave `headroom_percent` of the slots free.
    pub fn has_slot(&self, headroom_percent: u32, now: Instant) -> bool {
        if !self.configured || self.description.slots.0 == 0 {
            return false;
        }
        match self.health {
            Health::Healthy => self.in_flight < self.usable_slots(headroom_percent),
            Health::Ejected { until, probing, .. } => !probing && now >= until,
        }
    }

    fn usable_slots(&self, headroom_percent: u32) -> u32 {
        let limit = self.limit();
        let reserved = (limit * headroom_percent).div_ceil(100);
        limit.saturating_sub(reserved).max(1)
    }

    /// Whether the upstream failed and its next request is a probe.
    pub fn needs_probe(&self) -> bool {
        matches!(self.health, Health::Ejected { .. })
    }

    /// Whether the upstream gets no requests for now because it failed.
    pub fn is_ejected(&self, now: Instant) -> bool {
        match self.health {
            Health::Healthy => false,
            Health::Ejected { until, probing, .. } => probing || now < until,
        }
    }

    /// Returns the end of the back-off if the upstream failed.
    pub fn ejected_until(&self) -> Option<Instant> {
        match self.health {
            Health::Healthy => None,
            Health::Ejected { until, .. } => Some(until),
        }
    }

    /// Returns the expected time to first token, in seconds, of a request dispatched now.
    pub fn first_token(&self, request: &Request, averages: Averages, now: Instant) -> f64 {
        let rate = self.prefill_rate(averages);
        let prefill = self.uncached(request) as f64 / rate;
        let queue = self.busy_until.saturating_duration_since(now).as_secs_f64();
        let load = f64::from(self.in_flight + 1) / f64::from(self.limit()) * FULL_LOAD_SECONDS;
        let distance = if self.description.data_centre == request.data_centre {
            0.0
        } else {
            REMOTE_SECONDS
        };
        queue + prefill + load + distance + self.reported_wait(rate, request, now)
    }

    /// Returns the expected delay, in seconds, from requests that the engine reports as waiting:
    /// those that were not sent by this scheduler, or whose prefill it assumes to be complete.
    /// The weight of the report decreases with its age.
    fn reported_wait(&self, rate: f64, request: &Request, now: Instant) -> f64 {
        let Some((load, at)) = self.load else {
            return 0.0;
        };
        let age = load.age + now.saturating_duration_since(at);
        let weight = 1.0 - (age.as_secs_f64() / MAX_LOAD_AGE.as_secs_f64()).min(1.0);
        weight * f64::from(load.waiting) * request.cost.prompt.0 as f64 / rate
    }

    /// Returns the expected time from the first to the last token of a request, in seconds; 0
    /// before any upstream was observed.
    pub fn decode_time(&self, request: &Request, averages: Averages) -> f64 {
        self.decode
            .per_second()
            .or(averages.decode)
            .map_or(0.0, |rate| request.cost.output.0 as f64 / rate)
    }

    fn prefill_rate(&self, averages: Averages) -> f64 {
        self.prefill
            .per_second()
            .or(averages.prefill)
            .unwrap_or(DEFAULT_PREFILL_RATE)
    }

    /// Returns the number of prompt tokens that are not expected to be cached.
    fn uncached(&self, request: &Request) -> u64 {
        let prompt = request.cost.prompt.0;
        if request.prefix.is_empty() {
            return prompt;
        }
        let cached = self.cache.cached_blocks(&request.prefix) as u64;
        prompt - prompt.saturating_mul(cached) / request.prefix.len() as u64
    }

    /// Takes a slot for a request and returns the number of its prefix blocks expected to be
    /// cached.
    pub fn take(&mut self, request: &Request, averages: Averages, now: Instant) -> usize {
        let expected_cached = self.cache.cached_blocks(&request.prefix);
        let seconds = self.uncached(request) as f64 / self.prefill_rate(averages);
        self.busy_until = self.busy_until.max(now) + Duration::from_secs_f64(seconds.min(60.0));
        self.cache.record_prompt(&request.prefix);
        self.set_in_flight(self.in_flight + 1, now);
        if let Health::Ejected { probing, .. } = &mut self.health {
            *probing = true;
        }
        expected_cached
    }

    /// Counts a slot that was taken under an earlier scheduler.
    pub fn adopt(&mut self, now: Instant) {
        self.set_in_flight(self.in_flight + 1, now);
    }

    fn set_in_flight(&mut self, in_flight: u32, now: Instant) {
        self.in_flight = in_flight;
        self.occupancy.record(in_flight, now);
    }

    /// Frees a slot and updates rates and health from the verdict on its request.
    pub fn free(&mut self, verdict: Verdict, now: Instant) {
        self.set_in_flight(self.in_flight.saturating_sub(1), now);
        if self.in_flight == 0 {
            self.busy_until = now;
        }
        match verdict {
            Verdict::Answered(figures) => {
                self.learn(&figures);
                self.recover(now);
            }
            Verdict::Failed => self.eject(now),
            Verdict::Inconclusive => {
                if let Health::Ejected { probing, .. } = &mut self.health {
                    *probing = false;
                }
            }
        }
    }

    /// Corrects the estimate of the prefix cache by the cached tokens reported for a request.
    pub fn correct_cache(&mut self, request: &Request, expected_cached: usize, figures: &Figures) {
        if request.prefix.is_empty() || figures.prompt.0 == 0 {
            return;
        }
        let blocks = request.prefix.len() as u64;
        let cached = figures
            .cached
            .0
            .saturating_mul(blocks)
            .div_ceil(figures.prompt.0);
        self.cache
            .correct(&request.prefix, expected_cached, cached as usize);
    }

    /// Stores a load report.
    pub fn set_load(&mut self, load: Load, now: Instant) {
        self.load = Some((load, now));
    }

    fn learn(&mut self, figures: &Figures) {
        let uncached = figures.prompt.0.saturating_sub(figures.cached.0).max(1);
        self.prefill
            .observe(uncached, figures.first_token, RATE_DECAY);
        self.decode
            .observe(figures.output.0, figures.decode, RATE_DECAY);
        if self.description.kind == note::Kind::Engine && uncached >= MIN_PACE_TOKENS {
            self.adapt(uncached, figures.first_token);
        }
    }

    /// Adapts the concurrency limit. Cuts it when the time to first token per uncached token grows
    /// far beyond the best known, since more requests would then only wait inside the engine;
    /// otherwise raises it slowly.
    fn adapt(&mut self, uncached: u64, first_token: Duration) {
        let pace = first_token.as_secs_f64() / uncached as f64;
        let best = self
            .best_pace
            .map_or(pace, |best| (best * BEST_PACE_DECAY).min(pace));
        self.best_pace = Some(best);
        self.ends_since_cut += 1;
        let recent_pace = self.prefill.per_second().map_or(pace, f64::recip);
        if recent_pace > CUT_SLOWDOWN * best {
            if self.ends_since_cut > self.limit() {
                self.limit = (self.limit * LIMIT_CUT_FACTOR).max(1.0);
                self.ends_since_cut = 0;
            }
        } else {
            let slots = f64::from(self.description.slots.0);
            self.limit = (self.limit + 1.0 / self.limit).min(slots);
        }
    }

    fn recover(&mut self, now: Instant) {
        if let Health::Ejected { until, probing, .. } = self.health
            && (probing || now >= until)
        {
            self.health = Health::Healthy;
        }
    }

    fn eject(&mut self, now: Instant) {
        let failures = match self.health {
            Health::Healthy => 1,
            // Failures of requests sent before the ejection give no new information.
            Health::Ejected {
                until,
                probing: false,
                ..
            } if now < until => return,
            Health::Ejected { failures, .. } => failures + 1,
        };
        let backoff = BACKOFF_MIN * 2u32.pow((failures - 1).min(5));
        self.health = Health::Ejected {
            until: now + backoff.min(BACKOFF_MAX),
            failures,
            probing: false,
        };
    }
}
