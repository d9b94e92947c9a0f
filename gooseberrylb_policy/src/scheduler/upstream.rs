//! What a scheduler knows of one upstream: its learned rates, its health and what it runs.

use std::time::{Duration, Instant};

use gooseberrylb_config::note;

use super::Load;
use super::prefix::Cache;
use super::rate::Rate;
use crate::occupancy::Occupancy;
use crate::request::{Figures, Request};

/// The part of the typical prefill rate from which an upstream counts as fast.
const FAST_RATIO: f64 = 0.9;

/// How much of the weight of earlier observations each new one leaves.
const RATE_DECAY: f64 = 0.9;

/// The prefill rate assumed before anything was observed, in tokens a second.
const DEFAULT_PREFILL_RATE: f64 = 10_000.0;

/// What a full upstream adds to the expected time to first token, in seconds.
const FULL_LOAD_SECONDS: f64 = 0.05;

/// What an upstream in another data centre adds to the expected time to first token, in seconds.
const REMOTE_SECONDS: f64 = 0.002;

/// The back-off after a first failure; it doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_secs(1);

/// The longest back-off.
const BACKOFF_MAX: Duration = Duration::from_secs(30);

/// How many times slower than its best a first token may come before concurrency is cut.
const CUT_SLOWDOWN: f64 = 4.0;

/// The fewest tokens read by which a first token's delay is judged; for fewer, fixed costs prevail.
const MIN_PACE_TOKENS: u64 = 64;

/// What remains of the concurrency limit after a cut.
const LIMIT_CUT_FACTOR: f64 = 0.9;

/// How fast the best known pace is forgotten with each observation.
const BEST_PACE_DECAY: f64 = 1.01;

/// The age beyond which a load report says nothing any more.
const MAX_LOAD_AGE: Duration = Duration::from_secs(5);

/// Whether an upstream answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    /// It answers.
    Healthy,
    /// It failed, and gets nothing until its back-off ends; then one request at a time.
    Ejected {
        /// When the back-off ends.
        until: Instant,
        /// The failures in a row.
        failures: u32,
        /// Whether the one request is on its way.
        probing: bool,
    },
}

/// How an upstream's request ended, as far as the upstream is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It answered, and the figures are good.
    Answered(Figures),
    /// It failed.
    Failed,
    /// Nothing is known: the caller hung up, or the entry died.
    Inconclusive,
}

/// The rates of the service's upstreams together, for one that was not observed itself yet.
#[derive(Debug, Clone, Copy, Default)]
pub struct Averages {
    /// The tokens read in a second, where any were.
    pub prefill: Option<f64>,
    /// The tokens written in a second for one request, where any were.
    pub decode: Option<f64>,
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Its description in force, or the last one.
    pub description: note::Upstream,
    /// Whether it may get new requests.
    pub configured: bool,
    /// The requests that hold a slot of it.
    pub in_flight: u32,
    /// How many held one, over the last while.
    pub occupancy: Occupancy,
    /// What is believed of its prefix cache.
    pub cache: Cache,
    limit: f64,
    prefill: Rate,
    decode: Rate,
    best_pace: Option<f64>,
    ends_since_cut: u32,
    busy_until: Instant,
    health: Health,
    load: Option<(Load, Instant)>,
}

impl Upstream {
    /// Makes an upstream of which nothing is known but its description.
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

    /// Takes over a changed description.
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

    /// Whether it reads prompts about as fast as the service's upstreams together, or faster.
    pub fn is_fast(&self, averages: Averages) -> bool {
        match (self.prefill.per_second(), averages.prefill) {
            (Some(own), Some(average)) => own >= average * FAST_RATIO,
            (None, _) | (_, None) => true,
        }
    }

    /// The requests that it may run at once.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.description.slots.0.max(1))
    }

    /// Whether it has a slot for a request that leaves `headroom_percent` of the slots free.
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

    /// Whether its next request only tries whether it answers again.
    pub fn needs_probe(&self) -> bool {
        matches!(self.health, Health::Ejected { .. })
    }

    /// Whether it gets nothing for now because it failed.
    pub fn is_ejected(&self, now: Instant) -> bool {
        match self.health {
            Health::Healthy => false,
            Health::Ejected { until, probing, .. } => probing || now < until,
        }
    }

    /// When it may be tried again, where it failed.
    pub fn ejected_until(&self) -> Option<Instant> {
        match self.health {
            Health::Healthy => None,
            Health::Ejected { until, .. } => Some(until),
        }
    }

    /// The expected time to first token of a request sent to it now, in seconds.
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

    /// What the engine's own report adds: requests waiting there that this scheduler didn't send or
    /// that it believes to be read already. It counts less with age.
    fn reported_wait(&self, rate: f64, request: &Request, now: Instant) -> f64 {
        let Some((load, at)) = self.load else {
            return 0.0;
        };
        let age = load.age + now.saturating_duration_since(at);
        let weight = 1.0 - (age.as_secs_f64() / MAX_LOAD_AGE.as_secs_f64()).min(1.0);
        weight * f64::from(load.waiting) * request.cost.prompt.0 as f64 / rate
    }

    /// The expected time from the first token of a request to its last, in seconds; none before
    /// any upstream was observed.
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

    /// The prompt's tokens that it would have to read.
    fn uncached(&self, request: &Request) -> u64 {
        let prompt = request.cost.prompt.0;
        if request.prefix.is_empty() {
            return prompt;
        }
        let cached = self.cache.cached_blocks(&request.prefix) as u64;
        prompt - prompt.saturating_mul(cached) / request.prefix.len() as u64
    }

    /// Takes a slot for a request, and returns the number of its blocks believed to be cached.
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

    /// Counts a slot that was taken before this scheduler knew of it.
    pub fn adopt(&mut self, now: Instant) {
        self.set_in_flight(self.in_flight + 1, now);
    }

    fn set_in_flight(&mut self, in_flight: u32, now: Instant) {
        self.in_flight = in_flight;
        self.occupancy.record(in_flight, now);
    }

    /// Gives a slot back and learns from how its request ended.
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

    /// Corrects what is believed of its prefix cache by what it reported of a request.
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

    /// Takes a load report in.
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

    /// Cuts the concurrency when first tokens come much later than this upstream once had them,
    /// since more requests then only wait inside the engine; widens it slowly otherwise.
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
            // Failures of requests sent before the ejection say nothing new.
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
