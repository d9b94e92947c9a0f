//! One scheduler's comparison of a version under a move with the version that it replaces.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::directory::Share;
use gooseberrylb_config::id;

use crate::moves::baseline::{Baseline, Engine};
use crate::moves::evidence::{Comparison, Counts, Finding, Measure, Sample, Scope, Trip};
use crate::moves::meter::Meter;
use crate::moves::scope::{Comparator, Observation};
use crate::moves::{Move, Phase};

/// The number of [measures](Measure).
const MEASURE_COUNT: f64 = 3.0;

/// How many good requests let one more run at once, until [`TRUSTED`] have been good.
const GOOD_REQUESTS_PER_OUTSTANDING: u64 = 4;

/// The good requests after which each one lets one more run at once.
const TRUSTED_REQUESTS: u64 = 50;

/// How soon after a failure another one of the same engine may have the same cause, such as the
/// engine's crash, so that it adds nothing to the evidence.
const SAME_CAUSE_WINDOW: Duration = Duration::from_millis(100);

/// How many times more often requests of a narrower scope must fail for it to be the one named.
const CONCENTRATION_RATIO: f64 = 3.0;

/// The most requests of the old version that are awaited for one of the new.
const MAX_TARGET_GROUP_SIZE: usize = 15;

/// What a trial is about and how it may end.
#[derive(Debug, Clone, PartialEq)]
pub struct Parameters {
    /// The version that is judged.
    pub version: id::Version,
    /// The version that it is compared with.
    pub replaces: id::Version,
    /// The number of scopes that requests fall into, over which the false-alarm rate is split.
    pub scopes: usize,
    /// The evidence at which the version is taken for bad: the reciprocal of a false-alarm rate.
    pub limit: f64,
    /// The requests that may run on the version before anything is known of it.
    pub initial_outstanding: u64,
}

/// The state of the comparison.
#[derive(Debug, Clone)]
pub struct Trial {
    parameters: Parameters,
    baseline: Baseline,
    phase: Phase,
    step: u32,
    share: Share,
    in_step: Counts,
    total: Counts,
    rate: Meter,
    scopes: BTreeMap<Scope, Comparator>,
    last_failures: BTreeMap<id::Upstream, Instant>,
    judged_until: Option<Instant>,
    trip: Option<Trip>,
}

impl Trial {
    /// Starts a trial for a move as it stands.
    pub fn new(parameters: Parameters, baseline: Baseline, now: Instant, mv: &Move) -> Self {
        Self {
            baseline,
            parameters,
            phase: mv.phase,
            step: mv.steps,
            share: mv.share,
            in_step: Counts::default(),
            total: Counts::default(),
            rate: Meter::new(now),
            scopes: BTreeMap::new(),
            last_failures: BTreeMap::new(),
            judged_until: None,
            trip: None,
        }
    }

    /// Takes notice of the move's latest step.
    pub fn update(&mut self, mv: &Move) {
        if mv.steps == self.step {
            return;
        }
        let done = mv.phase == Phase::Done && self.phase != Phase::Done;
        self.phase = mv.phase;
        self.step = mv.steps;
        self.share = mv.share;
        self.in_step = Counts::default();
        for comparator in self.scopes.values_mut() {
            comparator.restart();
            if done {
                comparator.fix_baseline();
            }
        }
    }

    /// Takes the engines of both versions, where they change.
    pub fn set_engines(&mut self, new: &[Engine], old: &[Engine]) {
        self.baseline.set_engines(new, old);
    }

    /// Sets the time after which no proof is given any more; none means never.
    pub fn set_judged_until(&mut self, end: Option<Instant>) {
        self.judged_until = end;
    }

    /// Takes in a request of either version; gives the proof once, when it is complete.
    pub fn record(&mut self, now: Instant, sample: &Sample) -> Option<Trip> {
        let is_new = sample.version == self.parameters.version;
        if !is_new && sample.version != self.parameters.replaces {
            return None;
        }
        self.rate.count(now);
        if is_new {
            self.in_step.add(sample.failed);
            self.total.add(sample.failed);
        }
        if self.judged_until.is_some_and(|end| now >= end) {
            return None;
        }
        self.record_comparison(now, sample, is_new);
        self.check_limit()
    }

    /// Whether another request may be sent to the version while `outstanding` run on it.
    pub fn allows(&self, outstanding: u32) -> bool {
        if self.trip.is_some() {
            return false;
        }
        match self.phase {
            Phase::Planned | Phase::Reverted => false,
            Phase::Canary | Phase::Ramping => u64::from(outstanding) < self.max_outstanding(),
            Phase::Done => true,
        }
    }

    /// The number of the move's step that is followed.
    pub fn step(&self) -> u32 {
        self.step
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
        let sum: f64 = self.scopes.values().map(Comparator::doubt).sum();
        sum / (MEASURE_COUNT * self.parameters.scopes.max(1) as f64)
    }

    /// What the leader is to know.
    pub fn finding(&self, now: Instant) -> Finding {
        Finding {
            step: self.step,
            in_step: self.in_step,
            total: self.total,
            rate: self.rate.per_second(now),
            doubt: self.doubt(),
            leading: self.leading(),
            trip: self.trip.clone(),
            comparisons: self.comparisons(),
        }
    }

    fn comparisons(&self) -> Vec<Comparison> {
        self.scopes
            .iter()
            .map(|(scope, comparator)| comparator.comparison(scope.clone()))
            .collect()
    }

    fn max_outstanding(&self) -> u64 {
        let good = self.total.good();
        let earned = if good < TRUSTED_REQUESTS {
            good / GOOD_REQUESTS_PER_OUTSTANDING
        } else {
            good
        };
        self.parameters.initial_outstanding + earned
    }

    fn record_comparison(&mut self, now: Instant, sample: &Sample, is_new: bool) {
        let group_size = group_size(self.share);
        let same_cause = is_new && sample.failed && self.has_same_cause(now, sample);
        let observation = Observation {
            at: now,
            failed: sample.failed,
            times: match is_new {
                true => self.baseline.normalise_new(sample),
                false => self.baseline.record_old(sample),
            },
        };
        for scope in scopes_of(sample) {
            if !self.scopes.contains_key(&scope) && self.scopes.len() >= self.parameters.scopes {
                continue;
            }
            let comparator = self
                .scopes
                .entry(scope)
                .or_insert_with(|| match self.phase {
                    Phase::Done => Comparator::with_fixed_baseline(),
                    _ => Comparator::default(),
                });
            if same_cause {
                comparator.count_new(observation);
            } else if is_new {
                comparator.record_new(observation, group_size);
            } else {
                comparator.record_old(observation, group_size);
            }
        }
    }

    /// Whether a failure may share its cause with one just before. Leaving it out of the tests can
    /// only lower the evidence, so the false-alarm rate still holds.
    fn has_same_cause(&mut self, now: Instant, sample: &Sample) -> bool {
        let last = self.last_failures.get(&sample.upstream);
        let same_cause =
            last.is_some_and(|at| now.saturating_duration_since(*at) < SAME_CAUSE_WINDOW);
        if !same_cause {
            self.last_failures.insert(sample.upstream.clone(), now);
        }
        same_cause
    }

    fn check_limit(&mut self) -> Option<Trip> {
        if self.trip.is_some() || self.doubt() < self.parameters.limit {
            return None;
        }
        let (scope, measure) = self.worst_scope()?;
        let reason = format!(
            "{}; evidence {:.0} against a limit of {:.0}",
            self.leading(),
            self.doubt(),
            self.parameters.limit,
        );
        self.trip = Some(Trip {
            version: self.parameters.version.clone(),
            scope,
            measure,
            reason: Arc::from(reason),
        });
        self.trip.clone()
    }

    /// What speaks most against the version, once it has had a request.
    fn leading(&self) -> Arc<str> {
        let worst = self.worst_scope().filter(|_| self.total.requests > 0);
        let Some((scope, measure)) = worst else {
            return Arc::from("");
        };
        let Some(comparator) = self.scopes.get(&scope) else {
            return Arc::from("");
        };
        let words = comparator.comparison(scope.clone()).describe(measure);
        Arc::from(format!("{measure} on {scope}: {words}"))
    }

    /// The scope and the measure that speak most against the version.
    fn worst_scope(&self) -> Option<(Scope, Measure)> {
        let (scope, (measure, _)) = self
            .scopes
            .iter()
            .map(|(scope, comparator)| (scope, comparator.worst()))
            .max_by(|(_, (_, a)), (_, (_, b))| a.total_cmp(b))?;
        let scope = match measure {
            Measure::Failures => self.narrowest_failing(scope),
            Measure::FirstToken | Measure::OutputToken => scope,
        };
        Some((scope.clone(), measure))
    }

    /// The scope within a wider one in which most of its failures are concentrated.
    fn narrowest_failing<'a>(&'a self, wider: &'a Scope) -> &'a Scope {
        let Some(all) = self.scopes.get(wider).map(Comparator::new_counts) else {
            return wider;
        };
        self.scopes
            .iter()
            .map(|(scope, comparator)| (scope, comparator.new_counts()))
            .filter(|(_, counts)| counts.failed * 2 > all.failed)
            .filter(|(_, counts)| counts.failure_rate() >= all.failure_rate() * CONCENTRATION_RATIO)
            .max_by_key(|(_, counts)| counts.failed)
            .map_or(wider, |(scope, _)| scope)
    }
}

impl Comparison {
    /// What the figures say of one measure.
    pub fn describe(&self, measure: Measure) -> String {
        let times = |ratio: Option<f64>| match ratio {
            Some(ratio) => format!("{ratio:.2} times the old version's, typically"),
            None => "not known".to_owned(),
        };
        match measure {
            Measure::Failures => format!(
                "{} lately, {} in all, against {} of the old version",
                self.recent, self.new, self.old
            ),
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
fn group_size(share: Share) -> usize {
    let new = usize::from(share.0).max(1);
    let old = usize::from(Share::WHOLE.0.saturating_sub(share.0));
    (old / new).clamp(1, MAX_TARGET_GROUP_SIZE)
}
