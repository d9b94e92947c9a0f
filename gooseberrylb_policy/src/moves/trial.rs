//! One scheduler's comparison of a version under a move with the version that it replaces.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::directory::Share;
use gooseberrylb_config::id;

use crate::moves::evidence::{Comparison, Counts, Finding, Measure, Sample, Scope, Trip};
use crate::moves::meter::Meter;
use crate::moves::scope::Requests;
use crate::moves::{Move, Phase};

/// The number of [measures](Measure).
const MEASURES: f64 = 3.0;

/// The requests that may run on a version of which nothing is known yet.
const FIRST_OUTSTANDING: u64 = 4;

/// How many good requests let one more run at once, until [`TRUSTED`] have been good.
const GOOD_PER_OUTSTANDING: u64 = 4;

/// The good requests after which each one lets one more run at once.
const TRUSTED: u64 = 50;

/// The most requests of the old version that are awaited for one of the new.
const MAX_WANTED: usize = 15;

/// What a trial is about and how it may end.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// The version that is judged.
    pub version: id::Version,
    /// The version that it is compared with.
    pub replaces: id::Version,
    /// The number of scopes that requests fall into, over which the false-alarm rate is split.
    pub scopes: usize,
    /// The evidence at which the version is taken for bad: the reciprocal of a false-alarm rate.
    pub limit: f64,
}

/// The state of the comparison.
#[derive(Debug, Clone)]
pub struct Trial {
    terms: Terms,
    phase: Phase,
    step: u32,
    share: Share,
    in_step: Counts,
    total: Counts,
    rate: Meter,
    scopes: BTreeMap<Scope, Requests>,
    trip: Option<Trip>,
}

impl Trial {
    /// Starts a trial for a move as it stands.
    pub fn new(terms: Terms, now: Instant, of: &Move) -> Self {
        Self {
            terms,
            phase: of.phase,
            step: of.steps,
            share: of.share,
            in_step: Counts::default(),
            total: Counts::default(),
            rate: Meter::new(now),
            scopes: BTreeMap::new(),
            trip: None,
        }
    }

    /// Takes notice of the move's latest step.
    pub fn follow(&mut self, of: &Move) {
        if of.steps == self.step {
            return;
        }
        let done = of.phase == Phase::Done && self.phase != Phase::Done;
        self.phase = of.phase;
        self.step = of.steps;
        self.share = of.share;
        self.in_step = Counts::default();
        for requests in self.scopes.values_mut() {
            requests.start();
            if done {
                requests.freeze();
            }
        }
    }

    /// Takes in a request of either version; gives the proof once, when it is complete.
    pub fn record(&mut self, now: Instant, sample: &Sample) -> Option<Trip> {
        let new = sample.version == self.terms.version;
        if !new && sample.version != self.terms.replaces {
            return None;
        }
        self.rate.count(now);
        if new {
            self.in_step.add(sample.failed);
            self.total.add(sample.failed);
        }
        self.compare(now, sample, new);
        self.judge()
    }

    /// Whether another request may be sent to the version while `outstanding` run on it.
    pub fn allows(&self, outstanding: u32) -> bool {
        if self.trip.is_some() {
            return false;
        }
        match self.phase {
            Phase::Planned | Phase::Reverted => false,
            Phase::Canary | Phase::Ramping => u64::from(outstanding) < self.allowance(),
            Phase::Done => true,
        }
    }

    /// The proof that the version is bad, where there is one.
    pub fn trip(&self) -> Option<&Trip> {
        self.trip.as_ref()
    }

    /// The evidence against the version over all scopes and measures.
    ///
    /// An average of test martingales is one again, so that a single bad route is enough and the
    /// false-alarm rate still holds for the version as a whole.
    pub fn doubt(&self) -> f64 {
        let sum: f64 = self.scopes.values().map(Requests::doubt).sum();
        sum / (MEASURES * self.terms.scopes.max(1) as f64)
    }

    /// What the leader is to know.
    pub fn finding(&self, now: Instant) -> Finding {
        Finding {
            step: self.step,
            in_step: self.in_step,
            total: self.total,
            rate: self.rate.per_second(now),
            doubt: self.doubt(),
            trip: self.trip.clone(),
            comparisons: self.comparisons(),
        }
    }

    fn comparisons(&self) -> Vec<Comparison> {
        self.scopes
            .iter()
            .map(|(scope, requests)| requests.comparison(scope.clone()))
            .collect()
    }

    fn allowance(&self) -> u64 {
        let good = self.total.good();
        let earned = if good < TRUSTED {
            good / GOOD_PER_OUTSTANDING
        } else {
            good
        };
        FIRST_OUTSTANDING + earned
    }

    fn compare(&mut self, now: Instant, sample: &Sample, new: bool) {
        let wanted = wanted(self.share);
        for scope in scopes_of(sample) {
            if !self.scopes.contains_key(&scope) && self.scopes.len() >= self.terms.scopes {
                continue;
            }
            let requests = self.scopes.entry(scope).or_default();
            if new {
                requests.record_new(now, sample, wanted);
            } else {
                requests.record_old(now, sample, wanted);
            }
        }
    }

    fn judge(&mut self) -> Option<Trip> {
        if self.trip.is_some() || self.doubt() < self.terms.limit {
            return None;
        }
        let (scope, measure) = self.worst()?;
        let requests = self.scopes.get(&scope)?;
        let words = requests.comparison(scope.clone()).words(measure);
        let reason = format!(
            "{measure} on {scope}: {words}; evidence {:.0} against a limit of {:.0}",
            self.doubt(),
            self.terms.limit,
        );
        self.trip = Some(Trip {
            version: self.terms.version.clone(),
            scope,
            measure,
            reason: Arc::from(reason),
        });
        self.trip.clone()
    }

    fn worst(&self) -> Option<(Scope, Measure)> {
        self.scopes
            .iter()
            .map(|(scope, requests)| (scope, requests.worst()))
            .max_by(|(_, (_, a)), (_, (_, b))| a.total_cmp(b))
            .map(|(scope, (measure, _))| (scope.clone(), measure))
    }
}

impl Comparison {
    /// What the figures say of one measure.
    pub fn words(&self, measure: Measure) -> String {
        let times = |ratio: Option<f64>| match ratio {
            Some(ratio) => format!("{ratio:.2} times the old version's, typically"),
            None => "not known".to_owned(),
        };
        match measure {
            Measure::Failures => format!("{} against {} of the old version", self.new, self.old),
            Measure::FirstToken => times(self.first_token),
            Measure::OutputToken => times(self.output_token),
        }
    }
}

/// The number of scopes of a service with so many routes and data centres.
pub fn scope_count(routes: usize, data_centres: usize) -> usize {
    (1 + routes) * (1 + data_centres)
}

fn scopes_of(sample: &Sample) -> [Scope; 4] {
    let route = || Some(sample.route.clone());
    let data_centre = || Some(sample.data_centre.clone());
    let scope = |route, data_centre| Scope { route, data_centre };
    [
        scope(None, None),
        scope(route(), None),
        scope(None, data_centre()),
        scope(route(), data_centre()),
    ]
}

/// The requests of the old version that are awaited for each of the new, which depends on the
/// split of the traffic alone, so that the choice cannot bias the test.
fn wanted(share: Share) -> usize {
    let new = usize::from(share.0).max(1);
    let old = usize::from(Share::WHOLE.0.saturating_sub(share.0));
    (old / new).clamp(1, MAX_WANTED)
}

/// How long requests of the old version stand for what holds now.
pub const COMPARABLE: Duration = Duration::from_secs(10);
