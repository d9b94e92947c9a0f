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
const KNOWN: u32 = 8;

/// How much of the weight of earlier requests each new one leaves: a pace is a property of the engine,
/// and a passing slowdown of the service must not be taken for one.
const MEMORY: f64 = 0.995;

/// What a request costs before its first uncached token, in tokens.
const BASE_TOKENS: f64 = 64.0;

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
            first_token: Some(figures.first_token.as_secs_f64() / (BASE_TOKENS + uncached)),
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
        self.weight = self.weight * MEMORY + 1.0;
        self.sum = self.sum * MEMORY + value;
    }

    fn known(&self) -> Option<f64> {
        (self.count >= KNOWN).then(|| self.sum / self.weight)
    }
}

/// The most requests on an engine at once until the first token of one, that one among them: an
/// engine's pace depends on them, and the wait for its first step grows faster than their number.
/// Those that come just after it was granted count, since they may reach the engine before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Load(u32);

/// The old version's times on one engine and route under one load, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Pace {
    first_token: Mean,
    output_token: Mean,
}

impl Pace {
    fn known(&self) -> Times {
        Times {
            first_token: self.first_token.known(),
            output_token: self.output_token.known(),
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
    alike: BTreeMap<id::Upstream, Vec<id::Upstream>>,
    paces: BTreeMap<(id::Upstream, id::Route), BTreeMap<Load, Pace>>,
}

impl Baseline {
    /// Finds for each engine of the new version those of the old one that are declared alike: with
    /// as many slots in the same data centre, else with as many slots, else all of them. The paces that
    /// are known stay.
    pub fn set_engines(&mut self, new: &[Engine], old: &[Engine]) {
        self.alike.clear();
        for engine in new {
            let slots = old.iter().filter(|other| other.slots == engine.slots);
            let near = slots
                .clone()
                .filter(|other| other.data_centre == engine.data_centre);
            let named = |found: Vec<_>| (!found.is_empty()).then_some(found);
            let found = named(near.map(|other| other.name.clone()).collect())
                .or_else(|| named(slots.map(|other| other.name.clone()).collect()))
                .unwrap_or_else(|| old.iter().map(|other| other.name.clone()).collect());
            self.alike.insert(engine.name.clone(), found);
        }
    }

    /// Learns from a request of the old version, and gives its times as multiples of its engine's.
    pub fn old(&mut self, sample: &Sample) -> Times {
        let Some(load) = timed(sample) else {
            return Times::default();
        };
        let times = Times::new(&sample.figures);
        let place = (sample.upstream.clone(), sample.route.clone());
        let paces = self.paces.entry(place).or_default();
        let pace = paces.entry(load).or_default();
        pace.first_token.add(times.first_token);
        pace.output_token.add(times.output_token);
        times.relative_to(pace.known())
    }

    /// The times of a request of the new version as multiples of the slowest like engine's, under
    /// the same load or the next higher one that is known.
    pub fn new_version(&self, sample: &Sample) -> Times {
        let Some(load) = timed(sample) else {
            return Times::default();
        };
        let alike = self.alike.get(&sample.upstream);
        let slowest = alike
            .into_iter()
            .flatten()
            .filter_map(|engine| self.paces.get(&(engine.clone(), sample.route.clone())))
            .map(|paces| known_from(paces, load))
            .fold(Times::default(), Times::slower);
        Times::new(&sample.figures).relative_to(slowest)
    }
}

/// The load under which a request's times were taken, where they say anything.
fn timed(sample: &Sample) -> Option<Load> {
    sample.running.filter(|_| !sample.failed).map(Load)
}

/// The times under the least load that is known and not below `load`; an engine under less load is
/// no slower, so they are a bound for it.
fn known_from(paces: &BTreeMap<Load, Pace>, load: Load) -> Times {
    paces
        .range(load..)
        .map(|(_, pace)| pace.known())
        .fold(Times::default(), |found, known| Times {
            first_token: found.first_token.or(known.first_token),
            output_token: found.output_token.or(known.output_token),
        })
}
