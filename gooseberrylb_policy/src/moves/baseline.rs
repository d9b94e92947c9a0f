//! How fast each engine of the old version is, so that versions are compared on like engines.
//!
//! Engines of one service are unlike, and a scheduler places the few requests of a canary on others
//! than the bulk of the traffic. Each time is therefore taken as a multiple of what the old version
//! needs on a route under that load: on that very engine for the old version's requests, and on the
//! slowest of the like engines for the new version's. See `docs/MOVES.md`.

use std::collections::BTreeMap;
use std::sync::Arc;

use gooseberrylb_config::id;

use crate::moves::evidence::Sample;
use crate::request::Figures;

/// The old version's requests from which the pace of an engine on a route counts as known. With the
/// usual spread of times (0.3 of the mean), the mean of so many is off by less than half of the
/// slowdown that is tolerated.
const MIN_SAMPLES: u32 = 8;

/// How much of the weight of earlier requests each new one leaves: a pace is a property of the engine,
/// and a passing slowdown of the service must not be taken for one.
const DECAY: f64 = 0.995;

/// What a request costs before its first uncached token, in tokens.
const REQUEST_OVERHEAD_TOKENS: f64 = 64.0;

/// The fewest output tokens from which a time per token is taken.
const MIN_OUTPUT_TOKENS: u64 = 4;

/// The times of one request, in whatever unit; none where there was too little to measure.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Times {
    /// To the first token, by uncached token of the prompt.
    pub first_token: Option<f64>,
    /// To each further token.
    pub output_token: Option<f64>,
}

impl Times {
    /// The times in seconds.
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

    /// The times as multiples of others, where both are known.
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

    /// The longer of the times that are known.
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

/// A mean that forgets slowly.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    count: u32,
    weight: f64,
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

/// The most requests on an engine at once until the first token of one, that one among them: an
/// engine's pace depends on them, and the wait for its first step grows faster than their number.
/// Those that come just after it was granted count, since they may reach the engine before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Concurrency(u32);

/// The old version's times on one engine and route under one load, in seconds.
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

/// An engine as it is declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub name: id::Upstream,
    /// Where it is.
    pub data_centre: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
}

/// Which engines are alike, and the paces of the old version's.
#[derive(Debug, Clone, Default)]
pub struct Baseline {
    comparable: BTreeMap<id::Upstream, Vec<id::Upstream>>,
    timings: BTreeMap<(id::Upstream, id::Route), BTreeMap<Concurrency, Timing>>,
}

impl Baseline {
    /// Finds for each engine of the new version those of the old one that are declared alike: with
    /// as many slots in the same data centre, else with as many slots, else all of them. The paces that
    /// are known stay.
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

    /// Learns from a request of the old version, and gives its times as multiples of its engine's.
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

    /// The times of a request of the new version as multiples of the slowest like engine's, under
    /// the same load or the next higher one that is known.
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

/// The load under which a request's times were taken, where they say anything.
fn measured_concurrency(sample: &Sample) -> Option<Concurrency> {
    sample.running.filter(|_| !sample.failed).map(Concurrency)
}

/// The times under the least load that is known and not below `load`; an engine under less load is
/// no slower, so they are a bound for it.
fn times_from(timings: &BTreeMap<Concurrency, Timing>, concurrency: Concurrency) -> Times {
    timings
        .range(concurrency..)
        .map(|(_, timing)| timing.means())
        .fold(Times::default(), |found, known| Times {
            first_token: found.first_token.or(known.first_token),
            output_token: found.output_token.or(known.output_token),
        })
}
