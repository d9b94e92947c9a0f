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

/// Number of [measures](Measure).
const MEASURE_COUNT: f64 = 3.0;

/// Number of good requests per additional concurrent request, up to [`TRUSTED_REQUESTS`].
const GOOD_REQUESTS_PER_OUTSTANDING: u64 = 4;

/// Number of good requests from which each one allows one more concurrent request.
const TRUSTED_REQUESTS: u64 = 50;

/// Time after a failure during which another one of the same engine may have the same cause, such
/// as a crash of the engine, and therefore adds no evidence.
const SAME_CAUSE_WINDOW: Duration = Duration::from_millis(100);

/// Ratio of failure rates from which a narrower scope is named as the one that fails.
const CONCENTRATION_RATIO: f64 = 3.0;

/// Maximum number of the old version's requests that one of the new version waits for.
const MAX_TARGET_GROUP_SIZE: usize = 15;

/// The versions that a trial compares, and the limits that apply.
#[derive(Debug, Clone, PartialEq)]
pub struct Parameters {
    /// The new version, which is judged.
    pub version: id::Version,
    /// The old version, which it is compared with.
    pub replaces: id::Version,
    /// The number of scopes that requests fall into, over which the false-alarm rate is split.
    pub scopes: usize,
    /// The evidence at which the version counts as bad, which is the reciprocal of a false-alarm
    /// rate.
    pub limit: f64,
    /// The number of concurrent requests allowed on the version without any evidence.
    pub initial_outstanding: u64,
}

/// The state of the comparison.
#[derive(Debug, Clone)]
pub struct Trial {
    /// The versions and limits.
    parameters: Parameters,
    /// The old version's times, which make requests comparable.
    baseline: Baseline,
    /// The phase of the move.
    phase: Phase,
    /// The number of the latest step that was applied.
    step: u32,
    /// The new version's share of the traffic.
    share: Share,
    /// The counts of the new version's requests since that step.
    in_step: Counts,
    /// The counts of all of the new version's requests.
    total: Counts,
    /// The request rate of both versions together.
    rate: Meter,
    /// The comparison of each scope.
    scopes: BTreeMap<Scope, Comparator>,
    /// The time of the last tested failure of the new version on each engine.
    last_failures: BTreeMap<id::Upstream, Instant>,
    /// The time from which no proof is given any more.
    judged_until: Option<Instant>,
    /// The proof that the new version is bad.
    trip: Option<Trip>,
}

impl Trial {
    /// Creates a trial for a move in its current state.
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

    /// Applies the latest step of the move.
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
            comparator.add_start();
            if done {
                comparator.fix_baseline();
            }
        }
    }

    /// Sets the engines of both versions.
    pub fn set_engines(&mut self, new: &[Engine], old: &[Engine]) {
        self.baseline.set_engines(new, old);
    }

    /// Sets the time from which no proof is given any more; `None` means never.
    pub fn set_judged_until(&mut self, end: Option<Instant>) {
        self.judged_until = end;
    }

    /// Records a request of either version, and returns the proof the first time that it is
    /// complete.
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

    /// Whether another request may be sent to the version while `outstanding` requests are running
    /// on it.
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

    /// Returns the number of the latest step of the move that was applied.
    pub fn step(&self) -> u32 {
        self.step
    }

    /// Returns the proof that the version is bad, if there is one.
    pub fn trip(&self) -> Option<&Trip> {
        self.trip.as_ref()
    }

    /// Returns the evidence against the version over all scopes and measures.
    ///
    /// An average of test martingales is a test martingale as well, so a single bad route can be
    /// enough and the false-alarm rate still holds for the version as a whole.
    pub fn doubt(&self) -> f64 {
        let sum: f64 = self.scopes.values().map(Comparator::doubt).sum();
        sum / (MEASURE_COUNT * self.parameters.scopes.max(1) as f64)
    }

    /// Returns the finding that is reported to the leader.
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

    /// Whether a failure may have the same cause as the previous one of its engine. Excluding it
    /// from the tests can only lower the evidence, so the false-alarm rate still holds.
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

    /// Returns a description of the strongest evidence against the version, or an empty text before
    /// its first request.
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

    /// Returns the scope and the measure with the strongest evidence against the version.
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

    /// Returns the scope in which most failures of `wider` are concentrated, or `wider` itself.
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
    /// Returns a description of the figures of one measure.
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

/// Returns the number of scopes of a service with this many routes and data centres.
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

/// Returns the number of the old version's requests that each request of the new one waits for. It
/// depends only on the split of the traffic, so the choice cannot bias the test.
fn group_size(share: Share) -> usize {
    let new = usize::from(share.0).max(1);
    let old = usize::from(Share::WHOLE.0.saturating_sub(share.0));
    (old / new).clamp(1, MAX_TARGET_GROUP_SIZE)
}
