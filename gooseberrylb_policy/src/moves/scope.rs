//! Comparison of both versions' requests within one scope: pairs the requests and feeds the
//! sequential tests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::moves::baseline::Times;
use crate::moves::evidence::{Comparison, Counts, Measure, Scope};
use crate::moves::sequential::{self, Test};

/// Maximum age at which a request of the old version still represents current conditions.
const MAX_PAIRING_AGE: Duration = Duration::from_secs(10);

/// Maximum number of the old version's requests that one request of the new version is compared
/// with.
const MAX_GROUP_SIZE: usize = 32;

/// Maximum number of the new version's requests that wait for requests of the old version.
const MAX_PENDING: usize = 32;

/// Maximum number of the old version's requests that are retained for comparison once it has no
/// traffic.
const MAX_HISTORY: usize = 64;

/// Number of the new version's most recent requests that reports summarise.
const MAX_RECENT: usize = 24;

/// Number of retained requests of the old version that one request of the new version is compared
/// with.
const HISTORY_GROUP_SIZE: usize = 8;

/// Factor by which the new version may be slower than the old one.
const SLOWDOWN_TOLERANCE: f64 = 1.25;

/// Factor by which the new version may be slower while the old version has no traffic. It is larger
/// because a general slowdown cannot be ruled out then.
const HISTORY_SLOWDOWN_TOLERANCE: f64 = 2.5;

/// Minimum failure rate that is assumed while the old version has no traffic.
const MIN_HISTORY_FAILURE_RATE: f64 = 0.01;

/// Size of the prior for the failure rate: this many requests, one of which failed.
const PRIOR_REQUESTS: u64 = 20;

/// Factor by which the failure rate may rise while the old version has no traffic.
const HISTORY_FAILURE_MULTIPLE: f64 = 2.0;

/// The outcome of one request, with times that are comparable across sizes and engines.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// The time at which the request ended.
    pub at: Instant,
    /// Whether the request failed through the fault of the upstream.
    pub failed: bool,
    /// The times as multiples of the old version's on comparable engines.
    pub times: Times,
}

impl Observation {
    fn time(&self, measure: Measure) -> Option<f64> {
        match measure {
            Measure::Failures => None,
            Measure::FirstToken => self.times.first_token,
            Measure::OutputToken => self.times.output_token,
        }
    }
}

/// The sequential tests of one scope, one for each measure.
#[derive(Debug, Clone, Default)]
struct Tests {
    failures: Test,
    first_token: Test,
    output_token: Test,
}

/// Compares the requests of both versions in one scope.
#[derive(Debug, Clone, Default)]
pub struct Comparator {
    /// Recent requests of the old version that were not compared yet.
    old: VecDeque<Observation>,
    /// Requests of the new version that wait for requests of the old one.
    pending: VecDeque<Observation>,
    /// Requests of the old version that are retained for when it has no traffic.
    history: VecDeque<Observation>,
    /// The new version's most recent requests.
    recent: VecDeque<Observation>,
    /// The counts of the new version's requests.
    new_counts: Counts,
    /// The counts of the old version's requests.
    old_counts: Counts,
    /// The expected failure rate, once the old version has no traffic.
    baseline_failure_rate: Option<f64>,
    /// The index in `history` at which the next group starts.
    history_position: usize,
    /// The sequential tests.
    tests: Tests,
    /// The evidence against the new version, summed over the measures.
    doubt: f64,
}

impl Comparator {
    /// Creates a comparator for a version that already has all of the traffic, as a new scheduler
    /// needs.
    pub fn with_fixed_baseline() -> Self {
        let mut comparator = Self::default();
        comparator.fix_baseline();
        comparator
    }

    /// Records a request of the old version. `group_size` is the number of the old version's
    /// requests that each of the new version's waits for.
    pub fn record_old(&mut self, observation: Observation, group_size: usize) {
        self.old_counts.add(observation.failed);
        push_bounded(&mut self.old, observation, MAX_GROUP_SIZE.max(group_size));
        push_bounded(&mut self.history, observation, MAX_HISTORY);
        self.compare_pending(observation.at, group_size);
    }

    /// Counts a request of the new version without testing it.
    pub fn count_new(&mut self, observation: Observation) {
        self.new_counts.add(observation.failed);
    }

    /// Returns the counts of the new version's requests.
    pub fn new_counts(&self) -> Counts {
        self.new_counts
    }

    /// Records a request of the new version; see [`Comparator::record_old`] for `group_size`.
    pub fn record_new(&mut self, observation: Observation, group_size: usize) {
        self.count_new(observation);
        push_bounded(&mut self.recent, observation, MAX_RECENT);
        if self.baseline_failure_rate.is_some() {
            self.compare_with_history(observation);
            return;
        }
        push_bounded(&mut self.pending, observation, MAX_PENDING);
        self.compare_pending(observation.at, group_size);
    }

    /// Adds a new start to the tests, at a step of the move.
    pub fn add_start(&mut self) {
        self.tests.failures.add_start();
        self.tests.first_token.add_start();
        self.tests.output_token.add_start();
        self.update_doubt();
    }

    /// Fixes the expected failure rate from the requests so far, now that the old version has no
    /// traffic to compare with.
    pub fn fix_baseline(&mut self) {
        let mut counts = self.old_counts;
        counts += self.new_counts;
        let rate = (counts.failed + 1) as f64 / (counts.requests + PRIOR_REQUESTS) as f64;
        let expected = (rate * HISTORY_FAILURE_MULTIPLE).max(MIN_HISTORY_FAILURE_RATE);
        self.baseline_failure_rate = Some(expected.min(0.5));
        self.pending.clear();
    }

    /// Returns the evidence against the new version, summed over the measures.
    pub fn doubt(&self) -> f64 {
        self.doubt
    }

    /// Returns the measure with the strongest evidence against the new version, and that evidence.
    pub fn worst(&self) -> (Measure, f64) {
        [
            (Measure::Failures, &self.tests.failures),
            (Measure::FirstToken, &self.tests.first_token),
            (Measure::OutputToken, &self.tests.output_token),
        ]
        .map(|(measure, test)| (measure, test.evidence()))
        .into_iter()
        .max_by(|(_, a), (_, b)| a.total_cmp(b))
        .unwrap_or((Measure::Failures, 0.0))
    }

    /// Returns the figures of this scope for reports.
    pub fn comparison(&self, scope: Scope) -> Comparison {
        Comparison {
            scope,
            new: self.new_counts,
            recent: self.recent_counts(),
            old: self.old_counts,
            first_token: self.ratio(Measure::FirstToken),
            output_token: self.ratio(Measure::OutputToken),
        }
    }

    fn recent_counts(&self) -> Counts {
        let mut counts = Counts::default();
        self.recent.iter().for_each(|o| counts.add(o.failed));
        counts
    }

    fn ratio(&self, measure: Measure) -> Option<f64> {
        let new = median(&self.recent, measure)?;
        let old = median(&self.history, measure)?;
        (old > 0.0).then(|| new / old)
    }

    /// Compares pending requests of the new version with requests of the old one. Each of the
    /// latter is used only once, so the comparisons are independent.
    fn compare_pending(&mut self, now: Instant, group_size: usize) {
        discard_before(&mut self.old, now, MAX_PAIRING_AGE);
        while let Some(first) = self.pending.front() {
            let waited = now.saturating_duration_since(first.at) > MAX_PAIRING_AGE;
            let enough = self.old.len() >= group_size || (waited && !self.old.is_empty());
            if !enough {
                break;
            }
            let size = if self.pending.len() == 1 {
                self.old.len().min(MAX_GROUP_SIZE)
            } else {
                self.old.len().min(group_size)
            };
            let group = self.old.split_off(self.old.len() - size);
            if let Some(new) = self.pending.pop_front() {
                self.compare(new, group);
            }
        }
    }

    fn compare(&mut self, new: Observation, group: VecDeque<Observation>) {
        let failed = group.iter().filter(|o| o.failed).count();
        let factors = sequential::failure_factors(new.failed, group.len(), failed);
        self.tests.failures.update(factors);
        self.compare_times(new, group.iter(), SLOWDOWN_TOLERANCE);
    }

    fn compare_with_history(&mut self, new: Observation) {
        if let Some(baseline) = self.baseline_failure_rate {
            let factors = sequential::baseline_failure_factors(new.failed, baseline);
            self.tests.failures.update(factors);
            self.update_doubt();
        }
        if self.history.len() < HISTORY_GROUP_SIZE {
            return;
        }
        let length = self.history.len();
        let position = self.history_position;
        let group: Vec<_> = (0..HISTORY_GROUP_SIZE)
            .map(|i| self.history[(position + i) % length])
            .collect();
        self.history_position = (position + HISTORY_GROUP_SIZE) % length;
        self.compare_times(new, group.iter(), HISTORY_SLOWDOWN_TOLERANCE);
    }

    fn compare_times<'a>(
        &mut self,
        new: Observation,
        group: impl Iterator<Item = &'a Observation> + Clone,
        tolerance: f64,
    ) {
        for measure in [Measure::FirstToken, Measure::OutputToken] {
            let Some(time) = new.time(measure) else {
                continue;
            };
            let others: Vec<f64> = group.clone().filter_map(|o| o.time(measure)).collect();
            let below = others.iter().filter(|o| **o * tolerance < time).count();
            let factors = sequential::rank_factors(below, others.len());
            self.test_mut(measure).update(factors);
        }
        self.update_doubt();
    }

    fn update_doubt(&mut self) {
        let tests = &self.tests;
        let times = tests.first_token.evidence() + tests.output_token.evidence();
        self.doubt = tests.failures.evidence() + times;
    }

    fn test_mut(&mut self, measure: Measure) -> &mut Test {
        match measure {
            Measure::Failures => &mut self.tests.failures,
            Measure::FirstToken => &mut self.tests.first_token,
            Measure::OutputToken => &mut self.tests.output_token,
        }
    }
}

fn push_bounded(queue: &mut VecDeque<Observation>, observation: Observation, bound: usize) {
    if queue.len() >= bound {
        queue.pop_front();
    }
    queue.push_back(observation);
}

fn discard_before(queue: &mut VecDeque<Observation>, now: Instant, age: Duration) {
    while let Some(first) = queue.front() {
        if now.saturating_duration_since(first.at) <= age {
            break;
        }
        queue.pop_front();
    }
}

fn median(observations: &VecDeque<Observation>, measure: Measure) -> Option<f64> {
    let mut times: Vec<f64> = observations
        .iter()
        .filter_map(|o| o.time(measure))
        .collect();
    if times.is_empty() {
        return None;
    }
    times.sort_by(f64::total_cmp);
    Some(times[times.len() / 2])
}
