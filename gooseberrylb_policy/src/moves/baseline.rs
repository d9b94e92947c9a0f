//! Latency baselines of the old version's engines, used to compare versions on similar hardware.
//!
//! The engines of a service differ in speed, and a scheduler places the few requests of a canary on
//! other engines than the bulk of the traffic. Each time is therefore expressed as a multiple of
//! what the old version needs on the same route and at the same concurrency: on that very engine
//! for the old version's requests, and on the slowest of the comparable engines for the new
//! version's. See `docs/MOVES.md`.

use std::collections::BTreeMap;
use std::sync::Arc;

use gooseberrylb_config::id;

use crate::moves::evidence::Sample;
use crate::request::Figures;

/// Minimum number of the old version's requests before a mean is used. With the usual spread of
/// times (0.3 of the mean), the mean of this many requests is off by less than half of the
/// tolerated slowdown.
const MIN_SAMPLES: u32 = 8;

/// Factor by which each new request reduces the weight of the earlier ones. It is close to 1
/// because a baseline describes the engine, and must not follow a temporary slowdown of the
/// service.
const DECAY: f64 = 0.995;

/// Cost of a request before its first uncached token, in tokens.
const REQUEST_OVERHEAD_TOKENS: f64 = 64.0;

/// Minimum number of output tokens for which a time per token is computed.
const MIN_OUTPUT_TOKENS: u64 = 4;

/// The times of one request, in seconds or as multiples of a baseline. A time is `None` if there
/// was too little to measure.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Times {
    /// The time to the first token, per uncached token of the prompt.
    pub first_token: Option<f64>,
    /// The time per output token.
    pub output_token: Option<f64>,
}

impl Times {
    /// Returns the times of a request in seconds.
    fn new(figures: &Figures) -> Self {
        let uncached = figures.prompt.0.saturating_sub(figures.cached.0) as f64;
        let tokens = figures.output.0;
        Self {
            first_token: Some(
                figures.first_token.as_secs_f64() / (REQUEST_OVERHEAD_TOKENS + uncached),
            ),
            output_token: (tokens >= MIN_OUTPUT_TOKENS)
                .then(|| figures.decode.as_secs_f64() / tokens as f64),
        }
    }

    /// Returns the times as multiples of `other`, where both are known.
    fn relative_to(self, other: Self) -> Self {
        let ratio = |own: Option<f64>, other: Option<f64>| {
            let other = other.filter(|other| *other > 0.0)?;
            own.map(|own| own / other)
        };
        Self {
            first_token: ratio(self.first_token, other.first_token),
            output_token: ratio(self.output_token, other.output_token),
        }
    }

    /// Returns the longer of the known times of each kind.
    fn slower(self, other: Self) -> Self {
        Self {
            first_token: longer(self.first_token, other.first_token),
            output_token: longer(self.output_token, other.output_token),
        }
    }
}

fn longer(a: Option<f64>, b: Option<f64>) -> Option<f64> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.max(b)),
        (known, None) | (None, known) => known,
    }
}

/// An exponentially weighted mean.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    /// The number of values, without decay.
    count: u32,
    /// The sum of the decayed weights.
    weight: f64,
    /// The sum of the values by their decayed weights.
    sum: f64,
}

impl Mean {
    fn add(&mut self, value: Option<f64>) {
        let Some(value) = value else {
            return;
        };
        self.count = self.count.saturating_add(1);
        self.weight = self.weight * DECAY + 1.0;
        self.sum = self.sum * DECAY + value;
    }

    fn value(&self) -> Option<f64> {
        (self.count >= MIN_SAMPLES).then(|| self.sum / self.weight)
    }
}

/// The peak number of concurrent requests on an engine until the first token of a request,
/// including that request. The speed of an engine depends on it, and the wait for its first step
/// grows faster than this number. Requests granted shortly after it count too, since they may reach
/// the engine before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Concurrency(u32);

/// The old version's mean times on one engine and route at one concurrency, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Timing {
    first_token: Mean,
    output_token: Mean,
}

impl Timing {
    fn means(&self) -> Times {
        Times {
            first_token: self.first_token.value(),
            output_token: self.output_token.value(),
        }
    }
}

/// An engine as declared in the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// The name of the engine.
    pub name: id::Upstream,
    /// The data centre of the engine.
    pub data_centre: Arc<str>,
    /// The number of requests that it runs at once.
    pub slots: u32,
}

/// The old version's times by engine, route and concurrency, and the engines that are comparable.
#[derive(Debug, Clone, Default)]
pub struct Baseline {
    /// The comparable engines of the old version, for each engine of the new one.
    comparable: BTreeMap<id::Upstream, Vec<id::Upstream>>,
    /// The old version's times on each engine and route, by concurrency.
    timings: BTreeMap<(id::Upstream, id::Route), BTreeMap<Concurrency, Timing>>,
}

impl Baseline {
    /// Sets the engines of both versions. An engine of the new version is comparable to the old
    /// version's engines with the same number of slots in its data centre, else to those with the
    /// same number of slots, else to all of them. Known times are kept.
    pub fn set_engines(&mut self, new: &[Engine], old: &[Engine]) {
        self.comparable.clear();
        for engine in new {
            let same_slots = old.iter().filter(|other| other.slots == engine.slots);
            let same_data_centre = same_slots
                .clone()
                .filter(|other| other.data_centre == engine.data_centre);
            let non_empty = |found: Vec<_>| (!found.is_empty()).then_some(found);
            let found = non_empty(same_data_centre.map(|other| other.name.clone()).collect())
                .or_else(|| non_empty(same_slots.map(|other| other.name.clone()).collect()))
                .unwrap_or_else(|| old.iter().map(|other| other.name.clone()).collect());
            self.comparable.insert(engine.name.clone(), found);
        }
    }

    /// Records a request of the old version, and returns its times as multiples of its engine's
    /// means.
    pub fn record_old(&mut self, sample: &Sample) -> Times {
        let Some(concurrency) = measured_concurrency(sample) else {
            return Times::default();
        };
        let times = Times::new(&sample.figures);
        let key = (sample.upstream.clone(), sample.route.clone());
        let timings = self.timings.entry(key).or_default();
        let timing = timings.entry(concurrency).or_default();
        timing.first_token.add(times.first_token);
        timing.output_token.add(times.output_token);
        times.relative_to(timing.means())
    }

    /// Returns the times of a request of the new version as multiples of those of the slowest
    /// comparable engine, at the same concurrency or the next higher one that is known.
    pub fn normalise_new(&self, sample: &Sample) -> Times {
        let Some(concurrency) = measured_concurrency(sample) else {
            return Times::default();
        };
        let comparable = self.comparable.get(&sample.upstream);
        let slowest = comparable
            .into_iter()
            .flatten()
            .filter_map(|engine| self.timings.get(&(engine.clone(), sample.route.clone())))
            .map(|timings| times_from(timings, concurrency))
            .fold(Times::default(), Times::slower);
        Times::new(&sample.figures).relative_to(slowest)
    }
}

/// Returns the concurrency at which a request's times were measured, or `None` if its times are not
/// meaningful.
fn measured_concurrency(sample: &Sample) -> Option<Concurrency> {
    sample.running.filter(|_| !sample.failed).map(Concurrency)
}

/// Returns the known times at the lowest concurrency that is at least `concurrency`. An engine is
/// no slower at a lower concurrency, so they are an upper bound.
fn times_from(timings: &BTreeMap<Concurrency, Timing>, concurrency: Concurrency) -> Times {
    timings
        .range(concurrency..)
        .map(|(_, timing)| timing.means())
        .fold(Times::default(), |found, known| Times {
            first_token: found.first_token.or(known.first_token),
            output_token: found.output_token.or(known.output_token),
        })
}
